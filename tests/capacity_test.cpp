// Checks that no fixed limit is below the size of one deployment: each test uses 4,500 of the items that a
// limit counts. Where a page holds fewer items, the test checks that all pages are processed.

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <fstream>

#include "job_api_fixture.hpp"
#include "verdict_assertions.hpp"
#include "wrenusher/leader/failover.hpp"
#include "wrenusher/log/log.hpp"
#include "wrenusher/membership/peer.hpp"
#include "wrenusher/net/open_files.hpp"
#include "wrenusher/provisioner/provisioner.hpp"
#include "wrenusher/replica/hint_table.hpp"
#include "wrenusher/replica/record_replica.hpp"
#include "wrenusher/scheduling_cycle/scheduling_cycle.hpp"
#include "wrenusher/testbed/live_transport.hpp"
#include "wrenusher/worker_gateway/worker_gateway.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::runtime::ManualRuntime;
namespace events = wrenusher::events;
namespace replica = wrenusher::replica;

namespace {

/// The number of machines, jobs, records or connections in each test.
constexpr int kItemCount = 4500;
/// The largest request body that a node accepts.
constexpr std::size_t kMaxRequestBodyBytes = 64 * 1024;

std::string host_name(int i) {
  return "m-" + std::to_string(100000 + i);
}

std::string job_ref(int i) {
  return "req-" + std::to_string(100000 + i);
}

WorkerReport make_report(const std::string& name) {
  WorkerReport report;
  report.host = name;
  report.address = "10.1.0.1:9000";
  report.machine_type = "small";
  report.zone = "a";
  report.fencing_token = 7;
  report.incarnation = report.sequence = 1;
  return report;
}

/// Returns the request with which a worker without tasks reports.
Request make_report_request(const std::string& name) {
  const WorkerReport report = make_report(name);
  return {"POST", "/hello",
          encode(Value::Map{{"host", report.host},
                            {"addr", report.address},
                            {"flavor", report.machine_type},
                            {"site", report.zone},
                            {"standby", false},
                            {"tenure", report.incarnation},
                            {"serial", report.sequence},
                            {"epoch", report.fencing_token},
                            {"units", Value::List{}}})};
}

events::TermChanged leader_term() {
  events::TermChanged term;
  term.fencing_token = 7;
  term.leading = true;
  return term;
}

/// One of two nodes, whose heartbeats the test delivers.
struct PeerNode {
  wrenusher::settings::Settings settings;
  wrenusher::membership::Peer peer;
  std::vector<events::StageAnnouncement> announced;
  std::vector<events::StageAnnouncement> confirmed;
  std::vector<std::string> cancelled;
  std::vector<bool> announcements_complete;  ///< the flag of each response, in order
  std::vector<std::shared_ptr<const events::Progress>> progress;

  PeerNode(ManualRuntime& runtime, const char* name, const char* other)
      : settings([&] {
          auto site = World::small_site();
          site.node = name;
          site.peers = {{other, "a", "10.0.0.2:8081"}};
          return site;
        }()),
        peer(runtime, settings) {
    peer.stage_announced.connect(
        runtime, [this](const events::StageAnnouncement& event) { announced.push_back(event); });
    peer.stage_confirmed.connect(
        runtime, [this](const events::StageAnnouncement& event) { confirmed.push_back(event); });
    peer.job_cancelled.connect(
        runtime, [this](const events::JobCancelled& event) { cancelled.push_back(event.job_id); });
    peer.peer_status.connect(runtime, [this](const events::PeerStatus& status) {
      if (status.request_sent_at) announcements_complete.push_back(status.announcements_complete);
    });
    peer.progress.connect(
        runtime, [this](const std::shared_ptr<const events::Progress>& event) { progress.push_back(event); });
  }
};

/// Two nodes; `sender` sends heartbeats, to which `receiver` responds.
struct PeerPair {
  ManualRuntime runtime;
  PeerNode sender{runtime, "c0", "c1"};
  PeerNode receiver{runtime, "c1", "c0"};
  std::size_t max_message_bytes = 0;  ///< size of the largest heartbeat or response so far

