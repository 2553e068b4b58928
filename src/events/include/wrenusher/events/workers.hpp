#pragma once
// Events about workers and their machines: heartbeats, silence, departure, commands.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::events {

/// A worker's newest word.
struct WorkerReported {
  std::shared_ptr<const protocol::WorkerReport> report;
  /// The worker has accepted this term's epoch: nothing an earlier leader sent can start any more.
  bool token_accepted = false;
  /// A report, not the answer to /orders: what was sent in the response before it is settled.
  bool settled = false;
  /// Takes the orders; to be called once.
  std::function<void(std::vector<protocol::WorkerCommand>)> reply;
};

/// A worker has not been heard for long. It proves nothing about its tasks.
struct WorkerSilent {
  std::string host;
};

/// Proof: the cloud has taken the machine away with everything on it.
struct MachineDeparted {
  std::string host;
};

/// Orders that should not wait for the worker's next report. Never `run`: sent this way it could be executed
/// minutes late.
struct DirectCommands {
  std::string host;
  std::vector<protocol::WorkerCommand> commands;
};

/// A machine that gets no new tasks any more, since it is about to be returned.
struct MachineCordoned {
  std::string host;
  std::string reason;
};

/// A machine that the cloud's list names for the first time in this term.
struct MachineListed {
  std::string host;
  std::string address;
};

}  // namespace wrenusher::events
