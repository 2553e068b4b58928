#pragma once
// Events about the failure domains: which topology is in force, and which machines are suspected.

#include <memory>
#include <set>
#include <string>

#include "wrenusher/topology/topology.hpp"

namespace wrenusher::events {

/// This node's topology file was read and is valid. From the topology loader.
struct TopologyLoaded {
  std::shared_ptr<const topology::Topology> topology;  ///< null: the settings name no file
};

/// The topology by which to decide from now on: the leader's own; on other nodes this node's own, if it is
/// the same version. From leadership.
struct TopologyActivated {
  std::shared_ptr<const topology::Topology> topology;  ///< null: none
  topology::TopologyVersion version;  ///< the version in force, which a leader may not have loaded
  bool agreed = true;  ///< false: another version is in force, and nothing may be decided by this one
};

/// All machines that get no new tasks because their failure domain is lost, or is heard again only since
/// recently. From the worker gateway, whenever the set changes.
struct MachinesSuspected {
  std::set<std::string> hosts;
};

}  // namespace wrenusher::events
