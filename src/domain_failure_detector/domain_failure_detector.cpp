#include "wrenusher/domain_failure_detector/domain_failure_detector.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::domain_failure_detector {

namespace {

/// With fewer machines than this nothing is told of their domain.
constexpr std::uint32_t kMinMachines = 3;
/// A loss is told after this long: what is lost with a switch is recognised rack by rack.
constexpr Micros kSettleTime = from_seconds(3);
/// One machine of a domain that came back is trusted at once, and twice as many after each such step.
constexpr Micros kTrustStep = from_seconds(5);
constexpr int kMaxRelapses = 11;
/// A domain without machines is forgotten after this long, and a relapse is one within it.
constexpr Micros kDomainMemory = from_seconds(600);

}  // namespace

void DomainFailureDetector::set_topology(std::shared_ptr<const topology::Topology> topology) {
  topology_ = std::move(topology);
  clear();
}

void DomainFailureDetector::clear() {
  domains_.clear();
  suspected_.clear();
}

bool DomainFailureDetector::is_lost(const topology::MachineLocation& place) const {
  return std::any_of(place.by_level.begin(), place.by_level.end(), [&](DomainId id) {
    const auto it = domains_.find(id);
    return it != domains_.end() && it->second.lost;
  });
}

void DomainFailureDetector::evaluate(Instant now, Micros late, const std::vector<DomainMember>& members) {
  if (!topology_) return;
  std::vector<Tally> tallies(topology_->domains().size());
  bool some = false;
  for (const DomainMember& member : members) {
    const bool is_late = now - member.heard_at > late;
    some = some || !is_late;
    for (const DomainId id : member.place->by_level) {
      if (id == topology::kNowhere) continue;
      Tally& tally = tallies[id];
      ++tally.all;
      tally.late += is_late ? 1 : 0;
      tally.last_heard = std::max(tally.last_heard, member.heard_at);
    }
  }
  // Where nobody at all is heard, the fault may well be here.
  if (some) judge(now, tallies);
  log_losses(now);
  update_suspected(now, late, members);
}

void DomainFailureDetector::judge(Instant now, const std::vector<Tally>& tallies) {
  for (DomainId id = 1; id < tallies.size(); ++id) {
    const Tally& tally = tallies[id];
    const auto it = domains_.find(id);
    if (tally.all >= kMinMachines && tally.late == tally.all) {
      DomainState& state = domains_[id];
      if (!state.lost) {
        const bool again = it != domains_.end();
        state.relapses = again ? std::min(state.relapses + 1, kMaxRelapses) : 0;
        state.lost = true;
        state.logged = false;
        state.since = now;
      }
      state.machines = std::max(state.machines, tally.all);
      state.last_populated = now;
      continue;
    }
    if (it == domains_.end()) continue;
    DomainState& state = it->second;
    if (tally.all > 0) state.last_populated = now;
    // Its machines were returned one by one meanwhile, so silence alone does not end it.
    if (state.lost && tally.late < tally.all) {
      state.lost = false;
      if (state.logged)
        log::info("domain_heard",
                  "{level} {domain} is heard again after {seconds:.0f} s: trusted step by step",
                  log::with("level", topology_->level_of(id)), log::with("domain", topology_->path(id)),
                  log::with("seconds", to_seconds(now - state.since)));
      state.since = now;
      state.machines = tally.all;
    }
  }
  std::erase_if(domains_, [&](const auto& e) { return now - e.second.last_populated > kDomainMemory; });
}

bool DomainFailureDetector::ancestor_lost(DomainId id) const {
  for (DomainId parent = topology_->domain(id).parent; parent != topology::kNowhere;
       parent = topology_->domain(parent).parent) {
    const auto it = domains_.find(parent);
    if (it != domains_.end() && it->second.lost) return true;
  }
  return false;
}

/// One line for one event: of what is lost together, the widest domain.
void DomainFailureDetector::log_losses(Instant now) {
  for (auto& [id, s] : domains_) {
    if (!s.lost || s.logged || now - s.since < kSettleTime) continue;
    s.logged = true;
    if (ancestor_lost(id)) continue;
    log::warn("domain_lost",
              "{level} {domain} is lost: none of its {machines} machines is heard, nothing is placed there",
              log::with("level", topology_->level_of(id)), log::with("domain", topology_->path(id)),
              log::with("machines", s.machines));
  }
}

void DomainFailureDetector::update_suspected(Instant now, Micros late,
                                             const std::vector<DomainMember>& members) {
  suspected_.clear();
  if (domains_.empty()) return;
  std::map<DomainId, std::vector<const DomainMember*>> back;
  for (const DomainMember& member : members) {
    if (is_lost(*member.place)) {
      suspected_.insert(*member.host);
      continue;
    }
    for (const DomainId id : member.place->by_level) {
      if (domains_.contains(id) && now - member.heard_at <= late) back[id].push_back(&member);
    }
  }
  for (auto& [id, heard] : back) {
    DomainState& state = domains_.at(id);
    const Micros step = kTrustStep * (1 + state.relapses);
    const auto steps = std::min<std::int64_t>((now - state.since) / step, 20);
    const std::size_t trusted = std::size_t{1} << static_cast<std::size_t>(steps);
    if (trusted >= heard.size()) continue;
    // The same ones from look to look.
    std::sort(heard.begin(), heard.end(),
              [](const DomainMember* a, const DomainMember* b) { return *a->host < *b->host; });
    for (std::size_t i = trusted; i < heard.size(); ++i) suspected_.insert(*heard[i]->host);
  }
}

}  // namespace wrenusher::domain_failure_detector
