#include "wrenusher/book/book.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::book {

bool Job::holds(std::uint32_t task, const Machine& m, std::uint64_t attempt) const {
  const auto it = claims.find(task);
  return it != claims.end() && it->second.at == &m && it->second.attempt == attempt;
}

void Book::begin(std::uint64_t epoch) {
  jobs_.clear();
  tenants_.clear();
  teams_.clear();
  dirty_.clear();
  over_.clear();
  loaded_ = 0;
  // Versions rise from term to term as well, and when the records are read anew within one, where a write of
  // before may still be on its way: of two copies of a block the newer one is known.
  term_from_ = epoch << 32U;
  clock_ = std::max(clock_, term_from_);
  ++news_;
  population_ = {};
}

Job* Book::find(const std::string& ref) {
  const auto it = jobs_.find(ref);
  return it == jobs_.end() ? nullptr : &it->second;
}

const Job* Book::find(const std::string& ref) const {
  const auto it = jobs_.find(ref);
  return it == jobs_.end() ? nullptr : &it->second;
}

const Tenants& Book::on(const Machine& m) const {
  static const Tenants kNone;
  const auto it = tenants_.find(&m);
  return it == tenants_.end() ? kNone : it->second;
}

Job& Book::accept(const std::string& ref, records::JobRecord rec, std::uint64_t stamp) {
  Job job;
  job.id = ++jobs_taken_;
  job.rec = std::move(rec);
  job.stamp = stamp;
  job.blocks.resize((job.rec.spec.units + job.rec.block - 1) / job.rec.block);
  if (!job.rec.withdrawn) job.waiting.add(0, job.rec.spec.units - 1);
  if (job.rec.withdrawn) over_.insert(ref);
  ++news_;
  population_.in.push_back(ref);
  return jobs_.insert_or_assign(ref, std::move(job)).first->second;
}

void Book::drop(const std::string& ref) {
  Job& job = jobs_.at(ref);
  while (!job.claims.empty()) unclaim(job, job.claims.begin()->first);
  for (std::uint32_t n = 0; n < job.blocks.size(); ++n) unrank_block(job, n);
  over_.erase(ref);
  population_.out.push_back(job.id);
  jobs_.erase(ref);
}

/// The final state of the job is due once nothing is left to run, or of a cancelled job nothing left running.
void Book::check_over(const Job& job) {
  const JobSpec& spec = job.spec();
  const bool over =
      job.rec.withdrawn ? job.claims.empty() : spec.shape != Shape::daemon && job.done.size() == spec.units;
  if (over) {
    over_.insert(spec.ref);
  } else {
    over_.erase(spec.ref);
  }
}

void Book::unrank_block(Job& job, std::uint32_t n) {
  Block& b = job.blocks[n];
  if (b.dirty_since == 0) return;
  dirty_.erase({b.rank, b.dirty_since, job.id, n});
  b.dirty_since = 0;
}

/// Puts a block where it belongs in the order of writing.
void Book::rank_block(Job& job, std::uint32_t n) {
  Block& b = job.blocks[n];
  if (b.version <= b.committed) {
    unrank_block(job, n);
    return;
  }
  const int rank = b.claimed > b.committed ? static_cast<int>(job.spec().urgency) : kProgressRank;
  if (b.dirty_since != 0 && b.rank == rank) return;
  const std::uint64_t since = b.dirty_since != 0 ? b.dirty_since : clock_;
  unrank_block(job, n);
  b.rank = rank;
  b.dirty_since = since;
  dirty_.emplace(DirtyKey{rank, since, job.id, n}, &job);
}

void Book::touch(Job& job, std::uint32_t task, bool claimed) {
  const std::uint32_t n = job.block_of(task);
  Block& b = job.blocks[n];
  b.version = ++clock_;
  if (claimed) b.claimed = clock_;
  rank_block(job, n);
}

void Book::claim(Job& job, std::uint32_t task, Machine& m, std::uint64_t attempt, Phase phase) {
  if (job.claims.contains(task)) unclaim(job, task);
  job.waiting.remove(task);
  touch(job, task, true);
  Claim c;
  c.at = &m;
  c.attempt = attempt;
  c.version = clock_;
  c.phase = phase;
  c.claimed = rt_.now();
  // What was found at takeover may run for long; reports tell which of it still waits.
  Claim& made = job.claims.emplace(task, c).first->second;
  if (phase == Phase::fresh) begin_pull(job, made);
  if (phase == Phase::loaded) ++loaded_;
  job.last_try = std::max(job.last_try, attempt);
  tenants_[&m].emplace(std::pair(job.id, task), &job);
  machines_.book(m, job.spec());
  ++job.change;
  teams_[job.spec().owner] += job.spec().needs;
  if (job.rec.withdrawn) check_over(job);
}

