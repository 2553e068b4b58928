#pragma once
// Events about capacity: machine types, what the cloud can give, and the demand that the provisioner answers.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::events {

/// The machine types, as the cloud or the state service last gave them.
struct CatalogUpdated {
  std::shared_ptr<const protocol::Catalog> catalog;
};

/// Machine types of which the cloud has none to give at present.
struct CapacityChanged {
  std::set<std::string> exhausted;
  std::map<std::string, std::uint32_t> starting;  ///< machines rented that are not up yet
};

/// What the provisioner needs to know, once a round at most.
struct Workload {
  struct Demand {
    protocol::JobSpec spec;
    std::uint32_t tasks = 0;
    std::uint32_t expected_soon = 0;  ///< of them have a place in view
    time::Micros estimate{};
    time::Micros slack{};                  ///< how long it may wait for its start
    std::set<std::string> excluded_types;  ///< types booked for jobs that fit nowhere else
    /// Types and zones in which a machine could serve its layout; nothing: any.
    std::optional<std::set<std::pair<std::string, std::string>>> eligible_placements;
  };
  struct MachineLoad {
    std::string host;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    bool usable = false;
    std::uint32_t assignments = 0;
    // As cores, see placement::in_cores.
    protocol::Amount reserved = 0;      ///< of its claims
    protocol::Amount running = 0;       ///< of those that run
    protocol::Amount service_load = 0;  ///< of those that do not end
    bool has_named_device = false;      ///< a named device: no rented machine would bring another
  };
  std::vector<Demand> demands;  ///< in the order of service
  std::vector<MachineLoad> machines;
};

}  // namespace wrenusher::events
