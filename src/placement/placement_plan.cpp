// Planning run: candidate machines for each job, the scopes in which a job is placed as a whole, and the
// choice among them.

#include <algorithm>

#include "wrenusher/placement/placement_index.hpp"

namespace wrenusher::placement {

namespace {

bool is_avoided(const PlanJob& job, const std::string& machine, Instant now) {
  if (job.avoided_machines == nullptr) return false;
  const auto it = job.avoided_machines->find(machine);
  return it != job.avoided_machines->end() && now < it->second;
}

/// Whether more than half of the image's fetch time would remain on the machine.
bool must_fetch_most_of_image(const PlanMachine& machine, const JobSpec& spec, Micros fetch) {
  return fetch * 2 > from_seconds(spec.image_gb / machine.machine_type->fetch_gb_per_s);
}

}  // namespace

// ---------------------------------------------------------------- candidates

/// Returns the machine as a candidate for up to `wanted` tasks of the job, or nothing if it is not eligible.
/// Its resources must have room for at least one task.
std::optional<PlacementIndex::Candidate> PlacementIndex::candidate(const PlanJob& job, Slot machine,
                                                                   std::uint32_t wanted) const {
  const PlanMachine& state = current_state(machine);
  const JobSpec& spec = *job.spec;
  const std::uint32_t fitting = count_fitting(spec, state.free, wanted);
  if (fitting == 0 || is_avoided(job, state.name, steady_now_)) return std::nullopt;
  if (job.layout && layout_allowance(*job.layout, state, spec.task_count, false) == 0) return std::nullopt;
  const std::optional<Micros> delay = fetch_delay_imposed(state, spec);
  if (!delay) return std::nullopt;
  const Micros fetch = fetch_time(state, spec);
  if (job.requires_image_locality && must_fetch_most_of_image(state, spec, fetch)) return std::nullopt;
  Candidate out;
  out.machine = machine;
  out.finish = fetch + run_time(state, job) + *delay;
  out.machine_cores = state.machine_type->capacity.cores;
  if (state.runs_services) {
    out.cost = CostLevel::already_paid;
  } else if (state.spot) {
    out.cost = CostLevel::spot;
  }
  out.unused_core_fraction = unused_core_fraction(state, spec.resources);
  out.task_capacity = fitting;
  out.fetch = fetch + *delay;
  return out;
}

bool PlacementIndex::is_better(const Candidate& left, const Candidate& right) const {
  const auto left_finish = left.finish / kFinishTimeBucket;
  const auto right_finish = right.finish / kFinishTimeBucket;
  if (left_finish != right_finish) return left_finish < right_finish;
  // Smaller machines first: larger ones are kept for tasks that fit nowhere else.
  if (left.machine_cores != right.machine_cores) return left.machine_cores < right.machine_cores;
  // Machines that are kept for their services cost nothing extra, and spot machines cost a fraction of the
  // price of on-demand machines. Using both kinds first leaves on-demand machines empty, so that they can be
  // returned.
  if (left.cost != right.cost) return left.cost < right.cost;
  if (left.unused_core_fraction != right.unused_core_fraction)
    return left.unused_core_fraction < right.unused_core_fraction;
  return machines_[left.machine].machine.name < machines_[right.machine].machine.name;
}

/// Returns the candidate machines for up to `wanted` tasks of the job, best first.
std::vector<PlacementIndex::Candidate> PlacementIndex::candidates(Slot slot, std::uint32_t wanted) {
  const PlanJob& job = jobs_[slot].job;
  const Resources& resources = job.spec->resources;
  ConstraintClass& constraints = constraint_classes_[jobs_[slot].constraint_class];
  std::vector<Candidate> out;
  if (constraints.exhausted_in_plan == plan_count_) return out;
  bool has_room = false;
  const std::uint32_t need = size_class(resources);
  for (std::uint32_t id = 0; id < machine_classes_.size(); ++id) {
    if (!admits(slot, id)) continue;
    for (const auto& [size, machines] : machine_classes_[id].by_size_class) {
      if (!covers(size, need)) continue;
      for (const std::uint32_t machine : machines) {
        ++statistics_.machines;
        const FreeCapacity& free = current_state(machine).free;
        if (free.task_slots <= 0 || count_fitting(resources, free.resources, 1) == 0) continue;
        has_room = true;
        if (const auto found_candidate = candidate(job, machine, wanted)) out.push_back(*found_candidate);
      }
    }
  }
  // Free room only shrinks within a plan, so the later jobs of this plan with the same constraints will find
  // no room either.
  if (!has_room) constraints.exhausted_in_plan = plan_count_;
  std::sort(out.begin(), out.end(),
            [this](const Candidate& left, const Candidate& right) { return is_better(left, right); });
  return out;
}

// ---------------------------------------------------------------- choice

/// Returns the scopes to try in turn. A job that must stay in one zone or domain and has no tasks placed yet
/// is tried in each zone or domain separately.
std::vector<PlacementIndex::Scope> PlacementIndex::scopes(const PlanJob& job,
                                                          const std::vector<Candidate>& candidates) const {
  const bool zones = job.spec->single_zone && job.zones.empty();
  const bool domains =
      job.layout && job.layout->colocation >= 0 && job.layout->tasks_by_colocation_domain.empty();
  if (!zones && !domains) return {Scope{}};
  std::vector<Scope> out;
  for (const Candidate& candidate : candidates) {
    const PlanMachine& machine = machines_[candidate.machine].machine;
    Scope scope;
    if (zones) scope.zone = machine.zone;
    if (domains) scope.domain = machine.domain(job.layout->colocation);
    if (std::find(out.begin(), out.end(), scope) == out.end()) out.push_back(std::move(scope));
  }
  return out;
}

/// Distributes a job's tasks over the candidates within the limits of zones, layout and future places.
class PlacementIndex::PlaceChooser {
 public:
  PlaceChooser(const PlacementIndex& index, const ChoiceInput& input, const Scope& scope)
      : index_(index),
        input_(input),
        scope_(scope),
        spec_(*index.jobs_[input.job].job.spec),
        limits_zones_(spec_.single_zone || spec_.spread_zones),
        zones_(index.jobs_[input.job].job.zones),
        layout_(index.jobs_[input.job].job.layout),
        placed_by_candidate_(layout_ ? input.candidates.size() : 0, 0) {}

