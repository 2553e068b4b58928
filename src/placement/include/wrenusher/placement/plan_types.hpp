#pragma once
// What a plan is made of: jobs that wait, machines, tasks that will end, and shortages.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/time/time.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::placement {

using protocol::Amount;
using protocol::Catalog;
using protocol::count_fitting;  // beside the one for whole jobs, in machine_fit.hpp
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

/// A job's layout under the topology in force. Levels are numbers of the topology; -1: none.
struct PlanLayout {
  bool impossible = false;      ///< it requires a level that the topology does not have
  int spread = -1;              ///< level over whose domains the tasks are spread
  std::uint32_t max_tasks = 0;  ///< tasks in one domain of that level
  bool spread_required = true;
  int colocation = -1;  ///< level of which one domain holds all tasks
  bool colocation_required = true;
  // The tasks that may be on machines now, by domain.
  std::map<topology::DomainId, std::uint32_t> tasks_by_spread_domain;
  std::map<topology::DomainId, std::uint32_t> tasks_by_colocation_domain;
  bool operator==(const PlanLayout&) const = default;
};

/// A job of which some tasks wait. `spec` and `avoided_machines` are borrowed.
struct PlanJob {
  const JobSpec* spec = nullptr;
  std::uint32_t waiting = 0;
  Micros estimate{};  ///< run time of one task on a machine of ordinary speed
  /// How many times over its tasks must be run, one after the other, under its team's ceiling.
  std::uint32_t waves = 1;
  bool guaranteed = false;   ///< it fits into its team's guarantee, see `GuaranteeTracker`
  bool has_started = false;  ///< some task of it has a machine, or is done
  WallTime accepted_at{};
  std::map<std::string, std::uint32_t> zones;  ///< tasks of the job by the zone where they are now
  /// Only where most of the image's fetch is spared: room is being made on machines that have it.
  bool requires_image_locality = false;
  /// Machines that get no task of the job until the time given; null: none.
  const std::map<std::string, Instant>* avoided_machines = nullptr;
  std::set<std::string> excluded_types;  ///< types whose room is reserved for jobs that fit nowhere else
  /// Types that are not rented for the job for the same reason, though it may use them where they are.
  std::set<std::string> unrentable_types;
  std::optional<PlanLayout> layout;
  bool operator==(const PlanJob&) const = default;
};

/// An image on its way to a machine.
struct PlannedFetch {
  std::string image;
  double remaining_gb = 0;
  Priority priority = Priority::low;  ///< of the most urgent task that waits for it
  bool operator==(const PlannedFetch&) const = default;
};

/// What no task has reserved of a machine.
struct FreeCapacity {
  Resources resources;
  std::map<std::string, std::uint32_t> devices;
  bool operator==(const FreeCapacity&) const = default;
  /// Takes what so many tasks of the job need. They must fit.
  void reserve(const JobSpec& spec, std::uint32_t tasks);
  /// Gives back what one task of the job has reserved.
  void release(const JobSpec& spec);
};

/// A machine, up or expected. `machine_type`, `images` and `place` are borrowed.
struct PlanMachine {
  std::string name;
  std::string zone;
  const MachineType* machine_type = nullptr;
  bool spot = false;
  bool runs_services = false;  ///< so it is paid for whatever else it does
  FreeCapacity free;
  double speed = 1.0;                                            ///< against an ordinary machine of its type
  std::vector<PlannedFetch> fetches;                             ///< under way, sharing the machine's rate
  const std::map<std::string, std::uint64_t>* images = nullptr;  ///< cached; null: none
  const topology::MachineLocation* location = nullptr;           ///< null: no topology
  bool reserved_for_devices = false;  ///< only for jobs that want one of its devices
  bool operator==(const PlanMachine&) const = default;
  /// The machine's domain of a level of the topology.
  topology::DomainId domain(int level) const {
    return location == nullptr ? topology::kNowhere : location->domain_at(level);
  }
};

/// A task whose place becomes free: at a time, or so long from now however late it is now.
struct EndingTask {
  Resources resources;
  std::optional<Instant> ends_at;  ///< nothing: `min_remaining` from now
  Micros min_remaining{};          ///< at least this long from now
  /// Its own image is still to come: it takes as much longer as the fetch does. Null: it is there.
  const JobSpec* awaited_image = nullptr;
  bool operator==(const EndingTask&) const = default;
};

/// Tasks that their team's ceiling would allow now, but for which no machine has room.
struct Shortage {
  std::size_t job = 0;
  std::uint32_t tasks = 0;
  std::uint32_t expected_soon = 0;  ///< of them have a future place on a machine with their image
  bool operator==(const Shortage&) const = default;
};

}  // namespace wrenusher::placement
