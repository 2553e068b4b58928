#pragma once
// The record of a job, and that of its final state.

#include <cstdint>
#include <optional>
#include <string>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::records {

using protocol::JobSpec;
using protocol::kMaxTasksPerJob;
using time::WallTime;
using value::Value;

/// A live job as users submitted it.
struct JobRecord {
  JobSpec spec;
  WallTime accepted_at{};
  std::uint32_t tasks_per_block = 1;  ///< 1 to kMaxTasksPerJob; the same as long as the job lives
  bool cancelled = false;
};

/// Tasks per block, 1 to 4,096, so that the largest block (every task alone in its own assignment) keeps
/// within the state service's limit of a value, which is given in KiB of JSON.
[[nodiscard]] std::uint32_t max_tasks_per_block(double value_kb);

[[nodiscard]] Value write_job(const JobSpec& spec, WallTime accepted_at, std::uint32_t tasks_per_block);
/// Empty when a field is missing or malformed.
[[nodiscard]] std::optional<JobRecord> read_job(const Value& value);

/// The same record of a job, cancelled.
[[nodiscard]] Value cancelled_record(const Value& job);
/// The job, if the key and the value are the record of a live one that is cancelled.
[[nodiscard]] std::optional<std::string> cancelled_job(const std::string& key, const Value& value);

/// `status`: "done" or "withdrawn" (cancelled), as users are told.
[[nodiscard]] Value write_final_state(const char* status, std::uint32_t task_count);

}  // namespace wrenusher::records
