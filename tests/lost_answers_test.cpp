// Tests of writes that the state service executes but whose response is lost, while other nodes and users
// already read the written values. They cover each kind of write; the loss of the response to the first
// attempt, to the repeated attempt and to the read after it; and faults of the leader at the same time.

#include <gtest/gtest.h>

#include <cstdlib>

#include "manual_runtime.hpp"
#include "verdict_assertions.hpp"
#include "wrenusher/commit_batcher/commit_batcher.hpp"
#include "wrenusher/membership/leadership.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::runtime::ManualRuntime;
namespace records = wrenusher::records;

namespace {

/// The requests whose responses are lost.
enum class LostResponse {
  first,   ///< the first write
  repeat,  ///< the first write and its repetition
  read     ///< the first write and the read after it
};
/// What happens to the leader when the first response is lost.
enum class LeaderFault { none, crash, crash_without_standby, state_service_refuses };

const char* describe(LostResponse lost) {
  return lost == LostResponse::first    ? "first write"
         : lost == LostResponse::repeat ? "repeated write"
                                        : "read after write";
}
const char* describe(LeaderFault fault) {
  return fault == LeaderFault::none                    ? "no leader fault"
         : fault == LeaderFault::crash                 ? "leader crash"
         : fault == LeaderFault::crash_without_standby ? "leader crash without warm standby"
                                                       : "state service refuses the leader";
}

const std::string kTopology =
    "version: 1\nlevels: [rack]\ndomains:\n  r0: {level: rack, machines: [{host: \"m-*\"}]}\n";

std::string newer_topology() {
  std::string topology = kTopology;
  topology.replace(topology.find("version: 1"), 10, "version: 2");
  return topology;
}

JobSpec long_job() {
  return World::job(40, 3, 2, 300);
}
JobSpec late_job() {
  return World::job(60, 3, 2, 8);
}

/// A kind of write whose response is lost: the prefix of the written keys, the prefix of the keys read after
/// it, and the action that triggers the write.
struct WriteCase {
  const char* name;
  std::string key_prefix;
  std::string read_prefix;
  std::function<void(World&)> trigger;
  bool crashes_leader = false;  ///< the trigger crashes the leader
};

void PrintTo(const WriteCase& write, std::ostream* out) {
  *out << write.name;
}

/// Returns the maximum time, in seconds, until a job submitted at the time of the loss runs. The sum of: the
/// start command and the report of the start; the timeout for each lost response; and, if another leader
/// takes over, the lease and the time until the workers, which wait for the old leader, switch to the new
/// one.
double max_start_delay_s(const WriteCase& write, LostResponse lost, LeaderFault leader_fault) {
  const bool other_leader = leader_fault != LeaderFault::none || write.crashes_leader;
  return 3 + 1.5 * (lost == LostResponse::first ? 1 : 2) + (other_leader ? 4 + 5 : 0);
}

void crash_leader(World& world) {
  world.crash(std::max(0, world.leader()), from_seconds(20));
}

std::vector<WriteCase> writes() {
  const auto job_key = [](const JobSpec& spec) { return records::job_key(spec.job_id); };
  return {
      {"submission", job_key(late_job()), job_key(late_job()),
       [](World& world) { world.submit(late_job()); }},
      {"cancellation", job_key(long_job()), job_key(long_job()),
       [](World& world) { world.cancel(long_job().job_id); }},
      {"final_state", "end/", "job/", [](World& world) { world.submit(late_job()); }},
      {"assignments", "claims/", "claims/", [](World& world) { world.submit(late_job()); }},
      {"term", "leader", "leader", crash_leader, true},
      {"topology", "epoch", "epoch", [](World& world) { world.edit_topology(newer_topology()); }},
      {"catalog", "catalog", "catalog", crash_leader, true},
  };
}

/// Submits arrays of short tasks at regular intervals, a long job, a gang and a service.
void submit_workload(World& world) {
  for (int i = 0; i < 12; ++i) {
    const JobSpec spec =
        World::job(i, 1 + static_cast<std::uint32_t>(world.pick(4)), 2, world.uniform(4, 12));
    world.at(from_seconds(4 * i), [&world, spec] { world.submit(spec); });
  }
  world.submit(long_job());
  JobSpec gang = World::job(50, 3, 4, 15);
  gang.type = JobType::gang;
  world.at(from_seconds(30), [&world, gang] { world.submit(gang); });
  JobSpec service = World::job(51, 2, 2, 0);
  service.type = JobType::service;
  world.submit(service);
  world.at(from_seconds(75), [&world, service] { world.cancel(service.job_id); });
  world.at(from_seconds(80), [&world] { world.cancel(long_job().job_id); });
}

Site site_for(LeaderFault leader_fault) {
  Site site = World::default_site(World::small_site());
  site.topology_text = kTopology;
  site.topology = wrenusher::topology::Topology::parse(kTopology, "topology.yaml");
  site.settings.tunables.warm_standby = leader_fault != LeaderFault::crash_without_standby;
  // There is always enough free capacity, so that jobs only wait because of the lost responses.
  site.machines = 8;
  site.types[0].ordinary = 8;
  site.settings.tunables.idle_return = from_seconds(3600);
  return site;
}

/// Injects a fault of the leader at the time when a response to `requester` is lost.
void inject_leader_fault(World& world, LeaderFault leader_fault, const std::string& requester) {
  if (leader_fault == LeaderFault::none) return;
  int controller = world.leader();
  if (controller < 0 && requester.starts_with("c")) controller = requester[1] - '0';
  if (leader_fault == LeaderFault::state_service_refuses) {
    world.state_refuses(controller, true);
    world.at(from_seconds(8), [&world, controller] { world.state_refuses(controller, false); });
  } else {
    world.crash(controller, from_seconds(15));
  }
}

struct RunResult {
  int lost = 0;  ///< number of lost responses
  /// Time from the first lost response until a job submitted at that time runs.
  double start_delay_s = -1;
};

RunResult run_case(const WriteCase& write, LostResponse lost, LeaderFault leader_fault) {
  const std::string description =
      std::string(write.name) + ": lost response to " + describe(lost) + ", " + describe(leader_fault);
  const char* seed = std::getenv("WRENUSHER_SEED");
  World world((seed != nullptr ? std::strtoull(seed, nullptr, 10) : 70) +
                  static_cast<std::uint64_t>(lost) * 10 + static_cast<std::uint64_t>(leader_fault),
              site_for(leader_fault), 2);
  submit_workload(world);
  world.run(from_seconds(35));
  EXPECT_GE(world.leader(), 0) << description;

  RunResult result;
  std::optional<Instant> lost_at;
  JobSpec probe = World::job(70, 1, 1, 5);
  probe.image_gb = 0.01;  // so that fetching the image takes no time
  world.machines().on_start = [&](const std::string& job_id, std::uint32_t) {
    if (job_id == probe.job_id && result.start_delay_s < 0)
      result.start_delay_s = to_seconds(world.now() - *lost_at);
  };
  SimTransport::AnswerLoss loss;
  loss.keys = {write.key_prefix};
  loss.most = lost == LostResponse::repeat ? 2 : 1;
  loss.then = [&](const std::string& requester) {
    if (lost_at) return;
    lost_at = world.now();
    world.submit(probe);
    if (lost == LostResponse::read) {
      SimTransport::AnswerLoss read_loss;
      read_loss.keys = {write.read_prefix};
      read_loss.reads = true;
      read_loss.most = 1;
      world.lose_answers(read_loss);
    }
    inject_leader_fault(world, leader_fault, requester);
  };
  world.lose_answers(loss);
  write.trigger(world);
  for (int i = 0; i < 300 && !lost_at; ++i) world.run(from_millis(100));
  EXPECT_TRUE(lost_at) << description;
  world.run(from_seconds(30));
  world.checker.troubles_over(world.now());
  world.run(from_seconds(110));
  world.checker.judge(world.now());
  EXPECT_TRUE(world.checker.broken().empty()) << description << "\n" << notes(world);
  EXPECT_EQ(world.live(), 0U) << description;
  EXPECT_GE(world.leader(), 0) << description;
  // The final states are written, and no machine lists finished tasks.
  EXPECT_EQ(world.keys("job/"), 0U) << description;
  for (const std::string& host : world.hosts())
    EXPECT_TRUE(world.tasks_on(host).empty()) << description << ", " << host;
  result.lost = world.lost_answers();
  if (std::getenv("WRENUSHER_TELL") != nullptr)
    std::printf("%-14s %-18s %-40s lost %d, job started after %.2f s\n", write.name, describe(lost),
                describe(leader_fault), result.lost, result.start_delay_s);
  return result;
}

}  // namespace

