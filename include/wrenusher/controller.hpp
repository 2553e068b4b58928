#pragma once
// One controller node: the actors and the wiring of their messages.

#include "wrenusher/fleet.hpp"
#include "wrenusher/frontdesk.hpp"
#include "wrenusher/leadership.hpp"
#include "wrenusher/ledger.hpp"
#include "wrenusher/peer.hpp"
#include "wrenusher/provisioner.hpp"

namespace wrenusher {

class Controller {
 public:
  Controller(Runtime& rt, Settings settings);
  void start();

  /// A request on `client_listen`: a user's, a worker's or a health check.
  void serve_client(const Request& request, const Answer& answer);
  /// A request on `peer_listen`.
  void serve_peer(const Request& request, const Answer& answer) { peer_.serve(request, answer); }

  bool certain() const { return leadership_.certain(); }
  std::string disagreement() const { return ledger_.disagreement(); }

 private:
  Settings settings_;
  Store store_;
  Leadership leadership_;
  Peer peer_;
  Frontdesk frontdesk_;
  Fleet fleet_;
  Ledger ledger_;
  Provisioner provisioner_;
};

}  // namespace wrenusher
