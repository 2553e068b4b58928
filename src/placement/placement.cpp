#include "wrenusher/placement/placement.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace wrenusher::placement {

namespace {

/// A job that must start within this time to meet its target goes before the others of its urgency.
constexpr Micros kPressedWindow = from_seconds(100);

/// Every job is to have begun this long after it was accepted. Without a bound the rule of Moore and Hodgson
/// leaves out the largest job again and again, as long as smaller ones come.
constexpr Micros kMaxStartWait = from_seconds(150);

/// A task that ends within this time by itself is not stopped for another.
constexpr Micros kEndsSoon = from_seconds(10);

}  // namespace

Resources ceiling_left(const Team* team, const Resources& used) {
  constexpr Amount kNoLimit = std::numeric_limits<Amount>::max() / 4;
  Resources left{kNoLimit, kNoLimit, kNoLimit};
  if (team == nullptr) return {};
  if (team->cores_max > 0) left.cores = to_amount(team->cores_max) - used.cores;
  if (team->gpus_max > 0) left.gpus = to_amount(team->gpus_max) - used.gpus;
  return left;
}

double misfit(const PlanMachine& host, const Resources& need) {
  const Resources& all = host.machine_type->capacity;
  return all.cores > 0
             ? static_cast<double>(host.free.resources.cores - need.cores) / static_cast<double>(all.cores)
             : 0;
}

bool Guarantees::fits(const JobSpec& spec, std::uint32_t unfinished) {
  const Team* team = settings_.team(spec.team);
  if (team == nullptr) return false;
  Resources& sum = sums_[spec.team];
  sum += spec.resources * unfinished;
  const bool cores = spec.resources.cores == 0 || sum.cores <= to_amount(team->cores);
  const bool gpus = spec.resources.gpus == 0 || sum.gpus <= to_amount(team->gpus);
  return (team->cores > 0 || team->gpus > 0) && cores && gpus;
}

Amount core_equivalents(const Resources& need, const MachineType& machine_type) {
  const auto part = [](Amount n, Amount total) {
    return total > 0 ? static_cast<double>(n) / static_cast<double>(total) : 0.0;
  };
  const double most =
      std::max({part(need.cores, machine_type.capacity.cores), part(need.gpus, machine_type.capacity.gpus),
                part(need.memory, machine_type.capacity.memory)});
  return static_cast<Amount>(most * static_cast<double>(machine_type.capacity.cores));
}

std::uint32_t max_concurrent(const Resources& need, const Resources& ceiling, std::uint32_t most) {
  Amount n = most;
  if (need.cores > 0 && ceiling.cores > 0) n = std::min(n, ceiling.cores / need.cores);
  if (need.gpus > 0 && ceiling.gpus > 0) n = std::min(n, ceiling.gpus / need.gpus);
  return static_cast<std::uint32_t>(std::max<Amount>(n, 1));
}

std::uint32_t zone_allowance(const JobSpec& spec, const std::map<std::string, std::uint32_t>& zones,
                             const std::string& zone) {
  std::uint32_t allowed = spec.task_count;
  if (spec.single_zone) {
    for (const auto& [z, n] : zones) {
      if (n > 0 && z != zone) return 0;
    }
  }
  if (spec.spread_zones) {
    const std::uint32_t half = (spec.task_count + 1) / 2;
    const auto it = zones.find(zone);
    const std::uint32_t there = it == zones.end() ? 0 : it->second;
    allowed = there >= half ? 0 : half - there;
  }
  return allowed;
}

bool fits_machine_type(const JobSpec& spec, const MachineType& machine_type) {
  return spec.resources.fits(machine_type.capacity) &&
         std::any_of(machine_type.zones.begin(), machine_type.zones.end(),
                     [&](const std::string& z) { return spec.allows(machine_type.name, z, false); });
}

std::set<std::string> fitting_machine_types(const JobSpec& spec, const Catalog& catalog) {
  std::set<std::string> out;
  for (const auto& [name, f] : catalog) {
    if (fits_machine_type(spec, f)) out.insert(name);
  }
  return out;
}

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
  for (const Micros& aim : targets(*job.spec, objectives)) {
    // Estimates are off, so an aim is given up only once it is missed by an eighth of the run time.
    out.emplace_back(job.accepted_at + aim - job.estimate * job.waves, job.estimate / 8);
  }
  // An array starts bit by bit and counts by its end; what starts as a whole has aims for that as well.
  for (const Objective& objective : objectives) {
    if (objective.kind == "wait" && objective.job_class == job.spec->job_class &&
        job.spec->type != JobType::array)
      out.emplace_back(job.accepted_at + objective.within, Micros{0});
  }
  std::sort(out.begin(), out.end());
  return out;
}