class LostResponsePerWriteTest : public testing::TestWithParam<WriteCase> {};

TEST_P(LostResponsePerWriteTest, ViolatesNoInvariantAndLosesNoJob) {
  for (const LostResponse lost : {LostResponse::first, LostResponse::repeat, LostResponse::read}) {
    for (const LeaderFault leader_fault :
         {LeaderFault::none, LeaderFault::crash, LeaderFault::crash_without_standby,
          LeaderFault::state_service_refuses}) {
      const RunResult result = run_case(GetParam(), lost, leader_fault);
      EXPECT_EQ(result.lost, lost == LostResponse::first ? 1 : 2);
      EXPECT_GE(result.start_delay_s, 0);
      EXPECT_LE(result.start_delay_s, max_start_delay_s(GetParam(), lost, leader_fault))
          << GetParam().name << ": lost response to " << describe(lost) << ", " << describe(leader_fault);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(AllWrites, LostResponsePerWriteTest, testing::ValuesIn(writes()),
                         [](const auto& p) { return std::string(p.param.name); });

// A leader must write the machine types again in each of its terms, since another leader may have written the
// key after this node's earlier term.
TEST(LostResponseTest, EveryTermWritesMachineTypesAgain) {
  World world(9, site_for(LeaderFault::none), 2);
  for (int i = 0; i < 5; ++i) {
    world.run(from_seconds(20));
    ASSERT_GE(world.leader(), 0);
    EXPECT_GT(world.kv_service().find("catalog")->mod_revision,
              world.kv_service().find("epoch")->mod_revision)
        << "term " << world.terms();
    world.inject_fault({"state_refuses", {}, from_seconds(9), {}, "leader", 0});
  }
}

// Loses a share of all responses to writes and reads while the leader crashes, steps down, or all controllers
// restart.
TEST(LostResponseTest, ManyLostResponsesViolateNoInvariantAndLoseNoJob) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    World world(600 + seed, site_for(seed % 3 == 0 ? LeaderFault::crash_without_standby : LeaderFault::crash),
                2);
    submit_workload(world);
    world.run(from_seconds(15));
    SimTransport::AnswerLoss loss;
    loss.share = 0.3;
    const int change_loss_id = world.lose_answers(loss);
    loss.reads = true;
    loss.share = 0.15;
    const int read_loss_id = world.lose_answers(loss);
    const Micros fault_time = from_seconds(world.uniform(2, 30));
    if (seed % 4 == 1) world.at(fault_time, [&world] { crash_leader(world); });
    if (seed % 4 == 2)
      world.at(fault_time, [&world] {
        world.inject_fault({"state_refuses", {}, from_seconds(9), {}, "leader", 0});
      });
    if (seed % 4 == 3)
      world.at(fault_time, [&world] { world.inject_fault({"all_crash", {}, from_millis(700), {}, "", 0}); });
    world.run(from_seconds(45));
    EXPECT_GT(world.lost_answers(), 10);
    world.answer_again(change_loss_id);
    world.answer_again(read_loss_id);
    world.run(from_seconds(10));
    world.checker.troubles_over(world.now());
    world.run(from_seconds(150));
    world.checker.judge(world.now());
    EXPECT_TRUE(world.checker.broken().empty()) << "seed " << seed << "\n" << notes(world);
    EXPECT_EQ(world.live(), 0U) << "seed " << seed;
    EXPECT_EQ(world.keys("job/"), 0U) << "seed " << seed;
  }
}

namespace {

std::string controller_name(int controller) {
  return "c" + std::to_string(controller);
}

std::string status_of(const std::optional<Response>& response) {
  const auto body = response ? decode(response->body) : std::nullopt;
  const std::string* status = body ? (*body)["status"].text() : nullptr;
  return status != nullptr ? std::to_string(response->status) + " " + *status
         : response        ? std::to_string(response->status)
                           : "none";
}

/// Returns the controller's response, and repeats the request after a 503. The simulated network loses one
/// response of the state service in 200, after which the controller asks the user to retry.
std::string status_with_retries(World& world, int controller, const Request& request) {
  std::string status;
  for (int tries = 0; tries < 4 && (status.empty() || status == "503"); ++tries) {
    if (tries > 0) world.run(from_seconds(1));
    status = status_of(world.ask(controller, request));
  }
  return status;
}

/// Loses the response to one controller's write of the job's record, and calls `on_loss` at that time.
void lose_response_to_job_write(World& world, const std::string& job_id, int controller,
                                std::function<void()> on_loss = {}) {
  SimTransport::AnswerLoss loss;
  loss.keys = {records::job_key(job_id)};
  loss.who = controller_name(controller);
  loss.most = 1;
  if (on_loss) loss.then = [on_loss](const std::string&) { on_loss(); };
  world.lose_answers(loss);
}

Request submission(const JobSpec& spec) {
  return {"POST", "/submissions", encode(write_spec(spec))};
}
Request status_query(const std::string& job_id) {
  return {"GET", "/submissions/" + job_id, {}};
}
Request cancellation(const std::string& job_id) {
  return {"POST", "/submissions/" + job_id + "/withdraw", {}};
}

bool has_tasks(const World& world, const std::string& job_id) {
  for (const std::string& host : world.hosts()) {
    for (const auto& [task_job_id, task] : world.tasks_on(host)) {
      if (task_job_id == job_id) return true;
    }
  }
  return false;
}

}  // namespace

// The controller that wrote a submitted job has not received the response. Meanwhile the leader runs the job,
// and the user queries and submits it at other controllers.
TEST(LostResponseTest, SubmissionWithLostResponseIsOneJobAtEveryController) {
  World world(82);
  world.run(from_seconds(30));
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  const int submitted_to = (leader + 1) % 3;
  const int other_controller = (leader + 2) % 3;
  SimulatedJob job{World::job(1, 2, 1, 6), from_seconds(6), false};
  world.machines().describe(job);
  world.checker.submitted(job.spec);
  std::size_t starts = 0;
  world.machines().on_start = [&](const std::string& job_id, std::uint32_t) {
    starts += job_id == job.spec.job_id ? 1 : 0;
  };
  lose_response_to_job_write(world, job.spec.job_id, submitted_to);
  std::string first_status;
  world.send_commands(submitted_to, submission(job.spec), [&](const CallResult& result) {
    first_status = result.answered ? status_of(result.response) : "none";
  });
  world.run(from_millis(300));
  EXPECT_EQ(first_status, "");  // the submission has not been answered yet
  EXPECT_EQ(status_of(world.ask(other_controller, status_query(job.spec.job_id))), "200 pending");
  EXPECT_EQ(status_of(world.ask(other_controller, submission(job.spec))), "200 pending");
  world.run(from_seconds(2));
  EXPECT_EQ(first_status, "200 pending");  // from the read after the timeout of the write
  for (int i = 0; i < 300 && !has_tasks(world, job.spec.job_id); ++i) world.run(from_millis(100));
  world.run(from_seconds(2));
  for (const int controller : {submitted_to, other_controller, leader})
    EXPECT_TRUE(status_of(world.ask(controller, submission(job.spec))).starts_with("200 ")) << controller;
  for (int i = 0; i < 300 && world.keys("end/") == 0; ++i) world.run(from_millis(100));
  for (const int controller : {submitted_to, other_controller, leader}) {
    EXPECT_EQ(status_with_retries(world, controller, submission(job.spec)), "200 done") << controller;
    EXPECT_EQ(status_with_retries(world, controller, status_query(job.spec.job_id)), "200 done")
        << controller;
  }
  world.run(from_seconds(10));
  EXPECT_EQ(world.keys("job/"), 0U);
  EXPECT_EQ(starts, 2U);
  expect_kept(world);
}

// The controller that wrote a cancellation has not received the response, and another controller is the first
// to report the cancellation to a user. From then on the state service is down, or the leader crashes.
TEST(LostResponseTest, CancellationReportedByOtherControllerMeetsDeadline) {
  for (const bool outage : {true, false}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      World world(90 + seed);
      const JobSpec job = World::job(1, 4, 2, 300);
      world.submit(job);
      for (int i = 0; i < 600 && !has_tasks(world, job.job_id); ++i) world.run(from_millis(100));
      world.run(from_seconds(5));
      const int leader = world.leader();
      ASSERT_GE(leader, 0);
      const int cancelled_at = (leader + 1) % 3;
      const int other_controller = (leader + 2) % 3;
      world.checker.asked_cancel(job.job_id);
      lose_response_to_job_write(world, job.job_id, cancelled_at);
      std::string first_status = "none";
      world.send_commands(cancelled_at, cancellation(job.job_id), [&](const CallResult& result) {
        if (result.answered && result.response.status == 200) first_status = status_of(result.response);
      });
      world.run(from_millis(static_cast<std::int64_t>(world.uniform(20, 600))));
      EXPECT_EQ(first_status, "none");
      const Instant query_time = world.now();
      const auto response = world.ask(other_controller, status_query(job.job_id));
      EXPECT_EQ(status_of(response), "200 withdrawn");
      world.checker.answered_poll(world.now(), job.job_id, 200, "withdrawn", query_time);
      if (outage) {
        world.state_outage(true);
      } else {
        world.crash(leader, from_seconds(40));
      }
      world.run(from_seconds(1.8));
      EXPECT_EQ(first_status, outage ? "none" : "200 withdrawn");
      world.run(World::small_site().cancel_deadline - from_seconds(1));
      EXPECT_FALSE(has_tasks(world, job.job_id)) << "seed " << seed;
      world.state_outage(false);
      world.run(from_seconds(30));
      for (int controller = 0; controller < 3; ++controller)
        EXPECT_EQ(status_with_retries(world, controller, cancellation(job.job_id)), "200 withdrawn")
            << controller << ", seed " << seed;
      expect_kept(world);
      EXPECT_EQ(world.keys("job/"), 0U);
    }
  }
}

