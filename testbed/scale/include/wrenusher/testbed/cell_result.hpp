#pragma once
// The measurements of one cell of a scale run. The cell's process returns them as JSON to the process that
// started it.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "wrenusher/testbed/scale_options.hpp"

namespace wrenusher::testbed {

/// Percentiles and maximum of a series of waits, in seconds. All are 0 if `count` is 0.
struct LatencySummary {
  std::uint64_t count = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double most = 0;  ///< maximum
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LatencySummary, count, p50, p95, p99, most)
/// Returns the summary of these waits; they need not be sorted.
LatencySummary waits_of(std::vector<double> seconds);

/// Resource usage of one controller during the measurement.
struct ControllerUsage {
  bool leader = false;
  double cores = 0;           ///< processor seconds per second
  double memory_mb = 0;       ///< resident memory at the end of the measurement
  int sockets = 0;            ///< open sockets at the end of the measurement
  double state_requests = 0;  ///< requests to the state service per second
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ControllerUsage, leader, cores, memory_mb, sockets, state_requests)

/// Messages of one kind per second. The byte rates count message bodies only.
struct LinkUsage {
  double requests = 0;
  double request_bytes = 0;
  double response_bytes = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LinkUsage, requests, request_bytes, response_bytes)

/// Measurements of one cell. Rates are per second.
struct CellResult {
  CellLoad load;
  std::string error;       ///< why the cell was not measured; empty if it was measured
  double seconds = 0;      ///< duration of the measurement
  bool one_leader = true;  ///< whether the same controller led during the whole measurement
  std::vector<ControllerUsage> controllers;
  std::map<std::string, LinkUsage> links;
  double starts = 0;                     ///< task starts per second
  double submissions = 0;                ///< accepted submissions per second
  double questions = 0;                  ///< users' GET requests per second
  double reports = 0;                    ///< worker reports per second
  double puts = 0;                       ///< puts and deletes of the state service per second
  double state_requests = 0;             ///< requests of all controllers to the state service per second
  std::uint64_t state_refused = 0;       ///< number of requests that the state service refused
  std::uint64_t asked = 0;               ///< number of users' requests in the measurement
  std::uint64_t in_vain = 0;             ///< number of these requests that failed
  double live_jobs = 0;                  ///< number at the end of the measurement
  double tasks_on_machines = 0;          ///< number at the end of the measurement
  double machines = 0;                   ///< number at the end of the measurement
  LatencySummary start_wait;             ///< from submission to the first start, for ordinary tasks
  LatencySummary urgent_start_wait;      ///< from submission to the first start, for urgent tasks
  LatencySummary submission_wait;        ///< until a submission is answered
  LatencySummary change_wait;            ///< from writing a topology file until `epoch` names it
  double lab_cores = 0;                  ///< of the testbed process, which runs the models
  double lab_memory_mb = 0;              ///< of the testbed process
  double lab_lag_p99 = 0;                ///< delay of the testbed's timers, 99th percentile in seconds
  double machine_busy = 0;               ///< share of all processors in use, by any process of the machine
  std::vector<std::string> broken;       ///< one note for each violation of an invariant
  std::uint64_t failed_machines = 0;     ///< machine failures that were injected
  std::uint64_t restarted_machines = 0;  ///< worker restarts that were injected
  std::uint64_t terms = 0;               ///< terms of leadership in the whole run
  double failure_starts = 0;             ///< tasks started per second in the failure phase
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellResult, load, error, seconds, one_leader, controllers, links, starts,
                                   submissions, questions, reports, puts, state_requests, state_refused,
                                   asked, in_vain, live_jobs, tasks_on_machines, machines, start_wait,
                                   urgent_start_wait, submission_wait, change_wait, lab_cores, lab_memory_mb,
                                   lab_lag_p99, machine_busy, broken, failed_machines, restarted_machines,
                                   terms, failure_starts)

}  // namespace wrenusher::testbed
