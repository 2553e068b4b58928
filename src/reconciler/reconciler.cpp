// How a worker's report changes the job table: tasks that it lists as present, tasks that it lists as exited,
// assignments that it does not list, and the eviction notice. Commands are derived in commands.cpp.
#include "wrenusher/reconciler/reconciler.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::reconciler {

using protocol::JobType;
using protocol::MachineType;
using protocol::task_name;
using protocol::TaskStatus;
using time::from_seconds;
using time::Instant;
using time::to_seconds;

namespace {

/// Time for which a failure counts against its machine.
constexpr Micros kFailureRetention = from_seconds(180);
/// A job that failed on this many machines is itself considered the cause.
constexpr std::size_t kMaxFailedHosts = 3;
/// A machine is considered the cause once this many jobs have failed on it and on no other machine.
constexpr int kFailingJobsToCordon = 2;
/// Time for which a job is not placed on a machine on which it failed.
constexpr Micros kAvoidMachineTime = from_seconds(60);
/// Pause of a job that fails on every machine. It doubles with each retry, from the minimum to the maximum.
constexpr Micros kMinJobPause = from_seconds(5);
constexpr Micros kMaxJobPause = from_seconds(60);
constexpr int kMaxPauseDoublings = 4;
/// Time for which a machine that refused a start for lack of room gets no new tasks.
constexpr Micros kNoRoomPause = from_seconds(3);
/// Minimum of the estimated remaining time of a running task.
constexpr Micros kMinRemaining = from_seconds(1);

/// The effect of a worker's exit reason on the assignment.
enum class ExitOutcome {
  done,           ///< the task has finished; a service never finishes
  failed,         ///< the task exited with an error, which counts as a failure of its job on the machine
  start_refused,  ///< the machine has no room, or is running the task already
  interrupted     ///< any other reason, not counted as a failure: the task is to be started again
};

ExitOutcome classify_exit(const std::string& reason) {
  if (reason == "done") return ExitOutcome::done;
  if (reason == "error") return ExitOutcome::failed;
  if (reason == "no_room" || reason == "in_use") return ExitOutcome::start_refused;
  return ExitOutcome::interrupted;
}

TaskState state_of(TaskStatus status) {
  switch (status) {
    case TaskStatus::fetching_image:
      return TaskState::fetching_image;
    case TaskStatus::waiting_for_gang:
      return TaskState::waiting_for_gang;
    case TaskStatus::checkpointing:
      return TaskState::checkpointing;
    default:
      return TaskState::running;
  }
}

}  // namespace

Reconciler::Result Reconciler::apply(const WorkerReport& report, bool token_accepted, bool worker_initiated) {
  Machine& machine = machines_.get_or_add(report.host);
  if (machine.incarnation != 0 && report.incarnation > machine.incarnation)
    log::info("machine_new_incarnation",
              "machine {machine} started incarnation {incarnation}; its earlier tasks no longer exist",
              log::with("machine", report.host), log::with("incarnation", report.incarnation));
  const bool was_usable = machine.usable();
  machines_.update_from_report(machine, report, token_accepted);
  Update update{machine, report, worker_initiated, ++report_count_, {}};
  update.result.usable_changed = machine.usable() != was_usable;
  const std::uint32_t assigned_before = machine.use.assignments;
  // Present tasks are applied before exited ones, so that a refused start does not hide an older attempt.
  apply_present(update);
  if (report.eviction_notice) apply_eviction_notice(update, *report.eviction_notice);
  apply_exited(update);
  apply_missing(update);
  update.result.tasks_released = machine.use.assignments < assigned_before;
  return std::move(update.result);
}

// ---------------------------------------------------------------- tasks on the machine

