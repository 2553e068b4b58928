// What a round costs, by the number of machines and of waiting jobs: the planner's board brought up to what
// changed in book and machines, the plan, and its claims. One core; figures of one run are to be compared
// with each other only.
//
//   cold_round/MACHINES/JOBS/LAYOUTS              all is read anew, as after a takeover
//   round_after_one_change/MACHINES/JOBS/LAYOUTS  one task ended
//   round_after_report/...                        one task has its image and runs
//   round_after_new_job/...                       one job came
//   round_after_lost_rack/...                     40 machines fell silent
//
// A burst: 50 waiting tasks a job, one machine in 20 with room, the others full with four tasks each, every
// machine with four of 200 images. LAYOUTS 1: one job in four spreads over racks of 40 machines. Counters:
// what the plan looked at, and for cold rounds the board's bytes a machine.

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
using wrenusher::StillRuntime;

constexpr int kImages = 200;
constexpr std::uint32_t kTasks = 50;
constexpr std::size_t kFree = 20;
constexpr std::uint32_t kOnEach = 4;
constexpr std::uint32_t kRunning = 200;
constexpr std::size_t kRack = 40;

/// A leader's rooms in the middle of a burst.
struct Burst {
  StillRuntime runtime;
  wrenusher::settings::Settings settings;
  estimates::Estimator estimator;
  machine_inventory::MachineInventory inventory{runtime, estimator};
  job_table::JobTable jobs{runtime, inventory};
  scheduling_cycle::SchedulingCycle cycle{runtime, settings, jobs, inventory, estimator};
  std::vector<std::pair<job_table::Job*, std::uint32_t>> running;
  std::map<std::string, std::pair<job_table::Job*, std::uint32_t>>
      running_jobs;  ///< by type, and its next task
  std::size_t made = 0;
  bool layouts;

  Burst(std::size_t m, std::size_t j, bool with_layouts) : layouts(with_layouts) {
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
    if (layouts) inventory.set_topology(racks(m));
    jobs.reset(1);
    for (std::size_t i = 0; i < m; ++i) add_machine(i);
    for (std::size_t i = 0; i < j; ++i) add_job(JobType::array, kTasks);
  }

  int pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(runtime.random()); }
  static std::string name(std::size_t i) { return "m-" + std::to_string(1000000 + i); }

  /// Racks by address.
  static std::shared_ptr<const topology::Topology> racks(std::size_t m) {
    std::string yaml = "version: 1\nlevels: [switch, rack]\ndomains:\n";
    for (std::size_t r = 0; r * kRack < m; ++r) {
      if (r % 10 == 0) yaml += "  s" + std::to_string(r / 10) + ": {level: switch}\n";
      yaml += "  r" + std::to_string(r) + ": {level: rack, in: s" + std::to_string(r / 10) +
              ", machines: [{addr: 10." + std::to_string(r / 256) + "." + std::to_string(r % 256) +
              ".0/24}]}\n";
    }
    return topology::Topology::parse(yaml, "racks.yaml");
  }

  void add_machine(std::size_t i) {
    WorkerReport r;
    r.host = name(i);
    const std::size_t rack = i / kRack;
    r.address = "10." + std::to_string(rack / 256) + "." + std::to_string(rack % 256) + "." +
                std::to_string(i % kRack) + ":80";
    r.machine_type = pick(2) == 0 ? "small" : "large";
    r.zone = pick(2) == 0 ? "a" : "b";
    r.spot = true;
    r.incarnation = r.sequence = 1;
    machine_inventory::Machine& m = inventory.get_or_add(r.host);
    inventory.update_from_report(m, r, true);
    for (int k = 0; k < 4; ++k) m.images["image-" + std::to_string(pick(kImages))] = 1;
    if (i % kFree == 0) return;
    // Full, with four tasks of a job that runs on some machines of its type.
    auto& [current, next] = running_jobs[r.machine_type];
    if (current == nullptr || next == kRunning) {
      current = &add_job(JobType::array, kRunning, r.machine_type == "small" ? to_amount(4) : to_amount(16));
      next = 0;
    }
    job_table::Job& job = *current;
    for (std::uint32_t n = 0; n < kOnEach; ++n) {
      const std::uint32_t t = next++;
      jobs.assign(job, t, m, 1, job_table::TaskState::recovered);
      jobs.set_state(job, job.assignments.at(t), job_table::TaskState::running);
      job.assignments.at(t).running_since = runtime.now() - from_seconds(pick(40));
      running.emplace_back(&job, t);
    }
  }

  job_table::Job& add_job(JobType type, std::uint32_t tasks, Amount cores = 0) {
    records::JobRecord rec;
    JobSpec& spec = rec.spec;
    spec.job_id = "req-" + std::to_string(10000000 + made++);
    spec.job_class = "queue-" + std::to_string(made % 8);
    spec.team = "team";
    spec.type = type;
    spec.task_count = tasks;
    spec.resources = {cores > 0 ? cores : to_amount(1 + pick(8)), 0, to_amount(4)};
    spec.image = "image-" + std::to_string(pick(kImages));
    spec.image_gb = 2;
    spec.spot_allowed = true;
    spec.expected_runtime = from_seconds(60 + pick(40));
    spec.deadline = from_seconds(60 + pick(300));
    if (layouts && cores == 0 && made % 4 == 0)
      spec.layout = Layout{Layout::Spread{"rack", 5, 0, true}, {}, {}};
    rec.accepted_at = runtime.wall_time() - from_seconds(pick(60));
    rec.tasks_per_block = 400;
    const std::string ref = spec.job_id;
    return jobs.add(ref, std::move(rec), 1);
  }

  /// What the cold round placed has its image and runs.
  void settle() {
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
    const auto began = std::chrono::steady_clock::now();
    cycle.plan();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  }
};

