// Tracks the live jobs and their run time estimates, and keeps the machines in the placement index up to
// date. The index's entries for jobs with waiting tasks are kept up to date in waiting_jobs.cpp.
#include "wrenusher/scheduling_cycle/index_updater.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace wrenusher::scheduling_cycle {

using protocol::JobSpec;
using protocol::JobType;
using protocol::MachineType;

namespace {

/// A new estimate is adopted if it differs from the old one by more than 1/kEstimateChangeDivisor of it.
constexpr int kEstimateChangeDivisor = 32;
/// A task that runs longer than estimated is assumed to need another 1/kOverrunDivisor of the estimate.
constexpr int kOverrunDivisor = 10;

}  // namespace

void IndexUpdater::update() {
  rebuild_if_outdated();
  update_jobs();
  update_machines();
  update_reserved_types();
  update_waiting_jobs();
}

bool IndexUpdater::set_exhausted_types(std::set<std::string> types) {
  const bool changed = types != exhausted_types_;
  if (changed) ++type_state_version_;
  exhausted_types_ = std::move(types);
  return changed;
}

bool IndexUpdater::record_wait_reason(Slot slot, const std::string& reason) {
  JobState& state = job_states_.at(job_at(slot).id);
  if (state.wait_reason == reason) return false;
  state.wait_reason = reason;
  return true;
}

// ---------------------------------------------------------------- jobs and their estimates

bool IndexUpdater::accepted_before(const LiveJob& a, const LiveJob& b) {
  return a.job->record.accepted_at != b.job->record.accepted_at
             ? a.job->record.accepted_at < b.job->record.accepted_at
             : a.job->spec().job_id < b.job->spec().job_id;
}

/// Rebuilds the index after a new term began or the machine types or the topology changed. Each of these
/// events makes all entries of the index invalid.
void IndexUpdater::rebuild_if_outdated() {
  if (generation_ == machines_.generation()) return;
  generation_ = machines_.generation();
  topology_ = machines_.topology();
  index_.clear();
  job_states_.clear();
  jobs_by_age_.clear();
  job_by_slot_.clear();
  machine_by_slot_.clear();
  full_machines_.clear();
  jobs_.take_job_changes();
  for (auto& [job_id, job] : jobs_.jobs()) jobs_by_age_.push_back(track_job(job));
  std::sort(jobs_by_age_.begin(), jobs_by_age_.end(), accepted_before);
  machines_.take_freed_slots();
  for (auto& [host, machine] : machines_.all()) {
    machine.slot = Machine::kNoSlot;
    machines_.mark_changed(machine);
  }
  ++type_state_version_;
}

/// Adds the state for a job that has none yet.
IndexUpdater::LiveJob IndexUpdater::track_job(Job& job) {
  JobState& state = job_states_[job.id];
  state.fitting_types = placement::fitting_machine_types(job.spec(), *machines_.catalog());
  return {&job, &state};
}

void IndexUpdater::update_jobs() {
  const JobTable::JobChanges changes = jobs_.take_job_changes();
  for (const std::uint64_t id : changes.removed) {
    const auto it = job_states_.find(id);
    if (it == job_states_.end()) continue;
    std::erase_if(jobs_by_age_, [&](const LiveJob& live) { return live.state == &it->second; });
    remove_from_index(it->second);
    job_states_.erase(it);
  }
  for (const std::string& job_id : changes.added) {
    Job* job = jobs_.find(job_id);
    if (job == nullptr || job_states_.contains(job->id)) continue;
    const LiveJob live = track_job(*job);
    jobs_by_age_.insert(std::upper_bound(jobs_by_age_.begin(), jobs_by_age_.end(), live, accepted_before),
                        live);
  }
  for (const LiveJob& live : jobs_by_age_) update_estimate(*live.job, *live.state);
}

/// Updates the job's estimate. Small changes are ignored: otherwise each task that ends would move the
/// expected ends of all tasks of its class, by less than the error of the estimates.
void IndexUpdater::update_estimate(const Job& job, JobState& state) {
  const std::uint64_t version = estimator_.version(job.spec().job_class);
  if (state.estimate_version == version) return;
  state.estimate_version = version;
  const Micros estimate = estimator_.estimate(job.spec());
  if (state.estimate.count() > 0 &&
      std::chrono::abs(estimate - state.estimate) <= state.estimate / kEstimateChangeDivisor)
    return;
  state.estimate = estimate;
  state.inputs.change_count = kNoVersion;
  for (const auto& [task, assignment] : job.assignments) machines_.mark_changed(*assignment.machine);
}

