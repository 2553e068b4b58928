#pragma once
// Calls to the cloud's rental interface: their queue, rate limit, and back-off during an outage.

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/provisioner/leader_term.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::provisioner {

/// How a call to the cloud ended.
struct CloudReply {
  enum class Result {
    ok,           ///< status 200
    no_capacity,  ///< the cloud has no such machine at present; nothing was rented
    invalid,      ///< status 400: the same request will never succeed
    failed        ///< no answer, throttled, or another error; it may have been executed all the same
  };
  Result result = Result::failed;
  /// The decoded body of an `ok` reply; nothing where it is malformed.
  std::optional<value::Value> body;
};

/// Client of the cloud. Calls wait in one queue until the rate limit and a back-off after failures let them
/// out. Calls that change something are sent only while the lease is valid: this node may have stood still
/// since they were queued. Single-threaded: used from the runtime's loop only. `runtime`, `settings` and
/// `term` must outlive it.
class CloudClient {
 public:
  using ReplyHandler = std::function<void(const CloudReply&)>;
  enum class QueuePosition { back, front };

  CloudClient(runtime::Runtime& runtime, const settings::Settings& settings, const LeaderTerm& term);

  /// Queues a read of `target`, a path with its query.
  void get(std::string target, ReplyHandler done);
  /// Queues a change; `body` is encoded CBOR. `front`: what frees stuck work goes before all others.
  void post(std::string target, std::string body, QueuePosition position, ReplyHandler done);
  /// Drops what waits, without a reply. Calls already sent still get theirs.
  void drop_queued_calls() { queue_.clear(); }
  /// Whether several calls in a row have failed.
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