  PeerPair() {
    sender.peer.start();
    deliver();
  }
  /// Delivers all requests under way to the receiver, and its responses to the sender.
  void deliver() {
    for (ManualRuntime::Call& call : std::exchange(runtime.calls, {})) {
      max_message_bytes = std::max(max_message_bytes, call.request.body.size());
      receiver.peer.serve(call.request, [&](const Response& response) {
        max_message_bytes = std::max(max_message_bytes, response.body.size());
        call.done({true, true, response});
      });
    }
  }
  /// Lets the given number of heartbeat intervals pass, and delivers each heartbeat and its response.
  void run_heartbeats(int count) {
    for (int i = 0; i < count; ++i) {
      runtime.pass(from_millis(500));
      deliver();
    }
  }
};

}  // namespace

TEST(CapacityTest, IgnoresLateReportsOfManyDepartedMachines) {
  ManualRuntime runtime;
  const auto settings = World::small_site();
  wrenusher::worker_gateway::WorkerGateway gateway(runtime, settings);
  std::vector<std::string> reported;
  gateway.worker_reported.connect(
      runtime, [&](const events::WorkerReported& event) { reported.push_back(event.report->host); });
  gateway.on_term(leader_term());
  for (int i = 0; i < kItemCount; ++i) gateway.on_machine_departed({host_name(i)});
  // Late reports of two departed machines, and a report of a machine that has not departed.
  for (const std::string& name : {host_name(0), host_name(kItemCount - 1), host_name(kItemCount)})
    gateway.on_report(make_report_request(name), [](const Response&) {});
  EXPECT_EQ(reported, std::vector<std::string>{host_name(kItemCount)});
}

TEST(CapacityTest, NewLeaderPollsAllInheritedMachinesWithBoundedConcurrency) {
  ManualRuntime runtime;
  const auto settings = World::small_site();
  wrenusher::worker_gateway::WorkerGateway gateway(runtime, settings);
  gateway.on_term(leader_term());
  auto hints = std::make_shared<events::InheritedHints>();
  hints->term = 7;
  for (int i = 0; i < kItemCount; ++i) {
    events::MachineHint machine;
    machine.host = host_name(i);
    machine.address = "10.1.0.1:" + std::to_string(10000 + i);
    machine.incarnation = 1;
    hints->machines.emplace(machine.host, machine);
  }
  gateway.on_hints_inherited(hints);
  EXPECT_EQ(runtime.calls.size(), std::size_t{kItemCount / 40});
  std::size_t poll_count = 0;
  for (int round = 0; round < 1000 && !runtime.calls.empty(); ++round) {
    // No machine responds, so each is polled three times.
    for (const ManualRuntime::Call& call : std::exchange(runtime.calls, {})) {
      ++poll_count;
      call.done({false, true, {}});
    }
  }
  EXPECT_EQ(poll_count, std::size_t{3 * kItemCount});
}

TEST(CapacityTest, ReadsBackHintsOfJobFailedOnManyMachinesAndOfLargeRentalRequest) {
  events::JobHint job{job_ref(1), {}, from_seconds(8), kItemCount};
  for (int i = 0; i < kItemCount; ++i) job.hosts.push_back(host_name(i));
  replica::HintTable table;
  const wrenusher::time::Instant received_at{from_seconds(10)};
  ASSERT_TRUE(table.put(replica::to_hint_row(job), received_at, 4, 2));
  ASSERT_TRUE(
      table.put(replica::to_hint_row(events::RentalRequestHint{"r-4-9", "small", "a", true, kItemCount}),
                received_at, 4, 2));
  const events::InheritedHints hints = table.inherited_hints(received_at);
  ASSERT_EQ(hints.jobs.size(), 1U);
  EXPECT_EQ(hints.jobs[0].hosts, job.hosts);
  EXPECT_EQ(hints.jobs[0].retry_count, kItemCount);
  ASSERT_EQ(hints.rentals.requests.size(), 1U);
  EXPECT_EQ(hints.rentals.requests[0].count, std::uint32_t{kItemCount});
}

