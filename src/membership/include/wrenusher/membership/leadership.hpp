#pragma once
// Package membership: elects the leading controller (Leadership) and exchanges heartbeats between controllers
// (Peer). Heartbeats are not to be confused with the reports that workers send.
//
// A term is the time for which one node leads. It begins when a node replaces the `leader` record in the
// state service (the key-value store of the controllers). Its number is the fencing token, which rises with
// each term; a worker that has accepted a token rejects starts from leaders of earlier terms.
//
// The package may depend on time, value, containers, runtime, settings, protocol, kv_client, topology, events
// and log.

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

/// Decides whether this node leads: begins the terms that its Election wins, renews the lease, and steps down
/// when another node leads or is better placed to lead.
///
/// Owns the lease in the state service, the fencing token of each term, the period in which this node is
/// certainly the only leader, and the active topology version. Single-threaded: called from the runtime's
/// loop only.
class Leadership {
 public:
  /// All arguments must outlive this object.
  Leadership(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store);
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;
  ~Leadership() = default;

  /// Must be called once, after the sinks are connected.
  void start();

  void on_peer_status(const events::PeerStatus& status);
  void on_leadership_lost(const events::LeadershipLost& event);
  void on_worker_reachability(const events::WorkerReachability& event);
  void on_topology_loaded(const events::TopologyLoaded& event) { topology_.on_loaded(event); }
  void on_readiness(const events::Readiness& readiness) { election_.on_readiness(readiness); }

  /// Returns whether this node leads and is certainly the only leader.
  [[nodiscard]] bool lease_valid() const { return term_.leading && runtime_.now() < lease_.valid_until(); }

  runtime::EventSink<events::TermChanged> term_changed;
  runtime::EventSink<events::LeaseValidity> lease_validity;
  runtime::EventSink<events::TopologyActivated> topology_activated;
  runtime::EventSink<events::SteppingDown> stepping_down;

 private:
  /// Why and to which peers the leadership should be handed over.
  struct HandOverPlan {
    const char* reason;
    PeerTable::Predicate is_eligible;  ///< selects the peers that are better placed to lead
    /// Whether `kHandOverInterval` must pass between two such hand-overs. It must where the problem of this
    /// node may affect the peer as well.
    bool rate_limited;
  };
  void tick();
  /// Does the periodic work of a leader.
  void lead_tick();
  /// Returns why this node must step down at once; null: no reason.
  [[nodiscard]] const char* stop_reason(const PeerTable::Reachability& peers) const;
  [[nodiscard]] std::optional<HandOverPlan> plan_hand_over(const PeerTable::Reachability& peers) const;
  [[nodiscard]] Micros max_isolation() const;
  void hand_over(const HandOverPlan& plan);
  void begin_term(const Election::Victory& victory);
  void step_down(const char* reason, Micros abstention);
  void observe_term(std::uint64_t fencing_token, const std::string& leader);

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  TermState term_;
  PeerTable peers_;
  TopologyAgreement topology_;
  LeaderLease lease_;
  Election election_;

  Instant last_leader_heartbeat_{};  ///< from the leader of the newest term known at its arrival; 0: none
  Instant last_rate_limited_hand_over_{};  ///< time of the last rate-limited hand-over; 0: none
  events::WorkerReachability workers_;
  Instant no_reports_since_{};  ///< when `workers_.receives_nothing` became true
};

}  // namespace wrenusher::membership