  /// Goes through the candidates once. Without `preferences`, only the requirements of the layout apply.
  void run_pass(bool preferences) {
    for (std::size_t i = 0; i < input_.candidates.size() && choice_.tasks < input_.wanted; ++i) {
      const Candidate& candidate = input_.candidates[i];
      const PlanMachine& machine = index_.machines_[candidate.machine].machine;
      if (!is_in_scope(machine, preferences)) continue;
      const std::uint32_t tasks = allowance(i, machine, preferences);
      if (tasks > 0) place_tasks(i, machine, tasks);
    }
  }
  bool complete() const { return choice_.tasks >= input_.wanted; }
  bool has_layout() const { return layout_.has_value(); }
  PlacementChoice choice() && { return std::move(choice_); }

 private:
  bool is_in_scope(const PlanMachine& machine, bool preferences) const {
    if (!scope_.zone.empty() && machine.zone != scope_.zone) return false;
    return !scope_.domain || !(preferences || layout_->colocation_required) ||
           machine.domain(layout_->colocation) == *scope_.domain;
  }

  std::uint32_t allowance(std::size_t i, const PlanMachine& machine, bool preferences) const {
    const Candidate& candidate = input_.candidates[i];
    const std::uint32_t unplaced = input_.wanted - choice_.tasks;
    std::uint32_t tasks = std::min(candidate.task_capacity, unplaced);
    if (limits_zones_) tasks = std::min(tasks, zone_allowance(spec_, zones_, machine.zone));
    if (layout_)
      tasks = std::min({tasks, candidate.task_capacity - placed_by_candidate_[i],
                        layout_allowance(*layout_, machine, spec_.task_count, preferences)});
    // Leaves out as many tasks as there are future places, on machines that have or fetch the image, that
    // become free no later than the fetch on this machine would complete.
    if (candidate.fetch.count() > 0)
      tasks = std::min(tasks, unplaced - input_.future_places.count_within(candidate.fetch, unplaced));
    return tasks;
  }

  void place_tasks(std::size_t i, const PlanMachine& machine, std::uint32_t tasks) {
    choice_.placements.push_back({input_.job, input_.candidates[i].machine, tasks});
    if (limits_zones_) zones_[machine.zone] += tasks;
    if (layout_) {
      add_to_layout(*layout_, machine, tasks);
      placed_by_candidate_[i] += tasks;
    }
    choice_.tasks += tasks;
  }

