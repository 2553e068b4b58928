#pragma once
// Package machines: the leader's view of the machines that workers report from or that claims stand on. It
// owns their types, where they stand in the topology in force, what is booked and runs on them, the images
// they hold and the fetches under way, and which of them changed since the planner last looked; it knows
// nothing of jobs. Invariant: what is booked, running and being fetched on a machine is the sum over the
// claims that stand on it (`disagreement` compares). It may depend on base, protocol, topology, planner and
// estimates.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/planner/planner.hpp"
#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::machines {

using namespace base;
using namespace protocol;

/// The fetch of an image, as far as it can be told: machines do not report how far they are.
struct Pulling {
  double left_gb = 0;
  double size_gb = 0;
  std::uint32_t tasks = 0;  ///< that wait for it
  Urgency urgency = Urgency::low;
};

/// What claims use of a machine.
struct Use {
  Needs booked;
  Needs running;  ///< of those that run
  Needs lasting;  ///< of those that do not end
  std::uint32_t claims = 0;
  std::uint32_t services = 0;  ///< claims that do not end
  std::map<std::string, std::uint32_t> devices;
  bool operator==(const Use&) const = default;
};

struct Machine {
  std::string name;
  std::string addr;
  std::string flavor;
  topology::Place place;
  std::string site;  ///< empty until its worker has reported in this term
  bool standby = false;
  bool current = false;  ///< its worker has taken this term's epoch
  bool quiet = false;
  bool condemned = false;
  bool warned = false;
  bool doubted = false;  ///< its domain is lost, or has only just come back
  std::uint64_t tenure = 0;
  Instant full_until{};  ///< it refused a start for lack of room
  Use use;
  std::map<std::string, Pulling> pulling;       ///< bundle -> its fetch
  Instant pulled_at{};                          ///< what is left of fetches is as of then
  std::map<std::string, std::uint64_t> images;  ///< bundle -> order of its last use
  std::map<std::string, double> image_gb;
  std::map<std::string, double> fetched;  ///< bundle -> GB left of it, as the last term's leader told
  std::map<std::string, Instant> errors;  ///< job -> when its task failed here
  std::uint32_t slot = kNoSlot;           ///< on the planner's board
  bool touched = false;                   ///< changed since the planner last looked
  bool untold = false;                    ///< changed since standbys were last told
  static constexpr std::uint32_t kNoSlot = ~0U;
  /// Whether tasks may be sent to it.
  bool usable() const { return current && !quiet && !condemned && !warned; }
  /// Whether new tasks may be planned for it.
  bool open() const { return usable() && !doubted; }
};

class Machines {
 public:
  Machines(Runtime& rt, const estimates::Estimator& estimator) : rt_(rt), estimator_(estimator) {}

  /// A new term: nothing is known but the types and the topology.
  void clear();
  /// The machine of that name, made known if it is not.
  Machine& at(const std::string& host);
  /// Null when it is not known.
  Machine* find(const std::string& host);
  void erase(const std::string& host);
  /// A report tells what and where the machine is.
  void seen(Machine& m, const WorkerReport& r, bool current);
  /// By name.
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }

  void take_catalog(std::shared_ptr<const Catalog> catalog);
  /// Null: there is none. Every machine's place is told anew.
  void take_topology(std::shared_ptr<const topology::Topology> t);
  const topology::Topology* topology() const { return topology_.get(); }
  /// Devices that waiting jobs want: machines that have one are left to them.
  void want_devices(std::set<std::string> names);
  /// Something that a plan looks at has changed.
  void touch(Machine& m);
  /// Those touched since the last call.
  std::vector<Machine*> take_touched();
  /// Those touched since the last call that this returned them, at most so many.
  std::vector<Machine*> take_untold(std::size_t most);
  /// Images that were held there, those used longest ago first, and fetches under way with what was left of
  /// them, by another's word: reports put right what is wrong.
  struct Held {
    std::string bundle;
    double gb = 0;
    double left_gb = 0;  ///< of a fetch; 0: it is held
  };
  void inherit(Machine& m, const std::vector<Held>& held);
  /// Slots of machines that are gone.
  std::vector<std::uint32_t> take_freed() { return std::exchange(freed_, {}); }
  /// Rises when all that the planner knows of machines is void: a new term, other types,
  /// another topology.
  std::uint64_t generation() const { return generation_; }
  /// Those with a fetch under way.
  const std::set<Machine*>& pulling() const { return pulling_; }
  /// Null until the cloud or the state service has told the types.
  const Catalog* catalog() const { return catalog_.get(); }
  /// Null while the machine's type is not known.
  const Flavor* flavor(const Machine& m) const { return type(m.flavor); }
  const Flavor* type(const std::string& name) const;

  /// A claim for a task of the job stands on the machine from now on, or no more.
  void book(Machine& m, const JobSpec& spec);
  void unbook(Machine& m, const JobSpec& spec);
  /// A claimed task runs from now on, or no more.
  static void runs(Machine& m, const JobSpec& spec) { m.use.running += spec.needs; }
  static void rests(Machine& m, const JobSpec& spec) { m.use.running -= spec.needs; }

  /// A task waits for its image there; false when the image is there already.
  bool begin_pull(Machine& m, const JobSpec& spec);
  /// A task that waited has its image, or is gone. Without one a fetch is given up.
  void end_pull(Machine& m, const JobSpec& spec);
  /// The image was used there: it is held, and what was used longest ago makes way for it.
  void use_image(Machine& m, const JobSpec& spec);
  /// The image that was believed to be there has made way for others.
  void lose_image(Machine& m, const JobSpec& spec);
  /// Brings what is left of the fetches up to now. They share the machine's rate evenly, and the rate is off
  /// by up to a third, so a fetch is never believed over before a report says so.
  void progress_pulls(Machine& m);

  /// Its fetches, as of the last `progress_pulls`.
  static std::vector<planner::Pull> pulls_of(const Machine& m);
  /// The machine as the planner sees it, fetches as of the last `progress_pulls`.
  planner::PlanHost plan_host(const Machine& m, const Flavor& f) const;

  /// What the claims on one machine add up to.
  struct Reckoned {
    Use use;
    std::map<std::string, std::uint32_t> pulls;  ///< bundle -> tasks that wait for it
  };
  /// Compares what is kept up with what was reckoned anew; empty when they agree.
  std::string disagreement(const std::map<const Machine*, Reckoned>& anew) const;

 private:
  Runtime& rt_;
  const estimates::Estimator& estimator_;
  std::shared_ptr<const Catalog> catalog_;
  std::shared_ptr<const topology::Topology> topology_;
  std::map<std::string, Machine> machines_;
  std::unordered_map<std::string_view, Machine*> by_name_;  ///< the same, to look one up among thousands
  std::vector<Machine*> touched_;
  std::vector<Machine*> untold_;
  std::vector<std::uint32_t> freed_;
  std::set<Machine*> pulling_;
  std::set<std::string> wanted_;
  std::uint64_t generation_ = 0;
  std::uint64_t uses_ = 0;  ///< of images, so far
};

}  // namespace wrenusher::machines
