#include "wrenusher/testbed/scale_report.hpp"

#include <algorithm>
#include <cstdio>

namespace wrenusher::testbed {

namespace {

constexpr double kMinStartsRatio = 0.9;
constexpr double kMaxUrgentWaitSeconds = 2.2;
constexpr double kMaxFailedRequestShare = 0.01;
constexpr double kMaxSubmissionWaitSeconds = 1.0;
constexpr double kMaxChangeWaitSeconds = 17;
/// Above this busy share of all processors, the machine limits the measurement.
constexpr double kMachineBusyThreshold = 0.9;
/// Above this delay of the testbed's timers (p99), the testbed limits the measurement.
constexpr double kTimerLagThresholdSeconds = 0.25;
/// The report marks a prediction with a larger relative error, which needs an explanation.
constexpr double kMaxPredictionError = 0.25;

double sum_of(const std::vector<CellResult>& cells, double CellResult::*field) {
  double sum = 0;
  for (const CellResult& c : cells) sum += c.*field;
  return sum;
}

/// Returns the maximum of a statistic over all cells.
double max_over_cells(const std::vector<CellResult>& cells, LatencySummary CellResult::*which,
                      double LatencySummary::*field) {
  double maximum = 0;
  for (const CellResult& c : cells) maximum = std::max(maximum, (c.*which).*field);
  return maximum;
}

/// Returns the mean over the leaders of all cells, or over all other controllers if `leader` is false.
double mean_of(const std::vector<CellResult>& cells, bool leader, double ControllerUsage::*field) {
  double sum = 0;
  int count = 0;
  for (const CellResult& r : cells) {
    for (const ControllerUsage& c : r.controllers) {
      if (c.leader != leader) continue;
      sum += c.*field;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

int max_sockets(const std::vector<CellResult>& cells, bool leader) {
  int maximum = 0;
  for (const CellResult& r : cells) {
    for (const ControllerUsage& c : r.controllers) {
      if (c.leader == leader) maximum = std::max(maximum, c.sockets);
    }
  }
  return maximum;
}

LinkUsage link_of(const std::vector<CellResult>& cells, const std::string& kind) {
  LinkUsage sum;
  for (const CellResult& r : cells) {
    const auto it = r.links.find(kind);
    if (it == r.links.end()) continue;
    sum.requests += it->second.requests;
    sum.request_bytes += it->second.request_bytes;
    sum.response_bytes += it->second.response_bytes;
  }
  return sum;
}

/// One row of the report: a quantity that is summed or averaged over the cells, or its maximum.
struct Row {
  std::string label;
  double measured = 0;
  std::optional<double> predicted;
};

std::vector<Row> rows_of(const ScaleReport& report) {
  const auto& cells = report.cells;
  Prediction sum;
  for (const CellResult& c : cells) {
    const Prediction p = report.slopes ? predict(*report.slopes, drivers_of(c)) : Prediction{};
    sum.reports += p.reports;
    sum.puts += p.puts;
    sum.state_requests += p.state_requests;
    sum.leader_cores += p.leader_cores / static_cast<double>(cells.size());
    sum.follower_cores += p.follower_cores / static_cast<double>(cells.size());
    sum.leader_memory_mb += p.leader_memory_mb / static_cast<double>(cells.size());
    sum.follower_memory_mb += p.follower_memory_mb / static_cast<double>(cells.size());
    sum.report_bytes += p.report_bytes / static_cast<double>(cells.size());
  }
  const auto predicted = [&](double x) { return report.slopes ? std::optional<double>(x) : std::nullopt; };
  const LinkUsage hello = link_of(cells, "worker>controller /hello");
  const double reports = std::max(hello.requests, 1e-9);
  const double machines = std::max(sum_of(cells, &CellResult::machines), 1.0);
  return {
      {"workers", sum_of(cells, &CellResult::machines), {}},
      {"tasks on workers", sum_of(cells, &CellResult::tasks_on_machines), {}},
      {"live jobs", sum_of(cells, &CellResult::live_jobs), {}},
      {"starts/s", sum_of(cells, &CellResult::starts), {}},
      {"submissions/s", sum_of(cells, &CellResult::submissions), {}},
      {"questions/s", sum_of(cells, &CellResult::questions), {}},
      {"reports/s", sum_of(cells, &CellResult::reports), predicted(sum.reports)},
      {"bytes of a report", hello.request_bytes / reports, predicted(sum.report_bytes)},
      {"bytes of its answer", hello.response_bytes / reports, {}},
      {"bytes/s of a worker, both ways", (hello.request_bytes + hello.response_bytes) / machines, {}},
      {"leader, cores (mean)", mean_of(cells, true, &ControllerUsage::cores), predicted(sum.leader_cores)},
      {"follower, cores (mean)", mean_of(cells, false, &ControllerUsage::cores),
       predicted(sum.follower_cores)},
      {"leader, MB (mean)", mean_of(cells, true, &ControllerUsage::memory_mb),
       predicted(sum.leader_memory_mb)},
      {"follower, MB (mean)", mean_of(cells, false, &ControllerUsage::memory_mb),
       predicted(sum.follower_memory_mb)},
      {"leader, sockets (most)", static_cast<double>(max_sockets(cells, true)), {}},
      {"follower, sockets (most)", static_cast<double>(max_sockets(cells, false)), {}},
      {"state services, requests/s", sum_of(cells, &CellResult::state_requests),
       predicted(sum.state_requests)},
      {"state services, puts/s", sum_of(cells, &CellResult::puts), predicted(sum.puts)},
      {"lab, cores (all cells)", sum_of(cells, &CellResult::lab_cores), {}},
      {"lab, MB (all cells)", sum_of(cells, &CellResult::lab_memory_mb), {}},
  };
}

nlohmann::json row_json(const Row& r) {
  nlohmann::json out = {{"what", r.label}, {"measured", r.measured}};
  if (r.predicted) out["predicted"] = *r.predicted;
  return out;
}

std::string format_text(const char* format, auto... values) {
  char line[256];
  std::snprintf(line, sizeof line, format, values...);
  return line;
}

std::string waits_line(const char* what, const std::vector<CellResult>& cells,
                       LatencySummary CellResult::*which) {
  std::uint64_t count = 0;
  for (const CellResult& c : cells) count += (c.*which).count;
  return format_text(
      "%-34s p50 %.2f  p95 %.2f  p99 %.2f s (each the worst cell's), %llu counted\n", what,
      max_over_cells(cells, which, &LatencySummary::p50), max_over_cells(cells, which, &LatencySummary::p95),
      max_over_cells(cells, which, &LatencySummary::p99), static_cast<unsigned long long>(count));
}

}  // namespace

std::vector<ScaleObjective> ScaleReport::aims() const {
  std::vector<ScaleObjective> out;
  const auto add_upper_bound = [&](const char* what, double value, double bound) {
    out.push_back({what, value, bound, value <= bound});
  };
  double requested_starts = 0;
  std::uint64_t user_requests = 0;
  std::uint64_t failed_requests = 0;
  std::uint64_t urgent = 0;
  std::uint64_t changes = 0;
  for (const CellResult& c : cells) {
    requested_starts += c.load.starts_per_second;
    user_requests += c.asked;
    failed_requests += c.in_vain;
    urgent += c.urgent_start_wait.count;
    changes += c.change_wait.count;
  }
  if (requested_starts > 0) {
    const double reached = sum_of(cells, &CellResult::starts) / requested_starts;
    out.push_back({"part of the starts asked for", reached, kMinStartsRatio, reached >= kMinStartsRatio});
  }
  if (urgent > 0)
    add_upper_bound("urgent starts, p95 in s",
                    max_over_cells(cells, &CellResult::urgent_start_wait, &LatencySummary::p95),
                    kMaxUrgentWaitSeconds);
  if (user_requests > 0)
    add_upper_bound("users' requests in vain",
                    static_cast<double>(failed_requests) / static_cast<double>(user_requests),
                    kMaxFailedRequestShare);
  add_upper_bound("submissions answered, p95 in s",
                  max_over_cells(cells, &CellResult::submission_wait, &LatencySummary::p95),
                  kMaxSubmissionWaitSeconds);
  if (changes > 0)
    add_upper_bound("changes in force, longest in s",
                    max_over_cells(cells, &CellResult::change_wait, &LatencySummary::most),
                    kMaxChangeWaitSeconds);
  return out;
}

bool ScaleReport::failed() const {
  const bool cell_failed = std::any_of(
      cells.begin(), cells.end(), [](const CellResult& c) { return !c.error.empty() || !c.broken.empty(); });
  const std::vector<ScaleObjective> all = aims();
  return cell_failed || std::any_of(all.begin(), all.end(), [](const ScaleObjective& a) { return !a.met; });
}

std::string ScaleReport::machine_limit() const {
  double busy = 0;
  double lag = 0;
  for (const CellResult& c : cells) {
    busy = std::max(busy, c.machine_busy);
    lag = std::max(lag, c.lab_lag_p99);
  }
  if (busy > kMachineBusyThreshold)
    return format_text(
        "this machine's processors were %.0f%% busy: the machine, not the service, limits the waits",
        100 * busy);
  if (lag > kTimerLagThresholdSeconds)
    return format_text(
        "the testbed's own timers fired %.2f s late (p99): the testbed, not the service, limits the waits",
        lag);
  return {};
}

std::string ScaleReport::table() const {
  std::string out = format_text("%-34s %12s %12s %8s\n", "", "measured", "predicted", "ratio");
  for (const Row& r : rows_of(*this)) {
    out += format_text("%-34s %12.4g", r.label.c_str(), r.measured);
    if (r.predicted) {
      const double ratio = *r.predicted > 0 ? r.measured / *r.predicted : 0;
      out += format_text(" %12.4g %8.2f%s", *r.predicted, ratio,
                         ratio > 1 + kMaxPredictionError || ratio < 1 / (1 + kMaxPredictionError)
                             ? "  off by more than a quarter"
                             : "");
    }
    out += '\n';
  }
  out += waits_line("start of ordinary tasks", cells, &CellResult::start_wait);
  out += waits_line("start of urgent tasks", cells, &CellResult::urgent_start_wait);
  out += waits_line("submissions answered", cells, &CellResult::submission_wait);
  out += waits_line("changes of configuration in force", cells, &CellResult::change_wait);
  std::uint64_t refused = 0;
  std::uint64_t failures = 0;
  std::uint64_t restarts = 0;
  std::uint64_t terms = 0;
  for (const CellResult& c : cells) {
    refused += c.state_refused;
    failures += c.failed_machines;
    restarts += c.restarted_machines;
    terms += c.terms;
    if (!c.error.empty()) out += c.load.name + " was not measured: " + c.error + '\n';
    if (!c.one_leader) out += c.load.name + ": the leader changed during the measurement\n";
    for (const std::string& note : c.broken) out += c.load.name + ": RULE BROKEN: " + note + '\n';
  }
  out += format_text("state services refused %llu requests; %llu terms of leadership\n",
                     static_cast<unsigned long long>(refused), static_cast<unsigned long long>(terms));
  if (failures + restarts > 0)
    out += format_text(
        "failures: %llu machines died, %llu workers restarted, leaders killed, zones partitioned; %.0f "
        "starts/s\n",
        static_cast<unsigned long long>(failures), static_cast<unsigned long long>(restarts),
        sum_of(cells, &CellResult::failure_starts));
  for (const ScaleObjective& a : aims())
    out +=
        format_text("%s  %s: %.3g (%.3g)\n", a.met ? "met   " : "MISSED", a.what.c_str(), a.value, a.bound);
  if (const std::string limit = machine_limit(); !limit.empty()) out += limit + '\n';
  return out;
}

nlohmann::json ScaleReport::json() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const Row& r : rows_of(*this)) rows.push_back(row_json(r));
  nlohmann::json objectives = nlohmann::json::array();
  for (const ScaleObjective& a : aims())
    objectives.push_back({{"what", a.what}, {"value", a.value}, {"bound", a.bound}, {"met", a.met}});
  return {{"rows", rows}, {"aims", objectives}, {"machine_limit", machine_limit()}, {"cells", cells}};
}

}  // namespace wrenusher::testbed
