#pragma once
// Package controller: assembles one controller node from its actors. It is the only package that depends on
// all actors, and it may depend on every package except net.

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

/// One controller node: owns the actors and connects their events. Actors never call each other. Events go
/// through the runtime's queue and are delivered in the order in which they were sent.
///
/// `runtime` must outlive the controller. Not thread-safe: all calls must come from the runtime's event loop.
class Controller {
 public:
  /// `reader` reads the operators' topology file, if the settings name one.
  Controller(runtime::Runtime& runtime, settings::Settings settings,
             topology_loader::Reader reader = config_reader::read_file);

  /// Starts all actors. Must be called exactly once.
  void start();

  /// Handles a request on `client_listen`, from a user, a worker or a health check.
  void serve_client(const runtime::Request& request, const runtime::Responder& responder);
  /// Handles a request on `peer_listen`, from another controller.
  void serve_peer(const runtime::Request& request, const runtime::Responder& responder) {
    peer_.serve(request, responder);
  }

  /// Returns whether this node holds a valid lease, so that it is certainly the only leader at this moment.
  [[nodiscard]] bool lease_valid() const { return leadership_.lease_valid(); }
  /// Returns the sink of the failover durations of this node: one event per failover, sent after its last
  /// phase.
  runtime::EventSink<events::FailoverTimes>& failover_finished() { return leader_.failover_finished; }
  /// Returns how complete this node's replica of the leader's state is.
  [[nodiscard]] events::Readiness readiness() const { return standby_.readiness(); }
  /// Returns a description of the first inconsistency in the leader's job table, or an empty string. For
  /// checks.
  [[nodiscard]] std::string disagreement() const { return leader_.disagreement(); }

 private:
  // The connections, grouped by actor or topic. Each sink delivers an event in the order in which its
  // receivers were connected.
  void connect_term();
  void connect_standby();
  void connect_topology();
  void connect_peers();
  void connect_job_api();
  void connect_workers();
  void connect_leader();
  void connect_provisioner();
  /// Connects a sink to a member function of an actor.
  template <typename Event, typename Actor>
  void connect(runtime::EventSink<Event>& sink, Actor& actor, void (Actor::*receive)(const Event&));

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
