#pragma once
// What the state service is asked and what it replies, as types.

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
  std::uint64_t lease_id = 0;      ///< the key goes when this lease ends; 0: it is attached to none
};

/// The end of a get or a list.
struct ReadReply {
  enum class Result { ok, failed };
  Result result = Result::failed;
  std::vector<KeyValue> rows;  ///< in the order of the keys; empty: there are none
  bool truncated = false;      ///< of a list: there are more rows behind the last one
  std::uint64_t revision = 0;  ///< the rows are as they were at this revision
  Instant sent_at{};           ///< of a get: when the service was asked; it replies as of then or later
  bool queue_full = false;     ///< failed, since too many calls wait here: the service was not asked
};

/// A change is executed only if the key has this revision.
struct Condition {
  std::string key;
  std::uint64_t mod_revision = 0;  ///< 0: the key must be absent
};

/// One change of a commit.
struct Mutation {
  std::string key;
  std::optional<Value> put;    ///< the new value; empty: the key is deleted
  std::uint64_t lease_id = 0;  ///< what the key is attached to; 0: nothing
};

/// The end of a commit, which is a compare-and-swap over several keys.
struct CommitReply {
  enum class Result {
    committed,
    conflict,  ///< a condition failed: nothing was executed
    refused,   ///< certainly not executed
    unknown,   ///< may have been executed, or may be yet
    invalid    ///< the service calls it malformed; nothing was executed
  };
  Result result = Result::refused;
  std::uint64_t revision = 0;            ///< of the changes, once committed
  std::vector<std::string> failed_keys;  ///< keys whose condition failed; the service need not name all
  Instant sent_at{};                     ///< when the service was asked
  bool queue_full = false;  ///< refused, since too many calls wait here: the service was not asked
};

/// The end of a call that grants or renews a lease.
struct LeaseReply {
  enum class Result {
    ok,
    expired,  ///< the service does not have the lease any more
    failed    ///< it may or may not have been executed
  };
  Result result = Result::failed;
  std::uint64_t lease_id = 0;
};

/// The deletion of a key.
struct Deletion {
  std::string key;
  std::uint64_t mod_revision = 0;
};

/// The end of a watch: the changes after the revision that was asked for.
struct WatchReply {
  enum class Result {
    ok,
    too_old,    ///< the service does not have these changes any more
    too_large,  ///< there are more than are taken at once: reading anew by pages is better
    failed
  };
  Result result = Result::failed;
  std::uint64_t revision = 0;  ///< all changes up to this revision are in the reply
  std::vector<KeyValue> puts;
  std::vector<Deletion> deletes;
  Instant sent_at{};  ///< when the service was asked; if it did not wait, it replies as of then or later
};

/// Whether the state service replied to this node lately.
struct KvHealth {
  bool reachable = false;
};

}  // namespace wrenusher::kv_client
