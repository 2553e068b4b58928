#pragma once
// Which worker leases may be renewed, given what is known of cancellations.

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::worker_gateway {

/// Serves the rule that no task of a cancelled job is left `cancel_s` after a user was told. A lease is
/// renewed only while every cancellation that any user was told of longer ago than `max_unknown` is known
/// here, and its tasks are stopped by the same answer. What is not known may concern any task, so the lease
/// of its worker is let run out, which takes `lease_s` from the last renewal on.
///
/// Owns the cancelled jobs of late; `runtime` and `settings` must outlive it. Single-threaded: called from
/// the runtime's loop only.
class LeaseRenewalGuard {
 public:
  LeaseRenewalGuard(const runtime::Runtime& runtime, const settings::Settings& settings)
      : runtime_(runtime), settings_(settings) {}

  void on_job_cancelled(const events::JobCancelled& event);
  void on_cancellations_known(const events::CancellationsKnown& event) { known_ = event; }

  /// Whether an answer to this report may renew its worker's lease.
  [[nodiscard]] bool may_renew(const protocol::WorkerReport& report) const;
  /// Drops starts of cancelled jobs, and adds a stop for each of their tasks that the report shows. The
  /// leader may not know of the cancellation yet: it may have read no record so far.
  void add_stops(const protocol::WorkerReport& report, std::vector<protocol::WorkerCommand>& commands) const;

  /// A renewal was refused. Logs the first one.
  void on_withheld();
  /// Logs that renewals are possible again, once after refusals.
  void log_if_recovered();

 private:
  /// One cancellation event, for forgetting it in time.
  struct Cancellation {
    time::Instant received_at{};
    std::string job_id;
  };
  bool all_known() const;
  time::Micros max_unknown() const;
  void forget_old(time::Instant now);

  const runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  /// Cancelled jobs, by when the event came, for as long as a task of theirs may be anywhere.
  std::unordered_map<std::string, time::Instant> cancelled_;
  std::deque<Cancellation> cancelled_order_;
  events::CancellationsKnown known_;
  bool withholding_ = false;  ///< it is in the log that renewals are refused
};

}  // namespace wrenusher::worker_gateway
