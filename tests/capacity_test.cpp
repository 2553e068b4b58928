// No fixed limit stands below the machines of one deployment: 4,500 of what each limit counts. Where a page
// stays smaller than that, it is shown to go on.

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
using wrenusher::runtime::ByHand;
namespace events = wrenusher::events;
namespace replica = wrenusher::replica;

namespace {

constexpr int kMany = 4500;
/// The largest request body that a node takes.
constexpr std::size_t kBody = 64 * 1024;

std::string host(int i) {
  return "m-" + std::to_string(100000 + i);
}

std::string ref(int i) {
  return "req-" + std::to_string(100000 + i);
}

WorkerReport report_of(const std::string& name) {
  WorkerReport r;
  r.host = name;
  r.address = "10.1.0.1:9000";
  r.machine_type = "small";
  r.zone = "a";
  r.fencing_token = 7;
  r.incarnation = r.sequence = 1;
  return r;
}

/// As a worker without tasks sends it.
Request hello_of(const std::string& name) {
  const WorkerReport r = report_of(name);
  return {"POST", "/hello",
          encode(Value::Map{{"host", r.host},
                            {"addr", r.address},
                            {"flavor", r.machine_type},
                            {"site", r.zone},
                            {"standby", false},
                            {"tenure", r.incarnation},
                            {"serial", r.sequence},
                            {"epoch", r.fencing_token},
                            {"units", Value::List{}}})};
}

events::TermChanged leading() {
  events::TermChanged t;
  t.fencing_token = 7;
  t.leading = true;
  return t;
}

/// A node of two, with its heartbeats carried by hand.
struct Node {
  wrenusher::settings::Settings settings;
  wrenusher::membership::Peer peer;
  std::vector<events::StageAnnouncement> announced;
  std::vector<events::StageAnnouncement> confirmed;
  std::vector<std::string> withdrawn;
  std::vector<bool> announced_all;  ///< of each answer, whether nothing more was to come
  std::vector<std::shared_ptr<const events::Progress>> progress;

  Node(ByHand& runtime, const char* name, const char* other)
      : settings([&] {
          auto s = World::small_site();
          s.node = name;
          s.peers = {{other, "a", "10.0.0.2:8081"}};
          return s;
        }()),
        peer(runtime, settings) {
    peer.stage_announced.connect(runtime,
                                 [this](const events::StageAnnouncement& a) { announced.push_back(a); });
    peer.stage_confirmed.connect(runtime,
                                 [this](const events::StageAnnouncement& a) { confirmed.push_back(a); });
    peer.job_cancelled.connect(runtime,
                               [this](const events::JobCancelled& w) { withdrawn.push_back(w.job_id); });
    peer.peer_status.connect(runtime, [this](const events::PeerStatus& n) {
      if (n.request_sent_at) announced_all.push_back(n.announcements_complete);
    });
    peer.progress.connect(
        runtime, [this](const std::shared_ptr<const events::Progress>& p) { progress.push_back(p); });
  }
};

/// Two nodes; `from` sends heartbeats, which `to` answers.
struct TwoNodes {
  ByHand rt;
  Node from{rt, "c0", "c1"};
  Node to{rt, "c1", "c0"};
  std::size_t largest = 0;  ///< bytes of a heartbeat or its answer

  TwoNodes() {
    from.peer.start();
    deliver();
  }
  /// What is on its way arrives, and is answered.
  void deliver() {
    for (ByHand::Call& c : std::exchange(rt.calls, {})) {
      largest = std::max(largest, c.request.body.size());
      to.peer.serve(c.request, [&](const Response& r) {
        largest = std::max(largest, r.body.size());
        c.done({true, true, r});
      });
    }
  }
  void beats(int n) {
    for (int i = 0; i < n; ++i) {
      rt.pass(from_millis(500));
      deliver();
    }
  }
};

}  // namespace

