#pragma once
// Calls from the leader to a worker: commands that must not wait for its next report, and polls, which are
// calls without commands. A worker responds with a report, and adopts the fencing token of the call if it is
// higher.

#include <cstdint>
#include <optional>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::worker_gateway {

/// The term and the incarnation of the worker for which a call is valid.
struct CallTarget {
  std::uint64_t fencing_token = 0;
  std::uint64_t incarnation = 0;  ///< a worker in another incarnation executes nothing and responds 409
};

/// Returns a request with commands for a worker.
[[nodiscard]] runtime::Request commands_request(const CallTarget& target,
                                                const std::vector<protocol::WorkerCommand>& commands);
/// Returns a request for a worker's newest report. Its connection is closed after the response, since polls
/// go to many workers only once each.
[[nodiscard]] runtime::Request poll_request(const CallTarget& target);
/// Returns the report in a worker's response, or nullopt if the body contains no valid report.
[[nodiscard]] std::optional<protocol::WorkerReport> read_report_body(const runtime::Response& response);

}  // namespace wrenusher::worker_gateway
