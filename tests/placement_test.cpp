// Rank, order and place, and that the board plans as looking at everything does.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>

#include "placement_oracle.hpp"

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using namespace wrenusher::settings;
using namespace wrenusher::protocol;
using namespace wrenusher::placement;
using oracle::Burst;

namespace {

/// A small deployment to plan in: two types in two zones and a few teams.
struct World {
  Settings settings;
  MachineType small{"small",   {to_amount(16), 0, to_amount(64)}, 30, 0.5, 1, 0.3, from_seconds(20),
                    {"a", "b"}};
  MachineType large{"large", {to_amount(64), to_amount(4), to_amount(256)}, 30, 0.5, 4, 1, from_seconds(30),
                    {"a"}};
  std::vector<std::unique_ptr<JobSpec>> specs;
  std::map<std::string, std::uint64_t> cached{{"hot", 1}};
  Burst s;

  World() {
    settings.teams = {{"red", 32, 64, 0, 0}, {"blue", 0, 0, 0, 0}};
    s.settings = &settings;
  }
  JobSpec& job(const std::string& owner, std::uint32_t units, double cores, double estimate) {
    auto spec = std::make_unique<JobSpec>();
    spec->job_id = "req-" + std::to_string(100 + specs.size());
    spec->team = owner;
    spec->task_count = units;
    spec->resources = {to_amount(cores), 0, to_amount(1)};
    spec->image = "cold";
    spec->image_gb = 5;
    spec->spot_allowed = true;
    specs.push_back(std::move(spec));
    PlanJob j;
    j.spec = specs.back().get();
    j.waiting = units;
    j.estimate = from_seconds(estimate);
    s.jobs.push_back(j);
    return *specs.back();
  }
  PlanMachine& host(const MachineType& f, const std::string& site) {
    PlanMachine h;
    h.name = "m-" + std::to_string(100 + s.here.size());
    h.zone = site;
    h.machine_type = &f;
    h.spot = true;
    h.free.resources = f.capacity;
    s.here.push_back({h, {}, true});
    return s.here.back().host;
  }
  /// One that has no room until places on it come free.
  oracle::Here& busy(const MachineType& f, const std::string& site, std::vector<EndingTask> leaving) {
    host(f, site).free.resources = {};
    s.here.back().leaving = std::move(leaving);
    s.here.back().open = false;
    return s.here.back();
  }
};

Plan planned(const Burst& s) {
  return oracle::board_place(s);
}
/// An unfinished job.
struct TeamJob {
  const JobSpec* spec = nullptr;
  std::uint32_t unfinished = 0;
  WallTime accepted{};
};
/// Which fit into their team's guarantee, told in the order of their acceptance.
std::vector<bool> guaranteed(const std::vector<TeamJob>& jobs, const Settings& settings) {
  std::map<WallTime, std::size_t> by_age;
  for (std::size_t i = 0; i < jobs.size(); ++i) by_age[jobs[i].accepted] = i;
  std::vector<bool> out(jobs.size());
  GuaranteeTracker g(settings);
  for (const auto& [at, i] : by_age) out[i] = g.fits(*jobs[i].spec, jobs[i].unfinished);
  return out;
}

std::vector<std::size_t> served(const Burst& s) {
  return oracle::board_order(s);
}

}  // namespace

TEST(Planner, ServesByUrgencyThenGuaranteeThenFallingRank) {
  World w;
  w.job("blue", 1, 1, 500);                          // 0: beyond any guarantee
  w.job("red", 1, 1, 10);                            // 1: within the guarantee
  w.job("red", 1, 1, 90);                            // 2: likewise, higher rank
  w.job("blue", 1, 1, 1).priority = Priority::high;  // 3: urgent
  w.s.jobs[1].guaranteed = w.s.jobs[2].guaranteed = true;
  EXPECT_EQ(served(w.s), (std::vector<std::size_t>{3, 2, 1, 0}));
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
  w.job("blue", 1, 4, 60).image = "hot";
  w.host(w.small, "a");
  w.host(w.small, "a").images = &w.cached;
  const Plan p = planned(w.s);
  ASSERT_EQ(p.placements.size(), 1U);
  EXPECT_EQ(p.placements[0].machine, 1U);
}

TEST(Planner, WaitsWhereThereIsNoRoomAndSaysSo) {
  World w;
  w.job("blue", 6, 4, 60);
  w.host(w.small, "a");
  const Plan p = planned(w.s);
  ASSERT_EQ(p.shortages.size(), 1U);
  EXPECT_EQ(p.shortages[0].tasks, 2U);
}

