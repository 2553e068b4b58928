#include "wrenusher/ledger.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wrenusher {

namespace {

constexpr Micros kFollowWait = from_seconds(10);
/// Between two follows, so that a burst of our own writes does not come back one by one.
constexpr Micros kFollowPause = millis(150);
constexpr int kLoadPage = 400;
/// Bytes of a transaction that are filled; the service takes 64 KiB.
constexpr std::size_t kTxnBytes = 44 * 1024;
constexpr Micros kRetryCommit = millis(250);
constexpr Micros kErrorMemory = from_seconds(180);
constexpr std::size_t kErrorHosts = 3;
constexpr Micros kNoRoomPause = from_seconds(3);
/// An urgent job that must start within this time to meet its aim may have others stopped.
constexpr Micros kLastMoment = from_seconds(15);
constexpr int kPublishEvery = 2;
/// A type that some job could not do without is kept for such jobs this long after the last one was seen.
constexpr Micros kSoughtMemory = from_seconds(300);

}  // namespace

Ledger::Ledger(Runtime& rt, const Settings& settings, Store& store)
    : rt_(rt), settings_(settings), store_(store) {}

void Ledger::start() {
  tick();
}

// ---------------------------------------------------------------- takeover

void Ledger::on_term(const TermChanged& t) {
  const bool same = t.leading && term_.leading && t.epoch == term_.epoch;
  term_ = t;
  if (same) return;
  loaded_ = false;
  jobs_.clear();
  machines_.clear();
  dirty_.clear();
  leftovers_.clear();
  teams_.clear();
  committing_ = false;
  term_began_ = rt_.now();
  if (term_.leading) load({}, 0, term_.epoch);
}

void Ledger::load(const std::string& from, std::uint64_t revision, std::uint64_t term) {
  store_.list("job/", from, kLoadPage, Store::Urgent::schedule, [this, from, revision, term](const Read& r) {
    if (!term_.leading || term_.epoch != term || loaded_) return;
    if (r.result != Read::Result::ok) {
      rt_.after(millis(200), [this, from, revision, term] {
        if (term_.leading && term_.epoch == term) load(from, revision, term);
      });
      return;
    }
    // What changes while the pages are read is followed from the first page's revision.
    const std::uint64_t first = from.empty() ? r.revision : revision;
    for (const Row& row : r.rows) accept_row(row);
    if (r.truncated && !r.rows.empty()) {
      load(r.rows.back().key, first, term);
    } else {
      loaded(first);
    }
  });
}

bool Ledger::accept_row(const Row& row) {
  std::string ref;
  std::optional<std::uint32_t> block;
  if (!records::parse_key(row.key, ref, block)) return false;
  if (!block) {
    auto rec = records::read_job(row.value);
    if (!rec) {
      spdlog::error("record {} cannot be read", row.key);
      return false;
    }
    Job job;
    job.rec = std::move(*rec);
    job.stamp = row.stamp;
    job.blocks.resize((job.rec.spec.units + job.rec.block - 1) / job.rec.block);
    if (!job.rec.withdrawn) job.waiting.add(0, job.rec.spec.units - 1);
    const bool withdrawn = job.rec.withdrawn;
    jobs_.insert_or_assign(ref, std::move(job));
    if (withdrawn) dirty_.insert(ref);
    return true;
  }
  Job* job = find(ref);
  if (job == nullptr) {  // its job is over and the clean-up was cut short
    leftovers_.push_back(row.key);
    return true;
  }
  const auto b = records::read_block(row.value, job->rec.spec.units);
  if (!b || *block >= job->blocks.size()) {
    spdlog::error("record {} cannot be read", row.key);
    return false;
  }
  job->blocks[*block].stamp = row.stamp;
  job->last_try = std::max(job->last_try, b->last_try);
  for (const auto& [first, last] : b->done.ranges()) {
    job->done.add(first, last);
    for (std::uint32_t t = first; t <= last; ++t) job->waiting.remove(t);
  }
  for (const records::ClaimRow& c : b->claims) {
    for (const auto& [first, last] : c.tasks.ranges()) {
      for (std::uint32_t t = first; t <= last; ++t) {
        claim(*job, t, c.host, c.attempt, Phase::loaded);
        job->claims[t].version = 0;
        if (job->rec.withdrawn) job->claims[t].halt = true;
      }
    }
  }
  // What was read is what is in the store.
  job->blocks[*block].version = job->blocks[*block].committed = 0;
  if (job->done.size() == job->rec.spec.units) dirty_.insert(ref);
  return true;
}

