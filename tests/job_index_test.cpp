// The index of live jobs: one request answers all questions that wait, and no answer is older than its
// request, whatever becomes of requests, answers and the state service's memory of changes.

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
using Standing = JobIndex::Presence;

/// The state service's keys of jobs with every change, read and followed as PROTOCOL has it.
class Service {
 public:
  void accept(const std::string& job_id) { put(records::job_key(job_id), record(false)); }
  void cancel(const std::string& job_id) { put(records::job_key(job_id), record(true)); }
  void end(const std::string& job_id, const char* state) {
    ++revision_;
    keys_.erase(records::job_key(job_id));
    changes_.push_back({revision_, records::job_key(job_id), std::nullopt});
    set(records::final_state_key(job_id), records::write_final_state(state, 1));
  }
  void forget_changes() { kept_from_ = revision_; }

  Response answer(const Request& r) const {
    const auto parameter = [&](const std::string& name) {
      const auto at = r.target.find(name + "=");
      if (at == std::string::npos) return std::string();
      const auto begin = at + name.size() + 1;
      return r.target.substr(begin, r.target.find('&', begin) - begin);
    };
    if (r.target.starts_with("/follow")) return follow(parameter("starts"), std::stoull(parameter("from")));
    return list(parameter("starts"), parameter("from"), std::stoul(parameter("limit")));
  }
  std::uint64_t revision() const { return revision_; }
  /// How the job stood at that revision.
  Standing at(const std::string& job_id, std::uint64_t revision) const {
    Standing s = Standing::absent;
    for (const Change& c : changes_) {
      if (c.revision > revision || c.key != records::job_key(job_id)) continue;
      s = !c.value                                  ? Standing::absent
          : records::cancelled_job(c.key, *c.value) ? Standing::cancelled
                                                    : Standing::live;
    }
    return s;
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
    keys_[key] = {revision_, value};
    changes_.push_back({revision_, key, std::move(value)});
  }
  Response follow(const std::string& prefix, std::uint64_t from) const {
    if (from < kept_from_) return {410, {}, 0};
    Value::List events;
    for (const Change& c : changes_) {
      if (c.revision <= from || !c.key.starts_with(prefix)) continue;
      Value::Map e{{c.value ? "put" : "delete", c.key}, {"stamp", c.revision}};
      if (c.value) e.emplace_back("value", *c.value);
      events.emplace_back(std::move(e));
    }
    return {200, encode(Value::Map{{"ledger_rev", revision_}, {"events", std::move(events)}}), 0};
  }
  Response list(const std::string& prefix, const std::string& from, std::size_t limit) const {
    Value::List rows;
    bool more = false;
    for (const auto& [key, entry] : keys_) {
      if (!key.starts_with(prefix) || key <= from) continue;
      more = rows.size() == limit;
      if (more) break;
      rows.emplace_back(Value::Map{{"k", key}, {"value", entry.second}, {"stamp", entry.first}});
    }
    return {200,
            encode(Value::Map{{"rows", std::move(rows)}, {"truncated", more}, {"ledger_rev", revision_}}), 0};
  }

  std::uint64_t revision_ = 0;
  std::uint64_t kept_from_ = 0;
  std::map<std::string, std::pair<std::uint64_t, Value>> keys_;
  std::vector<Change> changes_;
};

struct IndexByHand {
  Settings settings = [] {
    Settings s = World::small_site();
    s.state_rps = 1e6;
    return s;
  }();
  ByHand rt;
  KvClient store{rt, settings};
  JobIndex index{rt, store};
  Service service;
  int requests = 0;
  std::map<std::string, std::string> ended;
  std::map<Instant, std::uint64_t> revision_at;

  IndexByHand() {
    index.on_ended = [this](const std::string& job_id, const std::string& state, std::uint64_t) {
      ended[job_id] = state;
    };
  }
  void answer(const ByHand::Call& c) { c.done({true, true, service.answer(c.request)}); }
  /// The clock moves; the state service's revision at each moment at which a request may go out is kept.
  void pass(Micros time) {
    rt.pass(time);
    revision_at.emplace(rt.at, service.revision());
  }
  /// Answers all that is asked for, and what comes of it.
  void settle() {
    for (int i = 0; i < 100; ++i) {
      pass(from_millis(10));
      for (const ByHand::Call& c : std::exchange(rt.calls, {})) {
        ++requests;
        answer(c);
      }
    }
  }
  void begin() {
    index.load();
    settle();
    requests = 0;
  }
  static std::string ref(int i) { return "req-" + std::to_string(100000 + i); }
};

TEST(JobIndex, OneRequestAnswersAllQuestionsThatWaitHoweverManyJobsAreLive) {
  for (const int jobs : {10, 1000}) {
    IndexByHand d;
    for (int i = 0; i < jobs; ++i) d.service.accept(IndexByHand::ref(i));
    d.begin();
    ASSERT_TRUE(d.index.complete());
    ASSERT_EQ(d.index.size(), static_cast<std::size_t>(jobs));
    d.service.cancel(IndexByHand::ref(3));
    int live = 0;
    int cancelled = 0;
    for (int i = 0; i < 800; ++i) {
      d.index.query(IndexByHand::ref(i % jobs), [&](const JobIndex::Lookup& a) {
        live += a.presence == Standing::live;
        cancelled += a.presence == Standing::cancelled;
      });
    }
    d.settle();
    EXPECT_EQ(live + cancelled, 800);
    EXPECT_EQ(cancelled, 800 / jobs + (800 % jobs > 3 ? 1 : 0));
    EXPECT_EQ(d.requests, 1) << jobs << " jobs";
  }
}

