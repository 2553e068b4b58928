#pragma once
// The record of a job and the record of its final state.

#include <cstdint>
#include <optional>
#include <string>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::records {

using protocol::JobSpec;
using protocol::kMaxTasksPerJob;
using time::WallTime;
using value::Value;

/// A live job as its user submitted it.
struct JobRecord {
  JobSpec spec;
  WallTime accepted_at{};
  /// Number of tasks in a block, the unit in which assignments are written; 1 to kMaxTasksPerJob, constant
  /// for the lifetime of the job.
  std::uint32_t tasks_per_block = 1;
  bool cancelled = false;
};

/// Returns the number of tasks per block, 1 to 4,096, for which the largest block (every task in an
/// assignment of its own) stays within the state service's value size limit. `value_kb`: the limit, in KiB of
/// JSON.
[[nodiscard]] std::uint32_t max_tasks_per_block(double value_kb);

/// Encodes the record of a job that is not cancelled.
[[nodiscard]] Value write_job(const JobSpec& spec, WallTime accepted_at, std::uint32_t tasks_per_block);
/// Decodes the record of a job. Returns nothing if a field is missing or malformed.
[[nodiscard]] std::optional<JobRecord> read_job(const Value& value);

/// Returns a copy of the encoded record of a job that is marked as cancelled.
[[nodiscard]] Value cancelled_record(const Value& job);
/// Returns the job's ID if the key and the value are the record of a cancelled job that is still live,
/// nothing otherwise.
[[nodiscard]] std::optional<std::string> cancelled_job(const std::string& key, const Value& value);

/// Encodes the record of a job's final state. `status`: "done" or "withdrawn" (cancelled), as returned to
/// users.
[[nodiscard]] Value write_final_state(const char* status, std::uint32_t task_count);

}  // namespace wrenusher::records
