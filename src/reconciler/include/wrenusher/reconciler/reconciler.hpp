#pragma once
// Package reconciler: applies a worker's report to the job table and the machine inventory, and derives the
// commands for that worker. It also ends assignments: only a newer report, or the cloud's confirmation that
// the machine no longer exists, proves that a task no longer runs on its machine.
//
// A report lists the tasks on the worker's machine. A worker sends reports by itself, periodically, and also
// in reply to the leader's calls (/orders). The parameter `worker_initiated` marks a report that the worker
// sent by itself.
//
// It may depend on time, value, runtime, protocol, events, job_table, machine_inventory, estimates,
// usage_metrics and log.

#include <cstdint>
#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/machine_inventory/machine_inventory.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/time/time.hpp"
#include "wrenusher/usage_metrics/usage_metrics.hpp"

namespace wrenusher::reconciler {

using events::DirectCommands;
using events::MachineCordoned;
using job_table::Job;
using job_table::JobTable;
using job_table::TaskAssignment;
using job_table::TaskState;
using machine_inventory::Machine;
using machine_inventory::MachineInventory;
using protocol::JobSpec;
using protocol::TaskReport;
using protocol::WorkerCommand;
using protocol::WorkerReport;
using runtime::Runtime;
using time::Micros;

/// Applies reports to the leader's state. Owns two counters; everything passed to the constructor belongs to
/// the leader and must outlive it. Single-threaded: called from the runtime's loop only.
class Reconciler {
 public:
  Reconciler(Runtime& runtime, JobTable& jobs, MachineInventory& machines, estimates::Estimator& estimator,
             usage_metrics::StartLatencyMetrics& start_latency)
      : runtime_(runtime),
        jobs_(jobs),
        machines_(machines),
        estimator_(estimator),
        start_latency_(start_latency) {}

  /// The effects of a report that the leader has to act on.
  struct Result {
    bool usable_changed = false;                      ///< the machine became usable, or stopped being so
    bool tasks_released = false;                      ///< fewer tasks are assigned to the machine than before
    std::vector<DirectCommands> stops;                ///< to be sent at once
    std::vector<MachineCordoned> machines_to_cordon;  ///< machines considered the cause of task failures
  };
  /// Updates the job table and the inventory from a report.
  /// @param token_accepted the worker has accepted this term's fencing token
  /// @param worker_initiated the worker sent the report by itself, not as the reply to /orders. A task whose
  ///        start was sent before such a report is either listed in it or will never start.
  Result apply(const WorkerReport& report, bool token_accepted, bool worker_initiated);
  /// Returns the commands for the worker, given its newest report.
  [[nodiscard]] std::vector<WorkerCommand> commands_for(const Machine& machine,
                                                        const WorkerReport& report) const;
  /// Returns whether the reply would contain more commands after a commit that is in progress or due.
  [[nodiscard]] bool awaits_commit(const Machine& machine, const WorkerReport& report) const;
  /// Returns how many of the assignments that were made in a term have been listed in a report in the same
  /// term, since this object was constructed.
  std::uint64_t confirmed_start_count() const { return confirmed_start_count_; }

 private:
  /// A report while it is being applied.
  struct Update {
    Machine& machine;
    const WorkerReport& report;
    bool worker_initiated;        ///< as passed to `apply`
    std::uint64_t report_number;  ///< copied to the assignments that the report lists
    Result result;
  };
  /// A task of a job in the table.
  struct TaskRef {
    Job* job;
    std::uint32_t task;
  };

  void apply_present(Update& update);
  bool adopt_unassigned(Job& job, const TaskReport& task, Machine& machine);
  void apply_task(Job& job, TaskAssignment& assignment, const TaskReport& task);
  void record_start(const JobSpec& spec, std::uint32_t task, const TaskAssignment& assignment);

  void apply_exited(Update& update);
  void finish_task(Job& job, const TaskReport& task, const Machine& machine, bool assigned_here);
  void release_exited(Job& job, const TaskReport& task, Update& update);
  void record_refused_start(Machine& machine, const TaskReport& task);
  void record_failure(Job& job, const TaskReport& task, Update& update);
  void pause_failing_job(Job& job);
  int count_jobs_failing_only_on(const Machine& machine) const;

  void apply_missing(const Update& update);
  void release_missing(Job& job, std::uint32_t task, const Update& update);

  void apply_eviction_notice(Update& update, Micros time_left);
  Micros estimate_remaining(const JobSpec& spec, const TaskAssignment& assignment) const;
  void stop_before_eviction(const TaskRef& ref, Micros grace_period, Result& result);

  Runtime& runtime_;
  JobTable& jobs_;
  MachineInventory& machines_;
  estimates::Estimator& estimator_;
  usage_metrics::StartLatencyMetrics& start_latency_;
  std::uint64_t report_count_ = 0;  ///< reports applied so far
  std::uint64_t confirmed_start_count_ = 0;
};

}  // namespace wrenusher::reconciler
