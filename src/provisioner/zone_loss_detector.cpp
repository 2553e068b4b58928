#include "wrenusher/provisioner/zone_loss_detector.hpp"

#include <set>

#include "wrenusher/log/log.hpp"

namespace wrenusher::provisioner {

using time::from_seconds;
using time::Instant;
using time::Micros;

namespace {

/// A zone is lost if at least this many of its machines became silent within `kSilenceWindow` and none
/// reports.
constexpr std::size_t kMinSilentMachines = 6;
constexpr Micros kSilenceWindow = from_seconds(20);
/// Time between probes of a lost zone. Probes are needed because the zone may have no machine left that could
/// report.
constexpr Micros kProbeInterval = from_seconds(40);

}  // namespace

void ZoneLossDetector::clear() {
  silence_times_.clear();
  next_probe_.clear();
}

void ZoneLossDetector::update(const events::Workload& workload, Instant now) {
  std::set<std::string> reachable_zones;
  for (const events::Workload::MachineLoad& load : workload.machines) {
    if (load.usable) reachable_zones.insert(load.zone);
  }
  for (auto& [zone, silence_times] : silence_times_) {
    while (!silence_times.empty() && now - silence_times.front() > kSilenceWindow) silence_times.pop_front();
    const bool was_lost = next_probe_.contains(zone);
    if (reachable_zones.contains(zone)) {
      if (was_lost) log::info("zone_reachable", "zone {zone} is reachable again", log::with("zone", zone));
      next_probe_.erase(zone);
    } else if (silence_times.size() >= kMinSilentMachines && !zone.empty()) {
      if (!was_lost)
        log::warn("zone_unreachable", "zone {zone} is unreachable: no machines are rented there",
                  log::with("zone", zone));
      next_probe_[zone] = now + kProbeInterval;
    }
  }
}

bool ZoneLossDetector::is_lost(const std::string& zone, Instant now) const {
  const auto it = next_probe_.find(zone);
  return it != next_probe_.end() && now < it->second;
}

bool ZoneLossDetector::begin_probe(const std::string& zone, Instant now) {
  const auto it = next_probe_.find(zone);
  if (it == next_probe_.end()) return false;
  it->second = now + kProbeInterval;
  return true;
}

}  // namespace wrenusher::provisioner