void Book::unclaim(Job& job, std::uint32_t task) {
  const auto it = job.claims.find(task);
  if (it == job.claims.end()) return;
  set_phase(job, it->second, Phase::fresh);
  end_pull(job, it->second);
  Machine& m = *it->second.at;
  const auto there = tenants_.find(&m);
  there->second.erase({job.id, task});
  // A machine that goes away leaves no entry behind: another may come to stand at its address.
  if (there->second.empty()) tenants_.erase(there);
  machines_.unbook(m, job.spec());
  ++job.change;
  teams_[job.spec().owner] -= job.spec().needs;
  job.claims.erase(it);
  touch(job, task, false);
  ++news_;
  if (job.rec.withdrawn) check_over(job);
}

void Book::restore(Job& job, std::uint32_t n, std::uint64_t version, const records::BlockRecord& b) {
  job.last_try = std::max(job.last_try, b.last_try);
  for (const auto& [first, last] : b.done.ranges()) {
    job.done.add(first, last);
    for (std::uint32_t t = first; t <= last; ++t) job.waiting.remove(t);
  }
  for (const records::ClaimRow& c : b.claims) {
    Machine& m = machines_.at(c.host);
    for (const auto& [first, last] : c.tasks.ranges()) {
      for (std::uint32_t t = first; t <= last; ++t) {
        claim(job, t, m, c.attempt, Phase::loaded);
        Claim& made = job.claims.at(t);
        made.version = 0;
        made.ordered = version > term_from_;
        if (job.rec.withdrawn) stop(made, Micros{0});
      }
    }
  }
  ++job.change;
  // What is written next must be newer than what was found, or it would never be written.
  clock_ = std::max(clock_, version);
  Block& block = job.blocks[n];
  unrank_block(job, n);
  block.version = block.claimed = block.committed = version;
  check_over(job);
}

void Book::stop(Claim& c, Micros leeway) {
  machines_.touch(*c.at);
  c.halt = true;
  c.leeway = leeway;
}

void Book::set_phase(Job& job, Claim& c, Phase phase) {
  if (c.phase == phase) return;
  if (c.phase == Phase::loaded) --loaded_;
  if (c.phase == Phase::running) Machines::rests(*c.at, job.spec());
  if (phase == Phase::running) Machines::runs(*c.at, job.spec());
  if (phase == Phase::running || phase == Phase::saving) job.started = true;
  machines_.touch(*c.at);
  c.phase = phase;
}

void Book::begin_pull(const Job& job, Claim& c) {
  if (!c.pulls) c.pulls = machines_.begin_pull(*c.at, job.spec());
}

void Book::end_pull(const Job& job, Claim& c) {
  if (!c.pulls) return;
  c.pulls = false;
  machines_.end_pull(*c.at, job.spec());
}

void Book::release(Job& job, std::uint32_t task, const char* why, bool lost) {
  log::debug("task_off", "task {task} is off its machine: {reason}",
             log::with("task", unit_name(job.spec().ref, task)), log::with("reason", why));
  unclaim(job, task);
  ++job.change;
  if (job.rec.withdrawn) return;
  if (!job.done.contains(task)) job.waiting.add(task);
  if (job.spec().shape != Shape::gang) return;
  if (!lost || job.broken || job.started || job.claims.empty()) {
    break_gang(job);
  } else if (job.short_since == Instant{}) {
    // The rest keeps waiting, and one of the same attempt completes it. Whether the gang had started after
    // all shows as soon as a report shows the rest.
    job.short_since = rt_.now();
  }
}

bool Book::completes(const Job& job) {
  return !job.broken && !job.started && std::all_of(job.claims.begin(), job.claims.end(), [](const auto& c) {
    const Claim& claim = c.second;
    return !claim.halt &&
           (claim.phase == Phase::fresh || claim.phase == Phase::pulling || claim.phase == Phase::gathering);
  });
}

void Book::break_gang(Job& job) {
  job.short_since = {};
  if (job.claims.empty()) {
    job.broken = job.started = false;
    return;
  }
  if (job.broken) return;
  job.broken = true;
  for (auto& [task, c] : job.claims) {
    if (!c.halt) stop(c, Micros{0});  // else it may be saving
  }
}

