#include "wrenusher/planner/planner.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace wrenusher::planner {

namespace {

/// Finish times closer than this count as equal: estimates are off by far more, and among equals the machine
/// that the task fills best is taken, so that large tasks keep whole machines.
constexpr Micros kAlike = from_seconds(5);

/// A job that must start within this time to meet its target goes before the others of its urgency.
constexpr Micros kPressed = from_seconds(100);

/// Places are kept for a gang where it can start within this time.
constexpr Micros kReserve = from_seconds(20);

/// A task that ends within this time by itself is not stopped for another.
constexpr Micros kSoonOver = from_seconds(10);

Needs ceiling_left(const Snapshot& s, const std::string& owner) {
  constexpr Amount kNoLimit = std::numeric_limits<Amount>::max() / 4;
  Needs left{kNoLimit, kNoLimit, kNoLimit};
  const Team* team = s.settings->team(owner);
  if (team == nullptr) return {};
  Needs used;
  if (const auto it = s.teams.find(owner); it != s.teams.end()) used = it->second;
  if (team->cores_max > 0) left.cores = to_amount(team->cores_max) - used.cores;
  if (team->cards_max > 0) left.cards = to_amount(team->cards_max) - used.cards;
  return left;
}

/// How much of the machine stays unused by tasks of this need, from 0 to 1: the more, the worse the fit.
double misfit(const PlanHost& host, const Needs& need) {
  const Needs& all = host.flavor->room;
  return all.cores > 0 ? static_cast<double>(host.room.cores - need.cores) / static_cast<double>(all.cores)
                       : 0;
}

}  // namespace

std::vector<bool> guaranteed(std::vector<TeamJob> jobs, const Settings& settings) {
  std::vector<std::size_t> by_age(jobs.size());
  std::iota(by_age.begin(), by_age.end(), std::size_t{0});
  std::sort(by_age.begin(), by_age.end(), [&](std::size_t a, std::size_t b) {
    return std::tuple(jobs[a].accepted, jobs[a].spec->ref) < std::tuple(jobs[b].accepted, jobs[b].spec->ref);
  });
  std::vector<bool> out(jobs.size(), false);
  std::map<std::string, Needs> sums;
  for (const std::size_t i : by_age) {
    const JobSpec& spec = *jobs[i].spec;
    const Team* team = settings.team(spec.owner);
    if (team == nullptr) continue;
    Needs& sum = sums[spec.owner];
    sum += spec.needs * jobs[i].unfinished;
    const bool cores = spec.needs.cores == 0 || sum.cores <= to_amount(team->cores);
    const bool cards = spec.needs.cards == 0 || sum.cards <= to_amount(team->cards);
    out[i] = (team->cores > 0 || team->cards > 0) && cores && cards;
  }
  return out;
}

Amount in_cores(const Needs& need, const Flavor& f) {
  const auto part = [](Amount n, Amount of) {
    return of > 0 ? static_cast<double>(n) / static_cast<double>(of) : 0.0;
  };
  const double most = std::max(
      {part(need.cores, f.room.cores), part(need.cards, f.room.cards), part(need.memory, f.room.memory)});
  return static_cast<Amount>(most * static_cast<double>(f.room.cores));
}

std::uint32_t count_fitting(const Needs& need, const Needs& room, std::uint32_t most) {
  Amount n = most;
  if (need.cores > 0) n = std::min(n, room.cores / need.cores);
  if (need.cards > 0) n = std::min(n, room.cards / need.cards);
  if (need.memory > 0) n = std::min(n, room.memory / need.memory);
  if (room.cores < 0 || room.cards < 0 || room.memory < 0) n = 0;
  return static_cast<std::uint32_t>(std::max<Amount>(n, 0));
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

Slack slack(const PlanJob& job, WallTime now, const std::vector<Objective>& objectives) {
  // How long it may wait for each, and how far beyond that it is not given up.
  std::vector<std::pair<Micros, Micros>> aims;
  for (const Micros& aim : targets(*job.spec, objectives)) {
    // Estimates are off, so an aim is given up only once it is missed by an eighth of the run time.
    aims.emplace_back(job.accepted + aim - now - job.estimate * job.waves, job.estimate / 8);
  }
  // An array starts bit by bit and counts by its end; what starts as a whole has aims for that as well.
  for (const Objective& o : objectives) {
    if (o.kind == "wait" && o.queue == job.spec->queue && job.spec->shape != Shape::sweep)
      aims.emplace_back(job.accepted + o.within - now, Micros{0});
  }
  if (aims.empty()) return {Standing::ordinary, {}, Micros::max()};
  std::sort(aims.begin(), aims.end());
  for (const auto& [left, grace] : aims) {
    if (left < -grace) continue;
    if (left < kPressed) return {Standing::pressed, left, std::max(left, Micros{0})};
    return {Standing::ordinary, {}, left};
  }
  return {Standing::late, {}, {}};
}

Micros rank(const PlanJob& job) {
  return job.estimate;
}

namespace {

/// Whether the job may and will use the machine, room or not.
bool open_to(const PlanHost& host, const PlanJob& job) {
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

}  // namespace

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

namespace {

Micros run_time(const PlanHost& host, const PlanJob& job) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(job.estimate.count()) / host.speed)};
}

}  // namespace

