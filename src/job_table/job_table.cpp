#include "wrenusher/job_table/job_table.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::job_table {

bool Job::is_assigned(std::uint32_t task, const Machine& machine, std::uint64_t attempt) const {
  const auto it = assignments.find(task);
  return it != assignments.end() && it->second.machine == &machine && it->second.attempt == attempt;
}

void JobTable::begin(std::uint64_t fencing_token) {
  jobs_.clear();
  by_machine_.clear();
  teams_.clear();
  unwritten_.clear();
  finished_jobs_.clear();
  unconfirmed_count_ = 0;
  // Versions rise from term to term as well, and when the records are read anew within one, where a write of
  // before may still be on its way: of two copies of a block the newer one is known.
  term_start_version_ = fencing_token << 32U;
  version_ = std::max(version_, term_start_version_);
  ++change_count_;
  job_changes_ = {};
}

Job* JobTable::find(const std::string& job_id) {
  const auto it = jobs_.find(job_id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const Job* JobTable::find(const std::string& job_id) const {
  const auto it = jobs_.find(job_id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const MachineAssignments& JobTable::assignments_on(const Machine& machine) const {
  static const MachineAssignments kNone;
  const auto it = by_machine_.find(&machine);
  return it == by_machine_.end() ? kNone : it->second;
}

Job& JobTable::add(const std::string& job_id, records::JobRecord rec, std::uint64_t mod_revision) {
  Job job;
  job.id = ++jobs_added_;
  job.record = std::move(rec);
  job.mod_revision = mod_revision;
  job.blocks.resize((job.record.spec.task_count + job.record.tasks_per_block - 1) /
                    job.record.tasks_per_block);
  if (!job.record.cancelled) job.waiting.add(0, job.record.spec.task_count - 1);
  if (job.record.cancelled) finished_jobs_.insert(job_id);
  ++change_count_;
  job_changes_.added.push_back(job_id);
  return jobs_.insert_or_assign(job_id, std::move(job)).first->second;
}

void JobTable::remove(const std::string& job_id) {
  Job& job = jobs_.at(job_id);
  while (!job.assignments.empty()) unassign(job, job.assignments.begin()->first);
  for (std::uint32_t n = 0; n < job.blocks.size(); ++n) unrank_block(job, n);
  finished_jobs_.erase(job_id);
  job_changes_.removed.push_back(job.id);
  jobs_.erase(job_id);
}

/// The final state of the job is due once nothing is left to run, or of a cancelled job nothing left running.
void JobTable::check_finished(const Job& job) {
  const JobSpec& spec = job.spec();
  const bool over = job.record.cancelled
                        ? job.assignments.empty()
                        : spec.type != JobType::service && job.done.size() == spec.task_count;
  if (over) {
    finished_jobs_.insert(spec.job_id);
  } else {
    finished_jobs_.erase(spec.job_id);
  }
}

void JobTable::unrank_block(Job& job, std::uint32_t n) {
  Block& block = job.blocks[n];
  if (block.dirty_since == 0) return;
  unwritten_.erase({block.write_rank, block.dirty_since, job.id, n});
  block.dirty_since = 0;
}

/// Puts a block where it belongs in the order of writing.
void JobTable::rank_block(Job& job, std::uint32_t n) {
  Block& block = job.blocks[n];
  if (block.version <= block.committed_version) {
    unrank_block(job, n);
    return;
  }
  const int rank = block.assigned_version > block.committed_version ? static_cast<int>(job.spec().priority)
                                                                    : kProgressRank;
  if (block.dirty_since != 0 && block.write_rank == rank) return;
  const std::uint64_t since = block.dirty_since != 0 ? block.dirty_since : version_;
  unrank_block(job, n);
  block.write_rank = rank;
  block.dirty_since = since;
  unwritten_.emplace(WriteOrder{rank, since, job.id, n}, &job);
}

void JobTable::mark_dirty(Job& job, std::uint32_t task, bool claimed) {
  const std::uint32_t n = job.block_of(task);
  Block& block = job.blocks[n];
  block.version = ++version_;
  if (claimed) block.assigned_version = version_;
  rank_block(job, n);
}

void JobTable::assign(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt,
                      TaskState state) {
  if (job.assignments.contains(task)) unassign(job, task);
  job.waiting.remove(task);
  mark_dirty(job, task, true);
  TaskAssignment assignment;
  assignment.machine = &machine;
  assignment.attempt = attempt;
  assignment.version = version_;
  assignment.state = state;
  assignment.assigned_at = runtime_.now();
  // What was found at takeover may run for long; reports tell which of it still waits.
  TaskAssignment& made = job.assignments.emplace(task, assignment).first->second;
  if (state == TaskState::assigned) begin_fetch(job, made);
  if (state == TaskState::recovered) ++unconfirmed_count_;
  job.last_attempt = std::max(job.last_attempt, attempt);
  by_machine_[&machine].emplace(std::pair(job.id, task), &job);
  machines_.reserve(machine, job.spec());
  ++job.change_count;
  teams_[job.spec().team] += job.spec().resources;
  if (job.record.cancelled) check_finished(job);
}

void JobTable::unassign(Job& job, std::uint32_t task) {
  const auto it = job.assignments.find(task);
  if (it == job.assignments.end()) return;
  set_state(job, it->second, TaskState::assigned);
  end_fetch(job, it->second);
  Machine& machine = *it->second.machine;
  const auto there = by_machine_.find(&machine);
  there->second.erase({job.id, task});
  // A machine that goes away leaves no entry behind: another may come to stand at its address.
  if (there->second.empty()) by_machine_.erase(there);
  machines_.release(machine, job.spec());
  ++job.change_count;
  teams_[job.spec().team] -= job.spec().resources;
  job.assignments.erase(it);
  mark_dirty(job, task, false);
  ++change_count_;
  if (job.record.cancelled) check_finished(job);
}

void JobTable::restore_block(Job& job, std::uint32_t n, std::uint64_t version,
                             const records::BlockRecord& record) {
  job.last_attempt = std::max(job.last_attempt, record.last_attempt);
  for (const auto& [first, last] : record.done.ranges()) {
    job.done.add(first, last);
    for (std::uint32_t t = first; t <= last; ++t) job.waiting.remove(t);
  }
  for (const records::AssignmentRow& row : record.assignments) {
    Machine& machine = machines_.get_or_add(row.host);
    for (const auto& [first, last] : row.tasks.ranges()) {
      for (std::uint32_t t = first; t <= last; ++t) {
        assign(job, t, machine, row.attempt, TaskState::recovered);
        TaskAssignment& made = job.assignments.at(t);
        made.version = 0;
        made.start_in_flight = version > term_start_version_;
        if (job.record.cancelled) stop_task(made, Micros{0});
      }
    }
  }
  ++job.change_count;
  // What is written next must be newer than what was found, or it would never be written.
  version_ = std::max(version_, version);
  Block& block = job.blocks[n];
  unrank_block(job, n);
  block.version = block.assigned_version = block.committed_version = version;
  check_finished(job);
}

void JobTable::stop_task(TaskAssignment& assignment, Micros grace_period) {
  machines_.mark_changed(*assignment.machine);
  assignment.stopping = true;
  assignment.grace_period = grace_period;
}

void JobTable::set_state(Job& job, TaskAssignment& assignment, TaskState state) {
  if (assignment.state == state) return;
  if (assignment.state == TaskState::recovered) --unconfirmed_count_;
  if (assignment.state == TaskState::running) MachineInventory::task_stopped(*assignment.machine, job.spec());
  if (state == TaskState::running) MachineInventory::task_started(*assignment.machine, job.spec());
  if (state == TaskState::running || state == TaskState::checkpointing) job.gang_started = true;
  machines_.mark_changed(*assignment.machine);
  assignment.state = state;
}

void JobTable::begin_fetch(const Job& job, TaskAssignment& assignment) {
  if (!assignment.counted_as_fetching)
    assignment.counted_as_fetching = machines_.begin_fetch(*assignment.machine, job.spec());
}

void JobTable::end_fetch(const Job& job, TaskAssignment& assignment) {
  if (!assignment.counted_as_fetching) return;
  assignment.counted_as_fetching = false;
  machines_.end_fetch(*assignment.machine, job.spec());
}

void JobTable::release(Job& job, std::uint32_t task, const char* why, bool lost) {
  log::debug("task_off", "task {task} is off its machine: {reason}",
             log::with("task", task_name(job.spec().job_id, task)), log::with("reason", why));
  unassign(job, task);
  ++job.change_count;
  if (job.record.cancelled) return;
  if (!job.done.contains(task)) job.waiting.add(task);
  if (job.spec().type != JobType::gang) return;
  if (!lost || job.attempt_broken || job.gang_started || job.assignments.empty()) {
    break_gang(job);
  } else if (job.incomplete_since == Instant{}) {
    // The rest keeps waiting, and one of the same attempt completes it. Whether the gang had started after
    // all shows as soon as a report shows the rest.
    job.incomplete_since = runtime_.now();
  }
}

bool JobTable::can_complete_gang(const Job& job) {
  return !job.attempt_broken && !job.gang_started &&
         std::all_of(job.assignments.begin(), job.assignments.end(), [](const auto& c) {
           const TaskAssignment& assignment = c.second;
           return !assignment.stopping &&
                  (assignment.state == TaskState::assigned || assignment.state == TaskState::fetching_image ||
                   assignment.state == TaskState::waiting_for_gang);
         });
}

void JobTable::break_gang(Job& job) {
  job.incomplete_since = {};
  if (job.assignments.empty()) {
    job.attempt_broken = job.gang_started = false;
    return;
  }
  if (job.attempt_broken) return;
  job.attempt_broken = true;
  for (auto& [task, c] : job.assignments) {
    if (!c.stopping) stop_task(c, Micros{0});  // else it may be saving
  }
}

void JobTable::finish_task(Job& job, std::uint32_t task) {
  if (job.done.contains(task)) return;
  unassign(job, task);
  job.waiting.remove(task);
  job.done.add(task);
  ++job.change_count;
  mark_dirty(job, task, false);
  job.uncommitted_done[task] = version_;
  check_finished(job);
  if (job.spec().type == JobType::gang) {
    // The tasks of a gang complete together: one done means all done.
    for (std::uint32_t t = 0; t < job.spec().task_count; ++t) finish_task(job, t);
  }
}

void JobTable::cancel(Job& job) {
  job.record.cancelled = true;
  job.waiting = {};
  ++job.change_count;
  log::info("job_withdrawn", "job {job} is withdrawn, {tasks} tasks to stop",
            log::with("job", job.spec().job_id), log::with("tasks", job.assignments.size()));
  check_finished(job);
  ++change_count_;
}

CommandsByMachine JobTable::stop_job(Job& job, Micros grace_period) {
  CommandsByMachine commands;
  for (auto& [task, c] : job.assignments) {
    stop_task(c, grace_period);
    if (c.state != TaskState::assigned)
      commands[c.machine->name].push_back(
          {WorkerCommand::Verb::stop, job.spec().job_id, task, c.attempt, grace_period});
  }
  return commands;
}

void JobTable::mark_written(Job& job, std::uint32_t n, std::uint64_t version) {
  Block& block = job.blocks[n];
  block.committed_version = version;
  unrank_block(job, n);
  rank_block(job, n);
  std::erase_if(job.uncommitted_done, [&](const auto& f) {
    return job.block_of(f.first) == n && f.second <= block.committed_version;
  });
}

Value JobTable::block_row(const Job& job, std::uint32_t n) const {
  const std::uint32_t first = n * job.record.tasks_per_block;
  const std::uint32_t last = std::min(first + job.record.tasks_per_block, job.spec().task_count) - 1;
  std::vector<records::AssignmentRow> assignments;
  std::map<std::pair<const Machine*, std::uint64_t>, std::size_t> rows;
  for (auto it = job.assignments.lower_bound(first); it != job.assignments.end() && it->first <= last; ++it) {
    const TaskAssignment& assignment = it->second;
    const auto [row, added] = rows.try_emplace({assignment.machine, assignment.attempt}, assignments.size());
    if (added) assignments.push_back({assignment.machine->name, assignment.attempt, {}});
    assignments[row->second].tasks.add(it->first);
  }
  return records::write_block({job.spec().job_id, n, job.blocks[n].version}, job.last_attempt, job.done,
                              assignments, first, last);
}

std::string JobTable::disagreement() const {
  std::map<const Machine*, MachineInventory::Recomputed> there;
  std::map<std::string, Resources> teams;
  std::size_t dirty = 0;
  std::size_t assignments = 0;
  for (const auto& [ref, job] : jobs_) {
    const JobSpec& spec = job.spec();
    for (const auto& [task, c] : job.assignments) {
      MachineInventory::Recomputed& recomputed = there[c.machine];
      recomputed.use.reserved += spec.resources;
      ++recomputed.use.assignments;
      for (const auto& [name, n] : spec.devices()) recomputed.use.devices[name] += n;
      if (spec.type == JobType::service) {
        recomputed.use.service_load += spec.resources;
        ++recomputed.use.services;
      }
      if (c.state == TaskState::running) recomputed.use.running += spec.resources;
      if (c.counted_as_fetching) ++recomputed.fetching_tasks[spec.image];
      teams[spec.team] += spec.resources;
      ++assignments;
      if (!assignments_on(*c.machine).contains({job.id, task}))
        return "a claim of " + ref + " is not among its machine's";
      if (job.done.contains(task) || job.waiting.contains(task))
        return "a claimed task of " + ref + " waits or is done";
    }
    if (!job.record.cancelled &&
        job.assignments.size() + job.done.size() + job.waiting.size() != spec.task_count)
      return "tasks of " + ref + " are lost";
    for (std::uint32_t n = 0; n < job.blocks.size(); ++n) {
      const Block& block = job.blocks[n];
      if ((block.dirty_since != 0) != (block.version > block.committed_version))
        return "a block of " + ref + " is not where it belongs";
      if (block.dirty_since == 0) continue;
      ++dirty;
      if (!unwritten_.contains({block.write_rank, block.dirty_since, job.id, n}))
        return "a block of " + ref + " would not be written";
    }
  }
  if (dirty != unwritten_.size()) return "blocks that are over would be written";
  for (const auto& [machine, tenants] : by_machine_) assignments -= tenants.size();
  if (assignments != 0) return "machines hold claims that no job has";
  for (const auto& [team, used] : teams_) {
    if (!(used == teams[team])) return "team " + team + " is counted wrongly";
  }
  return machines_.disagreement(there);
}

}  // namespace wrenusher::job_table
