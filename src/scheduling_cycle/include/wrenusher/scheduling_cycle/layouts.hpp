#pragma once
// What the active topology means for a job's layout: where its tasks stand now, where a new machine would
// help, and why the job waits. Pure functions.

#include <optional>
#include <string>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/placement/placement.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::scheduling_cycle {

/// Machine types and zones, in the form in which the provisioner gets them; nothing: any.
using EligiblePlacements = decltype(events::Workload::Demand::eligible_placements);

/// Fills in `plan_job.zones` where the job's zones matter. Every assignment counts until its task is proven
/// to be off its machine. False while some location is unknown: a machine with an assignment has not reported
/// in this term.
[[nodiscard]] bool fill_zones(const job_table::Job& job, placement::PlanJob& plan_job);
/// Fills in `plan_job.layout` likewise, by failure domain. `topology` is null while none is active.
[[nodiscard]] bool fill_layout(const job_table::Job& job, const topology::Topology* topology,
                               placement::PlanJob& plan_job);
/// Where a new machine could serve the job's layout, as far as type and zone decide it.
EligiblePlacements eligible_placements(const placement::PlanJob& job, const topology::Topology* topology,
                                       const protocol::Catalog& catalog);
/// Why a job with a layout waits, for the log.
std::string layout_wait_reason(const placement::PlanJob& job, const topology::Topology* topology);

}  // namespace wrenusher::scheduling_cycle
