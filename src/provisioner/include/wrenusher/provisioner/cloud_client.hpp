#pragma once
// Calls to the cloud's rental interface, with a queue, a rate limit, and back-off during an outage.

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/provisioner/leader_term.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::provisioner {

/// Outcome of a call to the cloud.
struct CloudReply {
  enum class Result {
    ok,           ///< status 200
    no_capacity,  ///< no such machine is available at present; nothing was rented
    invalid,      ///< status 400: the same request can never succeed
    failed        ///< no response, throttled, or another error; the call may have been executed
  };
  Result result = Result::failed;
  /// Decoded body of an `ok` reply; nullopt if the body is malformed.
  std::optional<value::Value> body;
};

/// Client of the cloud. Calls wait in one queue until the rate limit and the back-off after failures allow
/// them. Calls that change something are sent only while the leader's lease is valid, because the process may
/// have been paused since they were queued. Single-threaded: used from the runtime's loop only. `runtime`,
/// `settings` and `term` must outlive it.
class CloudClient {
 public:
  using ReplyHandler = std::function<void(const CloudReply&)>;
  enum class QueuePosition { back, front };

  CloudClient(runtime::Runtime& runtime, const settings::Settings& settings, const LeaderTerm& term);

  /// Queues a read of `target`, which is a path with an optional query.
  void get(std::string target, ReplyHandler done);
  /// Queues a change; `body` is encoded CBOR. With `front` the call goes ahead of all queued calls; this is
  /// for calls that other work is blocked on.
  void post(std::string target, std::string body, QueuePosition position, ReplyHandler done);
  /// Drops all queued calls without calling their handlers. Calls already sent still get their replies.
  void drop_queued_calls() { queue_.clear(); }
  /// Returns whether several consecutive calls have failed.
  bool unreachable() const;

 private:
  struct QueuedCall {
    bool needs_lease = false;
    std::function<void()> send;
  };

  void enqueue(runtime::Request request, QueuePosition position, ReplyHandler done);
  void send_queued_calls();
  void record_result(const runtime::CallResult& result);

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  const LeaderTerm& term_;
  kv_client::RateLimiter rate_limiter_;
  std::deque<QueuedCall> queue_;
  bool wakeup_scheduled_ = false;
  int consecutive_failures_ = 0;
  time::Instant backoff_until_{};
};

}  // namespace wrenusher::provisioner
