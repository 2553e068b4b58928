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
/// A type that some job could not do without is kept for such jobs this long after the last one was seen.
constexpr Micros kSoughtMemory = from_seconds(300);
/// An estimate is followed once it has moved by more than one part in so many.
constexpr int kEstimateStep = 32;
constexpr Micros kWaitsEvery = from_seconds(1);
/// A gang that lost a task before its start is completed within this time or begins anew.
constexpr Micros kCompleteWithin = from_seconds(8);

/// A job that would be late by the time a new machine has come takes what is there now.
bool too_late(const planner::Slack& sl, Micros patience) {
  return sl.standing == planner::Standing::pressed && sl.left < patience * 5 / 4;
}

}  // namespace

void Rounds::take_capacity(const CapacitySeen& c) {
  if (c.exhausted != exhausted_) {
    need();
    ++state_;
  }
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
  sync();
  see_jobs();
  see_machines();
  see_sought();
  see_waiting();
  const planner::Plan plan = board_.plan(moment());
  apply(plan);
  Result result;
  const std::vector<planner::Shortage> pressing = urgent(plan);
  if (!pressing.empty() && rt_.now() - last_make_room_ > kMakeRoomEvery) make_room(pressing, result.halts);
  result.workload = workload(plan);
  tell_waits(plan);
  return result;
}

planner::Moment Rounds::moment() const {
  planner::Moment m;
  m.now = rt_.wall();
  m.clock = rt_.now();
  m.settings = &settings_;
  m.teams = &book_.teams();
  const Catalog& catalog = *machines_.catalog();
  for (const auto& [name, n] : coming_) {
    if (const auto f = catalog.find(name); f != catalog.end())
      m.coming.emplace_back(&f->second, f->second.room.cores * n);
  }
  return m;
}

// ---------------------------------------------------------------- keeping the board up

bool Rounds::older(const Live& a, const Live& b) {
  return a.job->rec.accepted != b.job->rec.accepted ? a.job->rec.accepted < b.job->rec.accepted
                                                    : a.job->spec().ref < b.job->spec().ref;
}

/// A new term, other types or another topology void all that stands on the board.
void Rounds::sync() {
  if (generation_ == machines_.generation()) return;
  generation_ = machines_.generation();
  topology_ = machines_.topology();
  board_.clear();
  tickets_.clear();
  by_age_.clear();
  job_at_.clear();
  machine_at_.clear();
  full_.clear();
  book_.take_population();
  for (auto& [ref, job] : book_.jobs()) by_age_.push_back(take_up(job));
  std::sort(by_age_.begin(), by_age_.end(), older);
  machines_.take_freed();
  for (auto& [name, m] : machines_.all()) {
    m.slot = Machine::kNoSlot;
    machines_.touch(m);
  }
  ++state_;
}

/// A job that is not known here yet.
Rounds::Live Rounds::take_up(Job& job) {
  Ticket& t = tickets_[job.id];
  t.fitting = planner::fitting_flavors(job.spec(), *machines_.catalog());
  return {&job, &t};
}

/// Which jobs there are, and what their tasks are estimated to take.
void Rounds::see_jobs() {
  const Book::Population population = book_.take_population();
  for (const std::uint64_t id : population.out) {
    const auto it = tickets_.find(id);
    if (it == tickets_.end()) continue;
    std::erase_if(by_age_, [&](const Live& l) { return l.ticket == &it->second; });
    hide(it->second);
    tickets_.erase(it);
  }
  for (const std::string& ref : population.in) {
    Job* job = book_.find(ref);
    if (job == nullptr || tickets_.contains(job->id)) continue;
    const Live l = take_up(*job);
    by_age_.insert(std::upper_bound(by_age_.begin(), by_age_.end(), l, older), l);
  }
  for (const Live& l : by_age_) see_estimate(*l.job, *l.ticket);
}

/// An estimate that moves by little stays as it is: one task that ends would otherwise move the ends of all
/// tasks of its queue, by less than estimates are off.
void Rounds::see_estimate(Job& job, Ticket& t) {
  const std::uint64_t version = estimator_.version(job.spec().queue);
  if (t.version == version) return;
  t.version = version;
  const Micros fresh = estimator_.estimate(job.spec());
  if (t.estimate.count() > 0 && std::chrono::abs(fresh - t.estimate) <= t.estimate / kEstimateStep) return;
  t.estimate = fresh;
  t.change = ~std::uint64_t{0};
  for (const auto& [task, c] : job.claims) machines_.touch(*c.at);
}

