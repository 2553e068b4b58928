#include "wrenusher/testbed/scale_report.hpp"

#include <algorithm>
#include <cstdio>

namespace wrenusher::testbed {

namespace {

constexpr double kMinOfStarts = 0.9;
constexpr double kMaxUrgentWait = 2.2;
constexpr double kMaxUnansweredShare = 0.01;
constexpr double kMaxSubmissionWait = 1.0;
constexpr double kMaxChangeWait = 17;
/// Where this much of all processors is busy, the machine is what limits.
constexpr double kBusyMachine = 0.9;
constexpr double kLateTimers = 0.25;
/// A prediction that is off by more needs an explanation.
constexpr double kOff = 0.25;

double sum_of(const std::vector<CellResult>& cells, double CellResult::*what) {
  double sum = 0;
  for (const CellResult& c : cells) sum += c.*what;
  return sum;
}

double worst(const std::vector<CellResult>& cells, LatencySummary CellResult::*which,
             double LatencySummary::*what) {
  double most = 0;
  for (const CellResult& c : cells) most = std::max(most, (c.*which).*what);
  return most;
}

/// Mean over the cells of the leaders, or of all that do not lead.
double mean_of(const std::vector<CellResult>& cells, bool leader, double ControllerUsage::*what) {
  double sum = 0;
  int count = 0;
  for (const CellResult& r : cells) {
    for (const ControllerUsage& c : r.controllers) {
      if (c.leader != leader) continue;
      sum += c.*what;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

int most_sockets(const std::vector<CellResult>& cells, bool leader) {
  int most = 0;
  for (const CellResult& r : cells) {
    for (const ControllerUsage& c : r.controllers) {
      if (c.leader == leader) most = std::max(most, c.sockets);
    }
  }
  return most;
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

struct Row {
  std::string what;
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
      {"leader, sockets (most)", static_cast<double>(most_sockets(cells, true)), {}},
      {"follower, sockets (most)", static_cast<double>(most_sockets(cells, false)), {}},
      {"state services, requests/s", sum_of(cells, &CellResult::state_requests),
       predicted(sum.state_requests)},
      {"state services, puts/s", sum_of(cells, &CellResult::puts), predicted(sum.puts)},
      {"lab, cores (all cells)", sum_of(cells, &CellResult::lab_cores), {}},
      {"lab, MB (all cells)", sum_of(cells, &CellResult::lab_memory_mb), {}},
  };
}

nlohmann::json row_json(const Row& r) {
  nlohmann::json out = {{"what", r.what}, {"measured", r.measured}};
  if (r.predicted) out["predicted"] = *r.predicted;
  return out;
}

std::string text(const char* format, auto... values) {
  char line[256];
  std::snprintf(line, sizeof line, format, values...);
  return line;
}

std::string waits_line(const char* what, const std::vector<CellResult>& cells,
                       LatencySummary CellResult::*which) {
  std::uint64_t count = 0;
  for (const CellResult& c : cells) count += (c.*which).count;
  return text("%-34s p50 %.2f  p95 %.2f  p99 %.2f s (each the worst cell's), %llu counted\n", what,
              worst(cells, which, &LatencySummary::p50), worst(cells, which, &LatencySummary::p95),
              worst(cells, which, &LatencySummary::p99), static_cast<unsigned long long>(count));
}

}  // namespace

std::vector<ScaleObjective> ScaleReport::aims() const {
  std::vector<ScaleObjective> out;
  const auto at_most = [&](const char* what, double value, double bound) {
    out.push_back({what, value, bound, value <= bound});
  };
  double asked_starts = 0;
  std::uint64_t asked = 0;
  std::uint64_t in_vain = 0;
  std::uint64_t urgent = 0;
  std::uint64_t changes = 0;
  for (const CellResult& c : cells) {
    asked_starts += c.load.starts_per_second;
    asked += c.asked;
    in_vain += c.in_vain;
    urgent += c.urgent_start_wait.count;
    changes += c.change_wait.count;
  }
  if (asked_starts > 0) {
    const double reached = sum_of(cells, &CellResult::starts) / asked_starts;
    out.push_back({"part of the starts asked for", reached, kMinOfStarts, reached >= kMinOfStarts});
  }
  if (urgent > 0)
    at_most("urgent starts, p95 in s", worst(cells, &CellResult::urgent_start_wait, &LatencySummary::p95),
            kMaxUrgentWait);
  if (asked > 0)
    at_most("users' requests in vain", static_cast<double>(in_vain) / static_cast<double>(asked),
            kMaxUnansweredShare);
  at_most("submissions answered, p95 in s", worst(cells, &CellResult::submission_wait, &LatencySummary::p95),
          kMaxSubmissionWait);
  if (changes > 0)
    at_most("changes in force, longest in s", worst(cells, &CellResult::change_wait, &LatencySummary::most),
            kMaxChangeWait);
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
  if (busy > kBusyMachine)
    return text("this machine's processors were %.0f%% busy: waits are the machine's, not the service's",
                100 * busy);
  if (lag > kLateTimers)
    return text(
        "the hollow workers' own timers fired %.2f s late (p99): waits are the lab's, not the service's",
        lag);
  return {};
}

std::string ScaleReport::table() const {
  std::string out = text("%-34s %12s %12s %8s\n", "", "measured", "predicted", "ratio");
  for (const Row& r : rows_of(*this)) {
    out += text("%-34s %12.4g", r.what.c_str(), r.measured);
    if (r.predicted) {
      const double ratio = *r.predicted > 0 ? r.measured / *r.predicted : 0;
      out += text(" %12.4g %8.2f%s", *r.predicted, ratio,
                  ratio > 1 + kOff || ratio < 1 / (1 + kOff) ? "  off by more than a quarter" : "");
    }
    out += '\n';
  }
  out += waits_line("start of ordinary tasks", cells, &CellResult::start_wait);
  out += waits_line("start of urgent tasks", cells, &CellResult::urgent_start_wait);
  out += waits_line("submissions answered", cells, &CellResult::submission_wait);
  out += waits_line("changes of configuration in force", cells, &CellResult::change_wait);
  std::uint64_t refused = 0;
  std::uint64_t died = 0;
  std::uint64_t restarted = 0;
  std::uint64_t terms = 0;
  for (const CellResult& c : cells) {
    refused += c.state_refused;
    died += c.failed_machines;
    restarted += c.restarted_machines;
    terms += c.terms;
    if (!c.error.empty()) out += c.load.name + " was not measured: " + c.error + '\n';
    if (!c.one_leader) out += c.load.name + ": another controller led before the measurement ended\n";
    for (const std::string& note : c.broken) out += c.load.name + ": RULE BROKEN: " + note + '\n';
  }
  out += text("state services refused %llu requests; %llu terms of leadership\n",
              static_cast<unsigned long long>(refused), static_cast<unsigned long long>(terms));
  if (died + restarted > 0)
    out +=
        text("failures: %llu machines died, %llu began anew, leaders killed, zones cut off; %.0f starts/s\n",
             static_cast<unsigned long long>(died), static_cast<unsigned long long>(restarted),
             sum_of(cells, &CellResult::failure_starts));
  for (const ScaleObjective& a : aims())
    out += text("%s  %s: %.3g (%.3g)\n", a.met ? "met   " : "MISSED", a.what.c_str(), a.value, a.bound);
  if (const std::string limit = machine_limit(); !limit.empty()) out += limit + '\n';
  return out;
}

nlohmann::json ScaleReport::json() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const Row& r : rows_of(*this)) rows.push_back(row_json(r));
  nlohmann::json aimed = nlohmann::json::array();
  for (const ScaleObjective& a : aims())
    aimed.push_back({{"what", a.what}, {"value", a.value}, {"bound", a.bound}, {"met", a.met}});
  return {{"rows", rows}, {"aims", aimed}, {"machine_limit", machine_limit()}, {"cells", cells}};
}

}  // namespace wrenusher::testbed
