#pragma once
// Package job_table: the book of live jobs and their claims. It owns which task of a job waits, is claimed
// (and on which machine, in which state) or is done, what each team uses, and which stretches of which jobs
// differ from the store, in the order in which they are to be written. Invariant: a task of a job that is not
// withdrawn is in exactly one of the three, and a stretch is due exactly when its version is above the
// committed one (`disagreement` compares). Every change of a claim goes through here, so that machines and
// teams never differ from the claims. It may depend on base, protocol, records and machines.

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wrenusher/machine_inventory/machine_inventory.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/value/range_set.hpp"

namespace wrenusher::job_table {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;
using machine_inventory::Machine;
using machine_inventory::MachineInventory;

enum class TaskState {
  assigned,   ///< claimed in this term, not yet shown by a report
  recovered,  ///< found in the record at takeover, not yet shown by a report
  fetching_image,
  waiting_for_gang,
  running,
  checkpointing
};

struct TaskAssignment {
  Machine* machine = nullptr;
  std::uint64_t attempt = 0;
  std::uint64_t version = 0;  ///< of the change that made it; 0: found in the store
  TaskState state = TaskState::assigned;
  Instant assigned_at{};
  Instant fetching_since{};
  Instant gang_wait_since{};
  Instant running_since{};
  bool start_in_flight = false;  ///< found, but written in this term: the order to run it may be on its way
  bool stopping = false;
  Micros grace_period{};
  std::uint64_t last_shown = 0;      ///< the last report that listed it
  bool counted_as_fetching = false;  ///< counted among those that wait for their image
};

/// A stretch of a job's tasks, written as a whole.
struct Block {
  std::uint64_t version = 0;            ///< of the last change in memory
  std::uint64_t assigned_version = 0;   ///< of the last new claim
  std::uint64_t committed_version = 0;  ///< changes up to this one are in the store
  std::uint64_t dirty_since = 0;        ///< 0: nothing to write
  int write_rank = 0;
};

struct Job {
  std::uint64_t id = 0;  ///< rises with every job that is taken up, so that orders by it repeat
  records::JobRecord record;
  std::uint64_t mod_revision = 0;
  std::vector<Block> blocks;
  RangeSet done;
  RangeSet waiting;
  std::map<std::uint32_t, TaskAssignment> assignments;
  std::map<std::uint32_t, std::uint64_t> uncommitted_done;  ///< done, not yet committed: task -> version
  std::uint64_t last_attempt = 0;
  bool needs_refresh = false;   ///< the store must be read before the next write
  bool attempt_broken = false;  ///< gang: the attempt is over, its tasks are being cleared away
  bool gang_started = false;    ///< gang: a report has shown a task of the attempt run
  Instant incomplete_since{};   ///< gang: a task was lost before the start, and its place is to be filled
  std::map<std::string, Instant> avoided_machines;
  std::set<std::string> error_hosts;
  Instant not_before{};
  Instant near_image_until{};  ///< a service waits so long for room to be made where its image is
  int retry_count = 0;
  std::uint64_t change_count = 0;  ///< rises with what waits, is claimed or done

  const JobSpec& spec() const { return record.spec; }
  std::uint32_t block_of(std::uint32_t task) const { return task / record.tasks_per_block; }
  /// Whether the claim or end of the task that `version` made is in the store.
  bool committed(std::uint32_t task, std::uint64_t version) const {
    return version <= blocks[block_of(task)].committed_version;
  }
  /// Whether the claim for this task stands on this machine under this attempt.
  bool is_assigned(std::uint32_t task, const Machine& machine, std::uint64_t attempt) const;
};

/// Blocks with new claims are ranked by their job's urgency, before this; the rest is progress.
inline constexpr int kProgressRank = 4;
/// Where a block stands in the order of writing: rank, since when, job, block.
using WriteOrder = std::tuple<int, std::uint64_t, std::uint64_t, std::uint32_t>;
/// Orders by machine.
using CommandsByMachine = std::map<std::string, std::vector<WorkerCommand>>;
/// The claims on a machine: (job id, task) -> job.
using MachineAssignments = std::map<std::pair<std::uint64_t, std::uint32_t>, Job*>;

class JobTable {
 public:
  JobTable(Runtime& runtime, MachineInventory& machines) : runtime_(runtime), machines_(machines) {}

