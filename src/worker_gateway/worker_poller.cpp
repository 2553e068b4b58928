#include "wrenusher/worker_gateway/worker_poller.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "wrenusher/worker_gateway/worker_calls.hpp"

namespace wrenusher::worker_gateway {

using events::InheritedHints;
using events::MachineHint;
using protocol::WorkerReport;
using runtime::CallResult;
using time::from_seconds;
using time::Instant;
using time::Micros;

namespace {

/// Lower bound of the limit on concurrent polls. A node that is short of processor time receives the
/// responses later, and therefore polls more slowly.
constexpr std::size_t kMinConcurrentPolls = 24;
/// With many workers, this fraction of them is polled concurrently, so that polls that time out do not delay
/// the others more than with few workers.
constexpr std::size_t kConcurrentPollsDivisor = 40;
constexpr Micros kPollTimeout = from_seconds(1);
constexpr int kMaxPollAttempts = 3;
/// Minimum time before the poller gives up on workers. Within this time all polls finish, and workers report
/// to this node even if their report to the previous leader has to time out first.
constexpr Micros kMinPollTime = from_seconds(4.5);
/// If more than one in this many workers is missing, a fault of this node is more likely.
constexpr std::size_t kMaxMissingDivisor = 4;
constexpr int kStatusOk = 200;
/// The worker is in another incarnation, which its report contains.
constexpr int kStatusConflict = 409;

enum class PollPriority { has_room, busy, silent };

/// Returns when to poll the machine: first the machines with room for waiting tasks, last those that were
/// already silent.
PollPriority priority_of(const MachineHint& machine) {
  if (machine.silent) return PollPriority::silent;
  return machine.has_room ? PollPriority::has_room : PollPriority::busy;
}

}  // namespace

void WorkerPoller::begin_term(Instant previous_heartbeat) {
  reset();
  leading_since_ = runtime_.now();
  leaderless_time_ = previous_heartbeat == Instant{} ? Micros{0} : leading_since_ - previous_heartbeat;
}

void WorkerPoller::reset() {
  queue_.clear();
  in_flight_ = 0;
  missing_.clear();
  inherited_count_ = 0;
}

void WorkerPoller::poll_inherited(const InheritedHints& hints) {
  for (const PollPriority priority : {PollPriority::has_room, PollPriority::busy, PollPriority::silent}) {
    for (const auto& [host, machine] : hints.machines) {
      if (priority_of(machine) != priority || machine.address.empty()) continue;
      queue_.push_back({host, machine.address, machine.incarnation, 0});
      missing_.insert(host);
    }
  }
  inherited_count_ = missing_.size();
  send_polls();
}

void WorkerPoller::poll_listed(const std::string& host, const std::string& address) {
  // The incarnation is unknown. If it is not 1, the response contains the right one.
  queue_.push_back({host, address, 1, 0});
  send_polls();
}

void WorkerPoller::send_polls() {
  const std::size_t limit = std::max(kMinConcurrentPolls, inherited_count_ / kConcurrentPollsDivisor);
  while (in_flight_ < limit && !queue_.empty()) {
    const Poll poll = std::move(queue_.front());
    queue_.pop_front();
    if (callbacks_.needs_no_poll(poll.host)) continue;
    ++in_flight_;
    const std::uint64_t fencing_token = term_.fencing_token;
    runtime_.call(
        poll.address, poll_request({fencing_token, poll.incarnation}), kPollTimeout,
        [this, poll, fencing_token](const CallResult& result) { on_result(poll, fencing_token, result); });
  }
}

void WorkerPoller::on_result(const Poll& poll, std::uint64_t fencing_token, const CallResult& result) {
  if (!term_.leading || term_.fencing_token != fencing_token) return;
  --in_flight_;
  std::optional<WorkerReport> report;
  if (result.answered && (result.response.status == kStatusOk || result.response.status == kStatusConflict))
    report = read_report_body(result.response);
  if (report && report->host == poll.host && report->fencing_token > fencing_token) {
    callbacks_.on_newer_token(report->fencing_token);
  } else if (report && report->host == poll.host && report->fencing_token == fencing_token) {
    callbacks_.on_report(std::move(*report));
  } else if (poll.failed_attempts + 1 < kMaxPollAttempts) {
    // The response was lost, or the worker has started another incarnation since the hint was sent.
    queue_.push_back(
        {poll.host, poll.address, report ? report->incarnation : poll.incarnation, poll.failed_attempts + 1});
  }
  send_polls();
}

void WorkerPoller::give_up(Micros silence_limit) {
  if (missing_.empty()) return;
  const Micros leading_for = runtime_.now() - leading_since_;
  if (leading_for < std::max(kMinPollTime, silence_limit - leaderless_time_)) return;
  // Assignments on missing machines that are not reported as silent here are still given up later.
  if (missing_.size() * kMaxMissingDivisor <= inherited_count_) {
    for (const std::string& host : missing_) callbacks_.on_silent(host, leading_for + leaderless_time_);
  }
  missing_.clear();
}

}  // namespace wrenusher::worker_gateway
