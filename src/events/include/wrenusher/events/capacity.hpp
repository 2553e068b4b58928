#pragma once
// Events about capacity: the machine types, the available capacity of the cloud, and the demand for machines.

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

/// The machine types as last listed by the cloud or read from the state service. Sent by the provisioner.
struct CatalogUpdated {
  std::shared_ptr<const protocol::Catalog> catalog;  ///< never null
};

/// The machine types that the cloud cannot supply at present, and the machines that are starting. Sent by the
/// provisioner.
struct CapacityChanged {
  std::set<std::string> exhausted;  ///< machine types that the cloud has run out of
  std::map<std::string, std::uint32_t>
      starting;  ///< number of machines rented or requested but not up yet, by machine type
};

/// The demand and the machine load from which the provisioner decides what to rent and return. Sent by the
/// leader, at most once per scheduling cycle.
struct Workload {
  /// The tasks of one job that wait for a machine.
  struct Demand {
    protocol::JobSpec spec;
    std::uint32_t tasks = 0;  ///< number of waiting tasks
    std::uint32_t expected_on_existing =
        0;                                 ///< waiting tasks expected to fit on machines that are already up
    time::Micros estimate{};               ///< estimated run time of a task
    time::Micros slack{};                  ///< how long the job may wait for its start
    std::set<std::string> excluded_types;  ///< machine types reserved for jobs that fit on no other type
    /// Pairs of machine type and zone in which a new machine could satisfy the job's layout; nullopt: all.
    std::optional<std::set<std::pair<std::string, std::string>>> eligible_placements;
  };
  /// How much of a machine is in use.
  struct MachineLoad {
    std::string host;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    bool usable = false;            ///< whether new tasks may be placed on it
    std::uint32_t assignments = 0;  ///< number of assigned tasks
    // Resources are in core equivalents, see placement::core_equivalents.
    protocol::Amount reserved = 0;      ///< by all assigned tasks
    protocol::Amount running = 0;       ///< by running tasks
    protocol::Amount service_load = 0;  ///< by replicas of services, which do not end
    bool has_named_device = false;  ///< whether it has a named device, which no rented machine could replace
  };
  std::vector<Demand> demands;  ///< in scheduling order
  std::vector<MachineLoad> machines;
};

}  // namespace wrenusher::events
