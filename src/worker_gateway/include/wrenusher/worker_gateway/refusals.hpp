#pragma once
// All responses that reject a worker's report. Each function has the name of the `code` in the response body,
// so that it can be found from the code.

#include <string>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::worker_gateway::refusals {

/// 405 `wrong_method`: reports must be sent with POST.
[[nodiscard]] runtime::Response wrong_method();
/// 400 `bad_report`: the body cannot be decoded to a report.
[[nodiscard]] runtime::Response bad_report();
/// 421 without a code: another node leads. `leader` is that node; if it is empty, the leader is unknown, and
/// the worker tries the next node.
[[nodiscard]] runtime::Response redirect(const std::string& leader);
/// 503 `cancellations_unknown`, retry after 1 s. This leader has not received the cancellations by users in
/// time from the state service or from its peers, so it may not renew the worker's lease (see
/// LeaseRenewalGuard).
[[nodiscard]] runtime::Response cancellations_unknown();

}  // namespace wrenusher::worker_gateway::refusals
