#include "wrenusher/provisioner/rental_planner.hpp"

#include <algorithm>
#include <cstddef>
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

/// No on-demand machine is rented for a task that is predicted to start on an existing machine within this
/// share of the time that it may wait. That time is capped at `kMaxCountedWait`.
constexpr double kPredictedWaitShare = 0.4;
constexpr Micros kMaxCountedWait = from_seconds(90);

/// Machines of one class that are rented or requested, have not reported yet and have the same free
/// resources. A plan may ask for more machines than memory could list one by one, but only for a few kinds of
/// them.
struct StartingMachines {
  MachineClass machine_class;
  Resources free;                                            ///< of each machine
  std::uint32_t task_slots = protocol::kMaxTasksPerMachine;  ///< of each machine
  std::uint32_t count = 1;

  /// Places `tasks` tasks on each of the machines.
  void reserve(const Resources& task, std::uint32_t tasks) {
    free -= task * tasks;
    task_slots -= tasks;
  }
};

/// Cores of the existing, starting and requested machines of a type, and the work that waits for these.
struct TypeBacklog {
  double cores = 0;         ///< without those used by services
  double core_seconds = 0;  ///< waiting work of the demands processed so far
};

/// A machine class to rent, and the number of tasks of the demand that fit on one machine.
struct Offer {
  MachineClass machine_class;
  std::uint32_t tasks = 0;
};

/// State of one call of `plan_rentals`. Single-threaded.
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
  void add_starting(const StartingMachines& machines);
  void collect_backlogs();
  void add_cores(const std::string& machine_type, std::uint32_t machines);
  bool can_run_on(const Workload::Demand& demand, const std::string& machine_type) const;
  TypeBacklog combined_backlog(const Workload::Demand& demand) const;
  double add_to_backlogs(const Workload::Demand& demand, double total_cores);
  std::uint32_t tasks_startable_in_time(const Workload::Demand& demand);
  std::uint32_t place_on_starting_machines(const Workload::Demand& demand);
  std::uint32_t place_on(std::size_t group, const Resources& task, std::uint32_t wanted);
  void split(std::size_t group, std::uint32_t count);
  std::uint32_t most_tasks_per_machine(const Workload::Demand& demand) const;
  std::optional<Offer> cheapest_offer(const Workload::Demand& demand, std::uint32_t unserved,
                                      bool may_use_on_demand) const;
  bool may_offer(const Workload::Demand& demand, const MachineClass& machine_class,
                 bool may_use_on_demand) const;
  void rent(const Workload::Demand& demand, const Offer& offer, std::uint32_t machines);
  void serve(const Workload::Demand& demand);

  const RentalPlanInput& input_;
  std::vector<StartingMachines> starting_;
  std::map<std::string, TypeBacklog> backlogs_;  ///< by machine type
  RentalPlan plan_;
};

/// Returns whether a machine of the class may satisfy the demand's layout; true for a demand without one.
bool fits_layout(const Workload::Demand& demand, const MachineClass& machine_class) {
  return !demand.eligible_placements ||
         demand.eligible_placements->contains({machine_class.machine_type, machine_class.zone});
}

void RentalPlanner::collect_starting_machines() {
  const auto add = [this](const MachineClass& machine_class, std::uint32_t count) {
    const MachineType* machine_type = find_type(machine_class.machine_type);
    if (machine_type == nullptr) return;
    add_starting({.machine_class = machine_class, .free = machine_type->capacity, .count = count});
  };
  for (const auto& [host, machine] : input_.machines) {
    if (!machine.up && !machine.returning) add(machine.machine_class, 1);
  }
  for (const auto& [name, request] : input_.open_requests) add(request.machine_class, request.count);
}

void RentalPlanner::add_starting(const StartingMachines& machines) {
  if (machines.count > 0) starting_.push_back(machines);
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
  if (const MachineType* catalog_entry = find_type(machine_type); catalog_entry != nullptr)
    backlogs_[machine_type].cores += machines * from_amount(catalog_entry->capacity.cores);
}

bool RentalPlanner::can_run_on(const Workload::Demand& demand, const std::string& machine_type) const {
  return !demand.excluded_types.contains(machine_type) &&
         placement::fits_machine_type(demand.spec, input_.catalog.at(machine_type));
}

