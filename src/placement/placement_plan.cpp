// How a plan is made on the board: candidates for each job, where a job is tried as a whole, the choice, and
// the places that are kept for what must start soon.

#include <algorithm>
#include <limits>
#include <tuple>

#include "wrenusher/placement/placement_index.hpp"

namespace wrenusher::placement {

/// The machines for up to `want` tasks of the job, the best first.
std::vector<PlacementIndex::Candidate> PlacementIndex::candidates(Slot slot, std::uint32_t want) {
  const PlanJob& job = jobs_[slot].job;
  const JobSpec& spec = *job.spec;
  ConstraintClass& likes = constraint_classes_[jobs_[slot].constraint_class];
  std::vector<Candidate> out;
  if (likes.exhausted_in_plan == plan_count_) return out;
  bool some = false;
  const std::uint32_t need = size_class(spec.resources);
  for (std::uint32_t k = 0; k < machine_classes_.size(); ++k) {
    if (!admits(slot, k)) continue;
    for (const auto& [size, machines] : machine_classes_[k].by_size_class) {
      if (!covers(size, need)) continue;
      for (const std::uint32_t h : machines) {
        const PlanMachine& host = current_state(h);
        ++statistics_.machines;
        if (count_fitting(spec.resources, host.free.resources, 1) == 0) continue;
        some = true;
        const std::uint32_t fits = count_fitting(spec, host.free, want);
        if (fits == 0) continue;
        if (job.avoided_machines != nullptr) {
          const auto it = job.avoided_machines->find(host.name);
          if (it != job.avoided_machines->end() && instant_ < it->second) continue;
        }
        if (job.layout && layout_allowance(*job.layout, host, spec.task_count, false) == 0) continue;
        const std::optional<Micros> delay = fetch_delay_imposed(host, spec);
        if (!delay) continue;
        const Micros fetch = fetch_time(host, spec);
        if (job.near_image && fetch * 2 > from_seconds(spec.image_gb / host.machine_type->fetch_gb_per_s))
          continue;
        out.push_back({h, fetch + run_time(host, job) + *delay, host.machine_type->capacity.cores,
                       host.runs_services ? 0
                       : host.spot        ? 1
                                          : 2,
                       misfit(host, spec.resources), fits, fetch + *delay});
      }
    }
  }
  // Room only shrinks within a plan: what finds none now finds none later.
  if (!some) likes.exhausted_in_plan = plan_count_;
  std::sort(out.begin(), out.end(), [this](const Candidate& a, const Candidate& b) {
    const auto ra = a.finish / kEqualFinishWindow;
    const auto rb = b.finish / kEqualFinishWindow;
    if (ra != rb) return ra < rb;
    // A machine much larger than the task is better kept for what fits nowhere else.
    if (a.size != b.size) return a.size < b.size;
    // What stays for its services costs nothing more, and spot machines a fraction: what those can take
    // leaves other ordinary ones empty, to be returned.
    if (a.cost != b.cost) return a.cost < b.cost;
    if (a.misfit != b.misfit) return a.misfit < b.misfit;
    return machines_[a.machine].machine.name < machines_[b.machine].machine.name;
  });
  return out;
}

/// Where to try one after the other: a job that must stay together, and is nowhere yet, in each zone or
/// domain by itself.
std::vector<PlacementIndex::Scope> PlacementIndex::scopes(const PlanJob& job,
                                                          const std::vector<Candidate>& found) const {
  const bool zones = job.spec->single_zone && job.zones.empty();
  const bool domains = job.layout && job.layout->colocation >= 0 && job.layout->colocated_at.empty();
  if (!zones && !domains) return {Scope{}};
  std::vector<Scope> out;
  for (const Candidate& candidate : found) {
    const PlanMachine& host = machines_[candidate.machine].machine;
    Scope scope;
    if (zones) scope.zone = host.zone;
    if (domains) scope.domain = host.domain(job.layout->colocation);
    if (std::find(out.begin(), out.end(), scope) == out.end()) out.push_back(std::move(scope));
  }
  return out;
}

PlacementIndex::PlacementChoice PlacementIndex::choose_places(Slot slot, const std::vector<Candidate>& found,
                                                              const UpcomingView& view, std::uint32_t want,
                                                              const Scope& scope, bool strict) const {
  const PlanJob& job = jobs_[slot].job;
  const JobSpec& spec = *job.spec;
  const bool zoned = spec.single_zone || spec.spread_zones;
  std::map<std::string, std::uint32_t> zones = job.zones;
  std::optional<PlanLayout> layout = job.layout;
  std::vector<std::uint32_t> used(layout ? found.size() : 0, 0);
  PlacementChoice out;
  const auto pass = [&](bool prefers) {
    for (std::size_t i = 0; i < found.size() && out.tasks < want; ++i) {
      const Candidate& candidate = found[i];
      const PlanMachine& host = machines_[candidate.machine].machine;
      if (!scope.zone.empty() && host.zone != scope.zone) continue;
      if (scope.domain && (prefers || layout->colocation_required) &&
          host.domain(layout->colocation) != *scope.domain)
        continue;
      std::uint32_t n = std::min(candidate.task_capacity, want - out.tasks);
      if (zoned) n = std::min(n, zone_allowance(spec, zones, host.zone));
      if (layout)
        n = std::min({n, candidate.task_capacity - used[i],
                      layout_allowance(*layout, host, spec.task_count, prefers)});
      // Not those that will sooner have a place with the image.
      if (candidate.fetch.count() > 0)
        n = std::min(n, want - out.tasks - view.within(candidate.fetch, want - out.tasks));
      if (n == 0) continue;
      out.placements.push_back({slot, candidate.machine, n});
      if (zoned) zones[host.zone] += n;
      if (layout) {
        layout_add(*layout, host, n);
        used[i] += n;
      }
      out.tasks += n;
    }
  };
  pass(true);
  if (layout && !strict && out.tasks < want) pass(false);
  return out;
}

/// A gang goes where all of it fits, a service that must stay together where most of it does, and an array
/// where its first task is done the soonest.
PlacementIndex::PlacementChoice PlacementIndex::best_choice(Slot slot, const std::vector<Candidate>& found,
                                                            const UpcomingView& view,
                                                            std::uint32_t want) const {
  const PlanJob& job = jobs_[slot].job;
  const std::vector<Scope> all = scopes(job, found);
  const JobType type = job.spec->type;
  PlacementChoice out;
  if (type == JobType::gang) {
    for (const bool strict : {true, false}) {
      if (!strict && !job.layout) break;
      for (const Scope& scope : all) {
        PlacementChoice choice = choose_places(slot, found, view, want, scope, strict);
        if (choice.tasks == want) return choice;
      }
    }
    return out;
  }
  for (const Scope& scope : all) {
    PlacementChoice choice = choose_places(slot, found, view, want, scope, false);
    if (choice.tasks > out.tasks) out = std::move(choice);
    if (type != JobType::service || !scope.domain) break;
  }
  return out;
}

/// What was chosen takes its room, and its image is on its way.
void PlacementIndex::apply_choice(const PlacementChoice& choice, const JobSpec& spec) {
  for (const Placement& placement : choice.placements) {
    PlanMachine& host = planned_state(placement.machine);
    host.free.reserve(spec, placement.tasks);
    if (!has_image(host, spec.image) && find_fetch(host, spec.image) == nullptr)
      host.fetches.push_back({spec.image, spec.image_gb, spec.priority});
    index_free_room(placement.machine, host.free.resources);
  }
}

/// Keeps places for a gang that must start soon, or for the first task of what is overdue: on the machines
/// where all these tasks fit the soonest, what is
/// free now and what becomes free until then is not given to jobs behind it. Without this, small tasks take
/// every place as it comes, and a gang waits for room that several of them would have to leave at once.
void PlacementIndex::reserve_for_gang(Slot slot, std::uint32_t tasks, Micros within) {
  const PlanJob& job = jobs_[slot].job;
  const JobSpec& spec = *job.spec;
  struct Fit {
    Micros available_in;
    Slot machine;
  };
  std::map<std::pair<std::string, topology::DomainId>, std::vector<Fit>> groups;
  const bool apart = job.layout && job.layout->colocation >= 0 && job.layout->colocation_required;
  for (Slot h = 0; h < machines_.size(); ++h) {
    const MachineEntry& host = machines_[h];
    if (!host.present || !admits(slot, host.machine_class) || !fetch_delay_imposed(host.machine, spec))
      continue;
    if (job.layout && layout_allowance(*job.layout, host.machine, spec.task_count, false) == 0) continue;
    ++statistics_.machines;
    const Micros fetch = fetch_time(host.machine, spec);
    auto& fits = groups[{spec.single_zone ? host.machine.zone : "",
                         apart ? host.machine.domain(job.layout->colocation) : 0}];
    FreeCapacity free = host.machine.free;
    std::uint32_t here = 0;
    const auto add = [&](Micros in) {
      // No more than there are: a task that needs nothing would fit for ever.
      for (; here < tasks && count_fitting(spec, free, 1) > 0; free.reserve(spec, 1), ++here)
        fits.push_back({in + fetch, h});
    };
    add(Micros{0});
    std::vector<std::pair<Micros, std::size_t>> leaving;
    for (std::size_t i = 0; i < host.ending_tasks.size(); ++i) {
      const Micros in = time_until_free(host.ending_tasks[i], host.machine, instant_);
      if (futures_[host.futures[i]].reserved_in_plan != plan_count_ && in <= within)
        leaving.emplace_back(in, i);
    }
    std::sort(leaving.begin(), leaving.end());
    for (const auto& [in, i] : leaving) {
      free.resources += host.ending_tasks[i].resources;
      add(in);
    }
  }
  std::vector<Fit> best;
  for (auto& [group, fits] : groups) {
    std::sort(fits.begin(), fits.end(), [&](const Fit& a, const Fit& b) {
      return a.available_in != b.available_in
                 ? a.available_in < b.available_in
                 : machines_[a.machine].machine.name < machines_[b.machine].machine.name;
    });
    std::optional<PlanLayout> layout = job.layout;
    std::vector<Fit> chosen;
    for (const Fit& f : fits) {
      if (chosen.size() == tasks) break;
      if (layout && layout_allowance(*layout, machines_[f.machine].machine, spec.task_count, false) == 0)
        continue;
      if (layout) layout_add(*layout, machines_[f.machine].machine, 1);
      chosen.push_back(f);
    }
    if (chosen.size() == tasks && (best.empty() || chosen.back().available_in < best.back().available_in))
      best = std::move(chosen);
  }
  for (const Fit& f : best) {
    planned_state(f.machine).free = {};
    index_free_room(f.machine, {});
    for (const std::uint32_t p : machines_[f.machine].futures) futures_[p].reserved_in_plan = plan_count_;
  }
}

void PlacementIndex::end_plan() {
  for (const auto& [slot, host] : planned_machines_)
    index_free_room(slot, machines_[slot].machine.free.resources);
  planned_machines_.clear();
}

Plan PlacementIndex::plan(const PlanningContext& context) {
  Plan plan;
  ++plan_count_;
  statistics_ = {};
  run_timers(context.instant);
  rank_jobs(context);
  struct Budget {
    const Team* team = nullptr;
    Resources used;
  };
  std::vector<Budget> budgets(teams_.size());
  for (std::size_t t = 0; t < teams_.size(); ++t) {
    budgets[t].team = context.settings->team(teams_[t]);
    if (const auto it = context.team_usage->find(teams_[t]); it != context.team_usage->end())
      budgets[t].used = it->second;
  }
  for (const Slot slot : service_order_) {
    const JobEntry& entry = jobs_[slot];
    const JobSpec& spec = *entry.job.spec;
    ++statistics_.jobs;
    const bool gang = spec.type == JobType::gang;
    Budget& budget = budgets[entry.team];
    const std::uint32_t want =
        count_fitting(spec.resources, ceiling_left(budget.team, budget.used), entry.job.waiting);
    if (want == 0 || (gang && want < entry.job.waiting)) continue;
    const bool pressed = slacks_[slot].status == DeadlineStatus::pressed;
    // What is overdue begins with one task, wherever it has room.
    const bool first = spec.type == JobType::array && is_overdue(entry.job, context.now);
    const std::uint32_t now = first ? 1 : want;
    const UpcomingView places = first ? UpcomingView{} : upcoming_places(entry, want);
    const std::vector<Candidate> found = candidates(slot, now);
    const PlacementChoice choice = found.empty() ? PlacementChoice{} : best_choice(slot, found, places, now);
    apply_choice(choice, spec);
    plan.placements.insert(plan.placements.end(), choice.placements.begin(), choice.placements.end());
    std::uint32_t placed = choice.tasks;
    if (placed == 0 && first) reserve_for_gang(slot, 1, kOverdueReservation);
    if (placed == 0 && gang && pressed) reserve_for_gang(slot, entry.job.waiting, kGangReservation);
    // What is short counts against the ceiling too: it will be used as soon as there is room.
    budget.used += spec.resources * want;
    const std::uint32_t taken = std::min(want - placed, static_cast<std::uint32_t>(places.places.size()));
    for (std::uint32_t i = 0; i < taken; ++i)
      futures_[places.places[i].future].reserved_in_plan = plan_count_;
    // Those with a place in view are short all the same where they are pressed: it may go to others.
    if (!pressed) placed += taken;
    if (placed < want) plan.shortages.push_back({slot, want - placed, pressed ? taken : 0});
  }
  end_plan();
  return plan;
}

}  // namespace wrenusher::placement
