#include "wrenusher/provisioner/layout_backoff.hpp"

#include <algorithm>

namespace wrenusher::provisioner {

using events::Workload;
using time::from_seconds;
using time::Instant;
using time::Micros;

namespace {

/// Pause after a rental that was of no use; doubled each time.
constexpr Micros kMinPause = from_seconds(60);
constexpr Micros kMaxPause = from_seconds(600);

}  // namespace

bool LayoutBackoff::may_rent(const Workload::Demand& demand, Instant now) const {
  const auto it = attempts_.find(demand.spec.job_id);
  return it == attempts_.end() || now >= it->second.not_before;
}

void LayoutBackoff::record_rental(const Workload::Demand& demand, Instant now, Micros boot_timeout) {
  Attempt& attempt = attempts_[demand.spec.job_id];
  // As short as before: what was rented went to other jobs.
  const bool useless = attempt.tasks > 0 && demand.tasks >= attempt.tasks;
  attempt.pause = useless ? std::clamp(attempt.pause * 2, kMinPause, kMaxPause) : Micros{0};
  attempt.tasks = demand.tasks;
  attempt.not_before = now + boot_timeout + attempt.pause;
  std::erase_if(attempts_, [&](const auto& entry) { return now - entry.second.not_before > kMaxPause; });
}

}  // namespace wrenusher::provisioner
