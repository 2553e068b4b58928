#include "wrenusher/records/records.hpp"

#include <algorithm>
#include <charconv>

namespace wrenusher::records {

namespace {

/// Longest JSON form of one task in a block: ["m-000000000",12345678,[99999,99999]], and its separators.
constexpr double kBytesPerTask = 40;

/// ["req-<60 digits>",n,version,last try,[],[]] and its separators: what a block takes before its first task.
constexpr double kBytesPerBlock = 140;

template <typename Number>
std::optional<Number> number_after(const std::string& key, std::size_t at) {
  Number n = 0;
  const char* end = key.data() + key.size();
  const auto [p, err] = std::from_chars(key.data() + at, end, n);
  if (err != std::errc{} || p != end) return std::nullopt;
  return n;
}

/// The job that the key names behind the prefix.
std::optional<std::string> job_id_after(const std::string& prefix, const std::string& key) {
  if (!key.starts_with(prefix) || !valid_job_id(key.substr(prefix.size()))) return std::nullopt;
  return key.substr(prefix.size());
}

}  // namespace

std::optional<std::string> parse_job_key(const std::string& key) {
  return job_id_after(kJobPrefix, key);
}

std::optional<std::string> parse_final_state_key(const std::string& key) {
  return job_id_after(kFinalStatePrefix, key);
}

std::optional<std::string> cancelled_job(const std::string& key, const Value& value) {
  return value["wd"].boolean().value_or(false) ? parse_job_key(key) : std::nullopt;
}

std::optional<std::uint32_t> parse_shard_key(const std::string& key) {
  static const std::string prefix = "claims/";
  if (!key.starts_with(prefix)) return std::nullopt;
  return number_after<std::uint32_t>(key, prefix.size());
}

std::uint32_t max_tasks_per_block(double value_kb) {
  return static_cast<std::uint32_t>(
      std::clamp((value_kb * 1024 * 0.95 - kBytesPerBlock) / kBytesPerTask, 1.0, 4096.0));
}

Value write_job(const JobSpec& spec, WallTime accepted, std::uint32_t size) {
  return Value::Map{{"spec", write_spec(spec)},
                    {"t", static_cast<std::uint64_t>(accepted.time_since_epoch().count() / 1000)},
                    {"b", std::uint64_t{size}}};
}

Value cancelled_record(const Value& job) {
  Value::Map fields = job.map() != nullptr ? *job.map() : Value::Map{};
  std::erase_if(fields, [](const Value::Field& field) { return field.first == "wd"; });
  fields.emplace_back("wd", true);
  return fields;
}

Value write_final_state(const char* status, std::uint32_t task_count) {
  return Value::Map{{"s", status}, {"n", std::uint64_t{task_count}}};
}

std::optional<JobRecord> read_job(const Value& value) {
  JobRecord record;
  const auto spec = read_spec(value["spec"]);
  const auto t = value["t"].count();
  const auto b = value["b"].count();
  if (!spec || !t || !b || *b < 1 || *b > kMaxTasksPerJob) return std::nullopt;
  record.spec = *spec;
  record.accepted_at = WallTime{from_millis(static_cast<std::int64_t>(*t))};
  record.tasks_per_block = static_cast<std::uint32_t>(*b);
  record.cancelled = value["wd"].boolean().value_or(false);
  return record;
}

std::optional<BlockId> read_block_id(const Value& row) {
  const Value::List* list = row.list();
  if (list == nullptr || list->size() != 6 || (*list)[0].text() == nullptr) return std::nullopt;
  const auto n = (*list)[1].count();
  const auto version = (*list)[2].count();
  if (!n || *n > kMaxTasksPerJob || !version) return std::nullopt;
  return BlockId{*(*list)[0].text(), static_cast<std::uint32_t>(*n), *version};
}

bool StoredBlock::within_task_count(std::uint32_t task_count) const {
  const auto below = [task_count](const RangeSet& r) {
    return r.empty() || std::prev(r.ranges().end())->second < task_count;
  };
  return below(state.done) && std::all_of(state.assignments.begin(), state.assignments.end(),
                                          [&](const AssignmentRow& row) { return below(row.tasks); });
}

Value write_shard(std::uint32_t slot, Value::List rows) {
  Value::List all;
  all.reserve(rows.size() + 1);
  all.emplace_back(std::uint64_t{slot});
  std::move(rows.begin(), rows.end(), std::back_inserter(all));
  return all;
}

std::optional<std::vector<StoredBlock>> read_shard(const Value& value, std::uint32_t slot,
                                                   std::size_t& unreadable) {
  const Value::List* rows = value.list();
  if (rows == nullptr) return std::nullopt;
  auto row = rows->begin();
  if (row != rows->end() && row->list() == nullptr) {
    if (row->count() != std::uint64_t{slot}) return std::nullopt;
    ++row;
  }
  std::vector<StoredBlock> out;
  out.reserve(rows->size());
  for (; row != rows->end(); ++row) {
    auto id = read_block_id(*row);
    auto state = id ? read_block(*row, kMaxTasksPerJob) : std::nullopt;
    if (state) {
      out.push_back({std::move(*id), std::move(*state)});
    } else {
      ++unreadable;
    }
  }
  return out;
}

std::optional<BlockRecord> read_block(const Value& row, std::uint32_t task_count) {
  const Value::List* fields = row.list();
  if (fields == nullptr || fields->size() != 6) return std::nullopt;
  BlockRecord record;
  record.last_attempt = (*fields)[3].count().value_or(0);
  if (!record.done.read((*fields)[4], task_count)) return std::nullopt;
  const Value::List* assignments = (*fields)[5].list();
  if (assignments == nullptr) return std::nullopt;
  for (const Value& claim : *assignments) {
    const Value::List* list = claim.list();
    AssignmentRow assignment;
    if (list == nullptr || list->size() != 3 || (*list)[0].text() == nullptr || !(*list)[1].count() ||
        !assignment.tasks.read((*list)[2], task_count)) {
      return std::nullopt;
    }
    assignment.host = *(*list)[0].text();
    assignment.attempt = *(*list)[1].count();
    record.assignments.push_back(std::move(assignment));
  }
  return record;
}

Value write_block(const BlockId& id, std::uint64_t last_try, const RangeSet& done,
                  const std::vector<AssignmentRow>& assignments, std::uint32_t first, std::uint32_t last) {
  Value::List rows;
  rows.reserve(assignments.size());
  for (const AssignmentRow& row : assignments) {
    rows.emplace_back(Value::List{row.host, row.attempt, row.tasks.write(first, last)});
  }
  return Value::List{id.job_id, std::uint64_t{id.block}, id.version,
                     last_try,  done.write(first, last), std::move(rows)};
}

}  // namespace wrenusher::records
