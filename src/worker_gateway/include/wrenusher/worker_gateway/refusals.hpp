#pragma once
// Every answer by which a node doesn't accept a worker's report. A function is named by the `code` in the
// answer's body, so that the code leads to it.

#include <string>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::worker_gateway::refusals {

/// 405 `wrong_method`: reports are sent with POST.
[[nodiscard]] runtime::Response wrong_method();
/// 400 `bad_report`: the body doesn't decode to a report.
[[nodiscard]] runtime::Response bad_report();
/// 421 without a code: another node leads, `leader` as far as is known here. Empty: not known, and the worker
/// tries the next node.
[[nodiscard]] runtime::Response redirect(const std::string& leader);
/// 503 `cancellations_unknown`, retry after 1 s. Cause: this leader has not learned in time from the
/// key-value store or from its peers what users cancelled (LeaseRenewalGuard), so it may not renew the
/// worker's lease.
[[nodiscard]] runtime::Response cancellations_unknown();

}  // namespace wrenusher::worker_gateway::refusals
