#include "wrenusher/job_table/job_table.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::job_table {

bool Job::is_assigned(std::uint32_t task, const Machine& machine, std::uint64_t attempt) const {
  const auto it = assignments.find(task);
  return it != assignments.end() && it->second.machine == &machine && it->second.attempt == attempt;
}

void JobTable::reset(std::uint64_t fencing_token) {
  jobs_.clear();
  assignments_by_machine_.clear();
  team_usage_.clear();
  unwritten_blocks_.clear();
  finished_jobs_.clear();
  unconfirmed_count_ = 0;
  // Versions rise across terms, and also when the records are read again within a term while an earlier write
  // may still be in flight. The newer of two copies of a block is therefore always the one with the higher
  // version.
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
  static const MachineAssignments none;
  const auto it = assignments_by_machine_.find(&machine);
  return it == assignments_by_machine_.end() ? none : it->second;
}

Job& JobTable::add(const std::string& job_id, records::JobRecord record, std::uint64_t mod_revision) {
  Job job;
  job.id = ++jobs_added_;
  job.record = std::move(record);
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
  for (std::uint32_t n = 0; n < job.blocks.size(); ++n) remove_from_write_order(job, n);
  finished_jobs_.erase(job_id);
  job_changes_.removed.push_back(job.id);
  jobs_.erase(job_id);
}

/// Updates whether the job's final state is due for writing: once every task is done, or for a cancelled job
/// once no task is assigned any more.
void JobTable::update_finished(const Job& job) {
  const JobSpec& spec = job.spec();
  const bool finished = job.record.cancelled
                            ? job.assignments.empty()
                            : spec.type != JobType::service && job.done.size() == spec.task_count;
  if (finished) {
    finished_jobs_.insert(spec.job_id);
  } else {
    finished_jobs_.erase(spec.job_id);
  }
}

WriteOrder JobTable::write_order(const Job& job, std::uint32_t block_number) {
  const Block& block = job.blocks[block_number];
  return {block.write_rank, block.dirty_since, job.id, block_number};
}

void JobTable::remove_from_write_order(Job& job, std::uint32_t block_number) {
  Block& block = job.blocks[block_number];
  if (block.dirty_since == 0) return;
  unwritten_blocks_.erase(write_order(job, block_number));
  block.dirty_since = 0;
}

/// Updates the block's position among the unwritten blocks, or removes it if all its changes are committed.
void JobTable::update_write_order(Job& job, std::uint32_t block_number) {
  Block& block = job.blocks[block_number];
  if (block.version <= block.committed_version) {
    remove_from_write_order(job, block_number);
    return;
  }
  const int rank = block.assigned_version > block.committed_version ? static_cast<int>(job.spec().priority)
                                                                    : kProgressRank;
  if (block.dirty_since != 0 && block.write_rank == rank) return;
  const std::uint64_t since = block.dirty_since != 0 ? block.dirty_since : version_;
  remove_from_write_order(job, block_number);
  block.write_rank = rank;
  block.dirty_since = since;
  unwritten_blocks_.emplace(write_order(job, block_number), &job);
}

void JobTable::mark_dirty(Job& job, std::uint32_t task, bool newly_assigned) {
  const std::uint32_t block_number = job.block_of(task);
  Block& block = job.blocks[block_number];
  block.version = ++version_;
  if (newly_assigned) block.assigned_version = version_;
  update_write_order(job, block_number);
}

