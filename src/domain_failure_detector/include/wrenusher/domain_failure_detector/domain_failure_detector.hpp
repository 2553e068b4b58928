#pragma once
// Package domain_failure_detector: recognises that a whole failure domain fell silent, as one event, and how
// far it is to be trusted once it is heard again. It owns that judgement by domain and nothing else: who is
// heard is told to it, and what follows from it is for others. It may depend on base and topology.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::domain_failure_detector {

using namespace time;
using namespace value;
using namespace runtime;
using topology::DomainId;

/// A machine that reports here, or should.
struct DomainMember {
  const std::string* host = nullptr;
  const topology::MachineLocation* place = nullptr;
  Instant heard_at{};
};

class DomainFailureDetector {
 public:
  /// Other domains: all judgements are void. Null: there are none.
  void set_topology(std::shared_ptr<const topology::Topology> topology);
  /// A new term: nobody is known.
  void clear();

  /// Judges by who was heard when; a machine is late when it was not heard for `late`. To be called often and
  /// only while silence is the machines' own fault and not the listener's.
  void evaluate(Instant now, Micros late, const std::vector<DomainMember>& members);
  /// Machines that should get nothing new: of lost domains, and those not yet trusted of domains that came
  /// back.
  const std::set<std::string>& suspected() const { return suspected_; }
  /// The machine's domain, or one that it is inside of, is lost.
  bool is_lost(const topology::MachineLocation& place) const;

 private:
  struct DomainState {
    bool lost = false;
    bool logged = false;       ///< its loss is in the log
    Instant since{};           ///< lost, or heard again
    Instant last_populated{};  ///< when there last was a machine of it
    std::uint32_t machines = 0;
    int relapses = 0;
  };
  struct Tally {
    std::uint32_t all = 0;
    std::uint32_t late = 0;
    Instant last_heard{};
  };
  void judge(Instant now, const std::vector<Tally>& tallies);
  void log_losses(Instant now);
  void update_suspected(Instant now, Micros late, const std::vector<DomainMember>& members);
  bool ancestor_lost(DomainId id) const;

  std::shared_ptr<const topology::Topology> topology_;
  std::map<DomainId, DomainState> domains_;  ///< of those that are lost or were so of late
  std::set<std::string> suspected_;
};

}  // namespace wrenusher::domain_failure_detector
