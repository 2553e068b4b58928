// Tests of failover in a simulated cluster with the invariant checker enabled: how soon the next leader
// schedules tasks, which state it inherits, and that combinations of failures violate no invariant.

#include <gtest/gtest.h>

#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::events::Readiness;

namespace {

std::string controller_name(int controller) {
  return "c" + std::to_string(controller);
}

/// Runs until the condition is true or the timeout has passed. Returns the time that passed.
Micros run_until(World& world, Micros timeout, const std::function<bool()>& condition) {
  const Instant start = world.now();
  while (!condition() && world.now() - start < timeout) world.run(from_millis(5));
  return world.now() - start;
}

/// Submits jobs for the whole time around a failover: arrays of short tasks, a gang and a service.
void submit_workload(World& world, double duration_s) {
  for (int i = 0; i * 3 < duration_s; ++i) {
    JobSpec spec = World::job(i, 2 + static_cast<std::uint32_t>(world.pick(8)), 4, world.uniform(5, 20));
    if (i % 4 == 3) spec.resources.cores = to_amount(16);
    if (i % 5 == 4) spec.checkpoint_interval = from_seconds(5), spec.checkpoint_time = from_seconds(2);
    world.at(from_seconds(3 * i), [&world, spec] { world.submit(spec); });
  }
  JobSpec gang = World::job(900, 4, 8, 20);
  gang.type = JobType::gang;
  gang.single_zone = true;
  world.at(from_seconds(30), [&world, gang] { world.submit(gang); });
  JobSpec service = World::job(901, 3, 2, 0);
  service.type = JobType::service;
  service.spread_zones = true;
  world.at(from_seconds(5), [&world, service] { world.submit(service); });
  world.at(from_seconds(duration_s + 60), [&world, service] { world.cancel(service.job_id); });
}

/// A set of faults around a failover. `leader`: the controller that leads when they are injected.
struct FaultScenario {
  const char* name;
  std::function<void(World& world, int leader)> inject;
};

void crash_controller(World& world, int controller) {
  world.crash(controller, from_seconds(20));
}
int other_controller(int leader, int offset = 1) {
  return (leader + offset) % 3;
}
/// Runs the action as soon as the next term has begun.
void on_next_term(World& world, std::function<void()> action) {
  const std::uint64_t term_before = world.terms();
  auto poll = std::make_shared<std::function<void()>>();
  *poll = [&world, action = std::move(action), term_before, weak = std::weak_ptr(poll)] {
    if (world.terms() > term_before) {
      action();
    } else if (const auto next_poll = weak.lock()) {
      world.at(from_millis(5), [next_poll] { (*next_poll)(); });
    }
  };
  (*poll)();
}
void heal_after(World& world, double seconds) {
  world.at(from_seconds(seconds), [&world] { world.heal(); });
}

std::vector<FaultScenario> fault_scenarios() {
  return {
      {"a commit is in flight with an unknown outcome",
       [](World& world, int leader) {
         world.cut_one_way("state", controller_name(leader), LinkCut::reset);
         world.at(from_millis(400), [&world, leader] { crash_controller(world, leader); });
         heal_after(world, 20);
       }},
      {"requests of a crashed leader reach the state service late",
       [](World& world, int leader) {
         world.cut_one_way(controller_name(leader), "state", LinkCut::hold);
         world.at(from_seconds(1), [&world, leader] { crash_controller(world, leader); });
         heal_after(world, 9);
       }},
      {"two failovers in a row, the second during the verification of the first",
       [](World& world, int leader) {
         on_next_term(world, [&world] {
           world.at(from_millis(10), [&world] {
             for (int i = 0; i < 3; ++i)
               if (world.leader() == i) crash_controller(world, i);
           });
         });
         crash_controller(world, leader);
       }},
      {"the preferred standby crashes with the leader",
       [](World& world, int leader) {
         crash_controller(world, leader);
         crash_controller(world, std::min(other_controller(leader), other_controller(leader, 2)));
       }},
      {"a standby is cut off from the leader only",
       [](World& world, int leader) {
         world.cut(controller_name(leader), controller_name(other_controller(leader)), LinkCut::hold);
         world.at(from_seconds(8), [&world, leader] { crash_controller(world, leader); });
         heal_after(world, 30);
       }},
      {"a standby receives nothing from the leader, but the leader receives from it",
       [](World& world, int leader) {
         world.cut_one_way(controller_name(leader), controller_name(other_controller(leader)),
                           LinkCut::reset);
         world.at(from_seconds(8), [&world, leader] { crash_controller(world, leader); });
         heal_after(world, 30);
       }},
      {"the leader receives nothing from a standby",
       [](World& world, int leader) {
         world.cut_one_way(controller_name(other_controller(leader)), controller_name(leader), LinkCut::hold);
         world.at(from_seconds(8), [&world, leader] { crash_controller(world, leader); });
         heal_after(world, 30);
       }},
      {"one standby is cut off from the state service, the other receives no responses from it",
       [](World& world, int leader) {
         world.cut(controller_name(other_controller(leader)), "state", LinkCut::hold);
         world.cut_one_way("state", controller_name(other_controller(leader, 2)), LinkCut::hold);
         world.at(from_seconds(5), [&world, leader] { crash_controller(world, leader); });
         heal_after(world, 12);
       }},
      {"the standbys are cut off from the workers",
       [](World& world, int leader) {
         for (const std::string& host : world.hosts()) {
           world.cut(controller_name(other_controller(leader)), host, LinkCut::hold);
           world.cut_one_way(controller_name(other_controller(leader, 2)), host, LinkCut::reset);
         }
         world.at(from_seconds(2), [&world, leader] { crash_controller(world, leader); });
         heal_after(world, 20);
       }},
      {"a standby stalls for longer than a lease and still reports itself as warm",
       [](World& world, int leader) {
         world.stall(other_controller(leader), from_seconds(9));
         world.at(from_seconds(8), [&world, leader] { crash_controller(world, leader); });
       }},
      {"the leader stalls and resumes",
       [](World& world, int leader) { world.stall(leader, from_seconds(7)); }},
      {"the state service is down during the verification",
       [](World& world, int leader) {
         on_next_term(world, [&world] {
           world.state_outage(true);
           world.at(from_seconds(6), [&world] { world.state_outage(false); });
         });
         crash_controller(world, leader);
       }},
      {"the state service is slow during the verification",
       [](World& world, int leader) {
         world.state_slow(from_millis(600));
         world.at(from_seconds(15), [&world] { world.state_slow(Micros{0}); });
         crash_controller(world, leader);
       }},
      {"the state service rejects requests of the new leader only",
       [](World& world, int leader) {
         on_next_term(world, [&world] {
           for (int i = 0; i < 3; ++i) {
             if (world.leader() != i) continue;
             world.state_refuses(i, true);
             world.at(from_seconds(8), [&world, i] { world.state_refuses(i, false); });
           }
         });
         crash_controller(world, leader);
       }},
      {"all controllers restart at the same time",
       [](World& world, int) {
         for (int i = 0; i < 3; ++i) world.crash(i, from_seconds(3));
       }},
      {"all controllers restart one after the other while a zone is cut off",
       [](World& world, int) {
         world.cut_zone("b", LinkCut::hold);
         heal_after(world, 25);
         for (int i = 0; i < 3; ++i)
           world.at(from_seconds(6 * i), [&world, i] { world.crash(i, from_seconds(3)); });
       }},
      {"spot machines are reclaimed just before the failover",
       [](World& world, int leader) {
         for (const std::string& host : world.hosts()) world.take(host, from_seconds(world.uniform(0, 3)));
         world.at(from_seconds(1), [&world, leader] { crash_controller(world, leader); });
       }},
      {"machines hang that are healthy according to the hints",
       [](World& world, int leader) {
         world.at(from_millis(300), [&world] {
           for (const std::string& host : world.hosts()) {
             if (world.pick(2) == 0) world.hang(host, from_seconds(world.uniform(3, 25)));
           }
         });
         crash_controller(world, leader);
       }},
      {"machines come up that only the crashed leader knew",
       [](World& world, int leader) {
         for (int i = 1; i < 3; ++i)
           world.cut(controller_name(leader), controller_name(other_controller(leader, i)), LinkCut::reset);
         for (int i = 500; i < 512; ++i) world.submit(World::job(i, 6, 8, 10));
         world.at(from_seconds(2), [&world, leader] { crash_controller(world, leader); });
         heal_after(world, 20);
       }},
      {"a second fencing token is issued within half a lease",
       [](World& world, int leader) {
         crash_controller(world, leader);
         on_next_term(world, [&world] {
           world.at(from_millis(700), [&world] {
             for (int i = 0; i < 3; ++i)
               if (world.leader() == i) world.stall(i, from_seconds(6));
           });
         });
       }},
      {"the new leader is short of CPU time",
       [](World& world, int leader) {
         on_next_term(world, [&world] {
           for (int pause_index = 0; pause_index < 8; ++pause_index) {
             world.at(from_millis(400 * pause_index), [&world] {
               for (int i = 0; i < 3; ++i)
                 if (world.leader() == i) world.stall(i, from_millis(300));
             });
           }
         });
         crash_controller(world, leader);
       }},
      {"users cancel running jobs while there is no leader",
       [](World& world, int leader) {
         crash_controller(world, leader);
         for (int i = 0; i < 20; i += 3)
           world.at(from_millis(200 * i), [&world, i] { world.cancel(World::job(i, 1, 1, 1).job_id); });
       }},
  };
}

/// A site with a fixed set of machines of one type that are not returned when idle, so that the images cached
/// on them are known.
Site fixed_site(bool standby) {
  Site site = parse_site(small_site_yaml(), "site.yaml");
  site.types.resize(1);
  site.types[0].spot = 0;
  site.types[0].ordinary = 12;
  site.machines = 12;
  site.settings.tunables.idle_return = from_seconds(3600);
  site.settings.tunables.warm_standby = standby;
  return site;
}

/// Number of start commands, and of those sent to a machine with the task's image in its cache.
struct StartCommands {
  std::size_t total = 0;
  std::size_t with_cached_image = 0;
};

/// Runs a job whose image stays cached on some machines, crashes the leader, and submits a second job with
/// the same image. Returns the start commands for the second job.
StartCommands start_commands_after_failover(bool standby) {
  World world(11, fixed_site(standby));
  world.run(from_seconds(15));
  // The filler job occupies the machines with the lowest names, so that the image is cached on others.
  JobSpec filler = World::job(5, 8, 16, 40);
  filler.image = "zero";
  world.submit(filler);
  world.run(from_seconds(8));
  JobSpec first = World::job(1, 12, 4, 10);
  first.image = "one";
  first.image_gb = 12;
  world.submit(first);
  world.run(from_seconds(80));
  const int leader = world.leader();
  StartCommands commands;
  world.crash(leader, from_seconds(60));
  run_until(world, from_seconds(15), [&] { return world.leader() >= 0; });
  world.run(from_seconds(4));
  world.machines().on_command = [&](const std::string&, std::uint32_t, std::uint64_t, bool has_image) {
    ++commands.total;
    commands.with_cached_image += has_image ? 1 : 0;
  };
  JobSpec second = World::job(3, 6, 4, 10);
  second.image = "one";
  second.image_gb = 12;
  world.submit(second);
  world.run(from_seconds(30));
  EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
  return commands;
}

}  // namespace