TEST(Planner, CountsNoShortageBeyondTheTeamsCeiling) {
  World w;
  w.job("red", 40, 4, 60);  // 64 cores allow 16 tasks
  w.host(w.small, "a");
  const Plan p = planned(w.s);
  ASSERT_EQ(p.shortages.size(), 1U);
  EXPECT_EQ(p.shortages[0].tasks, 12U);
}

TEST(Planner, PlacesAGangWholeOrNotAtAll) {
  World w;
  w.job("blue", 5, 8, 60).type = JobType::gang;
  w.host(w.small, "a");
  w.host(w.small, "b");
  EXPECT_TRUE(planned(w.s).placements.empty());
  w.host(w.small, "b");
  std::uint32_t n = 0;
  for (const Placement& p : planned(w.s).placements) n += p.tasks;
  EXPECT_EQ(n, 5U);
}

TEST(Planner, NeverBreaksARulePlacingAnything) {
  EXPECT_TRUE(rc::check([] {
    World w;
    const int jobs = *rc::gen::inRange(1, 8);
    for (int i = 0; i < jobs; ++i) {
      JobSpec& j = w.job(*rc::gen::element<std::string>("red", "blue"), *rc::gen::inRange(1U, 12U),
                         *rc::gen::element(1.0, 4.0, 16.0, 33.3), 30);
      j.type = *rc::gen::element(JobType::array, JobType::gang, JobType::service);
      j.single_zone = *rc::gen::arbitrary<bool>();
      j.spread_zones = !j.single_zone && *rc::gen::arbitrary<bool>();
      j.spot_allowed = *rc::gen::arbitrary<bool>();
      if (*rc::gen::arbitrary<bool>()) j.machine_types = {"small"};
      if (*rc::gen::arbitrary<bool>()) j.zone = "b";
    }
    const int hosts = *rc::gen::inRange(0, 6);
    for (int i = 0; i < hosts; ++i) {
      PlanMachine& h =
          w.host(*rc::gen::arbitrary<bool>() ? w.small : w.large, *rc::gen::element<std::string>("a", "b"));
      h.spot = *rc::gen::arbitrary<bool>();
    }
    w.s.teams["red"].cores = to_amount(*rc::gen::element(0.0, 40.0, 64.0));
    const Plan p = planned(w.s);
    std::vector<Resources> used(w.s.here.size());
    std::map<std::size_t, std::map<std::string, std::uint32_t>> zones;
    std::map<std::size_t, std::uint32_t> placed;
    Resources red = w.s.teams["red"];
    for (const Placement& x : p.placements) {
      const JobSpec& spec = *w.s.jobs[x.job].spec;
      const PlanMachine& h = w.s.here[x.machine].host;
      RC_ASSERT(spec.allows(h.machine_type->name, h.zone, h.spot));
      used[x.machine] += spec.resources * x.tasks;
      zones[x.job][h.zone] += x.tasks;
      placed[x.job] += x.tasks;
      if (spec.team == "red") red += spec.resources * x.tasks;
    }
    RC_ASSERT(red.cores <= to_amount(64));
    for (std::size_t h = 0; h < used.size(); ++h) RC_ASSERT(used[h].fits(w.s.here[h].host.free.resources));
    for (const auto& [j, by_zone] : zones) {
      const JobSpec& spec = *w.s.jobs[j].spec;
      RC_ASSERT(!spec.single_zone || by_zone.size() == 1U);
      for (const auto& [z, n] : by_zone) {
        RC_ASSERT(!spec.spread_zones || n <= (spec.task_count + 1) / 2);
      }
      RC_ASSERT(spec.type != JobType::gang || placed[j] == spec.task_count);
      RC_ASSERT(placed[j] <= spec.task_count);
    }
  }));
}

TEST(Planner, ServesWhatIsPressedFirstAndWhatIsHopelessLast) {
  // Falling rank alone starves short jobs, whose due times are the nearest, while machines are scarce.
  World w;
  w.s.now = WallTime{from_seconds(1000)};
  const auto due = [&](double estimate, double left) {
    JobSpec& j = w.job("blue", 1, 1, estimate);
    j.deadline = from_seconds(100);
    w.s.jobs.back().accepted_at = w.s.now + from_seconds(left + estimate - 100);
  };
  due(60, 200);  // 0: has time
  due(20, 30);   // 1: pressed
  due(20, 10);   // 2: more so
  due(20, -50);  // 3: cannot be done in time any more
  due(90, 200);  // 4: has time, higher rank
  EXPECT_EQ(served(w.s), (std::vector<std::size_t>{2, 1, 4, 0, 3}));
}

