#include "wrenusher/watch/watch.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::watch {

namespace {

/// With fewer machines than this nothing is told of their domain.
constexpr std::uint32_t kFew = 3;
/// A loss is told after this long: what is lost with a switch is recognised rack by rack.
constexpr Micros kSettle = from_seconds(3);
/// One machine of a domain that came back is trusted at once, and twice as many after each such step.
constexpr Micros kStep = from_seconds(5);
constexpr int kMostRelapses = 11;
/// A domain without machines is forgotten after this long, and a relapse is one within it.
constexpr Micros kMemory = from_seconds(600);

}  // namespace

void Watch::take(std::shared_ptr<const topology::Topology> t) {
  topology_ = std::move(t);
  clear();
}

void Watch::clear() {
  states_.clear();
  doubted_.clear();
}

bool Watch::lost(const topology::Place& place) const {
  return std::any_of(place.by_level.begin(), place.by_level.end(), [&](DomainId id) {
    const auto it = states_.find(id);
    return it != states_.end() && it->second.lost;
  });
}

void Watch::look(Instant now, Micros late, const std::vector<Member>& members) {
  if (!topology_) return;
  std::vector<Tally> tallies(topology_->domains().size());
  bool some = false;
  for (const Member& m : members) {
    const bool is_late = now - m.heard > late;
    some = some || !is_late;
    for (const DomainId id : m.place->by_level) {
      if (id == topology::kNowhere) continue;
      Tally& t = tallies[id];
      ++t.all;
      t.late += is_late ? 1 : 0;
      t.heard = std::max(t.heard, m.heard);
    }
  }
  // Where nobody at all is heard, the fault may well be here.
  if (some) judge(now, tallies);
  tell(now);
  doubt(now, late, members);
}

void Watch::judge(Instant now, const std::vector<Tally>& tallies) {
  for (DomainId id = 1; id < tallies.size(); ++id) {
    const Tally& t = tallies[id];
    const auto it = states_.find(id);
    if (t.all >= kFew && t.late == t.all) {
      State& s = states_[id];
      if (!s.lost) {
        const bool again = it != states_.end();
        s.relapses = again ? std::min(s.relapses + 1, kMostRelapses) : 0;
        s.lost = true;
        s.told = false;
        s.since = now;
      }
      s.machines = std::max(s.machines, t.all);
      s.seen = now;
      continue;
    }
    if (it == states_.end()) continue;
    State& s = it->second;
    if (t.all > 0) s.seen = now;
    // Its machines were returned one by one meanwhile, so silence alone does not end it.
    if (s.lost && t.late < t.all) {
      s.lost = false;
      if (s.told)
        log::info("domain_heard",
                  "{level} {domain} is heard again after {seconds:.0f} s: trusted step by step",
                  log::with("level", topology_->level_of(id)), log::with("domain", topology_->path(id)),
                  log::with("seconds", to_seconds(now - s.since)));
      s.since = now;
      s.machines = t.all;
    }
  }
  std::erase_if(states_, [&](const auto& e) { return now - e.second.seen > kMemory; });
}

bool Watch::above_lost(DomainId id) const {
  for (DomainId up = topology_->domain(id).in; up != topology::kNowhere; up = topology_->domain(up).in) {
    const auto it = states_.find(up);
    if (it != states_.end() && it->second.lost) return true;
  }
  return false;
}

/// One line for one event: of what is lost together, the widest domain.
void Watch::tell(Instant now) {
  for (auto& [id, s] : states_) {
    if (!s.lost || s.told || now - s.since < kSettle) continue;
    s.told = true;
    if (above_lost(id)) continue;
    log::warn("domain_lost",
              "{level} {domain} is lost: none of its {machines} machines is heard, nothing is placed there",
              log::with("level", topology_->level_of(id)), log::with("domain", topology_->path(id)),
              log::with("machines", s.machines));
  }
}

void Watch::doubt(Instant now, Micros late, const std::vector<Member>& members) {
  doubted_.clear();
  if (states_.empty()) return;
  std::map<DomainId, std::vector<const Member*>> back;
  for (const Member& m : members) {
    if (lost(*m.place)) {
      doubted_.insert(*m.host);
      continue;
    }
    for (const DomainId id : m.place->by_level) {
      if (states_.contains(id) && now - m.heard <= late) back[id].push_back(&m);
    }
  }
  for (auto& [id, heard] : back) {
    State& s = states_.at(id);
    const Micros step = kStep * (1 + s.relapses);
    const auto steps = std::min<std::int64_t>((now - s.since) / step, 20);
    const std::size_t trusted = std::size_t{1} << static_cast<std::size_t>(steps);
    if (trusted >= heard.size()) continue;
    // The same ones from look to look.
    std::sort(heard.begin(), heard.end(),
              [](const Member* a, const Member* b) { return *a->host < *b->host; });
    for (std::size_t i = trusted; i < heard.size(); ++i) doubted_.insert(*heard[i]->host);
  }
}

}  // namespace wrenusher::watch