  /// A new term, or the records are read anew within one: an empty book, whose versions are above those of
  /// before. The machines are to be cleared with it.
  void begin(std::uint64_t fencing_token);

  /// Null when it is not known.
  Job* find(const std::string& job_id);
  const Job* find(const std::string& job_id) const;
  std::unordered_map<std::string, Job>& jobs() { return jobs_; }
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  const MachineAssignments& assignments_on(const Machine& machine) const;
  /// What each team's claims use.
  const std::map<std::string, Resources>& teams() const { return teams_; }
  /// Rises whenever room is freed or work arrives: reasons to plan.
  std::uint64_t change_count() const { return change_count_; }
  /// Claims found in the record that no report has shown or ended yet.
  std::size_t unconfirmed_count() const { return unconfirmed_count_; }
  /// Jobs that were taken up and dropped since the last call.
  struct JobChanges {
    std::vector<std::string> added;      ///< names; some may be dropped again
    std::vector<std::uint64_t> removed;  ///< ids
  };
  JobChanges take_job_changes() { return std::exchange(job_changes_, {}); }

  Job& add(const std::string& job_id, records::JobRecord rec, std::uint64_t mod_revision);
  /// The job is over: nothing of it stays booked or remembered.
  void remove(const std::string& job_id);
  void assign(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt, TaskState state);
  /// A block as it was found in the store: not to be written again.
  void restore_block(Job& job, std::uint32_t n, std::uint64_t version, const records::BlockRecord& record);
  /// The task is proven to be off its machine and is not done. `lost`: the machine knows nothing of it any
  /// more, so that it may be started once more under the same attempt.
  void release(Job& job, std::uint32_t task, const char* why, bool lost = false);
  /// Whether the gang still waits for its start, and only for tasks that it lost: they are to be started
  /// again under the same attempt, where the rest is.
  static bool can_complete_gang(const Job& job);
  /// A gang's tasks share one attempt: the rest of it is cleared away before the next one.
  void break_gang(Job& job);
  void finish_task(Job& job, std::uint32_t task);
  /// Nothing of the job starts any more; what there is of it is still to be halted.
  void cancel(Job& job);
  /// Stops all tasks of a job at once; tells what to send to those whose machines may have them. A gang's
  /// progress is saved only if all of them are told within a few seconds, so these orders do not wait for
  /// reports.
  CommandsByMachine stop_job(Job& job, Micros grace_period);
  /// The task is to stop, and has so long to save.
  void stop_task(TaskAssignment& assignment, Micros grace_period);
  /// Keeps count of what is in use.
  void set_state(Job& job, TaskAssignment& assignment, TaskState state);
  /// The task waits for its image, unless that is there.
  void begin_fetch(const Job& job, TaskAssignment& assignment);
  /// It has its image, or is gone.
  void end_fetch(const Job& job, TaskAssignment& assignment);

  /// What is to be written, in order.
  const std::map<WriteOrder, Job*>& unwritten() const { return unwritten_; }
  /// Jobs whose final state is due to be written.
  const std::set<std::string>& finished_jobs() const { return finished_jobs_; }
  /// The block is in the store as of this version.
  void mark_written(Job& job, std::uint32_t n, std::uint64_t version);
  /// The block as a row of a value in the store.
  Value block_row(const Job& job, std::uint32_t n) const;

  /// Reckons anew what is kept up step by step, and says what differs; empty when nothing does.
  std::string disagreement() const;

 private:
  void unassign(Job& job, std::uint32_t task);
  void mark_dirty(Job& job, std::uint32_t task, bool claimed);
  void rank_block(Job& job, std::uint32_t n);
  void unrank_block(Job& job, std::uint32_t n);
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
