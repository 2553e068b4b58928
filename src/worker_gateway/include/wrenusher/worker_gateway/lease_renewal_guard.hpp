#pragma once
// Decides whether a worker's lease may be renewed and whether tasks may be started, depending on how current
// the known cancellations are.

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::worker_gateway {

/// Enforces that no task of a cancelled job runs later than `cancel_s` after a user received the confirmation
/// of the cancellation.
///
/// A lease is renewed only if this node has received every cancellation that was confirmed to a user longer
/// than `max_cancellation_lag` ago. The reply that renews the lease also stops the tasks of cancelled jobs;
/// stops are the last commands that `limit_reply` leaves out.
///
/// Otherwise a cancellation may be missing, and it may concern any task. Therefore the leases of all workers
/// with tasks are left to expire, which takes `lease_s` from the last renewal.
///
/// Also enforces that no task is started after a user received the confirmation: start commands are sent only
/// while every cancellation that was announced longer than `events::kMaxLiveAge` ago is known here.
/// docs/design.md, "No start after a confirmed cancellation", has the proof.
///
/// Owns the recently cancelled jobs; `runtime` and `settings` must outlive it. Single-threaded: called from
/// the runtime's loop only.
class LeaseRenewalGuard {
 public:
  LeaseRenewalGuard(const runtime::Runtime& runtime, const settings::Settings& settings)
      : runtime_(runtime), settings_(settings) {}

  void on_job_cancelled(const events::JobCancelled& event);
  void on_cancellations_known(const events::CancellationsKnown& event) { known_cancellations_ = event; }

  /// Returns whether the reply to this report may renew its worker's lease.
  [[nodiscard]] bool may_renew(const protocol::WorkerReport& report) const;
  /// Returns whether start commands may be sent now, except for jobs that are known to be cancelled.
  [[nodiscard]] bool may_start() const;
  /// Removes start commands of cancelled jobs, and adds a stop command for each task in the report that
  /// belongs to a cancelled job. The leader may not have done this itself, since it may not have read any
  /// record yet.
  void add_stops(const protocol::WorkerReport& report, std::vector<protocol::WorkerCommand>& commands) const;

  /// Records that a renewal was withheld. Logs the first one.
  void on_withheld();
  /// Records that start commands were left out of a reply. Logs the first time.
  void on_starts_withheld();
  /// Logs that leases are renewed, or tasks started, again; once after these were withheld.
  void log_if_recovered();

 private:
  /// One received cancellation, for removing it when it has expired.
  struct Cancellation {
    time::Instant received_at{};
    std::string job_id;
  };
  bool cancellations_current() const;
  /// Returns the name for the log of the peer whose cancellations are known up to the earliest time.
  std::string slowest_peer() const;
  time::Micros max_cancellation_lag() const;
  void remove_expired(time::Instant now);

  const runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  /// Cancelled jobs and when the event arrived, kept for as long as one of their tasks may be running.
  std::unordered_map<std::string, time::Instant> cancelled_;
  std::deque<Cancellation> cancelled_order_;
  events::CancellationsKnown known_cancellations_;
  bool withholding_ = false;         ///< whether it has been logged that renewals are withheld
  bool withholding_starts_ = false;  ///< whether it has been logged that start commands are withheld
};

}  // namespace wrenusher::worker_gateway
