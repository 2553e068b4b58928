#include "placement_oracle.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace oracle {

namespace {

struct FutureMachine {
  PlanMachine machine;
  struct Place {
    Micros free_in;
    Resources resources;
    bool reserved = false;
  };
  std::vector<Place> places;
};

struct PlanState {
  const PlanningInput& input;
  std::vector<PlanMachine> machines;
  std::vector<FutureMachine> future_machines;
  std::map<std::string, Resources> team_usage;
};

/// Returns the cores by machine type, including those of starting machines.
std::map<std::string, std::pair<const MachineType*, Amount>> cores_by_type(const PlanningInput& input) {
  std::map<std::string, std::pair<const MachineType*, Amount>> out;
  const auto add = [&](const MachineType* machine_type, Amount cores) {
    out[machine_type->name].first = machine_type;
    out[machine_type->name].second += cores;
  };
  for (const MachineInput& machine_input : input.machines)
    add(machine_input.machine.machine_type, machine_input.machine.machine_type->capacity.cores);
  for (const auto& [machine_type, cores] : input.starting_cores) add(machine_type, cores);
  return out;
}

/// Returns the future places on machines that have or fetch the job's image, earliest first.
std::vector<std::pair<Micros, FutureMachine::Place*>> future_places(PlanState& plan_state,
                                                                    const PlanJob& job) {
  const JobSpec& spec = *job.spec;
  struct Found {
    Micros available_in;
    std::size_t machine;
    std::size_t place;
  };
  std::vector<Found> found;
  if (spec.type == JobType::array && spec.devices().empty()) {
    for (std::size_t i = 0; i < plan_state.future_machines.size(); ++i) {
      const FutureMachine& future_machine = plan_state.future_machines[i];
      const bool cached = has_image(future_machine.machine, spec.image);
      if ((!cached && find_fetch(future_machine.machine, spec.image) == nullptr) ||
          !accepts(future_machine.machine, job))
        continue;
      const Micros image_in = cached ? Micros{0} : fetch_time(future_machine.machine, spec);
      for (std::size_t place = 0; place < future_machine.places.size(); ++place) {
        Resources room = future_machine.machine.free.resources;
        room += future_machine.places[place].resources;
        if (!future_machine.places[place].reserved && spec.resources.fits(room))
          found.push_back({std::max(future_machine.places[place].free_in, image_in), i, place});
      }
    }
  }
  std::sort(found.begin(), found.end(), [](const Found& left, const Found& right) {
    return std::tuple(left.available_in, left.machine, left.place) <
           std::tuple(right.available_in, right.machine, right.place);
  });
  std::vector<std::pair<Micros, FutureMachine::Place*>> out;
  for (const Found& entry : found)
    out.emplace_back(entry.available_in, &plan_state.future_machines[entry.machine].places[entry.place]);
  return out;
}

bool is_start_overdue(const PlanJob& job, const PlanningInput& input) {
  return !job.has_started && input.now - job.accepted_at > from_seconds(150);
}

void reserve(PlanState& plan_state, const PlanJob& job, std::uint32_t tasks, Micros within) {
  const JobSpec& spec = *job.spec;
  struct Fit {
    Micros available_in;
    std::size_t machine;
  };
  const bool colocated = job.layout && job.layout->colocation >= 0 && job.layout->colocation_required;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<Fit>> groups;
  for (std::size_t i = 0; i < plan_state.future_machines.size(); ++i) {
    const FutureMachine& future_machine = plan_state.future_machines[i];
    if (!accepts(future_machine.machine, job) || !fetch_delay_imposed(future_machine.machine, spec)) continue;
    if (job.layout && layout_allowance(*job.layout, future_machine.machine, spec.task_count, false) == 0)
      continue;
    auto& fits = groups[{spec.single_zone ? future_machine.machine.zone : "",
                         colocated ? future_machine.machine.domain(job.layout->colocation) : 0}];
    FreeCapacity free = future_machine.machine.free;
    std::uint32_t count = 0;
    const auto add_fits = [&](Micros free_in) {
      for (; count < tasks && count_fitting(spec, free, 1) > 0; ++count) {
        free.reserve(spec, 1);
        fits.push_back({free_in + fetch_time(future_machine.machine, spec), i});
      }
    };
    add_fits(Micros{0});
    std::vector<FutureMachine::Place> places = future_machine.places;
    std::stable_sort(places.begin(), places.end(),
                     [](const auto& left, const auto& right) { return left.free_in < right.free_in; });
    for (const FutureMachine::Place& place : places) {
      if (place.reserved || place.free_in > within) continue;
      free.resources += place.resources;
      ++free.task_slots;
      add_fits(place.free_in);
    }
  }
  std::vector<Fit> best;
  for (auto& [group, fits] : groups) {
    std::stable_sort(fits.begin(), fits.end(), [](const Fit& left, const Fit& right) {
      return std::tuple(left.available_in, left.machine) < std::tuple(right.available_in, right.machine);
    });
    std::optional<PlanLayout> layout = job.layout;
    std::vector<Fit> chosen;
    for (const Fit& fit : fits) {
      const PlanMachine& machine = plan_state.future_machines[fit.machine].machine;
      if (chosen.size() == tasks ||
          (layout && layout_allowance(*layout, machine, spec.task_count, false) == 0))
        continue;
      if (layout) add_to_layout(*layout, machine, 1);
      chosen.push_back(fit);
    }
    if (chosen.size() == tasks && (best.empty() || chosen.back().available_in < best.back().available_in))
      best = chosen;
  }
  for (const Fit& fit : best) {
    for (FutureMachine::Place& place : plan_state.future_machines[fit.machine].places) place.reserved = true;
    plan_state.machines[fit.machine].free = {.resources = {}, .devices = {}, .task_slots = 0};
  }
}

struct Candidate {
  std::size_t machine;
  std::tuple<std::int64_t, Amount, int, double, std::size_t> key;
  std::uint32_t fits;
  Micros fetch;
};

std::vector<Candidate> candidates(const PlanState& plan_state, const PlanJob& job, std::uint32_t wanted) {
  const JobSpec& spec = *job.spec;
  std::vector<Candidate> out;
  for (std::size_t i = 0; i < plan_state.machines.size(); ++i) {
    const PlanMachine& machine = plan_state.machines[i];
    if (!plan_state.input.machines[i].open || !accepts(machine, job)) continue;
    if (job.avoided_machines != nullptr && job.avoided_machines->contains(machine.name) &&
        plan_state.input.steady_now < job.avoided_machines->at(machine.name))
      continue;
    const std::uint32_t fits = count_fitting(spec, machine.free, wanted);
    const std::optional<Micros> delay = fetch_delay_imposed(machine, spec);
    if (fits == 0 || !delay) continue;
    if (job.layout && layout_allowance(*job.layout, machine, spec.task_count, false) == 0) continue;
    const Micros fetch = fetch_time(machine, spec);
    if (job.requires_image_locality &&
        fetch * 2 > from_seconds(spec.image_gb / machine.machine_type->fetch_gb_per_s))
      continue;
    const int cost = machine.runs_services ? 0 : machine.spot ? 1 : 2;
    out.push_back(
        {i,
         {(finish_time(machine, job) + *delay) / kFinishTimeBucket, machine.machine_type->capacity.cores,
          cost, unused_core_fraction(machine, spec.resources), i},
         fits,
         fetch + *delay});
  }
  std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) { return a.key < b.key; });
  return out;
}