TEST(Planner, UnderOverloadTheLargestJobWaitsSoThatMostAreInTime) {
  // Served by due time alone, a job too many makes every one behind it late.
  World w;
  w.s.now = WallTime{from_seconds(1000)};
  w.s.coming = {{&w.small, to_amount(16)}};
  for (const std::uint32_t tasks : {20U, 400U, 30U}) {
    w.job("blue", tasks, 1, 10).deadline = from_seconds(60);
    w.s.jobs.back().accepted_at = w.s.now;
  }
  EXPECT_EQ(served(w.s).back(), 1U);
  w.s.coming = {{&w.small, to_amount(160)}};
  EXPECT_NE(served(w.s).back(), 1U);
}

// Nothing bounded for how long a large job was put off while smaller ones came: on drawn days none of a
// class's largest jobs began within four minutes.
TEST(Planner, ALargeJobThatHasWaitedForMinutesIsNotPutOffForThoseThatHaveJustCome) {
  World w;
  w.s.now = WallTime{from_seconds(1000)};
  w.s.coming = {{&w.small, to_amount(16)}};
  for (const std::uint32_t tasks : {20U, 400U, 30U}) {
    // All have the same time to spare, but the large one has waited for 200 s already.
    const double waited = tasks == 400 ? 200 : 0;
    w.job("blue", tasks, 1, 10).deadline = from_seconds(60 + waited);
    w.s.jobs.back().accepted_at = w.s.now - from_seconds(waited);
  }
  EXPECT_EQ(served(w.s).front(), 1U);
}

TEST(Planner, AJobThatHasNotBegunIsPutOffForMinutesAndNoLonger) {
  World w;
  w.s.now = WallTime{from_seconds(1000)};
  const auto waits = [&](const char* team, double since, bool begun) -> JobSpec& {
    JobSpec& j = w.job(team, 1, 1, 50);
    w.s.jobs.back().accepted_at = w.s.now - from_seconds(since);
    w.s.jobs.back().has_started = begun;
    return j;
  };
  waits("blue", 140, false);  // 0: has a while yet
  waits("red", 10, false);    // 1: within its guarantee
  w.s.jobs.back().guaranteed = true;
  waits("blue", 160, false).deadline = from_seconds(5);  // 2: overdue, and hopeless by its own due time
  waits("blue", 160, true).deadline = from_seconds(5);   // 3: hopeless too, but it has begun
  waits("blue", 170, false);                             // 4: overdue for longer
  waits("blue", 1, false).priority = Priority::high;     // 5: urgent
  waits("blue", 1, false).priority = Priority::prod;     // 6: most urgent
  waits("blue", 160, false).type =
      JobType::service;  // 7: overdue, but what starts as a whole keeps its urgency
  EXPECT_EQ(served(w.s), (std::vector<std::size_t>{6, 4, 2, 5, 7, 1, 0, 3}));
}

// Large tasks starved while small, more urgent ones took every place as it came.
TEST(Planner, WhatIsOverdueBeginsWithOneTaskForWhichAPlaceIsKept) {
  World w;
  w.s.now = WallTime{from_seconds(1000)};
  JobSpec& large = w.job("blue", 3, 16, 30);
  w.s.jobs.back().accepted_at = w.s.now - from_seconds(160);
  const auto tasks_of = [&](std::size_t job) {
    std::uint32_t n = 0;
    for (const Placement& p : planned(w.s).placements) n += p.job == job ? p.tasks : 0;
    return n;
  };
  w.job("blue", 40, 4, 30).priority = Priority::high;
  w.s.jobs.back().accepted_at = w.s.now;
  // Half of the machine is free, and the rest will be within the minute: nothing else is put there.
  w.host(w.small, "a").free.resources.cores = to_amount(8);
  w.s.here.back().leaving = {{{to_amount(8), 0, to_amount(8)}, std::nullopt, from_seconds(45), nullptr}};
  EXPECT_EQ(tasks_of(0), 0U);
  EXPECT_EQ(tasks_of(1), 0U);
  w.s.jobs[0].has_started = true;
  EXPECT_EQ(tasks_of(1), 2U);
  w.s.jobs[0].has_started = false;
  // Where there is room it takes one place, and leaves the others to those who go first otherwise.
  w.host(w.small, "b");
  w.host(w.small, "b");
  EXPECT_EQ(tasks_of(0), 1U);
  EXPECT_EQ(tasks_of(1), 6U);
  large.priority = Priority::low;
  EXPECT_EQ(tasks_of(0), 1U);
}

