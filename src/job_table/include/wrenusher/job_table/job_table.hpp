#pragma once
/// @file
/// Package job_table: the live jobs and the assignments of their tasks. It owns which task of a job waits, is
/// assigned (to which machine, in which state) or is done, what each team uses, and which blocks of which
/// jobs differ from the state service, in the order in which they are to be written. Invariant: a task of a
/// job that is not cancelled is in exactly one of the three, and a block is due for writing exactly when its
/// version is above the committed one (`disagreement` verifies both). Every change of an assignment goes
/// through here, so that machines and teams never differ from the assignments. It may depend on time, value,
/// runtime, protocol, records and machine_inventory.

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wrenusher/machine_inventory/machine_inventory.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/time/time.hpp"
#include "wrenusher/value/range_set.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::job_table {

using machine_inventory::Machine;
using machine_inventory::MachineInventory;
using protocol::JobSpec;
using protocol::JobType;
using protocol::Resources;
using protocol::WorkerCommand;
using runtime::Runtime;
using time::Instant;
using time::Micros;
using value::RangeSet;
using value::Value;

/// How far an assigned task has come, as far as reports have shown.
enum class TaskState {
  assigned,          ///< assigned in this term, not shown by a report yet
  recovered,         ///< found in the records at failover, not shown by a report yet
  fetching_image,    ///< its machine fetches the image
  waiting_for_gang,  ///< ready, waits for the other tasks of its gang
  running,
  checkpointing  ///< saves its progress before it stops
};

/// A task's assignment to a machine.
struct TaskAssignment {
  Machine* machine = nullptr;  ///< never null; owned by the machine inventory
  std::uint64_t attempt = 0;
  std::uint64_t version = 0;  ///< of the change that made it; 0: found in the state service
  TaskState state = TaskState::assigned;
  Instant assigned_at{};
  Instant fetching_since{};   ///< when a report first showed it fetch its image
  Instant gang_wait_since{};  ///< when a report first showed it wait for its gang
  Instant running_since{};    ///< when a report first showed it run
  bool start_in_flight =
      false;              ///< found, but written in this term: the command to start it may be on its way
  bool stopping = false;  ///< it is to stop
  Micros grace_period{};  ///< of a stop: how long it has to save its progress
  std::uint64_t last_shown = 0;      ///< the number of the last report that listed it
  bool counted_as_fetching = false;  ///< counted among the tasks that wait for their image
};

/// A range of a job's tasks, written as a whole.
struct Block {
  std::uint64_t version = 0;            ///< of the last change in memory
  std::uint64_t assigned_version = 0;   ///< of the last new assignment
  std::uint64_t committed_version = 0;  ///< changes up to this one are in the state service
  std::uint64_t dirty_since = 0;        ///< version of the first change not written; 0: nothing to write
  int write_rank = 0;                   ///< see `WriteOrder::rank`
};

/// A live job. Owned by the job table, which keeps its assignments, blocks, `done` and `waiting` in line; the
/// retry fields at the end belong to the reconciler and the scheduling cycle.
struct Job {
  std::uint64_t id = 0;  ///< a number that rises with every job added, so that orders by it repeat
  records::JobRecord record;
  std::uint64_t mod_revision = 0;  ///< of the root record; a condition of the writes that assign its tasks
  std::vector<Block> blocks;       ///< by block number
  RangeSet done;                   ///< tasks that have completed
  RangeSet waiting;                ///< tasks that are neither assigned nor done
  std::map<std::uint32_t, TaskAssignment> assignments;      ///< by task
  std::map<std::uint32_t, std::uint64_t> uncommitted_done;  ///< done, not committed yet: task -> version
  std::uint64_t last_attempt = 0;                           ///< the highest attempt of any of its tasks
  bool needs_refresh = false;   ///< the root record must be read before the next write
  bool attempt_broken = false;  ///< gang: the attempt has failed, its tasks are being stopped
  bool gang_started = false;    ///< gang: a report has shown a task of the attempt run
  Instant incomplete_since{};   ///< gang: a task was lost before the start and is to be replaced; 0: none
  std::map<std::string, Instant> avoided_machines;  ///< host -> until when it gets no task of this job
  std::set<std::string> failed_hosts;               ///< hosts where a task failed since the last retry pause
  Instant not_before{};                             ///< no task is assigned before then
  Instant near_image_until{};  ///< a service waits until then for room where its image is
  int retry_count = 0;         ///< pauses after failures on several hosts; each is longer than the one before
  std::uint64_t change_count = 0;  ///< rises whenever what waits, is assigned or done changes

