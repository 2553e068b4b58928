#pragma once
// Error responses: each names the error, the field at fault and when the caller should retry.

#include <string>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::runtime {

/// The contents of an error response. Its body is a map: `code` (stable, listed in docs/operations.md),
/// `error` (one plain sentence), `field` (the field or name at fault, if there is one) and `retry_after_s`
/// (if the caller should retry; equal to the Retry-After header).
struct ErrorResponse {
  int status = 0;
  const char* code = "";
  std::string error;
  std::string field;
  int retry_after_s = 0;  ///< 0: a retry does not help, or the caller has its own retry time
};
/// Returns the HTTP response for an error.
Response error_response(const ErrorResponse& error);

}  // namespace wrenusher::runtime