Micros finish_time(const PlanHost& host, const PlanJob& job) {
  return fetch_time(host, *job.spec) + run_time(host, job);
}

std::vector<bool> overload(const Snapshot& s) {
  struct Item {
    std::size_t job;
    Micros spare;
    double seconds;  ///< of all its waiting tasks, one after the other
    double work;     ///< core seconds
  };
  std::vector<bool> out(s.jobs.size(), false);
  std::vector<Item> items;
  for (std::size_t j = 0; j < s.jobs.size(); ++j) {
    const PlanJob& job = s.jobs[j];
    const Slack sl = slack(job, s.now, s.settings->objectives);
    if (sl.standing == Standing::late || sl.spare == Micros::max() || job.spec->shape != Shape::sweep)
      continue;
    const double seconds = job.waiting * to_seconds(job.estimate);
    items.push_back({j, sl.spare, seconds, seconds * from_amount(job.spec->needs.cores)});
  }
  std::sort(items.begin(), items.end(), [&](const Item& a, const Item& b) {
    return std::tuple(s.jobs[a.job].spec->urgency, a.spare, a.job) <
           std::tuple(s.jobs[b.job].spec->urgency, b.spare, b.job);
  });
  const auto serves = [&](const Flavor& f, const PlanJob& job) {
    return !job.keep_off.contains(f.name) && fits_flavor(*job.spec, f);
  };
  // The rule of Moore and Hodgson: take the jobs by their time to spare; where one comes too late, leave out
  // the largest so far. Work is spread evenly over the types that serve it.
  std::map<const Flavor*, double> waiting;
  const auto add = [&](const Item& item, double sign) {
    double all = 0;
    for (const auto& [f, n] : s.cores) all += serves(*f, s.jobs[item.job]) ? from_amount(n) : 0;
    if (all <= 0) return 0.0;
    double ahead = 0;
    for (const auto& [f, n] : s.cores) {
      if (!serves(*f, s.jobs[item.job])) continue;
      const double work = item.seconds * from_amount(in_cores(s.jobs[item.job].spec->needs, *f));
      waiting[f] += sign * work * from_amount(n) / all;
      ahead += waiting[f];
    }
    return ahead / all;
  };
  std::vector<std::size_t> taken;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const PlanJob& job = s.jobs[items[i].job];
    taken.push_back(i);
    if (add(items[i], 1) <= to_seconds(items[i].spare)) continue;
    std::size_t most = taken.size() - 1;
    for (std::size_t k = 0; k < taken.size(); ++k) {
      const Item& other = items[taken[k]];
      const JobSpec& spec = *s.jobs[other.job].spec;
      if (spec.urgency == job.spec->urgency && spec.needs == job.spec->needs &&
          other.work > items[taken[most]].work)
        most = k;
    }
    add(items[taken[most]], -1);
    out[items[taken[most]].job] = true;
    taken.erase(taken.begin() + static_cast<std::ptrdiff_t>(most));
  }
  return out;
}

