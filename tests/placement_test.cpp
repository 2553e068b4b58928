// Tests of ranking, service order, placement and preemption, and of PlacementIndex against the exhaustive
// planner.

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
using oracle::PlanningInput;

namespace {

/// A small cluster for planning tests: two machine types in two zones, and two teams.
struct Scenario {
  Settings settings;
  MachineType small{"small",   {to_amount(16), 0, to_amount(64)}, 30, 0.5, 1, 0.3, from_seconds(20),
                    {"a", "b"}};
  MachineType large{"large", {to_amount(64), to_amount(4), to_amount(256)}, 30, 0.5, 4, 1, from_seconds(30),
                    {"a"}};
  std::vector<std::unique_ptr<JobSpec>> specs;
  std::map<std::string, std::uint64_t> cached{{"hot", 1}};
  PlanningInput input;

  Scenario() {
    settings.teams = {{"red", 32, 64, 0, 0}, {"blue", 0, 0, 0, 0}};
    input.settings = &settings;
  }
  JobSpec& add_job(const std::string& team, std::uint32_t task_count, double cores, double estimate_s) {
    auto spec = std::make_unique<JobSpec>();
    spec->job_id = "req-" + std::to_string(100 + specs.size());
    spec->team = team;
    spec->task_count = task_count;
    spec->resources = {to_amount(cores), 0, to_amount(1)};
    spec->image = "cold";
    spec->image_gb = 5;
    spec->spot_allowed = true;
    specs.push_back(std::move(spec));
    PlanJob job;
    job.spec = specs.back().get();
    job.waiting = task_count;
    job.estimate = from_seconds(estimate_s);
    input.jobs.push_back(job);
    return *specs.back();
  }
  PlanMachine& add_machine(const MachineType& machine_type, const std::string& zone) {
    PlanMachine machine;
    machine.name = "m-" + std::to_string(100 + input.machines.size());
    machine.zone = zone;
    machine.machine_type = &machine_type;
    machine.spot = true;
    machine.free.resources = machine_type.capacity;
    input.machines.push_back({machine, {}, true});
    return input.machines.back().machine;
  }
  /// Adds a machine that has no room until its tasks end.
  oracle::MachineInput& add_busy_machine(const MachineType& machine_type, const std::string& zone,
                                         std::vector<EndingTask> ending_tasks) {
    add_machine(machine_type, zone).free.resources = {};
    input.machines.back().ending_tasks = std::move(ending_tasks);
    input.machines.back().open = false;
    return input.machines.back();
  }
};

Plan make_plan(const PlanningInput& input) {
  return oracle::index_plan(input);
}
/// An unfinished job.
struct TeamJob {
  const JobSpec* spec = nullptr;
  std::uint32_t unfinished = 0;
  WallTime accepted{};
};
/// Returns which jobs fit into their team's guarantee; passes them in the order of their acceptance.
std::vector<bool> fit_guarantee(const std::vector<TeamJob>& jobs, const Settings& settings) {
  std::map<WallTime, std::size_t> by_acceptance;
  for (std::size_t i = 0; i < jobs.size(); ++i) by_acceptance[jobs[i].accepted] = i;
  std::vector<bool> out(jobs.size());
  GuaranteeTracker guarantees(settings);
  for (const auto& [accepted, i] : by_acceptance) out[i] = guarantees.fits(*jobs[i].spec, jobs[i].unfinished);
  return out;
}

std::vector<std::size_t> planned_order(const PlanningInput& input) {
  return oracle::index_service_order(input);
}

}  // namespace

TEST(PlacementIndexTest, ServesByPriorityThenGuaranteeThenDescendingRank) {
  Scenario scenario;
  scenario.add_job("blue", 1, 1, 500);                          // 0: outside any guarantee
  scenario.add_job("red", 1, 1, 10);                            // 1: within the guarantee
  scenario.add_job("red", 1, 1, 90);                            // 2: within the guarantee, higher rank
  scenario.add_job("blue", 1, 1, 1).priority = Priority::high;  // 3: high priority
  scenario.input.jobs[1].guaranteed = scenario.input.jobs[2].guaranteed = true;
  EXPECT_EQ(planned_order(scenario.input), (std::vector<std::size_t>{3, 2, 1, 0}));
}

TEST(GuaranteeTrackerTest, CoversOnlyJobsThatFitWhollyWithEarlierJobsOfTheTeam) {
  // Team red has a guarantee of 32 cores. Guards against a job larger than the guarantee taking all of it
  // task by task, ahead of other teams' jobs at risk.
  Scenario scenario;
  JobSpec& first = scenario.add_job("red", 4, 4, 60);   // 16 cores
  JobSpec& large = scenario.add_job("red", 40, 4, 60);  // 160 cores
  JobSpec& second =
      scenario.add_job("red", 4, 4, 60);  // would fit beside `first`, but `large` was accepted earlier
  JobSpec& other = scenario.add_job("blue", 1, 1, 60);  // no guarantee
  const auto at = [](int seconds) { return WallTime{from_seconds(seconds)}; };
  EXPECT_EQ(fit_guarantee({{&first, 4, at(1)}, {&large, 40, at(2)}, {&second, 4, at(3)}, {&other, 1, at(0)}},
                          *scenario.input.settings),
            (std::vector<bool>{true, false, false, false}));
  EXPECT_EQ(fit_guarantee({{&second, 4, at(3)}, {&first, 4, at(1)}}, *scenario.input.settings),
            (std::vector<bool>{true, true}));
}

