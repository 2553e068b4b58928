// Tests that users never see a job return to an earlier stage, whichever nodes answer them: docs/design.md,
// "The order of answers". Users poll all nodes, repeatedly and within milliseconds, right after a job is
// accepted, ends or is cancelled.

#include <gtest/gtest.h>

#include <queue>

#include "job_api_fixture.hpp"
#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::events::JobStage;
using wrenusher::events::StageAnnouncement;
using wrenusher::job_api::ReadConsistency;

namespace {

/// Simulates the ReadConsistency of three nodes, with one job and with random delays of the state service and
/// the peers. Reads take up to their maximum age, announcements are late or lost, and in some runs one node
/// is isolated from its peers.
class NodeSimulation {
 public:
  explicit NodeSimulation(std::uint64_t seed) : random_(seed) {
    accepted_ = at(uniform(100, 1500));
    finished_ = accepted_ + from_millis(uniform(0, 3000));
    max_round_trip_ms_ = pick(3) == 0 ? 1450 : pick(2) == 0 ? 300 : 20;
    for (int i = 0; i < 3; ++i) nodes_.emplace_back();
    isolated_node_ = pick(3) == 0 ? pick(3) : -1;
    for (int node_index = 0; node_index < 3; ++node_index)
      post(at(-1000 + uniform(0, 500)), [this, node_index] { send_heartbeats(node_index); });
    for (int i = 0; i < 150; ++i) {
      // Most reads are close to the two stage changes.
      const auto when = pick(3) == 0   ? at(uniform(0, 6000))
                        : pick(2) == 0 ? accepted_ + from_millis(uniform(-100, 300))
                                       : finished_ + from_millis(uniform(-100, 1700));
      post(when, [this, node_index = pick(3)] { start_read(node_index, 3); });
    }
  }
  /// Runs all events. Returns a description of the first answer that was older than an earlier one; empty:
  /// none.
  std::string run() {
    while (!events_.empty() && violation_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      (*event.callback)();
    }
    return violation_;
  }
  int answers_sent = 0;
  int answers_delayed = 0;

 private:
  static Instant at(int ms) { return Instant{} + from_seconds(10) + from_millis(ms); }
  int uniform(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }
  int pick(int count) { return uniform(0, count - 1); }
  void post(Instant when, std::function<void()> callback) {
    events_.push(
        {std::max(when, now_), ++event_count_, std::make_shared<std::function<void()>>(std::move(callback))});
  }
  void post_after(int ms, std::function<void()> callback) {
    post(now_ + from_millis(ms), std::move(callback));
  }
  JobStage stored_stage() const {
    return now_ >= finished_ ? JobStage::finished : now_ >= accepted_ ? JobStage::accepted : JobStage::absent;
  }

