// Meetings of troubles: two or three at chosen distances from one another, drawn from a fixed seed, while
// users submit, ask and cancel. A failure prints the seed and the day; WRENUSHER_MEETINGS draws more than CI
// does, from WRENUSHER_SEED on.

#include <gtest/gtest.h>

#include <cstdlib>

#include "job_api_fixture.hpp"
#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;

namespace {

std::uint64_t number_from(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// What a site file would say of it.
std::string told(const FaultSpec& t) {
  return t.what + " at " + std::to_string(to_seconds(t.at)).substr(0, 6) + " s for " +
         std::to_string(to_seconds(t.lasts)).substr(0, 5) + " s" + (t.whom.empty() ? "" : " " + t.whom) +
         "; ";
}

FaultSpec draw(World& w, Micros at) {
  struct Kind {
    const char* what;
    double least;
    double most;
    double share;
  };
  // Longer than cancel_s where that is what hurts.
  static const std::vector<Kind> kinds = {
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
  const Kind& k = kinds[static_cast<std::size_t>(w.pick(static_cast<int>(kinds.size())))];
  FaultSpec t;
  t.what = k.what;
  t.at = at;
  t.lasts = from_seconds(w.uniform(k.least, k.most));
  t.share = k.share;
  if (t.what.starts_with("controller") || t.what == "state_refuses") t.whom = w.pick(3) > 0 ? "leader" : "";
  return t;
}

/// Work of every kind, and users who cancel some of it all the time.
void load(World& w) {
  for (int i = 0; i < 16; ++i) {
    // Jobs of two or three tasks among them, which end far apart.
    SimulatedJob job;
    job.spec = World::job(
        i, i % 3 == 0 ? 2 + static_cast<std::uint32_t>(w.pick(2)) : 1 + static_cast<std::uint32_t>(w.pick(8)),
        4, w.uniform(5, 30));
    if (i % 4 == 3) job.spec.resources.cores = to_amount(16);
    if (i % 5 == 4)
      job.spec.checkpoint_interval = from_seconds(5), job.spec.checkpoint_time = from_seconds(2);
    if (i % 7 == 6) job.spec.expected_runtime = from_seconds(120);  // long
    job.run_time = job.spec.expected_runtime;
    w.at(from_seconds(w.uniform(0, 80)), [&w, job] { w.submit(job); });
    if (i % 4 == 1)
      w.at(from_seconds(w.uniform(30, 120)), [&w, job_id = job.spec.job_id] { w.cancel(job_id); });
  }
  JobSpec gang = World::job(50, 5, 8, 20);
  gang.type = JobType::gang;
  gang.single_zone = w.pick(2) == 0;
  w.at(from_seconds(15), [&w, gang] { w.submit(gang); });
  JobSpec service = World::job(51, 3, 4, 0);
  service.type = JobType::service;
  service.spread_zones = true;
  w.at(from_seconds(10), [&w, service] { w.submit(service); });
  w.at(from_seconds(w.uniform(60, 120)), [&w, service] { w.cancel(service.job_id); });
}

}  // namespace

TEST(Meetings, TwoOrThreeTroublesAtAnyDistanceKeepTheRulesAndTheJobs) {
  const std::uint64_t from = number_from("WRENUSHER_SEED", 7000);
  const std::uint64_t days = number_from("WRENUSHER_MEETINGS", 40);
  for (std::uint64_t seed = from; seed < from + days; ++seed) {
    World w(seed);
    load(w);
    std::string story;
    Micros end{};
    double at = w.uniform(35, 70);
    for (int n = 2 + w.pick(2); n > 0; --n) {
      const FaultSpec t = draw(w, from_seconds(at));
      story += told(t);
      w.at(t.at, [&w, t] { w.inject_fault(t); });
      end = std::max(end, t.at + t.lasts * (t.what == "rolling_restart" ? 3 : 1) + from_seconds(2));
      // From at once to well apart.
      at += w.pick(2) == 0 ? w.uniform(0, 2) : w.uniform(2, 30);
    }
    end = std::max(end, from_seconds(130));
    w.at(end, [&w] {
      w.heal();
      w.checker.troubles_over(w.now());
    });
    w.run(end + from_seconds(420));
    w.checker.judge(w.now());
    EXPECT_TRUE(w.checker.broken().empty())
        << "WRENUSHER_SEED=" << seed << " WRENUSHER_MEETINGS=1: " << story << "\n"
        << notes(w).substr(0, 1500);
    EXPECT_EQ(w.live(), 0U) << "WRENUSHER_SEED=" << seed << " WRENUSHER_MEETINGS=1: " << story;
  }
}

// A slow state service: an answer to one question passes that to an earlier one. What a node has told must
// not be followed by what it read before.
TEST(Meetings, AReadThatComesAfterANewerOneTellsNothingOlder) {
  for (const bool ended : {false, true}) {
    DeskByHand d;
    d.poll();
    const auto slow = d.sent();
    d.poll();
    const auto quick = d.sent();
    if (ended) {
      DeskByHand::answer(quick, 404, DeskByHand::none(9));
      DeskByHand::answer(d.sent(), 200,
                         Value::Map{{"k", "end/" + d.ref},
                                    {"value", wrenusher::records::write_final_state("done", 1)},
                                    {"stamp", std::uint64_t{9}}});
    } else {
      DeskByHand::answer(quick, 200, d.live(9, true));
    }
    DeskByHand::answer(slow, 200, d.live(5, false));
    const std::string told = ended ? "done" : "withdrawn";
    EXPECT_EQ(d.states, (std::vector<std::string>{told, told}));
  }
}

namespace {

/// Plays on until all is over; nothing is lost and no rule broken.
void settle(World& w, double seconds, const std::string& what) {
  w.heal();
  w.checker.troubles_over(w.now());
  w.run(from_seconds(seconds));
  w.checker.judge(w.now());
  EXPECT_TRUE(w.checker.broken().empty()) << what << "\n" << notes(w).substr(0, 1500);
  EXPECT_EQ(w.live(), 0U) << what;
}

}  // namespace

// Every write of the service without an answer, carried out after newer ones of the same controller; the
// conditions that make it harmless are listed in docs/design.md.
TEST(Meetings, WritesThatAreCarriedOutLateHarmNothing) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World w(300 + seed);
    load(w);
    w.run(from_seconds(25));
    w.write_late(0.4);
    // In some the leader ends, hands over for want of the state service, or all begin anew meanwhile.
    if (seed % 4 == 1)
      w.at(from_seconds(w.uniform(5, 50)), [&w] { w.crash(std::max(0, w.leader()), from_millis(400)); });
    if (seed % 4 == 2)
      w.at(from_seconds(w.uniform(5, 50)), [&w] {
        w.inject_fault({"state_refuses", {}, from_seconds(12), {}, "leader", 0});
      });
    if (seed % 4 == 3)
      w.at(from_seconds(w.uniform(5, 50)), [&w] {
        w.inject_fault({"all_crash", {}, from_millis(700), {}, "", 0});
      });
    w.run(from_seconds(60));
    w.write_late(0);
    w.run(from_seconds(13));
    settle(w, 400, "seed " + std::to_string(seed));
  }
}