  const PlacementIndex& index_;
  const ChoiceInput& input_;
  const Scope& scope_;
  const JobSpec& spec_;
  bool limits_zones_;
  std::map<std::string, std::uint32_t> zones_;
  std::optional<PlanLayout> layout_;
  std::vector<std::uint32_t> placed_by_candidate_;  ///< tasks placed by an earlier pass
  PlacementChoice choice_;
};

/// Chooses machines within one scope. With `strict`, the preferences of the layout apply as well.
PlacementIndex::PlacementChoice PlacementIndex::choose_places(const ChoiceInput& input, const Scope& scope,
                                                              bool strict) const {
  PlaceChooser chooser(*this, input, scope);
  chooser.run_pass(true);
  if (chooser.has_layout() && !strict && !chooser.complete()) chooser.run_pass(false);
  return std::move(chooser).choice();
}

/// Chooses among the scopes. A gang gets the first scope that holds the whole gang, and a service with domain
/// scopes gets the scope that holds the most tasks. Any other job gets the first scope, since its first task
/// finishes earliest there.
PlacementIndex::PlacementChoice PlacementIndex::best_choice(const ChoiceInput& input) const {
  const PlanJob& job = jobs_[input.job].job;
  const std::vector<Scope> all_scopes = scopes(job, input.candidates);
  if (job.spec->type == JobType::gang) return best_gang_choice(input, all_scopes);
  PlacementChoice out;
  for (const Scope& scope : all_scopes) {
    PlacementChoice choice = choose_places(input, scope, false);
    if (choice.tasks > out.tasks) out = std::move(choice);
    if (job.spec->type != JobType::service || !scope.domain) break;
  }
  return out;
}

/// Returns the placement of the whole gang in the first scope that holds it. All scopes are tried with the
/// preferences of the layout before any scope is tried with its requirements alone. Returns an empty
/// placement if no scope holds the whole gang.
PlacementIndex::PlacementChoice PlacementIndex::best_gang_choice(const ChoiceInput& input,
                                                                 const std::vector<Scope>& all_scopes) const {
  for (const bool strict : {true, false}) {
    if (!strict && !jobs_[input.job].job.layout) break;
    for (const Scope& scope : all_scopes) {
      PlacementChoice choice = choose_places(input, scope, strict);
      if (choice.tasks == input.wanted) return choice;
    }
  }
  return {};
}

/// Reserves the chosen room and adds the fetches of the image to the planned state of the machines.
void PlacementIndex::apply_choice(const PlacementChoice& choice, const JobSpec& spec) {
  for (const Placement& placement : choice.placements) {
    PlanMachine& machine = planned_state(placement.machine);
    machine.free.reserve(spec, placement.tasks);
    if (!has_image(machine, spec.image) && find_fetch(machine, spec.image) == nullptr)
      machine.fetches.push_back({spec.image, spec.image_gb, spec.priority});
    index_free_room(placement.machine, machine.free.resources);
  }
}

// ---------------------------------------------------------------- plan

const PlanMachine& PlacementIndex::current_state(Slot slot) const {
  const auto it = planned_machines_.find(slot);
  return it == planned_machines_.end() ? machines_[slot].machine : it->second;
}

PlanMachine& PlacementIndex::planned_state(Slot slot) {
  return planned_machines_.try_emplace(slot, machines_[slot].machine).first->second;
}

/// Returns the teams' usage at the start of the plan, by team id.
std::vector<PlacementIndex::TeamUsage> PlacementIndex::team_usages(const PlanningContext& context) const {
  std::vector<TeamUsage> out(teams_.size());
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    out[i].team = context.settings->team(teams_[i]);
    if (const auto it = context.team_usage->find(teams_[i]); it != context.team_usage->end())
      out[i].used = it->second;
  }
  return out;
}

void PlacementIndex::plan_job(Slot slot, TeamUsage& usage, WallTime now, Plan& plan) {
  const JobEntry& entry = jobs_[slot];
  const JobSpec& spec = *entry.job.spec;
  ++statistics_.jobs;
  const bool gang = spec.type == JobType::gang;
  const std::uint32_t allowed =
      count_fitting(spec.resources, remaining_ceiling(usage.team, usage.used), entry.job.waiting);
  if (allowed == 0 || (gang && allowed < entry.job.waiting)) return;
  const bool at_risk = slacks_[slot].status == DeadlineStatus::at_risk;
  // An overdue array starts with one task, on any machine with room.
  const bool first_task_only = spec.type == JobType::array && is_overdue(entry.job, now);
  const std::uint32_t wanted = first_task_only ? 1 : allowed;
  const FuturePlaceOptions future_places =
      first_task_only ? FuturePlaceOptions{} : find_future_places(entry, allowed);
  const std::vector<Candidate> found_candidates = candidates(slot, wanted);
  const PlacementChoice choice = found_candidates.empty()
                                     ? PlacementChoice{}
                                     : best_choice({slot, found_candidates, future_places, wanted});
  apply_choice(choice, spec);
  plan.placements.insert(plan.placements.end(), choice.placements.begin(), choice.placements.end());
  if (choice.tasks == 0 && first_task_only) reserve_places(slot, 1, kOverdueReservationHorizon);
  if (choice.tasks == 0 && gang && at_risk) reserve_places(slot, entry.job.waiting, kGangReservationHorizon);
  // Tasks for which there is no room count against the ceiling too, since they will be placed as soon as
  // there is room.
  usage.used += spec.resources * allowed;
  const std::uint32_t expected =
      std::min(allowed - choice.tasks, static_cast<std::uint32_t>(future_places.places.size()));
  reserve_future_places(future_places, expected);
  // For a job at risk, tasks with a future place still count as a shortage, since another job may take the
  // place.
  const std::uint32_t served = at_risk ? choice.tasks : choice.tasks + expected;
  if (served < allowed) plan.shortages.push_back({slot, allowed - served, at_risk ? expected : 0});
}

Plan PlacementIndex::plan(const PlanningContext& context) {
  Plan plan;
  ++plan_count_;
  statistics_ = {};
  run_timers(context.steady_now);
  rank_jobs(context);
  std::vector<TeamUsage> usages = team_usages(context);
  for (const Slot slot : service_order_) plan_job(slot, usages[jobs_[slot].team], context.now, plan);
  end_plan();
  return plan;
}

/// Discards the planned state of the machines and restores the index of free room.
void PlacementIndex::end_plan() {
  for (const auto& [slot, state] : planned_machines_)
    index_free_room(slot, machines_[slot].machine.free.resources);
  planned_machines_.clear();
}

}  // namespace wrenusher::placement
