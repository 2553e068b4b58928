#include "wrenusher/membership/leadership.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::membership {

using events::LeadershipLost;
using events::SteppingDown;
using events::TermChanged;
using events::WorkerReachability;
using kv_client::KvClient;
using runtime::Runtime;
using settings::Settings;
using time::from_millis;
using time::from_seconds;

namespace {

constexpr Micros kTickInterval = from_millis(200);
/// How long a node does not campaign after it has handed the leadership over.
constexpr Micros kAbstentionAfterHandOver = from_seconds(8);
/// Minimum time between hand-overs to a peer that may have the same problem.
constexpr Micros kHandOverInterval = from_seconds(300);
/// How long a leader that receives neither reports from workers nor heartbeats from peers keeps the
/// leadership.
constexpr Micros kMaxTimeWithoutHeartbeats = from_seconds(2);

}  // namespace

Leadership::Leadership(Runtime& runtime, const Settings& settings, KvClient& store)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      peers_(runtime),
      topology_(runtime, store, term_, topology_activated),
      lease_(runtime, settings, store, lease_validity),
      election_(runtime, settings, store, term_, peers_, topology_) {
  lease_.expired = [this] { step_down("the lease has expired", Micros{0}); };
  election_.won = [this](const Election::Victory& victory) { begin_term(victory); };
  election_.leader_seen = [this](std::uint64_t fencing_token, const std::string& leader) {
    observe_term(fencing_token, leader);
  };
}

void Leadership::start() {
  election_.start();
  tick();
}

void Leadership::tick() {
  if (term_.leading) {
    lead_tick();
  } else {
    election_.tick();
  }
  runtime_.after(kTickInterval, [this] { tick(); });
}

void Leadership::lead_tick() {
  lease_.renew_if_due();
  const PeerTable::Reachability peers = peers_.reachability();
  topology_.activate_own_if_due();
  if (const char* reason = stop_reason(peers)) {
    step_down(reason, Micros{0});
  } else if (const auto plan = plan_hand_over(peers)) {
    hand_over(*plan);
  }
}

/// Returns how long a leader that reaches only its workers keeps replying to them. The workers stay with it
/// even if another node leads, but a job that is cancelled at that other node must stop within the
/// cancellation deadline. The other two thirds of the deadline cover a lost reply, the search for the other
/// leader, and the stop.
Micros Leadership::max_isolation() const {
  // Task leases stay valid during this time, as in an outage that affects all nodes.
  return settings_.cancel_deadline / 3;
}

const char* Leadership::stop_reason(const PeerTable::Reachability& peers) const {
  const Instant now = runtime_.now();
  if (now > lease_.valid_until() && peers.kv_reachable)
    return "a peer reaches the state service and this node does not";
  // Neither the state service nor a peer has replied for long: either an outage affects all nodes while the
  // peers are down too, or this node is cut off with its workers while another leads.
  if (now - std::max(lease_.valid_until(), peers_.last_heartbeat()) > max_isolation() &&
      !settings_.peers.empty())
    return "neither the state service nor a peer is reachable";
  return nullptr;
}

std::optional<Leadership::HandOverPlan> Leadership::plan_hand_over(
    const PeerTable::Reachability& peers) const {
  const Instant now = runtime_.now();
  const bool rate_limit_allows =
      last_rate_limited_hand_over_ == Instant{} || now - last_rate_limited_hand_over_ > kHandOverInterval;
  const auto receives_reports = [](const PeerStatus& status) { return status.receives_reports; };
  if (rate_limit_allows && topology_.is_outdated() && peers_.has_topology(topology_.active()))
    return HandOverPlan{
        "a peer has the topology that is active in the cluster and this node does not",
        [active = topology_.active()](const PeerStatus& status) { return status.topology == active; }, true};
  // A peer may run on a host with more free processor time. Rate-limited, since the leader's own work may be
  // the cause.
  if (rate_limit_allows && workers_.starved && peers_.has_warm_candidate())
    return HandOverPlan{"this node does not get enough processor time",
                        [](const PeerStatus& status) { return status.readiness == Readiness::warm; }, true};
  if (rate_limit_allows && workers_.replies_lost && peers.receives_reports)
    return HandOverPlan{"no reply of this node reaches a worker", receives_reports, true};
  // Either the workers cannot reach this node, or this node is cut off from everything but the state service.
  // As long as it keeps the lease, no other node can serve the workers.
  const bool isolated =
      !peers.any_peer && workers_.had_workers && now - no_reports_since_ > kMaxTimeWithoutHeartbeats;
  if (workers_.receives_nothing && !settings_.peers.empty() && (peers.receives_reports || isolated))
    return HandOverPlan{"no report of a worker reaches this node", receives_reports, false};
  return std::nullopt;
}

