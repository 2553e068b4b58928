#pragma once
// Returns rented machines to the cloud.

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wrenusher/provisioner/cloud_client.hpp"

namespace wrenusher::provisioner {

/// Returns machines in batches. A machine is sent again with a later batch until the cloud confirms its
/// return. Single-threaded: used from the runtime's loop only. `cloud` and `term` must outlive it.
class MachineReturns {
 public:
  /// `on_returned` is called for each host whose return is confirmed.
  MachineReturns(CloudClient& cloud, const LeaderTerm& term,
                 std::function<void(const std::string&)> on_returned)
      : cloud_(cloud), term_(term), on_returned_(std::move(on_returned)) {}

  /// Starts a term of this node: clears all pending and confirmed returns.
  void begin_term();
  /// Queues the machine for the next batch.
  void add(const std::string& host) { pending_.insert(host); }
  /// Sends the next batch, unless one is in flight or nothing is pending.
  void send_batch();
  /// Returns whether the machine has been queued for return and the cloud has not confirmed it yet.
  bool is_pending(const std::string& host) const { return pending_.contains(host); }
  /// Returns whether the machine's return was confirmed in this term. The cloud's list may still contain it.
  bool is_returned(const std::string& host) const { return returned_.contains(host); }

 private:
  void on_confirmed(const std::vector<std::string>& hosts);

  CloudClient& cloud_;
  const LeaderTerm& term_;
  std::function<void(const std::string&)> on_returned_;
  std::set<std::string> pending_;
  std::set<std::string> returned_;
  bool batch_in_flight_ = false;
};

}  // namespace wrenusher::provisioner
