// Reservation of machines for a gang that is at risk, or for the first task of an overdue job.

#include <algorithm>

#include "wrenusher/placement/placement_index.hpp"

namespace wrenusher::placement {

/// Finds the machines on which all tasks of a job fit at the earliest time. Lives for one job of one plan.
class PlacementIndex::ReservationPlanner {
 public:
  ReservationPlanner(PlacementIndex& index, Slot slot, std::uint32_t tasks, Micros horizon)
      : index_(index), slot_(slot), job_(index.jobs_[slot].job), tasks_(tasks), horizon_(horizon) {}

  /// Returns the machine of each task; empty if not all tasks fit within the horizon.
  std::vector<Slot> run();

 private:
  /// Room for one task, and when it is available.
  struct Fit {
    Micros available_in{};
    Slot machine = 0;
  };
  /// Key of a group of machines that the tasks may share.
  struct GroupKey {
    std::string zone;
    topology::DomainId domain = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const GroupKey&) const = default;
  };

  bool is_eligible(const MachineEntry& entry) const;
  GroupKey group_of(const PlanMachine& machine) const;
  void collect_fits(Slot machine, std::vector<Fit>& fits) const;
  std::vector<Fit> choose_earliest(std::vector<Fit>& fits) const;

  PlacementIndex& index_;
  Slot slot_;
  const PlanJob& job_;
  std::uint32_t tasks_;
  Micros horizon_;
};

bool PlacementIndex::ReservationPlanner::is_eligible(const MachineEntry& entry) const {
  if (!entry.present || !index_.admits(slot_, entry.machine_class) ||
      !fetch_delay_imposed(entry.machine, *job_.spec))
    return false;
  return !job_.layout || layout_allowance(*job_.layout, entry.machine, job_.spec->task_count, false) > 0;
}

PlacementIndex::ReservationPlanner::GroupKey PlacementIndex::ReservationPlanner::group_of(
    const PlanMachine& machine) const {
  const bool colocated = job_.layout && job_.layout->colocation >= 0 && job_.layout->colocation_required;
  return {job_.spec->single_zone ? machine.zone : "",
          colocated ? machine.domain(job_.layout->colocation) : topology::DomainId{0}};
}

/// Collects room on the machine that is free now or becomes free as tasks end within the horizon.
void PlacementIndex::ReservationPlanner::collect_fits(Slot machine, std::vector<Fit>& fits) const {
  struct Ending {
    Micros free_in{};
    std::size_t index = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const Ending&) const = default;
  };
  const MachineEntry& entry = index_.machines_[machine];
  const JobSpec& spec = *job_.spec;
  const Micros fetch = fetch_time(entry.machine, spec);
  FreeCapacity free = entry.machine.free;
  std::uint32_t count = 0;
  const auto add_fits = [&](Micros free_in) {
    // Limited to the number of tasks: a task that needs no resources would fit without end.
    for (; count < tasks_ && count_fitting(spec, free, 1) > 0; free.reserve(spec, 1), ++count)
      fits.push_back({free_in + fetch, machine});
  };
  add_fits(Micros{0});
  std::vector<Ending> endings;
  for (std::size_t i = 0; i < entry.ending_tasks.size(); ++i) {
    const Micros free_in = time_until_free(entry.ending_tasks[i], entry.machine, index_.steady_now_);
    const bool reserved =
        index_.future_places_[entry.future_place_ids[i]].reserved_in_plan == index_.plan_count_;
    if (!reserved && free_in <= horizon_) endings.push_back({free_in, i});
  }
  std::sort(endings.begin(), endings.end());
  for (const Ending& ending : endings) {
    free.resources += entry.ending_tasks[ending.index].resources;
    ++free.task_slots;
    add_fits(ending.free_in);
  }
}

/// Returns the earliest fits that the layout allows together, one per task. Returns fewer fits than tasks if
/// there are not enough.
std::vector<PlacementIndex::ReservationPlanner::Fit> PlacementIndex::ReservationPlanner::choose_earliest(
    std::vector<Fit>& fits) const {
  std::sort(fits.begin(), fits.end(), [this](const Fit& left, const Fit& right) {
    return left.available_in != right.available_in
               ? left.available_in < right.available_in
               : index_.machines_[left.machine].machine.name < index_.machines_[right.machine].machine.name;
  });
  std::optional<PlanLayout> layout = job_.layout;
  std::vector<Fit> out;
  for (const Fit& fit : fits) {
    if (out.size() == tasks_) break;
    const PlanMachine& machine = index_.machines_[fit.machine].machine;
    if (layout && layout_allowance(*layout, machine, job_.spec->task_count, false) == 0) continue;
    if (layout) add_to_layout(*layout, machine, 1);
    out.push_back(fit);
  }
  return out;
}

std::vector<PlacementIndex::Slot> PlacementIndex::ReservationPlanner::run() {
  std::map<GroupKey, std::vector<Fit>> groups;
  for (Slot machine = 0; machine < index_.machines_.size(); ++machine) {
    const MachineEntry& entry = index_.machines_[machine];
    if (!is_eligible(entry)) continue;
    ++index_.statistics_.machines;
    collect_fits(machine, groups[group_of(entry.machine)]);
  }
  std::vector<Fit> best;
  for (auto& [key, fits] : groups) {
    std::vector<Fit> chosen = choose_earliest(fits);
    if (chosen.size() != tasks_) continue;
    if (best.empty() || chosen.back().available_in < best.back().available_in) best = std::move(chosen);
  }
  std::vector<Slot> out;
  out.reserve(best.size());
  for (const Fit& fit : best) out.push_back(fit.machine);
  return out;
}

/// Reserves the free room and the future places of the machines on which all the tasks fit at the earliest
/// time, so that later jobs of the plan do not get them. Otherwise small tasks would take each place as it
/// becomes free, and a gang would wait until several of them end at the same time.
void PlacementIndex::reserve_places(Slot job, std::uint32_t tasks, Micros horizon) {
  for (const Slot machine : ReservationPlanner(*this, job, tasks, horizon).run()) {
    planned_state(machine).free = {.resources = {}, .devices = {}, .task_slots = 0};
    index_free_room(machine, {});
    for (const std::uint32_t id : machines_[machine].future_place_ids)
      future_places_[id].reserved_in_plan = plan_count_;
  }
}

}  // namespace wrenusher::placement
