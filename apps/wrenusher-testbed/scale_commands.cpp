#include "scale_commands.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>

#include "wrenusher/testbed/cell_processes.hpp"
#include "wrenusher/testbed/scale_report.hpp"

namespace wrenusher::testbed {

namespace {

constexpr int kFailed = 1;

void write_json(const std::string& file, const nlohmann::json& value) {
  std::ofstream out(file);
  out << value.dump(1) << '\n';
  if (!out.flush()) throw ScaleError("--json: " + file + " cannot be written");
}

}  // namespace

ScaleCommands::ScaleCommands(CLI::App& app, const std::string& wrenusher, int port) {
  options_.wrenusher = slope_options_.wrenusher = wrenusher;
  options_.port = slope_options_.port = port;
  auto* scale = app.add_subcommand(
      "scale",
      "run real controllers with emulated workers and users, one deployment per zone; exit code 1 if "
      "a rule was broken or an objective missed");
  scale_command_ = scale;
  scale->add_flag("--full", full_,
                  "the size that docs/CAPACITY.md assumes: 11,000 workers, nine zones, 230 teams, 8,600 "
                  "starts a second");
  scale->add_option("--workers", options_.workers, "workers in all zones together (300)");
  scale->add_option("--zones", options_.zones,
                    "number of zones, each with its own controllers and state service (1)");
  scale->add_option("--teams", options_.teams, "number of teams with quotas (20)");
  scale->add_option("--controllers", options_.controllers, "controllers in each zone (3)");
  scale->add_option("--starts", options_.starts_per_second,
                    "tasks started per second in all zones together (150)");
  scale->add_option("--tasks-per-worker", options_.tasks_per_worker,
                    "tasks that run on a worker at the same time (21)");
  scale->add_option("--tasks-per-job", options_.tasks_per_job, "tasks of an ordinary job (100)");
  scale->add_option("--changes", options_.changes_per_minute, "configuration changes per minute (4.5)");
  scale->add_option("--state-requests", options_.state_requests,
                    "requests per second that each zone's state service allows (200)");
  scale->add_option("--state-puts", options_.state_puts,
                    "puts and deletes per second that each zone's state service allows (40)");
  scale->add_option("--report", options_.report_s, "seconds between a worker's reports (1)");
  scale->add_option("--warmup", options_.warmup_s, "seconds before the measurement (20)");
  scale->add_option("--seconds", options_.seconds, "length of the measurement in seconds (60)");
  scale->add_option("--settle", options_.settle_s, "seconds to recover after the failures (30)");
  scale->add_flag("--no-failures", no_failures_, "skip the phase with injected failures");
  scale->add_option("--slopes", slopes_file_,
                    "file of slopes for the predictions (testbed/sites/slopes.json)");
  auto* slopes = app.add_subcommand(
      "slopes",
      "measure what each additional worker, start, query, ... costs each role, with several sizes of each");
  slopes_command_ = slopes;
  slopes->add_option("--seconds", slope_options_.seconds, "length of each measurement in seconds (20)")
      ->check(CLI::Range(5, 600));
  slopes->add_option("--warmup", slope_options_.warmup_s, "seconds before each measurement (12)")
      ->check(CLI::Range(5, 600));
  slopes->add_option("--at-a-time", slope_options_.at_a_time, "deployments that run at the same time (3)")
      ->check(CLI::Range(1, 16));
  for (auto* c : {scale, slopes}) {
    c->add_option("--wrenusher", c == scale ? options_.wrenusher : slope_options_.wrenusher,
                  "path of the controller's executable (wrenusher in this program's folder)");
    c->add_option("--port", c == scale ? options_.port : slope_options_.port, "first port to use (7400)")
        ->check(CLI::Range(1024, 30000));
    c->add_option("--json", json_, "also write all measurements to this file");
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
  options.failures = !no_failures_;
  ScaleReport report;
  if (std::filesystem::exists(slopes_file_)) {
    report.slopes = read_slopes(slopes_file_);
  } else {
    std::cerr << "wrenusher-testbed: no predictions, because this file does not exist: " << slopes_file_
              << '\n';
  }
  const std::vector<CellLoad> cells = divide(options);
  check_fits(cells, this_machine());
  const ScaleNeeds needs = needs_of(cells);
  std::cerr << needs.processes << " processes, about " << static_cast<int>(needs.memory_mb) << " MB\n";
  report.cells = run_cells(cells, static_cast<int>(cells.size()));
  std::cout << report.table() << "Workers, users and state services are emulated; controllers are real.\n";
  if (!json_.empty()) write_json(json_, report.json());
  return report.failed() ? kFailed : 0;
}

int ScaleCommands::slopes() const {
  const std::vector<CellLoad> cells = slope_cells(slope_options_);
  check_fits(cells, this_machine());
  const std::vector<CellResult> results = run_cells(cells, slope_options_.at_a_time);
  const Slopes slopes = slopes_of(results);
  std::cout << slopes_table(slopes);
  if (!json_.empty()) write_json(json_, slopes_json(slopes));
  bool failed = false;
  for (const CellResult& r : results) {
    for (const std::string& note : r.broken) std::cout << r.load.name << ": RULE BROKEN: " << note << '\n';
    if (!r.error.empty()) std::cout << r.load.name << " was not measured: " << r.error << '\n';
    failed = failed || !r.broken.empty() || !r.error.empty();
  }
  return failed ? kFailed : 0;
}

}  // namespace wrenusher::testbed
