#include "wrenusher/placement/preemption.hpp"

#include <algorithm>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "wrenusher/placement/machine_fit.hpp"

namespace wrenusher::placement {

namespace {

/// A task with less remaining run time than this is not preempted, since it will end soon.
constexpr Micros kMinRemainingToPreempt = from_seconds(10);

/// Returns the run time that is lost by stopping the task. A task without checkpoints loses its whole age; a
/// task with checkpoints loses at most the time that a checkpoint takes.
Micros work_lost(const RunningTask& task) {
  if (!task.spec->has_checkpoints()) return task.age;
  return std::min(task.age, task.spec->checkpoint_time);
}

/// Whether the task may be preempted. A task without checkpoints is preempted only if its remaining time
/// exceeds its age.
bool may_be_preempted(const RunningTask& task) {
  return !task.stopping && task.remaining > kMinRemainingToPreempt &&
         (task.spec->has_checkpoints() || task.age < task.remaining);
}

/// Sort key of preemption victims on a machine: lowest priority first, then tasks with checkpoints, then the
/// least lost work.
struct VictimRank {
  int negative_priority = 0;
  bool lacks_checkpoints = false;
  Micros work_lost{};
  std::size_t index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const VictimRank&) const = default;
};

VictimRank victim_rank(const RunningTask& task, std::size_t index) {
  return {-static_cast<int>(task.spec->priority), !task.spec->has_checkpoints(), work_lost(task), index};
}

/// A machine where preemption can make room for a job.
struct Candidate {
  Micros cost;  ///< fetch time of the image plus lost work
  std::size_t victims = 0;
  std::size_t machine = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const Candidate&) const = default;
};

/// Distribution of one job's tasks, including those for which room has been made.
struct JobDistribution {
  std::map<std::string, std::uint32_t> zones;
  std::optional<PlanLayout> layout;
};

/// One run of `choose_preemptions`. Single-threaded; lives for that call only.
class PreemptionPlanner {
 public:
  PreemptionPlanner(const PreemptionView& view, const std::vector<RunningTask>& running)
      : view_(view),
        running_(running),
        victims_(view.machines.size()),
        next_victim_(view.machines.size(), 0),
        preempted_(running.size(), 0) {
    collect_room();
    collect_victims();
  }

  void serve(const Shortage& shortage);
  std::vector<std::size_t> chosen() && { return std::move(chosen_); }

 private:
  void collect_room();
  void collect_victims();
  std::optional<std::vector<std::size_t>> victims_for(const Shortage& shortage, std::size_t machine) const;
  std::vector<Candidate> candidates(const Shortage& shortage) const;
  bool make_room(const Shortage& shortage, std::size_t machine, JobDistribution& distribution);
  void preempt(std::size_t victim);
  void choose(std::size_t victim);
  void skip_preempted(std::size_t machine);

  const PreemptionView& view_;
  const std::vector<RunningTask>& running_;
  std::vector<FreeCapacity> room_;                 ///< by machine, after all chosen tasks have stopped
  std::vector<std::vector<std::size_t>> victims_;  ///< by machine, in preemption order
  std::vector<std::size_t> next_victim_;  ///< by machine: all entries of `victims_` before it are chosen
  std::map<const JobSpec*, std::vector<std::size_t>> gangs_;  ///< running tasks of each gang
  std::vector<char> preempted_;                               ///< by running task: 1 if already chosen
  std::vector<std::size_t> chosen_;
};

void PreemptionPlanner::collect_room() {
  room_.reserve(view_.machines.size());
  for (const PlanMachine& machine : view_.machines) room_.push_back(machine.free);
  for (const RunningTask& task : running_) {
    if (task.stopping) room_[task.machine].release(*task.spec);
  }
}

void PreemptionPlanner::collect_victims() {
  for (std::size_t i = 0; i < running_.size(); ++i) {
    const RunningTask& task = running_[i];
    if (task.spec->type == JobType::gang) gangs_[task.spec].push_back(i);
    if (may_be_preempted(task)) victims_[task.machine].push_back(i);
  }
  for (std::vector<std::size_t>& machine_victims : victims_) {
    std::sort(machine_victims.begin(), machine_victims.end(), [this](std::size_t left, std::size_t right) {
      return victim_rank(running_[left], left) < victim_rank(running_[right], right);
    });
  }
}

