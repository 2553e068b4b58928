#pragma once
/// @file
/// Measures the parts of a failover.

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

/// Measures how long each part of a failover took, and reports them once: when every assignment of the last
/// term is located and every expected machine has reported, or after 25 s with what is missing. Owns its
/// measurements. Single-threaded: called from the runtime's loop only.
class FailoverTimer {
 public:
  /// A term was won at `now`; forgets the measurements of an earlier one.
  void begin(const events::TermChanged& term, Instant now);
  /// Abandons the measurement: nothing is reported.
  void stop() { running_ = false; }
  /// A machine that the last term had, and that is expected to report.
  void expect_machine(const std::string& host);
  /// The records of the last term are loaded. `from_replica`: from this node's replica, not by reading them.
  void on_records_loaded(bool from_replica, Instant now);
  /// A worker that has accepted the term's fencing token reported.
  void on_machine_reported(const std::string& host, Instant now);
  /// The machine has left: it is not expected any more.
  void on_machine_departed(const std::string& host) { expected_machines_.erase(host); }
  /// A report showed a task run that was assigned in this term.
  void on_first_start(Instant now);
  /// The measurements, logged and returned once per failover; nothing while it goes on or when none is
  /// measured. `unconfirmed_assignments`: those of the last term that no report has shown or ended yet.
  [[nodiscard]] std::optional<events::FailoverTimes> finish(std::size_t unconfirmed_assignments, Instant now);

 private:
  void summarize_machines();
  void log_times() const;

  bool running_ = false;
  Instant began_{};
  events::FailoverTimes times_so_far_;
  std::set<std::string> expected_machines_;  ///< that have not reported yet
  std::vector<Micros> report_times_;  ///< since the term was won, of the expected machines that reported
};

}  // namespace wrenusher::leader
