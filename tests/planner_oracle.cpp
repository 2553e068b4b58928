#include "planner_oracle.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace oracle {

namespace {

struct Later {
  PlanHost host;
  struct Place {
    Micros in;
    Needs needs;
    bool taken = false;
  };
  std::vector<Place> places;
};

struct State {
  const Burst& s;
  std::vector<PlanHost> hosts;
  std::vector<Later> later;
  std::map<std::string, Needs> teams;
};

/// Cores by type, those on their way included.
std::map<std::string, std::pair<const Flavor*, Amount>> cores_of(const Burst& s) {
  std::map<std::string, std::pair<const Flavor*, Amount>> out;
  const auto add = [&](const Flavor* f, Amount n) {
    out[f->name].first = f;
    out[f->name].second += n;
  };
  for (const Here& h : s.here) add(h.host.flavor, h.host.flavor->room.cores);
  for (const auto& [f, n] : s.coming) add(f, n);
  return out;
}

/// Places that become free on machines that have the image or will have it, the soonest first.
std::vector<std::pair<Micros, Later::Place*>> waiting(State& st, const PlanJob& job) {
  const JobSpec& spec = *job.spec;
  struct Found {
    Micros in;
    std::size_t host;
    std::size_t place;
  };
  std::vector<Found> found;
  if (spec.shape == Shape::sweep && spec.devices().empty()) {
    for (std::size_t i = 0; i < st.later.size(); ++i) {
      const Later& l = st.later[i];
      const bool there = cached(l.host, spec.bundle);
      if ((!there && pull_of(l.host, spec.bundle) == nullptr) || !open_to(l.host, job)) continue;
      const Micros image = there ? Micros{0} : fetch_time(l.host, spec);
      for (std::size_t p = 0; p < l.places.size(); ++p) {
        Needs room = l.host.free.room;
        room += l.places[p].needs;
        if (!l.places[p].taken && spec.needs.fits(room))
          found.push_back({std::max(l.places[p].in, image), i, p});
      }
    }
  }
  std::sort(found.begin(), found.end(), [](const Found& a, const Found& b) {
    return std::tuple(a.in, a.host, a.place) < std::tuple(b.in, b.host, b.place);
  });
  std::vector<std::pair<Micros, Later::Place*>> out;
  for (const Found& f : found) out.emplace_back(f.in, &st.later[f.host].places[f.place]);
  return out;
}

bool late_to_begin(const PlanJob& job, const Burst& s) {
  return !job.begun && s.now - job.accepted > from_seconds(150);
}

void reserve(State& st, const PlanJob& job, std::uint32_t tasks, Micros within) {
  const JobSpec& spec = *job.spec;
  struct Fit {
    Micros in;
    std::size_t later;
  };
  const bool apart = job.layout && job.layout->together >= 0 && job.layout->together_must;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<Fit>> groups;
  for (std::size_t i = 0; i < st.later.size(); ++i) {
    const Later& l = st.later[i];
    if (!open_to(l.host, job) || !burden(l.host, spec)) continue;
    if (job.layout && layout_allowance(*job.layout, l.host, spec.units, false) == 0) continue;
    auto& fits =
        groups[{spec.same_place ? l.host.site : "", apart ? l.host.domain(job.layout->together) : 0}];
    Free free = l.host.free;
    std::uint32_t here = 0;
    const auto add = [&](Micros in) {
      for (; here < tasks && count_fitting(spec, free, 1) > 0; ++here) {
        free.take(spec, 1);
        fits.push_back({in + fetch_time(l.host, spec), i});
      }
    };
    add(Micros{0});
    std::vector<Later::Place> places = l.places;
    std::stable_sort(places.begin(), places.end(), [](const auto& a, const auto& b) { return a.in < b.in; });
    for (const Later::Place& p : places) {
      if (p.taken || p.in > within) continue;
      free.room += p.needs;
      add(p.in);
    }
  }
  std::vector<Fit> best;
  for (auto& [group, fits] : groups) {
    std::stable_sort(fits.begin(), fits.end(), [](const Fit& a, const Fit& b) {
      return std::tuple(a.in, a.later) < std::tuple(b.in, b.later);
    });
    std::optional<PlanLayout> layout = job.layout;
    std::vector<Fit> chosen;
    for (const Fit& f : fits) {
      const PlanHost& h = st.later[f.later].host;
      if (chosen.size() == tasks || (layout && layout_allowance(*layout, h, spec.units, false) == 0))
        continue;
      if (layout) layout_take(*layout, h, 1);
      chosen.push_back(f);
    }
    if (chosen.size() == tasks && (best.empty() || chosen.back().in < best.back().in)) best = chosen;
  }
  for (const Fit& f : best) {
    for (Later::Place& p : st.later[f.later].places) p.taken = true;
    st.hosts[f.later].free = {};
  }
}

struct Candidate {
  std::size_t host;
  std::tuple<std::int64_t, Amount, int, double, std::size_t> key;
  std::uint32_t fits;
  Micros fetch;
};

std::vector<Candidate> candidates(const State& st, const PlanJob& job, std::uint32_t want) {
  const JobSpec& spec = *job.spec;
  std::vector<Candidate> out;
  for (std::size_t h = 0; h < st.hosts.size(); ++h) {
    const PlanHost& host = st.hosts[h];
    if (!st.s.here[h].open || !open_to(host, job)) continue;
    if (job.avoid != nullptr && job.avoid->contains(host.name) && st.s.clock < job.avoid->at(host.name))
      continue;
    const std::uint32_t fits = count_fitting(spec, host.free, want);
    const std::optional<Micros> delay = burden(host, spec);
    if (fits == 0 || !delay) continue;
    if (job.layout && layout_allowance(*job.layout, host, spec.units, false) == 0) continue;
    const Micros fetch = fetch_time(host, spec);
    if (job.near_image && fetch * 2 > from_seconds(spec.image_gb / host.flavor->pull_gb_per_s)) continue;
    const int cost = host.stays ? 0 : host.standby ? 1 : 2;
    out.push_back({h,
                   {(finish_time(host, job) + *delay) / kAlike, host.flavor->room.cores, cost,
                    misfit(host, spec.needs), h},
                   fits,
                   fetch + *delay});
  }
  std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) { return a.key < b.key; });
  return out;
}

