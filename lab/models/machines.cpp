#include "wrenusher/lab/machines.hpp"

#include <algorithm>
#include <cstdlib>

#include "machine_state.hpp"
#include "wrenusher/lab/answers.hpp"

namespace wrenusher::lab {

namespace {

constexpr Micros kStep = millis(100);
constexpr Micros kLeastPaid = from_seconds(60);
constexpr Micros kReportGap = millis(500);
/// A machine that died is listed as running for so long.
constexpr Micros kFoundDead = from_seconds(20);

Micros scaled(Micros d, double by) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(d.count()) * by)};
}

}  // namespace

Machines::Machines(Wires& wires, const Site& site, Checker& checker, double speed)
    : wires_(wires), site_(site), settings_(site.settings), checker_(checker), speed_(speed) {}

Machines::~Machines() = default;

void Machines::start() {
  stepped_ = wires_.now();
  step();
}

void Machines::describe(JobTruth truth) {
  const std::string ref = truth.spec.ref;
  jobs_.emplace(ref, std::move(truth));
}

const JobTruth* Machines::job(const std::string& ref) const {
  const auto it = jobs_.find(ref);
  return it == jobs_.end() ? nullptr : &it->second;
}

Machines::Machine* Machines::find(const std::string& host) {
  const auto it = machines_.find(host);
  return it == machines_.end() ? nullptr : it->second.get();
}

bool Machines::acts(const Machine& m) const {
  return m.up && !m.dead && wires_.now() >= m.hung_until;
}

// ---------------------------------------------------------------- the cloud's side

std::string Machines::rent(const std::string& flavor, const std::string& zone, bool standby, Micros boot) {
  auto m = std::make_unique<Machine>();
  m->ref = "m-" + std::to_string(made_ + 1);
  const auto addr =
      wires_.serve(m->ref, [this, host = m->ref](const std::string&, const Request& r, const Answer& a) {
        serve_orders(host, r, a);
      });
  if (!addr) return {};
  ++made_;
  m->addr = *addr;
  m->flavor = flavor;
  m->type = site_.type(flavor);
  m->site = zone;
  m->standby = standby;
  m->rented = wires_.now();
  m->up_at = wires_.now() + scaled(boot, 1 / speed_);
  m->node = static_cast<std::size_t>(wires_.pick(static_cast<int>(nodes_.size())));
  m->speed = wires_.uniform(0.95, 1.05);
  m->pull = wires_.uniform(0.75, 1.33);
  const std::string ref = m->ref;
  machines_[ref] = std::move(m);
  return ref;
}

void Machines::give_back(const std::string& host) {
  Machine* m = find(host);
  if (m == nullptr) return;
  lose_tasks(*m);
  const Instant end = m->dead ? m->died : wires_.now();
  const double price = m->standby ? m->type->flavor.low_price : m->type->flavor.rate;
  spent_ += price * to_seconds(std::max(end - m->rented, kLeastPaid)) / 3600;
  wires_.unserve(m->addr);
  machines_.erase(host);
}

int Machines::there(const std::string& flavor, const std::string& zone, bool standby) const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& e) {
    return e.second->flavor == flavor && e.second->site == zone && e.second->standby == standby;
  }));
}

Value::List Machines::list() const {
  // In the order of their creation, which is that of their names as the protocol has them.
  std::vector<const Machine*> all;
  for (const auto& [ref, m] : machines_) all.push_back(m.get());
  std::sort(all.begin(), all.end(), [](const Machine* a, const Machine* b) {
    return a->ref.size() != b->ref.size() ? a->ref.size() < b->ref.size() : a->ref < b->ref;
  });
  Value::List out;
  for (const Machine* m : all) {
    const char* status = m->dead && wires_.now() - m->died > kFoundDead ? "failed"
                         : m->up                                        ? "running"
                                                                        : "starting";
    out.emplace_back(Value::Map{{"ref", m->ref},
                                {"addr", m->addr},
                                {"flavor", m->flavor},
                                {"site", m->site},
                                {"standby", m->standby},
                                {"status", status},
                                {"held_s", to_seconds(wires_.now() - m->rented)}});
  }
  return out;
}

double Machines::cost() const {
  double sum = spent_;
  for (const auto& [ref, m] : machines_) {
    const Instant end = m->dead ? m->died : wires_.now();
    sum +=
        (m->standby ? m->type->flavor.low_price : m->type->flavor.rate) * to_seconds(end - m->rented) / 3600;
  }
  return sum;
}

