// Tests of the topology (pattern matching, validation, layouts that cannot be satisfied), of the topology
// loader and of the domain failure detector.

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

const std::string kTopologyHead = "version: 1\nlevels: [switch, rack]\ndomains:\n  s: {level: switch}\n";

std::string parse_error(const std::string& yaml) {
  try {
    Topology::parse(yaml, "t.yaml");
  } catch (const ConfigError& exception) {
    return exception.what();
  }
  return "";
}

std::shared_ptr<const Topology> two_racks() {
  return Topology::parse(kTopologyHead +
                             "  r1: {level: rack, in: s, machines: [{addr: 10.0.0.0/30}]}\n"
                             "  r2: {level: rack, in: s, machines: [{addr: 10.0.0.4/30}, {host: \"x-*\"}]}\n"
                             "devices:\n  signer: [{host: x-1, count: 2}]\n",
                         "t.yaml");
}

/// Tries all texts that extend `text` by up to `left` letters x and y.
bool some_text_matches_both(const std::string& a, const std::string& b, const std::string& text, int left) {
  if (glob(a, text) && glob(b, text)) return true;
  return left > 0 && (some_text_matches_both(a, b, text + "x", left - 1) ||
                      some_text_matches_both(a, b, text + "y", left - 1));
}

}  // namespace

TEST(TopologyTest, ReportsParseErrorWithFileLineAndField) {
  const auto rack = [](const std::string& fields) {
    return kTopologyHead + "  r: {level: rack" + fields + "}\n";
  };
  EXPECT_EQ(parse_error("version: 1\nlevels: [rack]\ndomains:\n  r: {level: row}\n"),
            "t.yaml:4: domains.r.level: 'row' is none of the levels");
  EXPECT_EQ(parse_error(rack(", in: t")), "t.yaml:5: domains.r.in: there is no domain 't'");
  EXPECT_EQ(parse_error(rack(", in: s, machines: [{addr: 10.0.0.1/24}]")),
            "t.yaml:5: domains.r.machines[0].addr: has bits set behind the /24; is 10.0.0.0 meant?");
  EXPECT_EQ(parse_error(rack(", in: s, machines: [{}]")),
            "t.yaml:5: domains.r.machines[0]: says nothing of the machines: give addr, host, type or zone");
  EXPECT_EQ(parse_error(rack(", machines: [{addr: 10.0.0.0/24}]") +
                        "  q: {level: rack, machines: [{addr: 10.0.0.128/25, zone: a}]}\n"),
            "t.yaml:6: domains.q: 'addr 10.0.0.128/25 zone a' overlaps 'addr 10.0.0.0/24' of r, line 5");
  EXPECT_EQ(
      parse_error("version: 1\nlevels: [a, b]\ndomains:\n  x: {level: a, in: y}\n  y: {level: b, in: x}\n"),
      "t.yaml:4: domains.x: is inside itself: x > y > x");
  EXPECT_EQ(parse_error(kTopologyHead + "  t: {level: switch, in: s}\n"),
            "t.yaml:5: domains.t: a switch cannot be inside 's', a switch");
  EXPECT_EQ(parse_error(kTopologyHead + "  s: {level: switch}\n"), "t.yaml:5: domains.s: is there twice");
  EXPECT_EQ(parse_error(kTopologyHead + "devices: {signer: []}\n"),
            "t.yaml:5: devices.signer: is on no machine");
  EXPECT_EQ(
      parse_error(kTopologyHead + "devices:\n  signer: [{host: a-*, count: 1}, {host: \"*-1\", count: 2}]\n"),
      "t.yaml:6: devices.signer[1]: may be the same machine as line 6: how many it has is said once");
  EXPECT_EQ(parse_error(kTopologyHead + "rooms: 3\n"),
            "t.yaml:5: unknown field 'rooms' (known: devices, domains, levels, version)");
  EXPECT_EQ(parse_error("version: 0\nlevels: [a]\ndomains: {}\n"),
            "t.yaml:1: version: must be between 1 and 1e+09");
}

