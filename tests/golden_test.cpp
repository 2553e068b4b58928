// Golden files: the bytes in which the production version writes every stored record, heartbeat and hint.
// This build must read each to the values that were written, and write the same bytes for them, so that both
// versions can run beside each other and after each other.

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
  const auto v = decode(bytes_of(name));
  EXPECT_TRUE(v) << name;
  return v.value_or(Value());
}

void expect_job(const std::string& name, const JobSpec& spec, bool withdrawn) {
  const auto job = records::read_job(value_of(name));
  ASSERT_TRUE(job) << name;
  EXPECT_EQ(job->spec, spec) << name;
  EXPECT_EQ(job->accepted_at, golden::kAccepted) << name;
  EXPECT_EQ(job->tasks_per_block, golden::kTasksPerBlock) << name;
  EXPECT_EQ(job->cancelled, withdrawn) << name;
}

/// One controller's leadership, with the state service answered by hand.
struct Candidate {
  ByHand node;
  settings::Settings settings;
  kv_client::KvClient store{node, settings};
  membership::Leadership leadership{node, settings, store};
  std::vector<events::TermChanged> terms;
  std::vector<events::TopologyActivated> topologies;

  explicit Candidate(const std::string& name) : settings(golden::settings_of(name)) {
    leadership.term_changed.connect(node, [this](const auto& t) { terms.push_back(t); });
    leadership.topology_activated.connect(node, [this](const auto& t) { topologies.push_back(t); });
    leadership.start();
  }
  /// Answers the next call whose method and target begin so; the clock moves until it comes.
  void answer(const std::string& begins, const Value& body) {
    for (const Instant end = node.at + from_seconds(3); node.at < end; node.pass(from_millis(10))) {
      for (auto call = node.calls.begin(); call != node.calls.end(); ++call) {
        if (!(call->request.method + " " + call->request.target).starts_with(begins)) continue;
        const ByHand::Call c = std::move(*call);
        node.calls.erase(call);
        c.done({true, true, {200, encode(body), 0}});
        return;
      }
    }
    ADD_FAILURE() << "no call " << begins;
  }
};

/// What the state service answers to whoever lists the record of the leader.
Value leader_listed() {
  return Value::Map{
      {"rows", Value::List{Value::Map{{"k", "leader"}, {"value", value_of("record_leader")}, {"stamp", 41}}}},
      {"truncated", false},
      {"ledger_rev", 41}};
}

/// A controller's heartbeats, with all that it takes out of those of others.
struct Receiver {
  ByHand node;
  settings::Settings settings = golden::settings_of("c1");
  membership::Peer peer{node, settings};
  std::vector<events::PeerStatus> news;
  std::vector<std::string> withdrawn;
  std::vector<events::StageAnnouncement> announced;
  std::vector<events::Progress> progress;
  std::vector<events::HeartbeatAttachment> asides;

  Receiver() {
    peer.peer_status.connect(node, [this](const auto& n) { news.push_back(n); });
    peer.job_cancelled.connect(node, [this](const auto& w) { withdrawn.push_back(w.job_id); });
    peer.stage_announced.connect(node, [this](const auto& a) { announced.push_back(a); });
    peer.progress.connect(node, [this](const auto& p) { progress.push_back(*p); });
    peer.attachment_received.connect(node, [this](const auto& a) { asides.push_back(a); });
  }
  void take(const std::string& name) {
    int status = 0;
    peer.serve({"POST", "/beat", bytes_of(name)}, [&](const Response& r) { status = r.status; });
    EXPECT_EQ(status, 200);
  }
};

/// A controller's standby package, with what it hands over and what it gives to be sent.
struct Follower {
  ByHand node;
  settings::Settings settings = golden::settings_of("c1");
  kv_client::KvClient store{node, settings};
  replica::StandbyReplica standby{node, settings, store};
  std::map<std::string, Value> to_send;
  std::shared_ptr<const events::InheritedHints> inherited;

  Follower() {
    standby.attachment.connect(node, [this](const auto& a) { to_send[a.peer] = a.value; });
    standby.hints_inherited.connect(node, [this](const auto& i) { inherited = i; });
    standby.on_term({false, golden::kTerm, 0, "c0", {}, {}});
  }
  void take(const std::string& name) { standby.on_attachment({"c0", value_of(name)}); }
  void lead() { standby.on_term({true, golden::kTerm + 1, 60, "c1", {}, {}}); }
};

