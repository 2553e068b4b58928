#pragma once
// Package membership: which controller leads, and what the controllers tell each other. Leadership owns the
// lease in the state service, the fencing token of each term, the window in which this node is certain that
// nobody else leads, and which topology is in force; Peer owns the heartbeats between controllers. It may
// depend on time, value, containers, runtime, settings, protocol, kv_client, topology, events and log.

#include <functional>
#include <optional>
#include <string>

#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/membership/election.hpp"
#include "wrenusher/membership/leader_lease.hpp"
#include "wrenusher/membership/peer_table.hpp"
#include "wrenusher/membership/term_state.hpp"
#include "wrenusher/membership/topology_agreement.hpp"
#include "wrenusher/membership/topology_version_codec.hpp"

namespace wrenusher::membership {

/// Decides whether this node leads: begins the terms that its Election wins, keeps the lease, and steps down
/// when another node leads or would do better. Single-threaded: called from the runtime's loop only.
class Leadership {
 public:
  /// All arguments must outlive this.
  Leadership(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store);
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;
  ~Leadership() = default;

  /// To be called once, after the sinks are connected.
  void start();

  void on_peer_status(const events::PeerStatus& status);
  void on_leadership_lost(const events::LeadershipLost& event);
  void on_worker_reachability(const events::WorkerReachability& event);
  void on_topology_loaded(const events::TopologyLoaded& event) { topology_.on_loaded(event); }
  void on_readiness(const events::Readiness& readiness) { election_.on_readiness(readiness); }

  /// This node leads, and is certain that nobody else does.
  [[nodiscard]] bool lease_valid() const { return term_.leading && runtime_.now() < lease_.valid_until(); }

  runtime::EventSink<events::TermChanged> term_changed;
  runtime::EventSink<events::LeaseValidity> lease_validity;
  runtime::EventSink<events::TopologyActivated> topology_activated;
  runtime::EventSink<events::SteppingDown> stepping_down;

 private:
  /// Why the lead should go to a peer.
  struct HandOver {
    const char* reason;
    PeerTable::Predicate fits;  ///< which peers could do better
    bool rate_limited;          ///< the peer may do no better: not again for some time
  };
  void tick();
  /// The periodic work of a leader.
  void lead();
  /// Why this node must stop at once; null: it need not.
  [[nodiscard]] const char* stop_reason(const PeerTable::Reachability& peers) const;
  [[nodiscard]] std::optional<HandOver> hand_over_reason(const PeerTable::Reachability& peers) const;
  [[nodiscard]] Micros max_isolation() const;
  void hand_over(const HandOver& reason);
  void begin_term(const Election::Victory& victory);
  void step_down(const char* reason, Micros abstention);
  void note_term(std::uint64_t fencing_token, const std::string& leader);

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  TermState term_;
  PeerTable peers_;
  TopologyAgreement topology_;
  LeaderLease lease_;
  Election election_;

  Instant last_leader_heartbeat_{};  ///< of a peer that led the newest term known then; 0: never
  Instant handed_over_at_{};         ///< when the lead was last handed over with a rate limit; 0: never
  events::WorkerReachability workers_;
  Instant unheard_since_{};  ///< when `workers_.receives_nothing` became true
};

}  // namespace wrenusher::membership
