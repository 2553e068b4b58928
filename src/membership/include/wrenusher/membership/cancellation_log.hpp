#pragma once
// Log of the cancellations that this node confirmed to users (told a user that the job is cancelled),
// replicated to every peer. It also tracks up to which time this node has received every cancellation that
// any controller confirmed to a user. It does no I/O: Peer carries its fields in the heartbeats.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/containers/aged_set.hpp"
#include "wrenusher/membership/replicated_log.hpp"

namespace wrenusher::membership {

/// Invariant: a cancellation that was confirmed to any user before `complete_through()` was returned by
/// `merge`, read from the state service (`on_store_read`), or recorded here. docs/design.md, "Cancelled work
/// is gone in time", has the proof.
///
/// Owned by Peer. Single-threaded: called from the runtime's loop only.
class CancellationLog {
 public:
  /// Value of `complete_through()` while nothing is guaranteed.
  static constexpr Instant kNever = Instant::min();

  /// `incarnation`: identifies this run of the process; never 0, and different after each start.
  CancellationLog(std::uint64_t incarnation, const std::vector<std::string>& peers);

  /// Must be called once, when the node starts. `retention`: a job that is recorded again within this time is
  /// not added to the log a second time.
  void start(Instant now, Micros retention);

  /// Records a cancellation that this node is about to confirm to a user. Returns whether the log has a new
  /// row, which should be sent to the peers soon.
  bool record(const std::string& job_id, Instant now);

  /// Adds the fields of a heartbeat to `peer`: the rows that it has not confirmed yet, and the numbers of its
  /// rows received here. Returns whether the heartbeat contains the last row of the log.
  bool write(const std::string& peer, Value::Map& out) const { return log_.write(peer, out); }

  struct MergeResult {
    std::vector<std::string> job_ids;  ///< cancelled jobs; may include jobs that were received before
    std::string error;  ///< the refused field and the reason, in which case nothing was merged; else empty
  };
  /// Merges the fields of a peer's heartbeat, which must be its newest so far. `request_sent_at`: send time
  /// of the request that the heartbeat replies to; empty: it was not a reply and may be a delayed copy.
  MergeResult merge(const std::string& peer, const Value& value, std::optional<Instant> request_sent_at,
                    Instant now);

  /// Records that this node has read all cancellations that the state service had at `request_sent_at`.
  void on_store_read(Instant request_sent_at);

  /// Returns the time before which every cancellation that was confirmed to any user has reached this node.
  [[nodiscard]] Instant complete_through() const;
  /// Returns the peer with the earliest `complete_through`; empty: there are no peers.
  [[nodiscard]] std::string slowest_peer() const;
  /// Returns the number of rows in the log. A row is kept until all peers have confirmed that they received
  /// it, or until it is dropped because the log is full.
  [[nodiscard]] std::size_t size() const { return log_.size(); }

 private:
  struct PeerState {
    /// When this node last detected a restart of the peer or a gap in its log. Cancellations confirmed before
    /// this time are complete only once the state service has been read since.
    Instant gap_found_at = kNever;
    bool awaits_store_read = false;  ///< the state service has not been read since `gap_found_at`
    /// Send time of the newest request whose reply left no row of the peer missing here.
    Instant caught_up_at = kNever;
    Instant complete_through = kNever;
  };

  ReplicatedLog log_;
  Instant started_at_ = kNever;
  Micros retention_{};
  Instant store_read_at_ = kNever;
  std::map<std::string, PeerState> peers_;
  containers::AgedSet<std::string> recently_recorded_;  ///< jobs recorded within the last `retention_`
};

}  // namespace wrenusher::membership
