#pragma once
// What teams are guaranteed, and how much they may use at most.

#include <map>
#include <string>

#include "wrenusher/placement/plan_types.hpp"

namespace wrenusher::placement {

/// Tells of one job after the other, in the order of their acceptance, which fit into their team's guarantee
/// together with the team's earlier ones: they need not wait for other teams. A job that does not fit as a
/// whole does not go first. `settings` must outlive it.
class GuaranteeTracker {
 public:
  explicit GuaranteeTracker(const Settings& settings) : settings_(settings) {}
  /// Counts the job's unfinished tasks; to be called once for each job.
  [[nodiscard]] bool fits(const JobSpec& spec, std::uint32_t unfinished);

 private:
  const Settings& settings_;
  std::map<std::string, Resources> sums_;  ///< by team
};

/// What is left of a team's ceiling; nothing for a team that is not known (null).
Resources ceiling_left(const Team* team, const Resources& used);

/// How many tasks of a need a team's ceiling allows at once, at least one and at most `limit`; a ceiling of 0
/// is none.
std::uint32_t max_concurrent(const Resources& need, const Resources& ceiling, std::uint32_t limit);

}  // namespace wrenusher::placement