// A job's final state is written, but its leader has not received the response. Users already see the final
// state. After the leader has read that the job's record is deleted, it removes the job from its job table
// and sends the machines commands to drop the tasks.
TEST(LostResponseTest, FinalStateWithLostResponseIsSettledByReadAfterIt) {
  for (const bool read_lost : {false, true}) {
    World world(96);
    const JobSpec job = World::job(1, 3, 2, 6);
    world.submit(job);
    std::optional<Instant> lost_at;
    SimTransport::AnswerLoss loss;
    loss.keys = {records::final_state_key(job.job_id)};
    loss.most = 1;
    loss.then = [&](const std::string& requester) {
      lost_at = world.now();
      if (!read_lost) return;
      SimTransport::AnswerLoss read_loss;
      read_loss.keys = {records::job_key(job.job_id)};
      read_loss.reads = true;
      read_loss.who = requester;
      read_loss.most = 1;
      world.lose_answers(read_loss);
    };
    world.lose_answers(loss);
    for (int i = 0; i < 600 && !lost_at; ++i) world.run(from_millis(100));
    ASSERT_TRUE(lost_at);
    EXPECT_EQ(world.keys("job/"), 0U);
    const int leader = world.leader();
    for (int controller = 0; controller < 3; ++controller) {
      if (controller == leader) continue;
      EXPECT_EQ(status_of(world.ask(controller, status_query(job.job_id))), "200 done") << controller;
    }
    // The write times out, then the read if its response is lost; the workers' next reports follow.
    world.run(*lost_at + from_seconds(read_lost ? 5.5 : 3.5) - world.now());
    EXPECT_FALSE(has_tasks(world, job.job_id)) << (read_lost ? "read lost" : "read");
    EXPECT_EQ(world.lost_answers(), read_lost ? 2 : 1);
    world.run(from_seconds(20));
    expect_kept(world);
    EXPECT_EQ(world.live(), 0U);
  }
}

