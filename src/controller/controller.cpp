#include "wrenusher/controller/controller.hpp"

#include <utility>

namespace wrenusher::controller {

using job_api::JobApi;
using leader::LeaderActor;
using membership::Leadership;
using membership::Peer;
using provisioner::Provisioner;
using replica::StandbyReplica;
using runtime::Request;
using runtime::Responder;
using worker_gateway::WorkerGateway;

template <typename Event, typename Actor>
void Controller::connect(runtime::EventSink<Event>& sink, Actor& actor,
                         void (Actor::*receive)(const Event&)) {
  sink.connect(runtime_, [&actor, receive](const Event& event) { (actor.*receive)(event); });
}

Controller::Controller(runtime::Runtime& runtime, settings::Settings settings, topology_loader::Reader reader)
    : runtime_(runtime),
      settings_(std::move(settings)),
      kv_client_(runtime, settings_),
      topology_loader_(runtime, settings_.tunables.topology, std::move(reader)),
      leadership_(runtime, settings_, kv_client_),
      peer_(runtime, settings_),
      standby_(runtime, settings_, kv_client_),
      job_api_(runtime, settings_, kv_client_),
      worker_gateway_(runtime, settings_),
      leader_(runtime, settings_, kv_client_),
      provisioner_(runtime, settings_, kv_client_) {
  connect_term();
  connect_standby();
  connect_topology();
  connect_peers();
  connect_job_api();
  connect_workers();
  connect_leader();
  connect_provisioner();
}

/// Connects the events about the leader's term and lease.
void Controller::connect_term() {
  connect(leadership_.term_changed, peer_, &Peer::on_term);
  connect(leadership_.term_changed, worker_gateway_, &WorkerGateway::on_term);
  connect(leadership_.term_changed, provisioner_, &Provisioner::on_term);
  connect(leadership_.term_changed, leader_, &LeaderActor::on_term);
  connect(leadership_.term_changed, standby_, &StandbyReplica::on_term);
  connect(leadership_.lease_validity, worker_gateway_, &WorkerGateway::on_lease_validity);
  connect(leadership_.lease_validity, leader_, &LeaderActor::on_lease_validity);
  connect(leadership_.lease_validity, provisioner_, &Provisioner::on_lease_validity);
  connect(leadership_.stepping_down, standby_, &StandbyReplica::on_stepping_down);
  connect(leadership_.stepping_down, peer_, &Peer::on_stepping_down);
}

/// Connects the events that replicate the leader's state to standbys and pass it to a new leader.
void Controller::connect_standby() {
  connect(peer_.heartbeat_sent, standby_, &StandbyReplica::on_heartbeat_sent);
  connect(peer_.attachment_received, standby_, &StandbyReplica::on_attachment);
  connect(standby_.attachment, peer_, &Peer::on_attachment);
  connect(standby_.readiness_changed, peer_, &Peer::on_readiness);
  connect(standby_.readiness_changed, leadership_, &Leadership::on_readiness);
  connect(standby_.hints_inherited, worker_gateway_, &WorkerGateway::on_hints_inherited);
  connect(standby_.hints_inherited, provisioner_, &Provisioner::on_hints_inherited);
  connect(standby_.hints_inherited, leader_, &LeaderActor::on_hints_inherited);
  connect(standby_.replica_verified, leader_, &LeaderActor::on_replica_verified);
  connect(leader_.hints, standby_, &StandbyReplica::on_leader_hints);
  connect(provisioner_.rental_hints, standby_, &StandbyReplica::on_rental_hints);
}

/// Connects the events about loaded and activated topologies.
void Controller::connect_topology() {
  connect(topology_loader_.topology_loaded, leadership_, &Leadership::on_topology_loaded);
  connect(topology_loader_.topology_loaded, peer_, &Peer::on_topology_loaded);
  connect(leadership_.topology_activated, peer_, &Peer::on_topology_activated);
  connect(leadership_.topology_activated, job_api_, &JobApi::on_topology_activated);
  connect(leadership_.topology_activated, worker_gateway_, &WorkerGateway::on_topology_activated);
  connect(leadership_.topology_activated, leader_, &LeaderActor::on_topology);
}

/// Connects the events from other controllers and the events about cancellations.
void Controller::connect_peers() {
  connect(kv_client_.health, peer_, &Peer::on_health);
  connect(peer_.peer_status, leadership_, &Leadership::on_peer_status);
  connect(peer_.peer_status, job_api_, &JobApi::on_peer_status);
  // Peer sends job_cancelled before cancellations_known, so that the cancellations arrive before the event
  // that declares them complete.
  connect(peer_.job_cancelled, leader_, &LeaderActor::on_job_cancelled);
  connect(peer_.job_cancelled, worker_gateway_, &WorkerGateway::on_job_cancelled);
  connect(peer_.cancellations_known, worker_gateway_, &WorkerGateway::on_cancellations_known);
  connect(leader_.cancellations_read, peer_, &Peer::on_cancellations_read);
  connect(standby_.cancellations_read, peer_, &Peer::on_cancellations_read);
}

/// Connects the job API, which answers users, and the events on which its answers depend.
void Controller::connect_job_api() {
  // A stage is announced to the peers before a user gets the answer.
  connect(job_api_.stage_announcement, peer_, &Peer::on_announcement);
  connect(peer_.stage_announced, job_api_, &JobApi::on_stage_announced);
  connect(peer_.stage_confirmed, job_api_, &JobApi::on_stage_confirmed);
  connect(standby_.records_changed, job_api_, &JobApi::on_records_changed);
  connect(leader_.records_changed, job_api_, &JobApi::on_records_changed);
  connect(job_api_.job_cancelled, peer_, &Peer::on_cancelled);
  connect(job_api_.job_cancelled, leader_, &LeaderActor::on_job_cancelled);
  connect(job_api_.job_cancelled, worker_gateway_, &WorkerGateway::on_job_cancelled);
  connect(leader_.progress, job_api_, &JobApi::on_progress);
  connect(leader_.progress, peer_, &Peer::on_progress);
  connect(peer_.progress, job_api_, &JobApi::on_progress);
}

/// Connects the events about workers and their reachability.
void Controller::connect_workers() {
  connect(worker_gateway_.worker_reported, leader_, &LeaderActor::on_report);
  connect(worker_gateway_.cancellations_needed, leader_, &LeaderActor::on_cancellations_needed);
  connect(worker_gateway_.machines_suspected, leader_, &LeaderActor::on_machines_suspected);
  connect(worker_gateway_.worker_silent, leader_, &LeaderActor::on_worker_silent);
  connect(worker_gateway_.worker_silent, provisioner_, &Provisioner::on_worker_silent);
  connect(worker_gateway_.machine_unreachable, provisioner_, &Provisioner::on_machine_suspect);
  connect(worker_gateway_.reachability, leadership_, &Leadership::on_worker_reachability);
  connect(worker_gateway_.reachability, peer_, &Peer::on_worker_reachability);
  connect(worker_gateway_.leadership_lost, leadership_, &Leadership::on_leadership_lost);
}

/// Connects the leader's output to the provisioner, the worker gateway and the leadership.
void Controller::connect_leader() {
  connect(leader_.workload, provisioner_, &Provisioner::on_workload);
  connect(leader_.direct_commands, worker_gateway_, &WorkerGateway::on_direct_commands);
  connect(leader_.leadership_lost, leadership_, &Leadership::on_leadership_lost);
  connect(leader_.machine_suspect, provisioner_, &Provisioner::on_machine_suspect);
}

/// Connects the events about the catalog and rented machines.
void Controller::connect_provisioner() {
  connect(provisioner_.catalog_updated, job_api_, &JobApi::on_catalog_updated);
  connect(provisioner_.catalog_updated, leader_, &LeaderActor::on_catalog);
  connect(provisioner_.machine_cordoned, leader_, &LeaderActor::on_machine_cordoned);
  connect(provisioner_.capacity_changed, leader_, &LeaderActor::on_capacity);
  connect(provisioner_.machine_listed, worker_gateway_, &WorkerGateway::on_machine_listed);
  connect(provisioner_.machine_departed, standby_, &StandbyReplica::on_machine_departed);
  connect(provisioner_.machine_departed, leader_, &LeaderActor::on_machine_departed);
  connect(provisioner_.machine_departed, worker_gateway_, &WorkerGateway::on_machine_departed);
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

void Controller::serve_client(const Request& request, const Responder& responder) {
  if (request.target == "/hello") {
    worker_gateway_.on_report(request, responder);
  } else {
    job_api_.serve(request, responder);
  }
}

}  // namespace wrenusher::controller