void JobTable::assign(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt,
                      TaskState state) {
  // Inserted by position: a plan assigns up to 100,000 tasks of a job in ascending order.
  auto position = job.assignments.lower_bound(task);
  if (position != job.assignments.end() && position->first == task) {
    unassign(job, task);
    position = job.assignments.lower_bound(task);
  }
  job.waiting.remove(task);
  mark_dirty(job, task, true);
  TaskAssignment assignment;
  assignment.machine = &machine;
  assignment.attempt = attempt;
  assignment.version = version_;
  assignment.state = state;
  assignment.assigned_at = runtime_.now();
  TaskAssignment& added = job.assignments.emplace_hint(position, task, assignment)->second;
  // A task that was read at failover may be running already, so no fetch is assumed for it. If the task still
  // fetches its image, the worker's report shows this.
  if (state == TaskState::assigned) begin_fetch(job, added);
  if (state == TaskState::recovered) ++unconfirmed_count_;
  job.last_attempt = std::max(job.last_attempt, attempt);
  MachineAssignments& on_machine = assignments_by_machine_[&machine];
  on_machine.emplace_hint(on_machine.end(), AssignmentKey{job.id, task}, &job);
  machines_.reserve(machine, job.spec());
  ++job.change_count;
  team_usage_[job.spec().team] += job.spec().resources;
  if (job.record.cancelled) update_finished(job);
}

void JobTable::unassign(Job& job, std::uint32_t task) {
  const auto it = job.assignments.find(task);
  if (it == job.assignments.end()) return;
  set_state(job, it->second, TaskState::assigned);
  end_fetch(job, it->second);
  Machine& machine = *it->second.machine;
  const auto on_machine = assignments_by_machine_.find(&machine);
  on_machine->second.erase(AssignmentKey{job.id, task});
  // The entry is erased because a removed machine's address may be reused for a new machine.
  if (on_machine->second.empty()) assignments_by_machine_.erase(on_machine);
  machines_.release(machine, job.spec());
  ++job.change_count;
  team_usage_[job.spec().team] -= job.spec().resources;
  job.assignments.erase(it);
  mark_dirty(job, task, false);
  ++change_count_;
  if (job.record.cancelled) update_finished(job);
}

void JobTable::restore_block(Job& job, std::uint32_t block_number, std::uint64_t version,
                             const records::BlockRecord& record) {
  job.last_attempt = std::max(job.last_attempt, record.last_attempt);
  restore_done(job, record.done);
  for (const records::AssignmentRow& row : record.assignments) {
    Machine& machine = machines_.get_or_add(row.host);
    for (const auto& [first, last] : row.tasks.ranges()) {
      for (std::uint32_t task = first; task <= last; ++task)
        restore_assignment(job, task, machine, row.attempt, version);
    }
  }
  ++job.change_count;
  // Later changes must have higher versions than the restored block, or they would never be written.
  version_ = std::max(version_, version);
  Block& block = job.blocks[block_number];
  remove_from_write_order(job, block_number);
  block.version = block.assigned_version = block.committed_version = version;
  update_finished(job);
}

void JobTable::restore_done(Job& job, const RangeSet& done) {
  for (const auto& [first, last] : done.ranges()) {
    job.done.add(first, last);
    for (std::uint32_t task = first; task <= last; ++task) job.waiting.remove(task);
  }
}

