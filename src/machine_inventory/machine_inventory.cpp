#include "wrenusher/machine_inventory/machine_inventory.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::machine_inventory {

Machine& MachineInventory::get_or_add(const std::string& host) {
  if (Machine* known = find(host)) return *known;
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

void MachineInventory::update_from_report(Machine& machine, const WorkerReport& report, bool current) {
  const bool moved = machine.address != report.address || machine.machine_type != report.machine_type ||
                     machine.zone != report.zone;
  if (moved || machine.spot != report.spot || machine.token_accepted != current || machine.silent ||
      machine.evicting != report.eviction_notice.has_value())
    mark_changed(machine);
  machine.address = report.address;
  machine.machine_type = report.machine_type;
  machine.zone = report.zone;
  machine.spot = report.spot;
  machine.incarnation = report.incarnation;
  machine.token_accepted = current;
  machine.silent = false;
  machine.evicting = report.eviction_notice.has_value();
  if (moved && topology_)
    machine.place = topology_->find(machine.name, machine.address, machine.machine_type, machine.zone);
}

void MachineInventory::set_catalog(std::shared_ptr<const Catalog> catalog) {
  // The planner's board points into it: the same types once more change nothing.
  if (catalog_ && catalog && *catalog == *catalog_) return;
  catalog_ = std::move(catalog);
  ++generation_;
}

void MachineInventory::set_topology(std::shared_ptr<const topology::Topology> topology) {
  if (topology_ == topology) return;
  topology_ = std::move(topology);
  // Where every job's tasks are reads otherwise from now on.
  ++generation_;
  for (auto& [name, m] : machines_) {
    m.place = topology_ && !m.zone.empty() ? topology_->find(m.name, m.address, m.machine_type, m.zone)
                                           : topology::MachineLocation{};
  }
}

void MachineInventory::set_wanted_devices(std::set<std::string> names) {
  if (names == wanted_devices_) return;
  wanted_devices_ = std::move(names);
  for (auto& [name, m] : machines_) {
    if (!m.place.devices.empty()) mark_changed(m);
  }
}

void MachineInventory::mark_changed(Machine& machine) {
  if (!std::exchange(machine.hint_pending, true)) pending_hints_.push_back(&machine);
  if (!std::exchange(machine.changed, true)) changed_.push_back(&machine);
}

std::vector<Machine*> MachineInventory::take_pending_hints(std::size_t most) {
  const auto n = static_cast<std::ptrdiff_t>(std::min(most, pending_hints_.size()));
  std::vector<Machine*> out(pending_hints_.begin(), pending_hints_.begin() + n);
  pending_hints_.erase(pending_hints_.begin(), pending_hints_.begin() + n);
  for (Machine* machine : out) machine->hint_pending = false;
  return out;
}

void MachineInventory::adopt_images(Machine& machine, const std::vector<InheritedImage>& held) {
  mark_changed(machine);
  for (const InheritedImage& image : held) {
    if (image.remaining_gb > 0) {
      machine.inherited_fetches[image.image] = image.remaining_gb;
    } else {
      machine.images[image.image] = ++image_uses_;
      machine.image_gb[image.image] = image.gb;
    }
  }
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
  for (const auto& [name, n] : spec.devices()) machine.use.devices[name] += n;
  if (spec.type != JobType::service) return;
  machine.use.service_load += spec.resources;
  ++machine.use.services;
}

void MachineInventory::release(Machine& machine, const JobSpec& spec) {
  mark_changed(machine);
  machine.use.reserved -= spec.resources;
  --machine.use.assignments;
  for (const auto& [name, n] : spec.devices()) {
    if ((machine.use.devices[name] -= n) == 0) machine.use.devices.erase(name);
  }
  if (spec.type != JobType::service) return;
  machine.use.service_load -= spec.resources;
  --machine.use.services;
}

void MachineInventory::advance_fetches(Machine& machine) {
  constexpr double kLeast = 0.05;
  const double seconds = to_seconds(runtime_.now() - machine.fetches_as_of);
  machine.fetches_as_of = runtime_.now();
  const MachineType* machine_type = machine.fetches.empty() ? nullptr : type_of(machine);
  if (machine_type == nullptr) return;
  const double each = seconds * machine_type->fetch_gb_per_s / static_cast<double>(machine.fetches.size());
  for (auto& [bundle, p] : machine.fetches)
    p.remaining_gb = std::max(p.remaining_gb - each, p.size_gb * kLeast);
}

bool MachineInventory::begin_fetch(Machine& machine, const JobSpec& spec) {
  if (machine.images.contains(spec.image)) return false;
  advance_fetches(machine);
  mark_changed(machine);
  fetching_.insert(&machine);
  const auto [it, first] =
      machine.fetches.try_emplace(spec.image, ImageFetch{spec.image_gb, spec.image_gb, 0, spec.priority});
  if (auto begun = machine.inherited_fetches.extract(spec.image))
    it->second.remaining_gb = std::min(it->second.remaining_gb, begun.mapped());
  ++it->second.tasks;
  it->second.priority = std::min(it->second.priority, spec.priority);
  return true;
}

void MachineInventory::end_fetch(Machine& machine, const JobSpec& spec) {
  advance_fetches(machine);
  const auto it = machine.fetches.find(spec.image);
  mark_changed(machine);
  if (--it->second.tasks == 0) machine.fetches.erase(it);
  if (machine.fetches.empty()) fetching_.erase(&machine);
}

void MachineInventory::record_image_use(Machine& machine, const JobSpec& spec) {
  if (!machine.images.contains(spec.image)) mark_changed(machine);
  machine.images[spec.image] = ++image_uses_;
  machine.image_gb[spec.image] = spec.image_gb;
  const MachineType* machine_type = type_of(machine);
  if (machine_type == nullptr) return;
  double total = 0;
  for (const auto& [bundle, used] : machine.images) total += machine.image_gb[bundle];
  while (total > machine_type->image_cache_gb && machine.images.size() > 1) {
    const auto oldest = std::min_element(machine.images.begin(), machine.images.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    mark_changed(machine);
    total -= machine.image_gb[oldest->first];
    machine.image_gb.erase(oldest->first);
    machine.images.erase(oldest);
  }
}

void MachineInventory::record_image_eviction(Machine& machine, const JobSpec& spec) {
  mark_changed(machine);
  machine.images.erase(spec.image);
  machine.image_gb.erase(spec.image);
}

std::vector<placement::PlannedFetch> MachineInventory::fetches_of(const Machine& machine) {
  std::vector<placement::PlannedFetch> out;
  out.reserve(machine.fetches.size());
  for (const auto& [bundle, p] : machine.fetches) out.push_back({bundle, p.remaining_gb, p.priority});
  return out;
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
  planned.speed = estimator_.speed(machine.name);
  planned.images = &machine.images;
  planned.fetches = fetches_of(machine);
  if (!topology_) return planned;
  planned.place = &machine.place;
  for (const auto& [device, n] : machine.place.devices) {
    const auto used = machine.use.devices.find(device);
    const std::uint32_t booked = used == machine.use.devices.end() ? 0 : used->second;
    planned.free.devices[device] = n - std::min(n, booked);
    planned.reserved_for_devices = planned.reserved_for_devices || wanted_devices_.contains(device);
  }
  return planned;
}

std::string MachineInventory::disagreement(const std::map<const Machine*, Recomputed>& anew) const {
  static const Recomputed kNothing;
  for (const auto& [name, m] : machines_) {
    const auto it = anew.find(&m);
    const Recomputed& recomputed = it == anew.end() ? kNothing : it->second;
    const bool pulls = std::equal(m.fetches.begin(), m.fetches.end(), recomputed.fetching_tasks.begin(),
                                  recomputed.fetching_tasks.end(), [](const auto& a, const auto& b) {
                                    return a.first == b.first && a.second.tasks == b.second;
                                  });
    if (!(recomputed.use == m.use) || !pulls) return "machine " + name + " is booked wrongly";
  }
  return {};
}

}  // namespace wrenusher::machine_inventory