/// Tries one zone and domain; the same steps as the board's, by looking at everything.
std::vector<Placement> choose(const State& st, std::size_t j, const std::vector<Candidate>& found,
                              const std::vector<std::pair<Micros, Later::Place*>>& places, std::uint32_t want,
                              const std::string& zone, std::optional<std::uint32_t> domain, bool strict) {
  const PlanJob& job = st.s.jobs[j];
  const JobSpec& spec = *job.spec;
  std::map<std::string, std::uint32_t> zones = job.zones;
  std::optional<PlanLayout> layout = job.layout;
  std::map<std::size_t, std::uint32_t> used;
  std::vector<Placement> out;
  std::uint32_t left = want;
  for (const bool prefers : {true, false}) {
    if (!prefers && (!layout || strict)) break;
    for (const Candidate& c : found) {
      const PlanHost& host = st.hosts[c.host];
      if (!zone.empty() && host.site != zone) continue;
      if (domain && (prefers || layout->together_must) && host.domain(layout->together) != *domain) continue;
      std::uint32_t n = std::min({c.fits - used[c.host], left, zone_allowance(spec, zones, host.site)});
      if (layout) n = std::min(n, layout_allowance(*layout, host, spec.units, prefers));
      if (c.fetch.count() > 0) {
        const auto soon =
            std::count_if(places.begin(), places.end(), [&](const auto& p) { return p.first <= c.fetch; });
        n = std::min(n, left - std::min(left, static_cast<std::uint32_t>(soon)));
      }
      if (n == 0) continue;
      out.push_back({static_cast<std::uint32_t>(j), static_cast<std::uint32_t>(c.host), n});
      zones[host.site] += n;
      if (layout) layout_take(*layout, host, n);
      used[c.host] += n;
      left -= n;
    }
  }
  return out;
}

