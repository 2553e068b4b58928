#include "wrenusher/worker_gateway/lease_renewal_guard.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "wrenusher/log/log.hpp"

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

/// What a stop, a lease and a clock may take beyond their times.
constexpr Micros kStopMargin = from_seconds(2);
/// Twice the drift of a clock, as for the leader's lease.
constexpr double kClockDrift = 0.001;
/// Where `cancel_s` leaves no more than `lease_s`, nothing less than this works at all.
constexpr Micros kMinUnknown = from_seconds(3);
/// A cancellation that is received over and over is recorded anew once in so long.
constexpr Micros kRepeatInterval = from_seconds(10);
/// For a confirmation of a cancellation that comes later than the news of it.
constexpr Micros kLateConfirmation = from_seconds(60);

bool stops_task(const WorkerCommand& command, const TaskReport& task) {
  return command.verb == WorkerCommand::Verb::stop && command.job_id == task.job_id &&
         command.task == task.task && command.attempt == task.attempt;
}

}  // namespace

void LeaseRenewalGuard::on_job_cancelled(const events::JobCancelled& event) {
  const Instant now = runtime_.now();
  forget_old(now);
  const auto [it, added] = cancelled_.try_emplace(event.job_id, now);
  if (!added && now - it->second < kRepeatInterval) return;
  it->second = now;
  cancelled_order_.push_back({now, event.job_id});
}

/// Once `cancel_s` is over no task of the job is left, by the rule that this class serves; twice that is
/// ample.
void LeaseRenewalGuard::forget_old(Instant now) {
  const Micros memory = settings_.cancel_deadline * 2 + kLateConfirmation;
  while (!cancelled_order_.empty() && now - cancelled_order_.front().received_at > memory) {
    const Cancellation& oldest = cancelled_order_.front();
    const auto it = cancelled_.find(oldest.job_id);
    if (it != cancelled_.end() && it->second == oldest.received_at) cancelled_.erase(it);
    cancelled_order_.pop_front();
  }
}

Micros LeaseRenewalGuard::max_unknown() const {
  const Micros drift{
      static_cast<std::int64_t>(static_cast<double>(settings_.cancel_deadline.count()) * kClockDrift)};
  return std::max(kMinUnknown, settings_.cancel_deadline - settings_.worker_lease - drift - kStopMargin);
}

bool LeaseRenewalGuard::all_known() const {
  return known_.through >= runtime_.now() - max_unknown();
}

bool LeaseRenewalGuard::may_renew(const WorkerReport& report) const {
  if (all_known()) return true;
  // Tasks that have exited, or that the answer stops, need no lease.
  return std::all_of(report.tasks.begin(), report.tasks.end(), [&](const TaskReport& task) {
    return task.status == TaskStatus::exited || cancelled_.contains(task.job_id);
  });
}

void LeaseRenewalGuard::add_stops(const WorkerReport& report, std::vector<WorkerCommand>& commands) const {
  if (cancelled_.empty()) return;
  std::erase_if(commands, [&](const WorkerCommand& command) {
    return command.verb == WorkerCommand::Verb::start && cancelled_.contains(command.job_id);
  });
  for (const TaskReport& task : report.tasks) {
    if (task.status == TaskStatus::exited || !cancelled_.contains(task.job_id)) continue;
    const bool stopped = std::any_of(commands.begin(), commands.end(),
                                     [&](const WorkerCommand& command) { return stops_task(command, task); });
    if (!stopped)
      commands.push_back({WorkerCommand::Verb::stop, task.job_id, task.task, task.attempt, Micros{0}});
  }
}

void LeaseRenewalGuard::on_withheld() {
  if (std::exchange(withholding_, true)) return;
  log::warn("lease_renewal_withheld",
            "leases of machines with tasks are not renewed: neither the key-value store nor {peer} has "
            "confirmed for {seconds:.0f} s what users cancelled",
            log::with("peer", known_.slowest_peer.empty() ? "a peer" : known_.slowest_peer),
            log::with("seconds", to_seconds(max_unknown())));
}

void LeaseRenewalGuard::log_if_recovered() {
  if (!withholding_ || !all_known()) return;
  withholding_ = false;
  log::info("lease_renewal_resumed", "leases are renewed again: what users cancelled is known");
}

}  // namespace wrenusher::worker_gateway
