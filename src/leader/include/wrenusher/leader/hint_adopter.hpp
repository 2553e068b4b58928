#pragma once
/// @file
/// Applies the hints that the last leader had sent when this node's term began.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/machine_inventory/machine_inventory.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::leader {

using job_table::JobTable;
using machine_inventory::MachineInventory;
using runtime::Runtime;

/// Holds the last leader's hints until each can be applied: a machine's when it first reports in this term,
/// a job's when the records are loaded. Owns the hints that are not applied yet. Single-threaded: called from
/// the runtime's loop only. The referenced objects must outlive it.
class HintAdopter {
 public:
  HintAdopter(Runtime& runtime, estimates::Estimator& estimator, MachineInventory& machines)
      : runtime_(runtime), estimator_(estimator), machines_(machines) {}

  /// A new term, or the records are read anew: forgets the hints not applied yet.
  void begin();
  /// Applies the estimates at once and holds the rest.
  void adopt(const events::InheritedHints& hints);
  /// Applies the hint of a machine that reports for the first time in this term: what the last leader knew of
  /// it holds until a report says otherwise. False when there is none, or when the machine is another by now;
  /// the hint is dropped either way.
  bool adopt_machine(const protocol::WorkerReport& report);
  /// Drops the hint of a machine that has left.
  void remove_machine(const std::string& host);
  /// Jobs that failed before keep their failures: they are not retried at once on the machines they failed
  /// on.
  void adopt_failures(JobTable& jobs);

  /// Machines that have not reported in this term yet, by host.
  const std::map<std::string, events::MachineHint>& machines() const { return machine_hints_; }
  /// How many of those that have room hold each image. The reference holds for the adopter's life.
  const std::map<std::string, std::uint32_t>& expected_images() const { return expected_images_; }

 private:
  void add_expected_images(const events::MachineHint& hint);
  void remove_expected_images(const events::MachineHint& hint);

  Runtime& runtime_;
  estimates::Estimator& estimator_;
  MachineInventory& machines_;
  std::map<std::string, events::MachineHint> machine_hints_;
  std::map<std::string, std::uint32_t> expected_images_;
  std::vector<events::JobHint> failure_hints_;
};

}  // namespace wrenusher::leader