TEST(Capacity, AMachineThatIsGoneStaysGoneWhereManyAre) {
  ByHand runtime;
  const auto settings = World::small_site();
  wrenusher::worker_gateway::WorkerGateway fleet(runtime, settings);
  std::vector<std::string> reported;
  fleet.worker_reported.connect(runtime,
                                [&](const events::WorkerReported& r) { reported.push_back(r.report->host); });
  fleet.on_term(leading());
  for (int i = 0; i < kMany; ++i) fleet.on_machine_departed({host(i)});
  // A copy of a report that comes late.
  for (const std::string& name : {host(0), host(kMany - 1), host(kMany)})
    fleet.on_report(hello_of(name), [](const Response&) {});
  EXPECT_EQ(reported, std::vector<std::string>{host(kMany)});
}

TEST(Capacity, ANewLeaderCallsManyMachinesAFixedPartAtATimeAndAllOfThemInTheEnd) {
  ByHand runtime;
  const auto settings = World::small_site();
  wrenusher::worker_gateway::WorkerGateway fleet(runtime, settings);
  fleet.on_term(leading());
  auto all = std::make_shared<events::InheritedHints>();
  all->term = 7;
  for (int i = 0; i < kMany; ++i) {
    events::MachineHint m;
    m.host = host(i);
    m.address = "10.1.0.1:" + std::to_string(10000 + i);
    m.incarnation = 1;
    all->machines.emplace(m.host, m);
  }
  fleet.on_hints_inherited(all);
  EXPECT_EQ(runtime.calls.size(), std::size_t{kMany / 40});
  std::size_t called = 0;
  for (int turn = 0; turn < 1000 && !runtime.calls.empty(); ++turn) {
    // None answers: each is called three times.
    for (const ByHand::Call& c : std::exchange(runtime.calls, {})) {
      ++called;
      c.done({false, true, {}});
    }
  }
  EXPECT_EQ(called, std::size_t{3 * kMany});
}

TEST(Capacity, HintsOfAJobThatFailedOnManyMachinesAndOfALargeBookingAreReadBack) {
  events::JobHint job{ref(1), {}, from_seconds(8), kMany};
  for (int i = 0; i < kMany; ++i) job.hosts.push_back(host(i));
  replica::HintTable p;
  const wrenusher::time::Instant told{from_seconds(10)};
  ASSERT_TRUE(p.put(replica::to_hint_row(job), told, 4, 2));
  ASSERT_TRUE(
      p.put(replica::to_hint_row(events::RentalRequestHint{"r-4-9", "small", "a", true, kMany}), told, 4, 2));
  const events::InheritedHints all = p.inherited_hints(told);
  ASSERT_EQ(all.jobs.size(), 1U);
  EXPECT_EQ(all.jobs[0].hosts, job.hosts);
  EXPECT_EQ(all.jobs[0].retry_count, kMany);
  ASSERT_EQ(all.rentals.requests.size(), 1U);
  EXPECT_EQ(all.rentals.requests[0].count, std::uint32_t{kMany});
}

TEST(Capacity, MachinesAreToldToStandbysPageByPageUntilAllAre) {
  ByHand runtime;
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{runtime, estimator};
  for (int i = 0; i < kMany; ++i)
    machines.update_from_report(machines.get_or_add(host(i)), report_of(host(i)), true);
  std::set<std::string> told;
  for (int page = 0; page < kMany / 300; ++page) {
    for (const auto* m : machines.take_pending_hints(300)) told.insert(m->name);
  }
  EXPECT_EQ(told.size(), std::size_t{kMany});
  EXPECT_TRUE(machines.take_pending_hints(300).empty());
}

