#pragma once
// Package controller: one controller node. It owns the actors and the wiring of their messages, and is the
// only package that sees them all. It may depend on every package but net.

#include "wrenusher/job_api/job_api.hpp"
#include "wrenusher/leader/leader_actor.hpp"
#include "wrenusher/membership/leadership.hpp"
#include "wrenusher/membership/peer.hpp"
#include "wrenusher/provisioner/provisioner.hpp"
#include "wrenusher/replica/standby_replica.hpp"
#include "wrenusher/topology_loader/topology_loader.hpp"
#include "wrenusher/worker_gateway/worker_gateway.hpp"

namespace wrenusher::controller {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace kv_client;
using namespace membership;
using namespace replica;
using namespace job_api;
using namespace worker_gateway;
using namespace leader;
using namespace provisioner;

class Controller {
 public:
  /// `reader`: how the operators' topology is read, where the settings name one.
  Controller(Runtime& runtime, Settings settings, topology_loader::Reader reader = config_reader::read_file);
  void start();

  /// A request on `client_listen`: a user's, a worker's or a health check.
  void serve_client(const Request& request, const Responder& answer);
  /// A request on `peer_listen`.
  void serve_peer(const Request& request, const Responder& answer) { peer_.serve(request, answer); }

  bool lease_valid() const { return leadership_.lease_valid(); }
  /// The parts of this node's takeovers, as they are over.
  EventSink<FailoverTimes>& failover_finished() { return leader_.failover_finished; }
  /// How much of what a leader knows this node has.
  Readiness readiness() const { return standby_.readiness(); }
  std::string disagreement() const { return leader_.disagreement(); }

 private:
  Settings settings_;
  KvClient kv_client_;
  topology_loader::TopologyLoader topology_loader_;
  Leadership leadership_;
  Peer peer_;
  StandbyReplica standby_;
  JobApi job_api_;
  WorkerGateway worker_gateway_;
  LeaderActor leader_;
  Provisioner provisioner_;
};

}  // namespace wrenusher::controller
