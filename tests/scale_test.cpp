// The scale run's own reckoning: lines through points, sizes that are divided or refused, what travels
// between its processes, predictions. The runs themselves are the lab's, in real time.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <fstream>

#include "wrenusher/testbed/scale_report.hpp"

namespace {

using namespace wrenusher::testbed;

constexpr MachineSize kMachine{16000, 8};

void expect_refused(const ScaleOptions& options, const std::string& field) {
  try {
    check_fits(divide(options), kMachine);
    FAIL() << field << " was taken";
  } catch (const ScaleError& e) {
    EXPECT_TRUE(std::string(e.what()).starts_with(field)) << e.what();
  }
}

RC_GTEST_PROP(ScaleFit, FindsTheLineThatPointsLieOn, ()) {
  const int slope = *rc::gen::inRange(-1000, 1000);
  const int base = *rc::gen::inRange(-1000, 1000);
  const auto xs = *rc::gen::unique<std::vector<int>>(rc::gen::inRange(-500, 500));
  RC_PRE(xs.size() >= 3);
  std::vector<Point> points;
  for (int x : xs) points.push_back({double(x), double(slope) * x + base});
  const LinearFit f = fit_line(points);
  RC_ASSERT(std::abs(f.slope - slope) < 1e-6);
  RC_ASSERT(std::abs(f.base - base) < 1e-4);
  RC_ASSERT(f.fit > 1 - 1e-9);
  RC_ASSERT(!f.worse_than_linear);
}

TEST(ScaleFit, SaysWhatGrowsFasterThanALine) {
  EXPECT_TRUE(fit_line({{1, 1}, {2, 4}, {3, 9}, {4, 16}}).worse_than_linear);
  EXPECT_FALSE(fit_line({{1, 1}, {2, 1.5}, {3, 1.8}, {4, 2}}).worse_than_linear);
  EXPECT_FALSE(fit_line({{1, 5}, {2, 5}, {3, 5}}).worse_than_linear);
  EXPECT_GT(fit_line({{1, 1}, {2, 4}, {3, 9}, {4, 16}}).residual, 0.05);
}

TEST(ScaleFit, OfNothingAndOfOnePointIsNoSlope) {
  EXPECT_EQ(fit_line({}).points, 0U);
  EXPECT_EQ(fit_line({{3, 7}}).slope, 0);
  EXPECT_EQ(fit_line({{3, 7}, {3, 9}}).slope, 0);
}

RC_GTEST_PROP(ScaleOptions, DivideIntoCellsThatAddUp, ()) {
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
    // Every machine's port, and those of the controllers.
    next_port = c.port + 200 + c.workers;
    workers += c.workers;
    starts += c.starts_per_second;
  }
  RC_ASSERT(workers == o.workers);
  RC_ASSERT(std::abs(starts - o.starts_per_second) < 1e-6);
}

TEST(ScaleOptions, RefuseWhatCannotBe) {
  ScaleOptions o;
  o.zones = 0;
  expect_refused(o, "--zones");
  o = {};
  o.workers = 3;
  o.zones = 4;
  expect_refused(o, "--workers");
  o = {};
  o.starts_per_second = -1;
  expect_refused(o, "--starts");
  o = {};
  o.starts_per_second = std::nan("");
  expect_refused(o, "--starts");
  o = {};
  o.report_s = 0;
  expect_refused(o, "--report");
  o = {};
  o.state_puts = 0;
  expect_refused(o, "--state-puts");
  o = {};
  o.state_requests = 1;
  expect_refused(o, "--state-requests");
  o = {};
  o.seconds = 1;
  expect_refused(o, "--seconds");
}

TEST(ScaleOptions, RefuseWhatThisMachineCannotHold) {
  ScaleOptions o;
  o.workers = 640;
  o.zones = 64;
  o.controllers = 9;
  expect_refused(o, "--zones, --controllers: 641 processes");
  o = {};
  o.workers = 20000;
  o.zones = 1;
  expect_refused(o, "--workers, --port");
  try {
    check_fits(divide(ScaleOptions{}), MachineSize{100, 8});
    FAIL() << "more than half of the memory was taken";
  } catch (const ScaleError& e) {
    EXPECT_NE(std::string(e.what()).find("more than half of this machine's 100 MB"), std::string::npos)
        << e.what();
  }
}

TEST(ScaleOptions, TheFullSizeFitsAMachineOf24Gb) {
  ScaleOptions o;
  o.workers = 11000;
  o.zones = 9;
  o.teams = 230;
  o.starts_per_second = 8600;
  const auto cells = divide(o);
  EXPECT_NO_THROW(check_fits(cells, MachineSize{24000, 8}));
  EXPECT_EQ(needs_of(cells).processes, 37);
}

