#include "wrenusher/scheduling_cycle/layouts.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::scheduling_cycle {

using placement::PlanJob;
using placement::PlanLayout;
using protocol::JobSpec;
using topology::Topology;

namespace {

/// Returns the topology's level with this name, or -1 if there is none.
int find_level(const Topology* topology, const std::string& name) {
  return topology == nullptr ? -1 : topology->level(name);
}

/// Returns the job's layout in terms of the topology's levels, without task counts.
PlanLayout translate_layout(const JobSpec& spec, const Topology* topology) {
  PlanLayout layout;
  if (const auto& spread = spec.layout->spread) {
    layout.spread = find_level(topology, spread->level);
    layout.max_tasks = spread->limit(spec.task_count);
    layout.spread_required = spread->required;
    layout.impossible = layout.impossible || (layout.spread < 0 && spread->required);
  }
  if (const auto& colocation = spec.layout->colocation) {
    layout.colocation = find_level(topology, colocation->level);
    layout.colocation_required = colocation->required;
    layout.impossible = layout.impossible || (layout.colocation < 0 && colocation->required);
  }
  return layout;
}

/// Returns whether a new machine of this type in this zone may be placed in a domain where the layout allows
/// a task.
bool domains_allow(const PlanJob& job, const Topology& topology, const std::string& machine_type,
                   const std::string& zone) {
  const std::optional<PlanLayout>& layout = job.layout;
  if (!layout || (!layout->spread_required && !layout->colocation_required)) return true;
  if (layout->impossible) return false;
  topology::MachineLocation location;
  location.by_level.resize(topology.levels().size());
  placement::PlanMachine new_machine;
  new_machine.location = &location;
  const auto& domains = topology.domains();
  for (topology::DomainId id = 1; id < domains.size(); ++id) {
    if (!domains[id].children.empty() || !topology.may_gain_machine(id, machine_type, zone)) continue;
    for (std::size_t level = 0; level < location.by_level.size(); ++level)
      location.by_level[level] = topology.ancestor_at(id, static_cast<int>(level));
    if (placement::layout_allowance(*layout, new_machine, job.spec->task_count, false) > 0) return true;
  }
  return false;
}

/// Returns whether a new machine of this type in this zone may have every device that the job names.
bool devices_allow(const JobSpec& spec, const Topology& topology, const std::string& machine_type,
                   const std::string& zone) {
  return std::all_of(spec.layout->devices.begin(), spec.layout->devices.end(), [&](const auto& device) {
    return topology.may_gain_device(device.first, machine_type, zone);
  });
}

}  // namespace

bool fill_zones(const job_table::Job& job, PlanJob& plan_job) {
  if (!job.spec().single_zone && !job.spec().spread_zones) return true;
  bool located = true;
  for (const auto& [task, assignment] : job.assignments) {
    const std::string& zone = assignment.machine->zone;
    located = located && !zone.empty();
    ++plan_job.zones[zone];
  }
  return located;
}

bool fill_layout(const job_table::Job& job, const Topology* topology, PlanJob& plan_job) {
  const JobSpec& spec = job.spec();
  if (!spec.layout || (!spec.layout->spread && !spec.layout->colocation)) return true;
  PlanLayout layout = translate_layout(spec, topology);
  bool located = true;
  for (const auto& [task, assignment] : job.assignments) {
    const machine_inventory::Machine& machine = *assignment.machine;
    located = located && !machine.zone.empty();
    if (layout.spread >= 0) ++layout.tasks_by_spread_domain[machine.location.domain_at(layout.spread)];
    if (layout.colocation >= 0)
      ++layout.tasks_by_colocation_domain[machine.location.domain_at(layout.colocation)];
  }
  plan_job.layout = std::move(layout);
  return located;
}

EligiblePlacements eligible_placements(const PlanJob& job, const Topology* topology,
                                       const protocol::Catalog& catalog) {
  const JobSpec& spec = *job.spec;
  if (!spec.layout || topology == nullptr) return std::nullopt;
  EligiblePlacements eligible{std::in_place};
  for (const auto& [name, machine_type] : catalog) {
    for (const std::string& zone : machine_type.zones) {
      if (devices_allow(spec, *topology, name, zone) && domains_allow(job, *topology, name, zone))
        eligible->emplace(name, zone);
    }
  }
  return eligible;
}

std::string layout_wait_reason(const PlanJob& job, const Topology* topology) {
  if (topology == nullptr) return "no topology is active";
  if (job.layout && job.layout->impossible) return "the active topology has no such level";
  if (!job.spec->layout->devices.empty()) return "no machine with its devices has room";
  return "no machine that its layout allows has room";
}

}  // namespace wrenusher::scheduling_cycle
