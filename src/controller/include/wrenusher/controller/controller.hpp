#pragma once
// Package controller: one controller node, put together from its actors. It is the only package that knows
// them all, and may depend on every package but net.

#include <string>

#include "wrenusher/job_api/job_api.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/leader/leader_actor.hpp"
#include "wrenusher/membership/leadership.hpp"
#include "wrenusher/membership/peer.hpp"
#include "wrenusher/provisioner/provisioner.hpp"
#include "wrenusher/replica/standby_replica.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology_loader/topology_loader.hpp"
#include "wrenusher/worker_gateway/worker_gateway.hpp"

namespace wrenusher::controller {

/// One controller node: owns the actors and connects their events. Actors never call each other; an event
/// goes through the runtime's queue and arrives in the order in which it was sent.
///
/// `runtime` must outlive it. Single-threaded: called from the runtime's loop only.
class Controller {
 public:
  /// `reader`: how the operators' topology file is read, where the settings name one.
  Controller(runtime::Runtime& runtime, settings::Settings settings,
             topology_loader::Reader reader = config_reader::read_file);

  /// Starts all actors; to be called once.
  void start();

  /// A request on `client_listen`: a user's, a worker's or a health check.
  void serve_client(const runtime::Request& request, const runtime::Responder& answer);
  /// A request on `peer_listen`.
  void serve_peer(const runtime::Request& request, const runtime::Responder& answer) {
    peer_.serve(request, answer);
  }

  /// Whether this node is certain now to be the only leader.
  [[nodiscard]] bool lease_valid() const { return leadership_.lease_valid(); }
  /// How long the parts of each of this node's failovers took, once the last part is over.
  runtime::EventSink<events::FailoverTimes>& failover_finished() { return leader_.failover_finished; }
  /// How much of what a leader knows this node has.
  [[nodiscard]] events::Readiness readiness() const { return standby_.readiness(); }
  /// For checks: where the leader's job table contradicts itself; empty: nowhere.
  [[nodiscard]] std::string disagreement() const { return leader_.disagreement(); }

 private:
  // The connections, by the actors or the topic that they are about. The order of connections with one sink
  // is the order of delivery.
  void connect_term();
  void connect_standby();
  void connect_topology();
  void connect_peers();
  void connect_job_api();
  void connect_workers();
  void connect_leader();
  void connect_provisioner();
  /// Delivers the events of a sink to a member function of an actor.
  template <typename Event, typename Actor>
  void connect(runtime::EventSink<Event>& from, Actor& actor, void (Actor::*receive)(const Event&));

  runtime::Runtime& runtime_;
  settings::Settings settings_;
  kv_client::KvClient kv_client_;
  topology_loader::TopologyLoader topology_loader_;
  membership::Leadership leadership_;
  membership::Peer peer_;
  replica::StandbyReplica standby_;
  job_api::JobApi job_api_;
  worker_gateway::WorkerGateway worker_gateway_;
  leader::LeaderActor leader_;
  provisioner::Provisioner provisioner_;
};

}  // namespace wrenusher::controller
