#pragma once
/// @file
/// Package leader: the actor that schedules the cluster while this node leads. A term is the time for which
/// one node leads; its number is the fencing token, which rises with each term.
///
/// The actor owns the order of the steps in a term: failover, record changes, workers' reports, scheduling
/// cycles, commits, replies. It also owns one instance of each component: job table, machine inventory,
/// commit batcher, pending replies, reconciler and scheduling cycle. Each component keeps its own state; the
/// actor passes events to it and forwards its results.
///
/// The package may depend on every component, on kv_client, on events and on their dependencies.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wrenusher/commit_batcher/commit_batcher.hpp"
#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/failover.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/leader/failover.hpp"
#include "wrenusher/leader/failover_timer.hpp"
#include "wrenusher/leader/hint_adopter.hpp"
#include "wrenusher/leader/hint_collector.hpp"
#include "wrenusher/machine_inventory/machine_inventory.hpp"
#include "wrenusher/pending_replies/pending_replies.hpp"
#include "wrenusher/reconciler/reconciler.hpp"
#include "wrenusher/scheduling_cycle/scheduling_cycle.hpp"
#include "wrenusher/usage_metrics/usage_metrics.hpp"

namespace wrenusher::leader {

using runtime::EventSink;

/// Runs the cluster while this node leads: takes over the records of the previous term, keeps them
/// synchronized with the state service, reconciles the workers' reports, plans and commits. While this node
/// does not lead, it only answers reports with empty replies.
///
/// Owns its components; the runtime, settings and client must outlive it. Single-threaded: called from the
/// runtime's loop only. Its members are defined in leader_actor.cpp (term and cycle), leader_records.cpp
/// (records) and leader_machines.cpp (workers and machines).
class LeaderActor {
 public:
  LeaderActor(Runtime& runtime, const Settings& settings, KvClient& store);
  /// Starts the scheduling cycles; called once, after the sinks are connected.
  void start();

  /// Handles the start or the end of this node's term; an event for the current term changes nothing.
  void on_term(const events::TermChanged& term);
  void on_lease_validity(const events::LeaseValidity& event) { lease_valid_until_ = event.until; }
  /// Handles a worker's report; calls its reply exactly once, within 800 ms.
  void on_report(const events::WorkerReported& event);
  void on_worker_silent(const events::WorkerSilent& event);
  void on_machine_departed(const events::MachineDeparted& event);
  void on_machine_cordoned(const events::MachineCordoned& event);
  void on_catalog(const events::CatalogUpdated& event);
  void on_topology(const events::TopologyActivated& event);
  /// Replaces the set of suspected machines; clears the suspicion of all other machines.
  void on_machines_suspected(const events::MachinesSuspected& event);
  void on_job_cancelled(const events::JobCancelled& event);
  /// Reads the changes of the records from the state service at once, unless such a read is in progress.
  void on_cancellations_needed(const events::CancellationsNeeded& event);
  /// Handles the hints received from the previous leader; called after `on_term` and before the records are
  /// loaded.
  void on_hints_inherited(const std::shared_ptr<const events::InheritedHints>& inherited);
  /// Loads the verified replica of the records from the event; if the event has none, reads the records from
  /// the state service.
  void on_replica_verified(const events::ReplicaVerified& event);
  void on_capacity(const events::CapacityChanged& event) { scheduler_.on_capacity(event); }

  /// Recomputes the state that each component maintains incrementally, and returns a sentence that describes
  /// the first difference, or an empty string if there is none.
  [[nodiscard]] std::string disagreement() const;

  // The sinks of the actor's events; connected by the owner before `start`.
  EventSink<std::shared_ptr<const events::Workload>> workload;
  EventSink<std::shared_ptr<const events::Progress>> progress;
  EventSink<events::DirectCommands> direct_commands;
  EventSink<events::LeadershipLost> leadership_lost;
  EventSink<events::MachineCordoned> machine_suspect;
  EventSink<std::shared_ptr<const events::LeaderHints>> hints;
  EventSink<events::FailoverTimes> failover_finished;
  EventSink<events::CancellationsRead> cancellations_read;
  EventSink<events::RecordsChanged> records_changed;

 private:
  /// Returns whether this node leads and has loaded the records.
  bool serving() const { return term_.leading && records_loaded_; }
  bool leading_term(std::uint64_t fencing_token) const {
    return term_.leading && term_.fencing_token == fencing_token;
  }
  bool serving_term(std::uint64_t fencing_token) const { return serving() && leading_term(fencing_token); }
  bool lease_valid() const { return runtime_.now() < lease_valid_until_; }
  void reset();

  // Records.
  void read_records();
  void on_records_loaded(std::uint64_t revision, bool from_replica);
  void log_records_loaded(std::size_t assignments, bool from_replica) const;
  void report_inherited_cancellations();
  /// Lists the jobs in the state service once more, at a low rate, and adds those that the replica lacked: a
  /// job that is missing from the replica and has no assignments would otherwise never run.
  void find_missed_jobs(const std::string& after_key, std::uint64_t fencing_token);
  void watch_records(std::uint64_t fencing_token);
  void on_watch_reply(kv_client::WatchReply reply, Instant requested_at);
  void drop_applied_changes(kv_client::WatchReply& reply) const;
  void apply_watch(const kv_client::WatchReply& reply);
  void add_job(const KeyValue& row);
  void refresh_job(const std::string& job_id);
  void on_job_refreshed(const std::string& job_id, const kv_client::ReadReply& reply);
  void cancel_job(Job& job);

  // Workers and machines.
  reconciler::Reconciler::Result reconcile(const events::WorkerReported& event);
  void reply_or_defer(const events::WorkerReported& event, bool tasks_left);

  // The scheduling cycle.
  void tick();
  void request_cycle();
  void run_cycle();
  void reply_pending();
  void send_direct_commands(const std::vector<events::DirectCommands>& commands) const;

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  estimates::Estimator estimator_;
  usage_metrics::StartLatencyMetrics start_latency_;
  MachineInventory machines_;
  JobTable jobs_;
  CommitBatcher batcher_;
  pending_replies::PendingReplies pending_replies_;
  reconciler::Reconciler reconciler_;
  scheduling_cycle::SchedulingCycle scheduler_;
  Failover failover_;
  FailoverTimer failover_timer_;
  HintCollector hint_collector_;
  HintAdopter hint_adopter_;
  events::TermChanged term_;
  Instant lease_valid_until_{};
  Instant term_began_{};
  bool records_loaded_ = false;
  std::uint64_t records_revision_ = 0;  ///< all changes of job records up to this revision were applied
  bool reading_changes_ = false;        ///< a read for `on_cancellations_needed` is in progress
  bool cycle_requested_ = false;
  Instant last_cycle_{};
  /// The newest report of each machine that reported before the records were loaded.
  std::map<std::string, events::WorkerReported> early_reports_;
};

}  // namespace wrenusher::leader