namespace {

/// A candidate for leadership; the test supplies the responses of the state service.
struct ManualCandidate {
  Settings settings = World::small_site();
  ManualRuntime runtime;
  std::unique_ptr<wrenusher::kv_client::KvClient> store;
  std::unique_ptr<wrenusher::membership::Leadership> leadership;
  std::vector<wrenusher::events::TermChanged> terms;
  std::vector<wrenusher::events::TopologyActivated> activated_topologies;

  ManualCandidate() {
    settings.node = "c0";
    store = std::make_unique<wrenusher::kv_client::KvClient>(runtime, settings);
    leadership = std::make_unique<wrenusher::membership::Leadership>(runtime, settings, *store);
    leadership->term_changed.connect(runtime, [this](const auto& event) { terms.push_back(event); });
    leadership->topology_activated.connect(
        runtime, [this](const auto& event) { activated_topologies.push_back(event); });
    leadership->start();
  }
  /// Removes and returns the next call whose method and target begin with the prefix. Advances the clock
  /// until there is one, but by `within` at most.
  ManualRuntime::Call take_call(const std::string& prefix, Micros within = from_seconds(3)) {
    for (Micros waited{}; waited <= within; waited += from_millis(10)) {
      for (auto call_it = runtime.calls.begin(); call_it != runtime.calls.end(); ++call_it) {
        if (!(call_it->request.method + " " + call_it->request.target).starts_with(prefix)) continue;
        ManualRuntime::Call call = std::move(*call_it);
        runtime.calls.erase(call_it);
        return call;
      }
      runtime.pass(from_millis(10));
    }
    ADD_FAILURE() << "no call " << prefix;
    return {{}, [](const CallResult&) {}};
  }
  std::size_t open_calls(const std::string& prefix) const {
    return static_cast<std::size_t>(
        std::count_if(runtime.calls.begin(), runtime.calls.end(), [&](const auto& call) {
          return (call.request.method + " " + call.request.target).starts_with(prefix);
        }));
  }
  static void respond(const ManualRuntime::Call& call, int status, const Value& body) {
    call.done({true, true, {status, encode(body), 0}});
  }
  /// Advances the clock by the timeout of the call and fails the call.
  void time_out(const ManualRuntime::Call& call) {
    runtime.pass(from_seconds(1.5));
    call.done({false, true, {}});
  }
  static Value row(const char* key, const Value& value, std::uint64_t mod_revision, std::uint64_t lease_id) {
    return Value::Map{{"k", key}, {"value", value}, {"stamp", mod_revision}, {"tenancy", lease_id}};
  }
  /// Responds to a campaign up to its commit, which it returns. `fencing_token` and `mod_revision` are those
  /// of the stored `epoch` record (0: there is none).
  ManualRuntime::Call campaign_until_commit(std::uint64_t fencing_token, std::uint64_t mod_revision,
                                            std::uint64_t lease_id) {
    respond(take_call("POST /holds"), 200, Value::Map{{"tenancy", lease_id}});
    const auto epoch_read = take_call("GET /store/epoch");
    if (fencing_token == 0) {
      respond(epoch_read, 404, Value::Map{{"ledger_rev", std::uint64_t{1}}});
    } else {
      respond(epoch_read, 200, row("epoch", Value::Map{{"epoch", fencing_token}}, mod_revision, 0));
    }
    return take_call("POST /multi");
  }
  void list_no_leader() {
    respond(take_call("GET /store?starts=leader"), 200,
            Value::Map{{"rows", Value::List{}}, {"truncated", false}, {"ledger_rev", std::uint64_t{1}}});
  }
  std::size_t terms_led() const {
    return static_cast<std::size_t>(
        std::count_if(terms.begin(), terms.end(), [](const auto& event) { return event.leading; }));
  }
};

/// Returns the revision that a commit requires of the key, or UINT64_MAX if it has no condition for the key.
std::uint64_t expected_revision(const ManualRuntime::Call& call, const std::string& key) {
  // There is no body if the call was never sent; `take_call` has then reported a failure.
  const auto body = decode(call.request.body);
  const Value::List* when = body ? (*body)["when"].list() : nullptr;
  for (const Value& condition : when == nullptr ? Value::List{} : *when) {
    if (*condition["k"].text() == key) return *condition["stamp"].count();
  }
  return UINT64_MAX;
}

}  // namespace

