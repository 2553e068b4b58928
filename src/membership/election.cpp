#include "wrenusher/membership/election.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"
#include "wrenusher/membership/topology_version_codec.hpp"

namespace wrenusher::membership {

using kv_client::CommitReply;
using kv_client::KeyValue;
using kv_client::KvClient;
using kv_client::LeaseReply;
using kv_client::ReadReply;
using kv_client::WatchReply;
using time::from_millis;
using time::from_seconds;
using topology::TopologyVersion;
using value::Value;

namespace {

constexpr Micros kCheckInterval = from_millis(600);
constexpr Micros kMaxCheckJitter = from_millis(100);
/// How long one watch waits for the end of a lease.
constexpr Micros kWatchTimeout = from_seconds(10);
/// A candidate lets each that takes precedence have so long to win: a campaign takes three calls.
constexpr Micros kCandidateTurn = from_millis(350);
/// A node that has just started waits so long for its peers' first heartbeat before it takes up the lease of
/// its earlier incarnation.
constexpr Micros kFirstHeartbeatWait = from_millis(200);
/// Pause of a node whose topology is not the one in force, for a peer that has that.
constexpr Micros kDeferPause = from_seconds(2);
/// Pauses after a term has ended here, after a lease was left to a peer, and after a campaign has failed.
constexpr Micros kCheckAfterTerm = from_millis(200);
constexpr Micros kCheckAfterRevoke = from_millis(200);
constexpr Micros kCheckAfterFailure = from_millis(100);
constexpr Micros kMaxFailureJitter = from_millis(300);

constexpr const char* kLeaderKey = "leader";
constexpr const char* kTokenKey = "epoch";

}  // namespace

void Election::tick() {
  if (!busy_ && runtime_.now() >= next_check_) check_leader();
}

void Election::on_stepped_down(Micros abstention) {
  abstain_until_ = runtime_.now() + abstention;
  next_check_ = runtime_.now() + kCheckAfterTerm;
}

void Election::check_leader() {
  next_check_ = runtime_.now() + kCheckInterval + runtime_.jitter(kMaxCheckJitter);
  busy_ = true;
  // A list, not a get, since its reply tells the revision from which changes can be watched.
  store_.list(kLeaderKey, {}, 2, KvClient::RequestClass::lease, [this](const ReadReply& reply) {
    busy_ = false;
    if (!term_.leading && reply.result == ReadReply::Result::ok) on_leader_read(reply);
  });
}

void Election::on_leader_read(const ReadReply& reply) {
  if (!watching_) watch_leader(reply.revision);
  const auto row = std::find_if(reply.rows.begin(), reply.rows.end(),
                                [](const KeyValue& entry) { return entry.key == kLeaderKey; });
  if (row == reply.rows.end()) {
    on_vacancy();
    return;
  }
  vacant_since_ = {};
  const Value& value = row->value;
  const std::string node = value["node"].text() != nullptr ? *value["node"].text() : "";
  if (node == settings_.node) {
    on_own_lease_found(row->mod_revision);
  } else {
    leader_seen(value["epoch"].count().value_or(0), node);
  }
}

/// An earlier incarnation of this node still has the lease. It cannot act any more, so there is nothing to
/// wait for; but after a hand-over the revocation is on its way.
void Election::on_own_lease_found(std::uint64_t leader_revision) {
  if (runtime_.now() < abstain_until_) return;
  if (peers_.last_heartbeat() == Instant{} && !settings_.peers.empty() &&
      runtime_.now() - started_at_ < kFirstHeartbeatWait) {
    // The peers have not had the time to tell their readiness.
    next_check_ = runtime_.now() + kFirstHeartbeatWait / 2;
  } else if (readiness_ != Readiness::warm && peers_.has_warm_candidate()) {
    revoke_own_lease(leader_revision);
  } else {
    campaign(leader_revision);
  }
}

/// Ends the lease of this node's earlier incarnation: a peer with a warm replica takes over sooner than this
/// node, which has just started.
void Election::revoke_own_lease(std::uint64_t leader_revision) {
  busy_ = true;
  store_.get(kLeaderKey, KvClient::RequestClass::lease, [this, leader_revision](const ReadReply& reply) {
    busy_ = false;
    next_check_ = runtime_.now() + kCheckAfterRevoke;
    if (term_.leading || reply.rows.empty() || reply.rows[0].mod_revision != leader_revision ||
        reply.rows[0].lease_id == 0)
      return;
    log::info("own_lease_revoked",
              "the lease of an earlier incarnation of this node is revoked in favor of a warm peer");
    store_.revoke_lease(reply.rows[0].lease_id);
  });
}

/// Waits for changes of the `leader` record, so that the end of a lease is seen as it happens. The periodic
/// checks go on besides: a watch says nothing while the state service is away.
void Election::watch_leader(std::uint64_t from_revision) {
  watching_ = true;
  store_.watch(kLeaderKey, from_revision, kWatchTimeout, KvClient::RequestClass::lease,
               [this, from_revision](const WatchReply& reply) {
                 if (term_.leading || reply.result != WatchReply::Result::ok) {
                   watching_ = false;
                   return;
                 }
                 on_leader_changed(reply);
                 watch_leader(std::max(from_revision, reply.revision));
               });
}

void Election::on_leader_changed(const WatchReply& reply) {
  std::uint64_t put_revision = 0;
  const KeyValue* last_put = nullptr;
  for (const KeyValue& row : reply.puts) {
    if (row.key != kLeaderKey || row.mod_revision < put_revision) continue;
    put_revision = row.mod_revision;
    last_put = &row;
  }
  const bool deleted = std::any_of(reply.deletes.begin(), reply.deletes.end(), [&](const auto& deletion) {
    return deletion.key == kLeaderKey && deletion.mod_revision > put_revision;
  });
  if (deleted) {
    on_vacancy();
  } else if (last_put != nullptr) {
    vacant_since_ = {};
    const std::string* node = last_put->value["node"].text();
    if (node != nullptr && *node != settings_.node)
      leader_seen(last_put->value["epoch"].count().value_or(0), *node);
  }
}

/// Nobody leads. The first in rank campaigns at once, the others when it has had time to win.
void Election::on_vacancy() {
  const Instant now = runtime_.now();
  if (vacant_since_ == Instant{}) vacant_since_ = now;
  if (busy_ || now < abstain_until_) return;
  const Instant turn = vacant_since_ + kCandidateTurn * peers_.candidates_ahead(settings_.node, readiness_);
  if (now >= turn) {
    campaign(0);
  } else {
    next_check_ = std::min(next_check_, turn);
  }
}

/// First step of a campaign: a lease, which the `leader` record will be attached to.
void Election::campaign(std::uint64_t leader_revision) {
  busy_ = true;
  vacancy_noticed_ = vacant_since_;
  Campaign campaign{leader_revision, runtime_.now(), 0};
  store_.grant_lease(settings_.tunables.leader_lease, [this, campaign](const LeaseReply& lease) mutable {
    if (lease.result != LeaseReply::Result::ok) {
      busy_ = false;
      return;
    }
    campaign.lease_id = lease.lease_id;
    read_token(campaign);
  });
}

/// Second step: the last fencing token, and the topology in force.
void Election::read_token(const Campaign& campaign) {
  store_.get(kTokenKey, KvClient::RequestClass::lease, [this, campaign](const ReadReply& reply) {
    if (reply.result != ReadReply::Result::ok) {
      abandon_campaign(campaign.lease_id);
      return;
    }
    claim_term(campaign, reply);
  });
}

/// Third step: the compare-and-swap that begins the term, unless a peer should rather lead.
void Election::claim_term(const Campaign& campaign, const ReadReply& token_record) {
  const KeyValue token_row = token_record.rows.empty() ? KeyValue{} : token_record.rows[0];
  const std::uint64_t last_token = token_row.value["epoch"].count().value_or(0);
  const std::uint64_t fencing_token = std::max(last_token, term_.fencing_token) + 1;
  TopologyVersion active = read_topology_version(token_row.value["topology"]);
  topology_.note_active(active);
  if (topology_.differs() && peers_.has_topology(active) && topology_.should_defer()) {
    topology_.warn_if_different();
    abandon_campaign(campaign.lease_id);
    next_check_ = runtime_.now() + kDeferPause;
    return;
  }
  if (topology_.own().version > active.version) active = topology_.own();
  Value::Map record{{"epoch", fencing_token}};
  write_topology_version(record, "topology", active);
  store_.commit(
      {{kLeaderKey, campaign.leader_revision}, {kTokenKey, token_row.mod_revision}},
      {{kLeaderKey, Value::Map{{"node", settings_.node}, {"epoch", fencing_token}}, campaign.lease_id},
       {kTokenKey, std::move(record), 0}},
      KvClient::RequestClass::lease, [this, campaign, fencing_token, active](const CommitReply& commit) {
        if (commit.result != CommitReply::Result::committed) {
          abandon_campaign(campaign.lease_id);
          return;
        }
        busy_ = false;
        vacant_since_ = {};
        topology_.note_won(active);
        won({campaign.lease_id, fencing_token, commit.revision, campaign.sent_at, vacancy_noticed_});
      });
}

void Election::abandon_campaign(std::uint64_t lease_id) {
  // Also after an unknown outcome: should the write be applied late, the revoked lease takes it away again.
  store_.revoke_lease(lease_id);
  busy_ = false;
  next_check_ = runtime_.now() + kCheckAfterFailure + runtime_.jitter(kMaxFailureJitter);
}

}  // namespace wrenusher::membership