// ---------------------------------------------------------------- troubles

void Machines::lose_tasks(Machine& m) {
  for (Task& t : m.tasks) {
    if (t.on()) checker_.left(t.ref, t.task, m.ref);
    if (t.status == "running") {
      const auto it = saved_.find({t.ref, t.task});
      const Micros kept = it == saved_.end() ? Micros{0} : it->second;
      work_.lost += to_seconds(std::max(t.progress - std::max(kept, t.begun_at), Micros{0})) *
                    from_amount(t.job->spec.needs.cores);
    }
  }
  m.tasks.clear();
  m.pulls.clear();
}

void Machines::die(const std::string& host) {
  Machine* m = find(host);
  if (m == nullptr || m->dead) return;
  m->dead = true;
  m->died = wires_.now();
  lose_tasks(*m);
  wires_.unserve(m->addr);
}

void Machines::reborn(const std::string& host) {
  Machine* m = find(host);
  if (m == nullptr || !m->up || m->dead) return;
  lose_tasks(*m);
  m->images.clear();
  m->tenure = 1;
  m->serial = m->epoch = 0;
  m->token_told.reset();
  ++m->life;
  m->reporting = false;
  m->lease_from = m->next_report = wires_.now();
}

bool Machines::has_room(const JobSpec& spec) const {
  Needs team;
  for (const auto& [ref, m] : machines_) {
    for (const Task& t : m->tasks) {
      if (!t.ended() && t.job->spec.owner == spec.owner) team += t.job->spec.needs;
    }
  }
  const settings::Team* its = settings_.team(spec.owner);
  const Needs with{team.cores + spec.needs.cores, team.cards + spec.needs.cards, 0};
  if (its == nullptr || (its->cores_max > 0 && with.cores > to_amount(its->cores_max)) ||
      (its->cards_max > 0 && with.cards > to_amount(its->cards_max)))
    return false;
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& e) {
    const Machine& m = *e.second;
    if (!acts(m) || m.taken_at || faulty_.contains(m.ref) || !spec.allows(m.flavor, m.site, m.standby))
      return false;
    Needs room = m.type->flavor.room;
    for (const Task& t : m.tasks) {
      if (!t.ended()) room -= t.job->spec.needs;
    }
    return spec.needs.fits(room);
  });
}

/// The moment at which it goes on is looked at before what was sent meanwhile is executed: a cancelled task
/// that is still there has outlived the hang, however soon it is stopped after it.
void Machines::hang(const std::string& host, Micros how_long) {
  Machine* m = find(host);
  if (m == nullptr) return;
  m->hung_until = wires_.now() + how_long;
  wires_.at(how_long, [this] { checker_.look(wires_.now()); });
}

std::map<std::string, std::set<std::string>> Machines::with_long_to_go(Micros least) const {
  std::map<std::string, std::set<std::string>> out;
  for (const auto& [host, m] : machines_) {
    for (const Task& t : m->tasks) {
      if (t.status != "running") continue;
      if (t.job->spec.shape == Shape::daemon || total(t) - t.progress >= least) out[t.ref].insert(host);
    }
  }
  return out;
}

void Machines::take(const std::string& host, Micros notice) {
  Machine* m = find(host);
  if (m == nullptr || !m->standby || m->taken_at) return;
  m->taken_at = wires_.now() + notice;
  m->next_report = std::min(m->next_report, wires_.now());
  wires_.at(notice, [this, host] { give_back(host); });
}

std::vector<std::string> Machines::up(const std::string& zone) const {
  std::vector<std::string> out;
  for (const auto& [ref, m] : machines_) {
    if (m->up && !m->dead && (zone.empty() || m->site == zone)) out.push_back(ref);
  }
  return out;
}

bool Machines::standby(const std::string& host) const {
  const auto it = machines_.find(host);
  return it != machines_.end() && it->second->standby;
}

std::string Machines::zone_of(const std::string& host) const {
  const auto it = machines_.find(host);
  return it == machines_.end() ? "" : it->second->site;
}

std::string Machines::flavor_of(const std::string& host) const {
  const auto it = machines_.find(host);
  return it == machines_.end() ? "" : it->second->flavor;
}

std::vector<std::pair<std::string, std::uint32_t>> Machines::units_on(const std::string& host) const {
  std::vector<std::pair<std::string, std::uint32_t>> out;
  if (const auto it = machines_.find(host); it != machines_.end()) {
    for (const Task& t : it->second->tasks) out.emplace_back(t.ref, t.task);
  }
  return out;
}

