#include "wrenusher/records/record_keys.hpp"

#include <charconv>
#include <string_view>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::records {

namespace {

/// Returns the part of the key after the prefix, or nothing if the key has another prefix.
std::optional<std::string> strip_prefix(std::string_view prefix, const std::string& key) {
  if (!key.starts_with(prefix)) return std::nullopt;
  return key.substr(prefix.size());
}

std::optional<std::string> parse_job_id(std::string_view prefix, const std::string& key) {
  auto job_id = strip_prefix(prefix, key);
  return job_id && protocol::valid_job_id(*job_id) ? job_id : std::nullopt;
}

}  // namespace

std::string job_key(const std::string& job_id) {
  return kJobPrefix + job_id;
}

std::string final_state_key(const std::string& job_id) {
  return kFinalStatePrefix + job_id;
}

std::string shard_key(std::uint32_t shard) {
  return kShardPrefix + std::to_string(shard);
}

std::optional<std::string> parse_job_key(const std::string& key) {
  return parse_job_id(kJobPrefix, key);
}

std::optional<std::string> parse_final_state_key(const std::string& key) {
  return parse_job_id(kFinalStatePrefix, key);
}

std::optional<std::uint32_t> parse_shard_key(const std::string& key) {
  const auto digits = strip_prefix(kShardPrefix, key);
  if (!digits) return std::nullopt;
  std::uint32_t shard = 0;
  const char* end = digits->data() + digits->size();
  const auto [parsed_to, error] = std::from_chars(digits->data(), end, shard);
  if (error != std::errc{} || parsed_to != end) return std::nullopt;
  return shard;
}

}  // namespace wrenusher::records
