#pragma once
// Package store: the client of the state service. It owns this node's share of the pace and what waits for
// it: it paces requests and changes, and tells apart "not executed" from "may have been executed". It may
// depend on base, settings and protocol.

#include <array>
#include <deque>
#include <map>
#include <optional>

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
  Micros busy{};          ///< not asked, since too much waits here: for about so long
  std::vector<Row> rows;  ///< empty: absent
  bool truncated = false;
  std::uint64_t revision = 0;
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
  Micros busy{};  ///< refused here, since too much waits: for about so long
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
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
};

/// Whether the state service answered this node of late.
struct StoreHealth {
  bool reachable = false;
};

/// Requests and changes a second.
struct PaceWanted {
  double requests = 0;
  double writes = 0;
};

/// What a peer wants of the pace.
struct PeerPace {
  std::string node;
  bool leading = false;
  PaceWanted wants;
};

/// This node's share of a pace of `all` a second: a part that is its own whatever the others want, and of the
/// rest as much as it wants beyond that, in proportion where all that is wanted is more. `peers`: who leads,
/// and what each wants, of those that told of late.
double share_of_pace(double all, bool leads, double wants, std::size_t others,
                     const std::vector<std::pair<bool, double>>& peers);

/// Tokens that refill at a steady rate, with at most one second's worth kept.
class Pace {
 public:
  Pace(double per_second, Instant now) : rate_(per_second), tokens_(per_second), at_(now) {}
  void rate(double per_second) { rate_ = per_second; }
  double rate() const { return rate_; }
  bool take(double n, Instant now);
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
  /// Keep the hold; schedule; users' submissions and cancellations; their questions; what is only taken from
  /// a pace that nobody else wants at present, or once a second where somebody always does. Users' calls that
  /// could not be sent while their user waits are refused at once.
  enum class Urgent { hold, schedule, user, poll, spare };

  Store(Runtime& rt, const Settings& settings);
  /// Begins to tell what it wants.
  void start();
  void on_peer(const PeerPace& p);

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

  Sink<StoreHealth> health;
  Sink<PaceWanted> wanted;

 private:
  struct Queued {
    double writes;
    std::function<void()> send;
    Instant since;
  };
  struct Lane {
    std::deque<Queued> waiting;
    double writes = 0;  ///< of all that waits
  };
  struct Peer {
    PeerPace pace;
    Instant at{};
  };
  Lane& lane(Urgent u) { return lanes_[static_cast<std::size_t>(u)]; }
  void submit(Urgent urgent, double writes, std::function<void()> send,
              const std::function<void(Micros busy)>& refuse);
  Micros wait_of(Urgent urgent, double writes);
  void pump();
  bool may_go(Urgent u, Instant now);
  std::optional<Urgent> next(Instant now);
  void tick();
  PaceWanted wants() const;
  void share_out();
  void call(Request request, Micros timeout, Done done);
  void seen(bool good);

  Runtime& rt_;
  const Settings& settings_;
  Pace requests_;
  Pace writes_;
  std::array<Lane, 5> lanes_;
  unsigned turn_ = 0;
  double owed_ =
      0;  ///< changes that users may make before the next scheduling write; negative: the other way
  bool pumping_ = false;
  bool leading_ = false;
  PaceWanted arrived_;  ///< since the last tick
  PaceWanted recent_;   ///< a second, of late
  std::map<std::string, Peer> peers_;
  Instant last_good_{};
  bool ever_good_ = false;
  bool told_ = false;
  Instant backoff_until_{};
};

}  // namespace wrenusher::store
