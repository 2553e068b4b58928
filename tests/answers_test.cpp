// The order that answers to users keep over all nodes, by when each is given: docs/design.md, "The order of
// answers". A meeting of close looks: users ask at all nodes, within milliseconds and again, right after a
// job was accepted, has ended or was cancelled.

#include <gtest/gtest.h>

#include <queue>

#include "desk_by_hand.hpp"
#include "judged.hpp"

using namespace wrenusher::lab;
using namespace wrenusher::protocol;
using wrenusher::desk::AnswerOrder;
using wrenusher::mail::Announcement;
using wrenusher::mail::Level;

namespace {

/// Three nodes by their AnswerOrder alone, one job, and a state service and peers that answer whenever they
/// like: reads take up to their full life, announcements are late or lost, links are cut for a while.
class Nodes {
 public:
  explicit Nodes(std::uint64_t seed) : random_(seed) {
    accepted_ = at(uniform(100, 1500));
    over_ = accepted_ + millis(uniform(0, 3000));
    slow_ = pick(3) == 0 ? 1450 : pick(2) == 0 ? 300 : 20;
    for (int i = 0; i < 3; ++i) nodes_.emplace_back();
    cut_ = pick(3) == 0 ? pick(3) : -1;
    for (int n = 0; n < 3; ++n) post(at(-1000 + uniform(0, 500)), [this, n] { beat(n); });
    for (int i = 0; i < 150; ++i) {
      // Mostly around the two changes.
      const auto when = pick(3) == 0   ? at(uniform(0, 6000))
                        : pick(2) == 0 ? accepted_ + millis(uniform(-100, 300))
                                       : over_ + millis(uniform(-100, 1700));
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
  static Instant at(int ms) { return Instant{} + from_seconds(10) + millis(ms); }
  int uniform(int a, int b) { return std::uniform_int_distribution<int>(a, b)(random_); }
  int pick(int n) { return uniform(0, n - 1); }
  void post(Instant when, std::function<void()> f) {
    events_.push({std::max(when, now_), ++made_, std::make_shared<std::function<void()>>(std::move(f))});
  }
  void later(int ms, std::function<void()> f) { post(now_ + millis(ms), std::move(f)); }
  Level stored() const {
    return now_ >= over_ ? Level::over : now_ >= accepted_ ? Level::accepted : Level::absent;
  }

  void ask(int n, int tries) {
    if (tries == 0) return;
    const int there = uniform(1, slow_ / 2);
    const int back = uniform(1, pick(5) == 0 ? 1490 - there : slow_ / 2);
    later(there, [this, n, tries, back, sent = now_] {
      const Level level = stored();
      later(back, [this, n, tries, sent, level] {
        if (!nodes_[n].order.stands("j", level, sent, now_)) {
          ask(n, tries - 1);
        } else {
          tell(n, level, sent);
        }
      });
    });
  }
  void tell(int n, Level level, Instant sent) {
    Node& node = nodes_[n];
    node.order.seen("j", level, now_);
    const Instant when = node.order.may_tell("j", level, now_);
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
        nodes_[peer].order.announced("j", level, now_);
        later(uniform(1, 10), [this, n, peer, level] {
          Node& teller = nodes_[n];
          teller.knows[level == Level::over ? 1 : 0].insert(peer);
          if (teller.knows[level == Level::over ? 1 : 0].size() < 2) return;
          teller.order.confirmed("j", level);
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
          for (const Level level : all) node.order.announced("j", level, now_);
          node.reached[peer] = std::max(node.reached[peer], asked);
          Instant through = Instant::max();
          for (int other = 0; other < 3; ++other) {
            if (other != n) through = std::min(through, node.reached[other]);
          }
          node.order.in_touch(through);
        });
      });
    }
    if (now_ < at(8000)) later(500, [this, n] { beat(n); });
  }
  void release(int n, Level level) {
    std::vector<std::pair<Level, Instant>> out;
    std::erase_if(nodes_[n].waiting, [&](const auto& w) {
      if (w.first == level) out.push_back(w);
      return w.first == level;
    });
    for (const auto& [l, sent] : out) give(n, l, sent);
  }
  void give(int n, Level level, Instant sent) {
    if (!nodes_[n].order.stands("j", level, sent, now_)) {
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
    AnswerOrder order{false};
    std::vector<std::pair<Level, Instant>> waiting;
    std::array<std::set<int>, 2> knows;
    std::set<Level> announced;
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
  Level told_ = Level::absent;
  std::string broken_;
};

}  // namespace

TEST(AnswerOrder, NoNodeGivesAnOlderAnswerThanAnyHasGiven) {
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

TEST(AnswerOrder, WhatHasBeenKnownForAWhileOrIsConfirmedIsToldAtOnce) {
  const Instant t = Instant{} + from_seconds(100);
  AnswerOrder order(false);
  order.seen("a", Level::accepted, t);
  EXPECT_GT(order.may_tell("a", Level::accepted, t), t);
  EXPECT_EQ(order.may_tell("a", Level::accepted, t + millis(200)), t + millis(200));
  order.confirmed("a", Level::accepted);
  EXPECT_EQ(order.may_tell("a", Level::accepted, t), t);
  order.seen("a", Level::over, t + from_seconds(1));
  EXPECT_GT(order.may_tell("a", Level::over, t + from_seconds(2)), t + from_seconds(2));
  EXPECT_EQ(order.may_tell("a", Level::over, t + from_seconds(3)), t + from_seconds(3));
  // Announced, it takes less.
  order.seen("b", Level::over, t);
  order.announce("b", Level::over, t);
  EXPECT_GT(order.may_tell("b", Level::over, t + millis(500)), t + millis(500));
  EXPECT_EQ(order.may_tell("b", Level::over, t + millis(700)), t + millis(700));
  // Where there is no other node, nobody else can say anything.
  AnswerOrder alone(true);
  alone.seen("a", Level::over, t);
  EXPECT_EQ(alone.may_tell("a", Level::over, t), t);
}

// At its bound and past it: what is forgotten is announced anew, and nothing is forgotten that an answer
// still on its way could be older than.
TEST(AnswerOrder, WhatIsForgottenIsAnnouncedAnew) {
  const Instant t = Instant{} + from_seconds(100);
  AnswerOrder order(false);
  const auto at = [&](int i) { return t + wrenusher::base::Micros{50 * static_cast<std::int64_t>(i)}; };
  constexpr int kAll = 20000;  // in one second
  for (int i = 0; i < kAll; ++i) {
    order.seen("j" + std::to_string(i), Level::over, at(i));
    const int old = std::max(0, i - 15000);
    ASSERT_FALSE(order.stands("j" + std::to_string(old), Level::accepted, at(old - 1), at(i)));
  }
  EXPECT_EQ(order.kept(), static_cast<std::size_t>(kAll));
  const Instant later = t + from_seconds(20);
  order.seen("one more", Level::over, later);
  EXPECT_LT(order.kept(), 9000U);
  EXPECT_GT(order.may_tell("j0", Level::over, later), later);
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
    d.rt.pass(millis(1));
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
  d.rt.pass(millis(1));
  d.poll();
  DeskByHand::answer(d.sent(), 404, DeskByHand::none(9));
  DeskByHand::answer(d.sent(), 200, d.over());
  ASSERT_EQ(d.states, std::vector<std::string>{"done"});
  d.rt.pass(millis(1));
  const std::string ref = d.ref;
  for (int i = 0; i < 12100; ++i) {
    d.ref = "req-" + std::to_string(200000 + i);
    d.poll();
    for (int k = 0; k < 50 && d.rt.calls.empty(); ++k) d.rt.pass(wrenusher::base::Micros{50});
    DeskByHand::answer(d.sent(), 404, DeskByHand::none(10));
    DeskByHand::answer(d.sent(), 200, d.over());
    d.rt.pass(wrenusher::base::Micros{100});
  }
  d.ref = ref;
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
    EXPECT_EQ(d.announced[0].level, Level::over);
    d.rt.pass(millis(500));
    EXPECT_TRUE(d.states.empty());
    if (confirmed) {
      d.desk.on_confirmed(d.announced[0]);
    } else {
      d.rt.pass(millis(200));
    }
    EXPECT_EQ(d.states, std::vector<std::string>{"withdrawn"}) << confirmed;
  }
}

// An answer that took long is given while the peers are in touch, who would have announced what is newer.
// Else the state service is asked again.
TEST(CloseLooks, ASlowAnswerIsGivenOnlyWhileThePeersAreInTouch) {
  for (const bool in_touch : {true, false}) {
    DeskByHand d(2);
    d.desk.on_followed({{d.ref}, {}});
    d.rt.pass(from_seconds(1));
    d.poll();
    const auto slow = d.sent();
    d.rt.pass(millis(700));
    for (const char* peer : {"c1", "c2"}) {
      wrenusher::mail::PeerNews news;
      news.node = peer;
      if (in_touch || *(peer + 1) == '1') news.reached = d.rt.at - millis(400);
      d.desk.on_peer(news);
    }
    DeskByHand::answer(slow, 200, d.live(5, false));
    EXPECT_EQ(d.states.size(), in_touch ? 1U : 0U);
  }
}

TEST(CloseLooks, WhatAPeerIsAboutToTellIsAskedForAnew) {
  DeskByHand d(2);
  d.poll();
  const auto old = d.sent();
  d.desk.on_announced({d.ref, Level::over});
  d.rt.pass(millis(1));
  DeskByHand::answer(old, 200, d.live(5, false));
  EXPECT_TRUE(d.states.empty());
  DeskByHand::answer(d.sent(), 409, Value::Map{{"failed", Value::List{"job/" + d.ref}}, {"ledger_rev", 9}});
  DeskByHand::answer(d.sent(), 404, DeskByHand::none(9));
  DeskByHand::answer(d.sent(), 200, d.over());
  ASSERT_FALSE(d.announced.empty());
  d.desk.on_confirmed(d.announced.back());
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
  c.never("req-000001");
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
      w.strike({"close_looks", {}, from_seconds(110), {}, "", 0});
      w.strike({"cancel_at_end", {}, from_seconds(110), {}, "", 0.3});
      w.at(from_seconds(10), [&w] { w.strike({"odd_requests", {}, from_seconds(70), {}, "", 0}); });
      for (int i = 0; i < 60; ++i) {
        JobTruth job;
        job.spec = World::job(i, 1 + static_cast<std::uint32_t>(w.pick(2)), 1, w.uniform(1, 8));
        job.run = job.spec.expected;
        w.at(from_seconds(8 + i * 1.0), [&w, job] { w.submit(job); });
        if (i % 4 == 1)
          w.at(from_seconds(8 + i + w.uniform(0, 6)), [&w, ref = job.spec.ref] { w.withdraw(ref); });
      }
      const Meeting& t = meetings[m];
      if (*t.with != 0)
        w.at(from_seconds(t.at), [&w, t] { w.strike({t.with, {}, from_seconds(t.lasts), {}, t.whom, 0}); });
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
