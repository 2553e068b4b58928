// What users are answered, and that the checker sees every rule being broken.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "judged.hpp"

using namespace wrenusher::lab;
using namespace wrenusher::protocol;

TEST(Users, GetEveryStatusOfTheProtocol) {
  World w(3);
  w.run(from_seconds(5));
  const auto post = [&](const Value& v) { return w.ask(0, {"POST", "/submissions", encode(v)})->status; };
  const Value good = write_spec(World::job(1, 1, 4, 5));
  JobSpec large = World::job(3, 1, 500, 5);
  JobSpec stranger = World::job(5, 1, 4, 5);
  stranger.owner = "nobody";
  JobSpec greedy = World::job(4, 13, 8, 5);
  greedy.shape = Shape::gang;
  JobSpec torn = World::job(11, 2, 1, 0);
  torn.shape = Shape::daemon;
  torn.scatter = torn.same_place = true;
  JobSpec nowhere = World::job(13, 1, 1, 5);
  nowhere.site = "z";
  JobSpec cards = World::job(15, 1, 1, 5);
  cards.needs.cards = to_amount(8);
  for (const JobSpec& never : {torn, nowhere, cards}) EXPECT_EQ(post(write_spec(never)), 422) << never.ref;
  w.checker.submitted(World::job(1, 1, 4, 5));
  EXPECT_EQ(post(good), 201);
  EXPECT_EQ(post(good), 200);
  EXPECT_EQ(post(write_spec(large)), 422);
  EXPECT_EQ(post(write_spec(stranger)), 422);
  EXPECT_EQ(post(write_spec(greedy)), 422);
  EXPECT_EQ(post(Value::Map{{"ref", "req-000009"}}), 400);
  // An accepted job is never called malformed afterwards.
  EXPECT_EQ(post(Value::Map{{"ref", World::job(1, 1, 4, 5).ref}}), 200);
  EXPECT_EQ(w.ask(1, {"POST", "/submissions", "\xff"})->status, 400);
  EXPECT_EQ(w.ask(1, {"GET", "/submissions/req-000777", {}})->status, 404);
  EXPECT_EQ(w.ask(1, {"GET", "/submissions/nonsense", {}})->status, 404);
  EXPECT_EQ(w.ask(1, {"GET", "/submissions/req-" + std::string(300, '1'), {}})->status, 404);
  EXPECT_EQ(w.ask(1, {"POST", "/submissions/req-000777/withdraw", {}})->status, 404);
  EXPECT_EQ(w.ask(1, {"DELETE", "/submissions/req-000777", {}})->status, 405);
  EXPECT_EQ(w.ask(1, {"GET", "/submissions", {}})->status, 405);
  EXPECT_EQ(w.ask(1, {"GET", "/nothing", {}})->status, 404);
  EXPECT_EQ(w.ask(1, {"POST", "/hello", "x"})->status, 400);
  // Each refusal says why: a code, one sentence, and the field at fault.
  const auto reason = [&](const Request& r) { return decode(w.ask(1, r)->body).value_or(Value()); };
  JobSpec nobody = World::job(17, 1, 1, 1);
  nobody.owner = "nobody";
  const Value never = reason({"POST", "/submissions", encode(write_spec(nobody))});
  EXPECT_EQ(*never["code"].text(), "never_runs");
  EXPECT_EQ(*never["field"].text(), "owner");
  EXPECT_NE(never["error"].text()->find("nobody"), std::string::npos);
  nobody.needs.cores = -to_amount(1);
  const Value bad = reason({"POST", "/submissions", encode(write_spec(nobody))});
  EXPECT_EQ(*bad["code"].text(), "bad_field");
  EXPECT_EQ(*bad["field"].text(), "cores");
  EXPECT_EQ(*reason({"GET", "/submissions/req-000777", {}})["code"].text(), "unknown_job");
  EXPECT_EQ(w.ask(2, {"GET", "/ready", {}})->status, 200);
  w.state_outage(true);
  w.run(from_seconds(4));
  const auto refused = w.ask(0, {"POST", "/submissions", encode(write_spec(World::job(7, 1, 1, 1)))});
  EXPECT_EQ(refused->status, 503);
  const Value why = decode(refused->body).value_or(Value());
  ASSERT_NE(why["code"].text(), nullptr);
  EXPECT_EQ(*why["code"].text(), "state_unreachable");
  EXPECT_EQ(why["retry_after_s"].count(), refused->retry_after_s);
  EXPECT_GT(refused->retry_after_s, 0);
  EXPECT_EQ(w.ask(0, {"GET", "/submissions/req-000777", {}})->status, 503);
  EXPECT_EQ(w.ask(0, {"GET", "/ready", {}})->status, 200);  // an outage that all share
}

