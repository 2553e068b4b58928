#include "wrenusher/machine_inventory/machine_inventory.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::machine_inventory {

using protocol::JobType;

Machine& MachineInventory::get_or_add(const std::string& host) {
  if (Machine* existing = find(host)) return *existing;
  Machine& machine = machines_[host];
  machine.name = host;
  by_name_.emplace(machine.name, &machine);
  return machine;
}

Machine* MachineInventory::find(const std::string& host) {
  const auto it = by_name_.find(host);
  return it == by_name_.end() ? nullptr : it->second;
}

void MachineInventory::clear() {
  by_name_.clear();
  machines_.clear();
  changed_.clear();
  pending_hints_.clear();
  freed_slots_.clear();
  fetching_.clear();
  ++generation_;
}

void MachineInventory::erase(const std::string& host) {
  const auto it = machines_.find(host);
  if (it == machines_.end()) return;
  Machine& machine = it->second;
  if (machine.changed) std::erase(changed_, &machine);
  if (machine.hint_pending) std::erase(pending_hints_, &machine);
  fetching_.erase(&machine);
  if (machine.slot != Machine::kNoSlot) freed_slots_.push_back(machine.slot);
  by_name_.erase(machine.name);
  machines_.erase(it);
}

void MachineInventory::update_from_report(Machine& machine, const WorkerReport& report, bool token_accepted) {
  const bool moved = machine.address != report.address || machine.machine_type != report.machine_type ||
                     machine.zone != report.zone;
  if (moved || machine.spot != report.spot || machine.token_accepted != token_accepted || machine.silent ||
      machine.evicting != report.eviction_notice.has_value())
    mark_changed(machine);
  machine.address = report.address;
  machine.machine_type = report.machine_type;
  machine.zone = report.zone;
  machine.spot = report.spot;
  machine.incarnation = report.incarnation;
  machine.token_accepted = token_accepted;
  machine.silent = false;
  machine.evicting = report.eviction_notice.has_value();
  if (moved && topology_) machine.location = locate(machine);
}

topology::MachineLocation MachineInventory::locate(const Machine& machine) const {
  return topology_->find(machine.name, machine.address, machine.machine_type, machine.zone);
}

void MachineInventory::set_catalog(std::shared_ptr<const Catalog> catalog) {
  // The placement index points into the catalog, so an equal catalog must not replace it.
  if (catalog_ && catalog && *catalog == *catalog_) return;
  catalog_ = std::move(catalog);
  ++generation_;
}

void MachineInventory::set_topology(std::shared_ptr<const topology::Topology> topology) {
  if (topology_ == topology) return;
  topology_ = std::move(topology);
  // The tasks of every job are in other failure domains now.
  ++generation_;
  for (auto& [host, machine] : machines_)
    machine.location = topology_ && !machine.zone.empty() ? locate(machine) : topology::MachineLocation{};
}

void MachineInventory::set_wanted_devices(std::set<std::string> names) {
  if (names == wanted_devices_) return;
  wanted_devices_ = std::move(names);
  for (auto& [host, machine] : machines_) {
    if (!machine.location.devices.empty()) mark_changed(machine);
  }
}

void MachineInventory::mark_changed(Machine& machine) {
  if (!std::exchange(machine.hint_pending, true)) pending_hints_.push_back(&machine);
  if (!std::exchange(machine.changed, true)) changed_.push_back(&machine);
}

std::vector<Machine*> MachineInventory::take_pending_hints(std::size_t max_count) {
  const auto count = static_cast<std::ptrdiff_t>(std::min(max_count, pending_hints_.size()));
  std::vector<Machine*> taken(pending_hints_.begin(), pending_hints_.begin() + count);
  pending_hints_.erase(pending_hints_.begin(), pending_hints_.begin() + count);
  for (Machine* machine : taken) machine->hint_pending = false;
  return taken;
}

std::vector<Machine*> MachineInventory::take_changed() {
  for (Machine* machine : changed_) machine->changed = false;
  return std::exchange(changed_, {});
}

const MachineType* MachineInventory::find_type(const std::string& name) const {
  if (!catalog_) return nullptr;
  const auto it = catalog_->find(name);
  return it == catalog_->end() ? nullptr : &it->second;
}

void MachineInventory::reserve(Machine& machine, const JobSpec& spec) {
  mark_changed(machine);
  machine.use.reserved += spec.resources;
  ++machine.use.assignments;
  for (const auto& [device, count] : spec.devices()) machine.use.devices[device] += count;
  if (spec.type != JobType::service) return;
  machine.use.service_load += spec.resources;
  ++machine.use.services;
}

void MachineInventory::release(Machine& machine, const JobSpec& spec) {
  mark_changed(machine);
  machine.use.reserved -= spec.resources;
  --machine.use.assignments;
  for (const auto& [device, count] : spec.devices()) {
    if ((machine.use.devices[device] -= count) == 0) machine.use.devices.erase(device);
  }
  if (spec.type != JobType::service) return;
  machine.use.service_load -= spec.resources;
  --machine.use.services;
}

placement::PlanMachine MachineInventory::to_plan_machine(const Machine& machine,
                                                         const MachineType& machine_type) const {
  placement::PlanMachine planned;
  planned.name = machine.name;
  planned.zone = machine.zone;
  planned.machine_type = &machine_type;
  planned.spot = machine.spot;
  planned.runs_services = machine.use.services > 0;
  planned.free.resources = machine_type.capacity;
  planned.free.resources -= machine.use.reserved;
  planned.free.task_slots -= machine.use.assignments;
  planned.speed = estimator_.speed(machine.name);
  planned.images = &machine.images;
  planned.fetches = fetches_of(machine);
  if (!topology_) return planned;
  planned.location = &machine.location;
  for (const auto& [device, count] : machine.location.devices) {
    const auto used = machine.use.devices.find(device);
    const std::uint32_t in_use = used == machine.use.devices.end() ? 0 : used->second;
    planned.free.devices[device] = count - std::min(count, in_use);
    planned.reserved_for_devices = planned.reserved_for_devices || wanted_devices_.contains(device);
  }
  return planned;
}

std::string MachineInventory::disagreement(const std::map<const Machine*, Recomputed>& recomputed) const {
  const Recomputed no_assignments;
  for (const auto& [host, machine] : machines_) {
    const auto it = recomputed.find(&machine);
    const Recomputed& expected = it == recomputed.end() ? no_assignments : it->second;
    const bool same_fetches =
        std::equal(machine.fetches.begin(), machine.fetches.end(), expected.fetching_tasks.begin(),
                   expected.fetching_tasks.end(), [](const auto& fetch, const auto& tasks) {
                     return fetch.first == tasks.first && fetch.second.tasks == tasks.second;
                   });
    if (!(expected.use == machine.use) || !same_fetches)
      return "machine " + host + ": recorded use or fetches differ from the sums over its assignments";
  }
  return {};
}

}  // namespace wrenusher::machine_inventory
