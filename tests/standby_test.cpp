// Tests of the components of the standby: the exchange of hints, the replica of the records, and its
// verification.

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

/// A runtime whose calls all go to a state service, and that can modify the responses to watches.
class StateServiceRuntime : public Runtime {
 public:
  explicit StateServiceRuntime(SimTransport& transport, KvService& kv_service)
      : transport_(transport), kv_service_(kv_service) {}
  /// Modifies the response to a watch, as a faulty service or client would.
  std::function<void(Value::Map& reply)> tamper;
  std::size_t largest_response = 0;  ///< size of the largest body received, in bytes

  Instant now() const override { return transport_.now(); }
  WallTime wall_time() const override { return WallTime{transport_.now().time_since_epoch()}; }
  std::mt19937_64& random() override { return transport_.random(); }
  void post(std::function<void()> action) override { transport_.at(Micros{0}, std::move(action)); }
  void after(Micros delay, std::function<void()> action) override { transport_.at(delay, std::move(action)); }
  void call(const Endpoint&, Request request, Micros timeout, CallHandler done) override {
    auto pending = std::make_shared<bool>(true);
    const bool is_watch = request.target.starts_with("/follow");
    const auto settle_call = [pending, done](CallResult result) {
      if (std::exchange(*pending, false)) done(std::move(result));
    };
    transport_.at(timeout, [settle_call] { settle_call({false, true, {}}); });
    transport_.at(from_millis(2), [this, request, settle_call, is_watch] {
      kv_service_.serve("c0", request, [this, request, settle_call, is_watch](Response response) {
        if (is_watch && tamper && response.status == 200) {
          Value::Map reply = *decode(response.body)->map();
          tamper(reply);
          response.body = encode(Value(std::move(reply)));
        }
        const bool too_large =
            request.max_response_bytes > 0 && response.body.size() > request.max_response_bytes;
        if (too_large) response = {};
        largest_response = std::max(largest_response, response.body.size());
        transport_.at(from_millis(2), [settle_call, response, too_large] {
          settle_call({!too_large, true, response, too_large});
        });
      });
    });
  }

 private:
  SimTransport& transport_;
  KvService& kv_service_;
};

/// A state service with the records of a leader, and a replica that watches it.
struct ReplicaFixture {
  SimTransport transport{1};
  Settings settings = World::small_site();
  KvService kv_service{transport, limits_of(settings), std::make_unique<MemoryStorage>()};
  StateServiceRuntime runtime{transport, kv_service};
  kv_client::KvClient store{runtime, settings};
  RecordReplica record_replica{runtime, settings, store};
  ReplicaVerifier verifier{runtime, settings, store};
  std::uint64_t last_block_version = 0;

  static std::string job_id(int number) { return World::job(number, 1, 1, 1).job_id; }
  void commit(Value::List mutations) {
    bool done = false;
    kv_service.serve("leader", {"POST", "/multi", encode(Value::Map{{"apply", std::move(mutations)}})},
                     [&](const Response& response) { done = response.status == 200; });
    for (int i = 0; !done && i < 100; ++i) transport.run(from_millis(10));
    ASSERT_TRUE(done);
  }
  static Value put(const std::string& key, Value value) {
    return Value::Map{{"put", key}, {"value", std::move(value)}};
  }
  Value put_job(int number, bool cancelled = false) {
    Value value = records::write_job(World::job(number, 8, 1, 10), WallTime{}, 8);
    return put(records::job_key(job_id(number)), cancelled ? records::cancelled_record(value) : value);
  }
  static Value delete_job(int number) { return Value::Map{{"delete", records::job_key(job_id(number))}}; }
  /// Writes a shard with the first block of each job, in which task 0 is assigned to the machine.
  Value put_shard(std::uint32_t number, const std::vector<int>& jobs, const std::string& host) {
    Value::List rows;
    for (const int job_number : jobs) {
      RangeSet tasks;
      tasks.add(0);
      rows.push_back(records::write_block({job_id(job_number), 0, ++last_block_version}, 1, {},
                                          {{host, 1, tasks}}, 0, 7));
    }
    return put(records::shard_key(number), records::write_shard(number, std::move(rows)));
  }
  void run(double seconds) { transport.run(from_seconds(seconds)); }

