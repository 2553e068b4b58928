#pragma once
// Urgency of a job: its completion targets, its slack and its rank.

#include <compare>
#include <vector>

#include "wrenusher/placement/plan_types.hpp"

namespace wrenusher::placement {

/// Returns the times by which the job should be finished, counted from its acceptance, in ascending order.
/// They come from the objectives of its class in the settings, or else from its own deadline.
std::vector<Micros> completion_targets(const JobSpec& spec, const std::vector<Objective>& objectives);

/// State of a job relative to its next target.
enum class DeadlineStatus {
  at_risk,   ///< must start within a short time to meet the target
  on_track,  ///< has time, or no target
  missed     ///< can no longer meet any target
};

/// The time for which the start of a job can still be delayed.
struct Slack {
  DeadlineStatus status = DeadlineStatus::on_track;
  Micros time_to_latest_start{};  ///< set while at risk; negative within the grace period
  Micros remaining{};             ///< set in any state, at least 0; `Micros::max()` without a target
};

/// The latest start time at which a job meets one of its targets.
struct StartDeadline {
  WallTime start_by{};
  Micros grace{};  ///< time after `start_by` before the target counts as missed
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const StartDeadline&) const = default;
};

/// All start deadlines of a job, in ascending order. They change only when the job changes.
using StartDeadlines = std::vector<StartDeadline>;
StartDeadlines start_deadlines(const PlanJob& job, const std::vector<Objective>& objectives);

Slack slack(const StartDeadlines& start_deadlines, WallTime now);
Slack slack(const PlanJob& job, WallTime now, const std::vector<Objective>& objectives);

/// Whether the job has waited for its first start longer than the maximum. An overdue job is no longer
/// postponed by load shedding, a missed target or another team's guarantee.
///
/// The first task of an overdue array is served before all jobs except those of priority `prod`, and a place
/// is reserved for it. The array's other tasks are not placed in the same plan.
bool is_overdue(const PlanJob& job, WallTime now);

/// Returns the rank of equation (2) of the paper. The protocol has no successors, so each job is a graph of
/// one task and the maximum over its successors is 0.
Micros rank(const PlanJob& job);

}  // namespace wrenusher::placement
