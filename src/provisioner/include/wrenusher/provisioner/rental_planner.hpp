#pragma once
// What to rent for the work that waits: a pure function of the workload and of what is rented.

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/provisioner/machine_class.hpp"
#include "wrenusher/provisioner/rental_requests.hpp"
#include "wrenusher/provisioner/rented_machines.hpp"

namespace wrenusher::provisioner {

/// What a rental plan rests on. All of it is borrowed for the call.
struct RentalPlanInput {
  const protocol::Catalog& catalog;
  const RentedMachines::ByHost& machines;
  const RentalRequests::ByName& open_requests;
  /// In the order in which they are served.
  const std::vector<events::Workload::Demand>& demands;
  /// False shortly after a term began: on-demand machines that an earlier leader rented may not be known yet.
  bool on_demand_allowed = true;
  /// Whether machines of a class cannot be had at present.
  std::function<bool(const MachineClass&)> is_refused;
  /// Whether machines may be rented for a demand at present, see LayoutBackoff.
  std::function<bool(const events::Workload::Demand&)> may_rent;
};

/// What to rent.
struct RentalPlan {
  std::map<MachineClass, std::uint32_t> machines;  ///< to be requested, in this order
  /// Demands with a layout for which machines are rented; they point into the input.
  std::vector<const events::Workload::Demand*> layouts_served;
};

/// Covers each demand, in order, with the room of machines that are on their way and then with new machines
/// of the class that costs least for the time that the tasks hold it. On-demand machines are not rented for
/// array tasks that are expected to start soon enough on machines that there are.
[[nodiscard]] RentalPlan plan_rentals(const RentalPlanInput& input);

}  // namespace wrenusher::provisioner
