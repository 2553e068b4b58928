#pragma once
// Events about capacity: machine types, what the cloud can supply, and the demand that the provisioner meets.

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

/// The machine types, as the cloud or the key-value store last listed them. From the provisioner.
struct CatalogUpdated {
  std::shared_ptr<const protocol::Catalog> catalog;  ///< never null
};

/// What the cloud can't supply at present, and what is on its way. From the provisioner.
struct CapacityChanged {
  std::set<std::string> exhausted;  ///< machine types of which it has none left
  std::map<std::string, std::uint32_t>
      starting;  ///< by machine type: machines rented or requested, and not up yet
};

/// What the provisioner decides by. From the leader, once a scheduling cycle at most.
struct Workload {
  /// Tasks of one job that wait for a machine.
  struct Demand {
    protocol::JobSpec spec;
    std::uint32_t tasks = 0;                 ///< that wait
    std::uint32_t expected_on_existing = 0;  ///< of those: expected to be placed on a machine that there is
    time::Micros estimate{};                 ///< of the run time of a task
    time::Micros slack{};                    ///< how long it may wait for its start
    std::set<std::string> excluded_types;    ///< machine types reserved for jobs that fit nowhere else
    /// Pairs of machine type and zone where a machine could satisfy the job's layout; nothing: any.
    std::optional<std::set<std::pair<std::string, std::string>>> eligible_placements;
  };
  /// What a machine is used for.
  struct MachineLoad {
    std::string host;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    bool usable = false;            ///< new tasks may be placed on it
    std::uint32_t assignments = 0;  ///< tasks
    // Resources as cores, see placement::core_equivalents.
    protocol::Amount reserved = 0;      ///< by all tasks assigned to it
    protocol::Amount running = 0;       ///< by those that run
    protocol::Amount service_load = 0;  ///< by services, which don't end
    bool has_named_device = false;      ///< it has a named device, which no rented machine could replace
  };
  std::vector<Demand> demands;  ///< in the order in which they are scheduled
  std::vector<MachineLoad> machines;
};

}  // namespace wrenusher::events