// ---------------------------------------------------------------- time passes

void Machines::step() {
  const Instant now = wires_.now();
  std::vector<std::string> names;
  names.reserve(machines_.size());
  for (const auto& [ref, m] : machines_) names.push_back(ref);
  for (const std::string& name : names) {
    Machine& m = *find(name);
    if (!m.up) step_boot(m);
    if (!acts(m)) continue;
    step_lease(m);
    step_pulls(m);
    for (Task& t : m.tasks) {
      if (!t.ended()) step_task(m, t);
    }
  }
  step_gangs();
  for (const std::string& name : names) {
    Machine& m = *find(name);
    if (acts(m) && !m.reporting && now >= m.next_report && now - m.last_sent >= kReportGap) report(m);
  }
  checker_.look(now);
  stepped_ = now;
  wires_.at(kStep, [this] { step(); });
}

void Machines::step_boot(Machine& m) {
  if (m.dead || wires_.now() < m.up_at) return;
  m.up = true;
  m.lease_from = m.next_report = wires_.now();
}

void Machines::step_lease(Machine& m) {
  if (wires_.now() - m.lease_from <= settings_.lease) return;
  lose_tasks(m);
  ++m.tenure;
  m.lease_from = m.next_report = wires_.now();
}

/// Fetches under way share the machine's rate; one that no task waits for is given up.
void Machines::step_pulls(Machine& m) {
  if (m.pulls.empty()) return;
  std::erase_if(m.pulls, [&](const auto& p) {
    return std::none_of(m.tasks.begin(), m.tasks.end(), [&](const Task& t) {
      return t.status == "pulling" && t.job->spec.bundle == p.first;
    });
  });
  const double seconds = to_seconds(wires_.now() - stepped_) * speed_;
  const double each = seconds * m.type->flavor.pull_gb_per_s * m.pull /
                      std::max<double>(1, static_cast<double>(m.pulls.size()));
  std::vector<std::string> there;
  for (auto& [bundle, left] : m.pulls) {
    left -= each;
    if (left <= 0) there.push_back(bundle);
  }
  for (const std::string& bundle : there) {
    m.pulls.erase(bundle);
    for (const Task& t : m.tasks) {
      if (t.job == nullptr || t.job->spec.bundle != bundle) continue;
      keep_image(m, bundle, t.job->spec.image_gb);
      break;
    }
  }
}

void Machines::keep_image(Machine& m, const std::string& bundle, double gb) {
  std::erase_if(m.images, [&](const auto& i) { return i.first == bundle; });
  m.images.emplace_back(bundle, gb);
  double sum = 0;
  for (const auto& i : m.images) sum += i.second;
  while (sum > m.type->flavor.cache_gb && m.images.size() > 1) {
    sum -= m.images.front().second;
    m.images.erase(m.images.begin());
  }
}

Micros Machines::total(const Task& t) const {
  const JobTruth& j = *t.job;
  return scaled(j.run.count() > 0 ? j.run : j.spec.expected, t.luck);
}

/// The task has its image: from now on it is on its machine.
void Machines::got_image(Machine& m, Task& t) {
  const JobSpec& spec = t.job->spec;
  keep_image(m, spec.bundle, spec.image_gb);
  checker_.started(wires_.now(), t.ref, t.task, m.ref, m.flavor, m.site, m.standby);
  m.next_report = std::min(m.next_report, wires_.now());
  if (results_.contains({t.ref, t.task}) && spec.shape != Shape::daemon) {
    t.become("running", wires_.now());
    exit_task(m, t, "done");
    return;
  }
  t.become(spec.shape == Shape::gang ? "gathering" : "running", wires_.now());
  if (const auto saved = saved_.find({t.ref, t.task}); saved != saved_.end()) t.progress = saved->second;
  t.begun_at = t.progress;
  if (spec.shape != Shape::gang && on_start) on_start(t.ref, t.task);
}

