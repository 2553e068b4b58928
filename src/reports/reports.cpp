#include "wrenusher/reports/reports.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::reports {

namespace {

constexpr Micros kErrorMemory = from_seconds(180);
constexpr std::size_t kErrorHosts = 3;
constexpr Micros kNoRoomPause = from_seconds(3);

}  // namespace

Reports::Taken Reports::take(const WorkerReport& r, bool current, bool settled) {
  Machine& m = machines_.at(r.host);
  if (m.tenure != 0 && r.tenure > m.tenure)
    log::info("machine_tenure", "machine {machine} began tenure {tenure}: its tasks are gone",
              log::with("machine", r.host), log::with("tenure", r.tenure));
  const bool was_usable = m.usable();
  machines_.seen(m, r, current);
  Taken out;
  out.usable_changed = m.usable() != was_usable;
  const std::uint64_t mark = ++reports_;
  const std::uint32_t before = m.use.claims;
  // First what is on the machine, then what has left it: a refused start must not hide an older attempt.
  take_there(m, r, mark);
  if (r.warning) settle_warning(m, *r.warning, out);
  take_ended(m, r, out);
  take_missing(m, settled, mark);
  out.left = m.use.claims < before;
  return out;
}

void Reports::take_there(Machine& m, const WorkerReport& r, std::uint64_t mark) {
  for (const UnitReport& u : r.units) {
    if (u.status == UnitStatus::ended) continue;
    Job* job = book_.find(u.ref);
    if (job == nullptr || u.task >= job->spec().units || job->done.contains(u.task)) continue;
    if (!job->holds(u.task, m, u.attempt)) {
      const auto it = job->claims.find(u.task);
      if (it != job->claims.end() && (it->second.at != &m || it->second.phase != Phase::fresh)) continue;
      // No claim stands for it, yet it is here: what is on a machine must be booked, or it could be started a
      // second time elsewhere. A report of before this term may be a copy that comes late, of what has long
      // left; the machine's first word under this term tells.
      if (!m.current) continue;
      log::warn("task_adopted", "task {task} is on {machine} without a claim: adopted",
                log::with("task", unit_name(u.ref, u.task)), log::with("machine", r.host));
      book_.claim(*job, u.task, m, u.attempt, Phase::loaded);
    }
    Claim& c = job->claims.at(u.task);
    c.shown = mark;
    show(*job, c, m, u);
    if (job->rec.withdrawn && !c.halt) book_.stop(c, c.leeway);
  }
}

void Reports::take_ended(Machine& m, const WorkerReport& r, Taken& out) {
  for (const UnitReport& u : r.units) {
    if (u.status != UnitStatus::ended) continue;
    Job* job = book_.find(u.ref);
    if (job == nullptr || u.task >= job->spec().units) continue;
    const bool holds = job->holds(u.task, m, u.attempt);
    if (u.cause == "done" && job->spec().shape != Shape::daemon) {
      // It has been started once more elsewhere: there it ends as soon as it has its image, and that it has
      // ended there is what frees the place.
      if (!holds && job->claims.contains(u.task)) continue;
      if (holds) {
        const Claim& c = job->claims.at(u.task);
        if (c.phase == Phase::running && c.running_since != Instant{})
          estimator_.ran(job->spec(), r.host, rt_.now() - c.running_since);
      }
      book_.finish(*job, u.task);
    } else if (holds && m.current) {
      if (u.cause == "error") fail_task(*job, m, u, out);
      if (u.cause == "no_room" || u.cause == "in_use") {
        m.full_until = rt_.now() + kNoRoomPause;
        machines_.touch(m);
        log::info("start_refused", "machine {machine} refused {task}: {reason}", log::with("machine", r.host),
                  log::with("task", unit_name(u.ref, u.task)), log::with("reason", u.cause));
      }
      book_.release(*job, u.task, u.cause.c_str());
    }
  }
}