void expect_same(const events::MachineHint& a, const events::MachineHint& b) {
  EXPECT_EQ(a.host, b.host);
  EXPECT_EQ(a.address, b.address);
  EXPECT_EQ(a.machine_type, b.machine_type);
  EXPECT_EQ(a.zone, b.zone);
  EXPECT_EQ(a.spot, b.spot);
  EXPECT_EQ(a.silent, b.silent);
  EXPECT_EQ(a.has_room, b.has_room);
  EXPECT_EQ(a.incarnation, b.incarnation);
  EXPECT_EQ(a.speed_samples, b.speed_samples);
  EXPECT_EQ(a.slowness, b.slowness);
  ASSERT_EQ(a.images.size(), b.images.size());
  for (std::size_t i = 0; i < a.images.size(); ++i) {
    EXPECT_EQ(a.images[i].image, b.images[i].image);
    EXPECT_EQ(a.images[i].gb, b.images[i].gb);
  }
  ASSERT_EQ(a.fetches.size(), b.fetches.size());
  for (std::size_t i = 0; i < a.fetches.size(); ++i) {
    EXPECT_EQ(a.fetches[i].image, b.fetches[i].image);
    EXPECT_EQ(a.fetches[i].size_gb, b.fetches[i].size_gb);
    EXPECT_EQ(a.fetches[i].remaining_gb, b.fetches[i].remaining_gb);
  }
  ASSERT_EQ(a.failures.size(), b.failures.size());
  for (std::size_t i = 0; i < a.failures.size(); ++i) {
    EXPECT_EQ(a.failures[i].job_id, b.failures[i].job_id);
    EXPECT_EQ(a.failures[i].ago, b.failures[i].ago);
  }
}

void expect_same(const events::JobClassHint& a, const events::JobClassHint& b) {
  EXPECT_EQ(a.job_class, b.job_class);
  ASSERT_EQ(a.jobs.size(), b.jobs.size());
  for (std::size_t i = 0; i < a.jobs.size(); ++i) {
    EXPECT_EQ(a.jobs[i].job_id, b.jobs[i].job_id);
    EXPECT_EQ(a.jobs[i].log_ratio_sum, b.jobs[i].log_ratio_sum);
    EXPECT_EQ(a.jobs[i].tasks, b.jobs[i].tasks);
  }
}

void expect_same(const events::JobHint& a, const events::JobHint& b) {
  EXPECT_EQ(a.job_id, b.job_id);
  EXPECT_EQ(a.hosts, b.hosts);
  EXPECT_EQ(a.retry_pause, b.retry_pause);
  EXPECT_EQ(a.retry_count, b.retry_count);
}

void expect_same(const events::RentalHint& a, const events::RentalHint& b) {
  EXPECT_EQ(a.host, b.host);
  EXPECT_EQ(a.machine_type, b.machine_type);
  EXPECT_EQ(a.zone, b.zone);
  EXPECT_EQ(a.spot, b.spot);
  EXPECT_EQ(a.age, b.age);
  EXPECT_EQ(a.report_due, b.report_due);
}

void expect_same(const events::RentalRequestHint& a, const events::RentalRequestHint& b) {
  EXPECT_EQ(a.name, b.name);
  EXPECT_EQ(a.machine_type, b.machine_type);
  EXPECT_EQ(a.zone, b.zone);
  EXPECT_EQ(a.spot, b.spot);
  EXPECT_EQ(a.count, b.count);
}

/// What is handed over of one row that a peer sent, by this build's reader.
events::InheritedHints inherited_of_row(const std::string& name) {
  const Value row = value_of(name);
  replica::HintTable picture;
  const Value::List& fields = *row.list();
  EXPECT_TRUE(picture.put({*fields[0].text(), fields[1], fields[2].count().value()}, Instant{}, 1, 1));
  return picture.inherited_hints(Instant{});
}

}  // namespace

TEST(Golden, ThisBuildWritesEveryByteAsProductionDoes) {
  for (const auto& [name, bytes] : golden::encoded_by_this_build())
    EXPECT_EQ(golden::to_hex(bytes), text_of(name)) << name;
}

TEST(Golden, ThereIsOneFileForEachValueAndNoOther) {
  std::set<std::string> names;
  for (const auto& [name, bytes] : golden::encoded_by_this_build()) names.insert(name);
  std::set<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(WRENUSHER_GOLDEN_DIR)) {
    if (entry.path().extension() == ".hex") files.insert(entry.path().stem().string());
  }
  EXPECT_EQ(files, names);
}