/// Returns the cores of all machine types that the demand can run on, and the core seconds of the
/// demands processed so far, which wait for these cores.
TypeBacklog RentalPlanner::combined_backlog(const Workload::Demand& demand) const {
  TypeBacklog combined;
  for (const auto& [machine_type, backlog] : backlogs_) {
    if (!can_run_on(demand, machine_type)) continue;
    combined.cores += backlog.cores;
    combined.core_seconds += backlog.core_seconds;
  }
  return combined;
}

/// Distributes the demand over the machine types that it can run on, in proportion to their share of
/// `total_cores`. Returns the core seconds of one task. For a service, which occupies its cores permanently,
/// reduces the cores of the types instead and returns 0.
double RentalPlanner::add_to_backlogs(const Workload::Demand& demand, double total_cores) {
  double core_seconds_per_task = 0;
  for (auto& [machine_type, backlog] : backlogs_) {
    if (!can_run_on(demand, machine_type) || total_cores <= 0) continue;
    const double task_cores =
        from_amount(placement::task_core_equivalents(demand.spec.resources, input_.catalog.at(machine_type)));
    if (demand.spec.type == protocol::JobType::service) {
      backlog.cores = std::max(0.0, backlog.cores - demand.tasks * task_cores * backlog.cores / total_cores);
      continue;
    }
    const double core_seconds = task_cores * to_seconds(demand.estimate) * backlog.cores / total_cores;
    core_seconds_per_task += core_seconds;
    backlog.core_seconds += demand.tasks * core_seconds;
  }
  return core_seconds_per_task;
}

/// Returns how many of the tasks are expected to start in time on the machines counted in the backlogs, as
/// earlier tasks end there. For array jobs this is predicted from the backlogs; for all jobs it is at least
/// `expected_on_existing`. Adds the demand to the backlogs.
std::uint32_t RentalPlanner::tasks_startable_in_time(const Workload::Demand& demand) {
  const TypeBacklog backlog_ahead = combined_backlog(demand);
  const double core_seconds_per_task = add_to_backlogs(demand, backlog_ahead.cores);
  std::uint32_t tasks = 0;
  if (demand.spec.type == protocol::JobType::array && core_seconds_per_task > 0) {
    const double wait_seconds = to_seconds(std::min(demand.slack, kMaxCountedWait)) * kPredictedWaitShare;
    tasks = static_cast<std::uint32_t>(
        std::clamp((backlog_ahead.cores * wait_seconds - backlog_ahead.core_seconds) / core_seconds_per_task,
                   0.0, static_cast<double>(demand.tasks)));
  }
  return std::max(tasks, demand.expected_on_existing);
}

/// Assigns tasks of the demand to the free resources of starting machines. Returns how many tasks do not fit.
std::uint32_t RentalPlanner::place_on_starting_machines(const Workload::Demand& demand) {
  std::uint32_t unserved = demand.tasks;
  for (std::size_t group = 0; group < starting_.size() && unserved > 0; ++group) {
    const MachineClass& machine_class = starting_[group].machine_class;
    if (!demand.spec.allows(machine_class.machine_type, machine_class.zone, machine_class.spot) ||
        demand.excluded_types.contains(machine_class.machine_type) || !fits_layout(demand, machine_class))
      continue;
    unserved -= place_on(group, demand.spec.resources, unserved);
  }
  return unserved;
}

/// Places up to `wanted` tasks on the machines of a group, on each machine in turn as many as fit. If not all
/// machines get the same number of tasks, the group is split. Returns how many tasks were placed.
std::uint32_t RentalPlanner::place_on(std::size_t group, const Resources& task, std::uint32_t wanted) {
  const std::uint32_t tasks_each =
      placement::count_fitting(task, starting_[group].free, starting_[group].task_slots);
  if (tasks_each == 0) return 0;
  const std::uint32_t filled = std::min(starting_[group].count, wanted / tasks_each);
  const std::uint32_t on_next = filled < starting_[group].count ? wanted % tasks_each : 0;
  if (filled > 0) {
    split(group, filled);
    starting_[group].reserve(task, tasks_each);
    ++group;
  }
  if (on_next > 0) {
    split(group, 1);
    starting_[group].reserve(task, on_next);
  }
  return filled * tasks_each + on_next;
}

/// Reduces the group to `count` machines; the others form a new group after it.
void RentalPlanner::split(std::size_t group, std::uint32_t count) {
  StartingMachines others = starting_[group];
  if (others.count == count) return;
  others.count -= count;
  starting_[group].count = count;
  starting_.insert(starting_.begin() + static_cast<std::ptrdiff_t>(group) + 1, others);
}

