// Messages whose size grows with the number of tasks stay within the 64 KiB of the protocol, and jobs of many
// small tasks run.

#include <gtest/gtest.h>

#include <algorithm>

#include "manual_runtime.hpp"
#include "verdict_assertions.hpp"
#include "wrenusher/worker_gateway/worker_gateway.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::runtime::ManualRuntime;
using wrenusher::worker_gateway::WorkerGateway;
namespace events = wrenusher::events;

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