/// Places the job in one zone and domain, with the same steps as PlacementIndex.
std::vector<Placement> place_in_scope(const PlanState& plan_state, std::size_t job_index,
                                      const std::vector<Candidate>& found,
                                      const std::vector<std::pair<Micros, FutureMachine::Place*>>& places,
                                      std::uint32_t wanted, const std::string& zone,
                                      std::optional<std::uint32_t> domain, bool strict) {
  const PlanJob& job = plan_state.input.jobs[job_index];
  const JobSpec& spec = *job.spec;
  std::map<std::string, std::uint32_t> zones = job.zones;
  std::optional<PlanLayout> layout = job.layout;
  std::map<std::size_t, std::uint32_t> placed_by_machine;
  std::vector<Placement> out;
  std::uint32_t unplaced = wanted;
  for (const bool preferences : {true, false}) {
    if (!preferences && (!layout || strict)) break;
    for (const Candidate& candidate : found) {
      const PlanMachine& machine = plan_state.machines[candidate.machine];
      if (!zone.empty() && machine.zone != zone) continue;
      if (domain && (preferences || layout->colocation_required) &&
          machine.domain(layout->colocation) != *domain)
        continue;
      std::uint32_t tasks = std::min({candidate.fits - placed_by_machine[candidate.machine], unplaced,
                                      zone_allowance(spec, zones, machine.zone)});
      if (layout) tasks = std::min(tasks, layout_allowance(*layout, machine, spec.task_count, preferences));
      if (candidate.fetch.count() > 0) {
        const auto available_in_time = std::count_if(
            places.begin(), places.end(), [&](const auto& place) { return place.first <= candidate.fetch; });
        tasks = std::min(tasks, unplaced - std::min(unplaced, static_cast<std::uint32_t>(available_in_time)));
      }
      if (tasks == 0) continue;
      out.push_back(
          {static_cast<std::uint32_t>(job_index), static_cast<std::uint32_t>(candidate.machine), tasks});
      zones[machine.zone] += tasks;
      if (layout) add_to_layout(*layout, machine, tasks);
      placed_by_machine[candidate.machine] += tasks;
      unplaced -= tasks;
    }
  }
  return out;
}

