#pragma once
// Defines the state of one job as users see it, and reads it from the job's records.

#include <cstdint>
#include <string>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::job_api {

/// Values of `status` in responses. A final record may hold other values, which are passed on unchanged.
inline constexpr const char* kStatusPending = "pending";
inline constexpr const char* kStatusRunning = "running";
inline constexpr const char* kStatusDone = "done";
inline constexpr const char* kStatusCancelled = "withdrawn";

/// State of a job as a poll returns it.
struct JobState {
  std::string status;         ///< one of the `kStatus` constants, or another value from a final record
  std::uint64_t done = 0;     ///< number of tasks that have succeeded
  std::uint64_t running = 0;  ///< number of running tasks, as last published by the leader
};

/// Returns the stage of a job in this state, which ReadConsistency uses to order answers. A cancelled job
/// counts as finished.
[[nodiscard]] events::JobStage stage_of(const JobState& state);

/// Returns whether the record of a live job is marked as cancelled.
[[nodiscard]] bool is_cancelled(const value::Value& live_record);

/// Returns the state stored in a final record.
[[nodiscard]] JobState read_final_state(const value::Value& final_record);

}  // namespace wrenusher::job_api
