#include "wrenusher/records/shard_record.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::records {

using protocol::kMaxTasksPerJob;

namespace {

// The columns of a block's row.
constexpr std::size_t kJobColumn = 0;
constexpr std::size_t kBlockColumn = 1;
constexpr std::size_t kVersionColumn = 2;
constexpr std::size_t kLastAttemptColumn = 3;
constexpr std::size_t kDoneColumn = 4;
constexpr std::size_t kAssignmentsColumn = 5;
constexpr std::size_t kBlockColumnCount = 6;

/// Returns the columns of a block's row, or null if the value is not a row of a block.
const Value::List* block_columns(const Value& row) {
  const Value::List* columns = row.list();
  return columns != nullptr && columns->size() == kBlockColumnCount ? columns : nullptr;
}

/// Decodes an assignment, [host, attempt, ranges]. Returns nothing if it is malformed.
std::optional<AssignmentRow> read_assignment(const Value& value, std::uint32_t task_count) {
  const Value::List* columns = value.list();
  AssignmentRow row;
  if (columns == nullptr || columns->size() != 3 || (*columns)[0].text() == nullptr ||
      !(*columns)[1].count() || !row.tasks.read((*columns)[2], task_count))
    return std::nullopt;
  row.host = *(*columns)[0].text();
  row.attempt = *(*columns)[1].count();
  return row;
}

}  // namespace

bool StoredBlock::within_task_count(std::uint32_t task_count) const {
  const auto is_below = [task_count](const RangeSet& tasks) {
    return tasks.empty() || std::prev(tasks.ranges().end())->second < task_count;
  };
  return is_below(state.done) && std::all_of(state.assignments.begin(), state.assignments.end(),
                                             [&](const AssignmentRow& row) { return is_below(row.tasks); });
}

Value write_block(const BlockId& id, std::uint64_t last_attempt, const RangeSet& done,
                  const std::vector<AssignmentRow>& assignments, std::uint32_t first, std::uint32_t last) {
  Value::List rows;
  rows.reserve(assignments.size());
  for (const AssignmentRow& row : assignments)
    rows.emplace_back(Value::List{row.host, row.attempt, row.tasks.write(first, last)});
  return Value::List{id.job_id,    std::uint64_t{id.block}, id.version,
                     last_attempt, done.write(first, last), std::move(rows)};
}

std::optional<BlockId> read_block_id(const Value& row) {
  const Value::List* columns = block_columns(row);
  if (columns == nullptr || (*columns)[kJobColumn].text() == nullptr) return std::nullopt;
  const auto block = (*columns)[kBlockColumn].count();
  const auto version = (*columns)[kVersionColumn].count();
  if (!block || *block > kMaxTasksPerJob || !version) return std::nullopt;
  return BlockId{*(*columns)[kJobColumn].text(), static_cast<std::uint32_t>(*block), *version};
}

std::optional<BlockRecord> read_block(const Value& row, std::uint32_t task_count) {
  const Value::List* columns = block_columns(row);
  if (columns == nullptr) return std::nullopt;
  BlockRecord record;
  record.last_attempt = (*columns)[kLastAttemptColumn].count().value_or(0);
  if (!record.done.read((*columns)[kDoneColumn], task_count)) return std::nullopt;
  const Value::List* assignments = (*columns)[kAssignmentsColumn].list();
  if (assignments == nullptr) return std::nullopt;
  for (const Value& value : *assignments) {
    auto assignment = read_assignment(value, task_count);
    if (!assignment) return std::nullopt;
    record.assignments.push_back(std::move(*assignment));
  }
  return record;
}

Value write_shard(std::uint32_t shard, Value::List rows) {
  Value::List all;
  all.reserve(rows.size() + 1);
  all.emplace_back(std::uint64_t{shard});
  std::move(rows.begin(), rows.end(), std::back_inserter(all));
  return all;
}

std::optional<std::vector<StoredBlock>> read_shard(const Value& value, std::uint32_t shard,
                                                   std::size_t& unreadable) {
  const Value::List* rows = value.list();
  if (rows == nullptr) return std::nullopt;
  auto row = rows->begin();
  if (row != rows->end() && row->list() == nullptr) {
    if (row->count() != std::uint64_t{shard}) return std::nullopt;
    ++row;
  }
  std::vector<StoredBlock> blocks;
  blocks.reserve(rows->size());
  for (; row != rows->end(); ++row) {
    auto id = read_block_id(*row);
    auto state = id ? read_block(*row, kMaxTasksPerJob) : std::nullopt;
    if (state) {
      blocks.push_back({std::move(*id), std::move(*state)});
    } else {
      ++unreadable;
    }
  }
  return blocks;
}

}  // namespace wrenusher::records
