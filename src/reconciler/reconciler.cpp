#include "wrenusher/reconciler/reconciler.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::reconciler {

namespace {

constexpr Micros kErrorMemory = from_seconds(180);
constexpr std::size_t kErrorHosts = 3;
constexpr Micros kNoRoomPause = from_seconds(3);

}  // namespace

Reconciler::Result Reconciler::apply(const WorkerReport& report, bool current, bool settled) {
  Machine& machine = machines_.get_or_add(report.host);
  if (machine.incarnation != 0 && report.incarnation > machine.incarnation)
    log::info("machine_tenure", "machine {machine} began tenure {tenure}: its tasks are gone",
              log::with("machine", report.host), log::with("tenure", report.incarnation));
  const bool was_usable = machine.usable();
  machines_.update_from_report(machine, report, current);
  Result out;
  out.usable_changed = machine.usable() != was_usable;
  const std::uint64_t mark = ++report_count_;
  const std::uint32_t before = machine.use.assignments;
  // First what is on the machine, then what has left it: a refused start must not hide an older attempt.
  apply_present(machine, report, mark);
  if (report.eviction_notice) apply_eviction_notice(machine, *report.eviction_notice, out);
  apply_exited(machine, report, out);
  apply_missing(machine, settled, mark);
  out.tasks_left = machine.use.assignments < before;
  return out;
}

void Reconciler::apply_present(Machine& machine, const WorkerReport& report, std::uint64_t mark) {
  for (const TaskReport& task : report.tasks) {
    if (task.status == TaskStatus::exited) continue;
    Job* job = book_.find(task.job_id);
    if (job == nullptr || task.task >= job->spec().task_count || job->done.contains(task.task)) continue;
    if (!job->is_assigned(task.task, machine, task.attempt)) {
      const auto it = job->assignments.find(task.task);
      if (it != job->assignments.end() &&
          (it->second.machine != &machine || it->second.state != TaskState::assigned))
        continue;
      // No claim stands for it, yet it is here: what is on a machine must be booked, or it could be started a
      // second time elsewhere. A report of before this term may be a copy that comes late, of what has long
      // left; the machine's first word under this term tells.
      if (!machine.token_accepted) continue;
      log::warn("task_adopted", "task {task} is on {machine} without a claim: adopted",
                log::with("task", task_name(task.job_id, task.task)), log::with("machine", report.host));
      book_.assign(*job, task.task, machine, task.attempt, TaskState::recovered);
    }
    TaskAssignment& assignment = job->assignments.at(task.task);
    assignment.last_shown = mark;
    apply_task(*job, assignment, machine, task);
    if (job->record.cancelled && !assignment.stopping) book_.stop_task(assignment, assignment.grace_period);
  }
}

void Reconciler::apply_exited(Machine& machine, const WorkerReport& report, Result& out) {
  for (const TaskReport& task : report.tasks) {
    if (task.status != TaskStatus::exited) continue;
    Job* job = book_.find(task.job_id);
    if (job == nullptr || task.task >= job->spec().task_count) continue;
    const bool holds = job->is_assigned(task.task, machine, task.attempt);
    if (task.exit_reason == "done" && job->spec().type != JobType::service) {
      // It has been started once more elsewhere: there it ends as soon as it has its image, and that it has
      // ended there is what frees the place.
      if (!holds && job->assignments.contains(task.task)) continue;
      if (holds) {
        const TaskAssignment& assignment = job->assignments.at(task.task);
        if (assignment.state == TaskState::running && assignment.running_since != Instant{})
          estimator_.record_run(job->spec(), report.host, runtime_.now() - assignment.running_since);
      }
      book_.finish_task(*job, task.task);
    } else if (holds && machine.token_accepted) {
      if (task.exit_reason == "error") fail_task(*job, machine, task, out);
      if (task.exit_reason == "no_room" || task.exit_reason == "in_use") {
        machine.full_until = runtime_.now() + kNoRoomPause;
        machines_.mark_changed(machine);
        log::info("start_refused", "machine {machine} refused {task}: {reason}",
                  log::with("machine", report.host), log::with("task", task_name(task.job_id, task.task)),
                  log::with("reason", task.exit_reason));
      }
      book_.release(*job, task.task, task.exit_reason.c_str());
    }
  }
}