  void start_read(int node_index, int attempts_left) {
    if (attempts_left == 0) return;
    const int request_ms = uniform(1, max_round_trip_ms_ / 2);
    const int reply_ms = uniform(1, pick(5) == 0 ? 1490 - request_ms : max_round_trip_ms_ / 2);
    post_after(request_ms, [this, node_index, attempts_left, reply_ms, sent = now_] {
      const JobStage stage = stored_stage();
      post_after(reply_ms, [this, node_index, attempts_left, sent, stage] {
        if (!nodes_[node_index].consistency.may_answer("j", stage, sent, now_)) {
          start_read(node_index, attempts_left - 1);
        } else {
          report(node_index, stage, sent);
        }
      });
    });
  }
  void report(int node_index, JobStage stage, Instant sent) {
    Node& node = nodes_[node_index];
    node.consistency.observe("j", stage, now_);
    const Instant when = node.consistency.earliest_answer_at("j", stage, now_);
    if (when <= now_) {
      send_answer(node_index, stage, sent);
      return;
    }
    ++answers_delayed;
    node.waiting.push_back({stage, sent});
    node.consistency.announce("j", stage, now_);
    node.announced.insert(stage);
    post(when, [this, node_index, stage] { release(node_index, stage); });
    for (int peer = 0; peer < 3; ++peer) {
      if (peer == node_index) continue;
      const bool isolated = peer == isolated_node_ || node_index == isolated_node_;
      if (isolated || pick(10) == 0) continue;
      post_after(uniform(1, pick(5) == 0 ? 2500 : 10), [this, node_index, peer, stage] {
        nodes_[peer].consistency.on_peer_announcement("j", stage, now_);
        post_after(uniform(1, 10), [this, node_index, peer, stage] {
          Node& announcer = nodes_[node_index];
          announcer.confirmed_by[stage == JobStage::finished ? 1 : 0].insert(peer);
          if (announcer.confirmed_by[stage == JobStage::finished ? 1 : 0].size() < 2) return;
          announcer.consistency.on_announcement_confirmed("j", stage);
          release(node_index, stage);
        });
      });
    }
  }
  /// Sends a heartbeat to each peer. The reply holds all stages that the peer has announced by then.
  void send_heartbeats(int node_index) {
    for (int peer = 0; peer < 3; ++peer) {
      if (peer == node_index || peer == isolated_node_ || node_index == isolated_node_ || pick(20) == 0)
        continue;
      post_after(uniform(1, pick(10) == 0 ? 400 : 5), [this, node_index, peer, sent = now_] {
        post_after(uniform(1, pick(10) == 0 ? 400 : 5),
                   [this, node_index, peer, sent, announcements = nodes_[peer].announced] {
                     Node& node = nodes_[node_index];
                     for (const JobStage stage : announcements)
                       node.consistency.on_peer_announcement("j", stage, now_);
                     node.heartbeat_sent_at[peer] = std::max(node.heartbeat_sent_at[peer], sent);
                     Instant through = Instant::max();
                     for (int other = 0; other < 3; ++other) {
                       if (other != node_index) through = std::min(through, node.heartbeat_sent_at[other]);
                     }
                     node.consistency.on_announcements_received(through);
                   });
      });
    }
    if (now_ < at(8000)) post_after(500, [this, node_index] { send_heartbeats(node_index); });
  }
  void release(int node_index, JobStage stage) {
    std::vector<std::pair<JobStage, Instant>> released;
    std::erase_if(nodes_[node_index].waiting, [&](const auto& answer) {
      if (answer.first == stage) released.push_back(answer);
      return answer.first == stage;
    });
    for (const auto& [released_stage, sent] : released) send_answer(node_index, released_stage, sent);
  }
  void send_answer(int node_index, JobStage stage, Instant sent) {
    if (!nodes_[node_index].consistency.may_answer("j", stage, sent, now_)) {
      start_read(node_index, 3);
      return;
    }
    ++answers_sent;
    if (stage < highest_reported_ && violation_.empty())
      violation_ = "c" + std::to_string(node_index) + " reports " + std::to_string(static_cast<int>(stage)) +
                   " after " + std::to_string(static_cast<int>(highest_reported_));
    highest_reported_ = std::max(highest_reported_, stage);
  }

  struct Node {
    ReadConsistency consistency{false};
    std::vector<std::pair<JobStage, Instant>> waiting;
    std::array<std::set<int>, 2> confirmed_by;
    std::set<JobStage> announced;
    std::array<Instant, 3> heartbeat_sent_at{};
  };
  struct Event {
    Instant at;
    std::uint64_t order;
    std::shared_ptr<std::function<void()>> callback;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  std::mt19937_64 random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t event_count_ = 0;
  Instant now_{};
  Instant accepted_{};
  Instant finished_{};
  int max_round_trip_ms_ = 20;
  int isolated_node_ = -1;
  std::deque<Node> nodes_;
  JobStage highest_reported_ = JobStage::absent;
  std::string violation_;
};

}  // namespace

TEST(ReadConsistencyTest, NoAnswerIsOlderThanAnEarlierAnswerOfAnyNode) {
  int answers_sent = 0;
  int answers_delayed = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    NodeSimulation simulation(seed);
    ASSERT_EQ(simulation.run(), "") << "seed " << seed;
    answers_sent += simulation.answers_sent;
    answers_delayed += simulation.answers_delayed;
  }
  // Most requests are answered, and some answers were delayed.
  EXPECT_GT(answers_sent, 3000 * 100);
  EXPECT_GT(answers_delayed, 3000);
}

