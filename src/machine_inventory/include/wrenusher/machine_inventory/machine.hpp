#pragma once
// One machine as the leader knows it.

#include <cstdint>
#include <map>
#include <string>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/time/time.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::machine_inventory {

using protocol::Priority;
using protocol::Resources;
using time::Instant;

/// The fetch of an image. Its progress is estimated, since machines do not report it.
struct ImageFetch {
  double remaining_gb = 0;
  double size_gb = 0;
  std::uint32_t tasks = 0;            ///< tasks that wait for it
  Priority priority = Priority::low;  ///< of the most urgent of them
};

/// What the assignments on a machine use.
struct ResourceUse {
  Resources reserved;                            ///< by all assignments
  Resources running;                             ///< by tasks that run
  Resources service_load;                        ///< by replicas of services, which do not end
  std::uint32_t assignments = 0;                 ///< number of all assignments
  std::uint32_t services = 0;                    ///< number of those that are replicas of services
  std::map<std::string, std::uint32_t> devices;  ///< named devices in use, by name
  bool operator==(const ResourceUse&) const = default;
};

/// A machine that a worker reports from or that assignments stand on. Owned by the MachineInventory, at an
/// address that stays the same until the machine is erased. Fields that a plan looks at are changed together
/// with MachineInventory::mark_changed.
struct Machine {
  static constexpr std::uint32_t kNoSlot = ~0U;

  std::string name;
  std::string address;                 ///< as its worker reported it
  std::string machine_type;            ///< name in the catalog
  topology::MachineLocation location;  ///< its failure domains and named devices in the active topology
  std::string zone;                    ///< empty until its worker has reported in this term
  bool spot = false;                   ///< the cloud may take it away
  bool token_accepted = false;         ///< its worker has accepted this term's fencing token
  bool silent = false;                 ///< its worker has sent no heartbeat for long
  bool cordoned = false;               ///< it gets no new tasks, since it is about to be returned
  bool evicting = false;               ///< its worker has reported an eviction notice
  bool suspected = false;              ///< its failure domain is lost, or has only just come back
  std::uint64_t incarnation = 0;       ///< of its worker; rises when the worker begins anew without its tasks
  Instant full_until{};                ///< it refused a start for lack of room: no new tasks before this
  ResourceUse use;
  std::map<std::string, ImageFetch> fetches;        ///< under way, by image
  Instant fetches_as_of{};                          ///< when `remaining_gb` of its fetches was estimated
  std::map<std::string, std::uint64_t> images;      ///< cached images: order of last use, rising
  std::map<std::string, double> image_gb;           ///< sizes of the cached images
  std::map<std::string, double> inherited_fetches;  ///< image -> GB left, as the last term's leader knew it
  std::map<std::string, Instant> task_failures;     ///< job -> when a task of it failed here
  std::uint32_t slot = kNoSlot;                     ///< in the placement index
  bool changed = false;                             ///< since the last MachineInventory::take_changed
  bool hint_pending = false;                        ///< changed since the last hint to the standbys

  /// Whether starts may be sent to it.
  bool usable() const { return token_accepted && !silent && !cordoned && !evicting; }
  /// Whether new tasks may be planned for it.
  bool schedulable() const { return usable() && !suspected; }
};

}  // namespace wrenusher::machine_inventory
