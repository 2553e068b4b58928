#include "wrenusher/planner/planner.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace wrenusher::planner {

namespace {

/// A job that must start within this time to meet its target goes before the others of its urgency.
constexpr Micros kPressed = from_seconds(100);

/// Every job is to have begun this long after it was accepted. Without a bound the rule of Moore and Hodgson
/// leaves out the largest job again and again, as long as smaller ones come.
constexpr Micros kBeginWithin = from_seconds(150);

/// A task that ends within this time by itself is not stopped for another.
constexpr Micros kSoonOver = from_seconds(10);

}  // namespace

Needs ceiling_left(const Team* team, const Needs& used) {
  constexpr Amount kNoLimit = std::numeric_limits<Amount>::max() / 4;
  Needs left{kNoLimit, kNoLimit, kNoLimit};
  if (team == nullptr) return {};
  if (team->cores_max > 0) left.cores = to_amount(team->cores_max) - used.cores;
  if (team->cards_max > 0) left.cards = to_amount(team->cards_max) - used.cards;
  return left;
}

double misfit(const PlanHost& host, const Needs& need) {
  const Needs& all = host.flavor->room;
  return all.cores > 0
             ? static_cast<double>(host.free.room.cores - need.cores) / static_cast<double>(all.cores)
             : 0;
}

bool Guarantees::fits(const JobSpec& spec, std::uint32_t unfinished) {
  const Team* team = settings_.team(spec.owner);
  if (team == nullptr) return false;
  Needs& sum = sums_[spec.owner];
  sum += spec.needs * unfinished;
  const bool cores = spec.needs.cores == 0 || sum.cores <= to_amount(team->cores);
  const bool cards = spec.needs.cards == 0 || sum.cards <= to_amount(team->cards);
  return (team->cores > 0 || team->cards > 0) && cores && cards;
}

Amount in_cores(const Needs& need, const Flavor& f) {
  const auto part = [](Amount n, Amount of) {
    return of > 0 ? static_cast<double>(n) / static_cast<double>(of) : 0.0;
  };
  const double most = std::max(
      {part(need.cores, f.room.cores), part(need.cards, f.room.cards), part(need.memory, f.room.memory)});
  return static_cast<Amount>(most * static_cast<double>(f.room.cores));
}

std::uint32_t most_at_once(const Needs& need, const Needs& ceiling, std::uint32_t most) {
  Amount n = most;
  if (need.cores > 0 && ceiling.cores > 0) n = std::min(n, ceiling.cores / need.cores);
  if (need.cards > 0 && ceiling.cards > 0) n = std::min(n, ceiling.cards / need.cards);
  return static_cast<std::uint32_t>(std::max<Amount>(n, 1));
}

std::uint32_t zone_allowance(const JobSpec& spec, const std::map<std::string, std::uint32_t>& zones,
                             const std::string& zone) {
  std::uint32_t allowed = spec.units;
  if (spec.same_place) {
    for (const auto& [z, n] : zones) {
      if (n > 0 && z != zone) return 0;
    }
  }
  if (spec.scatter) {
    const std::uint32_t half = (spec.units + 1) / 2;
    const auto it = zones.find(zone);
    const std::uint32_t there = it == zones.end() ? 0 : it->second;
    allowed = there >= half ? 0 : half - there;
  }
  return allowed;
}

bool fits_flavor(const JobSpec& spec, const Flavor& f) {
  return spec.needs.fits(f.room) && std::any_of(f.sites.begin(), f.sites.end(), [&](const std::string& z) {
           return spec.allows(f.name, z, false);
         });
}

std::set<std::string> fitting_flavors(const JobSpec& spec, const Catalog& catalog) {
  std::set<std::string> out;
  for (const auto& [name, f] : catalog) {
    if (fits_flavor(spec, f)) out.insert(name);
  }
  return out;
}

std::vector<Micros> targets(const JobSpec& spec, const std::vector<Objective>& objectives) {
  std::vector<Micros> out;
  for (const Objective& o : objectives) {
    if (o.queue != spec.queue) continue;
    if (o.kind == "deadline" && spec.due) out.push_back(from_seconds(to_seconds(*spec.due) * o.times));
    if (o.kind == "finished" && o.within.count() > 0) out.push_back(o.within);
  }
  if (out.empty() && spec.due) out.push_back(*spec.due);
  std::sort(out.begin(), out.end());
  return out;
}

Aims aims(const PlanJob& job, const std::vector<Objective>& objectives) {
  Aims out;
  for (const Micros& aim : targets(*job.spec, objectives)) {
    // Estimates are off, so an aim is given up only once it is missed by an eighth of the run time.
    out.emplace_back(job.accepted + aim - job.estimate * job.waves, job.estimate / 8);
  }
  // An array starts bit by bit and counts by its end; what starts as a whole has aims for that as well.
  for (const Objective& o : objectives) {
    if (o.kind == "wait" && o.queue == job.spec->queue && job.spec->shape != Shape::sweep)
      out.emplace_back(job.accepted + o.within, Micros{0});
  }
  std::sort(out.begin(), out.end());
  return out;
}

