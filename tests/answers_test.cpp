// The order that answers to users keep over all nodes, by when each is given: docs/design.md, "The order of
// answers". A meeting of close looks: users ask at all nodes, within milliseconds and again, right after a
// job was accepted, has ended or was cancelled.

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

/// Three nodes by their ReadConsistency alone, one job, and a state service and peers that answer whenever
/// they like: reads take up to their full life, announcements are late or lost, links are cut for a while.
class Nodes {
 public:
  explicit Nodes(std::uint64_t seed) : random_(seed) {
    accepted_ = at(uniform(100, 1500));
    over_ = accepted_ + from_millis(uniform(0, 3000));
    slow_ = pick(3) == 0 ? 1450 : pick(2) == 0 ? 300 : 20;
    for (int i = 0; i < 3; ++i) nodes_.emplace_back();
    cut_ = pick(3) == 0 ? pick(3) : -1;
    for (int n = 0; n < 3; ++n) post(at(-1000 + uniform(0, 500)), [this, n] { beat(n); });
    for (int i = 0; i < 150; ++i) {
      // Mostly around the two changes.
      const auto when = pick(3) == 0   ? at(uniform(0, 6000))
                        : pick(2) == 0 ? accepted_ + from_millis(uniform(-100, 300))
                                       : over_ + from_millis(uniform(-100, 1700));
      post(when, [this, n = pick(3)] { ask(n, 3); });
    }
  }
  /// The first answer that was older than one given before; empty: none.
  std::string play() {
    while (!events_.empty() && broken_.empty()) {
      const Event e = events_.top();
      events_.pop();
      now_ = e.at;
      (*e.f)();
    }
    return broken_;
  }
  int given = 0;
  int held = 0;

 private:
  static Instant at(int ms) { return Instant{} + from_seconds(10) + from_millis(ms); }
  int uniform(int a, int b) { return std::uniform_int_distribution<int>(a, b)(random_); }
  int pick(int n) { return uniform(0, n - 1); }
  void post(Instant when, std::function<void()> f) {
    events_.push({std::max(when, now_), ++made_, std::make_shared<std::function<void()>>(std::move(f))});
  }
  void later(int ms, std::function<void()> f) { post(now_ + from_millis(ms), std::move(f)); }
  JobStage stored() const {
    return now_ >= over_ ? JobStage::finished : now_ >= accepted_ ? JobStage::accepted : JobStage::absent;
  }

