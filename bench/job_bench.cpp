// Measures what one job costs a leader's loop by the number of its tasks. It runs on one core; compare only
// figures of the same run. The growth from 1,000 to 10,000 and 100,000 tasks should be linear.
//
//   gang_end/TASKS         one report says that a gang has ended
//   gang_end_reports/TASKS the reports of all machines say so; includes the commands of the replies
//   array_end_reports/TASKS  the same for an array
//   array_random_end/TASKS   the tasks of an array end one by one in random order
//   commit_done/TASKS      writes all blocks of an array whose tasks have ended, and marks them as written
//   gang_abort/TASKS       a gang loses a task, and its other tasks leave their machines one by one
//   cancel/TASKS           cancels a gang and makes the stop commands
//   machine_lost/TASKS     all machines of an array depart
//   plan_gang/TASKS        plans and assigns a gang
//   plan_beside_gang/TASKS plans once while a gang runs and one of its machines has changed
//   restore/TASKS          restores a job's blocks with their assignments
//   preempt_array/TASKS    plans for an urgent service as large as the array that has all room, and stops the
//   array preempt_gang/TASKS     the same with a gang plan_rentals/TASKS     plans what to rent for 60
//   waiting arrays, a machine of its own for each task
//
// A machine has up to 404 tasks. Counter: microseconds per task.

#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <random>
#include <stdexcept>

#include "still_runtime.hpp"
#include "wrenusher/provisioner/rental_planner.hpp"
#include "wrenusher/reconciler/reconciler.hpp"
#include "wrenusher/scheduling_cycle/scheduling_cycle.hpp"

namespace {

using namespace wrenusher::time;
using namespace wrenusher::protocol;
namespace job_table = wrenusher::job_table;
namespace machine_inventory = wrenusher::machine_inventory;
namespace records = wrenusher::records;
using wrenusher::ManualClockRuntime;

constexpr std::uint32_t kTasksPerMachine = 404;
constexpr std::uint64_t kAttempt = 1;
constexpr double kValueKb = 16;

std::string host_name(std::uint32_t n) {
  return "m-" + std::to_string(100000 + n);
}

JobSpec job_of(JobType type, std::uint32_t tasks) {
  JobSpec spec;
  spec.job_id = "req-100000";
  spec.job_class = "work";
  spec.team = "team";
  spec.type = type;
  spec.task_count = tasks;
  spec.resources = {to_amount(0.1), 0, to_amount(0.5)};
  spec.image = "img-0";
  spec.image_gb = 2;
  spec.expected_runtime = from_seconds(40);
  return spec;
}

/// The components of a leader with one job, whose tasks are assigned to machines and run there.
struct LeaderState {
  ManualClockRuntime runtime;
  wrenusher::settings::Settings settings;
  wrenusher::estimates::Estimator estimator;
  wrenusher::usage_metrics::StartLatencyMetrics start_latency;
  machine_inventory::MachineInventory inventory{runtime, estimator};
  job_table::JobTable jobs{runtime, inventory};
  wrenusher::reconciler::Reconciler reconciler{runtime, jobs, inventory, estimator, start_latency};
  wrenusher::scheduling_cycle::SchedulingCycle scheduler{runtime, settings, jobs, inventory, estimator};
  job_table::Job* job = nullptr;
  std::uint32_t machine_count;
  std::uint64_t sequence = 0;

