#include "wrenusher/scheduling_cycle/scheduling_cycle.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::scheduling_cycle {

namespace {

/// An urgent job that must start within this time to meet its aim may have others stopped.
constexpr Micros kLatestStartMargin = from_seconds(15);
constexpr Micros kPreemptInterval = from_seconds(1);
/// A service waits so long for room where its image is, and then takes any for a while.
constexpr Micros kNearImageWait = from_seconds(6);
constexpr Micros kNearImagePause = from_seconds(30);
/// Planning without news: aims come nearer and pauses end.
constexpr Micros kIdlePlanInterval = from_seconds(1);
constexpr Micros kWorkloadInterval = from_millis(500);
constexpr Micros kProgressInterval = from_seconds(1);
/// A type that some job could not do without is kept for such jobs this long after the last one was seen.
constexpr Micros kReservedTypeMemory = from_seconds(300);
/// An estimate is followed once it has moved by more than one part in so many.
constexpr int kEstimateStep = 32;
constexpr Micros kWaitLogInterval = from_seconds(1);
/// A gang that lost a task before its start is completed within this time or begins anew.
constexpr Micros kGangCompletionWindow = from_seconds(8);

/// A job that would be late by the time a new machine has come takes what is there now.
bool too_late(const placement::Slack& slack, Micros patience) {
  return slack.status == placement::DeadlineStatus::pressed && slack.pressed_for < patience * 5 / 4;
}

}  // namespace

void SchedulingCycle::on_capacity(const CapacityChanged& event) {
  if (event.exhausted != exhausted_) {
    request_plan();
    ++type_state_version_;
  }
  exhausted_ = event.exhausted;
  starting_ = event.starting;
}

bool SchedulingCycle::due() const {
  return plan_requested_ || book_.change_count() != change_count_seen_ ||
         runtime_.now() - last_plan_ > kIdlePlanInterval;
}

SchedulingCycle::Result SchedulingCycle::plan() {
  if (machines_.catalog() == nullptr) return {};
  plan_requested_ = false;
  change_count_seen_ = book_.change_count();
  last_plan_ = runtime_.now();
  ++plan_count_;
  sync_jobs();
  update_jobs();
  update_machines();
  update_reserved_types();
  update_waiting();
  const placement::Plan plan = index_.plan(planning_context());
  apply(plan);
  Result result;
  const std::vector<placement::Shortage> pressing = urgent_shortages(plan);
  if (!pressing.empty() && runtime_.now() - last_preempt_ > kPreemptInterval)
    preempt_for(pressing, result.stops);
  result.workload = workload(plan);
  log_layout_waits(plan);
  return result;
}

placement::PlanningContext SchedulingCycle::planning_context() const {
  placement::PlanningContext context;
  context.now = runtime_.wall_time();
  context.instant = runtime_.now();
  context.settings = &settings_;
  context.team_usage = &book_.teams();
  const Catalog& catalog = *machines_.catalog();
  for (const auto& [name, n] : starting_) {
    if (const auto machine_type = catalog.find(name); machine_type != catalog.end())
      context.starting_cores.emplace_back(&machine_type->second, machine_type->second.capacity.cores * n);
  }
  return context;
}

// ---------------------------------------------------------------- keeping the board up

bool SchedulingCycle::accepted_before(const LiveJob& a, const LiveJob& b) {
  return a.job->record.accepted_at != b.job->record.accepted_at
             ? a.job->record.accepted_at < b.job->record.accepted_at
             : a.job->spec().job_id < b.job->spec().job_id;
}

/// A new term, other types or another topology void all that stands on the board.
void SchedulingCycle::sync_jobs() {
  if (generation_ == machines_.generation()) return;
  generation_ = machines_.generation();
  topology_ = machines_.topology();
  index_.clear();
  job_states_.clear();
  jobs_by_age_.clear();
  job_by_slot_.clear();
  machine_by_slot_.clear();
  full_machines_.clear();
  book_.take_job_changes();
  for (auto& [ref, job] : book_.jobs()) jobs_by_age_.push_back(track_job(job));
  std::sort(jobs_by_age_.begin(), jobs_by_age_.end(), accepted_before);
  machines_.take_freed_slots();
  for (auto& [name, m] : machines_.all()) {
    m.slot = Machine::kNoSlot;
    machines_.mark_changed(m);
  }
  ++type_state_version_;
}

