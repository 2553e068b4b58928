#pragma once
// Keeps messages with commands for a worker within the limits of package protocol (message_limits.hpp). The
// limits are counts, so they hold for commands of the greatest size.

#include <cstddef>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::worker_gateway {

/// Removes the commands that the reply to a report may not contain yet, and returns how many. The leader
/// derives the commands from each report anew, so the replies to the next reports contain those that are
/// still needed. If not all commands fit, stops are kept first, then forget commands, then starts. Starts
/// also wait until the worker's next report can list their tasks beside those that are still in `report`.
std::size_t limit_reply(const protocol::WorkerReport& report, std::vector<protocol::WorkerCommand>& commands);
/// Splits the commands of a call to a worker into as many calls as their number requires, at least one. A
/// worker that gets them in another order ends up with the same tasks: each concerns another task.
std::vector<std::vector<protocol::WorkerCommand>> split_into_calls(
    const std::vector<protocol::WorkerCommand>& commands);

}  // namespace wrenusher::worker_gateway