TEST(CapacityTest, TakesPendingHintsOfAllMachinesPageByPage) {
  ManualRuntime runtime;
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{runtime, estimator};
  for (int i = 0; i < kItemCount; ++i)
    machines.update_from_report(machines.get_or_add(host_name(i)), make_report(host_name(i)), true);
  std::set<std::string> taken;
  for (int page = 0; page < kItemCount / 300; ++page) {
    for (const auto* machine : machines.take_pending_hints(300)) taken.insert(machine->name);
  }
  EXPECT_EQ(taken.size(), std::size_t{kItemCount});
  EXPECT_TRUE(machines.take_pending_hints(300).empty());
}

// If there are more announcements than fit into a heartbeat, none may be lost, and only the last response may
// set `announcements_complete`.
TEST(CapacityTest, ManyAnnouncementsReachThePeerOverSeveralHeartbeats) {
  PeerPair nodes;
  for (int i = 0; i < kItemCount; ++i)
    nodes.receiver.peer.on_announcement({job_ref(i), events::JobStage::finished});
  nodes.runtime.calls.clear();
  nodes.sender.announcements_complete.clear();
  nodes.run_heartbeats(12);
  ASSERT_EQ(nodes.sender.announced.size(), std::size_t{kItemCount});
  std::set<std::string> job_ids;
  for (const auto& announcement : nodes.sender.announced) job_ids.insert(announcement.job_id);
  EXPECT_EQ(job_ids.size(), std::size_t{kItemCount});
  EXPECT_EQ(nodes.receiver.confirmed.size(), std::size_t{kItemCount});
  EXPECT_LT(nodes.max_message_bytes, kMaxRequestBodyBytes);
  ASSERT_EQ(nodes.sender.announcements_complete.size(), 12U);
  EXPECT_FALSE(nodes.sender.announcements_complete.front());
  EXPECT_TRUE(nodes.sender.announcements_complete.back());
}

// Announcements that no request waits for any more must not pile up while a peer is unreachable.
TEST(CapacityTest, DropsOldAnnouncementsQueuedForUnreachablePeer) {
  PeerPair nodes;
  for (int i = 0; i < kItemCount; ++i) {
    nodes.receiver.peer.on_announcement({job_ref(i), events::JobStage::finished});
    if (i == 2 * kItemCount / 3) nodes.runtime.at += from_seconds(5);
  }
  nodes.runtime.calls.clear();
  nodes.run_heartbeats(12);
  EXPECT_EQ(nodes.sender.announced.size(), std::size_t{kItemCount - 2 * kItemCount / 3 - 1});
}

TEST(CapacityTest, ManyCancellationsReachThePeerOverSeveralHeartbeats) {
  PeerPair nodes;
  for (int i = 0; i < kItemCount; ++i) nodes.receiver.peer.on_cancelled({job_ref(i)});
  nodes.runtime.calls.clear();
  nodes.run_heartbeats(12);
  const std::set<std::string> job_ids(nodes.sender.cancelled.begin(), nodes.sender.cancelled.end());
  EXPECT_EQ(job_ids.size(), std::size_t{kItemCount});
  EXPECT_LT(nodes.max_message_bytes, kMaxRequestBodyBytes);
}

