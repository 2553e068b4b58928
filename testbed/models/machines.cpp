#include "wrenusher/testbed/machines.hpp"

#include <algorithm>

#include "machine_state.hpp"
#include "wrenusher/testbed/answers.hpp"

namespace wrenusher::testbed {

namespace {

constexpr Micros kStep = from_millis(100);
constexpr Micros kMinBilledTime = from_seconds(60);
constexpr Micros kMinReportGap = from_millis(500);
/// The cloud lists a dead machine as running for this long.
constexpr Micros kDeadListedTime = from_seconds(20);

}  // namespace

Machines::Machines(Transport& transport, const Site& site, Checker& checker, double speed)
    : transport_(transport), site_(site), settings_(site.settings), checker_(checker), speed_(speed) {}

Machines::~Machines() = default;

void Machines::start() {
  stepped_ = transport_.now();
  step();
}

void Machines::describe(SimulatedJob simulated_job) {
  const std::string job_id = simulated_job.spec.job_id;
  jobs_.emplace(job_id, std::move(simulated_job));
}

const SimulatedJob* Machines::job(const std::string& job_id) const {
  const auto it = jobs_.find(job_id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Machines::Machine* Machines::find(const std::string& host) {
  const auto it = machines_.find(host);
  return it == machines_.end() ? nullptr : it->second.get();
}

bool Machines::acts(const Machine& m) const {
  return m.up && !m.dead && transport_.now() >= m.hung_until;
}

// ---------------------------------------------------------------- rental

std::string Machines::rent(const std::string& machine_type, const std::string& zone, bool standby,
                           Micros boot) {
  auto m = std::make_unique<Machine>();
  m->name = "m-" + std::to_string(machines_created_ + 1);
  const auto addr =
      transport_.serve(m->name, [this, host = m->name](const std::string&, const Request& r,
                                                       const Responder& a) { serve_commands(host, r, a); });
  if (!addr) return {};
  ++machines_created_;
  m->address = *addr;
  m->machine_type = machine_type;
  m->type = site_.type(machine_type);
  m->zone = zone;
  m->spot = standby;
  m->rented = transport_.now();
  m->up_at = transport_.now() + scaled(boot, 1 / speed_);
  m->node = static_cast<std::size_t>(transport_.pick(static_cast<int>(nodes_.size())));
  m->speed = transport_.uniform(0.95, 1.05);
  m->fetch_gb_per_s = transport_.uniform(0.75, 1.33);
  const std::string job_id = m->name;
  machines_[job_id] = std::move(m);
  return job_id;
}

void Machines::return_machine(const std::string& host) {
  Machine* m = find(host);
  if (m == nullptr) return;
  drop_tasks(*m);
  const Instant end = m->dead ? m->died : transport_.now();
  const double price = m->spot ? m->type->type.spot_price : m->type->type.price;
  cost_ += price * to_seconds(std::max(end - m->rented, kMinBilledTime)) / 3600;
  transport_.unserve(m->address);
  machines_.erase(host);
}

int Machines::is_present(const std::string& machine_type, const std::string& zone, bool standby) const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& e) {
    return e.second->machine_type == machine_type && e.second->zone == zone && e.second->spot == standby;
  }));
}

Value::List Machines::list() const {
  // In the order of creation, which the protocol defines as the order of the numbers in the names.
  std::vector<const Machine*> all;
  for (const auto& [ref, m] : machines_) all.push_back(m.get());
  std::sort(all.begin(), all.end(), [](const Machine* a, const Machine* b) {
    return a->name.size() != b->name.size() ? a->name.size() < b->name.size() : a->name < b->name;
  });
  Value::List out;
  for (const Machine* m : all) {
    const char* status = m->dead && transport_.now() - m->died > kDeadListedTime ? "failed"
                         : m->up                                                 ? "running"
                                                                                 : "starting";
    out.emplace_back(Value::Map{{"ref", m->name},
                                {"addr", m->address},
                                {"flavor", m->machine_type},
                                {"site", m->zone},
                                {"standby", m->spot},
                                {"status", status},
                                {"held_s", to_seconds(transport_.now() - m->rented)}});
  }
  return out;
}