TEST(JobIndex, JobsThatHaveEndedCostOneRequestMoreHoweverMany) {
  IndexByHand d;
  for (int i = 0; i < 300; ++i) d.service.accept(IndexByHand::ref(i));
  d.begin();
  for (int i = 0; i < 300; ++i) d.service.end(IndexByHand::ref(i), i % 2 == 0 ? "done" : "withdrawn");
  int absent = 0;
  for (int i = 0; i < 300; ++i) {
    d.index.query(IndexByHand::ref(i), [&, i](const JobIndex::Lookup& a) {
      absent += a.presence == Standing::absent;
      EXPECT_EQ(d.ended[IndexByHand::ref(i)], i % 2 == 0 ? "done" : "withdrawn");  // told before
    });
  }
  d.settle();
  EXPECT_EQ(absent, 300);
  EXPECT_EQ(d.requests, 2);
}

TEST(JobIndex, IsReadAnewWhenTheStateServiceHasForgottenOrWentBack) {
  for (const bool forgets : {true, false}) {
    IndexByHand d;
    d.service.accept(IndexByHand::ref(1));
    for (int i = 2; i < 9; ++i) d.service.accept(IndexByHand::ref(i));
    d.begin();
    if (forgets) {
      d.service.end(IndexByHand::ref(1), "done");
      d.service.forget_changes();
    } else {
      d.service = {};
      d.service.accept(IndexByHand::ref(20));
    }
    std::map<int, Standing> told;
    const auto ask = [&](int i) {
      d.index.query(IndexByHand::ref(i), [&, i](const JobIndex::Lookup& a) { told[i] = a.presence; });
    };
    ask(1);
    d.settle();
    EXPECT_EQ(told, (std::map<int, Standing>{{1, Standing::failed}})) << forgets;
    EXPECT_TRUE(d.index.complete());
    const int live = forgets ? 2 : 20;
    ask(1);
    ask(live);
    d.settle();
    EXPECT_EQ(told, (std::map<int, Standing>{{1, Standing::absent}, {live, Standing::live}})) << forgets;
  }
}

// Questions come without end, and take what nobody else wants. Three quarters of the pace are there at once
// for whoever does.
TEST(JobIndex, RefreshesTakeOnlyWhatOthersLeaveOfAScarcePace) {
  IndexByHand d;
  d.settings.state_rps = 20;
  KvClient scarce{d.rt, d.settings};
  JobIndex index{d.rt, scarce};
  index.load();
  d.settle();
  d.requests = 0;
  int asked = 0;
  int answered = 0;
  int others = 0;
  Micros longest{};
  for (int i = 0; i < 2000; ++i) {
    ++asked;
    index.query(IndexByHand::ref(i),
                [&](const JobIndex::Lookup& a) { answered += a.presence == Standing::absent; });
    if (i % 8 == 0) {
      scarce.list("x/", "", 1, KvClient::RequestClass::user,
                  [&, since = d.rt.at](const wrenusher::kv_client::ReadReply&) {
                    ++others;
                    longest = std::max(longest, std::chrono::duration_cast<Micros>(d.rt.at - since));
                  });
    }
    d.rt.pass(from_millis(10));
    for (const ByHand::Call& c : std::exchange(d.rt.calls, {})) {
      ++d.requests;
      d.answer(c);
    }
  }
  EXPECT_EQ(others, 250);  // 12.5 a second, of 19 that there are
  EXPECT_LE(longest, from_millis(300));
  EXPECT_GE(d.requests - others, 20 * 4);
  EXPECT_GE(answered, asked - 100);
}

// Answers that are lost, refused or late, changes that are forgotten, jobs that come, are cancelled and end
// meanwhile: a standing that is told was true at some moment between the request and its answer.
RC_GTEST_PROP(JobIndex, TellsNothingOlderThanItsRequest, ()) {
  IndexByHand d;
  for (int i = 0; i < 5; ++i) d.service.accept(IndexByHand::ref(i));
  d.index.load();
  const int steps = *rc::gen::inRange(20, 200);
  int told = 0;
  for (int step = 0; step < steps; ++step) {
    const std::string job_id = IndexByHand::ref(*rc::gen::inRange(0, 12));
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        if (d.service.at(job_id, d.service.revision()) == Standing::absent && !d.ended.contains(job_id))
          d.service.accept(job_id);
        break;
      case 1:
        if (d.service.at(job_id, d.service.revision()) == Standing::live) d.service.cancel(job_id);
        break;
      case 2:
        if (d.service.at(job_id, d.service.revision()) != Standing::absent) d.service.end(job_id, "done");
        break;
      case 3:
        if (*rc::gen::inRange(0, 10) == 0) d.service.forget_changes();
        break;
      default:
        d.index.query(job_id, [&, job_id](const JobIndex::Lookup& a) {
          if (a.presence == Standing::failed) return;
          ++told;
          bool was_so = false;
          for (std::uint64_t r = d.revision_at.at(a.asked_at); r <= d.service.revision(); ++r)
            was_so = was_so || d.service.at(job_id, r) == a.presence;
          RC_ASSERT(was_so);
        });
    }
    d.pass(from_millis(*rc::gen::element(1, 10, 30, 800)));
    auto calls = std::exchange(d.rt.calls, {});
    for (const ByHand::Call& c : calls) {
      const int fate = *rc::gen::inRange(0, 10);
      if (fate == 0) {
        c.done({false, true, {}});
      } else if (fate == 1) {
        c.done({true, true, {503, {}, 1}});
      } else {
        const Response r = d.service.answer(c.request);
        // What happens while the answer is on its way.
        if (fate == 2 && d.service.at(job_id, d.service.revision()) != Standing::absent)
          d.service.end(job_id, "done");
        c.done({true, true, r});
      }
    }
  }
  d.settle();
  RC_CLASSIFY(told > 10);
}

}  // namespace