Slack slack(const Aims& aims, WallTime now) {
  if (aims.empty()) return {Standing::ordinary, {}, Micros::max()};
  for (const auto& [by, grace] : aims) {
    const Micros left = by - now;
    if (left < -grace) continue;
    if (left < kPressed) return {Standing::pressed, left, std::max(left, Micros{0})};
    return {Standing::ordinary, {}, left};
  }
  return {Standing::late, {}, {}};
}

Slack slack(const PlanJob& job, WallTime now, const std::vector<Objective>& objectives) {
  return slack(aims(job, objectives), now);
}

bool overdue(const PlanJob& job, WallTime now) {
  return !job.begun && now - job.accepted > kBeginWithin;
}

Micros rank(const PlanJob& job) {
  return job.estimate;
}

bool open_to(const PlanHost& host, const PlanJob& job) {
  if (host.guarded && std::none_of(host.place->devices.begin(), host.place->devices.end(),
                                   [&](const auto& d) { return job.spec->devices().contains(d.first); }))
    return false;
  return job.spec->allows(host.flavor->name, host.site, host.standby) &&
         !job.keep_off.contains(host.flavor->name);
}

bool cached(const PlanHost& host, const std::string& bundle) {
  return host.images != nullptr && host.images->contains(bundle);
}

const Pull* pull_of(const PlanHost& host, const std::string& bundle) {
  const auto it =
      std::find_if(host.pulls.begin(), host.pulls.end(), [&](const Pull& p) { return p.bundle == bundle; });
  return it == host.pulls.end() ? nullptr : &*it;
}

std::uint32_t count_fitting(const JobSpec& spec, const Free& free, std::uint32_t most) {
  std::uint32_t n = count_fitting(spec.needs, free.room, most);
  for (const auto& [name, each] : spec.devices()) {
    const auto it = free.devices.find(name);
    n = std::min(n, it == free.devices.end() ? 0 : it->second / each);
  }
  return n;
}

void Free::take(const JobSpec& spec, std::uint32_t tasks) {
  room -= spec.needs * tasks;
  for (const auto& [name, n] : spec.devices()) devices[name] -= n * tasks;
}

void Free::give(const JobSpec& spec) {
  room += spec.needs;
  for (const auto& [name, n] : spec.devices()) devices[name] += n;
}

std::uint32_t layout_allowance(const PlanLayout& l, const PlanHost& host, std::uint32_t units, bool prefers) {
  if (l.impossible) return 0;
  std::uint32_t allowed = units;
  if (l.spread >= 0 && (l.spread_must || prefers)) {
    const auto it = l.spread_at.find(host.domain(l.spread));
    const std::uint32_t there = it == l.spread_at.end() ? 0 : it->second;
    allowed = there >= l.most ? 0 : l.most - there;
  }
  if (l.together >= 0 && (l.together_must || prefers)) {
    for (const auto& [domain, n] : l.together_at) {
      if (n > 0 && domain != host.domain(l.together)) return 0;
    }
  }
  return allowed;
}

void layout_take(PlanLayout& l, const PlanHost& host, std::uint32_t tasks) {
  if (l.spread >= 0) l.spread_at[host.domain(l.spread)] += tasks;
  if (l.together >= 0) l.together_at[host.domain(l.together)] += tasks;
}

Micros leaves_in(const Leaving& l, const PlanHost& host, Instant now) {
  Micros in = l.end ? std::max(*l.end - now, l.in) : l.in;
  if (l.fetches != nullptr) in += fetch_time(host, *l.fetches);
  return in;
}

Micros fetch_time(const PlanHost& host, const JobSpec& spec) {
  if (cached(host, spec.bundle)) return Micros{0};
  const Pull* own = pull_of(host, spec.bundle);
  const double left = own != nullptr ? own->left_gb : spec.image_gb;
  // Of a rate shared evenly each other fetch takes as much as this one until one of the two ends.
  double all = left;
  for (const Pull& p : host.pulls) {
    if (&p != own) all += std::min(p.left_gb, left);
  }
  return from_seconds(all / host.flavor->pull_gb_per_s);
}

std::optional<Micros> burden(const PlanHost& host, const JobSpec& spec) {
  if (cached(host, spec.bundle) || pull_of(host, spec.bundle) != nullptr) return Micros{0};
  double all = 0;
  for (const Pull& p : host.pulls) {
    if (p.urgency == Urgency::prod && spec.urgency != Urgency::prod) return std::nullopt;
    all += std::min(p.left_gb, spec.image_gb);
  }
  return from_seconds(all / host.flavor->pull_gb_per_s);
}

Micros run_time(const PlanHost& host, const PlanJob& job) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(job.estimate.count()) / host.speed)};
}