  /// Returns the current records of the state service.
  records::RecordSnapshot stored_records() const {
    records::RecordSnapshot snapshot;
    for (const auto& [key, entry] : kv_service.keys())
      replica::apply_put(snapshot, {key, entry.value, entry.mod_revision, 0});
    return snapshot;
  }
  /// Returns the snapshot that a term beginning now would use, or null if it would read all records instead.
  std::shared_ptr<records::RecordSnapshot> hand_over(bool verify = true) {
    std::shared_ptr<records::RecordSnapshot> result;
    bool finished = false;
    record_replica.hand_over(0, [&](std::shared_ptr<records::RecordSnapshot> snapshot) {
      if (!snapshot || !verify) {
        result = snapshot;
        finished = true;
        return;
      }
      verifier.verify(snapshot, [&, snapshot](const ReplicaVerifier::Result& verification) {
        if (verification.verified) result = snapshot;
        finished = true;
      });
    });
    for (int i = 0; !finished && i < 1000; ++i) transport.run(from_millis(10));
    EXPECT_TRUE(finished);
    return result;
  }
};

/// Formats the state on which scheduling decisions are based: the live jobs and the shards with their
/// revisions, and the version and assignments of each job's newest block.
std::string describe(const records::RecordSnapshot& snapshot) {
  std::string out;
  std::map<std::string, std::pair<std::uint64_t, std::string>> blocks;
  for (const auto& [job_id, job] : snapshot.jobs)
    out += job_id + "@" + std::to_string(job.mod_revision) + (job.record.cancelled ? " withdrawn\n" : "\n");
  for (const auto& [number, shard] : snapshot.shards) {
    out += "shard " + std::to_string(number) + "@" + std::to_string(shard.mod_revision) + "\n";
    for (const records::StoredBlock& block : shard.blocks) {
      auto& newest = blocks[block.id.job_id];
      if (!snapshot.jobs.contains(block.id.job_id) || newest.first >= block.id.version) continue;
      std::string assignments;
      for (const auto& row : block.state.assignments)
        assignments += " " + row.host + "/" + std::to_string(row.attempt);
      newest = {block.id.version, assignments};
    }
  }
  for (const auto& [job_id, block] : blocks)
    out += job_id + " v" + std::to_string(block.first) + block.second + "\n";
  return out;
}

/// Returns a function that removes the changes of the key from the response to a watch.
std::function<void(Value::Map&)> drop_changes_of(const std::string& key) {
  return [key](Value::Map& reply) {
    for (auto& [name, value] : reply) {
      if (name != "events") continue;
      Value::List kept;
      for (const Value& change : *value.list()) {
        const std::string* change_key =
            change["put"].text() != nullptr ? change["put"].text() : change["delete"].text();
        if (*change_key != key) kept.push_back(change);
      }
      value = Value(std::move(kept));
    }
  };
}

/// A fault in the responses to watches. The fixture has three jobs in two shards; the fault is active while
/// `change` is committed and watched.
struct WatchFault {
  const char* name;
  std::function<std::function<void(Value::Map&)>(ReplicaFixture&)> make_tamper;
  std::function<void(ReplicaFixture&)> change;
};

}  // namespace

TEST(RecordReplicaTest, MatchesStateServiceAfterChangesDuringLoading) {
  ReplicaFixture fixture;
  for (int number = 0; number < 5; ++number)
    fixture.commit({fixture.put_job(2 * number),
                    fixture.put_shard(static_cast<std::uint32_t>(number), {2 * number}, "m-1")});
  fixture.record_replica.start();
  // While the pages are read, a job is added and a job is deleted. Later a shard is written again.
  fixture.commit({fixture.put_job(20), fixture.put_shard(7, {20}, "m-2")});
  fixture.commit({ReplicaFixture::delete_job(2)});
  fixture.run(2);
  fixture.commit({fixture.put_shard(1, {20}, "m-3"), fixture.put_job(4, true)});
  fixture.run(2);
  ASSERT_TRUE(fixture.record_replica.complete());
  fixture.commit({fixture.put_job(22), ReplicaFixture::delete_job(0)});  // not received by a watch yet
  const auto snapshot = fixture.hand_over();
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(describe(*snapshot), describe(fixture.stored_records()));
}