/// Claims that the report does not show. A report of before this term may be a copy that comes late, and a
/// gang's task may have come back under the same attempt since: like what it says has ended, what it does not
/// show proves nothing.
void Reconciler::apply_missing(Machine& machine, bool settled, std::uint64_t mark) {
  if (!machine.token_accepted) return;
  std::vector<std::pair<Job*, std::uint32_t>> missing;
  for (const auto& [id, job] : book_.assignments_on(machine)) {
    if (job->assignments.at(id.task).last_shown != mark) missing.emplace_back(job, id.task);
  }
  for (const auto& [job, task] : missing) {
    const auto it = job->assignments.find(task);
    if (it == job->assignments.end()) continue;
    const TaskAssignment& assignment = it->second;
    if (assignment.state == TaskState::assigned) {
      // Starts go out in responses to reports alone, so this report settles every earlier one; the answer to
      // /orders does not.
      if (settled && (assignment.stopping || !machine.usable()))
        book_.release(*job, task, "not started", true);
    } else if (assignment.state == TaskState::recovered) {
      // Claimed under an earlier term: only a worker that has taken this term's epoch cannot be told to start
      // it any more. This leader never orders it either, so its answer to /orders settles it as well, unless
      // it was ordered before the records were read anew.
      if (settled || !assignment.start_in_flight)
        book_.release(*job, task, "never started, or lost before this term", true);
    } else {
      book_.release(*job, task, "gone from its machine", true);
    }
  }
}

/// A report shows the claimed task on its machine.
void Reconciler::apply_task(Job& job, TaskAssignment& assignment, Machine& machine, const TaskReport& task) {
  const TaskState state = task.status == TaskStatus::fetching_image     ? TaskState::fetching_image
                          : task.status == TaskStatus::waiting_for_gang ? TaskState::waiting_for_gang
                          : task.status == TaskStatus::checkpointing    ? TaskState::checkpointing
                                                                        : TaskState::running;
  const Instant now = runtime_.now();
  if (assignment.state == TaskState::assigned) ++shown_starts_;
  if (state == TaskState::fetching_image && assignment.fetching_since == Instant{})
    assignment.fetching_since = now;
  if (state == TaskState::waiting_for_gang && assignment.gang_wait_since == Instant{})
    assignment.gang_wait_since = now;
  if (state == TaskState::fetching_image && !assignment.counted_as_fetching) {
    machines_.record_image_eviction(machine, job.spec());
    book_.begin_fetch(job, assignment);
  } else if (state != TaskState::fetching_image && state != assignment.state) {
    if (state == TaskState::running) {
      assignment.running_since = now;
      record_start(job.spec(), task.task, assignment);
    }
    book_.end_fetch(job, assignment);
    machines_.record_image_use(machine, job.spec());
  }
  book_.set_state(job, assignment, state);
}

void Reconciler::record_start(const JobSpec& spec, std::uint32_t task, const TaskAssignment& assignment) {
  const Instant ready =
      assignment.gang_wait_since != Instant{} ? assignment.gang_wait_since : assignment.running_since;
  const Instant ordered = assignment.fetching_since != Instant{} ? assignment.fetching_since : ready;
  waits_.started(spec.job_class, {ordered - assignment.assigned_at, ready - ordered,
                                  assignment.running_since - ready, assignment.fetching_since != Instant{}});
  log::debug(
      "task_runs",
      "task {task} runs on {machine}: order {order:.1f} s, fetch {fetch:.1f} s, gathered {gathered:.1f} s",
      log::with("task", task_name(spec.job_id, task)), log::with("machine", assignment.machine->name),
      log::with("order", to_seconds(ordered - assignment.assigned_at)),
      log::with("fetch", to_seconds(ready - ordered)),
      log::with("gathered", to_seconds(assignment.running_since - ready)));
}

void Reconciler::fail_task(Job& job, Machine& machine, const TaskReport& task, Result& out) {
  const Instant now = runtime_.now();
  const std::string& host = machine.name;
  const std::string& job_id = job.spec().job_id;
  log::info("task_failed", "task {task} failed on {machine}", log::with("task", task_name(job_id, task.task)),
            log::with("machine", host));
  job.error_hosts.insert(host);
  job.avoided_machines[host] = now + from_seconds(60);
  if (job.error_hosts.size() >= kErrorHosts) {
    // It fails wherever it is put: the job is to blame, not the machines.
    const Micros pause = std::min(from_seconds(60), from_seconds(5) * (1 << std::min(job.retry_count, 4)));
    ++job.retry_count;
    job.not_before = now + pause;
    job.error_hosts.clear();
    job.avoided_machines.clear();
    log::warn("job_fails", "job {job} fails on every machine, next try in {seconds:.0f} s",
              log::with("job", job_id), log::with("seconds", to_seconds(pause)));
    return;
  }
  machine.errors[job_id] = now;
  int only_here = 0;
  for (const auto& [id, at] : machine.errors) {
    const Job* other = book_.find(id);
    const bool elsewhere =
        other != nullptr && (other->error_hosts.size() != 1 || !other->error_hosts.contains(host));
    if (now - at < kErrorMemory && !elsewhere) ++only_here;
  }
  if (only_here >= 2 && !machine.cordoned)
    out.suspects.push_back({host, "tasks of several jobs failed on it"});
}