void Machines::step_task(Machine& m, Task& t) {
  const Instant now = wires_.now();
  const JobSpec& spec = t.job->spec;
  if (t.status == "pulling") {
    if (m.has(spec.bundle)) got_image(m, t);
    return;
  }
  if (spec.shape == Shape::gang) return;
  if (t.status == "saving") {
    if (now < t.saved_by) return;
    saved_[{t.ref, t.task}] = t.progress;
    t.kept = true;
    exit_task(m, t, "stopped");
    return;
  }
  if (mistaken_.contains(t.ref) || t.job->mistaken || faulty_.contains(m.ref)) {
    if (now - t.since > from_seconds(1)) exit_task(m, t, "error");
    return;
  }
  const Micros step = scaled(now - std::max(stepped_, t.since), speed_ * m.speed);
  t.progress += step;
  if (spec.shape == Shape::daemon) return;
  if (spec.saves()) {
    const Micros at = spec.snapshot_every * (t.progress / spec.snapshot_every);
    if (Micros& kept = saved_[{t.ref, t.task}]; at > kept) kept = at;
  }
  if (t.progress >= total(t)) exit_task(m, t, "done");
}

void Machines::step_gangs() {
  std::map<GangKey, std::vector<std::pair<Machine*, Task*>>> found;
  for (const auto& [ref, m] : machines_) {
    for (Task& t : m->tasks) {
      if (t.ended() || t.status == "pulling") continue;
      if (t.job->spec.shape == Shape::gang) found[{t.ref, t.attempt}].emplace_back(m.get(), &t);
    }
  }
  std::erase_if(gangs_, [&](const auto& g) { return !found.contains(g.first); });
  for (auto& [key, tasks] : found) step_gang(key, tasks);
}

void Machines::step_gang(const GangKey& key, std::vector<std::pair<Machine*, Task*>>& tasks) {
  const Instant now = wires_.now();
  const JobSpec& spec = jobs_.at(key.first).spec;
  Gang& g = gangs_[key];
  const auto every = [&](auto f) {
    for (auto& [m, t] : tasks) {
      if (acts(*m) && !t->ended()) f(*m, *t);
    }
  };
  std::uint32_t acting = 0;
  std::uint32_t told = 0;
  double slowest = 10;
  every([&](Machine& m, Task& t) {
    ++acting;
    told += t.told ? 1 : 0;
    slowest = std::min(slowest, m.speed);
  });
  if (!g.running) {
    if (acting == spec.units) {
      g.running = true;
      g.progress = saved_[{key.first, 0}];
      every([&](Machine& m, Task& t) {
        t.become("running", now);
        m.next_report = std::min(m.next_report, now);
        if (on_start) on_start(t.ref, t.task);
      });
      return;
    }
    every([&](Machine& m, Task& t) {
      if (now - t.since > settings_.gang_wait) exit_task(m, t, "alone");
    });
    return;
  }
  if (results_.contains({key.first, 0})) {
    every([&](Machine& m, Task& t) { exit_task(m, t, "done"); });
    return;
  }
  if (acting < spec.units) {
    g.failed = true;
    if (!g.broken) g.broken = now;
  } else if (!g.first_halt) {
    g.broken.reset();
  }
  if (g.first_halt) {
    // Progress stands still. Those not told in time leave, and then nothing is saved.
    const bool over = now - *g.first_halt > settings_.gang_peer;
    if (over && told < spec.units) g.failed = true;
    bool all_saved = told == spec.units && !g.failed;
    every([&](Machine&, Task& t) { all_saved = all_saved && t.status == "saving" && now >= t.saved_by; });
    if (all_saved) saved_[{key.first, 0}] = g.progress;
    every([&](Machine& m, Task& t) {
      if (all_saved) {
        t.kept = true;
        exit_task(m, t, "stopped");
      } else if (over && !t.told) {
        exit_task(m, t, "peers");
      } else if (over && g.failed && now >= t.saved_by) {
        exit_task(m, t, "stopped");
      }
    });
    return;
  }
  if (g.broken) {
    if (now - *g.broken > settings_.gang_peer) every([&](Machine& m, Task& t) { exit_task(m, t, "peers"); });
    return;
  }
  g.progress += scaled(now - stepped_, speed_ * slowest);
  if (spec.saves()) {
    const Micros at = spec.snapshot_every * (g.progress / spec.snapshot_every);
    if (Micros& kept = saved_[{key.first, 0}]; at > kept) kept = at;
  }
  every([&](Machine& m, Task& t) {
    t.progress = g.progress;
    if (mistaken_.contains(t.ref) || t.job->mistaken || faulty_.contains(m.ref)) exit_task(m, t, "error");
  });
  // One done, all done: the others learn of it by the results.
  if (!tasks.front().second->ended() && g.progress >= total(*tasks.front().second))
    every([&](Machine& m, Task& t) { exit_task(m, t, "done"); });
}

