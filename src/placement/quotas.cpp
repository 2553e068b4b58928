#include "wrenusher/placement/quotas.hpp"

#include <algorithm>
#include <limits>

namespace wrenusher::placement {

bool GuaranteeTracker::fits(const JobSpec& spec, std::uint32_t unfinished) {
  const Team* team = settings_.team(spec.team);
  if (team == nullptr) return false;
  Resources& sum = sums_[spec.team];
  sum += spec.resources * unfinished;
  const bool cores = spec.resources.cores == 0 || sum.cores <= to_amount(team->cores);
  const bool gpus = spec.resources.gpus == 0 || sum.gpus <= to_amount(team->gpus);
  return (team->cores > 0 || team->gpus > 0) && cores && gpus;
}

Resources ceiling_left(const Team* team, const Resources& used) {
  // Far above any amount, and far enough below the type's limit that sums do not overflow.
  constexpr Amount kNoLimit = std::numeric_limits<Amount>::max() / 4;
  if (team == nullptr) return {};
  Resources left{kNoLimit, kNoLimit, kNoLimit};
  if (team->cores_max > 0) left.cores = to_amount(team->cores_max) - used.cores;
  if (team->gpus_max > 0) left.gpus = to_amount(team->gpus_max) - used.gpus;
  return left;
}

std::uint32_t max_concurrent(const Resources& need, const Resources& ceiling, std::uint32_t limit) {
  Amount n = limit;
  if (need.cores > 0 && ceiling.cores > 0) n = std::min(n, ceiling.cores / need.cores);
  if (need.gpus > 0 && ceiling.gpus > 0) n = std::min(n, ceiling.gpus / need.gpus);
  return static_cast<std::uint32_t>(std::max<Amount>(n, 1));
}

}  // namespace wrenusher::placement