void JobTable::restore_assignment(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt,
                                  std::uint64_t version) {
  assign(job, task, machine, attempt, TaskState::recovered);
  TaskAssignment& restored = job.assignments.at(task);
  restored.version = 0;
  restored.start_in_flight = version > term_start_version_;
  if (job.record.cancelled) stop_task(restored, Micros{0});
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

void JobTable::release(Job& job, std::uint32_t task, const char* reason, bool lost) {
  log::debug("task_released", "task {task} is released from its machine: {reason}",
             log::with("task", protocol::task_name(job.spec().job_id, task)), log::with("reason", reason));
  unassign(job, task);
  ++job.change_count;
  if (job.record.cancelled) return;
  if (!job.done.contains(task)) job.waiting.add(task);
  if (job.spec().type != JobType::gang) return;
  if (!lost || job.attempt_failed || job.gang_started || job.assignments.empty()) {
    abort_gang_attempt(job);
  } else if (job.incomplete_since == Instant{}) {
    // The other tasks keep waiting, and a replacement starts under the same attempt. If the gang has in fact
    // started already, the next report that lists another of its tasks shows this.
    job.incomplete_since = runtime_.now();
  }
}

bool JobTable::can_replace_lost_tasks(const Job& job) {
  return !job.attempt_failed && !job.gang_started &&
         std::all_of(job.assignments.begin(), job.assignments.end(), [](const auto& entry) {
           const TaskAssignment& assignment = entry.second;
           return !assignment.stopping &&
                  (assignment.state == TaskState::assigned || assignment.state == TaskState::fetching_image ||
                   assignment.state == TaskState::waiting_for_gang);
         });
}

void JobTable::abort_gang_attempt(Job& job) {
  job.incomplete_since = {};
  if (job.assignments.empty()) {
    job.attempt_failed = job.gang_started = false;
    return;
  }
  if (job.attempt_failed) return;
  job.attempt_failed = true;
  for (auto& [task, assignment] : job.assignments) {
    if (!assignment.stopping) stop_task(assignment, Micros{0});  // a stopping task may be checkpointing
  }
}

void JobTable::finish_task(Job& job, std::uint32_t task) {
  if (job.done.contains(task)) return;
  mark_done(job, task);
  if (job.spec().type == JobType::gang) {
    // The tasks of a gang finish together, so one finished task implies that all are finished.
    for (std::uint32_t other = 0; other < job.spec().task_count; ++other) mark_done(job, other);
  }
  update_finished(job);
}

/// Marks a single task as done, whatever the job's type; no effect if it is done already.
void JobTable::mark_done(Job& job, std::uint32_t task) {
  if (job.done.contains(task)) return;
  unassign(job, task);
  job.waiting.remove(task);
  job.done.add(task);
  ++job.change_count;
  mark_dirty(job, task, false);
  job.uncommitted_done[task] = version_;
}

void JobTable::cancel(Job& job) {
  job.record.cancelled = true;
  job.waiting = {};
  ++job.change_count;
  log::info("job_cancelled", "job {job} is cancelled; {tasks} tasks have to be stopped",
            log::with("job", job.spec().job_id), log::with("tasks", job.assignments.size()));
  update_finished(job);
  ++change_count_;
}

CommandsByMachine JobTable::stop_job(Job& job, Micros grace_period) {
  CommandsByMachine commands;
  for (auto& [task, assignment] : job.assignments) {
    stop_task(assignment, grace_period);
    if (assignment.state != TaskState::assigned)
      commands[assignment.machine->name].push_back(
          {WorkerCommand::Verb::stop, job.spec().job_id, task, assignment.attempt, grace_period});
  }
  return commands;
}

void JobTable::mark_written(Job& job, std::uint32_t block_number, std::uint64_t version) {
  Block& block = job.blocks[block_number];
  block.committed_version = version;
  remove_from_write_order(job, block_number);
  update_write_order(job, block_number);
  // Only the block's own tasks are visited: a job may have many blocks, and all of its tasks may be done.
  auto it = job.uncommitted_done.lower_bound(block_number * job.record.tasks_per_block);
  while (it != job.uncommitted_done.end() && job.block_of(it->first) == block_number)
    it = it->second <= block.committed_version ? job.uncommitted_done.erase(it) : std::next(it);
}

Value JobTable::block_row(const Job& job, std::uint32_t block_number) const {
  const std::uint32_t first = block_number * job.record.tasks_per_block;
  const std::uint32_t last = std::min(first + job.record.tasks_per_block, job.spec().task_count) - 1;
  /// Identifies a row, which lists all of the job's tasks on one machine under one attempt.
  struct RowKey {
    const Machine* machine;
    std::uint64_t attempt;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const RowKey&) const = default;
  };
  std::vector<records::AssignmentRow> assignments;
  std::map<RowKey, std::size_t> rows;  // -> index of the row; the order of the map is not used
  for (auto it = job.assignments.lower_bound(first); it != job.assignments.end() && it->first <= last; ++it) {
    const TaskAssignment& assignment = it->second;
    const auto [row, added] =
        rows.try_emplace(RowKey{assignment.machine, assignment.attempt}, assignments.size());
    if (added) assignments.push_back({assignment.machine->name, assignment.attempt, {}});
    assignments[row->second].tasks.add(it->first);
  }
  return records::write_block({job.spec().job_id, block_number, job.blocks[block_number].version},
                              job.last_attempt, job.done, assignments, first, last);
}

