// Writes that are carried out at once and of which only the answer is lost, while other nodes and users read
// what was written: each kind of write, at the first try, the repeat and the read after it, and what happens
// to the leader in the same moment.

#include <gtest/gtest.h>

#include <cstdlib>

#include "manual_runtime.hpp"
#include "verdict_assertions.hpp"
#include "wrenusher/commit_batcher/commit_batcher.hpp"
#include "wrenusher/membership/leadership.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::runtime::ByHand;
namespace records = wrenusher::records;

namespace {

enum class Lost { first, repeat, read };
enum class Then { stays, ends, ends_cold, refused };

const char* word(Lost l) {
  return l == Lost::first    ? "the first answer"
         : l == Lost::repeat ? "that of the repeat"
                             : "that of the read";
}
const char* word(Then t) {
  return t == Then::stays       ? "the leader stays"
         : t == Then::ends      ? "the leader ends"
         : t == Then::ends_cold ? "the leader ends and a cold node follows"
                                : "the leader loses the state service";
}

const std::string kMap =
    "version: 1\nlevels: [rack]\ndomains:\n  r0: {level: rack, machines: [{host: \"m-*\"}]}\n";

std::string newer_map() {
  std::string m = kMap;
  m.replace(m.find("version: 1"), 10, "version: 2");
  return m;
}

JobSpec long_job() {
  return World::job(40, 3, 2, 300);
}
JobSpec late_job() {
  return World::job(60, 3, 2, 8);
}

/// A write, by the keys of which the answer is lost, what is read after it, and what brings it about.
struct Write {
  const char* name;
  std::string keys;
  std::string read;
  std::function<void(World&)> cause;
  bool leader_ended = false;  ///< by the cause
};

void PrintTo(const Write& w, std::ostream* out) {
  *out << w.name;
}

/// Until a job that comes in the moment of the loss runs: order and report; the wait for each answer that
/// does not come; and where another leads, the hold, and workers that wait for the old leader and go to the
/// next.
double longest(const Write& write, Lost lost, Then then) {
  const bool another = then != Then::stays || write.leader_ended;
  return 3 + 1.5 * (lost == Lost::first ? 1 : 2) + (another ? 4 + 5 : 0);
}

void end_leader(World& w) {
  w.crash(std::max(0, w.leader()), from_seconds(20));
}

std::vector<Write> writes() {
  const auto job_key = [](const JobSpec& s) { return records::job_key(s.job_id); };
  return {
      {"submission", job_key(late_job()), job_key(late_job()), [](World& w) { w.submit(late_job()); }},
      {"cancellation", job_key(long_job()), job_key(long_job()),
       [](World& w) { w.cancel(long_job().job_id); }},
      {"end", "end/", "job/", [](World& w) { w.submit(late_job()); }},
      {"claims", "claims/", "claims/", [](World& w) { w.submit(late_job()); }},
      {"term", "leader", "leader", end_leader, true},
      {"edition", "epoch", "epoch", [](World& w) { w.edit_topology(newer_map()); }},
      {"catalog", "catalog", "catalog", end_leader, true},
  };
}

/// Short work that ends all the time, long work, a gang and a service.
void load(World& w) {
  for (int i = 0; i < 12; ++i) {
    const JobSpec s = World::job(i, 1 + static_cast<std::uint32_t>(w.pick(4)), 2, w.uniform(4, 12));
    w.at(from_seconds(4 * i), [&w, s] { w.submit(s); });
  }
  w.submit(long_job());
  JobSpec gang = World::job(50, 3, 4, 15);
  gang.type = JobType::gang;
  w.at(from_seconds(30), [&w, gang] { w.submit(gang); });
  JobSpec service = World::job(51, 2, 2, 0);
  service.type = JobType::service;
  w.submit(service);
  w.at(from_seconds(75), [&w, service] { w.cancel(service.job_id); });
  w.at(from_seconds(80), [&w] { w.cancel(long_job().job_id); });
}

Site site_of(Then then) {
  Site s = World::default_site(World::small_site());
  s.topology_text = kMap;
  s.topology = wrenusher::topology::Topology::parse(kMap, "topology.yaml");
  s.settings.tunables.warm_standby = then != Then::ends_cold;
  // Room enough at all times, so that nothing waits but for what is lost.
  s.machines = 8;
  s.types[0].ordinary = 8;
  s.settings.tunables.idle_return = from_seconds(3600);
  return s;
}

/// What becomes of the leader in the moment in which the answer to `who` is lost.
void befall(World& w, Then then, const std::string& who) {
  if (then == Then::stays) return;
  int whom = w.leader();
  if (whom < 0 && who.starts_with("c")) whom = who[1] - '0';
  if (then == Then::refused) {
    w.state_refuses(whom, true);
    w.at(from_seconds(8), [&w, whom] { w.state_refuses(whom, false); });
  } else {
    w.crash(whom, from_seconds(15));
  }
}

struct Played {
  int lost = 0;
  double to_work = -1;  ///< s from the first lost answer until a job that came in that moment runs
};

Played play(const Write& write, Lost lost, Then then) {
  const std::string story = std::string(write.name) + ": " + word(lost) + " is lost, " + word(then);
  const char* seed = std::getenv("WRENUSHER_SEED");
  World w((seed != nullptr ? std::strtoull(seed, nullptr, 10) : 70) + static_cast<std::uint64_t>(lost) * 10 +
              static_cast<std::uint64_t>(then),
          site_of(then), 2);
  load(w);
  w.run(from_seconds(35));
  EXPECT_GE(w.leader(), 0) << story;

  Played out;
  std::optional<Instant> struck;
  JobSpec probe = World::job(70, 1, 1, 5);
  probe.image_gb = 0.01;  // and it waits for no image
  w.machines().on_start = [&](const std::string& job_id, std::uint32_t) {
    if (job_id == probe.job_id && out.to_work < 0) out.to_work = to_seconds(w.now() - *struck);
  };
  SimTransport::AnswerLoss l;
  l.keys = {write.keys};
  l.most = lost == Lost::repeat ? 2 : 1;
  l.then = [&](const std::string& who) {
    if (struck) return;
    struck = w.now();
    w.submit(probe);
    if (lost == Lost::read) {
      SimTransport::AnswerLoss read;
      read.keys = {write.read};
      read.reads = true;
      read.most = 1;
      w.lose_answers(read);
    }
    befall(w, then, who);
  };
  w.lose_answers(l);
  write.cause(w);
  for (int i = 0; i < 300 && !struck; ++i) w.run(from_millis(100));
  EXPECT_TRUE(struck) << story;
  w.run(from_seconds(30));
  w.checker.troubles_over(w.now());
  w.run(from_seconds(110));
  w.checker.judge(w.now());
  EXPECT_TRUE(w.checker.broken().empty()) << story << "\n" << notes(w);
  EXPECT_EQ(w.live(), 0U) << story;
  EXPECT_GE(w.leader(), 0) << story;
  // Ends are written, and what ended is off the machines' lists.
  EXPECT_EQ(w.keys("job/"), 0U) << story;
  for (const std::string& h : w.hosts()) EXPECT_TRUE(w.tasks_on(h).empty()) << story << ", " << h;
  out.lost = w.lost_answers();
  if (std::getenv("WRENUSHER_TELL") != nullptr)
    std::printf("%-14s %-18s %-40s lost %d, work after %.2f s\n", write.name, word(lost), word(then),
                out.lost, out.to_work);
  return out;
}

}  // namespace

