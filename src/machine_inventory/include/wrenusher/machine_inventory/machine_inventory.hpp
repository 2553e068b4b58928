#pragma once
// Package machine_inventory: the leader's view of the machines that workers report from or that claims stand
// on. It owns their types, where they stand in the topology in force, what is booked and runs on them, the
// images they hold and the fetches under way, and which of them changed since the planner last looked; it
// knows nothing of jobs. Invariant: what is booked, running and being fetched on a machine is the sum over
// the claims that stand on it (`disagreement` compares). It may depend on base, protocol, topology, planner
// and estimates.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/placement/placement.hpp"
#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::machine_inventory {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

/// The fetch of an image, as far as it can be told: machines do not report how far they are.
struct ImageFetch {
  double remaining_gb = 0;
  double size_gb = 0;
  std::uint32_t tasks = 0;  ///< that wait for it
  Priority priority = Priority::low;
};

/// What claims use of a machine.
struct ResourceUse {
  Resources reserved;
  Resources running;       ///< of those that run
  Resources service_load;  ///< of those that do not end
  std::uint32_t assignments = 0;
  std::uint32_t services = 0;  ///< claims that do not end
  std::map<std::string, std::uint32_t> devices;
  bool operator==(const ResourceUse&) const = default;
};

struct Machine {
  std::string name;
  std::string address;
  std::string machine_type;
  topology::MachineLocation place;
  std::string zone;  ///< empty until its worker has reported in this term
  bool spot = false;
  bool token_accepted = false;  ///< its worker has taken this term's epoch
  bool silent = false;
  bool cordoned = false;
  bool evicting = false;
  bool suspected = false;  ///< its domain is lost, or has only just come back
  std::uint64_t incarnation = 0;
  Instant full_until{};  ///< it refused a start for lack of room
  ResourceUse use;
  std::map<std::string, ImageFetch> fetches;    ///< bundle -> its fetch
  Instant fetches_as_of{};                      ///< what is left of fetches is as of then
  std::map<std::string, std::uint64_t> images;  ///< bundle -> order of its last use
  std::map<std::string, double> image_gb;
  std::map<std::string, double>
      inherited_fetches;                  ///< bundle -> GB left of it, as the last term's leader told
  std::map<std::string, Instant> errors;  ///< job -> when its task failed here
  std::uint32_t slot = kNoSlot;           ///< on the planner's board
  bool changed = false;                   ///< changed since the planner last looked
  bool hint_pending = false;              ///< changed since standbys were last told
  static constexpr std::uint32_t kNoSlot = ~0U;
  /// Whether tasks may be sent to it.
  bool usable() const { return token_accepted && !silent && !cordoned && !evicting; }
  /// Whether new tasks may be planned for it.
  bool schedulable() const { return usable() && !suspected; }
};

class MachineInventory {
 public:
  MachineInventory(Runtime& runtime, const estimates::Estimator& estimator)
      : runtime_(runtime), estimator_(estimator) {}

  /// A new term: nothing is known but the types and the topology.
  void clear();
  /// The machine of that name, made known if it is not.
  Machine& get_or_add(const std::string& host);
  /// Null when it is not known.
  Machine* find(const std::string& host);
  void erase(const std::string& host);
  /// A report tells what and where the machine is.
  void update_from_report(Machine& machine, const WorkerReport& report, bool current);
  /// By name.
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }

  void set_catalog(std::shared_ptr<const Catalog> catalog);
  /// Null: there is none. Every machine's place is told anew.
  void set_topology(std::shared_ptr<const topology::Topology> topology);
  const topology::Topology* topology() const { return topology_.get(); }
  /// Devices that waiting jobs want: machines that have one are left to them.
  void set_wanted_devices(std::set<std::string> names);
  /// Something that a plan looks at has changed.
  void mark_changed(Machine& machine);
  /// Those touched since the last call.
  std::vector<Machine*> take_changed();
  /// Those touched since the last call that this returned them, at most so many.
  std::vector<Machine*> take_pending_hints(std::size_t most);
  /// Images that were held there, those used longest ago first, and fetches under way with what was left of
  /// them, by another's word: reports put right what is wrong.
  struct InheritedImage {
    std::string image;
    double gb = 0;
    double remaining_gb = 0;  ///< of a fetch; 0: it is held
  };
  void adopt_images(Machine& machine, const std::vector<InheritedImage>& held);
  /// Slots of machines that are gone.
  std::vector<std::uint32_t> take_freed_slots() { return std::exchange(freed_slots_, {}); }
  /// Rises when all that the planner knows of machines is void: a new term, other types,
  /// another topology.
  std::uint64_t generation() const { return generation_; }
  /// Those with a fetch under way.
  const std::set<Machine*>& fetching() const { return fetching_; }
  /// Null until the cloud or the state service has told the types.
  const Catalog* catalog() const { return catalog_.get(); }
  /// Null while the machine's type is not known.
  const MachineType* type_of(const Machine& machine) const { return find_type(machine.machine_type); }
  const MachineType* find_type(const std::string& name) const;

  /// A claim for a task of the job stands on the machine from now on, or no more.
  void reserve(Machine& machine, const JobSpec& spec);
  void release(Machine& machine, const JobSpec& spec);
  /// A claimed task runs from now on, or no more.
  static void task_started(Machine& machine, const JobSpec& spec) { machine.use.running += spec.resources; }
  static void task_stopped(Machine& machine, const JobSpec& spec) { machine.use.running -= spec.resources; }

  /// A task waits for its image there; false when the image is there already.
  bool begin_fetch(Machine& machine, const JobSpec& spec);
  /// A task that waited has its image, or is gone. Without one a fetch is given up.
  void end_fetch(Machine& machine, const JobSpec& spec);
  /// The image was used there: it is held, and what was used longest ago makes way for it.
  void record_image_use(Machine& machine, const JobSpec& spec);
  /// The image that was believed to be there has made way for others.
  void record_image_eviction(Machine& machine, const JobSpec& spec);
  /// Brings what is left of the fetches up to now. They share the machine's rate evenly, and the rate is off
  /// by up to a third, so a fetch is never believed over before a report says so.
  void advance_fetches(Machine& machine);

  /// Its fetches, as of the last `progress_pulls`.
  static std::vector<placement::PlannedFetch> fetches_of(const Machine& machine);
  /// The machine as the planner sees it, fetches as of the last `progress_pulls`.
  placement::PlanMachine to_plan_machine(const Machine& machine, const MachineType& machine_type) const;

  /// What the claims on one machine add up to.
  struct Recomputed {
    ResourceUse use;
    std::map<std::string, std::uint32_t> fetching_tasks;  ///< bundle -> tasks that wait for it
  };
  /// Compares what is kept up with what was reckoned anew; empty when they agree.
  std::string disagreement(const std::map<const Machine*, Recomputed>& anew) const;

 private:
  Runtime& runtime_;
  const estimates::Estimator& estimator_;
  std::shared_ptr<const Catalog> catalog_;
  std::shared_ptr<const topology::Topology> topology_;
  std::map<std::string, Machine> machines_;
  std::unordered_map<std::string_view, Machine*> by_name_;  ///< the same, to look one up among thousands
  std::vector<Machine*> changed_;
  std::vector<Machine*> pending_hints_;
  std::vector<std::uint32_t> freed_slots_;
  std::set<Machine*> fetching_;
  std::set<std::string> wanted_devices_;
  std::uint64_t generation_ = 0;
  std::uint64_t image_uses_ = 0;  ///< of images, so far
};

}  // namespace wrenusher::machine_inventory
