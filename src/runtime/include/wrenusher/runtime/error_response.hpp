#pragma once
// The answers that refuse: each tells which rule, which field, in one sentence, and when to come back.

#include <string>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::runtime {

/// The body of a refusal is a map: `code` (stable, listed in docs/operations.md), `error` (one plain
/// sentence), `field` (the field or name at fault, where there is one) and `retry_after_s` (where it is to be
/// asked again; the header says the same).
struct ErrorResponse {
  int status = 0;
  const char* code = "";
  std::string error;
  std::string field;
  int retry_after_s = 0;  ///< 0: asking again does not help, or the caller knows when
};
Response error_response(const ErrorResponse& refusal);

}  // namespace wrenusher::runtime