class EachWrite : public testing::TestWithParam<Write> {};

TEST_P(EachWrite, WithoutItsAnswerAtEachStepBreaksNoRuleAndLosesNoJob) {
  for (const Lost lost : {Lost::first, Lost::repeat, Lost::read}) {
    for (const Then then : {Then::stays, Then::ends, Then::ends_cold, Then::refused}) {
      const Played p = play(GetParam(), lost, then);
      EXPECT_EQ(p.lost, lost == Lost::first ? 1 : 2);
      EXPECT_GE(p.to_work, 0);
      EXPECT_LE(p.to_work, longest(GetParam(), lost, then))
          << GetParam().name << ": " << word(lost) << " is lost, " << word(then);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(LostAnswers, EachWrite, testing::ValuesIn(writes()),
                         [](const auto& p) { return std::string(p.param.name); });

// What a node wrote in an earlier term of its own says nothing of what another leader has put since.
TEST(LostAnswers, EachTermWritesTheMachineTypesAlsoWhereItsLeaderHasLedBefore) {
  World w(9, site_of(Then::stays), 2);
  for (int i = 0; i < 5; ++i) {
    w.run(from_seconds(20));
    ASSERT_GE(w.leader(), 0);
    EXPECT_GT(w.kv_service().find("catalog")->mod_revision, w.kv_service().find("epoch")->mod_revision)
        << "term " << w.terms();
    w.inject_fault({"state_refuses", {}, from_seconds(9), {}, "leader", 0});
  }
}

// A share of all answers to changes and reads, while the leader ends, hands over, or all begin anew.
TEST(LostAnswers, ManyOfThemBreakNoRuleAndLoseNoJob) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    World w(600 + seed, site_of(seed % 3 == 0 ? Then::ends_cold : Then::ends), 2);
    load(w);
    w.run(from_seconds(15));
    SimTransport::AnswerLoss l;
    l.share = 0.3;
    const int changes = w.lose_answers(l);
    l.reads = true;
    l.share = 0.15;
    const int reads = w.lose_answers(l);
    const Micros when = from_seconds(w.uniform(2, 30));
    if (seed % 4 == 1) w.at(when, [&w] { end_leader(w); });
    if (seed % 4 == 2)
      w.at(when, [&w] { w.inject_fault({"state_refuses", {}, from_seconds(9), {}, "leader", 0}); });
    if (seed % 4 == 3) w.at(when, [&w] { w.inject_fault({"all_crash", {}, from_millis(700), {}, "", 0}); });
    w.run(from_seconds(45));
    EXPECT_GT(w.lost_answers(), 10);
    w.answer_again(changes);
    w.answer_again(reads);
    w.run(from_seconds(10));
    w.checker.troubles_over(w.now());
    w.run(from_seconds(150));
    w.checker.judge(w.now());
    EXPECT_TRUE(w.checker.broken().empty()) << "seed " << seed << "\n" << notes(w);
    EXPECT_EQ(w.live(), 0U) << "seed " << seed;
    EXPECT_EQ(w.keys("job/"), 0U) << "seed " << seed;
  }
}

namespace {

std::string name_of(int controller) {
  return "c" + std::to_string(controller);
}

std::string state_of(const std::optional<Response>& r) {
  const auto v = r ? decode(r->body) : std::nullopt;
  const std::string* s = v ? (*v)["status"].text() : nullptr;
  return s != nullptr ? std::to_string(r->status) + " " + *s : r ? std::to_string(r->status) : "none";
}

/// What a node says once it says anything: one answer in 200 of the state service is lost, and its user is
/// then told to come back.
std::string told_by(World& w, int controller, const Request& request) {
  std::string out;
  for (int tries = 0; tries < 4 && (out.empty() || out == "503"); ++tries) {
    if (tries > 0) w.run(from_seconds(1));
    out = state_of(w.ask(controller, request));
  }
  return out;
}

/// The answer to one controller's write of the job's root is lost; `then` in the same moment.
void lose_root(World& w, const std::string& job_id, int controller, std::function<void()> then = {}) {
  SimTransport::AnswerLoss l;
  l.keys = {records::job_key(job_id)};
  l.who = name_of(controller);
  l.most = 1;
  if (then) l.then = [then](const std::string&) { then(); };
  w.lose_answers(l);
}

Request submission(const JobSpec& s) {
  return {"POST", "/submissions", encode(write_spec(s))};
}
Request question(const std::string& job_id) {
  return {"GET", "/submissions/" + job_id, {}};
}
Request cancellation(const std::string& job_id) {
  return {"POST", "/submissions/" + job_id + "/withdraw", {}};
}

bool on_machines(const World& w, const std::string& job_id) {
  for (const std::string& h : w.hosts()) {
    for (const auto& [there, task] : w.tasks_on(h)) {
      if (there == job_id) return true;
    }
  }
  return false;
}

}  // namespace

// The node that took the job does not know; the leader runs it, and its user asks and submits elsewhere.
TEST(LostAnswers, AJobTakenWithoutItsAnswerIsOneJobAtEveryNodeWhileItRunsAndOnceItIsOver) {
  World w(82);
  w.run(from_seconds(30));
  const int leader = w.leader();
  ASSERT_GE(leader, 0);
  const int taker = (leader + 1) % 3;
  const int other = (leader + 2) % 3;
  SimulatedJob job{World::job(1, 2, 1, 6), from_seconds(6), false};
  w.machines().describe(job);
  w.checker.submitted(job.spec);
  std::size_t starts = 0;
  w.machines().on_start = [&](const std::string& job_id, std::uint32_t) {
    starts += job_id == job.spec.job_id ? 1 : 0;
  };
  lose_root(w, job.spec.job_id, taker);
  std::string first;
  w.send_commands(taker, submission(job.spec),
                  [&](const CallResult& o) { first = o.answered ? state_of(o.response) : "none"; });
  w.run(from_millis(300));
  EXPECT_EQ(first, "");  // it waits
  EXPECT_EQ(state_of(w.ask(other, question(job.spec.job_id))), "200 pending");
  EXPECT_EQ(state_of(w.ask(other, submission(job.spec))), "200 pending");
  w.run(from_seconds(2));
  EXPECT_EQ(first, "200 pending");  // what it read after the time had run out
  for (int i = 0; i < 300 && !on_machines(w, job.spec.job_id); ++i) w.run(from_millis(100));
  w.run(from_seconds(2));
  for (const int c : {taker, other, leader})
    EXPECT_TRUE(state_of(w.ask(c, submission(job.spec))).starts_with("200 ")) << c;
  for (int i = 0; i < 300 && w.keys("end/") == 0; ++i) w.run(from_millis(100));
  for (const int c : {taker, other, leader}) {
    EXPECT_EQ(told_by(w, c, submission(job.spec)), "200 done") << c;
    EXPECT_EQ(told_by(w, c, question(job.spec.job_id)), "200 done") << c;
  }
  w.run(from_seconds(10));
  EXPECT_EQ(w.keys("job/"), 0U);
  EXPECT_EQ(starts, 2U);
  expect_kept(w);
}

// The node that cancelled a job does not know; another one is the first to tell, and nobody can ask the state
// service from then on, or the leader ends.
TEST(LostAnswers, ACancellationWithoutItsAnswerThatAnotherNodeTellsFirstIsKeptInTime) {
  for (const bool outage : {true, false}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      World w(90 + seed);
      const JobSpec job = World::job(1, 4, 2, 300);
      w.submit(job);
      for (int i = 0; i < 600 && !on_machines(w, job.job_id); ++i) w.run(from_millis(100));
      w.run(from_seconds(5));
      const int leader = w.leader();
      ASSERT_GE(leader, 0);
      const int taker = (leader + 1) % 3;
      const int other = (leader + 2) % 3;
      w.checker.asked_cancel(job.job_id);
      lose_root(w, job.job_id, taker);
      std::string first = "none";
      w.send_commands(taker, cancellation(job.job_id), [&](const CallResult& o) {
        if (o.answered && o.response.status == 200) first = state_of(o.response);
      });
      w.run(from_millis(static_cast<std::int64_t>(w.uniform(20, 600))));
      EXPECT_EQ(first, "none");
      const Instant asked = w.now();
      const auto told = w.ask(other, question(job.job_id));
      EXPECT_EQ(state_of(told), "200 withdrawn");
      w.checker.answered_poll(w.now(), job.job_id, 200, "withdrawn", asked);
      if (outage) {
        w.state_outage(true);
      } else {
        w.crash(leader, from_seconds(40));
      }
      w.run(from_seconds(1.8));
      EXPECT_EQ(first, outage ? "none" : "200 withdrawn");
      w.run(World::small_site().cancel_deadline - from_seconds(1));
      EXPECT_FALSE(on_machines(w, job.job_id)) << "seed " << seed;
      w.state_outage(false);
      w.run(from_seconds(30));
      for (int c = 0; c < 3; ++c)
        EXPECT_EQ(told_by(w, c, cancellation(job.job_id)), "200 withdrawn") << c << ", seed " << seed;
      expect_kept(w);
      EXPECT_EQ(w.keys("job/"), 0U);
    }
  }
}

