// The parts of the standby: hints as they travel, the copy of the records, and the check that a copy has to
// pass.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wrenusher/replica/standby_replica.hpp"
#include "wrenusher/testbed/world.hpp"

using namespace wrenusher;
using namespace wrenusher::testbed;
using namespace wrenusher::events;
using replica::HintPublisher;
using replica::HintTable;
using replica::RecordReplica;
using replica::ReplicaVerifier;

namespace {

/// A node of which only the state service can be asked, and whose follows somebody tampers with.
class Node : public Runtime {
 public:
  explicit Node(SimTransport& transport, KvService& state) : wires_(transport), state_(state) {}
  /// Changes what a follow has brought, as a flawed service or client would.
  std::function<void(Value::Map& reply)> tamper;
  std::size_t largest = 0;  ///< body of an answer that was taken

  Instant now() const override { return wires_.now(); }
  WallTime wall_time() const override { return WallTime{wires_.now().time_since_epoch()}; }
  std::mt19937_64& random() override { return wires_.random(); }
  void post(std::function<void()> f) override { wires_.at(Micros{0}, std::move(f)); }
  void after(Micros delay, std::function<void()> f) override { wires_.at(delay, std::move(f)); }
  void call(const Endpoint&, Request request, Micros timeout, CallHandler done) override {
    auto open = std::make_shared<bool>(true);
    const bool follow = request.target.starts_with("/follow");
    const auto settle = [open, done](CallResult o) {
      if (std::exchange(*open, false)) done(std::move(o));
    };
    wires_.at(timeout, [settle] { settle({false, true, {}}); });
    wires_.at(from_millis(2), [this, request, settle, follow] {
      state_.serve("c0", request, [this, request, settle, follow](Response r) {
        if (follow && tamper && r.status == 200) {
          Value::Map reply = *decode(r.body)->map();
          tamper(reply);
          r.body = encode(Value(std::move(reply)));
        }
        const bool too_large = request.max_response_bytes > 0 && r.body.size() > request.max_response_bytes;
        if (too_large) r = {};
        largest = std::max(largest, r.body.size());
        wires_.at(from_millis(2), [settle, r, too_large] { settle({!too_large, true, r, too_large}); });
      });
    });
  }

 private:
  SimTransport& wires_;
  KvService& state_;
};

/// A state service with the records of a service that leads, and a copy that follows it.
struct Cell {
  SimTransport wires{1};
  Settings settings = World::small_site();
  KvService state{wires, limits_of(settings), std::make_unique<MemoryStorage>()};
  Node node{wires, state};
  kv_client::KvClient store{node, settings};
  RecordReplica copy{node, settings, store};
  ReplicaVerifier check{node, settings, store};
  std::uint64_t version = 0;

  static std::string ref(int n) { return World::job(n, 1, 1, 1).job_id; }
  void commit(Value::List apply) {
    bool done = false;
    state.serve("leader", {"POST", "/multi", encode(Value::Map{{"apply", std::move(apply)}})},
                [&](const Response& r) { done = r.status == 200; });
    for (int i = 0; !done && i < 100; ++i) wires.run(from_millis(10));
    ASSERT_TRUE(done);
  }
  static Value put(const std::string& key, Value v) {
    return Value::Map{{"put", key}, {"value", std::move(v)}};
  }
  Value job(int n, bool withdrawn = false) {
    Value v = records::write_job(World::job(n, 8, 1, 10), WallTime{}, 8);
    return put(records::job_key(ref(n)), withdrawn ? records::cancelled_record(v) : v);
  }
  static Value end(int n) { return Value::Map{{"delete", records::job_key(ref(n))}}; }
  /// A slot in which the first block of each job stands, with a claim of task 0 on the machine.
  Value slot(std::uint32_t n, const std::vector<int>& jobs, const std::string& host) {
    Value::List rows;
    for (const int j : jobs) {
      RangeSet tasks;
      tasks.add(0);
      rows.push_back(records::write_block({ref(j), 0, ++version}, 1, {}, {{host, 1, tasks}}, 0, 7));
    }
    return put(records::shard_key(n), records::write_shard(n, std::move(rows)));
  }
  void run(double s) { wires.run(from_seconds(s)); }

