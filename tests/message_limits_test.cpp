// Messages whose size grows with the number of tasks stay within the 64 KiB of the protocol, and jobs of many
// small tasks run.

#include <gtest/gtest.h>

#include <algorithm>

#include "manual_runtime.hpp"
#include "placement_oracle.hpp"
#include "verdict_assertions.hpp"
#include "wrenusher/commit_batcher/commit_batcher.hpp"
#include "wrenusher/provisioner/rental_planner.hpp"
#include "wrenusher/replica/hint_publisher.hpp"
#include "wrenusher/worker_gateway/worker_gateway.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::runtime::ManualRuntime;
using wrenusher::worker_gateway::WorkerGateway;
namespace events = wrenusher::events;
namespace placement = wrenusher::placement;
using placement::PlanJob;
using placement::PlanMachine;

namespace {

/// The limit of the protocol for a request body and for a response to a worker, in bytes of JSON.
constexpr std::size_t kBodyLimit = 65536;
constexpr std::uint64_t kTerm = 7;
const std::string kHost = "m-000001";

/// Returns the longest id that a job may have.
std::string longest_job_id() {
  return "req-" + std::string(60, '9');
}

/// Returns the same command for each of the tasks 0 to `count` - 1 of the job.
std::vector<WorkerCommand> commands(WorkerCommand::Verb verb, const std::string& job_id,
                                    std::uint32_t count) {
  std::vector<WorkerCommand> out;
  for (std::uint32_t task = 0; task < count; ++task) out.push_back({verb, job_id, task, 1, Micros{0}});
  return out;
}

/// A worker's report with `count` tasks of the job, all in the same state.
struct Report {
  std::string job_id;
  std::uint32_t count = 0;
  std::string status = "running";
};

Request report_request(std::uint64_t sequence, const Report& report) {
  Value::List tasks;
  for (std::uint32_t task = 0; task < report.count; ++task)
    tasks.emplace_back(Value::Map{
        {"unit", task_name(report.job_id, task)}, {"try", std::uint64_t{1}}, {"status", report.status}});
  return {"POST", "/hello",
          encode(Value::Map{{"host", kHost},
                            {"addr", "10.1.0.1:9000"},
                            {"flavor", "small"},
                            {"site", "a"},
                            {"standby", false},
                            {"tenure", std::uint64_t{1}},
                            {"serial", sequence},
                            {"epoch", kTerm},
                            {"units", std::move(tasks)}})};
}

/// A leader's worker gateway with one worker. `next_commands` are those that the leader has for the worker.
struct GatewayFixture {
  ManualRuntime runtime;
  wrenusher::settings::Settings settings = World::small_site();
  WorkerGateway gateway{runtime, settings};
  std::vector<WorkerCommand> next_commands;
  std::uint64_t sequence = 0;

  GatewayFixture() {
    gateway.worker_reported.connect(
        runtime, [this](const events::WorkerReported& event) { event.reply(next_commands); });
    events::TermChanged term;
    term.fencing_token = kTerm;
    term.leading = true;
    gateway.on_term(term);
    gateway.on_lease_validity({runtime.at + from_seconds(1000)});
    know_cancellations();
  }
  void know_cancellations() { gateway.on_cancellations_known({runtime.at, ""}); }
  /// Sends a report and returns the reply's status, or 0 if there is none yet, and its body.
  std::pair<int, Value> report(const Report& report) {
    std::pair<int, Value> reply{0, {}};
    gateway.on_report(report_request(++sequence, report), [&reply](const Response& response) {
      reply = {response.status, decode(response.body).value_or(Value())};
    });
    return reply;
  }
};

MachineType large_type() {
  return {"large", {to_amount(64), 0, to_amount(256)}, 30, 1, 4, 1, from_seconds(20), {"a"}};
}

/// Returns a job of tasks so small that thousands of them fit a machine by cores and memory.
JobSpec small_task_job(std::uint32_t task_count) {
  JobSpec spec = World::job(1, task_count, 0.01, 10);
  spec.resources.memory = to_amount(0.01);
  return spec;
}

/// Returns how many commands with this verb the message has.
std::size_t count_verb(const Value& message, const std::string& verb) {
  const Value::List& orders = *message["orders"].list();
  return static_cast<std::size_t>(std::count_if(
      orders.begin(), orders.end(), [&](const Value& order) { return *order["verb"].text() == verb; }));
}

}  // namespace

