#pragma once
// Events about the failure domains: which topology is in force, and which machines are suspected.

#include <memory>
#include <set>
#include <string>

#include "wrenusher/topology/topology.hpp"

namespace wrenusher::events {

/// This node's file was read and is whole; null: it names none.
struct TopologyLoaded {
  std::shared_ptr<const topology::Topology> topology;
};

/// What decisions are to be made by from now on: the leader's, or at other nodes this node's own where it is
/// the one in force.
struct TopologyActivated {
  std::shared_ptr<const topology::Topology> topology;  ///< null: none
  topology::TopologyVersion version;                   ///< the one in force, which a leader may lack
  bool agreed = true;  ///< false: another one is in force elsewhere, and nothing may be judged by this one
};

/// All machines that get nothing new because their domain is lost, or came back only just now.
struct MachinesSuspected {
  std::set<std::string> hosts;
};

}  // namespace wrenusher::events
