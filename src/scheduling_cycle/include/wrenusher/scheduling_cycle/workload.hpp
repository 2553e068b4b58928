#pragma once
// Builds the workload event for the provisioner: the unmet demand and the load of the machines.

#include <memory>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/placement/placement_index.hpp"
#include "wrenusher/scheduling_cycle/index_updater.hpp"

namespace wrenusher::scheduling_cycle {

/// Returns the plan's shortages and the load of every machine. The inventory must have a machine type
/// catalog.
std::shared_ptr<const events::Workload> make_workload(const placement::Plan& plan,
                                                      const IndexUpdater& updater,
                                                      const MachineInventory& machines, WallTime now);

}  // namespace wrenusher::scheduling_cycle
