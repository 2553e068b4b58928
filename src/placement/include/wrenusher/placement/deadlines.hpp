#pragma once
// How urgent a job is: its targets, the slack that is left, and its rank.

#include <compare>
#include <vector>

#include "wrenusher/placement/plan_types.hpp"

namespace wrenusher::placement {

/// The times by which the job should be over, from its acceptance and in rising order: the objectives of its
/// class in the settings, or its own deadline.
std::vector<Micros> targets(const JobSpec& spec, const std::vector<Objective>& objectives);

/// How a job stands against its next target.
enum class DeadlineStatus {
  at_risk,   ///< must start soon to meet it
  on_track,  ///< has time, or no target
  missed     ///< can meet none any more
};

/// How long a job may still wait for its start.
struct Slack {
  DeadlineStatus status = DeadlineStatus::on_track;
  Micros time_to_latest_start{};  ///< while pressed; negative within the target's grace
  Micros remaining{};             ///< pressed or not, at least 0; the longest time there is without a target
};

/// The latest start with which a job meets one of its targets.
struct Aim {
  WallTime start_by{};
  Micros grace{};  ///< how long after `start_by` it is not given up yet
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const Aim&) const = default;
};

/// All aims of a job, in rising order. They change only with the job.
using Aims = std::vector<Aim>;
Aims aims(const PlanJob& job, const std::vector<Objective>& objectives);

Slack slack(const Aims& aims, WallTime now);
Slack slack(const PlanJob& job, WallTime now, const std::vector<Objective>& objectives);

/// Whether the job has waited so long for its first task that nothing may put it off any more: neither
/// overload, nor a lost aim, nor another's guarantee. Of an array the first task then goes before all but
/// priority `prod`, a place is reserved for it, and no more of it is placed at once.
bool is_overdue(const PlanJob& job, WallTime now);

/// Equation (2) of the paper. The protocol names no successors, so each job is a graph of one task and the
/// maximum over its successors is 0.
Micros rank(const PlanJob& job);

}  // namespace wrenusher::placement
