#include "wrenusher/worker_gateway/command_limits.hpp"

#include <algorithm>

#include "wrenusher/protocol/message_limits.hpp"

namespace wrenusher::worker_gateway {

using protocol::kMaxCommandsPerMessage;
using protocol::kMaxTasksPerMachine;
using protocol::WorkerCommand;
using protocol::WorkerReport;

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

/// Removes the last starts if the next report could not list all tasks. A report settles the reply before it,
/// so the worker has no other tasks than those in the report and those that this reply starts.
void limit_starts(const WorkerReport& report, std::vector<WorkerCommand>& commands) {
  const auto count = [&](WorkerCommand::Verb verb) {
    return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(),
                                                  [&](const auto& command) { return command.verb == verb; }));
  };
  const std::size_t forgotten = std::min(count(WorkerCommand::Verb::forget), report.tasks.size());
  const std::size_t listed = report.tasks.size() - forgotten;
  std::size_t allowed = kMaxTasksPerMachine - std::min<std::size_t>(kMaxTasksPerMachine, listed);
  if (count(WorkerCommand::Verb::start) <= allowed) return;
  std::erase_if(commands, [&](const WorkerCommand& command) {
    if (command.verb != WorkerCommand::Verb::start) return false;
    if (allowed == 0) return true;
    --allowed;
    return false;
  });
}

}  // namespace

std::size_t limit_reply(const WorkerReport& report, std::vector<WorkerCommand>& commands) {
  const std::size_t requested = commands.size();
  limit_starts(report, commands);
  if (commands.size() <= kMaxCommandsPerMessage) return requested - commands.size();
  std::stable_sort(commands.begin(), commands.end(),
                   [](const WorkerCommand& left, const WorkerCommand& right) {
                     return delivery_rank(left.verb) < delivery_rank(right.verb);
                   });
  commands.resize(kMaxCommandsPerMessage);
  return requested - commands.size();
}

std::vector<std::vector<WorkerCommand>> split_into_calls(const std::vector<WorkerCommand>& commands) {
  std::vector<std::vector<WorkerCommand>> calls;
  auto rest = commands.begin();
  do {
    const auto count = std::min<std::ptrdiff_t>(commands.end() - rest, kMaxCommandsPerMessage);
    calls.emplace_back(rest, rest + count);
    rest += count;
  } while (rest != commands.end());
  return calls;
}

}  // namespace wrenusher::worker_gateway
