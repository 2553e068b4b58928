// How a plan is made on the board: candidates for each job, where a job is tried as a whole, the choice, and
// the places that are kept for what must start soon.

#include <algorithm>
#include <limits>
#include <tuple>

#include "wrenusher/planner/board.hpp"

namespace wrenusher::planner {

/// The machines for up to `want` tasks of the job, the best first.
std::vector<Board::Candidate> Board::candidates(Slot slot, std::uint32_t want) {
  const PlanJob& job = jobs_[slot].job;
  const JobSpec& spec = *job.spec;
  Likes& likes = likes_[jobs_[slot].likes];
  std::vector<Candidate> out;
  if (likes.none_in == plans_) return out;
  bool some = false;
  const std::uint32_t need = size_class(spec.needs);
  for (std::uint32_t k = 0; k < kinds_.size(); ++k) {
    if (!admits(slot, k)) continue;
    for (const auto& [size, machines] : kinds_[k].roomy) {
      if (!covers(size, need)) continue;
      for (const std::uint32_t h : machines) {
        const PlanHost& host = now(h);
        ++looked_.hosts;
        if (count_fitting(spec.needs, host.free.room, 1) == 0) continue;
        some = true;
        const std::uint32_t fits = count_fitting(spec, host.free, want);
        if (fits == 0) continue;
        if (job.avoid != nullptr) {
          const auto it = job.avoid->find(host.name);
          if (it != job.avoid->end() && clock_ < it->second) continue;
        }
        if (job.layout && layout_allowance(*job.layout, host, spec.units, false) == 0) continue;
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
    }
  }
  // Room only shrinks within a plan: what finds none now finds none later.
  if (!some) likes.none_in = plans_;
  std::sort(out.begin(), out.end(), [this](const Candidate& a, const Candidate& b) {
    const auto ra = a.finish / kAlike;
    const auto rb = b.finish / kAlike;
    if (ra != rb) return ra < rb;
    // A machine much larger than the task is better kept for what fits nowhere else.
    if (a.size != b.size) return a.size < b.size;
    // What stays for its services costs nothing more, and spot machines a fraction: what those can take
    // leaves other ordinary ones empty, to be returned.
    if (a.cost != b.cost) return a.cost < b.cost;
    if (a.misfit != b.misfit) return a.misfit < b.misfit;
    return hosts_[a.host].h.name < hosts_[b.host].h.name;
  });
  return out;
}

/// Where to try one after the other: a job that must stay together, and is nowhere yet, in each zone or
/// domain by itself.
std::vector<Board::Scope> Board::scopes(const PlanJob& job, const std::vector<Candidate>& found) const {
  const bool zones = job.spec->same_place && job.zones.empty();
  const bool domains = job.layout && job.layout->together >= 0 && job.layout->together_at.empty();
  if (!zones && !domains) return {Scope{}};
  std::vector<Scope> out;
  for (const Candidate& c : found) {
    const PlanHost& host = hosts_[c.host].h;
    Scope s;
    if (zones) s.zone = host.site;
    if (domains) s.domain = host.domain(job.layout->together);
    if (std::find(out.begin(), out.end(), s) == out.end()) out.push_back(std::move(s));
  }
  return out;
}

Board::Choice Board::choose(Slot slot, const std::vector<Candidate>& found, const View& view,
                            std::uint32_t want, const Scope& scope, bool strict) const {
  const PlanJob& job = jobs_[slot].job;
  const JobSpec& spec = *job.spec;
  const bool zoned = spec.same_place || spec.scatter;
  std::map<std::string, std::uint32_t> zones = job.zones;
  std::optional<PlanLayout> layout = job.layout;
  std::vector<std::uint32_t> used(layout ? found.size() : 0, 0);
  Choice out;
  const auto pass = [&](bool prefers) {
    for (std::size_t i = 0; i < found.size() && out.tasks < want; ++i) {
      const Candidate& c = found[i];
      const PlanHost& host = hosts_[c.host].h;
      if (!scope.zone.empty() && host.site != scope.zone) continue;
      if (scope.domain && (prefers || layout->together_must) &&
          host.domain(layout->together) != *scope.domain)
        continue;
      std::uint32_t n = std::min(c.fits, want - out.tasks);
      if (zoned) n = std::min(n, zone_allowance(spec, zones, host.site));
      if (layout) n = std::min({n, c.fits - used[i], layout_allowance(*layout, host, spec.units, prefers)});
      // Not those that will sooner have a place with the image.
      if (c.fetch.count() > 0) n = std::min(n, want - out.tasks - view.within(c.fetch, want - out.tasks));
      if (n == 0) continue;
      out.places.push_back({slot, c.host, n});
      if (zoned) zones[host.site] += n;
      if (layout) {
        layout_take(*layout, host, n);
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
Board::Choice Board::best(Slot slot, const std::vector<Candidate>& found, const View& view,
                          std::uint32_t want) const {
  const PlanJob& job = jobs_[slot].job;
  const std::vector<Scope> all = scopes(job, found);
  const Shape shape = job.spec->shape;
  Choice out;
  if (shape == Shape::gang) {
    for (const bool strict : {true, false}) {
      if (!strict && !job.layout) break;
      for (const Scope& s : all) {
        Choice c = choose(slot, found, view, want, s, strict);
        if (c.tasks == want) return c;
      }
    }
    return out;
  }
  for (const Scope& s : all) {
    Choice c = choose(slot, found, view, want, s, false);
    if (c.tasks > out.tasks) out = std::move(c);
    if (shape != Shape::daemon || !s.domain) break;
  }
  return out;
}

/// What was chosen takes its room, and its image is on its way.
void Board::book(const Choice& choice, const JobSpec& spec) {
  for (const Placement& p : choice.places) {
    PlanHost& host = booked(p.host);
    host.free.take(spec, p.tasks);
    if (!cached(host, spec.bundle) && pull_of(host, spec.bundle) == nullptr)
      host.pulls.push_back({spec.bundle, spec.image_gb, spec.urgency});
    file_room(p.host, host.free.room);
  }
}

/// Keeps places for a gang that must start soon, or for the first task of what is overdue: on the machines
/// where all these tasks fit the soonest, what is
/// free now and what becomes free until then is not given to jobs behind it. Without this, small tasks take
/// every place as it comes, and a gang waits for room that several of them would have to leave at once.
void Board::reserve(Slot slot, std::uint32_t tasks, Micros within) {
  const PlanJob& job = jobs_[slot].job;
  const JobSpec& spec = *job.spec;
  struct Fit {
    Micros in;
    Slot host;
  };
  std::map<std::pair<std::string, topology::DomainId>, std::vector<Fit>> groups;
  const bool apart = job.layout && job.layout->together >= 0 && job.layout->together_must;
  for (Slot h = 0; h < hosts_.size(); ++h) {
    const Host& host = hosts_[h];
    if (!host.there || !admits(slot, host.kind) || !burden(host.h, spec)) continue;
    if (job.layout && layout_allowance(*job.layout, host.h, spec.units, false) == 0) continue;
    ++looked_.hosts;
    const Micros fetch = fetch_time(host.h, spec);
    auto& fits =
        groups[{spec.same_place ? host.h.site : "", apart ? host.h.domain(job.layout->together) : 0}];
    Free free = host.h.free;
    std::uint32_t here = 0;
    const auto add = [&](Micros in) {
      // No more than there are: a task that needs nothing would fit for ever.
      for (; here < tasks && count_fitting(spec, free, 1) > 0; free.take(spec, 1), ++here)
        fits.push_back({in + fetch, h});
    };
    add(Micros{0});
    std::vector<std::pair<Micros, std::size_t>> leaving;
    for (std::size_t i = 0; i < host.leaving.size(); ++i) {
      const Micros in = leaves_in(host.leaving[i], host.h, clock_);
      if (places_[host.places[i]].taken != plans_ && in <= within) leaving.emplace_back(in, i);
    }
    std::sort(leaving.begin(), leaving.end());
    for (const auto& [in, i] : leaving) {
      free.room += host.leaving[i].needs;
      add(in);
    }
  }
  std::vector<Fit> best;
  for (auto& [group, fits] : groups) {
    std::sort(fits.begin(), fits.end(), [&](const Fit& a, const Fit& b) {
      return a.in != b.in ? a.in < b.in : hosts_[a.host].h.name < hosts_[b.host].h.name;
    });
    std::optional<PlanLayout> layout = job.layout;
    std::vector<Fit> chosen;
    for (const Fit& f : fits) {
      if (chosen.size() == tasks) break;
      if (layout && layout_allowance(*layout, hosts_[f.host].h, spec.units, false) == 0) continue;
      if (layout) layout_take(*layout, hosts_[f.host].h, 1);
      chosen.push_back(f);
    }
    if (chosen.size() == tasks && (best.empty() || chosen.back().in < best.back().in))
      best = std::move(chosen);
  }
  for (const Fit& f : best) {
    booked(f.host).free = {};
    file_room(f.host, {});
    for (const std::uint32_t p : hosts_[f.host].places) places_[p].taken = plans_;
  }
}

void Board::end_plan() {
  for (const auto& [slot, host] : booked_) file_room(slot, hosts_[slot].h.free.room);
  booked_.clear();
}

Plan Board::plan(const Moment& m) {
  Plan plan;
  ++plans_;
  looked_ = {};
  settle(m.clock);
  rank_jobs(m);
  struct Budget {
    const Team* team = nullptr;
    Needs used;
  };
  std::vector<Budget> budgets(teams_.size());
  for (std::size_t t = 0; t < teams_.size(); ++t) {
    budgets[t].team = m.settings->team(teams_[t]);
    if (const auto it = m.teams->find(teams_[t]); it != m.teams->end()) budgets[t].used = it->second;
  }
  for (const Slot slot : order_) {
    const Job& j = jobs_[slot];
    const JobSpec& spec = *j.job.spec;
    ++looked_.jobs;
    const bool gang = spec.shape == Shape::gang;
    Budget& budget = budgets[j.team];
    const std::uint32_t want =
        count_fitting(spec.needs, ceiling_left(budget.team, budget.used), j.job.waiting);
    if (want == 0 || (gang && want < j.job.waiting)) continue;
    const bool pressed = slacks_[slot].standing == Standing::pressed;
    // What is overdue begins with one task, wherever it has room.
    const bool first = spec.shape == Shape::sweep && overdue(j.job, m.now);
    const std::uint32_t now = first ? 1 : want;
    const View places = first ? View{} : view(j, want);
    const std::vector<Candidate> found = candidates(slot, now);
    const Choice choice = found.empty() ? Choice{} : best(slot, found, places, now);
    book(choice, spec);
    plan.placements.insert(plan.placements.end(), choice.places.begin(), choice.places.end());
    std::uint32_t placed = choice.tasks;
    if (placed == 0 && first) reserve(slot, 1, kReserveOverdue);
    if (placed == 0 && gang && pressed) reserve(slot, j.job.waiting, kReserve);
    // What is short counts against the ceiling too: it will be used as soon as there is room.
    budget.used += spec.needs * want;
    const std::uint32_t taken = std::min(want - placed, static_cast<std::uint32_t>(places.places.size()));
    for (std::uint32_t i = 0; i < taken; ++i) places_[places.places[i].place].taken = plans_;
    // Those with a place in view are short all the same where they are pressed: it may go to others.
    if (!pressed) placed += taken;
    if (placed < want) plan.shortages.push_back({slot, want - placed, pressed ? taken : 0});
  }
  end_plan();
  return plan;
}

}  // namespace wrenusher::planner
