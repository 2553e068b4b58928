#include "wrenusher/records/job_record.hpp"

#include <algorithm>

#include "wrenusher/records/record_keys.hpp"

namespace wrenusher::records {

using time::from_millis;

namespace {

constexpr const char* kCancelledField = "wd";

/// Size of the longest JSON form of one task in a block, ["m-000000000",12345678,[99999,99999]], including
/// separators.
constexpr double kBytesPerTask = 40;
/// Size of a block without tasks, ["req-<60 digits>",block,version,last attempt,[],[]], including separators.
constexpr double kBytesPerBlock = 140;
/// Share of the value size limit that is used.
constexpr double kValueMargin = 0.95;
constexpr double kMaxTasksPerBlock = 4096;

}  // namespace

std::uint32_t max_tasks_per_block(double value_kb) {
  return static_cast<std::uint32_t>(
      std::clamp((value_kb * 1024 * kValueMargin - kBytesPerBlock) / kBytesPerTask, 1.0, kMaxTasksPerBlock));
}

Value write_job(const JobSpec& spec, WallTime accepted_at, std::uint32_t tasks_per_block) {
  return Value::Map{{"spec", protocol::write_spec(spec)},
                    {"t", static_cast<std::uint64_t>(accepted_at.time_since_epoch().count() / 1000)},
                    {"b", std::uint64_t{tasks_per_block}}};
}

std::optional<JobRecord> read_job(const Value& value) {
  const auto spec = protocol::read_spec(value["spec"]);
  const auto accepted_ms = value["t"].count();
  const auto tasks_per_block = value["b"].count();
  if (!spec || !accepted_ms || !tasks_per_block || *tasks_per_block < 1 || *tasks_per_block > kMaxTasksPerJob)
    return std::nullopt;
  JobRecord record;
  record.spec = *spec;
  record.accepted_at = WallTime{from_millis(static_cast<std::int64_t>(*accepted_ms))};
  record.tasks_per_block = static_cast<std::uint32_t>(*tasks_per_block);
  record.cancelled = value[kCancelledField].boolean().value_or(false);
  return record;
}

Value cancelled_record(const Value& job) {
  Value::Map fields = job.map() != nullptr ? *job.map() : Value::Map{};
  std::erase_if(fields, [](const Value::Field& field) { return field.first == kCancelledField; });
  fields.emplace_back(kCancelledField, true);
  return fields;
}

std::optional<std::string> cancelled_job(const std::string& key, const Value& value) {
  return value[kCancelledField].boolean().value_or(false) ? parse_job_key(key) : std::nullopt;
}

Value write_final_state(const char* status, std::uint32_t task_count) {
  return Value::Map{{"s", status}, {"n", std::uint64_t{task_count}}};
}

}  // namespace wrenusher::records
