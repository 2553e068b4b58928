#pragma once
// Rentals for jobs with a layout, less and less often where they do not help.

#include <cstdint>
#include <map>
#include <string>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::provisioner {

/// Where a layout is short of machines, those that are rented may turn out to stand in the wrong failure
/// domain. What was rented for a job gets the time to boot and be used before more is rented for it, and
/// longer each time it was of no use. Pure state, without clock or calls. Single-threaded.
class LayoutBackoff {
 public:
  /// Whether machines may be rented for the demand now; always true for a job that was rented nothing for.
  bool may_rent(const events::Workload::Demand& demand, time::Instant now) const;
  /// Machines are rented now for the demand, which has a layout. `boot_timeout`: until all of them report.
  void record_rental(const events::Workload::Demand& demand, time::Instant now, time::Micros boot_timeout);

 private:
  struct Attempt {
    std::uint32_t tasks = 0;  ///< that were short when machines were last rented
    time::Instant not_before{};
    time::Micros pause{};
  };
  std::map<std::string, Attempt> attempts_;  ///< by job
};

}  // namespace wrenusher::provisioner
