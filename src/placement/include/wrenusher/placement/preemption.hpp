#pragma once
// Which running tasks are stopped for jobs of higher priority.

#include <vector>

#include "wrenusher/placement/plan_types.hpp"

namespace wrenusher::placement {

/// The jobs that are short of room, and all machines as the plan leaves them.
struct PreemptionView {
  std::vector<PlanJob> jobs;
  std::vector<PlanMachine> machines;
};

/// A task that has a machine now and might be stopped for a job of higher priority. `spec` is borrowed; tasks
/// of one job have the same.
struct RunningTask {
  std::size_t machine = 0;  ///< index in `PreemptionView::machines`
  const JobSpec* spec = nullptr;
  std::uint32_t task = 0;
  Micros age{};        ///< since it runs; 0 while it waits for its image
  Micros remaining{};  ///< estimated
  bool stopping = false;
};

/// Which tasks to stop so that the shortages of jobs of higher priority find room: for each, on the machine
/// where the time to its image and the work lost are least; none that will soon end by itself, and a gang as
/// a whole. Returns indices into `running`, in the order in which they were chosen.
[[nodiscard]] std::vector<std::size_t> choose_preemptions(const PreemptionView& view,
                                                          const std::vector<Shortage>& shortages,
                                                          const std::vector<RunningTask>& running);

}  // namespace wrenusher::placement
