#include "wrenusher/provisioner/rental_planner.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <string>

#include "wrenusher/placement/placement.hpp"

namespace wrenusher::provisioner {

using events::Workload;
using protocol::from_amount;
using protocol::MachineType;
using protocol::Resources;
using time::from_seconds;
using time::Micros;
using time::to_seconds;

namespace {

/// No on-demand machine is rented for a task that is predicted to start within this part of the time that it
/// may wait, of which no more than `kMaxWait` counts.
constexpr double kPredictedWaitShare = 0.4;
constexpr Micros kMaxWait = from_seconds(90);

/// Room on a machine that is on its way.
struct StartingMachine {
  MachineClass machine_class;
  Resources free;
};

/// The machines of a type, here or on their way, against the work that waits for them.
struct TypeBacklog {
  double cores = 0;         ///< less what services keep
  double core_seconds = 0;  ///< of the demands looked at so far
};

/// A machine to rent, and how many tasks of the demand it takes.
struct Offer {
  MachineClass machine_class;
  std::uint32_t tasks = 0;
};

/// One run of `plan_rentals`. Single-threaded; lives for that call only.
class RentalPlanner {
 public:
  explicit RentalPlanner(const RentalPlanInput& input) : input_(input) {
    collect_starting_machines();
    collect_backlogs();
  }

  RentalPlan run() {
    for (const Workload::Demand& demand : input_.demands) serve(demand);
    return std::move(plan_);
  }

 private:
  const MachineType* find_type(const std::string& machine_type) const {
    const auto it = input_.catalog.find(machine_type);
    return it == input_.catalog.end() ? nullptr : &it->second;
  }

  void collect_starting_machines();
  void collect_backlogs();
  void add_cores(const std::string& machine_type, std::uint32_t machines);
  bool can_run_on(const Workload::Demand& demand, const std::string& machine_type) const;
  TypeBacklog combined_backlog(const Workload::Demand& demand) const;
  double add_to_backlogs(const Workload::Demand& demand, double cores);
  std::uint32_t tasks_startable_in_time(const Workload::Demand& demand);
  std::uint32_t place_on_starting_machines(const Workload::Demand& demand);
  std::optional<Offer> cheapest_offer(const Workload::Demand& demand, std::uint32_t unserved,
                                      bool may_use_on_demand) const;
  bool may_offer(const Workload::Demand& demand, const MachineClass& machine_class,
                 bool may_use_on_demand) const;
  void rent(const Workload::Demand& demand, const Offer& offer);
  void serve(const Workload::Demand& demand);

