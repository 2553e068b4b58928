// Tests of the testbed: site files, simulated days, verdicts, lost answers, and that the simulated and the
// live transport give the same answers.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "wrenusher/testbed/day.hpp"
#include "wrenusher/testbed/live_transport.hpp"
#include "wrenusher/testbed/verdict.hpp"
#include "wrenusher/testbed/world.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;

namespace {

std::string error_of(const std::string& from, const std::string& to) {
  std::string yaml = small_site_yaml();
  const auto at = yaml.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  yaml.replace(at, from.size(), to);
  try {
    parse_site(yaml, "site.yaml");
    return "";
  } catch (const SiteError& e) {
    return e.what();
  }
}

/// Returns a short day with a controller crash, a reclaim of spot machines and an outage of the state
/// service.
Site site_with_faults() {
  Site s = parse_site(small_site_yaml(), "site.yaml");
  s.length = from_seconds(150);
  s.faults = {{"controller_crash", from_seconds(40), from_seconds(5), {}, "leader", 0},
              {"spot_wave", from_seconds(60), from_seconds(8), {}, "", 0.5},
              {"state_outage", from_seconds(80), from_seconds(10), {}, "", 0}};
  return s;
}

/// Sends a request and passes the result to the callback.
using RequestSender = std::function<void(const Request&, std::function<void(const CallResult&)>)>;

/// Requests that cover the API of the state service, malformed ones included.
std::vector<Request> state_requests() {
  const auto body = [](const Value& v) { return encode(v); };
  const auto transaction = [&](Value::List when, Value::List apply) {
    return Request{"POST", "/multi",
                   body(Value::Map{{"when", std::move(when)}, {"apply", std::move(apply)}})};
  };
  const auto put = [](const char* k, const Value& v) { return Value(Value::Map{{"put", k}, {"value", v}}); };
  return {transaction({}, {put("a/b", 1), put("a/c", Value::List{1, "x", true})}),
          {"GET", "/store/a/b", {}},
          {"GET", "/store/a/missing", {}},
          {"GET", "/store?starts=a/&limit=1", {}},
          {"GET", "/store?starts=a/&from=a/b&limit=10", {}},
          transaction({Value::Map{{"k", "a/b"}, {"stamp", 1}}}, {put("a/b", 2)}),
          transaction({Value::Map{{"k", "a/b"}, {"stamp", 1}}}, {put("a/b", 3)}),
          {"POST", "/holds", body(Value::Map{{"life_ms", 60000}})},
          {"POST", "/holds/1/extend", {}},
          {"POST", "/holds/9/extend", {}},
          {"GET", "/follow?starts=a/&from=0&hold_ms=1000", {}},
          {"DELETE", "/holds/1", {}},
          transaction({}, {Value::Map{{"delete", "a/c"}}}),
          {"GET", "/follow?starts=a/&from=2", {}},
          {"POST", "/multi", "\xff not CBOR"},
          {"PUT", "/store/a", {}}};
}

/// Sends the requests one after the other and returns the status and body of each answer.
std::vector<std::string> collect_answers(const std::function<void(const Request&, CallHandler)>& send_request,
                                         const std::function<void()>& run_once) {
  std::vector<std::string> out;
  for (const Request& r : state_requests()) {
    bool answered = false;
    send_request(r, [&](const CallResult& o) {
      answered = true;
      out.push_back(std::to_string(o.answered ? o.response.status : 0) + " " + o.response.body);
    });
    while (!answered) run_once();
  }
  return out;
}

}  // namespace

