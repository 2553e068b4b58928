#pragma once
// Package job_api: the users' interface to jobs, which every node serves. The key-value store is the only
// source of truth. A node answers from its own memory only for final states, which never change.
//
//   JobApi               routes requests to the classes below, and answers health checks
//   SubmissionHandler    validates submissions and writes the records of new jobs
//   CancellationHandler  marks records as cancelled
//   JobLookup            finds a job's state, through JobIndex or record by record
//   JobIndex             indexes the live jobs and follows the changes in the key-value store
//   ReadConsistency      decides when an answer may be sent, so that no job returns to an earlier stage
//   ConsistentResponder  holds answers back until ReadConsistency allows them
//   refusals             defines every response that rejects a request, by its code
//
// It may depend on time, value, runtime, settings, protocol, topology, kv_client, records, events and log.

#include <map>
#include <memory>
#include <string>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/job_api/cancellation_handler.hpp"
#include "wrenusher/job_api/consistent_responder.hpp"
#include "wrenusher/job_api/job_lookup.hpp"
#include "wrenusher/job_api/read_consistency.hpp"
#include "wrenusher/job_api/submission_handler.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::job_api {

/// Serves users' requests and health checks on one node. Owns all parts of the package; `runtime`, `settings`
/// and `store` must outlive it. Single-threaded: called from the runtime's loop only.
class JobApi {
 public:
  JobApi(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store);

  /// Starts to load the index of live jobs, which lookups are then served from.
  void start() { lookup_.start(); }
  /// Calls `answer` once, immediately or later.
  void serve(const runtime::Request& request, const runtime::Responder& answer);

  void on_topology_activated(const events::TopologyActivated& event) {
    submissions_.on_topology_activated(event);
  }
  void on_catalog_updated(const events::CatalogUpdated& event) { submissions_.on_catalog_updated(event); }
  void on_progress(const std::shared_ptr<const events::Progress>& progress) {
    lookup_.on_progress(*progress);
  }
  void on_peer_status(const events::PeerStatus& status);
  void on_records_changed(const events::RecordsChanged& event) { lookup_.on_records_changed(event); }
  /// Called when a peer is about to report to a user that the job has reached this stage.
  void on_stage_announced(const events::StageAnnouncement& event) {
    consistency_.on_peer_announcement(event.job_id, event.stage, runtime_.now());
  }
  /// Called when every peer has confirmed this node's announcement of this stage.
  void on_stage_confirmed(const events::StageAnnouncement& event) { responder_.on_stage_confirmed(event); }

  /// Emitted before a response reports a job as cancelled.
  runtime::EventSink<events::JobCancelled> job_cancelled;
  /// Emitted before a response reports that a job has reached this stage, so that the peers receive the
  /// announcement first.
  runtime::EventSink<events::StageAnnouncement> stage_announcement;

 private:
  /// State of a peer, from its heartbeats.
  struct PeerState {
    /// When this node sent the latest heartbeat that the peer has answered.
    time::Instant heartbeat_sent_at{};
    bool kv_reachable = false;
    /// All announcements that the peer made up to this time have been received.
    time::Instant announcements_received_through = time::Instant::min();
  };
  void serve_ready(const runtime::Request& request, const runtime::Responder& answer) const;
  void serve_submissions(const runtime::Request& request, const runtime::Responder& answer);
  void serve_job(const runtime::Request& request, const std::string& path, const runtime::Responder& answer);
  void poll(const std::string& job_id, const runtime::Responder& answer);
  bool is_ready() const;

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  /// By node; only peers that have answered a heartbeat of this node.
  std::map<std::string, PeerState> peers_;
  ReadConsistency consistency_;
  JobLookup lookup_;
  ConsistentResponder responder_;
  SubmissionHandler submissions_;
  CancellationHandler cancellations_;
};

}  // namespace wrenusher::job_api
