#pragma once
// The check of a copy against the state service, after this node has won a term and before its first
// decision.
//
// Compared, many in one request (4 x txn_ops conditions): every live job's root and every slot by its stamp;
// the slots that a leader would have made next, by their absence; and every job that a slot names and the
// copy does not know, by the absence of its root, since a claim of a live job that is not counted could be
// given away twice. What does not compare is read anew, and what is read anew is compared again.
// docs/design.md has the proof.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/replica/record_replica.hpp"

namespace wrenusher::replica {

/// The keys that the check compares, each with the stamp that it should have.
std::vector<Condition> verification_conditions(const records::RecordSnapshot& snapshot);

class ReplicaVerifier {
 public:
  ReplicaVerifier(Runtime& runtime, const Settings& settings, KvClient& store)
      : runtime_(runtime), settings_(settings), store_(store) {}

  struct Result {
    bool verified = false;
    std::size_t compared = 0;
    std::size_t reread = 0;  ///< keys that did not compare and were read
  };
  /// Brings the copy to what the state service has; not good where too much differs or no answers come in
  /// time.
  void verify(std::shared_ptr<records::RecordSnapshot> copy, std::function<void(const Result&)> done);
  void stop() { ++generation_; }

 private:
  struct Run {
    std::uint64_t generation = 0;
    std::shared_ptr<records::RecordSnapshot> replica;
    std::function<void(const Result&)> done;
    std::map<std::string, std::uint64_t> open;  ///< keys still to be compared, and their stamps
    std::set<std::string> compared;             ///< keys that have been compared, whatever came of it
    std::set<std::string> mismatched;           ///< that did not compare this time
    std::size_t in_flight = 0;
    int passes = 0;
    bool failed = false;
    Result result;
  };
  void compare_all(const std::shared_ptr<Run>& run);
  void on_compared(const std::shared_ptr<Run>& run, const std::vector<Condition>& when,
                   const CommitReply& reply);
  void reread_mismatches(const std::shared_ptr<Run>& run);
  void finish(const std::shared_ptr<Run>& run, bool good);

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  std::uint64_t generation_ = 0;
};

}  // namespace wrenusher::replica