// The end stands and its leader does not know: users are told, and once it has read that the root is gone the
// job leaves its book and its machines are told to forget the tasks.
TEST(LostAnswers, AnEndWithoutItsAnswerIsSettledByWhatIsReadAfterIt) {
  for (const bool read_lost : {false, true}) {
    World w(96);
    const JobSpec job = World::job(1, 3, 2, 6);
    w.submit(job);
    std::optional<Instant> struck;
    SimTransport::AnswerLoss l;
    l.keys = {records::final_state_key(job.job_id)};
    l.most = 1;
    l.then = [&](const std::string& who) {
      struck = w.now();
      if (!read_lost) return;
      SimTransport::AnswerLoss read;
      read.keys = {records::job_key(job.job_id)};
      read.reads = true;
      read.who = who;
      read.most = 1;
      w.lose_answers(read);
    };
    w.lose_answers(l);
    for (int i = 0; i < 600 && !struck; ++i) w.run(from_millis(100));
    ASSERT_TRUE(struck);
    EXPECT_EQ(w.keys("job/"), 0U);
    const int leader = w.leader();
    for (int c = 0; c < 3; ++c) {
      if (c == leader) continue;
      EXPECT_EQ(state_of(w.ask(c, question(job.job_id))), "200 done") << c;
    }
    // The write's time runs out, and the read's; then the workers' next report.
    w.run(*struck + from_seconds(read_lost ? 5.5 : 3.5) - w.now());
    EXPECT_FALSE(on_machines(w, job.job_id)) << (read_lost ? "read lost" : "read");
    EXPECT_EQ(w.lost_answers(), read_lost ? 2 : 1);
    w.run(from_seconds(20));
    expect_kept(w);
    EXPECT_EQ(w.live(), 0U);
  }
}

