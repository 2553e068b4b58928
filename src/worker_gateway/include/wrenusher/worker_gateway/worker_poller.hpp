#pragma once
// Polls workers that have not reported to a new leader by themselves.

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

/// After a failover, polls the workers that the previous leader had, a bounded number at a time. A poll
/// raises the worker's fencing token, so that it reports to this leader at once. Also reports as silent those
/// that neither answer nor report: nobody else counts their silence, since this leader never heard them.
///
/// Owns the polls under way. `runtime` and `term`, the newest term at any time, must outlive it.
/// Single-threaded: called from the runtime's loop only.
class WorkerPoller {
 public:
  struct Callbacks {
    /// Whether the machine has reported to this leader by itself or has departed: no poll is needed.
    std::function<bool(const std::string& host)> is_settled;
    /// A worker answered with this report, of the present term.
    std::function<void(protocol::WorkerReport report)> on_report;
    /// A worker knows a higher fencing token than the term's.
    std::function<void(std::uint64_t fencing_token)> on_newer_token;
    /// A worker of the previous leader's was given up; silent for so long.
    std::function<void(const std::string& host, time::Micros silence)> on_silent;
  };

  WorkerPoller(runtime::Runtime& runtime, const events::TermChanged& term, Callbacks callbacks)
      : runtime_(runtime), term_(term), callbacks_(std::move(callbacks)) {}

  /// This node begins to lead. `previous_heartbeat`: when the previous leader was last heard; zero: never.
  void begin_term(time::Instant previous_heartbeat);
  /// This node doesn't lead: all polls are void.
  void reset();
  /// The workers that the previous leader had.
  void poll_inherited(const events::InheritedHints& hints);
  /// A worker at this address that no hint named.
  void poll_listed(const std::string& host, const std::string& address);
  /// The machine is heard or has departed.
  void settle(const std::string& host) { unheard_.erase(host); }
  /// Whether the machine was the previous leader's and has not been heard yet.
  [[nodiscard]] bool is_unheard(const std::string& host) const { return unheard_.contains(host); }
  /// Gives up those that were not heard for `silence_limit`, counted from when the previous leader, which
  /// couldn't reach them either, was last heard itself.
  void give_up(time::Micros silence_limit);

 private:
  struct Poll {
    std::string host;
    std::string address;
    std::uint64_t incarnation = 0;
    int tries = 0;  ///< that have failed
  };
  void send_polls();
  void on_result(const Poll& poll, std::uint64_t fencing_token, const runtime::CallResult& result);

  runtime::Runtime& runtime_;
  const events::TermChanged& term_;
  Callbacks callbacks_;
  std::deque<Poll> queue_;
  std::size_t in_flight_ = 0;
  std::set<std::string> unheard_;    ///< of the previous leader's workers
  std::size_t inherited_count_ = 0;  ///< how many there were at the start
  time::Instant leading_since_{};
  time::Micros vacancy_{};  ///< for how long before that no leader was heard
};

}  // namespace wrenusher::worker_gateway
