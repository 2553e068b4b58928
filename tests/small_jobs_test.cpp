// Simulations with many small jobs: four one-task jobs per second, a quarter of them cancelled, without
// faults, across a change of leader, and with a state service whose rate limit is nearly reached.

#include <gtest/gtest.h>

#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;

namespace {

constexpr int kJobCount = 360;

/// Schedules four submissions per second. A quarter of the jobs are cancelled while they wait, while they run
/// or just after they have ended.
void schedule_jobs(World& world) {
  for (int i = 0; i < kJobCount; ++i) {
    SimulatedJob job;
    job.spec = World::job(i, 1, 1, world.uniform(2, 6));
    job.run_time = job.spec.expected_runtime;
    const double submit_at_s = 10 + i / 4.0;
    world.at(from_seconds(submit_at_s), [&world, job] { world.submit(job); });
    if (i % 4 == 3)
      world.at(from_seconds(submit_at_s + world.uniform(0.1, 9)),
               [&world, job_id = job.spec.job_id] { world.cancel(job_id); });
  }
}

/// Writes and requests to the state service, per job.
struct StateServiceUsage {
  double puts = 0;
  double requests = 0;
};

/// Runs the simulation until all jobs have ended, and checks that no rule was broken.
StateServiceUsage run_jobs(World& world, const std::string& scenario) {
  schedule_jobs(world);
  world.run(from_seconds(9));
  const auto requests = [&world] {
    std::uint64_t count = 0;
    for (const char* controller : {"c0", "c1", "c2"}) count += world.state_requests(controller);
    return count;
  };
  const std::uint64_t puts_before = world.kv_service().writes();
  const std::uint64_t requests_before = requests();
  world.run(from_seconds(100));
  const StateServiceUsage usage{static_cast<double>(world.kv_service().writes() - puts_before) / kJobCount,
                                static_cast<double>(requests() - requests_before) / kJobCount};
  world.heal();
  world.checker.troubles_over(world.now());
  world.run(from_seconds(160));
  world.checker.judge(world.now());
  EXPECT_TRUE(world.checker.broken().empty()) << scenario << "\n" << notes(world).substr(0, 1500);
  EXPECT_EQ(world.live(), 0U) << scenario;
  EXPECT_EQ(world.keys("job/"), 0U) << scenario;
  // Each job has a final state, done or withdrawn, which its user has received.
  EXPECT_EQ(world.keys("end/"), static_cast<std::size_t>(kJobCount)) << scenario;
  return usage;
}

}  // namespace

// Jobs arrive twice as fast as their records, assignments and ends could be written one by one. With batched
// writes, half of the rate limit of the small site's state service must be enough for them.
TEST(SmallJobsTest, FourJobsPerSecondTakeFewWritesAndRequests) {
  World world(801, World::small_site(), 3);
  const StateServiceUsage usage = run_jobs(world, "no fault");
  EXPECT_LT(usage.puts, 5);
  EXPECT_LT(usage.requests, 25);
}

TEST(SmallJobsTest, AllJobsEndDespiteFaultsAndFailovers) {
  struct Fault {
    const char* kind;
    double duration_s;
    const char* target;
  };
  std::uint64_t seed = 810;
  for (const Fault& fault :
       {Fault{"controller_crash", 0.3, "leader"}, Fault{"controller_crash", 20, "leader"},
        Fault{"controller_stalls", 7, "leader"}, Fault{"state_refuses", 8, "leader"},
        Fault{"state_outage", 12, ""}, Fault{"state_slow", 25, ""}, Fault{"all_crash", 1, ""},
        Fault{"close_looks", 60, ""}}) {
    World world(++seed, World::small_site(), 3);
    world.at(from_seconds(40), [&world, fault] {
      world.inject_fault({fault.kind, {}, from_seconds(fault.duration_s), {}, fault.target, 0});
    });
    run_jobs(world, fault.kind);
  }
}

// The rate limit of the state service is nearly reached. Submissions and cancellations by users take
// precedence over other requests, and no job is lost.
TEST(SmallJobsTest, AllJobsEndWhenStateServiceRateIsNearlyExhausted) {
  Settings settings = World::small_site();
  settings.state_rps = 60;
  settings.state_write_rps = 20;
  World world(830, settings, 3);
  run_jobs(world, "low rate limit");
}
