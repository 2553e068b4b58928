#include "wrenusher/domain_failure_detector/domain_failure_detector.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::domain_failure_detector {

using time::from_seconds;
using time::to_seconds;

namespace {

/// A domain with fewer machines is never considered lost.
constexpr std::uint32_t kMinMachines = 3;
/// A loss is logged after this delay, since the racks behind a failed switch are detected one by one.
constexpr Micros kLossLogDelay = from_seconds(3);
/// Length of a step in which trust in a recovered domain is restored; each relapse lengthens the steps by the
/// same time. One machine is trusted at once, and the number of trusted machines doubles after each step.
constexpr Micros kTrustStep = from_seconds(5);
/// With this many doublings, the machines of any domain are all trusted.
constexpr std::int64_t kMaxTrustSteps = 20;
constexpr int kMaxRelapses = 11;
/// The state of a domain without machines is discarded after this time; another loss before that is a
/// relapse.
constexpr Micros kDomainRetention = from_seconds(600);

}  // namespace

void DomainFailureDetector::set_topology(std::shared_ptr<const topology::Topology> topology) {
  topology_ = std::move(topology);
  clear();
}

void DomainFailureDetector::clear() {
  domains_.clear();
  suspected_.clear();
}

bool DomainFailureDetector::Tally::all_late() const {
  return machines >= kMinMachines && late == machines;
}

bool DomainFailureDetector::is_lost(const topology::MachineLocation& location) const {
  return std::any_of(location.by_level.begin(), location.by_level.end(), [&](DomainId id) {
    const auto it = domains_.find(id);
    return it != domains_.end() && it->second.lost;
  });
}

void DomainFailureDetector::evaluate(Instant now, Micros lateness, const std::vector<DomainMember>& members) {
  if (!topology_) return;
  const bool any_reporting = std::any_of(members.begin(), members.end(), [&](const DomainMember& member) {
    return now - member.last_report_at <= lateness;
  });
  // If no machine reports at all, the fault may be on this node.
  if (any_reporting) update_domains(now, count(now, lateness, members));
  log_losses(now);
  update_suspected(now, lateness, members);
}

std::vector<DomainFailureDetector::Tally> DomainFailureDetector::count(
    Instant now, Micros lateness, const std::vector<DomainMember>& members) const {
  std::vector<Tally> tallies(topology_->domains().size());
  for (const DomainMember& member : members) {
    const bool is_late = now - member.last_report_at > lateness;
    for (const DomainId id : member.location->by_level) {
      if (id == topology::kNoDomain) continue;
      ++tallies[id].machines;
      tallies[id].late += is_late ? 1 : 0;
    }
  }
  return tallies;
}

void DomainFailureDetector::update_domains(Instant now, const std::vector<Tally>& tallies) {
  for (DomainId id = 1; id < tallies.size(); ++id) {
    const Tally& tally = tallies[id];
    if (tally.all_late()) {
      mark_lost(id, now, tally);
    } else if (const auto it = domains_.find(id); it != domains_.end()) {
      update_tracked(id, it->second, now, tally);
    }
  }
  std::erase_if(domains_,
                [&](const auto& entry) { return now - entry.second.last_populated > kDomainRetention; });
}

void DomainFailureDetector::mark_lost(DomainId id, Instant now, const Tally& tally) {
  const auto [it, first_loss] = domains_.try_emplace(id);
  DomainState& state = it->second;
  if (!state.lost) {
    state.relapses = first_loss ? 0 : std::min(state.relapses + 1, kMaxRelapses);
    state.lost = true;
    state.logged = false;
    state.since = now;
  }
  state.machines = std::max(state.machines, tally.machines);
  state.last_populated = now;
}

/// Updates a domain that was lost before and of which not all machines are late now.
void DomainFailureDetector::update_tracked(DomainId id, DomainState& state, Instant now,
                                           const Tally& tally) const {
  if (tally.machines > 0) state.last_populated = now;
  // The domain has recovered only if one of its machines reports. Otherwise its machines may have been
  // returned one by one, until too few are left to count as lost.
  if (!state.lost || tally.late == tally.machines) return;
  state.lost = false;
  if (state.logged)
    log::info("domain_heard",
              "{level} {domain} reports again after {seconds:.0f} s; its machines are put back into use step "
              "by step",
              log::with("level", topology_->level_of(id)), log::with("domain", topology_->path(id)),
              log::with("seconds", to_seconds(now - state.since)));
  state.since = now;
  state.machines = tally.machines;
}

bool DomainFailureDetector::ancestor_lost(DomainId id) const {
  for (DomainId parent = topology_->domain(id).parent; parent != topology::kNoDomain;
       parent = topology_->domain(parent).parent) {
    const auto it = domains_.find(parent);
    if (it != domains_.end() && it->second.lost) return true;
  }
  return false;
}

/// Logs one line per event: if nested domains are lost together, only the outermost one is logged.
void DomainFailureDetector::log_losses(Instant now) {
  for (auto& [id, state] : domains_) {
    if (!state.lost || state.logged || now - state.since < kLossLogDelay) continue;
    state.logged = true;
    if (ancestor_lost(id)) continue;
    log::warn(
        "domain_lost",
        "{level} {domain} is lost: all of its {machines} machines are silent; no task is placed on them",
        log::with("level", topology_->level_of(id)), log::with("domain", topology_->path(id)),
        log::with("machines", state.machines));
  }
}

void DomainFailureDetector::update_suspected(Instant now, Micros lateness,
                                             const std::vector<DomainMember>& members) {
  suspected_.clear();
  if (domains_.empty()) return;
  std::map<DomainId, std::vector<const DomainMember*>> reporting_by_domain;
  for (const DomainMember& member : members) {
    if (is_lost(*member.location)) {
      suspected_.insert(*member.host);
      continue;
    }
    for (const DomainId id : member.location->by_level) {
      if (domains_.contains(id) && now - member.last_report_at <= lateness)
        reporting_by_domain[id].push_back(&member);
    }
  }
  for (auto& [id, reporting] : reporting_by_domain) suspect_untrusted(domains_.at(id), now, reporting);
}

/// Suspects all reporting machines except the first ones in name order. Because of this order, a trusted
/// machine stays trusted as the number of trusted machines grows.
void DomainFailureDetector::suspect_untrusted(const DomainState& state, Instant now,
                                              std::vector<const DomainMember*>& reporting) {
  const Micros step = kTrustStep * (1 + state.relapses);
  const auto steps = std::min<std::int64_t>((now - state.since) / step, kMaxTrustSteps);
  const std::size_t trusted_count = std::size_t{1} << static_cast<std::size_t>(steps);
  if (trusted_count >= reporting.size()) return;
  std::sort(reporting.begin(), reporting.end(),
            [](const DomainMember* a, const DomainMember* b) { return *a->host < *b->host; });
  for (std::size_t i = trusted_count; i < reporting.size(); ++i) suspected_.insert(*reporting[i]->host);
}

}  // namespace wrenusher::domain_failure_detector