TEST(Users, ManyPollsShareAComparisonAndKeepNoWriteOut) {
  // A few hundred polls a second at the leader once took every request there is, one each, and scheduling
  // writes waited until no user did: nothing was committed for minutes.
  Settings settings = World::small_site();
  settings.state_rps = 40;
  settings.state_write_rps = 20;
  World w(5, settings);
  std::vector<std::string> refs;
  for (int i = 1; i < 40; i += 2) {
    JobSpec s = World::job(i, 2, 4, 20);
    w.submit(s);
    refs.push_back(s.ref);
  }
  w.run(from_seconds(5));
  const int leader = w.leader();
  ASSERT_GE(leader, 0);
  std::size_t answered = 0;
  std::size_t asked = 0;
  for (int round = 0; round < 400; ++round) {
    w.at(millis(50 * round), [&] {
      for (const std::string& ref : refs) {
        ++asked;
        w.tell(leader, {"GET", "/submissions/" + ref, {}},
               [&](const Outcome& o) { answered += o.answered && o.response.status == 200 ? 1 : 0; });
      }
    });
  }
  const std::uint64_t before = w.state_requests("c" + std::to_string(leader));
  w.run(from_seconds(20));
  const std::uint64_t requests = w.state_requests("c" + std::to_string(leader)) - before;
  w.run(from_seconds(60));
  EXPECT_GT(answered, asked * 9 / 10);
  EXPECT_LT(requests, asked / 8);
  EXPECT_GT(w.checker.starts(), 20U);
  EXPECT_EQ(w.live(), 0U);
  expect_kept(w);
}

// A submission that waited for the pace of changes kept every question behind it waiting, a follower's pace
// was a few changes a second whatever the leader left over, and after a takeover each job cost a read for
// each user: of 700 jobs 200 were accepted, and most questions refused.
TEST(Users, ASwarmOfSmallJobsIsTakenAndAnsweredUnderAStormOfQuestionsAndATakeover) {
  Settings settings = World::small_site();
  settings.state_rps = 100;
  settings.state_write_rps = 20;
  World w(15, settings);
  w.run(from_seconds(20));
  std::vector<std::string> refs;
  for (int i = 0; i < 250; ++i) {
    JobSpec s = World::job(2 * i + 1, 1, 0.5, 3);
    s.bundle = "small";
    s.urgency = Urgency::low;
    refs.push_back(s.ref);
    w.at(from_seconds(w.uniform(0, 4)), [&w, s] { w.submit(s); });
  }
  w.storm(8);
  w.at(from_seconds(12), [&w] { w.crash(w.leader(), from_seconds(3)); });
  w.run(from_seconds(35));
  for (const std::string& ref : refs) EXPECT_TRUE(w.checker.accepted(ref)) << ref;
  w.run(from_seconds(25));
  w.storm(1);
  w.checker.troubles_over(w.now());
  w.run(from_seconds(120));
  EXPECT_EQ(w.live(), 0U);
  EXPECT_GT(w.users().questions().answered, w.users().questions().asked * 95 / 100);
  expect_kept(w);
}

TEST(Users, AnUrgentJobsEndIsToldBeforeThoseOfASwarm) {
  Settings settings = World::small_site();
  settings.state_write_rps = 5;
  World w(16, settings);
  w.run(from_seconds(20));
  for (int i = 0; i < 110; ++i) {
    JobSpec s = World::job(2 * i + 1, 1, 0.2, 60);
    s.bundle = "small";
    s.urgency = Urgency::low;
    w.submit(s);
  }
  JobSpec urgent = World::job(901, 2, 4, 10);  // it ends in the midst of them
  urgent.urgency = Urgency::high;
  w.run(from_seconds(68));
  w.submit(urgent);
  const auto done = [&] { return w.checker.is_done(urgent.ref, 0) && w.checker.is_done(urgent.ref, 1); };
  const Instant from = w.now();
  while (!done() && w.now() - from < from_seconds(120)) w.run(millis(100));
  ASSERT_TRUE(done());
  // PROTOCOL's 3 s, and the user's next question.
  w.run(from_seconds(6.5));
  EXPECT_EQ(w.told(urgent.ref), "done");
  EXPECT_GT(w.live(), 20U);
}

