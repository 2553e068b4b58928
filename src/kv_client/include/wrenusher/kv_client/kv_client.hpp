#pragma once
// Package kv_client: the client of the state service. It owns this node's share of the pace and what waits
// for it: it paces requests and changes, and tells apart "not executed" from "may have been executed". It may
// depend on base, settings and protocol.

#include <deque>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::kv_client {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace protocol;

struct KeyValue {
  std::string key;
  Value value;
  std::uint64_t mod_revision = 0;
  std::uint64_t lease_id = 0;  ///< 0: attached to no hold
};

struct ReadReply {
  enum class Result { ok, failed };
  Result result = Result::failed;
  std::vector<KeyValue> rows;  ///< empty: absent
  bool truncated = false;
  std::uint64_t revision = 0;
  Instant sent_at{};        ///< when the service was asked: what it says was so then or later
  bool queue_full = false;  ///< failed since too much waits here: it was not asked
};

struct Condition {
  std::string key;
  std::uint64_t mod_revision = 0;
};

struct Mutation {
  std::string key;
  std::optional<Value> put;  ///< nothing: delete
  std::uint64_t lease_id = 0;
};

struct CommitReply {
  enum class Result {
    committed,
    conflict,  ///< a condition failed: nothing was executed
    refused,   ///< certainly not executed
    unknown,   ///< executed, or may yet be
    invalid    ///< the service calls it malformed
  };
  Result result = Result::refused;
  std::uint64_t revision = 0;
  std::vector<std::string> failed_keys;
  Instant sent_at{};        ///< when the service was asked
  bool queue_full = false;  ///< refused since too much waits here: the service was not asked
};

struct LeaseReply {
  enum class Result { ok, expired, failed };
  Result result = Result::failed;
  std::uint64_t lease_id = 0;
};

struct WatchReply {
  enum class Result {
    ok,
    too_old,    ///< the service has these changes no more
    too_large,  ///< they are more than is taken at once: better to read anew, by pages
    failed
  };
  Result result = Result::failed;
  std::uint64_t revision = 0;
  std::vector<KeyValue> puts;
  std::vector<std::pair<std::string, std::uint64_t>> deletes;  ///< key, stamp
  Instant
      sent_at{};  ///< when the service was asked: where it did not wait, what it says was so then or later
};

/// Whether the state service answered this node of late.
struct KvHealth {
  bool reachable = false;
};

/// Tokens that refill at a steady rate, with at most one second's worth kept.
class RateLimiter {
 public:
  RateLimiter(double per_second, Instant now) : rate_(per_second), tokens_(per_second), refilled_at_(now) {}
  void rate(double per_second) { rate_ = per_second; }
  double rate() const { return rate_; }
  bool try_acquire(double n, Instant now);
  /// Whether `take` would.
  bool can_acquire(double n, Instant now);
  /// Takes even what is not there: for calls that must not wait.
  void force_acquire(double n, Instant now);
  double tokens(Instant now) {
    refill(now);
    return tokens_;
  }

 private:
  void refill(Instant now);
  double rate_;
  double tokens_;
  Instant refilled_at_;
};

class KvClient {
 public:
  /// Keep the hold; schedule; users; what is only taken from a pace that nobody else wants at present, or
  /// once a second where somebody always does. Users' calls are refused at once when too many wait.
  enum class RequestClass { lease, scheduling, user, background };

  /// No answer of the service is taken later than this after it was asked (a follow's own wait aside), also
  /// by a node that stood still meanwhile: ReadConsistency rests on it.
  static constexpr Micros kMaxReplyAge = from_seconds(1.5);

  KvClient(Runtime& runtime, const Settings& settings);

  void get(const std::string& key, RequestClass urgent, std::function<void(ReadReply)> done);
  void list(const std::string& prefix, const std::string& from, int limit, RequestClass urgent,
            std::function<void(ReadReply)> done);
  void commit(const std::vector<Condition>& when, const std::vector<Mutation>& apply, RequestClass urgent,
              std::function<void(CommitReply)> done);
  void grant_lease(Micros life, std::function<void(LeaseReply)> done);
  void renew_lease(std::uint64_t lease_id, std::function<void(LeaseReply)> done);
  void revoke_lease(std::uint64_t lease_id);
  void watch(const std::string& prefix, std::uint64_t from, Micros wait, RequestClass urgent,
             std::function<void(WatchReply)> done);

  /// The leader does most of the work and so gets most of the pace.
  void set_leading(bool yes);
  bool reachable() const;
  /// How many changes a scheduling write may make now; none while another one waits.
  std::size_t writes_available();
  /// Whether nothing waits and half a second's worth of requests is left.
  bool has_spare_requests();
  /// Requests a second that this node may make now.
  double request_rate() const { return requests_.rate(); }

  EventSink<KvHealth> health;

 private:
  struct QueuedCall {
    double write_count;
    std::function<void()> send;
    Instant queued_at;
  };
  using Queue = std::deque<QueuedCall>;
  void enqueue(RequestClass urgent, double writes, std::function<void()> send, std::function<void()> refuse);
  bool queue_full(const Queue& queue, double writes) const;
  void pump();
  bool may_send(const Queue& queue, Instant now);
  Queue* next_queue(Instant now);
  void call(Request request, Micros timeout, CallHandler done);
  void record_reply(bool good);

  Runtime& runtime_;
  const Settings& settings_;
  RateLimiter requests_;
  RateLimiter writes_;
  // Users' reads and changes wait apart: reads need no part of the changes' pace, and went behind them for
  // seconds while a third of the requests' pace was left.
  Queue user_reads_;
  Queue user_writes_;
  Queue scheduling_;
  Queue background_;
  static constexpr std::size_t kQueuesInTurn = 3;
  std::size_t next_turn_ = 0;    ///< which of the first three is asked first
  bool user_write_next_ = true;  ///< of users' and scheduling changes that both wait
  bool pumping_ = false;
  Instant last_reply_{};
  bool ever_replied_ = false;
  bool reported_reachable_ = false;
  Instant backoff_until_{};
};

}  // namespace wrenusher::kv_client