TEST(TestbedTransportTest, LiveAndSimulatedTransportGiveSameAnswers) {
  const KvLimits limits{0, 0, 16, 16};
  SimTransport sim(1);
  KvService simulated(sim, limits, std::make_unique<MemoryStorage>());
  sim.serve_at("10.2.0.1:2379", "state", [&](const std::string& from, const Request& r, const Responder& a) {
    simulated.serve(from, r, a);
  });
  // The simulated network may lose any message, so the requests bypass it.
  const auto a = collect_answers(
      [&](const Request& r, CallHandler done) {
        simulated.serve("c0", r, [done](Response x) { done({true, true, std::move(x)}); });
      },
      [&] { sim.run(from_millis(10)); });

  wrenusher::net::UvRuntime runtime(100);
  LiveTransport live(runtime, 17500);
  KvService real(live, limits, std::make_unique<MemoryStorage>());
  const auto at = live.serve(
      "state", [&](const std::string&, const Request& r, const Responder& x) { real.serve("c0", r, x); });
  ASSERT_TRUE(at);
  const auto b = collect_answers(
      [&](const Request& r, CallHandler done) {
        live.send("c0", *at, r, from_seconds(30), [&runtime, done = std::move(done)](const CallResult& o) {
          done(o);
          runtime.stop();
        });
      },
      [&] { runtime.run(); });
  EXPECT_EQ(a, b);
}

TEST(TestbedTransportTest, CutLinkHoldsOrRefusesRequests) {
  wrenusher::net::UvRuntime runtime(100);
  LiveTransport live(runtime, 17700);
  int received = 0;
  const auto at = live.serve("state", [&](const std::string&, const Request&, const Responder& x) {
    ++received;
    x({200, {}, 0});
    runtime.stop();
  });
  ASSERT_TRUE(at);
  live.links.cut("c0", "state", LinkCut::hold);
  bool timed_out = false;
  live.send("c0", *at, {"GET", "/", {}}, from_millis(20), [&](const CallResult& o) {
    timed_out = !o.answered && o.may_have_arrived;
    runtime.stop();
  });
  runtime.run();
  EXPECT_TRUE(timed_out);
  EXPECT_EQ(received, 0);
  live.heal();
  runtime.run();
  EXPECT_EQ(received, 1);
  live.links.cut("c0", "state", LinkCut::reset);
  bool refused = false;
  live.send("c0", *at, {"GET", "/", {}}, from_seconds(9), [&](const CallResult& o) {
    refused = !o.answered && !o.may_have_arrived;
    runtime.stop();
  });
  runtime.run();
  EXPECT_TRUE(refused);
  live.unserve(*at);
}

namespace {

/// A state service behind a simulated network that can drop its answers.
struct LossyStateService {
  SimTransport wires{4};
  KvService state{wires, {0, 0, 16, 16}, std::make_unique<MemoryStorage>()};
  LossyStateService() {
    wires.serve_at(
        "10.2.0.1:2379", "state",
        [this](const std::string& from, const Request& r, const Responder& a) { state.serve(from, r, a); });
  }
  /// Returns the status of the answer, such as "200", or "none after 1.5 s" if there was none.
  std::string send_request(const Request& r, const std::string& who = "c0") {
    std::string out;
    const Instant sent_at = wires.now();
    wires.send(who, "10.2.0.1:2379", r, from_seconds(1.5), [&](const CallResult& o) {
      out = o.answered ? std::to_string(o.response.status)
                       : (o.may_have_arrived ? "none after " : "unsent after ") +
                             std::to_string(to_seconds(wires.now() - sent_at)).substr(0, 3) + " s";
    });
    for (int i = 0; i < 300 && out.empty(); ++i) wires.run(from_millis(10));
    return out;
  }
  std::string put(const std::string& key, std::uint64_t mod_revision, const std::string& who = "c0") {
    return send_request(
        {"POST", "/multi",
         encode(Value::Map{{"when", Value::List{Value::Map{{"k", key}, {"stamp", mod_revision}}}},
                           {"apply", Value::List{Value::Map{{"put", key}, {"value", 1}}}}})},
        who);
  }
  std::string compare(const std::string& key, std::uint64_t mod_revision) {
    return send_request(
        {"POST", "/multi",
         encode(Value::Map{{"when", Value::List{Value::Map{{"k", key}, {"stamp", mod_revision}}}}})});
  }
  std::string get(const std::string& key) { return send_request({"GET", "/store/" + key, {}}); }
};

const char* const kNoAnswer = "none after 1.5 s";

}  // namespace

