#pragma once
// The state of one job as users see it, and how it is read from the job's records.

#include <cstdint>
#include <string>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::job_api {

/// Values of `status` in answers to users. A final record may hold others, which are passed on as they are.
inline constexpr const char* kStatusPending = "pending";
inline constexpr const char* kStatusRunning = "running";
inline constexpr const char* kStatusDone = "done";
inline constexpr const char* kStatusCancelled = "withdrawn";

/// What a poll tells its user.
struct JobState {
  std::string status;         ///< one of `kStatus...`, as on the wire
  std::uint64_t done = 0;     ///< tasks that have succeeded
  std::uint64_t running = 0;  ///< tasks that run now, as the leader last published
};

/// How far a job in this state has got, for the order of answers. A cancelled job counts as finished.
[[nodiscard]] events::JobStage stage_of(const JobState& state);

/// Whether the record of a live job carries its cancellation.
[[nodiscard]] bool is_cancelled(const value::Value& live_record);

/// The state that a final record holds.
[[nodiscard]] JobState read_final_state(const value::Value& final_record);

}  // namespace wrenusher::job_api
