#pragma once
// Detects unreachable zones, in which no machines should be rented.

#include <deque>
#include <map>
#include <string>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::provisioner {

/// Considers a zone lost once several of its machines have become silent within a short time and none
/// reports. Machines rented there would be charged for, but could not report until the partition ends. The
/// silent machines are still returned: only a confirmed return proves that their tasks have stopped, and
/// cancelled jobs need this proof in time. Pure state, without clock or calls. Single-threaded.
class ZoneLossDetector {
 public:
  /// Removes all recorded silent machines and lost zones.
  void clear();
  /// Records that a machine of the zone has become silent.
  void record_silent_machine(const std::string& zone, time::Instant now) {
    silence_times_[zone].push_back(now);
  }
  /// Marks zones with silent machines as lost or reachable, depending on which machines are usable.
  void update(const events::Workload& workload, time::Instant now);
  /// Returns false if a probe of the zone is due, even if the zone is lost; otherwise whether the zone is
  /// lost.
  bool is_lost(const std::string& zone, time::Instant now) const;
  /// Returns whether the zone is lost, and if so schedules its next probe. To be called before machines are
  /// rented in the zone: in a lost zone one machine is enough to check whether it is reachable again.
  [[nodiscard]] bool begin_probe(const std::string& zone, time::Instant now);

 private:
  std::map<std::string, std::deque<time::Instant>> silence_times_;  ///< by zone, in ascending order
  std::map<std::string, time::Instant> next_probe_;  ///< by lost zone: earliest time of the next probe
};

}  // namespace wrenusher::provisioner