  const JobSpec& spec() const { return record.spec; }
  std::uint32_t block_of(std::uint32_t task) const { return task / record.tasks_per_block; }
  /// Whether the assignment or the end of the task that `version` made is in the state service.
  bool committed(std::uint32_t task, std::uint64_t version) const {
    return version <= blocks[block_of(task)].committed_version;
  }
  /// Whether this task is assigned to this machine under this attempt.
  bool is_assigned(std::uint32_t task, const Machine& machine, std::uint64_t attempt) const;
};

/// Blocks with new assignments are ranked by their job's priority, below this; the rest is progress.
inline constexpr int kProgressRank = 4;
/// Where a block stands in the order of writing: the fields in this order.
struct WriteOrder {
  int rank = 0;                   ///< the job's priority, or `kProgressRank` without new assignments
  std::uint64_t dirty_since = 0;  ///< version of the first change not written
  std::uint64_t job_number = 0;   ///< `Job::id`
  std::uint32_t block = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted comparison
  auto operator<=>(const WriteOrder&) const = default;
};
/// An assignment among those of a machine.
struct AssignmentKey {
  std::uint64_t job_number = 0;  ///< `Job::id`
  std::uint32_t task = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted comparison
  auto operator<=>(const AssignmentKey&) const = default;
};
/// Commands by host.
using CommandsByMachine = std::map<std::string, std::vector<WorkerCommand>>;
/// The assignments on a machine, each with its job, which is never null.
using MachineAssignments = std::map<AssignmentKey, Job*>;

/// The live jobs and the assignments of their tasks. Owns the jobs; references and pointers to a job hold
/// until it is removed, replaced by `add` or the table begins anew. The runtime and the inventory must
/// outlive it. Single-threaded: called from the runtime's loop only.
class JobTable {
 public:
  JobTable(Runtime& runtime, MachineInventory& machines) : runtime_(runtime), machines_(machines) {}

  /// A new term, or the records are read again within one: empties the table. Versions go on above those of
  /// before. The owner clears the machine inventory with it.
  void reset(std::uint64_t fencing_token);

  /// Null when the job is not known.
  Job* find(const std::string& job_id);
  const Job* find(const std::string& job_id) const;
  /// All live jobs, by name.
  std::unordered_map<std::string, Job>& jobs() { return jobs_; }
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  /// Changed by `assign`, `release`, `finish_task` and `remove`: copy it to call them while iterating.
  const MachineAssignments& assignments_on(const Machine& machine) const;
  /// What each team's assignments use.
  const std::map<std::string, Resources>& teams() const { return teams_; }
  /// Rises whenever room is freed or work arrives: reasons to plan.
  std::uint64_t change_count() const { return change_count_; }
  /// Assignments found in the records that no report has shown or ended yet.
  std::size_t unconfirmed_count() const { return unconfirmed_count_; }
  /// Jobs that were added and removed.
  struct JobChanges {
    std::vector<std::string> added;      ///< names; some may have been removed again
    std::vector<std::uint64_t> removed;  ///< numbers (`Job::id`)
  };
  /// The changes since the last call; a caller that starts anew drops them.
  JobChanges take_job_changes() { return std::exchange(job_changes_, {}); }

