#pragma once
/// @file
/// Collects what the standbys are sent as hints.

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

/// Collects the hints that have changed since they were last sent to the standbys: of machines (every 500 ms,
/// a bounded number at a time), job classes and failing jobs (every 2 s). Owns what was sent last.
/// Single-threaded: called from the runtime's loop only. The referenced objects must outlive it.
class HintCollector {
 public:
  HintCollector(Runtime& runtime, const Settings& settings, const estimates::Estimator& estimator,
                MachineInventory& machines, const JobTable& jobs)
      : runtime_(runtime), settings_(settings), estimator_(estimator), machines_(machines), jobs_(jobs) {}

  /// A new term, or the records are read anew: every job class is sent again.
  void begin() { sent_class_versions_.clear(); }
  /// What has changed, or null: nothing has, it is not due yet, or there is no standby.
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
  Instant next_hints_{};
  Instant next_class_hints_{};
  std::map<std::string, std::uint64_t> sent_class_versions_;  ///< by job class
  std::set<std::string>
      sent_jobs_;  ///< those sent as failing; sent once more, empty, when they no longer are
};

}  // namespace wrenusher::leader