TEST(FailoverTest, FaultScenariosViolateNoInvariantAndLoseNoJob) {
  for (const FaultScenario& scenario : fault_scenarios()) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      World world(seed * 7);
      submit_workload(world, 90);
      world.run(from_seconds(45));
      ASSERT_GE(world.leader(), 0);
      scenario.inject(world, world.leader());
      world.run(from_seconds(420));
      EXPECT_TRUE(world.checker.broken().empty()) << scenario.name << ", seed " << seed << "\n"
                                                  << notes(world);
      EXPECT_EQ(world.live(), 0U) << scenario.name << ", seed " << seed;
      EXPECT_GE(world.leader(), 0) << scenario.name << ", seed " << seed;
    }
  }
}

TEST(FailoverTest, PairsOfFaultScenariosViolateNoInvariantAndLoseNoJob) {
  const auto scenarios = fault_scenarios();
  for (std::size_t i = 0; i < scenarios.size(); ++i) {
    const FaultScenario& first = scenarios[i];
    const FaultScenario& second = scenarios[(i * 5 + 3) % scenarios.size()];
    World world(400 + i);
    submit_workload(world, 110);
    world.run(from_seconds(45));
    ASSERT_GE(world.leader(), 0);
    first.inject(world, world.leader());
    world.run(from_seconds(world.uniform(2, 12)));
    second.inject(world, std::max(0, world.leader()));
    world.run(from_seconds(450));
    EXPECT_TRUE(world.checker.broken().empty()) << first.name << " and " << second.name << "\n"
                                                << notes(world);
    EXPECT_EQ(world.live(), 0U) << first.name << " and " << second.name;
  }
}

