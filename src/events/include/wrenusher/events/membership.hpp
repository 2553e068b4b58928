#pragma once
// Events about who leads and what the controllers tell each other.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"
#include "wrenusher/topology/topology.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::events {

/// A term began or ended, here or elsewhere.
struct TermChanged {
  bool leading = false;
  std::uint64_t fencing_token = 0;  ///< the highest this node knows
  std::uint64_t mod_revision =
      0;               ///< of the `leader` key while leading: a condition of every scheduling write
  std::string leader;  ///< empty: not known
  time::Instant
      vacancy_noticed{};  ///< while leading: when the end of the last hold was seen here; 0: it was none
  time::Instant last_heartbeat{};  ///< while leading: when the last leader was last heard; 0: never
};

/// Until when this node is certain to be the only leader.
struct LeaseValidity {
  time::Instant until{};
};

/// How much of what a leader knows a node has that does not lead.
enum class Readiness {
  cold,  ///< nothing
  part,  ///< the records or the hints
  warm   ///< both
};

/// What a peer says of itself.
struct PeerStatus {
  std::string node;
  std::uint64_t fencing_token = 0;
  std::string leader;
  bool leading = false;
  bool kv_reachable = false;
  bool receives_reports = false;
  std::vector<std::string> cancelled;
  topology::TopologyVersion topology;         ///< what it has read from its file
  topology::TopologyVersion active_topology;  ///< while it leads
  Readiness readiness = Readiness::cold;
  bool abstains = false;  ///< it has given the lead away and does not want it back yet
  /// When the question went out that this answers: the peer was there then. Nothing: it came by itself.
  std::optional<time::Instant> asked_at;
  std::string successor;  ///< whom it wants to lead now; empty: nobody
  /// Everything that it had announced when it said this is known here; otherwise the rest follows.
  bool announcements_complete = true;
};

/// A worker or a peer showed an epoch above ours, or a write failed on the `leader` key.
struct LeadershipLost {
  std::uint64_t fencing_token = 0;
};

/// Whether workers that should report to this leader do.
struct WorkerReachability {
  bool receives_nothing = false;
  bool replies_lost = false;  ///< they report, but show nothing of what they are answered
  bool receives_reports = false;
  bool had_workers = false;  ///< some reported in this term
  bool starved = false;      ///< this node stood still for most of the last seconds
};

/// This node gives the lead away now. Empty: to whoever comes first.
struct SteppingDown {
  std::string successor;
};

/// Something for one peer that rides with the next heartbeat, or has come with one.
struct HeartbeatAttachment {
  std::string peer;
  value::Value value;
};

/// A heartbeat has gone out: what is to ride with the next one is wanted.
struct HeartbeatSent {};

}  // namespace wrenusher::events
