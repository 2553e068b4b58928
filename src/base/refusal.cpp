#include "wrenusher/base/refusal.hpp"

#include "wrenusher/base/value.hpp"

namespace wrenusher::base {

Response error_response(const ErrorResponse& refusal) {
  Value::Map body{{"code", refusal.code}, {"error", refusal.error}};
  if (!refusal.field.empty()) body.emplace_back("field", refusal.field);
  if (refusal.retry_after_s > 0) body.emplace_back("retry_after_s", refusal.retry_after_s);
  return {refusal.status, encode(std::move(body)), refusal.retry_after_s};
}

}  // namespace wrenusher::base
