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

#include "wrenusher/membership/replicated_log.hpp"

namespace wrenusher::membership {

class CancellationLog {
 public:
  /// Before anything: nothing that was told is known to be known.
  static constexpr Instant kNever = Instant::min();

  /// `life`: of this process, never 0, another for each.
  CancellationLog(std::uint64_t life, const std::vector<std::string>& peers);
  /// `kept`: how long what was told is not numbered anew when it is told again.
  void begin(Instant now, Micros kept);

  /// A user is about to be told here; false: a peer is still to get it, or got it of late.
  bool record_told(const std::string& job_id, Instant now);
  /// The fields of a heartbeat to that peer: what it has not confirmed yet, and what this node has of it.
  void write(const std::string& peer, Value::Map& out) const { log_.write(peer, out); }

  struct MergeResult {
    std::vector<std::string> job_ids;  ///< cancelled jobs, some known before
    std::string error;                 ///< not empty: the field that was refused, and why; nothing was taken
  };
  /// A peer's heartbeat, its newest so far. `asked`: when the question went out that it answers.
  MergeResult merge(const std::string& peer, const Value& value, std::optional<Instant> asked, Instant now);
  /// All cancellations that the state service had when it was asked are known here.
  void on_read(Instant asked);

  /// Every cancellation that a user was told before then is known here.
  Instant known_through() const;
  /// The peer that knowledge waits for longest; empty: none.
  std::string slowest_peer() const;
  std::size_t size() const { return log_.size(); }

 private:
  struct PeerKnowledge {
    Instant met_at = kNever;  ///< what was told before is known only once the state service was read since
    bool awaits_store_read = false;  ///< it has not been yet
    Instant exchanged_at = kNever;   ///< the newest question whose answer left nothing open
    Instant known_through = kNever;
  };

  ReplicatedLog log_;
  Instant began_at_ = kNever;
  Micros keep_for_{};
  Instant store_read_at_ = kNever;
  std::map<std::string, PeerKnowledge> peers_;
  /// Numbered of late, and in which order.
  std::unordered_set<std::string> recently_told_;
  std::deque<std::pair<Instant, std::string>> told_order_;
};

}  // namespace wrenusher::membership
