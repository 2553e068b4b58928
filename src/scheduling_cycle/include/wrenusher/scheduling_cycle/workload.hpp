#pragma once
// The demand and the load of machines, as the provisioner gets them.

#include <memory>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/placement/placement_index.hpp"
#include "wrenusher/scheduling_cycle/index_updater.hpp"

namespace wrenusher::scheduling_cycle {

/// The plan's shortages and the load of every machine. The machine types must be known.
std::shared_ptr<const events::Workload> make_workload(const placement::Plan& plan,
                                                      const IndexUpdater& updater,
                                                      const MachineInventory& machines, WallTime now);

}  // namespace wrenusher::scheduling_cycle
