#pragma once
// What this node has told users is cancelled, numbered, until every peer has it; and up to when it knows all
// that any controller has told. A pure state machine: Peer carries its fields in the heartbeats.
//
// Claimed: a cancellation that any user was told before `through()` was handed out by `take` or `on_read`, or
// told here. docs/design.md, "Cancelled work is gone in time", has the proof.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::membership {

using namespace base;
using namespace protocol;

class Cancellations {
 public:
  /// Before anything: nothing that was told is known to be known.
  static constexpr Instant kNever = Instant::min();

  /// `life`: of this process, never 0, another for each.
  Cancellations(std::uint64_t life, std::vector<std::string> peers);
  /// `kept`: how long what was told is not numbered anew when it is told again.
  void begin(Instant now, Micros kept);

  /// A user is about to be told here; false: a peer is still to get it, or got it of late.
  bool tell(const std::string& ref, Instant now);
  /// The fields of a heartbeat to that peer: what it has not confirmed yet, and what this node has of it.
  void write(const std::string& peer, Value::Map& out) const;

  struct Taken {
    std::vector<std::string> refs;  ///< cancelled jobs, some known before
    std::string fault;              ///< not empty: the field that was refused, and why; nothing was taken
  };
  /// A peer's heartbeat, its newest so far. `asked`: when the question went out that it answers.
  Taken take(const std::string& peer, const Value& v, std::optional<Instant> asked, Instant now);
  /// All cancellations that the state service had when it was asked are known here.
  void on_read(Instant asked);

  /// Every cancellation that a user was told before then is known here.
  Instant through() const;
  /// The peer that knowledge waits for longest; empty: none.
  std::string behind() const;
  std::size_t kept() const { return rows_.size(); }

 private:
  struct PeerLog {
    std::uint64_t life = 0;
    std::uint64_t got = 0;       ///< every row up to this number of that life, or of before it was met
    Instant met = kNever;        ///< what was told before is known only once the state service was read since
    bool owed = false;           ///< it has not been yet
    Instant exchanged = kNever;  ///< the newest question whose answer left nothing open
    Instant through = kNever;
    std::uint64_t has = 0;  ///< what the peer has of this node's rows
  };
  std::uint64_t last() const { return first_ + rows_.size() - 1; }
  void trim();

  std::uint64_t life_;
  Instant began_ = kNever;
  Micros kept_for_{};
  Instant read_ = kNever;
  std::deque<std::string> rows_;
  std::uint64_t first_ = 1;  ///< number of rows_.front()
  std::map<std::string, PeerLog> peers_;
  std::unordered_map<std::string, Instant> told_;
  std::deque<std::pair<Instant, std::string>> told_order_;
};

}  // namespace wrenusher::membership