namespace {

/// A node that may lead, with the state service answered by hand.
struct CandidateByHand {
  Settings settings = World::small_site();
  ByHand rt;
  std::unique_ptr<wrenusher::kv_client::KvClient> store;
  std::unique_ptr<wrenusher::membership::Leadership> lead;
  std::vector<wrenusher::events::TermChanged> terms;
  std::vector<wrenusher::events::TopologyActivated> force;

  CandidateByHand() {
    settings.node = "c0";
    store = std::make_unique<wrenusher::kv_client::KvClient>(rt, settings);
    lead = std::make_unique<wrenusher::membership::Leadership>(rt, settings, *store);
    lead->term_changed.connect(rt, [this](const auto& t) { terms.push_back(t); });
    lead->topology_activated.connect(rt, [this](const auto& t) { force.push_back(t); });
    lead->start();
  }
  /// The next call of this kind.
  ByHand::Call sent(const std::string& begins, Micros within = from_seconds(3)) {
    for (Micros t{}; t <= within; t += from_millis(10)) {
      for (auto it = rt.calls.begin(); it != rt.calls.end(); ++it) {
        if (!(it->request.method + " " + it->request.target).starts_with(begins)) continue;
        ByHand::Call c = std::move(*it);
        rt.calls.erase(it);
        return c;
      }
      rt.pass(from_millis(10));
    }
    ADD_FAILURE() << "no " << begins;
    return {{}, [](const CallResult&) {}};
  }
  std::size_t open(const std::string& begins) const {
    return static_cast<std::size_t>(std::count_if(rt.calls.begin(), rt.calls.end(), [&](const auto& c) {
      return (c.request.method + " " + c.request.target).starts_with(begins);
    }));
  }
  static void answer(const ByHand::Call& c, int status, const Value& body) {
    c.done({true, true, {status, encode(body), 0}});
  }
  /// Its time runs out.
  void lose(const ByHand::Call& c) {
    rt.pass(from_seconds(1.5));
    c.done({false, true, {}});
  }
  static Value row(const char* key, const Value& value, std::uint64_t mod_revision, std::uint64_t lease_id) {
    return Value::Map{{"k", key}, {"value", value}, {"stamp", mod_revision}, {"tenancy", lease_id}};
  }
  /// Up to the transaction, the record of terms being at `epoch` (0: none).
  ByHand::Call campaign(std::uint64_t fencing_token, std::uint64_t mod_revision, std::uint64_t lease_id) {
    answer(sent("POST /holds"), 200, Value::Map{{"tenancy", lease_id}});
    const auto read = sent("GET /store/epoch");
    if (fencing_token == 0) {
      answer(read, 404, Value::Map{{"ledger_rev", std::uint64_t{1}}});
    } else {
      answer(read, 200, row("epoch", Value::Map{{"epoch", fencing_token}}, mod_revision, 0));
    }
    return sent("POST /multi");
  }
  void no_leader() {
    answer(sent("GET /store?starts=leader"), 200,
           Value::Map{{"rows", Value::List{}}, {"truncated", false}, {"ledger_rev", std::uint64_t{1}}});
  }
  std::size_t led() const {
    return static_cast<std::size_t>(
        std::count_if(terms.begin(), terms.end(), [](const auto& t) { return t.leading; }));
  }
};

std::uint64_t condition(const ByHand::Call& c, const std::string& key) {
  // None where the call never came, which `sent` has told.
  const auto body = decode(c.request.body);
  const Value::List* when = body ? (*body)["when"].list() : nullptr;
  for (const Value& w : when == nullptr ? Value::List{} : *when) {
    if (*w["k"].text() == key) return *w["stamp"].count();
  }
  return UINT64_MAX;
}

}  // namespace

