// Which waiting jobs stand in the placement index, and with what restrictions.
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

/// A service waits this long for room where its image is, and after that takes any machine for the pause.
constexpr Micros kNearImageWait = from_seconds(6);
constexpr Micros kNearImagePause = from_seconds(30);
/// A gang that lost a task before its start is completed within this time or begins a new attempt.
constexpr Micros kGangCompletionWindow = from_seconds(8);

/// Whether the job would be late by the time a new machine has booted, so that it takes what is there now.
bool too_late(const placement::Slack& slack, Micros patience) {
  return slack.status == placement::DeadlineStatus::at_risk && slack.time_to_latest_start < patience * 5 / 4;
}

}  // namespace

void IndexUpdater::update_reserved_types() {
  const Instant now = runtime_.now();
  for (const LiveJob& live : jobs_by_age_) {
    if (live.state->fitting_types.size() != 1 || live.job->record.cancelled || live.job->waiting.empty())
      continue;
    reserved_types_.request(*live.state->fitting_types.begin(), now);
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
    // Asked for every job, in the order of acceptance: what a job uses counts against later ones of its team.
    const bool guaranteed = guarantees.fits(job.spec(), job.spec().task_count - job.done.size());
    if (!may_start(job)) {
      remove_from_index(state);
      continue;
    }
    for (const auto& [name, count] : job.spec().devices()) wanted_devices.insert(name);
    update_type_state(state);
    const EntryBasis basis = entry_basis(job, state, guaranteed, now);
    if (state.on_index && !state.unlocated && state.basis == basis) continue;
    state.basis = basis;
    place_on_index(job, state);
  }
  // Machines with these devices are kept free of other work from the next cycle on.
  machines_.set_wanted_devices(std::move(wanted_devices));
}

/// Whether tasks of the job wait that may be placed now. A job that fails everywhere pauses.
bool IndexUpdater::may_start(Job& job) {
  return !job.waiting.empty() && runtime_.now() >= job.not_before && gang_may_start(job);
}

/// A gang starts as a whole, or is completed while all the rest of it waits for its start; otherwise it
/// starts again once all of its tasks are off their machines.
bool IndexUpdater::gang_may_start(Job& job) {
  if (job.spec().type != JobType::gang || job.assignments.empty()) return true;
  const Instant now = runtime_.now();
  if (job.incomplete_since == Instant{}) job.incomplete_since = now;  // found incomplete at failover
  // Once it has started, or no machine can be had in time, the tasks that wait hold capacity for nothing.
  if (!job.attempt_broken &&
      (job.gang_started ||
       now - job.incomplete_since > std::min(kGangCompletionWindow, settings_.gang_start_timeout / 2)))
    jobs_.break_gang(job);
  return JobTable::can_complete_gang(job);
}

/// Follows changes of which types are reserved or exhausted.
void IndexUpdater::update_type_state(JobState& state) const {
  if (state.basis.type_state_version == type_state_version_) return;
  state.reserved_types.clear();
  state.patience = Micros{0};
  for (const std::string& name : state.fitting_types) {
    if (reserved_types_.contains(name)) {
      state.reserved_types.insert(name);
    } else if (!exhausted_types_.contains(name)) {
      state.patience = std::max(state.patience, machines_.catalog()->at(name).boot_time);
    }
  }
}

IndexUpdater::EntryBasis IndexUpdater::entry_basis(Job& job, const JobState& state, bool guaranteed,
                                                   WallTime now) {
  EntryBasis basis;
  basis.change_count = job.change_count;
  basis.type_state_version = type_state_version_;
  basis.guaranteed = guaranteed;
  basis.patient = now - job.record.accepted_at < state.patience && !state.reserved_types.empty();
  basis.near_image = expects_image(job) || wait_near_image(job);
  if (basis.patient && state.on_index)
    basis.pressed = too_late(index_.deadline_slack(state.slot, now), state.patience);
  return basis;
}

void IndexUpdater::place_on_index(Job& job, JobState& state) {
  placement::PlanJob plan_job = to_plan_job(job, state);
  apply_patience(plan_job, state);
  state.unlocated = !fill_zones(job, plan_job) || !fill_layout(job, topology_, plan_job);
  if (state.unlocated) {
    remove_from_index(state);
    return;
  }
  if (!state.on_index) {
    state.slot = index_.new_job();
    state.on_index = true;
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
    const Resources ceiling{to_amount(team->cores_max), to_amount(team->gpus_max), 0};
    const std::uint32_t at_once = placement::max_concurrent(spec.resources, ceiling, plan_job.waiting);
    plan_job.waves = std::max(1U, (plan_job.waiting + at_once - 1) / at_once);
  }
  plan_job.accepted_at = job.record.accepted_at;
  plan_job.has_started = plan_job.waiting < spec.task_count;
  plan_job.requires_image_locality = state.basis.near_image;
  plan_job.guaranteed = state.basis.guaranteed;
  plan_job.avoided_machines = &job.avoided_machines;
  return plan_job;
}

/// A patient job keeps off the machine types that others cannot do without, unless it would be late.
void IndexUpdater::apply_patience(placement::PlanJob& plan_job, JobState& state) const {
  if (!state.basis.patient) return;
  plan_job.excluded_types = plan_job.unrentable_types = state.reserved_types;
  if (!state.on_index)
    state.basis.pressed =
        too_late(placement::slack(plan_job, runtime_.wall_time(), settings_.objectives), state.patience);
  if (state.basis.pressed) plan_job.excluded_types.clear();
}

void IndexUpdater::remove_from_index(JobState& state) {
  if (state.on_index) index_.drop_job(state.slot);
  state.on_index = false;
}

bool IndexUpdater::expects_image(const Job& job) const {
  return expected_images_ != nullptr && runtime_.now() < expected_until_ &&
         expected_images_->contains(job.spec().image);
}

/// Whether a service that waits should be placed only where its image is: for a few seconds, if there is such
/// a machine with other work on it that may be stopped. Fetching the image elsewhere can take minutes.
bool IndexUpdater::wait_near_image(Job& job) const {
  const JobSpec& spec = job.spec();
  if (spec.type != JobType::service || spec.priority != Priority::prod) return false;
  const Instant now = runtime_.now();
  if (now < job.near_image_until) return true;
  if (now < job.near_image_until + kNearImagePause && job.near_image_until != Instant{}) return false;
  const std::vector<Slot> holders = index_.machines_with_image(spec.image);
  const bool found = std::any_of(holders.begin(), holders.end(),
                                 [&](Slot slot) { return could_make_room(machine_at(slot), spec); });
  if (found) job.near_image_until = now + kNearImageWait;
  return found;
}

/// Whether the machine holds the job's image, or more than half of it, and runs work that may be stopped.
bool IndexUpdater::could_make_room(const Machine& machine, const JobSpec& spec) const {
  if (machine.use.assignments == machine.use.services ||
      !spec.allows(machine.machine_type, machine.zone, machine.spot))
    return false;
  const auto fetch = machine.fetches.find(spec.image);
  return fetch == machine.fetches.end() ? machine.images.contains(spec.image)
                                        : fetch->second.remaining_gb * 2 < fetch->second.size_gb;
}

}  // namespace wrenusher::scheduling_cycle
