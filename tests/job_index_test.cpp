// Tests of the index of live jobs: one request answers all queued queries, and no answer is older than its
// request, even if requests or replies are lost or the state service compacts its change log.

#include "wrenusher/job_api/job_index.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "manual_runtime.hpp"
#include "wrenusher/testbed/world.hpp"

namespace {

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using wrenusher::job_api::JobIndex;
using wrenusher::kv_client::KvClient;
using wrenusher::settings::Settings;
using wrenusher::testbed::World;
namespace records = wrenusher::records;
using Presence = JobIndex::Presence;

/// Fake state service that stores job records and their change log, and serves list and follow requests as
/// PROTOCOL specifies.
class FakeStateService {
 public:
  void accept(const std::string& job_id) { put(records::job_key(job_id), record(false)); }
  void cancel(const std::string& job_id) { put(records::job_key(job_id), record(true)); }
  void end(const std::string& job_id, const char* state) {
    ++revision_;
    rows_by_key_.erase(records::job_key(job_id));
    changes_.push_back({revision_, records::job_key(job_id), std::nullopt});
    set(records::final_state_key(job_id), records::write_final_state(state, 1));
  }
  void compact_changes() { compacted_revision_ = revision_; }

  Response answer(const Request& request) const {
    const auto parameter = [&](const std::string& name) {
      const auto at = request.target.find(name + "=");
      if (at == std::string::npos) return std::string();
      const auto begin = at + name.size() + 1;
      return request.target.substr(begin, request.target.find('&', begin) - begin);
    };
    if (request.target.starts_with("/follow"))
      return follow(parameter("starts"), std::stoull(parameter("from")));
    return list(parameter("starts"), parameter("from"), std::stoul(parameter("limit")));
  }
  std::uint64_t revision() const { return revision_; }
  /// Returns the job's presence at that revision.
  Presence presence_at(const std::string& job_id, std::uint64_t revision) const {
    Presence presence = Presence::absent;
    for (const Change& change : changes_) {
      if (change.revision > revision || change.key != records::job_key(job_id)) continue;
      presence = !change.value                                       ? Presence::absent
                 : records::cancelled_job(change.key, *change.value) ? Presence::cancelled
                                                                     : Presence::live;
    }
    return presence;
  }

 private:
  struct Change {
    std::uint64_t revision;
    std::string key;
    std::optional<Value> value;
  };
  static Value record(bool cancelled) {
    const Value job = records::write_job(World::job(0, 1, 1, 10), {}, 100);
    return cancelled ? records::cancelled_record(job) : job;
  }
  void put(const std::string& key, Value value) {
    ++revision_;
    set(key, std::move(value));
  }
  void set(const std::string& key, Value value) {
    rows_by_key_[key] = {revision_, value};
    changes_.push_back({revision_, key, std::move(value)});
  }
  Response follow(const std::string& prefix, std::uint64_t from) const {
    if (from < compacted_revision_) return {410, {}, 0};
    Value::List events;
    for (const Change& change : changes_) {
      if (change.revision <= from || !change.key.starts_with(prefix)) continue;
      Value::Map event{{change.value ? "put" : "delete", change.key}, {"stamp", change.revision}};
      if (change.value) event.emplace_back("value", *change.value);
      events.emplace_back(std::move(event));
    }
    return {200, encode(Value::Map{{"ledger_rev", revision_}, {"events", std::move(events)}}), 0};
  }
  Response list(const std::string& prefix, const std::string& from, std::size_t limit) const {
    Value::List rows;
    bool truncated = false;
    for (const auto& [key, entry] : rows_by_key_) {
      if (!key.starts_with(prefix) || key <= from) continue;
      truncated = rows.size() == limit;
      if (truncated) break;
      rows.emplace_back(Value::Map{{"k", key}, {"value", entry.second}, {"stamp", entry.first}});
    }
    return {
        200,
        encode(Value::Map{{"rows", std::move(rows)}, {"truncated", truncated}, {"ledger_rev", revision_}}),
        0};
  }

  std::uint64_t revision_ = 0;
  std::uint64_t compacted_revision_ = 0;
  std::map<std::string, std::pair<std::uint64_t, Value>> rows_by_key_;
  std::vector<Change> changes_;
};

struct JobIndexFixture {
  Settings settings = [] {
    Settings result = World::small_site();
    result.state_rps = 1e6;
    return result;
  }();
  ManualRuntime runtime;
  KvClient store{runtime, settings};
  JobIndex index{runtime, store};
  FakeStateService service;
  int requests = 0;
  std::map<std::string, std::string> ended;
  std::map<Instant, std::uint64_t> revision_at;

