#pragma once
// When a call may go out to the state service: this node's share of the service's rate limits, and the queues
// of what waits for it.

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "wrenusher/kv_client/rate_limiter.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::kv_client {

using time::Instant;
using time::Micros;

/// What a call is for, which decides how long it waits.
enum class RequestClass {
  lease,       ///< keeps or wins the leader's lease: never waits
  scheduling,  ///< of the leader: takes turns with users
  user,        ///< for a user who waits: refused at once when too many do
  background   ///< goes out when nobody else wants the rate, or after one second
};

/// Owned by KvClient. Single-threaded: called from the runtime's loop only.
class RequestScheduler {
 public:
  /// A call that may have to wait.
  struct Call {
    double write_count = 0;        ///< changes of keys that it makes; each takes one token
    std::function<void()> send;    ///< called when it may go out, at once or later
    std::function<void()> refuse;  ///< called in its place when too many users' calls wait; only for them
  };

  RequestScheduler(runtime::Runtime& runtime, double requests_per_s, double writes_per_s);

  void set_rates(double requests_per_s, double writes_per_s);
  /// The service is overloaded: nothing goes out for so long, calls for the lease aside.
  void back_off(Micros pause) { backoff_until_ = runtime_.now() + pause; }
  void submit(RequestClass request_class, Call call);

  /// How many changes a scheduling commit may make now; 0 while another one waits.
  [[nodiscard]] std::size_t writes_available();
  /// Whether no user's call waits and half a second's worth of requests is left.
  [[nodiscard]] bool has_spare_requests();
  /// Requests per second.
  [[nodiscard]] double request_rate() const { return requests_.rate(); }

 private:
  struct QueuedCall {
    double write_count;
    std::function<void()> send;
    Instant queued_at;
  };
  using Queue = std::deque<QueuedCall>;

  Queue& queue_of(RequestClass request_class, double write_count);
  [[nodiscard]] bool is_full(const Queue& queue, double write_count) const;
  void send_queued();
  /// Whether the first call of the queue has what it needs besides a request token.
  bool may_send(const Queue& queue, Instant now);
  /// The queue whose first call goes out next; null: nothing may go out now.
  Queue* next_queue(Instant now);
  [[nodiscard]] bool foreground_waits() const {
    return !user_reads_.empty() || !user_writes_.empty() || !scheduling_.empty();
  }

  runtime::Runtime& runtime_;
  RateLimiter requests_;
  RateLimiter writes_;
  // Users' reads and writes wait apart, since reads need no write tokens: behind writes they waited for
  // seconds while a third of the request rate was unused.
  Queue user_reads_;
  Queue user_writes_;
  Queue scheduling_;
  Queue background_;
  static constexpr std::size_t kForegroundQueues = 3;
  std::size_t next_turn_ = 0;       ///< which of the first three queues is looked at first
  bool user_write_is_next_ = true;  ///< of users' and scheduling writes that both wait
  bool timer_running_ = false;
  Instant backoff_until_{};
};

}  // namespace wrenusher::kv_client
