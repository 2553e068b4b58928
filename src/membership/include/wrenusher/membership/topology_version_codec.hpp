#pragma once
// Encoding of a topology version as a field of a stored record or of a heartbeat: [version, digest].

#include "wrenusher/topology/topology.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::membership {

/// Adds the field, unless there is no topology (version 0).
void write_topology_version(value::Value::Map& out, const char* field,
                            const topology::TopologyVersion& version);
/// Returns the version; version 0 if the field is absent or malformed.
[[nodiscard]] topology::TopologyVersion read_topology_version(const value::Value& value);

}  // namespace wrenusher::membership
