// Maintenance of the index: machines, jobs, and interned names.

#include "wrenusher/placement/placement_index.hpp"

#include <algorithm>
#include <bit>

namespace wrenusher::placement {

namespace {

std::uint32_t bit_width_of(Amount amount) {
  return static_cast<std::uint32_t>(std::bit_width(static_cast<std::uint64_t>(amount)));
}

/// Number of bits of a size class that hold the bit width of one amount, which is at most 64.
constexpr std::uint32_t kWidthBits = 7;
constexpr std::uint32_t kWidthMask = (1U << kWidthBits) - 1;

/// Returns the index of a free entry of the vector, or of a new one at its end.
template <typename Entry>
std::uint32_t allocate_entry(std::vector<Entry>& all, std::vector<std::uint32_t>& free) {
  if (free.empty()) {
    all.emplace_back();
    return static_cast<std::uint32_t>(all.size() - 1);
  }
  const std::uint32_t id = free.back();
  free.pop_back();
  return id;
}

std::vector<std::string> device_names(const std::map<std::string, std::uint32_t>& devices) {
  std::vector<std::string> out;
  out.reserve(devices.size());
  for (const auto& [name, count] : devices) out.push_back(name);
  return out;
}

}  // namespace

std::uint32_t PlacementIndex::size_class(const Resources& room) {
  if (room.cores < 0 || room.gpus < 0 || room.memory < 0) return kNoRoom;
  return (bit_width_of(room.cores) << (2 * kWidthBits)) | (bit_width_of(room.gpus) << kWidthBits) |
         bit_width_of(room.memory);
}

bool PlacementIndex::covers(std::uint32_t room, std::uint32_t need) {
  return (room >> (2 * kWidthBits)) >= (need >> (2 * kWidthBits)) &&
         ((room >> kWidthBits) & kWidthMask) >= ((need >> kWidthBits) & kWidthMask) &&
         (room & kWidthMask) >= (need & kWidthMask);
}

// ---------------------------------------------------------------- interned names

std::uint32_t PlacementIndex::machine_class_of(const PlanMachine& machine) {
  MachineClassKey key{machine.machine_type, machine.zone, machine.spot, {}};
  if (machine.reserved_for_devices) key.reserved_devices = device_names(machine.location->devices);
  const auto [it, added] =
      machine_class_ids_.try_emplace(key, static_cast<std::uint32_t>(machine_classes_.size()));
  if (added) machine_classes_.push_back({std::move(key), {}});
  return it->second;
}

std::uint32_t PlacementIndex::type_id_of(const MachineType& machine_type) {
  const auto [it, added] =
      type_ids_.try_emplace(machine_type.name, static_cast<std::uint32_t>(types_.size()));
  if (added) types_.push_back({&machine_type, 0});
  return it->second;
}

std::uint32_t PlacementIndex::image_id_of(const std::string& image) {
  const auto it = image_ids_.find(image);
  if (it != image_ids_.end()) return it->second;
  const std::uint32_t id = allocate_entry(images_, free_images_);
  images_[id].image = image;
  image_ids_.emplace(image, id);
  return id;
}

/// Removes an image that no machine has and no job waits for, since the set of image names changes without
/// bound.
void PlacementIndex::release_image(std::uint32_t id) {
  ImageEntry& image = images_[id];
  if (image.waiting_jobs > 0 || !image.holders.isEmpty()) return;
  image_ids_.erase(image.image);
  image = {};
  free_images_.push_back(id);
}

std::uint32_t PlacementIndex::constraint_class_of(const PlanJob& job) {
  const JobSpec& spec = *job.spec;
  const ConstraintKey key{
      spec.resources.cores, spec.resources.gpus, spec.resources.memory,       spec.machine_types, spec.zone,
      spec.spot_allowed,    job.excluded_types,  device_names(spec.devices())};
  const auto it = constraint_ids_.find(key);
  if (it != constraint_ids_.end()) {
    ++constraint_classes_[it->second].jobs;
    return it->second;
  }
  const std::uint32_t id = allocate_entry(constraint_classes_, free_constraint_ids_);
  constraint_classes_[id].key = constraint_ids_.emplace(key, id).first;
  constraint_classes_[id].jobs = 1;
  return id;
}

void PlacementIndex::release_constraint_class(std::uint32_t id) {
  if (--constraint_classes_[id].jobs > 0) return;
  constraint_ids_.erase(constraint_classes_[id].key);
  constraint_classes_[id] = {};
  free_constraint_ids_.push_back(id);
}

bool PlacementIndex::admits(Slot job, std::uint32_t machine_class) {
  const JobEntry& entry = jobs_[job];
  const JobSpec& spec = *entry.job.spec;
  ConstraintClass& constraints = constraint_classes_[entry.constraint_class];
  while (constraints.admits.size() < machine_classes_.size()) {
    const MachineClassKey& key = machine_classes_[constraints.admits.size()].key;
    const bool reserved_for_others =
        !key.reserved_devices.empty() &&
        std::none_of(key.reserved_devices.begin(), key.reserved_devices.end(),
                     [&](const std::string& device) { return spec.devices().contains(device); });
    constraints.admits.push_back(!reserved_for_others &&
                                 spec.allows(key.machine_type->name, key.zone, key.spot) &&
                                 !entry.job.excluded_types.contains(key.machine_type->name));
  }
  return constraints.admits[machine_class] != 0;
}

void PlacementIndex::update_fitting_types(ConstraintClass& constraints, const PlanJob& job) const {
  while (constraints.fitting_types.size() < types_.size()) {
    const MachineType& machine_type = *types_[constraints.fitting_types.size()].machine_type;
    constraints.fitting_types.push_back(!job.excluded_types.contains(machine_type.name) &&
                                        fits_machine_type(*job.spec, machine_type));
    constraints.core_equivalents.push_back(task_core_equivalents(job.spec->resources, machine_type));
  }
}

// ---------------------------------------------------------------- machines

PlacementIndex::Slot PlacementIndex::new_machine() {
  const Slot slot = allocate_entry(machines_, free_machine_slots_);
  marked_machines_.resize(machines_.size());
  return slot;
}

const PlanMachine* PlacementIndex::machine(Slot slot) const {
  return machines_[slot].present ? &machines_[slot].machine : nullptr;
}

const std::vector<EndingTask>& PlacementIndex::ending_tasks(Slot slot) const {
  return machines_[slot].ending_tasks;
}

std::vector<PlacementIndex::Slot> PlacementIndex::machines_with_image(const std::string& image) const {
  std::vector<Slot> out;
  const auto it = image_ids_.find(image);
  if (it == image_ids_.end()) return out;
  for (const std::uint32_t slot : images_[it->second].holders) out.push_back(slot);
  return out;
}

void PlacementIndex::set_machine(Slot slot, PlanMachine machine, std::vector<EndingTask> ending, Amount cores,
                                 bool open) {
  unindex_machine(slot);
  MachineEntry& entry = machines_[slot];
  entry.present = true;
  entry.open = open;
  entry.machine = std::move(machine);
  entry.ending_tasks = std::move(ending);
  entry.cores = cores;
  index_machine(slot);
}

void PlacementIndex::set_fetches(Slot slot, std::vector<PlannedFetch> fetches) {
  machines_[slot].machine.fetches = std::move(fetches);
}

void PlacementIndex::drop_machine(Slot slot) {
  unindex_machine(slot);
  MachineEntry& entry = machines_[slot];
  entry.present = false;
  entry.machine = {};
  entry.ending_tasks.clear();
  free_machine_slots_.push_back(slot);
}

/// Lists the machine under the size class of `room` if the machine is open; otherwise removes the machine
/// from its list.
void PlacementIndex::index_free_room(Slot slot, const Resources& room) {
  MachineEntry& entry = machines_[slot];
  const std::uint32_t size = entry.present && entry.open ? size_class(room) : kNoRoom;
  if (size == entry.size_class) return;
  MachineClass& machine_class = machine_classes_[entry.machine_class];
  if (entry.size_class != kNoRoom) {
    const auto it = machine_class.by_size_class.find(entry.size_class);
    it->second.remove(slot);
    if (it->second.isEmpty()) machine_class.by_size_class.erase(it);
  }
  if (size != kNoRoom) machine_class.by_size_class[size].add(slot);
  entry.size_class = size;
}

void PlacementIndex::index_machine(Slot slot) {
  MachineEntry& entry = machines_[slot];
  entry.machine_class = machine_class_of(entry.machine);
  entry.type = type_id_of(*entry.machine.machine_type);
  types_[entry.type].cores += entry.cores;
  index_free_room(slot, entry.machine.free.resources);
  index_future_places(entry);
  index_images(entry, slot);
  mark_future_places_changed(entry, slot);
  ++entry.set_count;
  schedule_timer(slot);
}

void PlacementIndex::index_future_places(MachineEntry& entry) {
  entry.future_place_ids.reserve(entry.ending_tasks.size());
  for (const EndingTask& ending : entry.ending_tasks) {
    const std::uint32_t id = allocate_entry(future_places_, free_future_place_ids_);
    Resources room = entry.machine.free.resources;
    room += ending.resources;
    future_places_[id] = {room, static_cast<std::uint32_t>(entry.future_place_ids.size()),
                          entry.machine_class, 0};
    entry.future_place_ids.push_back(id);
  }
}

void PlacementIndex::index_images(MachineEntry& entry, Slot slot) {
  const PlanMachine& machine = entry.machine;
  if (machine.images != nullptr) {
    entry.images.reserve(machine.images->size() + machine.fetches.size());
    for (const auto& [image, last_used] : *machine.images) entry.images.push_back(image_id_of(image));
  }
  for (const PlannedFetch& fetch : machine.fetches) {
    if (!has_image(machine, fetch.image)) entry.images.push_back(image_id_of(fetch.image));
  }
  for (const std::uint32_t id : entry.images) images_[id].holders.add(slot);
}

void PlacementIndex::unindex_machine(Slot slot) {
  MachineEntry& entry = machines_[slot];
  if (!entry.present) return;
  types_[entry.type].cores -= entry.cores;
  entry.present = false;
  index_free_room(slot, {});
  mark_future_places_changed(entry, slot);
  free_future_place_ids_.insert(free_future_place_ids_.end(), entry.future_place_ids.begin(),
                                entry.future_place_ids.end());
  entry.future_place_ids.clear();
  const std::vector<std::uint32_t> images = std::move(entry.images);
  entry.images.clear();
  for (const std::uint32_t id : images) {
    images_[id].holders.remove(slot);
    release_image(id);
  }
}

// ---------------------------------------------------------------- jobs

PlacementIndex::Slot PlacementIndex::new_job() {
  const Slot slot = allocate_entry(jobs_, free_job_slots_);
  service_keys_.resize(jobs_.size());
  slacks_.resize(jobs_.size());
  return slot;
}

void PlacementIndex::set_job(Slot slot, PlanJob job, const std::vector<Objective>& objectives) {
  JobEntry& entry = jobs_[slot];
  const bool was_present = entry.present;
  const std::uint32_t old_constraint_class = entry.constraint_class;
  const std::uint32_t old_image = entry.image;
  const bool used_future_places = entry.uses_future_places;
  if (!was_present) {
    entry.live_index = live_jobs_.size();
    live_jobs_.push_back(slot);
  }
  entry.present = true;
  entry.job = std::move(job);
  entry.start_deadlines = start_deadlines(entry.job, objectives);
  index_job(entry);
  // The old entries are released only now, so that entries used by both the old and the new state are not
  // removed and rebuilt.
  if (!was_present) return;
  release_constraint_class(old_constraint_class);
  release_job_image(old_image, used_future_places);
}

void PlacementIndex::index_job(JobEntry& entry) {
  const JobSpec& spec = *entry.job.spec;
  entry.constraint_class = constraint_class_of(entry.job);
  entry.image = image_id_of(spec.image);
  // Future places record only resources, not devices.
  entry.uses_future_places = spec.type == JobType::array && spec.devices().empty();
  ++images_[entry.image].waiting_jobs;
  if (entry.uses_future_places) ++images_[entry.image].waiting_arrays;
  const auto [team, added] = team_ids_.try_emplace(spec.team, static_cast<std::uint32_t>(teams_.size()));
  if (added) teams_.push_back(spec.team);
  entry.team = team->second;
}

/// Removes one waiting job from the image's counts.
void PlacementIndex::release_job_image(std::uint32_t id, bool uses_future_places) {
  ImageEntry& image = images_[id];
  --image.waiting_jobs;
  if (uses_future_places && --image.waiting_arrays == 0) image.future_places.reset();
  release_image(id);
}

void PlacementIndex::drop_job(Slot slot) {
  JobEntry& entry = jobs_[slot];
  release_constraint_class(entry.constraint_class);
  release_job_image(entry.image, entry.uses_future_places);
  live_jobs_[entry.live_index] = live_jobs_.back();
  jobs_[live_jobs_[entry.live_index]].live_index = entry.live_index;
  live_jobs_.pop_back();
  // The next plan removes the job from the service order.
  const bool in_service_order = entry.in_service_order;
  entry = {};
  entry.in_service_order = in_service_order;
  free_job_slots_.push_back(slot);
}

void PlacementIndex::clear() {
  // The plan counter continues, so that a mark of an earlier plan cannot match a later one.
  const std::uint64_t plan_count = plan_count_;
  *this = PlacementIndex{};
  plan_count_ = plan_count;
}

}  // namespace wrenusher::placement
