// Rank, order and place as pure functions.

#include "wrenusher/planner/planner.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>

using namespace wrenusher::base;
using namespace wrenusher::settings;
using namespace wrenusher::protocol;
using namespace wrenusher::planner;

namespace {

/// A small deployment to plan in: two types in two zones and a few teams.
struct World {
  Settings settings;
  Flavor small{"small", {to_amount(16), 0, to_amount(64)}, 30, 0.5, 1, 0.3, from_seconds(20), {"a", "b"}};
  Flavor large{"large", {to_amount(64), to_amount(4), to_amount(256)}, 30, 0.5, 4, 1, from_seconds(30),
               {"a"}};
  std::vector<std::unique_ptr<JobSpec>> specs;
  std::map<std::string, std::uint64_t> cached{{"hot", 1}};
  Snapshot s;

  World() {
    settings.teams = {{"red", 32, 64, 0, 0}, {"blue", 0, 0, 0, 0}};
    s.settings = &settings;
  }
  JobSpec& job(const std::string& owner, std::uint32_t units, double cores, double estimate) {
    auto spec = std::make_unique<JobSpec>();
    spec->ref = "req-" + std::to_string(100 + specs.size());
    spec->owner = owner;
    spec->units = units;
    spec->needs = {to_amount(cores), 0, to_amount(1)};
    spec->bundle = "cold";
    spec->image_gb = 5;
    spec->standby = true;
    specs.push_back(std::move(spec));
    PlanJob j;
    j.spec = specs.back().get();
    j.waiting = units;
    j.estimate = from_seconds(estimate);
    s.jobs.push_back(j);
    return *specs.back();
  }
  PlanHost& host(const Flavor& f, const std::string& site) {
    PlanHost h;
    h.name = "m-" + std::to_string(s.hosts.size());
    h.site = site;
    h.flavor = &f;
    h.standby = true;
    h.room = f.room;
    s.hosts.push_back(h);
    return s.hosts.back();
  }
};

}  // namespace

TEST(Planner, ServesByUrgencyThenGuaranteeThenFallingRank) {
  World w;
  w.job("blue", 1, 1, 500);                        // 0: beyond any guarantee
  w.job("red", 1, 1, 10);                          // 1: within the guarantee
  w.job("red", 1, 1, 90);                          // 2: likewise, higher rank
  w.job("blue", 1, 1, 1).urgency = Urgency::high;  // 3: urgent
  w.s.jobs[1].guaranteed = w.s.jobs[2].guaranteed = true;
  EXPECT_EQ(order(w.s), (std::vector<std::size_t>{3, 2, 1, 0}));
}

TEST(Planner, AGuaranteeHoldsForJobsThatFitAsAWholeWithTheTeamsEarlierOnes) {
  // Red has 32 cores. A job too large for them once took them all, bit by bit, ahead of other teams' pressed
  // jobs.
  World w;
  JobSpec& first = w.job("red", 4, 4, 60);   // 16 cores
  JobSpec& large = w.job("red", 40, 4, 60);  // 160 cores
  JobSpec& second = w.job("red", 4, 4, 60);  // would fit beside the first, but the large one came before it
  JobSpec& other = w.job("blue", 1, 1, 60);  // no guarantee
  const auto at = [](int s) { return WallTime{from_seconds(s)}; };
  EXPECT_EQ(guaranteed({{&first, 4, at(1)}, {&large, 40, at(2)}, {&second, 4, at(3)}, {&other, 1, at(0)}},
                       *w.s.settings),
            (std::vector<bool>{true, false, false, false}));
  EXPECT_EQ(guaranteed({{&second, 4, at(3)}, {&first, 4, at(1)}}, *w.s.settings),
            (std::vector<bool>{true, true}));
}