std::uint32_t total_tasks(const std::vector<Placement>& placements) {
  std::uint32_t tasks = 0;
  for (const Placement& placement : placements) tasks += placement.tasks;
  return tasks;
}

std::vector<Placement> best_placement(const PlanState& plan_state, std::size_t job_index,
                                      const std::vector<Candidate>& found,
                                      const std::vector<std::pair<Micros, FutureMachine::Place*>>& places,
                                      std::uint32_t wanted) {
  const PlanJob& job = plan_state.input.jobs[job_index];
  const bool zones = job.spec->single_zone && job.zones.empty();
  const bool domains =
      job.layout && job.layout->colocation >= 0 && job.layout->tasks_by_colocation_domain.empty();
  std::vector<std::pair<std::string, std::optional<std::uint32_t>>> scopes;
  for (const Candidate& candidate : found) {
    const PlanMachine& machine = plan_state.machines[candidate.machine];
    std::pair<std::string, std::optional<std::uint32_t>> scope{zones ? machine.zone : "", std::nullopt};
    if (domains) scope.second = machine.domain(job.layout->colocation);
    if (std::find(scopes.begin(), scopes.end(), scope) == scopes.end()) scopes.push_back(scope);
  }
  std::vector<Placement> out;
  if (job.spec->type == JobType::gang) {
    for (const bool strict : {true, false}) {
      for (const auto& [zone, domain] : scopes) {
        out = place_in_scope(plan_state, job_index, found, places, wanted, zone, domain, strict);
        if (total_tasks(out) == wanted) return out;
      }
    }
    return {};
  }
  for (const auto& [zone, domain] : scopes) {
    const auto choice = place_in_scope(plan_state, job_index, found, places, wanted, zone, domain, false);
    if (total_tasks(choice) > total_tasks(out)) out = choice;
    if (job.spec->type != JobType::service || !domains) break;
  }
  return out;
}

}  // namespace