TEST(Users, WhatCannotBeTakenInTimeIsRefusedAtOnceWithWhenToComeBack) {
  Settings settings = World::small_site();
  settings.state_write_rps = 12;
  World w(18, settings);
  w.run(from_seconds(20));
  const int follower = (w.leader() + 1) % 3;
  std::size_t taken = 0;
  std::size_t refused = 0;
  for (int i = 0; i < 80; ++i) {
    const Instant sent = w.now();
    w.tell(follower, {"POST", "/submissions", encode(write_spec(World::job(2 * i + 1, 1, 1, 1)))},
           [&, sent](const Outcome& o) {
             if (o.answered && o.response.status == 201) ++taken;
             if (!o.answered || o.response.status != 503) return;
             ++refused;
             EXPECT_LT(w.now() - sent, from_seconds(0.7));
             EXPECT_GE(o.response.retry_after_s, 3);
           });
  }
  w.run(from_seconds(10));
  EXPECT_GT(refused, 40U);
  EXPECT_GT(taken, 2U);
}

// A follower took no more than its fixed part of the changes, whatever the leader left over.
TEST(Users, AFollowerUsesThePaceThatTheOthersDoNotWant) {
  Settings settings = World::small_site();
  settings.state_write_rps = 20;
  World w(19, settings);
  w.run(from_seconds(20));
  const int follower = (w.leader() + 1) % 3;
  std::size_t taken = 0;
  for (int i = 0; i < 72; ++i) {
    w.at(from_seconds(i / 6.0), [&w, &taken, follower, i] {
      w.tell(follower, {"POST", "/submissions", encode(write_spec(World::job(2 * i + 1, 1, 1, 1)))},
             [&taken](const Outcome& o) { taken += o.answered && o.response.status == 201 ? 1 : 0; });
    });
  }
  w.run(from_seconds(16));
  EXPECT_GT(taken, 60U);
}

// Each node reads the records anyway, and the leader tells which jobs are over: neither the questions about
// live jobs nor those about ends cost reads of their own, on a node that has just begun either.
TEST(Users, QuestionsCostNoReadsOfTheirOwn) {
  World w(17);
  w.run(from_seconds(20));
  for (int i = 0; i < 60; ++i) {
    JobSpec s = World::job(2 * i + 1, 1, 0.2, 12);
    s.bundle = "small";
    w.submit(s);
  }
  w.run(from_seconds(5));
  const int follower = (w.leader() + 1) % 3;
  w.crash(follower, millis(200));
  w.run(from_seconds(3));
  const auto requests = [&] { return w.state_requests("c" + std::to_string(follower)); };
  const std::uint64_t before = requests();
  std::size_t answered = 0;
  const auto ask_all = [&] {
    for (int i = 0; i < 60; ++i) {
      w.tell(follower, {"GET", "/submissions/" + World::job(2 * i + 1, 1, 1, 1).ref, {}},
             [&](const Outcome& o) { answered += o.answered && o.response.status == 200 ? 1 : 0; });
    }
  };
  ask_all();
  w.run(from_seconds(2));
  EXPECT_LT(requests() - before, 20U);
  w.run(from_seconds(40));
  EXPECT_EQ(w.live(), 0U);
  const std::uint64_t later = requests();
  ask_all();
  w.run(from_seconds(2));
  EXPECT_LT(requests() - later, 20U);
  EXPECT_GT(answered, 115U);
}

namespace {

/// What three nodes give themselves of a pace of 100 when they have told each other what they want.
std::vector<double> shares(const std::vector<double>& wanted) {
  std::vector<double> out;
  for (std::size_t i = 0; i < 3; ++i) {
    out.push_back(wrenusher::store::share_of_pace(100, i == 0, wanted[i], 2, [&] {
      std::vector<std::pair<bool, double>> others;
      for (std::size_t k = 0; k < 3; ++k) {
        if (k != i) others.emplace_back(k == 0, wanted[k]);
      }
      return others;
    }()));
  }
  return out;
}

}  // namespace

RC_GTEST_PROP(SharedPace, GoesWhereItIsWantedAndNeverBeyondTheWhole, ()) {
  const auto want = [] { return static_cast<double>(*rc::gen::inRange(0, 400)); };
  const std::vector<double> wanted{want(), want(), want()};
  const std::vector<double> got = shares(wanted);
  RC_ASSERT(got[0] + got[1] + got[2] <= 100.0001);
  RC_ASSERT(got[0] >= 50 && got[1] >= 10 && got[2] >= 10);
  // Where all that is wanted beyond each one's own fits, everybody has it.
  const double more =
      std::max(0.0, wanted[0] - 50) + std::max(0.0, wanted[1] - 10) + std::max(0.0, wanted[2] - 10);
  for (std::size_t i = 0; i < 3 && more <= 30; ++i) RC_ASSERT(got[i] >= std::min(wanted[i], 100.0) - 0.0001);
}

