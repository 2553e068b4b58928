#pragma once
// The cancellations that users were told of by this node, replicated to every peer; and up to which time this
// node knows all that any controller has told. A pure state machine: Peer carries its fields in the
// heartbeats.
//
// Claimed: a cancellation that any user was told of before `known_through()` was returned by `merge`, read
// from the state service (`on_store_read`), or recorded here. docs/design.md, "Cancelled work is gone in
// time", has the proof.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/containers/aged_set.hpp"
#include "wrenusher/membership/replicated_log.hpp"

namespace wrenusher::membership {

/// Owned by Peer. Single-threaded: called from the runtime's loop only.
class CancellationLog {
 public:
  /// The value of `known_through()` while nothing can be claimed.
  static constexpr Instant kNever = Instant::min();

  /// `incarnation`: of this process, never 0, a different one after each start.
  CancellationLog(std::uint64_t incarnation, const std::vector<std::string>& peers);

  /// To be called once, when the node starts. `retention`: a job recorded again within this time is not added
  /// to the log a second time.
  void begin(Instant now, Micros retention);

  /// A user is about to be told here that the job is cancelled. True when the log has a new row, which the
  /// peers should get soon.
  bool record(const std::string& job_id, Instant now);

  /// Adds the fields of a heartbeat to that peer: what it has not confirmed yet, and what this node has of
  /// its.
  void write(const std::string& peer, Value::Map& out) const { log_.write(peer, out); }

  struct MergeResult {
    std::vector<std::string> job_ids;  ///< cancelled jobs, some of them known before
    std::string error;                 ///< not empty: the field that was refused, and why; nothing was merged
  };
  /// Reads the fields of a peer's heartbeat, which must be its newest so far. `asked_at`: when this node sent
  /// the request that the heartbeat answers; empty: it was not an answer and may be an old copy.
  MergeResult merge(const std::string& peer, const Value& value, std::optional<Instant> asked_at,
                    Instant now);

  /// All cancellations that the state service had at `asked_at` are known here.
  void on_store_read(Instant asked_at);

  /// Every cancellation that any user was told of before this time is known here.
  [[nodiscard]] Instant known_through() const;
  /// The peer that holds `known_through()` back most; empty: there are no peers.
  [[nodiscard]] std::string slowest_peer() const;
  /// Rows that some peer has not confirmed.
  [[nodiscard]] std::size_t size() const { return log_.size(); }

 private:
  struct PeerKnowledge {
    /// What users were told before this time is known only once the state service has been read since.
    Instant met_at = kNever;
    bool awaits_store_read = false;  ///< the state service has not been read since `met_at`
    Instant exchanged_at = kNever;   ///< send time of the newest request whose answer left no rows open
    Instant known_through = kNever;
  };

  ReplicatedLog log_;
  Instant began_at_ = kNever;
  Micros retention_{};
  Instant store_read_at_ = kNever;
  std::map<std::string, PeerKnowledge> peers_;
  containers::AgedSet<std::string> recent_;  ///< jobs recorded within the last `retention_`
};

}  // namespace wrenusher::membership