std::vector<bool> shed_jobs(const PlanningInput& input) {
  struct Item {
    std::size_t job;
    Micros slack;
    double seconds;
    double work;
  };
  std::vector<bool> out(input.jobs.size(), false);
  std::vector<Item> items;
  for (std::size_t i = 0; i < input.jobs.size(); ++i) {
    const PlanJob& job = input.jobs[i];
    const Slack job_slack = slack(job, input.now, input.settings->objectives);
    if (job_slack.status == DeadlineStatus::missed || job_slack.remaining == Micros::max() ||
        job.spec->type != JobType::array)
      continue;
    const double seconds = job.waiting * to_seconds(job.estimate);
    items.push_back({i, job_slack.remaining, seconds, seconds * from_amount(job.spec->resources.cores)});
  }
  std::sort(items.begin(), items.end(), [&](const Item& left, const Item& right) {
    return std::tuple(input.jobs[left.job].spec->priority, left.slack, input.jobs[left.job].spec->job_id) <
           std::tuple(input.jobs[right.job].spec->priority, right.slack, input.jobs[right.job].spec->job_id);
  });
  const auto cores = cores_by_type(input);
  const auto can_run = [&](const MachineType& machine_type, const PlanJob& job) {
    return !job.excluded_types.contains(machine_type.name) && fits_machine_type(*job.spec, machine_type);
  };
  std::map<std::string, double> queued_work;
  const auto add_work = [&](const Item& item, double sign) {
    double total_cores = 0;
    for (const auto& [name, type_and_cores] : cores)
      total_cores +=
          can_run(*type_and_cores.first, input.jobs[item.job]) ? from_amount(type_and_cores.second) : 0;
    if (total_cores <= 0) return 0.0;
    double queued = 0;
    for (const auto& [name, type_and_cores] : cores) {
      if (!can_run(*type_and_cores.first, input.jobs[item.job])) continue;
      const double work = item.seconds * from_amount(task_core_equivalents(
                                             input.jobs[item.job].spec->resources, *type_and_cores.first));
      queued_work[name] += sign * work * from_amount(type_and_cores.second) / total_cores;
      queued += queued_work[name];
    }
    return queued / total_cores;
  };
  std::vector<std::size_t> admitted;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const PlanJob& job = input.jobs[items[i].job];
    admitted.push_back(i);
    if (add_work(items[i], 1) <= to_seconds(items[i].slack)) continue;
    std::size_t largest = admitted.size() - 1;
    for (std::size_t k = 0; k < admitted.size(); ++k) {
      const Item& other = items[admitted[k]];
      const JobSpec& spec = *input.jobs[other.job].spec;
      if (spec.priority == job.spec->priority && spec.resources == job.spec->resources &&
          other.work > items[admitted[largest]].work)
        largest = k;
    }
    add_work(items[admitted[largest]], -1);
    out[items[admitted[largest]].job] = true;
    admitted.erase(admitted.begin() + static_cast<std::ptrdiff_t>(largest));
  }
  return out;
}

std::vector<std::size_t> service_order(const PlanningInput& input) {
  std::vector<std::size_t> out(input.jobs.size());
  std::iota(out.begin(), out.end(), std::size_t{0});
  using Key =
      std::tuple<Priority, bool, DeadlineStatus, Micros, Micros, std::int64_t, std::int64_t, std::string>;
  std::vector<Key> keys;
  const std::vector<bool> shed = shed_jobs(input);
  for (std::size_t i = 0; i < input.jobs.size(); ++i) {
    const PlanJob& job = input.jobs[i];
    const std::int64_t accepted = job.accepted_at.time_since_epoch().count();
    const std::int64_t deadline = job.spec->deadline ? accepted + job.spec->deadline->count()
                                                     : std::numeric_limits<std::int64_t>::max();
    Slack job_slack = slack(job, input.now, input.settings->objectives);
    if (job_slack.status == DeadlineStatus::missed) job_slack.time_to_latest_start = Micros::max();
    if (shed[i]) job_slack = {DeadlineStatus::missed, job_slack.remaining, job_slack.remaining};
    // A job that has not started within 150 s is served before all others of its priority, the longest wait
    // first. An array is then treated as priority `high`, unless it has priority `prod`.
    if (is_start_overdue(job, input)) job_slack = {DeadlineStatus::at_risk, job.accepted_at - input.now, {}};
    const bool beyond_guarantee = !job.guaranteed && !is_start_overdue(job, input);
    Priority priority = job.spec->priority;
    if (is_start_overdue(job, input) && job.spec->type == JobType::array && priority != Priority::prod)
      priority = Priority::high;
    keys.emplace_back(priority, beyond_guarantee, job_slack.status, job_slack.time_to_latest_start,
                      -rank(job), deadline, accepted, job.spec->job_id);
  }
  std::sort(out.begin(), out.end(),
            [&](std::size_t left, std::size_t right) { return keys[left] < keys[right]; });
  return out;
}

