#pragma once
// Package scheduling_cycle: the round that asks the planner and applies its plan. It owns the planner's board
// and keeps it up with what changes in book and machines, when to plan, which machine types are kept for
// those who need them, and what the cloud is known not to have; it makes claims in the book, and says whom to
// stop and what is short. Invariant: the board shows what book and machines would show anew (`disagreement`
// compares). It may depend on base, settings, protocol, topology, mail, planner, estimates, book and
// machines.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/placement/placement_index.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::scheduling_cycle {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace protocol;
using namespace events;
using job_table::Job;
using job_table::JobTable;
using job_table::TaskAssignment;
using job_table::TaskState;
using machine_inventory::Machine;
using machine_inventory::MachineInventory;

class SchedulingCycle {
 public:
  SchedulingCycle(Runtime& runtime, const Settings& settings, JobTable& jobs, MachineInventory& machines,
                  const estimates::Estimator& estimator)
      : runtime_(runtime), settings_(settings), book_(jobs), machines_(machines), estimator_(estimator) {}

  /// Something changed that a plan may use.
  void request_plan() { plan_requested_ = true; }
  void on_capacity(const CapacityChanged& event);
  /// Until then machines may still be heard that hold these images and have room: no other place is taken for
  /// a job that needs one. Counts by bundle, kept up by the caller.
  void expect_images(const std::map<std::string, std::uint32_t>* held, Instant until) {
    expected_images_ = held;
    expected_until_ = until;
  }
  /// Whether there is a reason to plan: news, or the time that passes without any.
  bool due() const;
  /// How many plans have been made.
  std::uint64_t plan_count() const { return plan_count_; }

  struct Result {
    std::vector<DirectCommands> stops;         ///< to be sent at once
    std::shared_ptr<const Workload> workload;  ///< null where it is too soon to tell again
  };
  /// Plans and claims. Does nothing while the machine types are not known.
  Result plan();
  /// Task counts for display; null where it is too soon to tell again.
  std::shared_ptr<const Progress> progress();
  /// What the last plan looked at.
  const placement::PlacementIndex::PlanStatistics& statistics() const { return index_.statistics(); }
  /// Reckons anew what the board shows of machines that have not changed since, and says what differs; empty
  /// when nothing does.
  std::string disagreement() const;

 private:
  using Slot = placement::PlacementIndex::Slot;
  /// What is remembered of a live job from round to round.
  struct JobState {
    Slot slot = 0;
    bool on_index = false;
    std::uint64_t change_count = ~std::uint64_t{0};      ///< of the job, as it stands on the board
    std::uint64_t estimate_version = ~std::uint64_t{0};  ///< of its queue's estimates
    std::uint64_t type_state_version =
        ~std::uint64_t{0};  ///< of what decides which types it leaves to others
    Micros estimate{};
    bool guaranteed = false;
    bool near_image = false;
    bool unlocated = false;                ///< where its tasks are is not known yet
    bool patient = false;                  ///< it still leaves types to others
    bool pressed = false;                  ///< no more, since it would be late
    std::set<std::string> fitting_types;   ///< types
    std::set<std::string> reserved_types;  ///< of those, what others need
    Micros patience{};
    std::string wait_reason;  ///< why its layout keeps it waiting, as it was last told
  };
  struct LiveJob {
    Job* job;
    JobState* state;
  };
  static bool accepted_before(const LiveJob& a, const LiveJob& b);

  void sync_jobs();
  LiveJob track_job(Job& job);
  void update_jobs();
  void update_estimate(Job& job, JobState& state);
  void update_machines();
  void update_machine(Machine& machine);
  std::vector<placement::EndingTask> ending_tasks(const Machine& machine) const;
  void update_reserved_types();
  void update_waiting();
  bool gang_may_start(Job& job);
  void place_on_index(Job& job, JobState& state);
  void remove_from_index(JobState& state);
  bool fill_zones(const Job& job, placement::PlanJob& plan_job) const;
  bool fill_layout(const Job& job, placement::PlanJob& plan_job) const;
  bool expects_image(const Job& job) const;
  bool near_image(Job& job);
  placement::PlanningContext planning_context() const;
  void apply(const placement::Plan& plan);
  std::vector<placement::Shortage> urgent_shortages(const placement::Plan& plan) const;
  void preempt_for(const std::vector<placement::Shortage>& shortages, std::vector<DirectCommands>& halts);
  std::shared_ptr<const Workload> workload(const placement::Plan& plan);
  std::optional<std::set<std::pair<std::string, std::string>>> eligible_placements(
      const placement::PlanJob& job) const;
  void log_layout_waits(const placement::Plan& plan);

  Runtime& runtime_;
  const Settings& settings_;
  JobTable& book_;
  MachineInventory& machines_;
  const estimates::Estimator& estimator_;
  placement::PlacementIndex index_;
  std::unordered_map<std::uint64_t, JobState> job_states_;      ///< by Job::id
  std::vector<LiveJob> jobs_by_age_;                            ///< in the order of acceptance
  std::vector<Job*> job_by_slot_;                               ///< by slot
  std::vector<Machine*> machine_by_slot_;                       ///< by slot
  std::vector<std::pair<Instant, std::string>> full_machines_;  ///< machines that get nothing until then
  std::uint64_t generation_ = ~std::uint64_t{0};                ///< of the machines, as the board shows them
  const topology::Topology* topology_ = nullptr;                ///< likewise
  std::uint64_t type_state_version_ =
      0;  ///< rises when other types are sought, gone or known, or domains differ
  const std::map<std::string, std::uint32_t>* expected_images_ = nullptr;
  Instant expected_until_{};
  bool plan_requested_ = false;
  std::uint64_t change_count_seen_ = 0;  ///< of the book, by the last plan
  std::uint64_t plan_count_ = 0;
  Instant last_plan_{};
  Instant last_preempt_{};
  Instant next_workload_{};
  Instant next_progress_{};
  Instant next_wait_log_{};
  std::set<std::string> exhausted_;
  std::map<std::string, std::uint32_t> starting_;
  /// Types that some job needs because it fits no other: until when they are kept for such jobs.
  std::map<std::string, Instant> reserved_until_;
  std::set<std::string> reserved_types_;
};

}  // namespace wrenusher::scheduling_cycle
