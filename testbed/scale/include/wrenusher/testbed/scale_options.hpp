#pragma once
// Package lab scale: real controllers over loopback beside hollow workers, users and state services, at sizes
// given by options, and what that costs by role. It owns the load, the measurement and the fits; the models
// and the children are the live lab's.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace wrenusher::testbed {

/// An option that cannot be taken; what() is one line: option, reason, what to do.
struct ScaleError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// What one deployment (a cell: its controllers, state service, cloud, workers and users) is given to do.
/// Times are in seconds.
struct CellLoad {
  std::string name = "cell-0";
  int workers = 100;
  int controllers = 3;
  int teams = 4;
  double report_s = 1;
  double starts_per_second = 0;  ///< of ordinary and urgent tasks together; 0: none
  double urgent_share = 0.05;    ///< of the starts
  int tasks_per_job = 100;
  double run_s = 20;              ///< of a task, median and 95th percentile alike
  int held_tasks = 0;             ///< tasks that outlast the run, in jobs of `held_per_job`
  int held_per_job = 100;         ///< 1: as many live jobs as tasks
  double questions_factor = 1;    ///< how many times as often as once in 3 s each user asks
  double changes_per_minute = 0;  ///< newer editions of the topology file
  double state_requests = 200;    ///< a second that the state service takes
  double state_puts = 40;         ///< likewise, puts and deletes
  double warmup_s = 15;
  double seconds = 30;
  bool failures = false;  ///< a phase of failures follows
  double settle_s = 30;   ///< after it
  int port = 7400;
  std::string wrenusher;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellLoad, name, workers, controllers, teams, report_s, starts_per_second,
                                   urgent_share, tasks_per_job, run_s, held_tasks, held_per_job,
                                   questions_factor, changes_per_minute, state_requests, state_puts, warmup_s,
                                   seconds, failures, settle_s, port, wrenusher)

/// The size of a whole installation: one cell for each zone, with its part of everything.
struct ScaleOptions {
  int workers = 300;
  int zones = 1;
  int teams = 20;
  int controllers = 3;  ///< in each zone
  double starts_per_second = 150;
  double tasks_per_worker = 21;  ///< that run at a time
  int tasks_per_job = 100;
  double report_s = 1;
  double changes_per_minute = 4.5;
  double state_requests = 200;  ///< a second that each zone's state service takes
  double state_puts = 40;       ///< likewise, puts and deletes
  double warmup_s = 20;
  double seconds = 60;
  bool failures = true;
  double settle_s = 30;
  int port = 7400;
  std::string wrenusher;
};

/// Ports that a cell takes, from its first.
int ports_of(const CellLoad& cell);

/// What this machine has to give.
struct MachineSize {
  double memory_mb = 0;
  int processors = 1;
};
MachineSize this_machine();

/// Processes and memory that a run would take, reckoned before it starts.
struct ScaleNeeds {
  int processes = 0;
  double memory_mb = 0;
};
ScaleNeeds needs_of(const std::vector<CellLoad>& cells);

/// The cells of an installation. Throws ScaleError where a size is impossible.
std::vector<CellLoad> divide(const ScaleOptions& options);
/// Throws ScaleError where a run would take more than half of the memory, too many processes or ports.
void check_fits(const std::vector<CellLoad>& cells, const MachineSize& machine);

}  // namespace wrenusher::testbed