/// The machine will be taken away: what cannot finish in time is stopped now, so that it can save or start
/// again elsewhere early.
void Reconciler::apply_eviction_notice(Machine& machine, Micros left, Result& out) {
  machines_.advance_fetches(machine);
  for (const auto& [id, job] : book_.assignments_on(machine)) {
    const std::uint32_t task = id.task;
    TaskAssignment& assignment = job->assignments.at(task);
    if (assignment.stopping || assignment.state == TaskState::assigned ||
        assignment.state == TaskState::recovered)
      continue;
    const JobSpec& spec = job->spec();
    Micros remaining = estimator_.estimate(spec);
    if (assignment.state == TaskState::running) {
      remaining = std::max(from_seconds(1), remaining - (runtime_.now() - assignment.running_since));
    } else if (const MachineType* machine_type = machines_.type_of(machine)) {
      remaining += placement::fetch_time(machines_.to_plan_machine(machine, *machine_type), spec);
    }
    if (spec.type == JobType::array && remaining < left) continue;
    const Micros grace_period = spec.has_checkpoints() ? std::max(spec.checkpoint_time, left / 2) : Micros{0};
    if (spec.type == JobType::gang) {
      for (auto& [host, list] : book_.stop_job(*job, grace_period))
        out.stops.push_back({host, std::move(list)});
    } else {
      book_.stop_task(assignment, grace_period);
    }
    log::debug("task_leaves", "task {task} leaves {machine} before it is taken",
               log::with("task", task_name(spec.job_id, task)), log::with("machine", machine.name));
  }
}

std::vector<WorkerCommand> Reconciler::commands_for(const Machine& machine,
                                                    const WorkerReport& report) const {
  std::vector<WorkerCommand> commands;
  for (const TaskReport& task : report.tasks) {
    const Job* job = book_.find(task.job_id);
    if (task.status == TaskStatus::exited) {
      // Until `done` is committed the worker must go on telling it.
      if (job != nullptr && job->uncommitted_done.contains(task.task)) continue;
      if (job != nullptr && job->is_assigned(task.task, machine, task.attempt)) continue;
      commands.push_back({WorkerCommand::Verb::forget, task.job_id, task.task, task.attempt, Micros{0}});
    } else if (job == nullptr || !job->is_assigned(task.task, machine, task.attempt)) {
      commands.push_back({WorkerCommand::Verb::stop, task.job_id, task.task, task.attempt, Micros{0}});
    } else if (const TaskAssignment& assignment = job->assignments.at(task.task);
               assignment.stopping &&
               (assignment.state != TaskState::checkpointing || assignment.grace_period.count() == 0)) {
      commands.push_back(
          {WorkerCommand::Verb::stop, task.job_id, task.task, task.attempt, assignment.grace_period});
    }
  }
  if (!machine.usable()) return commands;
  for (const auto& [id, job] : book_.assignments_on(machine)) {
    const std::uint32_t task = id.task;
    const TaskAssignment& assignment = job->assignments.at(task);
    if (assignment.state != TaskState::assigned || assignment.stopping ||
        !job->committed(task, assignment.version))
      continue;
    commands.push_back({WorkerCommand::Verb::start, job->spec().job_id, task, assignment.attempt, Micros{0}});
  }
  return commands;
}

bool Reconciler::awaits_commit(const Machine& machine, const WorkerReport& report) const {
  for (const auto& [id, job] : book_.assignments_on(machine)) {
    const TaskAssignment& assignment = job->assignments.at(id.task);
    if (assignment.state == TaskState::assigned && !assignment.stopping &&
        !job->committed(id.task, assignment.version))
      return true;
  }
  return std::any_of(report.tasks.begin(), report.tasks.end(), [&](const TaskReport& task) {
    const Job* job = task.status == TaskStatus::exited ? book_.find(task.job_id) : nullptr;
    return job != nullptr && job->uncommitted_done.contains(task.task);
  });
}

}  // namespace wrenusher::reconciler