void Reconciler::apply_present(Update& update) {
  for (const TaskReport& task : update.report.tasks) {
    if (task.status == TaskStatus::exited) continue;
    Job* job = jobs_.find(task.job_id);
    if (job == nullptr || task.task >= job->spec().task_count || job->done.contains(task.task)) continue;
    if (!job->is_assigned(task.task, update.machine, task.attempt) &&
        !adopt_unassigned(*job, task, update.machine))
      continue;
    TaskAssignment& assignment = job->assignments.at(task.task);
    assignment.last_report_number = update.report_number;
    apply_task(*job, assignment, task);
    if (job->record.cancelled && !assignment.stopping) jobs_.stop_task(assignment, assignment.grace_period);
  }
}

/// Assigns a task that a machine lists without an assignment to that machine; otherwise the task could be
/// started a second time elsewhere. Returns false if the task has another assignment, or if the worker has
/// not accepted this term's token: the report may then be a delayed copy from before this term, and the task
/// may be gone.
bool Reconciler::adopt_unassigned(Job& job, const TaskReport& task, Machine& machine) {
  const auto it = job.assignments.find(task.task);
  if (it != job.assignments.end() &&
      (it->second.machine != &machine || it->second.state != TaskState::assigned))
    return false;
  if (!machine.token_accepted) return false;
  log::warn("task_adopted",
            "task {task} is on {machine} without an assignment; it is assigned to that machine",
            log::with("task", task_name(task.job_id, task.task)), log::with("machine", machine.name));
  jobs_.assign(job, task.task, machine, task.attempt, TaskState::recovered);
  return true;
}

/// Updates the state of an assigned task that a report lists on its machine.
void Reconciler::apply_task(Job& job, TaskAssignment& assignment, const TaskReport& task) {
  const TaskState state = state_of(task.status);
  const Instant now = runtime_.now();
  if (assignment.state == TaskState::assigned) ++confirmed_start_count_;
  if (state == TaskState::fetching_image && assignment.fetching_since == Instant{})
    assignment.fetching_since = now;
  if (state == TaskState::waiting_for_gang && assignment.gang_wait_since == Instant{})
    assignment.gang_wait_since = now;
  if (state == TaskState::fetching_image && !assignment.counted_as_fetching) {
    machines_.record_image_eviction(*assignment.machine, job.spec());
    jobs_.begin_fetch(job, assignment);
  } else if (state != TaskState::fetching_image && state != assignment.state) {
    if (state == TaskState::running) {
      assignment.running_since = now;
      record_start(job.spec(), task.task, assignment);
    }
    jobs_.end_fetch(job, assignment);
    machines_.record_image_use(*assignment.machine, job.spec());
  }
  jobs_.set_state(job, assignment, state);
}

/// Records the start latencies of a task that has just begun to run.
void Reconciler::record_start(const JobSpec& spec, std::uint32_t task, const TaskAssignment& assignment) {
  const Instant ready =
      assignment.gang_wait_since != Instant{} ? assignment.gang_wait_since : assignment.running_since;
  const Instant commanded = assignment.fetching_since != Instant{} ? assignment.fetching_since : ready;
  const Micros command_wait = commanded - assignment.assigned_at;
  const Micros fetch_wait = ready - commanded;
  const Micros gang_wait = assignment.running_since - ready;
  start_latency_.started(spec.job_class,
                         {command_wait, fetch_wait, gang_wait, assignment.fetching_since != Instant{}});
  log::debug("task_running",
             "task {task} runs on {machine}: waited {command_wait:.1f} s for the command, {fetch_wait:.1f} s "
             "for the image, {gang_wait:.1f} s for its gang",
             log::with("task", task_name(spec.job_id, task)), log::with("machine", assignment.machine->name),
             log::with("command_wait", to_seconds(command_wait)),
             log::with("fetch_wait", to_seconds(fetch_wait)), log::with("gang_wait", to_seconds(gang_wait)));
}

// ---------------------------------------------------------------- tasks that have ended

void Reconciler::apply_exited(Update& update) {
  for (const TaskReport& task : update.report.tasks) {
    if (task.status != TaskStatus::exited) continue;
    Job* job = jobs_.find(task.job_id);
    if (job == nullptr || task.task >= job->spec().task_count) continue;
    const bool assigned_here = job->is_assigned(task.task, update.machine, task.attempt);
    if (classify_exit(task.exit_reason) == ExitOutcome::done && job->spec().type != JobType::service) {
      finish_task(*job, task, update.machine, assigned_here);
    } else if (assigned_here && update.machine.token_accepted) {
      release_exited(*job, task, update);
    }
  }
}