  LeaderState(JobType type, std::uint32_t tasks) : machine_count(tasks / kTasksPerMachine + 1) {
    settings.zones = {"a"};
    settings.teams = {{"team", 0, 0, 0, 0}};
    auto catalog = std::make_shared<Catalog>();
    (*catalog)["big"] = {"big", {to_amount(48), 0, to_amount(384)}, 200, 1, 4, 1, from_seconds(30), {"a"}};
    inventory.set_catalog(catalog);
    jobs.reset(2);
    for (std::uint32_t n = 0; n < machine_count; ++n) apply(report(n, {}));
    job = &jobs.add("req-100000",
                    {job_of(type, tasks), runtime.wall_time(), records::max_tasks_per_block(kValueKb), false},
                    7);
  }
  /// Assigns all tasks and lets each machine report that its tasks run.
  void run_all() {
    for (std::uint32_t task = 0; task < job->spec().task_count; ++task)
      jobs.assign(*job, task, machine_of(task), kAttempt, job_table::TaskState::assigned);
    for (std::uint32_t n = 0; n < machine_count; ++n) apply(report(n, TaskStatus::running));
    write_blocks();
  }
  machine_inventory::Machine& machine_of(std::uint32_t task) {
    return inventory.get_or_add(host_name(task / kTasksPerMachine));
  }
  WorkerReport report(std::uint32_t machine, std::optional<TaskStatus> status) {
    WorkerReport out;
    out.host = host_name(machine);
    out.address = "10.0.0.1:9000";
    out.machine_type = "big";
    out.zone = "a";
    out.incarnation = 1;
    out.sequence = ++sequence;
    out.fencing_token = 2;
    if (!status) return out;
    const std::uint32_t first = machine * kTasksPerMachine;
    const std::uint32_t end = std::min(first + kTasksPerMachine, job->spec().task_count);
    for (std::uint32_t task = first; task < end; ++task)
      out.tasks.push_back(
          {job->spec().job_id, task, kAttempt, *status, *status == TaskStatus::exited ? "done" : "", false});
    return out;
  }
  std::size_t apply(const WorkerReport& report) {
    reconciler.apply(report, true, true);
    const machine_inventory::Machine& machine = inventory.get_or_add(report.host);
    return reconciler.commands_for(machine, report).size() +
           (reconciler.awaits_commit(machine, report) ? 1 : 0);
  }
  std::size_t write_blocks() {
    std::size_t rows = 0;
    while (!jobs.unwritten_blocks().empty()) {
      const auto [order, changed] = *jobs.unwritten_blocks().begin();
      benchmark::DoNotOptimize(jobs.block_row(*changed, order.block));
      jobs.mark_written(*changed, order.block, changed->blocks[order.block].version);
      ++rows;
    }
    return rows;
  }
};

/// Runs `measured` on a new leader for each iteration; `prepare` is not timed.
template <typename Prepare, typename Measured>
void measure(benchmark::State& state, JobType type, Prepare prepare, Measured measured) {
  const auto tasks = static_cast<std::uint32_t>(state.range(0));
  for (auto _ : state) {
    state.PauseTiming();
    auto leader = std::make_unique<LeaderState>(type, tasks);
    prepare(*leader);
    state.ResumeTiming();
    measured(*leader);
    state.PauseTiming();
    leader.reset();
    state.ResumeTiming();
  }
  state.counters["us_per_task"] =
      benchmark::Counter(static_cast<double>(tasks) * static_cast<double>(state.iterations()) / 1e6,
                         benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

void run_all(LeaderState& leader) {
  leader.run_all();
}

void end_all(LeaderState& leader) {
  for (std::uint32_t n = 0; n < leader.machine_count; ++n) leader.apply(leader.report(n, TaskStatus::exited));
}

void gang_end(benchmark::State& state) {
  measure(state, JobType::gang, run_all,
          [](LeaderState& leader) { leader.jobs.finish_task(*leader.job, 0); });
}

void gang_end_reports(benchmark::State& state) {
  measure(state, JobType::gang, run_all, end_all);
}

void array_end_reports(benchmark::State& state) {
  measure(state, JobType::array, run_all, end_all);
}

void array_random_end(benchmark::State& state) {
  measure(state, JobType::array, run_all, [](LeaderState& leader) {
    std::vector<std::uint32_t> order(leader.job->spec().task_count);
    std::iota(order.begin(), order.end(), 0U);
    std::shuffle(order.begin(), order.end(), leader.runtime.random());
    for (const std::uint32_t task : order) leader.jobs.finish_task(*leader.job, task);
  });
}

void commit_done(benchmark::State& state) {
  measure(
      state, JobType::array,
      [](LeaderState& leader) {
        leader.run_all();
        end_all(leader);
      },
      [](LeaderState& leader) { leader.write_blocks(); });
}

void gang_abort(benchmark::State& state) {
  measure(state, JobType::gang, run_all, [](LeaderState& leader) {
    for (std::uint32_t task = 0; task < leader.job->spec().task_count; ++task)
      leader.jobs.release(*leader.job, task, "lost", true);
  });
}

void cancel(benchmark::State& state) {
  measure(state, JobType::gang, run_all, [](LeaderState& leader) {
    leader.jobs.cancel(*leader.job);
    benchmark::DoNotOptimize(leader.jobs.stop_job(*leader.job, Micros{0}));
  });
}

void machine_lost(benchmark::State& state) {
  measure(state, JobType::array, run_all, [](LeaderState& leader) {
    for (std::uint32_t n = 0; n < leader.machine_count; ++n) {
      const auto released = leader.jobs.assignments_on(leader.inventory.get_or_add(host_name(n)));
      for (const auto& [key, job] : released) leader.jobs.release(*job, key.task, "departed", true);
    }
  });
}

void plan_gang(benchmark::State& state) {
  measure(
      state, JobType::gang, [](LeaderState& leader) { benchmark::DoNotOptimize(leader.scheduler.due()); },
      [](LeaderState& leader) { benchmark::DoNotOptimize(leader.scheduler.plan()); });
}

void plan_beside_gang(benchmark::State& state) {
  measure(
      state, JobType::gang,
      [](LeaderState& leader) {
        leader.run_all();
        benchmark::DoNotOptimize(leader.scheduler.plan());
        leader.inventory.mark_changed(leader.machine_of(0));
      },
      [](LeaderState& leader) { benchmark::DoNotOptimize(leader.scheduler.plan()); });
}

void restore(benchmark::State& state) {
  measure(
      state, JobType::array, [](LeaderState&) {},
      [](LeaderState& leader) {
        const std::uint32_t per_block = leader.job->record.tasks_per_block;
        for (std::uint32_t n = 0; n < leader.job->blocks.size(); ++n) {
          const std::uint32_t first = n * per_block;
          const std::uint32_t last = std::min(first + per_block, leader.job->spec().task_count) - 1;
          records::BlockRecord block;
          block.last_attempt = kAttempt;
          wrenusher::value::RangeSet tasks;
          tasks.add(first, last);
          block.assignments.push_back({host_name(n), kAttempt, tasks});
          leader.jobs.restore_block(*leader.job, n, 5, block);
        }
      });
}

/// Adds a service with the size of the running job, and plans once. The job's tasks are stopped for it.
void preempt(benchmark::State& state, JobType running) {
  measure(
      state, running,
      [](LeaderState& leader) {
        leader.run_all();
        JobSpec urgent = job_of(JobType::service, leader.job->spec().task_count);
        urgent.job_id = "req-200000";
        urgent.priority = Priority::prod;
        leader.jobs.add(urgent.job_id,
                        {urgent, leader.runtime.wall_time(), records::max_tasks_per_block(kValueKb), false},
                        8);
        leader.runtime.clock += from_seconds(2);
      },
      [](LeaderState& leader) {
        if (leader.scheduler.plan().stops.empty()) throw std::logic_error("no task was preempted");
      });
}

void preempt_array(benchmark::State& state) {
  preempt(state, JobType::array);
}

void preempt_gang(benchmark::State& state) {
  preempt(state, JobType::gang);
}

void plan_rentals(benchmark::State& state) {
  constexpr std::size_t kJobs = 60;
  const auto tasks = static_cast<std::uint32_t>(state.range(0));
  wrenusher::events::Workload::Demand demand;
  demand.spec = job_of(JobType::array, tasks);
  demand.spec.resources.cores = to_amount(48);
  demand.tasks = tasks;
  demand.estimate = demand.spec.expected_runtime;
  const std::vector<wrenusher::events::Workload::Demand> demands(kJobs, demand);
  const Catalog catalog{
      {"big", {"big", {to_amount(48), 0, to_amount(384)}, 200, 1, 4, 1, from_seconds(30), {"a"}}}};
  const wrenusher::provisioner::RentedMachines::ByHost machines;
  const wrenusher::provisioner::RentalRequests::ByName requests;
  for (auto _ : state)
    benchmark::DoNotOptimize(
        wrenusher::provisioner::plan_rentals({.catalog = catalog,
                                              .machines = machines,
                                              .open_requests = requests,
                                              .demands = demands,
                                              .on_demand_allowed = true,
                                              .is_refused = [](const auto&) { return false; },
                                              .may_rent = [](const auto&) { return true; }}));
}

#define SIZES Arg(1000)->Arg(10000)->Arg(100000)->Unit(benchmark::kMillisecond)
BENCHMARK(gang_end)->SIZES;
BENCHMARK(gang_end_reports)->SIZES;
BENCHMARK(array_end_reports)->SIZES;
BENCHMARK(array_random_end)->SIZES;
BENCHMARK(commit_done)->SIZES;
BENCHMARK(gang_abort)->SIZES;
BENCHMARK(cancel)->SIZES;
BENCHMARK(machine_lost)->SIZES;
BENCHMARK(plan_gang)->SIZES;
// Its preparation takes far longer than what is measured.
BENCHMARK(plan_beside_gang)->SIZES->Iterations(20);
BENCHMARK(restore)->SIZES;
BENCHMARK(preempt_array)->SIZES;
BENCHMARK(preempt_gang)->SIZES;
BENCHMARK(plan_rentals)->SIZES;

}  // namespace

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
}