/// A job that is not known here yet.
SchedulingCycle::LiveJob SchedulingCycle::track_job(Job& job) {
  JobState& state = job_states_[job.id];
  state.fitting_types = placement::fitting_machine_types(job.spec(), *machines_.catalog());
  return {&job, &state};
}

/// Which jobs there are, and what their tasks are estimated to take.
void SchedulingCycle::update_jobs() {
  const JobTable::JobChanges population = book_.take_job_changes();
  for (const std::uint64_t id : population.removed) {
    const auto it = job_states_.find(id);
    if (it == job_states_.end()) continue;
    std::erase_if(jobs_by_age_, [&](const LiveJob& live) { return live.state == &it->second; });
    remove_from_index(it->second);
    job_states_.erase(it);
  }
  for (const std::string& job_id : population.added) {
    Job* job = book_.find(job_id);
    if (job == nullptr || job_states_.contains(job->id)) continue;
    const LiveJob live = track_job(*job);
    jobs_by_age_.insert(std::upper_bound(jobs_by_age_.begin(), jobs_by_age_.end(), live, accepted_before),
                        live);
  }
  for (const LiveJob& live : jobs_by_age_) update_estimate(*live.job, *live.state);
}

/// An estimate that moves by little stays as it is: one task that ends would otherwise move the ends of all
/// tasks of its queue, by less than estimates are off.
void SchedulingCycle::update_estimate(Job& job, JobState& state) {
  const std::uint64_t version = estimator_.version(job.spec().job_class);
  if (state.estimate_version == version) return;
  state.estimate_version = version;
  const Micros fresh = estimator_.estimate(job.spec());
  if (state.estimate.count() > 0 &&
      std::chrono::abs(fresh - state.estimate) <= state.estimate / kEstimateStep)
    return;
  state.estimate = fresh;
  state.change_count = ~std::uint64_t{0};
  for (const auto& [task, c] : job.assignments) machines_.mark_changed(*c.machine);
}

void SchedulingCycle::update_machines() {
  for (const std::uint32_t slot : machines_.take_freed_slots()) index_.drop_machine(slot);
  const Instant now = runtime_.now();
  std::erase_if(full_machines_, [&](const auto& f) {
    if (f.first > now) return false;
    if (Machine* machine = machines_.find(f.second)) machines_.mark_changed(*machine);
    return true;
  });
  for (Machine* machine : machines_.take_changed()) update_machine(*machine);
  for (Machine* machine : machines_.fetching()) {
    machines_.advance_fetches(*machine);
    if (machine->slot != Machine::kNoSlot)
      index_.set_fetches(machine->slot, MachineInventory::fetches_of(*machine));
  }
}

void SchedulingCycle::update_machine(Machine& machine) {
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
  if (full) full_machines_.emplace_back(machine.full_until, machine.name);
  index_.set_machine(
      machine.slot, machines_.to_plan_machine(machine, *machine_type), ending_tasks(machine),
      machine_type->capacity.cores - placement::core_equivalents(machine.use.service_load, *machine_type),
      !full);
}

/// When the places on it will become free. Replicas never leave theirs; one that runs for longer than
/// estimated is believed to go on for a while.
std::vector<placement::EndingTask> SchedulingCycle::ending_tasks(const Machine& machine) const {
  std::vector<placement::EndingTask> out;
  const job_table::MachineAssignments& there = book_.assignments_on(machine);
  out.reserve(there.size());
  for (const auto& [id, job] : there) {
    const JobSpec& spec = job->spec();
    const TaskAssignment& assignment = job->assignments.at(id.task);
    if (spec.type == JobType::service || assignment.state == TaskState::recovered) continue;
    const auto state = job_states_.find(job->id);
    const Micros estimate = state == job_states_.end() ? estimator_.estimate(spec) : state->second.estimate;
    placement::EndingTask ending{spec.resources, std::nullopt, estimate,
                                 assignment.counted_as_fetching ? &spec : nullptr};
    if (assignment.stopping) {
      ending.min_remaining = assignment.grace_period;
    } else if (assignment.state == TaskState::running) {
      ending.ends_at = assignment.running_since + estimate;
      ending.min_remaining = estimate / 10;
    }
    out.push_back(ending);
  }
  return out;
}