TEST(Planner, TakesTheLeastFinishWithFetchIncluded) {
  World w;
  w.job("blue", 1, 4, 60).bundle = "hot";
  w.host(w.small, "a");
  w.host(w.small, "a").images = &w.cached;
  const Plan p = place(w.s);
  ASSERT_EQ(p.placements.size(), 1U);
  EXPECT_EQ(p.placements[0].host, 1U);
}

TEST(Planner, WaitsWhereThereIsNoRoomAndSaysSo) {
  World w;
  w.job("blue", 6, 4, 60);
  w.host(w.small, "a");
  const Plan p = place(w.s);
  ASSERT_EQ(p.shortages.size(), 1U);
  EXPECT_EQ(p.shortages[0].tasks, 2U);
}

TEST(Planner, CountsNoShortageBeyondTheTeamsCeiling) {
  World w;
  w.job("red", 40, 4, 60);  // 64 cores allow 16 tasks
  w.host(w.small, "a");
  const Plan p = place(w.s);
  ASSERT_EQ(p.shortages.size(), 1U);
  EXPECT_EQ(p.shortages[0].tasks, 12U);
}

TEST(Planner, PlacesAGangWholeOrNotAtAll) {
  World w;
  w.job("blue", 5, 8, 60).shape = Shape::gang;
  w.host(w.small, "a");
  w.host(w.small, "b");
  EXPECT_TRUE(place(w.s).placements.empty());
  w.host(w.small, "b");
  std::uint32_t n = 0;
  for (const Placement& p : place(w.s).placements) n += p.tasks;
  EXPECT_EQ(n, 5U);
}

TEST(Planner, NeverBreaksARulePlacingAnything) {
  EXPECT_TRUE(rc::check([] {
    World w;
    const int jobs = *rc::gen::inRange(1, 8);
    for (int i = 0; i < jobs; ++i) {
      JobSpec& j = w.job(*rc::gen::element<std::string>("red", "blue"), *rc::gen::inRange(1U, 12U),
                         *rc::gen::element(1.0, 4.0, 16.0, 33.3), 30);
      j.shape = *rc::gen::element(Shape::sweep, Shape::gang, Shape::daemon);
      j.same_place = *rc::gen::arbitrary<bool>();
      j.scatter = !j.same_place && *rc::gen::arbitrary<bool>();
      j.standby = *rc::gen::arbitrary<bool>();
      if (*rc::gen::arbitrary<bool>()) j.flavors = {"small"};
      if (*rc::gen::arbitrary<bool>()) j.site = "b";
    }
    const int hosts = *rc::gen::inRange(0, 6);
    for (int i = 0; i < hosts; ++i) {
      PlanHost& h =
          w.host(*rc::gen::arbitrary<bool>() ? w.small : w.large, *rc::gen::element<std::string>("a", "b"));
      h.standby = *rc::gen::arbitrary<bool>();
    }
    w.s.teams["red"].cores = to_amount(*rc::gen::element(0.0, 40.0, 64.0));
    const Plan p = place(w.s);
    std::vector<Needs> used(w.s.hosts.size());
    std::map<std::size_t, std::map<std::string, std::uint32_t>> zones;
    std::map<std::size_t, std::uint32_t> placed;
    Needs red = w.s.teams["red"];
    for (const Placement& x : p.placements) {
      const JobSpec& spec = *w.s.jobs[x.job].spec;
      const PlanHost& h = w.s.hosts[x.host];
      RC_ASSERT(spec.allows(h.flavor->name, h.site, h.standby));
      used[x.host] += spec.needs * x.tasks;
      zones[x.job][h.site] += x.tasks;
      placed[x.job] += x.tasks;
      if (spec.owner == "red") red += spec.needs * x.tasks;
    }
    RC_ASSERT(red.cores <= to_amount(64));
    for (std::size_t h = 0; h < used.size(); ++h) RC_ASSERT(used[h].fits(w.s.hosts[h].room));
    for (const auto& [j, by_zone] : zones) {
      const JobSpec& spec = *w.s.jobs[j].spec;
      RC_ASSERT(!spec.same_place || by_zone.size() == 1U);
      for (const auto& [z, n] : by_zone) {
        RC_ASSERT(!spec.scatter || n <= (spec.units + 1) / 2);
      }
      RC_ASSERT(spec.shape != Shape::gang || placed[j] == spec.units);
      RC_ASSERT(placed[j] <= spec.units);
    }
  }));
}

