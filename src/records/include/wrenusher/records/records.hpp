#pragma once
// Package records: the records kept in the state service, their keys and codecs. It owns no state. It may
// depend on base and protocol.
//   leader            {node, epoch}, attached to the leader's hold
//   epoch             {epoch}, the counter of terms
//   job/<ref>         {spec, t: accepted at (ms), b: tasks per block, wd: withdrawn}; put by any node
//   claims/<slot>     [slot, [ref, n, version, last try, done ranges, [[host, try, ranges], ...]], ...]:
//   blocks
//                     of several jobs; put by the leader alone. Of two copies of a block the one with the
//                     higher version counts. The number of the slot stands in it, so that a value that came
//                     under another's key is known
//   end/<ref>         {s: "done" or "withdrawn", n: tasks}, kept for ever
//   catalog           the cloud's last answer to GET /catalog

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/value/range_set.hpp"

namespace wrenusher::records {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kFinalStatePrefix = "end/";

inline std::string job_key(const std::string& job_id) {
  return kJobPrefix + job_id;
}
inline std::string final_state_key(const std::string& job_id) {
  return kFinalStatePrefix + job_id;
}
inline std::string shard_key(std::uint32_t slot) {
  return "claims/" + std::to_string(slot);
}
/// The job of "job/<ref>".
std::optional<std::string> parse_job_key(const std::string& key);
/// The job of "end/<ref>".
std::optional<std::string> parse_final_state_key(const std::string& key);
std::optional<std::uint32_t> parse_shard_key(const std::string& key);
/// The job, where this is the record of a live one that is cancelled.
std::optional<std::string> cancelled_job(const std::string& key, const Value& value);

/// Tasks per block so that the worst block (every task alone in its own claim) keeps within the value limit.
std::uint32_t max_tasks_per_block(double value_kb);

Value write_job(const JobSpec& spec, WallTime accepted, std::uint32_t block_size);
Value cancelled_record(const Value& job);
Value write_final_state(const char* status, std::uint32_t task_count);

struct JobRecord {
  JobSpec spec;
  WallTime accepted_at{};
  std::uint32_t tasks_per_block = 1;
  bool cancelled = false;
};
std::optional<JobRecord> read_job(const Value& value);

struct AssignmentRow {
  std::string host;
  std::uint64_t attempt = 0;
  RangeSet tasks;
};
/// The done tasks and the claims of one block of a job.
struct BlockRecord {
  std::uint64_t last_attempt = 0;
  RangeSet done;
  std::vector<AssignmentRow> assignments;
};
/// Whose block a row of a slot is, and how new.
struct BlockId {
  std::string job_id;
  std::uint32_t block = 0;
  std::uint64_t version = 0;
};
std::optional<BlockId> read_block_id(const Value& row);
std::optional<BlockRecord> read_block(const Value& row, std::uint32_t task_count);
/// A block as it stands in a slot.
struct StoredBlock {
  BlockId id;
  BlockRecord state;
  /// All its task numbers are below `units`.
  bool within_task_count(std::uint32_t task_count) const;
};
/// The value of a slot, `rows` being what `write_block` made.
Value write_shard(std::uint32_t slot, Value::List rows);
/// What `write_slot` adds to the rows, as JSON.
inline constexpr std::size_t kShardOverheadBytes = 12;
/// What stands in the slot; blocks that cannot be read are left out and counted. Nothing when the value is
/// not this slot's. Up to 0.5 the slot's number did not stand in it.
std::optional<std::vector<StoredBlock>> read_shard(const Value& value, std::uint32_t slot,
                                                   std::size_t& unreadable);

/// Live jobs and slots, as a copy of the state service has them.
struct RecordSnapshot {
  struct StoredJob {
    JobRecord record;
    std::uint64_t mod_revision = 0;
  };
  struct Shard {
    std::uint64_t mod_revision = 0;
    std::vector<StoredBlock> blocks;
  };
  std::map<std::string, StoredJob> jobs;
  std::map<std::uint32_t, Shard> shards;
  std::uint64_t revision = 0;  ///< what changes of the jobs after it is to be followed
};

/// `done` may hold more than the block: only what is between `first` and `last` is written.
Value write_block(const BlockId& id, std::uint64_t last_try, const RangeSet& done,
                  const std::vector<AssignmentRow>& assignments, std::uint32_t first, std::uint32_t last);

}  // namespace wrenusher::records
