#pragma once
// Package controller: one controller node. It owns the actors and the wiring of their messages, and is the
// only package that sees them all. It may depend on every package but net.

#include "wrenusher/desk/frontdesk.hpp"
#include "wrenusher/fleet/fleet.hpp"
#include "wrenusher/ledger/ledger.hpp"
#include "wrenusher/membership/leadership.hpp"
#include "wrenusher/membership/peer.hpp"
#include "wrenusher/provisioner/provisioner.hpp"
#include "wrenusher/standby/standby.hpp"
#include "wrenusher/survey/survey.hpp"

namespace wrenusher::controller {

using namespace base;
using namespace settings;
using namespace store;
using namespace membership;
using namespace standby;
using namespace desk;
using namespace fleet;
using namespace ledger;
using namespace provisioner;

class Controller {
 public:
  /// `reader`: how the operators' topology is read, where the settings name one.
  Controller(Runtime& runtime, Settings settings, survey::Reader reader = fields::read_file);
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
  survey::TopologyLoader topology_loader_;
  Leadership leadership_;
  Peer peer_;
  StandbyReplica standby_;
  JobApi job_api_;
  WorkerGateway worker_gateway_;
  LeaderActor leader_;
  Provisioner provisioner_;
};

}  // namespace wrenusher::controller