double Machines::cost() const {
  double sum = cost_;
  for (const auto& [ref, m] : machines_) {
    const Instant end = m->dead ? m->died : transport_.now();
    sum += (m->spot ? m->type->type.spot_price : m->type->type.price) * to_seconds(end - m->rented) / 3600;
  }
  return sum;
}

// ---------------------------------------------------------------- faults

void Machines::drop_tasks(Machine& m) {
  for (Task& t : m.tasks) {
    if (t.occupies_machine()) checker_.task_left(t.job_id, t.task, m.name);
    if (t.status == "running") {
      const auto it = saved_.find({t.job_id, t.task});
      const Micros kept = it == saved_.end() ? Micros{0} : it->second;
      useful_work_.lost += to_seconds(std::max(t.progress - std::max(kept, t.begun_at), Micros{0})) *
                           from_amount(t.job->spec.resources.cores);
    }
  }
  m.tasks.clear();
  m.fetches.clear();
}

void Machines::die(const std::string& host) {
  Machine* m = find(host);
  if (m == nullptr || m->dead) return;
  m->dead = true;
  m->died = transport_.now();
  drop_tasks(*m);
  transport_.unserve(m->address);
}

void Machines::restart_worker(const std::string& host) {
  Machine* m = find(host);
  if (m == nullptr || !m->up || m->dead) return;
  drop_tasks(*m);
  m->images.clear();
  m->incarnation = 1;
  m->sequence = m->fencing_token = 0;
  m->token_reported.reset();
  ++m->restarts;
  m->reporting = false;
  m->lease_from = m->next_report = transport_.now();
}

bool Machines::has_room(const JobSpec& spec) const {
  Resources team;
  for (const auto& [ref, m] : machines_) {
    for (const Task& t : m->tasks) {
      if (!t.ended() && t.job->spec.team == spec.team) team += t.job->spec.resources;
    }
  }
  const settings::Team* quota = settings_.team(spec.team);
  const Resources team_with_task{team.cores + spec.resources.cores, team.gpus + spec.resources.gpus, 0};
  if (quota == nullptr || (quota->cores_max > 0 && team_with_task.cores > to_amount(quota->cores_max)) ||
      (quota->gpus_max > 0 && team_with_task.gpus > to_amount(quota->gpus_max)))
    return false;
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& e) {
    const Machine& m = *e.second;
    if (!acts(m) || m.reclaimed_at || faulty_.contains(m.name) ||
        !spec.allows(m.machine_type, m.zone, m.spot))
      return false;
    Resources room = m.type->type.capacity;
    for (const Task& t : m.tasks) {
      if (!t.ended()) room -= t.job->spec.resources;
    }
    return spec.resources.fits(room);
  });
}

/// The checker runs at the end of the hang, before the commands that arrived meanwhile are executed. A
/// cancelled task that is still on the machine is thus detected, even if such a command stops it right after
/// the hang.
void Machines::hang(const std::string& host, Micros how_long) {
  Machine* m = find(host);
  if (m == nullptr) return;
  m->hung_until = transport_.now() + how_long;
  transport_.at(how_long, [this] { checker_.check(transport_.now()); });
}

std::map<std::string, std::set<std::string>> Machines::with_long_to_go(Micros least) const {
  std::map<std::string, std::set<std::string>> out;
  for (const auto& [host, m] : machines_) {
    for (const Task& t : m->tasks) {
      if (t.status != "running") continue;
      if (t.job->spec.type == JobType::service || run_time_of(t) - t.progress >= least)
        out[t.job_id].insert(host);
    }
  }
  return out;
}

void Machines::reclaim(const std::string& host, Micros notice) {
  Machine* m = find(host);
  if (m == nullptr || !m->spot || m->reclaimed_at) return;
  m->reclaimed_at = transport_.now() + notice;
  m->next_report = std::min(m->next_report, transport_.now());
  transport_.at(notice, [this, host] { return_machine(host); });
}

