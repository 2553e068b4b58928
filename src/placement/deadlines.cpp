#include "wrenusher/placement/deadlines.hpp"

#include <algorithm>

namespace wrenusher::placement {

namespace {

/// A job that must start within this time to meet its target goes before the others of its priority.
constexpr Micros kPressedWindow = from_seconds(100);

/// Every job is to have begun this long after it was accepted. Without a bound the rule of Moore and Hodgson
/// leaves out the largest job again and again, as long as smaller ones come.
constexpr Micros kMaxStartWait = from_seconds(150);

/// Estimates are off, so an aim is given up only once it is missed by this part of the run time.
constexpr int kGraceDivisor = 8;

}  // namespace

std::vector<Micros> targets(const JobSpec& spec, const std::vector<Objective>& objectives) {
  std::vector<Micros> out;
  for (const Objective& objective : objectives) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == "deadline" && spec.deadline)
      out.push_back(from_seconds(to_seconds(*spec.deadline) * objective.deadline_factor));
    if (objective.kind == "finished" && objective.within.count() > 0) out.push_back(objective.within);
  }
  if (out.empty() && spec.deadline) out.push_back(*spec.deadline);
  std::sort(out.begin(), out.end());
  return out;
}

Aims aims(const PlanJob& job, const std::vector<Objective>& objectives) {
  Aims out;
  for (const Micros& target : targets(*job.spec, objectives))
    out.push_back({job.accepted_at + target - job.estimate * job.waves, job.estimate / kGraceDivisor});
  // An array starts bit by bit and counts by its end; what starts as a whole has aims for that as well.
  for (const Objective& objective : objectives) {
    if (objective.kind == "wait" && objective.job_class == job.spec->job_class &&
        job.spec->type != JobType::array)
      out.push_back({job.accepted_at + objective.within, Micros{0}});
  }
  std::sort(out.begin(), out.end());
  return out;
}

Slack slack(const Aims& aims, WallTime now) {
  if (aims.empty()) return {DeadlineStatus::on_track, {}, Micros::max()};
  for (const Aim& aim : aims) {
    const Micros left = aim.start_by - now;
    if (left < -aim.grace) continue;
    if (left < kPressedWindow) return {DeadlineStatus::at_risk, left, std::max(left, Micros{0})};
    return {DeadlineStatus::on_track, {}, left};
  }
  return {DeadlineStatus::missed, {}, {}};
}

Slack slack(const PlanJob& job, WallTime now, const std::vector<Objective>& objectives) {
  return slack(aims(job, objectives), now);
}

bool is_overdue(const PlanJob& job, WallTime now) {
  return !job.has_started && now - job.accepted_at > kMaxStartWait;
}

Micros rank(const PlanJob& job) {
  return job.estimate;
}

}  // namespace wrenusher::placement