TEST(TopologyTest, FindsMachineByAddressOrHostPattern) {
  const auto topology = two_racks();
  const auto rack = [&](const char* host, const char* addr) {
    return topology->path(topology->find(host, addr, "small", "a").leaf);
  };
  EXPECT_EQ(rack("m", "10.0.0.3:8080"), "s > r1");
  EXPECT_EQ(rack("m", "10.0.0.4"), "s > r2");
  EXPECT_EQ(rack("x-1", "10.9.9.9"), "s > r2");
  EXPECT_EQ(rack("m", "10.0.0.8"), "no known domain");
  EXPECT_EQ(topology->find("x-1", "", "", "").devices, (std::map<std::string, std::uint32_t>{{"signer", 2}}));
  EXPECT_EQ(topology->find("m", "10.0.0.8", "", "").domain_at(0), kNoDomain);
}

TEST(TopologyTest, GlobsOverlapExactlyIfSomeNameMatchesBoth) {
  EXPECT_TRUE(rc::check([] {
    const auto pattern = rc::gen::container<std::string>(rc::gen::element('x', 'y', '?', '*'));
    const std::string a = (*pattern).substr(0, 4);
    const std::string b = (*pattern).substr(0, 4);
    RC_ASSERT(globs_overlap(a, b) == some_text_matches_both(a, b, "", 8));
  }));
}

TEST(TopologyTest, RangeLookupAgreesWithLinearSearch) {
  EXPECT_TRUE(rc::check([] {
    // The ranges of one domain may nest and repeat; the ranges of two domains must not overlap.
    std::string yaml = kTopologyHead;
    std::vector<std::pair<std::string, Pattern>> patterns;
    const int racks = *rc::gen::inRange(1, 5);
    for (int rack = 0; rack < racks; ++rack) {
      yaml += "  r" + std::to_string(rack) + ": {level: rack, in: s, machines: [";
      const int range_count = *rc::gen::inRange(1, 4);
      for (int i = 0; i < range_count; ++i) {
        const int bits = *rc::gen::inRange(26, 33);
        const std::uint32_t address = static_cast<std::uint32_t>(rack * 64 + *rc::gen::inRange(0, 64)) &
                                      ~((1U << (32U - static_cast<unsigned>(bits))) - 1U);
        yaml += std::string(i > 0 ? ", " : "") + "{addr: 10.0.0." + std::to_string(address) + "/" +
                std::to_string(bits) + "}";
        Pattern pattern;
        pattern.addresses = {0x0a000000U + address,
                             0x0a000000U + address + (1U << (32U - static_cast<unsigned>(bits))) - 1U};
        patterns.emplace_back("r" + std::to_string(rack), pattern);
      }
      yaml += "]}\n";
    }
    const auto topology = Topology::parse(yaml, "t.yaml");
    for (std::uint32_t ip = 0; ip < 256; ++ip) {
      std::string expected = "nowhere";
      for (const auto& [name, pattern] : patterns) {
        if (pattern.matches("m", 0x0a000000U + ip, "", "")) expected = name;
      }
      RC_ASSERT(topology->domain(topology->find("m", "10.0.0." + std::to_string(ip), "", "").leaf).name ==
                expected);
    }
  }));
}

