// Formats: what is written is read back, and no bytes do harm.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

#include "wrenusher/log/log.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/settings/settings.hpp"

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using namespace wrenusher::settings;
using namespace wrenusher::protocol;
namespace records = wrenusher::records;

namespace {

rc::Gen<std::string> gen_text() {
  return rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

rc::Gen<Value> gen_value(int depth) {
  std::vector<rc::Gen<Value>> kinds{
      rc::gen::construct<Value>(rc::gen::arbitrary<std::uint64_t>()),
      rc::gen::construct<Value>(rc::gen::arbitrary<std::int64_t>()),
      rc::gen::construct<Value>(rc::gen::arbitrary<double>()),
      rc::gen::construct<Value>(rc::gen::arbitrary<bool>()),
      rc::gen::construct<Value>(gen_text()),
      rc::gen::just(Value()),
  };
  if (depth > 0) {
    kinds.push_back(rc::gen::construct<Value>(rc::gen::container<Value::List>(gen_value(depth - 1))));
    kinds.push_back(rc::gen::construct<Value>(
        rc::gen::container<Value::Map>(rc::gen::pair(gen_text(), gen_value(depth - 1)))));
  }
  return rc::gen::join(rc::gen::elementOf(kinds));
}

JobSpec a_spec() {
  JobSpec s;
  s.job_id = "req-000412";
  s.job_class = "train";
  s.team = "vision";
  s.task_count = 3;
  s.resources = {to_amount(4), to_amount(0), to_amount(13.5)};
  s.image = "img-07";
  s.image_gb = 1.25;
  s.spot_allowed = true;
  s.expected_runtime = from_seconds(30);
  s.deadline = from_seconds(90);
  return s;
}

Value without(const Value& v, const std::string& field) {
  Value::Map m = *v.map();
  std::erase_if(m, [&](const Value::Field& f) { return f.first == field; });
  return m;
}

Value with(const Value& v, const std::string& field, Value x) {
  Value::Map m = *without(v, field).map();
  m.emplace_back(field, std::move(x));
  return m;
}

}  // namespace

TEST(Cbor, ReadsBackWhatItWrites) {
  EXPECT_TRUE(rc::check([] {
    const Value v = *gen_value(3);
    const auto back = decode(encode(v));
    RC_ASSERT(back.has_value());
    RC_ASSERT(encode(*back) == encode(v));
  }));
}

TEST(Cbor, SurvivesAnyBytes) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) { decode(bytes); }));
}

TEST(Cbor, SurvivesChangedAndCutMessages) {
  EXPECT_TRUE(rc::check([] {
    std::string bytes = encode(*gen_value(3));
    const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!decode(bytes.substr(0, cut)));
    bytes[cut] = *rc::gen::arbitrary<char>();
    decode(bytes);
  }));
}

TEST(Cbor, RefusesWhatTheProtocolDoesNotHave) {
  const std::vector<std::string> bad = {
      "",                              // nothing
      std::string("\x01\x01", 2),      // trailing bytes
      std::string("\x41\x61", 2),      // a byte string
      std::string("\xc1\x01", 2),      // a tag
      std::string("\xa1\x01\x01", 3),  // a key that is no text
      std::string("\xa1\x61"
                  "a",
                  3),  // a map cut short
      std::string("\xbf\x61"
                  "a\xff",
                  4),                                          // a key without its value
      std::string("\x61\xff", 2),                              // text that is no UTF-8
      std::string("\xf7", 1),                                  // undefined
      std::string(200, '\x81'),                                // nested too deep
      std::string("\xff", 1),                                  // a break with nothing open
      std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9),  // a list of 2^64-1 items
  };
  for (const std::string& b : bad) EXPECT_FALSE(decode(b)) << b.size();
}

TEST(Cbor, ReadsIndefiniteLengthItems) {
  // {_ "a": [_ 1, 2], "b": (_ "x" "y")}
  const std::string bytes(
      "\xbf\x61"
      "a\x9f\x01\x02\xff\x61"
      "b\x7f\x61x\x61y\xff\xff",
      16);
  const auto v = decode(bytes);
  ASSERT_TRUE(v);
  EXPECT_EQ((*v)["a"].list()->size(), 2U);
  EXPECT_EQ(*(*v)["b"].text(), "xy");
}