// With more announcements than a heartbeat holds, none may be lost, and what a peer may rely on is said only
// with the last of them.
TEST(Capacity, ManyAnnouncementsAtOnceAllReachThePeerOverSeveralHeartbeats) {
  TwoNodes n;
  for (int i = 0; i < kMany; ++i) n.to.peer.on_announcement({ref(i), events::JobStage::finished});
  n.rt.calls.clear();
  n.from.announced_all.clear();
  n.beats(12);
  ASSERT_EQ(n.from.announced.size(), std::size_t{kMany});
  std::set<std::string> job_ids;
  for (const auto& a : n.from.announced) job_ids.insert(a.job_id);
  EXPECT_EQ(job_ids.size(), std::size_t{kMany});
  EXPECT_EQ(n.to.confirmed.size(), std::size_t{kMany});
  EXPECT_LT(n.largest, kBody);
  ASSERT_EQ(n.from.announced_all.size(), 12U);
  EXPECT_FALSE(n.from.announced_all.front());
  EXPECT_TRUE(n.from.announced_all.back());
}

// For a peer that is away no more is kept than before of what nobody waits for any more.
TEST(Capacity, OldAnnouncementsAreDroppedWhereAPeerIsAway) {
  TwoNodes n;
  for (int i = 0; i < kMany; ++i) {
    n.to.peer.on_announcement({ref(i), events::JobStage::finished});
    if (i == 2 * kMany / 3) n.rt.at += from_seconds(5);
  }
  n.rt.calls.clear();
  n.beats(12);
  EXPECT_EQ(n.from.announced.size(), std::size_t{kMany - 2 * kMany / 3 - 1});
}

TEST(Capacity, ManyCancellationsAtOnceAllReachThePeerOverSeveralHeartbeats) {
  TwoNodes n;
  for (int i = 0; i < kMany; ++i) n.to.peer.on_cancelled({ref(i)});
  n.rt.calls.clear();
  n.beats(12);
  const std::set<std::string> job_ids(n.from.withdrawn.begin(), n.from.withdrawn.end());
  EXPECT_EQ(job_ids.size(), std::size_t{kMany});
  EXPECT_LT(n.largest, kBody);
}

// Everything that a heartbeat may carry, at its largest and with the longest names, stays within a request's
// body.
TEST(Capacity, AHeartbeatFullOfEverythingFitsIntoARequest) {
  TwoNodes n;
  const auto longest = [](int i) { return ref(i) + std::string(64 - ref(i).size(), '0'); };
  auto p = std::make_shared<events::Progress>();
  for (int i = 0; i < kMany; ++i) {
    n.from.peer.on_cancelled({longest(i)});
    n.from.peer.on_announcement({longest(i), events::JobStage::finished});
    p->rows.push_back({longest(i), 100000, 100000});
  }
  std::set<std::string> job_ids;
  n.rt.calls.clear();
  for (int i = 0; i < 120; ++i) {
    n.from.peer.on_progress(p);
    n.from.peer.on_attachment({"c1", Value::Map{{"rows", std::string(24 * 1024, 'x')}}});
    n.beats(1);
  }
  for (const auto& got : n.to.progress) {
    for (const auto& row : got->rows) job_ids.insert(row.job_id);
  }
  EXPECT_LT(n.largest, kBody);
  EXPECT_EQ(job_ids.size(), std::size_t{kMany});
  // Rows come again until they are confirmed.
  const std::set<std::string> withdrawn(n.to.withdrawn.begin(), n.to.withdrawn.end());
  EXPECT_EQ(withdrawn.size(), std::size_t{kMany});
  std::set<std::string> announced;
  for (const auto& a : n.to.announced) announced.insert(a.job_id);
  EXPECT_EQ(announced.size(), std::size_t{kMany});
}