  /// Adds a job, all of whose tasks wait unless it is cancelled; replaces one of the same name.
  Job& add(const std::string& job_id, records::JobRecord record, std::uint64_t mod_revision);
  /// The job is over: releases all that it has. It must be known.
  void remove(const std::string& job_id);
  /// Assigns the task, in place of an assignment that it may have.
  void assign(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt, TaskState state);
  /// Restores a block as it was found in the state service: it is not to be written again.
  void restore_block(Job& job, std::uint32_t block_number, std::uint64_t version,
                     const records::BlockRecord& record);
  /// The task is known to have left its machine, and is not done: it waits again. `lost`: the machine knows
  /// nothing of it any more, so that it may be started once more under the same attempt. `reason` is logged.
  void release(Job& job, std::uint32_t task, const char* reason, bool lost = false);
  /// Whether the gang still waits for its start, and lacks only tasks that it lost: they are to be started
  /// again under the same attempt, where the rest is.
  [[nodiscard]] static bool can_complete_gang(const Job& job);
  /// A gang's tasks share one attempt: stops the rest of it before the next one begins.
  void break_gang(Job& job);
  /// The task is done; no effect when it was before.
  void finish_task(Job& job, std::uint32_t task);
  /// No task of the job starts any more; those assigned are still to be stopped (`stop_job`).
  void cancel(Job& job);
  /// Marks all tasks of a job as stopping, and returns the commands for the machines that may have them. A
  /// gang's progress is saved only if all its tasks get theirs within a few seconds, so these commands do not
  /// wait for reports.
  [[nodiscard]] CommandsByMachine stop_job(Job& job, Micros grace_period);
  /// Marks the task as stopping; it has `grace_period` to save its progress.
  void stop_task(TaskAssignment& assignment, Micros grace_period);
  /// Changes the state of an assignment and keeps the counts that depend on it.
  void set_state(Job& job, TaskAssignment& assignment, TaskState state);
  /// The task waits for its image, unless its machine holds that.
  void begin_fetch(const Job& job, TaskAssignment& assignment);
  /// The task has its image, or has left the machine.
  void end_fetch(const Job& job, TaskAssignment& assignment);

  /// The blocks to be written, each with its job, in order.
  const std::map<WriteOrder, Job*>& unwritten() const { return unwritten_; }
  /// Jobs whose final state is due to be written.
  const std::set<std::string>& finished_jobs() const { return finished_jobs_; }
  /// The block is in the state service as of this version.
  void mark_written(Job& job, std::uint32_t block_number, std::uint64_t version);
  /// The block as a row of a shard's value.
  Value block_row(const Job& job, std::uint32_t block_number) const;

  /// Recomputes what is kept up step by step, and returns the first difference found, as a sentence; empty
  /// when there is none.
  [[nodiscard]] std::string disagreement() const;

 private:
  struct RecomputedTable;
  std::string job_disagreement(const Job& job, RecomputedTable& table) const;
  std::string block_disagreement(const Job& job, RecomputedTable& table) const;
  std::string total_disagreement(const RecomputedTable& table) const;
  void unassign(Job& job, std::uint32_t task);
  static void restore_done(Job& job, const RangeSet& done);
  void restore_assignment(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt,
                          std::uint64_t version);
  void mark_dirty(Job& job, std::uint32_t task, bool newly_assigned);
  void rank_block(Job& job, std::uint32_t block_number);
  void unrank_block(Job& job, std::uint32_t block_number);
  static WriteOrder write_order(const Job& job, std::uint32_t block_number);
  void check_finished(const Job& job);

  Runtime& runtime_;
  MachineInventory& machines_;
  std::uint64_t version_ = 0;             ///< version of the newest change
  std::uint64_t term_start_version_ = 0;  ///< versions above it are of this term
  std::uint64_t jobs_added_ = 0;
  std::uint64_t change_count_ = 0;
  std::size_t unconfirmed_count_ = 0;
  JobChanges job_changes_;
  std::unordered_map<std::string, Job> jobs_;
  std::unordered_map<const Machine*, MachineAssignments> by_machine_;
  std::map<std::string, Resources> teams_;
  std::map<WriteOrder, Job*> unwritten_;
  std::set<std::string> finished_jobs_;
};

}  // namespace wrenusher::job_table
