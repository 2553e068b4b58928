#pragma once
// What one cell of a scale run measured, as it travels from the cell's process to the one that asked for it.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "wrenusher/testbed/scale_options.hpp"

namespace wrenusher::testbed {

/// Waits in seconds; all 0 where `count` is.
struct LatencySummary {
  std::uint64_t count = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double most = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LatencySummary, count, p50, p95, p99, most)
LatencySummary waits_of(std::vector<double> seconds);

/// A controller while the measurement lasted.
struct ControllerUsage {
  bool leader = false;
  double cores = 0;           ///< processor seconds a second
  double memory_mb = 0;       ///< resident at the end
  int sockets = 0;            ///< at the end
  double state_requests = 0;  ///< a second
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ControllerUsage, leader, cores, memory_mb, sockets, state_requests)

/// Messages of one kind a second, bodies alone.
struct LinkUsage {
  double requests = 0;
  double request_bytes = 0;
  double response_bytes = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LinkUsage, requests, request_bytes, response_bytes)

struct CellResult {
  CellLoad load;
  std::string error;  ///< why nothing was measured; empty: it was
  double seconds = 0;
  bool one_leader = true;  ///< the same one from the beginning of the measurement to its end
  std::vector<ControllerUsage> controllers;
  std::map<std::string, LinkUsage> links;
  double starts = 0;       ///< a second, as all others that are not counts
  double submissions = 0;  ///< accepted
  double questions = 0;
  double reports = 0;
  double puts = 0;  ///< puts and deletes of the state service
  double state_requests = 0;
  std::uint64_t state_refused = 0;
  std::uint64_t asked = 0;  ///< questions and submissions in the measurement
  std::uint64_t in_vain = 0;
  double live_jobs = 0;  ///< at the end
  double tasks_on_machines = 0;
  double machines = 0;
  LatencySummary start_wait;         ///< from submission, of ordinary tasks
  LatencySummary urgent_start_wait;  ///< of urgent ones
  LatencySummary submission_wait;
  LatencySummary change_wait;  ///< until an edition is in force, by the leader's record
  double lab_cores = 0;        ///< of the process that holds the models
  double lab_memory_mb = 0;
  double lab_lag_p99 = 0;           ///< seconds by which its timers fire late
  double machine_busy = 0;          ///< share of all processors, whatever uses them
  std::vector<std::string> broken;  ///< rules, one note each
  std::uint64_t failed_machines = 0;
  std::uint64_t restarted_machines = 0;
  std::uint64_t terms = 0;
  double failure_starts = 0;  ///< tasks started a second in the phase of failures
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellResult, load, error, seconds, one_leader, controllers, links, starts,
                                   submissions, questions, reports, puts, state_requests, state_refused,
                                   asked, in_vain, live_jobs, tasks_on_machines, machines, start_wait,
                                   urgent_start_wait, submission_wait, change_wait, lab_cores, lab_memory_mb,
                                   lab_lag_p99, machine_busy, broken, failed_machines, restarted_machines,
                                   terms, failure_starts)

}  // namespace wrenusher::testbed
