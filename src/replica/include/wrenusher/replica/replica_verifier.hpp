#pragma once
// Verifies a replica against the state service, after this node has won a term and before its first decision.
//
// The verifier compares revisions, many in one request (4 x txn_ops conditions). These must match:
// - The records of all live jobs and all shards.
// - The absence of the shards that a leader would have created next.
// - The absence of the record of every job that has a block in a shard but no record in the replica. If such
//   a job were still live, its assignments would be missing, and its tasks could be assigned a second time.
// Keys that differ are read again and compared again. docs/design.md has the proof.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::replica {

/// Returns the keys to compare, each with its expected revision (0: the key must be absent).
[[nodiscard]] std::vector<kv_client::Condition> verification_conditions(
    const records::RecordSnapshot& snapshot);

/// Owned by StandbyReplica. Single-threaded: called from the runtime's loop only.
class ReplicaVerifier {
 public:
  /// All arguments must outlive this.
  ReplicaVerifier(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store)
      : runtime_(runtime), settings_(settings), store_(store) {}

  struct Result {
    bool verified = false;     ///< false: too many keys differed, or replies were missing after the timeout
    std::size_t compared = 0;  ///< number of key comparisons; a key may be compared several times
    std::size_t reread = 0;    ///< number of reads of keys that differed
  };
  using ResultHandler = std::function<void(const Result&)>;

  /// Compares the snapshot with the state service and corrects it where it differs. Cancels a verification in
  /// progress, whose handler is not called.
  void verify(std::shared_ptr<records::RecordSnapshot> snapshot, ResultHandler done);
  /// Cancels a verification in progress; its handler is not called.
  void stop() { ++generation_; }

 private:
  /// One verification. It is finished when `generation` is no longer the newest.
  struct Run {
    std::uint64_t generation = 0;
    std::shared_ptr<records::RecordSnapshot> snapshot;
    ResultHandler done;
    /// Keys still to compare, with their expected revisions.
    std::map<std::string, std::uint64_t> unverified;
    std::set<std::string> compared;  ///< keys that have been compared, with any result
    // State of the current pass:
    std::set<std::string> mismatched;
    std::size_t in_flight = 0;
    bool has_failed_calls = false;

    int passes = 0;
    Result result;
  };
  using RunPtr = std::shared_ptr<Run>;

  [[nodiscard]] bool is_finished(const RunPtr& run) const { return run->generation != generation_; }
  void compare_unverified(const RunPtr& run);
  void on_compared(const RunPtr& run, const std::vector<kv_client::Condition>& conditions,
                   const kv_client::CommitReply& reply);
  void end_pass(const RunPtr& run);
  void reread_mismatches(const RunPtr& run);
  void on_reread(const RunPtr& run, const std::string& key, const kv_client::ReadReply& reply);
  static void requeue_mismatches(Run& run);
  void finish(const RunPtr& run, bool verified);

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  std::uint64_t generation_ = 0;  ///< incremented at the start and the end of each verification
};

}  // namespace wrenusher::replica
