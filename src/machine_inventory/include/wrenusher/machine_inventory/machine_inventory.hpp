#pragma once
// Package machine_inventory: the leader's view of the machines that workers report from or that assignments
// stand on. It owns the machine types, where machines stand in the active topology, what is reserved and runs
// on them, their cached images and fetches, and which of them changed since the last plan. It knows nothing
// of jobs. It may depend on time, value, runtime, protocol, topology, placement and estimates.

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

/// All machines of the term. Invariant: what is reserved, running and being fetched on a machine is the sum
/// over the assignments that stand on it (`disagreement` compares). Single-threaded: called from the
/// runtime's loop only. It owns the machines; pointers and references to one hold until it is erased or all
/// are cleared.
class MachineInventory {
 public:
  MachineInventory(Runtime& runtime, const estimates::Estimator& estimator)
      : runtime_(runtime), estimator_(estimator) {}

  // Machines.

  /// A new term: only the machine types and the topology stay known.
  void clear();
  /// The machine of that name, added if it is not known.
  Machine& get_or_add(const std::string& host);
  /// Null when it is not known.
  Machine* find(const std::string& host);
  /// The machine is gone; no assignment may stand on it. Does nothing when it is not known.
  void erase(const std::string& host);
  /// Takes over type, location and state from a heartbeat. `token_accepted`: its worker has accepted this
  /// term's fencing token.
  void update_from_report(Machine& machine, const WorkerReport& report, bool token_accepted);
  /// Ordered by name.
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }

  // Machine types and topology.

  /// Takes over the machine types, unless they are the same as before.
  void set_catalog(std::shared_ptr<const Catalog> catalog);
  /// Null until the cloud or the state service has named the types.
  const Catalog* catalog() const { return catalog_.get(); }
  /// Null while the machine's type is not known.
  const MachineType* type_of(const Machine& machine) const { return find_type(machine.machine_type); }
  /// Null when there is no such type.
  const MachineType* find_type(const std::string& name) const;
  /// Locates every machine anew. Null: no topology is active.
  void set_topology(std::shared_ptr<const topology::Topology> topology);
  /// Null while none is active.
  const topology::Topology* topology() const { return topology_.get(); }
  /// Named devices that waiting jobs ask for: machines that have one are kept for those jobs.
  void set_wanted_devices(std::set<std::string> names);

  // Changes since the last plan and the last hint.

  /// Something changed that a plan looks at.
  void mark_changed(Machine& machine);
  /// The machines marked since the last call, in the order of their first mark.
  [[nodiscard]] std::vector<Machine*> take_changed();
  /// The machines marked since a call last returned them, at most `max_count`; the rest stay pending.
  [[nodiscard]] std::vector<Machine*> take_pending_hints(std::size_t max_count);
  /// Slots in the placement index of machines erased since the last call.
  std::vector<std::uint32_t> take_freed_slots() { return std::exchange(freed_slots_, {}); }
  /// Rises when everything that the placement index shows is void: a new term, other machine types, another
  /// topology.
  std::uint64_t generation() const { return generation_; }

  // Assignments.

  /// A task of the job is assigned to the machine.
  void reserve(Machine& machine, const JobSpec& spec);
  /// Such an assignment has ended.
  void release(Machine& machine, const JobSpec& spec);
  /// An assigned task began to run.
  static void task_started(Machine& machine, const JobSpec& spec) { machine.use.running += spec.resources; }
  /// It no longer runs.
  static void task_stopped(Machine& machine, const JobSpec& spec) { machine.use.running -= spec.resources; }

  // Images.

  /// An image that the last term's leader believed to be on a machine.
  struct InheritedImage {
    std::string image;
    double gb = 0;            ///< its size
    double remaining_gb = 0;  ///< what was left of its fetch; 0: it was cached
  };
  /// Takes over what the last term's leader knew, least recently used images first. Heartbeats correct what
  /// is wrong.
  void adopt_images(Machine& machine, const std::vector<InheritedImage>& inherited);
  /// A task waits for its image on the machine. False when the image is cached there.
  [[nodiscard]] bool begin_fetch(Machine& machine, const JobSpec& spec);
  /// A task that waited has its image, or is gone. Without any such task the fetch is given up.
  void end_fetch(Machine& machine, const JobSpec& spec);
  /// The image was used on the machine: it is cached, and the least recently used ones make way for it.
  void record_image_use(Machine& machine, const JobSpec& spec);
  /// The image that was believed to be cached has made way for others.
  void record_image_eviction(Machine& machine, const JobSpec& spec);
  /// Estimates anew what is left of the machine's fetches. They share its rate evenly, and the rate is off by
  /// up to a third, so a fetch is never taken to be complete before a heartbeat shows it.
  void advance_fetches(Machine& machine);
  /// Machines with a fetch under way.
  const std::set<Machine*>& fetching() const { return fetching_; }

  // Views.

  /// The machine's fetches, as of the last `advance_fetches`.
  static std::vector<placement::PlannedFetch> fetches_of(const Machine& machine);
  /// The machine as the placement index shows it, its fetches as of the last `advance_fetches`.
  placement::PlanMachine to_plan_machine(const Machine& machine, const MachineType& machine_type) const;

  /// What the assignments on one machine add up to.
  struct Recomputed {
    ResourceUse use;
    std::map<std::string, std::uint32_t> fetching_tasks;  ///< image -> tasks that wait for it
  };
  /// Compares what is kept up to date with what was computed anew; empty when they agree.
  std::string disagreement(const std::map<const Machine*, Recomputed>& recomputed) const;

 private:
  topology::MachineLocation locate(const Machine& machine) const;

  Runtime& runtime_;
  const estimates::Estimator& estimator_;
  std::shared_ptr<const Catalog> catalog_;
  std::shared_ptr<const topology::Topology> topology_;
  std::map<std::string, Machine> machines_;
  /// The same machines, hashed: thousands of heartbeats a second look one up. Keys point into the machines.
  std::unordered_map<std::string_view, Machine*> by_name_;
  std::vector<Machine*> changed_;
  std::vector<Machine*> pending_hints_;
  std::vector<std::uint32_t> freed_slots_;
  std::set<Machine*> fetching_;
  std::set<std::string> wanted_devices_;
  std::uint64_t generation_ = 0;
  std::uint64_t image_uses_ = 0;  ///< counter that orders uses of images
};

}  // namespace wrenusher::machine_inventory