TEST(TopologyTest, ReportsUnsatisfiableLayoutFields) {
  const auto topology = two_racks();
  const Catalog catalog{{"small", {"small", {to_amount(8), 0, to_amount(8)}, 0, 1, 1, 1, {}, {"a"}}}};
  const auto unsatisfiable_reason = [&](const Layout& layout, JobType type, std::uint32_t task_count,
                                        double cores) {
    JobSpec spec;
    spec.task_count = task_count;
    spec.type = type;
    spec.resources = {to_amount(cores), 0, to_amount(1)};
    spec.layout = layout;
    const auto invalid = topology->unsatisfiable_field(spec, catalog);
    return invalid ? invalid->field + ": " + invalid->what : "";
  };
  const Layout one_each{Layout::Spread{"rack", 1, 0, true}, {}, {}};
  EXPECT_EQ(unsatisfiable_reason(one_each, JobType::service, 3, 1),
            "layout.spread: 3 tasks, at most 1 in one rack, need more than the 2 there are");
  EXPECT_EQ(unsatisfiable_reason(one_each, JobType::service, 2, 1), "");
  // The tasks of an array may run one after another.
  EXPECT_EQ(unsatisfiable_reason(one_each, JobType::array, 30, 1), "");
  EXPECT_EQ(unsatisfiable_reason({Layout::Spread{"rack", 1, 0, false}, {}, {}}, JobType::service, 3, 1), "");
  EXPECT_EQ(unsatisfiable_reason({Layout::Spread{"row", 1, 0, false}, {}, {}}, JobType::array, 1, 1),
            "layout.spread.level: there is no level 'row' in the topology");
  // A topology without the host pattern of two_racks(), which has no upper bound: its only rack has four
  // addresses.
  const auto bounded_topology = Topology::parse(
      kTopologyHead + "  r1: {level: rack, in: s, machines: [{addr: 10.0.0.0/30}]}\n", "t.yaml");
  JobSpec gang;
  gang.type = JobType::gang;
  gang.task_count = 9;
  gang.resources = {to_amount(4), 0, to_amount(1)};
  gang.layout = Layout{{}, Layout::Colocation{"rack", true}, {}};
  EXPECT_EQ(bounded_topology->unsatisfiable_field(gang, catalog)->what,
            "9 of its tasks must be in one rack, and the largest holds 8");
  gang.task_count = 8;
  EXPECT_FALSE(bounded_topology->unsatisfiable_field(gang, catalog));
  gang.layout->spread = Layout::Spread{"rack", 0, 0.5, true};
  EXPECT_EQ(bounded_topology->unsatisfiable_field(gang, catalog)->field, "layout.spread");
  EXPECT_EQ(unsatisfiable_reason({{}, {}, {{"tape", 1}}}, JobType::array, 1, 1),
            "layout.devices: there is no device 'tape' in the topology");
  EXPECT_EQ(unsatisfiable_reason({{}, {}, {{"signer", 3}}}, JobType::array, 1, 1),
            "layout.devices: no machine has 3 of 'signer'");
  EXPECT_EQ(unsatisfiable_reason({{}, {}, {{"signer", 1}}}, JobType::service, 3, 1),
            "layout.devices: all its tasks together need more of 'signer' than there are");
  // A rental cannot add a signer, because its pattern is one exact name, but it can get an address of the
  // range.
  EXPECT_FALSE(topology->may_gain_device("signer", "small", "a"));
  EXPECT_TRUE(topology->may_gain_machine(topology->find("m", "10.0.0.1", "", "").leaf, "small", "a"));
}

TEST(TopologyLoaderTest, LoadsNewerVersionsAndKeepsLoadedVersionOtherwise) {
  struct ManualRuntime : Runtime {
    Instant now() const override { return {}; }
    WallTime wall_time() const override { return {}; }
    std::mt19937_64& random() override { return random_; }
    void post(std::function<void()> action) override { action(); }
    void after(Micros, std::function<void()> action) override { next_action = std::move(action); }
    void call(const Endpoint&, Request, Micros, CallHandler) override {}
    std::function<void()> next_action;
    std::mt19937_64 random_;
  } runtime;
  std::optional<std::string> file = "version: 2\nlevels: [rack]\ndomains: {}\n";
  wrenusher::topology_loader::TopologyLoader loader(runtime, "t.yaml",
                                                    [&](const std::string&) { return file; });
  std::vector<std::uint64_t> loaded_versions;
  loader.topology_loaded.connect(runtime, [&](const wrenusher::events::TopologyLoaded& event) {
    loaded_versions.push_back(event.topology->version().version);
  });
  loader.start();
  for (const char* text :
       {"version: 1\nlevels: [rack]\ndomains: {}\n", "version: 2\nlevels: [row]\ndomains: {}\n",
        "version: 3\nlevels: [", "version: 3\nlevels: [row]\ndomains: {}\n"}) {
    file = text;
    auto next_action = std::move(runtime.next_action);
    next_action();
  }
  file.reset();
  auto next_action = std::move(runtime.next_action);
  next_action();
  EXPECT_EQ(loaded_versions, (std::vector<std::uint64_t>{2, 3}));
}

