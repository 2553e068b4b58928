#include "wrenusher/membership/leadership.hpp"

#include <algorithm>
#include <tuple>

#include "wrenusher/log/log.hpp"

namespace wrenusher::membership {

namespace {

constexpr Micros kTick = from_millis(200);
constexpr Micros kElectionInterval = from_millis(600);
/// What a peer said holds for this long.
constexpr Micros kPeerFreshness = from_seconds(1.6);
/// Steady clocks drift apart by at most 0.05%; twice that, for both sides, and a margin for our own delays.
constexpr double kClockDrift = 0.001;
constexpr Micros kLeaseMargin = from_millis(150);
/// Pause after giving the lead away because no worker was heard.
constexpr Micros kAbstainAfterLoss = from_seconds(8);
/// Pause of a node with another topology than the one in force, for one that has it; and how long it defers
/// to one that does not come to lead after all.
constexpr Micros kDefer = from_seconds(2);
constexpr Micros kMaxDefer = from_seconds(6);  // less than that one abstains, if it gave the lead away
/// The lead is given to one that has it no more often than this: it may not be able to keep it.
constexpr Micros kStepDownInterval = from_seconds(300);
constexpr Micros kAdoptInterval = from_seconds(1);
/// How long the end of a hold is waited for at a time.
constexpr Micros kWatchTimeout = from_seconds(10);
/// A candidate with others before it lets each have so long to win: a campaign takes three calls.
constexpr Micros kCandidateTurn = from_millis(350);
/// A node that has just begun waits so long for its peers' first word before it takes up its earlier life's
/// lead.
constexpr Micros kFirstHeartbeatWait = from_millis(200);

void log_adopted(const topology::TopologyVersion& version) {
  log::info("topology_in_force", "topology {edition} is in force",
            log::with("edition", topology::to_text(version)));
}

}  // namespace

void write_topology_version(Value::Map& out, const char* field, const topology::TopologyVersion& version) {
  if (version.version > 0) out.emplace_back(field, Value::List{version.version, version.digest});
}

topology::TopologyVersion read_topology_version(const Value& value) {
  const Value::List* list = value.list();
  if (list == nullptr || list->size() != 2) return {};
  return {(*list)[0].count().value_or(0), (*list)[1].count().value_or(0)};
}

Leadership::Leadership(Runtime& runtime, const Settings& settings, KvClient& store)
    : runtime_(runtime), settings_(settings), store_(store) {}

void Leadership::start() {
  started_at_ = runtime_.now();
  tick();
}

bool Leadership::is_fresh(const PeerState& peer) const {
  return runtime_.now() - peer.received_at < kPeerFreshness;
}

void Leadership::note_token(std::uint64_t fencing_token, const std::string& leader) {
  if (!leader.empty()) deferring_since_ = {};
  if (leading_ || fencing_token < fencing_token_ || (fencing_token == fencing_token_ && leader == leader_))
    return;
  fencing_token_ = fencing_token;
  leader_ = leader;
  term_changed(TermChanged{false, fencing_token_, 0, leader_, {}, {}});
}

topology::TopologyVersion Leadership::own_topology() const {
  return topology_ ? topology_->version() : topology::TopologyVersion{};
}

bool Leadership::peer_has_topology(const topology::TopologyVersion& version) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return is_fresh(p.second) && p.second.status.kv_reachable && p.second.status.topology == version;
  });
}

void Leadership::on_topology_loaded(const TopologyLoaded& event) {
  topology_ = event.topology;
  if (leading_) adopt_topology();
  publish_topology();
}

/// What is in force is known better than before.
void Leadership::note_active_topology(const topology::TopologyVersion& version) {
  if (version == active_topology_) return;
  active_topology_ = version;
  publish_topology();
}

void Leadership::publish_topology() {
  // Whoever leads judges by what it has.
  topology_activated(
      TopologyActivated{topology_, active_topology_, leading_ || own_topology() == active_topology_});
}

/// Says that this node has another topology than the one in force, once for each two.
void Leadership::warn_topology_mismatch() {
  if (own_topology() == active_topology_ || std::pair(own_topology(), active_topology_) == warned_topologies_)
    return;
  warned_topologies_ = {own_topology(), active_topology_};
  log::error(
      "topology_differs",
      "topology {mine} is here, {force} is in force: this node does not lead while one that has it can",
      log::with("mine", topology::to_text(own_topology())),
      log::with("force", topology::to_text(active_topology_)));
}