TEST(Planner, LeavesTypesToThoseWhoNeedThem) {
  World w;
  w.job("blue", 2, 4, 30);
  w.s.jobs.back().excluded_types = {"large"};
  w.host(w.large, "a");
  const Plan p = planned(w.s);
  EXPECT_TRUE(p.placements.empty());
  ASSERT_EQ(p.shortages.size(), 1U);
}

TEST(Planner, ReckonsFetchesThatShareTheRateExactly) {
  // An image on its way once counted as there, and a machine with fetches as a multiple of a new one.
  World w;
  JobSpec& cold = w.job("blue", 1, 1, 30);  // 5 GB at 0.5 GB/s
  JobSpec other = cold;
  other.image = "other";
  PlanMachine& h = w.host(w.small, "a");
  EXPECT_EQ(fetch_time(h, cold), from_seconds(10));
  h.fetches = {{"x", 2, Priority::normal}, {"y", 20, Priority::normal}};
  EXPECT_EQ(fetch_time(h, cold), from_seconds(24));            // 5 and 2 and 5 GB
  EXPECT_EQ(*fetch_delay_imposed(h, cold), from_seconds(14));  // the same 7 GB for the others
  h.fetches.push_back({"cold", 1, Priority::normal});          // its own is nearly there
  EXPECT_EQ(fetch_time(h, cold), from_seconds(6));
  EXPECT_EQ(*fetch_delay_imposed(h, cold), Micros{0});
  EXPECT_EQ(fetch_time(h, other), from_seconds(26));
}

TEST(Planner, BeginsNoFetchBesideOneForAService) {
  World w;
  w.job("blue", 1, 1, 30);
  w.host(w.small, "a").fetches = {{"x", 9, Priority::prod}};
  EXPECT_TRUE(planned(w.s).placements.empty());
  w.s.jobs[0].spec = [&] {
    w.specs[0]->priority = Priority::prod;
    return w.specs[0].get();
  }();
  EXPECT_EQ(planned(w.s).placements.size(), 1U);
}

TEST(Planner, AnArrayWaitsForAPlaceWithItsImageWhereThatIsSooner) {
  // While machines are scarce every freed place took whatever came first, and nearly every start fetched for
  // half as long as it ran.
  World w;
  w.job("blue", 3, 16, 30).image = "hot";
  w.host(w.small, "a");  // 10 s of fetch
  for (const double in : {4.0, 15.0})
    w.busy(w.small, "a", {{w.specs[0]->resources, std::nullopt, from_seconds(in), nullptr}}).host.images =
        &w.cached;
  Plan p = planned(w.s);
  // One waits 4 s; the fetch is sooner than the place that frees after 15 s; the third has that in view.
  ASSERT_EQ(p.placements.size(), 1U);
  EXPECT_TRUE(p.shortages.empty());
  // A pressed job with but a place in view is short all the same.
  w.specs[0]->deadline = from_seconds(40);
  p = planned(w.s);
  ASSERT_EQ(p.shortages.size(), 1U);
  EXPECT_EQ(p.shortages[0].tasks, 2U);
  EXPECT_EQ(p.shortages[0].expected_soon, 2U);
}

TEST(Planner, AMachineThatHasAnImageAndFetchesItAgainOffersItsPlaceOnce) {
  // The machines that have an image are looked up by its name. One listed twice would let two tasks wait for
  // one place, and the second would wait for longer than the fetch it was spared.
  World w;
  w.job("blue", 2, 16, 30).image = "hot";
  w.host(w.small, "a");
  w.busy(w.small, "a", {{w.specs[0]->resources, std::nullopt, from_seconds(4), nullptr}});
  PlanMachine& busy = w.s.here[1].host;
  busy.images = &w.cached;
  busy.fetches = {{"hot", 1, Priority::normal}};
  const Plan p = planned(w.s);
  ASSERT_EQ(p.placements.size(), 1U);
  EXPECT_EQ(p.placements[0].tasks, 1U);
  EXPECT_TRUE(p.shortages.empty());
  // On its way alone counts as well.
  busy.images = nullptr;
  EXPECT_EQ(planned(w.s).placements.size(), 1U);
  EXPECT_TRUE(planned(w.s).shortages.empty());
  busy.fetches.clear();
  ASSERT_EQ(planned(w.s).shortages.size(), 1U);
}

