#pragma once
/// @file
/// Package pending_replies: the replies to workers' reports that are held back until the changes caused by
/// the report are committed, so that the worker gets its next tasks with the same reply. It owns these
/// replies and nothing else.
///
/// Invariant: at most one reply per machine is pending, and each is sent exactly once.
///
/// It may depend on time and protocol.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::pending_replies {

using protocol::WorkerCommand;
using protocol::WorkerReport;
using time::Instant;

/// Sends the reply to a report, with the commands for the worker.
using Reply = std::function<void(std::vector<WorkerCommand>)>;

/// A reply that has not been sent yet.
struct PendingReply {
  std::shared_ptr<const WorkerReport> report;  ///< never null
  Reply reply;
  Instant deadline{};                      ///< the latest time at which the reply is sent
  std::uint64_t plan_count_at_report = 0;  ///< number of plans made before the report arrived
};

/// Returns the commands with which to send a pending reply, or nothing to keep it pending.
using CommandSource =
    std::function<std::optional<std::vector<WorkerCommand>>(const std::string& host, const PendingReply&)>;

/// Owns the pending replies, by machine. Single-threaded: called from the runtime's loop only; a reply must
/// not call back into this object.
class PendingReplies {
 public:
  /// Adds a pending reply. An earlier one of the same machine must have been sent before (`reply_empty`).
  void add(const std::string& host, PendingReply pending) { by_host_[host] = std::move(pending); }
  /// Sends the machine's pending reply, if there is one, without commands: the worker has timed out waiting
  /// for it, or its machine has departed.
  void reply_empty(const std::string& host);
  /// Sends all pending replies without commands.
  void reply_all_empty();
  /// Sends the replies for which `commands` returns a result; the others stay pending.
  void reply_ready(const CommandSource& commands);

 private:
  std::map<std::string, PendingReply> by_host_;
};

}  // namespace wrenusher::pending_replies
