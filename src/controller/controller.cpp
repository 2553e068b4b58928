#include "wrenusher/controller/controller.hpp"

namespace wrenusher::controller {

namespace {

/// Delivers the messages of a sink to a member function of an actor.
template <typename Message, typename Actor>
void wire(Runtime& runtime, EventSink<Message>& from, Actor& actor, void (Actor::*receive)(const Message&)) {
  from.connect(runtime, [&actor, receive](const Message& message) { (actor.*receive)(message); });
}

}  // namespace

Controller::Controller(Runtime& runtime, Settings settings, topology_loader::Reader reader)
    : settings_(std::move(settings)),
      kv_client_(runtime, settings_),
      topology_loader_(runtime, settings_.tunables.topology, std::move(reader)),
      leadership_(runtime, settings_, kv_client_),
      peer_(runtime, settings_),
      standby_(runtime, settings_, kv_client_),
      job_api_(runtime, settings_, kv_client_),
      worker_gateway_(runtime, settings_),
      leader_(runtime, settings_, kv_client_),
      provisioner_(runtime, settings_, kv_client_) {
  wire(runtime, kv_client_.health, peer_, &Peer::on_health);

  wire(runtime, leadership_.term_changed, peer_, &Peer::on_term);
  wire(runtime, leadership_.term_changed, worker_gateway_, &WorkerGateway::on_term);
  wire(runtime, leadership_.term_changed, provisioner_, &Provisioner::on_term);
  wire(runtime, leadership_.term_changed, leader_, &LeaderActor::on_term);
  wire(runtime, leadership_.term_changed, standby_, &StandbyReplica::on_term);
  wire(runtime, leadership_.lease_validity, worker_gateway_, &WorkerGateway::on_lease_validity);
  wire(runtime, leadership_.lease_validity, leader_, &LeaderActor::on_lease_validity);
  wire(runtime, leadership_.lease_validity, provisioner_, &Provisioner::on_lease_validity);

  wire(runtime, leadership_.stepping_down, standby_, &StandbyReplica::on_stepping_down);
  wire(runtime, leadership_.stepping_down, peer_, &Peer::on_stepping_down);
  wire(runtime, peer_.heartbeat_sent, standby_, &StandbyReplica::on_heartbeat_sent);
  wire(runtime, peer_.attachment_received, standby_, &StandbyReplica::on_attachment);
  wire(runtime, standby_.attachment, peer_, &Peer::on_attachment);
  wire(runtime, standby_.readiness_changed, peer_, &Peer::on_readiness);
  wire(runtime, standby_.readiness_changed, leadership_, &Leadership::on_readiness);
  wire(runtime, standby_.hints_inherited, worker_gateway_, &WorkerGateway::on_hints_inherited);
  wire(runtime, standby_.hints_inherited, provisioner_, &Provisioner::on_hints_inherited);
  wire(runtime, standby_.hints_inherited, leader_, &LeaderActor::on_hints_inherited);
  wire(runtime, standby_.replica_verified, leader_, &LeaderActor::on_replica_verified);
  wire(runtime, leader_.hints, standby_, &StandbyReplica::on_leader_hints);
  wire(runtime, provisioner_.rental_hints, standby_, &StandbyReplica::on_rental_hints);
  wire(runtime, provisioner_.machine_departed, standby_, &StandbyReplica::on_machine_departed);

  wire(runtime, topology_loader_.topology_loaded, leadership_, &Leadership::on_topology_loaded);
  wire(runtime, topology_loader_.topology_loaded, peer_, &Peer::on_topology_loaded);
  wire(runtime, leadership_.topology_activated, peer_, &Peer::on_topology_activated);
  wire(runtime, leadership_.topology_activated, job_api_, &JobApi::on_topology_activated);
  wire(runtime, leadership_.topology_activated, worker_gateway_, &WorkerGateway::on_topology_activated);
  wire(runtime, leadership_.topology_activated, leader_, &LeaderActor::on_topology);

  wire(runtime, peer_.peer_status, leadership_, &Leadership::on_peer_status);
  wire(runtime, peer_.peer_status, job_api_, &JobApi::on_peer_status);
  // First what is cancelled, then how much of it is known: Peer sends in that order.
  wire(runtime, peer_.job_cancelled, leader_, &LeaderActor::on_job_cancelled);
  wire(runtime, peer_.job_cancelled, worker_gateway_, &WorkerGateway::on_job_cancelled);
  wire(runtime, peer_.cancellations_known, worker_gateway_, &WorkerGateway::on_cancellations_known);
  wire(runtime, leader_.cancellations_read, peer_, &Peer::on_cancellations_read);
  wire(runtime, standby_.cancellations_read, peer_, &Peer::on_cancellations_read);

  // Before a user is told something new the peers know that it is about to be.
  wire(runtime, job_api_.stage_announcement, peer_, &Peer::on_announcement);
  wire(runtime, peer_.stage_announced, job_api_, &JobApi::on_stage_announced);
  wire(runtime, peer_.stage_confirmed, job_api_, &JobApi::on_stage_confirmed);
  wire(runtime, standby_.records_changed, job_api_, &JobApi::on_records_changed);
  wire(runtime, leader_.records_changed, job_api_, &JobApi::on_records_changed);

  wire(runtime, job_api_.job_cancelled, peer_, &Peer::on_cancelled);
  wire(runtime, job_api_.job_cancelled, leader_, &LeaderActor::on_job_cancelled);
  wire(runtime, job_api_.job_cancelled, worker_gateway_, &WorkerGateway::on_job_cancelled);

  wire(runtime, worker_gateway_.worker_reported, leader_, &LeaderActor::on_report);
  wire(runtime, worker_gateway_.machines_suspected, leader_, &LeaderActor::on_machines_suspected);
  wire(runtime, worker_gateway_.worker_silent, leader_, &LeaderActor::on_worker_silent);
  wire(runtime, worker_gateway_.worker_silent, provisioner_, &Provisioner::on_worker_silent);
  wire(runtime, worker_gateway_.machine_unreachable, provisioner_, &Provisioner::on_machine_suspect);
  wire(runtime, worker_gateway_.reachability, leadership_, &Leadership::on_worker_reachability);
  wire(runtime, worker_gateway_.reachability, peer_, &Peer::on_worker_reachability);
  wire(runtime, worker_gateway_.leadership_lost, leadership_, &Leadership::on_leadership_lost);

  wire(runtime, leader_.workload, provisioner_, &Provisioner::on_workload);
  wire(runtime, leader_.progress, job_api_, &JobApi::on_progress);
  wire(runtime, leader_.progress, peer_, &Peer::on_progress);
  wire(runtime, peer_.progress, job_api_, &JobApi::on_progress);
  wire(runtime, leader_.direct_commands, worker_gateway_, &WorkerGateway::on_direct_commands);
  wire(runtime, leader_.leadership_lost, leadership_, &Leadership::on_leadership_lost);
  wire(runtime, leader_.machine_suspect, provisioner_, &Provisioner::on_machine_suspect);

  wire(runtime, provisioner_.catalog_updated, job_api_, &JobApi::on_catalog_updated);
  wire(runtime, provisioner_.catalog_updated, leader_, &LeaderActor::on_catalog);
  wire(runtime, provisioner_.machine_cordoned, leader_, &LeaderActor::on_machine_cordoned);
  wire(runtime, provisioner_.capacity_changed, leader_, &LeaderActor::on_capacity);
  wire(runtime, provisioner_.machine_listed, worker_gateway_, &WorkerGateway::on_machine_listed);
  wire(runtime, provisioner_.machine_departed, leader_, &LeaderActor::on_machine_departed);
  wire(runtime, provisioner_.machine_departed, worker_gateway_, &WorkerGateway::on_machine_departed);
}

void Controller::start() {
  topology_loader_.start();
  leadership_.start();
  peer_.start();
  standby_.start();
  job_api_.start();
  worker_gateway_.start();
  leader_.start();
  provisioner_.start();
}

void Controller::serve_client(const Request& request, const Responder& answer) {
  if (request.target == "/hello") {
    worker_gateway_.on_report(request, answer);
  } else {
    job_api_.serve(request, answer);
  }
}

}  // namespace wrenusher::controller