TEST(PlacementIndexTest, PrefersEarliestFinishIncludingFetch) {
  Scenario scenario;
  scenario.add_job("blue", 1, 4, 60).image = "hot";
  scenario.add_machine(scenario.small, "a");
  scenario.add_machine(scenario.small, "a").images = &scenario.cached;
  const Plan plan = make_plan(scenario.input);
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_EQ(plan.placements[0].machine, 1U);
}

TEST(PlacementIndexTest, ReportsShortageForTasksWithoutRoom) {
  Scenario scenario;
  scenario.add_job("blue", 6, 4, 60);
  scenario.add_machine(scenario.small, "a");
  const Plan plan = make_plan(scenario.input);
  ASSERT_EQ(plan.shortages.size(), 1U);
  EXPECT_EQ(plan.shortages[0].tasks, 2U);
}

TEST(PlacementIndexTest, LimitsShortageToTeamCeiling) {
  Scenario scenario;
  scenario.add_job("red", 40, 4, 60);  // the ceiling of 64 cores allows 16 tasks
  scenario.add_machine(scenario.small, "a");
  const Plan plan = make_plan(scenario.input);
  ASSERT_EQ(plan.shortages.size(), 1U);
  EXPECT_EQ(plan.shortages[0].tasks, 12U);
}

TEST(PlacementIndexTest, PlacesGangOnlyAsAWhole) {
  Scenario scenario;
  scenario.add_job("blue", 5, 8, 60).type = JobType::gang;
  scenario.add_machine(scenario.small, "a");
  scenario.add_machine(scenario.small, "b");
  EXPECT_TRUE(make_plan(scenario.input).placements.empty());
  scenario.add_machine(scenario.small, "b");
  std::uint32_t tasks = 0;
  for (const Placement& placement : make_plan(scenario.input).placements) tasks += placement.tasks;
  EXPECT_EQ(tasks, 5U);
}

TEST(PlacementIndexTest, RandomPlansSatisfyAllConstraints) {
  EXPECT_TRUE(rc::check([] {
    Scenario scenario;
    const int jobs = *rc::gen::inRange(1, 8);
    for (int i = 0; i < jobs; ++i) {
      JobSpec& job =
          scenario.add_job(*rc::gen::element<std::string>("red", "blue"), *rc::gen::inRange(1U, 12U),
                           *rc::gen::element(1.0, 4.0, 16.0, 33.3), 30);
      job.type = *rc::gen::element(JobType::array, JobType::gang, JobType::service);
      job.single_zone = *rc::gen::arbitrary<bool>();
      job.spread_zones = !job.single_zone && *rc::gen::arbitrary<bool>();
      job.spot_allowed = *rc::gen::arbitrary<bool>();
      if (*rc::gen::arbitrary<bool>()) job.machine_types = {"small"};
      if (*rc::gen::arbitrary<bool>()) job.zone = "b";
    }
    const int machines = *rc::gen::inRange(0, 6);
    for (int i = 0; i < machines; ++i) {
      PlanMachine& machine =
          scenario.add_machine(*rc::gen::arbitrary<bool>() ? scenario.small : scenario.large,
                               *rc::gen::element<std::string>("a", "b"));
      machine.spot = *rc::gen::arbitrary<bool>();
    }
    scenario.input.team_usage["red"].cores = to_amount(*rc::gen::element(0.0, 40.0, 64.0));
    const Plan plan = make_plan(scenario.input);
    std::vector<Resources> reserved_by_machine(scenario.input.machines.size());
    std::map<std::size_t, std::map<std::string, std::uint32_t>> tasks_by_zone;
    std::map<std::size_t, std::uint32_t> placed_by_job;
    Resources red_usage = scenario.input.team_usage["red"];
    for (const Placement& placement : plan.placements) {
      const JobSpec& spec = *scenario.input.jobs[placement.job].spec;
      const PlanMachine& machine = scenario.input.machines[placement.machine].machine;
      RC_ASSERT(spec.allows(machine.machine_type->name, machine.zone, machine.spot));
      reserved_by_machine[placement.machine] += spec.resources * placement.tasks;
      tasks_by_zone[placement.job][machine.zone] += placement.tasks;
      placed_by_job[placement.job] += placement.tasks;
      if (spec.team == "red") red_usage += spec.resources * placement.tasks;
    }
    RC_ASSERT(red_usage.cores <= to_amount(64));
    for (std::size_t machine = 0; machine < reserved_by_machine.size(); ++machine)
      RC_ASSERT(reserved_by_machine[machine].fits(scenario.input.machines[machine].machine.free.resources));
    for (const auto& [job, by_zone] : tasks_by_zone) {
      const JobSpec& spec = *scenario.input.jobs[job].spec;
      RC_ASSERT(!spec.single_zone || by_zone.size() == 1U);
      for (const auto& [zone, tasks] : by_zone) {
        RC_ASSERT(!spec.spread_zones || tasks <= (spec.task_count + 1) / 2);
      }
      RC_ASSERT(spec.type != JobType::gang || placed_by_job[job] == spec.task_count);
      RC_ASSERT(placed_by_job[job] <= spec.task_count);
    }
  }));
}

