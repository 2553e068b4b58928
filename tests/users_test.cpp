// Tests of the responses of the users' interface, and of the checker's detection of each broken rule.

#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;

TEST(JobApiTest, AnswersWithEveryStatusCodeOfTheProtocol) {
  World world(7);
  world.run(from_seconds(5));
  const auto post = [&](const Value& body) {
    return world.ask(0, {"POST", "/submissions", encode(body)})->status;
  };
  const Value valid_job = write_spec(World::job(1, 1, 4, 5));
  JobSpec oversized = World::job(3, 1, 500, 5);
  JobSpec unknown_team = World::job(5, 1, 4, 5);
  unknown_team.team = "nobody";
  JobSpec oversized_gang = World::job(4, 13, 8, 5);
  oversized_gang.type = JobType::gang;
  JobSpec conflicting_zones = World::job(11, 2, 1, 0);
  conflicting_zones.type = JobType::service;
  conflicting_zones.spread_zones = conflicting_zones.single_zone = true;
  JobSpec unknown_zone = World::job(13, 1, 1, 5);
  unknown_zone.zone = "z";
  JobSpec too_many_gpus = World::job(15, 1, 1, 5);
  too_many_gpus.resources.gpus = to_amount(8);
  for (const JobSpec& unsatisfiable : {conflicting_zones, unknown_zone, too_many_gpus})
    EXPECT_EQ(post(write_spec(unsatisfiable)), 422) << unsatisfiable.job_id;
  world.checker.submitted(World::job(1, 1, 4, 5));
  EXPECT_EQ(post(valid_job), 201);
  EXPECT_EQ(post(valid_job), 200);
  EXPECT_EQ(post(write_spec(oversized)), 422);
  EXPECT_EQ(post(write_spec(unknown_team)), 422);
  EXPECT_EQ(post(write_spec(oversized_gang)), 422);
  EXPECT_EQ(post(Value::Map{{"ref", "req-000009"}}), 400);
  // A repeated submission of an accepted job is never rejected as malformed.
  EXPECT_EQ(post(Value::Map{{"ref", World::job(1, 1, 4, 5).job_id}}), 200);
  EXPECT_EQ(world.ask(1, {"POST", "/submissions", "\xff"})->status, 400);
  EXPECT_EQ(world.ask(1, {"GET", "/submissions/req-000777", {}})->status, 404);
  EXPECT_EQ(world.ask(1, {"GET", "/submissions/nonsense", {}})->status, 404);
  EXPECT_EQ(world.ask(1, {"GET", "/submissions/req-" + std::string(300, '1'), {}})->status, 404);
  EXPECT_EQ(world.ask(1, {"POST", "/submissions/req-000777/withdraw", {}})->status, 404);
  EXPECT_EQ(world.ask(1, {"DELETE", "/submissions/req-000777", {}})->status, 405);
  EXPECT_EQ(world.ask(1, {"GET", "/submissions", {}})->status, 405);
  EXPECT_EQ(world.ask(1, {"GET", "/nothing", {}})->status, 404);
  EXPECT_EQ(world.ask(1, {"POST", "/hello", "x"})->status, 400);
  // Each rejection has a code, one sentence, and the invalid field.
  const auto error_body = [&](const Request& request) {
    return decode(world.ask(1, request)->body).value_or(Value());
  };
  JobSpec invalid_job = World::job(17, 1, 1, 1);
  invalid_job.team = "nobody";
  const Value never_runs = error_body({"POST", "/submissions", encode(write_spec(invalid_job))});
  EXPECT_EQ(*never_runs["code"].text(), "never_runs");
  EXPECT_EQ(*never_runs["field"].text(), "owner");
  EXPECT_NE(never_runs["error"].text()->find("nobody"), std::string::npos);
  invalid_job.resources.cores = -to_amount(1);
  const Value bad_field = error_body({"POST", "/submissions", encode(write_spec(invalid_job))});
  EXPECT_EQ(*bad_field["code"].text(), "bad_field");
  EXPECT_EQ(*bad_field["field"].text(), "cores");
  EXPECT_EQ(*error_body({"GET", "/submissions/req-000777", {}})["code"].text(), "unknown_job");
  EXPECT_EQ(world.ask(2, {"GET", "/ready", {}})->status, 200);
  world.state_outage(true);
  world.run(from_seconds(4));
  const auto unavailable = world.ask(0, {"POST", "/submissions", encode(write_spec(World::job(7, 1, 1, 1)))});
  EXPECT_EQ(unavailable->status, 503);
  const Value unavailable_body = decode(unavailable->body).value_or(Value());
  ASSERT_NE(unavailable_body["code"].text(), nullptr);
  EXPECT_EQ(*unavailable_body["code"].text(), "state_unreachable");
  EXPECT_EQ(unavailable_body["retry_after_s"].count(), unavailable->retry_after_s);
  EXPECT_GT(unavailable->retry_after_s, 0);
  EXPECT_EQ(world.ask(0, {"GET", "/submissions/req-000777", {}})->status, 503);
  EXPECT_EQ(world.ask(0, {"GET", "/ready", {}})->status, 200);  // an outage that all nodes share
}

