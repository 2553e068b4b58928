#pragma once
// Package domain_failure_detector: detects the loss of a whole failure domain (rack, switch, zone ...) as one
// event, and decides which machines may be used again after the domain recovers. The caller passes in the
// times of the latest reports and decides how to react. It may depend on time, topology and log.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::domain_failure_detector {

using time::Instant;
using time::Micros;
using topology::DomainId;

/// A machine that reports, or should report, to this leader. Its pointers are borrowed for the duration of a
/// call.
struct DomainMember {
  const std::string* host = nullptr;
  const topology::MachineLocation* location = nullptr;
  Instant last_report_at{};
};

/// Detects lost domains. A domain of at least three machines is lost when the reports of all of them are late
/// at the same time. It has recovered when some of its machines report again.
///
/// After the recovery, one machine is trusted at once, and the number of trusted machines doubles after each
/// step of 5 s. If a domain is lost again within ten minutes (a relapse), the steps become longer with every
/// relapse.
///
/// Owns the state of each domain that is lost or was lost recently. Single-threaded.
class DomainFailureDetector {
 public:
  /// Sets the topology and discards all state. Null: there are no domains.
  void set_topology(std::shared_ptr<const topology::Topology> topology);
  /// Discards all state, as a new term begins.
  void clear();

  /// Updates the lost domains and the suspected machines. A machine is late if its last report is older than
  /// `lateness`. Must be called several times a second, but only while this node itself can receive reports.
  void evaluate(Instant now, Micros lateness, const std::vector<DomainMember>& members);
  /// Returns the machines that should get no new tasks: those of lost domains, and those of recovered domains
  /// that are not trusted yet.
  [[nodiscard]] const std::set<std::string>& suspected() const { return suspected_; }
  /// Returns whether a domain that contains this location is lost.
  [[nodiscard]] bool is_lost(const topology::MachineLocation& location) const;

 private:
  struct DomainState {
    bool lost = false;
    bool logged = false;         ///< whether its loss has been logged
    Instant since{};             ///< when it was lost or recovered
    Instant last_populated{};    ///< when it last contained a machine
    std::uint32_t machines = 0;  ///< while lost: maximum during the loss; otherwise: number at recovery
    int relapses = 0;            ///< number of further losses since its first one
  };
  /// The machine counts of one domain at one evaluation.
  struct Tally {
    std::uint32_t machines = 0;
    std::uint32_t late = 0;
    bool all_late() const;
  };
  std::vector<Tally> count(Instant now, Micros lateness, const std::vector<DomainMember>& members) const;
  void update_domains(Instant now, const std::vector<Tally>& tallies);
  void mark_lost(DomainId id, Instant now, const Tally& tally);
  void update_tracked(DomainId id, DomainState& state, Instant now, const Tally& tally) const;
  void log_losses(Instant now);
  void update_suspected(Instant now, Micros lateness, const std::vector<DomainMember>& members);
  void suspect_untrusted(const DomainState& state, Instant now, std::vector<const DomainMember*>& reporting);
  bool ancestor_lost(DomainId id) const;

  std::shared_ptr<const topology::Topology> topology_;
  std::map<DomainId, DomainState> domains_;  ///< domains that are lost or were lost recently
  std::set<std::string> suspected_;          ///< hosts
};

}  // namespace wrenusher::domain_failure_detector