// Guards against a reply that a worker cannot accept: 3,200 commands in 153 KB, after which no task started.
TEST(MessageLimitsTest, ReplyWithManyStartsFitsIntoOneResponse) {
  for (const std::string& job_id : {std::string("req-000412"), longest_job_id()}) {
    GatewayFixture fixture;
    fixture.next_commands = commands(WorkerCommand::Verb::start, job_id, 3200);
    const auto [status, reply] = fixture.report({job_id, 0});
    EXPECT_EQ(status, 200);
    EXPECT_LE(reply.json_size(), kBodyLimit);
    EXPECT_GT(count_verb(reply, "run"), 100U);
  }
}

// Guards against a lease that is renewed by a reply without the stops for which it may be renewed, and
// against tasks that start before those in their way are stopped: if not all commands fit, stops come first.
TEST(MessageLimitsTest, ReplySendsStopsFirstIfNotAllCommandsFit) {
  GatewayFixture fixture;
  const std::string job_id = longest_job_id();
  fixture.next_commands = commands(WorkerCommand::Verb::forget, job_id, 380);
  for (const auto verb : {WorkerCommand::Verb::start, WorkerCommand::Verb::stop}) {
    const auto more = commands(verb, "req-1", 200);
    fixture.next_commands.insert(fixture.next_commands.end(), more.begin(), more.end());
  }
  const auto [status, reply] = fixture.report({job_id, 380, "ended"});
  EXPECT_EQ(status, 200);
  EXPECT_LE(reply.json_size(), kBodyLimit);
  EXPECT_EQ(count_verb(reply, "halt"), 200U);
  EXPECT_GT(count_verb(reply, "reap"), 100U);
  EXPECT_EQ(count_verb(reply, "run"), 0U);
}

// Guards against a machine that gets more tasks than its report can list: the controllers refuse such a
// report, and the machine's lease expires with all its tasks.
TEST(MessageLimitsTest, ReplyStartsNoMoreTasksThanTheNextReportCanList) {
  GatewayFixture fixture;
  const std::string job_id = longest_job_id();
  const auto entry_bytes = Value(Value::Map{{"unit", task_name(job_id, 99999)},
                                            {"try", std::uint64_t{1}},
                                            {"status", "ended"},
                                            {"cause", "stopped"},
                                            {"kept", false}})
                               .json_size() +
                           1;
  fixture.next_commands = commands(WorkerCommand::Verb::start, longest_job_id(), 600);
  for (const std::uint32_t listed : {0U, 300U, 470U}) {
    const auto [status, reply] = fixture.report({"req-1", listed});
    EXPECT_EQ(status, 200);
    EXPECT_LE((listed + count_verb(reply, "run")) * entry_bytes, kBodyLimit) << listed;
    EXPECT_EQ(count_verb(reply, "run") > 0, listed <= 300) << listed;
  }
  // The tasks that the same reply removes from the next report make room for others.
  fixture.next_commands = commands(WorkerCommand::Verb::forget, "req-1", 400);
  const auto starts = commands(WorkerCommand::Verb::start, "req-2", 100);
  fixture.next_commands.insert(fixture.next_commands.end(), starts.begin(), starts.end());
  fixture.next_commands.resize(405);
  EXPECT_EQ(count_verb(fixture.report({"req-1", 400, "ended"}).second, "run"), 5U);
}