// ---------------------------------------------------------------- types kept for those who need them

void SchedulingCycle::update_reserved_types() {
  const Instant now = runtime_.now();
  for (const LiveJob& live : jobs_by_age_) {
    if (live.state->fitting_types.size() != 1 || live.job->record.cancelled || live.job->waiting.empty())
      continue;
    reserved_until_[*live.state->fitting_types.begin()] = now + kReservedTypeMemory;
  }
  std::set<std::string> sought;
  for (const auto& [name, until] : reserved_until_) {
    if (now < until) sought.insert(name);
  }
  if (sought == reserved_types_) return;
  reserved_types_ = std::move(sought);
  ++type_state_version_;
}

// ---------------------------------------------------------------- jobs of which something waits

void SchedulingCycle::update_waiting() {
  const WallTime now = runtime_.wall_time();
  placement::Guarantees guarantees(settings_);
  std::set<std::string> wanted;
  for (const LiveJob& live : jobs_by_age_) {
    Job& job = *live.job;
    JobState& state = *live.state;
    const JobSpec& spec = job.spec();
    if (job.record.cancelled) {
      remove_from_index(state);
      continue;
    }
    const bool guaranteed = guarantees.fits(spec, spec.task_count - job.done.size());
    // A job that fails everywhere pauses.
    if (job.waiting.empty() || runtime_.now() < job.not_before || !gang_may_start(job)) {
      remove_from_index(state);
      continue;
    }
    for (const auto& [name, n] : spec.devices()) wanted.insert(name);
    if (state.type_state_version != type_state_version_) {
      state.reserved_types.clear();
      state.patience = Micros{0};
      for (const std::string& name : state.fitting_types) {
        if (reserved_types_.contains(name)) {
          state.reserved_types.insert(name);
        } else if (!exhausted_.contains(name)) {
          // How long a new machine takes to come, of a type that the job leaves to nobody.
          state.patience = std::max(state.patience, machines_.catalog()->at(name).boot_time);
        }
      }
    }
    const bool patient = now - job.record.accepted_at < state.patience && !state.reserved_types.empty();
    const bool near = expects_image(job) || near_image(job);
    bool pressed = false;
    if (patient && state.on_index) pressed = too_late(index_.deadline_slack(state.slot, now), state.patience);
    if (state.on_index && !state.unlocated && state.change_count == job.change_count &&
        state.type_state_version == type_state_version_ && state.guaranteed == guaranteed &&
        state.near_image == near && state.patient == patient && state.pressed == pressed)
      continue;
    state.type_state_version = type_state_version_;
    state.change_count = job.change_count;
    state.guaranteed = guaranteed;
    state.near_image = near;
    state.patient = patient;
    state.pressed = pressed;
    place_on_index(job, state);
  }
  // Who waits for a device finds its machines free of others' work by the next round.
  machines_.set_wanted_devices(std::move(wanted));
}

/// A gang starts as a whole, or is completed while all the rest of it waits for its start; else it starts
/// again once all of it is off.
bool SchedulingCycle::gang_may_start(Job& job) {
  if (job.spec().type != JobType::gang || job.assignments.empty()) return true;
  const Instant now = runtime_.now();
  if (job.incomplete_since == Instant{}) job.incomplete_since = now;  // found so at takeover
  // It had started after all, or no place is to be had: those that wait would hold theirs for nothing.
  if (!job.attempt_broken &&
      (job.gang_started ||
       now - job.incomplete_since > std::min(kGangCompletionWindow, settings_.gang_start_timeout / 2)))
    book_.break_gang(job);
  return JobTable::can_complete_gang(job);
}

