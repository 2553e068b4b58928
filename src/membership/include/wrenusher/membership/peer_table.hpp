#pragma once
// What the peers last said of themselves, and what follows from it for an election or a hand-over.

#include <functional>
#include <map>
#include <string>

#include "wrenusher/events/membership.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::membership {

using events::PeerStatus;
using events::Readiness;
using time::Instant;

/// A status counts for 1.6 s from the request that it answered. Owned by Leadership. Single-threaded: called
/// from the runtime's loop only.
class PeerTable {
 public:
  using Predicate = std::function<bool(const PeerStatus&)>;

  /// What the peers with a fresh status reach, all of them together.
  struct Reachability {
    bool any_peer = false;          ///< there is a fresh status
    bool kv_reachable = false;      ///< some peer reaches the state service
    bool receives_reports = false;  ///< some peer receives heartbeats of workers
  };

  explicit PeerTable(const runtime::Runtime& runtime) : runtime_(runtime) {}

  void update(const PeerStatus& status);

  /// The newest time at which any peer is known to have been there; 0: never.
  [[nodiscard]] Instant last_heartbeat() const { return last_heartbeat_; }
  [[nodiscard]] Reachability reachability() const;
  /// How many candidates take precedence over this node in an election.
  [[nodiscard]] int candidates_ahead(const std::string& node, Readiness readiness) const;
  /// Some peer could lead and has a warm replica.
  [[nodiscard]] bool has_warm_candidate() const;
  /// Some peer has read this topology and reaches the state service.
  [[nodiscard]] bool has_topology(const topology::TopologyVersion& version) const;
  /// The candidate with the highest readiness of those that fit, the first by name; empty: none fits.
  [[nodiscard]] std::string best_successor(const Predicate& fits) const;

 private:
  struct Entry {
    PeerStatus status;
    Instant seen_at{};  ///< the peer was there at this time; 0: not known
  };
  [[nodiscard]] bool is_fresh(const Entry& entry) const;
  /// The status is fresh, and the peer reaches the state service and wants to lead.
  [[nodiscard]] bool is_candidate(const Entry& entry) const;

  const runtime::Runtime& runtime_;
  std::map<std::string, Entry> peers_;
  Instant last_heartbeat_{};
};

}  // namespace wrenusher::membership
