#include "wrenusher/worker_gateway/command_limits.hpp"

#include <algorithm>

#include "wrenusher/protocol/message_limits.hpp"

namespace wrenusher::worker_gateway {

using protocol::kMaxCommandsPerMessage;
using protocol::WorkerCommand;

namespace {

/// Returns the position of a command in a reply from which some commands are left out: stops must not be
/// delayed, and a start may need the room, in the worker's report, of a task that is forgotten before it.
int delivery_rank(WorkerCommand::Verb verb) {
  switch (verb) {
    case WorkerCommand::Verb::stop:
      return 0;
    case WorkerCommand::Verb::forget:
      return 1;
    case WorkerCommand::Verb::start:
      break;
  }
  return 2;
}

}  // namespace

std::size_t limit_reply(std::vector<WorkerCommand>& commands) {
  if (commands.size() <= kMaxCommandsPerMessage) return 0;
  std::stable_sort(commands.begin(), commands.end(),
                   [](const WorkerCommand& left, const WorkerCommand& right) {
                     return delivery_rank(left.verb) < delivery_rank(right.verb);
                   });
  const std::size_t removed = commands.size() - kMaxCommandsPerMessage;
  commands.resize(kMaxCommandsPerMessage);
  return removed;
}

}  // namespace wrenusher::worker_gateway
