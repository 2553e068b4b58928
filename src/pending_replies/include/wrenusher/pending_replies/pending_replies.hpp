#pragma once
// Package pending_replies: the answers to reports that wait for the commit of what the report brought, so
// that the worker gets its next tasks with the same answer. It owns the answers and nothing else. Invariant:
// at most one a machine, and each is given exactly once. It may depend on base and protocol.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::pending_replies {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

using Reply = std::function<void(std::vector<WorkerCommand>)>;

struct PendingReply {
  std::shared_ptr<const WorkerReport> report;
  Reply reply;
  Instant deadline{};              ///< given then at the latest
  std::uint64_t plans_before = 0;  ///< made before it came
};

class PendingReplies {
 public:
  void add(const std::string& host, PendingReply pending) { waiting_[host] = std::move(pending); }
  /// Answers without orders: the worker has given up waiting, or its machine is gone.
  void reply_empty(const std::string& host);
  void reply_all_empty();
  /// Gives those for which `orders` has some; the rest stay.
  void reply_ready(const std::function<std::optional<std::vector<WorkerCommand>>(
                       const std::string& host, const PendingReply&)>& commands);

 private:
  std::map<std::string, PendingReply> waiting_;  ///< by machine
};

}  // namespace wrenusher::pending_replies
