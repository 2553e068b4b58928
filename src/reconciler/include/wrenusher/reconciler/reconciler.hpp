#pragma once
// Package reconciler: what a worker's newest word means for the book and the machines, and what the worker is
// to do. It owns only the count of reports, by which it tells what the newest one did not show. This is where
// claims end: nothing but a newer report, or the cloud's return of the machine, proves a task gone. It may
// depend on base, protocol, mail, book, machines, estimates and accounts.

#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/usage_metrics/usage_metrics.hpp"

namespace wrenusher::reconciler {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;
using namespace events;
using job_table::Job;
using job_table::JobTable;
using job_table::TaskAssignment;
using job_table::TaskState;
using machine_inventory::Machine;
using machine_inventory::MachineInventory;

class Reconciler {
 public:
  Reconciler(Runtime& runtime, JobTable& jobs, MachineInventory& machines, estimates::Estimator& estimator,
             usage_metrics::StartLatencyMetrics& waits)
      : runtime_(runtime), book_(jobs), machines_(machines), estimator_(estimator), waits_(waits) {}

  struct Result {
    bool usable_changed = false;  ///< the machine may get tasks now, or no more
    bool tasks_left = false;      ///< tasks have left the machine
    std::vector<DirectCommands> stops;
    std::vector<MachineCordoned> suspects;
  };
  /// Brings book and machines up to a report. `current`: the worker has taken this term's epoch; `settled`: a
  /// report, not the answer to /orders, so that every start sent before it has shown or never will.
  Result apply(const WorkerReport& report, bool current, bool settled);
  /// What the worker is to do, given its newest report.
  std::vector<WorkerCommand> commands_for(const Machine& machine, const WorkerReport& report) const;
  /// Whether a commit under way or due would add orders to the answer.
  bool awaits_commit(const Machine& machine, const WorkerReport& report) const;
  /// Tasks claimed in this term that a report has shown on their machines, so far.
  std::uint64_t shown_starts() const { return shown_starts_; }

 private:
  void apply_present(Machine& machine, const WorkerReport& report, std::uint64_t mark);
  void apply_exited(Machine& machine, const WorkerReport& report, Result& out);
  void apply_missing(Machine& machine, bool settled, std::uint64_t mark);
  void apply_task(Job& job, TaskAssignment& assignment, Machine& machine, const TaskReport& task);
  void record_start(const JobSpec& spec, std::uint32_t task, const TaskAssignment& assignment);
  void fail_task(Job& job, Machine& machine, const TaskReport& task, Result& out);
  void apply_eviction_notice(Machine& machine, Micros left, Result& out);

  Runtime& runtime_;
  JobTable& book_;
  MachineInventory& machines_;
  estimates::Estimator& estimator_;
  usage_metrics::StartLatencyMetrics& waits_;
  std::uint64_t report_count_ = 0;
  std::uint64_t shown_starts_ = 0;
};

}  // namespace wrenusher::reconciler