// A heartbeat with the maximum of each kind of content, and with the longest names, must not exceed the size
// limit of a request body.
TEST(CapacityTest, LargestHeartbeatFitsIntoOneRequestBody) {
  PeerPair nodes;
  const auto longest_ref = [](int i) { return job_ref(i) + std::string(64 - job_ref(i).size(), '0'); };
  auto progress = std::make_shared<events::Progress>();
  for (int i = 0; i < kItemCount; ++i) {
    nodes.sender.peer.on_cancelled({longest_ref(i)});
    nodes.sender.peer.on_announcement({longest_ref(i), events::JobStage::finished});
    progress->rows.push_back({longest_ref(i), 100000, 100000});
  }
  std::set<std::string> job_ids;
  nodes.runtime.calls.clear();
  for (int i = 0; i < 120; ++i) {
    nodes.sender.peer.on_progress(progress);
    nodes.sender.peer.on_attachment({"c1", Value::Map{{"rows", std::string(24 * 1024, 'x')}}});
    nodes.run_heartbeats(1);
  }
  for (const auto& page : nodes.receiver.progress) {
    for (const auto& row : page->rows) job_ids.insert(row.job_id);
  }
  EXPECT_LT(nodes.max_message_bytes, kMaxRequestBodyBytes);
  EXPECT_EQ(job_ids.size(), std::size_t{kItemCount});
  // Rows are repeated until they are confirmed, so duplicates are removed before counting.
  const std::set<std::string> cancelled(nodes.receiver.cancelled.begin(), nodes.receiver.cancelled.end());
  EXPECT_EQ(cancelled.size(), std::size_t{kItemCount});
  std::set<std::string> announced;
  for (const auto& announcement : nodes.receiver.announced) announced.insert(announcement.job_id);
  EXPECT_EQ(announced.size(), std::size_t{kItemCount});
}

TEST(CapacityTest, TaskCountsOfManyJobsReachThePeerPageByPage) {
  PeerPair nodes;
  auto progress = std::make_shared<events::Progress>();
  for (int i = 0; i < kItemCount; ++i) progress->rows.push_back({job_ref((i * 7) % kItemCount), 1, 2});
  nodes.sender.peer.on_progress(progress);
  nodes.run_heartbeats(8);
  ASSERT_EQ(nodes.receiver.progress.size(), 5U);
  std::set<std::string> job_ids;
  for (const auto& page : nodes.receiver.progress) {
    ASSERT_TRUE(page->job_range);
    for (const auto& row : page->rows) {
      EXPECT_TRUE(page->job_range->contains(row.job_id));
      EXPECT_TRUE(job_ids.insert(row.job_id).second);
    }
  }
  EXPECT_EQ(job_ids.size(), std::size_t{kItemCount});
  EXPECT_EQ(nodes.receiver.progress.back()->job_range->through, "");
  // A list that fits into one page has no job range.
  auto small = std::make_shared<events::Progress>();
  small->rows.push_back({job_ref(1), 1, 2});
  nodes.sender.peer.on_progress(small);
  nodes.run_heartbeats(1);
  ASSERT_EQ(nodes.receiver.progress.size(), 6U);
  EXPECT_FALSE(nodes.receiver.progress.back()->job_range);
}

// A page replaces only the task counts of the jobs in its own range.
TEST(CapacityTest, PageOfTaskCountsKeepsCountsOfOtherJobs) {
  JobApiFixture fixture;
  const auto page = [](const std::string& after, const std::string& through,
                       std::vector<events::Progress::Row> rows) {
    auto progress = std::make_shared<events::Progress>();
    progress->rows = std::move(rows);
    progress->job_range = events::Progress::JobRange{after, through};
    return progress;
  };
  const auto state_of = [&](const std::string& job) {
    fixture.job_id = job;
    fixture.statuses.clear();
    fixture.poll();
    const ManualRuntime::Call call = fixture.take_call();
    if (call.request.method == "POST") {
      JobApiFixture::answer(call, 200, JobApiFixture::revision_body(6));
    } else {
      JobApiFixture::answer(call, 200, fixture.live_record_body(5, false));
    }
    return fixture.statuses.empty() ? "" : fixture.statuses[0];
  };
  fixture.api.on_progress(page("", job_ref(5), {{job_ref(2), 0, 1}, {job_ref(5), 0, 1}}));
  fixture.api.on_progress(page(job_ref(5), "", {{job_ref(7), 0, 1}}));
  for (const int i : {2, 5, 7}) EXPECT_EQ(state_of(job_ref(i)), "running") << i;
  fixture.api.on_progress(page("", job_ref(5), {{job_ref(5), 0, 1}}));
  EXPECT_EQ(state_of(job_ref(2)), "pending");
  for (const int i : {5, 7}) EXPECT_EQ(state_of(job_ref(i)), "running") << i;
}