TEST(FailoverTest, StartsTermAndTasksSoonAfterLeaseExpires) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    World world(seed);
    submit_workload(world, 120);
    world.run(from_seconds(60));
    const int leader = world.leader();
    ASSERT_GE(leader, 0);
    for (int i = 1; i < 3; ++i) EXPECT_EQ(world.ready(other_controller(leader, i)), Readiness::warm);
    std::optional<Instant> first_command_at;
    const Instant crashed_at = world.now();
    world.crash(leader, from_seconds(40));
    const Micros lease = World::small_site().tunables.leader_lease;
    EXPECT_LE(run_until(world, from_seconds(15), [&] { return world.leader() >= 0; }),
              lease + from_millis(250));
    world.machines().on_command = [&](const std::string&, std::uint32_t, std::uint64_t, bool) {
      if (!first_command_at) first_command_at = world.now();
    };
    for (int i = 600; i < 604; ++i) world.submit(World::job(i, 4, 1, 5));
    world.run(from_seconds(8));
    ASSERT_TRUE(first_command_at);
    EXPECT_LE(*first_command_at - crashed_at, lease + from_millis(1500)) << "seed " << seed;
    world.run(from_seconds(20));
    ASSERT_FALSE(world.failovers().empty());
    const auto& times = world.failovers().back().parts;
    EXPECT_TRUE(times.from_replica);
    EXPECT_LE(times.last_machine, from_seconds(2.5)) << "seed " << seed;
    EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
  }
}