std::uint32_t sum(const std::vector<Placement>& places) {
  std::uint32_t n = 0;
  for (const Placement& p : places) n += p.tasks;
  return n;
}

std::vector<Placement> best(const State& st, std::size_t j, const std::vector<Candidate>& found,
                            const std::vector<std::pair<Micros, Later::Place*>>& places, std::uint32_t want) {
  const PlanJob& job = st.s.jobs[j];
  const bool zones = job.spec->same_place && job.zones.empty();
  const bool domains = job.layout && job.layout->together >= 0 && job.layout->together_at.empty();
  std::vector<std::pair<std::string, std::optional<std::uint32_t>>> scopes;
  for (const Candidate& c : found) {
    const PlanHost& h = st.hosts[c.host];
    std::pair<std::string, std::optional<std::uint32_t>> scope{zones ? h.site : "", std::nullopt};
    if (domains) scope.second = h.domain(job.layout->together);
    if (std::find(scopes.begin(), scopes.end(), scope) == scopes.end()) scopes.push_back(scope);
  }
  std::vector<Placement> out;
  if (job.spec->shape == Shape::gang) {
    for (const bool strict : {true, false}) {
      for (const auto& [zone, domain] : scopes) {
        out = choose(st, j, found, places, want, zone, domain, strict);
        if (sum(out) == want) return out;
      }
    }
    return {};
  }
  for (const auto& [zone, domain] : scopes) {
    const auto c = choose(st, j, found, places, want, zone, domain, false);
    if (sum(c) > sum(out)) out = c;
    if (job.spec->shape != Shape::daemon || !domains) break;
  }
  return out;
}

}  // namespace

