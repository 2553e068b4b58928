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

constexpr Micros kTick = from_millis(200);
/// How long a node does not campaign after it has handed the lead over.
constexpr Micros kAbstentionAfterHandOver = from_seconds(8);
/// The lead is handed to a peer that might do better no more often than this.
constexpr Micros kHandOverInterval = from_seconds(300);
/// How long a node that hears neither workers nor peers keeps the lead.
constexpr Micros kMaxUnheard = from_seconds(2);

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
    note_term(fencing_token, leader);
  };
}

void Leadership::start() {
  election_.start();
  tick();
}

void Leadership::tick() {
  if (term_.leading) {
    lead();
  } else {
    election_.tick();
  }
  runtime_.after(kTick, [this] { tick(); });
}

void Leadership::lead() {
  lease_.renew_if_due();
  const PeerTable::Reachability peers = peers_.reachability();
  topology_.activate_own_if_due();
  if (const char* reason = stop_reason(peers)) {
    step_down(reason, Micros{0});
  } else if (const auto reason_to_hand_over = hand_over_reason(peers)) {
    hand_over(*reason_to_hand_over);
  }
}

/// How long a leader that reaches only its workers goes on answering them. They would stay with it though
/// another node leads, and what is cancelled there must be gone in time: a third of that time is spent here,
/// the rest is left for a lost reply, the way to the other leader, and the stop. Leases of tasks run on
/// meanwhile, as in an outage that all nodes share.
Micros Leadership::max_isolation() const {
  return settings_.cancel_deadline / 3;
}

const char* Leadership::stop_reason(const PeerTable::Reachability& peers) const {
  const Instant now = runtime_.now();
  if (now > lease_.valid_until() && peers.kv_reachable)
    return "a peer reaches the state service and this node does not";
  // Neither state service nor peer for long: either an outage that all nodes share while the peers are down
  // too, or this node is cut off with its workers while another leads.
  if (now - std::max(lease_.valid_until(), peers_.last_heartbeat()) > max_isolation() &&
      !settings_.peers.empty())
    return "neither the state service nor a peer is reachable";
  return nullptr;
}

std::optional<Leadership::HandOver> Leadership::hand_over_reason(const PeerTable::Reachability& peers) const {
  const Instant now = runtime_.now();
  const bool may_try = handed_over_at_ == Instant{} || now - handed_over_at_ > kHandOverInterval;
  const auto receives_reports = [](const PeerStatus& status) { return status.receives_reports; };
  if (may_try && topology_.is_outdated() && peers_.has_topology(topology_.active()))
    return HandOver{
        "a peer has the topology in force and this node does not",
        [active = topology_.active()](const PeerStatus& status) { return status.topology == active; }, true};
  // Whatever takes this node's processor, a peer may have more of its own. Rate-limited, since the cause may
  // be the leader's work itself.
  if (may_try && workers_.starved && peers_.has_warm_candidate())
    return HandOver{"this node gets too little processor time",
                    [](const PeerStatus& status) { return status.readiness == Readiness::warm; }, true};
  if (may_try && workers_.replies_lost && peers.receives_reports)
    return HandOver{"its replies reach no worker", receives_reports, true};
  // Workers cannot reach this node, or it is cut off from all but the state service: as long as it has the
  // lease nobody else can serve them.
  const bool isolated = !peers.any_peer && workers_.had_workers && now - unheard_since_ > kMaxUnheard;
  if (workers_.receives_nothing && !settings_.peers.empty() && (peers.receives_reports || isolated))
    return HandOver{"no worker reaches this node", receives_reports, false};
  return std::nullopt;
}

/// Gives the lead to the warmest of the peers that fit, or to whoever comes first.
void Leadership::hand_over(const HandOver& reason) {
  if (reason.rate_limited) handed_over_at_ = runtime_.now();
  stepping_down(SteppingDown{peers_.best_successor(reason.fits)});
  lease_.revoke();
  step_down(reason.reason, kAbstentionAfterHandOver);
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

/// Another node is known to lead this term, or (with an empty name) that the term has begun.
void Leadership::note_term(std::uint64_t fencing_token, const std::string& leader) {
  if (!leader.empty()) topology_.on_leader_known();
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
    if (term_.leading) step_down("a peer knows a newer term", Micros{0});
    note_term(status.fencing_token, status.leader);
  } else if (!status.leader.empty() && term_.leader.empty()) {
    note_term(status.fencing_token, status.leader);
  }
  if (!term_.leading && status.leading && status.fencing_token == term_.fencing_token) {
    topology_.note_active(status.active_topology);
    topology_.warn_if_different();
  }
}

void Leadership::on_leadership_lost(const LeadershipLost& event) {
  if (term_.leading && (event.fencing_token > term_.fencing_token || event.fencing_token == 0))
    step_down("another term has begun", Micros{0});
  if (event.fencing_token > term_.fencing_token) note_term(event.fencing_token, {});
}

void Leadership::on_worker_reachability(const WorkerReachability& event) {
  if (event.receives_nothing && !workers_.receives_nothing) unheard_since_ = runtime_.now();
  workers_ = event;
}

}  // namespace wrenusher::membership
