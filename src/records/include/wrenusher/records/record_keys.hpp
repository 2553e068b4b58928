#pragma once
// The keys of the records in the state service.

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

/// The job of a `job_key`; empty for any other key.
[[nodiscard]] std::optional<std::string> parse_job_key(const std::string& key);
/// The job of a `final_state_key`; empty for any other key.
[[nodiscard]] std::optional<std::string> parse_final_state_key(const std::string& key);
/// The number of a `shard_key`; empty for any other key.
[[nodiscard]] std::optional<std::uint32_t> parse_shard_key(const std::string& key);

}  // namespace wrenusher::records