void SchedulingCycle::place_on_index(Job& job, JobState& state) {
  const JobSpec& spec = job.spec();
  placement::PlanJob plan_job;
  plan_job.spec = &spec;
  plan_job.waiting = job.waiting.size();
  plan_job.estimate = state.estimate;
  if (const Team* team = settings_.team(spec.team); team != nullptr && spec.type == JobType::array) {
    const Resources all{to_amount(team->cores_max), to_amount(team->gpus_max), 0};
    const std::uint32_t at_once = placement::max_concurrent(spec.resources, all, plan_job.waiting);
    plan_job.waves = std::max(1U, (plan_job.waiting + at_once - 1) / at_once);
  }
  plan_job.accepted_at = job.record.accepted_at;
  plan_job.has_started = plan_job.waiting < spec.task_count;
  plan_job.near_image = state.near_image;
  plan_job.guaranteed = state.guaranteed;
  plan_job.avoided_machines = &job.avoided_machines;
  if (state.patient) plan_job.excluded_types = plan_job.unrentable_types = state.reserved_types;
  if (state.patient && !state.on_index)
    state.pressed =
        too_late(placement::slack(plan_job, runtime_.wall_time(), settings_.objectives), state.patience);
  if (state.pressed) plan_job.excluded_types.clear();
  state.unlocated = !fill_zones(job, plan_job) || !fill_layout(job, plan_job);
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

void SchedulingCycle::remove_from_index(JobState& state) {
  if (state.on_index) index_.drop_job(state.slot);
  state.on_index = false;
}

/// Where the job's tasks are, if that matters. False where it is not known yet: a claimed machine has not
/// reported in this term.
bool SchedulingCycle::fill_zones(const Job& job, placement::PlanJob& plan_job) const {
  if (!job.spec().single_zone && !job.spec().spread_zones) return true;
  bool known = true;
  for (const auto& [task, c] : job.assignments) {
    const std::string& zone = c.machine->zone;
    known = known && !zone.empty();
    ++plan_job.zones[zone];
  }
  return known;
}

/// Likewise by domain: every claim counts until its task is proven off its machine.
bool SchedulingCycle::fill_layout(const Job& job, placement::PlanJob& plan_job) const {
  const JobSpec& spec = job.spec();
  if (!spec.layout || (!spec.layout->spread && !spec.layout->colocation)) return true;
  placement::PlanLayout layout;
  const auto level = [&](const std::string& name) {
    return topology_ == nullptr ? -1 : topology_->level(name);
  };
  if (const auto& s = spec.layout->spread) {
    layout.spread = level(s->level);
    layout.max_tasks = s->limit(spec.task_count);
    layout.spread_required = s->required;
    layout.impossible = layout.impossible || (layout.spread < 0 && s->required);
  }
  if (const auto& t = spec.layout->colocation) {
    layout.colocation = level(t->level);
    layout.colocation_required = t->required;
    layout.impossible = layout.impossible || (layout.colocation < 0 && t->required);
  }
  bool known = true;
  for (const auto& [task, c] : job.assignments) {
    known = known && !c.machine->zone.empty();
    if (layout.spread >= 0) ++layout.spread_at[c.machine->place.domain_at(layout.spread)];
    if (layout.colocation >= 0) ++layout.colocated_at[c.machine->place.domain_at(layout.colocation)];
  }
  plan_job.layout = std::move(layout);
  return known;
}

bool SchedulingCycle::expects_image(const Job& job) const {
  return expected_images_ != nullptr && runtime_.now() < expected_until_ &&
         expected_images_->contains(job.spec().image);
}

/// Whether a service that waits for places should have them where its image is: for a few seconds, if there
/// is such a machine with other work on it that may be stopped. Its image can take minutes to fetch
/// elsewhere.
bool SchedulingCycle::near_image(Job& job) {
  const JobSpec& spec = job.spec();
  if (spec.type != JobType::service || spec.priority != Priority::prod) return false;
  const Instant now = runtime_.now();
  if (now < job.near_image_until) return true;
  if (now < job.near_image_until + kNearImagePause && job.near_image_until != Instant{}) return false;
  const std::vector<Slot> holders = index_.machines_with_image(spec.image);
  const bool some = std::any_of(holders.begin(), holders.end(), [&](Slot slot) {
    const Machine& machine = *machine_by_slot_[slot];
    if (machine.use.assignments == machine.use.services ||
        !spec.allows(machine.machine_type, machine.zone, machine.spot))
      return false;
    const auto pull = machine.fetches.find(spec.image);
    return pull == machine.fetches.end() ? machine.images.contains(spec.image)
                                         : pull->second.remaining_gb * 2 < pull->second.size_gb;
  });
  if (some) job.near_image_until = now + kNearImageWait;
  return some;
}

std::string SchedulingCycle::disagreement() const {
  if (generation_ != machines_.generation()) return {};
  for (const auto& [name, m] : machines_.all()) {
    const MachineType* machine_type = machines_.type_of(m);
    if (m.changed) continue;
    if ((m.schedulable() && machine_type != nullptr) != (m.slot != Machine::kNoSlot))
      return "machine " + name + " is on the planner's board or off it wrongly";
    if (m.slot == Machine::kNoSlot) continue;
    const placement::PlanMachine* shown = index_.machine(m.slot);
    if (shown == nullptr) return "machine " + name + " is not on the planner's board";
    placement::PlanMachine now = machines_.to_plan_machine(m, *machine_type);
    now.fetches = shown->fetches;  // these go on from plan to plan
    if (!(now == *shown) || shown->fetches.size() != m.fetches.size())
      return "machine " + name + " is shown wrongly on the planner's board";
    if (ending_tasks(m) != index_.ending_tasks(m.slot))
      return "places to come on " + name + " are shown wrongly";
  }
  return {};
}

// ---------------------------------------------------------------- what comes of the plan

void SchedulingCycle::apply(const placement::Plan& plan) {
  std::map<Slot, std::uint64_t> attempts;
  for (const placement::Placement& placement : plan.placements) {
    Job& job = *job_by_slot_[placement.job];
    const placement::PlanMachine& host = *index_.machine(placement.machine);
    const placement::PlanJob& shown = index_.job(placement.job);
    // What completes a gang has the attempt of the rest.
    const bool completes = job.spec().type == JobType::gang && !job.assignments.empty();
    const auto [it, first] = attempts.try_emplace(
        placement.job, completes ? job.assignments.begin()->second.attempt : job.last_attempt + 1);
    job.incomplete_since = {};
    for (std::uint32_t i = 0; i < placement.tasks; ++i)
      book_.assign(job, *job.waiting.first(), *machine_by_slot_[placement.machine], it->second,
                   TaskState::assigned);
    log::debug("tasks_placed",
               "job {job} (rank {rank:.1f} s): {tasks} tasks to {machine}, finish in {finish:.1f} s with "
               "{fetch:.1f} s of fetch",
               log::with("job", job.spec().job_id), log::with("rank", to_seconds(placement::rank(shown))),
               log::with("tasks", placement.tasks), log::with("machine", host.name),
               log::with("finish", to_seconds(placement::finish_time(host, shown))),
               log::with("fetch", to_seconds(placement::fetch_time(host, job.spec()))));
  }
}

/// What is short and may have others stopped for it.
std::vector<placement::Shortage> SchedulingCycle::urgent_shortages(const placement::Plan& plan) const {
  std::vector<placement::Shortage> out;
  const WallTime now = runtime_.wall_time();
  for (const placement::Shortage& shortage : plan.shortages) {
    const auto slot = static_cast<Slot>(shortage.job);
    const placement::PlanJob& job = index_.job(slot);
    if (job.spec->type == JobType::service && job.spec->priority == Priority::prod) {
      // A service is missed from the first moment, and no new machine comes sooner than a task is stopped.
      out.push_back(shortage);
      continue;
    }
    if (job.spec->priority >= Priority::normal ||
        now - job.accepted_at < job_states_.at(job_by_slot_[slot]->id).patience)
      continue;
    // Others are stopped only for what would otherwise come too late, and can still come in time.
    const placement::Slack slack = index_.deadline_slack(slot, now);
    if (slack.status == placement::DeadlineStatus::pressed && slack.pressed_for < kLatestStartMargin)
      out.push_back(shortage);
  }
  return out;
}

/// Stops tasks of less urgent jobs for urgent ones that have waited for as long as new machines take to come.
void SchedulingCycle::preempt_for(const std::vector<placement::Shortage>& shortages,
                                  std::vector<DirectCommands>& halts) {
  last_preempt_ = runtime_.now();
  std::vector<placement::RunningTask> running;
  std::vector<TaskAssignment*> assignments;
  placement::PreemptionView after;
  std::vector<placement::Shortage> pressing = shortages;
  for (placement::Shortage& shortage : pressing) {
    after.jobs.push_back(index_.job(static_cast<Slot>(shortage.job)));
    shortage.job = after.jobs.size() - 1;
  }
  for (auto& [name, m] : machines_.all()) {
    const MachineType* machine_type = machines_.type_of(m);
    if (!m.schedulable() || machine_type == nullptr) continue;
    const std::size_t h = after.machines.size();
    after.machines.push_back(machines_.to_plan_machine(m, *machine_type));
    const Job* last = nullptr;
    Micros estimate{};
    for (const auto& [id, job] : book_.assignments_on(m)) {
      TaskAssignment& assignment = job->assignments.at(id.task);
      const JobSpec& spec = job->spec();
      // Whether one found at takeover is there at all is not known yet; replicas make no room.
      if (assignment.state == TaskState::recovered || (spec.type == JobType::service && !assignment.stopping))
        continue;
      if (job != last) estimate = estimator_.estimate(spec);
      last = job;
      const Micros age =
          assignment.state == TaskState::running ? runtime_.now() - assignment.running_since : Micros{0};
      running.push_back({h, &spec, id.task, age, estimate - age, assignment.stopping});
      assignments.push_back(&assignment);
    }
  }
  job_table::CommandsByMachine commands;
  for (const std::size_t i : placement::choose_preemptions(after, pressing, running)) {
    TaskAssignment& assignment = *assignments[i];
    const JobSpec& spec = *running[i].spec;
    if (assignment.stopping) continue;
    const Micros grace_period = spec.has_checkpoints() ? spec.checkpoint_time + from_seconds(1) : Micros{0};
    if (spec.type == JobType::gang) {
      log::info("gang_makes_room", "gang {job} makes room for more urgent work",
                log::with("job", spec.job_id));
      for (auto& [host, list] : book_.stop_job(*book_.find(spec.job_id), grace_period))
        halts.push_back({host, std::move(list)});
      continue;
    }
    book_.stop_task(assignment, grace_period);
    if (assignment.state != TaskState::assigned)
      commands[assignment.machine->name].push_back({WorkerCommand::Verb::stop, spec.job_id, running[i].task,
                                                    assignment.attempt, assignment.grace_period});
    log::info("task_makes_room", "task {task} on {machine} makes room for more urgent work",
              log::with("task", task_name(spec.job_id, running[i].task)),
              log::with("machine", assignment.machine->name));
  }
  for (auto& [host, list] : commands) halts.push_back({host, std::move(list)});
}

// ---------------------------------------------------------------- what others are told

/// Where a machine would have to come to serve the job's layout, as far as type and zone tell.
std::optional<std::set<std::pair<std::string, std::string>>> SchedulingCycle::eligible_placements(
    const placement::PlanJob& job) const {
  const JobSpec& spec = *job.spec;
  if (!spec.layout || topology_ == nullptr) return std::nullopt;
  const std::optional<placement::PlanLayout>& layout = job.layout;
  std::set<std::pair<std::string, std::string>> out;
  const auto domains_allow = [&](const std::string& type, const std::string& zone) {
    if (!layout || (!layout->spread_required && !layout->colocation_required)) return true;
    if (layout->impossible) return false;
    topology::MachineLocation place;
    place.by_level.resize(topology_->levels().size());
    placement::PlanMachine there;
    there.place = &place;
    const auto& all = topology_->domains();
    for (topology::DomainId id = 1; id < all.size(); ++id) {
      if (!all[id].children.empty() || !topology_->may_gain_machine(id, type, zone)) continue;
      for (std::size_t level = 0; level < place.by_level.size(); ++level)
        place.by_level[level] = topology_->ancestor_at(id, static_cast<int>(level));
      if (placement::layout_allowance(*layout, there, spec.task_count, false) > 0) return true;
    }
    return false;
  };
  for (const auto& [type, f] : *machines_.catalog()) {
    for (const std::string& zone : f.zones) {
      const bool devices =
          std::all_of(spec.layout->devices.begin(), spec.layout->devices.end(),
                      [&](const auto& d) { return topology_->may_gain_device(d.first, type, zone); });
      if (devices && domains_allow(type, zone)) out.emplace(type, zone);
    }
  }
  return out;
}

/// Says once why a job waits for its layout, and once more when the reason is another.
void SchedulingCycle::log_layout_waits(const placement::Plan& plan) {
  if (runtime_.now() < next_wait_log_) return;
  next_wait_log_ = runtime_.now() + kWaitLogInterval;
  for (const placement::Shortage& shortage : plan.shortages) {
    const auto slot = static_cast<Slot>(shortage.job);
    const placement::PlanJob& plan_job = index_.job(slot);
    if (!plan_job.spec->layout) continue;
    JobState& state = job_states_.at(job_by_slot_[slot]->id);
    std::string why = "no machine that its layout allows has room";
    if (topology_ == nullptr) {
      why = "there is no topology in force";
    } else if (plan_job.layout && plan_job.layout->impossible) {
      why = "the topology in force has no such level";
    } else if (!plan_job.spec->layout->devices.empty()) {
      why = "no machine with its devices has room";
    }
    if (state.wait_reason == why) continue;
    state.wait_reason = why;
    log::info("layout_waits", "{tasks} tasks of job {job} wait: {reason}", log::with("tasks", shortage.tasks),
              log::with("job", plan_job.spec->job_id), log::with("reason", why));
  }
}

std::shared_ptr<const Workload> SchedulingCycle::workload(const placement::Plan& plan) {
  if (runtime_.now() < next_workload_) return nullptr;
  next_workload_ = runtime_.now() + kWorkloadInterval;
  auto workload = std::make_shared<Workload>();
  for (const placement::Shortage& shortage : plan.shortages) {
    const placement::PlanJob& job = index_.job(static_cast<Slot>(shortage.job));
    workload->demands.push_back(
        {*job.spec, shortage.tasks, shortage.expected_soon, job.estimate,
         index_.deadline_slack(static_cast<Slot>(shortage.job), runtime_.wall_time()).remaining,
         job.unrentable_types, eligible_placements(job)});
  }
  workload->machines.reserve(machines_.all().size());
  for (const auto& [name, m] : machines_.all()) {
    Workload::MachineLoad load{name, m.machine_type, m.zone, m.spot, m.usable(), m.use.assignments, 0, 0, 0};
    load.has_named_device = !m.place.devices.empty();
    if (const MachineType* machine_type = machines_.type_of(m)) {
      load.reserved = placement::core_equivalents(m.use.reserved, *machine_type);
      load.running = placement::core_equivalents(m.use.running, *machine_type);
      load.service_load = placement::core_equivalents(m.use.service_load, *machine_type);
    }
    workload->machines.push_back(std::move(load));
  }
  return workload;
}

std::shared_ptr<const Progress> SchedulingCycle::progress() {
  if (runtime_.now() < next_progress_) return nullptr;
  next_progress_ = runtime_.now() + kProgressInterval;
  auto out = std::make_shared<Progress>();
  for (const auto& [ref, job] : book_.jobs()) {
    if (job.done.empty() && job.assignments.empty()) continue;
    out->rows.push_back({ref, job.done.size(), job.assignments.size()});
  }
  return out;
}

}  // namespace wrenusher::scheduling_cycle
