// Derives the commands for a worker from the job table and the worker's newest report.
#include <algorithm>

#include "wrenusher/reconciler/reconciler.hpp"

namespace wrenusher::reconciler {

using protocol::TaskStatus;

namespace {

WorkerCommand make_command(WorkerCommand::Verb verb, const TaskReport& task, Micros grace_period = {}) {
  return {verb, task.job_id, task.task, task.attempt, grace_period};
}

/// Returns whether the task is done but the state service does not have this change yet.
bool awaits_done_commit(const Job* job, const TaskReport& task) {
  return job != nullptr && job->uncommitted_done.contains(task.task);
}

/// Adds the command to delete a task that exited. The command is added once the job table has ended the
/// task's assignment to this machine and, if the task is done, the state service has committed that it is
/// done. Until then the worker must keep reporting the task.
void add_command_for_exited(const Job* job, const Machine& machine, const TaskReport& task,
                            std::vector<WorkerCommand>& commands) {
  if (awaits_done_commit(job, task)) return;
  if (job != nullptr && job->is_assigned(task.task, machine, task.attempt)) return;
  commands.push_back(make_command(WorkerCommand::Verb::forget, task));
}

/// Adds a stop for a task on the machine if it has no assignment there or has been requested to stop.
void add_command_for_present(const Job* job, const Machine& machine, const TaskReport& task,
                             std::vector<WorkerCommand>& commands) {
  if (job == nullptr || !job->is_assigned(task.task, machine, task.attempt)) {
    commands.push_back(make_command(WorkerCommand::Verb::stop, task));
    return;
  }
  const TaskAssignment& assignment = job->assignments.at(task.task);
  const bool saves_checkpoint =
      assignment.state == TaskState::checkpointing && assignment.grace_period.count() != 0;
  if (assignment.stopping && !saves_checkpoint)
    commands.push_back(make_command(WorkerCommand::Verb::stop, task, assignment.grace_period));
}

bool awaits_start(const TaskAssignment& assignment) {
  return assignment.state == TaskState::assigned && !assignment.stopping;
}

}  // namespace

std::vector<WorkerCommand> Reconciler::commands_for(const Machine& machine,
                                                    const WorkerReport& report) const {
  std::vector<WorkerCommand> commands;
  for (const TaskReport& task : report.tasks) {
    const Job* job = jobs_.find(task.job_id);
    if (task.status == TaskStatus::exited) {
      add_command_for_exited(job, machine, task, commands);
    } else {
      add_command_for_present(job, machine, task, commands);
    }
  }
  if (!machine.usable()) return commands;
  for (const auto& [key, job] : jobs_.assignments_on(machine)) {
    const auto& [job_number, task] = key;
    const TaskAssignment& assignment = job->assignments.at(task);
    if (!awaits_start(assignment) || !job->committed(task, assignment.version)) continue;
    commands.push_back({WorkerCommand::Verb::start, job->spec().job_id, task, assignment.attempt, Micros{0}});
  }
  return commands;
}

bool Reconciler::awaits_commit(const Machine& machine, const WorkerReport& report) const {
  for (const auto& [key, job] : jobs_.assignments_on(machine)) {
    const auto& [job_number, task] = key;
    const TaskAssignment& assignment = job->assignments.at(task);
    if (awaits_start(assignment) && !job->committed(task, assignment.version)) return true;
  }
  return std::any_of(report.tasks.begin(), report.tasks.end(), [&](const TaskReport& task) {
    return task.status == TaskStatus::exited && awaits_done_commit(jobs_.find(task.job_id), task);
  });
}

}  // namespace wrenusher::reconciler