// The term stands with this node's hold. It does not lead by it, gives the hold back, and wins the next one
// on what it reads, whether or not the hold's end has reached the state service.
TEST(LostAnswers, ATermWonWithoutItsAnswerIsNotLedAndTheNextOneIsWonOverIt) {
  for (const bool dropped : {true, false}) {
    CandidateByHand c;
    c.no_leader();
    const auto won = c.campaign(0, 0, 7);
    EXPECT_EQ(condition(won, "leader"), 0U);
    c.lose(won);
    EXPECT_EQ(c.led(), 0U);
    EXPECT_FALSE(c.lead->lease_valid());
    const auto drop = c.sent("DELETE /holds/7");
    ByHand::Call again{{}, {}};
    if (dropped) {
      CandidateByHand::answer(drop, 200, Value::Map{});
      c.no_leader();
      again = c.campaign(1, 5, 8);
      EXPECT_EQ(condition(again, "leader"), 0U);
    } else {
      c.lose(drop);
      CandidateByHand::answer(
          c.sent("GET /store?starts=leader"), 200,
          Value::Map{{"rows", Value::List{CandidateByHand::row(
                                  "leader", Value::Map{{"node", "c0"}, {"epoch", std::uint64_t{1}}}, 5, 7)}},
                     {"truncated", false},
                     {"ledger_rev", std::uint64_t{5}}});
      again = c.campaign(1, 5, 8);
      EXPECT_EQ(condition(again, "leader"), 5U);
    }
    EXPECT_EQ(condition(again, "epoch"), 5U);
    EXPECT_EQ(c.led(), 0U);
    CandidateByHand::answer(again, 200, Value::Map{{"ledger_rev", std::uint64_t{9}}});
    ASSERT_EQ(c.led(), 1U);
    EXPECT_EQ(c.terms.back().fencing_token, 2U);
    EXPECT_EQ(c.terms.back().mod_revision, 9U);
    EXPECT_TRUE(c.lead->lease_valid());
  }
}