TEST(ReadConsistencyTest, StageIsReportedImmediatelyOnceConfirmedOrOldEnough) {
  const Instant start = Instant{} + from_seconds(100);
  ReadConsistency consistency(false);
  consistency.observe("a", JobStage::accepted, start);
  EXPECT_GT(consistency.earliest_answer_at("a", JobStage::accepted, start), start);
  EXPECT_EQ(consistency.earliest_answer_at("a", JobStage::accepted, start + from_millis(200)),
            start + from_millis(200));
  consistency.on_announcement_confirmed("a", JobStage::accepted);
  EXPECT_EQ(consistency.earliest_answer_at("a", JobStage::accepted, start), start);
  consistency.observe("a", JobStage::finished, start + from_seconds(1));
  EXPECT_GT(consistency.earliest_answer_at("a", JobStage::finished, start + from_seconds(2)),
            start + from_seconds(2));
  EXPECT_EQ(consistency.earliest_answer_at("a", JobStage::finished, start + from_seconds(3)),
            start + from_seconds(3));
  // An announced stage may be reported earlier.
  consistency.observe("b", JobStage::finished, start);
  consistency.announce("b", JobStage::finished, start);
  EXPECT_GT(consistency.earliest_answer_at("b", JobStage::finished, start + from_millis(500)),
            start + from_millis(500));
  EXPECT_EQ(consistency.earliest_answer_at("b", JobStage::finished, start + from_millis(700)),
            start + from_millis(700));
  // Without peers, no other node can report an earlier stage.
  ReadConsistency single_node_consistency(true);
  single_node_consistency.observe("a", JobStage::finished, start);
  EXPECT_EQ(single_node_consistency.earliest_answer_at("a", JobStage::finished, start), start);
}

// Guards against starts after "withdrawn": a leader that reaches its peers may start a task without having
// read the state service since the cancellation, so a node must announce it, however long ago it observed it.
TEST(ReadConsistencyTest, CancellationIsReportedOnlyOnceAnnounced) {
  const Instant start = Instant{} + from_seconds(100);
  const Instant later = start + from_seconds(5);
  ReadConsistency consistency(false);
  consistency.observe("a", JobStage::finished, start);
  EXPECT_EQ(consistency.earliest_answer_at("a", JobStage::finished, later), later);
  EXPECT_EQ(consistency.earliest_cancellation_at("a", later), later + from_millis(600));
  consistency.announce("a", JobStage::finished, later);
  EXPECT_EQ(consistency.earliest_cancellation_at("a", later + from_millis(200)), later + from_millis(600));
  EXPECT_EQ(consistency.earliest_cancellation_at("a", later + from_millis(700)), later + from_millis(700));
  consistency.on_announcement_confirmed("a", JobStage::finished);
  EXPECT_EQ(consistency.earliest_cancellation_at("a", later), later);
  ReadConsistency single_node_consistency(true);
  EXPECT_EQ(single_node_consistency.earliest_cancellation_at("a", start), start);
}

// Exceeds the limit on tracked jobs: an evicted job has to be announced again, and no job is evicted while a
// pending answer could still be older than its stage.
TEST(ReadConsistencyTest, EvictedJobHasToBeAnnouncedAgain) {
  const Instant start = Instant{} + from_seconds(100);
  ReadConsistency consistency(false);
  const auto at = [&](int i) { return start + wrenusher::time::Micros{50 * static_cast<std::int64_t>(i)}; };
  constexpr int kJobCount = 20000;  // spread over one second
  for (int i = 0; i < kJobCount; ++i) {
    consistency.observe("j" + std::to_string(i), JobStage::finished, at(i));
    const int old_job = std::max(0, i - 15000);
    ASSERT_FALSE(
        consistency.may_answer("j" + std::to_string(old_job), JobStage::accepted, at(old_job - 1), at(i)));
  }
  EXPECT_EQ(consistency.size(), static_cast<std::size_t>(kJobCount));
  const Instant later = start + from_seconds(20);
  consistency.observe("one more", JobStage::finished, later);
  EXPECT_LT(consistency.size(), 9000U);
  EXPECT_GT(consistency.earliest_answer_at("j0", JobStage::finished, later), later);
}