TEST(PlacementIndexTest, ServesJobsAtRiskFirstAndMissedJobsLast) {
  // Descending rank alone would starve short jobs, which have the earliest deadlines, while machines are
  // scarce.
  Scenario scenario;
  scenario.input.now = WallTime{from_seconds(1000)};
  const auto add_job_due = [&](double estimate_s, double slack_s) {
    JobSpec& job = scenario.add_job("blue", 1, 1, estimate_s);
    job.deadline = from_seconds(100);
    scenario.input.jobs.back().accepted_at = scenario.input.now + from_seconds(slack_s + estimate_s - 100);
  };
  add_job_due(60, 200);  // 0: has time
  add_job_due(20, 30);   // 1: at risk
  add_job_due(20, 10);   // 2: at risk, less slack
  add_job_due(20, -50);  // 3: target missed
  add_job_due(90, 200);  // 4: has time, higher rank
  EXPECT_EQ(planned_order(scenario.input), (std::vector<std::size_t>{2, 1, 4, 0, 3}));
}

TEST(PlacementIndexTest, ShedsLargestJobUnderOverload) {
  // With service by deadline alone, one job too many would make all later jobs miss their deadlines.
  Scenario scenario;
  scenario.input.now = WallTime{from_seconds(1000)};
  scenario.input.starting_cores = {{&scenario.small, to_amount(16)}};
  for (const std::uint32_t tasks : {20U, 400U, 30U}) {
    scenario.add_job("blue", tasks, 1, 10).deadline = from_seconds(60);
    scenario.input.jobs.back().accepted_at = scenario.input.now;
  }
  EXPECT_EQ(planned_order(scenario.input).back(), 1U);
  scenario.input.starting_cores = {{&scenario.small, to_amount(160)}};
  EXPECT_NE(planned_order(scenario.input).back(), 1U);
}

// Guards against starvation of large jobs. Without a bound on the time that a large job is shed while smaller
// ones arrive, none of a class's largest jobs started within four minutes in randomly generated workloads.
TEST(PlacementIndexTest, ServesLargeJobThatWaitedTooLongBeforeNewJobs) {
  Scenario scenario;
  scenario.input.now = WallTime{from_seconds(1000)};
  scenario.input.starting_cores = {{&scenario.small, to_amount(16)}};
  for (const std::uint32_t tasks : {20U, 400U, 30U}) {
    // All jobs have the same slack, but the large one has already waited for 200 s.
    const double waited_s = tasks == 400 ? 200 : 0;
    scenario.add_job("blue", tasks, 1, 10).deadline = from_seconds(60 + waited_s);
    scenario.input.jobs.back().accepted_at = scenario.input.now - from_seconds(waited_s);
  }
  EXPECT_EQ(planned_order(scenario.input).front(), 1U);
}

TEST(PlacementIndexTest, ServesOverdueJobsBeforeOthersOfTheirPriority) {
  Scenario scenario;
  scenario.input.now = WallTime{from_seconds(1000)};
  const auto add_waiting_job = [&](const char* team, double waited_s, bool has_started) -> JobSpec& {
    JobSpec& job = scenario.add_job(team, 1, 1, 50);
    scenario.input.jobs.back().accepted_at = scenario.input.now - from_seconds(waited_s);
    scenario.input.jobs.back().has_started = has_started;
    return job;
  };
  add_waiting_job("blue", 140, false);  // 0: not overdue yet
  add_waiting_job("red", 10, false);    // 1: within its guarantee
  scenario.input.jobs.back().guaranteed = true;
  add_waiting_job("blue", 160, false).deadline = from_seconds(5);  // 2: overdue, own deadline missed
  add_waiting_job("blue", 160, true).deadline = from_seconds(5);   // 3: deadline missed, but already started
  add_waiting_job("blue", 170, false);                             // 4: overdue for longer
  add_waiting_job("blue", 1, false).priority = Priority::high;     // 5: high priority
  add_waiting_job("blue", 1, false).priority = Priority::prod;     // 6: highest priority
  add_waiting_job("blue", 160, false).type =
      JobType::service;  // 7: overdue, but only arrays are raised in priority
  EXPECT_EQ(planned_order(scenario.input), (std::vector<std::size_t>{6, 4, 2, 5, 7, 1, 0, 3}));
}

