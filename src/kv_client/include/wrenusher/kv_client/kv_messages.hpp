#pragma once
// Types of the requests to the state service and of its replies.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::kv_client {

using time::Instant;
using time::Micros;
using value::Value;

/// A key of the state service with its value.
struct KeyValue {
  std::string key;
  Value value;
  std::uint64_t mod_revision = 0;  ///< revision of the last change of the key
  std::uint64_t lease_id = 0;      ///< the key is deleted when this lease ends; 0: no lease
};

/// Result of a get or a list.
struct ReadReply {
  enum class Result { ok, failed };
  Result result = Result::failed;
  std::vector<KeyValue> rows;  ///< sorted by key
  bool truncated = false;      ///< set by a list if there are more rows after the last one
  std::uint64_t revision = 0;  ///< revision at which the rows were read
  Instant sent_at{};           ///< send time of a get; the rows are as of this time or later
  bool queue_full = false;     ///< the call failed without being sent, since too many calls were queued
};

/// Condition of a commit: the key must have this revision.
struct Condition {
  std::string key;
  std::uint64_t mod_revision = 0;  ///< 0: the key must be absent
};

/// One change of a commit.
struct Mutation {
  std::string key;
  std::optional<Value> put;    ///< the new value; empty: the key is deleted
  std::uint64_t lease_id = 0;  ///< lease that the key is attached to; 0: none
};

/// Result of a commit, which is a compare-and-swap over several keys.
struct CommitReply {
  enum class Result {
    committed,
    conflict,  ///< a condition failed; nothing was executed
    refused,   ///< certainly not executed
    unknown,   ///< may have been executed, or may still be executed
    invalid    ///< the service rejected the request as malformed; nothing was executed
  };
  Result result = Result::refused;
  std::uint64_t revision = 0;            ///< revision of the changes if committed
  std::vector<std::string> failed_keys;  ///< keys whose condition failed; the service may omit some
  Instant sent_at{};                     ///< send time of the request
  bool queue_full = false;               ///< the call was not sent, since too many calls were queued
};

/// Result of a call that grants or renews a lease.
struct LeaseReply {
  enum class Result {
    ok,
    expired,  ///< the service no longer has the lease
    failed    ///< the call may or may not have been executed
  };
  Result result = Result::failed;
  std::uint64_t lease_id = 0;
};

/// A deleted key.
struct Deletion {
  std::string key;
  std::uint64_t mod_revision = 0;
};

/// Result of a watch: the changes after the requested revision.
struct WatchReply {
  enum class Result {
    ok,
    too_old,    ///< the service no longer has these changes
    too_large,  ///< the reply exceeds the size limit; reading the keys again page by page is better
    failed
  };
  Result result = Result::failed;
  std::uint64_t revision = 0;  ///< all changes up to this revision are in the reply
  std::vector<KeyValue> puts;
  std::vector<Deletion> deletes;
  Instant sent_at{};  ///< send time; if the service did not wait, the reply is as of this time or later
};

/// Whether the state service has replied to this node recently.
struct KvHealth {
  bool reachable = false;
};

}  // namespace wrenusher::kv_client