void Machines::exit_task(Machine& m, Task& t, const std::string& cause) {
  const JobSpec& spec = t.job->spec;
  if (t.on()) checker_.left(t.ref, t.task, m.ref);
  const double cores = from_amount(spec.needs.cores);
  if (cause == "done") {
    const bool gang = spec.shape == Shape::gang;
    for (std::uint32_t i = gang ? 0 : t.task; i <= (gang ? spec.units - 1 : t.task); ++i) {
      if (!results_.insert({t.ref, i}).second) continue;
      checker_.completed(t.ref, i);
      work_.done += to_seconds(t.progress) * cores;
      if (on_done) on_done(t.ref, i);
    }
    if (on_end && checker_.all_done(t.ref)) on_end(t.ref);
  } else if (t.status == "running" || t.status == "saving") {
    const Micros kept = saved_[{t.ref, spec.shape == Shape::gang ? 0 : t.task}];
    if (spec.shape != Shape::daemon)
      work_.lost += to_seconds(std::max(t.progress - std::max(kept, t.begun_at), Micros{0})) * cores;
  }
  t.become("ended", wires_.now());
  t.cause = cause;
  m.next_report = std::min(m.next_report, wires_.now());
}

// ---------------------------------------------------------------- orders

void Machines::run_order(Machine& m, const std::string& ref, std::uint32_t task, std::uint64_t attempt) {
  Task t;
  t.ref = ref;
  t.task = task;
  t.attempt = attempt;
  t.since = wires_.now();
  const JobTruth* job = this->job(ref);
  t.job = job;
  m.next_report = std::min(m.next_report, wires_.now());
  const auto refuse = [&](const char* cause) {
    t.become("ended", wires_.now());
    t.cause = cause;
    m.tasks.push_back(std::move(t));
  };
  if (job == nullptr || task >= job->spec.units) {
    refuse("no_such");
    return;
  }
  Needs room = m.type->flavor.room;
  for (const Task& x : m.tasks) {
    if (x.ended()) continue;
    if (x.ref == ref && x.task == task) {
      refuse("in_use");
      return;
    }
    room -= x.job->spec.needs;
  }
  if (!job->spec.needs.fits(room)) {
    refuse("no_room");
    return;
  }
  t.status = "pulling";
  // The tasks of a job are alike, give or take a quarter; a gang's are one.
  t.luck = job->spec.shape == Shape::gang ? 1 : wires_.uniform(0.75, 1.25);
  if (on_order) on_order(ref, task, attempt, m.has(job->spec.bundle));
  if (!m.has(job->spec.bundle)) m.pulls.try_emplace(job->spec.bundle, job->spec.image_gb);
  m.tasks.push_back(std::move(t));
}

void Machines::halt_order(Task& t, Machine& m, Micros leeway) {
  const JobSpec& spec = t.job->spec;
  const Instant now = wires_.now();
  if (t.status == "running" && spec.saves() && leeway >= spec.snapshot) {
    t.become("saving", now);
    t.saved_by = now + spec.snapshot;
    t.told = true;
    if (spec.shape == Shape::gang) {
      Gang& g = gangs_[{t.ref, t.attempt}];
      if (!g.first_halt) g.first_halt = now;
    }
  } else if (t.status != "saving" || leeway.count() == 0) {
    exit_task(m, t, "stopped");
  }
}

/// A higher token is a reason to report at once, though at most once in half a lease.
void Machines::take_token(Machine& m, std::uint64_t epoch) {
  m.epoch = epoch;
  const Instant now = wires_.now();
  if (m.token_told && now - *m.token_told < settings_.lease / 2) return;
  m.token_told = now;
  m.next_report = std::min(m.next_report, now);
}

void Machines::execute(Machine& m, const Value& orders) {
  if (orders.list() == nullptr) return;
  for (const Value& o : *orders.list()) {
    const std::string* verb = o["verb"].text();
    const std::string* unit = o["unit"].text();
    const auto slash = unit == nullptr ? std::string::npos : unit->find('/');
    if (verb == nullptr || slash == std::string::npos) continue;
    const std::string ref = unit->substr(0, slash);
    const auto task = static_cast<std::uint32_t>(std::strtoul(unit->c_str() + slash + 1, nullptr, 10));
    const std::uint64_t attempt = o["try"].count().value_or(0);
    const auto it = std::find_if(m.tasks.begin(), m.tasks.end(), [&](const Task& t) {
      return t.ref == ref && t.task == task && t.attempt == attempt;
    });
    if (*verb == "reap") {
      if (it != m.tasks.end() && it->ended()) m.tasks.erase(it);
    } else if (*verb == "halt") {
      if (it != m.tasks.end() && !it->ended())
        halt_order(*it, m, from_seconds(o["leeway_s"].number().value_or(0)));
    } else if (*verb == "run" && it == m.tasks.end()) {
      run_order(m, ref, task, attempt);
    }
  }
}