// A lookup reads the live record and then the final record, and finds neither. Between the two reads, this
// node reports the job as accepted. Cancellations and rejected submissions use the same lookup.
TEST(JobApiConsistencyTest, JobAcceptedDuringLookupIsNotReportedUnknown) {
  for (const int request_kind : {0, 1, 2}) {
    JobApiFixture fixture;
    const auto accept = [&] {
      fixture.submit();
      JobApiFixture::answer(fixture.take_call(), 200, JobApiFixture::revision_body(7));
    };
    request_kind == 0 ? fixture.poll() : request_kind == 1 ? fixture.cancel() : fixture.submit(1000);
    auto live_read = fixture.take_call();
    if (request_kind == 1) {
      // The cancellation itself first reads the live record.
      JobApiFixture::answer(live_read, 404, JobApiFixture::revision_body(4));
      live_read = fixture.take_call();
    }
    JobApiFixture::answer(live_read, 404, JobApiFixture::revision_body(5));
    const auto final_read = fixture.take_call();
    fixture.runtime.pass(from_millis(1));
    accept();
    ASSERT_EQ(fixture.statuses, std::vector<std::string>{"pending"}) << request_kind;
    JobApiFixture::answer(final_read, 404, JobApiFixture::revision_body(6));
    ASSERT_EQ(fixture.statuses.size(), 1U) << request_kind;  // the read is repeated
    JobApiFixture::answer(fixture.take_call(), 200, JobApiFixture::revision_body(7));
    EXPECT_EQ(fixture.statuses.back(), "pending") << request_kind;
  }
}

// The final state that this node reported is evicted from the cache before a slow, older reply arrives.
TEST(JobApiConsistencyTest, EvictedFinalStateIsNotFollowedByOlderAnswer) {
  JobApiFixture fixture;
  fixture.poll();
  const auto slow_call = fixture.take_call();
  fixture.runtime.pass(from_millis(1));
  fixture.poll();
  JobApiFixture::answer(fixture.take_call(), 404, JobApiFixture::revision_body(9));
  JobApiFixture::answer(fixture.take_call(), 200, fixture.final_record_body());
  ASSERT_EQ(fixture.statuses, std::vector<std::string>{"done"});
  fixture.runtime.pass(from_millis(1));
  const std::string job_id = fixture.job_id;
  for (int i = 0; i < 12100; ++i) {
    fixture.job_id = "req-" + std::to_string(200000 + i);
    fixture.poll();
    for (int k = 0; k < 50 && fixture.runtime.calls.empty(); ++k)
      fixture.runtime.pass(wrenusher::time::Micros{50});
    JobApiFixture::answer(fixture.take_call(), 404, JobApiFixture::revision_body(10));
    JobApiFixture::answer(fixture.take_call(), 200, fixture.final_record_body());
    fixture.runtime.pass(wrenusher::time::Micros{100});
  }
  fixture.job_id = job_id;
  fixture.statuses.clear();
  JobApiFixture::answer(slow_call, 200, fixture.live_record_body(5, false));
  EXPECT_TRUE(fixture.statuses.empty());  // the read is repeated
  JobApiFixture::answer(fixture.take_call(), 409,
                        Value::Map{{"failed", Value::List{"job/" + fixture.job_id}}, {"ledger_rev", 11}});
  JobApiFixture::answer(fixture.take_call(), 404, JobApiFixture::revision_body(11));
  JobApiFixture::answer(fixture.take_call(), 200, fixture.final_record_body());
  EXPECT_EQ(fixture.statuses, std::vector<std::string>{"done"});
}

// A node was suspended and receives a reply that is 8 s old: other nodes may have reported a newer state
// since.
TEST(JobApiConsistencyTest, StaleReplyOfStateServiceIsDiscarded) {
  JobApiFixture fixture;
  fixture.poll();
  const auto old_call = fixture.take_call();
  fixture.runtime.pass(from_seconds(8));
  JobApiFixture::answer(old_call, 200, fixture.live_record_body(5, false));
  EXPECT_EQ(fixture.statuses, std::vector<std::string>{"503"});
}