TEST(AnswerLossTest, ExecutesTransactionWhoseAnswerIsLost) {
  LossyStateService s;
  const int all_losses = s.wires.drop_answers({});
  EXPECT_EQ(s.put("job/a", 0), kNoAnswer);
  ASSERT_NE(s.state.find("job/a"), nullptr);
  EXPECT_EQ(s.state.find("job/a")->mod_revision, 1U);
  // The answer to the retry is lost too. Reads and comparisons are answered.
  EXPECT_EQ(s.put("job/a", 0), kNoAnswer);
  EXPECT_EQ(s.state.find("job/a")->mod_revision, 1U);
  EXPECT_EQ(s.get("job/a"), "200");
  EXPECT_EQ(s.compare("job/a", 1), "200");
  // A request that was not executed is answered.
  s.state.outage(true);
  EXPECT_EQ(s.put("job/b", 0), "503");
  s.state.outage(false);
  EXPECT_EQ(s.wires.dropped_answers(), 2);
  s.wires.answer_again(all_losses);
  EXPECT_EQ(s.put("job/b", 0), "200");
}

TEST(AnswerLossTest, FiltersByKeyClientAndNumberOfMatches) {
  LossyStateService s;
  SimTransport::AnswerLoss second;
  second.keys = {"end/", "job/"};
  second.skip = 1;
  second.most = 1;
  std::string notified_client;
  second.then = [&](const std::string& who) { notified_client = who; };
  s.wires.drop_answers(second);
  EXPECT_EQ(s.put("claims/0", 0), "200");
  EXPECT_EQ(s.put("job/a", 0), "200");
  EXPECT_EQ(s.put("end/a", 0, "c2"), kNoAnswer);
  EXPECT_EQ(notified_client, "c2");
  EXPECT_EQ(s.put("job/b", 0), "200");
  // Answers to reads: of a key, of a list and of a comparison.
  SimTransport::AnswerLoss reads;
  reads.keys = {"job/"};
  reads.reads = true;
  reads.who = "c0";
  reads.most = 3;
  s.wires.drop_answers(reads);
  EXPECT_EQ(s.put("job/c", 0), "200");
  EXPECT_EQ(s.get("end/a"), "200");
  EXPECT_EQ(s.send_request({"GET", "/store/job/a", {}}, "c1"), "200");
  EXPECT_EQ(s.get("job/a"), kNoAnswer);
  EXPECT_EQ(s.send_request({"GET", "/store?starts=job/&limit=5", {}}), kNoAnswer);
  EXPECT_EQ(s.compare("job/a", 9), kNoAnswer);
  EXPECT_EQ(s.get("job/a"), "200");
  EXPECT_EQ(s.wires.dropped_answers(), 4);
}

TEST(AnswerLossTest, SiteFileLimitsAnswerLossInTime) {
  const std::string with =
      std::string(small_site_yaml()) +
      "troubles:\n  - {what: lost_answers, at: 30s, lasts: 20s, share: 0.5, whom: claims/}\n";
  const Site site = parse_site(with, "site.yaml");
  ASSERT_EQ(site.faults.size(), 1U);
  World w(5, site);
  for (int i = 0; i < 30; ++i) w.at(from_seconds(3 * i), [&w, i] { w.submit(World::job(i, 2, 2, 10)); });
  w.run(from_seconds(30));
  w.inject_fault(site.faults[0]);
  w.run(from_seconds(20));
  const int lost = w.lost_answers();
  EXPECT_GT(lost, 3);
  w.run(from_seconds(60));
  EXPECT_EQ(w.lost_answers(), lost);
  w.run(from_seconds(60));
  EXPECT_TRUE(w.checker.broken().empty());
  EXPECT_EQ(w.live(), 0U);
}

