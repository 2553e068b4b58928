#pragma once
// Guarantees and ceilings of teams.

#include <map>
#include <string>

#include "wrenusher/placement/plan_types.hpp"

namespace wrenusher::placement {

/// Determines which jobs fit into their team's guarantee together with the team's earlier jobs. Such jobs do
/// not wait for other teams. A job that does not fit as a whole has no precedence over jobs of other teams.
/// Jobs must be passed in the order of their acceptance; `settings` must outlive the object.
class GuaranteeTracker {
 public:
  explicit GuaranteeTracker(const Settings& settings) : settings_(settings) {}
  /// Adds the job's unfinished tasks to its team's demand and returns whether that fits. Call it once for
  /// each job.
  [[nodiscard]] bool fits(const JobSpec& spec, std::uint32_t unfinished);

 private:
  const Settings& settings_;
  std::map<std::string, Resources> demand_by_team_;
};

/// Returns the unused part of a team's ceiling; zero for an unknown team (null).
Resources remaining_ceiling(const Team* team, const Resources& used);

/// Returns how many tasks with this need a ceiling allows at once, at least one and at most `limit`. A
/// ceiling of 0 means no limit.
std::uint32_t max_concurrent(const Resources& need, const Resources& ceiling, std::uint32_t limit);

}  // namespace wrenusher::placement