/// Claims that the report does not show. A report of before this term may be a copy that comes late, and a
/// gang's task may have come back under the same attempt since: like what it says has ended, what it does not
/// show proves nothing.
void Reports::take_missing(Machine& m, bool settled, std::uint64_t mark) {
  if (!m.current) return;
  std::vector<std::pair<Job*, std::uint32_t>> missing;
  for (const auto& [id, job] : book_.on(m)) {
    if (job->claims.at(id.second).shown != mark) missing.emplace_back(job, id.second);
  }
  for (const auto& [job, task] : missing) {
    const auto it = job->claims.find(task);
    if (it == job->claims.end()) continue;
    const Claim& c = it->second;
    if (c.phase == Phase::fresh) {
      // Starts go out in responses to reports alone, so this report settles every earlier one; the answer to
      // /orders does not.
      if (settled && (c.halt || !m.usable())) book_.release(*job, task, "not started", true);
    } else if (c.phase == Phase::loaded) {
      // Claimed under an earlier term: only a worker that has taken this term's epoch cannot be told to start
      // it any more. This leader never orders it either, so its answer to /orders settles it as well, unless
      // it was ordered before the records were read anew.
      if (settled || !c.ordered) book_.release(*job, task, "never started, or lost before this term", true);
    } else {
      book_.release(*job, task, "gone from its machine", true);
    }
  }
}

/// A report shows the claimed task on its machine.
void Reports::show(Job& job, Claim& c, Machine& m, const UnitReport& u) {
  const Phase phase = u.status == UnitStatus::pulling     ? Phase::pulling
                      : u.status == UnitStatus::gathering ? Phase::gathering
                      : u.status == UnitStatus::saving    ? Phase::saving
                                                          : Phase::running;
  const Instant now = rt_.now();
  if (c.phase == Phase::fresh) ++shown_;
  if (phase == Phase::pulling && c.pulling_since == Instant{}) c.pulling_since = now;
  if (phase == Phase::gathering && c.gathering_since == Instant{}) c.gathering_since = now;
  if (phase == Phase::pulling && !c.pulls) {
    machines_.lose_image(m, job.spec());
    book_.begin_pull(job, c);
  } else if (phase != Phase::pulling && phase != c.phase) {
    if (phase == Phase::running) {
      c.running_since = now;
      account_start(job.spec(), u.task, c);
    }
    book_.end_pull(job, c);
    machines_.use_image(m, job.spec());
  }
  book_.set_phase(job, c, phase);
}

void Reports::account_start(const JobSpec& spec, std::uint32_t task, const Claim& c) {
  const Instant ready = c.gathering_since != Instant{} ? c.gathering_since : c.running_since;
  const Instant ordered = c.pulling_since != Instant{} ? c.pulling_since : ready;
  waits_.started(spec.queue, {ordered - c.claimed, ready - ordered, c.running_since - ready,
                              c.pulling_since != Instant{}});
  log::debug(
      "task_runs",
      "task {task} runs on {machine}: order {order:.1f} s, fetch {fetch:.1f} s, gathered {gathered:.1f} s",
      log::with("task", unit_name(spec.ref, task)), log::with("machine", c.at->name),
      log::with("order", to_seconds(ordered - c.claimed)), log::with("fetch", to_seconds(ready - ordered)),
      log::with("gathered", to_seconds(c.running_since - ready)));
}

void Reports::fail_task(Job& job, Machine& m, const UnitReport& u, Taken& out) {
  const Instant now = rt_.now();
  const std::string& host = m.name;
  const std::string& ref = job.spec().ref;
  log::info("task_failed", "task {task} failed on {machine}", log::with("task", unit_name(ref, u.task)),
            log::with("machine", host));
  job.error_hosts.insert(host);
  job.avoid[host] = now + from_seconds(60);
  if (job.error_hosts.size() >= kErrorHosts) {
    // It fails wherever it is put: the job is to blame, not the machines.
    const Micros pause = std::min(from_seconds(60), from_seconds(5) * (1 << std::min(job.backoffs, 4)));
    ++job.backoffs;
    job.not_before = now + pause;
    job.error_hosts.clear();
    job.avoid.clear();
    log::warn("job_fails", "job {job} fails on every machine, next try in {seconds:.0f} s",
              log::with("job", ref), log::with("seconds", to_seconds(pause)));
    return;
  }
  m.errors[ref] = now;
  int only_here = 0;
  for (const auto& [id, at] : m.errors) {
    const Job* other = book_.find(id);
    const bool elsewhere =
        other != nullptr && (other->error_hosts.size() != 1 || !other->error_hosts.contains(host));
    if (now - at < kErrorMemory && !elsewhere) ++only_here;
  }
  if (only_here >= 2 && !m.condemned) out.suspects.push_back({host, "tasks of several jobs failed on it"});
}

