// Tests of combined faults: two or three faults at random intervals, drawn from a fixed seed, while users
// submit, query and cancel jobs. A failure prints the seed and the faults. WRENUSHER_MEETINGS sets the number
// of scenarios, which may exceed the number run in CI, and WRENUSHER_SEED the first seed.

#include <gtest/gtest.h>

#include <cstdlib>

#include "job_api_fixture.hpp"
#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;

namespace {

std::uint64_t env_number(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// Describes the fault in the terms of a site file.
std::string describe(const FaultSpec& fault) {
  return fault.what + " at " + std::to_string(to_seconds(fault.at)).substr(0, 6) + " s for " +
         std::to_string(to_seconds(fault.lasts)).substr(0, 5) + " s" +
         (fault.whom.empty() ? "" : " " + fault.whom) + "; ";
}

FaultSpec draw_fault(World& world, Micros start) {
  struct FaultKind {
    const char* what;
    double min_duration_s;
    double max_duration_s;
    double share;
  };
  // Durations exceed cancel_s for the faults that can delay cancellations.
  static const std::vector<FaultKind> fault_kinds = {
      {"controller_crash", 0.05, 20, 0},
      {"controller_flickers", 3, 12, 0},
      {"controller_alone", 5, 50, 0},
      {"controller_cut", 5, 50, 0},
      {"controller_stalls", 1, 15, 0},
      {"all_crash", 0.3, 6, 0},
      {"machine_deaf", 5, 60, 0.3},
      {"machine_hangs", 2, 25, 0.3},
      {"machine_reborn", 1, 1, 0.2},
      {"machine_dies", 1, 1, 0.2},
      {"late_copies", 10, 60, 0.3},
      {"late_writes", 5, 40, 0.3},
      {"lost_answers", 5, 40, 0.3},
      {"state_outage", 1, 60, 0},
      {"store_gap", 20, 60, 0},
      {"state_refuses", 2, 40, 0},
      {"state_slow", 10, 60, 0},
      {"cloud_outage", 10, 60, 0},
      {"zone_cut", 5, 45, 0},
      {"question_storm", 20, 60, 0},
      {"spot_wave", 3, 8, 0.5},
      {"rolling_restart", 1, 8, 0},
      {"close_looks", 20, 60, 0},
      {"odd_requests", 10, 40, 0},
      {"cancel_at_end", 20, 60, 0.3},
      {"machine_mute", 5, 60, 0.3},
      {"mass_cancel", 1, 25, 0},
  };
  const FaultKind& kind =
      fault_kinds[static_cast<std::size_t>(world.pick(static_cast<int>(fault_kinds.size())))];
  FaultSpec fault;
  fault.what = kind.what;
  fault.at = start;
  fault.lasts = from_seconds(world.uniform(kind.min_duration_s, kind.max_duration_s));
  fault.share = kind.share;
  if (fault.what.starts_with("controller") || fault.what == "state_refuses")
    fault.whom = world.pick(3) > 0 ? "leader" : "";
  return fault;
}

/// Submits jobs of every kind, some of which users cancel throughout the run.
void submit_load(World& world) {
  for (int i = 0; i < 16; ++i) {
    // Some jobs have two or three tasks, which end at very different times.
    SimulatedJob job;
    job.spec = World::job(i,
                          i % 3 == 0 ? 2 + static_cast<std::uint32_t>(world.pick(2))
                                     : 1 + static_cast<std::uint32_t>(world.pick(8)),
                          4, world.uniform(5, 30));
    if (i % 4 == 3) job.spec.resources.cores = to_amount(16);
    if (i % 5 == 4)
      job.spec.checkpoint_interval = from_seconds(5), job.spec.checkpoint_time = from_seconds(2);
    if (i % 7 == 6) job.spec.expected_runtime = from_seconds(120);  // a long job
    job.run_time = job.spec.expected_runtime;
    world.at(from_seconds(world.uniform(0, 80)), [&world, job] { world.submit(job); });
    if (i % 4 == 1)
      world.at(from_seconds(world.uniform(30, 120)),
               [&world, job_id = job.spec.job_id] { world.cancel(job_id); });
  }
  JobSpec gang = World::job(50, 5, 8, 20);
  gang.type = JobType::gang;
  gang.single_zone = world.pick(2) == 0;
  world.at(from_seconds(15), [&world, gang] { world.submit(gang); });
  JobSpec service = World::job(51, 3, 4, 0);
  service.type = JobType::service;
  service.spread_zones = true;
  world.at(from_seconds(10), [&world, service] { world.submit(service); });
  world.at(from_seconds(world.uniform(60, 120)), [&world, service] { world.cancel(service.job_id); });
}

}  // namespace

TEST(CombinedFaultsTest, RandomFaultsAtAnyIntervalKeepRulesAndJobs) {
  const std::uint64_t from = env_number("WRENUSHER_SEED", 7000);
  const std::uint64_t scenario_count = env_number("WRENUSHER_MEETINGS", 40);
  for (std::uint64_t seed = from; seed < from + scenario_count; ++seed) {
    World world(seed);
    submit_load(world);
    std::string description;
    Micros end{};
    double start_s = world.uniform(35, 70);
    for (int n = 2 + world.pick(2); n > 0; --n) {
      const FaultSpec fault = draw_fault(world, from_seconds(start_s));
      description += describe(fault);
      world.at(fault.at, [&world, fault] { world.inject_fault(fault); });
      end =
          std::max(end, fault.at + fault.lasts * (fault.what == "rolling_restart" ? 3 : 1) + from_seconds(2));
      // The next fault starts at nearly the same time or well after this one.
      start_s += world.pick(2) == 0 ? world.uniform(0, 2) : world.uniform(2, 30);
    }
    end = std::max(end, from_seconds(130));
    world.at(end, [&world] {
      world.heal();
      world.checker.troubles_over(world.now());
    });
    world.run(end + from_seconds(420));
    world.checker.judge(world.now());
    EXPECT_TRUE(world.checker.broken().empty())
        << "WRENUSHER_SEED=" << seed << " WRENUSHER_MEETINGS=1: " << description << "\n"
        << notes(world).substr(0, 1500);
    EXPECT_EQ(world.live(), 0U) << "WRENUSHER_SEED=" << seed << " WRENUSHER_MEETINGS=1: " << description;
  }
}

// With a slow state service, the reply to a later read may overtake the reply to an earlier one. After a node
// has returned a state to a user, it must not return an older one.
TEST(StaleReadTest, LateReplyDoesNotReplaceNewerState) {
  for (const bool job_ended : {false, true}) {
    JobApiFixture fixture;
    fixture.poll();
    const auto delayed_call = fixture.take_call();
    fixture.poll();
    const auto newer_call = fixture.take_call();
    if (job_ended) {
      JobApiFixture::answer(newer_call, 404, JobApiFixture::revision_body(9));
      JobApiFixture::answer(fixture.take_call(), 200,
                            Value::Map{{"k", "end/" + fixture.job_id},
                                       {"value", wrenusher::records::write_final_state("done", 1)},
                                       {"stamp", std::uint64_t{9}}});
    } else {
      JobApiFixture::answer(newer_call, 200, fixture.live_record_body(9, true));
    }
    JobApiFixture::answer(delayed_call, 200, fixture.live_record_body(5, false));
    const std::string expected_state = job_ended ? "done" : "withdrawn";
    EXPECT_EQ(fixture.statuses, (std::vector<std::string>{expected_state, expected_state}));
  }
}

namespace {

/// Runs until all jobs have ended, and checks that no job is lost and no rule is broken.
void expect_recovery(World& world, double seconds, const std::string& context) {
  world.heal();
  world.checker.troubles_over(world.now());
  world.run(from_seconds(seconds));
  world.checker.judge(world.now());
  EXPECT_TRUE(world.checker.broken().empty()) << context << "\n" << notes(world).substr(0, 1500);
  EXPECT_EQ(world.live(), 0U) << context;
}

}  // namespace

// Writes that get no reply are executed after newer ones of the same controller; docs/design.md lists the
// conditions that make this harmless.
TEST(CombinedFaultsTest, DelayedWritesAreHarmless) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World world(300 + seed);
    submit_load(world);
    world.run(from_seconds(25));
    world.write_late(0.4);
    // Meanwhile, depending on the seed, the leader crashes, or hands over since the state service refuses it,
    // or all controllers restart.
    if (seed % 4 == 1)
      world.at(from_seconds(world.uniform(5, 50)),
               [&world] { world.crash(std::max(0, world.leader()), from_millis(400)); });
    if (seed % 4 == 2)
      world.at(from_seconds(world.uniform(5, 50)), [&world] {
        world.inject_fault({"state_refuses", {}, from_seconds(12), {}, "leader", 0});
      });
    if (seed % 4 == 3)
      world.at(from_seconds(world.uniform(5, 50)), [&world] {
        world.inject_fault({"all_crash", {}, from_millis(700), {}, "", 0});
      });
    world.run(from_seconds(60));
    world.write_late(0);
    world.run(from_seconds(13));
    expect_recovery(world, 400, "seed " + std::to_string(seed));
  }
}