TEST(SiteParserTest, ErrorNamesLineAndField) {
  EXPECT_EQ(error_of("name: small", "name: small"), "");
  EXPECT_TRUE(error_of("boot: 4s", "boot: 4").starts_with("site.yaml:8: types.small.boot: must be a time"));
  EXPECT_TRUE(error_of("machines: 4", "machine: 4").starts_with("site.yaml:12: unknown field 'machine'"));
  EXPECT_TRUE(
      error_of("urgency: high", "urgency: higher").find("classes.fixes.urgency: 'higher' is none of") !=
      std::string::npos);
  EXPECT_TRUE(error_of("zones: [a]", "zones: [z]").find("types.large.zones[0]: 'z' is none of a, b") !=
              std::string::npos);
  EXPECT_TRUE(error_of("tasks: 3", "tasks: {median: 3}").find("has no field 'p95'") != std::string::npos);
  EXPECT_TRUE(error_of("team: red", "team: green").find("'green' is none of red, blue") != std::string::npos);
  EXPECT_TRUE(error_of("name: small", "name: [").find("not valid YAML") != std::string::npos);
}

TEST(DayResultTest, SameSeedGivesSameFigures) {
  const Site s = site_with_faults();
  const DayResult a = play_day(s, 3);
  const DayResult b = play_day(s, 3);
  EXPECT_EQ(a.figures, b.figures);
  EXPECT_TRUE(a.broken.empty()) << a.broken.front();
  EXPECT_GE(a.figures.at("takeovers"), 1);
  EXPECT_GT(a.figures.at("builds.done"), 0);
  const DayResult c = play_day(s, 4);
  EXPECT_NE(a.figures, c.figures);
  // read_days() returns what day_json() wrote.
  const auto read_back = read_days(day_json(s, {a, c}).dump(), "days.json");
  ASSERT_EQ(read_back.size(), 2U);
  EXPECT_EQ(read_back[0].figures, a.figures);
  EXPECT_EQ(read_back[0].digests, a.digests);
  EXPECT_THROW(read_days("{}", "days.json"), SiteError);
  EXPECT_NE(day_table(s, {a, c}).find("no rule broken"), std::string::npos);
}

TEST(DayResultTest, SameSeedGivesSameDigests) {
  const Site s = site_with_faults();
  const DayResult first = play_day(s, 3);
  EXPECT_EQ(play_day(s, 3).digests, first.digests);
  const DayResult other = play_day(s, 4);
  ASSERT_EQ(first.digests.size(), 6U);
  for (const char* name : {"client", "worker", "peer", "state", "cloud", "stored"}) {
    EXPECT_GT(first.digests.at(name).count, 0U) << name;
    EXPECT_NE(first.digests.at(name).digest, other.digests.at(name).digest) << name;
  }
}

TEST(DayResultTest, WritesDigestsAsTwo32BitNumbers) {
  DayResult day;
  day.digests["peer"] = {7, 0xfedcba9876543211U};
  const std::string text = day_json(Site{}, {day}).dump();
  const auto json_digest = nlohmann::json::parse(text).at("days").at(0).at("digests").at("peer");
  EXPECT_EQ(json_digest.at("count"), 7);
  EXPECT_EQ(json_digest.at("digest"), nlohmann::json({0xfedcba98U, 0x76543211U}));
  EXPECT_EQ(read_days(text, "days.json").at(0).digests, day.digests);
}

TEST(DayResultTest, ReadsFilesWithoutDigests) {
  const auto days =
      read_days(R"({"days": [{"seed": 1, "figures": {"money": 2}, "broken": []}]})", "old.json");
  ASSERT_EQ(days.size(), 1U);
  EXPECT_TRUE(days[0].digests.empty());
}

TEST(SequenceDigestTest, DependsOnOrderTimeAndFieldBoundaries) {
  const auto digest_of = [](Instant at, std::initializer_list<std::string_view> fields) {
    SequenceDigest d;
    d.begin_item(at);
    for (const std::string_view f : fields) d.add(f);
    return d.summary();
  };
  const DigestSummary one = digest_of(Instant{}, {"ab", "c"});
  EXPECT_EQ(one.count, 1U);
  EXPECT_EQ(digest_of(Instant{}, {"ab", "c"}), one);
  EXPECT_NE(digest_of(Instant{}, {"c", "ab"}), one);
  EXPECT_NE(digest_of(Instant{}, {"a", "bc"}), one);
  EXPECT_NE(digest_of(Instant{} + from_millis(1), {"ab", "c"}), one);
}

