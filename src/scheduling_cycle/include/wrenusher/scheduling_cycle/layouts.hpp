#pragma once
// Evaluates a job's layout, its rules on how its tasks are spread over failure domains or colocated in one,
// in the active topology: the domains that the tasks occupy, the types and zones in which a new machine would
// help, and the reason why the job waits. Pure functions.

#include <optional>
#include <string>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/placement/placement.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::scheduling_cycle {

/// Pairs of machine type and zone, as in the workload event; no value means that all are eligible.
using EligiblePlacements = decltype(events::Workload::Demand::eligible_placements);

/// Fills in `plan_job.zones` if the job restricts its zones. An assignment counts until it is proven that its
/// task is off the machine. Returns false if a location is unknown because a machine with an assignment has
/// not reported in this term.
[[nodiscard]] bool fill_zones(const job_table::Job& job, placement::PlanJob& plan_job);
/// Fills in `plan_job.layout`, which counts by failure domain, with the same rules and result as
/// `fill_zones`. `topology` is null while none is active.
[[nodiscard]] bool fill_layout(const job_table::Job& job, const topology::Topology* topology,
                               placement::PlanJob& plan_job);
/// Returns the pairs of machine type and zone in which a new machine could satisfy the job's layout.
EligiblePlacements eligible_placements(const placement::PlanJob& job, const topology::Topology* topology,
                                       const protocol::Catalog& catalog);
/// Returns the reason why a job with a layout waits, for the log.
std::string layout_wait_reason(const placement::PlanJob& job, const topology::Topology* topology);

}  // namespace wrenusher::scheduling_cycle
