// The operators' map of failure domains: what it matches, what it refuses, what it says can never hold; and
// how a lost domain is recognised.

#include "wrenusher/topology/topology.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "wrenusher/domain_failure_detector/domain_failure_detector.hpp"
#include "wrenusher/topology_loader/topology_loader.hpp"

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using namespace wrenusher::protocol;
using namespace wrenusher::topology;
using wrenusher::config_reader::ConfigError;

namespace {

const std::string kHead = "version: 1\nlevels: [switch, rack]\ndomains:\n  s: {level: switch}\n";

std::string refusal(const std::string& yaml) {
  try {
    Topology::parse(yaml, "t.yaml");
  } catch (const ConfigError& e) {
    return e.what();
  }
  return "";
}

std::shared_ptr<const Topology> two_racks() {
  return Topology::parse(kHead +
                             "  r1: {level: rack, in: s, machines: [{addr: 10.0.0.0/30}]}\n"
                             "  r2: {level: rack, in: s, machines: [{addr: 10.0.0.4/30}, {host: \"x-*\"}]}\n"
                             "devices:\n  signer: [{host: x-1, count: 2}]\n",
                         "t.yaml");
}

/// By trying every text of two letters up to a length.
bool some_text_matches(const std::string& a, const std::string& b, const std::string& text, int left) {
  if (glob(a, text) && glob(b, text)) return true;
  return left > 0 &&
         (some_text_matches(a, b, text + "x", left - 1) || some_text_matches(a, b, text + "y", left - 1));
}

}  // namespace

TEST(Topology, EveryMistakeIsOneLineWithFileLineAndName) {
  const auto rack = [](const std::string& fields) { return kHead + "  r: {level: rack" + fields + "}\n"; };
  EXPECT_EQ(refusal("version: 1\nlevels: [rack]\ndomains:\n  r: {level: row}\n"),
            "t.yaml:4: domains.r.level: 'row' is none of the levels");
  EXPECT_EQ(refusal(rack(", in: t")), "t.yaml:5: domains.r.in: there is no domain 't'");
  EXPECT_EQ(refusal(rack(", in: s, machines: [{addr: 10.0.0.1/24}]")),
            "t.yaml:5: domains.r.machines[0].addr: has bits set behind the /24; is 10.0.0.0 meant?");
  EXPECT_EQ(refusal(rack(", in: s, machines: [{}]")),
            "t.yaml:5: domains.r.machines[0]: says nothing of the machines: give addr, host, type or zone");
  EXPECT_EQ(refusal(rack(", machines: [{addr: 10.0.0.0/24}]") +
                    "  q: {level: rack, machines: [{addr: 10.0.0.128/25, zone: a}]}\n"),
            "t.yaml:6: domains.q: 'addr 10.0.0.128/25 zone a' overlaps 'addr 10.0.0.0/24' of r, line 5");
  EXPECT_EQ(refusal("version: 1\nlevels: [a, b]\ndomains:\n  x: {level: a, in: y}\n  y: {level: b, in: x}\n"),
            "t.yaml:4: domains.x: is inside itself: x > y > x");
  EXPECT_EQ(refusal(kHead + "  t: {level: switch, in: s}\n"),
            "t.yaml:5: domains.t: a switch cannot be inside 's', a switch");
  EXPECT_EQ(refusal(kHead + "  s: {level: switch}\n"), "t.yaml:5: domains.s: is there twice");
  EXPECT_EQ(refusal(kHead + "devices: {signer: []}\n"), "t.yaml:5: devices.signer: is on no machine");
  EXPECT_EQ(refusal(kHead + "devices:\n  signer: [{host: a-*, count: 1}, {host: \"*-1\", count: 2}]\n"),
            "t.yaml:6: devices.signer[1]: may be the same machine as line 6: how many it has is said once");
  EXPECT_EQ(refusal(kHead + "rooms: 3\n"),
            "t.yaml:5: unknown field 'rooms' (known: devices, domains, levels, version)");
  EXPECT_EQ(refusal("version: 0\nlevels: [a]\ndomains: {}\n"),
            "t.yaml:1: version: must be between 1 and 1e+09");
}

TEST(Topology, FindsMachinesByAddressNameTypeAndZone) {
  const auto t = two_racks();
  const auto rack = [&](const char* host, const char* addr) {
    return t->path(t->find(host, addr, "small", "a").leaf);
  };
  EXPECT_EQ(rack("m", "10.0.0.3:8080"), "s > r1");
  EXPECT_EQ(rack("m", "10.0.0.4"), "s > r2");
  EXPECT_EQ(rack("x-1", "10.9.9.9"), "s > r2");
  EXPECT_EQ(rack("m", "10.0.0.8"), "no known domain");
  EXPECT_EQ(t->find("x-1", "", "", "").devices, (std::map<std::string, std::uint32_t>{{"signer", 2}}));
  EXPECT_EQ(t->find("m", "10.0.0.8", "", "").domain_at(0), kNowhere);
}