  JobIndexFixture() {
    index.on_ended = [this](const std::string& job_id, const std::string& state, std::uint64_t) {
      ended[job_id] = state;
    };
  }
  void answer(const ManualRuntime::Call& call) { call.done({true, true, service.answer(call.request)}); }
  /// Advances the clock, and stores the state service's revision at each time at which a request may be sent.
  void pass(Micros time) {
    runtime.pass(time);
    revision_at.emplace(runtime.at, service.revision());
  }
  /// Answers all pending calls and the calls that follow from the replies.
  void answer_all_calls() {
    for (int i = 0; i < 100; ++i) {
      pass(from_millis(10));
      for (const ManualRuntime::Call& call : std::exchange(runtime.calls, {})) {
        ++requests;
        answer(call);
      }
    }
  }
  void load_index() {
    index.load();
    answer_all_calls();
    requests = 0;
  }
  static std::string job_id_at(int i) { return "req-" + std::to_string(100000 + i); }
};

TEST(JobIndexTest, OneRequestAnswersAllQueuedQueries) {
  for (const int jobs : {10, 1000}) {
    JobIndexFixture fixture;
    for (int i = 0; i < jobs; ++i) fixture.service.accept(JobIndexFixture::job_id_at(i));
    fixture.load_index();
    ASSERT_TRUE(fixture.index.complete());
    ASSERT_EQ(fixture.index.size(), static_cast<std::size_t>(jobs));
    fixture.service.cancel(JobIndexFixture::job_id_at(3));
    int live = 0;
    int cancelled = 0;
    for (int i = 0; i < 800; ++i) {
      fixture.index.query(JobIndexFixture::job_id_at(i % jobs), [&](const JobIndex::Lookup& result) {
        live += result.presence == Presence::live;
        cancelled += result.presence == Presence::cancelled;
      });
    }
    fixture.answer_all_calls();
    EXPECT_EQ(live + cancelled, 800);
    EXPECT_EQ(cancelled, 800 / jobs + (800 % jobs > 3 ? 1 : 0));
    EXPECT_EQ(fixture.requests, 1) << jobs << " jobs";
  }
}

TEST(JobIndexTest, FinalStatesOfAllEndedJobsTakeOneMoreRequest) {
  JobIndexFixture fixture;
  for (int i = 0; i < 300; ++i) fixture.service.accept(JobIndexFixture::job_id_at(i));
  fixture.load_index();
  for (int i = 0; i < 300; ++i)
    fixture.service.end(JobIndexFixture::job_id_at(i), i % 2 == 0 ? "done" : "withdrawn");
  int absent = 0;
  for (int i = 0; i < 300; ++i) {
    fixture.index.query(JobIndexFixture::job_id_at(i), [&, i](const JobIndex::Lookup& result) {
      absent += result.presence == Presence::absent;
      EXPECT_EQ(fixture.ended[JobIndexFixture::job_id_at(i)],
                i % 2 == 0 ? "done" : "withdrawn");  // `on_ended` was called before
    });
  }
  fixture.answer_all_calls();
  EXPECT_EQ(absent, 300);
  EXPECT_EQ(fixture.requests, 2);
}

TEST(JobIndexTest, ReloadsAfterCompactionOrRevisionRollback) {
  for (const bool compacted : {true, false}) {
    JobIndexFixture fixture;
    fixture.service.accept(JobIndexFixture::job_id_at(1));
    for (int i = 2; i < 9; ++i) fixture.service.accept(JobIndexFixture::job_id_at(i));
    fixture.load_index();
    if (compacted) {
      fixture.service.end(JobIndexFixture::job_id_at(1), "done");
      fixture.service.compact_changes();
    } else {
      fixture.service = {};
      fixture.service.accept(JobIndexFixture::job_id_at(20));
    }
    std::map<int, Presence> reported;
    const auto query = [&](int i) {
      fixture.index.query(JobIndexFixture::job_id_at(i),
                          [&, i](const JobIndex::Lookup& result) { reported[i] = result.presence; });
    };
    query(1);
    fixture.answer_all_calls();
    EXPECT_EQ(reported, (std::map<int, Presence>{{1, Presence::failed}})) << compacted;
    EXPECT_TRUE(fixture.index.complete());
    const int live = compacted ? 2 : 20;
    query(1);
    query(live);
    fixture.answer_all_calls();
    EXPECT_EQ(reported, (std::map<int, Presence>{{1, Presence::absent}, {live, Presence::live}}))
        << compacted;
  }
}

// Queries arrive continuously and use only the requests that others leave. Three quarters of the rate limit
// are available to other requests without delay.
TEST(JobIndexTest, RefreshesLeaveMostOfTheRateLimitToOtherRequests) {
  JobIndexFixture fixture;
  fixture.settings.state_rps = 20;
  KvClient limited_store{fixture.runtime, fixture.settings};
  JobIndex index{fixture.runtime, limited_store};
  index.load();
  fixture.answer_all_calls();
  fixture.requests = 0;
  int queries = 0;
  int answered = 0;
  int other_requests = 0;
  Micros longest_wait{};
  for (int i = 0; i < 2000; ++i) {
    ++queries;
    index.query(JobIndexFixture::job_id_at(i),
                [&](const JobIndex::Lookup& result) { answered += result.presence == Presence::absent; });
    if (i % 8 == 0) {
      limited_store.list("x/", "", 1, KvClient::RequestClass::user,
                         [&, sent_at = fixture.runtime.at](const wrenusher::kv_client::ReadReply&) {
                           ++other_requests;
                           longest_wait =
                               std::max(longest_wait,
                                        std::chrono::duration_cast<Micros>(fixture.runtime.at - sent_at));
                         });
    }
    fixture.runtime.pass(from_millis(10));
    for (const ManualRuntime::Call& call : std::exchange(fixture.runtime.calls, {})) {
      ++fixture.requests;
      fixture.answer(call);
    }
  }
  EXPECT_EQ(other_requests, 250);  // 12.5 per second, out of 19 available
  EXPECT_LE(longest_wait, from_millis(300));
  EXPECT_GE(fixture.requests - other_requests, 20 * 4);
  EXPECT_GE(answered, queries - 100);
}

// Requests and replies are lost, rejected or late, changes are compacted, and jobs are accepted, cancelled
// and finished in the meantime. Each reported presence was valid at some time between the request and its
// reply.
RC_GTEST_PROP(JobIndexTest, ReportsNoPresenceOlderThanItsRequest, ()) {
  JobIndexFixture fixture;
  for (int i = 0; i < 5; ++i) fixture.service.accept(JobIndexFixture::job_id_at(i));
  fixture.index.load();
  const int steps = *rc::gen::inRange(20, 200);
  int reported = 0;
  for (int step = 0; step < steps; ++step) {
    const std::string job_id = JobIndexFixture::job_id_at(*rc::gen::inRange(0, 12));
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        if (fixture.service.presence_at(job_id, fixture.service.revision()) == Presence::absent &&
            !fixture.ended.contains(job_id))
          fixture.service.accept(job_id);
        break;
      case 1:
        if (fixture.service.presence_at(job_id, fixture.service.revision()) == Presence::live)
          fixture.service.cancel(job_id);
        break;
      case 2:
        if (fixture.service.presence_at(job_id, fixture.service.revision()) != Presence::absent)
          fixture.service.end(job_id, "done");
        break;
      case 3:
        if (*rc::gen::inRange(0, 10) == 0) fixture.service.compact_changes();
        break;
      default:
        fixture.index.query(job_id, [&, job_id](const JobIndex::Lookup& result) {
          if (result.presence == Presence::failed) return;
          ++reported;
          bool was_valid = false;
          for (std::uint64_t revision = fixture.revision_at.at(result.request_sent_at);
               revision <= fixture.service.revision(); ++revision)
            was_valid = was_valid || fixture.service.presence_at(job_id, revision) == result.presence;
          RC_ASSERT(was_valid);
        });
    }
    fixture.pass(from_millis(*rc::gen::element(1, 10, 30, 800)));
    auto calls = std::exchange(fixture.runtime.calls, {});
    for (const ManualRuntime::Call& call : calls) {
      const int outcome = *rc::gen::inRange(0, 10);
      if (outcome == 0) {
        call.done({false, true, {}});
      } else if (outcome == 1) {
        call.done({true, true, {503, {}, 1}});
      } else {
        const Response response = fixture.service.answer(call.request);
        // The job ends while the reply is in transit.
        if (outcome == 2 &&
            fixture.service.presence_at(job_id, fixture.service.revision()) != Presence::absent)
          fixture.service.end(job_id, "done");
        call.done({true, true, response});
      }
    }
  }
  fixture.answer_all_calls();
  RC_CLASSIFY(reported > 10);
}

}  // namespace
