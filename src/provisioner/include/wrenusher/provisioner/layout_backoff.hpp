#pragma once
// Back-off for rentals for jobs with a layout, when earlier rentals did not help.

#include <cstdint>
#include <map>
#include <string>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::provisioner {

/// Limits how often machines are rented for a job with a layout. Rented machines may turn out to be in a
/// failure domain that the layout cannot use. After a rental, nothing more is rented for the job until the
/// machines have had time to boot and be used; the delay grows each time a rental did not help. Pure state,
/// without clock or calls. Single-threaded.
class LayoutBackoff {
 public:
  /// Returns whether machines may be rented for the demand now; always true without an earlier rental.
  bool may_rent(const events::Workload::Demand& demand, time::Instant now) const;
  /// Records that machines are rented now for the demand, which must have a layout. `boot_timeout` is the
  /// time within which all of these machines report.
  void record_rental(const events::Workload::Demand& demand, time::Instant now, time::Micros boot_timeout);

 private:
  struct Attempt {
    std::uint32_t waiting_tasks = 0;  ///< tasks without a machine at the last rental
    time::Instant not_before{};
    time::Micros extra_delay{};
  };
  std::map<std::string, Attempt> attempts_;  ///< last rental of each job, by job ID
};

}  // namespace wrenusher::provisioner