Plan plan(const PlanningInput& input) {
  PlanState plan_state{input, {}, {}, input.team_usage};
  for (const MachineInput& machine_input : input.machines) {
    plan_state.machines.push_back(machine_input.machine);
    FutureMachine future_machine{machine_input.machine, {}};
    for (const EndingTask& ending : machine_input.ending_tasks)
      future_machine.places.push_back(
          {time_until_free(ending, machine_input.machine, input.steady_now), ending.resources, false});
    plan_state.future_machines.push_back(std::move(future_machine));
  }
  Plan plan;
  for (const std::size_t job_index : service_order(input)) {
    const PlanJob& job = input.jobs[job_index];
    const JobSpec& spec = *job.spec;
    const bool gang = spec.type == JobType::gang;
    const std::uint32_t wanted = count_fitting(
        spec.resources, remaining_ceiling(input.settings->team(spec.team), plan_state.team_usage[spec.team]),
        job.waiting);
    if (wanted == 0 || (gang && wanted < job.waiting)) continue;
    const bool at_risk = slack(job, input.now, input.settings->objectives).status == DeadlineStatus::at_risk;
    const bool first_task_only = spec.type == JobType::array && is_start_overdue(job, input);
    const std::uint32_t to_place = first_task_only ? 1 : wanted;
    const auto places =
        first_task_only ? decltype(future_places(plan_state, job)){} : future_places(plan_state, job);
    const auto chosen =
        best_placement(plan_state, job_index, candidates(plan_state, job, to_place), places, to_place);
    for (const Placement& placement : chosen) {
      PlanMachine& machine = plan_state.machines[placement.machine];
      machine.free.reserve(spec, placement.tasks);
      if (!has_image(machine, spec.image) && find_fetch(machine, spec.image) == nullptr)
        machine.fetches.push_back({spec.image, spec.image_gb, spec.priority});
      plan.placements.push_back(placement);
    }
    std::uint32_t placed = total_tasks(chosen);
    if (placed == 0 && first_task_only) reserve(plan_state, job, 1, from_seconds(60));
    if (placed == 0 && gang && at_risk) reserve(plan_state, job, job.waiting, kGangReservationHorizon);
    plan_state.team_usage[spec.team] += spec.resources * wanted;
    const std::uint32_t expected_soon = std::min(wanted - placed, static_cast<std::uint32_t>(places.size()));
    for (std::uint32_t i = 0; i < expected_soon; ++i) places[i].second->reserved = true;
    if (!at_risk) placed += expected_soon;
    if (placed < wanted) plan.shortages.push_back({job_index, wanted - placed, at_risk ? expected_soon : 0});
  }
  return plan;
}

PlanningContext planning_context(const PlanningInput& input) {
  return {input.now, input.steady_now, input.settings, &input.team_usage, input.starting_cores};
}

namespace {

/// Returns an index with the machines and jobs of the input; slots equal their indices.
PlacementIndex build_index(const PlanningInput& input) {
  PlacementIndex index;
  for (const MachineInput& machine_input : input.machines)
    index.set_machine(index.new_machine(), machine_input.machine, machine_input.ending_tasks,
                      machine_input.machine.machine_type->capacity.cores, machine_input.open);
  for (const PlanJob& job : input.jobs) index.set_job(index.new_job(), job, input.settings->objectives);
  return index;
}

}  // namespace

std::vector<std::size_t> index_service_order(const PlanningInput& input) {
  PlacementIndex index = build_index(input);
  const auto slots = index.service_order(planning_context(input));
  return {slots.begin(), slots.end()};
}

Plan index_plan(const PlanningInput& input) {
  PlacementIndex index = build_index(input);
  return index.plan(planning_context(input));
}

PreemptionView preemption_view(const PlanningInput& input) {
  PreemptionView out;
  out.jobs = input.jobs;
  for (const MachineInput& machine_input : input.machines) out.machines.push_back(machine_input.machine);
  return out;
}

}  // namespace oracle