// It goes on answering its workers and users while another leads, through whom jobs are cancelled.
TEST(Meetings, ALeaderAloneWithWorkersAndUsersLetsBothGoAndCancelledWorkIsGone) {
  for (const LinkCut how : {LinkCut::reset, LinkCut::hold}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      World w(400 + seed, World::small_site(), 4);
      std::vector<std::string> job_ids;
      for (int i = 0; i < 12; ++i) {
        const JobSpec s = World::job(i, 1 + static_cast<std::uint32_t>(i % 3), 2, 300);
        job_ids.push_back(s.job_id);
        w.submit(s);
      }
      w.run(from_seconds(40));
      const int alone = w.leader();
      ASSERT_GE(alone, 0);
      w.leave_alone(alone, how);
      const std::uint64_t term = w.terms();
      for (int i = 0; i < 2000 && (w.terms() == term || w.leader() < 0); ++i) w.run(from_millis(10));
      ASSERT_GE(w.leader(), 0);
      ASSERT_NE(w.leader(), alone);
      for (std::size_t i = 0; i < job_ids.size(); i += 2) w.cancel(job_ids[i]);
      w.run(from_seconds(3));
      // Its users are told to come back at once, and no new ones are sent to it.
      const auto poll = w.ask(alone, {"GET", "/submissions/" + job_ids[1], {}});
      ASSERT_TRUE(poll.has_value());
      EXPECT_EQ(poll->status, 503);
      EXPECT_GT(poll->retry_after_s, 0);
      // Its workers find the other leader, and cancelled work is gone there.
      w.run(World::small_site().cancel_deadline - from_seconds(3));
      std::set<std::string> left;
      for (const std::string& h : w.hosts()) {
        for (const auto& [ref, task] : w.tasks_on(h)) left.insert(ref);
      }
      for (std::size_t i = 0; i < job_ids.size(); ++i)
        EXPECT_EQ(left.contains(job_ids[i]), i % 2 == 1) << job_ids[i];
      for (std::size_t i = 1; i < job_ids.size(); i += 2) w.cancel(job_ids[i]);
      w.run(from_seconds(20));
      settle(w, 60, "seed " + std::to_string(seed));
    }
  }
}

