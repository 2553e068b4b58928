#pragma once
// Package planner: pure functions, a snapshot in, decisions out. Rank, order and place are the paper's
// (section IV.B). It owns no state. It may depend on base, settings and protocol.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::planner {

using namespace base;
using namespace settings;
using namespace protocol;

struct PlanJob {
  const JobSpec* spec = nullptr;
  std::uint32_t waiting = 0;
  Micros estimate{};
  /// How many times over its tasks must be run, one after the other, under its team's ceiling.
  std::uint32_t waves = 1;
  /// It fits into its team's guarantee, see `guaranteed`.
  bool guaranteed = false;
  WallTime accepted{};
  /// Zones where tasks of the job are now, with their number.
  std::map<std::string, std::uint32_t> zones;
  /// Only where most of the fetch is spared: room is being made on machines that have the image.
  bool near_image = false;
  /// Machines that the job keeps off for now.
  const std::map<std::string, Instant>* avoid = nullptr;
  /// Types whose room is booked for jobs that fit nowhere else.
  std::set<std::string> keep_off;
  /// Types that are not rented for the job for the same reason, though it may use them where they are.
  std::set<std::string> no_rent;
};

/// An image on its way to a machine.
struct Pull {
  std::string bundle;
  double left_gb = 0;
  Urgency urgency = Urgency::low;  ///< of the most urgent task that waits for it
};

struct PlanHost {
  std::string name;
  std::string site;
  const Flavor* flavor = nullptr;
  bool standby = false;
  bool stays = false;  ///< it runs services, and so is paid whatever else it does
  Needs room;          ///< what no claim has booked
  double speed = 1.0;
  std::vector<Pull> pulls;                                       ///< under way, sharing the machine's rate
  const std::map<std::string, std::uint64_t>* images = nullptr;  ///< cached
};

/// A machine, with room or without, and when the tasks on it will leave their places.
struct Later {
  struct Place {
    Micros in{};
    Needs needs;
    bool taken = false;  ///< by a task that waits for it, in this plan
  };
  PlanHost host;
  std::vector<Place> places;
};

struct Snapshot {
  WallTime now{};
  Instant clock{};
  std::vector<PlanJob> jobs;
  std::vector<PlanHost> hosts;
  std::vector<Later> later;               ///< looked at only for arrays that wait
  std::map<std::string, Needs> teams;     ///< what each team's claims use
  std::map<const Flavor*, Amount> cores;  ///< of all machines, with room or without, here or on their way
  const Settings* settings = nullptr;
};

struct Placement {
  std::size_t job = 0;
  std::size_t host = 0;
  std::uint32_t tasks = 0;
};

/// Tasks that their team's ceiling would allow now, but for which no machine has room.
struct Shortage {
  std::size_t job = 0;
  std::uint32_t tasks = 0;
  std::uint32_t soon = 0;  ///< of them have a place in view on a machine with their image
};

struct Plan {
  std::vector<Placement> placements;
  std::vector<Shortage> shortages;
};

/// The times by which the job should be over, from its acceptance and in rising order: the aims of its class
/// in the settings, or its own due time.
std::vector<Micros> targets(const JobSpec& spec, const std::vector<Objective>& objectives);

/// An unfinished job, whether or not some of it waits.
struct TeamJob {
  const JobSpec* spec = nullptr;
  std::uint32_t unfinished = 0;
  WallTime accepted{};
};
/// Which jobs fit into their team's guarantee together with the team's earlier ones: they need not wait for
/// other teams. A job that does not fit as a whole has no claim to go first.
std::vector<bool> guaranteed(std::vector<TeamJob> jobs, const Settings& settings);

/// How a job stands against its next target.
enum class Standing {
  pressed,   ///< must start soon to meet it
  ordinary,  ///< has time, or no target
  late       ///< can meet none any more
};
struct Slack {
  Standing standing = Standing::ordinary;
  Micros left{};   ///< how long it may still wait, while pressed
  Micros spare{};  ///< how long it may still wait, pressed or not; the longest time there is without a target
};
Slack slack(const PlanJob& job, WallTime now, const std::vector<Objective>& objectives);

/// Equation (2) of the paper. The protocol names no successors, so each job is a graph of one task and the
/// maximum over its successors is 0.
Micros rank(const PlanJob& job);
/// Time until the job's image is on the machine: 0 where cached, what is left of it where it is on its way,
/// else all of it; at the rate shared with the other fetches under way.
Micros fetch_time(const PlanHost& host, const JobSpec& spec);
/// How much longer a fetch for the job would make those wait that wait for other images there. Nothing where
/// tasks of urgency `prod` are among them: beside theirs no other fetch is begun.
std::optional<Micros> burden(const PlanHost& host, const JobSpec& spec);
/// Equation (5): when a task started now on this machine would end, counted from now.
Micros finish_time(const PlanHost& host, const PlanJob& job);
/// Whether a task of the job could run on a machine of this type, in some zone.
bool fits_flavor(const JobSpec& spec, const Flavor& f);
/// The types on which a task of the job could run at all.
std::set<std::string> fitting_flavors(const JobSpec& spec, const Catalog& catalog);
/// Which jobs to give up on for now, so that the most jobs meet their next target: where the cores there are
/// cannot serve all of one urgency in time, the largest of those that wait.
std::vector<bool> overload(const Snapshot& s);
/// The jobs in the order in which they are served.
std::vector<std::size_t> order(const Snapshot& s);
/// Among machines with room now the least finish. A task of an array is left waiting instead where, by the
/// estimates, a place on a machine that has its image becomes free before the image could be fetched here.
Plan place(Snapshot s);

/// A task that has a place now and might be stopped for a job of higher urgency.
struct Running {
  std::size_t host = 0;
  const JobSpec* spec = nullptr;
  std::uint32_t task = 0;
  Micros age{};        ///< since it runs; 0 while it waits for its image
  Micros remaining{};  ///< estimated
  bool stopping = false;
};

/// Which tasks to stop so that the shortages of jobs of higher urgency find room: for each, on the machine
/// where the time to its image and the work lost are least; none that will soon end by itself, and a gang as
/// a whole. Indices into `running`.
std::vector<std::size_t> preempt(const Snapshot& s, const std::vector<Shortage>& shortages,
                                 const std::vector<Running>& running);

/// What a need takes of a machine of this type, as cores: by whichever of cores, cards and memory it takes
/// the largest part of.
Amount in_cores(const Needs& need, const Flavor& f);
/// How many tasks of a need a team's ceiling allows at once, at least one; a ceiling of 0 is none.
std::uint32_t most_at_once(const Needs& need, const Needs& ceiling, std::uint32_t most);
/// How many tasks of a need fit into a room.
std::uint32_t count_fitting(const Needs& need, const Needs& room, std::uint32_t most);
/// How many more tasks the job may put into the zone, given where its tasks are.
std::uint32_t zone_allowance(const JobSpec& spec, const std::map<std::string, std::uint32_t>& zones,
                             const std::string& zone);

}  // namespace wrenusher::planner
