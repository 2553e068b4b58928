#include "wrenusher/rounds/rounds.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::rounds {

namespace {

/// An urgent job that must start within this time to meet its aim may have others stopped.
constexpr Micros kLastMoment = from_seconds(15);
constexpr Micros kMakeRoomEvery = from_seconds(1);
/// A service waits so long for room where its image is, and then takes any for a while.
constexpr Micros kNearImageWait = from_seconds(6);
constexpr Micros kNearImagePause = from_seconds(30);
/// Planning without news: aims come nearer and pauses end.
constexpr Micros kPlanAnyway = from_seconds(1);
constexpr Micros kWorkloadEvery = millis(500);
constexpr Micros kProgressEvery = from_seconds(1);
constexpr std::size_t kMostProgress = 1000;
/// A type that some job could not do without is kept for such jobs this long after the last one was seen.
constexpr Micros kSoughtMemory = from_seconds(300);

}  // namespace

void Rounds::take_capacity(const CapacitySeen& c) {
  if (c.exhausted != exhausted_) need();
  exhausted_ = c.exhausted;
  coming_ = c.coming;
}

bool Rounds::due() const {
  return needed_ || book_.news() != news_seen_ || rt_.now() - last_plan_ > kPlanAnyway;
}

Rounds::Result Rounds::plan() {
  if (machines_.catalog() == nullptr) return {};
  needed_ = false;
  news_seen_ = book_.news();
  last_plan_ = rt_.now();
  ++plans_;
  see_sought();
  Picture p = picture();
  const planner::Plan plan = planner::place(p.s);
  apply(plan, p);
  Result result;
  const std::vector<planner::Shortage> pressing = urgent(plan, p);
  if (!pressing.empty() && rt_.now() - last_make_room_ > kMakeRoomEvery) make_room(p, pressing, result.halts);
  result.workload = workload(p.s, plan);
  return result;
}

// ---------------------------------------------------------------- the picture

Rounds::Picture Rounds::picture() {
  Picture p;
  p.s.now = rt_.wall();
  p.s.clock = rt_.now();
  p.s.settings = &settings_;
  p.s.teams = book_.teams();
  add_waiting(p);
  add_rooms(p);
  if (std::any_of(p.s.jobs.begin(), p.s.jobs.end(),
                  [](const planner::PlanJob& j) { return j.spec->shape != Shape::daemon; }))
    p.s.later = places_to_come();
  return p;
}

std::set<const Job*> Rounds::within_guarantee() const {
  std::vector<planner::TeamJob> unfinished;
  std::vector<const Job*> owners;
  for (const auto& [ref, job] : book_.jobs()) {
    if (job.rec.withdrawn) continue;
    unfinished.push_back({&job.spec(), job.spec().units - job.done.size(), job.rec.accepted});
    owners.push_back(&job);
  }
  const std::vector<bool> fits = planner::guaranteed(std::move(unfinished), settings_);
  std::set<const Job*> within;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    if (fits[i]) within.insert(owners[i]);
  }
  return within;
}

/// Jobs of which something waits and may start.
void Rounds::add_waiting(Picture& out) {
  planner::Snapshot& s = out.s;
  const std::set<const Job*> within = within_guarantee();
  for (auto& [ref, job] : book_.jobs()) {
    if (job.waiting.empty() || job.rec.withdrawn || s.clock < job.not_before) continue;
    const JobSpec& spec = job.spec();
    if (spec.shape == Shape::gang && !job.claims.empty()) continue;
    planner::PlanJob p;
    p.spec = &spec;
    p.waiting = job.waiting.size();
    p.estimate = estimator_.estimate(spec);
    if (const Team* team = settings_.team(spec.owner); team != nullptr && spec.shape == Shape::sweep) {
      const Needs all{to_amount(team->cores_max), to_amount(team->cards_max), 0};
      const std::uint32_t at_once = planner::most_at_once(spec.needs, all, p.waiting);
      p.waves = std::max(1U, (p.waiting + at_once - 1) / at_once);
    }
    p.accepted = job.rec.accepted;
    p.near_image = near_image(job);
    p.guaranteed = within.contains(&job);
    p.avoid = &job.avoid;
    p.keep_off = keep_off(job, s.now);
    p.no_rent = p.keep_off;
    // A job that would be late by the time a new machine has come takes what is there now.
    const planner::Slack sl = planner::slack(p, s.now, settings_.objectives);
    if (!p.keep_off.empty() && sl.standing == planner::Standing::pressed && sl.left < patience(job) * 5 / 4)
      p.keep_off.clear();
    if (!zones_of(job, p)) continue;
    s.jobs.push_back(std::move(p));
    out.jobs.push_back(&job);
  }
}

