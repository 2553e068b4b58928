// Quota tests: every team is at its limit and has waiting work, while jobs are cancelled whose machines are
// cut off or hang, and the leader changes. Quota is freed only by proof that a task is off its machine. From
// the first placement of a term on, a team's usage includes assignments that were recovered or adopted, that
// belong to cancelled jobs, and that are on machines to be returned.
//
// If WRENUSHER_LIMITS is set, every cancellation time is run with every pair of faults in each variant, with
// seeds from WRENUSHER_SEED.

#include <gtest/gtest.h>

#include <cstdlib>

#include "manual_runtime.hpp"
#include "verdict_assertions.hpp"
#include "wrenusher/reconciler/reconciler.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::job_table::TaskState;
using wrenusher::runtime::ManualRuntime;

namespace {

std::string controller_name(int controller) {
  return "c" + std::to_string(controller);
}

enum class Limit { cores, gpus };
constexpr std::uint32_t kTasksPerTeam = 10;  // maximum at the same time

/// Returns a site whose machines have room for twice the quotas of the teams and are not returned while idle,
/// so that a task always finds room as soon as quota is freed.
Site quota_site(Limit limit, bool warm) {
  Site site = World::default_site(World::small_site());
  site.types.resize(1);
  site.types[0].type.capacity.gpus = to_amount(4);
  site.types[0].type.boot_time = from_seconds(2);
  site.types[0].spot = 0;
  site.types[0].ordinary = 12;
  site.machines = 10;
  site.settings.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  for (auto& team : site.settings.teams) (limit == Limit::cores ? team.cores_max : team.gpus_max) = 0;
  for (auto& team : site.settings.teams) {
    if (limit == Limit::cores) {
      team.cores_max = 4 * kTasksPerTeam;
    } else {
      team.gpus_max = kTasksPerTeam;
    }
  }
  site.settings.tunables.warm_standby = warm;
  site.settings.tunables.idle_return = from_seconds(900);
  return site;
}

JobSpec make_job(int number, std::uint32_t task_count, double run_s) {
  JobSpec spec = World::job(number, task_count, 4, run_s);
  spec.resources.gpus = to_amount(1);
  spec.image = "img";
  spec.image_gb = 0.5;
  spec.spot_allowed = false;
  return spec;
}

/// Ids of the submitted jobs that run at once, and of the services among them.
struct RunningJobs {
  std::vector<std::string> all;
  std::set<std::string> services;
};

/// Submits long jobs that use the whole quota of each team (arrays, a gang and a service), and 15 s later
/// short jobs that have to wait. Returns the long ones.
RunningJobs submit_jobs(World& world) {
  RunningJobs jobs;
  for (int i = 0; i < 10; ++i) {
    JobSpec spec = make_job(i, 2, 70);
    if (i / 2 == 3) spec.type = JobType::gang;
    if (i / 2 == 4) spec.type = JobType::service;
    if (spec.type == JobType::service) jobs.services.insert(spec.job_id);
    jobs.all.push_back(spec.job_id);
    world.submit(spec);
  }
  for (int i = 0; i < 16; ++i)
    world.at(from_seconds(15), [&world, spec = make_job(100 + i, 1, 15)] { world.submit(spec); });
  return jobs;
}

/// Returns the number of tasks of the team that are on machines.
std::uint32_t count_tasks_on_machines(const World& world, const std::string& team) {
  std::uint32_t count = 0;
  for (const std::string& host : world.hosts()) {
    for (const auto& [job_id, task] : world.tasks_on(host))
      count += world.checker.spec(job_id).team == team ? 1 : 0;
  }
  return count;
}

std::vector<std::string> hosts_with_tasks_of(const World& world, const std::set<std::string>& job_ids) {
  std::vector<std::string> hosts;
  for (const std::string& host : world.hosts()) {
    const auto tasks = world.tasks_on(host);
    if (std::any_of(tasks.begin(), tasks.end(),
                    [&](const auto& task) { return job_ids.contains(task.first); }))
      hosts.push_back(host);
  }
  return hosts;
}

/// A fault of the machines of cancelled jobs.
struct MachineFault {
  const char* name;
  std::function<void(World& world, const std::vector<std::string>& hosts)> inject;
};

void cut_off(World& world, const std::string& host, LinkCut mode) {
  for (int controller = 0; controller < 3; ++controller) world.cut(controller_name(controller), host, mode);
}

std::vector<MachineFault> machine_faults() {
  const auto on_each = [](auto fault) {
    return [fault](World& world, const std::vector<std::string>& hosts) {
      for (const std::string& host : hosts) fault(world, host);
    };
  };
  return {
      {"cut off, messages are delayed",
       on_each([](World& world, const std::string& host) { cut_off(world, host, LinkCut::hold); })},
      {"cut off",
       on_each([](World& world, const std::string& host) { cut_off(world, host, LinkCut::reset); })},
      {"reports arrive, replies and commands are delayed",
       on_each([](World& world, const std::string& host) { world.drop_inbound(host, LinkCut::hold); })},
      {"commands arrive, reports are lost",
       on_each([](World& world, const std::string& host) { world.drop_replies(host, LinkCut::reset); })},
      {"commands arrive, reports are delayed",
       on_each([](World& world, const std::string& host) { world.drop_replies(host, LinkCut::hold); })},
      {"hang for less than a lease",
       on_each([](World& world, const std::string& host) { world.hang(host, from_seconds(7)); })},
      {"hang for longer than a lease",
       on_each([](World& world, const std::string& host) { world.hang(host, from_seconds(14)); })},
      {"a zone is cut off",
       [](World& world, const std::vector<std::string>&) { world.cut_zone("b", LinkCut::hold); }},
  };
}

/// A fault after which another controller becomes the leader.
struct LeaderFault {
  const char* name;
  std::function<void(World& world, int leader)> inject;
};

std::vector<LeaderFault> leader_faults() {
  return {
      {"crashes", [](World& world, int leader) { world.crash(leader, from_seconds(20)); }},
      {"crashes and restarts at once",
       [](World& world, int leader) { world.crash(leader, from_millis(300)); }},
      {"is suspended", [](World& world, int leader) { world.stall(leader, from_seconds(9)); }},
      {"is refused by the state service",
       [](World& world, int leader) {
         world.state_refuses(leader, true);
         world.at(from_seconds(12), [&world, leader] { world.state_refuses(leader, false); });
       }},
      {"loses the state service and its peers",
       [](World& world, int leader) { world.leave_alone(leader, LinkCut::hold); }},
      {"loses all workers and hands over",
       [](World& world, int leader) {
         for (const std::string& host : world.hosts())
           world.cut(controller_name(leader), host, LinkCut::reset);
       }},
      {"crashes, and the next leader soon after it",
       [](World& world, int leader) {
         world.crash(leader, from_seconds(15));
         world.at(from_seconds(5.5), [&world] {
           if (world.leader() >= 0) world.crash(world.leader(), from_seconds(10));
         });
       }},
      {"crashes during a cloud outage",
       [](World& world, int leader) {
         world.cloud_outage(true);
         world.crash(leader, from_seconds(20));
         world.at(from_seconds(9), [&world] { world.cloud_outage(false); });
       }},
  };
}

/// Times of the cancellations, in seconds after the fault of the leader.
constexpr double kCancelOffsetsS[] = {-2, -0.5, -0.1, -0.02, 0, 0.02, 0.2, 1, 3, 4.5, 5, 6, 8};

struct Scenario {
  std::uint64_t seed;
  Limit limit;
  bool warm;
  double cancel_offset_s;
};

void run_scenario(const Scenario& scenario, const LeaderFault& leader_fault,
                  const MachineFault& machine_fault) {
  const std::string description = std::string("the leader ") + leader_fault.name +
                                  ", machines: " + machine_fault.name + ", cancelled at " +
                                  std::to_string(scenario.cancel_offset_s) + " s, seed " +
                                  std::to_string(scenario.seed) + (scenario.warm ? " warm" : " cold") +
                                  (scenario.limit == Limit::cores ? " cores" : " GPUs");
  World world(scenario.seed, quota_site(scenario.limit, scenario.warm));
  const RunningJobs jobs = submit_jobs(world);
  world.run(from_seconds(25));
  const int leader = world.leader();
  ASSERT_GE(leader, 0) << description;
  for (const char* team : {"red", "blue"})
    ASSERT_EQ(count_tasks_on_machines(world, team), kTasksPerTeam) << team << " " << description;
  // One array, the gang and the service of each team are cancelled. The machine fault affects their machines,
  // but not all of them.
  std::set<std::string> cancelled;
  for (int i = 0; i < 10; ++i) {
    if (i / 2 == 0 || i / 2 >= 3) cancelled.insert(jobs.all[static_cast<std::size_t>(i)]);
  }
  std::vector<std::string> hosts = hosts_with_tasks_of(world, cancelled);
  if (hosts.size() > 3) hosts.resize(hosts.size() - 1);
  world.at(from_seconds(2), [&world, &machine_fault, hosts] { machine_fault.inject(world, hosts); });
  world.at(from_seconds(3), [&world, &leader_fault, leader] { leader_fault.inject(world, leader); });
  for (const std::string& job_id : cancelled)
    world.at(from_seconds(3 + scenario.cancel_offset_s + world.uniform(0, 0.2)),
             [&world, job_id] { world.cancel(job_id); });
  world.run(from_seconds(20));
  world.heal();
  world.checker.troubles_over(world.now());
  world.run(from_seconds(110));
  world.checker.judge(world.now());
  EXPECT_TRUE(world.checker.broken().empty()) << description << "\n" << notes(world).substr(0, 1500);
  EXPECT_EQ(world.live(), 0U) << description;
}

std::uint64_t number_from_environment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

class QuotaFaultTest : public testing::TestWithParam<std::size_t> {};

}  // namespace