TEST(Topology, PatternsMeetWhereSomeNameMatchesBoth) {
  EXPECT_TRUE(rc::check([] {
    const auto pattern = rc::gen::container<std::string>(rc::gen::element('x', 'y', '?', '*'));
    const std::string a = (*pattern).substr(0, 4);
    const std::string b = (*pattern).substr(0, 4);
    RC_ASSERT(globs_meet(a, b) == some_text_matches(a, b, "", 8));
  }));
}

TEST(Topology, AnyRangeIsFoundAsByLookingAtEveryPattern) {
  EXPECT_TRUE(rc::check([] {
    // Ranges of one domain may nest and repeat; those of two may not meet.
    std::string yaml = kHead;
    std::vector<std::pair<std::string, Pattern>> all;
    const int racks = *rc::gen::inRange(1, 5);
    for (int r = 0; r < racks; ++r) {
      yaml += "  r" + std::to_string(r) + ": {level: rack, in: s, machines: [";
      const int n = *rc::gen::inRange(1, 4);
      for (int i = 0; i < n; ++i) {
        const int bits = *rc::gen::inRange(26, 33);
        const std::uint32_t at = static_cast<std::uint32_t>(r * 64 + *rc::gen::inRange(0, 64)) &
                                 ~((1U << (32U - static_cast<unsigned>(bits))) - 1U);
        yaml += std::string(i > 0 ? ", " : "") + "{addr: 10.0.0." + std::to_string(at) + "/" +
                std::to_string(bits) + "}";
        Pattern p;
        p.addresses = {0x0a000000U + at, 0x0a000000U + at + (1U << (32U - static_cast<unsigned>(bits))) - 1U};
        all.emplace_back("r" + std::to_string(r), p);
      }
      yaml += "]}\n";
    }
    const auto t = Topology::parse(yaml, "t.yaml");
    for (std::uint32_t ip = 0; ip < 256; ++ip) {
      std::string want = "nowhere";
      for (const auto& [name, p] : all) {
        if (p.matches("m", 0x0a000000U + ip, "", "")) want = name;
      }
      RC_ASSERT(t->domain(t->find("m", "10.0.0." + std::to_string(ip), "", "").leaf).name == want);
    }
  }));
}

TEST(Topology, SaysWhatCanNeverHold) {
  const auto t = two_racks();
  const Catalog catalog{{"small", {"small", {to_amount(8), 0, to_amount(8)}, 0, 1, 1, 1, {}, {"a"}}}};
  const auto why = [&](const Layout& layout, JobType shape, std::uint32_t units, double cores) {
    JobSpec s;
    s.task_count = units;
    s.type = shape;
    s.resources = {to_amount(cores), 0, to_amount(1)};
    s.layout = layout;
    const auto f = t->never_holds(s, catalog);
    return f ? f->field + ": " + f->what : "";
  };
  const Layout one_each{Layout::Spread{"rack", 1, 0, true}, {}, {}};
  EXPECT_EQ(why(one_each, JobType::service, 3, 1),
            "layout.spread: 3 tasks, at most 1 in one rack, need more than the 2 there are");
  EXPECT_EQ(why(one_each, JobType::service, 2, 1), "");
  EXPECT_EQ(why(one_each, JobType::array, 30, 1), "");  // an array takes turns
  EXPECT_EQ(why({Layout::Spread{"rack", 1, 0, false}, {}, {}}, JobType::service, 3, 1), "");
  EXPECT_EQ(why({Layout::Spread{"row", 1, 0, false}, {}, {}}, JobType::array, 1, 1),
            "layout.spread.level: there is no level 'row' in the topology");
  // Rack 1 has four addresses; rack 2 a name with *, so no bound.
  const auto four =
      Topology::parse(kHead + "  r1: {level: rack, in: s, machines: [{addr: 10.0.0.0/30}]}\n", "t.yaml");
  JobSpec gang;
  gang.type = JobType::gang;
  gang.task_count = 9;
  gang.resources = {to_amount(4), 0, to_amount(1)};
  gang.layout = Layout{{}, Layout::Colocation{"rack", true}, {}};
  EXPECT_EQ(four->never_holds(gang, catalog)->what,
            "9 of its tasks must be in one rack, and the largest holds 8");
  gang.task_count = 8;
  EXPECT_FALSE(four->never_holds(gang, catalog));
  gang.layout->spread = Layout::Spread{"rack", 0, 0.5, true};
  EXPECT_EQ(four->never_holds(gang, catalog)->field, "layout.spread");
  EXPECT_EQ(why({{}, {}, {{"tape", 1}}}, JobType::array, 1, 1),
            "layout.devices: there is no device 'tape' in the topology");
  EXPECT_EQ(why({{}, {}, {{"signer", 3}}}, JobType::array, 1, 1),
            "layout.devices: no machine has 3 of 'signer'");
  EXPECT_EQ(why({{}, {}, {{"signer", 1}}}, JobType::service, 3, 1),
            "layout.devices: all its tasks together need more of 'signer' than there are");
  // No rented machine brings the signer, whose name is known; the range may fill.
  EXPECT_FALSE(t->may_gain_device("signer", "small", "a"));
  EXPECT_TRUE(t->may_gain_machine(t->find("m", "10.0.0.1", "", "").leaf, "small", "a"));
}