  void ask(int n, int tries) {
    if (tries == 0) return;
    const int there = uniform(1, slow_ / 2);
    const int back = uniform(1, pick(5) == 0 ? 1490 - there : slow_ / 2);
    later(there, [this, n, tries, back, sent = now_] {
      const JobStage level = stored();
      later(back, [this, n, tries, sent, level] {
        if (!nodes_[n].order.may_answer("j", level, sent, now_)) {
          ask(n, tries - 1);
        } else {
          tell(n, level, sent);
        }
      });
    });
  }
  void tell(int n, JobStage level, Instant sent) {
    Node& node = nodes_[n];
    node.order.observe("j", level, now_);
    const Instant when = node.order.may_answer_from("j", level, now_);
    if (when <= now_) {
      give(n, level, sent);
      return;
    }
    ++held;
    node.waiting.push_back({level, sent});
    node.order.announce("j", level, now_);
    node.announced.insert(level);
    post(when, [this, n, level] { release(n, level); });
    for (int peer = 0; peer < 3; ++peer) {
      if (peer == n) continue;
      const bool cut = peer == cut_ || n == cut_;
      if (cut || pick(10) == 0) continue;
      later(uniform(1, pick(5) == 0 ? 2500 : 10), [this, n, peer, level] {
        nodes_[peer].order.on_peer_announcement("j", level, now_);
        later(uniform(1, 10), [this, n, peer, level] {
          Node& teller = nodes_[n];
          teller.knows[level == JobStage::finished ? 1 : 0].insert(peer);
          if (teller.knows[level == JobStage::finished ? 1 : 0].size() < 2) return;
          teller.order.on_confirmed("j", level);
          release(n, level);
        });
      });
    }
  }
  /// What a peer answers to a heartbeat: all that it has announced by then.
  void beat(int n) {
    for (int peer = 0; peer < 3; ++peer) {
      if (peer == n || peer == cut_ || n == cut_ || pick(20) == 0) continue;
      later(uniform(1, pick(10) == 0 ? 400 : 5), [this, n, peer, asked = now_] {
        later(uniform(1, pick(10) == 0 ? 400 : 5), [this, n, peer, asked, all = nodes_[peer].announced] {
          Node& node = nodes_[n];
          for (const JobStage level : all) node.order.on_peer_announcement("j", level, now_);
          node.reached[peer] = std::max(node.reached[peer], asked);
          Instant through = Instant::max();
          for (int other = 0; other < 3; ++other) {
            if (other != n) through = std::min(through, node.reached[other]);
          }
          node.order.on_peers_in_touch(through);
        });
      });
    }
    if (now_ < at(8000)) later(500, [this, n] { beat(n); });
  }
  void release(int n, JobStage level) {
    std::vector<std::pair<JobStage, Instant>> out;
    std::erase_if(nodes_[n].waiting, [&](const auto& w) {
      if (w.first == level) out.push_back(w);
      return w.first == level;
    });
    for (const auto& [l, sent] : out) give(n, l, sent);
  }
  void give(int n, JobStage level, Instant sent) {
    if (!nodes_[n].order.may_answer("j", level, sent, now_)) {
      ask(n, 3);
      return;
    }
    ++given;
    if (level < told_ && broken_.empty())
      broken_ = "c" + std::to_string(n) + " says " + std::to_string(static_cast<int>(level)) + " after " +
                std::to_string(static_cast<int>(told_));
    told_ = std::max(told_, level);
  }

  struct Node {
    ReadConsistency order{false};
    std::vector<std::pair<JobStage, Instant>> waiting;
    std::array<std::set<int>, 2> knows;
    std::set<JobStage> announced;
    std::array<Instant, 3> reached{};
  };
  struct Event {
    Instant at;
    std::uint64_t order;
    std::shared_ptr<std::function<void()>> f;
    bool operator>(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };
  std::mt19937_64 random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t made_ = 0;
  Instant now_{};
  Instant accepted_{};
  Instant over_{};
  int slow_ = 20;
  int cut_ = -1;
  std::deque<Node> nodes_;
  JobStage told_ = JobStage::absent;
  std::string broken_;
};

}  // namespace

TEST(ReadConsistency, NoNodeGivesAnOlderAnswerThanAnyHasGiven) {
  int given = 0;
  int held = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    Nodes nodes(seed);
    ASSERT_EQ(nodes.play(), "") << "seed " << seed;
    given += nodes.given;
    held += nodes.held;
  }
  // Most questions are answered, and some of them have waited.
  EXPECT_GT(given, 3000 * 100);
  EXPECT_GT(held, 3000);
}

TEST(ReadConsistency, WhatHasBeenKnownForAWhileOrIsConfirmedIsToldAtOnce) {
  const Instant t = Instant{} + from_seconds(100);
  ReadConsistency order(false);
  order.observe("a", JobStage::accepted, t);
  EXPECT_GT(order.may_answer_from("a", JobStage::accepted, t), t);
  EXPECT_EQ(order.may_answer_from("a", JobStage::accepted, t + from_millis(200)), t + from_millis(200));
  order.on_confirmed("a", JobStage::accepted);
  EXPECT_EQ(order.may_answer_from("a", JobStage::accepted, t), t);
  order.observe("a", JobStage::finished, t + from_seconds(1));
  EXPECT_GT(order.may_answer_from("a", JobStage::finished, t + from_seconds(2)), t + from_seconds(2));
  EXPECT_EQ(order.may_answer_from("a", JobStage::finished, t + from_seconds(3)), t + from_seconds(3));
  // Announced, it takes less.
  order.observe("b", JobStage::finished, t);
  order.announce("b", JobStage::finished, t);
  EXPECT_GT(order.may_answer_from("b", JobStage::finished, t + from_millis(500)), t + from_millis(500));
  EXPECT_EQ(order.may_answer_from("b", JobStage::finished, t + from_millis(700)), t + from_millis(700));
  // Where there is no other node, nobody else can say anything.
  ReadConsistency alone(true);
  alone.observe("a", JobStage::finished, t);
  EXPECT_EQ(alone.may_answer_from("a", JobStage::finished, t), t);
}

