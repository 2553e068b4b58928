// Measures the time of a scheduling cycle by the number of machines and waiting jobs. A cycle applies the
// changes of the job table and the machine inventory to the planner's state, plans, and makes the
// assignments. It runs on one core; compare only figures of the same run.
//
//   cold_round/MACHINES/JOBS/LAYOUTS              planner's state built from scratch, as after a failover
//   round_after_one_change/MACHINES/JOBS/LAYOUTS  one task has ended
//   round_after_report/...                        a report has changed the state of one task
//   round_after_new_job/...                       one job was added
//   round_after_lost_rack/...                     40 machines have stopped (or resumed) reporting
//
// The workload is a burst: each job has 50 waiting tasks, one machine in 20 is free, and the others are full
// with four tasks each. Every machine has four images, drawn from 200 (a draw may repeat). With LAYOUTS 1,
// one job in four spreads over racks of 40 machines. Counters: jobs, machines and future places that the plan
// considered, and for cold rounds the bytes of planner state per machine.

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <random>

#include "still_runtime.hpp"
#include "wrenusher/scheduling_cycle/scheduling_cycle.hpp"

namespace {

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using namespace wrenusher::protocol;
namespace estimates = wrenusher::estimates;
namespace job_table = wrenusher::job_table;
namespace machine_inventory = wrenusher::machine_inventory;
namespace records = wrenusher::records;
namespace scheduling_cycle = wrenusher::scheduling_cycle;
namespace topology = wrenusher::topology;
using wrenusher::ManualClockRuntime;

constexpr int kImageCount = 200;
constexpr std::uint32_t kTasksPerJob = 50;
constexpr std::size_t kFreeMachineInterval = 20;
constexpr std::uint32_t kTasksPerMachine = 4;
constexpr std::uint32_t kTasksPerRunningJob = 200;
constexpr std::size_t kMachinesPerRack = 40;

/// The scheduling state of a leader during a burst of jobs.
struct Burst {
  ManualClockRuntime runtime;
  wrenusher::settings::Settings settings;
  estimates::Estimator estimator;
  machine_inventory::MachineInventory inventory{runtime, estimator};
  job_table::JobTable jobs{runtime, inventory};
  scheduling_cycle::SchedulingCycle cycle{runtime, settings, jobs, inventory, estimator};
  std::vector<std::pair<job_table::Job*, std::uint32_t>> running;
  std::map<std::string, std::pair<job_table::Job*, std::uint32_t>>
      running_jobs;  ///< by machine type: the job that fills the machines, and its next task
  std::size_t added_jobs = 0;
  bool layouts;

  Burst(std::size_t machine_count, std::size_t job_count, bool with_layouts) : layouts(with_layouts) {
    settings.teams = {{"team", 0, 0, 0, 0}};
    auto catalog = std::make_shared<Catalog>();
    catalog->emplace(
        "small",
        MachineType{
            "small", {to_amount(16), 0, to_amount(64)}, 60, 0.5, 1, 0.3, from_seconds(20), {"a", "b"}});
    catalog->emplace(
        "large",
        MachineType{
            "large", {to_amount(64), 0, to_amount(256)}, 60, 0.5, 4, 1.1, from_seconds(30), {"a", "b"}});
    inventory.set_catalog(catalog);
    if (layouts) inventory.set_topology(make_racks(machine_count));
    jobs.reset(1);
    for (std::size_t i = 0; i < machine_count; ++i) add_machine(i);
    for (std::size_t i = 0; i < job_count; ++i) add_job(JobType::array, kTasksPerJob);
  }

  int pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(runtime.random()); }
  static std::string name(std::size_t i) { return "m-" + std::to_string(1000000 + i); }

  /// Returns a topology that derives each machine's rack from its address; ten racks share a switch.
  static std::shared_ptr<const topology::Topology> make_racks(std::size_t machine_count) {
    std::string yaml = "version: 1\nlevels: [switch, rack]\ndomains:\n";
    for (std::size_t r = 0; r * kMachinesPerRack < machine_count; ++r) {
      if (r % 10 == 0) yaml += "  s" + std::to_string(r / 10) + ": {level: switch}\n";
      yaml += "  r" + std::to_string(r) + ": {level: rack, in: s" + std::to_string(r / 10) +
              ", machines: [{addr: 10." + std::to_string(r / 256) + "." + std::to_string(r % 256) +
              ".0/24}]}\n";
    }
    return topology::Topology::parse(yaml, "racks.yaml");
  }

  void add_machine(std::size_t i) {
    WorkerReport report;
    report.host = name(i);
    const std::size_t rack = i / kMachinesPerRack;
    report.address = "10." + std::to_string(rack / 256) + "." + std::to_string(rack % 256) + "." +
                     std::to_string(i % kMachinesPerRack) + ":80";
    report.machine_type = pick(2) == 0 ? "small" : "large";
    report.zone = pick(2) == 0 ? "a" : "b";
    report.spot = true;
    report.incarnation = report.sequence = 1;
    machine_inventory::Machine& machine = inventory.get_or_add(report.host);
    inventory.update_from_report(machine, report, true);
    for (int k = 0; k < 4; ++k) machine.images["image-" + std::to_string(pick(kImageCount))] = 1;
    if (i % kFreeMachineInterval == 0) return;
    // The machine is filled with four tasks of a job whose tasks run on several machines of this type.
    auto& [current, next] = running_jobs[report.machine_type];
    if (current == nullptr || next == kTasksPerRunningJob) {
      current = &add_job(JobType::array, kTasksPerRunningJob,
                         report.machine_type == "small" ? to_amount(4) : to_amount(16));
      next = 0;
    }
    job_table::Job& job = *current;
    for (std::uint32_t n = 0; n < kTasksPerMachine; ++n) {
      const std::uint32_t t = next++;
      jobs.assign(job, t, machine, 1, job_table::TaskState::recovered);
      jobs.set_state(job, job.assignments.at(t), job_table::TaskState::running);
      job.assignments.at(t).running_since = runtime.now() - from_seconds(pick(40));
      running.emplace_back(&job, t);
    }
  }