/// Counts computed from the jobs alone, for comparison with those that are updated incrementally.
struct JobTable::RecomputedTable {
  std::map<const Machine*, MachineInventory::Recomputed> machines;
  std::map<std::string, Resources> team_usage;
  std::size_t dirty_blocks = 0;
  std::size_t assignments = 0;
};

std::string JobTable::disagreement() const {
  RecomputedTable table;
  for (const auto& [job_id, job] : jobs_) {
    if (auto difference = job_disagreement(job, table); !difference.empty()) return difference;
    if (auto difference = block_disagreement(job, table); !difference.empty()) return difference;
  }
  if (auto difference = total_disagreement(table); !difference.empty()) return difference;
  return machines_.disagreement(table.machines);
}

std::string JobTable::job_disagreement(const Job& job, RecomputedTable& table) const {
  const JobSpec& spec = job.spec();
  for (const auto& [task, assignment] : job.assignments) {
    MachineInventory::Recomputed& machine = table.machines[assignment.machine];
    machine.use.reserved += spec.resources;
    ++machine.use.assignments;
    for (const auto& [device, count] : spec.devices()) machine.use.devices[device] += count;
    if (spec.type == JobType::service) {
      machine.use.service_load += spec.resources;
      ++machine.use.services;
    }
    if (assignment.state == TaskState::running) machine.use.running += spec.resources;
    if (assignment.counted_as_fetching) ++machine.fetching_tasks[spec.image];
    table.team_usage[spec.team] += spec.resources;
    ++table.assignments;
    if (!assignments_on(*assignment.machine).contains(AssignmentKey{job.id, task}))
      return "an assignment of " + spec.job_id + " is not among its machine's assignments";
    if (job.done.contains(task) || job.waiting.contains(task))
      return "an assigned task of " + spec.job_id + " also waits or is done";
  }
  if (!job.record.cancelled &&
      job.assignments.size() + job.done.size() + job.waiting.size() != spec.task_count)
    return "the counts of waiting, assigned and done tasks of " + spec.job_id +
           " do not add up to its task count";
  return {};
}

std::string JobTable::block_disagreement(const Job& job, RecomputedTable& table) const {
  const std::string& job_id = job.spec().job_id;
  for (std::uint32_t n = 0; n < job.blocks.size(); ++n) {
    const Block& block = job.blocks[n];
    if ((block.dirty_since != 0) != (block.version > block.committed_version))
      return "a block of " + job_id + " is due for writing but unchanged, or changed but not due for writing";
    if (block.dirty_since == 0) continue;
    ++table.dirty_blocks;
    if (!unwritten_blocks_.contains(write_order(job, n)))
      return "a changed block of " + job_id + " is not among the unwritten blocks";
  }
  return {};
}

std::string JobTable::total_disagreement(const RecomputedTable& table) const {
  if (table.dirty_blocks != unwritten_blocks_.size())
    return "blocks of finished or removed jobs are due for writing";
  std::size_t on_machines = 0;
  for (const auto& [machine, assignments] : assignments_by_machine_) on_machines += assignments.size();
  if (table.assignments != on_machines) return "machines hold assignments that no job has";
  for (const auto& [team, used] : team_usage_) {
    const auto recomputed = table.team_usage.find(team);
    if (!(used == (recomputed == table.team_usage.end() ? Resources{} : recomputed->second)))
      return "the recorded usage of team " + team + " differs from what its assignments use";
  }
  return {};
}

}  // namespace wrenusher::job_table
