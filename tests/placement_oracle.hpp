#pragma once
// Exhaustive planner used as a test oracle. PlacementIndex must produce the same plans, ties included. It is
// slow on purpose and uses none of PlacementIndex's indexes, caches or stored orders.

#include "wrenusher/placement/placement_index.hpp"

namespace oracle {

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using namespace wrenusher::settings;
using namespace wrenusher::protocol;
using namespace wrenusher::placement;

struct MachineInput {
  PlanMachine machine;
  std::vector<EndingTask> ending_tasks;
  bool open = true;
};

/// Complete input of a plan. Machines are sorted by name.
struct PlanningInput {
  WallTime now{};
  Instant steady_now{};
  std::vector<PlanJob> jobs;
  std::vector<MachineInput> machines;
  std::map<std::string, Resources> team_usage;
  std::vector<std::pair<const MachineType*, Amount>> starting_cores;
  const Settings* settings = nullptr;
};

/// Return which jobs to shed, by job index, and the job indices in service order.
std::vector<bool> shed_jobs(const PlanningInput& input);
std::vector<std::size_t> service_order(const PlanningInput& input);
/// Returns the plan; placements and shortages use indices of jobs and machines.
Plan plan(const PlanningInput& input);

/// Return the results of a newly built PlacementIndex.
std::vector<std::size_t> index_service_order(const PlanningInput& input);
Plan index_plan(const PlanningInput& input);
/// Convert the input for `choose_preemptions` and `PlacementIndex`.
PreemptionView preemption_view(const PlanningInput& input);
PlanningContext planning_context(const PlanningInput& input);

}  // namespace oracle
