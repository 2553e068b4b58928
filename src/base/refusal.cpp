#include "wrenusher/base/refusal.hpp"

#include "wrenusher/base/value.hpp"

namespace wrenusher::base {

Response refuse(const Refusal& r) {
  Value::Map body{{"code", r.code}, {"error", r.error}};
  if (!r.field.empty()) body.emplace_back("field", r.field);
  if (r.retry_after_s > 0) body.emplace_back("retry_after_s", r.retry_after_s);
  return {r.status, encode(std::move(body)), r.retry_after_s};
}

}  // namespace wrenusher::base
