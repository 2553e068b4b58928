#pragma once
/// @file
/// Collects the hints that the leader sends to the standbys: state of machines, job classes and jobs that no
/// record contains (see events/hints.hpp).

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/machine_inventory/machine_inventory.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::leader {

using job_table::JobTable;
using machine_inventory::Machine;
using machine_inventory::MachineInventory;
using runtime::Runtime;
using settings::Settings;
using time::Instant;

/// Collects the hints that have changed since they were last sent to the standbys: hints of machines every
/// 500 ms, in batches of bounded size, and hints of job classes and failing jobs every 2 s.
///
/// Owns the record of what was last sent. Single-threaded: called from the runtime's loop only. The
/// referenced objects must outlive it.
class HintCollector {
 public:
  HintCollector(Runtime& runtime, const Settings& settings, const estimates::Estimator& estimator,
                MachineInventory& machines, const JobTable& jobs)
      : runtime_(runtime), settings_(settings), estimator_(estimator), machines_(machines), jobs_(jobs) {}

  /// Makes every job class be sent again; called when a term begins or the records are read again.
  void begin() { sent_class_versions_.clear(); }
  /// Returns the hints that have changed, or null if nothing has changed, no collection is due or no standby
  /// is configured.
  [[nodiscard]] std::shared_ptr<const events::LeaderHints> collect();

 private:
  events::MachineHint machine_hint(const Machine& machine) const;
  void collect_machines(events::LeaderHints& hints);
  void collect_job_classes(events::LeaderHints& hints);
  void collect_failing_jobs(events::LeaderHints& hints, Instant now);

  Runtime& runtime_;
  const Settings& settings_;
  const estimates::Estimator& estimator_;
  MachineInventory& machines_;
  const JobTable& jobs_;
  Instant next_collection_{};
  Instant next_class_collection_{};
  std::map<std::string, std::uint64_t> sent_class_versions_;  ///< by job class
  /// Jobs that were sent as failing. When one no longer fails, it is sent once more with an empty hint.
  std::set<std::string> sent_failing_jobs_;
};

}  // namespace wrenusher::leader
