// Tests of the testbed faults that coincide with cancellations: many jobs cancelled at once, machines that
// reach no controller, and cancelled tasks that are still on a machine after a hang.

#include <gtest/gtest.h>

#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;

namespace {

const Endpoint kNode = "10.0.0.1:8080";

std::set<std::string> jobs_on(const World& w) {
  std::set<std::string> out;
  for (const std::string& h : w.hosts()) {
    for (const auto& [ref, task] : w.tasks_on(h)) out.insert(ref);
  }
  return out;
}

/// One machine with a stub controller, which starts one task there and never stops it.
struct UnstoppedTask {
  Site site = World::default_site(World::small_site());
  SimTransport wires{1};
  Checker checker{site.settings};
  Machines machines{wires, site, checker};
  JobSpec spec = World::job(1, 1, 4, 500);
  std::string host;
  Endpoint worker_address;

  UnstoppedTask() {
    wires.serve_at(kNode, "c0", [this](const std::string&, const Request& r, const Responder& a) {
      const auto v = decode(r.body);
      if (v && (*v)["addr"].text() != nullptr) worker_address = *(*v)["addr"].text();
      a({200,
         encode(Value::Map{
             {"epoch", std::uint64_t{1}},
             {"orders", write_commands({{WorkerCommand::Verb::start, spec.job_id, 0, 1, Micros{0}}})}}),
         0});
    });
    machines.controllers({{"c0", kNode}});
    machines.describe({spec, {}, false});
    checker.submitted(spec);
    checker.answered_submit(wires.now(), spec.job_id, 201);
    host = machines.rent("small", "a", false, Micros{0});
    machines.start();
    wires.run(from_seconds(20) + from_millis(20));
    EXPECT_TRUE(checker.on_a_machine(spec.job_id));
  }
  void cancel() {
    checker.asked_cancel(spec.job_id);
    checker.answered_cancel(wires.now(), spec.job_id, 200, "withdrawn", wires.now());
  }
  /// Sends a stop command directly to the worker. A hung machine executes it when it resumes.
  void stop() {
    wires.send(
        "c0", worker_address,
        {"POST", "/orders",
         encode(Value::Map{
             {"epoch", std::uint64_t{1}},
             {"tenure", std::uint64_t{1}},
             {"orders", write_commands({{WorkerCommand::Verb::stop, spec.job_id, 0, 1, Micros{0}}})}})},
        from_seconds(60), [](const CallResult&) {});
  }
};

}  // namespace

TEST(CancellationFaultTest, DetectsCancelledTaskThatOutlivesHang) {
  const Micros cancel = World::small_site().cancel_deadline;
  struct Case {
    Micros hangs_after;
    Micros hangs_for;
    bool stopped;  ///< by a command that is executed at the end of the hang
    bool broken;
  };
  const std::vector<Case> cases = {
      {cancel - from_seconds(5), from_seconds(6), false, true},  // still runs after the hang
      {cancel - from_seconds(5), from_seconds(6), true, true},   // stopped as it ends, too late
      {cancel - from_seconds(5), from_seconds(4), true, false},  // stopped as it ends, in time
      {from_seconds(4), from_seconds(12), false, false},         // its lease expired during the hang
      {cancel - from_seconds(5), from_seconds(5) + from_millis(50), true, true},  // too late by 50 ms
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const Case& c = cases[i];
    UnstoppedTask fixture;
    fixture.cancel();
    fixture.wires.run(c.hangs_after);
    fixture.machines.hang(fixture.host, c.hangs_for);
    fixture.wires.run(from_millis(500));
    if (c.stopped) fixture.stop();
    if (!c.broken && !c.stopped) fixture.wires.unserve(kNode);  // no controller starts the task again
    fixture.wires.run(c.hangs_for - from_millis(500));
    EXPECT_EQ(fixture.checker.broken().contains("ran_cancelled"), c.broken) << i;
  }
}

TEST(CancellationFaultTest, MuteMachineSendsNoRequestsButAnswers) {
  for (const LinkCut how : {LinkCut::reset, LinkCut::hold}) {
    SimTransport transport(3);
    int reports = 0;
    int orders = 0;
    transport.serve_at(kNode, "c0", [&](const std::string&, const Request&, const Responder& a) {
      ++reports;
      a({200, {}, 0});
    });
    transport.serve_at("10.1.0.1:9000", "m-1", [&](const std::string&, const Request&, const Responder& a) {
      ++orders;
      a({200, {}, 0});
    });
    transport.links.cut_requests("m-1", "c0", how);
    int unanswered = 0;
    int answered = 0;
    for (int i = 0; i < 10; ++i) {
      transport.send("m-1", kNode, {"POST", "/hello", {}}, from_seconds(4),
                     [&](const CallResult& o) { unanswered += o.answered ? 0 : 1; });
      transport.send("c0", "10.1.0.1:9000", {"GET", "/inspect", {}}, from_seconds(4),
                     [&](const CallResult& o) { answered += o.answered ? 1 : 0; });
    }
    transport.run(from_seconds(5));
    EXPECT_EQ(reports, 0);
    EXPECT_EQ(unanswered, 10);
    EXPECT_EQ(orders, 10);
    EXPECT_EQ(answered, 10);
    transport.heal();
    transport.run(from_seconds(1));
    EXPECT_EQ(reports > 0, how == LinkCut::hold);
  }
}