TEST(Survey, TakesNewerVersionsAndKeepsWhatStandsOtherwise) {
  struct Still : Runtime {
    Instant now() const override { return {}; }
    WallTime wall_time() const override { return {}; }
    std::mt19937_64& random() override { return random_; }
    void post(std::function<void()> f) override { f(); }
    void after(Micros, std::function<void()> f) override { next = std::move(f); }
    void call(const Endpoint&, Request, Micros, CallHandler) override {}
    std::function<void()> next;
    std::mt19937_64 random_;
  } runtime;
  std::optional<std::string> file = "version: 2\nlevels: [rack]\ndomains: {}\n";
  wrenusher::topology_loader::TopologyLoader s(runtime, "t.yaml", [&](const std::string&) { return file; });
  std::vector<std::uint64_t> read;
  s.topology_loaded.connect(runtime, [&](const wrenusher::events::TopologyLoaded& t) {
    read.push_back(t.topology->version().version);
  });
  s.start();
  for (const char* text :
       {"version: 1\nlevels: [rack]\ndomains: {}\n", "version: 2\nlevels: [row]\ndomains: {}\n",
        "version: 3\nlevels: [", "version: 3\nlevels: [row]\ndomains: {}\n"}) {
    file = text;
    auto next = std::move(runtime.next);
    next();
  }
  file.reset();
  auto next = std::move(runtime.next);
  next();
  EXPECT_EQ(read, (std::vector<std::uint64_t>{2, 3}));
}

namespace {

/// Three machines in each of two racks, and who was heard when.
struct Racks {
  std::shared_ptr<const Topology> t =
      Topology::parse(kHead +
                          "  r1: {level: rack, in: s, machines: [{host: a-*}]}\n"
                          "  r2: {level: rack, in: s, machines: [{host: b-*}]}\n"
                          "  s2: {level: switch}\n"
                          "  r3: {level: rack, in: s2, machines: [{host: c-*}]}\n",
                      "t.yaml");
  std::vector<std::string> names{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2", "c-3"};
  std::vector<MachineLocation> places;
  std::map<char, Instant> heard;
  wrenusher::domain_failure_detector::DomainFailureDetector watch;
  Instant now{from_seconds(100)};

  Racks() {
    for (const std::string& n : names) places.push_back(t->find(n, "", "", ""));
    watch.set_topology(t);
  }
  /// A second passes in which the racks named were heard.
  std::size_t pass(const std::string& racks) {
    now += from_seconds(1);
    for (const char r : racks) heard[r] = now;
    std::vector<wrenusher::domain_failure_detector::DomainMember> members;
    for (std::size_t i = 0; i < names.size(); ++i)
      members.push_back({&names[i], &places[i], heard[names[i][0]]});
    watch.evaluate(now, from_seconds(3), members);
    return watch.suspected().size();
  }
};

}  // namespace

TEST(Watch, ARackThatFallsSilentIsDoubtedAtOnceAndTrustedStepByStep) {
  Racks r;
  EXPECT_EQ(r.pass("abc"), 0U);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(r.pass("bc"), 0U);
  EXPECT_EQ(r.pass("bc"), 3U);
  EXPECT_TRUE(r.watch.is_lost(r.places[0]));
  EXPECT_FALSE(r.watch.is_lost(r.places[3]));
  EXPECT_EQ(r.pass("abc"), 2U);  // one machine is trusted at once
  for (int i = 0; i < 4; ++i) EXPECT_EQ(r.pass("abc"), 2U);
  EXPECT_EQ(r.pass("abc"), 1U);  // two after five seconds
  for (int i = 0; i < 5; ++i) r.pass("abc");
  EXPECT_EQ(r.watch.suspected().size(), 0U);
  // A rack that flaps is trusted more slowly.
  for (int i = 0; i < 4; ++i) r.pass("bc");
  EXPECT_EQ(r.pass("bc"), 3U);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(r.pass("abc"), 2U);
}

TEST(Watch, ASwitchIsLostWithAllItsRacksAndNobodyHeardIsNobodysFault) {
  Racks r;
  r.pass("abc");
  for (int i = 0; i < 4; ++i) r.pass("c");
  EXPECT_EQ(r.watch.suspected().size(), 6U);
  EXPECT_TRUE(r.watch.is_lost(r.places[0]));
  // Now the third as well: it is the listener that is cut off, and nothing new is concluded.
  for (int i = 0; i < 6; ++i) r.pass("");
  EXPECT_EQ(r.watch.suspected().size(), 6U);
  EXPECT_FALSE(r.watch.is_lost(r.places[6]));
}
