#pragma once
// Events about leadership, and about the heartbeats that the controllers exchange (workers send reports, see
// workers.hpp). A term is the time for which one node leads; its number is the fencing token.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"
#include "wrenusher/topology/topology.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::events {

/// A term began or ended, on this node or on another. Sent by leadership.
struct TermChanged {
  bool leading = false;             ///< whether this node leads
  std::uint64_t fencing_token = 0;  ///< highest token seen by this node; while leading, the token of its term
  /// While leading: mod revision of the `leader` key, a compare-and-swap condition of every scheduling write.
  std::uint64_t mod_revision = 0;
  std::string leader;  ///< node that leads; empty: unknown
  /// While leading: when this node detected the expiry of the previous lease. Zero: there was no expiry.
  time::Instant lease_expiry_noticed{};
  /// While leading: when the previous leader's last heartbeat arrived. Zero: none arrived.
  time::Instant last_heartbeat{};
};

/// The time until which this node is certain to be the only leader. Sent by leadership.
struct LeaseValidity {
  time::Instant until{};
};

/// How much of the leader's state a standby has.
enum class Readiness {
  cold,     ///< nothing
  partial,  ///< either the records or the hints
  warm      ///< both
};

/// The status of a peer, from its heartbeat. Sent by membership::Peer.
struct PeerStatus {
  std::string node;
  std::uint64_t fencing_token = 0;
  std::string leader;
  bool leading = false;
  bool kv_reachable = false;                  ///< whether the peer reaches the state service
  bool receives_reports = false;              ///< whether workers reach the peer
  std::vector<std::string> cancelled;         ///< cancelled jobs in its cancellation log
  topology::TopologyVersion topology;         ///< version of its topology file
  topology::TopologyVersion active_topology;  ///< topology version in force, if the peer leads
  Readiness readiness = Readiness::cold;
  bool abstains = false;  ///< whether it has stepped down and does not stand for election yet
  /// When this node sent the heartbeat to which this is the response: the peer was alive after that time.
  /// nullopt: the peer sent its status in a heartbeat of its own.
  std::optional<time::Instant> request_sent_at;
  std::string successor;  ///< the node that it proposes as the next leader; empty: none
  /// Whether this node has now received all announcements of the peer; otherwise more follow.
  bool announcements_complete = true;
};

/// A newer term has begun, or this node's term has ended: a worker or a peer sent a higher fencing token than
/// this node's, or the condition of a write on the `leader` key failed.
struct LeadershipLost {
  std::uint64_t fencing_token = 0;  ///< the higher token; 0: unknown
};

/// Whether this node and the workers reach each other. Sent by the worker gateway every 250 ms.
struct WorkerReachability {
  bool receives_nothing = false;  ///< this node leads, and too few of its workers report
  bool replies_lost = false;      ///< this node leads, and the reports show no effect of its replies
  bool receives_reports = false;  ///< a worker has reported recently, whether this node leads or not
  bool had_workers = false;       ///< at least one worker has reported in this term
  bool starved = false;           ///< this process got no processor time for most of the last seconds
};

/// This node steps down from leadership now.
struct SteppingDown {
  std::string successor;  ///< the node that should lead next; empty: any
};

/// Data to send to a peer with the next heartbeat, or data received with a heartbeat of a peer.
struct HeartbeatAttachment {
  std::string peer;
  value::Value value;
};

/// A heartbeat was sent: attachments for the next one may be prepared.
struct HeartbeatSent {};

}  // namespace wrenusher::events