std::unique_ptr<Burst> burst_of(const benchmark::State& state) {
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
    const auto b = burst_of(state);
    const std::size_t before = mallinfo2().uordblks;
    state.SetIterationTime(b->plan());
    state.counters["bytes_a_machine"] =
        static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(state.range(0));
    report_statistics(state, *b);
  }
}

template <typename Change>
void rounds_after(benchmark::State& state, Change change) {
  const auto b = burst_of(state);
  b->plan();
  b->settle();
  for (auto _ : state) {
    b->runtime.clock += from_millis(200);
    change(*b);
    state.SetIterationTime(b->plan());
  }
  report_statistics(state, *b);
}

void round_after_one_change(benchmark::State& state) {
  rounds_after(state, [](Burst& b) {
    const auto [job, task] = b.running.back();
    b.running.pop_back();
    b.jobs.finish_task(*job, task);
  });
}

void round_after_report(benchmark::State& state) {
  rounds_after(state, [](Burst& b) {
    const auto [job, task] = b.running.back();
    b.running.pop_back();
    b.jobs.set_state(*job, job->assignments.at(task), job_table::TaskState::checkpointing);
  });
}

void round_after_new_job(benchmark::State& state) {
  rounds_after(state, [](Burst& b) { b.add_job(JobType::array, kTasks); });
}

void round_after_lost_rack(benchmark::State& state) {
  std::size_t rack = 0;
  rounds_after(state, [&rack, m = static_cast<std::size_t>(state.range(0))](Burst& b) {
    for (std::size_t i = 0; i < kRack; ++i) {
      machine_inventory::Machine& x = *b.inventory.find(Burst::name((rack * kRack + i) % m));
      x.silent = !x.silent;
      b.inventory.mark_changed(x);
    }
    ++rack;
  });
}

void sizes(benchmark::internal::Benchmark* b) {
  b->UseManualTime()->Unit(benchmark::kMillisecond);
  for (const int layouts : {0, 1}) {
    b->Args({1000, 100, layouts})->Args({1000, 1000, layouts})->Args({10000, 100, layouts});
    b->Args({10000, 1000, layouts})->Args({10000, 5000, layouts})->Args({50000, 1000, layouts});
    b->Args({50000, 5000, layouts});
  }
}

}  // namespace

BENCHMARK(cold_round)->Apply(sizes)->Iterations(3);
BENCHMARK(round_after_one_change)->Apply(sizes)->Iterations(100);
BENCHMARK(round_after_report)->Apply(sizes)->Iterations(100);
BENCHMARK(round_after_new_job)->Apply(sizes)->Iterations(100);
BENCHMARK(round_after_lost_rack)->Apply(sizes)->Iterations(20);

BENCHMARK_MAIN();