TEST(Golden, HexadecimalTextIsReadBack) {
  std::string bytes;
  for (int i = 0; i < 300; ++i) bytes += static_cast<char>(i);
  EXPECT_EQ(golden::from_hex(golden::to_hex(bytes)), bytes);
}

// ---------------------------------------------------------------- records

TEST(GoldenRecords, JobsAreRead) {
  expect_job("record_job_array", golden::array_job(), false);
  expect_job("record_job_gang", golden::gang_job(), false);
  expect_job("record_job_service", golden::service_job(), false);
  expect_job("record_job_withdrawn", golden::gang_job(), true);
}

TEST(GoldenRecords, CancelledJobsAreToldApart) {
  const std::string key = records::job_key(golden::gang_job().job_id);
  EXPECT_EQ(records::cancelled_job(key, value_of("record_job_withdrawn")), golden::gang_job().job_id);
  EXPECT_EQ(records::cancelled_job(key, value_of("record_job_gang")), std::nullopt);
}

TEST(GoldenRecords, BlocksOfClaimsAreRead) {
  std::size_t unreadable = 0;
  const auto read = records::read_shard(value_of("record_claims"), golden::kSlot, unreadable);
  ASSERT_TRUE(read);
  EXPECT_EQ(unreadable, 0U);
  const std::vector<records::StoredBlock> expected = golden::blocks();
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

TEST(GoldenRecords, ASlotWithoutBlocksIsReadAndAnotherSlotsValueIsNot) {
  std::size_t unreadable = 0;
  const Value v = value_of("record_claims_empty");
  const auto read = records::read_shard(v, golden::kSlot, unreadable);
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->empty());
  EXPECT_FALSE(records::read_shard(v, golden::kSlot + 1, unreadable));
}

TEST(GoldenRecords, EndsOfJobsAreRead) {
  const Value done = value_of("record_end_done");
  EXPECT_EQ(*done["s"].text(), "done");
  EXPECT_EQ(done["n"].count(), 1000U);
  const Value withdrawn = value_of("record_end_withdrawn");
  EXPECT_EQ(*withdrawn["s"].text(), "withdrawn");
  EXPECT_EQ(withdrawn["n"].count(), 4U);
}

TEST(GoldenRecords, TheCatalogIsRead) {
  EXPECT_EQ(read_catalog(value_of("record_catalog")), golden::catalog());
}

TEST(GoldenRecords, TheLeaderIsReadByAnotherController) {
  Candidate c("c1");
  c.answer("GET /store?starts=leader", leader_listed());
  ASSERT_FALSE(c.terms.empty());
  EXPECT_FALSE(c.terms.back().leading);
  EXPECT_EQ(c.terms.back().fencing_token, 5U);
  EXPECT_EQ(c.terms.back().leader, "c0");
}

TEST(GoldenRecords, AControllerKnowsTheRecordOfItsEarlierLifeAndBeginsTheNextTerm) {
  Candidate c("c0");
  events::PeerStatus peer;  // one that was not heard would be waited for
  peer.node = "c1";
  peer.request_sent_at = c.node.at;
  c.leadership.on_peer_status(peer);
  c.answer("GET /store?starts=leader", leader_listed());
  c.answer("POST /holds", Value::Map{{"tenancy", 13}});
  c.answer("GET /store/epoch",
           Value::Map{{"k", "epoch"}, {"value", value_of("record_epoch")}, {"stamp", 41}});
  c.answer("POST /multi", Value::Map{{"ledger_rev", 42}});
  ASSERT_FALSE(c.terms.empty());
  EXPECT_TRUE(c.terms.back().leading);
  EXPECT_EQ(c.terms.back().fencing_token, 6U);  // the record has 5
}

TEST(GoldenRecords, TheEpochAndItsTopologyAreRead) {
  Candidate c("c0");
  c.answer("GET /store?starts=leader",
           Value::Map{{"rows", Value::List{}}, {"truncated", false}, {"ledger_rev", 41}});
  c.answer("POST /holds", Value::Map{{"tenancy", 13}});
  c.answer("GET /store/epoch",
           Value::Map{{"k", "epoch"}, {"value", value_of("record_epoch_with_topology")}, {"stamp", 41}});
  c.answer("POST /multi", Value::Map{{"ledger_rev", 42}});
  ASSERT_FALSE(c.terms.empty());
  EXPECT_EQ(c.terms.back().fencing_token, 6U);
  ASSERT_FALSE(c.topologies.empty());
  EXPECT_EQ(c.topologies.back().version, golden::topology_in_use()->version());
}

// ---------------------------------------------------------------- heartbeats