// Guards against starvation of large tasks by small tasks of higher priority that take each place as it
// becomes free.
TEST(PlacementIndexTest, StartsOverdueArrayWithOneReservedTask) {
  Scenario scenario;
  scenario.input.now = WallTime{from_seconds(1000)};
  JobSpec& large = scenario.add_job("blue", 3, 16, 30);
  scenario.input.jobs.back().accepted_at = scenario.input.now - from_seconds(160);
  const auto planned_tasks = [&](std::size_t job) {
    std::uint32_t tasks = 0;
    for (const Placement& placement : make_plan(scenario.input).placements)
      tasks += placement.job == job ? placement.tasks : 0;
    return tasks;
  };
  scenario.add_job("blue", 40, 4, 30).priority = Priority::high;
  scenario.input.jobs.back().accepted_at = scenario.input.now;
  // Half of the machine is free now and the rest within a minute: the machine is reserved, so no other task
  // is placed there.
  scenario.add_machine(scenario.small, "a").free.resources.cores = to_amount(8);
  scenario.input.machines.back().ending_tasks = {
      {{to_amount(8), 0, to_amount(8)}, std::nullopt, from_seconds(45), nullptr}};
  EXPECT_EQ(planned_tasks(0), 0U);
  EXPECT_EQ(planned_tasks(1), 0U);
  scenario.input.jobs[0].has_started = true;
  EXPECT_EQ(planned_tasks(1), 2U);
  scenario.input.jobs[0].has_started = false;
  // With enough room, the overdue array takes one place, and the rest go to jobs of higher priority.
  scenario.add_machine(scenario.small, "b");
  scenario.add_machine(scenario.small, "b");
  EXPECT_EQ(planned_tasks(0), 1U);
  EXPECT_EQ(planned_tasks(1), 6U);
  large.priority = Priority::low;
  EXPECT_EQ(planned_tasks(0), 1U);
}

TEST(PlacementIndexTest, DoesNotPlaceJobOnExcludedMachineType) {
  Scenario scenario;
  scenario.add_job("blue", 2, 4, 30);
  scenario.input.jobs.back().excluded_types = {"large"};
  scenario.add_machine(scenario.large, "a");
  const Plan plan = make_plan(scenario.input);
  EXPECT_TRUE(plan.placements.empty());
  ASSERT_EQ(plan.shortages.size(), 1U);
}

TEST(MachineFitTest, FetchTimeAccountsForSharedRate) {
  // Guards against treating an image in transfer as cached, and against estimating a busy machine's fetch
  // time as a multiple of an idle one's.
  Scenario scenario;
  JobSpec& cold = scenario.add_job("blue", 1, 1, 30);  // 5 GB at 0.5 GB/s
  JobSpec other = cold;
  other.image = "other";
  PlanMachine& machine = scenario.add_machine(scenario.small, "a");
  EXPECT_EQ(fetch_time(machine, cold), from_seconds(10));
  machine.fetches = {{"x", 2, Priority::normal}, {"y", 20, Priority::normal}};
  EXPECT_EQ(fetch_time(machine, cold), from_seconds(24));            // 5 + 2 + 5 GB
  EXPECT_EQ(*fetch_delay_imposed(machine, cold), from_seconds(14));  // delays the other fetches by 2 + 5 GB
  machine.fetches.push_back({"cold", 1, Priority::normal});          // its own fetch is nearly complete
  EXPECT_EQ(fetch_time(machine, cold), from_seconds(6));
  EXPECT_EQ(*fetch_delay_imposed(machine, cold), Micros{0});
  EXPECT_EQ(fetch_time(machine, other), from_seconds(26));
}

TEST(PlacementIndexTest, StartsNoFetchBesideFetchForProdTask) {
  Scenario scenario;
  scenario.add_job("blue", 1, 1, 30);
  scenario.add_machine(scenario.small, "a").fetches = {{"x", 9, Priority::prod}};
  EXPECT_TRUE(make_plan(scenario.input).placements.empty());
  scenario.input.jobs[0].spec = [&] {
    scenario.specs[0]->priority = Priority::prod;
    return scenario.specs[0].get();
  }();
  EXPECT_EQ(make_plan(scenario.input).placements.size(), 1U);
}

