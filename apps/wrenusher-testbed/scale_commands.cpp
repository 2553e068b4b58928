#include "scale_commands.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>

#include "wrenusher/testbed/cell_processes.hpp"
#include "wrenusher/testbed/scale_report.hpp"

namespace wrenusher::testbed {

namespace {

constexpr int kFailed = 1;

void write(const std::string& file, const nlohmann::json& what) {
  std::ofstream out(file);
  out << what.dump(1) << '\n';
  if (!out.flush()) throw ScaleError("--json: " + file + " cannot be written");
}

}  // namespace

ScaleCommands::ScaleCommands(CLI::App& app, const std::string& wrenusher, int port) {
  options_.wrenusher = slope_options_.wrenusher = wrenusher;
  options_.port = slope_options_.port = port;
  auto* scale = app.add_subcommand(
      "scale",
      "real controllers beside hollow workers and users, one deployment for each zone; exit code 1 if "
      "a rule was broken or an aim missed");
  scale_command_ = scale;
  scale->add_flag("--full", full_,
                  "the size that docs/CAPACITY.md reckons with: 11,000 workers, nine zones, 230 teams, 8,600 "
                  "starts a second");
  scale->add_option("--workers", options_.workers, "over all zones (300)");
  scale->add_option("--zones", options_.zones, "each with controllers and a state service of its own (1)");
  scale->add_option("--teams", options_.teams, "teams with quotas (20)");
  scale->add_option("--controllers", options_.controllers, "in each zone (3)");
  scale->add_option("--starts", options_.starts_per_second, "tasks started a second over all zones (150)");
  scale->add_option("--tasks-per-worker", options_.tasks_per_worker, "that run at a time (21)");
  scale->add_option("--tasks-per-job", options_.tasks_per_job, "of ordinary jobs (100)");
  scale->add_option("--changes", options_.changes_per_minute, "changes of configuration a minute (4.5)");
  scale->add_option("--state-requests", options_.state_requests,
                    "a second of each zone's state service (200)");
  scale->add_option("--state-puts", options_.state_puts, "likewise, puts and deletes (40)");
  scale->add_option("--report", options_.report_s, "seconds between a worker's reports (1)");
  scale->add_option("--warmup", options_.warmup_s, "seconds before the measurement (20)");
  scale->add_option("--seconds", options_.seconds, "of the measurement (60)");
  scale->add_option("--settle", options_.settle_s, "seconds after the failures (30)");
  scale->add_flag("--no-failures", quiet_, "without the phase of failures");
  scale->add_option("--slopes", slopes_file_, "what predictions are made from (testbed/sites/slopes.json)");
  auto* slopes = app.add_subcommand(
      "slopes",
      "measures what one more worker, start, question, ... costs each role, from several sizes each");
  slopes_command_ = slopes;
  slopes->add_option("--seconds", slope_options_.seconds, "of each measurement (20)")
      ->check(CLI::Range(5, 600));
  slopes->add_option("--warmup", slope_options_.warmup_s, "seconds before each (12)")
      ->check(CLI::Range(5, 600));
  slopes->add_option("--at-a-time", slope_options_.at_a_time, "deployments that run side by side (3)")
      ->check(CLI::Range(1, 16));
  for (auto* c : {scale, slopes}) {
    c->add_option("--wrenusher", c == scale ? options_.wrenusher : slope_options_.wrenusher,
                  "the program to run (beside this one)");
    c->add_option("--port", c == scale ? options_.port : slope_options_.port,
                  "first of the ports used (7400)")
        ->check(CLI::Range(1024, 30000));
    c->add_option("--json", json_, "also write everything measured to this file");
  }
}

std::optional<int> ScaleCommands::run() const {
  if (*scale_command_) return scale();
  if (*slopes_command_) return slopes();
  return std::nullopt;
}

int ScaleCommands::scale() const {
  ScaleOptions options = options_;
  if (full_) {
    options.workers = 11000;
    options.zones = 9;
    options.teams = 230;
    options.starts_per_second = 8600;
  }
  options.failures = !quiet_;
  ScaleReport report;
  if (std::filesystem::exists(slopes_file_)) {
    report.slopes = read_slopes(slopes_file_);
  } else {
    std::cerr << "wrenusher-testbed: no predictions, since there is no " << slopes_file_ << '\n';
  }
  const std::vector<CellLoad> cells = divide(options);
  check_fits(cells, this_machine());
  const ScaleNeeds needs = needs_of(cells);
  std::cerr << needs.processes << " processes, about " << static_cast<int>(needs.memory_mb) << " MB\n";
  report.cells = run_cells(cells, static_cast<int>(cells.size()));
  std::cout << report.table() << "Workers, users and state services are hollow; controllers are real.\n";
  if (!json_.empty()) write(json_, report.json());
  return report.failed() ? kFailed : 0;
}

int ScaleCommands::slopes() const {
  const std::vector<CellLoad> cells = slope_cells(slope_options_);
  check_fits(cells, this_machine());
  const std::vector<CellResult> results = run_cells(cells, slope_options_.at_a_time);
  const Slopes slopes = slopes_of(results);
  std::cout << slopes_table(slopes);
  if (!json_.empty()) write(json_, slopes_json(slopes));
  bool failed = false;
  for (const CellResult& r : results) {
    for (const std::string& note : r.broken) std::cout << r.load.name << ": RULE BROKEN: " << note << '\n';
    if (!r.error.empty()) std::cout << r.load.name << " was not measured: " << r.error << '\n';
    failed = failed || !r.broken.empty() || !r.error.empty();
  }
  return failed ? kFailed : 0;
}

}  // namespace wrenusher::testbed