  /// The state service as it is.
  records::RecordSnapshot truth() const {
    records::RecordSnapshot s;
    for (const auto& [key, e] : state.keys()) replica::apply_put(s, {key, e.value, e.mod_revision, 0});
    return s;
  }
  /// What a term that begins now would take over; null: it would read everything.
  std::shared_ptr<records::RecordSnapshot> hand_over(bool checked = true) {
    std::shared_ptr<records::RecordSnapshot> out;
    bool over = false;
    copy.hand_over(0, [&](std::shared_ptr<records::RecordSnapshot> s) {
      if (!s || !checked) {
        out = s;
        over = true;
        return;
      }
      check.verify(s, [&, s](const ReplicaVerifier::Result& r) {
        if (r.verified) out = s;
        over = true;
      });
    });
    for (int i = 0; !over && i < 1000; ++i) wires.run(from_millis(10));
    EXPECT_TRUE(over);
    return out;
  }
};

/// Live jobs by stamp, and of their newest blocks version and claims: what decisions would rest on.
std::string picture(const records::RecordSnapshot& s) {
  std::string out;
  std::map<std::string, std::pair<std::uint64_t, std::string>> blocks;
  for (const auto& [ref, root] : s.jobs)
    out += ref + "@" + std::to_string(root.mod_revision) + (root.record.cancelled ? " withdrawn\n" : "\n");
  for (const auto& [n, slot] : s.shards) {
    out += "slot " + std::to_string(n) + "@" + std::to_string(slot.mod_revision) + "\n";
    for (const records::StoredBlock& b : slot.blocks) {
      auto& newest = blocks[b.id.job_id];
      if (!s.jobs.contains(b.id.job_id) || newest.first >= b.id.version) continue;
      std::string assignments;
      for (const auto& c : b.state.assignments) assignments += " " + c.host + "/" + std::to_string(c.attempt);
      newest = {b.id.version, assignments};
    }
  }
  for (const auto& [ref, b] : blocks) out += ref + " v" + std::to_string(b.first) + b.second + "\n";
  return out;
}

/// Leaves out the event of this key.
std::function<void(Value::Map&)> losing(const std::string& key) {
  return [key](Value::Map& reply) {
    for (auto& [name, v] : reply) {
      if (name != "events") continue;
      Value::List kept;
      for (const Value& e : *v.list()) {
        const std::string* k = e["put"].text() != nullptr ? e["put"].text() : e["delete"].text();
        if (*k != key) kept.push_back(e);
      }
      v = Value(std::move(kept));
    }
  };
}

/// Three jobs in two slots, copied; `flaw` is in force while `change` is made and followed.
struct Flaw {
  const char* name;
  std::function<std::function<void(Value::Map&)>(Cell&)> flaw;
  std::function<void(Cell&)> change;
};

}  // namespace

TEST(RecordReplica, IsWhatTheStateServiceHasWhateverChangesWhileItIsRead) {
  Cell c;
  for (int n = 0; n < 5; ++n) c.commit({c.job(2 * n), c.slot(static_cast<std::uint32_t>(n), {2 * n}, "m-1")});
  c.copy.start();
  // While pages are on their way: a new job, one that ends, a slot written again.
  c.commit({c.job(20), c.slot(7, {20}, "m-2")});
  c.commit({Cell::end(2)});
  c.run(2);
  c.commit({c.slot(1, {20}, "m-3"), c.job(4, true)});
  c.run(2);
  ASSERT_TRUE(c.copy.complete());
  c.commit({c.job(22), Cell::end(0)});  // not followed yet
  const auto got = c.hand_over();
  ASSERT_TRUE(got);
  EXPECT_EQ(picture(*got), picture(c.truth()));
}