TEST(Planner, ServesWhatIsPressedFirstAndWhatIsHopelessLast) {
  // Falling rank alone starves short jobs, whose due times are the nearest, while machines are scarce.
  World w;
  w.s.now = WallTime{from_seconds(1000)};
  const auto due = [&](double estimate, double left) {
    JobSpec& j = w.job("blue", 1, 1, estimate);
    j.due = from_seconds(100);
    w.s.jobs.back().accepted = w.s.now + from_seconds(left + estimate - 100);
  };
  due(60, 200);  // 0: has time
  due(20, 30);   // 1: pressed
  due(20, 10);   // 2: more so
  due(20, -50);  // 3: cannot be done in time any more
  due(90, 200);  // 4: has time, higher rank
  EXPECT_EQ(order(w.s), (std::vector<std::size_t>{2, 1, 4, 0, 3}));
}

TEST(Planner, UnderOverloadTheLargestJobWaitsSoThatMostAreInTime) {
  // Served by due time alone, a job too many makes every one behind it late.
  World w;
  w.s.now = WallTime{from_seconds(1000)};
  w.s.cores[&w.small] = to_amount(16);
  for (const std::uint32_t tasks : {20U, 400U, 30U}) {
    w.job("blue", tasks, 1, 10).due = from_seconds(60);
    w.s.jobs.back().accepted = w.s.now;
  }
  EXPECT_EQ(overload(w.s), (std::vector<bool>{false, true, false}));
  EXPECT_EQ(order(w.s).back(), 1U);
  w.s.cores[&w.small] = to_amount(160);
  EXPECT_EQ(overload(w.s), (std::vector<bool>{false, false, false}));
}

TEST(Planner, LeavesTypesToThoseWhoNeedThem) {
  World w;
  w.job("blue", 2, 4, 30);
  w.s.jobs.back().keep_off = {"large"};
  w.host(w.large, "a");
  const Plan p = place(w.s);
  EXPECT_TRUE(p.placements.empty());
  ASSERT_EQ(p.shortages.size(), 1U);
}

TEST(Planner, ReckonsFetchesThatShareTheRateExactly) {
  // An image on its way once counted as there, and a machine with fetches as a multiple of a new one.
  World w;
  JobSpec& cold = w.job("blue", 1, 1, 30);  // 5 GB at 0.5 GB/s
  JobSpec other = cold;
  other.bundle = "other";
  PlanHost& h = w.host(w.small, "a");
  EXPECT_EQ(fetch_time(h, cold), from_seconds(10));
  h.pulls = {{"x", 2, Urgency::normal}, {"y", 20, Urgency::normal}};
  EXPECT_EQ(fetch_time(h, cold), from_seconds(24));  // 5 and 2 and 5 GB
  EXPECT_EQ(*burden(h, cold), from_seconds(14));     // the same 7 GB for the others
  h.pulls.push_back({"cold", 1, Urgency::normal});   // its own is nearly there
  EXPECT_EQ(fetch_time(h, cold), from_seconds(6));
  EXPECT_EQ(*burden(h, cold), Micros{0});
  EXPECT_EQ(fetch_time(h, other), from_seconds(26));
}

TEST(Planner, BeginsNoFetchBesideOneForAService) {
  World w;
  w.job("blue", 1, 1, 30);
  w.host(w.small, "a").pulls = {{"x", 9, Urgency::prod}};
  EXPECT_TRUE(place(w.s).placements.empty());
  w.s.jobs[0].spec = [&] {
    w.specs[0]->urgency = Urgency::prod;
    return w.specs[0].get();
  }();
  EXPECT_EQ(place(w.s).placements.size(), 1U);
}