/// Where the job's tasks are, if that matters. False where it is not known yet: a claimed machine has not
/// reported in this term.
bool Rounds::zones_of(const Job& job, planner::PlanJob& p) const {
  if (!job.spec().same_place && !job.spec().scatter) return true;
  bool known = true;
  for (const auto& [task, c] : job.claims) {
    const std::string& site = c.at->site;
    known = known && !site.empty();
    ++p.zones[site];
  }
  return known;
}

/// Machines with room for the smallest of the waiting tasks; no other is looked at.
void Rounds::add_rooms(Picture& out) {
  planner::Snapshot& s = out.s;
  Needs least;
  for (const planner::PlanJob& j : s.jobs) {
    const Needs& n = j.spec->needs;
    least = &j == &s.jobs.front() ? n
                                  : Needs{std::min(least.cores, n.cores), std::min(least.cards, n.cards),
                                          std::min(least.memory, n.memory)};
  }
  const Catalog& catalog = *machines_.catalog();
  for (const auto& [name, n] : coming_) {
    if (const auto f = catalog.find(name); f != catalog.end())
      s.cores[&f->second] += f->second.room.cores * n;
  }
  if (s.jobs.empty()) return;
  for (auto& [name, m] : machines_.all()) {
    const Flavor* f = machines_.flavor(m);
    if (!m.usable() || f == nullptr) continue;
    s.cores[f] += f->room.cores - planner::in_cores(m.use.lasting, *f);
    if (s.clock < m.full_until) continue;
    Needs room = f->room;
    room -= m.use.booked;
    if (!least.fits(room)) continue;
    machines_.progress_pulls(m);
    s.hosts.push_back(machines_.plan_host(m, *f));
    out.hosts.push_back(&m);
  }
}

/// When places will become free, on every machine that may get new tasks. Replicas never leave theirs.
std::vector<planner::Later> Rounds::places_to_come() {
  std::vector<planner::Later> out;
  out.reserve(machines_.all().size());
  const Job* last = nullptr;
  Micros estimate{};
  for (auto& [name, m] : machines_.all()) {
    const Flavor* f = machines_.flavor(m);
    if (!m.usable() || f == nullptr) continue;
    machines_.progress_pulls(m);
    planner::Later l{machines_.plan_host(m, *f), {}};
    for (const auto& [id, job] : book_.on(m)) {
      const JobSpec& spec = job->spec();
      const Claim& c = job->claims.at(id.second);
      if (spec.shape == Shape::daemon || c.phase == Phase::loaded) continue;
      if (job != last) estimate = estimator_.estimate(spec);
      last = job;
      Micros in = c.halt ? c.leeway : left_to_run(c, estimate);
      if (c.pulls) in += planner::fetch_time(l.host, spec);
      l.places.push_back({in, spec.needs, false});
    }
    std::sort(l.places.begin(), l.places.end(),
              [](const planner::Later::Place& a, const planner::Later::Place& b) { return a.in < b.in; });
    out.push_back(std::move(l));
  }
  return out;
}

/// How long a task that has a place will keep it, its fetch aside. One that runs for longer than estimated is
/// believed to go on for a while.
Micros Rounds::left_to_run(const Claim& c, Micros estimate) const {
  if (c.phase != Phase::running) return estimate;
  return std::max(estimate - (rt_.now() - c.running_since), estimate / 10);
}

/// Whether a service that waits for places should have them where its image is: for a few seconds, if there
/// is such a machine with other work on it that may be stopped. Its image can take minutes to fetch
/// elsewhere.
bool Rounds::near_image(Job& job) const {
  const JobSpec& spec = job.spec();
  if (spec.shape != Shape::daemon || spec.urgency != Urgency::prod) return false;
  const Instant now = rt_.now();
  if (now < job.near_image_until) return true;
  if (now < job.near_image_until + kNearImagePause && job.near_image_until != Instant{}) return false;
  const auto& all = machines_.all();
  const bool some = std::any_of(all.begin(), all.end(), [&](const auto& entry) {
    const Machine& m = entry.second;
    if (!m.usable() || m.use.claims == m.use.services || !spec.allows(m.flavor, m.site, m.standby))
      return false;
    const auto pull = m.pulling.find(spec.bundle);
    return pull == m.pulling.end() ? m.images.contains(spec.bundle)
                                   : pull->second.left_gb * 2 < pull->second.size_gb;
  });
  if (some) job.near_image_until = now + kNearImageWait;
  return some;
}