void Book::finish(Job& job, std::uint32_t task) {
  if (job.done.contains(task)) return;
  unclaim(job, task);
  job.waiting.remove(task);
  job.done.add(task);
  ++job.change;
  touch(job, task, false);
  job.fresh_done[task] = clock_;
  check_over(job);
  if (job.spec().shape == Shape::gang) {
    // The tasks of a gang complete together: one done means all done.
    for (std::uint32_t t = 0; t < job.spec().units; ++t) finish(job, t);
  }
}

void Book::withdraw(Job& job) {
  job.rec.withdrawn = true;
  job.waiting = {};
  ++job.change;
  log::info("job_withdrawn", "job {job} is withdrawn, {tasks} tasks to stop",
            log::with("job", job.spec().ref), log::with("tasks", job.claims.size()));
  check_over(job);
  ++news_;
}

Orders Book::halt(Job& job, Micros leeway) {
  Orders orders;
  for (auto& [task, c] : job.claims) {
    stop(c, leeway);
    if (c.phase != Phase::fresh)
      orders[c.at->name].push_back({Order::Verb::halt, job.spec().ref, task, c.attempt, leeway});
  }
  return orders;
}

void Book::written(Job& job, std::uint32_t n, std::uint64_t version) {
  Block& b = job.blocks[n];
  b.committed = version;
  unrank_block(job, n);
  rank_block(job, n);
  std::erase_if(job.fresh_done,
                [&](const auto& f) { return job.block_of(f.first) == n && f.second <= b.committed; });
}

Value Book::row(const Job& job, std::uint32_t n) const {
  const std::uint32_t first = n * job.rec.block;
  const std::uint32_t last = std::min(first + job.rec.block, job.spec().units) - 1;
  std::vector<records::ClaimRow> claims;
  std::map<std::pair<const Machine*, std::uint64_t>, std::size_t> rows;
  for (auto it = job.claims.lower_bound(first); it != job.claims.end() && it->first <= last; ++it) {
    const Claim& c = it->second;
    const auto [row, added] = rows.try_emplace({c.at, c.attempt}, claims.size());
    if (added) claims.push_back({c.at->name, c.attempt, {}});
    claims[row->second].tasks.add(it->first);
  }
  return records::write_block({job.spec().ref, n, job.blocks[n].version}, job.last_try, job.done, claims,
                              first, last);
}

std::string Book::disagreement() const {
  std::map<const Machine*, Machines::Reckoned> there;
  std::map<std::string, Needs> teams;
  std::size_t dirty = 0;
  std::size_t claims = 0;
  for (const auto& [ref, job] : jobs_) {
    const JobSpec& spec = job.spec();
    for (const auto& [task, c] : job.claims) {
      Machines::Reckoned& r = there[c.at];
      r.use.booked += spec.needs;
      ++r.use.claims;
      for (const auto& [name, n] : spec.devices()) r.use.devices[name] += n;
      if (spec.shape == Shape::daemon) {
        r.use.lasting += spec.needs;
        ++r.use.services;
      }
      if (c.phase == Phase::running) r.use.running += spec.needs;
      if (c.pulls) ++r.pulls[spec.bundle];
      teams[spec.owner] += spec.needs;
      ++claims;
      if (!on(*c.at).contains({job.id, task})) return "a claim of " + ref + " is not among its machine's";
      if (job.done.contains(task) || job.waiting.contains(task))
        return "a claimed task of " + ref + " waits or is done";
    }
    if (!job.rec.withdrawn && job.claims.size() + job.done.size() + job.waiting.size() != spec.units)
      return "tasks of " + ref + " are lost";
    for (std::uint32_t n = 0; n < job.blocks.size(); ++n) {
      const Block& b = job.blocks[n];
      if ((b.dirty_since != 0) != (b.version > b.committed))
        return "a block of " + ref + " is not where it belongs";
      if (b.dirty_since == 0) continue;
      ++dirty;
      if (!dirty_.contains({b.rank, b.dirty_since, job.id, n}))
        return "a block of " + ref + " would not be written";
    }
  }
  if (dirty != dirty_.size()) return "blocks that are over would be written";
  for (const auto& [machine, tenants] : tenants_) claims -= tenants.size();
  if (claims != 0) return "machines hold claims that no job has";
  for (const auto& [team, used] : teams_) {
    if (!(used == teams[team])) return "team " + team + " is counted wrongly";
  }
  return machines_.disagreement(there);
}

}  // namespace wrenusher::book