/// The machine will be taken away: what cannot finish in time is stopped now, so that it can save or start
/// again elsewhere early.
void Reports::settle_warning(Machine& m, Micros left, Taken& out) {
  machines_.progress_pulls(m);
  for (const auto& [id, job] : book_.on(m)) {
    const std::uint32_t task = id.second;
    Claim& c = job->claims.at(task);
    if (c.halt || c.phase == Phase::fresh || c.phase == Phase::loaded) continue;
    const JobSpec& spec = job->spec();
    Micros remaining = estimator_.estimate(spec);
    if (c.phase == Phase::running) {
      remaining = std::max(from_seconds(1), remaining - (rt_.now() - c.running_since));
    } else if (const Flavor* f = machines_.flavor(m)) {
      remaining += planner::fetch_time(machines_.plan_host(m, *f), spec);
    }
    if (spec.shape == Shape::sweep && remaining < left) continue;
    const Micros leeway = spec.saves() ? std::max(spec.snapshot, left / 2) : Micros{0};
    if (spec.shape == Shape::gang) {
      for (auto& [host, list] : book_.halt(*job, leeway)) out.halts.push_back({host, std::move(list)});
    } else {
      book_.stop(c, leeway);
    }
    log::debug("task_leaves", "task {task} leaves {machine} before it is taken",
               log::with("task", unit_name(spec.ref, task)), log::with("machine", m.name));
  }
}

std::vector<Order> Reports::orders(const Machine& m, const WorkerReport& r) const {
  std::vector<Order> orders;
  for (const UnitReport& u : r.units) {
    const Job* job = book_.find(u.ref);
    if (u.status == UnitStatus::ended) {
      // Until `done` is committed the worker must go on telling it.
      if (job != nullptr && job->fresh_done.contains(u.task)) continue;
      if (job != nullptr && job->holds(u.task, m, u.attempt)) continue;
      orders.push_back({Order::Verb::reap, u.ref, u.task, u.attempt, Micros{0}});
    } else if (job == nullptr || !job->holds(u.task, m, u.attempt)) {
      orders.push_back({Order::Verb::halt, u.ref, u.task, u.attempt, Micros{0}});
    } else if (const Claim& c = job->claims.at(u.task);
               c.halt && (c.phase != Phase::saving || c.leeway.count() == 0)) {
      orders.push_back({Order::Verb::halt, u.ref, u.task, u.attempt, c.leeway});
    }
  }
  if (!m.usable()) return orders;
  for (const auto& [id, job] : book_.on(m)) {
    const std::uint32_t task = id.second;
    const Claim& c = job->claims.at(task);
    if (c.phase != Phase::fresh || c.halt || !job->committed(task, c.version)) continue;
    orders.push_back({Order::Verb::run, job->spec().ref, task, c.attempt, Micros{0}});
  }
  return orders;
}

bool Reports::awaits_commit(const Machine& m, const WorkerReport& r) const {
  for (const auto& [id, job] : book_.on(m)) {
    const Claim& c = job->claims.at(id.second);
    if (c.phase == Phase::fresh && !c.halt && !job->committed(id.second, c.version)) return true;
  }
  return std::any_of(r.units.begin(), r.units.end(), [&](const UnitReport& u) {
    const Job* job = u.status == UnitStatus::ended ? book_.find(u.ref) : nullptr;
    return job != nullptr && job->fresh_done.contains(u.task);
  });
}

}  // namespace wrenusher::reports
