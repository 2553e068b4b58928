#include "wrenusher/membership/peer_table.hpp"

#include <algorithm>
#include <tuple>

namespace wrenusher::membership {

namespace {

/// How long a status is fresh after the request that it answered was sent.
constexpr time::Micros kStatusLifetime = time::from_seconds(1.6);

}  // namespace

void PeerTable::update(const PeerStatus& status) {
  Entry& entry = peers_[status.node];
  entry.status = status;
  // Only a reply proves that the peer is alive: a heartbeat that was not a reply may have been delayed for
  // long.
  if (status.request_sent_at) entry.last_alive_at = std::max(entry.last_alive_at, *status.request_sent_at);
  last_heartbeat_ = std::max(last_heartbeat_, entry.last_alive_at);
}

bool PeerTable::is_fresh(const Entry& entry) const {
  return runtime_.now() - entry.last_alive_at < kStatusLifetime;
}

bool PeerTable::is_candidate(const Entry& entry) const {
  return is_fresh(entry) && entry.status.kv_reachable && !entry.status.abstains;
}

PeerTable::Reachability PeerTable::reachability() const {
  Reachability result;
  for (const auto& [name, entry] : peers_) {
    if (!is_fresh(entry)) continue;
    result.any_peer = true;
    result.kv_reachable = result.kv_reachable || entry.status.kv_reachable;
    result.receives_reports = result.receives_reports || entry.status.receives_reports;
  }
  return result;
}

int PeerTable::candidates_ahead(const std::string& node, Readiness readiness) const {
  std::string successor;
  for (const auto& [name, entry] : peers_) {
    if (is_fresh(entry) && entry.status.abstains && !entry.status.successor.empty())
      successor = entry.status.successor;
  }
  // The named successor comes first; the others are ordered by readiness, then by name.
  const auto rank = [&](const std::string& name, Readiness candidate_readiness) {
    return std::tuple(name == successor ? 0 : 1, -static_cast<int>(candidate_readiness), name);
  };
  const auto own_rank = rank(node, readiness);
  return static_cast<int>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return is_candidate(peer.second) && rank(peer.first, peer.second.status.readiness) < own_rank;
  }));
}

bool PeerTable::has_warm_candidate() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return is_candidate(peer.second) && peer.second.status.readiness == Readiness::warm;
  });
}

bool PeerTable::has_topology(const topology::TopologyVersion& version) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    const PeerStatus& status = peer.second.status;
    return is_fresh(peer.second) && status.kv_reachable && status.topology == version;
  });
}

std::string PeerTable::best_successor(const Predicate& is_eligible) const {
  std::string successor;
  Readiness best = Readiness::cold;
  for (const auto& [name, entry] : peers_) {
    if (!is_candidate(entry) || !is_eligible(entry.status)) continue;
    if (!successor.empty() && entry.status.readiness <= best) continue;
    successor = name;
    best = entry.status.readiness;
  }
  return successor;
}

}  // namespace wrenusher::membership
