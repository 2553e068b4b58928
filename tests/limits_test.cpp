// Every team at its limit, with work waiting, while jobs are cancelled whose machines are cut off or hang,
// and the leader changes. Nothing frees room in a quota but proof that the task is off its machine: its
// team's use holds claims found, adopted, of cancelled jobs, and of machines that go back, from the first
// placement of a term on. WRENUSHER_LIMITS plays every offset of every pair in each variant, from
// WRENUSHER_SEED on.

#include <gtest/gtest.h>

#include <cstdlib>

#include "manual_runtime.hpp"
#include "verdict_assertions.hpp"
#include "wrenusher/reconciler/reconciler.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::job_table::TaskState;
using wrenusher::runtime::ByHand;

namespace {

std::string name_of(int controller) {
  return "c" + std::to_string(controller);
}

enum class Limit { cores, cards };
constexpr std::uint32_t kTasks = 10;  // of a team at once

/// Machines enough for twice what the teams may use, kept though they idle: what is freed in a quota finds
/// room at once.
Site at_limit(Limit limit, bool warm) {
  Site s = World::default_site(World::small_site());
  s.types.resize(1);
  s.types[0].type.capacity.gpus = to_amount(4);
  s.types[0].type.boot_time = from_seconds(2);
  s.types[0].spot = 0;
  s.types[0].ordinary = 12;
  s.machines = 10;
  s.settings.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  for (auto& team : s.settings.teams) (limit == Limit::cores ? team.cores_max : team.gpus_max) = 0;
  for (auto& team : s.settings.teams) {
    if (limit == Limit::cores) {
      team.cores_max = 4 * kTasks;
    } else {
      team.gpus_max = kTasks;
    }
  }
  s.settings.tunables.warm_standby = warm;
  s.settings.tunables.idle_return = from_seconds(900);
  return s;
}

JobSpec job(int number, std::uint32_t units, double run_s) {
  JobSpec s = World::job(number, units, 4, run_s);
  s.resources.gpus = to_amount(1);
  s.image = "img";
  s.image_gb = 0.5;
  s.spot_allowed = false;
  return s;
}

/// For each team as much as it may run at once, all of it long: arrays, a gang and a service. Then what
/// waits.
struct Load {
  std::vector<std::string> running;
  std::set<std::string> services;
};

Load fill(World& w) {
  Load out;
  for (int i = 0; i < 10; ++i) {
    JobSpec s = job(i, 2, 70);
    if (i / 2 == 3) s.type = JobType::gang;
    if (i / 2 == 4) s.type = JobType::service;
    if (s.type == JobType::service) out.services.insert(s.job_id);
    out.running.push_back(s.job_id);
    w.submit(s);
  }
  for (int i = 0; i < 16; ++i) w.at(from_seconds(15), [&w, s = job(100 + i, 1, 15)] { w.submit(s); });
  return out;
}

/// How many tasks of the job's owner are on machines.
std::uint32_t on_machines(const World& w, const std::string& owner) {
  std::uint32_t out = 0;
  for (const std::string& h : w.hosts()) {
    for (const auto& [ref, task] : w.tasks_on(h)) out += w.checker.spec(ref).team == owner ? 1 : 0;
  }
  return out;
}

std::vector<std::string> hosts_of(const World& w, const std::set<std::string>& job_ids) {
  std::vector<std::string> out;
  for (const std::string& h : w.hosts()) {
    const auto units = w.tasks_on(h);
    if (std::any_of(units.begin(), units.end(), [&](const auto& u) { return job_ids.contains(u.first); }))
      out.push_back(h);
  }
  return out;
}

/// What befalls the machines of cancelled jobs.
struct OnMachines {
  const char* name;
  std::function<void(World& w, const std::vector<std::string>& hosts)> strike;
};

void cut_off(World& w, const std::string& host, LinkCut how) {
  for (int c = 0; c < 3; ++c) w.cut(name_of(c), host, how);
}

std::vector<OnMachines> on_machines() {
  const auto each = [](auto f) {
    return [f](World& w, const std::vector<std::string>& hosts) {
      for (const std::string& h : hosts) f(w, h);
    };
  };
  return {
      {"cut off, what is sent comes later",
       each([](World& w, const std::string& h) { cut_off(w, h, LinkCut::hold); })},
      {"cut off", each([](World& w, const std::string& h) { cut_off(w, h, LinkCut::reset); })},
      {"reports come, answers and orders do not",
       each([](World& w, const std::string& h) { w.drop_inbound(h, LinkCut::hold); })},
      {"orders arrive, reports do not",
       each([](World& w, const std::string& h) { w.drop_replies(h, LinkCut::reset); })},
      {"orders arrive, reports come later",
       each([](World& w, const std::string& h) { w.drop_replies(h, LinkCut::hold); })},
      {"hang for less than a lease",
       each([](World& w, const std::string& h) { w.hang(h, from_seconds(7)); })},
      {"hang for longer than a lease",
       each([](World& w, const std::string& h) { w.hang(h, from_seconds(14)); })},
      {"a zone is cut off",
       [](World& w, const std::vector<std::string>&) { w.cut_zone("b", LinkCut::hold); }},
  };
}

/// How the lead changes hands.
struct OnLeader {
  const char* name;
  std::function<void(World& w, int leader)> strike;
};

std::vector<OnLeader> on_leader() {
  return {
      {"ends", [](World& w, int l) { w.crash(l, from_seconds(20)); }},
      {"ends and is back at once", [](World& w, int l) { w.crash(l, from_millis(300)); }},
      {"stands still", [](World& w, int l) { w.stall(l, from_seconds(9)); }},
      {"is refused by the state service",
       [](World& w, int l) {
         w.state_refuses(l, true);
         w.at(from_seconds(12), [&w, l] { w.state_refuses(l, false); });
       }},
      {"loses the state service and its peers", [](World& w, int l) { w.leave_alone(l, LinkCut::hold); }},
      {"hears no workers and hands over",
       [](World& w, int l) {
         for (const std::string& h : w.hosts()) w.cut(name_of(l), h, LinkCut::reset);
       }},
      {"ends, and the next one soon after it",
       [](World& w, int l) {
         w.crash(l, from_seconds(15));
         w.at(from_seconds(5.5), [&w] {
           if (w.leader() >= 0) w.crash(w.leader(), from_seconds(10));
         });
       }},
      {"ends while the cloud takes nothing back",
       [](World& w, int l) {
         w.cloud_outage(true);
         w.crash(l, from_seconds(20));
         w.at(from_seconds(9), [&w] { w.cloud_outage(false); });
       }},
  };
}

/// Cancelled so many seconds after the leader's end.
constexpr double kOffsets[] = {-2, -0.5, -0.1, -0.02, 0, 0.02, 0.2, 1, 3, 4.5, 5, 6, 8};

struct Meeting {
  std::uint64_t seed;
  Limit limit;
  bool warm;
  double offset;
};

void play(const Meeting& m, const OnLeader& lead, const OnMachines& trouble) {
  const std::string what = std::string("the leader ") + lead.name + ", machines: " + trouble.name +
                           ", cancelled at " + std::to_string(m.offset) + " s, seed " +
                           std::to_string(m.seed) + (m.warm ? " warm" : " cold") +
                           (m.limit == Limit::cores ? " cores" : " cards");
  World w(m.seed, at_limit(m.limit, m.warm));
  const Load load = fill(w);
  w.run(from_seconds(25));
  const int leader = w.leader();
  ASSERT_GE(leader, 0) << what;
  for (const char* team : {"red", "blue"}) ASSERT_EQ(on_machines(w, team), kTasks) << team << " " << what;
  // Of each team an array, the gang and the service are cancelled; their machines are those in trouble, not
  // all of them.
  std::set<std::string> cancelled;
  for (int i = 0; i < 10; ++i) {
    if (i / 2 == 0 || i / 2 >= 3) cancelled.insert(load.running[static_cast<std::size_t>(i)]);
  }
  std::vector<std::string> hosts = hosts_of(w, cancelled);
  if (hosts.size() > 3) hosts.resize(hosts.size() - 1);
  w.at(from_seconds(2), [&w, &trouble, hosts] { trouble.strike(w, hosts); });
  w.at(from_seconds(3), [&w, &lead, leader] { lead.strike(w, leader); });
  for (const std::string& job_id : cancelled)
    w.at(from_seconds(3 + m.offset + w.uniform(0, 0.2)), [&w, job_id] { w.cancel(job_id); });
  w.run(from_seconds(20));
  w.heal();
  w.checker.troubles_over(w.now());
  w.run(from_seconds(110));
  w.checker.judge(w.now());
  EXPECT_TRUE(w.checker.broken().empty()) << what << "\n" << notes(w).substr(0, 1500);
  EXPECT_EQ(w.live(), 0U) << what;
}

std::uint64_t number_from(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

class LimitWays : public testing::TestWithParam<std::size_t> {};

}  // namespace

// Each way of the lead with each way of the machines, the offsets in turn; warm, and by turns cold or with
// cards as what is limited.
TEST_P(LimitWays, Hold) {
  const bool all = std::getenv("WRENUSHER_LIMITS") != nullptr;
  std::uint64_t seed = number_from("WRENUSHER_SEED", 100) + GetParam() * 1000;
  const OnLeader lead = on_leader()[GetParam()];
  std::size_t turn = GetParam() * 5;
  for (const OnMachines& trouble : on_machines()) {
    for (const auto& [limit, warm] :
         {std::pair(Limit::cores, true), std::pair(Limit::cores, false), std::pair(Limit::cards, true)}) {
      ++turn;
      const bool plain = limit == Limit::cores && warm;
      if (!all && !plain && turn % 2 == 0) continue;
      for (std::size_t i = 0; i < std::size(kOffsets); ++i) {
        if (all || i == turn % std::size(kOffsets)) play({++seed, limit, warm, kOffsets[i]}, lead, trouble);
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Limits, LimitWays, testing::Range<std::size_t>(0, 8));

namespace {

/// The leader's book and what reports make of it, without a world.
struct Counted {
  ByHand rt;
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{rt, estimator};
  wrenusher::job_table::JobTable book{rt, machines};
  wrenusher::usage_metrics::StartLatencyMetrics waits;
  wrenusher::reconciler::Reconciler reports{rt, book, machines, estimator, waits};
  JobSpec spec = job(0, 2, 100);

  Counted() { begin(7); }
  /// The records of one job, as a leader of this term finds them.
  wrenusher::job_table::Job& begin(std::uint64_t fencing_token) {
    book.reset(fencing_token);
    machines.clear();
    return book.add(spec.job_id, {spec, {}, 1000, false}, 1);
  }
  wrenusher::job_table::Job& the_job() { return *book.find(spec.job_id); }
  /// A block in which task 0 has a claim on m-1.
  void found(std::uint64_t version) {
    wrenusher::records::BlockRecord b;
    b.last_attempt = 2;
    b.assignments.push_back({"m-1", 2, {}});
    b.assignments.back().tasks.add(0);
    book.restore_block(the_job(), 0, version, b);
  }
  /// A report of a machine, of task 0 as given, or not showing it.
  void report(const char* host, std::uint64_t attempt, std::optional<TaskStatus> status, const char* cause,
              bool current, bool settled = true) {
    WorkerReport r;
    r.host = host;
    r.address = "10.1.0.1:9000";
    r.machine_type = "small";
    r.zone = "a";
    r.incarnation = r.sequence = r.fencing_token = 1;
    if (status) r.tasks.push_back({spec.job_id, 0, attempt, *status, cause, false});
    reports.apply(r, current, settled);
  }
  double cores() const {
    const auto it = book.teams().find("red");
    return it == book.teams().end() ? 0 : from_amount(it->second.cores);
  }
};

constexpr std::uint64_t kTerm = std::uint64_t{7} << 32U;

}  // namespace

// A leader that misses changes reads its records anew within its term. Versions began as at the term's start:
// what was claimed next was older than what stood in the records, so that it was ordered and never written.
TEST(Limits, WhatIsClaimedAfterTheRecordsAreReadAnewIsNewerThanWhatWasFound) {
  Counted c;
  auto& before = c.the_job();
  for (int i = 0; i < 5; ++i) {
    c.book.assign(before, 0, c.machines.get_or_add("m-1"), 1, TaskState::assigned);
    c.book.release(before, 0, "stopped");
  }
  const std::uint64_t on_its_way = before.blocks[0].version;
  c.begin(7);
  c.found(on_its_way - 2);
  auto& job = c.the_job();
  c.book.assign(job, 1, c.machines.get_or_add("m-2"), 3, TaskState::assigned);
  EXPECT_GT(job.blocks[0].version, on_its_way);
  EXPECT_FALSE(job.committed(1, job.assignments.at(1).version));
  EXPECT_EQ(c.book.unwritten().size(), 1U);
  EXPECT_EQ(c.book.disagreement(), "");
}

// A copy of a report of before the term comes first: a gang's task may have come back to its machine under
// the same attempt since.
TEST(Limits, AReportOfBeforeTheTermFreesNothing) {
  for (const bool shown_first : {false, true}) {
    for (const bool ended : {false, true}) {
      Counted c;
      c.spec.type = JobType::gang;
      c.begin(7);
      c.found(kTerm - 5);
      ASSERT_EQ(c.cores(), 4);
      if (shown_first) c.report("m-1", 2, TaskStatus::waiting_for_gang, "", false);
      c.report("m-1", 2, ended ? std::optional(TaskStatus::exited) : std::nullopt, "alone", false);
      EXPECT_EQ(c.cores(), 4) << shown_first << ended;
      c.report("m-1", 2, ended ? std::optional(TaskStatus::exited) : std::nullopt, "alone", true);
      EXPECT_EQ(c.cores(), 0) << shown_first << ended;
    }
  }
}

// Its first machine was given up with the result untold; the second has yet to fetch its image, and the task
// is there for a moment once it has.
TEST(Limits, ATaskThatWasDoneElsewhereCountsUntilItEndsWhereItStandsClaimed) {
  Counted c;
  c.found(kTerm - 5);
  c.report("m-1", 2, TaskStatus::fetching_image, "", true);
  c.report("m-9", 1, TaskStatus::exited, "done", true);
  EXPECT_EQ(c.cores(), 4);
  EXPECT_FALSE(c.the_job().done.contains(0));
  c.report("m-1", 2, TaskStatus::exited, "done", true);
  EXPECT_EQ(c.cores(), 0);
  EXPECT_TRUE(c.the_job().done.contains(0));
}

// Of a claim that this leader made before it read the records anew the order may still be on its way; the
// worker's answer to a direct command does not tell.
TEST(Limits, AClaimOfThisTermThatWasFoundAnewIsSettledByReportsAlone) {
  for (const bool own : {false, true}) {
    Counted c;
    c.found(own ? kTerm + 5 : kTerm - 5);
    c.report("m-1", 2, std::nullopt, "", true, false);
    EXPECT_EQ(c.cores(), own ? 4 : 0);
    c.report("m-1", 2, std::nullopt, "", true, true);
    EXPECT_EQ(c.cores(), 0);
  }
}

// What counts for a team is the same however the claim came into the book, cards as well as cores, until a
// report or the machine's return ends it.
TEST(Limits, ClaimsFoundAdoptedAndOfCancelledJobsCount) {
  const auto needs = [](const Counted& c) { return c.book.teams().at("red"); };
  for (const bool withdrawn : {false, true}) {
    Counted c;
    c.spec.resources.gpus = to_amount(1);
    c.book.reset(7);
    c.machines.clear();
    c.book.add(c.spec.job_id, {c.spec, {}, 1000, withdrawn}, 1);
    c.found(kTerm - 5);
    EXPECT_EQ(needs(c), c.spec.resources);
    // Task 1 is on a machine without a claim.
    WorkerReport r;
    r.host = "m-2";
    r.machine_type = "small";
    r.zone = "a";
    r.incarnation = r.sequence = 1;
    r.tasks.push_back({c.spec.job_id, 1, 1, TaskStatus::running, "", false});
    c.reports.apply(r, true, true);
    EXPECT_EQ(needs(c), c.spec.resources * 2);
    if (!withdrawn) c.book.cancel(c.the_job());
    static_cast<void>(c.book.stop_job(c.the_job(), Micros{0}));
    EXPECT_EQ(needs(c), c.spec.resources * 2);
    EXPECT_FALSE(c.book.finished_jobs().contains(c.spec.job_id));
    c.machines.get_or_add("m-1").silent = c.machines.get_or_add("m-1").cordoned = true;
    EXPECT_EQ(needs(c), c.spec.resources * 2);
    r.tasks.clear();
    c.reports.apply(r, true, true);
    EXPECT_EQ(needs(c), c.spec.resources);
    c.book.release(c.the_job(), 0, "its machine is gone", true);
    EXPECT_EQ(needs(c), Resources{});
    EXPECT_TRUE(c.book.finished_jobs().contains(c.spec.job_id));
  }
}

// The changes that a leader would have followed are not to be had any more: it reads its records anew, with
// writes under way, work at its limits and cancellations, and ends some seconds later.
TEST(Limits, ALeaderThatReadsItsRecordsAnewAndEndsBreaksNoRule) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    World w(900 + seed, at_limit(Limit::cores, seed % 2 == 0));
    const Load load = fill(w);
    for (int i = 0; i < 40; ++i) w.at(from_seconds(25 + i), [&w, s = job(300 + i, 2, 6)] { w.submit(s); });
    w.run(from_seconds(28));
    if (seed > 2) w.write_late(0.3);
    // Only a follower that is a write behind at that moment has missed changes: one call in some fifteen.
    for (int i = 0; i < 150; ++i) w.at(from_seconds(w.uniform(0, 25)), [&w] { w.state_forgets(); });
    for (int i = 0; i < 6; ++i) {
      w.at(from_seconds(3 * i),
           [&w, job_id = load.running[static_cast<std::size_t>(i)]] { w.cancel(job_id); });
    }
    w.run(from_seconds(26));
    if (w.leader() >= 0) w.crash(w.leader(), from_seconds(10));
    w.run(from_seconds(15));
    w.write_late(0);
    w.run(from_seconds(13));
    w.checker.troubles_over(w.now());
    for (const std::string& job_id : load.services) w.cancel(job_id);
    w.run(from_seconds(240));
    EXPECT_TRUE(w.checker.broken().empty()) << "seed " << seed << "\n" << notes(w).substr(0, 1500);
    EXPECT_EQ(w.live(), 0U) << "seed " << seed;
  }
}
