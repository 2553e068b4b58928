// Tests of the computations of scale runs: line fits, division and limits of sizes, JSON of the results, and
// predictions. They start no scale run, because a run takes place in real time.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <fstream>

#include "wrenusher/testbed/scale_report.hpp"

namespace {

using namespace wrenusher::testbed;

constexpr MachineSize kMachine{16000, 8};

void expect_rejected(const ScaleOptions& options, const std::string& field) {
  try {
    check_fits(divide(options), kMachine);
    FAIL() << field << " was accepted";
  } catch (const ScaleError& e) {
    EXPECT_TRUE(std::string(e.what()).starts_with(field)) << e.what();
  }
}

RC_GTEST_PROP(LinearFitTest, RecoversSlopeAndBaseOfCollinearPoints, ()) {
  const int slope = *rc::gen::inRange(-1000, 1000);
  const int base = *rc::gen::inRange(-1000, 1000);
  const auto xs = *rc::gen::unique<std::vector<int>>(rc::gen::inRange(-500, 500));
  RC_PRE(xs.size() >= 3);
  std::vector<Point> points;
  for (int x : xs) points.push_back({double(x), double(slope) * x + base});
  const LinearFit fit = fit_line(points);
  RC_ASSERT(std::abs(fit.slope - slope) < 1e-6);
  RC_ASSERT(std::abs(fit.base - base) < 1e-4);
  RC_ASSERT(fit.fit > 1 - 1e-9);
  RC_ASSERT(!fit.worse_than_linear);
}

TEST(LinearFitTest, DetectsGrowthFasterThanLinear) {
  EXPECT_TRUE(fit_line({{1, 1}, {2, 4}, {3, 9}, {4, 16}}).worse_than_linear);
  EXPECT_FALSE(fit_line({{1, 1}, {2, 1.5}, {3, 1.8}, {4, 2}}).worse_than_linear);
  EXPECT_FALSE(fit_line({{1, 5}, {2, 5}, {3, 5}}).worse_than_linear);
  EXPECT_GT(fit_line({{1, 1}, {2, 4}, {3, 9}, {4, 16}}).residual, 0.05);
}

TEST(LinearFitTest, HasZeroSlopeWithFewerThanTwoDifferentX) {
  EXPECT_EQ(fit_line({}).points, 0U);
  EXPECT_EQ(fit_line({{3, 7}}).slope, 0);
  EXPECT_EQ(fit_line({{3, 7}, {3, 9}}).slope, 0);
}

RC_GTEST_PROP(ScaleOptionsTest, DividesWorkersAndStartsAmongCells, ()) {
  ScaleOptions o;
  o.zones = *rc::gen::inRange(1, 20);
  o.workers = *rc::gen::inRange(o.zones, 3000);
  o.starts_per_second = *rc::gen::inRange(1, 9000);
  int workers = 0;
  double starts = 0;
  int next_port = 0;
  for (const CellLoad& c : divide(o)) {
    RC_ASSERT(c.workers >= 1);
    RC_ASSERT(c.port >= next_port);
    // A cell needs at least one port per machine and 200 ports for its controllers.
    next_port = c.port + 200 + c.workers;
    workers += c.workers;
    starts += c.starts_per_second;
  }
  RC_ASSERT(workers == o.workers);
  RC_ASSERT(std::abs(starts - o.starts_per_second) < 1e-6);
}

TEST(ScaleOptionsTest, RejectsOptionsOutOfRange) {
  ScaleOptions o;
  o.zones = 0;
  expect_rejected(o, "--zones");
  o = {};
  o.workers = 3;
  o.zones = 4;
  expect_rejected(o, "--workers");
  o = {};
  o.starts_per_second = -1;
  expect_rejected(o, "--starts");
  o = {};
  o.starts_per_second = std::nan("");
  expect_rejected(o, "--starts");
  o = {};
  o.report_s = 0;
  expect_rejected(o, "--report");
  o = {};
  o.state_puts = 0;
  expect_rejected(o, "--state-puts");
  o = {};
  o.state_requests = 1;
  expect_rejected(o, "--state-requests");
  o = {};
  o.seconds = 1;
  expect_rejected(o, "--seconds");
}

TEST(ScaleOptionsTest, RejectsRunThatExceedsMachineLimits) {
  ScaleOptions o;
  o.workers = 640;
  o.zones = 64;
  o.controllers = 9;
  expect_rejected(o, "--zones, --controllers: 641 processes");
  o = {};
  o.workers = 20000;
  o.zones = 1;
  expect_rejected(o, "--workers, --port");
  try {
    check_fits(divide(ScaleOptions{}), MachineSize{100, 8});
    FAIL() << "a run that needs more than half of the memory was accepted";
  } catch (const ScaleError& e) {
    EXPECT_NE(std::string(e.what()).find("more than half of this machine's 100 MB"), std::string::npos)
        << e.what();
  }
}

TEST(ScaleOptionsTest, AcceptsFullSizeOnMachineWith24Gb) {
  ScaleOptions o;
  o.workers = 11000;
  o.zones = 9;
  o.teams = 230;
  o.starts_per_second = 8600;
  const auto cells = divide(o);
  EXPECT_NO_THROW(check_fits(cells, MachineSize{24000, 8}));
  EXPECT_EQ(needs_of(cells).processes, 37);
}

RC_GTEST_PROP(CellResultTest, RoundTripsThroughJson, ()) {
  CellResult r;
  r.load.workers = *rc::gen::inRange(1, 10000);
  r.load.name = "zone-7";
  r.controllers = {{true, 0.5, 12, 300, 20}, {false, 0.25, 9, 60, 4}};
  r.links["worker>controller /hello"] = {10, 2000, 300};
  r.starts = *rc::gen::inRange(0, 1000);
  r.start_wait = waits_of({3, 1, 2});
  r.broken = {"ran_twice: here"};
  const auto parsed = nlohmann::json(r).get<CellResult>();
  RC_ASSERT(nlohmann::json(parsed) == nlohmann::json(r));
  RC_ASSERT(parsed.start_wait.p50 == 2);
}

/// Returns results in which each report and each start has a known cost for the leader.
std::vector<CellResult> cells_with_known_costs() {
  SlopeOptions options;
  std::vector<CellResult> results;
  for (const CellLoad& load : slope_cells(options)) {
    CellResult r;
    r.load = load;
    r.starts = load.starts_per_second;
    r.reports = load.workers / load.report_s + 2 * r.starts;
    ControllerUsage leader;
    leader.leader = true;
    leader.cores = 0.01 + 0.0001 * r.reports + 0.0003 * r.starts;
    leader.memory_mb = 8 + 0.02 * load.workers;
    r.controllers = {leader, {}};
    results.push_back(r);
  }
  return results;
}

TEST(SlopesTest, PredictsUsageOfUnmeasuredCellSize) {
  const Slopes s = slopes_of(cells_with_known_costs());
  EXPECT_NEAR(s.at("leader_cores_per_report").fit.slope, 0.0001, 1e-9);
  EXPECT_NEAR(s.at("leader_cores_per_start").fit.slope, 0.0003, 1e-9);
  EXPECT_NEAR(s.at("reports_per_start").fit.slope, 2, 1e-9);
  for (const auto& [name, slope] : s) EXPECT_GE(slope.points.size(), 3U) << name;
  const Prediction p = predict(s, {2000, 1, 300, 0, 0, 0, 0});
  EXPECT_NEAR(p.reports, 2600, 1e-6);
  EXPECT_NEAR(p.leader_cores, 0.01 + 0.26 + 0.09, 1e-6);
  EXPECT_NEAR(p.leader_memory_mb, 48, 1e-6);
  // A worker sends at most one report per half second, regardless of the rate of starts.
  EXPECT_NEAR(predict(s, {100, 1, 10000, 0, 0, 0, 0}).reports, 200, 1e-6);
}

TEST(SlopesTest, ExcludesCellsWithErrorOrLeaderChange) {
  auto cells = cells_with_known_costs();
  cells[0].error = "no controller leads";
  cells[0].controllers[0].cores = 1000;
  cells[1].one_leader = false;
  cells[1].controllers[0].cores = 1000;
  EXPECT_NEAR(slopes_of(cells).at("leader_cores_per_report").fit.slope, 0.0001, 1e-9);
}

TEST(SlopesTest, ReadsWrittenFileAndRejectsInvalidFiles) {
  const Slopes s = slopes_of(cells_with_known_costs());
  const std::string file = testing::TempDir() + "/slopes.json";
  std::ofstream(file) << slopes_json(s);
  EXPECT_EQ(slopes_json(read_slopes(file)), slopes_json(s));
  std::ofstream(file) << R"({"leader_cores_per_report": 7})";
  EXPECT_THROW(read_slopes(file), ScaleError);
  std::ofstream(file) << "no JSON";
  EXPECT_THROW(read_slopes(file), ScaleError);
  EXPECT_THROW(read_slopes(file + ".none"), ScaleError);
}

TEST(ScaleReportTest, FailsOnInvariantViolationMissedObjectiveOrUnmeasuredCell) {
  CellResult passing;
  passing.load.starts_per_second = passing.starts = 100;
  passing.asked = 1000;
  passing.in_vain = 5;
  passing.urgent_start_wait = waits_of({1, 2});
  passing.change_wait = waits_of({3});
  EXPECT_FALSE((ScaleReport{{passing}, {}}.failed()));
  CellResult violating = passing;
  violating.broken = {"quota: too much"};
  EXPECT_TRUE((ScaleReport{{passing, violating}, {}}.failed()));
  CellResult late = passing;
  late.urgent_start_wait = waits_of({3, 3, 3});
  EXPECT_TRUE((ScaleReport{{passing, late}, {}}.failed()));
  CellResult failing_requests = passing;
  failing_requests.in_vain = 50;
  EXPECT_TRUE((ScaleReport{{failing_requests}, {}}.failed()));
  CellResult slow = passing;
  slow.starts = 50;
  EXPECT_TRUE((ScaleReport{{slow}, {}}.failed()));
  CellResult unmeasured = passing;
  unmeasured.error = "no controller leads";
  EXPECT_TRUE((ScaleReport{{unmeasured}, {}}.failed()));
}

TEST(ScaleReportTest, ReportsMachineLimit) {
  CellResult c;
  EXPECT_EQ((ScaleReport{{c}, {}}.machine_limit()), "");
  c.machine_busy = 0.97;
  EXPECT_NE((ScaleReport{{c}, {}}.machine_limit()).find("97% busy"), std::string::npos);
  c.machine_busy = 0.5;
  c.lab_lag_p99 = 0.6;
  EXPECT_NE((ScaleReport{{c}, {}}.machine_limit()).find("0.60 s late"), std::string::npos);
}

}  // namespace
