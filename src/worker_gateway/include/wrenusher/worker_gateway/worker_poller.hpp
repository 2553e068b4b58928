#pragma once
// Polls workers that have not yet reported to a new leader. A poll is a call without commands to a worker,
// which responds with a report.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::worker_gateway {

/// Polls the workers of the previous leader after a failover, with a bounded number of concurrent polls. It
/// knows them from the previous leader's hints (see events/hints.hpp). A poll raises the worker's fencing
/// token (the number of the term), so that the worker reports to this leader at once.
///
/// If a worker neither responds to polls nor reports, the poller calls `on_silent` for it: WorkerGateway
/// detects silence only of workers that have reported in this term.
///
/// Owns the queued and unanswered polls. `runtime` and `term`, which always refers to the newest term, must
/// outlive it. Single-threaded: called from the runtime's loop only.
class WorkerPoller {
 public:
  /// The functions through which the poller reaches its owner.
  struct Callbacks {
    /// Returns whether the machine needs no poll, since it has reported to this leader or has departed.
    std::function<bool(const std::string& host)> needs_no_poll;
    /// Called when a worker has responded with a report of this term.
    std::function<void(protocol::WorkerReport report)> on_report;
    /// Called when a worker has a higher fencing token than this term's.
    std::function<void(std::uint64_t fencing_token)> on_newer_token;
    /// Called when the poller gives up on a worker that it knows from the previous leader's hints. `silence`:
    /// time since the previous leader's last heartbeat arrived, or since the start of this term if none did.
    std::function<void(const std::string& host, time::Micros silence)> on_silent;
  };

  WorkerPoller(runtime::Runtime& runtime, const events::TermChanged& term, Callbacks callbacks)
      : runtime_(runtime), term_(term), callbacks_(std::move(callbacks)) {}

  /// Starts a term of this node. `previous_heartbeat`: when the previous leader's last heartbeat arrived;
  /// zero: none arrived.
  void begin_term(time::Instant previous_heartbeat);
  /// Discards all polls, since this node does not lead.
  void reset();
  /// Polls the workers of the previous leader.
  void poll_inherited(const events::InheritedHints& hints);
  /// Polls the worker at this address, whose machine no hint has named.
  void poll_listed(const std::string& host, const std::string& address);
  /// Records that the machine has reported or departed.
  void remove_missing(const std::string& host) { missing_.erase(host); }
  /// Returns whether the machine was one of the previous leader's and has not reported yet.
  [[nodiscard]] bool is_missing(const std::string& host) const { return missing_.contains(host); }
  /// Gives up on workers that have not reported for `silence_limit`. The time counts from the previous
  /// leader's last heartbeat, since no leader could receive their reports after it.
  void give_up(time::Micros silence_limit);

 private:
  /// One queued or unanswered poll.
  struct Poll {
    std::string host;
    std::string address;
    std::uint64_t incarnation = 0;
    int failed_attempts = 0;
  };
  void send_polls();
  void on_result(const Poll& poll, std::uint64_t fencing_token, const runtime::CallResult& result);

  runtime::Runtime& runtime_;
  const events::TermChanged& term_;
  Callbacks callbacks_;
  std::deque<Poll> queue_;
  std::size_t in_flight_ = 0;
  std::set<std::string> missing_;    ///< workers of the previous leader that have not reported
  std::size_t inherited_count_ = 0;  ///< size of `missing_` at the start of the term
  time::Instant leading_since_{};
  time::Micros leaderless_time_{};  ///< time from the previous leader's last heartbeat to `leading_since_`
};

}  // namespace wrenusher::worker_gateway