TEST(Planner, AimsForStartsPressWhatStartsAsAWhole) {
  World w;
  w.settings.objectives = {{"wait", "q", 1.0, from_seconds(70)}, {"finished", "q", 1.0, from_seconds(400)}};
  w.job("blue", 2, 1, 100).job_class = "q";
  const auto at = [&](double waited) {
    return slack(w.s.jobs[0], w.s.jobs[0].accepted_at + from_seconds(waited), w.settings.objectives);
  };
  EXPECT_EQ(at(0).status, DeadlineStatus::on_track);  // an array counts by its end
  w.specs[0]->type = JobType::gang;
  EXPECT_EQ(at(10).status, DeadlineStatus::at_risk);
  EXPECT_EQ(at(10).time_to_latest_start, from_seconds(60));
  EXPECT_EQ(at(80).status, DeadlineStatus::on_track);  // missed: its end is next, with 220 s to spare
}

TEST(Planner, KeepsPlacesForAGangThatMustStartSoon) {
  // Small tasks took every place as it came, and a gang waited for two at once.
  World w;
  w.settings.objectives = {{"wait", "gangs", 1.0, from_seconds(70)}};
  JobSpec& gang = w.job("blue", 1, 16, 90);
  gang.type = JobType::gang;
  gang.job_class = "gangs";
  w.job("blue", 2, 8, 30);
  PlanMachine& h = w.host(w.small, "a");
  h.free.resources.cores = to_amount(8);
  h.images = &w.cached;
  w.s.here[0].leaving = {{{to_amount(8), 0, to_amount(1)}, std::nullopt, from_seconds(5), nullptr}};
  EXPECT_TRUE(planned(w.s).placements.empty());
  w.s.here[0].leaving[0].min_remaining = from_seconds(60);  // too far off to keep room idle
  EXPECT_EQ(planned(w.s).placements.size(), 1U);
}

TEST(Planner, AGangWhoseTasksNeedNothingEndsThePlanAllTheSame) {
  // Its tasks fitted for ever where places were kept for it.
  World w;
  w.settings.objectives = {{"wait", "gangs", 1.0, from_seconds(70)}};
  JobSpec& gang = w.job("blue", 3, 0, 90);
  gang.resources = {};
  gang.type = JobType::gang;
  gang.job_class = "gangs";
  w.busy(w.small, "a", {});
  EXPECT_TRUE(planned(w.s).placements.empty());
}

TEST(Planner, ServicesTakeTheMachineWhereLeastIsLost) {
  World w;
  w.job("blue", 1, 8, 60).priority = Priority::prod;
  w.specs[0]->type = JobType::service;
  w.specs[0]->image = "hot";
  JobSpec array = w.job("blue", 1, 8, 60);
  JobSpec gang = w.job("blue", 2, 8, 60);
  gang.type = JobType::gang;
  gang.checkpoint_interval = from_seconds(10);
  gang.checkpoint_time = from_seconds(3);
  w.s.jobs.resize(1);
  for (int i = 0; i < 3; ++i) w.host(w.small, "a").free.resources = {};
  w.s.here[1].host.images = &w.cached;
  std::vector<RunningTask> running = {{0, &array, 0, Micros{0}, from_seconds(60), false},
                                      {1, &gang, 0, from_seconds(40), from_seconds(50), false},
                                      {2, &gang, 1, from_seconds(40), from_seconds(50), false}};
  // 10 s of fetch where an array has just begun, or the 3 s that a gang takes to save: it stops as a whole.
  EXPECT_EQ(choose_preemptions(oracle::snapshot(w.s), {{0, 1}}, running), (std::vector<std::size_t>{1, 2}));
  w.s.here[0].host.images = &w.cached;
  EXPECT_EQ(choose_preemptions(oracle::snapshot(w.s), {{0, 1}}, running), (std::vector<std::size_t>{0}));
  // Free room where the image would have to be fetched is left alone while room is made where it is.
  w.host(w.small, "a");
  EXPECT_EQ(planned(w.s).placements.size(), 1U);
  EXPECT_TRUE(choose_preemptions(oracle::snapshot(w.s), {{0, 1}}, running).empty());
  w.s.jobs[0].requires_image_locality = true;
  EXPECT_TRUE(planned(w.s).placements.empty());
  EXPECT_EQ(choose_preemptions(oracle::snapshot(w.s), {{0, 1}}, running), (std::vector<std::size_t>{0}));
}

