// What the lab learned for meetings of work at its limits: cancellations all at once, machines that reach no
// controller, and cancelled tasks that outlive a hang.

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

/// One machine whose controller, given by hand, runs one task there and never stops it.
struct Unstopped {
  Site site = World::default_site(World::small_site());
  SimTransport wires{1};
  Checker checker{site.settings};
  Machines machines{wires, site, checker};
  JobSpec spec = World::job(1, 1, 4, 500);
  std::string host;
  Endpoint addr;

  Unstopped() {
    wires.serve_at(kNode, "c0", [this](const std::string&, const Request& r, const Responder& a) {
      const auto v = decode(r.body);
      if (v && (*v)["addr"].text() != nullptr) addr = *(*v)["addr"].text();
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
  /// A direct command; one that is sent while the machine hangs is executed when it goes on.
  void stop() {
    wires.send(
        "c0", addr,
        {"POST", "/orders",
         encode(Value::Map{
             {"epoch", std::uint64_t{1}},
             {"tenure", std::uint64_t{1}},
             {"orders", write_commands({{WorkerCommand::Verb::stop, spec.job_id, 0, 1, Micros{0}}})}})},
        from_seconds(60), [](const CallResult&) {});
  }
};

}  // namespace

TEST(LabCancels, ACancelledTaskThatOutlivesAHangIsCaught) {
  const Micros cancel = World::small_site().cancel_deadline;
  struct Case {
    Micros hangs_after;
    Micros hangs_for;
    bool stopped;  ///< by a command that waits for the hang's end
    bool broken;
  };
  const std::vector<Case> cases = {
      {cancel - from_seconds(5), from_seconds(6), false, true},  // goes on after it
      {cancel - from_seconds(5), from_seconds(6), true, true},   // stopped as it ends, too late
      {cancel - from_seconds(5), from_seconds(4), true, false},  // stopped as it ends, in time
      {from_seconds(4), from_seconds(12), false, false},         // its lease ran out meanwhile
      {cancel - from_seconds(5), from_seconds(5) + from_millis(50), true, true},  // too late by a moment
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const Case& c = cases[i];
    Unstopped u;
    u.cancel();
    u.wires.run(c.hangs_after);
    u.machines.hang(u.host, c.hangs_for);
    u.wires.run(from_millis(500));
    if (c.stopped) u.stop();
    if (!c.broken && !c.stopped) u.wires.unserve(kNode);  // nobody orders it anew
    u.wires.run(c.hangs_for - from_millis(500));
    EXPECT_EQ(u.checker.broken().contains("ran_cancelled"), c.broken) << i;
  }
}

TEST(LabCancels, AMuteMachineReachesNoControllerAndAnswersIt) {
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

TEST(LabCancels, ManyAreCancelledWithinAFifthOfASecondAndSomeOfTheirMachinesHang) {
  for (const bool hang : {false, true}) {
    World w(5, World::small_site(), 4);
    std::vector<std::string> all;
    for (int i = 0; i < 14; ++i) {
      // Some have no long way to go, some do not run.
      const JobSpec s = World::job(i, 1, 4, i < 3 ? 35 : 200);
      all.push_back(s.job_id);
      w.submit(s);
    }
    w.run(from_seconds(40));
    w.inject_fault({"mass_cancel", {}, hang ? from_seconds(8) : Micros{0}, {}, "", 0, 6});
    w.run(from_millis(200));
    const auto asked = [&](std::size_t from, std::size_t to) {
      return std::count_if(all.begin() + static_cast<std::ptrdiff_t>(from),
                           all.begin() + static_cast<std::ptrdiff_t>(to),
                           [&](const std::string& job_id) { return w.checker.asked(job_id); });
    };
    EXPECT_EQ(asked(0, 3), 0);
    EXPECT_EQ(asked(3, all.size()), 6);
    w.run(from_seconds(3));
    const std::set<std::string> left = jobs_on(w);
    EXPECT_EQ(std::any_of(all.begin(), all.end(),
                          [&](const std::string& job_id) {
                            return w.checker.asked(job_id) && left.contains(job_id);
                          }),
              hang);
    w.run(from_seconds(400));
    expect_kept(w);
  }
}

// A job that waits is left waiting only while its team may use more: what tells is counted as the rule
// counts.
TEST(LabCancels, RoomIsTheTeamsAsWellAsTheMachines) {
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

TEST(LabCancels, SiteFilesNameThem) {
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
