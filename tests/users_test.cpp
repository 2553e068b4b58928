// What users are answered, and that the checker sees every rule being broken.

#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;

TEST(Users, GetEveryStatusOfTheProtocol) {
  World w(7);
  w.run(from_seconds(5));
  const auto post = [&](const Value& v) { return w.ask(0, {"POST", "/submissions", encode(v)})->status; };
  const Value good = write_spec(World::job(1, 1, 4, 5));
  JobSpec large = World::job(3, 1, 500, 5);
  JobSpec stranger = World::job(5, 1, 4, 5);
  stranger.team = "nobody";
  JobSpec greedy = World::job(4, 13, 8, 5);
  greedy.type = JobType::gang;
  JobSpec torn = World::job(11, 2, 1, 0);
  torn.type = JobType::service;
  torn.spread_zones = torn.single_zone = true;
  JobSpec nowhere = World::job(13, 1, 1, 5);
  nowhere.zone = "z";
  JobSpec cards = World::job(15, 1, 1, 5);
  cards.resources.gpus = to_amount(8);
  for (const JobSpec& never : {torn, nowhere, cards}) EXPECT_EQ(post(write_spec(never)), 422) << never.job_id;
  w.checker.submitted(World::job(1, 1, 4, 5));
  EXPECT_EQ(post(good), 201);
  EXPECT_EQ(post(good), 200);
  EXPECT_EQ(post(write_spec(large)), 422);
  EXPECT_EQ(post(write_spec(stranger)), 422);
  EXPECT_EQ(post(write_spec(greedy)), 422);
  EXPECT_EQ(post(Value::Map{{"ref", "req-000009"}}), 400);
  // An accepted job is never called malformed afterwards.
  EXPECT_EQ(post(Value::Map{{"ref", World::job(1, 1, 4, 5).job_id}}), 200);
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
  nobody.team = "nobody";
  const Value never = reason({"POST", "/submissions", encode(write_spec(nobody))});
  EXPECT_EQ(*never["code"].text(), "never_runs");
  EXPECT_EQ(*never["field"].text(), "owner");
  EXPECT_NE(never["error"].text()->find("nobody"), std::string::npos);
  nobody.resources.cores = -to_amount(1);
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
  std::vector<std::string> job_ids;
  for (int i = 1; i < 40; i += 2) {
    JobSpec s = World::job(i, 2, 4, 20);
    w.submit(s);
    job_ids.push_back(s.job_id);
  }
  w.run(from_seconds(5));
  const int leader = w.leader();
  ASSERT_GE(leader, 0);
  std::size_t answered = 0;
  std::size_t asked = 0;
  for (int round = 0; round < 400; ++round) {
    w.at(from_millis(50 * round), [&] {
      for (const std::string& job_id : job_ids) {
        ++asked;
        w.send_commands(leader, {"GET", "/submissions/" + job_id, {}}, [&](const CallResult& o) {
          answered += o.answered && o.response.status == 200 ? 1 : 0;
        });
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
    c.answered_submit(t0, j.job_id, 201);
    f(c);
    EXPECT_TRUE(c.broken().contains(rule)) << rule;
    EXPECT_EQ(c.broken().size(), 1U) << rule;
  };
  caught("ran_twice", [&](Checker& c) {
    c.started(t0, j.job_id, 0, "m-1", "large", "a", false);
    c.started(t0, j.job_id, 0, "m-2", "large", "a", false);
  });
  caught("quota", [&](Checker& c) {
    JobSpec more = World::job(4, 1, 40, 5);
    c.submitted(more);
    c.started(t0, j.job_id, 0, "m-1", "large", "a", false);
    c.started(t0, j.job_id, 1, "m-2", "large", "a", false);
    c.started(t0, more.job_id, 0, "m-3", "large", "a", false);
  });
  caught("quota", [&](Checker& c) {
    JobSpec more = World::job(8, 3, 1, 5);
    more.team = "green";  // 2 cards at most
    more.resources.gpus = to_amount(1);
    c.submitted(more);
    for (std::uint32_t i = 0; i < 3; ++i) c.started(t0, more.job_id, i, "m-1", "large", "a", false);
  });
  caught("wrong_place", [&](Checker& c) {
    JobSpec spread = World::job(6, 4, 1, 5);
    spread.spread_zones = true;
    c.submitted(spread);
    for (std::uint32_t i = 0; i < 3; ++i) c.started(t0, spread.job_id, i, "m-1", "small", "a", false);
  });
  caught("wrong_place", [&](Checker& c) {
    JobSpec together = World::job(6, 2, 1, 5);
    together.single_zone = true;
    c.submitted(together);
    c.started(t0, together.job_id, 0, "m-1", "small", "a", false);
    c.started(t0, together.job_id, 1, "m-2", "small", "b", false);
  });
  caught("wrong_place", [&](Checker& c) {
    JobSpec pinned = World::job(6, 1, 1, 5);
    pinned.zone = "b";
    c.submitted(pinned);
    c.started(t0, pinned.job_id, 0, "m-1", "small", "a", false);
  });
  caught("ran_cancelled", [&](Checker& c) {
    c.started(t0, j.job_id, 0, "m-1", "large", "a", false);
    c.asked_cancel(j.job_id);
    c.answered_cancel(t0, j.job_id, 200, "withdrawn", t0);
    c.check(t0 + s.cancel_deadline + from_millis(1));
  });
  caught("forgotten", [&](Checker& c) { c.answered_poll(t0, j.job_id, 404, "", t0); });
  caught("forgotten", [&](Checker& c) { c.answered_submit(t0, j.job_id, 422); });
  caught("invented", [&](Checker& c) { c.answered_poll(t0, "req-000001", 200, "pending", t0); });
  caught("not_done", [&](Checker& c) {
    c.completed(j.job_id, 0);
    c.answered_poll(t0, j.job_id, 200, "done", t0);
  });
  caught("went_back", [&](Checker& c) {
    c.completed(j.job_id, 0);
    c.completed(j.job_id, 1);
    c.answered_poll(t0, j.job_id, 200, "done", t0);
    c.answered_poll(t0, j.job_id, 200, "running", t0);
  });
  caught("went_back", [&](Checker& c) { c.answered_poll(t0, j.job_id, 200, "withdrawn", t0); });
  caught("two_leaders", [&](Checker& c) { c.leaders(2); });
  caught("disagreement", [&](Checker& c) { c.check_agreement("a slot counts wrongly"); });
}
