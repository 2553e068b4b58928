// Whose turn it is at the state service: reads, changes, scheduling and what is only spare share one pace.

#include "wrenusher/kv_client/kv_client.hpp"

#include <gtest/gtest.h>

#include "manual_runtime.hpp"
#include "wrenusher/testbed/world.hpp"

namespace {

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using wrenusher::kv_client::CommitReply;
using wrenusher::kv_client::KvClient;
using wrenusher::kv_client::Mutation;
using wrenusher::kv_client::ReadReply;
using wrenusher::kv_client::WatchReply;
using wrenusher::settings::Settings;
using wrenusher::testbed::World;

/// A node alone with a state service that answers 200 to everything, at once.
struct StoreByHand {
  Settings settings = [] {
    Settings s = World::small_site();
    s.state_rps = 100;
    s.state_write_rps = 10;
    return s;
  }();
  ByHand rt;
  KvClient store{rt, settings};
  int reads = 0;    ///< that reached the service
  int commits = 0;  ///< likewise

  void pass(Micros time) {
    for (Micros t{}; t < time; t += from_millis(10)) {
      rt.pass(from_millis(10));
      answer();
    }
  }
  void answer() {
    while (!rt.calls.empty()) {
      const auto calls = std::exchange(rt.calls, {});
      for (const ByHand::Call& c : calls) {
        (c.request.method == "GET" ? reads : commits) += 1;
        c.done({true, true, {200, encode(Value::Map{{"ledger_rev", 5}, {"value", 1}}), 0}});
      }
    }
  }
  void change(KvClient::RequestClass urgent, int puts, std::function<void(CommitReply)> done) {
    std::vector<Mutation> changes;
    for (int i = 0; i < puts; ++i) changes.push_back({"k" + std::to_string(i), Value(1), 0});
    store.commit({}, changes, urgent, std::move(done));
  }
  /// Uses up what a second's rest has left of the changes' pace.
  void use_up_changes() {
    change(KvClient::RequestClass::lease, 10, [](const CommitReply&) {});
    answer();
  }
};

// While a third of the requests' pace was left, questions waited behind submissions that waited for theirs.
TEST(StorePace, QuestionsDoNotWaitBehindChanges) {
  StoreByHand s;
  s.use_up_changes();
  for (int i = 0; i < 20; ++i) s.change(KvClient::RequestClass::user, 1, [](const CommitReply&) {});
  int answered = 0;
  for (int i = 0; i < 30; ++i) {
    s.store.get("x", KvClient::RequestClass::user,
                [&](const ReadReply& r) { answered += r.result == ReadReply::Result::ok; });
  }
  s.pass(from_millis(200));
  EXPECT_EQ(answered, 30);
  EXPECT_LE(s.commits, 4);
  s.pass(from_seconds(3));
  EXPECT_GE(s.commits, 20);
}

TEST(StorePace, ChangesGoOnWhileQuestionsStorm) {
  StoreByHand s;
  int committed = 0;
  for (int second = 0; second < 5; ++second) {
    for (int i = 0; i < 100; ++i) {
      for (int k = 0; k < 3; ++k) s.store.get("x", KvClient::RequestClass::user, [](const ReadReply&) {});
      if (i % 10 == 0) {
        for (const auto urgent : {KvClient::RequestClass::user, KvClient::RequestClass::scheduling}) {
          if (i % 20 == 0)
            s.change(urgent, 1,
                     [&](const CommitReply& c) { committed += c.result == CommitReply::Result::committed; });
        }
      }
      s.pass(from_millis(10));
    }
  }
  EXPECT_GE(committed, 45);  // 10 a second were asked for, and there is pace for 9.5
}

// Of two kinds of change that wait neither starves the other, though one needs ten times as much at a time.
TEST(StorePace, SchedulingAndUsersChangesTakeTurns) {
  StoreByHand s;
  int users = 0;
  int scheduled = 0;
  for (int i = 0; i < 200; ++i) {
    s.change(KvClient::RequestClass::user, 1,
             [&](const CommitReply& c) { users += c.result == CommitReply::Result::committed; });
    if (i % 10 == 0)
      s.change(KvClient::RequestClass::scheduling, 5, [&](const CommitReply&) { ++scheduled; });
    s.pass(from_millis(100));
  }
  // 9.5 a second for 20 s: five for scheduling, one for a user, and so on.
  EXPECT_GE(scheduled, 18);
  EXPECT_GE(users, 18);
}

TEST(StorePace, WhatWouldWaitTooLongIsRefusedAtOnceAndSaysSo) {
  StoreByHand s;
  s.use_up_changes();
  int refused = 0;
  int committed = 0;
  Instant last{};
  for (int i = 0; i < 60; ++i) {
    s.change(KvClient::RequestClass::user, 1, [&](const CommitReply& c) {
      if (c.result == CommitReply::Result::committed) {
        ++committed;
        last = s.rt.at;
        return;
      }
      EXPECT_TRUE(c.queue_full);
      EXPECT_EQ(c.result, CommitReply::Result::refused);
      ++refused;
    });
  }
  const Instant asked = s.rt.at;
  EXPECT_GE(refused, 20);
  s.pass(from_seconds(8));
  EXPECT_EQ(committed + refused, 60);
  // Nobody waits for more than a user waits.
  EXPECT_LE(last - asked, from_seconds(4.5));
}

TEST(StorePace, FollowsForUsersAreRefusedTooWhenTooManyWait) {
  StoreByHand s;
  int answered = 0;
  int failed = 0;
  for (int i = 0; i < 400; ++i) {
    s.store.watch("job/", 3, Micros{0}, KvClient::RequestClass::user, [&](const WatchReply& f) {
      ++(f.result == WatchReply::Result::failed ? failed : answered);
    });
  }
  s.pass(from_seconds(4));
  EXPECT_EQ(answered + failed, 400);
  EXPECT_GE(failed, 100);
}

TEST(StorePace, SparesNothingWhileAnythingWaits) {
  StoreByHand s;
  EXPECT_TRUE(s.store.has_spare_requests());
  s.use_up_changes();
  s.change(KvClient::RequestClass::user, 1, [](const CommitReply&) {});
  EXPECT_FALSE(s.store.has_spare_requests());
  s.pass(from_seconds(2));
  EXPECT_TRUE(s.store.has_spare_requests());
}

}  // namespace
