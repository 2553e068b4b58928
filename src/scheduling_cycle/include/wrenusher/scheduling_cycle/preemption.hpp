#pragma once
// Preemption: stops tasks of less urgent jobs to make room for urgent ones.

#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/placement/placement_index.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/scheduling_cycle/index_updater.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::scheduling_cycle {

/// Decides for which shortages tasks are preempted, and marks these tasks as stopping in the job table.
/// Single-threaded: called from the runtime's loop only. Everything passed to the constructor must outlive
/// it.
class Preemptor {
 public:
  Preemptor(Runtime& runtime, JobTable& jobs, MachineInventory& machines,
            const estimates::Estimator& estimator)
      : runtime_(runtime), jobs_(jobs), machines_(machines), estimator_(estimator) {}

  /// Preempts tasks for the plan's urgent shortages, at most once a second. Returns the commands to be sent
  /// at once.
  [[nodiscard]] std::vector<events::DirectCommands> preempt(const placement::Plan& plan,
                                                            const IndexUpdater& updater);

 private:
  /// Tasks that may be preempted, in the form in which the placement package takes them.
  struct Candidates {
    std::vector<placement::PlanMachine> machines;
    std::vector<placement::RunningTask> tasks;  ///< `machine` is an index into `machines`
    std::vector<TaskAssignment*> assignments;   ///< assignments of `tasks`, in the same order
  };

  bool is_urgent(const placement::Shortage& shortage, const IndexUpdater& updater) const;
  Candidates collect_candidates();
  void add_candidates(Machine& machine, std::size_t machine_index, Candidates& candidates);
  void stop_gang(const protocol::JobSpec& spec, Micros grace_period,
                 std::vector<events::DirectCommands>& commands);
  void stop_task(const placement::RunningTask& task, TaskAssignment& assignment, Micros grace_period,
                 job_table::CommandsByMachine& commands);

  Runtime& runtime_;
  JobTable& jobs_;
  MachineInventory& machines_;
  const estimates::Estimator& estimator_;
  Instant last_preemption_{};
};

}  // namespace wrenusher::scheduling_cycle
