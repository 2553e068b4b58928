#include "wrenusher/scheduling_cycle/scheduling_cycle.hpp"

#include <utility>

#include "wrenusher/log/log.hpp"
#include "wrenusher/scheduling_cycle/layouts.hpp"
#include "wrenusher/scheduling_cycle/workload.hpp"

namespace wrenusher::scheduling_cycle {

using protocol::Catalog;
using protocol::JobType;
using time::from_millis;
using time::from_seconds;
using time::to_seconds;
using Slot = IndexUpdater::Slot;

namespace {

/// Interval of the plans made without a change, which take approaching deadlines and ended pauses into
/// account.
constexpr Micros kIdlePlanInterval = from_seconds(1);
constexpr Micros kWorkloadInterval = from_millis(500);
constexpr Micros kProgressInterval = from_seconds(1);
constexpr Micros kWaitLogInterval = from_seconds(1);

}  // namespace

void SchedulingCycle::on_capacity(const CapacityChanged& event) {
  if (updater_.set_exhausted_types(event.exhausted)) request_plan();
  starting_ = event.starting;
}

bool SchedulingCycle::due() const {
  return plan_requested_ || jobs_.change_count() != planned_change_count_ ||
         runtime_.now() - last_plan_ > kIdlePlanInterval;
}

SchedulingCycle::Result SchedulingCycle::plan() {
  if (machines_.catalog() == nullptr) return {};
  plan_requested_ = false;
  planned_change_count_ = jobs_.change_count();
  last_plan_ = runtime_.now();
  ++plan_count_;
  updater_.update();
  const placement::Plan plan = updater_.index().plan(planning_context());
  apply(plan);
  Result result;
  result.stops = preemptor_.preempt(plan, updater_);
  result.workload = workload_if_due(plan);
  log_layout_waits_if_due(plan);
  return result;
}

placement::PlanningContext SchedulingCycle::planning_context() const {
  placement::PlanningContext context;
  context.now = runtime_.wall_time();
  context.steady_now = runtime_.now();
  context.settings = &settings_;
  context.team_usage = &jobs_.team_usage();
  const Catalog& catalog = *machines_.catalog();
  for (const auto& [name, count] : starting_) {
    if (const auto machine_type = catalog.find(name); machine_type != catalog.end())
      context.starting_cores.emplace_back(&machine_type->second, machine_type->second.capacity.cores * count);
  }
  return context;
}

// ---------------------------------------------------------------- applying a plan

void SchedulingCycle::apply(const placement::Plan& plan) {
  std::map<Slot, std::uint64_t> attempts;  // tasks of a job that are placed by one plan share an attempt
  for (const placement::Placement& placement : plan.placements) {
    Job& job = updater_.job_at(placement.job);
    // Replacements for lost tasks of a gang share the attempt of its other tasks.
    const bool replaces_lost_tasks = job.spec().type == JobType::gang && !job.assignments.empty();
    const auto [it, first] = attempts.try_emplace(
        placement.job, replaces_lost_tasks ? job.assignments.begin()->second.attempt : job.last_attempt + 1);
    job.incomplete_since = {};
    apply_placement(placement, it->second);
  }
}

void SchedulingCycle::apply_placement(const placement::Placement& placement, std::uint64_t attempt) {
  Job& job = updater_.job_at(placement.job);
  const placement::PlanMachine& host = *updater_.index().machine(placement.machine);
  const placement::PlanJob& plan_job = updater_.index().job(placement.job);
  for (std::uint32_t i = 0; i < placement.tasks; ++i)
    jobs_.assign(job, *job.waiting.first(), updater_.machine_at(placement.machine), attempt,
                 TaskState::assigned);
  log::debug(
      "tasks_placed",
      "job {job} (rank {rank:.1f} s): {tasks} tasks placed on {machine}, expected to finish in {finish:.1f} "
      "s, of which fetching the image takes {fetch:.1f} s",
      log::with("job", job.spec().job_id), log::with("rank", to_seconds(placement::rank(plan_job))),
      log::with("tasks", placement.tasks), log::with("machine", host.name),
      log::with("finish", to_seconds(placement::finish_time(host, plan_job))),
      log::with("fetch", to_seconds(placement::fetch_time(host, job.spec()))));
}

// ---------------------------------------------------------------- reports

std::shared_ptr<const Workload> SchedulingCycle::workload_if_due(const placement::Plan& plan) {
  if (runtime_.now() < next_workload_) return nullptr;
  next_workload_ = runtime_.now() + kWorkloadInterval;
  return make_workload(plan, updater_, machines_, runtime_.wall_time());
}

/// Logs the reason why each job with a layout waits, whenever the reason changes.
void SchedulingCycle::log_layout_waits_if_due(const placement::Plan& plan) {
  if (runtime_.now() < next_wait_log_) return;
  next_wait_log_ = runtime_.now() + kWaitLogInterval;
  for (const placement::Shortage& shortage : plan.shortages) {
    const auto slot = static_cast<Slot>(shortage.job);
    const placement::PlanJob& job = updater_.index().job(slot);
    if (!job.spec->layout) continue;
    const std::string reason = layout_wait_reason(job, updater_.topology());
    if (!updater_.record_wait_reason(slot, reason)) continue;
    log::info("layout_waits", "{tasks} tasks of job {job} wait: {reason}", log::with("tasks", shortage.tasks),
              log::with("job", job.spec->job_id), log::with("reason", reason));
  }
}

std::shared_ptr<const Progress> SchedulingCycle::progress() {
  if (runtime_.now() < next_progress_) return nullptr;
  next_progress_ = runtime_.now() + kProgressInterval;
  auto progress = std::make_shared<Progress>();
  for (const auto& [job_id, job] : jobs_.jobs()) {
    if (job.done.empty() && job.assignments.empty()) continue;
    progress->rows.push_back({job_id, job.done.size(), job.assignments.size()});
  }
  return progress;
}

}  // namespace wrenusher::scheduling_cycle
