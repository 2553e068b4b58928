#include "wrenusher/membership/cancellations.hpp"

#include <algorithm>

namespace wrenusher::membership {

namespace {
/// A peer that comes back to find older ones gone has to read the state service.
constexpr std::size_t kMostKept = 20000;
}  // namespace

Cancellations::Cancellations(std::uint64_t life, const std::vector<std::string>& peers)
    : log_(life, peers, {{"withdrawn", "log", "got"}, "jobs", valid_ref, kMostKept, {}}) {
  for (const std::string& p : peers) peers_[p];
}

void Cancellations::begin(Instant now, Micros kept) {
  began_ = now;
  kept_for_ = kept;
}

bool Cancellations::tell(const std::string& ref, Instant now) {
  while (!told_order_.empty() && now - told_order_.front().first > kept_for_) {
    told_.erase(told_order_.front().second);
    told_order_.pop_front();
  }
  if (!told_.insert(ref).second) return false;
  told_order_.emplace_back(now, ref);
  if (!log_.has_peers()) return false;
  log_.add(ref, now);
  return true;
}

Cancellations::Taken Cancellations::take(const std::string& peer, const Value& v,
                                         std::optional<Instant> asked, Instant now) {
  NumberedLog::Taken t = log_.take(peer, v);
  log_.take_confirmed();  // nobody waits for these
  Taken out{std::move(t.rows), std::move(t.fault)};
  // Up to 0.6 they were not numbered: nothing says that these are all.
  if (!t.numbered) return out;
  PeerKnown& p = peers_.at(peer);
  if (!t.joins) {
    // Another life, or one that this node missed a part of. What was told before now and is not in this
    // list only the state service has.
    p.met = now;
    p.owed = true;
  }
  if (asked && t.whole) p.exchanged = std::max(p.exchanged, *asked);
  if (!p.owed) p.through = std::max(p.through, p.exchanged);
  return out;
}

void Cancellations::on_read(Instant asked) {
  read_ = std::max(read_, asked);
  for (auto& [name, p] : peers_) {
    if (p.owed && read_ >= p.met) p.owed = false;
    if (!p.owed) p.through = std::max(p.through, p.exchanged);
  }
}

Instant Cancellations::through() const {
  // What an earlier life of this node told, only the state service has.
  if (read_ < began_) return kNever;
  Instant all = Instant::max();
  for (const auto& [name, p] : peers_) all = std::min(all, p.through);
  return std::max(read_, all);
}

std::string Cancellations::behind() const {
  const auto it = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
    return a.second.through < b.second.through;
  });
  return it == peers_.end() ? "" : it->first;
}

}  // namespace wrenusher::membership
