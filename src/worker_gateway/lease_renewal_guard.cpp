#include "wrenusher/worker_gateway/lease_renewal_guard.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "wrenusher/log/log.hpp"
#include "wrenusher/protocol/message_limits.hpp"

namespace wrenusher::worker_gateway {

using protocol::TaskReport;
using protocol::TaskStatus;
using protocol::WorkerCommand;
using protocol::WorkerReport;
using time::from_seconds;
using time::Instant;
using time::Micros;
using time::to_seconds;

namespace {

/// Margin for delays of stopping a task, of the lease expiry and of the clocks.
constexpr Micros kStopMargin = from_seconds(2);
/// Maximum drift of two clocks relative to each other: twice the drift of one clock, as for the leader's
/// lease.
constexpr double kMaxRelativeClockDrift = 0.001;
/// Minimum of `max_cancellation_lag`, since no lease could be renewed with a shorter lag. It takes effect if
/// `cancel_s` is not sufficiently longer than `lease_s`.
constexpr Micros kMinCancellationLag = from_seconds(3);
/// A cancellation that is received repeatedly is recorded again at most once in this interval.
constexpr Micros kRepeatInterval = from_seconds(10);
/// Margin for a cancellation that is confirmed to the user later than it was received here.
constexpr Micros kLateConfirmationMargin = from_seconds(60);

bool stops_task(const WorkerCommand& command, const TaskReport& task) {
  return command.verb == WorkerCommand::Verb::stop && command.job_id == task.job_id &&
         command.task == task.task && command.attempt == task.attempt;
}

}  // namespace

void LeaseRenewalGuard::on_job_cancelled(const events::JobCancelled& event) {
  const Instant now = runtime_.now();
  remove_expired(now);
  const auto [it, added] = cancelled_.try_emplace(event.job_id, now);
  if (!added && now - it->second < kRepeatInterval) return;
  it->second = now;
  cancelled_order_.push_back({now, event.job_id});
}

/// Removes cancellations older than twice `cancel_s` plus `kLateConfirmationMargin`. By the rule that this
/// class enforces, no task of the job runs after `cancel_s`; the factor of two is a margin.
void LeaseRenewalGuard::remove_expired(Instant now) {
  const Micros retention = settings_.cancel_deadline * 2 + kLateConfirmationMargin;
  while (!cancelled_order_.empty() && now - cancelled_order_.front().received_at > retention) {
    const Cancellation& oldest = cancelled_order_.front();
    const auto it = cancelled_.find(oldest.job_id);
    if (it != cancelled_.end() && it->second == oldest.received_at) cancelled_.erase(it);
    cancelled_order_.pop_front();
  }
}

Micros LeaseRenewalGuard::max_cancellation_lag() const {
  const Micros drift{static_cast<std::int64_t>(static_cast<double>(settings_.cancel_deadline.count()) *
                                               kMaxRelativeClockDrift)};
  return std::max(kMinCancellationLag,
                  settings_.cancel_deadline - settings_.worker_lease - drift - kStopMargin);
}

bool LeaseRenewalGuard::cancellations_current() const {
  return known_cancellations_.through >= runtime_.now() - max_cancellation_lag();
}

bool LeaseRenewalGuard::may_renew(const WorkerReport& report) const {
  if (cancellations_current()) return true;
  // Tasks that have exited, or that the reply stops, need no lease. All these stops must fit into the reply.
  return report.tasks.size() <= protocol::kMaxCommandsPerMessage &&
         std::all_of(report.tasks.begin(), report.tasks.end(), [&](const TaskReport& task) {
           return task.status == TaskStatus::exited || cancelled_.contains(task.job_id);
         });
}

bool LeaseRenewalGuard::may_start() const {
  return known_cancellations_.through >= runtime_.now() - events::kMaxLiveAge;
}

void LeaseRenewalGuard::add_stops(const WorkerReport& report, std::vector<WorkerCommand>& commands) const {
  if (cancelled_.empty()) return;
  std::erase_if(commands, [&](const WorkerCommand& command) {
    return command.verb == WorkerCommand::Verb::start && cancelled_.contains(command.job_id);
  });
  for (const TaskReport& task : report.tasks) {
    if (task.status == TaskStatus::exited || !cancelled_.contains(task.job_id)) continue;
    const bool has_stop = std::any_of(commands.begin(), commands.end(), [&](const WorkerCommand& command) {
      return stops_task(command, task);
    });
    if (!has_stop)
      commands.push_back({WorkerCommand::Verb::stop, task.job_id, task.task, task.attempt, Micros{0}});
  }
}

void LeaseRenewalGuard::on_withheld() {
  if (std::exchange(withholding_, true)) return;
  log::warn(
      "lease_renewal_withheld",
      "leases of machines with tasks are not renewed: neither the state service nor {peer} has confirmed for "
      "{seconds:.0f} s that the list of cancelled jobs is complete",
      log::with("peer", slowest_peer()), log::with("seconds", to_seconds(max_cancellation_lag())));
}

void LeaseRenewalGuard::on_starts_withheld() {
  if (std::exchange(withholding_starts_, true)) return;
  log::info("starts_withheld",
            "no tasks are started: neither the state service nor {peer} has confirmed within {seconds:.2f} s "
            "that the list of cancelled jobs is complete",
            log::with("peer", slowest_peer()), log::with("seconds", to_seconds(events::kMaxLiveAge)));
}

void LeaseRenewalGuard::log_if_recovered() {
  if (withholding_starts_ && may_start()) {
    withholding_starts_ = false;
    log::info("starts_resumed", "tasks are started again: the list of cancelled jobs is up to date");
  }
  if (withholding_ && cancellations_current()) {
    withholding_ = false;
    log::info("lease_renewal_resumed", "leases are renewed again: the list of cancelled jobs is up to date");
  }
}

std::string LeaseRenewalGuard::slowest_peer() const {
  return known_cancellations_.slowest_peer.empty() ? "a peer" : known_cancellations_.slowest_peer;
}

}  // namespace wrenusher::worker_gateway