TEST(RecordReplica, IsColdOnceItsFollowsFailAndWholeAgainByItself) {
  Cell c;
  c.commit({c.job(2), c.slot(0, {2}, "m-1")});
  c.copy.start();
  c.run(3);
  EXPECT_TRUE(c.copy.complete());
  c.state.refuse("c0", true);
  c.run(12);
  EXPECT_FALSE(c.copy.complete());
  c.state.refuse("c0", false);
  c.run(6);
  EXPECT_TRUE(c.copy.complete());
}

// A follower that could not follow for a while asked for all changes since and got them in one answer of some
// 30 MB: it ended for memory, and the one after it too.
TEST(RecordReplica, ThatFellFarBehindIsReadAnewByPages) {
  Cell c;
  c.commit({c.job(1), c.slot(0, {1}, "m-1")});
  c.copy.start();
  c.run(5);
  ASSERT_TRUE(c.copy.complete());
  c.state.refuse("c0", true);
  std::vector<int> many(300, 1);
  for (int i = 0; i < 400; ++i) {
    c.commit({c.slot(7, many, "m-1")});
    c.run(0.03);
  }
  c.commit({c.slot(7, {1}, "m-2")});
  c.state.refuse("c0", false);
  c.run(12);
  EXPECT_TRUE(c.copy.complete());
  EXPECT_LT(c.node.largest, 2U * 1024 * 1024);
  const auto got = c.hand_over();
  ASSERT_TRUE(got);
  EXPECT_EQ(picture(*got), picture(c.truth()));
}

// In a storm of users' calls nothing is ever left over, and what only takes what is spare was never sent.
TEST(RecordReplica, IsFollowedThroughAStormOfUsersCalls) {
  Cell c;
  c.commit({c.job(1)});
  c.copy.start();
  c.run(5);
  ASSERT_TRUE(c.copy.complete());
  std::function<void(const kv_client::ReadReply&)> again = [&](const kv_client::ReadReply&) {
    c.store.get("job/none", kv_client::KvClient::RequestClass::user, again);
  };
  for (int i = 0; i < 40; ++i) again({});
  for (int i = 0; i < 60; ++i) {
    c.commit({c.job(2 + i)});
    c.run(0.5);
    EXPECT_TRUE(c.copy.complete()) << i;
  }
  EXPECT_GE(c.copy.job_count(), 55U);
}

TEST(RecordReplica, OfAServiceThatWentBackToAnEarlierRevisionIsThrownAway) {
  // A follow that goes on over a restart of the state service would take old changes for new ones.
  Cell c;
  for (int n = 0; n < 4; ++n) c.commit({c.job(2 * n)});
  c.copy.start();
  c.run(3);
  ASSERT_TRUE(c.copy.complete());
  c.node.tamper = [](Value::Map& reply) {
    for (auto& [name, v] : reply) {
      if (name == "ledger_rev") v = Value(std::uint64_t{1});
    }
  };
  bool cold = false;
  for (int i = 0; i < 60; ++i) {
    c.run(0.1);
    cold = cold || !c.copy.complete();
  }
  EXPECT_TRUE(cold);
  EXPECT_EQ(c.hand_over(), nullptr);
}

