#pragma once
/// @file
/// Package job_table: the live jobs and the assignments of their tasks. A block is a range of a job's tasks
/// that is written to the state service (the key-value store of the controllers) as a unit.
///
/// The package owns the state of every task (waiting, assigned or done), the resource usage of each team, and
/// the list of the blocks that have changes which the state service does not have yet, in write order. Every
/// change of an assignment goes through this package, so that the counts of machines and teams always match
/// the assignments.
///
/// Invariants, verified by `disagreement`: a task of a job that is not cancelled is either waiting, assigned
/// or done; a block is due for writing exactly when its version is above its committed version.
///
/// It may depend on time, value, runtime, protocol, records and machine_inventory.

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

/// The state of an assigned task according to the reports of its machine.
enum class TaskState {
  assigned,          ///< assigned in this term, not listed in a report yet
  recovered,         ///< read from the state service at failover, not listed in a report yet
  fetching_image,    ///< its machine is fetching the image
  waiting_for_gang,  ///< ready to run, waits for the other tasks of its gang
  running,
  checkpointing  ///< saving its progress before it stops
};

/// A task's assignment to a machine.
struct TaskAssignment {
  Machine* machine = nullptr;  ///< never null; owned by the machine inventory
  std::uint64_t attempt = 0;
  std::uint64_t version = 0;  ///< version of the change that made it; 0: read from the state service
  TaskState state = TaskState::assigned;
  Instant assigned_at{};
  Instant fetching_since{};   ///< time of the first report in which it was fetching its image
  Instant gang_wait_since{};  ///< time of the first report in which it was waiting for its gang
  Instant running_since{};    ///< time of the first report in which it was running
  /// The assignment was read from the state service but had been written in this term (the records were read
  /// again within the term): the command to start the task may still be in flight.
  bool start_in_flight = false;
  bool stopping = false;                 ///< a stop has been requested
  Micros grace_period{};                 ///< time that a stopping task has to save its progress
  std::uint64_t last_report_number = 0;  ///< number of the last report that listed the task
  bool counted_as_fetching = false;      ///< counted among the tasks that wait for their image
};

/// A range of a job's tasks that is written as a unit. Versions number the changes of the job table.
struct Block {
  std::uint64_t version = 0;            ///< version of the last change in memory
  std::uint64_t assigned_version = 0;   ///< version of the last new assignment
  std::uint64_t committed_version = 0;  ///< changes up to this one are in the state service
  std::uint64_t dirty_since = 0;        ///< version of the first unwritten change; 0: nothing to write
  int write_rank = 0;                   ///< see `WriteOrder::rank`
};

/// A live job. Owned by the job table, which keeps its assignments, blocks, `done` and `waiting` consistent;
/// the retry fields at the end are written by the reconciler and the scheduling cycle.
struct Job {
  /// Number of the job in this table, in the order of addition; not the job id that users see
  /// (`spec().job_id`). Containers are ordered by it, so that runs are reproducible.
  std::uint64_t id = 0;
  records::JobRecord record;
  /// Revision of the job's root record (`job/<id>`); a condition of the writes that assign its tasks.
  std::uint64_t mod_revision = 0;
  std::vector<Block> blocks;                                ///< by block number
  RangeSet done;                                            ///< tasks that have completed
  RangeSet waiting;                                         ///< tasks that are neither assigned nor done
  std::map<std::uint32_t, TaskAssignment> assignments;      ///< by task
  std::map<std::uint32_t, std::uint64_t> uncommitted_done;  ///< done but not committed: task -> version
  std::uint64_t last_attempt = 0;                           ///< the highest attempt of any of its tasks
  bool needs_refresh = false;   ///< the root record must be read before the next write
  bool attempt_failed = false;  ///< gang: the attempt has failed, its tasks are being stopped
  bool gang_started = false;    ///< gang: a report has listed a task of the attempt as running
  Instant incomplete_since{};   ///< gang: when a task was lost before the gang started; 0: none is missing
  std::map<std::string, Instant> avoided_machines;  ///< host -> time before which it gets no task of this job
  std::set<std::string> failed_hosts;               ///< hosts where a task failed since the last retry pause
  Instant not_before{};                             ///< no task is assigned before this time
  Instant near_image_until{};  ///< until then a service is placed only on machines that have its image
  int retry_count = 0;         ///< pauses after failures on several hosts; each is longer than the one before
  std::uint64_t change_count = 0;  ///< rises with every change of `waiting`, `assignments` or `done`

