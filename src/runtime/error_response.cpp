#include "wrenusher/runtime/error_response.hpp"

#include "wrenusher/value/value.hpp"

namespace wrenusher::runtime {

Response error_response(const ErrorResponse& error) {
  value::Value::Map body{{"code", error.code}, {"error", error.error}};
  if (!error.field.empty()) body.emplace_back("field", error.field);
  if (error.retry_after_s > 0) body.emplace_back("retry_after_s", error.retry_after_s);
  return {error.status, value::encode(std::move(body)), error.retry_after_s};
}

}  // namespace wrenusher::runtime