TEST(RecordReplicaTest, IsIncompleteWhileWatchesFailAndRecovers) {
  ReplicaFixture fixture;
  fixture.commit({fixture.put_job(2), fixture.put_shard(0, {2}, "m-1")});
  fixture.record_replica.start();
  fixture.run(3);
  EXPECT_TRUE(fixture.record_replica.complete());
  fixture.kv_service.refuse("c0", true);
  fixture.run(12);
  EXPECT_FALSE(fixture.record_replica.complete());
  fixture.kv_service.refuse("c0", false);
  fixture.run(6);
  EXPECT_TRUE(fixture.record_replica.complete());
}

// Guards against a standby that could not watch for a while, then requested all changes since, and received
// them in one response of about 30 MB: it ran out of memory, and so did the next one.
TEST(RecordReplicaTest, ReadsRecordsAgainByPageAfterFallingFarBehind) {
  ReplicaFixture fixture;
  fixture.commit({fixture.put_job(1), fixture.put_shard(0, {1}, "m-1")});
  fixture.record_replica.start();
  fixture.run(5);
  ASSERT_TRUE(fixture.record_replica.complete());
  fixture.kv_service.refuse("c0", true);
  std::vector<int> many_jobs(300, 1);
  for (int i = 0; i < 400; ++i) {
    fixture.commit({fixture.put_shard(7, many_jobs, "m-1")});
    fixture.run(0.03);
  }
  fixture.commit({fixture.put_shard(7, {1}, "m-2")});
  fixture.kv_service.refuse("c0", false);
  fixture.run(12);
  EXPECT_TRUE(fixture.record_replica.complete());
  EXPECT_LT(fixture.runtime.largest_response, 2U * 1024 * 1024);
  const auto snapshot = fixture.hand_over();
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(describe(*snapshot), describe(fixture.stored_records()));
}

// Guards against starvation: during a flood of user requests there is no spare request rate, and background
// requests, which only used spare rate, were never sent.
TEST(RecordReplicaTest, StaysCompleteDuringFloodOfUserRequests) {
  ReplicaFixture fixture;
  fixture.commit({fixture.put_job(1)});
  fixture.record_replica.start();
  fixture.run(5);
  ASSERT_TRUE(fixture.record_replica.complete());
  std::function<void(const kv_client::ReadReply&)> send_request = [&](const kv_client::ReadReply&) {
    fixture.store.get("job/none", kv_client::KvClient::RequestClass::user, send_request);
  };
  for (int i = 0; i < 40; ++i) send_request({});
  for (int i = 0; i < 60; ++i) {
    fixture.commit({fixture.put_job(2 + i)});
    fixture.run(0.5);
    EXPECT_TRUE(fixture.record_replica.complete()) << i;
  }
  EXPECT_GE(fixture.record_replica.job_count(), 55U);
}

TEST(RecordReplicaTest, IsDiscardedWhenRevisionGoesBack) {
  // A watch that continued after such a restart of the state service would treat old changes as new ones.
  ReplicaFixture fixture;
  for (int number = 0; number < 4; ++number) fixture.commit({fixture.put_job(2 * number)});
  fixture.record_replica.start();
  fixture.run(3);
  ASSERT_TRUE(fixture.record_replica.complete());
  fixture.runtime.tamper = [](Value::Map& reply) {
    for (auto& [name, value] : reply) {
      if (name == "ledger_rev") value = Value(std::uint64_t{1});
    }
  };
  bool cold = false;
  for (int i = 0; i < 60; ++i) {
    fixture.run(0.1);
    cold = cold || !fixture.record_replica.complete();
  }
  EXPECT_TRUE(cold);
  EXPECT_EQ(fixture.hand_over(), nullptr);
}