TEST(Planner, AnArrayWaitsForAPlaceWithItsImageWhereThatIsSooner) {
  // While machines are scarce every freed place took whatever came first, and nearly every start fetched for
  // half as long as it ran.
  World w;
  w.job("blue", 3, 16, 30).bundle = "hot";
  w.host(w.small, "a");  // 10 s of fetch
  Later busy;
  busy.host = w.s.hosts[0];
  busy.host.name = "m-busy";
  busy.host.room = {};
  busy.host.images = &w.cached;
  busy.places = {{from_seconds(4), w.specs[0]->needs, false}};
  w.s.later = {busy, busy};
  w.s.later[1].places[0].in = from_seconds(15);
  Plan p = place(w.s);
  // One waits 4 s; the fetch is sooner than the place that frees after 15 s; the third has that in view.
  ASSERT_EQ(p.placements.size(), 1U);
  EXPECT_TRUE(p.shortages.empty());
  // A pressed job with but a place in view is short all the same.
  w.specs[0]->due = from_seconds(40);
  p = place(w.s);
  ASSERT_EQ(p.shortages.size(), 1U);
  EXPECT_EQ(p.shortages[0].tasks, 2U);
  EXPECT_EQ(p.shortages[0].soon, 2U);
}

TEST(Planner, AMachineThatHasAnImageAndFetchesItAgainOffersItsPlaceOnce) {
  // The machines that have an image are looked up by its name. One listed twice would let two tasks wait for
  // one place, and the second would wait for longer than the fetch it was spared.
  World w;
  w.job("blue", 2, 16, 30).bundle = "hot";
  w.host(w.small, "a");
  Later busy;
  busy.host = w.s.hosts[0];
  busy.host.name = "m-busy";
  busy.host.room = {};
  busy.host.images = &w.cached;
  busy.host.pulls = {{"hot", 1, Urgency::normal}};
  busy.places = {{from_seconds(4), w.specs[0]->needs, false}};
  w.s.later = {busy};
  const Plan p = place(w.s);
  ASSERT_EQ(p.placements.size(), 1U);
  EXPECT_EQ(p.placements[0].tasks, 1U);
  EXPECT_TRUE(p.shortages.empty());
  // On its way alone counts as well.
  w.s.later[0].host.images = nullptr;
  EXPECT_EQ(place(w.s).placements.size(), 1U);
  EXPECT_TRUE(place(w.s).shortages.empty());
  w.s.later[0].host.pulls.clear();
  ASSERT_EQ(place(w.s).shortages.size(), 1U);
}

TEST(Planner, AimsForStartsPressWhatStartsAsAWhole) {
  World w;
  w.settings.objectives = {{"wait", "q", 1.0, from_seconds(70)}, {"finished", "q", 1.0, from_seconds(400)}};
  w.job("blue", 2, 1, 100).queue = "q";
  const auto at = [&](double waited) {
    return slack(w.s.jobs[0], w.s.jobs[0].accepted + from_seconds(waited), w.settings.objectives);
  };
  EXPECT_EQ(at(0).standing, Standing::ordinary);  // an array counts by its end
  w.specs[0]->shape = Shape::gang;
  EXPECT_EQ(at(10).standing, Standing::pressed);
  EXPECT_EQ(at(10).left, from_seconds(60));
  EXPECT_EQ(at(80).standing, Standing::ordinary);  // missed: its end is next, with 220 s to spare
}

