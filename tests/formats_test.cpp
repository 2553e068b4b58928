// Tests of the formats: what a codec writes it reads back unchanged, and no input bytes crash a decoder.

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

JobSpec sample_spec() {
  JobSpec spec;
  spec.job_id = "req-000412";
  spec.job_class = "train";
  spec.team = "vision";
  spec.task_count = 3;
  spec.resources = {to_amount(4), to_amount(0), to_amount(13.5)};
  spec.image = "img-07";
  spec.image_gb = 1.25;
  spec.spot_allowed = true;
  spec.expected_runtime = from_seconds(30);
  spec.deadline = from_seconds(90);
  return spec;
}

Value without_field(const Value& value, const std::string& field) {
  Value::Map fields = *value.map();
  std::erase_if(fields, [&](const Value::Field& item) { return item.first == field; });
  return fields;
}

Value with_field(const Value& value, const std::string& field, Value field_value) {
  Value::Map fields = *without_field(value, field).map();
  fields.emplace_back(field, std::move(field_value));
  return fields;
}

}  // namespace

TEST(CborTest, DecodesEncodedValues) {
  EXPECT_TRUE(rc::check([] {
    const Value value = *gen_value(3);
    const auto decoded = decode(encode(value));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encode(*decoded) == encode(value));
  }));
}

TEST(CborTest, DecodesArbitraryBytesWithoutCrashing) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) { decode(bytes); }));
}

TEST(CborTest, RejectsTruncatedAndSurvivesCorruptedMessages) {
  EXPECT_TRUE(rc::check([] {
    std::string bytes = encode(*gen_value(3));
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!decode(bytes.substr(0, position)));
    bytes[position] = *rc::gen::arbitrary<char>();
    decode(bytes);
  }));
}

TEST(CborTest, RejectsMalformedAndUnsupportedItems) {
  const std::vector<std::string> invalid = {
      "",                              // empty input
      std::string("\x01\x01", 2),      // trailing bytes
      std::string("\x41\x61", 2),      // a byte string
      std::string("\xc1\x01", 2),      // a tag
      std::string("\xa1\x01\x01", 3),  // a key that is not text
      std::string("\xa1\x61"
                  "a",
                  3),  // a truncated map
      std::string("\xbf\x61"
                  "a\xff",
                  4),                                          // a key without a value
      std::string("\x61\xff", 2),                              // text that is not UTF-8
      std::string("\xf7", 1),                                  // undefined
      std::string(200, '\x81'),                                // nested too deep
      std::string("\xff", 1),                                  // a break outside of a container
      std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9),  // a list of 2^64-1 items
  };
  for (const std::string& bytes : invalid) EXPECT_FALSE(decode(bytes)) << bytes.size();
}

TEST(CborTest, DecodesIndefiniteLengthItems) {
  // {_ "a": [_ 1, 2], "b": (_ "x" "y")}
  const std::string bytes(
      "\xbf\x61"
      "a\x9f\x01\x02\xff\x61"
      "b\x7f\x61x\x61y\xff\xff",
      16);
  const auto value = decode(bytes);
  ASSERT_TRUE(value);
  EXPECT_EQ((*value)["a"].list()->size(), 2U);
  EXPECT_EQ(*(*value)["b"].text(), "xy");
}

TEST(CborTest, DecodesSameNumberFromEveryWidth) {
  const std::vector<std::string> encodings_of_four = {
      std::string("\x04", 1),
      std::string("\x18\x04", 2),
      std::string("\x19\x00\x04", 3),
      std::string("\x1a\x00\x00\x00\x04", 5),
      std::string("\x1b\x00\x00\x00\x00\x00\x00\x00\x04", 9),
      std::string("\xf9\x44\x00", 3),
      std::string("\xfa\x40\x80\x00\x00", 5),
      std::string("\xfb\x40\x10\x00\x00\x00\x00\x00\x00", 9),
  };
  for (const std::string& bytes : encodings_of_four) {
    const auto value = decode(bytes);
    ASSERT_TRUE(value);
    EXPECT_EQ(value->number(), 4.0);
    EXPECT_EQ(value->count(), 4U);
  }
}