std::vector<std::string> Machines::up(const std::string& zone) const {
  std::vector<std::string> out;
  for (const auto& [ref, m] : machines_) {
    if (m->up && !m->dead && (zone.empty() || m->zone == zone)) out.push_back(ref);
  }
  return out;
}

bool Machines::is_spot(const std::string& host) const {
  const auto it = machines_.find(host);
  return it != machines_.end() && it->second->spot;
}

std::string Machines::zone_of(const std::string& host) const {
  const auto it = machines_.find(host);
  return it == machines_.end() ? "" : it->second->zone;
}

std::string Machines::type_of(const std::string& host) const {
  const auto it = machines_.find(host);
  return it == machines_.end() ? "" : it->second->machine_type;
}

std::vector<std::pair<std::string, std::uint32_t>> Machines::tasks_on(const std::string& host) const {
  std::vector<std::pair<std::string, std::uint32_t>> out;
  if (const auto it = machines_.find(host); it != machines_.end()) {
    for (const Task& t : it->second->tasks) out.emplace_back(t.job_id, t.task);
  }
  return out;
}

// ---------------------------------------------------------------- simulation steps

void Machines::step() {
  const Instant now = transport_.now();
  std::vector<std::string> names;
  names.reserve(machines_.size());
  for (const auto& [ref, m] : machines_) names.push_back(ref);
  for (const std::string& name : names) {
    Machine& m = *find(name);
    if (!m.up) step_boot(m);
    if (!acts(m)) continue;
    step_lease(m);
    step_fetches(m);
    for (Task& t : m.tasks) {
      if (!t.ended()) step_task(m, t);
    }
  }
  step_gangs();
  for (const std::string& name : names) {
    Machine& m = *find(name);
    if (acts(m) && !m.reporting && now >= m.next_report && now - m.last_sent >= kMinReportGap) report(m);
  }
  checker_.check(now);
  stepped_ = now;
  transport_.at(kStep, [this] { step(); });
}

void Machines::step_boot(Machine& m) {
  if (m.dead || transport_.now() < m.up_at) return;
  m.up = true;
  m.lease_from = m.next_report = transport_.now();
}

void Machines::step_lease(Machine& m) {
  if (transport_.now() - m.lease_from <= settings_.worker_lease) return;
  drop_tasks(m);
  ++m.incarnation;
  m.lease_from = m.next_report = transport_.now();
}

/// Advances the fetches of a machine, which share its fetch rate equally. Drops a fetch that no task waits
/// for.
void Machines::step_fetches(Machine& m) {
  if (m.fetches.empty()) return;
  std::erase_if(m.fetches, [&](const auto& p) {
    return std::none_of(m.tasks.begin(), m.tasks.end(),
                        [&](const Task& t) { return t.status == "pulling" && t.job->spec.image == p.first; });
  });
  const double seconds = to_seconds(transport_.now() - stepped_) * speed_;
  const double each = seconds * m.type->type.fetch_gb_per_s * m.fetch_gb_per_s /
                      std::max<double>(1, static_cast<double>(m.fetches.size()));
  std::vector<std::string> fetched;
  for (auto& [bundle, left] : m.fetches) {
    left -= each;
    if (left <= 0) fetched.push_back(bundle);
  }
  for (const std::string& image : fetched) {
    m.fetches.erase(image);
    for (const Task& t : m.tasks) {
      if (t.job == nullptr || t.job->spec.image != image) continue;
      keep_image(m, image, t.job->spec.image_gb);
      break;
    }
  }
}

void Machines::keep_image(Machine& m, const std::string& image, double gb) {
  std::erase_if(m.images, [&](const auto& i) { return i.first == image; });
  m.images.emplace_back(image, gb);
  double sum = 0;
  for (const auto& i : m.images) sum += i.second;
  while (sum > m.type->type.image_cache_gb && m.images.size() > 1) {
    sum -= m.images.front().second;
    m.images.erase(m.images.begin());
  }
}