// At its bound and past it: what is forgotten is announced anew, and nothing is forgotten that an answer
// still on its way could be older than.
TEST(ReadConsistency, WhatIsForgottenIsAnnouncedAnew) {
  const Instant t = Instant{} + from_seconds(100);
  ReadConsistency order(false);
  const auto at = [&](int i) { return t + wrenusher::time::Micros{50 * static_cast<std::int64_t>(i)}; };
  constexpr int kAll = 20000;  // in one second
  for (int i = 0; i < kAll; ++i) {
    order.observe("j" + std::to_string(i), JobStage::finished, at(i));
    const int old = std::max(0, i - 15000);
    ASSERT_FALSE(order.may_answer("j" + std::to_string(old), JobStage::accepted, at(old - 1), at(i)));
  }
  EXPECT_EQ(order.size(), static_cast<std::size_t>(kAll));
  const Instant later = t + from_seconds(20);
  order.observe("one more", JobStage::finished, later);
  EXPECT_LT(order.size(), 9000U);
  EXPECT_GT(order.may_answer_from("j0", JobStage::finished, later), later);
}

// Both records were asked for one after the other, and neither was there: meanwhile this node had told that
// the job is accepted. With the same path behind a cancellation and behind a refused submission.
TEST(CloseLooks, AJobThatThisNodeHasAcceptedMeanwhileIsNotCalledUnknown) {
  for (const int how : {0, 1, 2}) {
    DeskByHand d;
    const auto accept = [&] {
      d.submit();
      DeskByHand::answer(d.sent(), 200, DeskByHand::none(7));
    };
    how == 0 ? d.poll() : how == 1 ? d.withdraw() : d.submit(1000);
    auto read = d.sent();
    if (how == 1) {
      // The cancellation has read by itself first.
      DeskByHand::answer(read, 404, DeskByHand::none(4));
      read = d.sent();
    }
    DeskByHand::answer(read, 404, DeskByHand::none(5));
    const auto end = d.sent();
    d.rt.pass(from_millis(1));
    accept();
    ASSERT_EQ(d.states, std::vector<std::string>{"pending"}) << how;
    DeskByHand::answer(end, 404, DeskByHand::none(6));
    ASSERT_EQ(d.states.size(), 1U) << how;  // asked again
    DeskByHand::answer(d.sent(), 200, DeskByHand::none(7));
    EXPECT_EQ(d.states.back(), "pending") << how;
  }
}

// The same where what this node had told has been forgotten for want of room before the old answer comes.
TEST(CloseLooks, WhatIsForgottenForWantOfRoomLeavesNoOlderAnswer) {
  DeskByHand d;
  d.poll();
  const auto slow = d.sent();
  d.rt.pass(from_millis(1));
  d.poll();
  DeskByHand::answer(d.sent(), 404, DeskByHand::none(9));
  DeskByHand::answer(d.sent(), 200, d.over());
  ASSERT_EQ(d.states, std::vector<std::string>{"done"});
  d.rt.pass(from_millis(1));
  const std::string job_id = d.ref;
  for (int i = 0; i < 12100; ++i) {
    d.ref = "req-" + std::to_string(200000 + i);
    d.poll();
    for (int k = 0; k < 50 && d.rt.calls.empty(); ++k) d.rt.pass(wrenusher::time::Micros{50});
    DeskByHand::answer(d.sent(), 404, DeskByHand::none(10));
    DeskByHand::answer(d.sent(), 200, d.over());
    d.rt.pass(wrenusher::time::Micros{100});
  }
  d.ref = job_id;
  d.states.clear();
  DeskByHand::answer(slow, 200, d.live(5, false));
  EXPECT_TRUE(d.states.empty());  // asked again
  DeskByHand::answer(d.sent(), 409, Value::Map{{"failed", Value::List{"job/" + d.ref}}, {"ledger_rev", 11}});
  DeskByHand::answer(d.sent(), 404, DeskByHand::none(11));
  DeskByHand::answer(d.sent(), 200, d.over());
  EXPECT_EQ(d.states, std::vector<std::string>{"done"});
}

