#pragma once
// Package store: the client of the state service. It owns this node's share of the pace and what waits for
// it: it paces requests and changes, and tells apart "not executed" from "may have been executed". It may
// depend on base, settings and protocol.

#include <deque>

#include "wrenusher/base/runtime.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::store {

using namespace base;
using namespace settings;
using namespace protocol;

struct Row {
  std::string key;
  Value value;
  std::uint64_t stamp = 0;
  std::uint64_t tenancy = 0;  ///< 0: attached to no hold
};

struct Read {
  enum class Result { ok, failed };
  Result result = Result::failed;
  std::vector<Row> rows;  ///< empty: absent
  bool truncated = false;
  std::uint64_t revision = 0;
  Instant sent{};        ///< when the service was asked: what it says was so then or later
  bool crowded = false;  ///< failed since too much waits here: it was not asked
};

struct Condition {
  std::string key;
  std::uint64_t stamp = 0;
};

struct Change {
  std::string key;
  std::optional<Value> put;  ///< nothing: delete
  std::uint64_t tenancy = 0;
};

struct Commit {
  enum class Result {
    committed,
    conflict,  ///< a condition failed: nothing was executed
    refused,   ///< certainly not executed
    unknown,   ///< executed, or may yet be
    invalid    ///< the service calls it malformed
  };
  Result result = Result::refused;
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
  Instant sent{};        ///< when the service was asked
  bool crowded = false;  ///< refused since too much waits here: the service was not asked
};

struct HoldReply {
  enum class Result { ok, gone, failed };
  Result result = Result::failed;
  std::uint64_t tenancy = 0;
};

struct FollowReply {
  enum class Result {
    ok,
    too_old,    ///< the service has these changes no more
    too_large,  ///< they are more than is taken at once: better to read anew, by pages
    failed
  };
  Result result = Result::failed;
  std::uint64_t revision = 0;
  std::vector<Row> puts;
  std::vector<std::pair<std::string, std::uint64_t>> deletes;  ///< key, stamp
  Instant sent{};  ///< when the service was asked: where it did not wait, what it says was so then or later
};

/// Whether the state service answered this node of late.
struct StoreHealth {
  bool reachable = false;
};

/// Tokens that refill at a steady rate, with at most one second's worth kept.
class Pace {
 public:
  Pace(double per_second, Instant now) : rate_(per_second), tokens_(per_second), at_(now) {}
  void rate(double per_second) { rate_ = per_second; }
  double rate() const { return rate_; }
  bool take(double n, Instant now);
  /// Whether `take` would.
  bool has(double n, Instant now);
  /// Takes even what is not there: for calls that must not wait.
  void force(double n, Instant now);
  double tokens(Instant now) {
    refill(now);
    return tokens_;
  }

 private:
  void refill(Instant now);
  double rate_;
  double tokens_;
  Instant at_;
};

class Store {
 public:
  /// Keep the hold; schedule; users; what is only taken from a pace that nobody else wants at present, or
  /// once a second where somebody always does. Users' calls are refused at once when too many wait.
  enum class Urgent { hold, schedule, user, spare };

  /// No answer of the service is taken later than this after it was asked (a follow's own wait aside), also
  /// by a node that stood still meanwhile: AnswerOrder rests on it.
  static constexpr Micros kAnswerLife = from_seconds(1.5);

  Store(Runtime& rt, const Settings& settings);

  void get(const std::string& key, Urgent urgent, std::function<void(Read)> done);
  void list(const std::string& prefix, const std::string& from, int limit, Urgent urgent,
            std::function<void(Read)> done);
  void commit(const std::vector<Condition>& when, const std::vector<Change>& apply, Urgent urgent,
              std::function<void(Commit)> done);
  void hold(Micros life, std::function<void(HoldReply)> done);
  void extend(std::uint64_t tenancy, std::function<void(HoldReply)> done);
  void drop(std::uint64_t tenancy);
  void follow(const std::string& prefix, std::uint64_t from, Micros wait, Urgent urgent,
              std::function<void(FollowReply)> done);

  /// The leader does most of the work and so gets most of the pace.
  void leading(bool yes);
  bool reachable() const;
  /// How many changes a scheduling write may make now; none while another one waits.
  std::size_t writes_ready();
  /// Whether nothing waits and half a second's worth of requests is left.
  bool requests_to_spare();
  /// Requests a second that this node may make now.
  double request_rate() const { return requests_.rate(); }

  Sink<StoreHealth> health;

 private:
  struct Queued {
    double writes;
    std::function<void()> send;
    Instant since;
  };
  using Queue = std::deque<Queued>;
  void submit(Urgent urgent, double writes, std::function<void()> send, std::function<void()> refuse);
  bool crowded(const Queue& queue, double writes) const;
  void pump();
  bool may_go(const Queue& queue, Instant now);
  Queue* next_queue(Instant now);
  void call(Request request, Micros timeout, Done done);
  void seen(bool good);

  Runtime& rt_;
  const Settings& settings_;
  Pace requests_;
  Pace writes_;
  // Users' reads and changes wait apart: reads need no part of the changes' pace, and went behind them for
  // seconds while a third of the requests' pace was left.
  Queue user_reads_;
  Queue user_writes_;
  Queue scheduling_;
  Queue spare_;
  static constexpr std::size_t kTurns = 3;
  std::size_t turn_ = 0;          ///< which of the first three is asked first
  bool users_write_next_ = true;  ///< of users' and scheduling changes that both wait
  bool pumping_ = false;
  Instant last_good_{};
  bool ever_good_ = false;
  bool told_ = false;
  Instant backoff_until_{};
};

}  // namespace wrenusher::store