// ---------------------------------------------------------------- types kept for those who need them

void Rounds::see_sought() {
  const Instant until = rt_.now() + kSoughtMemory;
  for (const auto& [ref, job] : book_.jobs()) {
    if (job.rec.withdrawn || job.waiting.empty()) continue;
    const auto fitting = planner::fitting_flavors(job.spec(), *machines_.catalog());
    if (fitting.size() == 1) sought_until_[*fitting.begin()] = until;
  }
}

/// The types that the job leaves to others: those that some jobs need, as long as it has another one that the
/// cloud still gives, and has not waited for longer than such a machine takes to come.
std::set<std::string> Rounds::keep_off(const Job& job, WallTime now) const {
  if (patience_over(job, now)) return {};
  std::set<std::string> sought;
  for (const std::string& name : planner::fitting_flavors(job.spec(), *machines_.catalog())) {
    if (is_sought(name)) sought.insert(name);
  }
  return sought;
}

/// How long a new machine takes to come, of a type that the job leaves to nobody and the cloud still gives.
Micros Rounds::patience(const Job& job) const {
  Micros most{0};
  for (const std::string& name : planner::fitting_flavors(job.spec(), *machines_.catalog())) {
    if (!is_sought(name) && !exhausted_.contains(name))
      most = std::max(most, machines_.catalog()->at(name).boot);
  }
  return most;
}

bool Rounds::patience_over(const Job& job, WallTime now) const {
  return now - job.rec.accepted >= patience(job);
}

bool Rounds::is_sought(const std::string& flavor) const {
  const auto it = sought_until_.find(flavor);
  return it != sought_until_.end() && rt_.now() < it->second;
}

// ---------------------------------------------------------------- what comes of the plan

void Rounds::apply(const planner::Plan& plan, Picture& p) {
  std::map<std::size_t, std::uint64_t> attempts;
  for (const planner::Placement& pl : plan.placements) {
    Job& job = *p.jobs[pl.job];
    const planner::PlanHost& host = p.s.hosts[pl.host];
    const auto [it, first] = attempts.try_emplace(pl.job, job.last_try + 1);
    for (std::uint32_t i = 0; i < pl.tasks; ++i)
      book_.claim(job, *job.waiting.first(), *p.hosts[pl.host], it->second, Phase::fresh);
    log::debug("tasks_placed",
               "job {job} (rank {rank:.1f} s): {tasks} tasks to {machine}, finish in {finish:.1f} s with "
               "{fetch:.1f} s of fetch",
               log::with("job", job.spec().ref),
               log::with("rank", to_seconds(planner::rank(p.s.jobs[pl.job]))), log::with("tasks", pl.tasks),
               log::with("machine", host.name),
               log::with("finish", to_seconds(planner::finish_time(host, p.s.jobs[pl.job]))),
               log::with("fetch", to_seconds(planner::fetch_time(host, job.spec()))));
  }
}

/// What is short and may have others stopped for it.
std::vector<planner::Shortage> Rounds::urgent(const planner::Plan& plan, const Picture& p) const {
  std::vector<planner::Shortage> out;
  for (const planner::Shortage& sh : plan.shortages) {
    const planner::PlanJob& job = p.s.jobs[sh.job];
    if (job.spec->shape == Shape::daemon && job.spec->urgency == Urgency::prod) {
      // A service is missed from the first moment, and no new machine comes sooner than a task is stopped.
      out.push_back(sh);
      continue;
    }
    if (job.spec->urgency >= Urgency::normal || !patience_over(*p.jobs[sh.job], p.s.now)) continue;
    // Others are stopped only for what would otherwise come too late, and can still come in time.
    const planner::Slack sl = planner::slack(job, p.s.now, settings_.objectives);
    if (sl.standing == planner::Standing::pressed && sl.left < kLastMoment) out.push_back(sh);
  }
  return out;
}