// A node's term is stored with the node's lease, but the response is lost. The node does not lead in that
// term: it releases the lease and wins the next term based on what it reads, whether or not the release has
// reached the state service.
TEST(LostResponseTest, NodeDoesNotLeadTermWithLostResponseAndWinsNextTerm) {
  for (const bool release_answered : {true, false}) {
    ManualCandidate candidate;
    candidate.list_no_leader();
    const auto first_commit = candidate.campaign_until_commit(0, 0, 7);
    EXPECT_EQ(expected_revision(first_commit, "leader"), 0U);
    candidate.time_out(first_commit);
    EXPECT_EQ(candidate.terms_led(), 0U);
    EXPECT_FALSE(candidate.leadership->lease_valid());
    const auto lease_release = candidate.take_call("DELETE /holds/7");
    ManualRuntime::Call second_commit{{}, {}};
    if (release_answered) {
      ManualCandidate::respond(lease_release, 200, Value::Map{});
      candidate.list_no_leader();
      second_commit = candidate.campaign_until_commit(1, 5, 8);
      EXPECT_EQ(expected_revision(second_commit, "leader"), 0U);
    } else {
      candidate.time_out(lease_release);
      ManualCandidate::respond(
          candidate.take_call("GET /store?starts=leader"), 200,
          Value::Map{{"rows", Value::List{ManualCandidate::row(
                                  "leader", Value::Map{{"node", "c0"}, {"epoch", std::uint64_t{1}}}, 5, 7)}},
                     {"truncated", false},
                     {"ledger_rev", std::uint64_t{5}}});
      second_commit = candidate.campaign_until_commit(1, 5, 8);
      EXPECT_EQ(expected_revision(second_commit, "leader"), 5U);
    }
    EXPECT_EQ(expected_revision(second_commit, "epoch"), 5U);
    EXPECT_EQ(candidate.terms_led(), 0U);
    ManualCandidate::respond(second_commit, 200, Value::Map{{"ledger_rev", std::uint64_t{9}}});
    ASSERT_EQ(candidate.terms_led(), 1U);
    EXPECT_EQ(candidate.terms.back().fencing_token, 2U);
    EXPECT_EQ(candidate.terms.back().mod_revision, 9U);
    EXPECT_TRUE(candidate.leadership->lease_valid());
  }
}

