// Tests that jobs with as many tasks as the protocol allows do not hold a controller's loop: while it handles
// one event, it answers nobody.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>

#include "log_capture.hpp"
#include "manual_runtime.hpp"
#include "processor_time.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/placement/preemption.hpp"
#include "wrenusher/scheduling_cycle/scheduling_cycle.hpp"

using namespace wrenusher::time;
using namespace wrenusher::protocol;
using wrenusher::kHeartbeatSeconds;
using wrenusher::processor_seconds;
using wrenusher::job_table::Job;
using wrenusher::job_table::JobTable;
using wrenusher::job_table::TaskState;

namespace {

constexpr std::uint32_t kTasksPerMachine = 400;
constexpr std::uint32_t kTasksPerBlock = 150;

/// A job table with one job, whose tasks are all assigned to machines.
struct AssignedJob {
  wrenusher::runtime::ManualRuntime runtime;
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{runtime, estimator};
  JobTable jobs{runtime, machines};
  Job* job = nullptr;

  AssignedJob(JobType type, std::uint32_t tasks) {
    jobs.reset(1);
    JobSpec spec;
    spec.job_id = "req-100000";
    spec.team = "team";
    spec.type = type;
    spec.task_count = tasks;
    spec.resources = {to_amount(0.1), 0, to_amount(0.5)};
    job = &jobs.add(spec.job_id, {spec, runtime.wall_time(), kTasksPerBlock, false}, 1);
    for (std::uint32_t task = 0; task < tasks; ++task)
      jobs.assign(*job, task, machines.get_or_add("m-" + std::to_string(task / kTasksPerMachine)), 1,
                  TaskState::assigned);
  }
};

}  // namespace

// Guards against a leader that answers nobody, and loses its lease, when a gang with many tasks ends.
TEST(LargeJobsTest, EndOfLargestGangTakesLessThanHeartbeatInterval) {
  AssignedJob gang(JobType::gang, kMaxTasksPerJob);
  EXPECT_LT(processor_seconds([&] { gang.jobs.finish_task(*gang.job, 7); }), kHeartbeatSeconds);
  EXPECT_EQ(gang.job->done.size(), kMaxTasksPerJob);
  EXPECT_TRUE(gang.job->assignments.empty());
  EXPECT_TRUE(gang.jobs.finished_jobs().contains("req-100000"));
  EXPECT_EQ(gang.jobs.disagreement(), "");
}

// Guards against a cost of commits that grows with the square of a job's tasks: with each block that was
// written, all tasks that were done and not written yet used to be searched. Ten times the tasks may take
// ten times as long; the rest is for caches.
TEST(LargeJobsTest, CommitOfEndedArrayGrowsLinearlyWithItsTasks) {
  constexpr double kMaxGrowth = 30;
  const auto commit_seconds = [](std::uint32_t tasks) {
    AssignedJob array(JobType::array, tasks);
    for (std::uint32_t task = 0; task < tasks; ++task) array.jobs.finish_task(*array.job, task);
    const double seconds = processor_seconds([&] {
      for (std::uint32_t block = 0; block < array.job->blocks.size(); ++block)
        array.jobs.mark_written(*array.job, block, array.job->blocks[block].version);
    });
    EXPECT_TRUE(array.job->uncommitted_done.empty());
    EXPECT_EQ(array.jobs.disagreement(), "");
    return seconds;
  };
  double small = 1;
  double large = 1;
  for (int i = 0; i < 3; ++i) {
    small = std::min(small, commit_seconds(kMaxTasksPerJob / 10));
    large = std::min(large, commit_seconds(kMaxTasksPerJob));
  }
  EXPECT_LT(large, small * kMaxGrowth) << small << " s and " << large << " s";
}

