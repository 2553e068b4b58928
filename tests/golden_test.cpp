// Tests against golden files, which contain the production version's encoding of every kind of stored record,
// heartbeat and hint. This build must decode each file to the original value and encode the value to the same
// bytes, so that both versions can run side by side and replace each other.

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "golden_values.hpp"
#include "manual_runtime.hpp"
#include "wrenusher/membership/leadership.hpp"
#include "wrenusher/membership/peer.hpp"
#include "wrenusher/replica/standby_replica.hpp"

using namespace wrenusher;
using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using namespace wrenusher::protocol;

namespace {

std::string text_of(const std::string& name) {
  const std::ifstream file(std::filesystem::path(WRENUSHER_GOLDEN_DIR) / (name + ".hex"));
  EXPECT_TRUE(file) << name;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string bytes_of(const std::string& name) {
  return golden::from_hex(text_of(name));
}

Value value_of(const std::string& name) {
  const auto value = decode(bytes_of(name));
  EXPECT_TRUE(value) << name;
  return value.value_or(Value());
}

void expect_job(const std::string& name, const JobSpec& spec, bool cancelled) {
  const auto job = records::read_job(value_of(name));
  ASSERT_TRUE(job) << name;
  EXPECT_EQ(job->spec, spec) << name;
  EXPECT_EQ(job->accepted_at, golden::kAcceptedAt) << name;
  EXPECT_EQ(job->tasks_per_block, golden::kTasksPerBlock) << name;
  EXPECT_EQ(job->cancelled, cancelled) << name;
}

/// One controller's leadership; the test supplies the responses of the state service.
struct Candidate {
  ManualRuntime runtime;
  settings::Settings settings;
  kv_client::KvClient store{runtime, settings};
  membership::Leadership leadership{runtime, settings, store};
  std::vector<events::TermChanged> terms;
  std::vector<events::TopologyActivated> topologies;

  explicit Candidate(const std::string& name) : settings(golden::settings_of(name)) {
    leadership.term_changed.connect(runtime, [this](const auto& event) { terms.push_back(event); });
    leadership.topology_activated.connect(runtime,
                                          [this](const auto& event) { topologies.push_back(event); });
    leadership.start();
  }
  /// Responds to the next call whose method and target begin with the prefix. Advances the clock until there
  /// is one, by at most 3 s.
  void respond(const std::string& prefix, const Value& body) {
    for (const Instant end = runtime.at + from_seconds(3); runtime.at < end; runtime.pass(from_millis(10))) {
      for (auto call = runtime.calls.begin(); call != runtime.calls.end(); ++call) {
        if (!(call->request.method + " " + call->request.target).starts_with(prefix)) continue;
        const ManualRuntime::Call taken_call = std::move(*call);
        runtime.calls.erase(call);
        taken_call.done({true, true, {200, encode(body), 0}});
        return;
      }
    }
    ADD_FAILURE() << "no call " << prefix;
  }
};

/// Returns the response of the state service to a request that lists the leader's record.
Value leader_listed() {
  return Value::Map{
      {"rows", Value::List{Value::Map{{"k", "leader"}, {"value", value_of("record_leader")}, {"stamp", 41}}}},
      {"truncated", false},
      {"ledger_rev", 41}};
}

/// A controller that receives heartbeats, and everything that it decodes from them.
struct Receiver {
  ManualRuntime runtime;
  settings::Settings settings = golden::settings_of("c1");
  membership::Peer peer{runtime, settings};
  std::vector<events::PeerStatus> statuses;
  std::vector<std::string> cancelled_jobs;
  std::vector<events::StageAnnouncement> announcements;
  std::vector<events::Progress> progress;
  std::vector<events::HeartbeatAttachment> attachments;

  Receiver() {
    peer.peer_status.connect(runtime, [this](const auto& event) { statuses.push_back(event); });
    peer.job_cancelled.connect(runtime,
                               [this](const auto& event) { cancelled_jobs.push_back(event.job_id); });
    peer.stage_announced.connect(runtime, [this](const auto& event) { announcements.push_back(event); });
    peer.progress.connect(runtime, [this](const auto& event) { progress.push_back(*event); });
    peer.attachment_received.connect(runtime, [this](const auto& event) { attachments.push_back(event); });
  }
  void receive(const std::string& name) {
    int status = 0;
    peer.serve({"POST", "/beat", bytes_of(name)},
               [&](const Response& response) { status = response.status; });
    EXPECT_EQ(status, 200);
  }
};

/// A controller's standby, with the hints that it passes on when its term begins and the attachments that it
/// sends.
struct StandbyFixture {
  ManualRuntime runtime;
  settings::Settings settings = golden::settings_of("c1");
  kv_client::KvClient store{runtime, settings};
  replica::StandbyReplica standby{runtime, settings, store};
  std::map<std::string, Value> sent_attachments;
  std::shared_ptr<const events::InheritedHints> inherited;

  StandbyFixture() {
    standby.attachment.connect(runtime,
                               [this](const auto& event) { sent_attachments[event.peer] = event.value; });
    standby.hints_inherited.connect(runtime, [this](const auto& event) { inherited = event; });
    standby.on_term({false, golden::kTerm, 0, "c0", {}, {}});
  }
  void receive(const std::string& name) { standby.on_attachment({"c0", value_of(name)}); }
  void begin_term() { standby.on_term({true, golden::kTerm + 1, 60, "c1", {}, {}}); }
};

void expect_same(const events::MachineHint& actual, const events::MachineHint& expected) {
  EXPECT_EQ(actual.host, expected.host);
  EXPECT_EQ(actual.address, expected.address);
  EXPECT_EQ(actual.machine_type, expected.machine_type);
  EXPECT_EQ(actual.zone, expected.zone);
  EXPECT_EQ(actual.spot, expected.spot);
  EXPECT_EQ(actual.silent, expected.silent);
  EXPECT_EQ(actual.has_room, expected.has_room);
  EXPECT_EQ(actual.incarnation, expected.incarnation);
  EXPECT_EQ(actual.speed_samples, expected.speed_samples);
  EXPECT_EQ(actual.slowness, expected.slowness);
  ASSERT_EQ(actual.images.size(), expected.images.size());
  for (std::size_t i = 0; i < actual.images.size(); ++i) {
    EXPECT_EQ(actual.images[i].image, expected.images[i].image);
    EXPECT_EQ(actual.images[i].gb, expected.images[i].gb);
  }
  ASSERT_EQ(actual.fetches.size(), expected.fetches.size());
  for (std::size_t i = 0; i < actual.fetches.size(); ++i) {
    EXPECT_EQ(actual.fetches[i].image, expected.fetches[i].image);
    EXPECT_EQ(actual.fetches[i].size_gb, expected.fetches[i].size_gb);
    EXPECT_EQ(actual.fetches[i].remaining_gb, expected.fetches[i].remaining_gb);
  }
  ASSERT_EQ(actual.failures.size(), expected.failures.size());
  for (std::size_t i = 0; i < actual.failures.size(); ++i) {
    EXPECT_EQ(actual.failures[i].job_id, expected.failures[i].job_id);
    EXPECT_EQ(actual.failures[i].ago, expected.failures[i].ago);
  }
}

void expect_same(const events::JobClassHint& actual, const events::JobClassHint& expected) {
  EXPECT_EQ(actual.job_class, expected.job_class);
  ASSERT_EQ(actual.jobs.size(), expected.jobs.size());
  for (std::size_t i = 0; i < actual.jobs.size(); ++i) {
    EXPECT_EQ(actual.jobs[i].job_id, expected.jobs[i].job_id);
    EXPECT_EQ(actual.jobs[i].log_ratio_sum, expected.jobs[i].log_ratio_sum);
    EXPECT_EQ(actual.jobs[i].tasks, expected.jobs[i].tasks);
  }
}

void expect_same(const events::JobHint& actual, const events::JobHint& expected) {
  EXPECT_EQ(actual.job_id, expected.job_id);
  EXPECT_EQ(actual.hosts, expected.hosts);
  EXPECT_EQ(actual.retry_pause, expected.retry_pause);
  EXPECT_EQ(actual.retry_count, expected.retry_count);
}

void expect_same(const events::RentalHint& actual, const events::RentalHint& expected) {
  EXPECT_EQ(actual.host, expected.host);
  EXPECT_EQ(actual.machine_type, expected.machine_type);
  EXPECT_EQ(actual.zone, expected.zone);
  EXPECT_EQ(actual.spot, expected.spot);
  EXPECT_EQ(actual.age, expected.age);
  EXPECT_EQ(actual.report_due, expected.report_due);
}

void expect_same(const events::RentalRequestHint& actual, const events::RentalRequestHint& expected) {
  EXPECT_EQ(actual.name, expected.name);
  EXPECT_EQ(actual.machine_type, expected.machine_type);
  EXPECT_EQ(actual.zone, expected.zone);
  EXPECT_EQ(actual.spot, expected.spot);
  EXPECT_EQ(actual.count, expected.count);
}

/// Returns the hints that this build decodes from one row sent by a peer.
events::InheritedHints inherited_from_row(const std::string& name) {
  const Value row = value_of(name);
  replica::HintTable table;
  const Value::List& columns = *row.list();
  EXPECT_TRUE(table.put({*columns[0].text(), columns[1], columns[2].count().value()}, Instant{}, 1, 1));
  return table.inherited_hints(Instant{});
}

}  // namespace

TEST(GoldenFileTest, EncodesAllValuesLikeProductionVersion) {
  for (const auto& [name, bytes] : golden::encoded_by_this_build())
    EXPECT_EQ(golden::to_hex(bytes), text_of(name)) << name;
}

TEST(GoldenFileTest, HasExactlyOneFilePerValue) {
  std::set<std::string> names;
  for (const auto& [name, bytes] : golden::encoded_by_this_build()) names.insert(name);
  std::set<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(WRENUSHER_GOLDEN_DIR)) {
    if (entry.path().extension() == ".hex") files.insert(entry.path().stem().string());
  }
  EXPECT_EQ(files, names);
}

