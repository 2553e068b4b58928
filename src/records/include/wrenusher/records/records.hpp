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

#include "wrenusher/base/range_set.hpp"
#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::records {

using namespace base;
using namespace protocol;

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kEndPrefix = "end/";

inline std::string job_key(const std::string& ref) {
  return kJobPrefix + ref;
}
inline std::string end_key(const std::string& ref) {
  return kEndPrefix + ref;
}
inline std::string slot_key(std::uint32_t slot) {
  return "claims/" + std::to_string(slot);
}
/// The job of "job/<ref>".
std::optional<std::string> parse_job_key(const std::string& key);
/// The job of "end/<ref>".
std::optional<std::string> parse_end_key(const std::string& key);
std::optional<std::uint32_t> parse_slot_key(const std::string& key);
/// The job, where this is the record of a live one that is cancelled.
std::optional<std::string> cancelled_job(const std::string& key, const Value& v);

/// Tasks per block so that the worst block (every task alone in its own claim) keeps within the value limit.
std::uint32_t block_size(double value_kb);

Value new_job(const JobSpec& spec, WallTime accepted, std::uint32_t block_size);
Value withdrawn(const Value& job);
Value new_end(const char* status, std::uint32_t units);

struct JobRecord {
  JobSpec spec;
  WallTime accepted{};
  std::uint32_t block = 1;
  bool withdrawn = false;
};
std::optional<JobRecord> read_job(const Value& v);

struct ClaimRow {
  std::string host;
  std::uint64_t attempt = 0;
  RangeSet tasks;
};
/// The done tasks and the claims of one block of a job.
struct BlockRecord {
  std::uint64_t last_try = 0;
  RangeSet done;
  std::vector<ClaimRow> claims;
};
/// Whose block a row of a slot is, and how new.
struct BlockId {
  std::string ref;
  std::uint32_t block = 0;
  std::uint64_t version = 0;
};
std::optional<BlockId> read_block_id(const Value& row);
std::optional<BlockRecord> read_block(const Value& row, std::uint32_t units);
/// A block as it stands in a slot.
struct BlockAt {
  BlockId id;
  BlockRecord state;
  /// All its task numbers are below `units`.
  bool within(std::uint32_t units) const;
};
/// The value of a slot, `rows` being what `write_block` made.
Value write_slot(std::uint32_t slot, Value::List rows);
/// What `write_slot` adds to the rows, as JSON.
inline constexpr std::size_t kSlotBytes = 12;
/// What stands in the slot; blocks that cannot be read are left out and counted. Nothing when the value is
/// not this slot's. Up to 0.5 the slot's number did not stand in it.
std::optional<std::vector<BlockAt>> read_slot(const Value& v, std::uint32_t slot, std::size_t& unreadable);

/// Live jobs and slots, as a copy of the state service has them.
struct Snapshot {
  struct Root {
    JobRecord rec;
    std::uint64_t stamp = 0;
  };
  struct Slot {
    std::uint64_t stamp = 0;
    std::vector<BlockAt> blocks;
  };
  std::map<std::string, Root> jobs;
  std::map<std::uint32_t, Slot> slots;
  std::uint64_t revision = 0;  ///< what changes of the jobs after it is to be followed
};

/// `done` may hold more than the block: only what is between `first` and `last` is written.
Value write_block(const BlockId& id, std::uint64_t last_try, const RangeSet& done,
                  const std::vector<ClaimRow>& claims, std::uint32_t first, std::uint32_t last);

}  // namespace wrenusher::records
