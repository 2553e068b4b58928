#pragma once
// Package leader: the leader's actor. It owns the term, the order in which things happen in it (takeover,
// news from the store, reports, rounds, commits, answers), and one of each room: book, machines, writer, held
// answers, reports, rounds, accounts. What each room knows is that room's own; the ledger passes messages in
// and results out. It may depend on every room, on store, mail and what they depend on.

#include <map>
#include <memory>
#include <set>
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
#include "wrenusher/machine_inventory/machine_inventory.hpp"
#include "wrenusher/pending_replies/pending_replies.hpp"
#include "wrenusher/reconciler/reconciler.hpp"
#include "wrenusher/scheduling_cycle/scheduling_cycle.hpp"
#include "wrenusher/usage_metrics/usage_metrics.hpp"

namespace wrenusher::leader {

using namespace settings;
using namespace events;
using machine_inventory::Machine;
using machine_inventory::MachineInventory;

class LeaderActor {
 public:
  LeaderActor(Runtime& runtime, const Settings& settings, KvClient& store);
  void start();

  void on_term(const TermChanged& term);
  void on_lease_validity(const LeaseValidity& event) { lease_valid_until_ = event.until; }
  void on_report(const WorkerReported& event);
  void on_worker_silent(const WorkerSilent& event);
  void on_machine_departed(const MachineDeparted& event);
  void on_machine_cordoned(const MachineCordoned& event);
  void on_catalog(const CatalogUpdated& event);
  void on_topology(const TopologyActivated& event);
  void on_machines_suspected(const MachinesSuspected& event);
  void on_job_cancelled(const JobCancelled& event);
  void on_hints_inherited(const std::shared_ptr<const InheritedHints>& all);
  void on_replica_verified(const ReplicaVerified& event);
  void on_capacity(const CapacityChanged& event) { scheduler_.on_capacity(event); }

  /// Has every room reckon anew what it keeps up step by step, and says what differs; empty when nothing
  /// does.
  std::string disagreement() const;

  EventSink<std::shared_ptr<const Workload>> workload;
  EventSink<std::shared_ptr<const Progress>> progress;
  EventSink<DirectCommands> direct_commands;
  EventSink<LeadershipLost> leadership_lost;
  EventSink<MachineCordoned> machine_suspect;
  EventSink<std::shared_ptr<const LeaderHints>> hints;
  EventSink<FailoverTimes> failover_finished;
  EventSink<CancellationsRead> cancellations_read;
  EventSink<RecordsChanged> records_changed;

 private:
  /// Leads, and has read what there is.
  bool serving() const { return term_.leading && records_loaded_; }
  bool serving_term(std::uint64_t fencing_token) const {
    return serving() && term_.fencing_token == fencing_token;
  }
  bool lease_valid() const { return runtime_.now() < lease_valid_until_; }
  void begin();
  void read_records();
  void on_records_loaded(std::uint64_t revision, bool by_copy);
  /// Reads the jobs once more at leisure: one that a copy missed and that has no claims would never be run.
  void find_missed_jobs(const std::string& from, std::uint64_t fencing_token);
  void watch_records(std::uint64_t from, std::uint64_t fencing_token);
  void apply_watch(const WatchReply& reply);
  void add_job(const KeyValue& row);
  void refresh_job(const std::string& job_id);
  void cancel_job(Job& job);

  MachineHint hint_of(const Machine& machine) const;
  void publish_hints();
  bool adopt_machine_hint(const WorkerReport& report);
  void adopt_failure_hints();
  void expect_images(const MachineHint& hint, bool comes);

  void tick();
  void wake();
  void run_cycle();
  void reply_pending();
  void send_direct(const std::vector<DirectCommands>& commands);

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
  TermChanged term_;
  Instant lease_valid_until_{};
  Instant term_began_{};
  bool records_loaded_ = false;
  bool wake_scheduled_ = false;
  Instant last_cycle_{};
  FailoverTimer failover_timer_;
  std::map<std::string, MachineHint> inherited_machines_;  ///< of machines not heard in this term yet
  std::map<std::string, std::uint32_t> expected_images_;   ///< on how many of those with room, by bundle
  std::vector<JobHint> failure_hints_;                     ///< until the records are there
  std::map<std::string, WorkerReported> early_reports_;    ///< each machine's newest word, likewise
  Instant next_hints_{};
  Instant next_class_hints_{};
  std::map<std::string, std::uint64_t> published_class_versions_;  ///< version of what was told
  std::set<std::string> published_jobs_;
};

}  // namespace wrenusher::leader
