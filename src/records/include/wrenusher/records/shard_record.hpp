#pragma once
// The records of task assignments: blocks of a job's tasks, many of which share a shard, the value of one
// key.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/value/range_set.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::records {

using value::RangeSet;
using value::Value;

/// Tasks of one block that one attempt assigned to one machine.
struct AssignmentRow {
  std::string host;
  std::uint64_t attempt = 0;
  RangeSet tasks;
};

/// The done tasks and the assignments of one block of a job.
struct BlockRecord {
  std::uint64_t last_attempt = 0;  ///< the highest number of an attempt of the job so far
  RangeSet done;
  std::vector<AssignmentRow> assignments;
};

/// Which block of which job a row of a shard is, and how new.
struct BlockId {
  std::string job_id;
  std::uint32_t block = 0;    ///< counts the job's blocks from 0
  std::uint64_t version = 0;  ///< of two copies the one with the higher version counts
};

/// A block as it stands in a shard.
struct StoredBlock {
  BlockId id;
  BlockRecord state;
  /// Whether all its task numbers are below `task_count`.
  [[nodiscard]] bool within_task_count(std::uint32_t task_count) const;
};

/// The row of a block. `done` may have more than the block: only the tasks from `first` to `last`, both
/// included, are written.
[[nodiscard]] Value write_block(const BlockId& id, std::uint64_t last_attempt, const RangeSet& done,
                                const std::vector<AssignmentRow>& assignments, std::uint32_t first,
                                std::uint32_t last);
/// Empty when the row is malformed.
[[nodiscard]] std::optional<BlockId> read_block_id(const Value& row);
/// Empty when the row is malformed, or names a task number of `task_count` or above.
[[nodiscard]] std::optional<BlockRecord> read_block(const Value& row, std::uint32_t task_count);

/// What `write_shard` adds to its rows, in bytes of JSON.
inline constexpr std::size_t kShardOverheadBytes = 12;
/// The value of a shard. `rows`: what `write_block` returned.
[[nodiscard]] Value write_shard(std::uint32_t shard, Value::List rows);
/// The blocks of the shard; those that cannot be read are left out and added to `unreadable`. Empty when the
/// value is not this shard's. Versions up to 0.5 did not write the shard's number into it.
[[nodiscard]] std::optional<std::vector<StoredBlock>> read_shard(const Value& value, std::uint32_t shard,
                                                                 std::size_t& unreadable);

}  // namespace wrenusher::records