/// Puts this leader's newer topology in force, in the record that the next leader reads before its term.
void Leadership::adopt_topology() {
  if (adopting_ || own_topology().version <= active_topology_.version) return;
  adopting_ = true;
  next_adopt_ = runtime_.now() + kAdoptInterval;
  Value::Map record{{"epoch", fencing_token_}};
  write_topology_version(record, "topology", own_topology());
  store_.commit({{"leader", leader_revision_}, {"epoch", token_revision_}}, {{"epoch", std::move(record), 0}},
                KvClient::RequestClass::lease,
                [this, version = own_topology(), fencing_token = fencing_token_](const CommitReply& reply) {
                  adopting_ = false;
                  if (!leading_ || fencing_token != fencing_token_) return;
                  if (reply.result == CommitReply::Result::committed) {
                    token_revision_ = reply.revision;
                    log_adopted(version);
                    note_active_topology(version);
                  } else if (reply.result == CommitReply::Result::conflict) {
                    // An earlier try was executed after all, or the term is over, which its hold will show.
                    read_active_topology();
                  }
                });
}

void Leadership::read_active_topology() {
  store_.get("epoch", KvClient::RequestClass::lease,
             [this, fencing_token = fencing_token_](const ReadReply& reply) {
               if (!leading_ || fencing_token != fencing_token_ || reply.result != ReadReply::Result::ok ||
                   reply.rows.empty())
                 return;
               if (reply.rows[0].value["epoch"].count().value_or(0) != fencing_token) return;
               token_revision_ = reply.rows[0].mod_revision;
               note_active_topology(read_topology_version(reply.rows[0].value["topology"]));
             });
}

void Leadership::on_peer_status(const PeerStatus& news) {
  PeerState& peer = peers_[news.node];
  peer.status = news;
  // That a peer is there, only its answers prove: what comes by itself may come long after.
  if (news.asked_at) peer.received_at = std::max(peer.received_at, *news.asked_at);
  last_peer_heartbeat_ = std::max(last_peer_heartbeat_, peer.received_at);
  if (news.leading && news.fencing_token >= fencing_token_) last_leader_heartbeat_ = runtime_.now();
  if (news.fencing_token > fencing_token_) {
    if (leading_) step_down("a peer knows a higher epoch", Micros{0});
    note_token(news.fencing_token, news.leader);
  } else if (!news.leader.empty() && leader_.empty()) {
    note_token(news.fencing_token, news.leader);
  }
  if (!leading_ && news.leading && news.fencing_token == fencing_token_) {
    note_active_topology(news.active_topology);
    warn_topology_mismatch();
  }
}

void Leadership::on_leadership_lost(const LeadershipLost& event) {
  if (leading_ && (event.fencing_token > fencing_token_ || event.fencing_token == 0))
    step_down("another term has begun", Micros{0});
  if (event.fencing_token > fencing_token_) note_token(event.fencing_token, {});
}

void Leadership::on_worker_reachability(const WorkerReachability& event) {
  if (event.receives_nothing && !receives_nothing_) unheard_since_ = runtime_.now();
  receives_nothing_ = event.receives_nothing;
  replies_lost_ = event.replies_lost;
  had_workers_ = event.had_workers;
  starved_ = event.starved;
}

void Leadership::extend_validity(Instant sent) {
  const auto life = settings_.tunables.leader_lease;
  const Instant until = sent + life -
                        Micros{static_cast<std::int64_t>(static_cast<double>(life.count()) * kClockDrift)} -
                        kLeaseMargin;
  if (until > lease_valid_until_) {
    lease_valid_until_ = until;
    lease_validity(LeaseValidity{lease_valid_until_});
  }
}

/// How long a leader that reaches nobody but its workers goes on answering them. They would stay with it
/// though another leads, and what is cancelled there must be gone in time: a third of that time is left here,
/// the rest is for a lost answer, the way to the other leader, and the stop. Leases of tasks run on
/// meanwhile, as in an outage that all share.
Micros Leadership::wait_for_peers() const {
  return settings_.cancel_deadline / 3;
}

