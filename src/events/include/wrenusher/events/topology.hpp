#pragma once
// Events about failure domains: the topology in force, and the suspected machines.

#include <memory>
#include <set>
#include <string>

#include "wrenusher/topology/topology.hpp"

namespace wrenusher::events {

/// This node has read its topology file, and the file is valid. Sent by the topology loader.
struct TopologyLoaded {
  std::shared_ptr<const topology::Topology> topology;  ///< null: the settings name no file
};

/// The topology to use from now on. It is always the one that this node has loaded. A node that does not lead
/// uses it only if it has the same version as the leader's. Sent by leadership.
struct TopologyActivated {
  std::shared_ptr<const topology::Topology> topology;  ///< null: none
  topology::TopologyVersion version;  ///< the version in force; a leader may not have loaded it
  bool agreed = true;  ///< false: another version is in force, and no decision may use this topology
};

/// All machines that get no new tasks because their failure domain is lost or has recovered only recently.
/// Sent by the worker gateway whenever the set changes.
struct MachinesSuspected {
  std::set<std::string> hosts;
};

}  // namespace wrenusher::events
