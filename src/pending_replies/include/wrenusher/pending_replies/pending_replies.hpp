#pragma once
/// @file
/// Package pending_replies: the replies to workers' reports that wait for the commit of what the report
/// brought, so that the worker gets its next tasks with the same reply. It owns these replies and nothing
/// else. Invariant: at most one per machine, and each is given exactly once. It may depend on time and
/// protocol.

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

/// Gives a report its reply, with the commands for the worker.
using Reply = std::function<void(std::vector<WorkerCommand>)>;

/// A reply that waits.
struct PendingReply {
  std::shared_ptr<const WorkerReport> report;  ///< never null
  Reply reply;
  Instant deadline{};                      ///< it is given then at the latest
  std::uint64_t plan_count_at_report = 0;  ///< how many plans had been made when the report came
};

/// Decides on a reply: its commands, or nothing while it is to wait on.
using CommandSource =
    std::function<std::optional<std::vector<WorkerCommand>>(const std::string& host, const PendingReply&)>;

/// The replies that wait, by machine. Owns them. Single-threaded: called from the runtime's loop only; a
/// reply must not call back into this object.
class PendingReplies {
 public:
  /// Holds a reply. One that the machine had before must have been given (`reply_empty`).
  void add(const std::string& host, PendingReply pending) { waiting_[host] = std::move(pending); }
  /// Gives the machine's reply, if any waits, without commands: the worker has given up waiting, or its
  /// machine has departed.
  void reply_empty(const std::string& host);
  /// Gives all replies without commands.
  void reply_all_empty();
  /// Gives the replies for which `commands` has a result; the others stay.
  void reply_ready(const CommandSource& commands);

 private:
  std::map<std::string, PendingReply> waiting_;  ///< by host
};

}  // namespace wrenusher::pending_replies
