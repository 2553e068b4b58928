#pragma once
// Detects faults of this node because of which workers seem silent.

#include <cstddef>
#include <optional>

#include "wrenusher/time/time.hpp"

namespace wrenusher::worker_gateway {

/// Checks whether this node can receive the reports of its workers, so that no machine is considered silent
/// because of a fault of this node: a process without processor time, or a network that isolates the leader.
/// Single-threaded.
class ListenerHealth {
 public:
  /// How many of the workers report to this leader.
  struct ReportCounts {
    std::size_t expected = 0;  ///< workers that are not marked silent
    std::size_t on_time = 0;   ///< those of them whose last report is not late
  };

  /// Records that a new report has arrived, whether this node leads or not.
  void on_report(time::Instant now);
  /// Must be called every `tick_interval`. Returns for how long this process was stalled since the last call;
  /// nullopt if it was not stalled, or so briefly that it does not matter. The caller must move the times of
  /// the latest reports forward by the returned duration.
  [[nodiscard]] std::optional<time::Micros> on_tick(time::Instant now, time::Micros tick_interval);
  /// Updates `too_few_reporting`. Must be called once per tick.
  void on_report_counts(time::Instant now, const ReportCounts& counts);

  /// Returns whether a report has reached this node within `limit`.
  [[nodiscard]] bool receives_reports(time::Instant now, time::Micros limit) const {
    return any_report_ && now - last_report_ < limit;
  }
  /// Returns whether so few workers report that a fault of this node is more likely than a fault of the
  /// machines, since most machines do not fail at the same time. Returns true for at most `limit`, since the
  /// machines may have failed after all.
  ///
  /// Without this check, a leader that is isolated only from its workers would return all machines before it
  /// detects the isolation.
  [[nodiscard]] bool too_few_reporting(time::Instant now, time::Micros limit) const {
    return now > enough_reporting_at_ && now - enough_reporting_at_ < limit;
  }
  /// Returns whether this process was stalled for most of the last seconds.
  [[nodiscard]] bool starved() const;

 private:
  time::Instant last_report_{};
  bool any_report_ = false;
  time::Instant last_tick_{};  ///< zero: there was none
  double stall_share_ = 0;     ///< share of the last seconds in which the process was stalled, 0 to 1
  time::Instant enough_reporting_at_{};  ///< when enough of the workers last reported on time
};

}  // namespace wrenusher::worker_gateway