// Guards against a plan that gives one machine more tasks than its report can list, also over several jobs
// and beside the tasks that the machine has already.
TEST(MessageLimitsTest, PlanGivesMachineNoMoreTasksThanItsReportCanList) {
  Settings settings;
  settings.teams = {{"blue", 0, 0, 0, 0}};
  const MachineType type = large_type();
  const JobSpec spec = small_task_job(300);
  oracle::PlanningInput input;
  input.settings = &settings;
  for (int i = 0; i < 2; ++i) {
    PlanMachine machine;
    machine.name = "m-" + std::to_string(i);
    machine.zone = "a";
    machine.machine_type = &type;
    machine.free.resources = type.capacity;
    machine.free.task_slots -= i * 100;
    input.machines.push_back({machine, {}, true});
  }
  for (int i = 0; i < 4; ++i) {
    PlanJob job;
    job.spec = &spec;
    job.waiting = spec.task_count;
    job.estimate = from_seconds(10);
    input.jobs.push_back(job);
  }
  std::map<std::size_t, std::uint32_t> tasks_by_machine;
  const placement::Plan plan = oracle::index_plan(input);
  for (const auto& placement : plan.placements) tasks_by_machine[placement.machine] += placement.tasks;
  EXPECT_EQ(tasks_by_machine[0], kMaxTasksPerMachine);
  EXPECT_EQ(tasks_by_machine[1], kMaxTasksPerMachine - 100);
  std::uint32_t unplaced = 0;
  for (const auto& shortage : plan.shortages) unplaced += shortage.tasks;
  EXPECT_EQ(unplaced, 4 * spec.task_count - tasks_by_machine[0] - tasks_by_machine[1]);
}

// Guards against tasks that wait for a machine that is not rented, because they would fit the machines that
// are starting if their reports could list any number of tasks.
TEST(MessageLimitsTest, RentsMachinesForAllTasksThatTheirReportsCanList) {
  const Catalog catalog{{"large", large_type()}};
  wrenusher::provisioner::RentedMachines::ByHost machines;
  wrenusher::provisioner::RentalRequests::ByName requests;
  std::vector<events::Workload::Demand> demands(2);
  for (events::Workload::Demand& demand : demands) {
    demand.spec = small_task_job(3 * kMaxTasksPerMachine);
    demand.tasks = demand.spec.task_count;
    demand.estimate = from_seconds(10);
  }
  const auto plan = wrenusher::provisioner::plan_rentals({.catalog = catalog,
                                                          .machines = machines,
                                                          .open_requests = requests,
                                                          .demands = demands,
                                                          .on_demand_allowed = true,
                                                          .is_refused = [](const auto&) { return false; },
                                                          .may_rent = [](const auto&) { return true; }});
  std::uint32_t rented = 0;
  for (const auto& [machine_class, count] : plan.machines) rented += count;
  EXPECT_EQ(rented, 6U);
}

// Guards against jobs that never run: each machine has room for thousands of their tasks by cores and memory,
// but neither the commands nor the reports of so many tasks fit into one message.
TEST(MessageLimitsTest, JobsOfManySmallTasksRun) {
  World world(901);
  for (int i = 0; i < 8; ++i) {
    SimulatedJob job;
    job.spec = World::job(i, 400, 0.01, 10);
    job.spec.resources.memory = to_amount(0.01);
    job.run_time = from_seconds(10);
    world.at(from_seconds(5), [&world, job] { world.submit(job); });
  }
  world.run(from_seconds(120));
  expect_kept(world);
  EXPECT_EQ(world.live(), 0U);
  EXPECT_GE(world.checker.starts(), 3200U);
}