void Ledger::loaded(std::uint64_t revision) {
  loaded_ = true;
  std::size_t claims = 0;
  for (const auto& [ref, job] : jobs_) claims += job.claims.size();
  spdlog::info("term {}: {} live jobs and {} claims read in {:.2f} s", term_.epoch, jobs_.size(), claims,
               to_seconds(rt_.now() - term_began_));
  follow(revision, term_.epoch);
}

void Ledger::follow(std::uint64_t from, std::uint64_t term) {
  store_.follow("job/", from, kFollowWait, [this, from, term](const FollowReply& f) {
    if (!term_.leading || term_.epoch != term || !loaded_) return;
    std::uint64_t next = from;
    if (f.result == FollowReply::Result::too_old) {
      spdlog::warn("changes were missed: reading all live jobs again");
      term_.leading = false;
      TermChanged again = term_;
      again.leading = true;
      on_term(again);
      return;
    }
    if (f.result == FollowReply::Result::ok) {
      next = std::max(from, f.revision);
      news(f);
    }
    rt_.after(kFollowPause, [this, next, term] {
      if (term_.leading && term_.epoch == term) follow(next, term);
    });
  });
}

void Ledger::news(const FollowReply& f) {
  for (const Row& row : f.puts) {
    std::string ref;
    std::optional<std::uint32_t> block;
    if (!records::parse_key(row.key, ref, block) || block) continue;
    Job* job = find(ref);
    if (job == nullptr) {
      if (accept_row(row)) spdlog::debug("job {} is new", ref);
    } else if (row.stamp > job->stamp) {
      // Only users' cancellations change this record while its job lives.
      job->stamp = row.stamp;
      if (row.value["wd"].boolean().value_or(false)) mark_withdrawn(*job);
    }
  }
}

void Ledger::on_withdrawn(const JobWithdrawn& w) {
  if (!term_.leading || !loaded_) return;
  if (Job* job = find(w.ref); job != nullptr && !job->rec.withdrawn) mark_withdrawn(*job);
}

void Ledger::mark_withdrawn(Job& job) {
  if (job.rec.withdrawn) return;
  job.rec.withdrawn = true;
  job.waiting = {};
  spdlog::info("job {} is withdrawn, {} tasks to stop", job.rec.spec.ref, job.claims.size());
  std::map<std::string, std::vector<Order>> orders;
  for (auto& [task, c] : job.claims) {
    c.halt = true;
    c.leeway = Micros{0};
    if (c.phase != Phase::fresh) {
      orders[c.host].push_back({Order::Verb::halt, job.rec.spec.ref, task, c.attempt, Micros{0}});
    }
  }
  for (auto& [host, list] : orders) direct(DirectOrders{host, std::move(list)});
  dirty_.insert(job.rec.spec.ref);
}

/// Reads the stamps anew after a conflict or an unknown outcome. What the blocks hold is known better in
/// memory, since only this leader may write them; the root tells of a cancellation.
void Ledger::refresh(const std::string& ref) {
  store_.list(records::job_key(ref), {}, 1000, Store::Urgent::schedule,
              [this, ref, term = term_.epoch](const Read& r) {
                if (!term_.leading || term_.epoch != term || !loaded_) return;
                Job* job = find(ref);
                if (job == nullptr) return;
                if (r.result != Read::Result::ok) {
                  rt_.after(kRetryCommit, [this, ref, term] {
                    if (term_.leading && term_.epoch == term) refresh(ref);
                  });
                  return;
                }
                bool alive = false;
                std::vector<std::uint64_t> stamps(job->blocks.size(), 0);
                for (const Row& row : r.rows) {
                  std::string id;
                  std::optional<std::uint32_t> block;
                  if (!records::parse_key(row.key, id, block) || id != ref) continue;
                  if (block) {
                    if (*block < stamps.size()) stamps[*block] = row.stamp;
                  } else {
                    alive = true;
                    job->stamp = row.stamp;
                    if (row.value["wd"].boolean().value_or(false)) mark_withdrawn(*job);
                  }
                }
                if (!alive) {  // our final write had been executed after all
                  drop(ref);
                  return;
                }
                for (std::size_t i = 0; i < stamps.size(); ++i) job->blocks[i].stamp = stamps[i];
                job->refresh = false;
                dirty_.insert(ref);
              });
}

