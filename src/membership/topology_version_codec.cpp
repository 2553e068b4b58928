#include "wrenusher/membership/topology_version_codec.hpp"

namespace wrenusher::membership {

using value::Value;

void write_topology_version(Value::Map& out, const char* field, const topology::TopologyVersion& version) {
  if (version.version > 0) out.emplace_back(field, Value::List{version.version, version.digest});
}

topology::TopologyVersion read_topology_version(const Value& value) {
  const Value::List* list = value.list();
  if (list == nullptr || list->size() != 2) return {};
  return {(*list)[0].count().value_or(0), (*list)[1].count().value_or(0)};
}

}  // namespace wrenusher::membership