void Leadership::tick() {
  const Instant now = runtime_.now();
  if (leading_) {
    if (now >= next_renewal_) renew_lease();
    bool peer_with_store = false;
    bool peer_hears = false;
    bool any_peer = false;
    for (const auto& [name, p] : peers_) {
      if (!is_fresh(p)) continue;
      any_peer = true;
      peer_with_store = peer_with_store || p.status.kv_reachable;
      peer_hears = peer_hears || p.status.receives_reports;
    }
    if (own_topology() != active_topology_ && now >= next_adopt_) adopt_topology();
    if (now > lease_valid_until_ && peer_with_store) {
      step_down("a peer has the state service and this node has not", Micros{0});
    } else if (now - std::max(lease_valid_until_, last_peer_heartbeat_) > wait_for_peers() &&
               !settings_.peers.empty()) {
      // Neither state service nor peer for long: an outage that all share while the peers are gone too, or
      // this node is cut off with its workers while another leads.
      step_down("neither the state service nor a peer is reached", Micros{0});
    } else if (own_topology().version <= active_topology_.version && own_topology() != active_topology_ &&
               peer_has_topology(active_topology_) &&
               (stepped_down_at_ == Instant{} || now - stepped_down_at_ > kStepDownInterval)) {
      stepped_down_at_ = now;
      step_down_for("a peer has the topology in force and this node has not",
                    [this](const PeerStatus& status) { return status.topology == active_topology_; });
    } else if (starved_ && (stepped_down_at_ == Instant{} || now - stepped_down_at_ > kStepDownInterval) &&
               has_warm_peer()) {
      // Whatever takes its processor: another has as much as all of them have. Once in a while only, since it
      // may be the work itself.
      stepped_down_at_ = now;
      step_down_for("its share of the processor is gone",
                    [](const PeerStatus& status) { return status.readiness == Readiness::warm; });
    } else if (replies_lost_ &&
               (stepped_down_at_ == Instant{} || now - stepped_down_at_ > kStepDownInterval) && peer_hears) {
      stepped_down_at_ = now;
      step_down_for("its answers reach no worker",
                    [](const PeerStatus& status) { return status.receives_reports; });
    } else if (receives_nothing_ && !settings_.peers.empty() &&
               (peer_hears || (!any_peer && had_workers_ && now - unheard_since_ > from_seconds(2)))) {
      // Workers cannot reach this node, or it is cut off from all but the state service: as long as it holds
      // the lead nobody else can serve them.
      step_down_for("no worker is heard here",
                    [](const PeerStatus& status) { return status.receives_reports; });
    }
  } else if (!campaigning_ && now >= next_check_) {
    check_leader();
  }
  runtime_.after(kTick, [this] { tick(); });
}

void Leadership::check_leader() {
  next_check_ = runtime_.now() + kElectionInterval + runtime_.jitter(from_millis(100));
  campaigning_ = true;
  // As a list, since its answer tells the revision from which changes can be watched.
  store_.list("leader", {}, 2, KvClient::RequestClass::lease, [this](const ReadReply& reply) {
    campaigning_ = false;
    if (leading_ || reply.result != ReadReply::Result::ok) return;
    if (!watching_) watch_leader(reply.revision);
    const auto row = std::find_if(reply.rows.begin(), reply.rows.end(),
                                  [](const KeyValue& entry) { return entry.key == "leader"; });
    if (row == reply.rows.end()) {
      on_vacancy();
      return;
    }
    vacant_since_ = {};
    const Value& value = row->value;
    const std::string node = value["node"].text() != nullptr ? *value["node"].text() : "";
    if (node == settings_.node) {
      // An earlier life of this node still holds the lead; it cannot act any more, so there is nothing to
      // wait for. Not after giving the lead away: then the hold's end is on its way.
      if (runtime_.now() < abstain_until_) return;
      if (last_peer_heartbeat_ == Instant{} && !settings_.peers.empty() &&
          runtime_.now() - started_at_ < kFirstHeartbeatWait) {
        // The peers have not had the time to say how warm they are.
        next_check_ = runtime_.now() + kFirstHeartbeatWait / 2;
      } else if (readiness_ != Readiness::warm && has_warm_peer()) {
        revoke_own_lease(row->mod_revision);
      } else {
        campaign(row->mod_revision);
      }
      return;
    }
    note_token(value["epoch"].count().value_or(0), node);
  });
}

/// Ends the hold of this node's earlier life: a peer that followed is sooner where that life was than this
/// one, which has just begun.
void Leadership::revoke_own_lease(std::uint64_t mod_revision) {
  campaigning_ = true;
  store_.get("leader", KvClient::RequestClass::lease, [this, mod_revision](const ReadReply& reply) {
    campaigning_ = false;
    next_check_ = runtime_.now() + from_millis(200);
    if (leading_ || reply.rows.empty() || reply.rows[0].mod_revision != mod_revision ||
        reply.rows[0].lease_id == 0)
      return;
    log::info("lead_left", "the lead of an earlier life here is left to a peer that is warm");
    store_.revoke_lease(reply.rows[0].lease_id);
  });
}

