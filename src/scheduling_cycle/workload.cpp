#include "wrenusher/scheduling_cycle/workload.hpp"

#include <utility>

#include "wrenusher/scheduling_cycle/layouts.hpp"

namespace wrenusher::scheduling_cycle {

using events::Workload;

namespace {

Workload::Demand make_demand(const placement::Shortage& shortage, const IndexUpdater& updater,
                             const protocol::Catalog& catalog, WallTime now) {
  const auto slot = static_cast<IndexUpdater::Slot>(shortage.job);
  const placement::PlanJob& job = updater.index().job(slot);
  return {*job.spec,
          shortage.tasks,
          shortage.expected_soon,
          job.estimate,
          updater.index().deadline_slack(slot, now).remaining,
          job.unrentable_types,
          eligible_placements(job, updater.topology(), catalog)};
}

Workload::MachineLoad make_load(const Machine& machine, const protocol::MachineType* machine_type) {
  Workload::MachineLoad load{machine.name,
                             machine.machine_type,
                             machine.zone,
                             machine.spot,
                             machine.usable(),
                             machine.use.assignments,
                             0,
                             0,
                             0};
  load.has_named_device = !machine.location.devices.empty();
  if (machine_type != nullptr) {
    load.reserved = placement::core_equivalents(machine.use.reserved, *machine_type);
    load.running = placement::core_equivalents(machine.use.running, *machine_type);
    load.service_load = placement::core_equivalents(machine.use.service_load, *machine_type);
  }
  return load;
}

}  // namespace

std::shared_ptr<const Workload> make_workload(const placement::Plan& plan, const IndexUpdater& updater,
                                              const MachineInventory& machines, WallTime now) {
  auto workload = std::make_shared<Workload>();
  for (const placement::Shortage& shortage : plan.shortages)
    workload->demands.push_back(make_demand(shortage, updater, *machines.catalog(), now));
  workload->machines.reserve(machines.all().size());
  for (const auto& [host, machine] : machines.all())
    workload->machines.push_back(make_load(machine, machines.type_of(machine)));
  return workload;
}

}  // namespace wrenusher::scheduling_cycle
