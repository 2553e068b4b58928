#pragma once
// Keeps the placement index in line with the job table and the machine inventory.

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/placement/placement_index.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/scheduling_cycle/reserved_types.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::scheduling_cycle {

using job_table::Job;
using job_table::JobTable;
using job_table::TaskAssignment;
using job_table::TaskState;
using machine_inventory::Machine;
using machine_inventory::MachineInventory;
using runtime::Runtime;
using settings::Settings;
using time::Instant;
using time::Micros;
using time::WallTime;

/// Owns the placement index and applies to it what changed since the last plan. It also decides which waiting
/// jobs may be planned at all, and which machine types each of them leaves to others. Invariant: the index
/// shows what job table and inventory would show if it were built anew (`disagreement` compares).
/// Single-threaded: called from the runtime's loop only. Everything passed to the constructor must outlive
/// it.
class IndexUpdater {
 public:
  using Slot = placement::PlacementIndex::Slot;

  IndexUpdater(Runtime& runtime, const Settings& settings, JobTable& jobs, MachineInventory& machines,
               const estimates::Estimator& estimator)
      : runtime_(runtime), settings_(settings), jobs_(jobs), machines_(machines), estimator_(estimator) {}

  /// Brings the index up to date. The machine types must be known.
  void update();
  /// Machine types of which the cloud has none. True when they are others than before.
  [[nodiscard]] bool set_exhausted_types(std::set<std::string> types);
  /// Until then machines may still report that hold these images and have room: a job that needs one of them
  /// is placed nowhere else. `machines_by_image` counts them; the caller owns it and keeps it up to date.
  void expect_images(const std::map<std::string, std::uint32_t>* machines_by_image, Instant until) {
    expected_images_ = machines_by_image;
    expected_until_ = until;
  }

  placement::PlacementIndex& index() { return index_; }
  const placement::PlacementIndex& index() const { return index_; }
  /// The topology that the index reflects; null while none is active.
  const topology::Topology* topology() const { return topology_; }
  /// What stands in a slot of the index.
  Job& job_at(Slot slot) const { return *job_by_slot_[slot]; }
  Machine& machine_at(Slot slot) const { return *machine_by_slot_[slot]; }
  /// How long the job in this slot leaves reserved machine types to others, from its acceptance.
  Micros patience_at(Slot slot) const { return job_states_.at(job_at(slot).id).patience; }
  /// Remembers why the job's layout keeps it waiting. True when the reason is another than before.
  [[nodiscard]] bool record_wait_reason(Slot slot, const std::string& reason);

  /// Computes anew what the index shows of machines that have not changed since, and says what differs; empty
  /// when nothing does.
  std::string disagreement() const;

 private:
  static constexpr std::uint64_t kNever = std::numeric_limits<std::uint64_t>::max();

  /// What a job's entry in the index was made from: while it is the same, the entry stays as it is.
  struct EntryBasis {
    std::uint64_t change_count = kNever;        ///< Job::change_count; kNever: to be made anew
    std::uint64_t type_state_version = kNever;  ///< of what decides which types the job leaves to others
    bool guaranteed = false;                    ///< it fits into its team's guarantee
    bool near_image = false;                    ///< it is placed only where its image is, or nearly is
    bool patient = false;                       ///< it still leaves reserved types to others
    bool pressed = false;                       ///< it no longer does, since it would be late
    bool operator==(const EntryBasis&) const = default;
  };
  /// What is remembered of a live job from one cycle to the next.
  struct JobState {
    Slot slot = 0;           ///< in the index, while `on_index`
    bool on_index = false;   ///< the job has an entry in the index
    bool unlocated = false;  ///< it has none, since it is not known yet where all of its tasks are
    EntryBasis basis;        ///< of the entry made last
    std::uint64_t estimate_version = kNever;  ///< version of its class's estimates that `estimate` follows
    Micros estimate{};                        ///< estimated run time of a task
    std::set<std::string> fitting_types;      ///< machine types on which its tasks could run
    std::set<std::string> reserved_types;     ///< of those, the ones that other jobs cannot do without
    /// How long a new machine takes to boot, of a type that the job leaves to nobody: it waits for so long
    /// before it takes reserved types.
    Micros patience{};
    std::string wait_reason;  ///< why its layout keeps it waiting, as last logged
  };
  /// A live job with its state; both live until the job is removed.
  struct LiveJob {
    Job* job;
    JobState* state;
  };
  /// A machine that refused a start for lack of room.
  struct FullMachine {
    Instant until;  ///< it gets no tasks before
    std::string host;
  };
  static bool accepted_before(const LiveJob& a, const LiveJob& b);

  // Jobs and their estimates.
  void rebuild_if_void();
  LiveJob track_job(Job& job);
  void update_jobs();
  void update_estimate(const Job& job, JobState& state);

  // Machines.
  void update_machines();
  void update_machine(Machine& machine);
  std::vector<placement::EndingTask> ending_tasks(const Machine& machine) const;
  std::string machine_disagreement(const Machine& machine) const;

  // Waiting jobs.
  void update_reserved_types();
  void update_waiting_jobs();
  bool may_start(Job& job);
  bool gang_may_start(Job& job);
  void update_type_state(JobState& state) const;
  EntryBasis entry_basis(Job& job, const JobState& state, bool guaranteed, WallTime now);
  void place_on_index(Job& job, JobState& state);
  placement::PlanJob to_plan_job(const Job& job, const JobState& state) const;
  void apply_patience(placement::PlanJob& plan_job, JobState& state) const;
  void remove_from_index(JobState& state);

  // Images.
  bool expects_image(const Job& job) const;
  bool wait_near_image(Job& job) const;
  bool could_make_room(const Machine& machine, const protocol::JobSpec& spec) const;

  Runtime& runtime_;
  const Settings& settings_;
  JobTable& jobs_;
  MachineInventory& machines_;
  const estimates::Estimator& estimator_;
  placement::PlacementIndex index_;
  std::unordered_map<std::uint64_t, JobState> job_states_;  ///< by Job::id
  std::vector<LiveJob> jobs_by_age_;                        ///< in the order of acceptance
  std::vector<Job*> job_by_slot_;
  std::vector<Machine*> machine_by_slot_;
  std::vector<FullMachine> full_machines_;
  std::uint64_t generation_ = kNever;             ///< of the inventory that the index reflects
  const topology::Topology* topology_ = nullptr;  ///< owned by the inventory, of that generation
  /// Rises when types become reserved, exhausted or known, or are no longer, and when domains change.
  std::uint64_t type_state_version_ = 0;
  ReservedTypes reserved_types_;
  std::set<std::string> exhausted_types_;
  const std::map<std::string, std::uint32_t>* expected_images_ = nullptr;  ///< not owned, see expect_images
  Instant expected_until_{};
};

}  // namespace wrenusher::scheduling_cycle
