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
#include <unordered_set>
#include <vector>

#include "wrenusher/membership/numbered_log.hpp"

namespace wrenusher::membership {

class Cancellations {
 public:
  /// Before anything: nothing that was told is known to be known.
  static constexpr Instant kNever = Instant::min();

  /// `life`: of this process, never 0, another for each.
  Cancellations(std::uint64_t life, const std::vector<std::string>& peers);
  /// `kept`: how long what was told is not numbered anew when it is told again.
  void begin(Instant now, Micros kept);

  /// A user is about to be told here; false: a peer is still to get it, or got it of late.
  bool tell(const std::string& ref, Instant now);
  /// The fields of a heartbeat to that peer: what it has not confirmed yet, and what this node has of it.
  void write(const std::string& peer, Value::Map& out) const { log_.write(peer, out); }

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
  std::size_t kept() const { return log_.kept(); }

 private:
  struct PeerKnown {
    Instant met = kNever;        ///< what was told before is known only once the state service was read since
    bool owed = false;           ///< it has not been yet
    Instant exchanged = kNever;  ///< the newest question whose answer left nothing open
    Instant through = kNever;
  };

  NumberedLog log_;
  Instant began_ = kNever;
  Micros kept_for_{};
  Instant read_ = kNever;
  std::map<std::string, PeerKnown> peers_;
  /// Numbered of late, and in which order.
  std::unordered_set<std::string> told_;
  std::deque<std::pair<Instant, std::string>> told_order_;
};

}  // namespace wrenusher::membership
