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
  Controller(Runtime& rt, Settings settings, survey::Reader reader = fields::read_file);
  void start();

  /// A request on `client_listen`: a user's, a worker's or a health check.
  void serve_client(const Request& request, const Answer& answer);
  /// A request on `peer_listen`.
  void serve_peer(const Request& request, const Answer& answer) { peer_.serve(request, answer); }

  bool certain() const { return leadership_.certain(); }
  /// The parts of this node's takeovers, as they are over.
  Sink<TakenOver>& taken_over() { return ledger_.taken_over; }
  /// How much of what a leader knows this node has.
  Readiness ready() const { return standby_.ready(); }
  std::string disagreement() const { return ledger_.disagreement(); }

 private:
  Settings settings_;
  Store store_;
  survey::Survey survey_;
  Leadership leadership_;
  Peer peer_;
  Standby standby_;
  Frontdesk frontdesk_;
  Fleet fleet_;
  Ledger ledger_;
  Provisioner provisioner_;
};

}  // namespace wrenusher::controller