TEST(Cbor, ReadsOneNumberFromEveryWidth) {
  const std::vector<std::string> fours = {
      std::string("\x04", 1),
      std::string("\x18\x04", 2),
      std::string("\x19\x00\x04", 3),
      std::string("\x1a\x00\x00\x00\x04", 5),
      std::string("\x1b\x00\x00\x00\x00\x00\x00\x00\x04", 9),
      std::string("\xf9\x44\x00", 3),
      std::string("\xfa\x40\x80\x00\x00", 5),
      std::string("\xfb\x40\x10\x00\x00\x00\x00\x00\x00", 9),
  };
  for (const std::string& b : fours) {
    const auto v = decode(b);
    ASSERT_TRUE(v);
    EXPECT_EQ(v->number(), 4.0);
    EXPECT_EQ(v->count(), 4U);
  }
}

TEST(Submission, ReadsBackWhatItWrites) {
  const JobSpec s = a_spec();
  EXPECT_EQ(read_spec(write_spec(s)), s);
}

TEST(Submission, NeedsEveryFieldOfTheRightKind) {
  const Value good = write_spec(a_spec());
  ASSERT_TRUE(read_spec(good));
  const std::set<std::string> optional = {"due_s"};
  for (const auto& [name, value] : *good.map()) {
    EXPECT_EQ(read_spec(without(good, name)).has_value(), optional.contains(name)) << name;
    InvalidField fault;
    EXPECT_FALSE(read_spec(with(good, name, Value::List{Value{}}), &fault)) << name;
    EXPECT_EQ(fault.field, name);
  }
  const std::vector<std::pair<std::string, Value>> bad = {
      {"units", 0},
      {"units", 100001},
      {"units", 1.5},
      {"units", -1},
      {"cores", -1.0},
      {"memory_gb", std::numeric_limits<double>::infinity()},
      {"cores", std::nan("")},
      {"ref", "job-1"},
      {"ref", "req-" + std::string(100, '1')},
      {"shape", "array"},
      {"urgency", "urgent"},
      {"due_s", -5},
      {"expected_s", 1e300},
      {"flavors", Value::List{}},
      {"site", 4},
  };
  for (const auto& [name, value] : bad) {
    InvalidField fault;
    EXPECT_FALSE(read_spec(with(good, name, value), &fault)) << name;
    EXPECT_EQ(fault.field, name) << fault.what;
    EXPECT_TRUE(fault.what.starts_with("must be")) << fault.what;
  }
  EXPECT_TRUE(read_spec(with(good, "flavors", nullptr)));
  EXPECT_TRUE(read_spec(with(good, "units", 3.0)));
  EXPECT_TRUE(read_spec(with(good, "unheard_of", "x")));
}

TEST(Block, ReadsBackWhatItWritesAndKeepsItsLimit) {
  EXPECT_TRUE(rc::check([] {
    const double value_kb = *rc::gen::elementOf(std::vector<double>{1, 4, 16, 64});
    const std::uint32_t size = records::max_tasks_per_block(value_kb);
    records::BlockRecord b;
    b.last_attempt = *rc::gen::inRange<std::uint64_t>(0, 1000000);
    std::map<std::uint32_t, records::AssignmentRow> rows;
    // The worst block: tasks high in a large job, each done or claimed alone, no two alike side by side.
    const std::uint32_t first = kMaxTasksPerJob - size;
    for (std::uint32_t t = first; t < kMaxTasksPerJob; ++t) {
      const int kind = *rc::gen::inRange(0, 3);
      if (kind == 1) b.done.add(t);
      if (kind == 2) {
        records::AssignmentRow c;
        c.host = "m-" + std::to_string(100000 + t);
        c.attempt = b.last_attempt;
        c.tasks.add(t);
        b.assignments.push_back(c);
      }
    }
    const records::BlockId id{"req-" + std::string(60, '9'), first / size, 1ULL << 62};
    const Value v =
        records::write_block(id, b.last_attempt, b.done, b.assignments, first, kMaxTasksPerJob - 1);
    // A slot is a list of such rows; one row alone must always find room in it.
    RC_ASSERT(Value(Value::List{v}).json_size() <= static_cast<std::size_t>(value_kb * 1024) - 2);
    const auto seen = records::read_block_id(v);
    RC_ASSERT(seen.has_value());
    RC_ASSERT(seen->job_id == id.job_id && seen->block == id.block && seen->version == id.version);
    const auto back = records::read_block(v, kMaxTasksPerJob);
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->done == b.done);
    RC_ASSERT(back->assignments.size() == b.assignments.size());
    RC_ASSERT(back->last_attempt == b.last_attempt);
  }));
}

