#pragma once
// Encoding of the requests to the state service and decoding of its replies. The field names of its protocol
// are defined in kv_codec.cpp.

#include <string>
#include <vector>

#include "wrenusher/kv_client/kv_messages.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::kv_client {

[[nodiscard]] runtime::Request get_request(const std::string& key);
/// `from`: the key to start at; empty: the first key with the prefix.
[[nodiscard]] runtime::Request list_request(const std::string& prefix, const std::string& from, int limit);
[[nodiscard]] runtime::Request commit_request(const std::vector<Condition>& conditions,
                                              const std::vector<Mutation>& mutations);
[[nodiscard]] runtime::Request grant_lease_request(Micros duration);
[[nodiscard]] runtime::Request renew_lease_request(std::uint64_t lease_id);
[[nodiscard]] runtime::Request revoke_lease_request(std::uint64_t lease_id);
/// `max_wait`: how long the service waits for a change if there is none yet.
[[nodiscard]] runtime::Request watch_request(const std::string& prefix, std::uint64_t from, Micros max_wait);

// The functions below decode replies. Large bodies are moved out of the result, so that they are not held in
// memory twice.
[[nodiscard]] ReadReply read_get_reply(const runtime::CallResult& result, Instant sent_at);
[[nodiscard]] ReadReply read_list_reply(runtime::CallResult result);
[[nodiscard]] CommitReply read_commit_reply(const runtime::CallResult& result, Instant sent_at);
[[nodiscard]] LeaseReply read_grant_reply(const runtime::CallResult& result);
[[nodiscard]] LeaseReply read_renew_reply(const runtime::CallResult& result, std::uint64_t lease_id);
[[nodiscard]] WatchReply read_watch_reply(runtime::CallResult result, Instant sent_at);

}  // namespace wrenusher::kv_client