TEST(CapacityTest, LeaderPublishesTaskCountsOfManyJobs) {
  ManualRuntime runtime;
  wrenusher::settings::Settings settings = World::small_site();
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{runtime, estimator};
  wrenusher::job_table::JobTable jobs{runtime, machines};
  wrenusher::scheduling_cycle::SchedulingCycle cycle{runtime, settings, jobs, machines, estimator};
  jobs.reset(7);
  for (int i = 0; i < kItemCount; ++i) {
    JobSpec spec = World::job(i, 1, 1, 100);
    spec.job_id = job_ref(i);
    auto& job = jobs.add(spec.job_id, {spec, {}, 1000, false}, 1);
    jobs.assign(job, 0, machines.get_or_add(host_name(i)), 1, wrenusher::job_table::TaskState::assigned);
  }
  const auto progress = cycle.progress();
  ASSERT_TRUE(progress);
  EXPECT_EQ(progress->rows.size(), std::size_t{kItemCount});
}

TEST(CapacityTest, CachesFinalStatesOfManyJobs) {
  JobApiFixture fixture;
  for (int i = 0; i < kItemCount; ++i) {
    fixture.job_id = job_ref(i);
    fixture.poll();
    JobApiFixture::answer(fixture.take_call(), 404, JobApiFixture::revision_body(9));
    JobApiFixture::answer(fixture.take_call(), 200, fixture.final_record_body());
  }
  fixture.statuses.clear();
  fixture.job_id = job_ref(0);
  fixture.poll();
  EXPECT_EQ(fixture.statuses, std::vector<std::string>{"done"});
  EXPECT_TRUE(fixture.runtime.calls.empty());
}

// Before the job index is ready, queries about many live jobs wait at the same time. Their records are
// compared by revision in batches instead of being read again, and no query is refused.
TEST(CapacityTest, AnswersManyQueriesAboutLiveJobsByBatchedComparisons) {
  JobApiFixture fixture;
  for (int i = 0; i < kItemCount; ++i) {
    fixture.job_id = job_ref(i);
    fixture.poll();
    JobApiFixture::answer(fixture.take_call(), 200, fixture.live_record_body(5, false));
  }
  fixture.statuses.clear();
  for (int i = 0; i < kItemCount; ++i) {
    fixture.job_id = job_ref(i);
    fixture.poll();
  }
  EXPECT_TRUE(fixture.statuses.empty());
  std::size_t comparisons = 0;
  while (fixture.statuses.size() < std::size_t{kItemCount} && comparisons < std::size_t{kItemCount}) {
    const ManualRuntime::Call call = fixture.take_call();
    ASSERT_EQ(call.request.target, "/multi");
    ++comparisons;
    JobApiFixture::answer(call, 200, JobApiFixture::revision_body(6));
  }
  EXPECT_EQ(std::count(fixture.statuses.begin(), fixture.statuses.end(), "pending"), kItemCount);
  EXPECT_LT(comparisons, std::size_t{kItemCount / 10});
}