TEST(FailoverTest, NewLeaderPrefersMachinesWithCachedImage) {
  const StartCommands warm = start_commands_after_failover(true);
  const StartCommands cold = start_commands_after_failover(false);
  EXPECT_EQ(warm.total, 6U);
  EXPECT_EQ(warm.with_cached_image, warm.total);
  EXPECT_LT(cold.with_cached_image, cold.total);
}

TEST(FailoverTest, LeaderWithoutWorkerReportsHandsOverQuickly) {
  World world(33);
  for (int i = 1; i < 16; i += 2) world.submit(World::job(i, 4, 8, 200));
  world.run(from_seconds(60));
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  for (const std::string& host : world.hosts()) world.cut(controller_name(leader), host, LinkCut::hold);
  run_until(world, from_seconds(30), [&] { return world.leader() != leader; });
  EXPECT_LE(run_until(world, from_seconds(10), [&] { return world.leader() >= 0; }), from_millis(400));
  EXPECT_NE(world.leader(), leader);
  EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
}

TEST(FailoverTest, CpuStarvedLeaderHandsOver) {
  World world(45);
  submit_workload(world, 90);
  world.run(from_seconds(50));
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  // The leader runs for only 0.1 s of each second, which is enough to renew its lease but delays everything
  // else.
  for (int second = 0; second < 25; ++second)
    world.at(from_seconds(second), [&world, leader] { world.stall(leader, from_millis(900)); });
  EXPECT_LE(
      run_until(world, from_seconds(25), [&] { return world.leader() >= 0 && world.leader() != leader; }),
      from_seconds(14));
  EXPECT_NE(world.leader(), leader);
  world.run(from_seconds(400));
  EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
  EXPECT_EQ(world.live(), 0U);
}

TEST(FailoverTest, OtherStandbyStaysWarmUnderNextLeader) {
  // Guards against a standby with the same hints as the new leader that was reported as partly warm until a
  // hint changed. A heartbeat lost at that moment makes the standby less than warm for a while, so the test
  // runs several seeds.
  int warm = 0;
  for (std::uint64_t seed = 41; seed <= 50; ++seed) {
    World world(seed);
    submit_workload(world, 30);
    world.run(from_seconds(70));
    const int leader = world.leader();
    ASSERT_GE(leader, 0);
    world.crash(leader, from_seconds(60));
    run_until(world, from_seconds(10), [&] { return world.leader() >= 0; });
    world.run(from_seconds(2));
    warm += world.ready(3 - leader - world.leader()) == Readiness::warm ? 1 : 0;
  }
  EXPECT_GE(warm, 8);
}

TEST(FailoverTest, OtherStandbyTakesOverWhenPreferredOneStalls) {
  World world(35);
  submit_workload(world, 60);
  world.run(from_seconds(50));
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  const int warmest = std::min(other_controller(leader), other_controller(leader, 2));
  world.crash(leader, from_seconds(60));
  world.run(from_seconds(2));
  world.stall(warmest, from_seconds(20));
  EXPECT_LE(run_until(world, from_seconds(15), [&] { return world.leader() >= 0; }), from_seconds(3.5));
  EXPECT_EQ(world.leader(), 3 - leader - warmest);
  world.run(from_seconds(30));
  EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
}