// The new topology version is stored, but its leader has not received the response. The repeated write fails
// with a conflict, and the read after it shows the new version. If the response to that read is lost as well,
// the version is found at most a second later.
TEST(LostResponseTest, TopologyVersionWithLostResponseIsFoundByReadAfterRepeat) {
  ManualCandidate candidate;
  candidate.list_no_leader();
  ManualCandidate::respond(candidate.campaign_until_commit(0, 0, 7), 200,
                           Value::Map{{"ledger_rev", std::uint64_t{5}}});
  ASSERT_EQ(candidate.terms_led(), 1U);
  const std::shared_ptr<const wrenusher::topology::Topology> topology =
      wrenusher::topology::Topology::parse(kTopology, "topology.yaml");
  candidate.leadership->on_topology_loaded({topology});
  candidate.time_out(candidate.take_call("POST /multi"));
  EXPECT_NE(candidate.activated_topologies.back().version, topology->version());
  Value::Map record{{"epoch", std::uint64_t{1}}};
  wrenusher::membership::write_topology_version(record, "topology", topology->version());
  const auto respond_conflict = [](const ManualRuntime::Call& call) {
    ManualCandidate::respond(call, 409,
                             Value::Map{{"failed", Value::List{"epoch"}}, {"ledger_rev", std::uint64_t{6}}});
  };
  const auto second_commit = candidate.take_call("POST /multi");
  EXPECT_EQ(expected_revision(second_commit, "epoch"), 5U);
  respond_conflict(second_commit);
  candidate.time_out(candidate.take_call("GET /store/epoch"));
  respond_conflict(candidate.take_call("POST /multi"));
  ManualCandidate::respond(candidate.take_call("GET /store/epoch"), 200,
                           ManualCandidate::row("epoch", Value(std::move(record)), 6, 0));
  EXPECT_EQ(candidate.activated_topologies.back().version, topology->version());
  EXPECT_TRUE(candidate.activated_topologies.back().agreed);
  candidate.runtime.pass(from_seconds(2));
  EXPECT_EQ(candidate.open_calls("POST /multi"), 0U);
}

