#pragma once
// The leader's state of one machine.

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

/// The fetch of an image by a machine. Its progress is estimated, since machines do not report it.
struct ImageFetch {
  double remaining_gb = 0;
  double size_gb = 0;
  std::uint32_t tasks = 0;            ///< number of tasks that wait for the image
  Priority priority = Priority::low;  ///< priority of the most urgent of these tasks
};

/// The resources that the assignments on a machine use.
struct ResourceUse {
  Resources reserved;                            ///< reserved by all assignments
  Resources running;                             ///< used by running tasks
  Resources service_load;                        ///< reserved by replicas of services, which do not end
  std::uint32_t assignments = 0;                 ///< number of all assignments
  std::uint32_t services = 0;                    ///< number of assignments that are replicas of services
  std::map<std::string, std::uint32_t> devices;  ///< number of devices in use, by device name
  bool operator==(const ResourceUse&) const = default;
};

/// A machine whose worker reports or that has assignments. Owned by the MachineInventory, at an address that
/// stays the same until the machine is erased. Whoever changes a field that a plan depends on also calls
/// MachineInventory::mark_changed.
struct Machine {
  static constexpr std::uint32_t kNoSlot = ~0U;

  std::string name;
  std::string address;                 ///< address from its worker's report
  std::string machine_type;            ///< name in the catalog
  topology::MachineLocation location;  ///< its failure domains and named devices in the active topology
  std::string zone;                    ///< empty until its worker has reported in this term
  bool spot = false;                   ///< whether the cloud may reclaim it
  bool token_accepted = false;         ///< whether its worker has accepted this term's fencing token
  bool silent = false;                 ///< whether its worker has stopped reporting
  bool cordoned = false;               ///< whether it gets no new tasks because it will be returned
  bool evicting = false;               ///< whether its worker has reported an eviction notice
  bool suspected = false;              ///< whether its failure domain is lost or recovered only recently
  std::uint64_t incarnation = 0;  ///< incarnation of its worker; rises when the worker restarts without tasks
  Instant full_until{};  ///< it gets no new tasks before this time, since it refused a start for lack of room
  ResourceUse use;
  std::map<std::string, ImageFetch> fetches;    ///< fetches in progress, by image
  Instant fetches_estimated_at{};               ///< when `remaining_gb` of its fetches was estimated
  std::map<std::string, std::uint64_t> images;  ///< cached image -> sequence number of its last use
  std::map<std::string, double> image_gb;       ///< sizes of the cached images
  std::map<std::string, double>
      inherited_fetches;                         ///< image -> remaining GB, from the previous leader's hints
  std::map<std::string, Instant> task_failures;  ///< job -> time of the last failure of one of its tasks here
  std::uint32_t slot = kNoSlot;                  ///< its number in the placement index
  bool changed = false;                          ///< whether marked since the last take_changed
  bool hint_pending = false;                     ///< whether marked since its last hint to the standbys

  /// Returns whether start commands may be sent to its worker.
  bool usable() const { return token_accepted && !silent && !cordoned && !evicting; }
  /// Returns whether a plan may place new tasks on it.
  bool schedulable() const { return usable() && !suspected; }
};

}  // namespace wrenusher::machine_inventory