Micros Machines::run_time_of(const Task& t) const {
  const SimulatedJob& j = *t.job;
  return scaled(j.run_time.count() > 0 ? j.run_time : j.spec.expected_runtime, t.error_factor);
}

/// Handles a completed image fetch: from now on the task occupies its machine.
void Machines::finish_fetch(Machine& m, Task& t) {
  const JobSpec& spec = t.job->spec;
  keep_image(m, spec.image, spec.image_gb);
  checker_.started(transport_.now(), t.job_id, t.task, m.name, m.machine_type, m.zone, m.spot);
  m.next_report = std::min(m.next_report, transport_.now());
  if (results_.contains({t.job_id, t.task}) && spec.type != JobType::service) {
    t.set_status("running", transport_.now());
    exit_task(m, t, "done");
    return;
  }
  t.set_status(spec.type == JobType::gang ? "gathering" : "running", transport_.now());
  if (const auto saved = saved_.find({t.job_id, t.task}); saved != saved_.end()) t.progress = saved->second;
  t.begun_at = t.progress;
  if (spec.type != JobType::gang && on_start) on_start(t.job_id, t.task);
}

void Machines::step_task(Machine& m, Task& t) {
  const Instant now = transport_.now();
  const JobSpec& spec = t.job->spec;
  if (t.status == "pulling") {
    if (m.has_image(spec.image)) finish_fetch(m, t);
    return;
  }
  if (spec.type == JobType::gang) return;
  if (t.status == "saving") {
    if (now < t.save_ends_at) return;
    saved_[{t.job_id, t.task}] = t.progress;
    t.progress_saved = true;
    exit_task(m, t, "stopped");
    return;
  }
  if (failing_jobs_.contains(t.job_id) || t.job->faulty_description || faulty_.contains(m.name)) {
    if (now - t.since > from_seconds(1)) exit_task(m, t, "error");
    return;
  }
  const Micros step = scaled(now - std::max(stepped_, t.since), speed_ * m.speed);
  t.progress += step;
  if (spec.type == JobType::service) return;
  if (spec.has_checkpoints()) {
    const Micros at = spec.checkpoint_interval * (t.progress / spec.checkpoint_interval);
    if (Micros& kept = saved_[{t.job_id, t.task}]; at > kept) kept = at;
  }
  if (t.progress >= run_time_of(t)) exit_task(m, t, "done");
}

void Machines::step_gangs() {
  std::map<GangKey, std::vector<std::pair<Machine*, Task*>>> found;
  for (const auto& [ref, m] : machines_) {
    for (Task& t : m->tasks) {
      if (t.ended() || t.status == "pulling") continue;
      if (t.job->spec.type == JobType::gang) found[{t.job_id, t.attempt}].emplace_back(m.get(), &t);
    }
  }
  std::erase_if(gangs_, [&](const auto& g) { return !found.contains(g.first); });
  for (auto& [key, tasks] : found) step_gang(key, tasks);
}