// The same across a change of leader, with half of the jobs cancelled while they run.
TEST(MessageLimitsTest, JobsOfManySmallTasksAreCancelledAndRunAcrossFailover) {
  for (std::uint64_t seed = 902; seed < 905; ++seed) {
    World world(seed);
    for (int i = 0; i < 8; ++i) {
      SimulatedJob job;
      job.spec = World::job(i, 400, 0.01, 20);
      job.spec.resources.memory = to_amount(0.01);
      job.run_time = from_seconds(20);
      world.at(from_seconds(5), [&world, job] { world.submit(job); });
      if (i % 2 == 0)
        world.at(from_seconds(22), [&world, job_id = job.spec.job_id] { world.cancel(job_id); });
    }
    world.at(from_seconds(world.uniform(18, 24)), [&world] {
      if (world.leader() >= 0) world.crash(world.leader(), from_seconds(3));
    });
    world.run(from_seconds(240));
    EXPECT_TRUE(world.checker.broken().empty()) << seed << "\n" << notes(world).substr(0, 1500);
    EXPECT_EQ(world.live(), 0U) << seed;
  }
}

// Guards against a call to a worker that the worker refuses, so that the tasks of a cancelled job go on.
TEST(MessageLimitsTest, DirectCommandsAreSplitIntoSeveralCalls) {
  GatewayFixture fixture;
  static_cast<void>(fixture.report({"req-1", 0}));
  fixture.gateway.on_direct_commands({kHost, commands(WorkerCommand::Verb::stop, longest_job_id(), 1000)});
  std::set<std::string> stopped;
  for (const ManualRuntime::Call& call : fixture.runtime.calls) {
    const Value body = *decode(call.request.body);
    EXPECT_EQ(call.request.target, "/orders");
    EXPECT_LE(body.json_size(), kBodyLimit);
    for (const Value& order : *body["orders"].list()) stopped.insert(*order["unit"].text());
  }
  EXPECT_EQ(stopped.size(), 1000U);
}

// Guards against a lease that is renewed by a reply in which not all stops fit, while the list of cancelled
// jobs may be incomplete: the tasks that the reply does not stop would run on.
TEST(MessageLimitsTest, RenewsNoLeaseWhileNotAllTasksOfCancelledJobsFitIntoTheReply) {
  GatewayFixture fixture;
  fixture.gateway.on_job_cancelled({"req-1"});
  fixture.runtime.at += from_seconds(60);  // beyond the longest delay of a cancellation
  const auto [status, reply] = fixture.report({"req-1", 400});
  EXPECT_EQ(status, 200);
  EXPECT_EQ(count_verb(reply, "halt"), 400U);
  EXPECT_EQ(fixture.report({"req-1", 1000}).first, 0);
  fixture.know_cancellations();
  EXPECT_EQ(fixture.report({"req-1", 1000}).first, 200);
}

// The testbed's worker and checker must notice messages above the limit, or the tests here would find
// nothing.
TEST(MessageLimitsTest, TestbedWorkerRefusesTooLargeMessages) {
  for (const std::uint32_t commands_per_reply : {800U, 3200U}) {
    Site site = World::default_site(World::small_site());
    SimTransport transport(1);
    Checker checker(site.settings);
    Machines machines(transport, site, checker);
    const JobSpec spec = small_task_job(4000);
    std::uint32_t next_task = 0;
    std::size_t largest_report = 0;
    transport.serve_at(
        "10.0.0.1:8080", "c0", [&](const std::string&, const Request& request, const Responder& answer) {
          largest_report = std::max(largest_report, decode(request.body)->json_size());
          std::vector<WorkerCommand> starts;
          for (std::uint32_t i = 0; i < commands_per_reply; ++i)
            starts.push_back({WorkerCommand::Verb::start, spec.job_id, next_task++, 1, Micros{0}});
          answer({200, encode(Value::Map{{"epoch", kTerm}, {"orders", write_commands(starts)}}), 0});
        });
    machines.controllers({{"c0", "10.0.0.1:8080"}});
    machines.describe({spec, {}, false});
    checker.submitted(spec);
    const std::string host = machines.rent("large", "a", false, Micros{0});
    machines.start();
    transport.run(from_seconds(5));
    EXPECT_TRUE(checker.broken().contains("message_too_large"));
    EXPECT_LE(largest_report, kBodyLimit);
    // A reply of 800 commands is executed; the report of the tasks of two such replies is too large.
    EXPECT_EQ(machines.tasks_on(host).size(), commands_per_reply == 800 ? 1600U : 0U);
  }
}