TEST(RangeSet, BehavesLikeASet) {
  EXPECT_TRUE(rc::check([](const std::vector<std::pair<bool, std::uint8_t>>& steps) {
    RangeSet r;
    std::set<std::uint32_t> s;
    for (const auto& [add, n] : steps) {
      if (add) {
        const std::uint32_t last = n + (n % 5);
        r.add(n, last);
        for (std::uint32_t k = n; k <= last; ++k) s.insert(k);
      } else {
        r.remove(n);
        s.erase(n);
      }
      RC_ASSERT(r.size() == s.size());
      RC_ASSERT(r.contains(n) == s.contains(n));
    }
    RangeSet back;
    RC_ASSERT(back.read(r.write(0, 1000), 1000));
    RC_ASSERT(back == r);
    RC_ASSERT(r.first().has_value() == !s.empty());
    if (!s.empty()) {
      RC_ASSERT(*r.first() == *s.begin());
    }
  }));
}

TEST(Settings, TunablesAreCheckedStrictly) {
  EXPECT_EQ(parse_tunables("").scheduling_interval, from_millis(200));
  EXPECT_EQ(parse_tunables("round_s: 0.5").scheduling_interval, from_millis(500));
  EXPECT_THROW(parse_tunables("round_s: fast"), SettingsError);
  EXPECT_THROW(parse_tunables("round_s: 500"), SettingsError);
  EXPECT_THROW(parse_tunables("rounds: 1"), SettingsError);
  EXPECT_THROW(parse_tunables("[1, 2]"), SettingsError);
  EXPECT_THROW(parse_tunables("a: [1"), SettingsError);
}

TEST(Log, AnEventIsOneObjectWithTypedFieldsAndTheTextThatNamesThem) {
  namespace log = wrenusher::log;
  log::JsonFields fields;
  fields.add_any("job", std::string_view("req-1\"\n\xff"));
  fields.add_any("seconds", 1.5);
  fields.add_any("term", std::uint64_t{3});
  fields.add_any("late", true);
  const auto line = nlohmann::json::parse("{" + fields.line("job_over", "a \"text\"") + "}");
  EXPECT_EQ(line["event"], "job_over");
  EXPECT_EQ(line["message"], "a \"text\"");
  EXPECT_EQ(line["seconds"], 1.5);
  EXPECT_EQ(line["term"], 3);
  EXPECT_EQ(line["late"], true);
  EXPECT_TRUE(line["job"].get<std::string>().starts_with("req-1\"\n"));
  const double seconds = 1.25;
  EXPECT_EQ(log::fill("after {seconds:.1f} s", fmt::make_format_args(fmt::arg("seconds", seconds))),
            "after 1.2 s");
  // A line that names what it has not been given is written as it stands: no reason to end.
  EXPECT_EQ(log::fill("after {second} s", fmt::make_format_args(fmt::arg("seconds", seconds))),
            "after {second} s");
}

TEST(Formats, ALayoutIsReadBackAndAMisspeltOneIsNoLayout) {
  JobSpec s = a_spec();
  const std::size_t before = encode(write_spec(s)).size();
  s.layout =
      Layout{Layout::Spread{"rack", 0, 0.25, false}, Layout::Colocation{"switch", true}, {{"signer", 2}}};
  EXPECT_EQ(read_spec(write_spec(s)), s);
  s.layout->spread->max_tasks = 3;
  s.layout->spread->share = 0;
  EXPECT_EQ(read_spec(write_spec(s)), s);
  EXPECT_EQ(s.layout->spread->limit(40), 3U);
  EXPECT_EQ((Layout::Spread{"rack", 0, 0.1, true}.limit(41)), 5U);  // rounded up
  EXPECT_EQ((Layout::Spread{"rack", 0, 0.1, true}.limit(3)), 1U);
  s.layout.reset();
  EXPECT_EQ(encode(write_spec(s)).size(), before);
  const auto fault = [&](const Value& layout) {
    Value::Map m = *write_spec(s).map();
    m.emplace_back("layout", layout);
    InvalidField f;
    EXPECT_FALSE(read_spec(m, &f));
    return f.field;
  };
  EXPECT_EQ(fault("rack"), "layout");
  EXPECT_EQ(fault(Value::Map{{"spred", 1}}), "layout");
  EXPECT_EQ(fault(Value::Map{{"spread", Value::Map{{"level", "rack"}}}}), "layout.spread");
  EXPECT_EQ(fault(Value::Map{{"spread", Value::Map{{"level", "rack"}, {"most", 2}, {"share", 0.5}}}}),
            "layout.spread");
  EXPECT_EQ(fault(Value::Map{{"spread", Value::Map{{"level", "rack"}, {"most", 2}, {"must", "no"}}}}),
            "layout.spread");
  EXPECT_EQ(fault(Value::Map{{"together", Value::Map{{"must", true}}}}), "layout.together");
  EXPECT_EQ(fault(Value::Map{{"devices", Value::Map{{"signer", 0}}}}), "layout.devices");
}
