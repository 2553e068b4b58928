#pragma once
// Events about workers and their machines: reports, missing reports, departures and commands. A report is a
// worker's list of its tasks and its state; heartbeats are exchanged between controllers only.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::events {

/// A worker's newest report. Sent by the worker gateway, on the leader only.
struct WorkerReported {
  std::shared_ptr<const protocol::WorkerReport> report;
  /// Whether the worker has accepted this term's fencing token. If so, it no longer executes start commands
  /// of earlier leaders.
  bool token_accepted = false;
  /// Whether the worker sent the report by itself, not as the response to a call. If so, the reply to its
  /// previous report has arrived by now or never will.
  bool worker_initiated = false;
  /// Sends the reply with the commands for the worker. Must be called exactly once.
  std::function<void(std::vector<protocol::WorkerCommand>)> reply;
};

/// A worker has not reported within the silence limit. Its tasks may still be running.
struct WorkerSilent {
  std::string host;
};

/// The cloud has removed the machine, which proves that none of its tasks is running.
struct MachineDeparted {
  std::string host;
};

/// Commands to send to a worker at once, without waiting for its next report. They never include `start`,
/// which could be executed minutes late when sent in a call. Sent by the leader.
struct DirectCommands {
  std::string host;
  std::vector<protocol::WorkerCommand> commands;
};

/// A machine that gets no new tasks because it will be returned.
struct MachineCordoned {
  std::string host;
  std::string reason;  ///< for the log
};

/// A machine that the cloud has listed for the first time in this term. Sent by the provisioner.
struct MachineListed {
  std::string host;
  std::string address;
};

}  // namespace wrenusher::events