TEST(GoldenFileTest, ParsesFormattedHexadecimalText) {
  std::string bytes;
  for (int i = 0; i < 300; ++i) bytes += static_cast<char>(i);
  EXPECT_EQ(golden::from_hex(golden::to_hex(bytes)), bytes);
}

// ---------------------------------------------------------------- records

TEST(GoldenRecordTest, DecodesJobs) {
  expect_job("record_job_array", golden::array_job(), false);
  expect_job("record_job_gang", golden::gang_job(), false);
  expect_job("record_job_service", golden::service_job(), false);
  expect_job("record_job_withdrawn", golden::gang_job(), true);
}

TEST(GoldenRecordTest, DistinguishesCancelledJobs) {
  const std::string key = records::job_key(golden::gang_job().job_id);
  EXPECT_EQ(records::cancelled_job(key, value_of("record_job_withdrawn")), golden::gang_job().job_id);
  EXPECT_EQ(records::cancelled_job(key, value_of("record_job_gang")), std::nullopt);
}

TEST(GoldenRecordTest, DecodesBlocksOfShard) {
  std::size_t unreadable = 0;
  const auto read = records::read_shard(value_of("record_claims"), golden::kShard, unreadable);
  ASSERT_TRUE(read);
  EXPECT_EQ(unreadable, 0U);
  const std::vector<records::StoredBlock> expected = golden::stored_blocks();
  ASSERT_EQ(read->size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const records::StoredBlock& block = (*read)[i];
    EXPECT_EQ(block.id.job_id, expected[i].id.job_id);
    EXPECT_EQ(block.id.block, expected[i].id.block);
    EXPECT_EQ(block.id.version, expected[i].id.version);
    EXPECT_EQ(block.state.last_attempt, expected[i].state.last_attempt);
    EXPECT_EQ(block.state.done, expected[i].state.done);
    ASSERT_EQ(block.state.assignments.size(), expected[i].state.assignments.size());
    for (std::size_t k = 0; k < block.state.assignments.size(); ++k) {
      EXPECT_EQ(block.state.assignments[k].host, expected[i].state.assignments[k].host);
      EXPECT_EQ(block.state.assignments[k].attempt, expected[i].state.assignments[k].attempt);
      EXPECT_EQ(block.state.assignments[k].tasks, expected[i].state.assignments[k].tasks);
    }
  }
}