// Runs each leader fault with each machine fault, and rotates the cancellation times. Every pair runs with a
// warm standby and a limit of cores. In addition, every second variant without a warm standby or with a limit
// of GPUs runs.
TEST_P(QuotaFaultTest, KeepsRulesWhenJobsAreCancelled) {
  const bool run_all = std::getenv("WRENUSHER_LIMITS") != nullptr;
  std::uint64_t seed = number_from_environment("WRENUSHER_SEED", 100) + GetParam() * 1000;
  const LeaderFault leader_fault = leader_faults()[GetParam()];
  std::size_t turn = GetParam() * 5;
  for (const MachineFault& machine_fault : machine_faults()) {
    for (const auto& [limit, warm] :
         {std::pair(Limit::cores, true), std::pair(Limit::cores, false), std::pair(Limit::gpus, true)}) {
      ++turn;
      const bool is_default_variant = limit == Limit::cores && warm;
      if (!run_all && !is_default_variant && turn % 2 == 0) continue;
      for (std::size_t i = 0; i < std::size(kCancelOffsetsS); ++i) {
        if (run_all || i == turn % std::size(kCancelOffsetsS))
          run_scenario({++seed, limit, warm, kCancelOffsetsS[i]}, leader_fault, machine_fault);
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(LeaderFaults, QuotaFaultTest, testing::Range<std::size_t>(0, 8));

namespace {

/// A job table with one job, and the reconciler that applies reports to it, without a simulation.
struct ReconcilerFixture {
  ManualRuntime runtime;
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{runtime, estimator};
  wrenusher::job_table::JobTable jobs{runtime, machines};
  wrenusher::usage_metrics::StartLatencyMetrics start_latency;
  wrenusher::reconciler::Reconciler reconciler{runtime, jobs, machines, estimator, start_latency};
  JobSpec spec = make_job(0, 2, 100);

  ReconcilerFixture() { reset(7); }
  /// Resets the table and adds the job, as a leader does with the records at the start of a term.
  wrenusher::job_table::Job& reset(std::uint64_t fencing_token) {
    jobs.reset(fencing_token);
    machines.clear();
    return jobs.add(spec.job_id, {spec, {}, 1000, false}, 1);
  }
  wrenusher::job_table::Job& job() { return *jobs.find(spec.job_id); }
  /// Restores a block in which task 0 is assigned to m-1.
  void restore_block(std::uint64_t version) {
    wrenusher::records::BlockRecord block;
    block.last_attempt = 2;
    block.assignments.push_back({"m-1", 2, {}});
    block.assignments.back().tasks.add(0);
    jobs.restore_block(job(), 0, version, block);
  }
  /// Applies a report of a machine that lists task 0 with this status, or does not list it if there is none.
  void apply_report(const char* host, std::uint64_t attempt, std::optional<TaskStatus> status,
                    const char* exit_reason, bool token_accepted, bool worker_initiated = true) {
    WorkerReport report;
    report.host = host;
    report.address = "10.1.0.1:9000";
    report.machine_type = "small";
    report.zone = "a";
    report.incarnation = report.sequence = report.fencing_token = 1;
    if (status) report.tasks.push_back({spec.job_id, 0, attempt, *status, exit_reason, false});
    reconciler.apply(report, token_accepted, worker_initiated);
  }
  double cores_used() const {
    const auto it = jobs.team_usage().find("red");
    return it == jobs.team_usage().end() ? 0 : from_amount(it->second.cores);
  }
};

constexpr std::uint64_t kTermStartVersion = std::uint64_t{7} << 32U;

}  // namespace

// Guards against versions that restart when a leader that missed changes reads its records again within its
// term. New assignments would have lower versions than the records, so that their start commands would be
// sent although the assignments are never written.
TEST(JobTableTest, AssignmentAfterRereadIsNewerThanRestoredBlock) {
  ReconcilerFixture fixture;
  auto& old_job = fixture.job();
  for (int i = 0; i < 5; ++i) {
    fixture.jobs.assign(old_job, 0, fixture.machines.get_or_add("m-1"), 1, TaskState::assigned);
    fixture.jobs.release(old_job, 0, "stopped");
  }
  const std::uint64_t in_flight_version = old_job.blocks[0].version;
  fixture.reset(7);
  fixture.restore_block(in_flight_version - 2);
  auto& job = fixture.job();
  fixture.jobs.assign(job, 1, fixture.machines.get_or_add("m-2"), 3, TaskState::assigned);
  EXPECT_GT(job.blocks[0].version, in_flight_version);
  EXPECT_FALSE(job.committed(1, job.assignments.at(1).version));
  EXPECT_EQ(fixture.jobs.unwritten_blocks().size(), 1U);
  EXPECT_EQ(fixture.jobs.disagreement(), "");
}

// Guards against freeing quota on a delayed copy of a report from before the term: a task of a gang may have
// been started on the machine again under the same attempt since.
TEST(QuotaTest, QuotaStaysUsedUntilWorkerAcceptsTermToken) {
  for (const bool listed_first : {false, true}) {
    for (const bool exited : {false, true}) {
      ReconcilerFixture fixture;
      fixture.spec.type = JobType::gang;
      fixture.reset(7);
      fixture.restore_block(kTermStartVersion - 5);
      ASSERT_EQ(fixture.cores_used(), 4);
      if (listed_first) fixture.apply_report("m-1", 2, TaskStatus::waiting_for_gang, "", false);
      fixture.apply_report("m-1", 2, exited ? std::optional(TaskStatus::exited) : std::nullopt, "alone",
                           false);
      EXPECT_EQ(fixture.cores_used(), 4) << listed_first << exited;
      fixture.apply_report("m-1", 2, exited ? std::optional(TaskStatus::exited) : std::nullopt, "alone",
                           true);
      EXPECT_EQ(fixture.cores_used(), 0) << listed_first << exited;
    }
  }
}

// The first machine of a task was lost before it reported that the task is done. The task's second machine is
// still fetching the image, and the task will be on it for a moment once the image has arrived.
TEST(QuotaTest, TaskDoneOnFormerMachineCountsUntilItEndsOnItsAssignedMachine) {
  ReconcilerFixture fixture;
  fixture.restore_block(kTermStartVersion - 5);
  fixture.apply_report("m-1", 2, TaskStatus::fetching_image, "", true);
  fixture.apply_report("m-9", 1, TaskStatus::exited, "done", true);
  EXPECT_EQ(fixture.cores_used(), 4);
  EXPECT_FALSE(fixture.job().done.contains(0));
  fixture.apply_report("m-1", 2, TaskStatus::exited, "done", true);
  EXPECT_EQ(fixture.cores_used(), 0);
  EXPECT_TRUE(fixture.job().done.contains(0));
}

// The start command of an assignment that the leader made before it read the records again may still be in
// flight. The worker's reply to a direct command does not prove that the start command will not arrive.
TEST(QuotaTest, AssignmentOfThisTermReadAgainIsReleasedOnlyByWorkerInitiatedReport) {
  for (const bool from_this_term : {false, true}) {
    ReconcilerFixture fixture;
    fixture.restore_block(from_this_term ? kTermStartVersion + 5 : kTermStartVersion - 5);
    fixture.apply_report("m-1", 2, std::nullopt, "", true, false);
    EXPECT_EQ(fixture.cores_used(), from_this_term ? 4 : 0);
    fixture.apply_report("m-1", 2, std::nullopt, "", true, true);
    EXPECT_EQ(fixture.cores_used(), 0);
  }
}

// A team's usage of cores and GPUs includes an assignment regardless of its origin, until a report or the
// return of the machine ends it.
TEST(QuotaTest, RecoveredAdoptedAndCancelledAssignmentsCount) {
  const auto usage = [](const ReconcilerFixture& state) { return state.jobs.team_usage().at("red"); };
  for (const bool cancelled : {false, true}) {
    ReconcilerFixture fixture;
    fixture.spec.resources.gpus = to_amount(1);
    fixture.jobs.reset(7);
    fixture.machines.clear();
    fixture.jobs.add(fixture.spec.job_id, {fixture.spec, {}, 1000, cancelled}, 1);
    fixture.restore_block(kTermStartVersion - 5);
    EXPECT_EQ(usage(fixture), fixture.spec.resources);
    // Task 1 is on a machine without an assignment.
    WorkerReport report;
    report.host = "m-2";
    report.machine_type = "small";
    report.zone = "a";
    report.incarnation = report.sequence = 1;
    report.tasks.push_back({fixture.spec.job_id, 1, 1, TaskStatus::running, "", false});
    fixture.reconciler.apply(report, true, true);
    EXPECT_EQ(usage(fixture), fixture.spec.resources * 2);
    if (!cancelled) fixture.jobs.cancel(fixture.job());
    static_cast<void>(fixture.jobs.stop_job(fixture.job(), Micros{0}));
    EXPECT_EQ(usage(fixture), fixture.spec.resources * 2);
    EXPECT_FALSE(fixture.jobs.finished_jobs().contains(fixture.spec.job_id));
    fixture.machines.get_or_add("m-1").silent = fixture.machines.get_or_add("m-1").cordoned = true;
    EXPECT_EQ(usage(fixture), fixture.spec.resources * 2);
    report.tasks.clear();
    fixture.reconciler.apply(report, true, true);
    EXPECT_EQ(usage(fixture), fixture.spec.resources);
    fixture.jobs.release(fixture.job(), 0, "its machine was returned", true);
    EXPECT_EQ(usage(fixture), Resources{});
    EXPECT_TRUE(fixture.jobs.finished_jobs().contains(fixture.spec.job_id));
  }
}

// The state service no longer has the changes that the leader's watch would deliver, so the leader reads its
// records again, with writes in flight, teams at their limits and cancellations. It crashes some seconds
// later.
TEST(QuotaTest, LeaderThatRereadsRecordsAndCrashesBreaksNoRule) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    World world(900 + seed, quota_site(Limit::cores, seed % 2 == 0));
    const RunningJobs jobs = submit_jobs(world);
    for (int i = 0; i < 40; ++i)
      world.at(from_seconds(25 + i), [&world, spec = make_job(300 + i, 2, 6)] { world.submit(spec); });
    world.run(from_seconds(28));
    if (seed > 2) world.write_late(0.3);
    // Only a watch that is a write behind at that moment misses changes, which is about one call in fifteen.
    for (int i = 0; i < 150; ++i)
      world.at(from_seconds(world.uniform(0, 25)), [&world] { world.state_forgets(); });
    for (int i = 0; i < 6; ++i) {
      world.at(from_seconds(3 * i),
               [&world, job_id = jobs.all[static_cast<std::size_t>(i)]] { world.cancel(job_id); });
    }
    world.run(from_seconds(26));
    if (world.leader() >= 0) world.crash(world.leader(), from_seconds(10));
    world.run(from_seconds(15));
    world.write_late(0);
    world.run(from_seconds(13));
    world.checker.troubles_over(world.now());
    for (const std::string& job_id : jobs.services) world.cancel(job_id);
    world.run(from_seconds(240));
    EXPECT_TRUE(world.checker.broken().empty()) << "seed " << seed << "\n" << notes(world).substr(0, 1500);
    EXPECT_EQ(world.live(), 0U) << "seed " << seed;
  }
}