TEST(Capacity, TaskCountsOfManyJobsReachThePeerPageByPage) {
  TwoNodes n;
  auto p = std::make_shared<events::Progress>();
  for (int i = 0; i < kMany; ++i) p->rows.push_back({ref((i * 7) % kMany), 1, 2});
  n.from.peer.on_progress(p);
  n.beats(8);
  ASSERT_EQ(n.to.progress.size(), 5U);
  std::set<std::string> job_ids;
  for (const auto& page : n.to.progress) {
    ASSERT_TRUE(page->job_range);
    for (const auto& row : page->rows) {
      EXPECT_TRUE(page->job_range->contains(row.job_id));
      EXPECT_TRUE(job_ids.insert(row.job_id).second);
    }
  }
  EXPECT_EQ(job_ids.size(), std::size_t{kMany});
  EXPECT_EQ(n.to.progress.back()->job_range->through, "");
  // A list that fits is whole, as ever.
  auto few = std::make_shared<events::Progress>();
  few->rows.push_back({ref(1), 1, 2});
  n.from.peer.on_progress(few);
  n.beats(1);
  ASSERT_EQ(n.to.progress.size(), 6U);
  EXPECT_FALSE(n.to.progress.back()->job_range);
}

// A page replaces what was known of its own jobs alone.
TEST(Capacity, APageOfTaskCountsLeavesTheOtherJobsAsTheyWere) {
  DeskByHand d;
  const auto page = [](const std::string& after, const std::string& through,
                       std::vector<events::Progress::Row> rows) {
    auto p = std::make_shared<events::Progress>();
    p->rows = std::move(rows);
    p->job_range = events::Progress::JobRange{after, through};
    return p;
  };
  const auto state_of = [&](const std::string& job) {
    d.ref = job;
    d.states.clear();
    d.poll();
    const ByHand::Call c = d.sent();
    if (c.request.method == "POST") {
      DeskByHand::answer(c, 200, DeskByHand::none(6));
    } else {
      DeskByHand::answer(c, 200, d.live(5, false));
    }
    return d.states.empty() ? "" : d.states[0];
  };
  d.desk.on_progress(page("", ref(5), {{ref(2), 0, 1}, {ref(5), 0, 1}}));
  d.desk.on_progress(page(ref(5), "", {{ref(7), 0, 1}}));
  for (const int i : {2, 5, 7}) EXPECT_EQ(state_of(ref(i)), "running") << i;
  d.desk.on_progress(page("", ref(5), {{ref(5), 0, 1}}));
  EXPECT_EQ(state_of(ref(2)), "pending");
  for (const int i : {5, 7}) EXPECT_EQ(state_of(ref(i)), "running") << i;
}

TEST(Capacity, TheLeaderTellsTheTaskCountsOfManyJobs) {
  ByHand runtime;
  wrenusher::settings::Settings settings = World::small_site();
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{runtime, estimator};
  wrenusher::job_table::JobTable book{runtime, machines};
  wrenusher::scheduling_cycle::SchedulingCycle rounds{runtime, settings, book, machines, estimator};
  book.reset(7);
  for (int i = 0; i < kMany; ++i) {
    JobSpec spec = World::job(i, 1, 1, 100);
    spec.job_id = ref(i);
    auto& job = book.add(spec.job_id, {spec, {}, 1000, false}, 1);
    book.assign(job, 0, machines.get_or_add(host(i)), 1, wrenusher::job_table::TaskState::assigned);
  }
  const auto p = rounds.progress();
  ASSERT_TRUE(p);
  EXPECT_EQ(p->rows.size(), std::size_t{kMany});
}

TEST(Capacity, FinalStatesOfManyJobsAreRemembered) {
  DeskByHand d;
  for (int i = 0; i < kMany; ++i) {
    d.ref = ref(i);
    d.poll();
    DeskByHand::answer(d.sent(), 404, DeskByHand::none(9));
    DeskByHand::answer(d.sent(), 200, d.over());
  }
  d.states.clear();
  d.ref = ref(0);
  d.poll();
  EXPECT_EQ(d.states, std::vector<std::string>{"done"});
  EXPECT_TRUE(d.rt.calls.empty());
}

