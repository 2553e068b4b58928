#pragma once
// Zones that cannot be reached: nothing is rented in them.

#include <deque>
#include <map>
#include <string>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::provisioner {

/// Takes a zone for lost once several of its machines fell silent within a short time and none reports. What
/// is rented there would be paid for and could not report until the partition ends. The silent machines are
/// returned all the same: nothing else proves their tasks gone, which cancelled jobs need in time. Pure
/// state, without clock or calls. Single-threaded.
class ZoneLossDetector {
 public:
  void clear();
  /// A machine of the zone has fallen silent.
  void record_silence(const std::string& zone, time::Instant now) { silences_[zone].push_back(now); }
  /// Judges each zone with silent machines by which machines report.
  void update(const events::Workload& workload, time::Instant now);
  /// Whether the zone is lost and not to be probed yet.
  bool is_lost(const std::string& zone, time::Instant now) const;
  /// To be called when something is rented in the zone. True where the zone was lost: one machine is enough
  /// to find out whether it can be reached, and the next probe is put off.
  [[nodiscard]] bool begin_probe(const std::string& zone, time::Instant now);

 private:
  std::map<std::string, std::deque<time::Instant>> silences_;  ///< by zone, in rising order
  std::map<std::string, time::Instant> lost_until_;            ///< by zone: when it may be probed
};

}  // namespace wrenusher::provisioner