void Machines::step_gang(const GangKey& key, std::vector<std::pair<Machine*, Task*>>& tasks) {
  const Instant now = transport_.now();
  const JobSpec& spec = jobs_.at(key.first).spec;
  Gang& g = gangs_[key];
  const auto for_each_active = [&](auto f) {
    for (auto& [m, t] : tasks) {
      if (acts(*m) && !t->ended()) f(*m, *t);
    }
  };
  std::uint32_t acting = 0;
  std::uint32_t stopped_count = 0;
  double slowest = 10;
  for_each_active([&](Machine& m, Task& t) {
    ++acting;
    stopped_count += t.stopped_in_time ? 1 : 0;
    slowest = std::min(slowest, m.speed);
  });
  if (!g.running) {
    if (acting == spec.task_count) {
      g.running = true;
      g.progress = saved_[{key.first, 0}];
      for_each_active([&](Machine& m, Task& t) {
        t.set_status("running", now);
        m.next_report = std::min(m.next_report, now);
        if (on_start) on_start(t.job_id, t.task);
      });
      return;
    }
    for_each_active([&](Machine& m, Task& t) {
      if (now - t.since > settings_.gang_start_timeout) exit_task(m, t, "alone");
    });
    return;
  }
  if (results_.contains({key.first, 0})) {
    for_each_active([&](Machine& m, Task& t) { exit_task(m, t, "done"); });
    return;
  }
  if (acting < spec.task_count) {
    g.failed = true;
    if (!g.broken) g.broken = now;
  } else if (!g.first_stop) {
    g.broken.reset();
  }
  if (g.first_stop) {
    // The gang makes no progress while it stops. If a task got no stop command within the peer timeout, that
    // task exits and no progress of the gang is saved.
    const bool timed_out = now - *g.first_stop > settings_.gang_peer_timeout;
    if (timed_out && stopped_count < spec.task_count) g.failed = true;
    bool all_saved = stopped_count == spec.task_count && !g.failed;
    for_each_active(
        [&](Machine&, Task& t) { all_saved = all_saved && t.status == "saving" && now >= t.save_ends_at; });
    if (all_saved) saved_[{key.first, 0}] = g.progress;
    for_each_active([&](Machine& m, Task& t) {
      if (all_saved) {
        t.progress_saved = true;
        exit_task(m, t, "stopped");
      } else if (timed_out && !t.stopped_in_time) {
        exit_task(m, t, "peers");
      } else if (timed_out && g.failed && now >= t.save_ends_at) {
        exit_task(m, t, "stopped");
      }
    });
    return;
  }
  if (g.broken) {
    if (now - *g.broken > settings_.gang_peer_timeout)
      for_each_active([&](Machine& m, Task& t) { exit_task(m, t, "peers"); });
    return;
  }
  g.progress += scaled(now - stepped_, speed_ * slowest);
  if (spec.has_checkpoints()) {
    const Micros at = spec.checkpoint_interval * (g.progress / spec.checkpoint_interval);
    if (Micros& kept = saved_[{key.first, 0}]; at > kept) kept = at;
  }
  for_each_active([&](Machine& m, Task& t) {
    t.progress = g.progress;
    if (failing_jobs_.contains(t.job_id) || t.job->faulty_description || faulty_.contains(m.name))
      exit_task(m, t, "error");
  });
  // A gang finishes as a whole: tasks that are not active now exit when they find its results.
  if (!tasks.front().second->ended() && g.progress >= run_time_of(*tasks.front().second))
    for_each_active([&](Machine& m, Task& t) { exit_task(m, t, "done"); });
}

void Machines::exit_task(Machine& m, Task& t, const std::string& cause) {
  const JobSpec& spec = t.job->spec;
  if (t.occupies_machine()) checker_.task_left(t.job_id, t.task, m.name);
  const double cores = from_amount(spec.resources.cores);
  if (cause == "done") {
    const bool gang = spec.type == JobType::gang;
    for (std::uint32_t i = gang ? 0 : t.task; i <= (gang ? spec.task_count - 1 : t.task); ++i) {
      if (!results_.insert({t.job_id, i}).second) continue;
      checker_.completed(t.job_id, i);
      useful_work_.done += to_seconds(t.progress) * cores;
      if (on_done) on_done(t.job_id, i);
    }
    if (on_end && checker_.all_done(t.job_id)) on_end(t.job_id);
  } else if (t.status == "running" || t.status == "saving") {
    const Micros kept = saved_[{t.job_id, spec.type == JobType::gang ? 0 : t.task}];
    if (spec.type != JobType::service)
      useful_work_.lost += to_seconds(std::max(t.progress - std::max(kept, t.begun_at), Micros{0})) * cores;
  }
  t.set_status("ended", transport_.now());
  t.exit_reason = cause;
  m.next_report = std::min(m.next_report, transport_.now());
}

}  // namespace wrenusher::testbed
