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
/// How long one watch waits for a change of the `leader` record.
constexpr Micros kWatchTimeout = from_seconds(10);
/// How long a candidate waits for each candidate with precedence to win the term. A campaign takes three
/// calls.
constexpr Micros kCandidateDelay = from_millis(350);
/// How long a node that has just started waits for the first heartbeat of a peer before it uses the lease of
/// its earlier incarnation.
constexpr Micros kFirstHeartbeatWait = from_millis(200);
/// Pause of a node that leaves the term to a peer with the active topology.
constexpr Micros kDeferralPause = from_seconds(2);
/// Delays until the next check after a term ended on this node, after a lease was revoked in favor of a peer,
/// and after a campaign failed.
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
  // Calls `list` instead of `get`, since the reply to a list contains the revision from which changes can be
  // watched.
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
  vacancy_noticed_at_ = {};
  const Value& value = row->value;
  const std::string node = value["node"].text() != nullptr ? *value["node"].text() : "";
  if (node == settings_.node) {
    on_own_lease_found(row->mod_revision);
  } else {
    leader_seen(value["epoch"].count().value_or(0), node);
  }
}

/// Handles a `leader` record with the name of this node. The record of an earlier incarnation can be replaced
/// at once, since that incarnation no longer runs. After a hand-over, the record belongs to this incarnation
/// and its lease is being revoked, so nothing is done while this node abstains.
void Election::on_own_lease_found(std::uint64_t leader_revision) {
  if (runtime_.now() < abstain_until_) return;
  if (peers_.last_heartbeat() == Instant{} && !settings_.peers.empty() &&
      runtime_.now() - started_at_ < kFirstHeartbeatWait) {
    // No peer has had time to report its readiness yet.
    next_check_ = runtime_.now() + kFirstHeartbeatWait / 2;
  } else if (readiness_ != Readiness::warm && peers_.has_warm_candidate()) {
    revoke_own_lease(leader_revision);
  } else {
    campaign(leader_revision);
  }
}

/// Revokes the lease of this node's earlier incarnation: a peer with a warm replica takes over sooner than
/// this node, which has just started.
void Election::revoke_own_lease(std::uint64_t leader_revision) {
  busy_ = true;
  store_.get(kLeaderKey, KvClient::RequestClass::lease, [this, leader_revision](const ReadReply& reply) {
    busy_ = false;
    next_check_ = runtime_.now() + kCheckAfterRevoke;
    if (term_.leading || reply.rows.empty() || reply.rows[0].mod_revision != leader_revision ||
        reply.rows[0].lease_id == 0)
      return;
    log::info("own_lease_revoked",
              "revoking the lease of an earlier incarnation of this node in favor of a warm peer");
    store_.revoke_lease(reply.rows[0].lease_id);
  });
}

/// Watches the `leader` record, so that the end of a lease is noticed at once. The periodic checks continue,
/// since a watch reports nothing while the state service is unavailable.
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
    vacancy_noticed_at_ = {};
    const std::string* node = last_put->value["node"].text();
    if (node != nullptr && *node != settings_.node)
      leader_seen(last_put->value["epoch"].count().value_or(0), *node);
  }
}

/// Handles a vacancy. The candidate with the highest precedence campaigns at once; every other candidate
/// campaigns after those with precedence over it have had time to win.
void Election::on_vacancy() {
  const Instant now = runtime_.now();
  if (vacancy_noticed_at_ == Instant{}) vacancy_noticed_at_ = now;
  if (busy_ || now < abstain_until_) return;
  const Instant turn_start =
      vacancy_noticed_at_ + kCandidateDelay * peers_.candidates_ahead(settings_.node, readiness_);
  if (now >= turn_start) {
    campaign(0);
  } else {
    next_check_ = std::min(next_check_, turn_start);
  }
}

/// First step of a campaign: obtains the lease that the `leader` record will be attached to.
void Election::campaign(std::uint64_t leader_revision) {
  busy_ = true;
  campaign_vacancy_noticed_at_ = vacancy_noticed_at_;
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

/// Second step: reads the last fencing token and the active topology version.
void Election::read_token(const Campaign& campaign) {
  store_.get(kTokenKey, KvClient::RequestClass::lease, [this, campaign](const ReadReply& reply) {
    if (reply.result != ReadReply::Result::ok) {
      abandon_campaign(campaign.lease_id);
      return;
    }
    claim_term(campaign, reply);
  });
}

/// Third step: begins the term by a compare-and-swap, unless this node defers to a peer with the active
/// topology.
void Election::claim_term(const Campaign& campaign, const ReadReply& token_record) {
  const KeyValue token_row = token_record.rows.empty() ? KeyValue{} : token_record.rows[0];
  const std::uint64_t last_token = token_row.value["epoch"].count().value_or(0);
  const std::uint64_t fencing_token = std::max(last_token, term_.fencing_token) + 1;
  TopologyVersion active = read_topology_version(token_row.value["topology"]);
  topology_.set_active(active);
  if (topology_.differs() && peers_.has_topology(active) && topology_.should_defer()) {
    topology_.warn_on_mismatch();
    abandon_campaign(campaign.lease_id);
    next_check_ = runtime_.now() + kDeferralPause;
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
        vacancy_noticed_at_ = {};
        topology_.on_term_won(active);
        won({campaign.lease_id, fencing_token, commit.revision, campaign.sent_at,
             campaign_vacancy_noticed_at_});
      });
}

void Election::abandon_campaign(std::uint64_t lease_id) {
  // Also revoked after an unknown outcome: if the write is applied late, the revoked lease removes the record
  // again.
  store_.revoke_lease(lease_id);
  busy_ = false;
  next_check_ = runtime_.now() + kCheckAfterFailure + runtime_.jitter(kMaxFailureJitter);
}

}  // namespace wrenusher::membership