// ---------------------------------------------------------------- the picture

Ledger::Job* Ledger::find(const std::string& ref) {
  const auto it = jobs_.find(ref);
  return it == jobs_.end() ? nullptr : &it->second;
}

/// The job is over: nothing of it stays booked or remembered.
void Ledger::drop(const std::string& ref) {
  Job& job = jobs_.at(ref);
  while (!job.claims.empty()) unclaim(job, job.claims.begin()->first);
  dirty_.erase(ref);
  jobs_.erase(ref);
}

Ledger::Machine& Ledger::machine(const std::string& host) {
  return machines_[host];
}

void Ledger::touch(Job& job, std::uint32_t task) {
  job.blocks[block_of(job, task)].version = ++clock_;
  dirty_.insert(job.rec.spec.ref);
}

bool Ledger::committed(const Job& job, std::uint32_t task, std::uint64_t version) const {
  return version <= job.blocks[block_of(job, task)].committed;
}

void Ledger::claim(Job& job, std::uint32_t task, const std::string& host, std::uint64_t attempt,
                   Phase phase) {
  if (job.claims.contains(task)) unclaim(job, task);
  job.waiting.remove(task);
  touch(job, task);
  Claim c;
  c.host = host;
  c.attempt = attempt;
  c.version = clock_;
  c.phase = phase;
  job.claims.emplace(task, std::move(c));
  job.last_try = std::max(job.last_try, attempt);
  machine(host).claims.emplace(job.rec.spec.ref, task);
  teams_[job.rec.spec.owner] += job.rec.spec.needs;
}

void Ledger::unclaim(Job& job, std::uint32_t task) {
  const auto it = job.claims.find(task);
  if (it == job.claims.end()) return;
  machine(it->second.host).claims.erase({job.rec.spec.ref, task});
  teams_[job.rec.spec.owner] -= job.rec.spec.needs;
  job.claims.erase(it);
  touch(job, task);
}

/// The task is proven to be off its machine and is not done.
void Ledger::release(Job& job, std::uint32_t task, const char* why) {
  spdlog::debug("task {} is off its machine: {}", unit_name(job.rec.spec.ref, task), why);
  unclaim(job, task);
  if (job.rec.withdrawn) return;
  if (!job.done.contains(task)) job.waiting.add(task);
  if (job.rec.spec.shape == Shape::gang) break_gang(job);
}

/// A gang's tasks share one attempt: once one is gone, the others are cleared away before the next attempt.
void Ledger::break_gang(Job& job) {
  if (job.claims.empty()) {
    job.broken = false;
    return;
  }
  if (job.broken) return;
  job.broken = true;
  for (auto& [task, c] : job.claims) {
    c.halt = true;
    c.leeway = Micros{0};
  }
}

void Ledger::finish_task(Job& job, std::uint32_t task) {
  if (job.done.contains(task)) return;
  unclaim(job, task);
  job.waiting.remove(task);
  job.done.add(task);
  touch(job, task);
  job.fresh_done[task] = clock_;
  if (job.rec.spec.shape == Shape::gang) {
    // The tasks of a gang complete together: one done means all done.
    for (std::uint32_t t = 0; t < job.rec.spec.units; ++t) finish_task(job, t);
  }
}

