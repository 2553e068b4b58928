#include "wrenusher/runtime/error_response.hpp"

#include "wrenusher/value/value.hpp"

namespace wrenusher::runtime {

Response error_response(const ErrorResponse& refusal) {
  value::Value::Map body{{"code", refusal.code}, {"error", refusal.error}};
  if (!refusal.field.empty()) body.emplace_back("field", refusal.field);
  if (refusal.retry_after_s > 0) body.emplace_back("retry_after_s", refusal.retry_after_s);
  return {refusal.status, value::encode(std::move(body)), refusal.retry_after_s};
}

}  // namespace wrenusher::runtime