TEST(ReplicaVerifierTest, DetectsFaultsThatReplicaCannotDetect) {
  const std::vector<WatchFault> faults = {
      {"a lost write of a shard", [](ReplicaFixture&) { return drop_changes_of("claims/1"); },
       [](ReplicaFixture& fixture) {
         fixture.commit({fixture.put_shard(1, {2, 4}, "m-9")});
       }},
      {"a lost new shard", [](ReplicaFixture&) { return drop_changes_of("claims/2"); },
       [](ReplicaFixture& fixture) { fixture.commit({fixture.put_shard(2, {2}, "m-9")}); }},
      {"a lost new job with a shard",
       [](ReplicaFixture&) { return drop_changes_of("job/" + ReplicaFixture::job_id(6)); },
       [](ReplicaFixture& fixture) {
         fixture.commit({fixture.put_job(6)});
         fixture.commit({fixture.put_shard(2, {6}, "m-9")});
       }},
      {"a lost deletion of a job",
       [](ReplicaFixture&) { return drop_changes_of("job/" + ReplicaFixture::job_id(0)); },
       [](ReplicaFixture& fixture) { fixture.commit({ReplicaFixture::delete_job(0)}); }},
      {"a lost cancellation",
       [](ReplicaFixture&) { return drop_changes_of("job/" + ReplicaFixture::job_id(2)); },
       [](ReplicaFixture& fixture) { fixture.commit({fixture.put_job(2, true)}); }},
      {"a skipped revision",
       [](ReplicaFixture&) {
         return [](Value::Map& reply) {
           for (auto& [name, value] : reply) {
             if (name == "events") value = Value(Value::List{});
           }
         };
       },
       [](ReplicaFixture& fixture) {
         fixture.commit({fixture.put_shard(0, {0}, "m-9"), fixture.put_shard(2, {4}, "m-8")});
       }},
      {"two swapped shard values",
       [](ReplicaFixture&) {
         return [](Value::Map& reply) {
           for (auto& [name, value] : reply) {
             if (name != "events" || value.list()->size() != 2) continue;
             Value::List changes = *value.list();
             Value::Map first = *changes[0].map();
             Value::Map second = *changes[1].map();
             const auto value_of = [](Value::Map& change) -> Value& {
               return std::find_if(change.begin(), change.end(),
                                   [](const auto& field) { return field.first == "value"; })
                   ->second;
             };
             std::swap(value_of(first), value_of(second));
             value = Value(Value::List{Value(std::move(first)), Value(std::move(second))});
           }
         };
       },
       [](ReplicaFixture& fixture) {
         fixture.commit({fixture.put_shard(0, {0}, "m-9"), fixture.put_shard(1, {2, 4}, "m-8")});
       }},
  };
  for (const WatchFault& fault : faults) {
    for (const bool verify : {false, true}) {
      ReplicaFixture fixture;
      fixture.commit({fixture.put_job(0), fixture.put_job(2), fixture.put_job(4)});
      fixture.commit({fixture.put_shard(0, {0}, "m-1"), fixture.put_shard(1, {2, 4}, "m-2")});
      fixture.record_replica.start();
      fixture.run(3);
      ASSERT_TRUE(fixture.record_replica.complete()) << fault.name;
      fixture.runtime.tamper = fault.make_tamper(fixture);
      fault.change(fixture);
      fixture.run(0.5);
      fixture.runtime.tamper = nullptr;
      fixture.run(0.5);
      const auto snapshot = fixture.hand_over(verify);
      if (verify) {
        // The snapshot was corrected, or it was rejected.
        EXPECT_EQ(snapshot ? describe(*snapshot) : "", snapshot ? describe(fixture.stored_records()) : "")
            << fault.name;
      } else if (snapshot) {
        // Without verification, the wrong snapshot would be used.
        EXPECT_NE(describe(*snapshot), describe(fixture.stored_records())) << fault.name;
      }
    }
  }
}