std::vector<std::size_t> order(const Snapshot& s) {
  std::vector<std::size_t> out(s.jobs.size());
  std::iota(out.begin(), out.end(), std::size_t{0});
  struct Key {
    Urgency urgency;
    bool beyond;  // false (below the guarantee) goes first
    Standing standing;
    Micros left;
    Micros minus_rank;
    std::int64_t due;
    std::int64_t accepted;
    auto operator<=>(const Key&) const = default;
  };
  std::vector<Key> keys;
  keys.reserve(s.jobs.size());
  const std::vector<bool> given_up = overload(s);
  for (std::size_t i = 0; i < s.jobs.size(); ++i) {
    const PlanJob& j = s.jobs[i];
    const std::int64_t accepted = j.accepted.time_since_epoch().count();
    const std::int64_t due =
        j.spec->due ? accepted + j.spec->due->count() : std::numeric_limits<std::int64_t>::max();
    Slack sl = slack(j, s.now, s.settings->objectives);
    if (sl.standing == Standing::late) sl.left = Micros::max();
    if (given_up[i]) sl = {Standing::late, sl.spare, sl.spare};
    keys.push_back({j.spec->urgency, !j.guaranteed, sl.standing, sl.left, -rank(j), due, accepted});
  }
  std::sort(out.begin(), out.end(), [&](std::size_t a, std::size_t b) {
    return keys[a] != keys[b] ? keys[a] < keys[b] : s.jobs[a].spec->ref < s.jobs[b].spec->ref;
  });
  return out;
}

namespace {

/// The machines that have an image or will have it, by image. Few of the machines have any one image, so that
/// looking at all of them for every job was most of what a plan cost. Refers to the machines' own names of
/// images.
class Holders {
 public:
  explicit Holders(const std::vector<Later>& later) {
    for (std::size_t i = 0; i < later.size(); ++i) {
      const PlanHost& h = later[i].host;
      if (h.images != nullptr) {
        for (const auto& [bundle, used] : *h.images) by_image_[bundle].push_back(i);
      }
      for (const Pull& p : h.pulls) {
        if (!cached(h, p.bundle)) by_image_[p.bundle].push_back(i);
      }
    }
  }
  /// Indices in rising order.
  const std::vector<std::size_t>& of(const std::string& bundle) const {
    static const std::vector<std::size_t> kNone;
    const auto it = by_image_.find(bundle);
    return it == by_image_.end() ? kNone : it->second;
  }

