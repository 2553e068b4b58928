#pragma once
// Package records: the records kept in the state service, their keys and codecs. It owns no state. It may
// depend on base and protocol.
//   leader            {node, epoch}, attached to the leader's hold
//   epoch             {epoch}, the counter of terms
//   job/<ref>         {spec, t: accepted at (ms), b: tasks per block, wd: withdrawn}; put by any node
//   claims/<slot>     [[ref, n, version, last try, done ranges, [[host, try, ranges], ...]], ...]: blocks of
//   several
//                     jobs; put by the leader alone. Of two copies of a block the one with the higher version
//                     counts
//   end/<ref>         {s: "done" or "withdrawn", n: tasks}, kept for ever
//   catalog           the cloud's last answer to GET /catalog

#include <cstdint>
#include <functional>
#include <string>

#include "wrenusher/base/range_set.hpp"
#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::records {

using namespace base;
using namespace protocol;

inline std::string job_key(const std::string& ref) {
  return "job/" + ref;
}
inline std::string end_key(const std::string& ref) {
  return "end/" + ref;
}
inline std::string slot_key(std::uint32_t slot) {
  return "claims/" + std::to_string(slot);
}
/// The job of "job/<ref>".
std::optional<std::string> parse_job_key(const std::string& key);
std::optional<std::uint32_t> parse_slot_key(const std::string& key);

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
/// `done` may hold more than the block: only what is between `first` and `last` is written.
Value write_block(const BlockId& id, std::uint64_t last_try, const RangeSet& done,
                  const std::vector<ClaimRow>& claims, std::uint32_t first, std::uint32_t last);

}  // namespace wrenusher::records
