#pragma once
// Keeps the latest status of each peer and evaluates the statuses for elections and hand-overs.

#include <functional>
#include <map>
#include <string>

#include "wrenusher/events/membership.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::membership {

using events::PeerStatus;
using events::Readiness;
using time::Instant;

/// The latest status of each peer. A peer sends its status in its heartbeats, which are requests to this node
/// or replies to this node's heartbeats. A status is fresh for 1.6 s after this node sent the last heartbeat
/// that the peer replied to. Owned by Leadership. Single-threaded: called from the runtime's loop only.
class PeerTable {
 public:
  using Predicate = std::function<bool(const PeerStatus&)>;

  /// Combined reachability of all peers with a fresh status.
  struct Reachability {
    bool any_peer = false;          ///< at least one peer has a fresh status
    bool kv_reachable = false;      ///< at least one peer reaches the state service
    bool receives_reports = false;  ///< at least one peer receives reports of workers
  };

  explicit PeerTable(const runtime::Runtime& runtime) : runtime_(runtime) {}

  void update(const PeerStatus& status);

  /// Returns the latest time at which some peer was certainly alive; 0: none.
  [[nodiscard]] Instant last_heartbeat() const { return last_heartbeat_; }
  [[nodiscard]] Reachability reachability() const;
  /// Returns how many candidates take precedence over this node in an election. A candidate is a peer with a
  /// fresh status that reaches the state service and does not abstain.
  [[nodiscard]] int candidates_ahead(const std::string& node, Readiness readiness) const;
  /// Returns whether some candidate has a warm replica.
  [[nodiscard]] bool has_warm_candidate() const;
  /// Returns whether some peer with a fresh status has loaded this topology and reaches the state service.
  [[nodiscard]] bool has_topology(const topology::TopologyVersion& version) const;
  /// Returns the eligible candidate with the highest readiness; the first by name among equals, empty if none
  /// is eligible.
  [[nodiscard]] std::string best_successor(const Predicate& is_eligible) const;

 private:
  struct Entry {
    PeerStatus status;
    Instant last_alive_at{};  ///< the peer was certainly alive at this time; 0: unknown
  };
  [[nodiscard]] bool is_fresh(const Entry& entry) const;
  /// Returns whether the peer is a candidate, see `candidates_ahead`.
  [[nodiscard]] bool is_candidate(const Entry& entry) const;

  const runtime::Runtime& runtime_;
  std::map<std::string, Entry> peers_;
  Instant last_heartbeat_{};
};

}  // namespace wrenusher::membership
