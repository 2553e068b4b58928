#pragma once
// Selects running tasks to preempt for jobs of higher priority.

#include <vector>

#include "wrenusher/placement/plan_types.hpp"

namespace wrenusher::placement {

/// The jobs with shortages, and all machines in their state after the plan.
struct PreemptionView {
  std::vector<PlanJob> jobs;
  std::vector<PlanMachine> machines;
};

/// A task that is assigned to a machine and may be preempted. `spec` is borrowed; tasks of one job share it.
struct RunningTask {
  std::size_t machine = 0;  ///< index in `PreemptionView::machines`
  const JobSpec* spec = nullptr;
  std::uint32_t task = 0;
  Micros age{};        ///< time since it started to run; 0 while it waits for its image
  Micros remaining{};  ///< estimated time until it ends
  bool stopping = false;
};

/// Chooses the tasks to preempt so that the shortages of jobs of higher priority can be placed. Returns
/// indices into `running`, in the order in which they were chosen.
///
/// For each task that lacks a machine, it chooses the machine with the least sum of fetch time and lost work.
/// Tasks that will end soon are not preempted, and a gang is preempted as a whole.
[[nodiscard]] std::vector<std::size_t> choose_preemptions(const PreemptionView& view,
                                                          const std::vector<Shortage>& shortages,
                                                          const std::vector<RunningTask>& running);

}  // namespace wrenusher::placement
