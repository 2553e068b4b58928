#pragma once
// Keys of the records in the state service.

#include <cstdint>
#include <optional>
#include <string>

namespace wrenusher::records {

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kShardPrefix = "claims/";
inline constexpr const char* kFinalStatePrefix = "end/";

[[nodiscard]] std::string job_key(const std::string& job_id);
[[nodiscard]] std::string final_state_key(const std::string& job_id);
[[nodiscard]] std::string shard_key(std::uint32_t shard);

/// Returns the job ID in a `job_key`, or nothing for any other key.
[[nodiscard]] std::optional<std::string> parse_job_key(const std::string& key);
/// Returns the job ID in a `final_state_key`, or nothing for any other key.
[[nodiscard]] std::optional<std::string> parse_final_state_key(const std::string& key);
/// Returns the shard number in a `shard_key`, or nothing for any other key.
[[nodiscard]] std::optional<std::uint32_t> parse_shard_key(const std::string& key);

}  // namespace wrenusher::records
