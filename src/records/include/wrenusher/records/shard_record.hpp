#pragma once
// The records of task assignments. The tasks of a job are grouped into blocks; a shard is the value of one
// key and contains the blocks of many jobs.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/value/range_set.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::records {

using value::RangeSet;
using value::Value;

/// Tasks of one block that are assigned to one machine under the same attempt number.
struct AssignmentRow {
  std::string host;
  std::uint64_t attempt = 0;
  RangeSet tasks;
};

/// The done tasks and the assignments of one block of a job.
struct BlockRecord {
  std::uint64_t last_attempt = 0;  ///< the highest attempt number of the job so far
  RangeSet done;
  std::vector<AssignmentRow> assignments;
};

/// Identifies a block in a shard, and its version. Each block is one row of the shard.
struct BlockId {
  std::string job_id;
  std::uint32_t block = 0;    ///< index of the block in the job, from 0
  std::uint64_t version = 0;  ///< of two copies of a block, the one with the higher version is valid
};

/// A block as stored in a shard.
struct StoredBlock {
  BlockId id;
  BlockRecord state;
  /// Returns whether all task numbers in the block are below `task_count`.
  [[nodiscard]] bool within_task_count(std::uint32_t task_count) const;
};

/// Encodes the row of a block. `done` may contain tasks of other blocks: only the tasks from `first` to
/// `last`, both included, are written.
[[nodiscard]] Value write_block(const BlockId& id, std::uint64_t last_attempt, const RangeSet& done,
                                const std::vector<AssignmentRow>& assignments, std::uint32_t first,
                                std::uint32_t last);
/// Decodes the block ID in a row. Returns nothing if the row is malformed.
[[nodiscard]] std::optional<BlockId> read_block_id(const Value& row);
/// Decodes the block in a row. Returns nothing if the row is malformed or contains a task number of
/// `task_count` or above.
[[nodiscard]] std::optional<BlockRecord> read_block(const Value& row, std::uint32_t task_count);

/// Size that `write_shard` adds to its rows, in bytes of JSON.
inline constexpr std::size_t kShardOverheadBytes = 12;
/// Encodes the value of a shard. `rows`: the rows returned by `write_block`.
[[nodiscard]] Value write_shard(std::uint32_t shard, Value::List rows);
/// Decodes the blocks of a shard. Skips blocks that cannot be read and adds their number to `unreadable`.
/// Returns nothing if the value is not a list or belongs to another shard. A value without a shard number is
/// accepted, since versions up to 0.5 did not write the number.
[[nodiscard]] std::optional<std::vector<StoredBlock>> read_shard(const Value& value, std::uint32_t shard,
                                                                 std::size_t& unreadable);

}  // namespace wrenusher::records
