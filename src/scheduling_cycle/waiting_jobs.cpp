// Decides which waiting jobs have an entry in the placement index, and with what restrictions.
#include <algorithm>
#include <utility>

#include "wrenusher/scheduling_cycle/index_updater.hpp"
#include "wrenusher/scheduling_cycle/layouts.hpp"

namespace wrenusher::scheduling_cycle {

using protocol::JobSpec;
using protocol::JobType;
using protocol::Priority;
using protocol::Resources;
using protocol::to_amount;
using settings::Team;
using time::from_seconds;

namespace {

/// Time for which a service is placed only on machines that have its image, and the length of the following
/// period, in which the service is placed on any machine.
constexpr Micros kNearImageWait = from_seconds(6);
constexpr Micros kNearImagePause = from_seconds(30);
/// A gang that lost a task before its start begins a new attempt if the task is not replaced within this
/// time.
constexpr Micros kGangReplacementWindow = from_seconds(8);

/// Returns whether the job would be late if it waited for a new machine to boot, which takes
/// `reserved_type_wait`. Such a job uses the machines that are available now.
bool too_late_to_wait(const placement::Slack& slack, Micros reserved_type_wait) {
  return slack.status == placement::DeadlineStatus::at_risk &&
         slack.time_to_latest_start < reserved_type_wait * 5 / 4;
}

}  // namespace

void IndexUpdater::update_reserved_types() {
  const Instant now = runtime_.now();
  for (const LiveJob& live : jobs_by_age_) {
    if (live.state->fitting_types.size() != 1 || live.job->record.cancelled || live.job->waiting.empty())
      continue;
    reserved_types_.reserve(*live.state->fitting_types.begin(), now);
  }
  if (reserved_types_.refresh(now)) ++type_state_version_;
}

void IndexUpdater::update_waiting_jobs() {
  const WallTime now = runtime_.wall_time();
  placement::GuaranteeTracker guarantees(settings_);
  std::set<std::string> wanted_devices;
  for (const LiveJob& live : jobs_by_age_) {
    Job& job = *live.job;
    JobState& state = *live.state;
    if (job.record.cancelled) {
      remove_from_index(state);
      continue;
    }
    // Evaluated for every job in order of acceptance, since a job's usage counts against the guarantee for
    // the later jobs of its team.
    const bool guaranteed = guarantees.fits(job.spec(), job.spec().task_count - job.done.size());
    if (!may_start(job)) {
      remove_from_index(state);
      continue;
    }
    for (const auto& [name, count] : job.spec().devices()) wanted_devices.insert(name);
    update_job_types(state);
    const EntryInputs inputs = entry_inputs(job, state, guaranteed, now);
    if (state.in_index && !state.location_unknown && state.inputs == inputs) continue;
    state.inputs = inputs;
    update_index_entry(job, state);
  }
  // From the next cycle on, machines with these devices are kept free for the jobs that need them.
  machines_.set_wanted_devices(std::move(wanted_devices));
}

/// Returns whether the job has waiting tasks that may be placed now. None may be placed while a job that
/// fails on every machine is paused.
bool IndexUpdater::may_start(Job& job) {
  return !job.waiting.empty() && runtime_.now() >= job.not_before && gang_may_start(job);
}

/// Returns whether waiting tasks of a gang may be placed now. A gang starts as a whole. Lost tasks are
/// replaced as long as all other tasks still wait for the start; otherwise the gang starts again once all of
/// its tasks are off their machines.
bool IndexUpdater::gang_may_start(Job& job) {
  if (job.spec().type != JobType::gang || job.assignments.empty()) return true;
  const Instant now = runtime_.now();
  if (job.incomplete_since == Instant{}) job.incomplete_since = now;  // was incomplete at failover
  // If a task was lost after the gang's start, or was not replaced in time, the attempt is aborted, since its
  // remaining tasks occupy capacity for nothing.
  if (!job.attempt_failed &&
      (job.gang_started ||
       now - job.incomplete_since > std::min(kGangReplacementWindow, settings_.gang_start_timeout / 2)))
    jobs_.abort_gang_attempt(job);
  return JobTable::can_replace_lost_tasks(job);
}

/// Updates the job's reserved types and its wait for other types after a change of the reserved or exhausted
/// types.
void IndexUpdater::update_job_types(JobState& state) const {
  if (state.inputs.type_state_version == type_state_version_) return;
  state.reserved_types.clear();
  state.reserved_type_wait = Micros{0};
  for (const std::string& name : state.fitting_types) {
    if (reserved_types_.contains(name)) {
      state.reserved_types.insert(name);
    } else if (!exhausted_types_.contains(name)) {
      state.reserved_type_wait = std::max(state.reserved_type_wait, machines_.catalog()->at(name).boot_time);
    }
  }
}

IndexUpdater::EntryInputs IndexUpdater::entry_inputs(Job& job, const JobState& state, bool guaranteed,
                                                     WallTime now) {
  EntryInputs inputs;
  inputs.change_count = job.change_count;
  inputs.type_state_version = type_state_version_;
  inputs.guaranteed = guaranteed;
  inputs.avoids_reserved_types =
      now - job.record.accepted_at < state.reserved_type_wait && !state.reserved_types.empty();
  inputs.near_image = expects_image(job) || should_wait_near_image(job);
  if (inputs.avoids_reserved_types && state.in_index)
    inputs.deadline_at_risk =
        too_late_to_wait(index_.deadline_slack(state.slot, now), state.reserved_type_wait);
  return inputs;
}

void IndexUpdater::update_index_entry(Job& job, JobState& state) {
  placement::PlanJob plan_job = to_plan_job(job, state);
  exclude_reserved_types(plan_job, state);
  state.location_unknown = !fill_zones(job, plan_job) || !fill_layout(job, topology_, plan_job);
  if (state.location_unknown) {
    remove_from_index(state);
    return;
  }
  if (!state.in_index) {
    state.slot = index_.new_job();
    state.in_index = true;
    if (job_by_slot_.size() <= state.slot) job_by_slot_.resize(state.slot + 1);
    job_by_slot_[state.slot] = &job;
  }
  index_.set_job(state.slot, std::move(plan_job), settings_.objectives);
}

placement::PlanJob IndexUpdater::to_plan_job(const Job& job, const JobState& state) const {
  const JobSpec& spec = job.spec();
  placement::PlanJob plan_job;
  plan_job.spec = &spec;
  plan_job.waiting = job.waiting.size();
  plan_job.estimate = state.estimate;
  if (const Team* team = settings_.team(spec.team); team != nullptr && spec.type == JobType::array) {
    const Resources team_limit{to_amount(team->cores_max), to_amount(team->gpus_max), 0};
    const std::uint32_t max_concurrent_tasks =
        placement::max_concurrent(spec.resources, team_limit, plan_job.waiting);
    plan_job.waves = std::max(1U, (plan_job.waiting + max_concurrent_tasks - 1) / max_concurrent_tasks);
  }
  plan_job.accepted_at = job.record.accepted_at;
  plan_job.has_started = plan_job.waiting < spec.task_count;
  plan_job.requires_image_locality = state.inputs.near_image;
  plan_job.guaranteed = state.inputs.guaranteed;
  plan_job.avoided_machines = &job.avoided_machines;
  return plan_job;
}

/// Excludes the reserved machine types from the job's placement while the job waits for other types, unless
/// it would be late. No machines of reserved types are rented for it in either case.
void IndexUpdater::exclude_reserved_types(placement::PlanJob& plan_job, JobState& state) const {
  if (!state.inputs.avoids_reserved_types) return;
  plan_job.excluded_types = plan_job.unrentable_types = state.reserved_types;
  if (!state.in_index)
    state.inputs.deadline_at_risk = too_late_to_wait(
        placement::slack(plan_job, runtime_.wall_time(), settings_.objectives), state.reserved_type_wait);
  if (state.inputs.deadline_at_risk) plan_job.excluded_types.clear();
}

void IndexUpdater::remove_from_index(JobState& state) {
  if (state.in_index) index_.drop_job(state.slot);
  state.in_index = false;
}

bool IndexUpdater::expects_image(const Job& job) const {
  return expected_images_ != nullptr && runtime_.now() < expected_until_ &&
         expected_images_->contains(job.spec().image);
}

/// Returns whether a waiting service should be placed only on machines that have its image. This is so for a
/// few seconds if a machine with the image runs tasks that may be preempted, since fetching the image on
/// another machine can take minutes.
bool IndexUpdater::should_wait_near_image(Job& job) const {
  const JobSpec& spec = job.spec();
  if (spec.type != JobType::service || spec.priority != Priority::prod) return false;
  const Instant now = runtime_.now();
  if (now < job.near_image_until) return true;
  if (now < job.near_image_until + kNearImagePause && job.near_image_until != Instant{}) return false;
  const std::vector<Slot> slots = index_.machines_with_image(spec.image);
  const bool found = std::any_of(slots.begin(), slots.end(),
                                 [&](Slot slot) { return could_make_room(machine_at(slot), spec); });
  if (found) job.near_image_until = now + kNearImageWait;
  return found;
}

/// Returns whether the machine has the job's image, or more than half of it, and runs tasks that may be
/// preempted.
bool IndexUpdater::could_make_room(const Machine& machine, const JobSpec& spec) const {
  if (machine.use.assignments == machine.use.services ||
      !spec.allows(machine.machine_type, machine.zone, machine.spot))
    return false;
  const auto fetch = machine.fetches.find(spec.image);
  return fetch == machine.fetches.end() ? machine.images.contains(spec.image)
                                        : fetch->second.remaining_gb * 2 < fetch->second.size_gb;
}

}  // namespace wrenusher::scheduling_cycle
