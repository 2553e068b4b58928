#pragma once
// Schedules the calls to the state service: enforces this node's share of the service's rate limits and
// queues the calls that have to wait.

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "wrenusher/kv_client/rate_limiter.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::kv_client {

using time::Instant;
using time::Micros;

/// Purpose of a call, which decides how long it may wait.
enum class RequestClass {
  lease,       ///< acquires or renews the leader's lease: never waits
  scheduling,  ///< scheduling work of the leader: alternates with user calls
  user,        ///< a user waits for the result: refused at once when too many such calls are queued
  background   ///< sent when there are spare tokens, or after one second
};

/// Owned by KvClient. Single-threaded: called from the runtime's loop only.
class RequestScheduler {
 public:
  /// A call that may have to wait.
  struct Call {
    double write_count = 0;        ///< number of keys that it changes; each takes one write token
    std::function<void()> send;    ///< called when the call may be sent, at once or later
    std::function<void()> refuse;  ///< for user calls only: called instead when too many are queued
  };

  RequestScheduler(runtime::Runtime& runtime, double requests_per_s, double writes_per_s);

  void set_rates(double requests_per_s, double writes_per_s);
  /// Sends nothing but lease calls for the duration `pause`, since the service is overloaded.
  void back_off(Micros pause) { backoff_until_ = runtime_.now() + pause; }
  void submit(RequestClass request_class, Call call);

  /// Returns how many changes a scheduling commit may make now; 0 while another one is queued.
  [[nodiscard]] std::size_t writes_available();
  /// Returns whether no user call is queued and at least half a second's worth of request tokens is left.
  [[nodiscard]] bool has_spare_requests();
  /// Returns the rate in requests per second.
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
  /// Returns whether the first call of the queue may be sent, apart from its request token.
  bool may_send(const Queue& queue, Instant now);
  /// Returns the queue whose first call is sent next; null: nothing may be sent now.
  Queue* next_queue(Instant now);
  [[nodiscard]] bool has_foreground_calls() const {
    return !user_reads_.empty() || !user_writes_.empty() || !scheduling_.empty();
  }

  runtime::Runtime& runtime_;
  RateLimiter requests_;
  RateLimiter writes_;
  // User reads and writes have separate queues, since reads need no write tokens: in a common queue, reads
  // waited behind writes for seconds while a third of the request rate was unused.
  Queue user_reads_;
  Queue user_writes_;
  Queue scheduling_;
  Queue background_;
  static constexpr std::size_t kForegroundQueues = 3;
  std::size_t next_queue_ = 0;      ///< index of the foreground queue that is checked first
  bool user_write_is_next_ = true;  ///< whether a user write precedes a scheduling write when both wait
  bool retry_scheduled_ = false;
  Instant backoff_until_{};
};

}  // namespace wrenusher::kv_client
