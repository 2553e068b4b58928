#include "wrenusher/membership/cancellation_log.hpp"

#include <algorithm>

namespace wrenusher::membership {

namespace {
/// Cancellations kept for a peer that does not confirm them. One that comes back to find older ones gone has
/// to read the state service.
constexpr std::size_t kMaxUnconfirmed = 20000;
}  // namespace

CancellationLog::CancellationLog(std::uint64_t incarnation, const std::vector<std::string>& peers)
    : log_(incarnation, peers, {{"withdrawn", "log", "got"}, "jobs", valid_job_id, kMaxUnconfirmed, {}}) {
  for (const std::string& peer : peers) peers_[peer];
}

void CancellationLog::begin(Instant now, Micros retention) {
  began_at_ = now;
  retention_ = retention;
}

bool CancellationLog::record(const std::string& job_id, Instant now) {
  recent_.erase_older_than(retention_, now);
  if (!recent_.insert(job_id, now)) return false;
  if (!log_.has_peers()) return false;
  log_.add(job_id, now);
  return true;
}

CancellationLog::MergeResult CancellationLog::merge(const std::string& peer, const Value& value,
                                                    std::optional<Instant> asked_at, Instant now) {
  ReplicatedLog::MergeResult result = log_.merge(peer, value);
  static_cast<void>(log_.take_confirmed());  // nobody waits for the confirmation of a cancellation
  MergeResult merged{std::move(result.rows), std::move(result.error)};
  // Versions up to 0.6 do not number their rows, so completeness cannot be inferred.
  if (!result.numbered) return merged;
  PeerKnowledge& known = peers_.at(peer);
  if (!result.continuous) {
    // The peer has restarted, or this node missed part of its log. Cancellations that users were told before
    // now and that are not in this page are only in the state service.
    known.met_at = now;
    known.awaits_store_read = true;
  }
  if (asked_at && result.complete) known.exchanged_at = std::max(known.exchanged_at, *asked_at);
  if (!known.awaits_store_read) known.known_through = std::max(known.known_through, known.exchanged_at);
  return merged;
}

void CancellationLog::on_store_read(Instant asked_at) {
  store_read_at_ = std::max(store_read_at_, asked_at);
  for (auto& [name, peer] : peers_) {
    if (peer.awaits_store_read && store_read_at_ >= peer.met_at) peer.awaits_store_read = false;
    if (!peer.awaits_store_read) peer.known_through = std::max(peer.known_through, peer.exchanged_at);
  }
}

Instant CancellationLog::known_through() const {
  // What an earlier incarnation of this node told users is only in the state service.
  if (store_read_at_ < began_at_) return kNever;
  Instant all_peers = Instant::max();
  for (const auto& [name, peer] : peers_) all_peers = std::min(all_peers, peer.known_through);
  return std::max(store_read_at_, all_peers);
}

std::string CancellationLog::slowest_peer() const {
  const auto it = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
    return a.second.known_through < b.second.known_through;
  });
  return it == peers_.end() ? "" : it->first;
}

}  // namespace wrenusher::membership