  job_table::Job& add_job(JobType type, std::uint32_t tasks, Amount cores = 0) {
    records::JobRecord rec;
    JobSpec& spec = rec.spec;
    spec.job_id = "req-" + std::to_string(10000000 + added_jobs++);
    spec.job_class = "queue-" + std::to_string(added_jobs % 8);
    spec.team = "team";
    spec.type = type;
    spec.task_count = tasks;
    spec.resources = {cores > 0 ? cores : to_amount(1 + pick(8)), 0, to_amount(4)};
    spec.image = "image-" + std::to_string(pick(kImageCount));
    spec.image_gb = 2;
    spec.spot_allowed = true;
    spec.expected_runtime = from_seconds(60 + pick(40));
    spec.deadline = from_seconds(60 + pick(300));
    if (layouts && cores == 0 && added_jobs % 4 == 0)
      spec.layout = Layout{Layout::Spread{"rack", 5, 0, true}, {}, {}};
    rec.accepted_at = runtime.wall_time() - from_seconds(pick(60));
    rec.tasks_per_block = 400;
    const std::string ref = spec.job_id;
    return jobs.add(ref, std::move(rec), 1);
  }

  /// Plans three more times, marks all placed tasks as running with their images fetched, and plans once
  /// more.
  void start_placed_tasks() {
    for (int i = 0; i < 3; ++i) plan();
    for (auto& [ref, job] : jobs.jobs()) {
      for (auto& [task, c] : job.assignments) {
        if (c.state == job_table::TaskState::running) continue;
        jobs.end_fetch(job, c);
        inventory.record_image_use(*c.machine, job.spec());
        jobs.set_state(job, c, job_table::TaskState::running);
        c.running_since = runtime.now();
      }
    }
    plan();
  }

  double plan() {
    const auto start = std::chrono::steady_clock::now();
    cycle.plan();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  }
};

std::unique_ptr<Burst> make_burst(const benchmark::State& state) {
  spdlog::set_level(spdlog::level::off);
  return std::make_unique<Burst>(static_cast<std::size_t>(state.range(0)),
                                 static_cast<std::size_t>(state.range(1)), state.range(2) == 1);
}

void report_statistics(benchmark::State& state, const Burst& b) {
  state.counters["jobs"] = static_cast<double>(b.cycle.statistics().jobs);
  state.counters["machines"] = static_cast<double>(b.cycle.statistics().machines);
  state.counters["futures"] = static_cast<double>(b.cycle.statistics().future_places);
}

void cold_round(benchmark::State& state) {
  for (auto _ : state) {
    const auto b = make_burst(state);
    const std::size_t before = mallinfo2().uordblks;
    state.SetIterationTime(b->plan());
    state.counters["bytes_a_machine"] =
        static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(state.range(0));
    report_statistics(state, *b);
  }
}

template <typename Change>
void measure_rounds_after(benchmark::State& state, Change change) {
  const auto b = make_burst(state);
  b->plan();
  b->start_placed_tasks();
  for (auto _ : state) {
    b->runtime.clock += from_millis(200);
    change(*b);
    state.SetIterationTime(b->plan());
  }
  report_statistics(state, *b);
}

void round_after_one_change(benchmark::State& state) {
  measure_rounds_after(state, [](Burst& b) {
    const auto [job, task] = b.running.back();
    b.running.pop_back();
    b.jobs.finish_task(*job, task);
  });
}

void round_after_report(benchmark::State& state) {
  measure_rounds_after(state, [](Burst& b) {
    const auto [job, task] = b.running.back();
    b.running.pop_back();
    b.jobs.set_state(*job, job->assignments.at(task), job_table::TaskState::checkpointing);
  });
}

void round_after_new_job(benchmark::State& state) {
  measure_rounds_after(state, [](Burst& b) { b.add_job(JobType::array, kTasksPerJob); });
}

void round_after_lost_rack(benchmark::State& state) {
  std::size_t rack = 0;
  measure_rounds_after(state, [&rack, m = static_cast<std::size_t>(state.range(0))](Burst& b) {
    for (std::size_t i = 0; i < kMachinesPerRack; ++i) {
      machine_inventory::Machine& machine = *b.inventory.find(Burst::name((rack * kMachinesPerRack + i) % m));
      machine.silent = !machine.silent;
      b.inventory.mark_changed(machine);
    }
    ++rack;
  });
}

void set_sizes(benchmark::internal::Benchmark* b) {
  b->UseManualTime()->Unit(benchmark::kMillisecond);
  for (const int layouts : {0, 1}) {
    b->Args({1000, 100, layouts})->Args({1000, 1000, layouts})->Args({10000, 100, layouts});
    b->Args({10000, 1000, layouts})->Args({10000, 5000, layouts})->Args({50000, 1000, layouts});
    b->Args({50000, 5000, layouts});
  }
}

}  // namespace

BENCHMARK(cold_round)->Apply(set_sizes)->Iterations(3);
BENCHMARK(round_after_one_change)->Apply(set_sizes)->Iterations(100);
BENCHMARK(round_after_report)->Apply(set_sizes)->Iterations(100);
BENCHMARK(round_after_new_job)->Apply(set_sizes)->Iterations(100);
BENCHMARK(round_after_lost_rack)->Apply(set_sizes)->Iterations(20);

BENCHMARK_MAIN();
