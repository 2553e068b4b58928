#include "placement_oracle.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace oracle {

namespace {

struct Later {
  PlanMachine host;
  struct Place {
    Micros in;
    Resources needs;
    bool taken = false;
  };
  std::vector<Place> places;
};

struct State {
  const Burst& s;
  std::vector<PlanMachine> hosts;
  std::vector<Later> later;
  std::map<std::string, Resources> teams;
};

/// Cores by type, those on their way included.
std::map<std::string, std::pair<const MachineType*, Amount>> cores_of(const Burst& s) {
  std::map<std::string, std::pair<const MachineType*, Amount>> out;
  const auto add = [&](const MachineType* f, Amount n) {
    out[f->name].first = f;
    out[f->name].second += n;
  };
  for (const Here& h : s.here) add(h.host.machine_type, h.host.machine_type->capacity.cores);
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
  if (spec.type == JobType::array && spec.devices().empty()) {
    for (std::size_t i = 0; i < st.later.size(); ++i) {
      const Later& l = st.later[i];
      const bool there = has_image(l.host, spec.image);
      if ((!there && find_fetch(l.host, spec.image) == nullptr) || !accepts(l.host, job)) continue;
      const Micros image = there ? Micros{0} : fetch_time(l.host, spec);
      for (std::size_t p = 0; p < l.places.size(); ++p) {
        Resources room = l.host.free.resources;
        room += l.places[p].needs;
        if (!l.places[p].taken && spec.resources.fits(room))
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
  return !job.has_started && s.now - job.accepted_at > from_seconds(150);
}

void reserve(State& st, const PlanJob& job, std::uint32_t tasks, Micros within) {
  const JobSpec& spec = *job.spec;
  struct Fit {
    Micros in;
    std::size_t later;
  };
  const bool apart = job.layout && job.layout->colocation >= 0 && job.layout->colocation_required;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<Fit>> groups;
  for (std::size_t i = 0; i < st.later.size(); ++i) {
    const Later& l = st.later[i];
    if (!accepts(l.host, job) || !fetch_delay_imposed(l.host, spec)) continue;
    if (job.layout && layout_allowance(*job.layout, l.host, spec.task_count, false) == 0) continue;
    auto& fits =
        groups[{spec.single_zone ? l.host.zone : "", apart ? l.host.domain(job.layout->colocation) : 0}];
    FreeCapacity free = l.host.free;
    std::uint32_t here = 0;
    const auto add = [&](Micros in) {
      for (; here < tasks && count_fitting(spec, free, 1) > 0; ++here) {
        free.reserve(spec, 1);
        fits.push_back({in + fetch_time(l.host, spec), i});
      }
    };
    add(Micros{0});
    std::vector<Later::Place> places = l.places;
    std::stable_sort(places.begin(), places.end(), [](const auto& a, const auto& b) { return a.in < b.in; });
    for (const Later::Place& p : places) {
      if (p.taken || p.in > within) continue;
      free.resources += p.needs;
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
      const PlanMachine& h = st.later[f.later].host;
      if (chosen.size() == tasks || (layout && layout_allowance(*layout, h, spec.task_count, false) == 0))
        continue;
      if (layout) layout_add(*layout, h, 1);
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
    const PlanMachine& host = st.hosts[h];
    if (!st.s.here[h].open || !accepts(host, job)) continue;
    if (job.avoided_machines != nullptr && job.avoided_machines->contains(host.name) &&
        st.s.clock < job.avoided_machines->at(host.name))
      continue;
    const std::uint32_t fits = count_fitting(spec, host.free, want);
    const std::optional<Micros> delay = fetch_delay_imposed(host, spec);
    if (fits == 0 || !delay) continue;
    if (job.layout && layout_allowance(*job.layout, host, spec.task_count, false) == 0) continue;
    const Micros fetch = fetch_time(host, spec);
    if (job.requires_image_locality &&
        fetch * 2 > from_seconds(spec.image_gb / host.machine_type->fetch_gb_per_s))
      continue;
    const int cost = host.runs_services ? 0 : host.spot ? 1 : 2;
    out.push_back({h,
                   {(finish_time(host, job) + *delay) / kEqualFinishWindow, host.machine_type->capacity.cores,
                    cost, misfit(host, spec.resources), h},
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
      const PlanMachine& host = st.hosts[c.host];
      if (!zone.empty() && host.zone != zone) continue;
      if (domain && (prefers || layout->colocation_required) && host.domain(layout->colocation) != *domain)
        continue;
      std::uint32_t n = std::min({c.fits - used[c.host], left, zone_allowance(spec, zones, host.zone)});
      if (layout) n = std::min(n, layout_allowance(*layout, host, spec.task_count, prefers));
      if (c.fetch.count() > 0) {
        const auto soon =
            std::count_if(places.begin(), places.end(), [&](const auto& p) { return p.first <= c.fetch; });
        n = std::min(n, left - std::min(left, static_cast<std::uint32_t>(soon)));
      }
      if (n == 0) continue;
      out.push_back({static_cast<std::uint32_t>(j), static_cast<std::uint32_t>(c.host), n});
      zones[host.zone] += n;
      if (layout) layout_add(*layout, host, n);
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
  const bool zones = job.spec->single_zone && job.zones.empty();
  const bool domains =
      job.layout && job.layout->colocation >= 0 && job.layout->tasks_by_colocation_domain.empty();
  std::vector<std::pair<std::string, std::optional<std::uint32_t>>> scopes;
  for (const Candidate& c : found) {
    const PlanMachine& h = st.hosts[c.host];
    std::pair<std::string, std::optional<std::uint32_t>> scope{zones ? h.zone : "", std::nullopt};
    if (domains) scope.second = h.domain(job.layout->colocation);
    if (std::find(scopes.begin(), scopes.end(), scope) == scopes.end()) scopes.push_back(scope);
  }
  std::vector<Placement> out;
  if (job.spec->type == JobType::gang) {
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
    if (job.spec->type != JobType::service || !domains) break;
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
    if (sl.status == DeadlineStatus::missed || sl.remaining == Micros::max() ||
        job.spec->type != JobType::array)
      continue;
    const double seconds = job.waiting * to_seconds(job.estimate);
    items.push_back({j, sl.remaining, seconds, seconds * from_amount(job.spec->resources.cores)});
  }
  std::sort(items.begin(), items.end(), [&](const Item& a, const Item& b) {
    return std::tuple(s.jobs[a.job].spec->priority, a.spare, s.jobs[a.job].spec->job_id) <
           std::tuple(s.jobs[b.job].spec->priority, b.spare, s.jobs[b.job].spec->job_id);
  });
  const auto cores = cores_of(s);
  const auto serves = [&](const MachineType& f, const PlanJob& job) {
    return !job.excluded_types.contains(f.name) && fits_machine_type(*job.spec, f);
  };
  std::map<std::string, double> waiting_work;
  const auto add = [&](const Item& item, double sign) {
    double all = 0;
    for (const auto& [name, f] : cores) all += serves(*f.first, s.jobs[item.job]) ? from_amount(f.second) : 0;
    if (all <= 0) return 0.0;
    double ahead = 0;
    for (const auto& [name, f] : cores) {
      if (!serves(*f.first, s.jobs[item.job])) continue;
      const double work =
          item.seconds * from_amount(core_equivalents(s.jobs[item.job].spec->resources, *f.first));
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
      if (spec.priority == job.spec->priority && spec.resources == job.spec->resources &&
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
  using Key =
      std::tuple<Priority, bool, DeadlineStatus, Micros, Micros, std::int64_t, std::int64_t, std::string>;
  std::vector<Key> keys;
  const std::vector<bool> given_up = overload(s);
  for (std::size_t i = 0; i < s.jobs.size(); ++i) {
    const PlanJob& j = s.jobs[i];
    const std::int64_t accepted = j.accepted_at.time_since_epoch().count();
    const std::int64_t due =
        j.spec->deadline ? accepted + j.spec->deadline->count() : std::numeric_limits<std::int64_t>::max();
    Slack sl = slack(j, s.now, s.settings->objectives);
    if (sl.status == DeadlineStatus::missed) sl.time_to_latest_start = Micros::max();
    if (given_up[i]) sl = {DeadlineStatus::missed, sl.remaining, sl.remaining};
    // Nothing may be put off for more than two and a half minutes: then a job that has not begun goes before
    // all of its urgency, the longest wait first, and an array as if it were of urgency `high`.
    if (late_to_begin(j, s)) sl = {DeadlineStatus::at_risk, j.accepted_at - s.now, {}};
    const bool behind = !j.guaranteed && !late_to_begin(j, s);
    Priority urgency = j.spec->priority;
    if (late_to_begin(j, s) && j.spec->type == JobType::array && urgency != Priority::prod)
      urgency = Priority::high;
    keys.emplace_back(urgency, behind, sl.status, sl.time_to_latest_start, -rank(j), due, accepted,
                      j.spec->job_id);
  }
  std::sort(out.begin(), out.end(), [&](std::size_t a, std::size_t b) { return keys[a] < keys[b]; });
  return out;
}

Plan place(const Burst& s) {
  State st{s, {}, {}, s.teams};
  for (const Here& h : s.here) {
    st.hosts.push_back(h.host);
    Later l{h.host, {}};
    for (const EndingTask& p : h.leaving)
      l.places.push_back({time_until_free(p, h.host, s.clock), p.resources, false});
    st.later.push_back(std::move(l));
  }
  Plan plan;
  for (const std::size_t j : order(s)) {
    const PlanJob& job = s.jobs[j];
    const JobSpec& spec = *job.spec;
    const bool gang = spec.type == JobType::gang;
    const std::uint32_t want = count_fitting(
        spec.resources, ceiling_left(s.settings->team(spec.team), st.teams[spec.team]), job.waiting);
    if (want == 0 || (gang && want < job.waiting)) continue;
    const bool pressed = slack(job, s.now, s.settings->objectives).status == DeadlineStatus::at_risk;
    const bool first = spec.type == JobType::array && late_to_begin(job, s);
    const std::uint32_t now = first ? 1 : want;
    const auto places = first ? decltype(waiting(st, job)){} : waiting(st, job);
    const auto chosen = best(st, j, candidates(st, job, now), places, now);
    for (const Placement& p : chosen) {
      PlanMachine& host = st.hosts[p.machine];
      host.free.reserve(spec, p.tasks);
      if (!has_image(host, spec.image) && find_fetch(host, spec.image) == nullptr)
        host.fetches.push_back({spec.image, spec.image_gb, spec.priority});
      plan.placements.push_back(p);
    }
    std::uint32_t placed = sum(chosen);
    if (placed == 0 && first) reserve(st, job, 1, from_seconds(60));
    if (placed == 0 && gang && pressed) reserve(st, job, job.waiting, kGangReservation);
    st.teams[spec.team] += spec.resources * want;
    const std::uint32_t soon = std::min(want - placed, static_cast<std::uint32_t>(places.size()));
    for (std::uint32_t i = 0; i < soon; ++i) places[i].second->taken = true;
    if (!pressed) placed += soon;
    if (placed < want) plan.shortages.push_back({j, want - placed, pressed ? soon : 0});
  }
  return plan;
}

PlanningContext moment(const Burst& s) {
  return {s.now, s.clock, s.settings, &s.teams, s.coming};
}

namespace {

/// A board with the burst on it; slots are the indices.
PlacementIndex board_of(const Burst& s) {
  PlacementIndex b;
  for (const Here& h : s.here)
    b.set_machine(b.new_machine(), h.host, h.leaving, h.host.machine_type->capacity.cores, h.open);
  for (const PlanJob& j : s.jobs) b.set_job(b.new_job(), j, s.settings->objectives);
  return b;
}

}  // namespace

std::vector<std::size_t> board_order(const Burst& s) {
  PlacementIndex b = board_of(s);
  const auto slots = b.service_order(moment(s));
  return {slots.begin(), slots.end()};
}

Plan board_place(const Burst& s) {
  PlacementIndex b = board_of(s);
  return b.plan(moment(s));
}

PreemptionView snapshot(const Burst& s) {
  PreemptionView out;
  out.jobs = s.jobs;
  for (const Here& h : s.here) out.machines.push_back(h.host);
  return out;
}

}  // namespace oracle
