#pragma once
// Package machine_inventory: the leader's state of all machines that have assignments or whose workers report
// to the leader. It keeps no jobs.
//
// It owns the machine types, the locations of the machines in the active topology, their reserved and used
// resources, their cached images and fetches, and the lists of machines changed since the last plan and since
// the last hints to the standbys (see events/hints.hpp).
//
// It may depend on time, value, runtime, protocol, topology, placement and estimates.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/machine_inventory/machine.hpp"
#include "wrenusher/placement/placement.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::machine_inventory {

using protocol::Catalog;
using protocol::JobSpec;
using protocol::MachineType;
using protocol::WorkerReport;
using runtime::Runtime;

/// All machines of the term. Invariant: the reserved and running resources and the fetches of a machine are
/// the sums over its assignments (`disagreement` verifies this). Single-threaded: called from the runtime's
/// loop only. Owns the machines; pointers and references to a machine stay valid until `erase` or `clear`.
class MachineInventory {
 public:
  MachineInventory(Runtime& runtime, const estimates::Estimator& estimator)
      : runtime_(runtime), estimator_(estimator) {}

  // Machines.

  /// Removes all machines, as a new term begins. The machine types and the topology stay.
  void clear();
  /// Returns the machine with this name, and adds it if there is none.
  Machine& get_or_add(const std::string& host);
  /// Returns the machine with this name, or null if there is none.
  Machine* find(const std::string& host);
  /// Removes the machine, which must have no assignments. Does nothing if there is no such machine.
  void erase(const std::string& host);
  /// Updates type, location and state from a worker's report. `token_accepted` is true if the worker has
  /// accepted this term's fencing token.
  void update_from_report(Machine& machine, const WorkerReport& report, bool token_accepted);
  /// Returns all machines, ordered by name.
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }

  // Machine types and topology.

  /// Replaces the machine types, unless the new ones are equal to the current ones.
  void set_catalog(std::shared_ptr<const Catalog> catalog);
  /// Returns the machine types, or null until they were received from the cloud or the state service.
  const Catalog* catalog() const { return catalog_.get(); }
  /// Returns the type of the machine, or null while it is unknown.
  const MachineType* type_of(const Machine& machine) const { return find_type(machine.machine_type); }
  /// Returns the type with this name, or null if there is none.
  const MachineType* find_type(const std::string& name) const;
  /// Sets the active topology and updates the location of every machine. Null: no topology is active.
  void set_topology(std::shared_ptr<const topology::Topology> topology);
  /// Returns the active topology, or null if none is active.
  const topology::Topology* topology() const { return topology_.get(); }
  /// Sets the named devices that waiting jobs require. Machines with such a device are reserved for these
  /// jobs.
  void set_wanted_devices(std::set<std::string> names);

  // Changes since the last plan and the last hint to the standbys.

  /// Marks the machine as changed for the next plan and for the next hint.
  void mark_changed(Machine& machine);
  /// Returns the machines marked since the last call, in the order of their first mark.
  [[nodiscard]] std::vector<Machine*> take_changed();
  /// Returns at most `max_count` of the machines that were marked and have not been returned by this function
  /// since then. The next calls return the others.
  [[nodiscard]] std::vector<Machine*> take_pending_hints(std::size_t max_count);
  /// Returns the slots (numbers of machines in the placement index) of the machines erased since the last
  /// call.
  std::vector<std::uint32_t> take_freed_slots() { return std::exchange(freed_slots_, {}); }
  /// Returns a number that rises whenever the whole placement index becomes invalid: with a new term, other
  /// machine types or another topology.
  std::uint64_t generation() const { return generation_; }

  // Assignments.

  /// Adds the resources of a task that was assigned to the machine.
  void reserve(Machine& machine, const JobSpec& spec);
  /// Subtracts the resources of a task whose assignment to the machine has ended.
  void release(Machine& machine, const JobSpec& spec);
  /// Adds the resources of an assigned task that started to run.
  static void task_started(Machine& machine, const JobSpec& spec) { machine.use.running += spec.resources; }
  /// Subtracts the resources of a task that no longer runs.
  static void task_stopped(Machine& machine, const JobSpec& spec) { machine.use.running -= spec.resources; }

  // Images.

  /// An image that is cached or being fetched on a machine according to the previous leader's hints.
  struct InheritedImage {
    std::string image;
    double gb = 0;            ///< size of the image
    double remaining_gb = 0;  ///< remaining size of its fetch; 0: it was cached
  };
  /// Adopts the images from the previous leader's hints, ordered from least to most recently used. Reports
  /// correct wrong entries.
  void adopt_images(Machine& machine, const std::vector<InheritedImage>& inherited);
  /// Adds a task that waits for its image on the machine. Returns false if the image is cached there, so that
  /// no fetch is needed.
  [[nodiscard]] bool begin_fetch(Machine& machine, const JobSpec& spec);
  /// Removes a task that waited for its image, because the image has arrived or the task has ended. Removes
  /// the fetch if no other task waits for it.
  void end_fetch(Machine& machine, const JobSpec& spec);
  /// Records that a task used the image: it is cached now, and the least recently used images beyond the
  /// cache size are evicted.
  void record_image_use(Machine& machine, const JobSpec& spec);
  /// Records that the machine has evicted an image that was listed as cached.
  void record_image_eviction(Machine& machine, const JobSpec& spec);
  /// Updates the estimated remaining size of the machine's fetches, which share its fetch rate evenly. The
  /// actual rate may differ by up to a third, so a fetch is never considered complete before a report shows
  /// it.
  void advance_fetches(Machine& machine);
  /// Returns the machines with a fetch in progress.
  const std::set<Machine*>& fetching() const { return fetching_; }

  // Views.

  /// Returns the machine's fetches, as of the last `advance_fetches`.
  static std::vector<placement::PlannedFetch> fetches_of(const Machine& machine);
  /// Returns the machine's entry for the placement index, with its fetches as of the last `advance_fetches`.
  placement::PlanMachine to_plan_machine(const Machine& machine, const MachineType& machine_type) const;

  /// The resource use and the fetches of one machine, recomputed from its assignments.
  struct Recomputed {
    ResourceUse use;
    std::map<std::string, std::uint32_t> fetching_tasks;  ///< image -> number of tasks that wait for it
  };
  /// Compares the incrementally updated state with the recomputed one. Returns a description of the first
  /// difference, or an empty string if there is none.
  std::string disagreement(const std::map<const Machine*, Recomputed>& recomputed) const;

 private:
  topology::MachineLocation locate(const Machine& machine) const;

  Runtime& runtime_;
  const estimates::Estimator& estimator_;
  std::shared_ptr<const Catalog> catalog_;
  std::shared_ptr<const topology::Topology> topology_;
  std::map<std::string, Machine> machines_;
  /// Hash index of the machines, since each of thousands of reports a second looks up a machine. The keys
  /// point into `machines_`.
  std::unordered_map<std::string_view, Machine*> by_name_;
  std::vector<Machine*> changed_;
  std::vector<Machine*> pending_hints_;
  std::vector<std::uint32_t> freed_slots_;
  std::set<Machine*> fetching_;
  std::set<std::string> wanted_devices_;
  std::uint64_t generation_ = 0;
  std::uint64_t image_uses_ = 0;  ///< sequence number of the latest use of an image
};

}  // namespace wrenusher::machine_inventory
