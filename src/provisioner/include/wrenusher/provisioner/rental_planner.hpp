#pragma once
// Decides which machines to rent for waiting tasks: a pure function of the workload and the rented machines.

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

/// Input of a rental plan. The referenced objects must stay valid during the call and, for `demands`, as long
/// as the plan is used.
struct RentalPlanInput {
  const protocol::Catalog& catalog;
  const RentedMachines::ByHost& machines;
  const RentalRequests::ByName& open_requests;
  /// Tasks that wait for a machine, in the order in which they are served.
  const std::vector<events::Workload::Demand>& demands;
  /// False shortly after a term has started, when on-demand machines that an earlier leader rented may be
  /// missing from `machines`.
  bool on_demand_allowed = true;
  /// Returns whether machines of the class cannot be rented at present.
  std::function<bool(const MachineClass&)> is_refused;
  /// Returns whether machines may be rented for the demand at present, see LayoutBackoff.
  std::function<bool(const events::Workload::Demand&)> may_rent;
};

/// Machines to rent.
struct RentalPlan {
  std::map<MachineClass, std::uint32_t> machines;  ///< counts by class, to be requested in this order
  /// Demands with a layout for which machines are rented; these point into `RentalPlanInput::demands`.
  std::vector<const events::Workload::Demand*> layouts_served;
};

/// Returns the machines to rent. Assigns each demand, in order, to free resources of starting machines and
/// then to new machines of the class with the lowest cost per task, from boot to the end of the tasks. No
/// on-demand machine is rented for tasks of a demand that allows spot machines if these tasks are expected to
/// start early enough on existing machines.
[[nodiscard]] RentalPlan plan_rentals(const RentalPlanInput& input);

}  // namespace wrenusher::provisioner