TEST(Planner, StopsLessUrgentTasksForUrgentOnes) {
  World w;
  w.job("blue", 2, 4, 30).priority = Priority::high;
  const Shortage two{0, 2};
  w.host(w.small, "a").free.resources = {};
  JobSpec saves = w.job("blue", 1, 4, 60);
  saves.checkpoint_interval = from_seconds(10);
  JobSpec normal = w.job("blue", 1, 4, 60);
  JobSpec equal = normal;
  equal.priority = Priority::high;
  w.s.jobs.resize(1);
  const std::vector<RunningTask> running = {
      {0, &equal, 0, from_seconds(1), from_seconds(50), false},    // 0: as urgent
      {0, &normal, 0, from_seconds(50), from_seconds(20), false},  // 1: too far on to lose its work
      {0, &normal, 1, from_seconds(5), from_seconds(50), false},   // 2: young
      {0, &saves, 0, from_seconds(50), from_seconds(20), false},   // 3: loses nothing
      {0, &saves, 1, from_seconds(55), from_seconds(5), false},    // 4: ends by itself
      {0, &normal, 2, from_seconds(2), from_seconds(50), false},   // 5: younger still
  };
  EXPECT_EQ(choose_preemptions(oracle::snapshot(w.s), {two}, running), (std::vector<std::size_t>{3, 5}));
  // Room that is already being made is not made twice.
  std::vector<RunningTask> going = running;
  going[3].stopping = going[5].stopping = true;
  EXPECT_TRUE(choose_preemptions(oracle::snapshot(w.s), {two}, going).empty());
}

namespace {

/// A tree of two switches with three racks each, and a machine in each rack's range.
std::shared_ptr<const wrenusher::topology::Topology> small_tree() {
  std::string yaml = "version: 1\nlevels: [switch, rack]\ndomains:\n";
  for (int s = 0; s < 2; ++s) {
    yaml += "  s" + std::to_string(s) + ": {level: switch}\n";
    for (int r = 0; r < 3; ++r)
      yaml += "  r" + std::to_string(s) + std::to_string(r) + ": {level: rack, in: s" + std::to_string(s) +
              ", machines: [{host: \"*-" + std::to_string(s) + std::to_string(r) + "\"}]}\n";
  }
  yaml += "devices:\n  signer: [{host: \"*-00\", count: 2}, {host: \"*-12\", count: 1}]\n";
  return wrenusher::topology::Topology::parse(yaml, "tree.yaml");
}

/// Draws from rapidcheck: generated jobs, machines and places, most of them alike, so that ties are common.
struct Drawn {
  World w;
  std::shared_ptr<const wrenusher::topology::Topology> tree = small_tree();
  std::vector<std::unique_ptr<wrenusher::topology::MachineLocation>> places;
  std::vector<std::unique_ptr<std::map<std::string, std::uint64_t>>> images;
  std::map<std::string, Instant> avoid;
  int made = 0;

  static int pick(int n) { return *rc::gen::inRange(0, n); }