TEST(Planner, KeepsPlacesForAGangThatMustStartSoon) {
  // Small tasks took every place as it came, and a gang waited for two at once.
  World w;
  w.settings.objectives = {{"wait", "gangs", 1.0, from_seconds(70)}};
  JobSpec& gang = w.job("blue", 1, 16, 90);
  gang.shape = Shape::gang;
  gang.queue = "gangs";
  w.job("blue", 2, 8, 30);
  PlanHost& h = w.host(w.small, "a");
  h.room.cores = to_amount(8);
  h.images = &w.cached;
  Later l;
  l.host = h;
  JobSpec half = gang;
  half.needs.cores = to_amount(8);
  l.places = {{from_seconds(5), half.needs, false}};
  w.s.later = {l};
  EXPECT_TRUE(place(w.s).placements.empty());
  w.s.later[0].places[0].in = from_seconds(60);  // too far off to keep room idle
  EXPECT_EQ(place(w.s).placements.size(), 1U);
}

TEST(Planner, ServicesTakeTheMachineWhereLeastIsLost) {
  World w;
  w.job("blue", 1, 8, 60).urgency = Urgency::prod;
  w.specs[0]->shape = Shape::daemon;
  w.specs[0]->bundle = "hot";
  JobSpec array = w.job("blue", 1, 8, 60);
  JobSpec gang = w.job("blue", 2, 8, 60);
  gang.shape = Shape::gang;
  gang.snapshot_every = from_seconds(10);
  gang.snapshot = from_seconds(3);
  w.s.jobs.resize(1);
  for (int i = 0; i < 3; ++i) w.host(w.small, "a").room = {};
  w.s.hosts[1].images = &w.cached;
  std::vector<Running> running = {{0, &array, 0, Micros{0}, from_seconds(60), false},
                                  {1, &gang, 0, from_seconds(40), from_seconds(50), false},
                                  {2, &gang, 1, from_seconds(40), from_seconds(50), false}};
  // 10 s of fetch where an array has just begun, or the 3 s that a gang takes to save: it stops as a whole.
  EXPECT_EQ(preempt(w.s, {{0, 1}}, running), (std::vector<std::size_t>{1, 2}));
  w.s.hosts[0].images = &w.cached;
  EXPECT_EQ(preempt(w.s, {{0, 1}}, running), (std::vector<std::size_t>{0}));
  // Free room where the image would have to be fetched is left alone while room is made where it is.
  w.host(w.small, "a");
  EXPECT_EQ(place(w.s).placements.size(), 1U);
  EXPECT_TRUE(preempt(w.s, {{0, 1}}, running).empty());
  w.s.jobs[0].near_image = true;
  EXPECT_TRUE(place(w.s).placements.empty());
  EXPECT_EQ(preempt(w.s, {{0, 1}}, running), (std::vector<std::size_t>{0}));
}

TEST(Planner, StopsLessUrgentTasksForUrgentOnes) {
  World w;
  w.job("blue", 2, 4, 30).urgency = Urgency::high;
  const Shortage two{0, 2};
  w.host(w.small, "a").room = {};
  JobSpec saves = w.job("blue", 1, 4, 60);
  saves.snapshot_every = from_seconds(10);
  JobSpec normal = w.job("blue", 1, 4, 60);
  JobSpec equal = normal;
  equal.urgency = Urgency::high;
  w.s.jobs.resize(1);
  const std::vector<Running> running = {
      {0, &equal, 0, from_seconds(1), from_seconds(50), false},    // 0: as urgent
      {0, &normal, 0, from_seconds(50), from_seconds(20), false},  // 1: too far on to lose its work
      {0, &normal, 1, from_seconds(5), from_seconds(50), false},   // 2: young
      {0, &saves, 0, from_seconds(50), from_seconds(20), false},   // 3: loses nothing
      {0, &saves, 1, from_seconds(55), from_seconds(5), false},    // 4: ends by itself
      {0, &normal, 2, from_seconds(2), from_seconds(50), false},   // 5: younger still
  };
  EXPECT_EQ(preempt(w.s, {two}, running), (std::vector<std::size_t>{3, 5}));
  // Room that is already being made is not made twice.
  std::vector<Running> going = running;
  going[3].stopping = going[5].stopping = true;
  EXPECT_TRUE(preempt(w.s, {two}, going).empty());
}