void Reconciler::finish_task(Job& job, const TaskReport& task, const Machine& machine, bool assigned_here) {
  // The task has another assignment, since it was started again. That attempt also runs to its end once its
  // image has been fetched, and the capacity that it uses is freed only then.
  if (!assigned_here && job.assignments.contains(task.task)) return;
  if (assigned_here) {
    const TaskAssignment& assignment = job.assignments.at(task.task);
    if (assignment.state == TaskState::running && assignment.running_since != Instant{})
      estimator_.record_run(job.spec(), machine.name, runtime_.now() - assignment.running_since);
  }
  jobs_.finish_task(job, task.task);
}

/// Releases a task that ended without being done, so that it is started again.
void Reconciler::release_exited(Job& job, const TaskReport& task, Update& update) {
  const ExitOutcome outcome = classify_exit(task.exit_reason);
  if (outcome == ExitOutcome::failed) record_failure(job, task, update);
  if (outcome == ExitOutcome::start_refused) record_refused_start(update.machine, task);
  jobs_.release(job, task.task, task.exit_reason.c_str());
}

void Reconciler::record_refused_start(Machine& machine, const TaskReport& task) {
  machine.full_until = runtime_.now() + kNoRoomPause;
  machines_.mark_changed(machine);
  log::info("start_refused", "machine {machine} refused to start {task}: {reason}",
            log::with("machine", machine.name), log::with("task", task_name(task.job_id, task.task)),
            log::with("reason", task.exit_reason));
}

/// Records the failure of a task, and decides whether the job or the machine is considered its cause.
void Reconciler::record_failure(Job& job, const TaskReport& task, Update& update) {
  const Instant now = runtime_.now();
  Machine& machine = update.machine;
  log::info("task_failed", "task {task} failed on {machine}",
            log::with("task", task_name(task.job_id, task.task)), log::with("machine", machine.name));
  job.failed_hosts.insert(machine.name);
  job.avoided_machines[machine.name] = now + kAvoidMachineTime;
  if (job.failed_hosts.size() >= kMaxFailedHosts) {
    pause_failing_job(job);
    return;
  }
  machine.task_failures[task.job_id] = now;
  if (count_jobs_failing_only_on(machine) >= kFailingJobsToCordon && !machine.cordoned)
    update.result.machines_to_cordon.push_back(
        {machine.name, "tasks of several jobs failed only on this machine"});
}

/// Pauses a job that fails on every machine, so that none of these machines counts as the cause.
void Reconciler::pause_failing_job(Job& job) {
  const Micros pause =
      std::min(kMaxJobPause, kMinJobPause * (1 << std::min(job.retry_count, kMaxPauseDoublings)));
  ++job.retry_count;
  job.not_before = runtime_.now() + pause;
  job.failed_hosts.clear();
  job.avoided_machines.clear();
  log::warn("job_failing", "job {job} fails on every machine; the next attempt is in {seconds:.0f} s",
            log::with("job", job.spec().job_id), log::with("seconds", to_seconds(pause)));
}

/// Returns how many jobs failed on the machine recently and on no other machine.
int Reconciler::count_jobs_failing_only_on(const Machine& machine) const {
  int count = 0;
  for (const auto& [job_id, failed_at] : machine.task_failures) {
    const Job* job = jobs_.find(job_id);
    const bool elsewhere =
        job != nullptr && (job->failed_hosts.size() != 1 || !job->failed_hosts.contains(machine.name));
    if (runtime_.now() - failed_at < kFailureRetention && !elsewhere) ++count;
  }
  return count;
}

// ---------------------------------------------------------------- assignments that the report does not list