/// Stops tasks of less urgent jobs for urgent ones that have waited for as long as new machines take to come.
void Rounds::make_room(const Picture& p, const std::vector<planner::Shortage>& shortages,
                       std::vector<DirectOrders>& halts) {
  last_make_room_ = rt_.now();
  std::vector<planner::Running> running;
  std::vector<Claim*> claims;
  planner::Snapshot after = p.s;
  after.hosts.clear();
  for (auto& [name, m] : machines_.all()) {
    const Flavor* f = machines_.flavor(m);
    if (!m.usable() || f == nullptr) continue;
    const std::size_t h = after.hosts.size();
    after.hosts.push_back(machines_.plan_host(m, *f));
    const Job* last = nullptr;
    Micros estimate{};
    for (const auto& [id, job] : book_.on(m)) {
      Claim& c = job->claims.at(id.second);
      const JobSpec& spec = job->spec();
      // Whether one found at takeover is there at all is not known yet; replicas make no room.
      if (c.phase == Phase::loaded || (spec.shape == Shape::daemon && !c.halt)) continue;
      if (job != last) estimate = estimator_.estimate(spec);
      last = job;
      const Micros age = c.phase == Phase::running ? rt_.now() - c.running_since : Micros{0};
      running.push_back({h, &spec, id.second, age, estimate - age, c.halt});
      claims.push_back(&c);
    }
  }
  book::Orders orders;
  for (const std::size_t i : planner::preempt(after, shortages, running)) {
    Claim& c = *claims[i];
    const JobSpec& spec = *running[i].spec;
    if (c.halt) continue;
    const Micros leeway = spec.saves() ? spec.snapshot + from_seconds(1) : Micros{0};
    if (spec.shape == Shape::gang) {
      log::info("gang_makes_room", "gang {job} makes room for more urgent work", log::with("job", spec.ref));
      for (auto& [host, list] : book_.halt(*book_.find(spec.ref), leeway))
        halts.push_back({host, std::move(list)});
      continue;
    }
    c.halt = true;
    c.leeway = leeway;
    if (c.phase != Phase::fresh)
      orders[c.at->name].push_back({Order::Verb::halt, spec.ref, running[i].task, c.attempt, c.leeway});
    log::info("task_makes_room", "task {task} on {machine} makes room for more urgent work",
              log::with("task", unit_name(spec.ref, running[i].task)), log::with("machine", c.at->name));
  }
  for (auto& [host, list] : orders) halts.push_back({host, std::move(list)});
}

// ---------------------------------------------------------------- what others are told

std::shared_ptr<const Workload> Rounds::workload(const planner::Snapshot& s, const planner::Plan& p) {
  if (rt_.now() < next_workload_) return nullptr;
  next_workload_ = rt_.now() + kWorkloadEvery;
  auto w = std::make_shared<Workload>();
  for (const planner::Shortage& sh : p.shortages) {
    const planner::PlanJob& j = s.jobs[sh.job];
    w->demands.push_back({*j.spec, sh.tasks, sh.soon, j.estimate,
                          planner::slack(j, s.now, settings_.objectives).spare, j.no_rent});
  }
  w->hosts.reserve(machines_.all().size());
  for (const auto& [name, m] : machines_.all()) {
    Workload::HostLoad load{name, m.flavor, m.site, m.standby, m.usable(), m.use.claims, 0, 0, 0};
    if (const Flavor* f = machines_.flavor(m)) {
      load.booked = planner::in_cores(m.use.booked, *f);
      load.running = planner::in_cores(m.use.running, *f);
      load.lasting = planner::in_cores(m.use.lasting, *f);
    }
    w->hosts.push_back(std::move(load));
  }
  return w;
}

std::shared_ptr<const Progress> Rounds::progress() {
  if (rt_.now() < next_progress_) return nullptr;
  next_progress_ = rt_.now() + kProgressEvery;
  auto out = std::make_shared<Progress>();
  for (const auto& [ref, job] : book_.jobs()) {
    if (out->rows.size() == kMostProgress) break;
    if (job.done.empty() && job.claims.empty()) continue;
    out->rows.push_back({ref, job.done.size(), job.claims.size()});
  }
  return out;
}

}  // namespace wrenusher::rounds
