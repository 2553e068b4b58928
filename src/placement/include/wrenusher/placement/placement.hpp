#pragma once
// Package placement: decides what runs where, by the paper's rank, order and place (section IV.B). Here are
// its pure functions; Board keeps what they look at in indexes. It knows neither claims nor clocks. It may
// depend on base, settings, protocol and topology.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::placement {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace protocol;
using protocol::count_fitting;  // beside the one of whole jobs, below

/// A job's layout under the topology in force.
struct PlanLayout {
  bool impossible = false;      ///< it insists on a level that the topology has not
  int spread = -1;              ///< level; -1: none
  std::uint32_t max_tasks = 0;  ///< tasks in one domain of that level
  bool spread_required = true;
  int colocation = -1;
  bool colocation_required = true;
  /// The tasks that may be on machines now, by domain.
  std::map<topology::DomainId, std::uint32_t> spread_at;
  std::map<topology::DomainId, std::uint32_t> colocated_at;
  bool operator==(const PlanLayout&) const = default;
};

struct PlanJob {
  const JobSpec* spec = nullptr;
  std::uint32_t waiting = 0;
  Micros estimate{};
  /// How many times over its tasks must be run, one after the other, under its team's ceiling.
  std::uint32_t waves = 1;
  /// It fits into its team's guarantee, see `guaranteed`.
  bool guaranteed = false;
  /// Some task of it has a machine, or is done.
  bool has_started = false;
  WallTime accepted_at{};
  /// Zones where tasks of the job are now, with their number.
  std::map<std::string, std::uint32_t> zones;
  /// Only where most of the fetch is spared: room is being made on machines that have the image.
  bool near_image = false;
  /// Machines that the job keeps off for now.
  const std::map<std::string, Instant>* avoided_machines = nullptr;
  /// Types whose room is booked for jobs that fit nowhere else.
  std::set<std::string> excluded_types;
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

/// What no claim has booked of a machine.
struct FreeCapacity {
  Resources resources;
  std::map<std::string, std::uint32_t> devices;
  bool operator==(const FreeCapacity&) const = default;
  void reserve(const JobSpec& spec, std::uint32_t tasks);
  void release(const JobSpec& spec);
};

struct PlanMachine {
  std::string name;
  std::string zone;
  const MachineType* machine_type = nullptr;
  bool spot = false;
  bool runs_services = false;  ///< it runs services, and so is paid whatever else it does
  FreeCapacity free;
  double speed = 1.0;
  std::vector<PlannedFetch> fetches;                             ///< under way, sharing the machine's rate
  const std::map<std::string, std::uint64_t>* images = nullptr;  ///< cached
  const topology::MachineLocation* place = nullptr;              ///< null: no topology
  bool reserved_for_devices = false;                             ///< others want a device of it: left to them
  bool operator==(const PlanMachine&) const = default;
  topology::DomainId domain(int level) const {
    return place == nullptr ? topology::kNowhere : place->domain_at(level);
  }
};

/// A task that will leave its place: at a time, or so long from now however late it is now.
struct EndingTask {
  Resources resources;
  std::optional<Instant> ends_at;  ///< nothing: `in` from now
  Micros min_remaining{};          ///< at least this long from now
  /// Its own image is still to come: as long again as its fetch takes. Null: it is there.
  const JobSpec* awaited_image = nullptr;
  bool operator==(const EndingTask&) const = default;
};

/// What `preempt` looks at.
struct PreemptionView {
  std::vector<PlanJob> jobs;
  std::vector<PlanMachine> machines;
};

/// The times by which the job should be over, from its acceptance and in rising order: the aims of its class
/// in the settings, or its own due time.
std::vector<Micros> targets(const JobSpec& spec, const std::vector<Objective>& objectives);

/// Tells of one job after the other, in the order of their acceptance, which fit into their team's guarantee
/// together with the team's earlier ones: they need not wait for other teams. A job that does not fit as a
/// whole has no claim to go first.
class Guarantees {
 public:
  explicit Guarantees(const Settings& settings) : settings_(settings) {}
  bool fits(const JobSpec& spec, std::uint32_t unfinished);

