#pragma once
// Events about workers and their machines: reports, silence, departure, commands.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::events {

/// A worker's newest report. From the worker gateway, on the leader alone.
struct WorkerReported {
  std::shared_ptr<const protocol::WorkerReport> report;
  /// The worker has accepted this term's fencing token: nothing that an earlier leader sent can start any
  /// more.
  bool token_accepted = false;
  /// A report by the worker itself, not the answer to a call: the answer to its previous report has arrived
  /// by now, or never will.
  bool worker_initiated = false;
  /// Takes the commands for the worker; to be called exactly once.
  std::function<void(std::vector<protocol::WorkerCommand>)> reply;
};

/// A worker has not reported for long. This proves nothing about its tasks.
struct WorkerSilent {
  std::string host;
};

/// The cloud has taken the machine away: the proof that none of its tasks runs any more.
struct MachineDeparted {
  std::string host;
};

/// Commands that should not wait for the worker's next report. Never `start`: in a call it could be executed
/// minutes late. From the leader.
struct DirectCommands {
  std::string host;
  std::vector<protocol::WorkerCommand> commands;
};

/// A machine that gets no new tasks any more, since it is to be returned.
struct MachineCordoned {
  std::string host;
  std::string reason;  ///< for the log
};

/// A machine that the cloud has listed for the first time in this term. From the provisioner.
struct MachineListed {
  std::string host;
  std::string address;
};

}  // namespace wrenusher::events