TEST(GoldenRecordTest, DecodesEmptyShardAndRejectsValueOfOtherShard) {
  std::size_t unreadable = 0;
  const Value value = value_of("record_claims_empty");
  const auto read = records::read_shard(value, golden::kShard, unreadable);
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->empty());
  EXPECT_FALSE(records::read_shard(value, golden::kShard + 1, unreadable));
}

TEST(GoldenRecordTest, DecodesFinalStates) {
  const Value done = value_of("record_end_done");
  EXPECT_EQ(*done["s"].text(), "done");
  EXPECT_EQ(done["n"].count(), 1000U);
  const Value cancelled = value_of("record_end_withdrawn");
  EXPECT_EQ(*cancelled["s"].text(), "withdrawn");
  EXPECT_EQ(cancelled["n"].count(), 4U);
}

TEST(GoldenRecordTest, DecodesCatalog) {
  EXPECT_EQ(read_catalog(value_of("record_catalog")), golden::catalog());
}

TEST(GoldenRecordTest, OtherControllerDecodesLeader) {
  Candidate candidate("c1");
  candidate.respond("GET /store?starts=leader", leader_listed());
  ASSERT_FALSE(candidate.terms.empty());
  EXPECT_FALSE(candidate.terms.back().leading);
  EXPECT_EQ(candidate.terms.back().fencing_token, 5U);
  EXPECT_EQ(candidate.terms.back().leader, "c0");
}