  const JobSpec& spec() const { return record.spec; }
  std::uint32_t block_of(std::uint32_t task) const { return task / record.tasks_per_block; }
  /// Returns whether the change of the task with this version is in the state service.
  bool committed(std::uint32_t task, std::uint64_t version) const {
    return version <= blocks[block_of(task)].committed_version;
  }
  /// Returns whether the task is assigned to this machine under this attempt.
  bool is_assigned(std::uint32_t task, const Machine& machine, std::uint64_t attempt) const;
};

/// Write rank of blocks without new assignments (progress). Blocks with new assignments have their job's
/// priority as their rank, which is a lower number, so they are written earlier.
inline constexpr int kProgressRank = 4;
/// Sort key of the unwritten blocks, compared field by field in this order.
struct WriteOrder {
  int rank = 0;                   ///< the job's priority, or `kProgressRank` without new assignments
  std::uint64_t dirty_since = 0;  ///< version of the first unwritten change
  std::uint64_t job_number = 0;   ///< `Job::id`, not `JobSpec::job_id`
  std::uint32_t block = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted comparison
  auto operator<=>(const WriteOrder&) const = default;
};
/// The task that an assignment is for; the key of the map of one machine's assignments.
struct AssignmentKey {
  std::uint64_t job_number = 0;  ///< `Job::id`, not `JobSpec::job_id`
  std::uint32_t task = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted comparison
  auto operator<=>(const AssignmentKey&) const = default;
};
/// Commands by host.
using CommandsByMachine = std::map<std::string, std::vector<WorkerCommand>>;
/// The assignments on a machine, each with its job, which is never null.
using MachineAssignments = std::map<AssignmentKey, Job*>;

/// The live jobs and the assignments of their tasks. Owns the jobs; references and pointers to a job stay
/// valid until it is removed, replaced by `add`, or the table is reset. The runtime and the inventory must
/// outlive it. Single-threaded: called from the runtime's loop only.
class JobTable {
 public:
  JobTable(Runtime& runtime, MachineInventory& machines) : runtime_(runtime), machines_(machines) {}

  /// Empties the table at the start of a term, or when the records are read again within one. Versions
  /// continue above the earlier ones. The caller clears the machine inventory as well.
  void reset(std::uint64_t fencing_token);

  /// Returns the job, or null if the table does not contain it.
  Job* find(const std::string& job_id);
  const Job* find(const std::string& job_id) const;
  /// Returns all live jobs, by job id.
  std::unordered_map<std::string, Job>& jobs() { return jobs_; }
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  /// Returns the assignments on a machine. `assign`, `release`, `finish_task` and `remove` change them: copy
  /// them to call these functions while iterating.
  const MachineAssignments& assignments_on(const Machine& machine) const;
  /// Returns the resources that the assignments of each team use.
  const std::map<std::string, Resources>& team_usage() const { return team_usage_; }
  /// Returns a counter that rises whenever capacity is freed or work arrives, that is, when a new plan may
  /// place more tasks.
  std::uint64_t change_count() const { return change_count_; }
  /// Returns the number of assignments that were read from the state service and that no worker's report has
  /// confirmed or ended yet.
  std::size_t unconfirmed_count() const { return unconfirmed_count_; }
  /// Jobs that were added and removed.
  struct JobChanges {
    std::vector<std::string> added;      ///< job ids; some of the jobs may have been removed again
    std::vector<std::uint64_t> removed;  ///< job numbers (`Job::id`)
  };
  /// Returns the changes since the last call and clears them. A caller that has just rebuilt its state from
  /// `jobs` calls this too, and ignores the result.
  JobChanges take_job_changes() { return std::exchange(job_changes_, {}); }