TEST(SubmissionTest, ReadsWrittenSpec) {
  const JobSpec spec = sample_spec();
  EXPECT_EQ(read_spec(write_spec(spec)), spec);
}

TEST(SubmissionTest, RejectsMissingAndInvalidFields) {
  const Value valid = write_spec(sample_spec());
  ASSERT_TRUE(read_spec(valid));
  const std::set<std::string> optional = {"due_s"};
  for (const auto& [name, value] : *valid.map()) {
    EXPECT_EQ(read_spec(without_field(valid, name)).has_value(), optional.contains(name)) << name;
    InvalidField invalid_field;
    EXPECT_FALSE(read_spec(with_field(valid, name, Value::List{Value{}}), &invalid_field)) << name;
    EXPECT_EQ(invalid_field.field, name);
  }
  const std::vector<std::pair<std::string, Value>> invalid = {
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
  for (const auto& [name, value] : invalid) {
    InvalidField invalid_field;
    EXPECT_FALSE(read_spec(with_field(valid, name, value), &invalid_field)) << name;
    EXPECT_EQ(invalid_field.field, name) << invalid_field.what;
    EXPECT_TRUE(invalid_field.what.starts_with("must be")) << invalid_field.what;
  }
  EXPECT_TRUE(read_spec(with_field(valid, "flavors", nullptr)));
  EXPECT_TRUE(read_spec(with_field(valid, "units", 3.0)));
  EXPECT_TRUE(read_spec(with_field(valid, "unheard_of", "x")));
}

TEST(BlockRecordTest, BlockOfMaxTasksFitsSizeLimitAndReadsBack) {
  EXPECT_TRUE(rc::check([] {
    const double value_kb = *rc::gen::elementOf(std::vector<double>{1, 4, 16, 64});
    const std::uint32_t size = records::max_tasks_per_block(value_kb);
    records::BlockRecord block;
    block.last_attempt = *rc::gen::inRange<std::uint64_t>(0, 1000000);
    std::map<std::uint32_t, records::AssignmentRow> rows;
    // The worst case for the size: high task numbers in a large job, one task per assignment, and random
    // states, so that few neighbouring tasks form a range.
    const std::uint32_t first = kMaxTasksPerJob - size;
    for (std::uint32_t task = first; task < kMaxTasksPerJob; ++task) {
      const int state = *rc::gen::inRange(0, 3);
      if (state == 1) block.done.add(task);
      if (state == 2) {
        records::AssignmentRow row;
        row.host = "m-" + std::to_string(100000 + task);
        row.attempt = block.last_attempt;
        row.tasks.add(task);
        block.assignments.push_back(row);
      }
    }
    const records::BlockId id{"req-" + std::string(60, '9'), first / size, 1ULL << 62};
    const Value value = records::write_block(id, block.last_attempt, block.done, block.assignments, first,
                                             kMaxTasksPerJob - 1);
    // A slot is a list of blocks in this form. Each block must fit into a slot on its own.
    RC_ASSERT(Value(Value::List{value}).json_size() <= static_cast<std::size_t>(value_kb * 1024) - 2);
    const auto read_id = records::read_block_id(value);
    RC_ASSERT(read_id.has_value());
    RC_ASSERT(read_id->job_id == id.job_id && read_id->block == id.block && read_id->version == id.version);
    const auto read_back = records::read_block(value, kMaxTasksPerJob);
    RC_ASSERT(read_back.has_value());
    RC_ASSERT(read_back->done == block.done);
    RC_ASSERT(read_back->assignments.size() == block.assignments.size());
    RC_ASSERT(read_back->last_attempt == block.last_attempt);
  }));
}

TEST(RangeSetTest, MatchesStdSet) {
  EXPECT_TRUE(rc::check([](const std::vector<std::pair<bool, std::uint8_t>>& steps) {
    RangeSet range_set;
    std::set<std::uint32_t> expected;
    for (const auto& [add, number] : steps) {
      if (add) {
        const std::uint32_t last = number + (number % 5);
        range_set.add(number, last);
        for (std::uint32_t added = number; added <= last; ++added) expected.insert(added);
      } else {
        range_set.remove(number);
        expected.erase(number);
      }
      RC_ASSERT(range_set.size() == expected.size());
      RC_ASSERT(range_set.contains(number) == expected.contains(number));
    }
    RangeSet read_back;
    RC_ASSERT(read_back.read(range_set.write(0, 1000), 1000));
    RC_ASSERT(read_back == range_set);
    RC_ASSERT(range_set.first().has_value() == !expected.empty());
    if (!expected.empty()) {
      RC_ASSERT(*range_set.first() == *expected.begin());
    }
  }));
}

TEST(SettingsTest, RejectsInvalidTunables) {
  EXPECT_EQ(parse_tunables("").scheduling_interval, from_millis(200));
  EXPECT_EQ(parse_tunables("round_s: 0.5").scheduling_interval, from_millis(500));
  EXPECT_THROW(parse_tunables("round_s: fast"), SettingsError);
  EXPECT_THROW(parse_tunables("round_s: 500"), SettingsError);
  EXPECT_THROW(parse_tunables("rounds: 1"), SettingsError);
  EXPECT_THROW(parse_tunables("[1, 2]"), SettingsError);
  EXPECT_THROW(parse_tunables("a: [1"), SettingsError);
}

TEST(LogTest, WritesEventAsJsonObjectWithTypedFields) {
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
  // A placeholder without an argument is left as is: a wrong log text must not end the process.
  EXPECT_EQ(log::fill("after {second} s", fmt::make_format_args(fmt::arg("seconds", seconds))),
            "after {second} s");
}

TEST(SubmissionTest, ReadsWrittenLayoutAndRejectsInvalidLayout) {
  JobSpec spec = sample_spec();
  const std::size_t size_without_layout = encode(write_spec(spec)).size();
  spec.layout =
      Layout{Layout::Spread{"rack", 0, 0.25, false}, Layout::Colocation{"switch", true}, {{"signer", 2}}};
  EXPECT_EQ(read_spec(write_spec(spec)), spec);
  spec.layout->spread->max_tasks = 3;
  spec.layout->spread->share = 0;
  EXPECT_EQ(read_spec(write_spec(spec)), spec);
  EXPECT_EQ(spec.layout->spread->limit(40), 3U);
  EXPECT_EQ((Layout::Spread{"rack", 0, 0.1, true}.limit(41)), 5U);  // rounded up
  EXPECT_EQ((Layout::Spread{"rack", 0, 0.1, true}.limit(3)), 1U);
  spec.layout.reset();
  EXPECT_EQ(encode(write_spec(spec)).size(), size_without_layout);
  const auto invalid_field_of = [&](const Value& layout) {
    Value::Map fields = *write_spec(spec).map();
    fields.emplace_back("layout", layout);
    InvalidField invalid_field;
    EXPECT_FALSE(read_spec(fields, &invalid_field));
    return invalid_field.field;
  };
  EXPECT_EQ(invalid_field_of("rack"), "layout");
  EXPECT_EQ(invalid_field_of(Value::Map{{"spred", 1}}), "layout");
  EXPECT_EQ(invalid_field_of(Value::Map{{"spread", Value::Map{{"level", "rack"}}}}), "layout.spread");
  EXPECT_EQ(
      invalid_field_of(Value::Map{{"spread", Value::Map{{"level", "rack"}, {"most", 2}, {"share", 0.5}}}}),
      "layout.spread");
  EXPECT_EQ(
      invalid_field_of(Value::Map{{"spread", Value::Map{{"level", "rack"}, {"most", 2}, {"must", "no"}}}}),
      "layout.spread");
  EXPECT_EQ(invalid_field_of(Value::Map{{"together", Value::Map{{"must", true}}}}), "layout.together");
  EXPECT_EQ(invalid_field_of(Value::Map{{"devices", Value::Map{{"signer", 0}}}}), "layout.devices");
}