TEST(DayComparisonTest, ReportsFiguresThatMovedBeyondSpread) {
  const auto day = [](std::uint64_t seed, double wait, double money) {
    return DayResult{seed, {{"wait", wait}, {"money", money}, {"same", 1}}, {}, {}};
  };
  const std::vector<DayResult> before = {day(1, 10, 5), day(2, 20, 6), day(3, 30, 7), day(9, 0, 0)};
  // Waits decreased by about the same amount on every day; money increased on some days and decreased on
  // others.
  const std::vector<DayResult> after = {day(3, 25, 9), day(2, 15.2, 3), day(1, 4.9, 7)};
  const Comparison c = compare_days(before, after);
  EXPECT_EQ(c.pairs, 3U);
  ASSERT_EQ(c.moved.size(), 1U);
  EXPECT_EQ(c.moved[0].name, "wait");
  EXPECT_NEAR(c.moved[0].after - c.moved[0].before, -4.97, 0.01);
  EXPECT_EQ(c.same, 2U);
}

TEST(VerdictTest, FailsOnBrokenRuleOrLostJob) {
  World w(5);
  w.submit(World::job(1, 2, 4, 5));
  w.run(from_seconds(60));
  const auto verdict = [&] { return judge(w.users(), w.machines(), w.checker); };
  EXPECT_TRUE(verdict().good) << table(verdict());
  w.submit(World::job(3, 1, 4, 5));
  w.run(from_seconds(1));
  EXPECT_FALSE(verdict().good);
  EXPECT_NE(table(verdict()).find("LOST"), std::string::npos);
  w.run(from_seconds(60));
  EXPECT_TRUE(verdict().good) << table(verdict());
  // Reports to the checker, and to nothing else, that a task of a finished job started on two machines.
  for (const char* host : {"m-98", "m-99"})
    w.checker.started(w.now(), World::job(1, 2, 4, 5).job_id, 0, host, "small", "a", true);
  EXPECT_FALSE(verdict().good);
  EXPECT_NE(table(verdict()).find("ran_twice"), std::string::npos);
}

TEST(MachinesTest, FetchesShareRateAndImagesAreCached) {
  // Two images that are fetched at once on one machine take as long as one after the other. The third job
  // finds its image in the cache.
  Site s = parse_site(small_site_yaml(), "site.yaml");
  s.types.resize(1);
  s.types[0].spot = 0;
  s.types[0].ordinary = 1;
  s.types[0].type.zones = {"a"};
  s.machines = 1;
  World w(7, s);
  w.run(from_seconds(8));
  JobSpec first = World::job(1, 1, 2, 20);
  first.image_gb = 6;
  first.image = "one";
  JobSpec second = World::job(3, 1, 2, 20);
  second.image_gb = 6;
  second.image = "two";
  std::map<std::string, Instant> started;
  w.machines().on_start = [&](const std::string& job_id, std::uint32_t) { started.emplace(job_id, w.now()); };
  const Instant submitted_at = w.now();
  w.submit(first);
  w.submit(second);
  w.run(from_seconds(25));
  ASSERT_TRUE(started.contains(first.job_id) && started.contains(second.job_id));
  const double min_fetch_time_s = 6 / 1.33;
  EXPECT_GT(to_seconds(std::max(started[first.job_id], started[second.job_id]) - submitted_at),
            2 * min_fetch_time_s);
  JobSpec third = World::job(5, 1, 2, 5);
  third.image = "one";
  const Instant third_submitted_at = w.now();
  w.submit(third);
  w.run(from_seconds(10));
  ASSERT_TRUE(started.contains(third.job_id));
  EXPECT_LT(to_seconds(started[third.job_id] - third_submitted_at), min_fetch_time_s);
  EXPECT_TRUE(w.checker.broken().empty());
}
