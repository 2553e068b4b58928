#include "wrenusher/testbed/slopes.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>

namespace wrenusher::testbed {

namespace {

// Prefixes of the cell names; the cells with the same prefix form a series.
constexpr const char* kMachineSeries = "machines";
constexpr const char* kStartSeries = "starts";
constexpr const char* kClaimSeries = "claims";
constexpr const char* kJobSeries = "jobs";
constexpr const char* kQuestionSeries = "questions";
constexpr const char* kSubmissionSeries = "submissions";

/// Factor that keeps the rate of users' questions low in cells that do not measure questions.
constexpr double kLowQuestionsFactor = 0.02;
/// Rate at which the state service of an otherwise idle cell accepts submissions.
constexpr double kIdleSubmissionsPerSecond = 15;
/// Minimum time between two reports of a worker, also when its tasks change.
constexpr double kMinReportIntervalSeconds = 0.5;

using Measure = std::function<double(const CellResult&)>;

/// Returns a value of the leader, or 0 if no controller leads.
double leader_usage(const CellResult& r, double ControllerUsage::*field) {
  for (const ControllerUsage& c : r.controllers) {
    if (c.leader) return c.*field;
  }
  return 0;
}

/// Returns the mean of a value over the controllers that do not lead.
double mean_follower_usage(const CellResult& r, double ControllerUsage::*field) {
  double sum = 0;
  int count = 0;
  for (const ControllerUsage& c : r.controllers) {
    if (c.leader) continue;
    sum += c.*field;
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

double bytes_per_report(const CellResult& r) {
  const auto it = r.links.find("worker>controller /hello");
  return it == r.links.end() || it->second.requests == 0 ? 0 : it->second.request_bytes / it->second.requests;
}

double slope_of(const Slopes& slopes, const char* name) {
  const auto it = slopes.find(name);
  return it == slopes.end() ? 0 : it->second.fit.slope;
}

double base_of(const Slopes& slopes, const char* name) {
  const auto it = slopes.find(name);
  return it == slopes.end() ? 0 : it->second.fit.base;
}

/// Computes slopes from the results of series of cells.
class SlopeBuilder {
 public:
  explicit SlopeBuilder(const std::vector<CellResult>& results) : results_(results) {}

  void add(const char* name, const char* series, const char* x, const Measure& x_of, const char* y,
           const Measure& y_of) {
    Slope added;
    added.x = x;
    added.y = y;
    for (const CellResult& r : results_) {
      if (r.error.empty() && r.one_leader && r.load.name.starts_with(std::string(series) + "-"))
        added.points.push_back({x_of(r), y_of(r)});
    }
    added.fit = fit_line(added.points);
    slopes_[name] = std::move(added);
  }
  double slope(const char* name) const { return slope_of(slopes_, name); }
  Slopes take() { return std::move(slopes_); }

 private:
  const std::vector<CellResult>& results_;
  Slopes slopes_;
};

}  // namespace

std::vector<CellLoad> slope_cells(const SlopeOptions& o) {
  std::vector<CellLoad> cells;
  int port = o.port;
  const auto add = [&](const char* series, int size, const std::function<void(CellLoad&)>& set) {
    CellLoad c;
    c.name = std::string(series) + "-" + std::to_string(size);
    c.workers = 100;
    c.report_s = o.report_s;
    c.questions_factor = kLowQuestionsFactor;
    c.urgent_share = 0;
    c.warmup_s = o.warmup_s;
    c.seconds = o.seconds;
    c.port = port;
    c.wrenusher = o.wrenusher;
    set(c);
    port += ports_of(c);
    cells.push_back(std::move(c));
  };
  for (int n : {100, 300, 600, 1000}) add(kMachineSeries, n, [n](CellLoad& c) { c.workers = n; });
  for (int n : {25, 75, 150, 225}) {
    add(kStartSeries, n, [n](CellLoad& c) {
      c.workers = 150;
      c.starts_per_second = n;
      c.run_s = 10;
    });
  }
  for (int n : {0, 1000, 2000, 3600}) {
    add(kClaimSeries, n, [n](CellLoad& c) {
      c.workers = 150;
      c.held_tasks = n;
    });
  }
  for (int n : {0, 150, 300, 600}) {
    add(kJobSeries, n, [n](CellLoad& c) {
      c.held_tasks = n;
      c.held_per_job = 1;
      // Each submission is a put, and the state service limits their rate.
      c.warmup_s += n / kIdleSubmissionsPerSecond;
    });
  }
  for (int n : {30, 100, 200}) {
    add(kQuestionSeries, n, [n](CellLoad& c) {
      c.held_tasks = 300;
      c.held_per_job = 1;
      c.warmup_s += c.held_tasks / kIdleSubmissionsPerSecond;
      c.questions_factor = n * 3.0 / 300;
    });
  }
  for (int n : {1, 3, 6}) {
    add(kSubmissionSeries, n, [n](CellLoad& c) {
      c.starts_per_second = n;
      c.tasks_per_job = 1;
      c.run_s = 5;
    });
  }
  return cells;
}

Slopes slopes_of(const std::vector<CellResult>& results) {
  SlopeBuilder builder(results);
  const Measure workers = [](const CellResult& r) { return static_cast<double>(r.load.workers); };
  const Measure reports = [](const CellResult& r) { return r.reports; };
  const Measure starts = [](const CellResult& r) { return r.starts; };
  const Measure assignments = [](const CellResult& r) { return r.tasks_on_machines; };
  const Measure jobs = [](const CellResult& r) { return r.live_jobs; };
  const Measure questions = [](const CellResult& r) { return r.questions; };
  const Measure submissions = [](const CellResult& r) { return r.submissions; };
  const Measure leader_cores = [](const CellResult& r) { return leader_usage(r, &ControllerUsage::cores); };
  const Measure follower_cores = [](const CellResult& r) {
    return mean_follower_usage(r, &ControllerUsage::cores);
  };
  const Measure leader_mb = [](const CellResult& r) { return leader_usage(r, &ControllerUsage::memory_mb); };
  const Measure follower_mb = [](const CellResult& r) {
    return mean_follower_usage(r, &ControllerUsage::memory_mb);
  };
  const Measure requests = [](const CellResult& r) { return r.state_requests; };
  const Measure puts = [](const CellResult& r) { return r.puts; };

  builder.add("leader_cores_per_report", kMachineSeries, "reports/s", reports, "leader, cores", leader_cores);
  builder.add("follower_cores_per_worker", kMachineSeries, "workers", workers, "follower, cores",
              follower_cores);
  builder.add("leader_mb_per_worker", kMachineSeries, "workers", workers, "leader, MB", leader_mb);
  builder.add("follower_mb_per_worker", kMachineSeries, "workers", workers, "follower, MB", follower_mb);
  builder.add("state_requests_per_worker", kMachineSeries, "workers", workers, "state requests/s", requests);

  // Subtracts the cost of the reports, because each start also causes reports.
  const double per_report = builder.slope("leader_cores_per_report");
  const Measure beyond_reports = [=](const CellResult& r) {
    return leader_cores(r) - per_report * r.reports;
  };
  builder.add("reports_per_start", kStartSeries, "starts/s", starts, "reports/s beyond the regular ones",
              [](const CellResult& r) { return r.reports - r.load.workers / r.load.report_s; });
  builder.add("leader_cores_per_start", kStartSeries, "starts/s", starts, "leader beyond reports, cores",
              beyond_reports);
  builder.add("follower_cores_per_start", kStartSeries, "starts/s", starts, "follower, cores",
              follower_cores);
  builder.add("puts_per_start", kStartSeries, "starts/s", starts, "puts/s", puts);
  builder.add("state_requests_per_start", kStartSeries, "starts/s", starts, "state requests/s", requests);

  builder.add("leader_cores_per_claim", kClaimSeries, "tasks on workers", assignments,
              "leader beyond reports, cores", beyond_reports);
  builder.add("leader_mb_per_claim", kClaimSeries, "tasks on workers", assignments, "leader, MB", leader_mb);
  builder.add("follower_mb_per_claim", kClaimSeries, "tasks on workers", assignments, "follower, MB",
              follower_mb);
  builder.add(
      "report_bytes_per_task", kClaimSeries, "tasks on a worker",
      [](const CellResult& r) { return r.tasks_on_machines / r.load.workers; }, "bytes of a report",
      bytes_per_report);

  builder.add("leader_cores_per_live_job", kJobSeries, "live jobs", jobs, "leader beyond reports, cores",
              beyond_reports);
  builder.add("follower_cores_per_live_job", kJobSeries, "live jobs", jobs, "follower, cores",
              follower_cores);
  builder.add("leader_mb_per_live_job", kJobSeries, "live jobs", jobs, "leader, MB", leader_mb);
  builder.add("follower_mb_per_live_job", kJobSeries, "live jobs", jobs, "follower, MB", follower_mb);
  builder.add("state_requests_per_live_job", kJobSeries, "live jobs", jobs, "state requests/s", requests);

  builder.add("leader_cores_per_question", kQuestionSeries, "questions/s, all nodes", questions,
              "leader beyond reports, cores", beyond_reports);
  builder.add("follower_cores_per_question", kQuestionSeries, "questions/s, all nodes", questions,
              "follower, cores", follower_cores);
  builder.add("state_requests_per_question", kQuestionSeries, "questions/s, all nodes", questions,
              "state requests/s", requests);

  builder.add("leader_cores_per_submission", kSubmissionSeries, "submissions/s, one task each", submissions,
              "leader beyond reports, cores", beyond_reports);
  builder.add("follower_cores_per_submission", kSubmissionSeries, "submissions/s, one task each", submissions,
              "follower, cores", follower_cores);
  builder.add("puts_per_submission", kSubmissionSeries, "submissions/s, one task each", submissions, "puts/s",
              puts);
  builder.add("state_requests_per_submission", kSubmissionSeries, "submissions/s, one task each", submissions,
              "state requests/s", requests);
  return builder.take();
}

Drivers drivers_of(const CellResult& r) {
  return {static_cast<double>(r.load.workers),
          r.load.report_s,
          r.starts,
          r.questions,
          r.submissions,
          r.tasks_on_machines,
          r.live_jobs};
}

Prediction predict(const Slopes& s, const Drivers& d) {
  Prediction p;
  const auto slope = [&](const char* name) { return slope_of(s, name); };
  const auto base = [&](const char* name) { return base_of(s, name); };
  p.reports = std::min(d.workers / d.report_s + slope("reports_per_start") * d.starts,
                       d.workers / kMinReportIntervalSeconds);
  p.leader_cores = base("leader_cores_per_report") + slope("leader_cores_per_report") * p.reports +
                   slope("leader_cores_per_start") * d.starts + slope("leader_cores_per_claim") * d.claims +
                   slope("leader_cores_per_live_job") * d.live_jobs +
                   slope("leader_cores_per_question") * d.questions;
  p.follower_cores = base("follower_cores_per_worker") + slope("follower_cores_per_worker") * d.workers +
                     slope("follower_cores_per_start") * d.starts +
                     slope("follower_cores_per_live_job") * d.live_jobs +
                     slope("follower_cores_per_question") * d.questions;
  p.leader_memory_mb = base("leader_mb_per_worker") + slope("leader_mb_per_worker") * d.workers +
                       slope("leader_mb_per_claim") * d.claims +
                       slope("leader_mb_per_live_job") * d.live_jobs;
  p.follower_memory_mb = base("follower_mb_per_worker") + slope("follower_mb_per_worker") * d.workers +
                         slope("follower_mb_per_claim") * d.claims +
                         slope("follower_mb_per_live_job") * d.live_jobs;
  p.report_bytes =
      base("report_bytes_per_task") + slope("report_bytes_per_task") * d.claims / std::max(1.0, d.workers);
  p.puts = slope("puts_per_start") * d.starts + base("puts_per_start");
  p.state_requests = base("state_requests_per_worker") + slope("state_requests_per_start") * d.starts +
                     slope("state_requests_per_question") * d.questions +
                     slope("state_requests_per_submission") * d.submissions;
  return p;
}

nlohmann::json slopes_json(const Slopes& slopes) {
  nlohmann::json out = nlohmann::json::object();
  for (const auto& [name, s] : slopes) {
    nlohmann::json points = nlohmann::json::array();
    for (const Point& p : s.points) points.push_back({p.x, p.y});
    out[name] = {{"x", s.x}, {"y", s.y}, {"points", points}, {"fit", s.fit}};
  }
  return out;
}

Slopes read_slopes(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw ScaleError("--slopes: " + file + " cannot be read");
  Slopes slopes;
  try {
    const nlohmann::json all = nlohmann::json::parse(in);
    for (const auto& [name, s] : all.items()) {
      Slope& slope = slopes[name];
      slope.x = s.at("x").get<std::string>();
      slope.y = s.at("y").get<std::string>();
      slope.fit = s.at("fit").get<LinearFit>();
      for (const auto& p : s.at("points"))
        slope.points.push_back({p.at(0).get<double>(), p.at(1).get<double>()});
    }
  } catch (const nlohmann::json::exception& e) {
    throw ScaleError("--slopes: " + file + " holds no slopes: " + e.what());
  }
  return slopes;
}

std::string slopes_table(const Slopes& slopes) {
  std::string out;
  char line[256];
  std::snprintf(line, sizeof line, "%-32s %12s %12s %6s %9s %3s  %s\n", "slope", "per unit", "at 0", "fit",
                "residual", "n", "of");
  out += line;
  for (const auto& [name, s] : slopes) {
    std::snprintf(line, sizeof line, "%-32s %12.4g %12.4g %6.3f %8.0f%% %3zu  %s by %s%s\n", name.c_str(),
                  s.fit.slope, s.fit.base, s.fit.fit, 100 * s.fit.residual, s.fit.points, s.y.c_str(),
                  s.x.c_str(), s.fit.worse_than_linear ? "; WORSE THAN LINEAR" : "");
    out += line;
  }
  return out;
}

}  // namespace wrenusher::testbed
