#pragma once
/// @file
/// Measures the duration of each phase of a failover.

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/events/failover.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::leader {

using time::Instant;
using time::Micros;

/// Measures how long each phase of a failover takes and reports all phases once: when every assignment of the
/// previous term is accounted for and every expected machine has reported, or after 25 s with the phases and
/// machines that are still missing. Owns its measurements. Single-threaded: called from the runtime's loop
/// only.
class FailoverTimer {
 public:
  /// Starts measuring a term that was won at `now` and discards the measurements of an earlier term.
  void begin(const events::TermChanged& term, Instant now);
  /// Cancels the measurement: nothing is reported.
  void stop() { measuring_ = false; }
  /// Adds a machine of the previous term, which is expected to report.
  void expect_machine(const std::string& host);
  /// Notes the time at which the records of the previous term are loaded. `from_replica`: whether they came
  /// from this node's replica rather than from the state service.
  void on_records_loaded(bool from_replica, Instant now);
  /// Notes a report from a worker that has accepted the term's fencing token.
  void on_machine_reported(const std::string& host, Instant now);
  /// Stops expecting a report from a machine that has departed.
  void on_machine_departed(const std::string& host) { expected_machines_.erase(host); }
  /// Notes that a report listed a running task that was assigned in this term.
  void on_first_start(Instant now);
  /// Logs and returns the measurements, once per failover. Returns nothing while the failover is in progress
  /// or no failover is being measured. `unconfirmed_assignments`: the number of assignments of the previous
  /// term that no report has confirmed or ended yet.
  [[nodiscard]] std::optional<events::FailoverTimes> finish(std::size_t unconfirmed_assignments, Instant now);

 private:
  void summarize_machines();
  void log_times() const;

  bool measuring_ = false;
  Instant term_began_{};
  events::FailoverTimes times_so_far_;
  std::set<std::string> expected_machines_;  ///< those that have not reported yet
  std::vector<Micros> report_times_;  ///< first reports of expected machines, measured from the term's start
};

}  // namespace wrenusher::leader
