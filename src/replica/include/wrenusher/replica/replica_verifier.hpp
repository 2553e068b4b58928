#pragma once
// The verification of a replica against the state service, after this node has won a term and before its
// first decision.
//
// Compared by revision, many in one request (4 x txn_ops conditions): the record of every live job, and every
// shard; the shards that a leader would have made next, by their absence; and the record of every job that a
// shard names and the replica does not know, by its absence, since an assignment of a live job that is not
// counted could be given away twice. What differs is read again, and then compared again. docs/design.md has
// the proof.

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

/// The keys to compare, each with the revision that it should have.
[[nodiscard]] std::vector<kv_client::Condition> verification_conditions(
    const records::RecordSnapshot& snapshot);

/// Owned by StandbyReplica. Single-threaded: called from the runtime's loop only.
class ReplicaVerifier {
 public:
  /// All arguments must outlive this.
  ReplicaVerifier(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store)
      : runtime_(runtime), settings_(settings), store_(store) {}

  struct Result {
    bool verified = false;     ///< false: too much differed, or no replies came in time
    std::size_t compared = 0;  ///< keys, each as often as it was compared
    std::size_t reread = 0;    ///< keys that differed and were read again
  };
  using ResultHandler = std::function<void(const Result&)>;

  /// Brings the snapshot to what the state service has. Supersedes a verification under way, whose handler is
  /// then not called.
  void verify(std::shared_ptr<records::RecordSnapshot> snapshot, ResultHandler done);
  /// Ends a verification under way; its handler is not called.
  void stop() { ++generation_; }

 private:
  /// One verification. It is over when `generation` is not the newest any more.
  struct Run {
    std::uint64_t generation = 0;
    std::shared_ptr<records::RecordSnapshot> snapshot;
    ResultHandler done;
    std::map<std::string, std::uint64_t> open;  ///< keys still to compare, and their revisions
    std::set<std::string> compared;             ///< keys that have been compared, whatever came of it
    // Of the pass under way:
    std::set<std::string> mismatched;
    std::size_t in_flight = 0;
    bool has_failures = false;

    int passes = 0;
    Result result;
  };
  using RunPtr = std::shared_ptr<Run>;

  [[nodiscard]] bool is_over(const RunPtr& run) const { return run->generation != generation_; }
  void compare_all(const RunPtr& run);
  void on_compared(const RunPtr& run, const std::vector<kv_client::Condition>& when,
                   const kv_client::CommitReply& reply);
  void end_pass(const RunPtr& run);
  void reread_mismatches(const RunPtr& run);
  void on_reread(const RunPtr& run, const std::string& key, const kv_client::ReadReply& reply);
  static void reopen_mismatches(Run& run);
  void finish(const RunPtr& run, bool verified);

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  std::uint64_t generation_ = 0;  ///< rises with the beginning and the end of each verification
};

}  // namespace wrenusher::replica