// The next leader is not heard by the machines on which long tasks run, or can't reach them, for less than a
// lease; they are neither started twice nor lost to impatience, and what is cancelled meanwhile is gone.
TEST(Meetings, LongTasksOnMachinesThatCannotBeReachedForAWhileOutliveTheirLeader) {
  for (const bool deaf : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      World w(500 + seed, World::small_site(), 4);
      std::vector<std::string> job_ids;
      for (int i = 0; i < 12; ++i) {
        const JobSpec s = World::job(i, 1 + static_cast<std::uint32_t>(i % 3), 2, 120);
        job_ids.push_back(s.job_id);
        w.submit(s);
      }
      w.run(from_seconds(40));
      const int leader = w.leader();
      ASSERT_GE(leader, 0);
      const std::vector<std::string> hosts = w.hosts();
      const auto jobs_on = [&w] {
        std::set<std::string> on;
        for (const std::string& h : w.hosts()) {
          for (const auto& [ref, task] : w.tasks_on(h)) on.insert(ref);
        }
        return on;
      };
      const std::set<std::string> before = jobs_on();
      ASSERT_GE(before.size(), 8U);
      for (std::size_t i = 0; i < hosts.size(); i += 2) {
        for (int c = 0; c < 3; ++c) {
          const std::string node = "c" + std::to_string(c);
          if (deaf) {
            w.cut_one_way(node, hosts[i], LinkCut::reset);
          } else {
            w.cut(node, hosts[i], LinkCut::hold);
          }
        }
      }
      w.crash(leader, from_seconds(60));
      for (std::size_t i = 0; i < job_ids.size(); i += 3) w.cancel(job_ids[i]);
      const double away = w.uniform(1, deaf ? 3 : 3.5);
      w.run(from_seconds(away));
      w.heal();
      w.run(from_seconds(4));
      // Those that are not cancelled still run where they did: no lease has run out.
      const std::set<std::string> left = jobs_on();
      for (std::size_t i = 0; i < job_ids.size(); ++i) {
        if (i % 3 == 0 || !before.contains(job_ids[i])) continue;
        EXPECT_TRUE(left.contains(job_ids[i])) << job_ids[i] << " seed " << seed << (deaf ? " deaf" : "");
      }
      settle(w, 400, "seed " + std::to_string(seed));
    }
  }
}
