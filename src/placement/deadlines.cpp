#include "wrenusher/placement/deadlines.hpp"

#include <algorithm>

namespace wrenusher::placement {

namespace {

/// A job that must start within this time to meet its target is served before the other jobs with the same
/// priority and guarantee status.
constexpr Micros kAtRiskWindow = from_seconds(100);

/// A job that has not started within this time of its acceptance is overdue. Without this bound, the
/// Moore-Hodgson rule would shed the largest job again in every plan for as long as smaller jobs arrive.
constexpr Micros kMaxStartWait = from_seconds(150);

/// The grace period is the run time divided by this number. It allows for the error of the estimates.
constexpr int kGraceDivisor = 8;

}  // namespace

std::vector<Micros> completion_targets(const JobSpec& spec, const std::vector<Objective>& objectives) {
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

StartDeadlines start_deadlines(const PlanJob& job, const std::vector<Objective>& objectives) {
  StartDeadlines out;
  for (const Micros& target : completion_targets(*job.spec, objectives))
    out.push_back({job.accepted_at + target - job.estimate * job.waves, job.estimate / kGraceDivisor});
  // Wait objectives apply only to gangs and services, which start as a whole. An array starts gradually and
  // is measured by its completion.
  for (const Objective& objective : objectives) {
    if (objective.kind == "wait" && objective.job_class == job.spec->job_class &&
        job.spec->type != JobType::array)
      out.push_back({job.accepted_at + objective.within, Micros{0}});
  }
  std::sort(out.begin(), out.end());
  return out;
}

Slack slack(const StartDeadlines& start_deadlines, WallTime now) {
  if (start_deadlines.empty()) return {DeadlineStatus::on_track, {}, Micros::max()};
  for (const StartDeadline& start_deadline : start_deadlines) {
    const Micros left = start_deadline.start_by - now;
    if (left < -start_deadline.grace) continue;
    if (left < kAtRiskWindow) return {DeadlineStatus::at_risk, left, std::max(left, Micros{0})};
    return {DeadlineStatus::on_track, {}, left};
  }
  return {DeadlineStatus::missed, {}, {}};
}

Slack slack(const PlanJob& job, WallTime now, const std::vector<Objective>& objectives) {
  return slack(start_deadlines(job, objectives), now);
}

bool is_overdue(const PlanJob& job, WallTime now) {
  return !job.has_started && now - job.accepted_at > kMaxStartWait;
}

Micros rank(const PlanJob& job) {
  return job.estimate;
}

}  // namespace wrenusher::placement