 private:
  const Settings& settings_;
  std::map<std::string, Resources> sums_;
};

/// How a job stands against its next target.
enum class DeadlineStatus {
  pressed,   ///< must start soon to meet it
  ordinary,  ///< has time, or no target
  missed     ///< can meet none any more
};
struct Slack {
  DeadlineStatus status = DeadlineStatus::ordinary;
  Micros pressed_for{};  ///< how long it may still wait, while pressed
  Micros remaining{};    ///< how long it may still wait, pressed or not; the longest time there is without a
                         ///< target
};
Slack slack(const PlanJob& job, WallTime now, const std::vector<Objective>& objectives);
/// By when the job must start to meet each of its targets, in rising order, and how far beyond that it is not
/// given up: `slack` for a job that does not change.
using Aims = std::vector<std::pair<WallTime, Micros>>;
Aims aims(const PlanJob& job, const std::vector<Objective>& objectives);
Slack slack(const Aims& aims, WallTime now);

/// Whether the job has waited so long for its first task that nothing may put it off any more: neither
/// overload, nor a lost aim, nor another's guarantee. Of an array the first task then goes before all but
/// urgency `prod`, a place is kept for it, and no more of it is placed at once.
bool is_overdue(const PlanJob& job, WallTime now);

/// Equation (2) of the paper. The protocol names no successors, so each job is a graph of one task and the
/// maximum over its successors is 0.
Micros rank(const PlanJob& job);
/// Time until the job's image is on the machine: 0 where cached, what is left of it where it is on its way,
/// else all of it; at the rate shared with the other fetches under way.
Micros fetch_time(const PlanMachine& host, const JobSpec& spec);
/// How much longer a fetch for the job would make those wait that wait for other images there. Nothing where
/// tasks of urgency `prod` are among them: beside theirs no other fetch is begun.
std::optional<Micros> fetch_delay_imposed(const PlanMachine& host, const JobSpec& spec);
/// How long a task of the job runs on the machine, by its estimate.
Micros run_time(const PlanMachine& host, const PlanJob& job);
/// Equation (5): when a task started now on this machine would end, counted from now.
Micros finish_time(const PlanMachine& host, const PlanJob& job);
/// Whether a task of the job could run on a machine of this type, in some zone.
bool fits_machine_type(const JobSpec& spec, const MachineType& machine_type);
/// The types on which a task of the job could run at all.
std::set<std::string> fitting_machine_types(const JobSpec& spec, const Catalog& catalog);
/// Whether the job may and will use the machine, room or not.
bool accepts(const PlanMachine& host, const PlanJob& job);
/// Whether the machine has the image.
bool has_image(const PlanMachine& host, const std::string& image);
/// The machine's fetch of the image; null where there is none.
const PlannedFetch* find_fetch(const PlanMachine& host, const std::string& image);
/// How many tasks of the job would fit, their devices included.
std::uint32_t count_fitting(const JobSpec& spec, const FreeCapacity& free, std::uint32_t most);
/// How many more tasks of the job its layout allows on the machine. Without `prefers` only what it insists on
/// counts.
std::uint32_t layout_allowance(const PlanLayout& layout, const PlanMachine& host, std::uint32_t task_count,
                               bool prefers);
/// So many tasks of the job are on the machine besides.
void layout_add(PlanLayout& layout, const PlanMachine& host, std::uint32_t tasks);
/// A place is free this long from now.
Micros time_until_free(const EndingTask& ending, const PlanMachine& host, Instant now);

/// Finish times closer than this count as equal: estimates are off by far more, and among equals the machine
/// that the task fills best is taken, so that large tasks keep whole machines.
inline constexpr Micros kEqualFinishWindow = from_seconds(5);
/// Places are kept for a gang where it can start within this time.
inline constexpr Micros kGangReservation = from_seconds(20);
/// The same for the first task of an overdue job: a large one needs several others to leave.
inline constexpr Micros kOverdueReservation = from_seconds(60);
/// How much of the machine stays unused by tasks of this need, from 0 to 1: the more, the worse the fit.
double misfit(const PlanMachine& host, const Resources& need);
/// What is left of a team's ceiling; nothing for a team that is not known.
Resources ceiling_left(const Team* team, const Resources& used);

/// Tasks that their team's ceiling would allow now, but for which no machine has room.
struct Shortage {
  std::size_t job = 0;
  std::uint32_t tasks = 0;
  std::uint32_t expected_soon = 0;  ///< of them have a place in view on a machine with their image
  bool operator==(const Shortage&) const = default;
};

/// A task that has a place now and might be stopped for a job of higher urgency.
struct RunningTask {
  std::size_t machine = 0;
  const JobSpec* spec = nullptr;
  std::uint32_t task = 0;
  Micros age{};        ///< since it runs; 0 while it waits for its image
  Micros remaining{};  ///< estimated
  bool stopping = false;
};

/// Which tasks to stop so that the shortages of jobs of higher urgency find room: for each, on the machine
/// where the time to its image and the work lost are least; none that will soon end by itself, and a gang as
/// a whole. Indices into `running`.
std::vector<std::size_t> choose_preemptions(const PreemptionView& view,
                                            const std::vector<Shortage>& shortages,
                                            const std::vector<RunningTask>& running);

/// What a need takes of a machine of this type, as cores: by whichever of cores, cards and memory it takes
/// the largest part of.
Amount core_equivalents(const Resources& need, const MachineType& machine_type);
/// How many tasks of a need a team's ceiling allows at once, at least one; a ceiling of 0 is none.
std::uint32_t max_concurrent(const Resources& need, const Resources& ceiling, std::uint32_t most);
/// How many more tasks the job may put into the zone, given where its tasks are.
std::uint32_t zone_allowance(const JobSpec& spec, const std::map<std::string, std::uint32_t>& zones,
                             const std::string& zone);

}  // namespace wrenusher::placement