TEST(GoldenHeartbeats, TheFirstIsRead) {
  Receiver r;
  r.take("heartbeat_first");
  ASSERT_EQ(r.news.size(), 1U);
  EXPECT_EQ(r.news[0].node, "c0");
  EXPECT_EQ(r.news[0].fencing_token, 0U);
  EXPECT_EQ(r.news[0].leader, "");
  EXPECT_FALSE(r.news[0].leading);
  EXPECT_FALSE(r.news[0].kv_reachable);
  EXPECT_FALSE(r.news[0].receives_reports);
  EXPECT_EQ(r.news[0].topology, topology::TopologyVersion{});
  EXPECT_EQ(r.news[0].readiness, events::Readiness::cold);
  EXPECT_FALSE(r.news[0].abstains);
  EXPECT_TRUE(r.withdrawn.empty());
  EXPECT_TRUE(r.announced.empty());
  EXPECT_TRUE(r.progress.empty());
  EXPECT_TRUE(r.asides.empty());
}

TEST(GoldenHeartbeats, ALeadersIsRead) {
  Receiver r;
  r.take("heartbeat_of_leader");
  ASSERT_EQ(r.news.size(), 1U);
  EXPECT_EQ(r.news[0].node, "c0");
  EXPECT_EQ(r.news[0].fencing_token, golden::kTerm);
  EXPECT_EQ(r.news[0].leader, "c0");
  EXPECT_TRUE(r.news[0].leading);
  EXPECT_TRUE(r.news[0].kv_reachable);
  EXPECT_TRUE(r.news[0].receives_reports);
  EXPECT_EQ(r.news[0].topology, golden::topology_in_use()->version());
  EXPECT_EQ(r.news[0].active_topology, golden::topology_in_use()->version());
  EXPECT_EQ(r.news[0].readiness, events::Readiness::warm);
  EXPECT_FALSE(r.news[0].abstains);
  EXPECT_EQ(r.withdrawn, std::vector{golden::gang_job().job_id});
  ASSERT_EQ(r.announced.size(), 2U);
  EXPECT_EQ(r.announced[0].job_id, golden::array_job().job_id);
  EXPECT_EQ(r.announced[0].stage, events::JobStage::accepted);
  EXPECT_EQ(r.announced[1].job_id, golden::service_job().job_id);
  EXPECT_EQ(r.announced[1].stage, events::JobStage::finished);
  ASSERT_EQ(r.progress.size(), 1U);
  ASSERT_EQ(r.progress[0].rows.size(), golden::progress().rows.size());
  for (std::size_t i = 0; i < r.progress[0].rows.size(); ++i) {
    EXPECT_EQ(r.progress[0].rows[i].job_id, golden::progress().rows[i].job_id);
    EXPECT_EQ(r.progress[0].rows[i].done, golden::progress().rows[i].done);
    EXPECT_EQ(r.progress[0].rows[i].running, golden::progress().rows[i].running);
  }
  ASSERT_EQ(r.asides.size(), 1U);
  EXPECT_EQ(r.asides[0].peer, "c0");
  EXPECT_EQ(r.asides[0].value, value_of("hints_all"));
}

TEST(GoldenHeartbeats, TheAnswerToAHeartbeatIsRead) {
  Receiver r;
  r.peer.start();
  r.node.calls.at(0).done({true, true, {200, bytes_of("heartbeat_answer"), 0}});
  ASSERT_EQ(r.news.size(), 1U);
  EXPECT_EQ(r.news[0].node, "c0");
  EXPECT_EQ(r.news[0].fencing_token, golden::kTerm);
  EXPECT_TRUE(r.news[0].leading);
  EXPECT_TRUE(r.news[0].request_sent_at.has_value());
  EXPECT_EQ(r.withdrawn, std::vector{golden::gang_job().job_id});
  EXPECT_EQ(r.announced.size(), 2U);
}

TEST(GoldenHeartbeats, OneThatGivesTheLeadAwayIsRead) {
  Receiver r;
  r.take("heartbeat_abstaining");
  ASSERT_EQ(r.news.size(), 1U);
  EXPECT_TRUE(r.news[0].abstains);
  EXPECT_EQ(r.news[0].successor, "c2");
}

// ---------------------------------------------------------------- hints