TEST(CapacityTest, JobIndexReadsLiveJobsInPagesAndAnswersManyPollsAfterOneRead) {
  JobApiFixture fixture;
  fixture.api.start();
  int pages = 0;
  for (int next = 0; next < kItemCount; ++pages) {
    const ManualRuntime::Call call = fixture.take_call();
    ASSERT_TRUE(call.request.target.starts_with("/store?starts=job/")) << call.request.target;
    // Each page starts after the last job of the page before.
    const std::string from_parameter = next == 0 ? "" : "from=job/" + job_ref(next - 1);
    ASSERT_NE(call.request.target.find(from_parameter), std::string::npos) << call.request.target;
    Value::List rows;
    for (int i = 0; i < 200 && next < kItemCount; ++i) {
      fixture.job_id = job_ref(next++);
      rows.emplace_back(fixture.live_record_body(5, false));
    }
    JobApiFixture::answer(
        call, 200,
        Value::Map{{"rows", std::move(rows)}, {"truncated", next < kItemCount}, {"ledger_rev", 9}});
  }
  EXPECT_EQ(pages, 23);
  for (int i = 0; i < kItemCount; ++i) {
    fixture.job_id = job_ref(i);
    fixture.poll();
  }
  EXPECT_TRUE(fixture.statuses.empty());
  JobApiFixture::answer(fixture.take_call(), 200,
                        Value::Map{{"ledger_rev", std::uint64_t{9}}, {"events", Value::List{}}});
  EXPECT_EQ(std::count(fixture.statuses.begin(), fixture.statuses.end(), "pending"), kItemCount);
  EXPECT_TRUE(fixture.runtime.calls.empty());
}

namespace {

/// Returns the value of a query parameter, or an empty string if there is none.
std::string query_parameter(const std::string& target, const std::string& name) {
  const auto name_start = target.find(name + "=");
  if (name_start == std::string::npos) return {};
  const auto value_start = name_start + name.size() + 1;
  return target.substr(value_start, target.find('&', value_start) - value_start);
}

/// A key-value store with many live jobs without claims, and a cloud with many running machines.
struct LargeServices {
  ManualRuntime runtime;
  wrenusher::settings::Settings settings = [] {
    auto site = World::small_site();
    site.state_rps = site.cloud_rps = 1e6;
    return site;
  }();
  wrenusher::kv_client::KvClient store{runtime, settings};
  int page_count = 0;  ///< pages with at least one row

  /// Lets the given time pass, and answers every request for a page of a list.
  void run_for(Micros duration) {
    const auto end = runtime.at + duration;
    while (runtime.at < end) {
      for (const ManualRuntime::Call& call : std::exchange(runtime.calls, {})) answer(call);
      runtime.pass(from_millis(20));
    }
  }

 private:
  void answer(const ManualRuntime::Call& call) {
    const std::string& target = call.request.target;
    const auto limit = static_cast<std::size_t>(std::atoi(query_parameter(target, "limit").c_str()));
    const std::string from = query_parameter(target, "from");
    Value::List rows;
    int i = 0;
    const bool rentals = target.starts_with("/rentals?");
    if (rentals) {
      while (i < kItemCount && host_name(i) <= from) ++i;
      for (; i < kItemCount && rows.size() < limit; ++i) {
        rows.emplace_back(Value::Map{{"ref", host_name(i)},
                                     {"flavor", "small"},
                                     {"site", "a"},
                                     {"status", "running"},
                                     {"addr", "10.1.0.1:" + std::to_string(10000 + i)},
                                     {"standby", false},
                                     {"held_s", 5}});
      }
    } else if (target.starts_with("/store?starts=job/")) {
      while (i < kItemCount && "job/" + job_ref(i) <= from) ++i;
      for (; i < kItemCount && rows.size() < limit; ++i) {
        JobSpec spec = World::job(0, 1, 1, 10);
        spec.job_id = job_ref(i);
        rows.emplace_back(Value::Map{{"k", "job/" + job_ref(i)},
                                     {"value", wrenusher::records::write_job(spec, {}, 100)},
                                     {"stamp", std::uint64_t{5}}});
      }
    } else if (target.starts_with("/store?")) {
      i = kItemCount;
    } else {
      return;  // other requests get no response
    }
    if (!rows.empty()) ++page_count;
    call.done({true,
               true,
               {200,
                encode(Value::Map{{rentals ? "hosts" : "rows", std::move(rows)},
                                  {"truncated", i < kItemCount},
                                  {"ledger_rev", std::uint64_t{9}}}),
                0}});
  }
};

}  // namespace