TEST(GoldenRecordTest, RestartedLeaderDecodesItsRecordAndBeginsNextTerm) {
  Candidate candidate("c0");
  events::PeerStatus peer;  // without a status from a peer, the candidate would wait for one
  peer.node = "c1";
  peer.request_sent_at = candidate.runtime.at;
  candidate.leadership.on_peer_status(peer);
  candidate.respond("GET /store?starts=leader", leader_listed());
  candidate.respond("POST /holds", Value::Map{{"tenancy", 13}});
  candidate.respond("GET /store/epoch",
                    Value::Map{{"k", "epoch"}, {"value", value_of("record_epoch")}, {"stamp", 41}});
  candidate.respond("POST /multi", Value::Map{{"ledger_rev", 42}});
  ASSERT_FALSE(candidate.terms.empty());
  EXPECT_TRUE(candidate.terms.back().leading);
  EXPECT_EQ(candidate.terms.back().fencing_token, 6U);  // the record has 5
}

TEST(GoldenRecordTest, DecodesEpochAndTopologyVersion) {
  Candidate candidate("c0");
  candidate.respond("GET /store?starts=leader",
                    Value::Map{{"rows", Value::List{}}, {"truncated", false}, {"ledger_rev", 41}});
  candidate.respond("POST /holds", Value::Map{{"tenancy", 13}});
  candidate.respond(
      "GET /store/epoch",
      Value::Map{{"k", "epoch"}, {"value", value_of("record_epoch_with_topology")}, {"stamp", 41}});
  candidate.respond("POST /multi", Value::Map{{"ledger_rev", 42}});
  ASSERT_FALSE(candidate.terms.empty());
  EXPECT_EQ(candidate.terms.back().fencing_token, 6U);
  ASSERT_FALSE(candidate.topologies.empty());
  EXPECT_EQ(candidate.topologies.back().version, golden::active_topology()->version());
}

// ---------------------------------------------------------------- heartbeats

TEST(GoldenHeartbeatTest, DecodesFirstHeartbeat) {
  Receiver receiver;
  receiver.receive("heartbeat_first");
  ASSERT_EQ(receiver.statuses.size(), 1U);
  EXPECT_EQ(receiver.statuses[0].node, "c0");
  EXPECT_EQ(receiver.statuses[0].fencing_token, 0U);
  EXPECT_EQ(receiver.statuses[0].leader, "");
  EXPECT_FALSE(receiver.statuses[0].leading);
  EXPECT_FALSE(receiver.statuses[0].kv_reachable);
  EXPECT_FALSE(receiver.statuses[0].receives_reports);
  EXPECT_EQ(receiver.statuses[0].topology, topology::TopologyVersion{});
  EXPECT_EQ(receiver.statuses[0].readiness, events::Readiness::cold);
  EXPECT_FALSE(receiver.statuses[0].abstains);
  EXPECT_TRUE(receiver.cancelled_jobs.empty());
  EXPECT_TRUE(receiver.announcements.empty());
  EXPECT_TRUE(receiver.progress.empty());
  EXPECT_TRUE(receiver.attachments.empty());
}