TEST(ReplicaVerifier, FindsEveryFlawThatTheCopyCannotSee) {
  const std::vector<Flaw> flaws = {
      {"a lost write of a slot", [](Cell&) { return losing("claims/1"); },
       [](Cell& c) {
         c.commit({c.slot(1, {2, 4}, "m-9")});
       }},
      {"a lost new slot", [](Cell&) { return losing("claims/2"); },
       [](Cell& c) { c.commit({c.slot(2, {2}, "m-9")}); }},
      {"a lost new slot and job", [](Cell&) { return losing("job/" + Cell::ref(6)); },
       [](Cell& c) {
         c.commit({c.job(6)});
         c.commit({c.slot(2, {6}, "m-9")});
       }},
      {"a lost end", [](Cell&) { return losing("job/" + Cell::ref(0)); },
       [](Cell& c) { c.commit({Cell::end(0)}); }},
      {"a lost cancellation", [](Cell&) { return losing("job/" + Cell::ref(2)); },
       [](Cell& c) { c.commit({c.job(2, true)}); }},
      {"a skipped revision",
       [](Cell&) {
         return [](Value::Map& reply) {
           for (auto& [name, v] : reply) {
             if (name == "events") v = Value(Value::List{});
           }
         };
       },
       [](Cell& c) {
         c.commit({c.slot(0, {0}, "m-9"), c.slot(2, {4}, "m-8")});
       }},
      {"two claims swapped",
       [](Cell&) {
         return [](Value::Map& reply) {
           for (auto& [name, v] : reply) {
             if (name != "events" || v.list()->size() != 2) continue;
             Value::List l = *v.list();
             Value::Map a = *l[0].map();
             Value::Map b = *l[1].map();
             const auto value = [](Value::Map& m) -> Value& {
               return std::find_if(m.begin(), m.end(), [](const auto& f) { return f.first == "value"; })
                   ->second;
             };
             std::swap(value(a), value(b));
             v = Value(Value::List{Value(std::move(a)), Value(std::move(b))});
           }
         };
       },
       [](Cell& c) {
         c.commit({c.slot(0, {0}, "m-9"), c.slot(1, {2, 4}, "m-8")});
       }},
  };
  for (const Flaw& f : flaws) {
    for (const bool checked : {false, true}) {
      Cell c;
      c.commit({c.job(0), c.job(2), c.job(4)});
      c.commit({c.slot(0, {0}, "m-1"), c.slot(1, {2, 4}, "m-2")});
      c.copy.start();
      c.run(3);
      ASSERT_TRUE(c.copy.complete()) << f.name;
      c.node.tamper = f.flaw(c);
      f.change(c);
      c.run(0.5);
      c.node.tamper = nullptr;
      c.run(0.5);
      const auto got = c.hand_over(checked);
      if (checked) {
        // Mended, or known to be worth nothing.
        EXPECT_EQ(got ? picture(*got) : "", got ? picture(c.truth()) : "") << f.name;
      } else if (got) {
        // Without the check it would have been believed.
        EXPECT_NE(picture(*got), picture(c.truth())) << f.name;
      }
    }
  }
}

RC_GTEST_PROP(ReplicaVerifier, LeavesNothingWrongOfAnyFlawedFollow, ()) {
  Cell c;
  const int jobs = 6;
  std::vector<int> live;
  for (int n = 0; n < jobs; ++n) {
    c.commit({c.job(2 * n)});
    live.push_back(2 * n);
  }
  c.commit({c.slot(0, {0, 2}, "m-1"), c.slot(1, {4, 6}, "m-2")});
  c.copy.start();
  c.run(3);
  const auto flawed = *rc::gen::arbitrary<bool>();
  std::uint32_t slots = 2;
  int made = jobs;
  c.node.tamper = [&](Value::Map& reply) {
    if (!flawed) return;
    for (auto& [name, v] : reply) {
      if (name != "events") continue;
      Value::List out;
      for (const Value& e : *v.list()) {
        if (*rc::gen::inRange(0, 3) > 0) out.push_back(e);
        if (*rc::gen::inRange(0, 6) == 0 && !out.empty()) out.push_back(out.front());
      }
      v = Value(std::move(out));
    }
  };
  const int steps = *rc::gen::inRange(1, 12);
  for (int i = 0; i < steps; ++i) {
    const int what = *rc::gen::inRange(0, 5);
    const int some =
        live.empty() ? -1
                     : live[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(live.size())))];
    if (what == 0 || some < 0) {
      live.push_back(2 * made++);
      c.commit({c.job(live.back())});
    } else if (what == 1) {
      c.commit({Cell::end(some)});
      std::erase(live, some);
    } else if (what == 2) {
      c.commit({c.slot(slots++, {some}, "m-3")});
    } else if (what == 3) {
      c.commit(
          {c.slot(static_cast<std::uint32_t>(*rc::gen::inRange(0, static_cast<int>(slots))), {some}, "m-4")});
    } else {
      c.commit({c.job(some, true)});
    }
    c.run(*rc::gen::inRange(0, 2));
  }
  if (flawed) {
    c.run(1);
    c.node.tamper = nullptr;
  }
  const auto got = c.hand_over();
  if (!flawed) RC_ASSERT(got != nullptr);
  if (!got) return;
  records::RecordSnapshot truth = c.truth();
  // A job that nothing is claimed of may be missing: it is no part of any decision, and is found afterwards.
  std::set<std::string> claimed;
  for (const auto& [n, slot] : truth.shards) {
    for (const auto& b : slot.blocks) claimed.insert(b.id.job_id);
  }
  std::erase_if(truth.jobs,
                [&](const auto& j) { return !claimed.contains(j.first) && !got->jobs.contains(j.first); });
  RC_ASSERT(picture(*got) == picture(truth));
}

