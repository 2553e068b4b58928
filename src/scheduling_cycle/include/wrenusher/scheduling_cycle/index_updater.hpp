#pragma once
// Keeps the placement index consistent with the job table and the machine inventory.

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

/// Owns the placement index, the input of a plan, and applies the changes since the last plan to it. Decides
/// which waiting jobs may be planned, and which reserved machine types each of them must not use. A slot is
/// the number of a job or of a machine in the index.
///
/// Invariant: the index equals one that is rebuilt from the job table and the inventory (`disagreement`
/// verifies this for the machines).
///
/// Single-threaded: called from the runtime's loop only. Everything passed to the constructor must outlive
/// it.
class IndexUpdater {
 public:
  using Slot = placement::PlacementIndex::Slot;

  IndexUpdater(Runtime& runtime, const Settings& settings, JobTable& jobs, MachineInventory& machines,
               const estimates::Estimator& estimator)
      : runtime_(runtime), settings_(settings), jobs_(jobs), machines_(machines), estimator_(estimator) {}

  /// Brings the index up to date. The inventory must have a machine type catalog.
  void update();
  /// Sets the machine types of which the cloud has no machines. Returns true if the set has changed.
  [[nodiscard]] bool set_exhausted_types(std::set<std::string> types);
  /// Until `until`, a job that needs one of these images is placed only on machines that have the image: more
  /// machines with the image and free room may still report until then. `machines_by_image`: the number of
  /// such machines that have not reported yet, by image; the caller owns it and keeps it up to date.
  void expect_images(const std::map<std::string, std::uint32_t>* machines_by_image, Instant until) {
    expected_images_ = machines_by_image;
    expected_until_ = until;
  }

  placement::PlacementIndex& index() { return index_; }
  const placement::PlacementIndex& index() const { return index_; }
  /// Returns the topology that the index is based on; null while none is active.
  const topology::Topology* topology() const { return topology_; }
  /// Returns the job or the machine in a slot of the index.
  Job& job_at(Slot slot) const { return *job_by_slot_[slot]; }
  Machine& machine_at(Slot slot) const { return *machine_by_slot_[slot]; }
  /// Returns for how long after its acceptance the job in this slot must not use reserved machine types.
  Micros reserved_type_wait_at(Slot slot) const { return job_states_.at(job_at(slot).id).reserved_type_wait; }
  /// Stores the reason why the job's layout makes it wait. Returns true if the reason has changed.
  [[nodiscard]] bool record_wait_reason(Slot slot, const std::string& reason);

  /// Recomputes the entries of the machines that have not changed since the last update, and returns the
  /// first difference found, as a sentence; empty when there is none.
  std::string disagreement() const;

 private:
  static constexpr std::uint64_t kNoVersion = std::numeric_limits<std::uint64_t>::max();

  /// The inputs from which a job's entry in the index was made. While they are equal, the entry is kept.
  struct EntryInputs {
    std::uint64_t change_count = kNoVersion;  ///< Job::change_count; kNoVersion: the entry must be remade
    std::uint64_t type_state_version = kNoVersion;  ///< see `type_state_version_`
    bool guaranteed = false;                        ///< the job fits into its team's guarantee
    /// The job is placed only on machines that have its image or have fetched most of it.
    bool near_image = false;
    bool avoids_reserved_types = false;  ///< the job's wait for other types has not run out
    bool deadline_at_risk = false;  ///< the job uses reserved types in spite of that, to meet its deadline
    bool operator==(const EntryInputs&) const = default;
  };
  /// The state of a live job that is kept between cycles.
  struct JobState {
    Slot slot = 0;                  ///< slot in the index, valid while `in_index`
    bool in_index = false;          ///< the job has an entry in the index
    bool location_unknown = false;  ///< there is no entry, since the location of a task is unknown
    EntryInputs inputs;             ///< inputs of the current or last entry
    std::uint64_t estimate_version = kNoVersion;  ///< version of its class's estimates behind `estimate`
    Micros estimate{};                            ///< estimated run time of a task
    std::set<std::string> fitting_types;          ///< machine types on which its tasks could run
    /// Those of `fitting_types` that are reserved for jobs that fit no other type.
    std::set<std::string> reserved_types;
    /// Time for which the job waits before it uses reserved types: the boot time of a new machine of a type
    /// that is not reserved (the longest of these types).
    Micros reserved_type_wait{};
    std::string wait_reason;  ///< last logged reason why its layout makes it wait
  };
  /// A live job with its state; both are valid until the job is removed.
  struct LiveJob {
    Job* job;
    JobState* state;
  };
  /// A machine that refused a start for lack of room.
  struct FullMachine {
    Instant until;  ///< it gets no tasks before this time
    std::string host;
  };
  static bool accepted_before(const LiveJob& a, const LiveJob& b);

  // Jobs and their estimates.
  void rebuild_if_outdated();
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
  void update_job_types(JobState& state) const;
  EntryInputs entry_inputs(Job& job, const JobState& state, bool guaranteed, WallTime now);
  void update_index_entry(Job& job, JobState& state);
  placement::PlanJob to_plan_job(const Job& job, const JobState& state) const;
  void exclude_reserved_types(placement::PlanJob& plan_job, JobState& state) const;
  void remove_from_index(JobState& state);

  // Images.
  bool expects_image(const Job& job) const;
  bool should_wait_near_image(Job& job) const;
  bool could_make_room(const Machine& machine, const protocol::JobSpec& spec) const;

  Runtime& runtime_;
  const Settings& settings_;
  JobTable& jobs_;
  MachineInventory& machines_;
  const estimates::Estimator& estimator_;
  placement::PlacementIndex index_;
  std::unordered_map<std::uint64_t, JobState> job_states_;  ///< by Job::id
  std::vector<LiveJob> jobs_by_age_;                        ///< in order of acceptance
  std::vector<Job*> job_by_slot_;
  std::vector<Machine*> machine_by_slot_;
  std::vector<FullMachine> full_machines_;
  std::uint64_t generation_ = kNoVersion;         ///< generation of the inventory that the index is based on
  const topology::Topology* topology_ = nullptr;  ///< of that generation; owned by the inventory
  /// Rises when the reserved types, the exhausted types, the machine type catalog or the domains change.
  std::uint64_t type_state_version_ = 0;
  ReservedTypes reserved_types_;
  std::set<std::string> exhausted_types_;
  const std::map<std::string, std::uint32_t>* expected_images_ = nullptr;  ///< not owned, see expect_images
  Instant expected_until_{};
};

}  // namespace wrenusher::scheduling_cycle