// The cancellation is announced to the peers first, so that they repeat reads that are already in progress.
// If a peer doesn't confirm the announcement, the answer waits until every read that the peer sent before is
// too old to be used.
TEST(JobApiConsistencyTest, CancellationIsAnsweredAfterPeersConfirmOrTheirReadsExpire) {
  for (const bool confirmed : {true, false}) {
    JobApiFixture fixture(2);
    fixture.cancel();
    JobApiFixture::answer(fixture.take_call(), 200, fixture.live_record_body(5, false));
    JobApiFixture::answer(fixture.take_call(), 200, JobApiFixture::revision_body(6));
    EXPECT_TRUE(fixture.statuses.empty());
    ASSERT_EQ(fixture.announcements.size(), 1U);
    EXPECT_EQ(fixture.announcements[0].stage, JobStage::finished);
    fixture.runtime.pass(from_millis(500));
    EXPECT_TRUE(fixture.statuses.empty());
    if (confirmed) {
      fixture.api.on_stage_confirmed(fixture.announcements[0]);
    } else {
      fixture.runtime.pass(from_millis(200));
    }
    EXPECT_EQ(fixture.statuses, std::vector<std::string>{"withdrawn"}) << confirmed;
  }
}

// A slow reply is used only while heartbeats from all peers arrive, since they would have announced a newer
// state. Otherwise the state service is read again.
TEST(JobApiConsistencyTest, SlowReplyIsUsedOnlyWithRecentHeartbeatsOfAllPeers) {
  for (const bool in_touch : {true, false}) {
    JobApiFixture fixture(2);
    fixture.api.on_records_changed({{fixture.job_id}, {}});
    fixture.runtime.pass(from_seconds(1));
    fixture.poll();
    const auto slow_call = fixture.take_call();
    fixture.runtime.pass(from_millis(700));
    for (const char* peer : {"c1", "c2"}) {
      wrenusher::events::PeerStatus status;
      status.node = peer;
      if (in_touch || *(peer + 1) == '1') status.request_sent_at = fixture.runtime.at - from_millis(400);
      fixture.api.on_peer_status(status);
    }
    JobApiFixture::answer(slow_call, 200, fixture.live_record_body(5, false));
    EXPECT_EQ(fixture.statuses.size(), in_touch ? 1U : 0U);
  }
}

TEST(JobApiConsistencyTest, AnnouncementOfPeerRepeatsReadInProgress) {
  JobApiFixture fixture(2);
  fixture.poll();
  const auto old_call = fixture.take_call();
  fixture.api.on_stage_announced({fixture.job_id, JobStage::finished});
  fixture.runtime.pass(from_millis(1));
  JobApiFixture::answer(old_call, 200, fixture.live_record_body(5, false));
  EXPECT_TRUE(fixture.statuses.empty());
  JobApiFixture::answer(fixture.take_call(), 409,
                        Value::Map{{"failed", Value::List{"job/" + fixture.job_id}}, {"ledger_rev", 9}});
  JobApiFixture::answer(fixture.take_call(), 404, JobApiFixture::revision_body(9));
  JobApiFixture::answer(fixture.take_call(), 200, fixture.final_record_body());
  ASSERT_FALSE(fixture.announcements.empty());
  fixture.api.on_stage_confirmed(fixture.announcements.back());
  EXPECT_EQ(fixture.statuses, std::vector<std::string>{"done"});
}