// The edition stands and its leader does not know: the repeat fails, and what is then read says so, at the
// latest a second after a read whose answer is lost as well.
TEST(LostAnswers, AnEditionPutWithoutItsAnswerIsFoundByTheReadAfterItsRepeat) {
  CandidateByHand c;
  c.no_leader();
  CandidateByHand::answer(c.campaign(0, 0, 7), 200, Value::Map{{"ledger_rev", std::uint64_t{5}}});
  ASSERT_EQ(c.led(), 1U);
  const std::shared_ptr<const wrenusher::topology::Topology> map =
      wrenusher::topology::Topology::parse(kMap, "topology.yaml");
  c.lead->on_topology_loaded({map});
  c.lose(c.sent("POST /multi"));
  EXPECT_NE(c.force.back().version, map->version());
  Value::Map record{{"epoch", std::uint64_t{1}}};
  wrenusher::membership::write_topology_version(record, "topology", map->version());
  const auto failed = [](const ByHand::Call& call) {
    CandidateByHand::answer(call, 409,
                            Value::Map{{"failed", Value::List{"epoch"}}, {"ledger_rev", std::uint64_t{6}}});
  };
  const auto repeat = c.sent("POST /multi");
  EXPECT_EQ(condition(repeat, "epoch"), 5U);
  failed(repeat);
  c.lose(c.sent("GET /store/epoch"));
  failed(c.sent("POST /multi"));
  CandidateByHand::answer(c.sent("GET /store/epoch"), 200,
                          CandidateByHand::row("epoch", Value(std::move(record)), 6, 0));
  EXPECT_EQ(c.force.back().version, map->version());
  EXPECT_TRUE(c.force.back().agreed);
  c.rt.pass(from_seconds(2));
  EXPECT_EQ(c.open("POST /multi"), 0U);
}