// A node stood still, and finds an answer of long ago when it goes on: other nodes may have told more since.
TEST(CloseLooks, AnAnswerOfTheStateServiceThatIsFoundLateIsNone) {
  DeskByHand d;
  d.poll();
  const auto old = d.sent();
  d.rt.pass(from_seconds(8));
  DeskByHand::answer(old, 200, d.live(5, false));
  EXPECT_EQ(d.states, std::vector<std::string>{"503"});
}

// The peers are told first, so that they ask anew where they have asked already; where one does not confirm,
// the answer waits until nothing that it may have asked before can be answered any more.
TEST(CloseLooks, ACancellationIsConfirmedOnceThePeersKnowOrWouldNotAnswerBefore) {
  for (const bool confirmed : {true, false}) {
    DeskByHand d(2);
    d.withdraw();
    DeskByHand::answer(d.sent(), 200, d.live(5, false));
    DeskByHand::answer(d.sent(), 200, DeskByHand::none(6));
    EXPECT_TRUE(d.states.empty());
    ASSERT_EQ(d.announced.size(), 1U);
    EXPECT_EQ(d.announced[0].stage, JobStage::finished);
    d.rt.pass(from_millis(500));
    EXPECT_TRUE(d.states.empty());
    if (confirmed) {
      d.desk.on_stage_confirmed(d.announced[0]);
    } else {
      d.rt.pass(from_millis(200));
    }
    EXPECT_EQ(d.states, std::vector<std::string>{"withdrawn"}) << confirmed;
  }
}

// An answer that took long is given while the peers are in touch, who would have announced what is newer.
// Else the state service is asked again.
TEST(CloseLooks, ASlowAnswerIsGivenOnlyWhileThePeersAreInTouch) {
  for (const bool in_touch : {true, false}) {
    DeskByHand d(2);
    d.desk.on_records_changed({{d.ref}, {}});
    d.rt.pass(from_seconds(1));
    d.poll();
    const auto slow = d.sent();
    d.rt.pass(from_millis(700));
    for (const char* peer : {"c1", "c2"}) {
      wrenusher::events::PeerStatus news;
      news.node = peer;
      if (in_touch || *(peer + 1) == '1') news.request_sent_at = d.rt.at - from_millis(400);
      d.desk.on_peer_status(news);
    }
    DeskByHand::answer(slow, 200, d.live(5, false));
    EXPECT_EQ(d.states.size(), in_touch ? 1U : 0U);
  }
}

TEST(CloseLooks, WhatAPeerIsAboutToTellIsAskedForAnew) {
  DeskByHand d(2);
  d.poll();
  const auto old = d.sent();
  d.desk.on_stage_announced({d.ref, JobStage::finished});
  d.rt.pass(from_millis(1));
  DeskByHand::answer(old, 200, d.live(5, false));
  EXPECT_TRUE(d.states.empty());
  DeskByHand::answer(d.sent(), 409, Value::Map{{"failed", Value::List{"job/" + d.ref}}, {"ledger_rev", 9}});
  DeskByHand::answer(d.sent(), 404, DeskByHand::none(9));
  DeskByHand::answer(d.sent(), 200, d.over());
  ASSERT_FALSE(d.announced.empty());
  d.desk.on_stage_confirmed(d.announced.back());
  EXPECT_EQ(d.states, std::vector<std::string>{"done"});
}

