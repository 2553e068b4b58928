#pragma once
/// @file
/// Applies the previous leader's hints after this node has won a term. A hint is state of a machine, a job
/// class or a job that no record contains; the leader sends hints to the other nodes while it leads. They are
/// applied to the estimator, the machine inventory and the job table.

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

/// Keeps the previous leader's hints until each can be applied: a machine's hint when its worker first
/// reports in this term, a job's hint when the records are loaded. Owns the hints that are not applied yet.
/// Single-threaded: called from the runtime's loop only. The referenced objects must outlive it.
class HintAdopter {
 public:
  HintAdopter(Runtime& runtime, estimates::Estimator& estimator, MachineInventory& machines)
      : runtime_(runtime), estimator_(estimator), machines_(machines) {}

  /// Drops the hints that are not applied yet; called when a term begins or the records are read again.
  void begin();
  /// Applies the run time estimates immediately and keeps the other hints.
  void adopt(const events::InheritedHints& hints);
  /// Applies the hint of a machine whose worker reports for the first time in this term, and drops the hint.
  /// The state from the hint is valid until a report contradicts it. Returns false, without applying
  /// anything, if there is no hint or if the host now has another address or machine type than in the hint.
  bool adopt_machine(const protocol::WorkerReport& report);
  /// Drops the hint of a machine that has departed.
  void remove_machine(const std::string& host);
  /// Restores the retry count, back-off and failed machines of jobs, so that a job is not retried immediately
  /// on the machines on which its tasks failed.
  void adopt_failures(JobTable& jobs);

  /// Returns the hints of machines that have not reported in this term yet, by host.
  const std::map<std::string, events::MachineHint>& machines() const { return machine_hints_; }
  /// Returns, for each image, how many machines in `machines` have it cached, have free capacity and were not
  /// silent. The reference is valid for the lifetime of this object.
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
