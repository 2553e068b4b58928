// The images on the machines: cached images and fetches in progress.
#include <algorithm>

#include "wrenusher/machine_inventory/machine_inventory.hpp"

namespace wrenusher::machine_inventory {

namespace {

/// Lower bound of the estimated remaining size of a fetch, as a fraction of the image size.
constexpr double kMinRemainingFraction = 0.05;

}  // namespace

void MachineInventory::adopt_images(Machine& machine, const std::vector<InheritedImage>& inherited) {
  mark_changed(machine);
  for (const InheritedImage& image : inherited) {
    if (image.remaining_gb > 0) {
      machine.inherited_fetches[image.image] = image.remaining_gb;
    } else {
      machine.images[image.image] = ++image_uses_;
      machine.image_gb[image.image] = image.gb;
    }
  }
}

void MachineInventory::advance_fetches(Machine& machine) {
  const double seconds = time::to_seconds(runtime_.now() - machine.fetches_estimated_at);
  machine.fetches_estimated_at = runtime_.now();
  const MachineType* machine_type = machine.fetches.empty() ? nullptr : type_of(machine);
  if (machine_type == nullptr) return;
  const double fetched_gb =
      seconds * machine_type->fetch_gb_per_s / static_cast<double>(machine.fetches.size());
  for (auto& [image, fetch] : machine.fetches)
    fetch.remaining_gb = std::max(fetch.remaining_gb - fetched_gb, fetch.size_gb * kMinRemainingFraction);
}

bool MachineInventory::begin_fetch(Machine& machine, const JobSpec& spec) {
  if (machine.images.contains(spec.image)) return false;
  advance_fetches(machine);
  mark_changed(machine);
  fetching_.insert(&machine);
  const auto [it, added] =
      machine.fetches.try_emplace(spec.image, ImageFetch{spec.image_gb, spec.image_gb, 0, spec.priority});
  if (auto inherited = machine.inherited_fetches.extract(spec.image))
    it->second.remaining_gb = std::min(it->second.remaining_gb, inherited.mapped());
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
  double total_gb = 0;
  for (const auto& [image, last_use] : machine.images) total_gb += machine.image_gb[image];
  while (total_gb > machine_type->image_cache_gb && machine.images.size() > 1) {
    const auto oldest = std::min_element(machine.images.begin(), machine.images.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    mark_changed(machine);
    total_gb -= machine.image_gb[oldest->first];
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
  for (const auto& [image, fetch] : machine.fetches)
    out.push_back({image, fetch.remaining_gb, fetch.priority});
  return out;
}

}  // namespace wrenusher::machine_inventory
