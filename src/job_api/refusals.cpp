#include "wrenusher/job_api/refusals.hpp"

#include "wrenusher/runtime/error_response.hpp"

namespace wrenusher::job_api::refusals {

using protocol::InvalidField;
using runtime::error_response;
using runtime::Response;

namespace {

constexpr int kRetryAfterS = 1;
/// Machine types and the topology reach a node within about two heartbeats.
constexpr int kSyncRetryAfterS = 2;

}  // namespace

Response not_a_map() {
  return error_response({400, "not_a_map", "The body must be one CBOR map keyed by text.", "", 0});
}

Response bad_field(const InvalidField& fault) {
  return error_response({400, "bad_field", fault.field + " " + fault.what + ".", fault.field, 0});
}

Response too_large() {
  return error_response(
      {400, "too_large", "The description is larger than the state service takes.", "flavors", 0});
}

Response not_kept() {
  return error_response({400, "not_kept", "The state service does not take this description.", "", 0});
}

Response never_runs(const InvalidField& fault) {
  return error_response({422, "never_runs", "The job can never run: " + fault.what + ".", fault.field, 0});
}

Response unknown_job(const std::string& job_id) {
  return error_response({404, "unknown_job", "No job of this name has been accepted.", job_id, 0});
}

Response no_such_path() {
  return error_response(
      {404, "no_such_path", "There is /submissions, /submissions/{ref}, its /withdraw, and /ready.", "", 0});
}

Response wrong_method(const char* allowed_method) {
  return error_response(
      {405, "wrong_method", std::string("This is asked with ") + allowed_method + ".", "", 0});
}

Response state_unreachable() {
  return error_response(
      {503, "state_unreachable", "The state service gives no answer at present.", "", kRetryAfterS});
}

Response busy() {
  return error_response({503, "busy", "Too many questions wait here at present.", "", kRetryAfterS});
}

Response not_ready() {
  return error_response(
      {503, "not_ready", "A peer has the state service and this node has not.", "", kRetryAfterS});
}

Response types_unknown() {
  return error_response(
      {503, "types_unknown", "The cloud has not told its machine types yet.", "", kSyncRetryAfterS});
}

Response topology_unknown() {
  return error_response({503, "topology_unknown",
                         "This node has not the topology that is in force, by which a layout is judged.",
                         "layout", kSyncRetryAfterS});
}

}  // namespace wrenusher::job_api::refusals
