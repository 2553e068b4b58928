// What a plan costs, by the number of machines and of waiting jobs. One core; figures of one run are to be
// compared with each other only.
//
//   cold_round/MACHINES/JOBS   one planner::place on a burst: 50 waiting tasks a job, one machine in 20 with
//   room, the
//                              others full until later, every machine with a few of 200 images

#include <benchmark/benchmark.h>

#include <random>

#include "wrenusher/planner/planner.hpp"

namespace {

using namespace wrenusher::base;
using namespace wrenusher::protocol;
namespace planner = wrenusher::planner;

constexpr int kImages = 200;
constexpr int kTasks = 50;
constexpr int kFree = 20;

/// A snapshot and all that it points to.
struct Burst {
  wrenusher::settings::Settings settings;
  std::vector<Flavor> flavors;
  std::vector<JobSpec> specs;
  std::vector<std::map<std::string, std::uint64_t>> images;
  planner::Snapshot s;

  Burst(std::size_t machines, std::size_t jobs) : specs(jobs), images(machines) {
    std::mt19937_64 random(7);
    const auto pick = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    settings.teams = {{"team", 0, 0, 0, 0}};
    flavors = {{"small", {to_amount(16), 0, to_amount(64)}, 60, 0.5, 1, 0.3, from_seconds(20), {"a", "b"}},
               {"large", {to_amount(64), 0, to_amount(256)}, 60, 0.5, 4, 1.1, from_seconds(30), {"a", "b"}}};
    s.settings = &settings;
    s.now = WallTime{from_seconds(1e6)};
    for (std::size_t i = 0; i < machines; ++i) {
      for (int k = 0; k < 4; ++k) images[i].emplace("image-" + std::to_string(pick(kImages)), 1);
      planner::PlanHost h;
      h.name = "m-" + std::to_string(i);
      h.site = pick(2) == 0 ? "a" : "b";
      h.flavor = &flavors[static_cast<std::size_t>(pick(2))];
      h.standby = true;
      h.images = &images[i];
      s.cores[h.flavor] += h.flavor->room.cores;
      planner::Later l{h, {}};
      for (int k = 0; k < 4; ++k)
        l.places.push_back(
            {from_seconds(5 + 10 * k), {h.flavor->room.cores / 4, 0, h.flavor->room.memory / 4}, false});
      if (i % kFree == 0) {
        h.room = h.flavor->room;
        l.places.clear();
        l.host.room = h.room;
        s.hosts.push_back(h);
      }
      s.later.push_back(std::move(l));
    }
    for (std::size_t j = 0; j < jobs; ++j) {
      JobSpec& spec = specs[j];
      spec.ref = "req-" + std::to_string(j);
      spec.owner = "team";
      spec.units = kTasks;
      spec.needs = {to_amount(1 + pick(8)), 0, to_amount(4)};
      spec.bundle = "image-" + std::to_string(pick(kImages));
      spec.image_gb = 2;
      spec.standby = true;
      spec.due = from_seconds(60 + pick(300));
      planner::PlanJob p;
      p.spec = &spec;
      p.waiting = kTasks;
      p.estimate = from_seconds(20 + pick(40));
      p.accepted = s.now - from_seconds(pick(60));
      s.jobs.push_back(std::move(p));
    }
  }
};

void cold_round(benchmark::State& state) {
  const Burst burst(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
  std::size_t placed = 0;
  for (auto _ : state) {
    const planner::Plan plan = planner::place(burst.s);
    placed = plan.placements.size();
    benchmark::DoNotOptimize(placed);
  }
  state.counters["placements"] = static_cast<double>(placed);
}

}  // namespace

BENCHMARK(cold_round)
    ->Unit(benchmark::kMillisecond)
    ->ArgsProduct({{1000, 10000}, {100, 1000}})
    ->Args({50000, 1000});

BENCHMARK_MAIN();