// The isolated leader keeps replying to its workers and users while another controller leads, through which
// jobs are cancelled.
TEST(CombinedFaultsTest, IsolatedLeaderReleasesWorkersAndUsers) {
  for (const LinkCut cut_kind : {LinkCut::reset, LinkCut::hold}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      World world(400 + seed, World::small_site(), 4);
      std::vector<std::string> job_ids;
      for (int i = 0; i < 12; ++i) {
        const JobSpec spec = World::job(i, 1 + static_cast<std::uint32_t>(i % 3), 2, 300);
        job_ids.push_back(spec.job_id);
        world.submit(spec);
      }
      world.run(from_seconds(40));
      const int isolated = world.leader();
      ASSERT_GE(isolated, 0);
      world.leave_alone(isolated, cut_kind);
      const std::uint64_t term = world.terms();
      for (int i = 0; i < 2000 && (world.terms() == term || world.leader() < 0); ++i)
        world.run(from_millis(10));
      ASSERT_GE(world.leader(), 0);
      ASSERT_NE(world.leader(), isolated);
      for (std::size_t i = 0; i < job_ids.size(); i += 2) world.cancel(job_ids[i]);
      world.run(from_seconds(3));
      // The isolated leader answers at once with 503 and a retry delay; no new users are directed to it.
      const auto poll = world.ask(isolated, {"GET", "/submissions/" + job_ids[1], {}});
      ASSERT_TRUE(poll.has_value());
      EXPECT_EQ(poll->status, 503);
      EXPECT_GT(poll->retry_after_s, 0);
      // Its workers switch to the other leader, where the tasks of cancelled jobs stop.
      world.run(World::small_site().cancel_deadline - from_seconds(3));
      std::set<std::string> still_running;
      for (const std::string& host : world.hosts()) {
        for (const auto& [job_id, task] : world.tasks_on(host)) still_running.insert(job_id);
      }
      for (std::size_t i = 0; i < job_ids.size(); ++i)
        EXPECT_EQ(still_running.contains(job_ids[i]), i % 2 == 1) << job_ids[i];
      for (std::size_t i = 1; i < job_ids.size(); i += 2) world.cancel(job_ids[i]);
      world.run(from_seconds(20));
      expect_recovery(world, 60, "seed " + std::to_string(seed));
    }
  }
}