/// Waits for changes of the `leader` record, so that the end of a hold is seen as it happens. The looks go on
/// besides: a watch says nothing while the state service is away.
void Leadership::watch_leader(std::uint64_t from) {
  watching_ = true;
  store_.watch("leader", from, kWatchTimeout, KvClient::RequestClass::lease,
               [this, from](const WatchReply& reply) {
                 if (leading_ || reply.result != WatchReply::Result::ok) {
                   watching_ = false;
                   return;
                 }
                 on_leader_watched(reply);
                 watch_leader(std::max(from, reply.revision));
               });
}

void Leadership::on_leader_watched(const WatchReply& reply) {
  std::uint64_t put = 0;
  const KeyValue* last = nullptr;
  for (const KeyValue& row : reply.puts) {
    if (row.key != "leader" || row.mod_revision < put) continue;
    put = row.mod_revision;
    last = &row;
  }
  const bool ended = std::any_of(reply.deletes.begin(), reply.deletes.end(),
                                 [&](const auto& d) { return d.first == "leader" && d.second > put; });
  if (ended) {
    on_vacancy();
  } else if (last != nullptr) {
    vacant_since_ = {};
    const std::string* node = last->value["node"].text();
    if (node != nullptr && *node != settings_.node)
      note_token(last->value["epoch"].count().value_or(0), *node);
  }
}

/// Nobody leads. The one that is first in turn goes at once, the others when it has had time to.
void Leadership::on_vacancy() {
  const Instant now = runtime_.now();
  if (vacant_since_ == Instant{}) vacant_since_ = now;
  if (campaigning_ || now < abstain_until_) return;
  const Instant turn = vacant_since_ + kCandidateTurn * candidates_ahead();
  if (now >= turn) {
    campaign(0);
  } else {
    next_check_ = std::min(next_check_, turn);
  }
}

int Leadership::candidates_ahead() const {
  std::string named;
  for (const auto& [name, p] : peers_) {
    if (is_fresh(p) && p.status.abstains && !p.status.successor.empty()) named = p.status.successor;
  }
  // The one that was named, then the warmest, then by name.
  const auto place = [&](const std::string& name, Readiness ready) {
    return std::tuple(name == named ? 0 : 1, -static_cast<int>(ready), name);
  };
  const auto mine_is = place(settings_.node, readiness_);
  return static_cast<int>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
    const PeerStatus& status = p.second.status;
    return is_fresh(p.second) && status.kv_reachable && !status.abstains &&
           place(p.first, status.readiness) < mine_is;
  }));
}

bool Leadership::has_warm_peer() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    const PeerStatus& status = p.second.status;
    return is_fresh(p.second) && status.kv_reachable && !status.abstains &&
           status.readiness == Readiness::warm;
  });
}

/// Gives the lead away: to the warmest of those that are fit for it, or to whoever comes.
void Leadership::step_down_for(const char* why, const std::function<bool(const PeerStatus&)>& fit) {
  SteppingDown event;
  Readiness best = Readiness::cold;
  for (const auto& [name, p] : peers_) {
    if (!is_fresh(p) || !p.status.kv_reachable || p.status.abstains || !fit(p.status)) continue;
    if (!event.successor.empty() && p.status.readiness <= best) continue;
    event.successor = name;
    best = p.status.readiness;
  }
  stepping_down(event);
  store_.revoke_lease(lease_id_);
  step_down(why, kAbstainAfterLoss);
}