  /// Adds a job, or replaces the one with the same id. All of its tasks are waiting unless it is cancelled.
  Job& add(const std::string& job_id, records::JobRecord record, std::uint64_t mod_revision);
  /// Removes a job and all its assignments. The table must contain it.
  void remove(const std::string& job_id);
  /// Assigns the task to a machine, and replaces its previous assignment if it has one.
  void assign(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt, TaskState state);
  /// Restores a block that was read from the state service; it does not become due for writing.
  void restore_block(Job& job, std::uint32_t block_number, std::uint64_t version,
                     const records::BlockRecord& record);
  /// Removes the assignment of a task that has left its machine without being done; the task waits again.
  /// `lost`: the machine does not list the task any more, so it may be started again under the same attempt.
  /// `reason` is logged.
  void release(Job& job, std::uint32_t task, const char* reason, bool lost = false);
  /// Returns whether lost tasks of the gang can be replaced: the gang has not started, and its other tasks
  /// still wait for it. The replacements start under the same attempt.
  [[nodiscard]] static bool can_replace_lost_tasks(const Job& job);
  /// Ends the gang's attempt: stops its remaining tasks, since all tasks of a gang share one attempt and the
  /// next attempt can begin only after them.
  void abort_gang_attempt(Job& job);
  /// Marks the task as done, and with a gang's task all tasks of the gang; no effect if it is done already.
  void finish_task(Job& job, std::uint32_t task);
  /// Marks the job as cancelled, so that no more of its tasks start. The caller stops the assigned ones with
  /// `stop_job`.
  void cancel(Job& job);
  /// Marks all tasks of a job as stopping, and returns the stop commands for the machines on which the tasks
  /// may be. The caller sends them at once instead of with the replies to the next reports: a gang's progress
  /// is saved only if all its tasks get the command within a few seconds.
  [[nodiscard]] CommandsByMachine stop_job(Job& job, Micros grace_period);
  /// Marks the task as stopping, with `grace_period` to save its progress.
  void stop_task(TaskAssignment& assignment, Micros grace_period);
  /// Changes the state of an assignment and updates the counts that depend on it.
  void set_state(Job& job, TaskAssignment& assignment, TaskState state);
  /// Counts the task among those that wait for their image, unless its machine has the image.
  void begin_fetch(const Job& job, TaskAssignment& assignment);
  /// Ends the count of `begin_fetch`: the task has its image, or has left the machine.
  void end_fetch(const Job& job, TaskAssignment& assignment);

  /// Returns the blocks due for writing, each with its job, in write order.
  const std::map<WriteOrder, Job*>& unwritten_blocks() const { return unwritten_blocks_; }
  /// Returns the jobs whose final state is due for writing.
  const std::set<std::string>& finished_jobs() const { return finished_jobs_; }
  /// Records that the state service has the block's changes up to this version.
  void mark_written(Job& job, std::uint32_t block_number, std::uint64_t version);
  /// Returns the block as a row of a shard. A shard is a value in the state service that holds the blocks of
  /// many jobs, one row each.
  Value block_row(const Job& job, std::uint32_t block_number) const;

  /// Recomputes the incrementally updated state from the jobs, and returns the first difference found, as a
  /// sentence; empty when there is none.
  [[nodiscard]] std::string disagreement() const;

 private:
  struct RecomputedTable;
  std::string job_disagreement(const Job& job, RecomputedTable& table) const;
  std::string block_disagreement(const Job& job, RecomputedTable& table) const;
  std::string total_disagreement(const RecomputedTable& table) const;
  void unassign(Job& job, std::uint32_t task);
  void mark_done(Job& job, std::uint32_t task);
  static void restore_done(Job& job, const RangeSet& done);
  void restore_assignment(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt,
                          std::uint64_t version);
  void mark_dirty(Job& job, std::uint32_t task, bool newly_assigned);
  void update_write_order(Job& job, std::uint32_t block_number);
  void remove_from_write_order(Job& job, std::uint32_t block_number);
  static WriteOrder write_order(const Job& job, std::uint32_t block_number);
  void update_finished(const Job& job);

  Runtime& runtime_;
  MachineInventory& machines_;
  std::uint64_t version_ = 0;             ///< version of the newest change
  std::uint64_t term_start_version_ = 0;  ///< changes of this term have higher versions
  std::uint64_t jobs_added_ = 0;
  std::uint64_t change_count_ = 0;
  std::size_t unconfirmed_count_ = 0;
  JobChanges job_changes_;
  std::unordered_map<std::string, Job> jobs_;
  std::unordered_map<const Machine*, MachineAssignments> assignments_by_machine_;
  std::map<std::string, Resources> team_usage_;
  std::map<WriteOrder, Job*> unwritten_blocks_;
  std::set<std::string> finished_jobs_;
};

}  // namespace wrenusher::job_table