TEST(CheckerTest, DetectsAnswerOlderThanAnEarlierAnswerOfAnyNode) {
  const Settings settings = World::small_site();
  const auto body = [](const char* state) {
    return encode(Value::Map{{"ref", "req-000001"}, {"status", state}});
  };
  const Request poll{"GET", "/submissions/req-000001", {}};
  const Instant start = Instant{} + from_seconds(10);
  const auto breaks_order = [&](const std::vector<Response>& responses, const Request& last) {
    Checker checker(settings);
    for (std::size_t i = 0; i < responses.size(); ++i)
      checker.given(start, "c" + std::to_string(i), i + 1 == responses.size() ? last : poll, responses[i]);
    return checker.broken().contains("older_answer");
  };
  const Request submit{"POST", "/submissions", encode(Value::Map{{"ref", "req-000001"}})};
  const Request withdraw{"POST", "/submissions/req-000001/withdraw", {}};
  EXPECT_FALSE(breaks_order({{200, body("pending"), 0}, {200, body("done"), 0}}, poll));
  EXPECT_FALSE(breaks_order({{200, body("done"), 0}, {503, {}, 1}}, poll));
  EXPECT_TRUE(breaks_order({{200, body("done"), 0}, {200, body("running"), 0}}, poll));
  EXPECT_TRUE(breaks_order({{200, body("pending"), 0}, {404, {}, 0}}, poll));
  EXPECT_TRUE(breaks_order({{200, body("pending"), 0}, {422, {}, 0}}, submit));
  EXPECT_TRUE(breaks_order({{200, body("pending"), 0}, {404, {}, 0}}, withdraw));
  EXPECT_TRUE(breaks_order({{200, body("withdrawn"), 0}, {200, body("pending"), 0}}, submit));
  Checker checker(settings);
  checker.never_submitted("req-000001");
  checker.answered_submit(start, "req-000001", 422);
  EXPECT_TRUE(checker.broken().empty());
  checker.answered_submit(start, "req-000001", 201);
  EXPECT_TRUE(checker.broken().contains("accepted_in_vain"));
}

namespace {

struct FaultCase {
  const char* fault;  ///< fault injected during the polls; empty: none
  double start_s;
  double duration_s;
  const char* target;
};

}  // namespace

TEST(JobApiConsistencyTest, FrequentPollsSeeNoOlderAnswerUnderAnyFault) {
  const std::vector<FaultCase> fault_cases = {{"", 0, 0, ""},
                                              {"state_slow", 25, 30, ""},
                                              {"controller_crash", 30, 15, "leader"},
                                              {"controller_alone", 30, 15, ""},
                                              {"controller_cut", 30, 15, ""},
                                              {"controller_stalls", 30, 6, ""},
                                              {"state_refuses", 30, 10, "leader"},
                                              {"store_gap", 30, 12, ""},
                                              {"late_writes", 25, 30, ""},
                                              {"late_copies", 25, 30, ""},
                                              {"all_crash", 30, 1, ""}};
  for (std::size_t case_index = 0; case_index < fault_cases.size(); ++case_index) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      World world(700 + 10 * case_index + seed);
      world.inject_fault({"close_looks", {}, from_seconds(110), {}, "", 0});
      world.inject_fault({"cancel_at_end", {}, from_seconds(110), {}, "", 0.3});
      world.at(from_seconds(10), [&world] {
        world.inject_fault({"odd_requests", {}, from_seconds(70), {}, "", 0});
      });
      for (int i = 0; i < 60; ++i) {
        SimulatedJob job;
        job.spec = World::job(i, 1 + static_cast<std::uint32_t>(world.pick(2)), 1, world.uniform(1, 8));
        job.run_time = job.spec.expected_runtime;
        world.at(from_seconds(8 + i * 1.0), [&world, job] { world.submit(job); });
        if (i % 4 == 1)
          world.at(from_seconds(8 + i + world.uniform(0, 6)),
                   [&world, job_id = job.spec.job_id] { world.cancel(job_id); });
      }
      const FaultCase& fault_case = fault_cases[case_index];
      if (*fault_case.fault != 0)
        world.at(from_seconds(fault_case.start_s), [&world, fault_case] {
          world.inject_fault(
              {fault_case.fault, {}, from_seconds(fault_case.duration_s), {}, fault_case.target, 0});
        });
      world.run(from_seconds(100));
      world.heal();
      world.checker.troubles_over(world.now());
      world.run(from_seconds(200));
      world.checker.judge(world.now());
      EXPECT_TRUE(world.checker.broken().empty()) << fault_case.fault << " seed " << seed << "\n"
                                                  << notes(world).substr(0, 1500);
      EXPECT_EQ(world.live(), 0U) << fault_case.fault << " seed " << seed;
    }
  }
}
