#include "wrenusher/placement/machine_fit.hpp"

#include <algorithm>

namespace wrenusher::placement {

bool fits_machine_type(const JobSpec& spec, const MachineType& machine_type) {
  return spec.resources.fits(machine_type.capacity) &&
         std::any_of(machine_type.zones.begin(), machine_type.zones.end(),
                     [&](const std::string& zone) { return spec.allows(machine_type.name, zone, false); });
}

std::set<std::string> fitting_machine_types(const JobSpec& spec, const Catalog& catalog) {
  std::set<std::string> out;
  for (const auto& [name, machine_type] : catalog) {
    if (fits_machine_type(spec, machine_type)) out.insert(name);
  }
  return out;
}

bool accepts(const PlanMachine& machine, const PlanJob& job) {
  if (machine.reserved_for_devices &&
      std::none_of(machine.location->devices.begin(), machine.location->devices.end(),
                   [&](const auto& device) { return job.spec->devices().contains(device.first); }))
    return false;
  return job.spec->allows(machine.machine_type->name, machine.zone, machine.spot) &&
         !job.excluded_types.contains(machine.machine_type->name);
}

std::uint32_t count_fitting(const JobSpec& spec, const FreeCapacity& free, std::uint32_t limit) {
  const std::int64_t slots = std::clamp<std::int64_t>(free.task_slots, 0, limit);
  std::uint32_t count = count_fitting(spec.resources, free.resources, static_cast<std::uint32_t>(slots));
  for (const auto& [name, per_task] : spec.devices()) {
    const auto it = free.devices.find(name);
    count = std::min(count, it == free.devices.end() ? 0 : it->second / per_task);
  }
  return count;
}

std::uint32_t zone_allowance(const JobSpec& spec, const std::map<std::string, std::uint32_t>& zones,
                             const std::string& zone) {
  std::uint32_t allowed = spec.task_count;
  if (spec.single_zone) {
    for (const auto& [other, tasks] : zones) {
      if (tasks > 0 && other != zone) return 0;
    }
  }
  if (spec.spread_zones) {
    const std::uint32_t half = (spec.task_count + 1) / 2;
    const auto it = zones.find(zone);
    const std::uint32_t tasks_in_zone = it == zones.end() ? 0 : it->second;
    allowed = tasks_in_zone >= half ? 0 : half - tasks_in_zone;
  }
  return allowed;
}

std::uint32_t layout_allowance(const PlanLayout& layout, const PlanMachine& machine, std::uint32_t task_count,
                               bool preferences) {
  if (layout.impossible) return 0;
  std::uint32_t allowed = task_count;
  if (layout.spread >= 0 && (layout.spread_required || preferences)) {
    const auto it = layout.tasks_by_spread_domain.find(machine.domain(layout.spread));
    const std::uint32_t tasks_in_domain = it == layout.tasks_by_spread_domain.end() ? 0 : it->second;
    allowed = tasks_in_domain >= layout.max_tasks ? 0 : layout.max_tasks - tasks_in_domain;
  }
  if (layout.colocation >= 0 && (layout.colocation_required || preferences)) {
    for (const auto& [domain, tasks] : layout.tasks_by_colocation_domain) {
      if (tasks > 0 && domain != machine.domain(layout.colocation)) return 0;
    }
  }
  return allowed;
}

void add_to_layout(PlanLayout& layout, const PlanMachine& machine, std::uint32_t tasks) {
  if (layout.spread >= 0) layout.tasks_by_spread_domain[machine.domain(layout.spread)] += tasks;
  if (layout.colocation >= 0) layout.tasks_by_colocation_domain[machine.domain(layout.colocation)] += tasks;
}

void FreeCapacity::reserve(const JobSpec& spec, std::uint32_t tasks) {
  resources -= spec.resources * tasks;
  task_slots -= tasks;
  for (const auto& [name, count] : spec.devices()) devices[name] -= count * tasks;
}

void FreeCapacity::release(const JobSpec& spec) {
  resources += spec.resources;
  ++task_slots;
  for (const auto& [name, count] : spec.devices()) devices[name] += count;
}

double unused_core_fraction(const PlanMachine& machine, const Resources& need) {
  const Resources& capacity = machine.machine_type->capacity;
  return capacity.cores > 0 ? static_cast<double>(machine.free.resources.cores - need.cores) /
                                  static_cast<double>(capacity.cores)
                            : 0;
}

Amount core_equivalents(const Resources& need, const MachineType& machine_type) {
  const auto share = [](Amount amount, Amount total) {
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0.0;
  };
  const double largest =
      std::max({share(need.cores, machine_type.capacity.cores), share(need.gpus, machine_type.capacity.gpus),
                share(need.memory, machine_type.capacity.memory)});
  return static_cast<Amount>(largest * static_cast<double>(machine_type.capacity.cores));
}

Amount task_core_equivalents(const Resources& task, const MachineType& machine_type) {
  return std::max(core_equivalents(task, machine_type),
                  machine_type.capacity.cores / Amount{protocol::kMaxTasksPerMachine});
}

bool has_image(const PlanMachine& machine, const std::string& image) {
  return machine.images != nullptr && machine.images->contains(image);
}

const PlannedFetch* find_fetch(const PlanMachine& machine, const std::string& image) {
  const auto it = std::find_if(machine.fetches.begin(), machine.fetches.end(),
                               [&](const PlannedFetch& fetch) { return fetch.image == image; });
  return it == machine.fetches.end() ? nullptr : &*it;
}

Micros fetch_time(const PlanMachine& machine, const JobSpec& spec) {
  if (has_image(machine, spec.image)) return Micros{0};
  const PlannedFetch* own_fetch = find_fetch(machine, spec.image);
  const double remaining_gb = own_fetch != nullptr ? own_fetch->remaining_gb : spec.image_gb;
  // The rate is shared evenly, so each other fetch transfers as much as this one until one of the two ends.
  double total_gb = remaining_gb;
  for (const PlannedFetch& fetch : machine.fetches) {
    if (&fetch != own_fetch) total_gb += std::min(fetch.remaining_gb, remaining_gb);
  }
  return from_seconds(total_gb / machine.machine_type->fetch_gb_per_s);
}

std::optional<Micros> fetch_delay_imposed(const PlanMachine& machine, const JobSpec& spec) {
  if (has_image(machine, spec.image) || find_fetch(machine, spec.image) != nullptr) return Micros{0};
  double total_gb = 0;
  for (const PlannedFetch& fetch : machine.fetches) {
    if (fetch.priority == Priority::prod && spec.priority != Priority::prod) return std::nullopt;
    total_gb += std::min(fetch.remaining_gb, spec.image_gb);
  }
  return from_seconds(total_gb / machine.machine_type->fetch_gb_per_s);
}

Micros run_time(const PlanMachine& machine, const PlanJob& job) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(job.estimate.count()) / machine.speed)};
}

Micros finish_time(const PlanMachine& machine, const PlanJob& job) {
  return fetch_time(machine, *job.spec) + run_time(machine, job);
}

Micros time_until_free(const EndingTask& ending, const PlanMachine& machine, Instant now) {
  Micros free_in =
      ending.ends_at ? std::max(*ending.ends_at - now, ending.min_remaining) : ending.min_remaining;
  if (ending.awaited_image_spec != nullptr) free_in += fetch_time(machine, *ending.awaited_image_spec);
  return free_in;
}

}  // namespace wrenusher::placement