TEST(PlacementIndexTest, ArrayWaitsForFuturePlaceWithImageIfSoonerThanFetch) {
  // Guards against giving each freed place to the next job in order. While machines were scarce, nearly every
  // task then spent half as long on fetching its image as on running.
  Scenario scenario;
  scenario.add_job("blue", 3, 16, 30).image = "hot";
  scenario.add_machine(scenario.small, "a");  // the fetch takes 10 s
  for (const double free_in_s : {4.0, 15.0})
    scenario
        .add_busy_machine(scenario.small, "a",
                          {{scenario.specs[0]->resources, std::nullopt, from_seconds(free_in_s), nullptr}})
        .machine.images = &scenario.cached;
  Plan plan = make_plan(scenario.input);
  // The first task waits for the place that is free after 4 s. The second is placed, since its fetch is
  // sooner than the place that is free after 15 s. The third counts on that place.
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_TRUE(plan.shortages.empty());
  // For a job at risk, tasks that only have a future place count as a shortage.
  scenario.specs[0]->deadline = from_seconds(40);
  plan = make_plan(scenario.input);
  ASSERT_EQ(plan.shortages.size(), 1U);
  EXPECT_EQ(plan.shortages[0].tasks, 2U);
  EXPECT_EQ(plan.shortages[0].expected_soon, 2U);
}

TEST(PlacementIndexTest, CountsMachineOnceIfImageIsBothCachedAndBeingFetched) {
  // Machines are looked up by image name. If one were listed twice, two tasks would wait for the same place,
  // and the second would wait longer than the fetch would have taken.
  Scenario scenario;
  scenario.add_job("blue", 2, 16, 30).image = "hot";
  scenario.add_machine(scenario.small, "a");
  scenario.add_busy_machine(scenario.small, "a",
                            {{scenario.specs[0]->resources, std::nullopt, from_seconds(4), nullptr}});
  PlanMachine& busy = scenario.input.machines[1].machine;
  busy.images = &scenario.cached;
  busy.fetches = {{"hot", 1, Priority::normal}};
  const Plan plan = make_plan(scenario.input);
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_EQ(plan.placements[0].tasks, 1U);
  EXPECT_TRUE(plan.shortages.empty());
  // An image that is only being fetched counts too.
  busy.images = nullptr;
  EXPECT_EQ(make_plan(scenario.input).placements.size(), 1U);
  EXPECT_TRUE(make_plan(scenario.input).shortages.empty());
  busy.fetches.clear();
  ASSERT_EQ(make_plan(scenario.input).shortages.size(), 1U);
}

TEST(DeadlinesTest, WaitObjectiveAppliesToGangsButNotToArrays) {
  Scenario scenario;
  scenario.settings.objectives = {{"wait", "q", 1.0, from_seconds(70)},
                                  {"finished", "q", 1.0, from_seconds(400)}};
  scenario.add_job("blue", 2, 1, 100).job_class = "q";
  const auto slack_after = [&](double waited_s) {
    return slack(scenario.input.jobs[0], scenario.input.jobs[0].accepted_at + from_seconds(waited_s),
                 scenario.settings.objectives);
  };
  EXPECT_EQ(slack_after(0).status, DeadlineStatus::on_track);  // an array is measured by its completion
  scenario.specs[0]->type = JobType::gang;
  EXPECT_EQ(slack_after(10).status, DeadlineStatus::at_risk);
  EXPECT_EQ(slack_after(10).time_to_latest_start, from_seconds(60));
  EXPECT_EQ(slack_after(80).status,
            DeadlineStatus::on_track);  // wait target missed; 220 s left for the completion target
}

TEST(PlacementIndexTest, ReservesPlacesForGangAtRisk) {
  // Guards against small tasks taking each place as it becomes free while a gang waits for two at the same
  // time.
  Scenario scenario;
  scenario.settings.objectives = {{"wait", "gangs", 1.0, from_seconds(70)}};
  JobSpec& gang = scenario.add_job("blue", 1, 16, 90);
  gang.type = JobType::gang;
  gang.job_class = "gangs";
  scenario.add_job("blue", 2, 8, 30);
  PlanMachine& machine = scenario.add_machine(scenario.small, "a");
  machine.free.resources.cores = to_amount(8);
  machine.images = &scenario.cached;
  scenario.input.machines[0].ending_tasks = {
      {{to_amount(8), 0, to_amount(1)}, std::nullopt, from_seconds(5), nullptr}};
  EXPECT_TRUE(make_plan(scenario.input).placements.empty());
  scenario.input.machines[0].ending_tasks[0].min_remaining = from_seconds(60);  // too late to keep room idle
  EXPECT_EQ(make_plan(scenario.input).placements.size(), 1U);
}

TEST(PlacementIndexTest, PlanTerminatesForGangWithoutResourceNeeds) {
  // Guards against an endless loop in the reservation: tasks without resource needs always fit once more.
  Scenario scenario;
  scenario.settings.objectives = {{"wait", "gangs", 1.0, from_seconds(70)}};
  JobSpec& gang = scenario.add_job("blue", 3, 0, 90);
  gang.resources = {};
  gang.type = JobType::gang;
  gang.job_class = "gangs";
  scenario.add_busy_machine(scenario.small, "a", {});
  EXPECT_TRUE(make_plan(scenario.input).placements.empty());
}