namespace {

/// Three racks of three machines each, two racks at one switch, with the time of the last report from each
/// rack.
struct RackFixture {
  std::shared_ptr<const Topology> topology =
      Topology::parse(kTopologyHead +
                          "  r1: {level: rack, in: s, machines: [{host: a-*}]}\n"
                          "  r2: {level: rack, in: s, machines: [{host: b-*}]}\n"
                          "  s2: {level: switch}\n"
                          "  r3: {level: rack, in: s2, machines: [{host: c-*}]}\n",
                      "t.yaml");
  std::vector<std::string> names{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2", "c-3"};
  std::vector<MachineLocation> locations;
  std::map<char, Instant> last_report;
  wrenusher::domain_failure_detector::DomainFailureDetector detector;
  Instant now{from_seconds(100)};

  RackFixture() {
    for (const std::string& name : names) locations.push_back(topology->find(name, "", "", ""));
    detector.set_topology(topology);
  }
  /// Advances the time by one second, in which the given racks report (each rack by the first letter of its
  /// host names). Returns the number of suspected machines.
  std::size_t advance(const std::string& racks) {
    now += from_seconds(1);
    for (const char rack : racks) last_report[rack] = now;
    std::vector<wrenusher::domain_failure_detector::DomainMember> members;
    for (std::size_t i = 0; i < names.size(); ++i)
      members.push_back({&names[i], &locations[i], last_report[names[i][0]]});
    detector.evaluate(now, from_seconds(3), members);
    return detector.suspected().size();
  }
};

}  // namespace

TEST(DomainFailureDetectorTest, SuspectsSilentRackAtOnceAndTrustsItGraduallyOnceItReports) {
  RackFixture racks;
  EXPECT_EQ(racks.advance("abc"), 0U);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(racks.advance("bc"), 0U);
  EXPECT_EQ(racks.advance("bc"), 3U);
  EXPECT_TRUE(racks.detector.is_lost(racks.locations[0]));
  EXPECT_FALSE(racks.detector.is_lost(racks.locations[3]));
  EXPECT_EQ(racks.advance("abc"), 2U);  // one machine is trusted at once
  for (int i = 0; i < 4; ++i) EXPECT_EQ(racks.advance("abc"), 2U);
  EXPECT_EQ(racks.advance("abc"), 1U);  // two after five seconds
  for (int i = 0; i < 5; ++i) racks.advance("abc");
  EXPECT_EQ(racks.detector.suspected().size(), 0U);
  // After a relapse the steps take longer.
  for (int i = 0; i < 4; ++i) racks.advance("bc");
  EXPECT_EQ(racks.advance("bc"), 3U);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(racks.advance("abc"), 2U);
}

TEST(DomainFailureDetectorTest, LosesSwitchWithItsRacksAndDrawsNoConclusionIfAllAreSilent) {
  RackFixture racks;
  racks.advance("abc");
  for (int i = 0; i < 4; ++i) racks.advance("c");
  EXPECT_EQ(racks.detector.suspected().size(), 6U);
  EXPECT_TRUE(racks.detector.is_lost(racks.locations[0]));
  // The third rack falls silent too. As no machine reports, the observer itself may be cut off, so no further
  // domain counts as lost.
  for (int i = 0; i < 6; ++i) racks.advance("");
  EXPECT_EQ(racks.detector.suspected().size(), 6U);
  EXPECT_FALSE(racks.detector.is_lost(racks.locations[6]));
}