void Leadership::campaign(std::uint64_t mod_revision) {
  campaigning_ = true;
  const Instant sent = runtime_.now();
  vacancy_noticed_ = vacant_since_;
  store_.grant_lease(settings_.tunables.leader_lease, [this, mod_revision, sent](LeaseReply lease) {
    if (lease.result != LeaseReply::Result::ok) {
      campaigning_ = false;
      return;
    }
    store_.get("epoch", KvClient::RequestClass::lease,
               [this, mod_revision, sent, lease_id = lease.lease_id](ReadReply read) {
                 if (read.result != ReadReply::Result::ok) {
                   abandon_campaign(lease_id);
                   return;
                 }
                 const std::uint64_t last =
                     read.rows.empty() ? 0 : read.rows[0].value["epoch"].count().value_or(0);
                 const std::uint64_t epoch_stamp = read.rows.empty() ? 0 : read.rows[0].mod_revision;
                 const std::uint64_t next = std::max(last, fencing_token_) + 1;
                 topology::TopologyVersion in_force =
                     read.rows.empty() ? topology::TopologyVersion{}
                                       : read_topology_version(read.rows[0].value["topology"]);
                 note_active_topology(in_force);
                 if (own_topology() != in_force && peer_has_topology(in_force)) {
                   if (deferring_since_ == Instant{}) deferring_since_ = runtime_.now();
                   if (runtime_.now() - deferring_since_ < kMaxDefer) {
                     defer_to_peer(lease_id);
                     return;
                   }
                 }
                 if (own_topology().version > in_force.version) in_force = own_topology();
                 Value::Map record{{"epoch", next}};
                 write_topology_version(record, "topology", in_force);
                 store_.commit({{"leader", mod_revision}, {"epoch", epoch_stamp}},
                               {{"leader", Value::Map{{"node", settings_.node}, {"epoch", next}}, lease_id},
                                {"epoch", std::move(record), 0}},
                               KvClient::RequestClass::lease,
                               [this, sent, lease_id, next, in_force](CommitReply commit) {
                                 if (commit.result != CommitReply::Result::committed) {
                                   abandon_campaign(lease_id);
                                   return;
                                 }
                                 campaigning_ = false;
                                 if (in_force != active_topology_) log_adopted(in_force);
                                 active_topology_ = in_force;
                                 begin_term(lease_id, next, commit.revision, sent);
                               });
               });
  });
}

/// One that has the topology in force may lead; this node asks again if it does not.
void Leadership::defer_to_peer(std::uint64_t lease_id) {
  warn_topology_mismatch();
  abandon_campaign(lease_id);
  next_check_ = runtime_.now() + kDefer;
}

void Leadership::abandon_campaign(std::uint64_t lease_id) {
  // Also after an unknown outcome: should the write be applied late, the dropped hold takes it away again.
  store_.revoke_lease(lease_id);
  campaigning_ = false;
  next_check_ = runtime_.now() + from_millis(100) + runtime_.jitter(from_millis(300));
}

void Leadership::begin_term(std::uint64_t lease_id, std::uint64_t fencing_token, std::uint64_t mod_revision,
                            Instant sent) {
  leading_ = true;
  lease_id_ = lease_id;
  fencing_token_ = fencing_token;
  leader_ = settings_.node;
  receives_nothing_ = false;
  lease_valid_until_ = {};
  log::info("term_begins", "term {term} begins: this node leads", log::with("term", fencing_token));
  store_.set_leading(true);
  leader_revision_ = token_revision_ = mod_revision;
  adopting_ = false;
  deferring_since_ = {};
  publish_topology();
  warn_topology_mismatch();
  term_changed(
      TermChanged{true, fencing_token_, mod_revision, leader_, vacancy_noticed_, last_leader_heartbeat_});
  vacant_since_ = {};
  extend_validity(sent);
  next_renewal_ = runtime_.now() + settings_.tunables.leader_lease / 4;
}

void Leadership::renew_lease() {
  const Instant sent = runtime_.now();
  next_renewal_ = sent + settings_.tunables.leader_lease / 4;
  store_.renew_lease(lease_id_, [this, sent, lease_id = lease_id_](LeaseReply reply) {
    if (!leading_ || lease_id != lease_id_) return;
    if (reply.result == LeaseReply::Result::expired) {
      step_down("the hold has ended", Micros{0});
    } else if (reply.result == LeaseReply::Result::ok) {
      extend_validity(sent);
    }
  });
}

void Leadership::step_down(const char* why, Micros abstain) {
  log::warn("term_ends", "term {term} ends here: {reason}", log::with("term", fencing_token_),
            log::with("reason", why));
  leading_ = false;
  lease_id_ = 0;
  leader_.clear();
  lease_valid_until_ = {};
  abstain_until_ = runtime_.now() + abstain;
  next_check_ = runtime_.now() + from_millis(200);
  store_.set_leading(false);
  publish_topology();
  lease_validity(LeaseValidity{});
  term_changed(TermChanged{false, fencing_token_, 0, {}, {}, {}});
}

}  // namespace wrenusher::membership