TEST(GoldenHeartbeatTest, DecodesHeartbeatOfLeader) {
  Receiver receiver;
  receiver.receive("heartbeat_of_leader");
  ASSERT_EQ(receiver.statuses.size(), 1U);
  EXPECT_EQ(receiver.statuses[0].node, "c0");
  EXPECT_EQ(receiver.statuses[0].fencing_token, golden::kTerm);
  EXPECT_EQ(receiver.statuses[0].leader, "c0");
  EXPECT_TRUE(receiver.statuses[0].leading);
  EXPECT_TRUE(receiver.statuses[0].kv_reachable);
  EXPECT_TRUE(receiver.statuses[0].receives_reports);
  EXPECT_EQ(receiver.statuses[0].topology, golden::active_topology()->version());
  EXPECT_EQ(receiver.statuses[0].active_topology, golden::active_topology()->version());
  EXPECT_EQ(receiver.statuses[0].readiness, events::Readiness::warm);
  EXPECT_FALSE(receiver.statuses[0].abstains);
  EXPECT_EQ(receiver.cancelled_jobs, std::vector{golden::gang_job().job_id});
  ASSERT_EQ(receiver.announcements.size(), 2U);
  EXPECT_EQ(receiver.announcements[0].job_id, golden::array_job().job_id);
  EXPECT_EQ(receiver.announcements[0].stage, events::JobStage::accepted);
  EXPECT_EQ(receiver.announcements[1].job_id, golden::service_job().job_id);
  EXPECT_EQ(receiver.announcements[1].stage, events::JobStage::finished);
  ASSERT_EQ(receiver.progress.size(), 1U);
  ASSERT_EQ(receiver.progress[0].rows.size(), golden::progress().rows.size());
  for (std::size_t i = 0; i < receiver.progress[0].rows.size(); ++i) {
    EXPECT_EQ(receiver.progress[0].rows[i].job_id, golden::progress().rows[i].job_id);
    EXPECT_EQ(receiver.progress[0].rows[i].done, golden::progress().rows[i].done);
    EXPECT_EQ(receiver.progress[0].rows[i].running, golden::progress().rows[i].running);
  }
  ASSERT_EQ(receiver.attachments.size(), 1U);
  EXPECT_EQ(receiver.attachments[0].peer, "c0");
  EXPECT_EQ(receiver.attachments[0].value, value_of("hints_all"));
}

TEST(GoldenHeartbeatTest, DecodesResponseToHeartbeat) {
  Receiver receiver;
  receiver.peer.start();
  receiver.runtime.calls.at(0).done({true, true, {200, bytes_of("heartbeat_answer"), 0}});
  ASSERT_EQ(receiver.statuses.size(), 1U);
  EXPECT_EQ(receiver.statuses[0].node, "c0");
  EXPECT_EQ(receiver.statuses[0].fencing_token, golden::kTerm);
  EXPECT_TRUE(receiver.statuses[0].leading);
  EXPECT_TRUE(receiver.statuses[0].request_sent_at.has_value());
  EXPECT_EQ(receiver.cancelled_jobs, std::vector{golden::gang_job().job_id});
  EXPECT_EQ(receiver.announcements.size(), 2U);
}

TEST(GoldenHeartbeatTest, DecodesHeartbeatOfSteppingDownLeader) {
  Receiver receiver;
  receiver.receive("heartbeat_abstaining");
  ASSERT_EQ(receiver.statuses.size(), 1U);
  EXPECT_TRUE(receiver.statuses[0].abstains);
  EXPECT_EQ(receiver.statuses[0].successor, "c2");
}

// ---------------------------------------------------------------- hints

TEST(GoldenHintTest, DecodesRowsOfEachKind) {
  const auto machines = inherited_from_row("hint_machine").machines;
  ASSERT_EQ(machines.size(), 1U);
  expect_same(machines.begin()->second, golden::machine_hint());
  const auto job_classes = inherited_from_row("hint_queue").job_classes;
  ASSERT_EQ(job_classes.size(), 1U);
  expect_same(job_classes[0], golden::job_class_hint());
  const auto jobs = inherited_from_row("hint_job").jobs;
  ASSERT_EQ(jobs.size(), 1U);
  expect_same(jobs[0], golden::job_hint());
  const auto rentals = inherited_from_row("hint_rental").rentals.rentals;
  ASSERT_EQ(rentals.size(), 1U);
  expect_same(rentals[0], golden::rental_hint());
  const auto rental_requests = inherited_from_row("hint_booking").rentals.requests;
  ASSERT_EQ(rental_requests.size(), 1U);
  expect_same(rental_requests[0], golden::rental_request_hint());
}