// While there is no index: many jobs' records are compared, not read again, and the questions about all of
// them wait at once.
TEST(Capacity, QuestionsAboutManyLiveJobsAreComparedAndNotRefused) {
  DeskByHand d;
  for (int i = 0; i < kMany; ++i) {
    d.ref = ref(i);
    d.poll();
    DeskByHand::answer(d.sent(), 200, d.live(5, false));
  }
  d.states.clear();
  for (int i = 0; i < kMany; ++i) {
    d.ref = ref(i);
    d.poll();
  }
  EXPECT_TRUE(d.states.empty());
  std::size_t comparisons = 0;
  while (d.states.size() < std::size_t{kMany} && comparisons < std::size_t{kMany}) {
    const ByHand::Call c = d.sent();
    ASSERT_EQ(c.request.target, "/multi");
    ++comparisons;
    DeskByHand::answer(c, 200, DeskByHand::none(6));
  }
  EXPECT_EQ(std::count(d.states.begin(), d.states.end(), "pending"), kMany);
  EXPECT_LT(comparisons, std::size_t{kMany / 10});
}

TEST(Capacity, TheIndexReadsManyLiveJobsPageByPageAndManyQuestionsWaitForIt) {
  DeskByHand d;
  d.desk.start();
  int pages = 0;
  for (int next = 0; next < kMany; ++pages) {
    const ByHand::Call c = d.sent();
    ASSERT_TRUE(c.request.target.starts_with("/store?starts=job/")) << c.request.target;
    // It goes on after the last job that the page before had.
    const std::string from = next == 0 ? "" : "from=job/" + ref(next - 1);
    ASSERT_NE(c.request.target.find(from), std::string::npos) << c.request.target;
    Value::List rows;
    for (int i = 0; i < 200 && next < kMany; ++i) {
      d.ref = ref(next++);
      rows.emplace_back(d.live(5, false));
    }
    DeskByHand::answer(c, 200,
                       Value::Map{{"rows", std::move(rows)}, {"truncated", next < kMany}, {"ledger_rev", 9}});
  }
  EXPECT_EQ(pages, 23);
  for (int i = 0; i < kMany; ++i) {
    d.ref = ref(i);
    d.poll();
  }
  EXPECT_TRUE(d.states.empty());
  DeskByHand::answer(d.sent(), 200, Value::Map{{"ledger_rev", std::uint64_t{9}}, {"events", Value::List{}}});
  EXPECT_EQ(std::count(d.states.begin(), d.states.end(), "pending"), kMany);
  EXPECT_TRUE(d.rt.calls.empty());
}

