#include "wrenusher/worker_gateway/refusals.hpp"

#include "wrenusher/runtime/error_response.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::worker_gateway::refusals {

using runtime::error_response;
using runtime::Response;
using value::Value;

Response wrong_method() {
  return error_response({405, "wrong_method", "This is asked with POST.", "", 0});
}

Response bad_report() {
  return error_response({400, "bad_report", "The body is no report of a worker.", "", 0});
}

Response redirect(const std::string& leader) {
  if (leader.empty()) return {421, {}, 0};
  return {421, value::encode(Value::Map{{"upstream", leader}}), 0};
}

Response cancellations_unknown() {
  return error_response({503, "cancellations_unknown",
                         "What was cancelled may not be known here, so that no lease is renewed.", "", 1});
}

}  // namespace wrenusher::worker_gateway::refusals
