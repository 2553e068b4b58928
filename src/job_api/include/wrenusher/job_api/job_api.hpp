#pragma once
// Package job_api: the users' interface, which every node serves. The key-value store decides everything; a
// node's own memory only answers for final states, which never change.
//
//   JobApi               routes requests to the parts below, and answers health checks
//   SubmissionHandler    checks submissions and writes the records of new jobs
//   CancellationHandler  marks records as cancelled
//   JobLookup            finds a job's state, through JobIndex or record by record
//   JobIndex             the live jobs as the key-value store has them, kept up to date by its changes
//   ReadConsistency      which answers may be given when, so that no user sees a job go back
//   ConsistentResponder  withholds answers until ReadConsistency lets them go
//   refusals             every answer that refuses a request, by its code
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

  /// Begins to read the live jobs, so that lookups can be answered from the index.
  void start() { lookup_.start(); }
  /// Calls `answer` once, at once or later.
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
  /// A peer is about to tell a user that the job has got so far.
  void on_stage_announced(const events::StageAnnouncement& event) {
    consistency_.on_peer_announcement(event.job_id, event.stage, runtime_.now());
  }
  /// Every peer knows that this node is about to tell so.
  void on_stage_confirmed(const events::StageAnnouncement& event) { responder_.on_stage_confirmed(event); }

  /// A user is about to be told that a job is cancelled. Sent before the answer.
  runtime::EventSink<events::JobCancelled> job_cancelled;
  /// A user is about to be told that a job has got so far; the peers are to know first.
  runtime::EventSink<events::StageAnnouncement> stage_announcement;

 private:
  /// What is known of a peer from its heartbeats.
  struct PeerState {
    time::Instant asked_at{};  ///< when the newest question went out that it has answered
    bool kv_reachable = false;
    /// What it had announced by then is known here.
    time::Instant announcements_through = time::Instant::min();
  };
  void serve_ready(const runtime::Request& request, const runtime::Responder& answer) const;
  void serve_submissions(const runtime::Request& request, const runtime::Responder& answer);
  void serve_job(const runtime::Request& request, const std::string& path, const runtime::Responder& answer);
  void poll(const std::string& job_id, const runtime::Responder& answer);
  bool ready() const;

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  std::map<std::string, PeerState> peers_;  ///< by node, those that have answered a question of this node's
  ReadConsistency consistency_;
  JobLookup lookup_;
  ConsistentResponder responder_;
  SubmissionHandler submissions_;
  CancellationHandler cancellations_;
};

}  // namespace wrenusher::job_api