namespace {

/// The value of a parameter of a request's target; empty: there is none.
std::string parameter(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

/// A state service and a cloud that know many live jobs without claims, and many running machines.
struct ManyRecords {
  ByHand rt;
  wrenusher::settings::Settings settings = [] {
    auto s = World::small_site();
    s.state_rps = s.cloud_rps = 1e6;
    return s;
  }();
  wrenusher::kv_client::KvClient store{rt, settings};
  int pages = 0;

  /// Lets time pass, with every list answered by pages as they are asked for.
  void answer_for(Micros how_long) {
    const auto end = rt.at + how_long;
    while (rt.at < end) {
      for (const ByHand::Call& c : std::exchange(rt.calls, {})) answer(c);
      rt.pass(from_millis(20));
    }
  }

 private:
  void answer(const ByHand::Call& c) {
    const std::string& target = c.request.target;
    const auto limit = static_cast<std::size_t>(std::atoi(parameter(target, "limit").c_str()));
    const std::string from = parameter(target, "from");
    Value::List rows;
    int i = 0;
    const bool rentals = target.starts_with("/rentals?");
    if (rentals) {
      while (i < kMany && host(i) <= from) ++i;
      for (; i < kMany && rows.size() < limit; ++i) {
        rows.emplace_back(Value::Map{{"ref", host(i)},
                                     {"flavor", "small"},
                                     {"site", "a"},
                                     {"status", "running"},
                                     {"addr", "10.1.0.1:" + std::to_string(10000 + i)},
                                     {"standby", false},
                                     {"held_s", 5}});
      }
    } else if (target.starts_with("/store?starts=job/")) {
      while (i < kMany && "job/" + ref(i) <= from) ++i;
      for (; i < kMany && rows.size() < limit; ++i) {
        JobSpec spec = World::job(0, 1, 1, 10);
        spec.job_id = ref(i);
        rows.emplace_back(Value::Map{{"k", "job/" + ref(i)},
                                     {"value", wrenusher::records::write_job(spec, {}, 100)},
                                     {"stamp", std::uint64_t{5}}});
      }
    } else if (target.starts_with("/store?")) {
      i = kMany;
    } else {
      return;  // never answered
    }
    if (!rows.empty()) ++pages;
    c.done({true,
            true,
            {200,
             encode(Value::Map{{rentals ? "hosts" : "rows", std::move(rows)},
                               {"truncated", i < kMany},
                               {"ledger_rev", std::uint64_t{9}}}),
             0}});
  }
};

}  // namespace

TEST(Capacity, AStandbyCopiesManyRecordsPageByPage) {
  ManyRecords m;
  wrenusher::replica::RecordReplica copy(m.rt, m.settings, m.store);
  copy.start();
  m.answer_for(from_seconds(20));
  EXPECT_EQ(copy.job_count(), std::size_t{kMany});
  EXPECT_EQ(m.pages, kMany / 100);
}

TEST(Capacity, ANewLeaderReadsManyRecordsPageByPage) {
  ManyRecords m;
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{m.rt, estimator};
  wrenusher::job_table::JobTable book{m.rt, machines};
  wrenusher::commit_batcher::CommitBatcher writer{m.rt, m.settings, m.store, book};
  wrenusher::leader::Failover takeover{m.rt, m.store, book, writer};
  book.reset(7);
  std::uint64_t revision = 0;
  takeover.start_reading([&](std::uint64_t r) { revision = r; });
  m.answer_for(from_seconds(2));
  EXPECT_EQ(revision, 9U);
  EXPECT_EQ(book.jobs().size(), std::size_t{kMany});
  EXPECT_EQ(m.pages, 12);
}

TEST(Capacity, ManyRentalsAreListedPageByPage) {
  ManyRecords m;
  wrenusher::provisioner::Provisioner p(m.rt, m.settings, m.store);
  std::set<std::string> listed;
  p.machine_listed.connect(m.rt, [&](const events::MachineListed& l) { listed.insert(l.host); });
  p.on_term({true, 3, 7, "c0", {}, {}});
  p.on_lease_validity({m.rt.at + from_seconds(30)});
  p.start();
  m.answer_for(from_seconds(6));
  EXPECT_EQ(listed.size(), std::size_t{kMany});
  EXPECT_GE(m.pages, kMany / 500);
}

namespace {

/// Sets this process's limit of open files for a test's time.
class OpenFiles {
 public:
  OpenFiles() { getrlimit(RLIMIT_NOFILE, &before_); }
  ~OpenFiles() { setrlimit(RLIMIT_NOFILE, &before_); }
  void soft(rlim_t n) {
    rlimit l = before_;
    l.rlim_cur = n;
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &l), 0);
  }
  rlim_t now() const {
    rlimit l{};
    getrlimit(RLIMIT_NOFILE, &l);
    return l.rlim_cur;
  }
  rlim_t hard() const { return before_.rlim_max; }

 private:
  rlimit before_{};
};

}  // namespace

TEST(OpenFileLimit, IsRaisedToWhatTheSocketsNeedAndNeverLowered) {
  OpenFiles files;
  ASSERT_GT(files.hard(), rlim_t{kMany + 500}) << "the hard limit of open files is too low for this test";
  files.soft(256);
  const auto limit = wrenusher::net::raise_open_file_limit(kMany);
  EXPECT_TRUE(limit.sufficient());
  EXPECT_GT(files.now(), rlim_t{kMany});
  EXPECT_EQ(files.now(), limit.soft);
  wrenusher::net::raise_open_file_limit(10);
  EXPECT_EQ(files.now(), limit.soft);
}