void Ledger::use_image(Machine& m, const JobSpec& spec) {
  m.images[spec.bundle] = ++clock_;
  m.image_gb[spec.bundle] = spec.image_gb;
  if (!catalog_) return;
  const auto flavor = catalog_->find(m.flavor);
  if (flavor == catalog_->end()) return;
  double total = 0;
  for (const auto& [bundle, used] : m.images) total += m.image_gb[bundle];
  while (total > flavor->second.cache_gb && m.images.size() > 1) {
    const auto oldest = std::min_element(m.images.begin(), m.images.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    total -= m.image_gb[oldest->first];
    m.image_gb.erase(oldest->first);
    m.images.erase(oldest);
  }
}

/// A report shows the claimed task on its machine.
void Ledger::show(Job& job, Claim& c, Machine& m, const UnitReport& u) {
  const Phase phase = u.status == UnitStatus::pulling     ? Phase::pulling
                      : u.status == UnitStatus::gathering ? Phase::gathering
                      : u.status == UnitStatus::saving    ? Phase::saving
                                                          : Phase::running;
  if (phase != c.phase) {
    if (phase == Phase::running) c.running_since = rt_.now();
    if (phase != Phase::saving) use_image(m, job.rec.spec);
  }
  c.phase = phase;
}

void Ledger::fail_task(Job& job, Machine& m, const std::string& host, const UnitReport& u) {
  const Instant now = rt_.now();
  const std::string& ref = job.rec.spec.ref;
  spdlog::info("task {} failed on {}", unit_name(ref, u.task), host);
  job.error_hosts.insert(host);
  job.avoid[host] = now + from_seconds(60);
  if (job.error_hosts.size() >= kErrorHosts) {
    // It fails wherever it is put: the job is to blame, not the machines.
    const Micros pause = std::min(from_seconds(60), from_seconds(5) * (1 << std::min(job.backoffs, 4)));
    ++job.backoffs;
    job.not_before = now + pause;
    job.error_hosts.clear();
    job.avoid.clear();
    spdlog::warn("job {} fails on every machine, next try in {:.0f} s", ref, to_seconds(pause));
    return;
  }
  m.errors[ref] = now;
  int only_here = 0;
  for (const auto& [id, at] : m.errors) {
    const Job* other = find(id);
    const bool elsewhere =
        other != nullptr && (other->error_hosts.size() != 1 || !other->error_hosts.contains(host));
    if (now - at < kErrorMemory && !elsewhere) ++only_here;
  }
  if (only_here >= 2 && !m.condemned) suspect(HostCondemned{host, "tasks of several jobs failed on it"});
}

/// The machine will be taken away: what cannot finish in time is stopped now, so that it can save or start
/// again elsewhere early.
void Ledger::settle_warning(Machine& m, const std::string& host, Micros left) {
  for (const auto& [ref, task] : m.claims) {
    Job* job = find(ref);
    if (job == nullptr) continue;
    Claim& c = job->claims.at(task);
    if (c.halt || c.phase == Phase::fresh || c.phase == Phase::loaded) continue;
    const JobSpec& spec = job->rec.spec;
    Micros remaining = estimator_.estimate(spec);
    if (c.phase == Phase::running) {
      remaining = std::max(from_seconds(1), remaining - (rt_.now() - c.running_since));
    } else {
      remaining += from_seconds(spec.image_gb);
    }
    if (spec.shape == Shape::sweep && remaining < left) continue;
    c.halt = true;
    c.leeway = spec.saves() ? std::max(spec.snapshot, left / 2) : Micros{0};
    spdlog::debug("task {} leaves {} before it is taken", unit_name(ref, task), host);
  }
}

void Ledger::on_report(const HostReported& in) {
  std::vector<Order> orders;
  if (!term_.leading || !loaded_) {
    in.reply({});
    return;
  }
  const WorkerReport& r = *in.report;
  Machine& m = machine(r.host);
  if (m.tenure != 0 && r.tenure > m.tenure)
    spdlog::info("machine {} began tenure {}: its tasks are gone", r.host, r.tenure);
  m.flavor = r.flavor;
  m.site = r.site;
  m.standby = r.standby;
  m.tenure = r.tenure;
  m.current = in.current;
  m.quiet = false;
  m.warned = r.warning.has_value();

  const auto mine = [&](const Job& job, const UnitReport& u) {
    const auto it = job.claims.find(u.task);
    return it != job.claims.end() && it->second.host == r.host && it->second.attempt == u.attempt;
  };
  std::set<std::pair<std::string, std::uint32_t>> listed;
  // First what is on the machine, then what has left it: a refused start must not hide an older attempt.
  for (const UnitReport& u : r.units) {
    if (u.status == UnitStatus::ended) continue;
    Job* job = find(u.ref);
    if (job == nullptr || u.task >= job->rec.spec.units || job->done.contains(u.task)) {
      orders.push_back({Order::Verb::halt, u.ref, u.task, u.attempt, Micros{0}});
      continue;
    }
    if (!mine(*job, u)) {
      const auto it = job->claims.find(u.task);
      if (it != job->claims.end() && (it->second.host != r.host || it->second.phase != Phase::fresh)) {
        orders.push_back({Order::Verb::halt, u.ref, u.task, u.attempt, Micros{0}});
        continue;
      }
      // No claim stands for it, yet it is here: what is on a machine must be booked, or it could be started a
      // second time elsewhere.
      spdlog::warn("task {} is on {} without a claim: adopted", unit_name(u.ref, u.task), r.host);
      claim(*job, u.task, r.host, u.attempt, Phase::loaded);
    }
    Claim& c = job->claims.at(u.task);
    listed.emplace(u.ref, u.task);
    show(*job, c, m, u);
    if (job->rec.withdrawn) c.halt = true;
  }
  if (r.warning) settle_warning(m, r.host, *r.warning);
  for (const UnitReport& u : r.units) {
    Job* job = find(u.ref);
    const bool known = job != nullptr && u.task < job->rec.spec.units;
    if (u.status != UnitStatus::ended) {
      if (known && mine(*job, u)) {
        const Claim& c = job->claims.at(u.task);
        if (c.halt && (c.phase != Phase::saving || c.leeway.count() == 0)) {
          orders.push_back({Order::Verb::halt, u.ref, u.task, u.attempt, c.leeway});
        }
      }
      continue;
    }
    if (known && u.cause == "done" && job->rec.spec.shape != Shape::daemon) {
      if (mine(*job, u)) {
        const Claim& c = job->claims.at(u.task);
        if (c.phase == Phase::running && c.running_since != Instant{}) {
          estimator_.ran(job->rec.spec, r.host, rt_.now() - c.running_since);
        }
      }
      if (!job->done.contains(u.task)) finish_task(*job, u.task);
      const auto fresh = job->fresh_done.find(u.task);
      if (fresh != job->fresh_done.end()) continue;  // not committed yet: the worker must go on telling
    } else if (known && mine(*job, u)) {
      if (u.cause == "error") fail_task(*job, m, r.host, u);
      if (u.cause == "no_room" || u.cause == "in_use") {
        m.full_until = rt_.now() + kNoRoomPause;
        spdlog::info("machine {} refused {}: {}", r.host, unit_name(u.ref, u.task), u.cause);
      }
      release(*job, u.task, u.cause.c_str());
    }
    orders.push_back({Order::Verb::reap, u.ref, u.task, u.attempt, Micros{0}});
  }

  // Claims that the report does not show.
  const auto booked = m.claims;
  for (const auto& [ref, task] : booked) {
    if (listed.contains({ref, task})) continue;
    Job& job = *find(ref);
    Claim& c = job.claims.at(task);
    if (c.phase == Phase::fresh) {
      // Starts go out in responses to reports alone, so this report settles every earlier one; the answer to
      // /orders does not.
      if (!in.settled || !m.current) continue;
      if (c.halt || !m.usable()) {
        release(job, task, "not started");
      } else if (committed(job, task, c.version)) {
        orders.push_back({Order::Verb::run, ref, task, c.attempt, Micros{0}});
      }
    } else if (c.phase == Phase::loaded) {
      // Claimed under an earlier term: only a worker that has taken this term's epoch cannot be told to start
      // it any more.
      if (in.settled && m.current) release(job, task, "never started, or lost before this term");
    } else {
      release(job, task, "gone from its machine");
    }
  }
  in.reply(std::move(orders));
}

void Ledger::on_quiet(const HostQuiet& q) {
  if (const auto it = machines_.find(q.host); it != machines_.end()) it->second.quiet = true;
}

void Ledger::on_condemned(const HostCondemned& c) {
  machine(c.host).condemned = true;
}

void Ledger::on_gone(const HostGone& g) {
  if (!term_.leading || !loaded_) return;
  const auto it = machines_.find(g.host);
  if (it == machines_.end()) return;
  const auto booked = it->second.claims;
  if (!booked.empty()) spdlog::info("machine {} is gone with {} tasks", g.host, booked.size());
  for (const auto& [ref, task] : booked) release(*find(ref), task, "its machine is gone");
  machines_.erase(g.host);
  estimator_.forget_host(g.host);
}

// ---------------------------------------------------------------- rounds

void Ledger::tick() {
  round();
  rt_.after(settings_.tunables.round, [this] { tick(); });
}

void Ledger::round() {
  if (!term_.leading || !loaded_) return;
  if (rt_.now() < certain_until_) plan();
  flush();
}

void Ledger::see_sought() {
  const Instant until = rt_.now() + kSoughtMemory;
  for (const auto& [ref, job] : jobs_) {
    if (job.rec.withdrawn || job.waiting.empty()) continue;
    const auto fitting = planner::fitting_flavors(job.rec.spec, *catalog_);
    if (fitting.size() == 1) sought_until_[*fitting.begin()] = until;
  }
}

/// The types that the job leaves to others: those that some jobs need, as long as it has another one that the
/// cloud still gives, and has not waited for longer than such a machine takes to come.
std::set<std::string> Ledger::keep_off(const Job& job, WallTime now) const {
  if (patience_over(job, now)) return {};
  std::set<std::string> sought;
  for (const std::string& name : planner::fitting_flavors(job.rec.spec, *catalog_)) {
    if (is_sought(name)) sought.insert(name);
  }
  return sought;
}

/// Whether the job has waited for as long as a new machine would take, of a type that the cloud still gives.
bool Ledger::patience_over(const Job& job, WallTime now) const {
  Micros patience{0};
  for (const std::string& name : planner::fitting_flavors(job.rec.spec, *catalog_)) {
    if (!is_sought(name) && !exhausted_.contains(name))
      patience = std::max(patience, catalog_->at(name).boot);
  }
  return now - job.rec.accepted >= patience;
}

bool Ledger::is_sought(const std::string& flavor) const {
  const auto it = sought_until_.find(flavor);
  return it != sought_until_.end() && rt_.now() < it->second;
}

void Ledger::plan() {
  if (!catalog_) return;
  see_sought();
  planner::Snapshot s;
  s.now = rt_.wall();
  s.clock = rt_.now();
  s.settings = &settings_;
  s.teams = teams_;
  std::vector<Job*> jobs;
  for (auto& [ref, job] : jobs_) {
    if (job.waiting.empty() || job.rec.withdrawn || s.clock < job.not_before) continue;
    const JobSpec& spec = job.rec.spec;
    if (spec.shape == Shape::gang && !job.claims.empty()) continue;
    planner::PlanJob p;
    p.spec = &spec;
    p.waiting = job.waiting.size();
    p.estimate = estimator_.estimate(spec);
    p.accepted = job.rec.accepted;
    p.avoid = &job.avoid;
    p.keep_off = keep_off(job, s.now);
    bool zones_known = true;
    if (spec.same_place || spec.scatter) {
      for (const auto& [task, c] : job.claims) {
        const std::string& site = machines_[c.host].site;
        // A claimed machine that has not reported in this term: its zone is not known yet.
        zones_known = zones_known && !site.empty();
        ++p.zones[site];
      }
    }
    if (!zones_known) continue;
    s.jobs.push_back(std::move(p));
    jobs.push_back(&job);
  }
  for (auto& [name, m] : machines_) {
    const auto flavor = catalog_->find(m.flavor);
    if (!m.usable() || flavor == catalog_->end() || s.clock < m.full_until) continue;
    planner::PlanHost h;
    h.name = name;
    h.site = m.site;
    h.flavor = &flavor->second;
    h.standby = m.standby;
    h.room = flavor->second.room;
    h.speed = estimator_.speed(name);
    h.images = &m.images;
    std::set<std::string> pulling;
    for (const auto& [ref, task] : m.claims) {
      const Job& job = *find(ref);
      h.room -= job.rec.spec.needs;
      if (job.claims.at(task).phase == Phase::pulling) pulling.insert(job.rec.spec.bundle);
    }
    h.fetching = static_cast<std::uint32_t>(pulling.size());
    s.hosts.push_back(std::move(h));
  }
  const planner::Plan p = planner::place(s);
  std::map<std::size_t, std::uint64_t> attempts;
  for (const planner::Placement& pl : p.placements) {
    Job& job = *jobs[pl.job];
    const planner::PlanHost& host = s.hosts[pl.host];
    const auto [it, first] = attempts.try_emplace(pl.job, job.last_try + 1);
    for (std::uint32_t i = 0; i < pl.tasks; ++i) {
      claim(job, *job.waiting.first(), host.name, it->second, Phase::fresh);
    }
    spdlog::debug("job {} (rank {:.1f} s): {} tasks to {}, finish in {:.1f} s with {:.1f} s of fetch",
                  job.rec.spec.ref, to_seconds(planner::rank(s.jobs[pl.job])), pl.tasks, host.name,
                  to_seconds(planner::finish_time(host, s.jobs[pl.job])),
                  to_seconds(planner::fetch_time(host, job.rec.spec)));
  }
  std::vector<planner::Shortage> urgent;
  for (const planner::Shortage& sh : p.shortages) {
    const planner::PlanJob& job = s.jobs[sh.job];
    if (job.spec->urgency >= Urgency::normal || !patience_over(*jobs[sh.job], s.now)) continue;
    // Others are stopped only for what would otherwise come too late, and can still come in time.
    const planner::Slack sl = planner::slack(job, s.now, settings_.objectives);
    if (sl.standing == planner::Standing::pressed && sl.left < kLastMoment) urgent.push_back(sh);
  }
  if (!urgent.empty()) make_room(s, urgent);
  publish(s, p);
}

/// Stops tasks of less urgent jobs for urgent ones that have waited for as long as new machines take to come.
void Ledger::make_room(const planner::Snapshot& s, const std::vector<planner::Shortage>& shortages) {
  std::vector<planner::Running> running;
  std::vector<Claim*> claims;
  planner::Snapshot after = s;
  for (std::size_t h = 0; h < s.hosts.size(); ++h) {
    planner::PlanHost& host = after.hosts[h];
    host.room = host.flavor->room;
    for (const auto& [ref, task] : machines_.at(host.name).claims) {
      Job& job = *find(ref);
      Claim& c = job.claims.at(task);
      host.room -= job.rec.spec.needs;
      if (job.rec.spec.shape == Shape::gang || (c.phase != Phase::running && !c.halt)) continue;
      const Micros age = c.phase == Phase::running ? rt_.now() - c.running_since : Micros{0};
      running.push_back({h, &job.rec.spec, task, age, estimator_.estimate(job.rec.spec) - age, c.halt});
      claims.push_back(&c);
    }
  }
  std::map<std::string, std::vector<Order>> orders;
  for (const std::size_t i : planner::preempt(after, shortages, running)) {
    Claim& c = *claims[i];
    const JobSpec& spec = *running[i].spec;
    c.halt = true;
    c.leeway = spec.saves() ? spec.snapshot + from_seconds(1) : Micros{0};
    orders[c.host].push_back({Order::Verb::halt, spec.ref, running[i].task, c.attempt, c.leeway});
    spdlog::info("task {} on {} makes room for more urgent work", unit_name(spec.ref, running[i].task),
                 c.host);
  }
  for (auto& [host, list] : orders) direct(DirectOrders{host, std::move(list)});
}

void Ledger::publish(const planner::Snapshot& s, const planner::Plan& p) {
  if (++publish_count_ % kPublishEvery != 0) return;
  Workload w;
  for (const planner::Shortage& sh : p.shortages) {
    const planner::PlanJob& j = s.jobs[sh.job];
    w.demands.push_back({*j.spec, sh.tasks, j.estimate, j.keep_off});
  }
  for (const auto& [name, m] : machines_) {
    w.hosts.push_back(
        {name, m.flavor, m.site, m.standby, m.usable(), static_cast<std::uint32_t>(m.claims.size())});
  }
  workload(w);
}

Value Ledger::block_value(const Job& job, std::uint32_t n) const {
  const std::uint32_t first = n * job.rec.block;
  const std::uint32_t last = std::min(first + job.rec.block, job.rec.spec.units) - 1;
  records::BlockRecord b;
  b.last_try = job.last_try;
  b.done = job.done;
  std::map<std::pair<std::string, std::uint64_t>, RangeSet> rows;
  for (auto it = job.claims.lower_bound(first); it != job.claims.end() && it->first <= last; ++it) {
    rows[{it->second.host, it->second.attempt}].add(it->first);
  }
  for (auto& [key, tasks] : rows) b.claims.push_back({key.first, key.second, std::move(tasks)});
  return records::write_block(b, first, last);
}

bool Ledger::add_final(const std::string& ref, Job& job, std::vector<Condition>& when,
                       std::vector<Change>& apply, Pending& pending) {
  const bool over = job.rec.withdrawn
                        ? job.claims.empty()
                        : job.rec.spec.shape != Shape::daemon && job.done.size() == job.rec.spec.units;
  if (!over) return false;
  when.push_back({records::job_key(ref), job.stamp});
  apply.push_back({records::end_key(ref),
                   records::new_end(job.rec.withdrawn ? "withdrawn" : "done", job.done.size()), 0});
  apply.push_back({records::job_key(ref), std::nullopt, 0});
  for (std::uint32_t n = 0; n < job.blocks.size(); ++n) {
    if (job.blocks[n].stamp == 0) continue;
    if (apply.size() < settings_.txn_ops) {
      apply.push_back({records::block_key(ref, n), std::nullopt, 0});
    } else {
      leftovers_.push_back(records::block_key(ref, n));
    }
  }
  pending.finished.push_back(ref);
  pending.jobs.push_back(ref);
  return true;
}

/// Writes what has changed, as many jobs as one transaction takes. Every write depends on the leader's stamp,
/// so whatever a former leader still has on its way fails by itself.
void Ledger::flush() {
  if (committing_ || rt_.now() < commit_not_before_ || (dirty_.empty() && leftovers_.empty())) return;
  std::vector<Condition> when{{"leader", term_.stamp}};
  std::vector<Change> apply;
  Pending pending;
  std::size_t bytes = 0;
  std::vector<std::string> clean;
  for (const std::string& ref : dirty_) {
    Job* job = find(ref);
    if (job == nullptr) {
      clean.push_back(ref);
      continue;
    }
    if (job->refresh) continue;
    if (apply.size() + 3 > settings_.txn_ops || when.size() + 2 > settings_.txn_ops * 4 || bytes > kTxnBytes)
      break;
    if (add_final(ref, *job, when, apply, pending)) continue;
    bool any = false;
    for (std::uint32_t n = 0; n < job->blocks.size(); ++n) {
      Block& b = job->blocks[n];
      if (b.version <= b.committed) continue;
      if (apply.size() >= settings_.txn_ops || bytes > kTxnBytes) break;
      Value v = block_value(*job, n);
      bytes += v.json_size() + 200;
      if (!any) when.push_back({records::job_key(ref), job->stamp});
      any = true;
      when.push_back({records::block_key(ref, n), b.stamp});
      apply.push_back({records::block_key(ref, n), std::move(v), 0});
      pending.blocks.emplace_back(ref, n);
      pending.versions.push_back(b.version);
    }
    if (any) {
      pending.jobs.push_back(ref);
    } else {
      clean.push_back(ref);
    }
  }
  for (const std::string& ref : clean) dirty_.erase(ref);
  if (apply.empty()) {
    while (!leftovers_.empty() && apply.size() < settings_.txn_ops) {
      apply.push_back({leftovers_.back(), std::nullopt, 0});
      leftovers_.pop_back();
    }
  }
  if (apply.empty()) return;
  committing_ = true;
  store_.commit(when, apply, Store::Urgent::schedule,
                [this, pending, term = term_.epoch](const Commit& c) { settle(c, pending, term); });
}

void Ledger::settle(const Commit& c, const Pending& p, std::uint64_t term) {
  if (!term_.leading || term_.epoch != term || !loaded_) return;
  committing_ = false;
  switch (c.result) {
    case Commit::Result::committed: {
      for (std::size_t i = 0; i < p.blocks.size(); ++i) {
        Job* job = find(p.blocks[i].first);
        if (job == nullptr) continue;
        Block& b = job->blocks[p.blocks[i].second];
        b.stamp = c.revision;
        b.committed = p.versions[i];
        std::erase_if(job->fresh_done, [&](const auto& f) {
          return block_of(*job, f.first) == p.blocks[i].second && f.second <= b.committed;
        });
      }
      for (const std::string& ref : p.finished) {
        const Job* job = find(ref);
        if (job == nullptr) continue;
        spdlog::info("job {} ({}) is {} after {:.1f} s", ref, job->rec.spec.queue,
                     job->rec.withdrawn ? "withdrawn" : "done", to_seconds(rt_.wall() - job->rec.accepted));
        drop(ref);
      }
      flush();
      return;
    }
    case Commit::Result::conflict:
      if (std::find(c.failed.begin(), c.failed.end(), "leader") != c.failed.end()) {
        deposed(Deposed{0});
        return;
      }
      [[fallthrough]];
    case Commit::Result::unknown:
      for (const std::string& ref : p.jobs) {
        if (Job* job = find(ref)) {
          job->refresh = true;
          refresh(ref);
        }
      }
      return;
    case Commit::Result::invalid:
      spdlog::error("the state service calls a write of {} jobs malformed", p.jobs.size());
      commit_not_before_ = rt_.now() + from_seconds(5);
      return;
    case Commit::Result::refused:
      commit_not_before_ = rt_.now() + kRetryCommit + rt_.jitter(kRetryCommit);
      return;
  }
}

}  // namespace wrenusher