namespace {

/// A leader's book and its writes, with the state service answered by hand.
struct WriterByHand : CandidateByHand {
  wrenusher::estimates::Estimator estimator;
  wrenusher::machine_inventory::MachineInventory machines{rt, estimator};
  wrenusher::job_table::JobTable book{rt, machines};
  wrenusher::commit_batcher::CommitBatcher writer{rt, settings, *store, book};
  std::vector<std::string> doubted;

  WriterByHand() {
    rt.calls.clear();
    book.reset(1);
    writer.reset(5);
    writer.on_committed = writer.on_shard_refreshed = [] {};
    writer.on_job_refresh_needed = [this](const std::string& job_id) { doubted.push_back(job_id); };
  }
  wrenusher::job_table::Job& take_up(int number) {
    records::JobRecord rec;
    rec.spec = World::job(number, 8, 1, 10);
    rec.tasks_per_block = 8;
    return book.add(rec.spec.job_id, rec, 3);
  }
  void claim(wrenusher::job_table::Job& job, std::uint32_t task) {
    book.assign(job, task, machines.get_or_add("m-1"), 1, wrenusher::job_table::TaskState::assigned);
  }
  ByHand::Call flush() {
    rt.pass(from_seconds(1));
    writer.flush();
    return sent("POST /multi", from_seconds(1));
  }
  static std::string slot_of(const ByHand::Call& c) {
    const auto body = decode(c.request.body);
    const Value::List* apply = body ? (*body)["apply"].list() : nullptr;
    for (const Value& a : apply == nullptr ? Value::List{} : *apply) {
      if (a["put"].text()->starts_with("claims/")) return *a["put"].text();
    }
    return {};
  }
};

}  // namespace

