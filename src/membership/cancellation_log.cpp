#include "wrenusher/membership/cancellation_log.hpp"

#include <algorithm>

namespace wrenusher::membership {

namespace {
/// Maximum number of cancellations that are kept for a peer that does not confirm them. A peer that missed
/// cancellations that were dropped has to read them from the state service.
constexpr std::size_t kMaxUnconfirmedRows = 20000;
}  // namespace

CancellationLog::CancellationLog(std::uint64_t incarnation, const std::vector<std::string>& peers)
    : log_(incarnation, peers, {{"withdrawn", "log", "got"}, "jobs", valid_job_id, kMaxUnconfirmedRows, {}}) {
  for (const std::string& peer : peers) peers_[peer];
}

void CancellationLog::start(Instant now, Micros retention) {
  started_at_ = now;
  retention_ = retention;
}

bool CancellationLog::record(const std::string& job_id, Instant now) {
  recently_recorded_.erase_older_than(retention_, now);
  if (!recently_recorded_.insert(job_id, now)) return false;
  if (!log_.has_peers()) return false;
  log_.add(job_id, now);
  return true;
}

CancellationLog::MergeResult CancellationLog::merge(const std::string& peer, const Value& value,
                                                    std::optional<Instant> request_sent_at, Instant now) {
  ReplicatedLog::MergeResult result = log_.merge(peer, value);
  static_cast<void>(log_.take_confirmed());  // confirmations of cancellations are not used
  MergeResult merged{std::move(result.rows), std::move(result.error)};
  // Versions up to 0.6 do not number their rows, so completeness cannot be inferred.
  if (!result.numbered) return merged;
  PeerState& peer_state = peers_.at(peer);
  if (!result.continuous) {
    // The peer has restarted, or this node missed part of its log. Cancellations that were confirmed to users
    // before now and are missing from this page are only in the state service.
    peer_state.gap_found_at = now;
    peer_state.awaits_store_read = true;
  }
  if (request_sent_at && result.complete)
    peer_state.caught_up_at = std::max(peer_state.caught_up_at, *request_sent_at);
  if (!peer_state.awaits_store_read)
    peer_state.complete_through = std::max(peer_state.complete_through, peer_state.caught_up_at);
  return merged;
}

void CancellationLog::on_store_read(Instant request_sent_at) {
  store_read_at_ = std::max(store_read_at_, request_sent_at);
  for (auto& [name, peer] : peers_) {
    if (peer.awaits_store_read && store_read_at_ >= peer.gap_found_at) peer.awaits_store_read = false;
    if (!peer.awaits_store_read) peer.complete_through = std::max(peer.complete_through, peer.caught_up_at);
  }
}

Instant CancellationLog::complete_through() const {
  // Cancellations that an earlier incarnation of this node confirmed are only in the state service.
  if (store_read_at_ < started_at_) return kNever;
  Instant all_peers = Instant::max();
  for (const auto& [name, peer] : peers_) all_peers = std::min(all_peers, peer.complete_through);
  return std::max(store_read_at_, all_peers);
}

std::string CancellationLog::slowest_peer() const {
  const auto it = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
    return a.second.complete_through < b.second.complete_through;
  });
  return it == peers_.end() ? "" : it->first;
}

}  // namespace wrenusher::membership
