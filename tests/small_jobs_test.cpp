// A meeting of many small jobs: one-task jobs four a second, a quarter of them cancelled, also across a
// change of leader and at a state service's pace that is nearly used up.

#include <gtest/gtest.h>

#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;

namespace {

constexpr int kJobs = 360;

/// Four a second, a quarter cancelled while they wait, run or have just ended.
void stream(World& w) {
  for (int i = 0; i < kJobs; ++i) {
    SimulatedJob job;
    job.spec = World::job(i, 1, 1, w.uniform(2, 6));
    job.run_time = job.spec.expected_runtime;
    const double at = 10 + i / 4.0;
    w.at(from_seconds(at), [&w, job] { w.submit(job); });
    if (i % 4 == 3)
      w.at(from_seconds(at + w.uniform(0.1, 9)), [&w, job_id = job.spec.job_id] { w.cancel(job_id); });
  }
}

struct Spent {
  double puts = 0;
  double requests = 0;
};

/// Plays the stream out; what it took of the state service, by job.
Spent play(World& w, const std::string& what) {
  stream(w);
  w.run(from_seconds(9));
  const auto requests = [&w] {
    std::uint64_t n = 0;
    for (const char* c : {"c0", "c1", "c2"}) n += w.state_requests(c);
    return n;
  };
  const std::uint64_t puts_before = w.kv_service().writes();
  const std::uint64_t requests_before = requests();
  w.run(from_seconds(100));
  const Spent out{static_cast<double>(w.kv_service().writes() - puts_before) / kJobs,
                  static_cast<double>(requests() - requests_before) / kJobs};
  w.heal();
  w.checker.troubles_over(w.now());
  w.run(from_seconds(160));
  w.checker.judge(w.now());
  EXPECT_TRUE(w.checker.broken().empty()) << what << "\n" << notes(w).substr(0, 1500);
  EXPECT_EQ(w.live(), 0U) << what;
  EXPECT_EQ(w.keys("job/"), 0U) << what;
  // Each is either done or withdrawn, and users were told so.
  EXPECT_EQ(w.keys("end/"), static_cast<std::size_t>(kJobs)) << what;
  return out;
}

}  // namespace

// Half of the pace of the small site's state service has to do for jobs that come twice as often as their
// records, claims and ends could be written one by one.
TEST(SmallJobs, FourASecondTakeFewPutsAndRequestsAndAllAreServed) {
  World w(801, World::small_site(), 3);
  const Spent s = play(w, "no trouble");
  EXPECT_LT(s.puts, 5);
  EXPECT_LT(s.requests, 25);
}

TEST(SmallJobs, FourASecondAreServedThroughEveryChangeOfTheLead) {
  struct Trouble {
    const char* what;
    double lasts;
    const char* whom;
  };
  std::uint64_t seed = 810;
  for (const Trouble& t :
       {Trouble{"controller_crash", 0.3, "leader"}, Trouble{"controller_crash", 20, "leader"},
        Trouble{"controller_stalls", 7, "leader"}, Trouble{"state_refuses", 8, "leader"},
        Trouble{"state_outage", 12, ""}, Trouble{"state_slow", 25, ""}, Trouble{"all_crash", 1, ""},
        Trouble{"close_looks", 60, ""}}) {
    World w(++seed, World::small_site(), 3);
    w.at(from_seconds(40), [&w, t] { w.inject_fault({t.what, {}, from_seconds(t.lasts), {}, t.whom, 0}); });
    play(w, t.what);
  }
}

// A service with little to spare: what users ask and cancel comes before the rest, and nothing is lost.
TEST(SmallJobs, FourASecondAtAPaceThatIsNearlyUsedUpAreServedOnceItIsOver) {
  Settings site = World::small_site();
  site.state_rps = 60;
  site.state_write_rps = 20;
  World w(830, site, 3);
  play(w, "a slow pace");
}
