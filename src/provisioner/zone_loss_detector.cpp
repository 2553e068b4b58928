#include "wrenusher/provisioner/zone_loss_detector.hpp"

#include <set>

#include "wrenusher/log/log.hpp"

namespace wrenusher::provisioner {

using time::from_seconds;
using time::Instant;
using time::Micros;

namespace {

/// So many machines silent within `kSilenceWindow`, and none that reports, make a zone lost.
constexpr std::size_t kMinSilentMachines = 6;
constexpr Micros kSilenceWindow = from_seconds(20);
/// A lost zone is probed again after this time: perhaps no machine is left in it that could report.
constexpr Micros kProbeInterval = from_seconds(40);

}  // namespace

void ZoneLossDetector::clear() {
  silences_.clear();
  lost_until_.clear();
}

void ZoneLossDetector::update(const events::Workload& workload, Instant now) {
  std::set<std::string> reachable;
  for (const events::Workload::MachineLoad& load : workload.machines) {
    if (load.usable) reachable.insert(load.zone);
  }
  for (auto& [zone, silences] : silences_) {
    while (!silences.empty() && now - silences.front() > kSilenceWindow) silences.pop_front();
    const bool was_lost = lost_until_.contains(zone);
    if (reachable.contains(zone)) {
      if (was_lost) log::info("zone_reachable", "zone {zone} is reachable again", log::with("zone", zone));
      lost_until_.erase(zone);
    } else if (silences.size() >= kMinSilentMachines && !zone.empty()) {
      if (!was_lost)
        log::warn("zone_unreachable", "zone {zone} is unreachable: no machines are rented there",
                  log::with("zone", zone));
      lost_until_[zone] = now + kProbeInterval;
    }
  }
}

bool ZoneLossDetector::is_lost(const std::string& zone, Instant now) const {
  const auto it = lost_until_.find(zone);
  return it != lost_until_.end() && now < it->second;
}

bool ZoneLossDetector::begin_probe(const std::string& zone, Instant now) {
  const auto it = lost_until_.find(zone);
  if (it == lost_until_.end()) return false;
  it->second = now + kProbeInterval;
  return true;
}

}  // namespace wrenusher::provisioner