bool RentalPlanner::may_offer(const Workload::Demand& demand, const MachineClass& machine_class,
                              bool may_use_on_demand) const {
  return demand.spec.allows(machine_class.machine_type, machine_class.zone, machine_class.spot) &&
         fits_layout(demand, machine_class) && !input_.is_refused(machine_class) &&
         (machine_class.spot || may_use_on_demand);
}

/// Returns the machine class with the lowest cost per task, or nullopt if none may be rented. Ties are
/// resolved by type, then zone, then spot before on-demand.
std::optional<Offer> RentalPlanner::cheapest_offer(const Workload::Demand& demand, std::uint32_t unserved,
                                                   bool may_use_on_demand) const {
  std::optional<Offer> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [name, machine_type] : input_.catalog) {
    const std::uint32_t tasks = protocol::max_tasks_on(demand.spec.resources, machine_type, unserved);
    if (tasks == 0 || demand.excluded_types.contains(name)) continue;
    // A machine is charged from the start of its boot to the end of its tasks.
    const double run_seconds = to_seconds(demand.estimate);
    const double paid_seconds =
        to_seconds(machine_type.boot_time) + demand.spec.image_gb / machine_type.fetch_gb_per_s + run_seconds;
    for (const std::string& zone : machine_type.zones) {
      for (const bool spot : {true, false}) {
        const MachineClass machine_class{name, zone, spot};
        if (!may_offer(demand, machine_class, may_use_on_demand)) continue;
        const double cost = (spot ? machine_type.spot_price : machine_type.price) * paid_seconds / tasks;
        if (cost < best_cost) {
          best_cost = cost;
          best = Offer{machine_class, tasks};
        }
      }
    }
  }
  return best;
}

/// Returns an upper bound of the tasks of the demand that one machine can get. While more tasks than this are
/// unserved, the offers do not depend on how many there are.
std::uint32_t RentalPlanner::most_tasks_per_machine(const Workload::Demand& demand) const {
  std::uint32_t most = 1;
  for (const auto& [name, machine_type] : input_.catalog)
    most = std::max(most, protocol::max_tasks_on(demand.spec.resources, machine_type, demand.tasks));
  return most;
}

void RentalPlanner::rent(const Workload::Demand& demand, const Offer& offer, std::uint32_t machines) {
  plan_.machines[offer.machine_class] += machines;
  add_cores(offer.machine_class.machine_type, machines);
  StartingMachines rented{
      .machine_class = offer.machine_class,
      .free = input_.catalog.at(offer.machine_class.machine_type).capacity,
      .count = machines,
  };
  rented.reserve(demand.spec.resources, offer.tasks);
  add_starting(rented);
}

void RentalPlanner::serve(const Workload::Demand& demand) {
  const std::uint32_t startable_in_time = tasks_startable_in_time(demand);
  std::uint32_t unserved = place_on_starting_machines(demand);
  if (unserved == 0 || !input_.may_rent(demand)) return;
  const std::uint32_t unserved_before = unserved;
  const std::uint32_t most_per_machine = most_tasks_per_machine(demand);
  while (unserved > 0) {
    // For a demand that allows spot machines, the tasks that are expected to start in time on existing
    // machines get no on-demand machine.
    const bool beyond_startable = unserved > startable_in_time;
    const bool may_use_on_demand =
        input_.on_demand_allowed && (!demand.spec.spot_allowed || beyond_startable);
    const std::optional<Offer> offer = cheapest_offer(demand, unserved, may_use_on_demand);
    if (!offer) break;
    // The offer remains the cheapest while at least this many tasks are unserved.
    const std::uint32_t same_offer_from =
        std::max(most_per_machine, beyond_startable ? startable_in_time + 1 : 0);
    const std::uint32_t machines =
        unserved < same_offer_from ? 1 : (unserved - same_offer_from) / offer->tasks + 1;
    rent(demand, *offer, machines);
    unserved -= std::min(unserved, machines * offer->tasks);
  }
  if (unserved < unserved_before && demand.eligible_placements) plan_.layouts_served.push_back(&demand);
}

}  // namespace

RentalPlan plan_rentals(const RentalPlanInput& input) {
  return RentalPlanner(input).run();
}

}  // namespace wrenusher::provisioner