std::vector<bool> overload(const Burst& s) {
  struct Item {
    std::size_t job;
    Micros spare;
    double seconds;
    double work;
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
    return std::tuple(s.jobs[a.job].spec->urgency, a.spare, s.jobs[a.job].spec->ref) <
           std::tuple(s.jobs[b.job].spec->urgency, b.spare, s.jobs[b.job].spec->ref);
  });
  const auto cores = cores_of(s);
  const auto serves = [&](const Flavor& f, const PlanJob& job) {
    return !job.keep_off.contains(f.name) && fits_flavor(*job.spec, f);
  };
  std::map<std::string, double> waiting_work;
  const auto add = [&](const Item& item, double sign) {
    double all = 0;
    for (const auto& [name, f] : cores) all += serves(*f.first, s.jobs[item.job]) ? from_amount(f.second) : 0;
    if (all <= 0) return 0.0;
    double ahead = 0;
    for (const auto& [name, f] : cores) {
      if (!serves(*f.first, s.jobs[item.job])) continue;
      const double work = item.seconds * from_amount(in_cores(s.jobs[item.job].spec->needs, *f.first));
      waiting_work[name] += sign * work * from_amount(f.second) / all;
      ahead += waiting_work[name];
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

std::vector<std::size_t> order(const Burst& s) {
  std::vector<std::size_t> out(s.jobs.size());
  std::iota(out.begin(), out.end(), std::size_t{0});
  using Key = std::tuple<Urgency, bool, Standing, Micros, Micros, std::int64_t, std::int64_t, std::string>;
  std::vector<Key> keys;
  const std::vector<bool> given_up = overload(s);
  for (std::size_t i = 0; i < s.jobs.size(); ++i) {
    const PlanJob& j = s.jobs[i];
    const std::int64_t accepted = j.accepted.time_since_epoch().count();
    const std::int64_t due =
        j.spec->due ? accepted + j.spec->due->count() : std::numeric_limits<std::int64_t>::max();
    Slack sl = slack(j, s.now, s.settings->objectives);
    if (sl.standing == Standing::late) sl.left = Micros::max();
    if (given_up[i]) sl = {Standing::late, sl.spare, sl.spare};
    // Nothing may be put off for more than two and a half minutes: then a job that has not begun goes before
    // all of its urgency, the longest wait first, and an array as if it were of urgency `high`.
    if (late_to_begin(j, s)) sl = {Standing::pressed, j.accepted - s.now, {}};
    const bool behind = !j.guaranteed && !late_to_begin(j, s);
    Urgency urgency = j.spec->urgency;
    if (late_to_begin(j, s) && j.spec->shape == Shape::sweep && urgency != Urgency::prod)
      urgency = Urgency::high;
    keys.emplace_back(urgency, behind, sl.standing, sl.left, -rank(j), due, accepted, j.spec->ref);
  }
  std::sort(out.begin(), out.end(), [&](std::size_t a, std::size_t b) { return keys[a] < keys[b]; });
  return out;
}

Plan place(const Burst& s) {
  State st{s, {}, {}, s.teams};
  for (const Here& h : s.here) {
    st.hosts.push_back(h.host);
    Later l{h.host, {}};
    for (const Leaving& p : h.leaving) l.places.push_back({leaves_in(p, h.host, s.clock), p.needs, false});
    st.later.push_back(std::move(l));
  }
  Plan plan;
  for (const std::size_t j : order(s)) {
    const PlanJob& job = s.jobs[j];
    const JobSpec& spec = *job.spec;
    const bool gang = spec.shape == Shape::gang;
    const std::uint32_t want = count_fitting(
        spec.needs, ceiling_left(s.settings->team(spec.owner), st.teams[spec.owner]), job.waiting);
    if (want == 0 || (gang && want < job.waiting)) continue;
    const bool pressed = slack(job, s.now, s.settings->objectives).standing == Standing::pressed;
    const bool first = spec.shape == Shape::sweep && late_to_begin(job, s);
    const std::uint32_t now = first ? 1 : want;
    const auto places = first ? decltype(waiting(st, job)){} : waiting(st, job);
    const auto chosen = best(st, j, candidates(st, job, now), places, now);
    for (const Placement& p : chosen) {
      PlanHost& host = st.hosts[p.host];
      host.free.take(spec, p.tasks);
      if (!cached(host, spec.bundle) && pull_of(host, spec.bundle) == nullptr)
        host.pulls.push_back({spec.bundle, spec.image_gb, spec.urgency});
      plan.placements.push_back(p);
    }
    std::uint32_t placed = sum(chosen);
    if (placed == 0 && first) reserve(st, job, 1, from_seconds(60));
    if (placed == 0 && gang && pressed) reserve(st, job, job.waiting, kReserve);
    st.teams[spec.owner] += spec.needs * want;
    const std::uint32_t soon = std::min(want - placed, static_cast<std::uint32_t>(places.size()));
    for (std::uint32_t i = 0; i < soon; ++i) places[i].second->taken = true;
    if (!pressed) placed += soon;
    if (placed < want) plan.shortages.push_back({j, want - placed, pressed ? soon : 0});
  }
  return plan;
}

Moment moment(const Burst& s) {
  return {s.now, s.clock, s.settings, &s.teams, s.coming};
}

namespace {

/// A board with the burst on it; slots are the indices.
Board board_of(const Burst& s) {
  Board b;
  for (const Here& h : s.here) b.set_host(b.new_host(), h.host, h.leaving, h.host.flavor->room.cores, h.open);
  for (const PlanJob& j : s.jobs) b.set_job(b.new_job(), j, s.settings->objectives);
  return b;
}

}  // namespace

std::vector<std::size_t> board_order(const Burst& s) {
  Board b = board_of(s);
  const auto slots = b.order(moment(s));
  return {slots.begin(), slots.end()};
}

Plan board_place(const Burst& s) {
  Board b = board_of(s);
  return b.plan(moment(s));
}

Snapshot snapshot(const Burst& s) {
  Snapshot out;
  out.jobs = s.jobs;
  for (const Here& h : s.here) out.hosts.push_back(h.host);
  return out;
}

}  // namespace oracle
