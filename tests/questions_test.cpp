// Tests of polls under load: the number of requests to the state service depends on the changes, not on the
// number of jobs or polls, and no poll waits until its user's request times out.

#include <gtest/gtest.h>

#include "verdict_assertions.hpp"

namespace {

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;

Request poll_request(const std::string& job_id) {
  return {"GET", "/submissions/" + job_id, {}};
}

Request submit_request(const JobSpec& spec) {
  return {"POST", "/submissions", encode(write_spec(spec))};
}

/// Simulated cluster with the given number of long-running jobs, which all nodes have received.
struct LoadedCluster {
  explicit LoadedCluster(std::uint64_t seed, int jobs, double state_rps, double write_rps)
      : world(seed, [&] {
          Settings settings = World::small_site();
          settings.state_rps = state_rps;
          settings.state_write_rps = write_rps;
          return settings;
        }()) {
    world.run(from_seconds(20));
    for (int i = 0; i < jobs; ++i) {
      const JobSpec job = World::job(i, 1, 16, 3600);
      job_ids.push_back(job.job_id);
      world.at(from_millis(100) * i, [this, job] { world.submit(job); });
    }
    world.run(from_millis(100) * jobs + from_seconds(10));
  }
  std::uint64_t request_count(int controller) {
    return world.state_requests("c" + std::to_string(controller));
  }
  /// Sends polls to one node at the given rate, for all jobs in turn.
  void send_polls(int controller, double polls_per_second, Micros duration) {
    const auto interval = from_seconds(1 / polls_per_second);
    for (Micros at{}; at < duration; at += interval) {
      world.at(at,
               [this, controller, job_id = job_ids[static_cast<std::size_t>(polls_sent % job_ids.size())]] {
                 world.send_commands(controller, poll_request(job_id), [this](const CallResult& result) {
                   ++results;
                   polls_answered += result.answered && result.response.status == 200;
                 });
               });
      ++polls_sent;
    }
  }

  World world;
  std::vector<std::string> job_ids;
  std::size_t polls_sent = 0;
  int results = 0;
  int polls_answered = 0;
};

/// Returns a node that is not the leader, so that nothing else uses its share of the rate limit.
int follower(const World& world) {
  return (world.leader() + 1) % 3;
}

TEST(PollLoadTest, RequestRateIsIndependentOfLiveJobs) {
  std::vector<double> requests_per_second;
  for (const int jobs : {40, 240}) {
    LoadedCluster cluster(11, jobs, 400, 60);
    const int follower_index = follower(cluster.world);
    const std::uint64_t before = cluster.request_count(follower_index);
    cluster.send_polls(follower_index, 300, from_seconds(10));
    cluster.world.run(from_seconds(14));
    requests_per_second.push_back(static_cast<double>(cluster.request_count(follower_index) - before) / 10);
    EXPECT_GE(cluster.polls_answered, static_cast<int>(cluster.polls_sent) * 97 / 100) << jobs;
    expect_kept(cluster.world);
  }
  EXPECT_LE(requests_per_second[1], requests_per_second[0] * 1.2 + 1);
}

// Polls arrive at six times the rate limit of requests to the state service. Once the node's share of the
// limit is used up, more polls cause no additional requests, and nearly all of them are answered.
TEST(PollLoadTest, ManyPollsStayWithinLowStateRequestLimit) {
  LoadedCluster cluster(12, 60, 100, 40);
  const int follower_index = follower(cluster.world);
  const std::uint64_t before = cluster.request_count(follower_index);
  cluster.send_polls(follower_index, 600, from_seconds(10));
  cluster.world.run(from_seconds(14));
  EXPECT_LE(static_cast<double>(cluster.request_count(follower_index) - before) / 14, 100 * 0.15);
  EXPECT_GE(cluster.polls_answered, static_cast<int>(cluster.polls_sent) * 97 / 100);
  expect_kept(cluster.world);
}

// More submissions arrive than the write rate limit allows: those that exceed it are rejected immediately,
// and no poll waits behind them.
TEST(PollLoadTest, PollsAreAnsweredWhileSubmissionsExceedTheWriteRate) {
  LoadedCluster cluster(13, 30, 200, 12);
  const int follower_index = follower(cluster.world);
  int accepted = 0;
  int rejected = 0;
  Micros longest_call{};
  for (int i = 0; i < 300; ++i) {
    const JobSpec job = World::job(1000 + i, 1, 2, 5);
    cluster.world.at(from_millis(30) * i, [&, job] {
      cluster.world.machines().describe({job, from_seconds(5), false});
      cluster.world.checker.submitted(job);
      cluster.world.send_commands(
          follower_index, submit_request(job),
          [&, job, sent_at = cluster.world.now()](const CallResult& result) {
            cluster.world.checker.answered_submit(cluster.world.now(), job.job_id,
                                                  result.answered ? result.response.status : 0);
            if (result.answered) longest_call = std::max(longest_call, cluster.world.now() - sent_at);
            accepted += result.answered && result.response.status == 201;
            if (!result.answered || result.response.status != 503) return;
            ++rejected;
            EXPECT_GE(result.response.retry_after_s, 1);
          },
          from_seconds(5));
    });
  }
  cluster.send_polls(follower_index, 50, from_seconds(9));
  cluster.world.run(from_seconds(20));
  EXPECT_GE(cluster.polls_answered, static_cast<int>(cluster.polls_sent) * 97 / 100);
  EXPECT_GE(accepted, 15);
  EXPECT_GE(rejected, 200);
  EXPECT_LE(longest_call, from_seconds(5));
  expect_kept(cluster.world);
}

// The index is dropped repeatedly while polls continue.
TEST(PollLoadTest, PollsAreAnsweredWhileIndexIsReloaded) {
  LoadedCluster cluster(14, 60, 200, 40);
  const int follower_index = follower(cluster.world);
  cluster.send_polls(follower_index, 50, from_seconds(20));
  for (int i = 0; i < 10; ++i)
    cluster.world.at(from_seconds(2 * i), [&cluster] { cluster.world.state_forgets(); });
  cluster.world.run(from_seconds(25));
  EXPECT_GE(cluster.polls_answered, static_cast<int>(cluster.polls_sent) * 95 / 100);
  expect_kept(cluster.world);
}

}  // namespace