TEST(FailoverTest, RestartedLeaderYieldsToWarmPeer) {
  World world(37);
  submit_workload(world, 60);
  world.run(from_seconds(50));
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  world.crash(leader, from_seconds(1));
  EXPECT_LE(run_until(world, from_seconds(15), [&] { return world.leader() >= 0; }), from_seconds(1.6));
  EXPECT_NE(world.leader(), leader);
  world.run(from_seconds(30));
  EXPECT_TRUE(world.failovers().back().parts.from_replica);
  EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
}

TEST(FailoverTest, TopologyChangeDoesNotBlockFailover) {
  // Some of the controllers have read a newer topology when the leader crashes. The next leader is the warm
  // controller with the active topology or, after a longer time, any controller. No invariant is violated.
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Site site = parse_site(small_site_yaml(), "site.yaml");
    const std::string topology_text =
        "version: 1\nlevels: [rack]\ndomains:\n  r0: {level: rack, machines: [{host: \"m-*\"}]}\n";
    site.topology_text = topology_text;
    World world(50 + seed, site);
    submit_workload(world, 80);
    world.run(from_seconds(45));
    const int leader = world.leader();
    ASSERT_GE(leader, 0);
    std::string newer_topology_text = topology_text;
    newer_topology_text.replace(newer_topology_text.find("1"), 1, "2");
    world.edit_topology(newer_topology_text);
    world.run(from_seconds(world.uniform(0, 2.5)));
    crash_controller(world, leader);
    EXPECT_LE(run_until(world, from_seconds(20), [&] { return world.leader() >= 0; }), from_seconds(11))
        << "seed " << seed;
    world.run(from_seconds(400));
    EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
    EXPECT_EQ(world.live(), 0U);
  }
}

TEST(FailoverTest, StartsServiceReplicasLostWithLeaderFirst) {
  // A machine with service replicas fails at the same time as the leader, while array jobs wait for any free
  // capacity.
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    World world(60 + seed);
    JobSpec service = World::job(901, 6, 4, 0);
    service.type = JobType::service;
    service.priority = Priority::prod;
    world.submit(service);
    world.run(from_seconds(30));
    for (int i = 0; i < 30; ++i) world.submit(World::job(i, 8, 4, 25));
    world.run(from_seconds(15));
    const auto hosts = world.hosts();
    const auto replicas_on = [&](const std::string& host) {
      const auto tasks = world.tasks_on(host);
      return std::count_if(tasks.begin(), tasks.end(),
                           [&](const auto& task) { return task.first == service.job_id; });
    };
    const auto host_with_replicas = std::find_if(
        hosts.begin(), hosts.end(), [&](const std::string& host) { return replicas_on(host) > 0; });
    ASSERT_NE(host_with_replicas, hosts.end());
    auto lost_replicas = replicas_on(*host_with_replicas);
    const int leader = world.leader();
    ASSERT_GE(leader, 0);
    world.die(*host_with_replicas);
    crash_controller(world, leader);
    world.machines().on_command = [&](const std::string& job_id, std::uint32_t, std::uint64_t, bool) {
      if (job_id == service.job_id) --lost_replicas;
    };
    // The replicas may only be started after the lease has expired, the machine has been silent for long
    // enough and the cloud has confirmed that the machine is gone.
    world.run(from_seconds(16));
    EXPECT_EQ(lost_replicas, 0) << "seed " << seed;
    EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
  }
}

TEST(FailoverTest, StandbysUseSmallShareOfStateServiceRate) {
  World world(39);
  submit_workload(world, 120);
  world.run(from_seconds(20));
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  std::uint64_t requests_before = 0;
  for (int i = 1; i < 3; ++i)
    requests_before += world.state_requests(controller_name(other_controller(leader, i)));
  world.run(from_seconds(100));
  std::uint64_t requests_after = 0;
  for (int i = 1; i < 3; ++i)
    requests_after += world.state_requests(controller_name(other_controller(leader, i)));
  // The requests of two standbys: reads, watches and users' queries.
  EXPECT_LT(static_cast<double>(requests_after - requests_before), 0.1 * 100 * World::small_site().state_rps);
}

