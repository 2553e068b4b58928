#pragma once
// Package domain_failure_detector: recognises that a whole failure domain (rack, switch, zone ...) fell
// silent, as one event, and how far its machines are to be trusted once they are heard again. Who is heard is
// passed in, and what follows from a loss is decided elsewhere. It may depend on time, topology and log.

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

/// A machine that reports to this leader, or should. Refers to what the caller owns, for the time of a call.
struct DomainMember {
  const std::string* host = nullptr;
  const topology::MachineLocation* location = nullptr;
  Instant last_report_at{};
};

/// A domain of at least three machines is lost when all its machines are late at the same time. Once some of
/// them are heard again, they are trusted step by step: one at once, and twice as many after each step of 5
/// s; of a domain that was lost before within ten minutes, the steps take longer with every relapse.
///
/// Owns the state of each domain that is or was lost of late. Single-threaded.
class DomainFailureDetector {
 public:
  /// Another topology: everything known is void. Null: there are no domains.
  void set_topology(std::shared_ptr<const topology::Topology> topology);
  /// A new term: nothing is known.
  void clear();

  /// Judges by who was heard when; a machine is late when it was not heard for `lateness`. To be called
  /// several times a second, and only while silence is the machines' own fault and not the listener's.
  void evaluate(Instant now, Micros lateness, const std::vector<DomainMember>& members);
  /// Machines that should get no new tasks: of lost domains, and those not yet trusted of domains that are
  /// heard again.
  [[nodiscard]] const std::set<std::string>& suspected() const { return suspected_; }
  /// Whether a domain that contains this location is lost.
  [[nodiscard]] bool is_lost(const topology::MachineLocation& location) const;

 private:
  struct DomainState {
    bool lost = false;
    bool logged = false;         ///< its loss is in the log
    Instant since{};             ///< when it was lost, or heard again
    Instant last_populated{};    ///< when a machine of it was last known
    std::uint32_t machines = 0;  ///< while lost: how many it has had at most; otherwise how many it had then
    int relapses = 0;            ///< how often it was lost again before it was forgotten
  };
  /// The machines of one domain at one evaluation.
  struct Tally {
    std::uint32_t machines = 0;
    std::uint32_t late = 0;
    bool all_late() const;
  };
  std::vector<Tally> count(Instant now, Micros lateness, const std::vector<DomainMember>& members) const;
  void update_domains(Instant now, const std::vector<Tally>& tallies);
  void mark_lost(DomainId id, Instant now, const Tally& tally);
  void update_known(DomainId id, DomainState& state, Instant now, const Tally& tally) const;
  void log_losses(Instant now);
  void update_suspected(Instant now, Micros lateness, const std::vector<DomainMember>& members);
  void suspect_untrusted(const DomainState& state, Instant now, std::vector<const DomainMember*>& heard);
  bool ancestor_lost(DomainId id) const;

  std::shared_ptr<const topology::Topology> topology_;
  std::map<DomainId, DomainState> domains_;  ///< those that are lost or were so of late
  std::set<std::string> suspected_;          ///< hosts
};

}  // namespace wrenusher::domain_failure_detector
