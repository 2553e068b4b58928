#include "wrenusher/membership/cancellation_log.hpp"

#include <algorithm>

namespace wrenusher::membership {

namespace {
/// A peer that comes back to find older ones gone has to read the state service.
constexpr std::size_t kMaxKept = 20000;
}  // namespace

CancellationLog::CancellationLog(std::uint64_t life, const std::vector<std::string>& peers)
    : log_(life, peers, {{"withdrawn", "log", "got"}, "jobs", valid_job_id, kMaxKept, {}}) {
  for (const std::string& p : peers) peers_[p];
}

void CancellationLog::begin(Instant now, Micros kept) {
  began_at_ = now;
  keep_for_ = kept;
}

bool CancellationLog::record_told(const std::string& job_id, Instant now) {
  while (!told_order_.empty() && now - told_order_.front().first > keep_for_) {
    recently_told_.erase(told_order_.front().second);
    told_order_.pop_front();
  }
  if (!recently_told_.insert(job_id).second) return false;
  told_order_.emplace_back(now, job_id);
  if (!log_.has_peers()) return false;
  log_.add(job_id, now);
  return true;
}

CancellationLog::MergeResult CancellationLog::merge(const std::string& peer, const Value& value,
                                                    std::optional<Instant> asked, Instant now) {
  ReplicatedLog::MergeResult result = log_.merge(peer, value);
  log_.take_confirmed();  // nobody waits for these
  MergeResult out{std::move(result.rows), std::move(result.error)};
  // Up to 0.6 they were not numbered: nothing says that these are all.
  if (!result.numbered) return out;
  PeerKnowledge& known = peers_.at(peer);
  if (!result.continuous) {
    // Another life, or one that this node missed a part of. What was told before now and is not in this
    // list only the state service has.
    known.met_at = now;
    known.awaits_store_read = true;
  }
  if (asked && result.complete) known.exchanged_at = std::max(known.exchanged_at, *asked);
  if (!known.awaits_store_read) known.known_through = std::max(known.known_through, known.exchanged_at);
  return out;
}

void CancellationLog::on_read(Instant asked) {
  store_read_at_ = std::max(store_read_at_, asked);
  for (auto& [name, p] : peers_) {
    if (p.awaits_store_read && store_read_at_ >= p.met_at) p.awaits_store_read = false;
    if (!p.awaits_store_read) p.known_through = std::max(p.known_through, p.exchanged_at);
  }
}

Instant CancellationLog::known_through() const {
  // What an earlier life of this node told, only the state service has.
  if (store_read_at_ < began_at_) return kNever;
  Instant all = Instant::max();
  for (const auto& [name, p] : peers_) all = std::min(all, p.known_through);
  return std::max(store_read_at_, all);
}

std::string CancellationLog::slowest_peer() const {
  const auto it = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
    return a.second.known_through < b.second.known_through;
  });
  return it == peers_.end() ? "" : it->first;
}

}  // namespace wrenusher::membership