TEST(Users, ANodeThatAloneLacksTheStoreIsNotReady) {
  World w(4);
  w.run(from_seconds(5));
  w.state_refuses(1, true);
  w.run(from_seconds(5));
  EXPECT_EQ(w.ask(1, {"GET", "/ready", {}})->status, 503);
  EXPECT_EQ(w.ask(0, {"GET", "/ready", {}})->status, 200);
}

TEST(Checker, CatchesEveryRuleBeingBroken) {
  Settings s = World::small_site();
  s.teams.push_back({"green", 0, 0, 0, 2});
  const JobSpec j = World::job(2, 2, 40, 5);  // of the team red: 96 cores at most
  const Instant t0{};
  const auto caught = [&](const char* rule, const std::function<void(Checker&)>& f) {
    Checker c(s);
    c.submitted(j);
    c.answered_submit(t0, j.ref, 201);
    f(c);
    EXPECT_TRUE(c.broken().contains(rule)) << rule;
    EXPECT_EQ(c.broken().size(), 1U) << rule;
  };
  caught("ran_twice", [&](Checker& c) {
    c.started(t0, j.ref, 0, "m-1", "large", "a", false);
    c.started(t0, j.ref, 0, "m-2", "large", "a", false);
  });
  caught("quota", [&](Checker& c) {
    JobSpec more = World::job(4, 1, 40, 5);
    c.submitted(more);
    c.started(t0, j.ref, 0, "m-1", "large", "a", false);
    c.started(t0, j.ref, 1, "m-2", "large", "a", false);
    c.started(t0, more.ref, 0, "m-3", "large", "a", false);
  });
  caught("quota", [&](Checker& c) {
    JobSpec more = World::job(8, 3, 1, 5);
    more.owner = "green";  // 2 cards at most
    more.needs.cards = to_amount(1);
    c.submitted(more);
    for (std::uint32_t i = 0; i < 3; ++i) c.started(t0, more.ref, i, "m-1", "large", "a", false);
  });
  caught("wrong_place", [&](Checker& c) {
    JobSpec spread = World::job(6, 4, 1, 5);
    spread.scatter = true;
    c.submitted(spread);
    for (std::uint32_t i = 0; i < 3; ++i) c.started(t0, spread.ref, i, "m-1", "small", "a", false);
  });
  caught("wrong_place", [&](Checker& c) {
    JobSpec together = World::job(6, 2, 1, 5);
    together.same_place = true;
    c.submitted(together);
    c.started(t0, together.ref, 0, "m-1", "small", "a", false);
    c.started(t0, together.ref, 1, "m-2", "small", "b", false);
  });
  caught("wrong_place", [&](Checker& c) {
    JobSpec pinned = World::job(6, 1, 1, 5);
    pinned.site = "b";
    c.submitted(pinned);
    c.started(t0, pinned.ref, 0, "m-1", "small", "a", false);
  });
  caught("ran_cancelled", [&](Checker& c) {
    c.started(t0, j.ref, 0, "m-1", "large", "a", false);
    c.asked_withdraw(j.ref);
    c.answered_withdraw(t0, j.ref, 200, "withdrawn", t0);
    c.look(t0 + s.cancel + millis(1));
  });
  caught("forgotten", [&](Checker& c) { c.answered_poll(t0, j.ref, 404, "", t0); });
  caught("forgotten", [&](Checker& c) { c.answered_submit(t0, j.ref, 422); });
  caught("invented", [&](Checker& c) { c.answered_poll(t0, "req-000001", 200, "pending", t0); });
  caught("not_done", [&](Checker& c) {
    c.completed(j.ref, 0);
    c.answered_poll(t0, j.ref, 200, "done", t0);
  });
  caught("went_back", [&](Checker& c) {
    c.completed(j.ref, 0);
    c.completed(j.ref, 1);
    c.answered_poll(t0, j.ref, 200, "done", t0);
    c.answered_poll(t0, j.ref, 200, "running", t0);
  });
  caught("went_back", [&](Checker& c) { c.answered_poll(t0, j.ref, 200, "withdrawn", t0); });
  caught("two_leaders", [&](Checker& c) { c.leaders(2); });
  caught("disagreement", [&](Checker& c) { c.agrees("a slot counts wrongly"); });
}