// Guards against heartbeats that every peer refuses for their size, so that the peers take the leader for
// dead: a machine's hint names an image for each task that waits for one, and all images that it has cached.
TEST(MessageLimitsTest, HintOfMachineWithManyImagesFitsIntoHeartbeat) {
  events::MachineHint hint;
  hint.host = kHost;
  for (int i = 0; i < 4000; ++i) {
    const std::string image = "image-" + std::to_string(100000 + i);
    hint.images.push_back({image, 0.01});
    hint.fetches.push_back({"fetched-" + image, 1, 0.5});
    hint.failures.push_back({"req-" + std::to_string(100000 + i), from_seconds(5)});
  }
  wrenusher::replica::HintPublisher publisher;
  const Instant now{from_seconds(100)};
  publisher.begin(kTerm, 1, {}, {}, now);
  publisher.on_confirmed("c1", 1, {}, now);
  publisher.put(wrenusher::replica::to_hint_row(hint), now);
  const Value message = publisher.next_message("c1", now);
  EXPECT_LT(message.json_size(), std::size_t{25} * 1024);
  ASSERT_EQ(message["rows"].list()->size(), 1U);
  // The images used last are the ones worth knowing.
  const auto read = wrenusher::replica::read_machine_hint(kHost, (*(*message["rows"].list())[0].list())[1]);
  ASSERT_TRUE(read);
  EXPECT_GT(read->images.size(), 100U);
  EXPECT_GT(read->fetches.size(), 50U);
  EXPECT_EQ(read->images.back().image, hint.images.back().image);
}

// Guards against a transaction that the state service refuses as too large: it would be sent again unchanged,
// so that nothing is started any more. Large arrays fill three values, then jobs of one task, with the
// longest ids, add a condition each.
TEST(MessageLimitsTest, TransactionWithManyAssignmentsAndConditionsFitsIntoOneRequest) {
  ManualRuntime runtime;
  Settings settings = World::small_site();
  settings.state_rps = settings.state_write_rps = 1e6;
  settings.txn_ops = 24;
  wrenusher::kv_client::KvClient store{runtime, settings};
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{runtime, estimator};
  wrenusher::job_table::JobTable jobs{runtime, machines};
  wrenusher::commit_batcher::CommitBatcher batcher{runtime, settings, store, jobs};
  jobs.reset(kTerm);
  batcher.reset(5);
  const auto add_job = [&](int number, std::uint32_t task_count) {
    wrenusher::records::JobRecord record;
    record.spec = small_task_job(task_count);
    record.spec.job_id = "req-" + std::to_string(1000000 + number) + std::string(53, '0');
    record.tasks_per_block = wrenusher::records::max_tasks_per_block(settings.value_kb);
    wrenusher::job_table::Job& job = jobs.add(record.spec.job_id, record, (std::uint64_t{1} << 63U) + 1);
    for (std::uint32_t task = 0; task < task_count; ++task)
      jobs.assign(job, task, machines.get_or_add("m-" + std::to_string(100000 + task)), 1,
                  wrenusher::job_table::TaskState::assigned);
  };
  for (int i = 0; i < 6; ++i) add_job(i, i % 2 == 0 ? 384 : 224);
  for (int i = 6; i < 200; ++i) add_job(i, 1);
  runtime.pass(from_seconds(1));
  batcher.flush();
  std::size_t transactions = 0;
  for (const ManualRuntime::Call& call : runtime.calls) {
    if (call.request.target != "/multi") continue;
    ++transactions;
    EXPECT_LE(decode(call.request.body)->json_size(), kBodyLimit);
  }
  EXPECT_EQ(transactions, 1U);
}