  const RentalPlanInput& input_;
  std::vector<StartingMachine> starting_;
  std::map<std::string, TypeBacklog> backlogs_;  ///< by machine type
  RentalPlan plan_;
};

/// Whether a machine of the class could serve the demand's layout, as far as is known.
bool fits_layout(const Workload::Demand& demand, const MachineClass& machine_class) {
  return !demand.eligible_placements ||
         demand.eligible_placements->contains({machine_class.machine_type, machine_class.zone});
}

void RentalPlanner::collect_starting_machines() {
  const auto add = [this](const MachineClass& machine_class, std::uint32_t count) {
    const MachineType* machine_type = find_type(machine_class.machine_type);
    if (machine_type == nullptr) return;
    for (std::uint32_t i = 0; i < count; ++i) starting_.push_back({machine_class, machine_type->capacity});
  };
  for (const auto& [host, machine] : input_.machines) {
    if (!machine.up && !machine.returning) add(machine.machine_class, 1);
  }
  for (const auto& [name, request] : input_.open_requests) add(request.machine_class, request.count);
}

void RentalPlanner::collect_backlogs() {
  for (const auto& [host, machine] : input_.machines) {
    if (machine.returning || machine.draining) continue;
    add_cores(machine.machine_class.machine_type, 1);
    if (const auto it = backlogs_.find(machine.machine_class.machine_type); it != backlogs_.end())
      it->second.cores -= from_amount(machine.service_load);
  }
  for (const auto& [name, request] : input_.open_requests)
    add_cores(request.machine_class.machine_type, request.count);
}

void RentalPlanner::add_cores(const std::string& machine_type, std::uint32_t machines) {
  if (const MachineType* found = find_type(machine_type); found != nullptr)
    backlogs_[machine_type].cores += machines * from_amount(found->capacity.cores);
}

bool RentalPlanner::can_run_on(const Workload::Demand& demand, const std::string& machine_type) const {
  return !demand.excluded_types.contains(machine_type) &&
         placement::fits_machine_type(demand.spec, input_.catalog.at(machine_type));
}

/// Of all types that the demand can run on.
TypeBacklog RentalPlanner::combined_backlog(const Workload::Demand& demand) const {
  TypeBacklog sum;
  for (const auto& [machine_type, backlog] : backlogs_) {
    if (!can_run_on(demand, machine_type)) continue;
    sum.cores += backlog.cores;
    sum.core_seconds += backlog.core_seconds;
  }
  return sum;
}

/// Spreads the demand over the types that it can run on, in proportion to their `cores` of the total. Returns
/// the core seconds of one task; 0 for a service, which takes its cores away for good.
double RentalPlanner::add_to_backlogs(const Workload::Demand& demand, double cores) {
  double per_task = 0;
  for (auto& [machine_type, backlog] : backlogs_) {
    if (!can_run_on(demand, machine_type) || cores <= 0) continue;
    const double task_cores =
        from_amount(placement::core_equivalents(demand.spec.resources, input_.catalog.at(machine_type)));
    if (demand.spec.type == protocol::JobType::service) {
      backlog.cores = std::max(0.0, backlog.cores - demand.tasks * task_cores * backlog.cores / cores);
      continue;
    }
    const double work = task_cores * to_seconds(demand.estimate) * backlog.cores / cores;
    per_task += work;
    backlog.core_seconds += demand.tasks * work;
  }
  return per_task;
}

/// How many of the tasks can wait for machines that there are: what ends on those makes room in time. Enters
/// the demand into the backlogs.
std::uint32_t RentalPlanner::tasks_startable_in_time(const Workload::Demand& demand) {
  const TypeBacklog ahead = combined_backlog(demand);
  const double per_task = add_to_backlogs(demand, ahead.cores);
  std::uint32_t tasks = 0;
  if (demand.spec.type == protocol::JobType::array && per_task > 0) {
    const double wait = to_seconds(std::min(demand.slack, kMaxWait)) * kPredictedWaitShare;
    tasks = static_cast<std::uint32_t>(std::clamp((ahead.cores * wait - ahead.core_seconds) / per_task, 0.0,
                                                  static_cast<double>(demand.tasks)));
  }
  return std::max(tasks, demand.expected_on_existing);
}

/// Returns how many of the tasks find no room on machines that are on their way.
std::uint32_t RentalPlanner::place_on_starting_machines(const Workload::Demand& demand) {
  std::uint32_t unserved = demand.tasks;
  for (StartingMachine& machine : starting_) {
    if (unserved == 0) break;
    const MachineClass& machine_class = machine.machine_class;
    if (!demand.spec.allows(machine_class.machine_type, machine_class.zone, machine_class.spot) ||
        demand.excluded_types.contains(machine_class.machine_type) || !fits_layout(demand, machine_class))
      continue;
    const std::uint32_t tasks = placement::count_fitting(demand.spec.resources, machine.free, unserved);
    machine.free -= demand.spec.resources * tasks;
    unserved -= tasks;
  }
  return unserved;
}

bool RentalPlanner::may_offer(const Workload::Demand& demand, const MachineClass& machine_class,
                              bool may_use_on_demand) const {
  return demand.spec.allows(machine_class.machine_type, machine_class.zone, machine_class.spot) &&
         fits_layout(demand, machine_class) && !input_.is_refused(machine_class) &&
         (machine_class.spot || may_use_on_demand);
}

/// The class of machines that costs least for each task; of equals the first by type and zone, spot first.
std::optional<Offer> RentalPlanner::cheapest_offer(const Workload::Demand& demand, std::uint32_t unserved,
                                                   bool may_use_on_demand) const {
  std::optional<Offer> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [name, machine_type] : input_.catalog) {
    const std::uint32_t tasks =
        placement::count_fitting(demand.spec.resources, machine_type.capacity, unserved);
    if (tasks == 0 || demand.excluded_types.contains(name)) continue;
    // A machine is paid from its boot to the end of the tasks.
    const double run = to_seconds(demand.estimate);
    const double paid =
        to_seconds(machine_type.boot_time) + demand.spec.image_gb / machine_type.fetch_gb_per_s + run;
    for (const std::string& zone : machine_type.zones) {
      for (const bool spot : {true, false}) {
        const MachineClass machine_class{name, zone, spot};
        if (!may_offer(demand, machine_class, may_use_on_demand)) continue;
        const double cost = (spot ? machine_type.spot_price : machine_type.price) * paid / tasks;
        if (cost < best_cost) {
          best_cost = cost;
          best = Offer{machine_class, tasks};
        }
      }
    }
  }
  return best;
}

void RentalPlanner::rent(const Workload::Demand& demand, const Offer& offer) {
  ++plan_.machines[offer.machine_class];
  add_cores(offer.machine_class.machine_type, 1);
  StartingMachine machine{offer.machine_class, input_.catalog.at(offer.machine_class.machine_type).capacity};
  machine.free -= demand.spec.resources * offer.tasks;
  starting_.push_back(std::move(machine));
}

void RentalPlanner::serve(const Workload::Demand& demand) {
  const std::uint32_t in_time = tasks_startable_in_time(demand);
  std::uint32_t unserved = place_on_starting_machines(demand);
  if (unserved == 0 || !input_.may_rent(demand)) return;
  const std::uint32_t unserved_before = unserved;
  while (unserved > 0) {
    // The last tasks of a demand that accepts spot machines can wait where they start in time anyway.
    const bool may_use_on_demand =
        input_.on_demand_allowed && (!demand.spec.spot_allowed || unserved > in_time);
    const std::optional<Offer> offer = cheapest_offer(demand, unserved, may_use_on_demand);
    if (!offer) break;
    rent(demand, *offer);
    unserved -= std::min(unserved, offer->tasks);
  }
  if (unserved < unserved_before && demand.eligible_placements) plan_.layouts_served.push_back(&demand);
}

}  // namespace

RentalPlan plan_rentals(const RentalPlanInput& input) {
  return RentalPlanner(input).run();
}

}  // namespace wrenusher::provisioner
