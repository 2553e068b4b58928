#pragma once
// Package scheduling_cycle: computes a plan (which waiting tasks to place on which machines) with package
// placement, and applies it to the job table.
//
// It decides when to plan, keeps the placement index up to date (`IndexUpdater`), reserves scarce machine
// types for the jobs that fit no other type (`ReservedTypes`), preempts tasks (`Preemptor`) and reports unmet
// demand to the provisioner (`make_workload`).
//
// It may depend on time, value, runtime, settings, protocol, topology, events, placement, estimates,
// job_table, machine_inventory and log.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/placement/placement_index.hpp"
#include "wrenusher/scheduling_cycle/index_updater.hpp"
#include "wrenusher/scheduling_cycle/preemption.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::scheduling_cycle {

using events::CapacityChanged;
using events::DirectCommands;
using events::Progress;
using events::Workload;

/// Makes plans and applies them, on behalf of the leader. Single-threaded: called from the runtime's loop
/// only. Everything passed to the constructor belongs to the leader and must outlive it.
class SchedulingCycle {
 public:
  SchedulingCycle(Runtime& runtime, const Settings& settings, JobTable& jobs, MachineInventory& machines,
                  const estimates::Estimator& estimator)
      : runtime_(runtime),
        settings_(settings),
        jobs_(jobs),
        machines_(machines),
        updater_(runtime, settings, jobs, machines, estimator),
        preemptor_(runtime, jobs, machines, estimator) {}

  /// Makes the next plan due, after a change that may let it place more tasks.
  void request_plan() { plan_requested_ = true; }
  /// Applies the machine types that the cloud has no more of, and the machines that are starting.
  void on_capacity(const CapacityChanged& event);
  /// See IndexUpdater::expect_images.
  void expect_images(const std::map<std::string, std::uint32_t>* machines_by_image, Instant until) {
    updater_.expect_images(machines_by_image, until);
  }
  /// Returns whether a plan is due, because of a change or because of the time since the last plan.
  bool due() const;
  /// Returns the number of plans made so far.
  std::uint64_t plan_count() const { return plan_count_; }

  /// The effects of a plan that the leader has to act on.
  struct Result {
    std::vector<DirectCommands> stops;         ///< to be sent at once
    std::shared_ptr<const Workload> workload;  ///< null if the last one is too recent
  };
  /// Makes a plan and assigns its tasks in the job table. Does nothing while there is no machine type
  /// catalog.
  Result plan();
  /// Returns task counts for display, or null if the last ones are too recent.
  [[nodiscard]] std::shared_ptr<const Progress> progress();
  /// Returns statistics of the last plan.
  const placement::PlacementIndex::PlanStatistics& statistics() const {
    return updater_.index().statistics();
  }
  /// See IndexUpdater::disagreement.
  std::string disagreement() const { return updater_.disagreement(); }

 private:
  placement::PlanningContext planning_context() const;
  void apply(const placement::Plan& plan);
  void apply_placement(const placement::Placement& placement, std::uint64_t attempt);
  std::shared_ptr<const Workload> workload_if_due(const placement::Plan& plan);
  void log_layout_waits_if_due(const placement::Plan& plan);

  Runtime& runtime_;
  const Settings& settings_;
  JobTable& jobs_;
  MachineInventory& machines_;
  IndexUpdater updater_;
  Preemptor preemptor_;
  std::map<std::string, std::uint32_t> starting_;  ///< rented machines that have not started yet, by type
  bool plan_requested_ = false;
  std::uint64_t planned_change_count_ = 0;  ///< JobTable::change_count at the last plan
  std::uint64_t plan_count_ = 0;
  Instant last_plan_{};
  Instant next_workload_{};
  Instant next_progress_{};
  Instant next_wait_log_{};
};

}  // namespace wrenusher::scheduling_cycle