/// Returns the tasks to preempt on the machine to make room for one more task of the job. Returns nothing if
/// the tasks that may be preempted do not free enough room.
std::optional<std::vector<std::size_t>> PreemptionPlanner::victims_for(const Shortage& shortage,
                                                                       std::size_t machine) const {
  const JobSpec& spec = *view_.jobs[shortage.job].spec;
  std::vector<std::size_t> out;
  FreeCapacity free = room_[machine];
  for (std::size_t n = next_victim_[machine]; n < victims_[machine].size(); ++n) {
    if (count_fitting(spec, free, 1) > 0) break;
    const std::size_t victim = victims_[machine][n];
    const RunningTask& task = running_[victim];
    if (task.spec->priority <= spec.priority) break;  // so are all that follow
    if (preempted_[victim] != 0) continue;
    FreeCapacity freed = free;
    freed.release(*task.spec);
    // Does not preempt a large task for a much smaller gain.
    const std::uint32_t gain = count_fitting(spec, freed, shortage.tasks);
    if ((spec.resources * std::max(gain, 1U)).cores * 2 < task.spec->resources.cores) continue;
    free = std::move(freed);
    out.push_back(victim);
  }
  if (count_fitting(spec, free, 1) == 0) return std::nullopt;
  return out;
}

/// Returns the machines where room can be made for the job, by ascending cost.
std::vector<Candidate> PreemptionPlanner::candidates(const Shortage& shortage) const {
  const PlanJob& job = view_.jobs[shortage.job];
  std::vector<Candidate> out;
  for (std::size_t i = 0; i < view_.machines.size(); ++i) {
    const PlanMachine& machine = view_.machines[i];
    if (!accepts(machine, job)) continue;
    const auto victims = victims_for(shortage, i);
    if (!victims) continue;
    // Free room costs nothing, except for a job that requires image locality: it may skip free room where its
    // image would have to be fetched.
    Micros cost =
        victims->empty() && !job.requires_image_locality ? Micros{0} : fetch_time(machine, *job.spec);
    for (const std::size_t victim : *victims) cost += work_lost(running_[victim]);
    out.push_back({cost, victims->size(), i});
  }
  std::sort(out.begin(), out.end());
  return out;
}

/// Chooses the task and, if it belongs to a gang, all tasks of the gang: a gang stops as a whole and frees
/// room on each of its machines.
void PreemptionPlanner::preempt(std::size_t victim) {
  if (preempted_[victim] != 0) return;  // chosen with another task of its gang
  const auto gang = gangs_.find(running_[victim].spec);
  if (gang == gangs_.end()) {
    choose(victim);
    return;
  }
  for (const std::size_t member : gang->second) {
    if (preempted_[member] == 0 && !running_[member].stopping) choose(member);
  }
}

void PreemptionPlanner::choose(std::size_t victim) {
  const RunningTask& task = running_[victim];
  preempted_[victim] = 1;
  chosen_.push_back(victim);
  room_[task.machine].release(*task.spec);
}

void PreemptionPlanner::skip_preempted(std::size_t machine) {
  const std::vector<std::size_t>& machine_victims = victims_[machine];
  std::size_t& next = next_victim_[machine];
  while (next < machine_victims.size() && preempted_[machine_victims[next]] != 0) ++next;
}

/// Makes room for one more task of the job on the machine and reserves it. Returns false if that is not
/// possible.
bool PreemptionPlanner::make_room(const Shortage& shortage, std::size_t machine,
                                  JobDistribution& distribution) {
  const JobSpec& spec = *view_.jobs[shortage.job].spec;
  const PlanMachine& target = view_.machines[machine];
  if (zone_allowance(spec, distribution.zones, target.zone) == 0) return false;
  if (distribution.layout && layout_allowance(*distribution.layout, target, spec.task_count, true) == 0)
    return false;
  skip_preempted(machine);
  const auto victims = victims_for(shortage, machine);
  if (!victims) return false;
  for (const std::size_t victim : *victims) preempt(victim);
  room_[machine].reserve(spec, 1);
  if (distribution.layout) add_to_layout(*distribution.layout, target, 1);
  ++distribution.zones[target.zone];
  return true;
}

void PreemptionPlanner::serve(const Shortage& shortage) {
  const PlanJob& job = view_.jobs[shortage.job];
  if (job.spec->type == JobType::gang) return;
  JobDistribution distribution{job.zones, job.layout};
  std::uint32_t unserved = shortage.tasks;
  for (const Candidate& candidate : candidates(shortage)) {
    while (unserved > 0 && make_room(shortage, candidate.machine, distribution)) --unserved;
    if (unserved == 0) break;
  }
}

}  // namespace

std::vector<std::size_t> choose_preemptions(const PreemptionView& view,
                                            const std::vector<Shortage>& shortages,
                                            const std::vector<RunningTask>& running) {
  PreemptionPlanner planner(view, running);
  for (const Shortage& shortage : shortages) planner.serve(shortage);
  return std::move(planner).chosen();
}

}  // namespace wrenusher::placement
