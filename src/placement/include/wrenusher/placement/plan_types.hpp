#pragma once
// Input and output types of placement planning: waiting jobs, machines, ending tasks and shortages.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/protocol/message_limits.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/time/time.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::placement {

using protocol::Amount;
using protocol::Catalog;
using protocol::count_fitting;  // an overload for `JobSpec` is in machine_fit.hpp
using protocol::from_amount;
using protocol::JobSpec;
using protocol::JobType;
using protocol::MachineType;
using protocol::Priority;
using protocol::Resources;
using protocol::to_amount;
using settings::Objective;
using settings::Settings;
using settings::Team;
using time::from_seconds;
using time::Instant;
using time::Micros;
using time::to_seconds;
using time::WallTime;

/// A job's layout in the active topology. Levels are level numbers of the topology; -1: none.
struct PlanLayout {
  bool impossible = false;      ///< the layout requires a level that the topology lacks
  int spread = -1;              ///< level across whose domains the tasks are spread
  std::uint32_t max_tasks = 0;  ///< maximum number of tasks per domain of that level
  bool spread_required = true;
  int colocation = -1;  ///< level at which all tasks share one domain
  bool colocation_required = true;
  // Tasks that are or may still be on machines, by domain.
  std::map<topology::DomainId, std::uint32_t> tasks_by_spread_domain;
  std::map<topology::DomainId, std::uint32_t> tasks_by_colocation_domain;
  bool operator==(const PlanLayout&) const = default;
};

/// A job with waiting tasks. `spec` and `avoided_machines` are borrowed.
struct PlanJob {
  const JobSpec* spec = nullptr;
  std::uint32_t waiting = 0;
  Micros estimate{};  ///< run time of one task on a machine of speed 1.0
  /// Number of consecutive batches that its tasks need, since the team's ceiling limits how many run at once.
  std::uint32_t waves = 1;
  bool guaranteed = false;   ///< it fits into its team's guarantee, see `GuaranteeTracker`
  bool has_started = false;  ///< one of its tasks is assigned to a machine or finished
  WallTime accepted_at{};
  std::map<std::string, std::uint32_t> zones;  ///< assigned tasks by zone
  /// Restricts the job to machines where at most half of the image's fetch time remains, since room is being
  /// made on machines that have the image.
  bool requires_image_locality = false;
  /// Machines that get no task of the job before the given time; null: none.
  const std::map<std::string, Instant>* avoided_machines = nullptr;
  std::set<std::string> excluded_types;  ///< types reserved for jobs that fit no other type
  /// Types of which no machine is rented for the job, since they are reserved for jobs that fit no other
  /// type. The job may still use existing machines of these types.
  std::set<std::string> unrentable_types;
  std::optional<PlanLayout> layout;
  bool operator==(const PlanJob&) const = default;
};

/// An image that a machine is fetching.
struct PlannedFetch {
  std::string image;
  double remaining_gb = 0;
  Priority priority = Priority::low;  ///< of the highest-priority task that waits for it
  bool operator==(const PlannedFetch&) const = default;
};

/// The unreserved capacity of a machine.
struct FreeCapacity {
  Resources resources;
  std::map<std::string, std::uint32_t> devices;
  /// Number of further tasks that the machine's report can list. Negative if the machine has more tasks than
  /// its report can list, which a plan never causes.
  std::int64_t task_slots = protocol::kMaxTasksPerMachine;
  bool operator==(const FreeCapacity&) const = default;
  /// Reserves the capacity for `tasks` tasks of the job. They must fit.
  void reserve(const JobSpec& spec, std::uint32_t tasks);
  /// Releases the capacity that one task of the job reserved.
  void release(const JobSpec& spec);
};

/// A machine that is running or expected. `machine_type`, `images` and `location` are borrowed.
struct PlanMachine {
  std::string name;
  std::string zone;
  const MachineType* machine_type = nullptr;
  bool spot = false;
  bool runs_services = false;  ///< it runs tasks of services, for which it is kept and paid for in any case
  FreeCapacity free;
  double speed = 1.0;                 ///< relative to a typical machine of its type
  std::vector<PlannedFetch> fetches;  ///< in progress; they share the machine's fetch rate
  const std::map<std::string, std::uint64_t>* images = nullptr;  ///< cached; null: none
  const topology::MachineLocation* location = nullptr;           ///< null: no topology
  bool reserved_for_devices = false;  ///< only for jobs that request one of its devices
  bool operator==(const PlanMachine&) const = default;
  /// Returns the machine's domain at a level of the topology.
  topology::DomainId domain(int level) const {
    return location == nullptr ? topology::kNoDomain : location->domain_at(level);
  }
};

/// A task on a machine that will end and free its place. It ends at `ends_at`, but no earlier than
/// `min_remaining` from now.
struct EndingTask {
  Resources resources;
  std::optional<Instant> ends_at;  ///< not set: it ends `min_remaining` from now
  Micros min_remaining{};          ///< minimum time until it ends
  /// Specification of the task's job if the task still waits for the fetch of the job's image; the remaining
  /// fetch time is then added to the time until the task ends. Null: the task does not wait for its image.
  const JobSpec* awaited_image_spec = nullptr;
  bool operator==(const EndingTask&) const = default;
};

/// Tasks that the team's ceiling allows now, but for which no machine has room.
struct Shortage {
  std::size_t job = 0;
  std::uint32_t tasks = 0;
  std::uint32_t expected_soon = 0;  ///< those with a future place, see PlacementIndex
  bool operator==(const Shortage&) const = default;
};

}  // namespace wrenusher::placement