void Rounds::see_machines() {
  for (const std::uint32_t slot : machines_.take_freed()) board_.drop_host(slot);
  const Instant now = rt_.now();
  std::erase_if(full_, [&](const auto& f) {
    if (f.first > now) return false;
    if (Machine* m = machines_.find(f.second)) machines_.touch(*m);
    return true;
  });
  for (Machine* m : machines_.take_touched()) set_machine(*m);
  for (Machine* m : machines_.pulling()) {
    machines_.progress_pulls(*m);
    if (m->slot != Machine::kNoSlot) board_.set_pulls(m->slot, Machines::pulls_of(*m));
  }
}

void Rounds::set_machine(Machine& m) {
  const Flavor* f = machines_.flavor(m);
  if (!m.open() || f == nullptr) {
    if (m.slot != Machine::kNoSlot) board_.drop_host(m.slot);
    m.slot = Machine::kNoSlot;
    return;
  }
  if (m.slot == Machine::kNoSlot) {
    m.slot = board_.new_host();
    if (machine_at_.size() <= m.slot) machine_at_.resize(m.slot + 1);
    machine_at_[m.slot] = &m;
  }
  machines_.progress_pulls(m);
  const bool full = rt_.now() < m.full_until;
  if (full) full_.emplace_back(m.full_until, m.name);
  board_.set_host(m.slot, machines_.plan_host(m, *f), leaving(m),
                  f->room.cores - planner::in_cores(m.use.lasting, *f), !full);
}

/// When the places on it will become free. Replicas never leave theirs; one that runs for longer than
/// estimated is believed to go on for a while.
std::vector<planner::Leaving> Rounds::leaving(const Machine& m) const {
  std::vector<planner::Leaving> out;
  const book::Tenants& there = book_.on(m);
  out.reserve(there.size());
  for (const auto& [id, job] : there) {
    const JobSpec& spec = job->spec();
    const Claim& c = job->claims.at(id.second);
    if (spec.shape == Shape::daemon || c.phase == Phase::loaded) continue;
    const auto ticket = tickets_.find(job->id);
    const Micros estimate = ticket == tickets_.end() ? estimator_.estimate(spec) : ticket->second.estimate;
    planner::Leaving l{spec.needs, std::nullopt, estimate, c.pulls ? &spec : nullptr};
    if (c.halt) {
      l.in = c.leeway;
    } else if (c.phase == Phase::running) {
      l.end = c.running_since + estimate;
      l.in = estimate / 10;
    }
    out.push_back(l);
  }
  return out;
}

// ---------------------------------------------------------------- types kept for those who need them

void Rounds::see_sought() {
  const Instant now = rt_.now();
  for (const Live& l : by_age_) {
    if (l.ticket->fitting.size() != 1 || l.job->rec.withdrawn || l.job->waiting.empty()) continue;
    sought_until_[*l.ticket->fitting.begin()] = now + kSoughtMemory;
  }
  std::set<std::string> sought;
  for (const auto& [name, until] : sought_until_) {
    if (now < until) sought.insert(name);
  }
  if (sought == sought_) return;
  sought_ = std::move(sought);
  ++state_;
}

// ---------------------------------------------------------------- jobs of which something waits

void Rounds::see_waiting() {
  const WallTime now = rt_.wall();
  planner::Guarantees guarantees(settings_);
  std::set<std::string> wanted;
  for (const Live& l : by_age_) {
    Job& job = *l.job;
    Ticket& t = *l.ticket;
    const JobSpec& spec = job.spec();
    if (job.rec.withdrawn) {
      hide(t);
      continue;
    }
    const bool guaranteed = guarantees.fits(spec, spec.units - job.done.size());
    // A job that fails everywhere pauses.
    if (job.waiting.empty() || rt_.now() < job.not_before || !gang_may_start(job)) {
      hide(t);
      continue;
    }
    for (const auto& [name, n] : spec.devices()) wanted.insert(name);
    if (t.state != state_) {
      t.sought.clear();
      t.patience = Micros{0};
      for (const std::string& name : t.fitting) {
        if (sought_.contains(name)) {
          t.sought.insert(name);
        } else if (!exhausted_.contains(name)) {
          // How long a new machine takes to come, of a type that the job leaves to nobody.
          t.patience = std::max(t.patience, machines_.catalog()->at(name).boot);
        }
      }
    }
    const bool patient = now - job.rec.accepted < t.patience && !t.sought.empty();
    const bool near = expects_image(job) || near_image(job);
    bool pressed = false;
    if (patient && t.on_board) pressed = too_late(board_.standing(t.slot, now), t.patience);
    if (t.on_board && !t.unsettled && t.change == job.change && t.state == state_ &&
        t.guaranteed == guaranteed && t.near_image == near && t.patient == patient && t.pressed == pressed)
      continue;
    t.state = state_;
    t.change = job.change;
    t.guaranteed = guaranteed;
    t.near_image = near;
    t.patient = patient;
    t.pressed = pressed;
    set_job(job, t);
  }
  // Who waits for a device finds its machines free of others' work by the next round.
  machines_.want_devices(std::move(wanted));
}