  PlanJob draw_job() {
    auto spec = std::make_unique<JobSpec>();
    spec->job_id = "req-" + std::to_string(1000 + made++);
    spec->team = pick(3) == 0 ? "red" : "blue";
    spec->job_class = pick(2) == 0 ? "q" : "r";
    spec->task_count = static_cast<std::uint32_t>(1 + pick(6));
    spec->type = std::vector{JobType::array, JobType::array, JobType::gang,
                             JobType::service}[static_cast<std::size_t>(pick(4))];
    spec->priority =
        std::vector{Priority::prod, Priority::normal, Priority::normal}[static_cast<std::size_t>(pick(3))];
    spec->resources = {to_amount(std::vector{1, 4, 16}[static_cast<std::size_t>(pick(3))]),
                       pick(8) == 0 ? to_amount(1) : 0, to_amount(1 + pick(2))};
    spec->image = "b" + std::to_string(pick(4));
    spec->image_gb = 5;
    spec->spot_allowed = pick(4) != 0;
    spec->single_zone = pick(6) == 0;
    spec->spread_zones = !spec->single_zone && pick(6) == 0;
    if (pick(6) == 0) spec->machine_types = {"small"};
    if (pick(2) == 0) spec->deadline = from_seconds(100 + 40 * pick(4));
    PlanJob j;
    if (pick(3) == 0) {
      spec->layout.emplace();
      PlanLayout l;
      if (pick(2) == 0) {
        l.spread = pick(2);
        l.max_tasks = static_cast<std::uint32_t>(1 + pick(3));
        l.spread_required = pick(2) == 0;
        if (pick(3) == 0) l.tasks_by_spread_domain = {{static_cast<std::uint32_t>(pick(9)), 1}};
      }
      if (pick(2) == 0) {
        l.colocation = pick(2);
        l.colocation_required = pick(2) == 0;
        if (pick(4) == 0) l.tasks_by_colocation_domain = {{static_cast<std::uint32_t>(pick(9)), 1}};
      }
      if (pick(4) == 0) spec->layout->devices = {{"signer", 1}};
      j.layout = l;
    }
    j.spec = spec.get();
    j.waiting = spec->task_count;
    j.estimate = from_seconds(10 + 20 * pick(4));
    j.guaranteed = pick(4) == 0;
    j.has_started = pick(2) == 0;
    j.requires_image_locality = spec->type == JobType::service && pick(4) == 0;
    if (pick(6) == 0) j.excluded_types = {"large"};
    if (pick(6) == 0) j.avoided_machines = &avoid;
    j.accepted_at = WallTime{from_seconds(1000 - 30 * pick(9))};
    w.specs.push_back(std::move(spec));
    return j;
  }
  oracle::Here draw_host(const std::string& name) {
    oracle::Here h;
    const MachineType& f = pick(3) == 0 ? w.large : w.small;
    h.host.name = name + "-" + std::to_string(pick(3)) + std::to_string(pick(4));
    h.host.zone = &f == &w.large || pick(2) == 0 ? "a" : "b";
    h.host.machine_type = &f;
    h.host.spot = pick(3) != 0;
    h.host.runs_services = pick(5) == 0;
    h.host.speed = pick(5) == 0 ? 0.9 : 1.0;
    h.host.free.resources = f.capacity;
    images.push_back(std::make_unique<std::map<std::string, std::uint64_t>>());
    for (int i = 0; i < pick(3); ++i) images.back()->emplace("b" + std::to_string(pick(4)), 1);
    h.host.images = images.back().get();
    for (int i = 0; i < 4; ++i) {
      const std::string b = "b" + std::to_string(i);
      if (pick(6) == 0 && !images.back()->contains(b))
        h.host.fetches.push_back({b, 1.0 + pick(4), pick(4) == 0 ? Priority::prod : Priority::normal});
    }
    places.push_back(std::make_unique<wrenusher::topology::MachineLocation>(
        tree->find(h.host.name, "", f.name, h.host.zone)));
    h.host.location = places.back().get();
    h.host.free.devices = places.back()->devices;
    h.host.reserved_for_devices = !h.host.free.devices.empty() && pick(2) == 0;
    const int tasks = pick(4);
    for (int i = 0; i < tasks; ++i) {
      EndingTask l{{to_amount(std::vector{1, 4, 16}[static_cast<std::size_t>(pick(3))]), 0, to_amount(1)},
                   {},
                   {},
                   nullptr};
      h.host.free.resources -= l.resources;
      l.min_remaining = from_seconds(2 * pick(5));
      if (pick(2) == 0) l.ends_at = Instant{from_seconds(500 + 5 * pick(20))};
      if (pick(5) == 0 && !w.specs.empty())
        l.awaited_image = w.specs[static_cast<std::size_t>(pick(static_cast<int>(w.specs.size())))].get();
      h.leaving.push_back(l);
    }
    h.open = pick(6) != 0;
    if (h.host.free.resources.cores < 0 || h.host.free.resources.memory < 0) h.open = false;
    if (pick(5) == 0) avoid[h.host.name] = Instant{from_seconds(490 + pick(30))};
    return h;
  }
};

/// The plan with names for numbers, since slots and indices differ.
std::string told(const Plan& p, const std::function<const PlanJob&(std::size_t)>& job,
                 const std::function<std::string(std::size_t)>& host) {
  std::string out;
  for (const Placement& x : p.placements)
    out += job(x.job).spec->job_id + ": " + std::to_string(x.tasks) + " on " + host(x.machine) + "\n";
  for (const Shortage& x : p.shortages)
    out += job(x.job).spec->job_id + " lacks " + std::to_string(x.tasks) + ", soon " +
           std::to_string(x.expected_soon) + "\n";
  return out;
}

}  // namespace