RC_GTEST_PROP(ScaleResult, SurvivesTheWayBetweenProcesses, ()) {
  CellResult r;
  r.load.workers = *rc::gen::inRange(1, 10000);
  r.load.name = "zone-7";
  r.controllers = {{true, 0.5, 12, 300, 20}, {false, 0.25, 9, 60, 4}};
  r.links["worker>controller /hello"] = {10, 2000, 300};
  r.starts = *rc::gen::inRange(0, 1000);
  r.start_wait = waits_of({3, 1, 2});
  r.broken = {"ran_twice: here"};
  const auto back = nlohmann::json(r).get<CellResult>();
  RC_ASSERT(nlohmann::json(back) == nlohmann::json(r));
  RC_ASSERT(back.start_wait.p50 == 2);
}

/// Cells whose leader costs a known amount by report and start.
std::vector<CellResult> known_cells() {
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

TEST(ScaleSlopes, AreFoundAndPredictOtherSizes) {
  const Slopes s = slopes_of(known_cells());
  EXPECT_NEAR(s.at("leader_cores_per_report").fit.slope, 0.0001, 1e-9);
  EXPECT_NEAR(s.at("leader_cores_per_start").fit.slope, 0.0003, 1e-9);
  EXPECT_NEAR(s.at("reports_per_start").fit.slope, 2, 1e-9);
  for (const auto& [name, slope] : s) EXPECT_GE(slope.points.size(), 3U) << name;
  const Prediction p = predict(s, {2000, 1, 300, 0, 0, 0, 0});
  EXPECT_NEAR(p.reports, 2600, 1e-6);
  EXPECT_NEAR(p.leader_cores, 0.01 + 0.26 + 0.09, 1e-6);
  EXPECT_NEAR(p.leader_memory_mb, 48, 1e-6);
  // Workers report no more often than every half second, however much starts.
  EXPECT_NEAR(predict(s, {100, 1, 10000, 0, 0, 0, 0}).reports, 200, 1e-6);
}

TEST(ScaleSlopes, LeaveOutCellsThatWereNotMeasuredOrChangedTheirLeader) {
  auto cells = known_cells();
  cells[0].error = "no controller leads";
  cells[0].controllers[0].cores = 1000;
  cells[1].one_leader = false;
  cells[1].controllers[0].cores = 1000;
  EXPECT_NEAR(slopes_of(cells).at("leader_cores_per_report").fit.slope, 0.0001, 1e-9);
}

TEST(ScaleSlopes, AreReadBackAndAnythingElseIsRefused) {
  const Slopes s = slopes_of(known_cells());
  const std::string file = testing::TempDir() + "/slopes.json";
  std::ofstream(file) << slopes_json(s);
  EXPECT_EQ(slopes_json(read_slopes(file)), slopes_json(s));
  std::ofstream(file) << R"({"leader_cores_per_report": 7})";
  EXPECT_THROW(read_slopes(file), ScaleError);
  std::ofstream(file) << "no JSON";
  EXPECT_THROW(read_slopes(file), ScaleError);
  EXPECT_THROW(read_slopes(file + ".none"), ScaleError);
}

TEST(ScaleReport, FailsForABrokenRuleAMissedAimAndACellWithoutMeasurement) {
  CellResult good;
  good.load.starts_per_second = good.starts = 100;
  good.asked = 1000;
  good.in_vain = 5;
  good.urgent_start_wait = waits_of({1, 2});
  good.change_wait = waits_of({3});
  EXPECT_FALSE((ScaleReport{{good}, {}}.failed()));
  CellResult broken = good;
  broken.broken = {"quota: too much"};
  EXPECT_TRUE((ScaleReport{{good, broken}, {}}.failed()));
  CellResult late = good;
  late.urgent_start_wait = waits_of({3, 3, 3});
  EXPECT_TRUE((ScaleReport{{good, late}, {}}.failed()));
  CellResult vain = good;
  vain.in_vain = 50;
  EXPECT_TRUE((ScaleReport{{vain}, {}}.failed()));
  CellResult slow = good;
  slow.starts = 50;
  EXPECT_TRUE((ScaleReport{{slow}, {}}.failed()));
  CellResult silent = good;
  silent.error = "no controller leads";
  EXPECT_TRUE((ScaleReport{{silent}, {}}.failed()));
}

TEST(ScaleReport, SaysWhenTheMachineLimits) {
  CellResult c;
  EXPECT_EQ((ScaleReport{{c}, {}}.machine_limit()), "");
  c.machine_busy = 0.97;
  EXPECT_NE((ScaleReport{{c}, {}}.machine_limit()).find("97% busy"), std::string::npos);
  c.machine_busy = 0.5;
  c.lab_lag_p99 = 0.6;
  EXPECT_NE((ScaleReport{{c}, {}}.machine_limit()).find("0.60 s late"), std::string::npos);
}

}  // namespace