TEST(GoldenHintTest, NewLeaderInheritsAllHints) {
  StandbyFixture fixture;
  fixture.receive("hints_all");
  fixture.begin_term();
  ASSERT_TRUE(fixture.inherited);
  EXPECT_EQ(fixture.inherited->term, golden::kTerm + 1);
  EXPECT_TRUE(fixture.inherited->complete);
  ASSERT_EQ(fixture.inherited->machines.size(), 1U);
  expect_same(fixture.inherited->machines.begin()->second, golden::machine_hint());
  ASSERT_EQ(fixture.inherited->job_classes.size(), 1U);
  expect_same(fixture.inherited->job_classes[0], golden::job_class_hint());
  ASSERT_EQ(fixture.inherited->jobs.size(), 1U);
  expect_same(fixture.inherited->jobs[0], golden::job_hint());
  ASSERT_EQ(fixture.inherited->rentals.rentals.size(), 1U);
  expect_same(fixture.inherited->rentals.rentals[0], golden::rental_hint());
  ASSERT_EQ(fixture.inherited->rentals.requests.size(), 1U);
  expect_same(fixture.inherited->rentals.requests[0], golden::rental_request_hint());
}

TEST(GoldenHintTest, NewLeaderDoesNotInheritDepartedMachine) {
  StandbyFixture fixture;
  fixture.receive("hints_all");
  fixture.receive("hints_machine_gone");
  fixture.begin_term();
  ASSERT_TRUE(fixture.inherited);
  EXPECT_TRUE(fixture.inherited->machines.empty());
  EXPECT_EQ(fixture.inherited->job_classes.size(), 1U);
}

TEST(GoldenHintTest, StandbyConfirmsReceivedMessage) {
  StandbyFixture fixture;
  fixture.receive("hints_all");
  fixture.standby.on_heartbeat_sent({});
  ASSERT_EQ(fixture.sent_attachments.at("c0")["got"].list()->size(), 1U);
  EXPECT_EQ((*fixture.sent_attachments.at("c0")["got"].list())[0], value_of("hints_all")["hints"]["n"]);
}

TEST(GoldenHintTest, LeaderReportsNoChangesAfterConfirmation) {
  StandbyFixture leader;
  leader.standby.on_term({true, golden::kTerm, 40, "c1", {}, {}});
  leader.receive("hints_before_any");
  leader.standby.on_leader_hints(std::make_shared<const events::LeaderHints>(
      events::LeaderHints{{golden::machine_hint()}, {golden::job_class_hint()}, {golden::job_hint()}}));
  leader.standby.on_heartbeat_sent({});
  EXPECT_EQ(leader.sent_attachments.at("c0")["hints"]["rows"].list()->size(), 3U);
  EXPECT_EQ(leader.sent_attachments.at("c0")["hints"]["n"].count(), 1U);
  leader.receive("hints_confirmed");
  leader.standby.on_heartbeat_sent({});
  EXPECT_TRUE(leader.sent_attachments.at("c0")["hints"].is_null());
  EXPECT_EQ(leader.sent_attachments.at("c0")["even"], value_of("hints_confirmed")["life"]);
}

TEST(GoldenHintTest, StandbyKeepsHintsWhileLeaderReportsNoChanges) {
  // The golden message is addressed to the incarnation of the standby that was used to write the files.
  ManualRuntime runtime;
  runtime.random().discard(1);
  const settings::Settings settings = golden::settings_of("c1");
  kv_client::KvClient store(runtime, settings);
  replica::StandbyReplica standby(runtime, settings, store);
  standby.on_term({false, golden::kTerm, 0, "c0", {}, {}});
  EXPECT_EQ(standby.readiness(), events::Readiness::cold);
  standby.on_attachment({"c0", value_of("hints_all")});
  EXPECT_EQ(standby.readiness(), events::Readiness::partial);
  runtime.pass(from_seconds(6));
  EXPECT_EQ(standby.readiness(), events::Readiness::cold);
  standby.on_attachment({"c0", value_of("hints_even")});
  EXPECT_EQ(standby.readiness(), events::Readiness::partial);
}