TEST(CloseLooks, TheCheckerCatchesAnAnswerOlderThanAnyNodesEarlierOne) {
  const Settings settings = World::small_site();
  const auto body = [](const char* state) {
    return encode(Value::Map{{"ref", "req-000001"}, {"status", state}});
  };
  const Request poll{"GET", "/submissions/req-000001", {}};
  const Instant t = Instant{} + from_seconds(10);
  const auto broken = [&](const std::vector<Response>& given, const Request& last) {
    Checker c(settings);
    for (std::size_t i = 0; i < given.size(); ++i)
      c.given(t, "c" + std::to_string(i), i + 1 == given.size() ? last : poll, given[i]);
    return c.broken().contains("older_answer");
  };
  const Request submit{"POST", "/submissions", encode(Value::Map{{"ref", "req-000001"}})};
  const Request withdraw{"POST", "/submissions/req-000001/withdraw", {}};
  EXPECT_FALSE(broken({{200, body("pending"), 0}, {200, body("done"), 0}}, poll));
  EXPECT_FALSE(broken({{200, body("done"), 0}, {503, {}, 1}}, poll));
  EXPECT_TRUE(broken({{200, body("done"), 0}, {200, body("running"), 0}}, poll));
  EXPECT_TRUE(broken({{200, body("pending"), 0}, {404, {}, 0}}, poll));
  EXPECT_TRUE(broken({{200, body("pending"), 0}, {422, {}, 0}}, submit));
  EXPECT_TRUE(broken({{200, body("pending"), 0}, {404, {}, 0}}, withdraw));
  EXPECT_TRUE(broken({{200, body("withdrawn"), 0}, {200, body("pending"), 0}}, submit));
  Checker c(settings);
  c.never_submitted("req-000001");
  c.answered_submit(t, "req-000001", 422);
  EXPECT_TRUE(c.broken().empty());
  c.answered_submit(t, "req-000001", 201);
  EXPECT_TRUE(c.broken().contains("accepted_in_vain"));
}

namespace {

struct Meeting {
  const char* with;  ///< what the close looks meet; empty: nothing
  double at;
  double lasts;
  const char* whom;
};

}  // namespace

TEST(CloseLooks, KeepTheOrderWhateverTheyMeet) {
  const std::vector<Meeting> meetings = {{"", 0, 0, ""},
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
  for (std::size_t m = 0; m < meetings.size(); ++m) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      World w(700 + 10 * m + seed);
      w.inject_fault({"close_looks", {}, from_seconds(110), {}, "", 0});
      w.inject_fault({"cancel_at_end", {}, from_seconds(110), {}, "", 0.3});
      w.at(from_seconds(10), [&w] { w.inject_fault({"odd_requests", {}, from_seconds(70), {}, "", 0}); });
      for (int i = 0; i < 60; ++i) {
        SimulatedJob job;
        job.spec = World::job(i, 1 + static_cast<std::uint32_t>(w.pick(2)), 1, w.uniform(1, 8));
        job.run_time = job.spec.expected_runtime;
        w.at(from_seconds(8 + i * 1.0), [&w, job] { w.submit(job); });
        if (i % 4 == 1)
          w.at(from_seconds(8 + i + w.uniform(0, 6)), [&w, job_id = job.spec.job_id] { w.cancel(job_id); });
      }
      const Meeting& t = meetings[m];
      if (*t.with != 0)
        w.at(from_seconds(t.at), [&w, t] {
          w.inject_fault({t.with, {}, from_seconds(t.lasts), {}, t.whom, 0});
        });
      w.run(from_seconds(100));
      w.heal();
      w.checker.troubles_over(w.now());
      w.run(from_seconds(200));
      w.checker.judge(w.now());
      EXPECT_TRUE(w.checker.broken().empty()) << t.with << " seed " << seed << "\n"
                                              << notes(w).substr(0, 1500);
      EXPECT_EQ(w.live(), 0U) << t.with << " seed " << seed;
    }
  }
}
