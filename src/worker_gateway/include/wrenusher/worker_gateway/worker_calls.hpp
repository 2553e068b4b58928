#pragma once
// Calls from the leader to a worker: commands that can't wait for its next report, and polls, which are calls
// without commands. A worker answers with a report, and takes the call's fencing token where it is higher.

#include <cstdint>
#include <optional>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::worker_gateway {

/// For which term and which life of the worker a call is meant.
struct CallTarget {
  std::uint64_t fencing_token = 0;
  std::uint64_t incarnation = 0;  ///< a worker of another incarnation executes nothing and answers 409
};

/// Commands for a worker.
[[nodiscard]] runtime::Request commands_request(const CallTarget& target,
                                                const std::vector<protocol::WorkerCommand>& commands);
/// Asks a worker for its newest report. Its connection isn't kept, since polls go to many workers once.
[[nodiscard]] runtime::Request poll_request(const CallTarget& target);
/// The report in a worker's answer; nothing: the body holds none.
[[nodiscard]] std::optional<protocol::WorkerReport> read_report_body(const runtime::Response& response);

}  // namespace wrenusher::worker_gateway