TEST(GoldenHints, RowsOfEachKindAreRead) {
  const auto machines = inherited_of_row("hint_machine").machines;
  ASSERT_EQ(machines.size(), 1U);
  expect_same(machines.begin()->second, golden::machine_hint());
  const auto queues = inherited_of_row("hint_queue").job_classes;
  ASSERT_EQ(queues.size(), 1U);
  expect_same(queues[0], golden::queue_hint());
  const auto jobs = inherited_of_row("hint_job").jobs;
  ASSERT_EQ(jobs.size(), 1U);
  expect_same(jobs[0], golden::job_hint());
  const auto rentals = inherited_of_row("hint_rental").rentals.rentals;
  ASSERT_EQ(rentals.size(), 1U);
  expect_same(rentals[0], golden::rental_hint());
  const auto bookings = inherited_of_row("hint_booking").rentals.requests;
  ASSERT_EQ(bookings.size(), 1U);
  expect_same(bookings[0], golden::booking_hint());
}

TEST(GoldenHints, AFollowerTakesOverAllThatTheLeaderSent) {
  Follower f;
  f.take("hints_all");
  f.lead();
  ASSERT_TRUE(f.inherited);
  EXPECT_EQ(f.inherited->term, golden::kTerm + 1);
  EXPECT_TRUE(f.inherited->complete);
  ASSERT_EQ(f.inherited->machines.size(), 1U);
  expect_same(f.inherited->machines.begin()->second, golden::machine_hint());
  ASSERT_EQ(f.inherited->job_classes.size(), 1U);
  expect_same(f.inherited->job_classes[0], golden::queue_hint());
  ASSERT_EQ(f.inherited->jobs.size(), 1U);
  expect_same(f.inherited->jobs[0], golden::job_hint());
  ASSERT_EQ(f.inherited->rentals.rentals.size(), 1U);
  expect_same(f.inherited->rentals.rentals[0], golden::rental_hint());
  ASSERT_EQ(f.inherited->rentals.requests.size(), 1U);
  expect_same(f.inherited->rentals.requests[0], golden::booking_hint());
}

TEST(GoldenHints, AMachineThatIsGoneIsNotTakenOver) {
  Follower f;
  f.take("hints_all");
  f.take("hints_machine_gone");
  f.lead();
  ASSERT_TRUE(f.inherited);
  EXPECT_TRUE(f.inherited->machines.empty());
  EXPECT_EQ(f.inherited->job_classes.size(), 1U);
}

TEST(GoldenHints, AFollowerConfirmsWhatItTook) {
  Follower f;
  f.take("hints_all");
  f.standby.on_heartbeat_sent({});
  ASSERT_EQ(f.to_send.at("c0")["got"].list()->size(), 1U);
  EXPECT_EQ((*f.to_send.at("c0")["got"].list())[0], value_of("hints_all")["hints"]["n"]);
}

TEST(GoldenHints, ALeaderTakesTheConfirmationAndThenSaysThatNothingIsNew) {
  Follower leader;
  leader.standby.on_term({true, golden::kTerm, 40, "c1", {}, {}});
  leader.take("hints_before_any");
  leader.standby.on_leader_hints(std::make_shared<const events::LeaderHints>(
      events::LeaderHints{{golden::machine_hint()}, {golden::queue_hint()}, {golden::job_hint()}}));
  leader.standby.on_heartbeat_sent({});
  EXPECT_EQ(leader.to_send.at("c0")["hints"]["rows"].list()->size(), 3U);
  EXPECT_EQ(leader.to_send.at("c0")["hints"]["n"].count(), 1U);
  leader.take("hints_confirmed");
  leader.standby.on_heartbeat_sent({});
  EXPECT_TRUE(leader.to_send.at("c0")["hints"].is_null());
  EXPECT_EQ(leader.to_send.at("c0")["even"], value_of("hints_confirmed")["life"]);
}

TEST(GoldenHints, AFollowerKeepsBelievingWhatALeaderHasNothingNewAbout) {
  // The golden message is for the life of the follower that the files were written with.
  ByHand node;
  node.random().discard(1);
  const settings::Settings settings = golden::settings_of("c1");
  kv_client::KvClient store(node, settings);
  replica::StandbyReplica follower(node, settings, store);
  follower.on_term({false, golden::kTerm, 0, "c0", {}, {}});
  EXPECT_EQ(follower.readiness(), events::Readiness::cold);
  follower.on_attachment({"c0", value_of("hints_all")});
  EXPECT_EQ(follower.readiness(), events::Readiness::partial);
  node.pass(from_seconds(6));
  EXPECT_EQ(follower.readiness(), events::Readiness::cold);
  follower.on_attachment({"c0", value_of("hints_even")});
  EXPECT_EQ(follower.readiness(), events::Readiness::partial);
}