namespace {

/// A leader's job table and commit batcher; the test supplies the responses of the state service.
struct ManualWriter : ManualCandidate {
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{runtime, estimator};
  wrenusher::job_table::JobTable job_table{runtime, machines};
  wrenusher::commit_batcher::CommitBatcher batcher{runtime, settings, *store, job_table};
  std::vector<std::string> uncertain_jobs;

  ManualWriter() {
    runtime.calls.clear();
    job_table.reset(1);
    batcher.reset(5);
    batcher.on_committed = batcher.on_shard_refreshed = [] {};
    batcher.on_job_refresh_needed = [this](const std::string& job_id) { uncertain_jobs.push_back(job_id); };
  }
  wrenusher::job_table::Job& add_job(int number) {
    records::JobRecord record;
    record.spec = World::job(number, 8, 1, 10);
    record.tasks_per_block = 8;
    return job_table.add(record.spec.job_id, record, 3);
  }
  void assign_task(wrenusher::job_table::Job& job, std::uint32_t task) {
    job_table.assign(job, task, machines.get_or_add("m-1"), 1, wrenusher::job_table::TaskState::assigned);
  }
  ManualRuntime::Call flush() {
    runtime.pass(from_seconds(1));
    batcher.flush();
    return take_call("POST /multi", from_seconds(1));
  }
  static std::string shard_key_of(const ManualRuntime::Call& call) {
    const auto body = decode(call.request.body);
    const Value::List* mutations = body ? (*body)["apply"].list() : nullptr;
    for (const Value& mutation : mutations == nullptr ? Value::List{} : *mutations) {
      if (mutation["put"].text()->starts_with("claims/")) return *mutation["put"].text();
    }
    return {};
  }
};

}  // namespace

