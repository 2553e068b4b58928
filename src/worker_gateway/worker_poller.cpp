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

/// Workers polled at a time. A node that is short of processor time gets the answers later and polls more
/// slowly.
constexpr std::size_t kMinConcurrentPolls = 24;
/// Of many workers one in so many at a time, so that those that time out delay the others no longer.
constexpr std::size_t kConcurrentPollsDivisor = 40;
constexpr Micros kPollTimeout = from_seconds(1);
constexpr int kPollTries = 3;
/// Time for all polls, and for a worker whose report to the previous leader must time out first.
constexpr Micros kPollWindow = from_seconds(4.5);
/// Where more than one in so many is missing, the fault is more likely this node's.
constexpr std::size_t kMaxMissingDivisor = 4;
constexpr int kStatusOk = 200;
/// The worker has begun another incarnation; its report says which.
constexpr int kStatusConflict = 409;

enum class PollPriority { has_room, busy, silent };

/// First the machines that have room for tasks that wait; last those that were silent before.
PollPriority priority_of(const MachineHint& machine) {
  if (machine.silent) return PollPriority::silent;
  return machine.has_room ? PollPriority::has_room : PollPriority::busy;
}

}  // namespace

void WorkerPoller::begin_term(Instant previous_heartbeat) {
  reset();
  leading_since_ = runtime_.now();
  vacancy_ = previous_heartbeat == Instant{} ? Micros{0} : leading_since_ - previous_heartbeat;
}

void WorkerPoller::reset() {
  queue_.clear();
  in_flight_ = 0;
  unheard_.clear();
  inherited_count_ = 0;
}

void WorkerPoller::poll_inherited(const InheritedHints& hints) {
  for (const PollPriority priority : {PollPriority::has_room, PollPriority::busy, PollPriority::silent}) {
    for (const auto& [host, machine] : hints.machines) {
      if (priority_of(machine) != priority || machine.address.empty()) continue;
      queue_.push_back({host, machine.address, machine.incarnation, 0});
      unheard_.insert(host);
    }
  }
  inherited_count_ = unheard_.size();
  send_polls();
}

void WorkerPoller::poll_listed(const std::string& host, const std::string& address) {
  // Its incarnation isn't known: where it is another, the answer says which.
  queue_.push_back({host, address, 1, 0});
  send_polls();
}

void WorkerPoller::send_polls() {
  const std::size_t limit = std::max(kMinConcurrentPolls, inherited_count_ / kConcurrentPollsDivisor);
  while (in_flight_ < limit && !queue_.empty()) {
    const Poll poll = std::move(queue_.front());
    queue_.pop_front();
    if (callbacks_.is_settled(poll.host)) continue;
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
  } else if (poll.tries + 1 < kPollTries) {
    // The answer was lost, or the worker has begun another incarnation since the hint.
    queue_.push_back(
        {poll.host, poll.address, report ? report->incarnation : poll.incarnation, poll.tries + 1});
  }
  send_polls();
}

void WorkerPoller::give_up(Micros silence_limit) {
  if (unheard_.empty()) return;
  const Micros leading_for = runtime_.now() - leading_since_;
  if (leading_for < std::max(kPollWindow, silence_limit - vacancy_)) return;
  // What is assigned to machines that are not reported here is given up later all the same.
  if (unheard_.size() * kMaxMissingDivisor <= inherited_count_) {
    for (const std::string& host : unheard_) callbacks_.on_silent(host, leading_for + vacancy_);
  }
  unheard_.clear();
}

}  // namespace wrenusher::worker_gateway