/// Releases the assignments that the report does not list. Until the worker has accepted this term's token,
/// the absence of a task proves nothing: the report may be a delayed copy, and after it was sent, a gang's
/// task may have been started on the machine again under the same attempt.
void Reconciler::apply_missing(const Update& update) {
  if (!update.machine.token_accepted) return;
  // The tasks are collected first because releasing one task of a gang may release others.
  std::vector<TaskRef> missing;
  for (const auto& [key, job] : jobs_.assignments_on(update.machine)) {
    const auto& [job_number, task] = key;
    if (job->assignments.at(task).last_report_number != update.report_number) missing.push_back({job, task});
  }
  for (const TaskRef& ref : missing) release_missing(*ref.job, ref.task, update);
}

void Reconciler::release_missing(Job& job, std::uint32_t task, const Update& update) {
  const auto it = job.assignments.find(task);
  if (it == job.assignments.end()) return;
  const TaskAssignment& assignment = it->second;
  switch (assignment.state) {
    case TaskState::assigned:
      // Starts are sent only in replies to reports that the worker sent by itself. A task whose start was
      // sent before such a report is either listed in it or will never start; a report in a reply to /orders
      // does not prove this.
      if (update.worker_initiated && (assignment.stopping || !update.machine.usable()))
        jobs_.release(job, task, "not started", true);
      break;
    case TaskState::recovered:
      // The task was assigned in an earlier term. A worker that has accepted this term's token rejects the
      // earlier leader's start, and this leader sends no start for such a task. So a report in a reply to
      // /orders is sufficient proof as well, unless a start was sent in this term before the records were
      // read again.
      if (update.worker_initiated || !assignment.start_in_flight)
        jobs_.release(job, task, "never started, or lost before this term", true);
      break;
    default:
      jobs_.release(job, task, "missing from its machine", true);
  }
}

// ---------------------------------------------------------------- eviction notice

/// Stops the tasks that cannot finish before the machine is evicted, `time_left` from now. They are stopped
/// at once, so that they can save a checkpoint or start early on another machine.
void Reconciler::apply_eviction_notice(Update& update, Micros time_left) {
  machines_.advance_fetches(update.machine);
  for (const auto& [key, job] : jobs_.assignments_on(update.machine)) {
    const auto& [job_number, task] = key;
    const TaskAssignment& assignment = job->assignments.at(task);
    if (assignment.stopping || assignment.state == TaskState::assigned ||
        assignment.state == TaskState::recovered)
      continue;
    const JobSpec& spec = job->spec();
    if (spec.type == JobType::array && estimate_remaining(spec, assignment) < time_left) continue;
    const Micros grace_period =
        spec.has_checkpoints() ? std::max(spec.checkpoint_time, time_left / 2) : Micros{0};
    stop_before_eviction({job, task}, grace_period, update.result);
  }
}

/// Returns the time that the task still needs on its machine, including the fetch of its image.
Micros Reconciler::estimate_remaining(const JobSpec& spec, const TaskAssignment& assignment) const {
  const Micros run_time = estimator_.estimate(spec);
  if (assignment.state == TaskState::running)
    return std::max(kMinRemaining, run_time - (runtime_.now() - assignment.running_since));
  const Machine& machine = *assignment.machine;
  const MachineType* machine_type = machines_.type_of(machine);
  if (machine_type == nullptr) return run_time;
  return run_time + placement::fetch_time(machines_.to_plan_machine(machine, *machine_type), spec);
}

void Reconciler::stop_before_eviction(const TaskRef& ref, Micros grace_period, Result& result) {
  TaskAssignment& assignment = ref.job->assignments.at(ref.task);
  const JobSpec& spec = ref.job->spec();
  if (spec.type == JobType::gang) {
    for (auto& [host, commands] : jobs_.stop_job(*ref.job, grace_period))
      result.stops.push_back({host, std::move(commands)});
  } else {
    jobs_.stop_task(assignment, grace_period);
  }
  log::debug("task_evicted", "task {task} is stopped on {machine} ahead of the machine's eviction",
             log::with("task", task_name(spec.job_id, ref.task)),
             log::with("machine", assignment.machine->name));
}

}  // namespace wrenusher::reconciler
