#include "wrenusher/placement/quotas.hpp"

#include <algorithm>
#include <limits>

namespace wrenusher::placement {

bool GuaranteeTracker::fits(const JobSpec& spec, std::uint32_t unfinished) {
  const Team* team = settings_.team(spec.team);
  if (team == nullptr) return false;
  Resources& demand = demand_by_team_[spec.team];
  demand += spec.resources * unfinished;
  const bool cores_fit = spec.resources.cores == 0 || demand.cores <= to_amount(team->cores);
  const bool gpus_fit = spec.resources.gpus == 0 || demand.gpus <= to_amount(team->gpus);
  return (team->cores > 0 || team->gpus > 0) && cores_fit && gpus_fit;
}

Resources remaining_ceiling(const Team* team, const Resources& used) {
  // Far above any real amount, but low enough that sums do not overflow.
  constexpr Amount kNoLimit = std::numeric_limits<Amount>::max() / 4;
  if (team == nullptr) return {};
  Resources remaining{kNoLimit, kNoLimit, kNoLimit};
  if (team->cores_max > 0) remaining.cores = to_amount(team->cores_max) - used.cores;
  if (team->gpus_max > 0) remaining.gpus = to_amount(team->gpus_max) - used.gpus;
  return remaining;
}

std::uint32_t max_concurrent(const Resources& need, const Resources& ceiling, std::uint32_t limit) {
  Amount tasks = limit;
  if (need.cores > 0 && ceiling.cores > 0) tasks = std::min(tasks, ceiling.cores / need.cores);
  if (need.gpus > 0 && ceiling.gpus > 0) tasks = std::min(tasks, ceiling.gpus / need.gpus);
  return static_cast<std::uint32_t>(std::max<Amount>(tasks, 1));
}

}  // namespace wrenusher::placement