TEST(CapacityTest, StandbyReplicatesManyRecordsPageByPage) {
  LargeServices services;
  wrenusher::replica::RecordReplica record_replica(services.runtime, services.settings, services.store);
  record_replica.start();
  services.run_for(from_seconds(20));
  EXPECT_EQ(record_replica.job_count(), std::size_t{kItemCount});
  EXPECT_EQ(services.page_count, kItemCount / 100);
}

TEST(CapacityTest, NewLeaderReadsManyRecordsPageByPage) {
  LargeServices services;
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{services.runtime, estimator};
  wrenusher::job_table::JobTable jobs{services.runtime, machines};
  wrenusher::commit_batcher::CommitBatcher batcher{services.runtime, services.settings, services.store, jobs};
  wrenusher::leader::Failover failover{services.runtime, services.store, jobs, batcher};
  jobs.reset(7);
  std::uint64_t revision = 0;
  failover.start_reading([&](std::uint64_t read_revision) { revision = read_revision; });
  services.run_for(from_seconds(2));
  EXPECT_EQ(revision, 9U);
  EXPECT_EQ(jobs.jobs().size(), std::size_t{kItemCount});
  EXPECT_EQ(services.page_count, 12);
}

TEST(CapacityTest, ListsManyRentalsPageByPage) {
  LargeServices services;
  wrenusher::provisioner::Provisioner provisioner(services.runtime, services.settings, services.store);
  std::set<std::string> listed;
  provisioner.machine_listed.connect(services.runtime,
                                     [&](const events::MachineListed& event) { listed.insert(event.host); });
  provisioner.on_term({true, 3, 7, "c0", {}, {}});
  provisioner.on_lease_validity({services.runtime.at + from_seconds(30)});
  provisioner.start();
  services.run_for(from_seconds(6));
  EXPECT_EQ(listed.size(), std::size_t{kItemCount});
  EXPECT_GE(services.page_count, kItemCount / 500);
}

namespace {

/// Saves this process's limit of open files, and restores it at the end of a test.
class OpenFileLimitGuard {
 public:
  OpenFileLimitGuard() { getrlimit(RLIMIT_NOFILE, &before_); }
  ~OpenFileLimitGuard() { setrlimit(RLIMIT_NOFILE, &before_); }
  void set_soft_limit(rlim_t soft) {
    rlimit limit = before_;
    limit.rlim_cur = soft;
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
  }
  rlim_t soft_limit() const {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
  }
  rlim_t hard_limit() const { return before_.rlim_max; }

 private:
  rlimit before_{};
};

}  // namespace

TEST(OpenFileLimitTest, RaisesSoftLimitForSocketsAndNeverLowersIt) {
  OpenFileLimitGuard open_files;
  ASSERT_GT(open_files.hard_limit(), rlim_t{kItemCount + 500})
      << "the hard limit of open files is too low for this test";
  open_files.set_soft_limit(256);
  const auto limit = wrenusher::net::raise_open_file_limit(kItemCount);
  EXPECT_TRUE(limit.sufficient());
  EXPECT_GT(open_files.soft_limit(), rlim_t{kItemCount});
  EXPECT_EQ(open_files.soft_limit(), limit.soft);
  wrenusher::net::raise_open_file_limit(10);
  EXPECT_EQ(open_files.soft_limit(), limit.soft);
}