Slack slack(const Aims& aims, WallTime now) {
  if (aims.empty()) return {DeadlineStatus::ordinary, {}, Micros::max()};
  for (const auto& [by, grace] : aims) {
    const Micros left = by - now;
    if (left < -grace) continue;
    if (left < kPressedWindow) return {DeadlineStatus::pressed, left, std::max(left, Micros{0})};
    return {DeadlineStatus::ordinary, {}, left};
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

bool accepts(const PlanMachine& host, const PlanJob& job) {
  if (host.reserved_for_devices &&
      std::none_of(host.place->devices.begin(), host.place->devices.end(),
                   [&](const auto& d) { return job.spec->devices().contains(d.first); }))
    return false;
  return job.spec->allows(host.machine_type->name, host.zone, host.spot) &&
         !job.excluded_types.contains(host.machine_type->name);
}

bool has_image(const PlanMachine& host, const std::string& image) {
  return host.images != nullptr && host.images->contains(image);
}

const PlannedFetch* find_fetch(const PlanMachine& host, const std::string& image) {
  const auto it = std::find_if(host.fetches.begin(), host.fetches.end(),
                               [&](const PlannedFetch& fetch) { return fetch.image == image; });
  return it == host.fetches.end() ? nullptr : &*it;
}

std::uint32_t count_fitting(const JobSpec& spec, const FreeCapacity& free, std::uint32_t most) {
  std::uint32_t n = count_fitting(spec.resources, free.resources, most);
  for (const auto& [name, each] : spec.devices()) {
    const auto it = free.devices.find(name);
    n = std::min(n, it == free.devices.end() ? 0 : it->second / each);
  }
  return n;
}

void FreeCapacity::reserve(const JobSpec& spec, std::uint32_t tasks) {
  resources -= spec.resources * tasks;
  for (const auto& [name, n] : spec.devices()) devices[name] -= n * tasks;
}

void FreeCapacity::release(const JobSpec& spec) {
  resources += spec.resources;
  for (const auto& [name, n] : spec.devices()) devices[name] += n;
}

std::uint32_t layout_allowance(const PlanLayout& layout, const PlanMachine& host, std::uint32_t task_count,
                               bool prefers) {
  if (layout.impossible) return 0;
  std::uint32_t allowed = task_count;
  if (layout.spread >= 0 && (layout.spread_required || prefers)) {
    const auto it = layout.spread_at.find(host.domain(layout.spread));
    const std::uint32_t there = it == layout.spread_at.end() ? 0 : it->second;
    allowed = there >= layout.max_tasks ? 0 : layout.max_tasks - there;
  }
  if (layout.colocation >= 0 && (layout.colocation_required || prefers)) {
    for (const auto& [domain, n] : layout.colocated_at) {
      if (n > 0 && domain != host.domain(layout.colocation)) return 0;
    }
  }
  return allowed;
}

void layout_add(PlanLayout& layout, const PlanMachine& host, std::uint32_t tasks) {
  if (layout.spread >= 0) layout.spread_at[host.domain(layout.spread)] += tasks;
  if (layout.colocation >= 0) layout.colocated_at[host.domain(layout.colocation)] += tasks;
}

Micros time_until_free(const EndingTask& ending, const PlanMachine& host, Instant now) {
  Micros in = ending.ends_at ? std::max(*ending.ends_at - now, ending.min_remaining) : ending.min_remaining;
  if (ending.awaited_image != nullptr) in += fetch_time(host, *ending.awaited_image);
  return in;
}

Micros fetch_time(const PlanMachine& host, const JobSpec& spec) {
  if (has_image(host, spec.image)) return Micros{0};
  const PlannedFetch* own = find_fetch(host, spec.image);
  const double left = own != nullptr ? own->remaining_gb : spec.image_gb;
  // Of a rate shared evenly each other fetch takes as much as this one until one of the two ends.
  double all = left;
  for (const PlannedFetch& fetch : host.fetches) {
    if (&fetch != own) all += std::min(fetch.remaining_gb, left);
  }
  return from_seconds(all / host.machine_type->fetch_gb_per_s);
}

std::optional<Micros> fetch_delay_imposed(const PlanMachine& host, const JobSpec& spec) {
  if (has_image(host, spec.image) || find_fetch(host, spec.image) != nullptr) return Micros{0};
  double all = 0;
  for (const PlannedFetch& fetch : host.fetches) {
    if (fetch.priority == Priority::prod && spec.priority != Priority::prod) return std::nullopt;
    all += std::min(fetch.remaining_gb, spec.image_gb);
  }
  return from_seconds(all / host.machine_type->fetch_gb_per_s);
}

Micros run_time(const PlanMachine& host, const PlanJob& job) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(job.estimate.count()) / host.speed)};
}

Micros finish_time(const PlanMachine& host, const PlanJob& job) {
  return fetch_time(host, *job.spec) + run_time(host, job);
}

namespace {

/// What stopping the task would lose: work that is not saved, and the time that saving takes.
Micros work_lost(const RunningTask& task) {
  if (!task.spec->has_checkpoints()) return task.age;
  return std::min(task.age, task.spec->checkpoint_time);
}

}  // namespace

