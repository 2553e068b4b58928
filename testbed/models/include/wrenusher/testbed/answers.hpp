#pragma once
// Helper functions for the request handlers of the models.

#include <string>

#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::testbed {

inline runtime::Response reply(int status, const value::Value& body) {
  return {status, value::encode(body), 0};
}

inline runtime::Response malformed(const std::string& error) {
  return reply(400, value::Value::Map{{"error", error}});
}

/// Returns the value of a parameter in the query string of a request target; empty if it is absent.
inline std::string query(const std::string& target, const std::string& name) {
  for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
    if (target.compare(at + 1, name.size() + 1, name + "=") != 0) continue;
    const auto begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  return {};
}

}  // namespace wrenusher::testbed
