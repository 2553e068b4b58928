#pragma once
// Machines on their way back to the cloud.

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wrenusher/provisioner/cloud_client.hpp"

namespace wrenusher::provisioner {

/// Returns machines in batches, each repeated until the cloud confirms it. Single-threaded: used from the
/// runtime's loop only; what it is given must outlive it.
class MachineReturns {
 public:
  /// `returned` is called for each host whose return is confirmed.
  MachineReturns(CloudClient& cloud, const LeaderTerm& term, std::function<void(const std::string&)> returned)
      : cloud_(cloud), term_(term), on_returned_(std::move(returned)) {}

  /// A term of this node begins: forgets what an earlier one returned.
  void begin_term();
  void add(const std::string& host) { pending_.insert(host); }
  /// Sends the next batch, unless one is under way or nothing is pending.
  void send_batch();
  /// Whether the machine's return is not confirmed yet.
  bool pending(const std::string& host) const { return pending_.contains(host); }
  /// Whether its return was confirmed in this term. The cloud's list may still name it.
  bool returned(const std::string& host) const { return returned_.contains(host); }

 private:
  void on_confirmed(const std::vector<std::string>& hosts);

  CloudClient& cloud_;
  const LeaderTerm& term_;
  std::function<void(const std::string&)> on_returned_;
  std::set<std::string> pending_;
  std::set<std::string> returned_;
  bool batch_under_way_ = false;
};

}  // namespace wrenusher::provisioner