/// A gang starts as a whole, or is completed while all the rest of it waits for its start; else it starts
/// again once all of it is off.
bool Rounds::gang_may_start(Job& job) {
  if (job.spec().shape != Shape::gang || job.claims.empty()) return true;
  const Instant now = rt_.now();
  if (job.short_since == Instant{}) job.short_since = now;  // found so at takeover
  // It had started after all, or no place is to be had: those that wait would hold theirs for nothing.
  if (!job.broken &&
      (job.started || now - job.short_since > std::min(kCompleteWithin, settings_.gang_wait / 2)))
    book_.break_gang(job);
  return Book::completes(job);
}

void Rounds::set_job(Job& job, Ticket& t) {
  const JobSpec& spec = job.spec();
  planner::PlanJob p;
  p.spec = &spec;
  p.waiting = job.waiting.size();
  p.estimate = t.estimate;
  if (const Team* team = settings_.team(spec.owner); team != nullptr && spec.shape == Shape::sweep) {
    const Needs all{to_amount(team->cores_max), to_amount(team->cards_max), 0};
    const std::uint32_t at_once = planner::most_at_once(spec.needs, all, p.waiting);
    p.waves = std::max(1U, (p.waiting + at_once - 1) / at_once);
  }
  p.accepted = job.rec.accepted;
  p.begun = p.waiting < spec.units;
  p.near_image = t.near_image;
  p.guaranteed = t.guaranteed;
  p.avoid = &job.avoid;
  if (t.patient) p.keep_off = p.no_rent = t.sought;
  if (t.patient && !t.on_board)
    t.pressed = too_late(planner::slack(p, rt_.wall(), settings_.objectives), t.patience);
  if (t.pressed) p.keep_off.clear();
  t.unsettled = !zones_of(job, p) || !layout_of(job, p);
  if (t.unsettled) {
    hide(t);
    return;
  }
  if (!t.on_board) {
    t.slot = board_.new_job();
    t.on_board = true;
    if (job_at_.size() <= t.slot) job_at_.resize(t.slot + 1);
    job_at_[t.slot] = &job;
  }
  board_.set_job(t.slot, std::move(p), settings_.objectives);
}