RC_GTEST_PROP(ReplicaVerifierTest, CorrectsOrRejectsReplicaAfterRandomWatchFaults, ()) {
  ReplicaFixture fixture;
  const int jobs = 6;
  std::vector<int> live;
  for (int number = 0; number < jobs; ++number) {
    fixture.commit({fixture.put_job(2 * number)});
    live.push_back(2 * number);
  }
  fixture.commit({fixture.put_shard(0, {0, 2}, "m-1"), fixture.put_shard(1, {4, 6}, "m-2")});
  fixture.record_replica.start();
  fixture.run(3);
  const auto faulty = *rc::gen::arbitrary<bool>();
  std::uint32_t shard_count = 2;
  int jobs_created = jobs;
  fixture.runtime.tamper = [&](Value::Map& reply) {
    if (!faulty) return;
    for (auto& [name, value] : reply) {
      if (name != "events") continue;
      Value::List kept;
      for (const Value& change : *value.list()) {
        if (*rc::gen::inRange(0, 3) > 0) kept.push_back(change);
        if (*rc::gen::inRange(0, 6) == 0 && !kept.empty()) kept.push_back(kept.front());
      }
      value = Value(std::move(kept));
    }
  };
  const int steps = *rc::gen::inRange(1, 12);
  for (int i = 0; i < steps; ++i) {
    const int action = *rc::gen::inRange(0, 5);
    const int job_number =
        live.empty() ? -1
                     : live[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(live.size())))];
    if (action == 0 || job_number < 0) {
      live.push_back(2 * jobs_created++);
      fixture.commit({fixture.put_job(live.back())});
    } else if (action == 1) {
      fixture.commit({ReplicaFixture::delete_job(job_number)});
      std::erase(live, job_number);
    } else if (action == 2) {
      fixture.commit({fixture.put_shard(shard_count++, {job_number}, "m-3")});
    } else if (action == 3) {
      fixture.commit(
          {fixture.put_shard(static_cast<std::uint32_t>(*rc::gen::inRange(0, static_cast<int>(shard_count))),
                             {job_number}, "m-4")});
    } else {
      fixture.commit({fixture.put_job(job_number, true)});
    }
    fixture.run(*rc::gen::inRange(0, 2));
  }
  if (faulty) {
    fixture.run(1);
    fixture.runtime.tamper = nullptr;
  }
  const auto snapshot = fixture.hand_over();
  if (!faulty) RC_ASSERT(snapshot != nullptr);
  if (!snapshot) return;
  records::RecordSnapshot expected = fixture.stored_records();
  // A job without assignments may be missing: no decision depends on it, and the leader finds it later.
  std::set<std::string> assigned_jobs;
  for (const auto& [number, shard] : expected.shards) {
    for (const auto& block : shard.blocks) assigned_jobs.insert(block.id.job_id);
  }
  std::erase_if(expected.jobs, [&](const auto& job) {
    return !assigned_jobs.contains(job.first) && !snapshot->jobs.contains(job.first);
  });
  RC_ASSERT(describe(*snapshot) == describe(expected));
}

RC_GTEST_PROP(HintPublisherTest, DeliversAllHintsDespiteLossAndReordering, ()) {
  // Once messages are delivered again, the receiver's table equals the publisher's. No message is too large.
  const auto draw_row = [](Instant) {
    MachineHint hint;
    hint.host = "m-" + std::to_string(*rc::gen::inRange(0, 400));
    hint.address = "10.0.0.1:9000";
    hint.machine_type = "small";
    hint.zone = "a";
    hint.incarnation = static_cast<std::uint64_t>(*rc::gen::inRange(1, 5));
    const int images = *rc::gen::inRange(0, 12);
    for (int i = 0; i < images; ++i)
      hint.images.push_back({"img-" + std::string(40, 'x') + std::to_string(*rc::gen::inRange(0, 50)), 1.5});
    return replica::to_hint_row(hint);
  };
  Instant now{from_seconds(100)};
  HintPublisher publisher;
  publisher.begin(7, 99, {}, {}, now);
  HintTable receiver;
  std::uint64_t incarnation = 1;
  std::vector<std::uint64_t> to_confirm;
  std::vector<Value> delayed;
  const auto deliver = [&](const Value& message) {
    receiver.drop_before(7, *message["since"].count());
    for (const Value& row : *message["rows"].list()) {
      const Value::List& columns = *row.list();
      receiver.put({*columns[0].text(), columns[1], *columns[2].count()}, now, 7, *message["n"].count());
    }
    to_confirm.push_back(*message["n"].count());
  };
  const int steps = *rc::gen::inRange(5, 60);
  for (int i = 0; i < steps; ++i) {
    now += from_millis(500);
    const int rows = *rc::gen::inRange(0, 30);
    for (int row_index = 0; row_index < rows; ++row_index) {
      const replica::HintRow row = draw_row(now);
      if (*rc::gen::inRange(0, 4) == 0) {
        publisher.erase(row.key, now);
      } else {
        publisher.put(row, now);
      }
    }
    if (*rc::gen::inRange(0, 25) == 0) {
      receiver = {};  // the receiver restarts
      to_confirm.clear();
      delayed.clear();
      ++incarnation;
    }
    if (*rc::gen::inRange(0, 3) > 0)
      publisher.on_confirmed("peer", incarnation, std::exchange(to_confirm, {}), now);
    const Value message = publisher.next_message("peer", now);
    if (message.is_null()) continue;
    RC_ASSERT(encode(message).size() < 48 * 1024U);
    const int delivery = *rc::gen::inRange(0, 4);
    if (delivery == 0) delayed.push_back(message);
    if (delivery > 1) deliver(message);
    if (!delayed.empty() && *rc::gen::inRange(0, 2) == 0) {
      deliver(delayed.back());
      delayed.pop_back();
    }
  }
  for (int i = 0; i < 80; ++i) {
    now += from_millis(500);
    publisher.on_confirmed("peer", incarnation, std::exchange(to_confirm, {}), now);
    if (const Value message = publisher.next_message("peer", now); !message.is_null()) deliver(message);
  }
  RC_ASSERT(publisher.unconfirmed_row_count("peer") == 0U);
  const auto digests_of = [](const HintTable& table) {
    std::map<std::string, std::uint64_t> digests;
    for (const auto& [key, entry] : table.entries()) {
      if (!entry.row.value.is_null()) digests[key] = entry.row.digest;
    }
    return digests;
  };
  RC_ASSERT(digests_of(receiver) == digests_of(publisher.table()));
}