TEST(PreemptionTest, MakesRoomForServiceWhereCostIsLeast) {
  Scenario scenario;
  scenario.add_job("blue", 1, 8, 60).priority = Priority::prod;
  scenario.specs[0]->type = JobType::service;
  scenario.specs[0]->image = "hot";
  JobSpec array = scenario.add_job("blue", 1, 8, 60);
  JobSpec gang = scenario.add_job("blue", 2, 8, 60);
  gang.type = JobType::gang;
  gang.checkpoint_interval = from_seconds(10);
  gang.checkpoint_time = from_seconds(3);
  scenario.input.jobs.resize(1);
  for (int i = 0; i < 3; ++i) scenario.add_machine(scenario.small, "a").free.resources = {};
  scenario.input.machines[1].machine.images = &scenario.cached;
  std::vector<RunningTask> running = {{0, &array, 0, Micros{0}, from_seconds(60), false},
                                      {1, &gang, 0, from_seconds(40), from_seconds(50), false},
                                      {2, &gang, 1, from_seconds(40), from_seconds(50), false}};
  // The choice is between 10 s of fetch on the machine where the array has just started, and the 3 s of the
  // gang's checkpoint. The gang is stopped as a whole.
  EXPECT_EQ(choose_preemptions(oracle::preemption_view(scenario.input), {{0, 1}}, running),
            (std::vector<std::size_t>{1, 2}));
  scenario.input.machines[0].machine.images = &scenario.cached;
  EXPECT_EQ(choose_preemptions(oracle::preemption_view(scenario.input), {{0, 1}}, running),
            (std::vector<std::size_t>{0}));
  // With `requires_image_locality`, free room on a machine without the image is not used; room is made on a
  // machine with the image.
  scenario.add_machine(scenario.small, "a");
  EXPECT_EQ(make_plan(scenario.input).placements.size(), 1U);
  EXPECT_TRUE(choose_preemptions(oracle::preemption_view(scenario.input), {{0, 1}}, running).empty());
  scenario.input.jobs[0].requires_image_locality = true;
  EXPECT_TRUE(make_plan(scenario.input).placements.empty());
  EXPECT_EQ(choose_preemptions(oracle::preemption_view(scenario.input), {{0, 1}}, running),
            (std::vector<std::size_t>{0}));
}

TEST(PreemptionTest, PreemptsTasksOfLowerPriority) {
  Scenario scenario;
  scenario.add_job("blue", 2, 4, 30).priority = Priority::high;
  const Shortage shortage{0, 2};
  scenario.add_machine(scenario.small, "a").free.resources = {};
  JobSpec checkpointed = scenario.add_job("blue", 1, 4, 60);
  checkpointed.checkpoint_interval = from_seconds(10);
  JobSpec normal = scenario.add_job("blue", 1, 4, 60);
  JobSpec same_priority = normal;
  same_priority.priority = Priority::high;
  scenario.input.jobs.resize(1);
  const std::vector<RunningTask> running = {
      {0, &same_priority, 0, from_seconds(1), from_seconds(50), false},  // 0: same priority
      {0, &normal, 0, from_seconds(50), from_seconds(20), false},        // 1: too much work to lose
      {0, &normal, 1, from_seconds(5), from_seconds(50), false},         // 2: started recently
      {0, &checkpointed, 0, from_seconds(50), from_seconds(20), false},  // 3: loses no work
      {0, &checkpointed, 1, from_seconds(55), from_seconds(5), false},   // 4: ends soon
      {0, &normal, 2, from_seconds(2), from_seconds(50), false},         // 5: started most recently
  };
  EXPECT_EQ(choose_preemptions(oracle::preemption_view(scenario.input), {shortage}, running),
            (std::vector<std::size_t>{3, 5}));
  // Tasks that are already stopping count as room, so no others are chosen.
  std::vector<RunningTask> already_stopping = running;
  already_stopping[3].stopping = already_stopping[5].stopping = true;
  EXPECT_TRUE(
      choose_preemptions(oracle::preemption_view(scenario.input), {shortage}, already_stopping).empty());
}