RC_GTEST_PROP(Hints, ArriveWhateverIsLostOrOvertaken, ()) {
  // The receiver's picture becomes the teller's once messages get through again, and no message is too large.
  const auto draw_row = [](Instant) {
    MachineHint m;
    m.host = "m-" + std::to_string(*rc::gen::inRange(0, 400));
    m.address = "10.0.0.1:9000";
    m.machine_type = "small";
    m.zone = "a";
    m.incarnation = static_cast<std::uint64_t>(*rc::gen::inRange(1, 5));
    const int images = *rc::gen::inRange(0, 12);
    for (int i = 0; i < images; ++i)
      m.images.push_back({"img-" + std::string(40, 'x') + std::to_string(*rc::gen::inRange(0, 50)), 1.5});
    return replica::to_hint_row(m);
  };
  Instant now{from_seconds(100)};
  HintPublisher teller;
  teller.begin(7, 99, {}, {}, now);
  HintTable heard;
  std::uint64_t life = 1;
  std::vector<std::uint64_t> got;
  std::vector<Value> late;
  const auto deliver = [&](const Value& v) {
    heard.drop_before(7, *v["since"].count());
    for (const Value& row : *v["rows"].list()) {
      const Value::List& f = *row.list();
      heard.put({*f[0].text(), f[1], *f[2].count()}, now, 7, *v["n"].count());
    }
    got.push_back(*v["n"].count());
  };
  const int steps = *rc::gen::inRange(5, 60);
  for (int i = 0; i < steps; ++i) {
    now += from_millis(500);
    const int rows = *rc::gen::inRange(0, 30);
    for (int r = 0; r < rows; ++r) {
      const replica::HintRow row = draw_row(now);
      if (*rc::gen::inRange(0, 4) == 0) {
        teller.erase(row.key, now);
      } else {
        teller.put(row, now);
      }
    }
    if (*rc::gen::inRange(0, 25) == 0) {
      heard = {};  // the receiver begins anew
      got.clear();
      late.clear();
      ++life;
    }
    if (*rc::gen::inRange(0, 3) > 0) teller.on_confirmed("peer", life, std::exchange(got, {}), now);
    const Value v = teller.next_message("peer", now);
    if (v.is_null()) continue;
    RC_ASSERT(encode(v).size() < 48 * 1024U);
    const int fate = *rc::gen::inRange(0, 4);
    if (fate == 0) late.push_back(v);
    if (fate > 1) deliver(v);
    if (!late.empty() && *rc::gen::inRange(0, 2) == 0) {
      deliver(late.back());
      late.pop_back();
    }
  }
  for (int i = 0; i < 80; ++i) {
    now += from_millis(500);
    teller.on_confirmed("peer", life, std::exchange(got, {}), now);
    if (const Value v = teller.next_message("peer", now); !v.is_null()) deliver(v);
  }
  RC_ASSERT(teller.unconfirmed_row_count("peer") == 0U);
  const auto rows = [](const HintTable& p) {
    std::map<std::string, std::uint64_t> out;
    for (const auto& [key, known] : p.entries()) {
      if (!known.row.value.is_null()) out[key] = known.row.digest;
    }
    return out;
  };
  RC_ASSERT(rows(heard) == rows(teller.table()));
}