namespace {

/// Must run in a separate process, since a lowered hard limit cannot be raised again.
void raise_with_low_hard_limit() {
  const rlimit low_limit{200, 1000};
  setrlimit(RLIMIT_NOFILE, &low_limit);
  wrenusher::log::set_up("wrenusher", wrenusher::log::Format::text);
  const auto limit = wrenusher::net::raise_open_file_limit(kItemCount);
  wrenusher::net::report_open_file_limit(limit);
  std::exit(!limit.sufficient() && limit.soft == 1000 && limit.hard == 1000 ? 0 : 1);
}

}  // namespace

TEST(OpenFileLimitTest, RaisesSoftLimitToLowHardLimitAndLogsRemedy) {
  EXPECT_EXIT(raise_with_low_hard_limit(), testing::ExitedWithCode(0),
              "only 1000 files may be open.*Raise the hard limit.*now 1000, to 4564");
}

// All machines report at the same time, as after the failure of a leader. All connections must be accepted,
// none may wait for another one to close, and the testbed must refuse none.
TEST(CapacityTest, AcceptsManySimultaneousConnections) {
  OpenFileLimitGuard open_files;
  const auto limit = wrenusher::net::raise_open_file_limit(2 * kItemCount + 100);
  ASSERT_TRUE(limit.sufficient()) << "the hard limit of open files is too low for this test";
  wrenusher::net::UvRuntime runtime(kTestbedSockets, kTestbedPool);
  LiveTransport transport(runtime, 28000);
  std::vector<Responder> waiting;
  const auto address =
      transport.serve("c0", [&](const std::string&, const Request&, const Responder& responder) {
        // No request is answered until all have arrived.
        waiting.push_back(responder);
        if (waiting.size() < std::size_t{kItemCount}) return;
        for (const Responder& answer : waiting) answer({200, {}, 0});
      });
  ASSERT_TRUE(address);
  int succeeded = 0;
  int finished = 0;
  for (int i = 0; i < kItemCount; ++i) {
    transport.send("m-" + std::to_string(i), *address, {"GET", "/submissions/" + job_ref(i), {}},
                   from_seconds(20), [&](const CallResult& result) {
                     succeeded += result.answered && result.response.status == 200 ? 1 : 0;
                     if (++finished == kItemCount) runtime.stop();
                   });
  }
  runtime.run();
  EXPECT_EQ(succeeded, kItemCount);
}

// The kernel limits the backlog of unaccepted connections to net.core.somaxconn.
TEST(CapacityTest, ListenBacklogIsAsLargeAsTheKernelAllows) {
  OpenFileLimitGuard open_files;
  ASSERT_TRUE(wrenusher::net::raise_open_file_limit(2 * kItemCount + 100).sufficient())
      << "the hard limit of open files is too low for this test";
  int kernel_limit = 0;
  std::ifstream("/proc/sys/net/core/somaxconn") >> kernel_limit;
  ASSERT_GT(kernel_limit, 256) << "net.core.somaxconn is too low for this test";
  const int connection_count = std::min(kItemCount, kernel_limit);
  wrenusher::net::UvRuntime runtime(kTestbedSockets, kTestbedPool);
  LiveTransport transport(runtime, 28300);
  const auto address = transport.serve("c0", [](const std::string&, const Request&, const Responder&) {});
  ASSERT_TRUE(address);
  sockaddr_in server{};
  uv_ip4_addr("127.0.0.1", std::atoi(address->c_str() + address->rfind(':') + 1), &server);
  std::vector<int> sockets;
  int connected = 0;
  // The server accepts nothing meanwhile, since its loop does not run. A connection beyond the backlog is not
  // established immediately.
  for (int i = 0; i < connection_count; ++i) {
    const int client = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ASSERT_GE(client, 0);
    sockets.push_back(client);
    connect(client, reinterpret_cast<const sockaddr*>(&server), sizeof server);
  }
  for (const int client : sockets) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    connected += getpeername(client, reinterpret_cast<sockaddr*>(&peer), &size) == 0 ? 1 : 0;
  }
  for (const int client : sockets) close(client);
  EXPECT_EQ(connected, connection_count);
}