TEST(HintTableTest, ReturnsHintsWithCurrentAges) {
  MachineHint machine;
  machine.host = "m-7";
  machine.address = "10.1.0.7:9000";
  machine.machine_type = "small";
  machine.zone = "b";
  machine.spot = true;
  machine.incarnation = 3;
  machine.speed_samples = 5;
  machine.slowness = 0.25;
  machine.images = {{"old", 2}, {"new", 4}};
  machine.fetches = {{"next", 6, 3.5}};
  machine.failures = {{"req-000001", from_seconds(20)}};
  RentalHint rental{"m-9", "large", "a", false, from_seconds(5), from_seconds(40)};
  HintTable table;
  const Instant received_at{from_seconds(10)};
  ASSERT_TRUE(table.put(replica::to_hint_row(machine), received_at, 4, 2));
  ASSERT_TRUE(table.put(replica::to_hint_row(rental), received_at, 4, 2));
  ASSERT_TRUE(
      table.put(replica::to_hint_row(JobClassHint{"work", {{"req-000001", 0.5, 2}}}), received_at, 4, 2));
  ASSERT_TRUE(
      table.put(replica::to_hint_row(RentalRequestHint{"r-4-9", "small", "a", true, 12}), received_at, 4, 2));
  ASSERT_TRUE(
      table.put(replica::to_hint_row(JobHint{"req-000001", {"m-7"}, from_seconds(8), 2}), received_at, 4, 2));
  EXPECT_FALSE(table.put(replica::to_hint_row(machine), received_at, 4, 1)) << "a row from an older message";
  const InheritedHints hints = table.inherited_hints(received_at + from_seconds(3));
  const MachineHint& read_machine = hints.machines.at("m-7");
  EXPECT_EQ(read_machine.address, machine.address);
  EXPECT_EQ(read_machine.incarnation, 3U);
  EXPECT_EQ(read_machine.images.at(1).image, "new");
  EXPECT_EQ(read_machine.fetches.at(0).remaining_gb, 3.5);
  EXPECT_EQ(read_machine.age, from_seconds(3));
  EXPECT_EQ(read_machine.failures.at(0).ago, from_seconds(23));
  EXPECT_EQ(hints.rentals.rentals.at(0).age, from_seconds(8));
  EXPECT_EQ(hints.rentals.rentals.at(0).report_due, from_seconds(37));
  EXPECT_EQ(hints.rentals.requests.at(0).count, 12U);
  EXPECT_EQ(hints.job_classes.at(0).jobs.at(0).tasks, 2);
  EXPECT_EQ(hints.jobs.at(0).retry_pause, from_seconds(5));
}

RC_GTEST_PROP(HintTableTest, SkipsMalformedRows, ()) {
  // A peer may send any value.
  const auto random_leaf = [] {
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
  Value::List columns;
  const int column_count = *rc::gen::element(1, 3, 4, 5, 12);
  for (int i = 0; i < column_count; ++i) {
    if (*rc::gen::inRange(0, 4) > 0) {
      columns.push_back(random_leaf());
    } else {
      columns.emplace_back(
          Value::List{Value(Value::List{random_leaf(), random_leaf(), random_leaf()}), random_leaf()});
    }
  }
  HintTable table;
  const char kind = *rc::gen::element('a', 'b', 'c', 'd', 'm', 'x');
  table.put({std::string(1, kind) + "thing", Value(std::move(columns)), 0}, Instant{}, 1, 1);
  const InheritedHints hints = table.inherited_hints(Instant{from_seconds(1)});
  RC_ASSERT(hints.machines.size() <= 1U);
}
