#pragma once
// The records kept in the state service.
//   leader            {node, epoch}, attached to the leader's hold
//   epoch             {epoch}, the counter of terms
//   job/<ref>         {spec, t: accepted at (ms), b: tasks per block, wd: withdrawn}; put by any node
//   job/<ref>/<n>     {t: last try, d: done ranges, c: [[host, try, ranges], ...]}; put by the leader alone
//   end/<ref>         {s: "done" or "withdrawn", n: tasks}, kept for ever
//   catalog           the cloud's last answer to GET /catalog

#include <cstdint>
#include <functional>
#include <string>

#include "wrenusher/messages.hpp"
#include "wrenusher/range_set.hpp"

namespace wrenusher::records {

inline std::string job_key(const std::string& ref) {
  return "job/" + ref;
}
inline std::string end_key(const std::string& ref) {
  return "end/" + ref;
}
inline std::string block_key(const std::string& ref, std::uint32_t n) {
  return job_key(ref) + "/" + std::to_string(n);
}
bool is_block_of(const std::string& key, const std::string& ref);
/// Takes "job/<ref>" or "job/<ref>/<n>" apart.
bool parse_key(const std::string& key, std::string& ref, std::optional<std::uint32_t>& block);

/// Tasks per block so that the worst block (every task alone in its own claim) keeps within the value limit.
std::uint32_t block_size(double value_kb);

Value new_job(const JobSpec& spec, WallTime accepted, std::uint32_t block_size);
Value withdrawn(const Value& job);
Value new_end(const char* status, std::uint32_t units);

struct Counts {
  std::uint64_t done = 0;
  std::uint64_t claimed = 0;
};
Counts block_counts(const Value& block);

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
struct BlockRecord {
  std::uint64_t last_try = 0;
  RangeSet done;
  std::vector<ClaimRow> claims;
};
std::optional<BlockRecord> read_block(const Value& v, std::uint32_t units);
Value write_block(const BlockRecord& b, std::uint32_t first, std::uint32_t last);

}  // namespace wrenusher::records
