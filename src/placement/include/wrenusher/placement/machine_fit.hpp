#pragma once
// Whether, how well and how soon a job's tasks fit on a machine.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "wrenusher/placement/plan_types.hpp"

namespace wrenusher::placement {

// ---- whether

/// Whether a task of the job could run on a machine of this type, in some zone.
bool fits_machine_type(const JobSpec& spec, const MachineType& machine_type);
/// The types on which a task of the job could run at all.
std::set<std::string> fitting_machine_types(const JobSpec& spec, const Catalog& catalog);
/// Whether the job may and will use the machine, room or not.
bool accepts(const PlanMachine& machine, const PlanJob& job);
/// How many tasks of the job would fit, their devices included.
std::uint32_t count_fitting(const JobSpec& spec, const FreeCapacity& free, std::uint32_t limit);
/// How many more tasks the job may put into the zone, given its tasks by zone.
std::uint32_t zone_allowance(const JobSpec& spec, const std::map<std::string, std::uint32_t>& zones,
                             const std::string& zone);
/// How many more of `task_count` tasks the layout allows on the machine. Without `preferences` only what it
/// requires counts.
std::uint32_t layout_allowance(const PlanLayout& layout, const PlanMachine& machine, std::uint32_t task_count,
                               bool preferences);
/// Enters that so many more tasks of the job are on the machine.
void layout_add(PlanLayout& layout, const PlanMachine& machine, std::uint32_t tasks);

// ---- how well

/// How much of the machine's cores stays unused beside a task of this need, from 0 to 1: the more, the worse
/// the fit.
double misfit(const PlanMachine& machine, const Resources& need);
/// What a need takes of a machine of this type, as cores: by whichever of cores, GPUs and memory it takes the
/// largest part of.
Amount core_equivalents(const Resources& need, const MachineType& machine_type);

// ---- how soon

/// Whether the machine has the image.
bool has_image(const PlanMachine& machine, const std::string& image);
/// The machine's fetch of the image; null where there is none.
const PlannedFetch* find_fetch(const PlanMachine& machine, const std::string& image);
/// Time until the job's image is on the machine: 0 where cached, what is left of it where it is on its way,
/// else all of it; at the rate shared with the other fetches under way.
Micros fetch_time(const PlanMachine& machine, const JobSpec& spec);
/// How much longer a fetch for the job would make those wait that wait for other images there. Nothing where
/// tasks of priority `prod` are among them: beside theirs no other fetch is begun.
std::optional<Micros> fetch_delay_imposed(const PlanMachine& machine, const JobSpec& spec);
/// How long a task of the job runs on the machine, by its estimate.
Micros run_time(const PlanMachine& machine, const PlanJob& job);
/// Equation (5) of the paper: when a task started now on this machine would end, counted from now.
Micros finish_time(const PlanMachine& machine, const PlanJob& job);
/// How long from now the task's place on the machine becomes free.
Micros time_until_free(const EndingTask& ending, const PlanMachine& machine, Instant now);

}  // namespace wrenusher::placement
