// Rate limits and queues of KvClient: user reads, user writes, scheduling commits and background calls share
// one rate.

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

/// A single node whose state service replies 200 to every call at once.
struct KvClientFixture {
  Settings settings = [] {
    Settings site = World::small_site();
    site.state_rps = 100;
    site.state_write_rps = 10;
    return site;
  }();
  ManualRuntime runtime;
  KvClient store{runtime, settings};
  int reads = 0;    ///< number of reads that reached the service
  int commits = 0;  ///< number of commits that reached the service

  void advance(Micros duration) {
    for (Micros elapsed{}; elapsed < duration; elapsed += from_millis(10)) {
      runtime.pass(from_millis(10));
      reply_to_calls();
    }
  }
  void reply_to_calls() {
    while (!runtime.calls.empty()) {
      const auto calls = std::exchange(runtime.calls, {});
      for (const ManualRuntime::Call& call : calls) {
        (call.request.method == "GET" ? reads : commits) += 1;
        call.done({true, true, {200, encode(Value::Map{{"ledger_rev", 5}, {"value", 1}}), 0}});
      }
    }
  }
  void submit_commit(KvClient::RequestClass request_class, int put_count,
                     std::function<void(CommitReply)> done) {
    std::vector<Mutation> mutations;
    for (int i = 0; i < put_count; ++i) mutations.push_back({"k" + std::to_string(i), Value(1), 0});
    store.commit({}, mutations, request_class, std::move(done));
  }
  /// Uses up the write tokens that have accumulated.
  void drain_write_tokens() {
    submit_commit(KvClient::RequestClass::lease, 10, [](const CommitReply&) {});
    reply_to_calls();
  }
};

// Guards against reads that wait behind submissions waiting for write tokens while a third of the request
// rate is unused.
TEST(KvClientTest, ReadsDoNotWaitBehindWrites) {
  KvClientFixture fixture;
  fixture.drain_write_tokens();
  for (int i = 0; i < 20; ++i)
    fixture.submit_commit(KvClient::RequestClass::user, 1, [](const CommitReply&) {});
  int replied = 0;
  for (int i = 0; i < 30; ++i) {
    fixture.store.get("x", KvClient::RequestClass::user,
                      [&](const ReadReply& reply) { replied += reply.result == ReadReply::Result::ok; });
  }
  fixture.advance(from_millis(200));
  EXPECT_EQ(replied, 30);
  EXPECT_LE(fixture.commits, 4);
  fixture.advance(from_seconds(3));
  EXPECT_GE(fixture.commits, 20);
}

TEST(KvClientTest, WritesProceedDuringBurstOfReads) {
  KvClientFixture fixture;
  int committed = 0;
  for (int second = 0; second < 5; ++second) {
    for (int i = 0; i < 100; ++i) {
      for (int read = 0; read < 3; ++read)
        fixture.store.get("x", KvClient::RequestClass::user, [](const ReadReply&) {});
      if (i % 10 == 0) {
        for (const auto request_class : {KvClient::RequestClass::user, KvClient::RequestClass::scheduling}) {
          if (i % 20 == 0)
            fixture.submit_commit(request_class, 1, [&](const CommitReply& reply) {
              committed += reply.result == CommitReply::Result::committed;
            });
        }
      }
      fixture.advance(from_millis(10));
    }
  }
  EXPECT_GE(committed, 45);  // 10 writes per second were submitted; the rate allows 9.5
}

// Neither kind of waiting write starves the other, though one of them needs several times as many tokens at a
// time.
TEST(KvClientTest, SchedulingAndUserWritesAlternate) {
  KvClientFixture fixture;
  int user_commits = 0;
  int scheduling_commits = 0;
  for (int i = 0; i < 200; ++i) {
    fixture.submit_commit(KvClient::RequestClass::user, 1, [&](const CommitReply& reply) {
      user_commits += reply.result == CommitReply::Result::committed;
    });
    if (i % 10 == 0)
      fixture.submit_commit(KvClient::RequestClass::scheduling, 5,
                            [&](const CommitReply&) { ++scheduling_commits; });
    fixture.advance(from_millis(100));
  }
  // 9.5 writes per second for 20 s: five for scheduling, one for a user, and so on.
  EXPECT_GE(scheduling_commits, 18);
  EXPECT_GE(user_commits, 18);
}

TEST(KvClientTest, RefusesWritesThatWouldWaitTooLong) {
  KvClientFixture fixture;
  fixture.drain_write_tokens();
  int refused = 0;
  int committed = 0;
  Instant last_commit{};
  for (int i = 0; i < 60; ++i) {
    fixture.submit_commit(KvClient::RequestClass::user, 1, [&](const CommitReply& reply) {
      if (reply.result == CommitReply::Result::committed) {
        ++committed;
        last_commit = fixture.runtime.at;
        return;
      }
      EXPECT_TRUE(reply.queue_full);
      EXPECT_EQ(reply.result, CommitReply::Result::refused);
      ++refused;
    });
  }
  const Instant submitted_at = fixture.runtime.at;
  EXPECT_GE(refused, 20);
  fixture.advance(from_seconds(8));
  EXPECT_EQ(committed + refused, 60);
  // No write waits longer than a user waits.
  EXPECT_LE(last_commit - submitted_at, from_seconds(4.5));
}

TEST(KvClientTest, RefusesUserWatchesWhenTooManyWait) {
  KvClientFixture fixture;
  int replied = 0;
  int failed = 0;
  for (int i = 0; i < 400; ++i) {
    fixture.store.watch("job/", 3, Micros{0}, KvClient::RequestClass::user, [&](const WatchReply& reply) {
      ++(reply.result == WatchReply::Result::failed ? failed : replied);
    });
  }
  fixture.advance(from_seconds(4));
  EXPECT_EQ(replied + failed, 400);
  EXPECT_GE(failed, 100);
}

TEST(KvClientTest, HasNoSpareRequestsWhileUserCallWaits) {
  KvClientFixture fixture;
  EXPECT_TRUE(fixture.store.has_spare_requests());
  fixture.drain_write_tokens();
  fixture.submit_commit(KvClient::RequestClass::user, 1, [](const CommitReply&) {});
  EXPECT_FALSE(fixture.store.has_spare_requests());
  fixture.advance(from_seconds(2));
  EXPECT_TRUE(fixture.store.has_spare_requests());
}

}  // namespace
