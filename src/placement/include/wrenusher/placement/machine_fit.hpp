#pragma once
// Eligibility, quality of fit and finish time of a job's tasks on a machine.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "wrenusher/placement/plan_types.hpp"

namespace wrenusher::placement {

// ---- eligibility

/// Whether a task of the job could run on a machine of this type, in some zone.
bool fits_machine_type(const JobSpec& spec, const MachineType& machine_type);
/// Returns the names of the types on which a task of the job could run.
std::set<std::string> fitting_machine_types(const JobSpec& spec, const Catalog& catalog);
/// Whether the job may use the machine, regardless of free room.
bool accepts(const PlanMachine& machine, const PlanJob& job);
/// Returns how many tasks of the job fit, devices and task slots included, at most `limit`.
std::uint32_t count_fitting(const JobSpec& spec, const FreeCapacity& free, std::uint32_t limit);
/// Returns how many more tasks the job may place in the zone, given its tasks by zone.
std::uint32_t zone_allowance(const JobSpec& spec, const std::map<std::string, std::uint32_t>& zones,
                             const std::string& zone);
/// Returns how many more of `task_count` tasks the layout allows on the machine. `preferences`: whether the
/// preferences of the layout apply as well as its requirements.
std::uint32_t layout_allowance(const PlanLayout& layout, const PlanMachine& machine, std::uint32_t task_count,
                               bool preferences);
/// Adds `tasks` tasks on the machine to the layout's counts.
void add_to_layout(PlanLayout& layout, const PlanMachine& machine, std::uint32_t tasks);

// ---- quality of fit

/// Returns the fraction of the machine's cores, from 0 to 1, that remain free after a task with this need is
/// placed on it. A larger value is a worse fit.
double unused_core_fraction(const PlanMachine& machine, const Resources& need);
/// Returns the share of a machine of this type that a need takes, expressed in cores. The share is that of
/// the dominant resource: cores, GPUs or memory.
Amount core_equivalents(const Resources& need, const MachineType& machine_type);
/// Returns the share of a machine of this type that one task takes, expressed in cores: that of the dominant
/// resource, or of the machine's task slots if that is larger.
Amount task_core_equivalents(const Resources& task, const MachineType& machine_type);

// ---- finish time

/// Whether the machine has the image.
bool has_image(const PlanMachine& machine, const std::string& image);
/// Returns the machine's fetch of the image, or null if there is none.
const PlannedFetch* find_fetch(const PlanMachine& machine, const std::string& image);
/// Returns the time until the job's image is on the machine: 0 if cached, the time for the remaining part if
/// it is being fetched, else the time for the whole image. The rate is shared with the other fetches in
/// progress.
Micros fetch_time(const PlanMachine& machine, const JobSpec& spec);
/// Returns the delay that a fetch for the job adds to the machine's other fetches. Returns nothing if a fetch
/// for priority `prod` is in progress and the job has a lower priority: no fetch is started beside it.
std::optional<Micros> fetch_delay_imposed(const PlanMachine& machine, const JobSpec& spec);
/// Returns the estimated run time of a task of the job on the machine.
Micros run_time(const PlanMachine& machine, const PlanJob& job);
/// Returns the time until a task started now on this machine would end (equation (5) of the paper).
Micros finish_time(const PlanMachine& machine, const PlanJob& job);
/// Returns the time from `now` until the task's place on the machine becomes free.
Micros time_until_free(const EndingTask& ending, const PlanMachine& machine, Instant now);

}  // namespace wrenusher::placement