TEST(Hints, AreReadBackWithTheAgesOfNow) {
  MachineHint m;
  m.host = "m-7";
  m.address = "10.1.0.7:9000";
  m.machine_type = "small";
  m.zone = "b";
  m.spot = true;
  m.incarnation = 3;
  m.speed_samples = 5;
  m.slowness = 0.25;
  m.images = {{"old", 2}, {"new", 4}};
  m.fetches = {{"next", 6, 3.5}};
  m.failures = {{"req-000001", from_seconds(20)}};
  RentalHint r{"m-9", "large", "a", false, from_seconds(5), from_seconds(40)};
  HintTable p;
  const Instant told{from_seconds(10)};
  ASSERT_TRUE(p.put(replica::to_hint_row(m), told, 4, 2));
  ASSERT_TRUE(p.put(replica::to_hint_row(r), told, 4, 2));
  ASSERT_TRUE(p.put(replica::to_hint_row(JobClassHint{"work", {{"req-000001", 0.5, 2}}}), told, 4, 2));
  ASSERT_TRUE(p.put(replica::to_hint_row(RentalRequestHint{"r-4-9", "small", "a", true, 12}), told, 4, 2));
  ASSERT_TRUE(p.put(replica::to_hint_row(JobHint{"req-000001", {"m-7"}, from_seconds(8), 2}), told, 4, 2));
  EXPECT_FALSE(p.put(replica::to_hint_row(m), told, 4, 1)) << "an older message";
  const InheritedHints all = p.inherited_hints(told + from_seconds(3));
  const MachineHint& back = all.machines.at("m-7");
  EXPECT_EQ(back.address, m.address);
  EXPECT_EQ(back.incarnation, 3U);
  EXPECT_EQ(back.images.at(1).image, "new");
  EXPECT_EQ(back.fetches.at(0).remaining_gb, 3.5);
  EXPECT_EQ(back.age, from_seconds(3));
  EXPECT_EQ(back.failures.at(0).ago, from_seconds(23));
  EXPECT_EQ(all.rentals.rentals.at(0).age, from_seconds(8));
  EXPECT_EQ(all.rentals.rentals.at(0).report_due, from_seconds(37));
  EXPECT_EQ(all.rentals.requests.at(0).count, 12U);
  EXPECT_EQ(all.job_classes.at(0).jobs.at(0).tasks, 2);
  EXPECT_EQ(all.jobs.at(0).retry_pause, from_seconds(5));
}

RC_GTEST_PROP(Hints, OfAnyShapeAreReadOrLeftOut, ()) {
  // What comes from a peer may be anything.
  const auto leaf = [] {
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        return Value(*rc::gen::arbitrary<bool>());
      case 1:
        return Value(*rc::gen::arbitrary<std::uint64_t>());
      case 2:
        return Value(*rc::gen::arbitrary<double>());
      case 3:
        return Value(*rc::gen::arbitrary<std::string>());
      case 4:
        return Value(Value::List{});
      default:
        return Value();
    }
  };
  Value::List fields;
  const int n = *rc::gen::element(1, 3, 4, 5, 12);
  for (int i = 0; i < n; ++i) {
    if (*rc::gen::inRange(0, 4) > 0) {
      fields.push_back(leaf());
    } else {
      fields.emplace_back(Value::List{Value(Value::List{leaf(), leaf(), leaf()}), leaf()});
    }
  }
  HintTable p;
  const char kind = *rc::gen::element('a', 'b', 'c', 'd', 'm', 'x');
  p.put({std::string(1, kind) + "thing", Value(std::move(fields)), 0}, Instant{}, 1, 1);
  const InheritedHints all = p.inherited_hints(Instant{from_seconds(1)});
  RC_ASSERT(all.machines.size() <= 1U);
}
