#include "wrenusher/provisioner/layout_backoff.hpp"

#include <algorithm>

namespace wrenusher::provisioner {

using events::Workload;
using time::from_seconds;
using time::Instant;
using time::Micros;

namespace {

/// Bounds of the extra delay after a rental that had no effect. The delay doubles each time.
constexpr Micros kMinExtraDelay = from_seconds(60);
constexpr Micros kMaxExtraDelay = from_seconds(600);

}  // namespace

bool LayoutBackoff::may_rent(const Workload::Demand& demand, Instant now) const {
  const auto it = attempts_.find(demand.spec.job_id);
  return it == attempts_.end() || now >= it->second.not_before;
}

void LayoutBackoff::record_rental(const Workload::Demand& demand, Instant now, Micros boot_timeout) {
  Attempt& attempt = attempts_[demand.spec.job_id];
  // If as many tasks wait as at the last rental, its machines were used by other jobs.
  const bool had_no_effect = attempt.waiting_tasks > 0 && demand.tasks >= attempt.waiting_tasks;
  attempt.extra_delay =
      had_no_effect ? std::clamp(attempt.extra_delay * 2, kMinExtraDelay, kMaxExtraDelay) : Micros{0};
  attempt.waiting_tasks = demand.tasks;
  attempt.not_before = now + boot_timeout + attempt.extra_delay;
  std::erase_if(attempts_, [&](const auto& entry) { return now - entry.second.not_before > kMaxExtraDelay; });
}

}  // namespace wrenusher::provisioner