TEST(Planner, TheBoardPlansAsLookingAtEverythingDoesThroughAnyHistory) {
  EXPECT_TRUE(rc::check([] {
    Drawn d;
    Burst& s = d.w.s;
    d.w.settings.objectives = {{"wait", "q", 1.0, from_seconds(120)}, {"deadline", "r", 1.0, {}}};
    s.now = WallTime{from_seconds(1000)};
    s.clock = Instant{from_seconds(500)};
    PlacementIndex b;
    // What stands on the board, and where.
    std::map<std::string, std::pair<PlacementIndex::Slot, oracle::Here>> hosts;
    std::map<std::string, std::pair<PlacementIndex::Slot, PlanJob>> jobs;
    int names = 0;
    const int steps = *rc::gen::inRange(1, 25);
    for (int step = 0; step < steps; ++step) {
      const int changes = *rc::gen::inRange(1, 8);
      for (int i = 0; i < changes; ++i) {
        const int what = Drawn::pick(10);
        if (what < 3 || hosts.empty()) {
          oracle::Here h = d.draw_host("m" + std::to_string(100 + names++));
          const PlacementIndex::Slot slot = b.new_machine();
          b.set_machine(slot, h.host, h.leaving, h.host.machine_type->capacity.cores, h.open);
          hosts.emplace(h.host.name, std::pair(slot, h));
        } else if (what < 6 || jobs.empty()) {
          const PlanJob j = d.draw_job();
          const PlacementIndex::Slot slot = b.new_job();
          b.set_job(slot, j, d.w.settings.objectives);
          jobs.emplace(j.spec->job_id, std::pair(slot, j));
        } else if (what == 6) {
          const auto it = std::next(hosts.begin(), Drawn::pick(static_cast<int>(hosts.size())));
          b.drop_machine(it->second.first);
          hosts.erase(it);
        } else if (what == 7) {
          const auto it = std::next(jobs.begin(), Drawn::pick(static_cast<int>(jobs.size())));
          b.drop_job(it->second.first);
          jobs.erase(it);
        } else if (what == 8) {
          auto& [slot, h] = std::next(hosts.begin(), Drawn::pick(static_cast<int>(hosts.size())))->second;
          oracle::Here again = d.draw_host("x");
          again.host.name = h.host.name;
          h = again;
          b.set_machine(slot, h.host, h.leaving, h.host.machine_type->capacity.cores, h.open);
        } else {
          auto& [slot, j] = std::next(jobs.begin(), Drawn::pick(static_cast<int>(jobs.size())))->second;
          j.waiting = static_cast<std::uint32_t>(1 + Drawn::pick(static_cast<int>(j.spec->task_count)));
          j.estimate = from_seconds(10 + 20 * Drawn::pick(4));
          b.set_job(slot, j, d.w.settings.objectives);
        }
      }
      const Micros passes = from_seconds(Drawn::pick(12));
      s.now += passes;
      s.clock += passes;
      s.teams["red"].cores = to_amount(*rc::gen::element(0.0, 40.0, 64.0));
      s.here.clear();
      s.jobs.clear();
      for (const auto& [name, h] : hosts) s.here.push_back(h.second);
      for (const auto& [ref, j] : jobs) s.jobs.push_back(j.second);
      if (Drawn::pick(3) == 0) s.coming = {{&d.w.small, to_amount(16 * Drawn::pick(5))}};
      std::string mine_order;
      std::string all_order;
      for (const PlacementIndex::Slot j : b.service_order(oracle::moment(s)))
        mine_order += b.job(j).spec->job_id + " ";
      for (const std::size_t j : oracle::order(s)) all_order += s.jobs[j].spec->job_id + " ";
      RC_ASSERT(mine_order == all_order);
      const Plan mine = b.plan(oracle::moment(s));
      const Plan all = oracle::place(s);
      const std::string got = told(
          mine, [&](std::size_t i) -> const PlanJob& { return b.job(static_cast<PlacementIndex::Slot>(i)); },
          [&](std::size_t i) { return b.machine(static_cast<PlacementIndex::Slot>(i))->name; });
      const std::string want = told(
          all, [&](std::size_t i) -> const PlanJob& { return s.jobs[i]; },
          [&](std::size_t i) { return s.here[i].host.name; });
      RC_ASSERT(got == want);
    }
  }));
}