Micros finish_time(const PlanHost& host, const PlanJob& job) {
  return fetch_time(host, *job.spec) + run_time(host, job);
}

namespace {

/// What stopping the task would lose: work that is not saved, and the time that saving takes.
Micros loss(const Running& r) {
  if (!r.spec->saves()) return r.age;
  return std::min(r.age, r.spec->snapshot);
}

}  // namespace

std::vector<std::size_t> preempt(const Snapshot& s, const std::vector<Shortage>& shortages,
                                 const std::vector<Running>& running) {
  std::vector<std::size_t> out;
  std::vector<Free> room;
  for (const PlanHost& h : s.hosts) room.push_back(h.free);
  for (const Running& r : running) {
    if (r.stopping) room[r.host].give(*r.spec);  // on its way out already
  }
  // By machine, what loses least first. What saves nothing is stopped only while it has more before it than
  // behind it.
  std::vector<std::vector<std::size_t>> victims(s.hosts.size());
  std::map<const JobSpec*, std::vector<std::size_t>> gangs;
  for (std::size_t i = 0; i < running.size(); ++i) {
    const Running& r = running[i];
    if (r.spec->shape == Shape::gang) gangs[r.spec].push_back(i);
    if (!r.stopping && r.remaining > kSoonOver && (r.spec->saves() || r.age < r.remaining))
      victims[r.host].push_back(i);
  }
  for (auto& there : victims) {
    std::sort(there.begin(), there.end(), [&](std::size_t a, std::size_t b) {
      const auto key = [&](const Running& r) {
        return std::tuple(-static_cast<int>(r.spec->urgency), !r.spec->saves(), loss(r));
      };
      return std::pair(key(running[a]), a) < std::pair(key(running[b]), b);
    });
  }
  std::vector<bool> taken(running.size(), false);
  for (const Shortage& sh : shortages) {
    const PlanJob& job = s.jobs[sh.job];
    const JobSpec& spec = *job.spec;
    if (spec.shape == Shape::gang) continue;
    std::map<std::string, std::uint32_t> zones = job.zones;
    std::optional<PlanLayout> layout = job.layout;
    const auto allowed = [&](const PlanHost& host) {
      return zone_allowance(spec, zones, host.site) > 0 &&
             (!layout || layout_allowance(*layout, host, spec.units, true) > 0);
    };
    // The tasks on this machine that make room for one more of the job; nothing where they cannot.
    const auto chosen = [&](std::size_t h) -> std::optional<std::vector<std::size_t>> {
      std::vector<std::size_t> stops;
      Free free = room[h];
      for (const std::size_t v : victims[h]) {
        if (count_fitting(spec, free, 1) > 0) break;
        const Running& r = running[v];
        if (taken[v] || r.spec->urgency <= spec.urgency) continue;
        Free freed = free;
        freed.give(*r.spec);
        // Not a large task for a small one.
        const std::uint32_t gain = count_fitting(spec, freed, sh.tasks);
        if ((spec.needs * std::max(gain, 1U)).cores * 2 < r.spec->needs.cores) continue;
        free = freed;
        stops.push_back(v);
      }
      if (count_fitting(spec, free, 1) == 0) return std::nullopt;
      return stops;
    };
    struct Candidate {
      Micros cost;
      std::size_t stops;
      std::size_t host;
      auto operator<=>(const Candidate&) const = default;
    };
    std::vector<Candidate> candidates;
    for (std::size_t h = 0; h < s.hosts.size(); ++h) {
      const PlanHost& host = s.hosts[h];
      if (!open_to(host, job)) continue;
      const auto stops = chosen(h);
      if (!stops) continue;
      // A service may also leave room unused where its image would have to be fetched.
      Micros cost = stops->empty() && !job.near_image ? Micros{0} : fetch_time(host, spec);
      for (const std::size_t v : *stops) cost += loss(running[v]);
      candidates.push_back({cost, stops->size(), h});
    }
    std::sort(candidates.begin(), candidates.end());
    std::uint32_t left = sh.tasks;
    for (const Candidate& c : candidates) {
      while (left > 0 && allowed(s.hosts[c.host])) {
        const auto stops = chosen(c.host);
        if (!stops) break;
        for (const std::size_t v : *stops) {
          // A gang stops as a whole, and leaves room wherever it is.
          std::vector<std::size_t> whole{v};
          if (const auto g = gangs.find(running[v].spec); g != gangs.end()) whole = g->second;
          for (const std::size_t w : whole) {
            if (taken[w] || running[w].stopping) continue;
            taken[w] = true;
            out.push_back(w);
            room[running[w].host].give(*running[w].spec);
          }
        }
        room[c.host].take(spec, 1);
        if (layout) layout_take(*layout, s.hosts[c.host], 1);
        ++zones[s.hosts[c.host].site];
        --left;
      }
      if (left == 0) break;
    }
  }
  return out;
}

}  // namespace wrenusher::planner