// What was claimed stands in a slot of which the leader does not know the stamp. Nothing is ordered by it; it
// is written anew elsewhere, and the slot is used again only by the stamp that was read.
TEST(LostAnswers, AClaimWrittenWithoutItsAnswerIsWrittenAnewAndItsSlotReadBeforeItIsUsed) {
  WriterByHand c;
  wrenusher::job_table::Job& job = c.take_up(1);
  c.claim(job, 0);
  const std::uint64_t made = job.assignments.at(0).version;
  const auto first = c.flush();
  EXPECT_EQ(WriterByHand::slot_of(first), "claims/0");
  EXPECT_EQ(condition(first, "claims/0"), 0U);
  EXPECT_EQ(condition(first, records::job_key(job.spec().job_id)), 3U);
  c.lose(first);
  EXPECT_FALSE(job.committed(0, made));
  EXPECT_EQ(c.doubted, std::vector<std::string>{job.spec().job_id});
  const auto read = c.sent("GET /store/claims/0");
  const auto second = c.flush();
  EXPECT_EQ(WriterByHand::slot_of(second), "claims/1");
  WriterByHand::answer(second, 200, Value::Map{{"ledger_rev", std::uint64_t{12}}});
  EXPECT_TRUE(job.committed(0, made));
  // The read's answer is lost as well: it is asked again, and the slot waits.
  c.lose(read);
  c.claim(job, 1);
  const auto third = c.flush();
  EXPECT_EQ(WriterByHand::slot_of(third), "claims/2");
  WriterByHand::answer(third, 200, Value::Map{{"ledger_rev", std::uint64_t{14}}});
  WriterByHand::answer(c.sent("GET /store/claims/0"), 200,
                       WriterByHand::row("claims/0", Value::Map{}, 11, 0));
  c.claim(job, 2);
  const auto fourth = c.flush();
  EXPECT_EQ(WriterByHand::slot_of(fourth), "claims/0");
  EXPECT_EQ(condition(fourth, "claims/0"), 11U);
  EXPECT_EQ(c.writer.disagreement(), "");
}

// What a leader may have made beyond the slots that others know of is bounded; it writes on as soon as one is
// read.
TEST(LostAnswers, NothingNewIsWrittenWhileEightSlotsStandInDoubtAndThenItGoesOn) {
  WriterByHand c;
  wrenusher::job_table::Job& job = c.take_up(1);
  c.claim(job, 0);
  for (int i = 0; i < 8; ++i) c.lose(c.flush());
  c.rt.pass(from_millis(300));
  c.writer.flush();
  c.rt.pass(from_millis(300));
  EXPECT_EQ(c.open("POST /multi"), 0U);
  EXPECT_EQ(c.open("GET /store/claims/"), 8U);
  // The last one asked for: no answer is taken later than a second and a half after its question.
  WriterByHand::answer(c.sent("GET /store/claims/7"), 404, Value::Map{{"ledger_rev", std::uint64_t{9}}});
  const auto next = c.flush();
  EXPECT_EQ(WriterByHand::slot_of(next), "claims/7");
  EXPECT_EQ(condition(next, "claims/7"), 0U);
}

// A term that missed changes reads its records once more, with a write of its own under way. What it changes
// then has a higher version than what it wrote before: lower ones counted as written, so that tasks were
// ordered without a claim in the state service.
TEST(LostAnswers, VersionsDoNotGoBackWhereATermReadsItsRecordsOnceMore) {
  WriterByHand c;
  {
    wrenusher::job_table::Job& job = c.take_up(1);
    for (std::uint32_t t = 0; t < 5; ++t) c.claim(job, t);
  }
  const std::uint64_t written = c.book.jobs().begin()->second.blocks[0].version;
  c.book.reset(1);
  c.machines.clear();
  c.writer.reset(5);
  c.writer.restore_shard(0, 11);
  wrenusher::job_table::Job& job = c.take_up(1);
  records::BlockRecord found;
  found.assignments.push_back({"m-1", 1, {}});
  found.assignments.back().tasks.add(0);
  c.book.restore_block(job, 0, written, found);
  c.writer.restore_block(job, 0, 0);
  c.claim(job, 6);
  EXPECT_GT(job.blocks[0].version, written);
  EXPECT_FALSE(job.committed(6, job.assignments.at(6).version));
  EXPECT_EQ(WriterByHand::slot_of(c.flush()), "claims/1");
  EXPECT_EQ(c.book.disagreement(), "");
}