TEST(FailoverTest, ReadsRecordsWhenWarmStandbyIsDisabled) {
  Settings settings = World::small_site();
  settings.tunables.warm_standby = false;
  World world(41, settings);
  submit_workload(world, 60);
  world.run(from_seconds(50));
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  for (int i = 1; i < 3; ++i) EXPECT_EQ(world.ready(other_controller(leader, i)), Readiness::cold);
  crash_controller(world, leader);
  world.run(from_seconds(400));
  EXPECT_FALSE(world.failovers().back().parts.from_replica);
  EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
  EXPECT_EQ(world.live(), 0U);
}

namespace {

/// A gang of four tasks, each on a machine of its own, whose image takes a while to fetch. Records the tasks
/// for which start commands were sent, by attempt.
struct GangFixture {
  World world;
  JobSpec gang;
  std::map<std::uint64_t, std::multiset<std::uint32_t>> start_commands;
  explicit GangFixture(std::uint64_t seed) : world(seed, gang_site()) {
    gang = World::job(1, 4, 16, 30);
    gang.type = JobType::gang;
    gang.single_zone = true;
    gang.spot_allowed = false;
    gang.image_gb = 20;
    gang.checkpoint_interval = from_seconds(5);
    gang.checkpoint_time = from_seconds(2);
    world.machines().on_command = [this](const std::string& job_id, std::uint32_t task, std::uint64_t attempt,
                                         bool) {
      if (job_id == gang.job_id) start_commands[attempt].insert(task);
    };
    world.run(from_seconds(15));
    world.submit(gang);
  }
  static Site gang_site() {
    Site site = fixed_site(true);
    site.settings.gang_start_timeout = from_seconds(60);
    return site;
  }
  /// Returns a machine that has, or is assigned, a task of the gang.
  std::string host_with_gang_task() const {
    for (const std::string& host : world.hosts()) {
      if (!world.tasks_on(host).empty()) return host;
    }
    return "";
  }
  void run_to_completion() {
    world.run(from_seconds(300));
    EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
    EXPECT_EQ(world.told(gang.job_id), "done");
  }
};

}  // namespace

TEST(FailoverTest, GangThatLosesTaskBeforeStartKeepsAttempt) {
  for (const bool crash_leader : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      GangFixture fixture(seed);
      fixture.world.run(from_seconds(8));  // all tasks are waiting for their image
      ASSERT_EQ(fixture.start_commands[1].size(), 4U);
      const std::string host = fixture.host_with_gang_task();
      ASSERT_FALSE(host.empty());
      fixture.world.die(host);
      if (crash_leader) crash_controller(fixture.world, fixture.world.leader());
      fixture.run_to_completion();
      EXPECT_EQ(fixture.start_commands.size(), 1U) << "seed " << seed;
      EXPECT_EQ(fixture.start_commands[1].size(), 5U) << "seed " << seed;
    }
  }
}

TEST(FailoverTest, GangThatLosesRunningTaskRestartsFromCheckpoint) {
  for (const bool crash_leader : {false, true}) {
    GangFixture fixture(3);
    fixture.world.run(from_seconds(45));
    ASSERT_EQ(fixture.start_commands.size(), 1U);
    const std::string host = fixture.host_with_gang_task();
    ASSERT_FALSE(host.empty());
    fixture.world.die(host);
    if (crash_leader) crash_controller(fixture.world, fixture.world.leader());
    fixture.run_to_completion();
    EXPECT_EQ(fixture.start_commands.size(), 2U);
  }
}

TEST(FailoverTest, PreemptedGangContinuesUnderNextTerm) {
  // The leader crashes while the gang's tasks save their checkpoints, before they have left their machines.
  for (const std::int64_t delay_ms : {100, 600, 1500, 3000}) {
    GangFixture fixture(5);
    fixture.gang.spot_allowed = true;
    fixture.world.run(from_seconds(45));
    ASSERT_EQ(fixture.start_commands.size(), 1U);
    JobSpec service = World::job(51, 8, 16, 0);
    service.type = JobType::service;
    service.priority = Priority::prod;
    service.spot_allowed = false;
    fixture.world.submit(service);
    fixture.world.run(from_millis(delay_ms));
    if (fixture.world.leader() >= 0) crash_controller(fixture.world, fixture.world.leader());
    fixture.world.at(from_seconds(100), [&] { fixture.world.cancel(service.job_id); });
    fixture.run_to_completion();
  }
}
