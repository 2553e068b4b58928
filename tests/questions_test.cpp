// Users' questions at size: what they cost follows what changes at a node, and none waits behind others until
// its user has gone.

#include <gtest/gtest.h>

#include "verdict_assertions.hpp"

namespace {

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;

Request question(const std::string& job_id) {
  return {"GET", "/submissions/" + job_id, {}};
}

Request submission(const JobSpec& spec) {
  return {"POST", "/submissions", encode(write_spec(spec))};
}

/// A world with so many jobs that last, of which all nodes have heard.
struct Busy {
  explicit Busy(std::uint64_t seed, int jobs, double state_rps, double write_rps)
      : w(seed, [&] {
          Settings s = World::small_site();
          s.state_rps = state_rps;
          s.state_write_rps = write_rps;
          return s;
        }()) {
    w.run(from_seconds(20));
    for (int i = 0; i < jobs; ++i) {
      const JobSpec job = World::job(i, 1, 16, 3600);
      refs.push_back(job.job_id);
      w.at(from_millis(100) * i, [this, job] { w.submit(job); });
    }
    w.run(from_millis(100) * jobs + from_seconds(10));
  }
  std::uint64_t requests(int controller) { return w.state_requests("c" + std::to_string(controller)); }
  /// Asks one node so many times a second about all jobs in turn.
  void ask(int controller, double per_second, Micros how_long) {
    const auto every = from_seconds(1 / per_second);
    for (Micros at{}; at < how_long; at += every) {
      w.at(at, [this, controller, job_id = refs[static_cast<std::size_t>(asked % refs.size())]] {
        w.send_commands(controller, question(job_id), [this](const CallResult& o) {
          ++outcomes;
          answered += o.answered && o.response.status == 200;
        });
      });
      ++asked;
    }
  }

  World w;
  std::vector<std::string> refs;
  std::size_t asked = 0;
  int outcomes = 0;
  int answered = 0;
};

/// A node that does not lead, so that nothing else takes its part of the pace.
int follower(const World& w) {
  return (w.leader() + 1) % 3;
}

TEST(Questions, CostTheSameHoweverManyJobsAreLive) {
  std::vector<double> per_second;
  for (const int jobs : {40, 240}) {
    Busy b(11, jobs, 400, 60);
    const int node = follower(b.w);
    const std::uint64_t before = b.requests(node);
    b.ask(node, 300, from_seconds(10));
    b.w.run(from_seconds(14));
    per_second.push_back(static_cast<double>(b.requests(node) - before) / 10);
    EXPECT_GE(b.answered, static_cast<int>(b.asked) * 97 / 100) << jobs;
    expect_kept(b.w);
  }
  EXPECT_LE(per_second[1], per_second[0] * 1.2 + 1);
}

// Six times as many questions cost no more requests once the pace is all in use.
TEST(Questions, OfAStormAreAllAnsweredByAScarcePace) {
  Busy b(12, 60, 100, 40);
  const int node = follower(b.w);
  const std::uint64_t before = b.requests(node);
  b.ask(node, 600, from_seconds(10));
  b.w.run(from_seconds(14));
  EXPECT_LE(static_cast<double>(b.requests(node) - before) / 14, 100 * 0.15);
  EXPECT_GE(b.answered, static_cast<int>(b.asked) * 97 / 100);
  expect_kept(b.w);
}

// More submissions come than there is pace for: what can't be taken is refused at once, and no question waits
// behind them.
TEST(Questions, AreAnsweredWhileSubmissionsWaitForTheirPace) {
  Busy b(13, 30, 200, 12);
  const int node = follower(b.w);
  int taken = 0;
  int refused = 0;
  Micros longest{};
  for (int i = 0; i < 300; ++i) {
    const JobSpec job = World::job(1000 + i, 1, 2, 5);
    b.w.at(from_millis(30) * i, [&, job] {
      b.w.machines().describe({job, from_seconds(5), false});
      b.w.checker.submitted(job);
      b.w.send_commands(
          node, submission(job),
          [&, job, sent = b.w.now()](const CallResult& o) {
            b.w.checker.answered_submit(b.w.now(), job.job_id, o.answered ? o.response.status : 0);
            if (o.answered) longest = std::max(longest, b.w.now() - sent);
            taken += o.answered && o.response.status == 201;
            if (!o.answered || o.response.status != 503) return;
            ++refused;
            EXPECT_GE(o.response.retry_after_s, 1);
          },
          from_seconds(5));
    });
  }
  b.ask(node, 50, from_seconds(9));
  b.w.run(from_seconds(20));
  EXPECT_GE(b.answered, static_cast<int>(b.asked) * 97 / 100);
  EXPECT_GE(taken, 15);
  EXPECT_GE(refused, 200);
  EXPECT_LE(longest, from_seconds(5));
  expect_kept(b.w);
}

// The index is lost again and again, and the questions go on.
TEST(Questions, AreAnsweredWhileTheIndexIsReadAnew) {
  Busy b(14, 60, 200, 40);
  const int node = follower(b.w);
  b.ask(node, 50, from_seconds(20));
  for (int i = 0; i < 10; ++i) b.w.at(from_seconds(2 * i), [&b] { b.w.state_forgets(); });
  b.w.run(from_seconds(25));
  EXPECT_GE(b.answered, static_cast<int>(b.asked) * 95 / 100);
  expect_kept(b.w);
}

}  // namespace
