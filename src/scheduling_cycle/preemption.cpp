#include "wrenusher/scheduling_cycle/preemption.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::scheduling_cycle {

using events::DirectCommands;
using placement::RunningTask;
using placement::Shortage;
using protocol::JobSpec;
using protocol::JobType;
using protocol::MachineType;
using protocol::Priority;
using protocol::WorkerCommand;
using time::from_seconds;

namespace {

/// Tasks are preempted for an urgent job once it must start within this time to meet its objective.
constexpr Micros kLatestStartMargin = from_seconds(15);
constexpr Micros kPreemptionInterval = from_seconds(1);
/// Added to the time that a checkpoint takes, to get the grace period of a stopped task.
constexpr Micros kCheckpointMargin = from_seconds(1);

/// Returns the input of `choose_preemptions`, and changes the shortages' jobs to indexes into its `jobs`.
placement::PreemptionView make_view(std::vector<Shortage>& shortages,
                                    std::vector<placement::PlanMachine> machines,
                                    const placement::PlacementIndex& index) {
  placement::PreemptionView view;
  view.machines = std::move(machines);
  for (Shortage& shortage : shortages) {
    view.jobs.push_back(index.job(static_cast<IndexUpdater::Slot>(shortage.job)));
    shortage.job = view.jobs.size() - 1;
  }
  return view;
}

/// Numbers of preempted tasks by machine and job.
using StopCounts = std::map<std::pair<std::string_view, std::string_view>, std::uint32_t>;

/// Logs one line for each machine and job: the tasks of a job may be too many for a line each.
void log_stopped(const StopCounts& stopped) {
  for (const auto& [machine_and_job, tasks] : stopped) {
    const auto& [machine, job] = machine_and_job;
    log::info("tasks_preempted", "{tasks} tasks of job {job} on {machine} are stopped for more urgent work",
              log::with("tasks", tasks), log::with("job", job), log::with("machine", machine));
  }
}

}  // namespace

std::vector<DirectCommands> Preemptor::preempt(const placement::Plan& plan, const IndexUpdater& updater) {
  std::vector<Shortage> urgent;
  std::copy_if(plan.shortages.begin(), plan.shortages.end(), std::back_inserter(urgent),
               [&](const Shortage& shortage) { return is_urgent(shortage, updater); });
  if (urgent.empty() || runtime_.now() - last_preemption_ <= kPreemptionInterval) return {};
  last_preemption_ = runtime_.now();
  Candidates candidates = collect_candidates();
  const placement::PreemptionView view = make_view(urgent, std::move(candidates.machines), updater.index());
  std::vector<DirectCommands> commands;
  job_table::CommandsByMachine task_stops;
  StopCounts stopped;
  for (const std::size_t task_index : placement::choose_preemptions(view, urgent, candidates.tasks)) {
    TaskAssignment& assignment = *candidates.assignments[task_index];
    const RunningTask& task = candidates.tasks[task_index];
    if (assignment.stopping) continue;
    const Micros grace_period =
        task.spec->has_checkpoints() ? task.spec->checkpoint_time + kCheckpointMargin : Micros{0};
    if (task.spec->type == JobType::gang) {
      stop_gang(*task.spec, grace_period, commands);
    } else {
      stop_task(task, assignment, grace_period, task_stops);
      ++stopped[{assignment.machine->name, task.spec->job_id}];
    }
  }
  log_stopped(stopped);
  for (auto& [host, stops] : task_stops) commands.push_back({host, std::move(stops)});
  return commands;
}

/// Returns whether tasks may be preempted for the shortage.
bool Preemptor::is_urgent(const Shortage& shortage, const IndexUpdater& updater) const {
  const auto slot = static_cast<IndexUpdater::Slot>(shortage.job);
  const placement::PlanJob& job = updater.index().job(slot);
  // A production service that does not run is an outage at once, and stopping a task always takes less time
  // than booting a machine.
  if (job.spec->type == JobType::service && job.spec->priority == Priority::prod) return true;
  const WallTime now = runtime_.wall_time();
  if (job.spec->priority >= Priority::normal || now - job.accepted_at < updater.reserved_type_wait_at(slot))
    return false;
  // Tasks are preempted only for a job that would otherwise be late and can still finish in time.
  const placement::Slack slack = updater.index().deadline_slack(slot, now);
  return slack.status == placement::DeadlineStatus::at_risk &&
         slack.time_to_latest_start < kLatestStartMargin;
}

Preemptor::Candidates Preemptor::collect_candidates() {
  Candidates candidates;
  for (auto& [host, machine] : machines_.all()) {
    const MachineType* machine_type = machines_.type_of(machine);
    if (!machine.schedulable() || machine_type == nullptr) continue;
    candidates.machines.push_back(machines_.to_plan_machine(machine, *machine_type));
    add_candidates(machine, candidates.machines.size() - 1, candidates);
  }
  return candidates;
}

void Preemptor::add_candidates(Machine& machine, std::size_t machine_index, Candidates& candidates) {
  // Assignments are ordered by job, so that one estimate serves all tasks of a job.
  const Job* estimated_job = nullptr;
  Micros estimate{};
  for (const auto& [key, job] : jobs_.assignments_on(machine)) {
    const auto& [job_number, task] = key;
    TaskAssignment& assignment = job->assignments.at(task);
    const JobSpec& spec = job->spec();
    // A recovered task may not exist, and replicas of services are never preempted.
    if (assignment.state == TaskState::recovered || (spec.type == JobType::service && !assignment.stopping))
      continue;
    if (job != estimated_job) estimate = estimator_.estimate(spec);
    estimated_job = job;
    const Micros age =
        assignment.state == TaskState::running ? runtime_.now() - assignment.running_since : Micros{0};
    candidates.tasks.push_back({machine_index, &spec, task, age, estimate - age, assignment.stopping});
    candidates.assignments.push_back(&assignment);
  }
}

/// Stops all tasks of a gang.
void Preemptor::stop_gang(const JobSpec& spec, Micros grace_period, std::vector<DirectCommands>& commands) {
  log::info("gang_preempted", "gang {job} is stopped for more urgent work", log::with("job", spec.job_id));
  for (auto& [host, stops] : jobs_.stop_job(*jobs_.find(spec.job_id), grace_period))
    commands.push_back({host, std::move(stops)});
}

void Preemptor::stop_task(const RunningTask& task, TaskAssignment& assignment, Micros grace_period,
                          job_table::CommandsByMachine& commands) {
  const JobSpec& spec = *task.spec;
  jobs_.stop_task(assignment, grace_period);
  if (assignment.state != TaskState::assigned)
    commands[assignment.machine->name].push_back(
        {WorkerCommand::Verb::stop, spec.job_id, task.task, assignment.attempt, assignment.grace_period});
}

}  // namespace wrenusher::scheduling_cycle
