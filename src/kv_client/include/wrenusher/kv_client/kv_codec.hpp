#pragma once
// The requests and replies of the state service on the wire. The wire's names appear nowhere else.

#include <string>
#include <vector>

#include "wrenusher/kv_client/kv_messages.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::kv_client {

[[nodiscard]] runtime::Request get_request(const std::string& key);
/// `from`: the first key, or empty for the first one there is.
[[nodiscard]] runtime::Request list_request(const std::string& prefix, const std::string& from, int limit);
[[nodiscard]] runtime::Request commit_request(const std::vector<Condition>& when,
                                              const std::vector<Mutation>& apply);
[[nodiscard]] runtime::Request grant_lease_request(Micros duration);
[[nodiscard]] runtime::Request renew_lease_request(std::uint64_t lease_id);
[[nodiscard]] runtime::Request revoke_lease_request(std::uint64_t lease_id);
/// `max_wait`: how long the service waits for a change if there is none.
[[nodiscard]] runtime::Request watch_request(const std::string& prefix, std::uint64_t from, Micros max_wait);

// The replies. Large bodies are taken out of the result, so that they do not stand twice in memory.
[[nodiscard]] ReadReply read_get_reply(const runtime::CallResult& result, Instant sent_at);
[[nodiscard]] ReadReply read_list_reply(runtime::CallResult result);
[[nodiscard]] CommitReply read_commit_reply(const runtime::CallResult& result, Instant sent_at);
[[nodiscard]] LeaseReply read_grant_reply(const runtime::CallResult& result);
[[nodiscard]] LeaseReply read_renew_reply(const runtime::CallResult& result, std::uint64_t lease_id);
[[nodiscard]] WatchReply read_watch_reply(runtime::CallResult result, Instant sent_at);

}  // namespace wrenusher::kv_client