// For less than a lease, the next leader cannot reach the machines on which long tasks run, or they do not
// receive its messages. Their tasks must neither be started twice nor given up early, and tasks cancelled
// meanwhile must stop.
TEST(CombinedFaultsTest, TasksOnUnreachableMachinesSurviveFailover) {
  for (const bool one_way : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      World world(500 + seed, World::small_site(), 4);
      std::vector<std::string> job_ids;
      for (int i = 0; i < 12; ++i) {
        const JobSpec spec = World::job(i, 1 + static_cast<std::uint32_t>(i % 3), 2, 120);
        job_ids.push_back(spec.job_id);
        world.submit(spec);
      }
      world.run(from_seconds(40));
      const int leader = world.leader();
      ASSERT_GE(leader, 0);
      const std::vector<std::string> hosts = world.hosts();
      const auto running_jobs = [&world] {
        std::set<std::string> running;
        for (const std::string& host : world.hosts()) {
          for (const auto& [job_id, task] : world.tasks_on(host)) running.insert(job_id);
        }
        return running;
      };
      const std::set<std::string> before = running_jobs();
      ASSERT_GE(before.size(), 8U);
      for (std::size_t i = 0; i < hosts.size(); i += 2) {
        for (int controller = 0; controller < 3; ++controller) {
          const std::string node = "c" + std::to_string(controller);
          if (one_way) {
            world.cut_one_way(node, hosts[i], LinkCut::reset);
          } else {
            world.cut(node, hosts[i], LinkCut::hold);
          }
        }
      }
      world.crash(leader, from_seconds(60));
      for (std::size_t i = 0; i < job_ids.size(); i += 3) world.cancel(job_ids[i]);
      const double unreachable_s = world.uniform(1, one_way ? 3 : 3.5);
      world.run(from_seconds(unreachable_s));
      world.heal();
      world.run(from_seconds(4));
      // Tasks that were not cancelled still run on their machines: no lease has expired.
      const std::set<std::string> still_running = running_jobs();
      for (std::size_t i = 0; i < job_ids.size(); ++i) {
        if (i % 3 == 0 || !before.contains(job_ids[i])) continue;
        EXPECT_TRUE(still_running.contains(job_ids[i]))
            << job_ids[i] << " seed " << seed << (one_way ? ", one-way cut" : "");
      }
      expect_recovery(world, 400, "seed " + std::to_string(seed));
    }
  }
}
