#include "wrenusher/controller/controller.hpp"

namespace wrenusher::controller {

namespace {

/// Delivers the messages of a sink to a member function of an actor.
template <typename Message, typename Actor>
void wire(Runtime& rt, Sink<Message>& from, Actor& to, void (Actor::*receive)(const Message&)) {
  from.connect(rt, [&to, receive](const Message& m) { (to.*receive)(m); });
}

}  // namespace

Controller::Controller(Runtime& rt, Settings settings, survey::Reader reader)
    : settings_(std::move(settings)),
      store_(rt, settings_),
      survey_(rt, settings_.tunables.topology, std::move(reader)),
      leadership_(rt, settings_, store_),
      peer_(rt, settings_),
      standby_(rt, settings_, store_),
      frontdesk_(rt, settings_, store_),
      fleet_(rt, settings_),
      ledger_(rt, settings_, store_),
      provisioner_(rt, settings_, store_) {
  wire(rt, store_.health, peer_, &Peer::on_health);

  wire(rt, leadership_.changed, peer_, &Peer::on_term);
  wire(rt, leadership_.changed, fleet_, &Fleet::on_term);
  wire(rt, leadership_.changed, provisioner_, &Provisioner::on_term);
  wire(rt, leadership_.changed, ledger_, &Ledger::on_term);
  wire(rt, leadership_.changed, standby_, &Standby::on_term);
  wire(rt, leadership_.certainty, fleet_, &Fleet::on_certainty);
  wire(rt, leadership_.certainty, ledger_, &Ledger::on_certainty);
  wire(rt, leadership_.certainty, provisioner_, &Provisioner::on_certainty);

  wire(rt, leadership_.ceding, standby_, &Standby::on_ceding);
  wire(rt, leadership_.ceding, peer_, &Peer::on_ceding);
  wire(rt, peer_.sent, standby_, &Standby::on_beat);
  wire(rt, peer_.aside, standby_, &Standby::on_aside);
  wire(rt, standby_.aside, peer_, &Peer::on_aside);
  wire(rt, standby_.readiness, peer_, &Peer::on_ready);
  wire(rt, standby_.readiness, leadership_, &Leadership::on_ready);
  wire(rt, standby_.inherited, fleet_, &Fleet::on_inherited);
  wire(rt, standby_.inherited, provisioner_, &Provisioner::on_inherited);
  wire(rt, standby_.inherited, ledger_, &Ledger::on_inherited);
  wire(rt, standby_.copied, ledger_, &Ledger::on_copied);
  wire(rt, ledger_.hints, standby_, &Standby::on_ledger);
  wire(rt, provisioner_.hints, standby_, &Standby::on_rentals);
  wire(rt, provisioner_.gone, standby_, &Standby::on_gone);

  wire(rt, survey_.read, leadership_, &Leadership::on_topology);
  wire(rt, survey_.read, peer_, &Peer::on_topology);
  wire(rt, leadership_.force, peer_, &Peer::on_force);
  wire(rt, leadership_.force, frontdesk_, &Frontdesk::on_topology);
  wire(rt, leadership_.force, fleet_, &Fleet::on_topology);
  wire(rt, leadership_.force, ledger_, &Ledger::on_topology);

  wire(rt, peer_.news, leadership_, &Leadership::on_peer);
  wire(rt, peer_.news, frontdesk_, &Frontdesk::on_peer);
  // First what is cancelled, then how much of it is known: Peer sends in that order.
  wire(rt, peer_.withdrawn, ledger_, &Ledger::on_withdrawn);
  wire(rt, peer_.withdrawn, fleet_, &Fleet::on_withdrawn);
  wire(rt, peer_.known, fleet_, &Fleet::on_known);
  wire(rt, ledger_.cancellations_read, peer_, &Peer::on_read);
  wire(rt, standby_.cancellations_read, peer_, &Peer::on_read);

  // Before a user is told something new the peers know that it is about to be.
  wire(rt, frontdesk_.announcing, peer_, &Peer::on_announce);
  wire(rt, peer_.announced, frontdesk_, &Frontdesk::on_announced);
  wire(rt, peer_.confirmed, frontdesk_, &Frontdesk::on_confirmed);
  wire(rt, standby_.followed, frontdesk_, &Frontdesk::on_followed);
  wire(rt, ledger_.followed, frontdesk_, &Frontdesk::on_followed);

  wire(rt, frontdesk_.withdrawn, peer_, &Peer::on_withdrawn);
  wire(rt, frontdesk_.withdrawn, ledger_, &Ledger::on_withdrawn);
  wire(rt, frontdesk_.withdrawn, fleet_, &Fleet::on_withdrawn);

  wire(rt, fleet_.reported, ledger_, &Ledger::on_report);
  wire(rt, fleet_.doubted, ledger_, &Ledger::on_doubted);
  wire(rt, fleet_.quiet, ledger_, &Ledger::on_quiet);
  wire(rt, fleet_.quiet, provisioner_, &Provisioner::on_quiet);
  wire(rt, fleet_.useless, provisioner_, &Provisioner::on_suspect);
  wire(rt, fleet_.hearing, leadership_, &Leadership::on_hearing);
  wire(rt, fleet_.hearing, peer_, &Peer::on_hearing);
  wire(rt, fleet_.deposed, leadership_, &Leadership::on_deposed);

  wire(rt, ledger_.workload, provisioner_, &Provisioner::on_workload);
  wire(rt, ledger_.progress, frontdesk_, &Frontdesk::on_progress);
  wire(rt, ledger_.progress, peer_, &Peer::on_progress);
  wire(rt, peer_.progress, frontdesk_, &Frontdesk::on_progress);
  wire(rt, ledger_.direct, fleet_, &Fleet::on_direct);
  wire(rt, ledger_.deposed, leadership_, &Leadership::on_deposed);
  wire(rt, ledger_.suspect, provisioner_, &Provisioner::on_suspect);

  wire(rt, provisioner_.catalog_seen, frontdesk_, &Frontdesk::on_catalog);
  wire(rt, provisioner_.catalog_seen, ledger_, &Ledger::on_catalog);
  wire(rt, provisioner_.condemned, ledger_, &Ledger::on_condemned);
  wire(rt, provisioner_.capacity, ledger_, &Ledger::on_capacity);
  wire(rt, provisioner_.listed, fleet_, &Fleet::on_listed);
  wire(rt, provisioner_.gone, ledger_, &Ledger::on_gone);
  wire(rt, provisioner_.gone, fleet_, &Fleet::on_gone);
}

void Controller::start() {
  survey_.start();
  leadership_.start();
  peer_.start();
  standby_.start();
  frontdesk_.start();
  fleet_.start();
  ledger_.start();
  provisioner_.start();
}

void Controller::serve_client(const Request& request, const Answer& answer) {
  if (request.target == "/hello") {
    fleet_.hello(request, answer);
  } else {
    frontdesk_.serve(request, answer);
  }
}

}  // namespace wrenusher::controller