namespace {

/// Returns the processor time that choosing the tasks to preempt takes, where a job that runs on full
/// machines is stopped as a whole for an urgent job of the same size.
double preemption_seconds(std::uint32_t tasks_per_machine) {
  constexpr std::uint32_t kTasks = 40'000;
  JobSpec running;
  running.task_count = kTasks;
  running.resources = {to_amount(0.1), 0, 0};
  running.priority = Priority::low;
  JobSpec urgent = running;
  urgent.type = JobType::service;
  urgent.priority = Priority::prod;
  MachineType machine_type;
  machine_type.capacity = running.resources * tasks_per_machine;
  machine_type.fetch_gb_per_s = 1;
  wrenusher::placement::PreemptionView view;
  view.jobs.resize(1);
  view.jobs[0].spec = &urgent;
  view.jobs[0].waiting = kTasks;
  view.machines.resize(kTasks / tasks_per_machine);
  std::vector<wrenusher::placement::RunningTask> tasks;
  for (std::size_t n = 0; n < view.machines.size(); ++n) {
    view.machines[n].machine_type = &machine_type;
    view.machines[n].free.task_slots = kMaxTasksPerMachine - tasks_per_machine;
    for (std::uint32_t task = 0; task < tasks_per_machine; ++task)
      tasks.push_back({.machine = n, .spec = &running, .task = task, .remaining = from_seconds(60)});
  }
  const std::vector<wrenusher::placement::Shortage> shortages = {{0, kTasks}};
  std::size_t chosen = 0;
  const double seconds = processor_seconds(
      [&] { chosen = wrenusher::placement::choose_preemptions(view, shortages, tasks).size(); });
  EXPECT_EQ(chosen, kTasks);
  return seconds;
}

}  // namespace

// Guards against a leader that answers nobody while it makes room for an urgent job: for each task, all tasks
// of the machine that had been chosen before used to be visited again.
TEST(LargeJobsTest, PreemptionOfJobCostsTheSameWithManyTasksPerMachine) {
  constexpr double kMaxGrowth = 3;
  double few_per_machine = 1;
  double many_per_machine = 1;
  for (int i = 0; i < 3; ++i) {
    few_per_machine = std::min(few_per_machine, preemption_seconds(10));
    many_per_machine = std::min(many_per_machine, preemption_seconds(kTasksPerMachine));
  }
  EXPECT_LT(many_per_machine, few_per_machine * kMaxGrowth)
      << few_per_machine << " s and " << many_per_machine << " s";
}

// Guards against a leader that is held by its log: a line for each task of a large job took longer than the
// preemption itself.
TEST(LargeJobsTest, PreemptionOfManyTasksIsLoggedInOneLinePerMachine) {
  wrenusher::runtime::ManualRuntime runtime;
  wrenusher::settings::Settings settings;
  settings.teams = {{"team", 0, 0, 0, 0}};
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{runtime, estimator};
  JobTable jobs{runtime, machines};
  wrenusher::scheduling_cycle::SchedulingCycle scheduler{runtime, settings, jobs, machines, estimator};
  auto catalog = std::make_shared<Catalog>();
  (*catalog)["large"] = {"large", {to_amount(40), 0, to_amount(400)}, 200, 1, 4, 1, from_seconds(30), {"a"}};
  machines.set_catalog(catalog);
  jobs.reset(1);
  auto& machine = machines.get_or_add("m-1");
  machine.machine_type = "large";
  machine.zone = "a";
  machine.token_accepted = true;
  JobSpec spec;
  spec.job_id = "req-100000";
  spec.team = "team";
  spec.task_count = kTasksPerMachine;
  spec.resources = {to_amount(0.1), 0, to_amount(0.1)};
  spec.expected_runtime = from_seconds(60);
  spec.priority = Priority::low;
  Job& running = jobs.add(spec.job_id, {spec, runtime.wall_time(), kTasksPerBlock, false}, 1);
  for (std::uint32_t task = 0; task < spec.task_count; ++task)
    jobs.assign(running, task, machine, 1, TaskState::assigned);
  spec.job_id = "req-200000";
  spec.type = JobType::service;
  spec.priority = Priority::prod;
  jobs.add(spec.job_id, {spec, runtime.wall_time(), kTasksPerBlock, false}, 1);
  const wrenusher::LogCapture log;
  (void)scheduler.plan();
  EXPECT_TRUE(running.assignments.at(0).stopping);
  EXPECT_TRUE(running.assignments.at(kTasksPerMachine - 1).stopping);
  const std::string text = log.text();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text.substr(0, 1000);
  EXPECT_NE(text.find("400 tasks of job req-100000 on m-1"), std::string::npos) << text.substr(0, 1000);
}