 private:
  std::unordered_map<std::string_view, std::vector<std::size_t>> by_image_;
};

/// Places that become free on machines that have an image or will have it, the soonest first.
class Waiting {
 public:
  Waiting(std::vector<Later>& later, const Holders& holders, const PlanJob& job) {
    const JobSpec& spec = *job.spec;
    if (spec.shape != Shape::sweep) return;
    for (const std::size_t i : holders.of(spec.bundle)) {
      Later& l = later[i];
      const bool there = cached(l.host, spec.bundle);
      if (!open_to(l.host, job)) continue;
      const Micros image = there ? Micros{0} : fetch_time(l.host, spec);
      for (Later::Place& p : l.places) {
        Needs room = l.host.room;
        room += p.needs;
        if (!p.taken && spec.needs.fits(room)) places_.emplace_back(std::max(p.in, image), &p);
      }
    }
    std::sort(places_.begin(), places_.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  }
  /// How many of so many tasks could start within the time.
  std::uint32_t within(Micros time, std::uint32_t tasks) const {
    const auto end =
        std::partition_point(places_.begin(), places_.end(), [&](const auto& p) { return p.first <= time; });
    return std::min(tasks, static_cast<std::uint32_t>(end - places_.begin()));
  }
  /// Takes places for as many of the tasks as there are.
  std::uint32_t take(std::uint32_t tasks) {
    const std::uint32_t n = std::min(tasks, static_cast<std::uint32_t>(places_.size()));
    for (std::uint32_t i = 0; i < n; ++i) places_[i].second->taken = true;
    return n;
  }

 private:
  std::vector<std::pair<Micros, Later::Place*>> places_;
};

/// Keeps places for a gang that must start soon: on the machines where all its tasks fit the soonest, what is
/// free now and what becomes free until then is not given to jobs behind it. Without this, small tasks take
/// every place as it comes, and a gang waits for room that several of them would have to leave at once.
void reserve(Snapshot& s, const PlanJob& job) {
  const JobSpec& spec = *job.spec;
  struct Fit {
    Micros in;
    std::size_t later;
  };
  std::map<std::string, std::vector<Fit>> groups;
  for (std::size_t i = 0; i < s.later.size(); ++i) {
    const Later& l = s.later[i];
    if (!open_to(l.host, job) || !burden(l.host, spec)) continue;
    const Micros fetch = fetch_time(l.host, spec);
    Needs room = l.host.room;
    auto& fits = groups[spec.same_place ? l.host.site : ""];
    const auto add = [&](Micros in) {
      for (; spec.needs.fits(room); room -= spec.needs) fits.push_back({in + fetch, i});
    };
    add(Micros{0});
    for (const Later::Place& p : l.places) {
      if (p.taken || p.in > kReserve) continue;
      room += p.needs;
      add(p.in);
    }
  }
  const std::vector<Fit>* best = nullptr;
  for (auto& [zone, fits] : groups) {
    if (fits.size() < job.waiting) continue;
    std::sort(fits.begin(), fits.end(),
              [](const Fit& a, const Fit& b) { return std::pair(a.in, a.later) < std::pair(b.in, b.later); });
    fits.resize(job.waiting);
    if (best == nullptr || fits.back().in < best->back().in) best = &fits;
  }
  if (best == nullptr) return;
  for (const Fit& f : *best) {
    Later& l = s.later[f.later];
    l.host.room = {};
    for (Later::Place& p : l.places) p.taken = true;
    const auto h = std::find_if(s.hosts.begin(), s.hosts.end(),
                                [&](const PlanHost& x) { return x.name == l.host.name; });
    if (h != s.hosts.end()) h->room = {};
  }
}

// The steps of `place`.

/// A machine on which at least one task of the job could start now.
struct Candidate {
  std::size_t host;
  Micros finish;
  Amount size;
  int cost;
  double misfit;
  std::uint32_t fits;
  Micros fetch;  ///< with the delay that it causes to others
};

bool better(const Candidate& a, const Candidate& b) {
  const auto ra = a.finish / kAlike;
  const auto rb = b.finish / kAlike;
  if (ra != rb) return ra < rb;
  // A machine much larger than the task is better kept for what fits nowhere else.
  if (a.size != b.size) return a.size < b.size;
  // What stays for its services costs nothing more, and spot machines a fraction: what those can take leaves
  // other ordinary ones empty, to be returned.
  if (a.cost != b.cost) return a.cost < b.cost;
  if (a.misfit != b.misfit) return a.misfit < b.misfit;
  return a.host < b.host;
}

bool kept_off(const Snapshot& s, const PlanJob& job, const PlanHost& host) {
  if (job.avoid == nullptr) return false;
  const auto it = job.avoid->find(host.name);
  return it != job.avoid->end() && s.clock < it->second;
}

/// The machines for up to `want` tasks of the job, the best first.
std::vector<Candidate> candidates(const Snapshot& s, const PlanJob& job, std::uint32_t want) {
  const JobSpec& spec = *job.spec;
  std::vector<Candidate> out;
  for (std::size_t h = 0; h < s.hosts.size(); ++h) {
    const PlanHost& host = s.hosts[h];
    if (!open_to(host, job) || kept_off(s, job, host)) continue;
    const std::uint32_t fits = count_fitting(spec.needs, host.room, want);
    if (fits == 0) continue;
    const std::optional<Micros> delay = burden(host, spec);
    if (!delay) continue;
    const Micros fetch = fetch_time(host, spec);
    if (job.near_image && fetch * 2 > from_seconds(spec.image_gb / host.flavor->pull_gb_per_s)) continue;
    out.push_back({h, fetch + run_time(host, job) + *delay, host.flavor->room.cores,
                   host.stays     ? 0
                   : host.standby ? 1
                                  : 2,
                   misfit(host, spec.needs), fits, fetch + *delay});
  }
  std::sort(out.begin(), out.end(), better);
  return out;
}

/// The zones to try one after the other; "" is any. A job that must stay together tries each by itself, a
/// gang all of them and another the best alone; for the rest the zone is open.
std::vector<std::string> zones_to_try(const Snapshot& s, const PlanJob& job,
                                      const std::vector<Candidate>& found) {
  if (!job.spec->same_place || !job.zones.empty()) return {""};
  std::vector<std::string> out;
  for (const Candidate& c : found) {
    const std::string& z = s.hosts[c.host].site;
    if (std::find(out.begin(), out.end(), z) == out.end()) out.push_back(z);
  }
  if (job.spec->shape != Shape::gang && out.size() > 1) out.resize(1);
  return out;
}

struct Choice {
  std::vector<Placement> places;
  std::uint32_t tasks = 0;
};

/// Spreads up to `want` tasks over the machines, as far as the zone rules and places in view allow.
Choice choose(const Snapshot& s, std::size_t j, const std::vector<Candidate>& found, const Waiting& waiting,
              std::uint32_t want, const std::string& only) {
  const PlanJob& job = s.jobs[j];
  std::map<std::string, std::uint32_t> zones = job.zones;
  Choice out;
  for (const Candidate& c : found) {
    if (out.tasks == want) break;
    const std::string& site = s.hosts[c.host].site;
    if (!only.empty() && site != only) continue;
    std::uint32_t n = std::min({c.fits, want - out.tasks, zone_allowance(*job.spec, zones, site)});
    // Not those that will sooner have a place with the image.
    if (c.fetch.count() > 0) n = std::min(n, want - out.tasks - waiting.within(c.fetch, want - out.tasks));
    if (n == 0) continue;
    out.places.push_back({j, c.host, n});
    zones[site] += n;
    out.tasks += n;
  }
  return out;
}

/// What was chosen takes its room, and its image is on its way.
void book(Snapshot& s, const Choice& choice, const JobSpec& spec) {
  for (const Placement& p : choice.places) {
    PlanHost& host = s.hosts[p.host];
    host.room -= spec.needs * p.tasks;
    if (!cached(host, spec.bundle) && pull_of(host, spec.bundle) == nullptr)
      host.pulls.push_back({spec.bundle, spec.image_gb, spec.urgency});
  }
}

}  // namespace

Plan place(Snapshot s) {
  Plan plan;
  const Holders holders(s.later);
  for (const std::size_t j : order(s)) {
    const PlanJob& job = s.jobs[j];
    const JobSpec& spec = *job.spec;
    const bool gang = spec.shape == Shape::gang;
    const std::uint32_t want = count_fitting(spec.needs, ceiling_left(s, spec.owner), job.waiting);
    if (want == 0 || (gang && want < job.waiting)) continue;
    const bool pressed = slack(job, s.now, s.settings->objectives).standing == Standing::pressed;
    Waiting waiting(s.later, holders, job);
    const std::vector<Candidate> found = candidates(s, job, want);
    std::uint32_t placed = 0;
    for (const std::string& zone : zones_to_try(s, job, found)) {
      const Choice choice = choose(s, j, found, waiting, want, zone);
      if (gang && choice.tasks < want) continue;
      book(s, choice, spec);
      plan.placements.insert(plan.placements.end(), choice.places.begin(), choice.places.end());
      placed = choice.tasks;
      break;
    }
    if (gang && placed == 0 && pressed) reserve(s, job);
    // What is short counts against the ceiling too: it will be used as soon as there is room.
    s.teams[spec.owner] += spec.needs * want;
    // Those with a place in view are short all the same where they are pressed: it may go to others.
    std::uint32_t soon = waiting.take(want - placed);
    if (!pressed) {
      placed += soon;
      soon = 0;
    }
    if (placed < want) plan.shortages.push_back({j, want - placed, soon});
  }
  return plan;
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
  std::vector<Needs> room;
  for (const PlanHost& h : s.hosts) room.push_back(h.room);
  for (const Running& r : running) {
    if (r.stopping) room[r.host] += r.spec->needs;  // on its way out already
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
    // The tasks on this machine that make room for one more of the job; nothing where they cannot.
    const auto chosen = [&](std::size_t h) -> std::optional<std::vector<std::size_t>> {
      std::vector<std::size_t> stops;
      Needs free = room[h];
      for (const std::size_t v : victims[h]) {
        if (spec.needs.fits(free)) break;
        const Running& r = running[v];
        if (taken[v] || r.spec->urgency <= spec.urgency) continue;
        Needs freed = free;
        freed += r.spec->needs;
        // Not a large task for a small one.
        const std::uint32_t gain = count_fitting(spec.needs, freed, sh.tasks);
        if ((spec.needs * std::max(gain, 1U)).cores * 2 < r.spec->needs.cores) continue;
        free = freed;
        stops.push_back(v);
      }
      if (!spec.needs.fits(free)) return std::nullopt;
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
      while (left > 0 && zone_allowance(spec, zones, s.hosts[c.host].site) > 0) {
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
            room[running[w].host] += running[w].spec->needs;
          }
        }
        room[c.host] -= spec.needs;
        ++zones[s.hosts[c.host].site];
        --left;
      }
      if (left == 0) break;
    }
  }
  return out;
}

}  // namespace wrenusher::planner