/// POST /orders and GET /inspect. A hanging machine executes what it was sent when it resumes.
void Machines::serve_orders(const std::string& host, const Request& r, const Answer& answer) {
  const Machine* m = find(host);
  if (m == nullptr || !m->up) return;
  wires_.at(std::max(Micros{0}, m->hung_until - wires_.now()), [this, host, r, answer] {
    Machine* x = find(host);
    if (x == nullptr || x->dead) return;
    if (r.method == "GET" && r.target == "/inspect") {
      answer(reply(200, describe(*x)));
      return;
    }
    const auto v = decode(r.body);
    const auto epoch = v ? (*v)["epoch"].count() : std::nullopt;
    const auto tenure = v ? (*v)["tenure"].count() : std::nullopt;
    if (!epoch || !tenure) {
      answer(malformed("epoch or tenure is missing"));
      return;
    }
    const bool good = *epoch >= x->epoch && *tenure == x->tenure;
    if (*epoch > x->epoch) take_token(*x, *epoch);
    if (good) execute(*x, (*v)["orders"]);
    answer(reply(good ? 200 : 409, describe(*x)));
  });
}

// ---------------------------------------------------------------- reports

Value Machines::describe(Machine& m) {
  Value::List units;
  for (const Task& t : m.tasks) {
    Value::Map u{{"unit", unit_name(t.ref, t.task)}, {"try", t.attempt}, {"status", t.status}};
    if (t.ended()) {
      u.emplace_back("cause", t.cause);
      u.emplace_back("kept", t.kept);
    }
    units.emplace_back(std::move(u));
  }
  Value::Map r{{"host", m.ref},        {"addr", m.addr},       {"flavor", m.flavor},
               {"site", m.site},       {"standby", m.standby}, {"tenure", m.tenure},
               {"serial", ++m.serial}, {"epoch", m.epoch},     {"units", std::move(units)}};
  if (m.taken_at) r.emplace_back("warning_s", std::max(0.0, to_seconds(*m.taken_at - wires_.now())));
  return r;
}

void Machines::report(Machine& m) {
  m.reporting = true;
  const Instant sent = wires_.now();
  m.last_sent = sent;
  m.next_report = sent + scaled(settings_.report, wires_.uniform(0.75, 1.25));
  wires_.send(m.ref, nodes_[m.node].second, {"POST", "/hello", encode(describe(m))}, from_seconds(4),
              [this, host = m.ref, sent, tenure = m.tenure, life = m.life](const Outcome& o) {
                if (const Machine* x = find(host); x != nullptr && x->life == life)
                  answered(host, sent, tenure, o);
              });
}

void Machines::answered(const std::string& host, Instant sent, std::uint64_t tenure, const Outcome& o) {
  Machine* m = find(host);
  if (m == nullptr || m->dead) return;
  const Instant now = wires_.now();
  m->reporting = false;
  if (now < m->hung_until) return;  // dropped: by the time it resumes the answer is too old
  const auto v = decode(o.response.body);
  if (o.answered && o.response.status == 200 && v) {
    const auto epoch = (*v)["epoch"].count();
    if (!epoch || *epoch < m->epoch || tenure != m->tenure) return;
    if (*epoch > m->epoch) take_token(*m, *epoch);
    m->lease_from = sent;
    execute(*m, (*v)["orders"]);
    return;
  }
  const std::string* up = v && o.answered && o.response.status == 421 ? (*v)["upstream"].text() : nullptr;
  for (std::size_t i = 0; up != nullptr && i < nodes_.size(); ++i) {
    if (nodes_[i].first != *up || i == m->node) continue;
    m->node = i;
    m->next_report = now;
    return;
  }
  m->node = (m->node + 1) % nodes_.size();
  m->next_report = now + from_seconds(1);
}

}  // namespace wrenusher::lab