std::vector<std::size_t> choose_preemptions(const PreemptionView& view,
                                            const std::vector<Shortage>& shortages,
                                            const std::vector<RunningTask>& running) {
  std::vector<std::size_t> out;
  std::vector<FreeCapacity> room;
  for (const PlanMachine& machine : view.machines) room.push_back(machine.free);
  for (const RunningTask& task : running) {
    if (task.stopping) room[task.machine].release(*task.spec);  // on its way out already
  }
  // By machine, what loses least first. What saves nothing is stopped only while it has more before it than
  // behind it.
  std::vector<std::vector<std::size_t>> victims(view.machines.size());
  std::map<const JobSpec*, std::vector<std::size_t>> gangs;
  for (std::size_t i = 0; i < running.size(); ++i) {
    const RunningTask& task = running[i];
    if (task.spec->type == JobType::gang) gangs[task.spec].push_back(i);
    if (!task.stopping && task.remaining > kEndsSoon &&
        (task.spec->has_checkpoints() || task.age < task.remaining))
      victims[task.machine].push_back(i);
  }
  for (auto& there : victims) {
    std::sort(there.begin(), there.end(), [&](std::size_t a, std::size_t b) {
      const auto key = [&](const RunningTask& task) {
        return std::tuple(-static_cast<int>(task.spec->priority), !task.spec->has_checkpoints(),
                          work_lost(task));
      };
      return std::pair(key(running[a]), a) < std::pair(key(running[b]), b);
    });
  }
  std::vector<bool> taken(running.size(), false);
  for (const Shortage& shortage : shortages) {
    const PlanJob& job = view.jobs[shortage.job];
    const JobSpec& spec = *job.spec;
    if (spec.type == JobType::gang) continue;
    std::map<std::string, std::uint32_t> zones = job.zones;
    std::optional<PlanLayout> layout = job.layout;
    const auto allowed = [&](const PlanMachine& host) {
      return zone_allowance(spec, zones, host.zone) > 0 &&
             (!layout || layout_allowance(*layout, host, spec.task_count, true) > 0);
    };
    // The tasks on this machine that make room for one more of the job; nothing where they cannot.
    const auto chosen = [&](std::size_t h) -> std::optional<std::vector<std::size_t>> {
      std::vector<std::size_t> stops;
      FreeCapacity free = room[h];
      for (const std::size_t v : victims[h]) {
        if (count_fitting(spec, free, 1) > 0) break;
        const RunningTask& task = running[v];
        if (taken[v] || task.spec->priority <= spec.priority) continue;
        FreeCapacity freed = free;
        freed.release(*task.spec);
        // Not a large task for a small one.
        const std::uint32_t gain = count_fitting(spec, freed, shortage.tasks);
        if ((spec.resources * std::max(gain, 1U)).cores * 2 < task.spec->resources.cores) continue;
        free = freed;
        stops.push_back(v);
      }
      if (count_fitting(spec, free, 1) == 0) return std::nullopt;
      return stops;
    };
    struct Candidate {
      Micros cost;
      std::size_t stops;
      std::size_t machine;
      auto operator<=>(const Candidate&) const = default;
    };
    std::vector<Candidate> candidates;
    for (std::size_t h = 0; h < view.machines.size(); ++h) {
      const PlanMachine& host = view.machines[h];
      if (!accepts(host, job)) continue;
      const auto stops = chosen(h);
      if (!stops) continue;
      // A service may also leave room unused where its image would have to be fetched.
      Micros cost = stops->empty() && !job.near_image ? Micros{0} : fetch_time(host, spec);
      for (const std::size_t v : *stops) cost += work_lost(running[v]);
      candidates.push_back({cost, stops->size(), h});
    }
    std::sort(candidates.begin(), candidates.end());
    std::uint32_t left = shortage.tasks;
    for (const Candidate& candidate : candidates) {
      while (left > 0 && allowed(view.machines[candidate.machine])) {
        const auto stops = chosen(candidate.machine);
        if (!stops) break;
        for (const std::size_t v : *stops) {
          // A gang stops as a whole, and leaves room wherever it is.
          std::vector<std::size_t> whole{v};
          if (const auto g = gangs.find(running[v].spec); g != gangs.end()) whole = g->second;
          for (const std::size_t w : whole) {
            if (taken[w] || running[w].stopping) continue;
            taken[w] = true;
            out.push_back(w);
            room[running[w].machine].release(*running[w].spec);
          }
        }
        room[candidate.machine].reserve(spec, 1);
        if (layout) layout_add(*layout, view.machines[candidate.machine], 1);
        ++zones[view.machines[candidate.machine].zone];
        --left;
      }
      if (left == 0) break;
    }
  }
  return out;
}

}  // namespace wrenusher::placement