// ---------------------------------------------------------------- machines

void IndexUpdater::update_machines() {
  for (const std::uint32_t slot : machines_.take_freed_slots()) index_.drop_machine(slot);
  const Instant now = runtime_.now();
  std::erase_if(full_machines_, [&](const FullMachine& full) {
    if (full.until > now) return false;
    if (Machine* machine = machines_.find(full.host)) machines_.mark_changed(*machine);
    return true;
  });
  for (Machine* machine : machines_.take_changed()) update_machine(*machine);
  for (Machine* machine : machines_.fetching()) {
    machines_.advance_fetches(*machine);
    if (machine->slot != Machine::kNoSlot)
      index_.set_fetches(machine->slot, MachineInventory::fetches_of(*machine));
  }
}

void IndexUpdater::update_machine(Machine& machine) {
  const MachineType* machine_type = machines_.type_of(machine);
  if (!machine.schedulable() || machine_type == nullptr) {
    if (machine.slot != Machine::kNoSlot) index_.drop_machine(machine.slot);
    machine.slot = Machine::kNoSlot;
    return;
  }
  if (machine.slot == Machine::kNoSlot) {
    machine.slot = index_.new_machine();
    if (machine_by_slot_.size() <= machine.slot) machine_by_slot_.resize(machine.slot + 1);
    machine_by_slot_[machine.slot] = &machine;
  }
  machines_.advance_fetches(machine);
  const bool full = runtime_.now() < machine.full_until;
  if (full) full_machines_.push_back({machine.full_until, machine.name});
  const protocol::Amount cores_for_tasks =
      machine_type->capacity.cores - placement::core_equivalents(machine.use.service_load, *machine_type);
  index_.set_machine(machine.slot, machines_.to_plan_machine(machine, *machine_type), ending_tasks(machine),
                     cores_for_tasks, !full);
}

/// Returns the tasks on the machine that will end and free their capacity. Replicas of services are left out
/// since they never end, and recovered assignments since their tasks may not exist.
std::vector<placement::EndingTask> IndexUpdater::ending_tasks(const Machine& machine) const {
  std::vector<placement::EndingTask> out;
  const job_table::MachineAssignments& assigned = jobs_.assignments_on(machine);
  out.reserve(assigned.size());
  for (const auto& [key, job] : assigned) {
    const auto& [job_number, task] = key;
    const JobSpec& spec = job->spec();
    const TaskAssignment& assignment = job->assignments.at(task);
    if (spec.type == JobType::service || assignment.state == TaskState::recovered) continue;
    const auto state = job_states_.find(job->id);
    const Micros estimate = state == job_states_.end() ? estimator_.estimate(spec) : state->second.estimate;
    placement::EndingTask ending{spec.resources, std::nullopt, estimate,
                                 assignment.counted_as_fetching ? &spec : nullptr};
    if (assignment.stopping) {
      ending.min_remaining = assignment.grace_period;
    } else if (assignment.state == TaskState::running) {
      ending.ends_at = assignment.running_since + estimate;
      ending.min_remaining = estimate / kOverrunDivisor;
    }
    out.push_back(ending);
  }
  return out;
}

// ---------------------------------------------------------------- self-check

std::string IndexUpdater::disagreement() const {
  if (generation_ != machines_.generation()) return {};
  for (const auto& [host, machine] : machines_.all()) {
    if (machine.changed) continue;
    if (std::string difference = machine_disagreement(machine); !difference.empty()) return difference;
  }
  return {};
}

std::string IndexUpdater::machine_disagreement(const Machine& machine) const {
  const MachineType* machine_type = machines_.type_of(machine);
  const bool should_have_slot = machine.schedulable() && machine_type != nullptr;
  if (should_have_slot != (machine.slot != Machine::kNoSlot))
    return "machine " + machine.name +
           " has a slot in the placement index but should not, or has none but should";
  if (!should_have_slot) return {};
  const placement::PlanMachine* entry = index_.machine(machine.slot);
  if (entry == nullptr) return "machine " + machine.name + " is not in the placement index";
  placement::PlanMachine expected = machines_.to_plan_machine(machine, *machine_type);
  expected.fetches = entry->fetches;  // fetches advance between plans
  if (!(expected == *entry) || entry->fetches.size() != machine.fetches.size())
    return "machine " + machine.name + " differs from its entry in the placement index";
  if (ending_tasks(machine) != index_.ending_tasks(machine.slot))
    return "the ending tasks of machine " + machine.name + " differ from the placement index";
  return {};
}

}  // namespace wrenusher::scheduling_cycle