TEST(CancellationFaultTest, MassCancelCancelsLongRunningJobsAndHangsMachines) {
  for (const bool hang : {false, true}) {
    World w(5, World::small_site(), 4);
    std::vector<std::string> job_ids;
    for (int i = 0; i < 14; ++i) {
      // Some jobs have little work left, and some do not run.
      const JobSpec s = World::job(i, 1, 4, i < 3 ? 35 : 200);
      job_ids.push_back(s.job_id);
      w.submit(s);
    }
    w.run(from_seconds(40));
    w.inject_fault({"mass_cancel", {}, hang ? from_seconds(8) : Micros{0}, {}, "", 0, 6});
    w.run(from_millis(200));
    const auto count_cancel_requests = [&](std::size_t from, std::size_t to) {
      return std::count_if(job_ids.begin() + static_cast<std::ptrdiff_t>(from),
                           job_ids.begin() + static_cast<std::ptrdiff_t>(to),
                           [&](const std::string& job_id) { return w.checker.asked(job_id); });
    };
    EXPECT_EQ(count_cancel_requests(0, 3), 0);
    EXPECT_EQ(count_cancel_requests(3, job_ids.size()), 6);
    w.run(from_seconds(3));
    const std::set<std::string> remaining = jobs_on(w);
    EXPECT_EQ(std::any_of(job_ids.begin(), job_ids.end(),
                          [&](const std::string& job_id) {
                            return w.checker.asked(job_id) && remaining.contains(job_id);
                          }),
              hang);
    w.run(from_seconds(400));
    expect_kept(w);
  }
}

// The rule "left_waiting" applies to a waiting job only while its team's quota has room. has_room() counts
// the team's usage as the quota does.
TEST(CancellationFaultTest, RoomDependsOnTeamQuotaAndMachines) {
  for (const bool cards : {false, true}) {
    Site site = World::default_site(World::small_site());
    site.types.resize(1);
    site.types[0].type.capacity.gpus = to_amount(4);
    site.types[0].ordinary = 6;
    site.machines = 6;
    site.settings.teams = {{"red", 0, cards ? 0.0 : 16, 0, cards ? 4.0 : 0}, {"blue", 0, 0, 0, 0}};
    site.settings.tunables.idle_return = from_seconds(900);
    World w(11, site);
    JobSpec full = World::job(0, 4, 4, 200);
    full.resources.gpus = to_amount(1);
    JobSpec waits = World::job(2, 1, 4, 20);
    waits.resources.gpus = to_amount(1);
    JobSpec others = World::job(1, 1, 4, 20);
    w.submit(full);
    w.run(from_seconds(30));
    EXPECT_FALSE(w.machines().has_room(waits));
    EXPECT_TRUE(w.machines().has_room(others));
    w.submit(waits);
    w.checker.troubles_over(w.now());
    w.run(from_seconds(80));
    EXPECT_FALSE(w.checker.on_a_machine(waits.job_id));
    expect_kept(w);
    w.cancel(full.job_id);
    w.run(from_seconds(10));
    EXPECT_TRUE(w.checker.on_a_machine(waits.job_id));
    expect_kept(w);
  }
}

// A mute machine answers the controllers' requests, but its own requests reach no controller.
TEST(CancellationFaultTest, ReadsMassCancelAndMuteMachineFromSiteFile) {
  std::string yaml = small_site_yaml();
  yaml +=
      "troubles:\n"
      "  - {what: mass_cancel, at: 30s, lasts: 7s, count: 12}\n"
      "  - {what: machine_mute, at: 40s, lasts: 20s, share: 0.3}\n";
  const Site s = parse_site(yaml, "site.yaml");
  ASSERT_EQ(s.faults.size(), 2U);
  EXPECT_EQ(s.faults[0].what, "mass_cancel");
  EXPECT_EQ(s.faults[0].count, 12);
  EXPECT_EQ(s.faults[1].what, "machine_mute");
}