namespace {

/// Returns a topology of two switches with three racks each; machine names are mapped to racks by suffix.
std::shared_ptr<const wrenusher::topology::Topology> two_switch_topology() {
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

/// Random jobs, machines and ending tasks drawn from rapidcheck. Most are alike, so that ties are common.
struct RandomScenario {
  Scenario scenario;
  std::shared_ptr<const wrenusher::topology::Topology> topology = two_switch_topology();
  std::vector<std::unique_ptr<wrenusher::topology::MachineLocation>> locations;
  std::vector<std::unique_ptr<std::map<std::string, std::uint64_t>>> images;
  std::map<std::string, Instant> avoided_machines;
  int next_job_number = 0;

  static int pick(int count) { return *rc::gen::inRange(0, count); }

  PlanJob draw_job() {
    auto spec = std::make_unique<JobSpec>();
    spec->job_id = "req-" + std::to_string(1000 + next_job_number++);
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
    PlanJob job;
    if (pick(3) == 0) {
      spec->layout.emplace();
      PlanLayout layout;
      if (pick(2) == 0) {
        layout.spread = pick(2);
        layout.max_tasks = static_cast<std::uint32_t>(1 + pick(3));
        layout.spread_required = pick(2) == 0;
        if (pick(3) == 0) layout.tasks_by_spread_domain = {{static_cast<std::uint32_t>(pick(9)), 1}};
      }
      if (pick(2) == 0) {
        layout.colocation = pick(2);
        layout.colocation_required = pick(2) == 0;
        if (pick(4) == 0) layout.tasks_by_colocation_domain = {{static_cast<std::uint32_t>(pick(9)), 1}};
      }
      if (pick(4) == 0) spec->layout->devices = {{"signer", 1}};
      job.layout = layout;
    }
    job.spec = spec.get();
    job.waiting = spec->task_count;
    job.estimate = from_seconds(10 + 20 * pick(4));
    job.guaranteed = pick(4) == 0;
    job.has_started = pick(2) == 0;
    job.requires_image_locality = spec->type == JobType::service && pick(4) == 0;
    if (pick(6) == 0) job.excluded_types = {"large"};
    if (pick(6) == 0) job.avoided_machines = &avoided_machines;
    job.accepted_at = WallTime{from_seconds(1000 - 30 * pick(9))};
    scenario.specs.push_back(std::move(spec));
    return job;
  }
  oracle::MachineInput draw_machine(const std::string& name) {
    oracle::MachineInput input;
    const MachineType& machine_type = pick(3) == 0 ? scenario.large : scenario.small;
    input.machine.name = name + "-" + std::to_string(pick(3)) + std::to_string(pick(4));
    input.machine.zone = &machine_type == &scenario.large || pick(2) == 0 ? "a" : "b";
    input.machine.machine_type = &machine_type;
    input.machine.spot = pick(3) != 0;
    input.machine.runs_services = pick(5) == 0;
    input.machine.speed = pick(5) == 0 ? 0.9 : 1.0;
    input.machine.free.resources = machine_type.capacity;
    images.push_back(std::make_unique<std::map<std::string, std::uint64_t>>());
    for (int i = 0; i < pick(3); ++i) images.back()->emplace("b" + std::to_string(pick(4)), 1);
    input.machine.images = images.back().get();
    for (int i = 0; i < 4; ++i) {
      const std::string image = "b" + std::to_string(i);
      if (pick(6) == 0 && !images.back()->contains(image))
        input.machine.fetches.push_back(
            {image, 1.0 + pick(4), pick(4) == 0 ? Priority::prod : Priority::normal});
    }
    locations.push_back(std::make_unique<wrenusher::topology::MachineLocation>(
        topology->find(input.machine.name, "", machine_type.name, input.machine.zone)));
    input.machine.location = locations.back().get();
    input.machine.free.devices = locations.back()->devices;
    input.machine.reserved_for_devices = !input.machine.free.devices.empty() && pick(2) == 0;
    const int tasks = pick(4);
    for (int i = 0; i < tasks; ++i) {
      EndingTask ending{
          {to_amount(std::vector{1, 4, 16}[static_cast<std::size_t>(pick(3))]), 0, to_amount(1)},
          {},
          {},
          nullptr};
      input.machine.free.resources -= ending.resources;
      ending.min_remaining = from_seconds(2 * pick(5));
      if (pick(2) == 0) ending.ends_at = Instant{from_seconds(500 + 5 * pick(20))};
      if (pick(5) == 0 && !scenario.specs.empty())
        ending.awaited_image_spec =
            scenario.specs[static_cast<std::size_t>(pick(static_cast<int>(scenario.specs.size())))].get();
      input.ending_tasks.push_back(ending);
    }
    if (pick(6) == 0) input.machine.free.task_slots = pick(3);
    input.open = pick(6) != 0;
    if (input.machine.free.resources.cores < 0 || input.machine.free.resources.memory < 0) input.open = false;
    if (pick(5) == 0) avoided_machines[input.machine.name] = Instant{from_seconds(490 + pick(30))};
    return input;
  }
};

/// Describes the plan with names instead of numbers, since slots and indices differ.
std::string describe_plan(const Plan& plan, const std::function<const PlanJob&(std::size_t)>& job,
                          const std::function<std::string(std::size_t)>& machine_name) {
  std::string out;
  for (const Placement& placement : plan.placements)
    out += job(placement.job).spec->job_id + ": " + std::to_string(placement.tasks) + " on " +
           machine_name(placement.machine) + "\n";
  for (const Shortage& shortage : plan.shortages)
    out += job(shortage.job).spec->job_id + " lacks " + std::to_string(shortage.tasks) + ", soon " +
           std::to_string(shortage.expected_soon) + "\n";
  return out;
}

}  // namespace

TEST(PlacementIndexTest, MatchesOracleAfterRandomChanges) {
  EXPECT_TRUE(rc::check([] {
    RandomScenario generated;
    PlanningInput& input = generated.scenario.input;
    generated.scenario.settings.objectives = {{"wait", "q", 1.0, from_seconds(120)},
                                              {"deadline", "r", 1.0, {}}};
    input.now = WallTime{from_seconds(1000)};
    input.steady_now = Instant{from_seconds(500)};
    PlacementIndex index;
    // Contents of the index, with their slots, by name.
    std::map<std::string, std::pair<PlacementIndex::Slot, oracle::MachineInput>> machines;
    std::map<std::string, std::pair<PlacementIndex::Slot, PlanJob>> jobs;
    int next_machine_number = 0;
    const int steps = *rc::gen::inRange(1, 25);
    for (int step = 0; step < steps; ++step) {
      const int changes = *rc::gen::inRange(1, 8);
      for (int i = 0; i < changes; ++i) {
        const int action = RandomScenario::pick(10);
        if (action < 3 || machines.empty()) {
          oracle::MachineInput machine_input =
              generated.draw_machine("m" + std::to_string(100 + next_machine_number++));
          const PlacementIndex::Slot slot = index.new_machine();
          index.set_machine(slot, machine_input.machine, machine_input.ending_tasks,
                            machine_input.machine.machine_type->capacity.cores, machine_input.open);
          machines.emplace(machine_input.machine.name, std::pair(slot, machine_input));
        } else if (action < 6 || jobs.empty()) {
          const PlanJob job = generated.draw_job();
          const PlacementIndex::Slot slot = index.new_job();
          index.set_job(slot, job, generated.scenario.settings.objectives);
          jobs.emplace(job.spec->job_id, std::pair(slot, job));
        } else if (action == 6) {
          const auto it =
              std::next(machines.begin(), RandomScenario::pick(static_cast<int>(machines.size())));
          index.drop_machine(it->second.first);
          machines.erase(it);
        } else if (action == 7) {
          const auto it = std::next(jobs.begin(), RandomScenario::pick(static_cast<int>(jobs.size())));
          index.drop_job(it->second.first);
          jobs.erase(it);
        } else if (action == 8) {
          auto& [slot, machine_input] =
              std::next(machines.begin(), RandomScenario::pick(static_cast<int>(machines.size())))->second;
          oracle::MachineInput replacement = generated.draw_machine("x");
          replacement.machine.name = machine_input.machine.name;
          machine_input = replacement;
          index.set_machine(slot, machine_input.machine, machine_input.ending_tasks,
                            machine_input.machine.machine_type->capacity.cores, machine_input.open);
        } else {
          auto& [slot, job] =
              std::next(jobs.begin(), RandomScenario::pick(static_cast<int>(jobs.size())))->second;
          job.waiting =
              static_cast<std::uint32_t>(1 + RandomScenario::pick(static_cast<int>(job.spec->task_count)));
          job.estimate = from_seconds(10 + 20 * RandomScenario::pick(4));
          index.set_job(slot, job, generated.scenario.settings.objectives);
        }
      }
      const Micros elapsed = from_seconds(RandomScenario::pick(12));
      input.now += elapsed;
      input.steady_now += elapsed;
      input.team_usage["red"].cores = to_amount(*rc::gen::element(0.0, 40.0, 64.0));
      input.machines.clear();
      input.jobs.clear();
      for (const auto& [name, entry] : machines) input.machines.push_back(entry.second);
      for (const auto& [job_id, entry] : jobs) input.jobs.push_back(entry.second);
      if (RandomScenario::pick(3) == 0)
        input.starting_cores = {{&generated.scenario.small, to_amount(16 * RandomScenario::pick(5))}};
      std::string index_order;
      std::string oracle_order;
      for (const PlacementIndex::Slot slot : index.service_order(oracle::planning_context(input)))
        index_order += index.job(slot).spec->job_id + " ";
      for (const std::size_t job : oracle::service_order(input))
        oracle_order += input.jobs[job].spec->job_id + " ";
      RC_ASSERT(index_order == oracle_order);
      const Plan index_plan = index.plan(oracle::planning_context(input));
      const Plan oracle_plan = oracle::plan(input);
      const std::string index_result = describe_plan(
          index_plan,
          [&](std::size_t i) -> const PlanJob& { return index.job(static_cast<PlacementIndex::Slot>(i)); },
          [&](std::size_t i) { return index.machine(static_cast<PlacementIndex::Slot>(i))->name; });
      const std::string oracle_result = describe_plan(
          oracle_plan, [&](std::size_t i) -> const PlanJob& { return input.jobs[i]; },
          [&](std::size_t i) { return input.machines[i].machine.name; });
      RC_ASSERT(index_result == oracle_result);
    }
  }));
}