TEST(JobApiTest, ManyPollsShareStateServiceReadsAndDelayNoWrites) {
  // A few hundred polls per second at the leader once used up the request rate limit, one read each.
  // Scheduling writes waited until there were no polls, and nothing was committed for minutes.
  Settings settings = World::small_site();
  settings.state_rps = 40;
  settings.state_write_rps = 20;
  World world(5, settings);
  std::vector<std::string> job_ids;
  for (int i = 1; i < 40; i += 2) {
    JobSpec spec = World::job(i, 2, 4, 20);
    world.submit(spec);
    job_ids.push_back(spec.job_id);
  }
  world.run(from_seconds(5));
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  std::size_t polls_answered = 0;
  std::size_t polls_sent = 0;
  for (int round = 0; round < 400; ++round) {
    world.at(from_millis(50 * round), [&] {
      for (const std::string& job_id : job_ids) {
        ++polls_sent;
        world.send_commands(leader, {"GET", "/submissions/" + job_id, {}}, [&](const CallResult& result) {
          polls_answered += result.answered && result.response.status == 200 ? 1 : 0;
        });
      }
    });
  }
  const std::uint64_t before = world.state_requests("c" + std::to_string(leader));
  world.run(from_seconds(20));
  const std::uint64_t requests = world.state_requests("c" + std::to_string(leader)) - before;
  world.run(from_seconds(60));
  EXPECT_GT(polls_answered, polls_sent * 9 / 10);
  EXPECT_LT(requests, polls_sent / 8);
  EXPECT_GT(world.checker.starts(), 20U);
  EXPECT_EQ(world.live(), 0U);
  expect_kept(world);
}

TEST(JobApiTest, NodeIsNotReadyIfOnlyItCannotReachTheStateService) {
  World world(4);
  world.run(from_seconds(5));
  world.state_refuses(1, true);
  world.run(from_seconds(5));
  EXPECT_EQ(world.ask(1, {"GET", "/ready", {}})->status, 503);
  EXPECT_EQ(world.ask(0, {"GET", "/ready", {}})->status, 200);
}

TEST(CheckerTest, DetectsEachBrokenRule) {
  Settings settings = World::small_site();
  settings.teams.push_back({"green", 0, 0, 0, 2});
  const JobSpec job = World::job(2, 2, 40, 5);  // team red: at most 96 cores
  const Instant start{};
  const auto expect_caught = [&](const char* rule, const std::function<void(Checker&)>& break_rule) {
    Checker checker(settings);
    checker.submitted(job);
    checker.answered_submit(start, job.job_id, 201);
    break_rule(checker);
    EXPECT_TRUE(checker.broken().contains(rule)) << rule;
    EXPECT_EQ(checker.broken().size(), 1U) << rule;
  };
  expect_caught("ran_twice", [&](Checker& checker) {
    checker.started(start, job.job_id, 0, "m-1", "large", "a", false);
    checker.started(start, job.job_id, 0, "m-2", "large", "a", false);
  });
  expect_caught("quota", [&](Checker& checker) {
    JobSpec second_job = World::job(4, 1, 40, 5);
    checker.submitted(second_job);
    checker.started(start, job.job_id, 0, "m-1", "large", "a", false);
    checker.started(start, job.job_id, 1, "m-2", "large", "a", false);
    checker.started(start, second_job.job_id, 0, "m-3", "large", "a", false);
  });
  expect_caught("quota", [&](Checker& checker) {
    JobSpec second_job = World::job(8, 3, 1, 5);
    second_job.team = "green";  // at most 2 GPUs
    second_job.resources.gpus = to_amount(1);
    checker.submitted(second_job);
    for (std::uint32_t i = 0; i < 3; ++i)
      checker.started(start, second_job.job_id, i, "m-1", "large", "a", false);
  });
  expect_caught("wrong_place", [&](Checker& checker) {
    JobSpec spread = World::job(6, 4, 1, 5);
    spread.spread_zones = true;
    checker.submitted(spread);
    for (std::uint32_t i = 0; i < 3; ++i)
      checker.started(start, spread.job_id, i, "m-1", "small", "a", false);
  });
  expect_caught("wrong_place", [&](Checker& checker) {
    JobSpec together = World::job(6, 2, 1, 5);
    together.single_zone = true;
    checker.submitted(together);
    checker.started(start, together.job_id, 0, "m-1", "small", "a", false);
    checker.started(start, together.job_id, 1, "m-2", "small", "b", false);
  });
  expect_caught("wrong_place", [&](Checker& checker) {
    JobSpec pinned = World::job(6, 1, 1, 5);
    pinned.zone = "b";
    checker.submitted(pinned);
    checker.started(start, pinned.job_id, 0, "m-1", "small", "a", false);
  });
  expect_caught("ran_cancelled", [&](Checker& checker) {
    checker.started(start, job.job_id, 0, "m-1", "large", "a", false);
    checker.asked_cancel(job.job_id);
    checker.answered_cancel(start, job.job_id, 200, "withdrawn", start);
    checker.check(start + settings.cancel_deadline + from_millis(1));
  });
  expect_caught("forgotten",
                [&](Checker& checker) { checker.answered_poll(start, job.job_id, 404, "", start); });
  expect_caught("forgotten", [&](Checker& checker) { checker.answered_submit(start, job.job_id, 422); });
  expect_caught("invented",
                [&](Checker& checker) { checker.answered_poll(start, "req-000001", 200, "pending", start); });
  expect_caught("not_done", [&](Checker& checker) {
    checker.completed(job.job_id, 0);
    checker.answered_poll(start, job.job_id, 200, "done", start);
  });
  expect_caught("went_back", [&](Checker& checker) {
    checker.completed(job.job_id, 0);
    checker.completed(job.job_id, 1);
    checker.answered_poll(start, job.job_id, 200, "done", start);
    checker.answered_poll(start, job.job_id, 200, "running", start);
  });
  expect_caught("went_back",
                [&](Checker& checker) { checker.answered_poll(start, job.job_id, 200, "withdrawn", start); });
  expect_caught("two_leaders", [&](Checker& checker) { checker.leaders(2); });
  expect_caught("disagreement", [&](Checker& checker) { checker.check_agreement("a slot counts wrongly"); });
}