void Rounds::hide(Ticket& t) {
  if (t.on_board) board_.drop_job(t.slot);
  t.on_board = false;
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

/// Likewise by domain: every claim counts until its task is proven off its machine.
bool Rounds::layout_of(const Job& job, planner::PlanJob& p) const {
  const JobSpec& spec = job.spec();
  if (!spec.layout || (!spec.layout->spread && !spec.layout->together)) return true;
  planner::PlanLayout l;
  const auto level = [&](const std::string& name) {
    return topology_ == nullptr ? -1 : topology_->level(name);
  };
  if (const auto& s = spec.layout->spread) {
    l.spread = level(s->level);
    l.most = s->limit(spec.units);
    l.spread_must = s->must;
    l.impossible = l.impossible || (l.spread < 0 && s->must);
  }
  if (const auto& t = spec.layout->together) {
    l.together = level(t->level);
    l.together_must = t->must;
    l.impossible = l.impossible || (l.together < 0 && t->must);
  }
  bool known = true;
  for (const auto& [task, c] : job.claims) {
    known = known && !c.at->site.empty();
    if (l.spread >= 0) ++l.spread_at[c.at->place.at(l.spread)];
    if (l.together >= 0) ++l.together_at[c.at->place.at(l.together)];
  }
  p.layout = std::move(l);
  return known;
}

bool Rounds::expects_image(const Job& job) const {
  return expected_ != nullptr && rt_.now() < expected_until_ && expected_->contains(job.spec().bundle);
}

/// Whether a service that waits for places should have them where its image is: for a few seconds, if there
/// is such a machine with other work on it that may be stopped. Its image can take minutes to fetch
/// elsewhere.
bool Rounds::near_image(Job& job) {
  const JobSpec& spec = job.spec();
  if (spec.shape != Shape::daemon || spec.urgency != Urgency::prod) return false;
  const Instant now = rt_.now();
  if (now < job.near_image_until) return true;
  if (now < job.near_image_until + kNearImagePause && job.near_image_until != Instant{}) return false;
  const std::vector<Slot> holders = board_.holders(spec.bundle);
  const bool some = std::any_of(holders.begin(), holders.end(), [&](Slot slot) {
    const Machine& m = *machine_at_[slot];
    if (m.use.claims == m.use.services || !spec.allows(m.flavor, m.site, m.standby)) return false;
    const auto pull = m.pulling.find(spec.bundle);
    return pull == m.pulling.end() ? m.images.contains(spec.bundle)
                                   : pull->second.left_gb * 2 < pull->second.size_gb;
  });
  if (some) job.near_image_until = now + kNearImageWait;
  return some;
}

std::string Rounds::disagreement() const {
  if (generation_ != machines_.generation()) return {};
  for (const auto& [name, m] : machines_.all()) {
    const Flavor* f = machines_.flavor(m);
    if (m.touched) continue;
    if ((m.open() && f != nullptr) != (m.slot != Machine::kNoSlot))
      return "machine " + name + " is on the planner's board or off it wrongly";
    if (m.slot == Machine::kNoSlot) continue;
    const planner::PlanHost* shown = board_.host(m.slot);
    if (shown == nullptr) return "machine " + name + " is not on the planner's board";
    planner::PlanHost now = machines_.plan_host(m, *f);
    now.pulls = shown->pulls;  // these go on from plan to plan
    if (!(now == *shown) || shown->pulls.size() != m.pulling.size())
      return "machine " + name + " is shown wrongly on the planner's board";
    if (leaving(m) != board_.leaving(m.slot)) return "places to come on " + name + " are shown wrongly";
  }
  return {};
}

// ---------------------------------------------------------------- what comes of the plan

void Rounds::apply(const planner::Plan& plan) {
  std::map<Slot, std::uint64_t> attempts;
  for (const planner::Placement& pl : plan.placements) {
    Job& job = *job_at_[pl.job];
    const planner::PlanHost& host = *board_.host(pl.host);
    const planner::PlanJob& shown = board_.job(pl.job);
    // What completes a gang has the attempt of the rest.
    const bool completes = job.spec().shape == Shape::gang && !job.claims.empty();
    const auto [it, first] =
        attempts.try_emplace(pl.job, completes ? job.claims.begin()->second.attempt : job.last_try + 1);
    job.short_since = {};
    for (std::uint32_t i = 0; i < pl.tasks; ++i)
      book_.claim(job, *job.waiting.first(), *machine_at_[pl.host], it->second, Phase::fresh);
    log::debug("tasks_placed",
               "job {job} (rank {rank:.1f} s): {tasks} tasks to {machine}, finish in {finish:.1f} s with "
               "{fetch:.1f} s of fetch",
               log::with("job", job.spec().ref), log::with("rank", to_seconds(planner::rank(shown))),
               log::with("tasks", pl.tasks), log::with("machine", host.name),
               log::with("finish", to_seconds(planner::finish_time(host, shown))),
               log::with("fetch", to_seconds(planner::fetch_time(host, job.spec()))));
  }
}

/// What is short and may have others stopped for it.
std::vector<planner::Shortage> Rounds::urgent(const planner::Plan& plan) const {
  std::vector<planner::Shortage> out;
  const WallTime now = rt_.wall();
  for (const planner::Shortage& sh : plan.shortages) {
    const auto slot = static_cast<Slot>(sh.job);
    const planner::PlanJob& job = board_.job(slot);
    if (job.spec->shape == Shape::daemon && job.spec->urgency == Urgency::prod) {
      // A service is missed from the first moment, and no new machine comes sooner than a task is stopped.
      out.push_back(sh);
      continue;
    }
    if (job.spec->urgency >= Urgency::normal || now - job.accepted < tickets_.at(job_at_[slot]->id).patience)
      continue;
    // Others are stopped only for what would otherwise come too late, and can still come in time.
    const planner::Slack sl = board_.standing(slot, now);
    if (sl.standing == planner::Standing::pressed && sl.left < kLastMoment) out.push_back(sh);
  }
  return out;
}

/// Stops tasks of less urgent jobs for urgent ones that have waited for as long as new machines take to come.
void Rounds::make_room(const std::vector<planner::Shortage>& shortages, std::vector<DirectOrders>& halts) {
  last_make_room_ = rt_.now();
  std::vector<planner::Running> running;
  std::vector<Claim*> claims;
  planner::Snapshot after;
  std::vector<planner::Shortage> pressing = shortages;
  for (planner::Shortage& sh : pressing) {
    after.jobs.push_back(board_.job(static_cast<Slot>(sh.job)));
    sh.job = after.jobs.size() - 1;
  }
  for (auto& [name, m] : machines_.all()) {
    const Flavor* f = machines_.flavor(m);
    if (!m.open() || f == nullptr) continue;
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
  for (const std::size_t i : planner::preempt(after, pressing, running)) {
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
    book_.stop(c, leeway);
    if (c.phase != Phase::fresh)
      orders[c.at->name].push_back({Order::Verb::halt, spec.ref, running[i].task, c.attempt, c.leeway});
    log::info("task_makes_room", "task {task} on {machine} makes room for more urgent work",
              log::with("task", unit_name(spec.ref, running[i].task)), log::with("machine", c.at->name));
  }
  for (auto& [host, list] : orders) halts.push_back({host, std::move(list)});
}

// ---------------------------------------------------------------- what others are told

/// Where a machine would have to come to serve the job's layout, as far as type and zone tell.
std::optional<std::set<std::pair<std::string, std::string>>> Rounds::reach(
    const planner::PlanJob& job) const {
  const JobSpec& spec = *job.spec;
  if (!spec.layout || topology_ == nullptr) return std::nullopt;
  const std::optional<planner::PlanLayout>& l = job.layout;
  std::set<std::pair<std::string, std::string>> out;
  const auto domains_allow = [&](const std::string& type, const std::string& zone) {
    if (!l || (!l->spread_must && !l->together_must)) return true;
    if (l->impossible) return false;
    topology::Place place;
    place.by_level.resize(topology_->levels().size());
    planner::PlanHost there;
    there.place = &place;
    const auto& all = topology_->domains();
    for (topology::DomainId id = 1; id < all.size(); ++id) {
      if (!all[id].inside.empty() || !topology_->may_come(id, type, zone)) continue;
      for (std::size_t level = 0; level < place.by_level.size(); ++level)
        place.by_level[level] = topology_->above(id, static_cast<int>(level));
      if (planner::layout_allowance(*l, there, spec.units, false) > 0) return true;
    }
    return false;
  };
  for (const auto& [type, f] : *machines_.catalog()) {
    for (const std::string& zone : f.sites) {
      const bool devices =
          std::all_of(spec.layout->devices.begin(), spec.layout->devices.end(),
                      [&](const auto& d) { return topology_->may_bring(d.first, type, zone); });
      if (devices && domains_allow(type, zone)) out.emplace(type, zone);
    }
  }
  return out;
}

/// Says once why a job waits for its layout, and once more when the reason is another.
void Rounds::tell_waits(const planner::Plan& plan) {
  if (rt_.now() < next_waits_) return;
  next_waits_ = rt_.now() + kWaitsEvery;
  for (const planner::Shortage& sh : plan.shortages) {
    const auto slot = static_cast<Slot>(sh.job);
    const planner::PlanJob& p = board_.job(slot);
    if (!p.spec->layout) continue;
    Ticket& t = tickets_.at(job_at_[slot]->id);
    std::string why = "no machine that its layout allows has room";
    if (topology_ == nullptr) {
      why = "there is no topology in force";
    } else if (p.layout && p.layout->impossible) {
      why = "the topology in force has no such level";
    } else if (!p.spec->layout->devices.empty()) {
      why = "no machine with its devices has room";
    }
    if (t.waits == why) continue;
    t.waits = why;
    log::info("layout_waits", "{tasks} tasks of job {job} wait: {reason}", log::with("tasks", sh.tasks),
              log::with("job", p.spec->ref), log::with("reason", why));
  }
}

std::shared_ptr<const Workload> Rounds::workload(const planner::Plan& p) {
  if (rt_.now() < next_workload_) return nullptr;
  next_workload_ = rt_.now() + kWorkloadEvery;
  auto w = std::make_shared<Workload>();
  for (const planner::Shortage& sh : p.shortages) {
    const planner::PlanJob& j = board_.job(static_cast<Slot>(sh.job));
    w->demands.push_back({*j.spec, sh.tasks, sh.soon, j.estimate,
                          board_.standing(static_cast<Slot>(sh.job), rt_.wall()).spare, j.no_rent, reach(j)});
  }
  w->hosts.reserve(machines_.all().size());
  for (const auto& [name, m] : machines_.all()) {
    Workload::HostLoad load{name, m.flavor, m.site, m.standby, m.usable(), m.use.claims, 0, 0, 0};
    load.carries = !m.place.devices.empty();
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
    if (job.done.empty() && job.claims.empty()) continue;
    out->rows.push_back({ref, job.done.size(), job.claims.size()});
  }
  return out;
}

}  // namespace wrenusher::rounds