namespace {

/// In a process of its own: a hard limit that was lowered stays so.
void raise_with_a_low_hard_limit() {
  const rlimit low{200, 1000};
  setrlimit(RLIMIT_NOFILE, &low);
  wrenusher::log::set_up("wrenusher", wrenusher::log::Format::text);
  const auto limit = wrenusher::net::raise_open_file_limit(kMany);
  wrenusher::net::report_open_file_limit(limit);
  std::exit(!limit.sufficient() && limit.soft == 1000 && limit.hard == 1000 ? 0 : 1);
}

}  // namespace

TEST(OpenFileLimit, ThatIsTooLowIsRaisedAsFarAsItGoesAndSaidWithWhatToDo) {
  EXPECT_EXIT(raise_with_a_low_hard_limit(), testing::ExitedWithCode(0),
              "only 1000 files may be open.*Raise the hard limit.*now 1000, to 4564");
}

// Machines report all at once, as after a leader's end: all are accepted, none waits for another's
// connection, and the lab refuses none.
TEST(Capacity, ManyConnectionsAtOnceAreTaken) {
  OpenFiles files;
  const auto limit = wrenusher::net::raise_open_file_limit(2 * kMany + 100);
  ASSERT_TRUE(limit.sufficient()) << "the hard limit of open files is too low for this test";
  wrenusher::net::UvRuntime runtime(kTestbedSockets, kTestbedPool);
  LiveTransport transport(runtime, 28000);
  std::vector<Responder> waiting;
  const auto at = transport.serve("c0", [&](const std::string&, const Request&, const Responder& a) {
    // Nobody is answered until all have come.
    waiting.push_back(a);
    if (waiting.size() < std::size_t{kMany}) return;
    for (const Responder& answer : waiting) answer({200, {}, 0});
  });
  ASSERT_TRUE(at);
  int good = 0;
  int over = 0;
  for (int i = 0; i < kMany; ++i) {
    transport.send("m-" + std::to_string(i), *at, {"GET", "/submissions/" + ref(i), {}}, from_seconds(20),
                   [&](const CallResult& o) {
                     good += o.answered && o.response.status == 200 ? 1 : 0;
                     if (++over == kMany) runtime.stop();
                   });
  }
  runtime.run();
  EXPECT_EQ(good, kMany);
}

// The kernel keeps no more than net.core.somaxconn, whatever is asked for.
TEST(Capacity, ManyConnectionsWaitToBeAcceptedAsFarAsTheKernelAllows) {
  OpenFiles files;
  ASSERT_TRUE(wrenusher::net::raise_open_file_limit(2 * kMany + 100).sufficient())
      << "the hard limit of open files is too low for this test";
  int kernel = 0;
  std::ifstream("/proc/sys/net/core/somaxconn") >> kernel;
  ASSERT_GT(kernel, 256) << "net.core.somaxconn is too low for this test";
  const int many = std::min(kMany, kernel);
  wrenusher::net::UvRuntime runtime(kTestbedSockets, kTestbedPool);
  LiveTransport transport(runtime, 28300);
  const auto at = transport.serve("c0", [](const std::string&, const Request&, const Responder&) {});
  ASSERT_TRUE(at);
  sockaddr_in to{};
  uv_ip4_addr("127.0.0.1", std::atoi(at->c_str() + at->rfind(':') + 1), &to);
  std::vector<int> sockets;
  int connected = 0;
  // Nothing is accepted meanwhile: the loop does not run. A connection that finds no place is not made at
  // once.
  for (int i = 0; i < many; ++i) {
    const int s = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ASSERT_GE(s, 0);
    sockets.push_back(s);
    connect(s, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  for (const int s : sockets) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    connected += getpeername(s, reinterpret_cast<sockaddr*>(&peer), &size) == 0 ? 1 : 0;
  }
  for (const int s : sockets) close(s);
  EXPECT_EQ(connected, many);
}