/// Hands the leadership over to the eligible peer with the highest readiness, or to any candidate if no peer
/// is eligible.
void Leadership::hand_over(const HandOverPlan& plan) {
  if (plan.rate_limited) last_rate_limited_hand_over_ = runtime_.now();
  stepping_down(SteppingDown{peers_.best_successor(plan.is_eligible)});
  lease_.revoke();
  step_down(plan.reason, kAbstentionAfterHandOver);
}

void Leadership::begin_term(const Election::Victory& victory) {
  term_ = {true, victory.fencing_token, settings_.node};
  workers_.receives_nothing = false;
  log::info("term_begins", "term {term} begins: this node leads", log::with("term", term_.fencing_token));
  store_.set_leading(true);
  topology_.begin_term(victory.mod_revision);
  term_changed(TermChanged{true, term_.fencing_token, victory.mod_revision, term_.leader,
                           victory.vacancy_noticed, last_leader_heartbeat_});
  lease_.begin(victory.lease_id, victory.sent_at);
}

void Leadership::step_down(const char* reason, Micros abstention) {
  log::warn("term_ends", "term {term} ends here: {reason}", log::with("term", term_.fencing_token),
            log::with("reason", reason));
  term_.leading = false;
  term_.leader.clear();
  election_.on_stepped_down(abstention);
  store_.set_leading(false);
  topology_.publish();
  lease_.end();
  term_changed(TermChanged{false, term_.fencing_token, 0, {}, {}, {}});
}

/// Records a newer term, or the leader of the current one; an empty name means that the leader is unknown.
void Leadership::observe_term(std::uint64_t fencing_token, const std::string& leader) {
  if (!leader.empty()) topology_.on_leader_observed();
  if (term_.leading || fencing_token < term_.fencing_token ||
      (fencing_token == term_.fencing_token && leader == term_.leader))
    return;
  term_.fencing_token = fencing_token;
  term_.leader = leader;
  term_changed(TermChanged{false, term_.fencing_token, 0, term_.leader, {}, {}});
}

void Leadership::on_peer_status(const PeerStatus& status) {
  peers_.update(status);
  if (status.leading && status.fencing_token >= term_.fencing_token) last_leader_heartbeat_ = runtime_.now();
  if (status.fencing_token > term_.fencing_token) {
    if (term_.leading) step_down("a peer has observed a newer term", Micros{0});
    observe_term(status.fencing_token, status.leader);
  } else if (!status.leader.empty() && term_.leader.empty()) {
    observe_term(status.fencing_token, status.leader);
  }
  if (!term_.leading && status.leading && status.fencing_token == term_.fencing_token) {
    topology_.set_active(status.active_topology);
    topology_.warn_on_mismatch();
  }
}

void Leadership::on_leadership_lost(const LeadershipLost& event) {
  if (term_.leading && (event.fencing_token > term_.fencing_token || event.fencing_token == 0))
    step_down("another term has begun", Micros{0});
  if (event.fencing_token > term_.fencing_token) observe_term(event.fencing_token, {});
}

void Leadership::on_worker_reachability(const WorkerReachability& event) {
  if (event.receives_nothing && !workers_.receives_nothing) no_reports_since_ = runtime_.now();
  workers_ = event;
}

}  // namespace wrenusher::membership
