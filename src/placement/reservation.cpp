// Places that are kept for a gang that must start soon, or for the first task of an overdue job.

#include <algorithm>

#include "wrenusher/placement/placement_index.hpp"

namespace wrenusher::placement {

/// Looks for the machines where all tasks of a job fit the soonest. Lives for one job of one plan.
class PlacementIndex::ReservationPlanner {
 public:
  ReservationPlanner(PlacementIndex& index, Slot slot, std::uint32_t tasks, Micros within)
      : index_(index), slot_(slot), job_(index.jobs_[slot].job), tasks_(tasks), within_(within) {}

  /// The machine of each task; empty where they do not all fit within the time.
  std::vector<Slot> run();

 private:
  /// Room for one task.
  struct Fit {
    Micros available_in{};
    Slot machine = 0;
  };
  /// Machines that the tasks may be on together.
  struct GroupKey {
    std::string zone;
    topology::DomainId domain = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const GroupKey&) const = default;
  };

  bool is_eligible(const MachineEntry& entry) const;
  GroupKey group_of(const PlanMachine& machine) const;
  void collect_fits(Slot machine, std::vector<Fit>& fits) const;
  std::vector<Fit> soonest(std::vector<Fit>& fits) const;

  PlacementIndex& index_;
  Slot slot_;
  const PlanJob& job_;
  std::uint32_t tasks_;
  Micros within_;
};

bool PlacementIndex::ReservationPlanner::is_eligible(const MachineEntry& entry) const {
  if (!entry.present || !index_.admits(slot_, entry.machine_class) ||
      !fetch_delay_imposed(entry.machine, *job_.spec))
    return false;
  return !job_.layout || layout_allowance(*job_.layout, entry.machine, job_.spec->task_count, false) > 0;
}

PlacementIndex::ReservationPlanner::GroupKey PlacementIndex::ReservationPlanner::group_of(
    const PlanMachine& machine) const {
  const bool together = job_.layout && job_.layout->colocation >= 0 && job_.layout->colocation_required;
  return {job_.spec->single_zone ? machine.zone : "",
          together ? machine.domain(job_.layout->colocation) : topology::DomainId{0}};
}

/// Room that is free now, and that becomes so as tasks end within the time.
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
  std::uint32_t found = 0;
  const auto add = [&](Micros free_in) {
    // No more than there are: a task that needs nothing would fit for ever.
    for (; found < tasks_ && count_fitting(spec, free, 1) > 0; free.reserve(spec, 1), ++found)
      fits.push_back({free_in + fetch, machine});
  };
  add(Micros{0});
  std::vector<Ending> endings;
  for (std::size_t i = 0; i < entry.ending_tasks.size(); ++i) {
    const Micros free_in = time_until_free(entry.ending_tasks[i], entry.machine, index_.instant_);
    const bool reserved = index_.futures_[entry.futures[i]].reserved_in_plan == index_.plan_count_;
    if (!reserved && free_in <= within_) endings.push_back({free_in, i});
  }
  std::sort(endings.begin(), endings.end());
  for (const Ending& ending : endings) {
    free.resources += entry.ending_tasks[ending.index].resources;
    add(ending.free_in);
  }
}

/// The first of the fits that the layout allows together, one for each task; fewer where they do not suffice.
std::vector<PlacementIndex::ReservationPlanner::Fit> PlacementIndex::ReservationPlanner::soonest(
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
    if (layout) layout_add(*layout, machine, 1);
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
    std::vector<Fit> found = soonest(fits);
    if (found.size() != tasks_) continue;
    if (best.empty() || found.back().available_in < best.back().available_in) best = std::move(found);
  }
  std::vector<Slot> out;
  out.reserve(best.size());
  for (const Fit& fit : best) out.push_back(fit.machine);
  return out;
}

/// On the machines where all these tasks fit the soonest, what is free now and what becomes free until then
/// is not given to jobs behind this one. Without it small tasks take every place as it comes, and a gang
/// waits for room that several of them would have to leave at once.
void PlacementIndex::reserve_places(Slot job, std::uint32_t tasks, Micros within) {
  for (const Slot machine : ReservationPlanner(*this, job, tasks, within).run()) {
    planned_state(machine).free = {};
    index_free_room(machine, {});
    for (const std::uint32_t id : machines_[machine].futures) futures_[id].reserved_in_plan = plan_count_;
  }
}

}  // namespace wrenusher::placement
