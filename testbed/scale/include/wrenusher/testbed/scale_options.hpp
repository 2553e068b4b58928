#pragma once
// Package testbed/scale: runs real controllers over loopback with modelled workers, users and state services,
// at sizes given by options, and measures the resource cost of each role. This package owns the load, the
// measurement and the fits; the live testbed owns the models and the child processes.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace wrenusher::testbed {

/// Reports an invalid option. what() is one line: the option, the reason and the remedy.
struct ScaleError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The size and load of one cell: a deployment of controllers, state service, cloud, workers and users. Times
/// are in seconds.
struct CellLoad {
  std::string name = "cell-0";
  int workers = 100;
  int controllers = 3;
  int teams = 4;
  double report_s = 1;           ///< interval of the workers' reports
  double starts_per_second = 0;  ///< ordinary and urgent tasks together; 0: none
  double urgent_share = 0.05;    ///< share of urgent tasks among the starts
  int tasks_per_job = 100;
  double run_s = 20;            ///< run time of a task; the median and the 95th percentile are equal
  int held_tasks = 0;           ///< tasks that run longer than the scale run, in jobs of `held_per_job` tasks
  int held_per_job = 100;       ///< with 1 there are as many live jobs as tasks
  double questions_factor = 1;  ///< multiple of the default rate of one question per user every 3 s
  double changes_per_minute = 0;  ///< rate of new versions of the topology file
  double state_requests = 200;    ///< limit of the state service, requests per second
  double state_puts = 40;         ///< limit of the state service, puts and deletes per second
  double warmup_s = 15;
  double seconds = 30;    ///< duration of the measurement
  bool failures = false;  ///< whether a failure phase follows the measurement
  double settle_s = 30;   ///< time without faults after the failure phase
  int port = 7400;        ///< first port
  std::string wrenusher;  ///< path of the controller program
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellLoad, name, workers, controllers, teams, report_s, starts_per_second,
                                   urgent_share, tasks_per_job, run_s, held_tasks, held_per_job,
                                   questions_factor, changes_per_minute, state_requests, state_puts, warmup_s,
                                   seconds, failures, settle_s, port, wrenusher)

/// The size and load of a whole installation, which has one cell per zone. Workers and starts are divided
/// among the cells. Times are in seconds.
struct ScaleOptions {
  int workers = 300;
  int zones = 1;
  int teams = 20;
  int controllers = 3;  ///< in each zone
  double starts_per_second = 150;
  double tasks_per_worker = 21;  ///< mean number of tasks that run on a worker at the same time
  int tasks_per_job = 100;
  double report_s = 1;
  double changes_per_minute = 4.5;
  double state_requests = 200;  ///< limit of each zone's state service, requests per second
  double state_puts = 40;       ///< limit of each zone's state service, puts and deletes per second
  double warmup_s = 20;
  double seconds = 60;
  bool failures = true;
  double settle_s = 30;
  int port = 7400;        ///< first port
  std::string wrenusher;  ///< path of the controller program
};

/// Returns the number of consecutive ports that a cell uses, starting at `cell.port`.
int ports_of(const CellLoad& cell);

/// Memory and processors of a machine.
struct MachineSize {
  double memory_mb = 0;
  int processors = 1;
};
/// Returns the size of the machine that runs this process.
MachineSize this_machine();

/// Estimated processes and memory of a run, computed before it starts.
struct ScaleNeeds {
  int processes = 0;
  double memory_mb = 0;
};
/// Returns the estimated needs of a run of these cells.
ScaleNeeds needs_of(const std::vector<CellLoad>& cells);

/// Returns the cells of an installation. Throws ScaleError if an option is out of range.
std::vector<CellLoad> divide(const ScaleOptions& options);
/// Throws ScaleError if a run would need more than half of the machine's memory, too many processes or too
/// many ports.
void check_fits(const std::vector<CellLoad>& cells, const MachineSize& machine);

}  // namespace wrenusher::testbed