// An assignment is stored in a shard whose revision the leader does not know, since the response was lost. No
// task is started for it. It is written again to another shard, and the first shard is only used again with
// the revision that was read.
TEST(LostResponseTest, AssignmentIsWrittenToOtherShardUntilUncertainShardIsRead) {
  ManualWriter writer;
  wrenusher::job_table::Job& job = writer.add_job(1);
  writer.assign_task(job, 0);
  const std::uint64_t version = job.assignments.at(0).version;
  const auto first_commit = writer.flush();
  EXPECT_EQ(ManualWriter::shard_key_of(first_commit), "claims/0");
  EXPECT_EQ(expected_revision(first_commit, "claims/0"), 0U);
  EXPECT_EQ(expected_revision(first_commit, records::job_key(job.spec().job_id)), 3U);
  writer.time_out(first_commit);
  EXPECT_FALSE(job.committed(0, version));
  EXPECT_EQ(writer.uncertain_jobs, std::vector<std::string>{job.spec().job_id});
  const auto shard_read = writer.take_call("GET /store/claims/0");
  const auto second_commit = writer.flush();
  EXPECT_EQ(ManualWriter::shard_key_of(second_commit), "claims/1");
  ManualWriter::respond(second_commit, 200, Value::Map{{"ledger_rev", std::uint64_t{12}}});
  EXPECT_TRUE(job.committed(0, version));
  // The response to the read is lost as well: the read is repeated, and the shard is not used until then.
  writer.time_out(shard_read);
  writer.assign_task(job, 1);
  const auto third_commit = writer.flush();
  EXPECT_EQ(ManualWriter::shard_key_of(third_commit), "claims/2");
  ManualWriter::respond(third_commit, 200, Value::Map{{"ledger_rev", std::uint64_t{14}}});
  ManualWriter::respond(writer.take_call("GET /store/claims/0"), 200,
                        ManualWriter::row("claims/0", Value::Map{}, 11, 0));
  writer.assign_task(job, 2);
  const auto fourth_commit = writer.flush();
  EXPECT_EQ(ManualWriter::shard_key_of(fourth_commit), "claims/0");
  EXPECT_EQ(expected_revision(fourth_commit, "claims/0"), 11U);
  EXPECT_EQ(writer.batcher.disagreement(), "");
}

// The number of shards that a leader may have created without other nodes knowing is limited. The leader
// writes again as soon as one of the uncertain shards has been read.
TEST(LostResponseTest, WritesStopWhileEightShardsAreUncertain) {
  ManualWriter writer;
  wrenusher::job_table::Job& job = writer.add_job(1);
  writer.assign_task(job, 0);
  for (int i = 0; i < 8; ++i) writer.time_out(writer.flush());
  writer.runtime.pass(from_millis(300));
  writer.batcher.flush();
  writer.runtime.pass(from_millis(300));
  EXPECT_EQ(writer.open_calls("POST /multi"), 0U);
  EXPECT_EQ(writer.open_calls("GET /store/claims/"), 8U);
  // Responds to the newest read, because a response is ignored 1.5 s after its request.
  ManualWriter::respond(writer.take_call("GET /store/claims/7"), 404,
                        Value::Map{{"ledger_rev", std::uint64_t{9}}});
  const auto next_commit = writer.flush();
  EXPECT_EQ(ManualWriter::shard_key_of(next_commit), "claims/7");
  EXPECT_EQ(expected_revision(next_commit, "claims/7"), 0U);
}

// A leader whose watch missed changes reads the records again within its term, while one of its own writes is
// in flight. Later changes must get a higher version than that write. Lower versions were treated as already
// written, so that tasks were started without an assignment in the state service.
TEST(LostResponseTest, VersionsIncreaseAfterRecordsAreReadAgain) {
  ManualWriter writer;
  {
    wrenusher::job_table::Job& job = writer.add_job(1);
    for (std::uint32_t task = 0; task < 5; ++task) writer.assign_task(job, task);
  }
  const std::uint64_t written_version = writer.job_table.jobs().begin()->second.blocks[0].version;
  writer.job_table.reset(1);
  writer.machines.clear();
  writer.batcher.reset(5);
  writer.batcher.restore_shard(0, 11);
  wrenusher::job_table::Job& job = writer.add_job(1);
  records::BlockRecord stored_block;
  stored_block.assignments.push_back({"m-1", 1, {}});
  stored_block.assignments.back().tasks.add(0);
  writer.job_table.restore_block(job, 0, written_version, stored_block);
  writer.batcher.restore_block(job, 0, 0);
  writer.assign_task(job, 6);
  EXPECT_GT(job.blocks[0].version, written_version);
  EXPECT_FALSE(job.committed(6, job.assignments.at(6).version));
  EXPECT_EQ(ManualWriter::shard_key_of(writer.flush()), "claims/1");
  EXPECT_EQ(writer.job_table.disagreement(), "");
}
