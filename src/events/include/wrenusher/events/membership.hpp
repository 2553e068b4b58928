#pragma once
// Events about who leads, and what the controllers exchange with each other.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"
#include "wrenusher/topology/topology.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::events {

/// A term began or ended, here or elsewhere. From leadership.
struct TermChanged {
  bool leading = false;
  std::uint64_t fencing_token = 0;  ///< the highest that this node knows; the term's, while leading
  /// Of the `leader` key, while leading: a compare-and-swap condition of every scheduling write.
  std::uint64_t mod_revision = 0;
  std::string leader;  ///< its node; empty: not known
  /// While leading: when the expiry of the previous lease was noticed here. Zero: there was none.
  time::Instant lease_expiry_noticed{};
  /// While leading: when the previous leader was last heard. Zero: never.
  time::Instant last_heartbeat{};
};

/// Until when this node is certain to be the only leader. From leadership.
struct LeaseValidity {
  time::Instant until{};
};

/// How much of what the leader knows a standby has.
enum class Readiness {
  cold,     ///< nothing
  partial,  ///< the records or the hints, not both
  warm      ///< both
};

/// What a peer says of itself in a heartbeat. From the peers' actor.
struct PeerStatus {
  std::string node;
  std::uint64_t fencing_token = 0;
  std::string leader;
  bool leading = false;
  bool kv_reachable = false;                  ///< the key-value store answers it
  bool receives_reports = false;              ///< workers reach it
  std::vector<std::string> cancelled;         ///< jobs, by its cancellation log
  topology::TopologyVersion topology;         ///< the version in its file
  topology::TopologyVersion active_topology;  ///< the version in force, while it leads
  Readiness readiness = Readiness::cold;
  bool abstains = false;  ///< it has stepped down and does not want to lead again yet
  /// When the heartbeat went out that this answers: the peer was alive later than that. Nothing: the peer
  /// sent this by itself.
  std::optional<time::Instant> request_sent_at;
  std::string successor;  ///< the node that it wants to lead next; empty: none
  /// Everything that it had announced to this node has been received with this; otherwise more follows.
  bool announcements_complete = true;
};

/// A worker or a peer showed a fencing token above this node's, or a write failed on the `leader` key.
struct LeadershipLost {
  std::uint64_t fencing_token = 0;  ///< the higher one; 0: not known
};

/// How well this node and the workers reach each other. From the worker gateway, every 250 ms.
struct WorkerReachability {
  bool receives_nothing = false;  ///< it leads, and too few of its workers report
  bool replies_lost = false;      ///< it leads, and the reports show nothing of its answers
  bool receives_reports = false;  ///< some worker has reported of late, leading or not
  bool had_workers = false;       ///< some reported in this term
  bool starved = false;           ///< this process got no processor time for most of the last seconds
};

/// This node steps down now.
struct SteppingDown {
  std::string successor;  ///< the node that is to lead next; empty: any
};

/// Data for one peer that is to travel with the next heartbeat, or data of a peer that has arrived with one.
struct HeartbeatAttachment {
  std::string peer;
  value::Value value;
};

/// A heartbeat has been sent: attachments for the next one are due.
struct HeartbeatSent {};

}  // namespace wrenusher::events
