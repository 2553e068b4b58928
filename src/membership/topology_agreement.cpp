#include "wrenusher/membership/topology_agreement.hpp"

#include "wrenusher/log/log.hpp"
#include "wrenusher/membership/topology_version_codec.hpp"

namespace wrenusher::membership {

using kv_client::CommitReply;
using kv_client::KvClient;
using kv_client::ReadReply;
using time::from_seconds;
using time::Instant;
using time::Micros;
using topology::TopologyVersion;
using value::Value;

namespace {

constexpr Micros kActivationInterval = from_seconds(1);
/// How long a node leaves the term to peers that have the active topology, if none of these peers wins a
/// term. Shorter than the time for which such a peer abstains after it has handed the leadership over.
constexpr Micros kMaxDeferral = from_seconds(6);

void log_activated(const TopologyVersion& version) {
  log::info("topology_activated", "topology {version} is now active in the cluster",
            log::with("version", topology::to_text(version)));
}

}  // namespace

TopologyVersion TopologyAgreement::own() const {
  return own_topology_ ? own_topology_->version() : TopologyVersion{};
}

void TopologyAgreement::on_loaded(const events::TopologyLoaded& event) {
  own_topology_ = event.topology;
  if (term_.leading) activate_own();
  publish();
}

void TopologyAgreement::set_active(const TopologyVersion& version) {
  if (version == active_) return;
  active_ = version;
  publish();
}

void TopologyAgreement::publish() const {
  // A leader uses its own topology even before this topology is active in the cluster.
  activated_(events::TopologyActivated{own_topology_, active_, term_.leading || !differs()});
}

void TopologyAgreement::warn_on_mismatch() {
  const LoggedMismatch mismatch{own(), active_};
  if (!differs() || mismatch == logged_mismatch_) return;
  logged_mismatch_ = mismatch;
  log::error("topology_mismatch",
             "this node has topology {own}, but {active} is active in the cluster: this node does not lead "
             "while a peer with the active topology can",
             log::with("own", topology::to_text(mismatch.own)),
             log::with("active", topology::to_text(mismatch.active)));
}

void TopologyAgreement::on_term_won(const TopologyVersion& version) {
  if (version != active_) log_activated(version);
  active_ = version;
}

void TopologyAgreement::begin_term(std::uint64_t mod_revision) {
  leader_revision_ = token_revision_ = mod_revision;
  activation_pending_ = false;
  deferral_started_at_ = {};
  publish();
  warn_on_mismatch();
}

void TopologyAgreement::activate_own_if_due() {
  if (differs() && runtime_.now() >= next_activation_) activate_own();
}

void TopologyAgreement::activate_own() {
  if (activation_pending_ || own().version <= active_.version) return;
  activation_pending_ = true;
  next_activation_ = runtime_.now() + kActivationInterval;
  Value::Map record{{"epoch", term_.fencing_token}};
  write_topology_version(record, "topology", own());
  store_.commit({{"leader", leader_revision_}, {"epoch", token_revision_}}, {{"epoch", std::move(record), 0}},
                KvClient::RequestClass::lease,
                [this, version = own(), fencing_token = term_.fencing_token](const CommitReply& reply) {
                  on_activation_committed(reply, fencing_token, version);
                });
}

void TopologyAgreement::on_activation_committed(const CommitReply& reply, std::uint64_t fencing_token,
                                                const TopologyVersion& version) {
  activation_pending_ = false;
  if (!term_.leading || fencing_token != term_.fencing_token) return;
  if (reply.result == CommitReply::Result::committed) {
    token_revision_ = reply.revision;
    log_activated(version);
    set_active(version);
  } else if (reply.result == CommitReply::Result::conflict) {
    // Either an earlier attempt was executed although its reply was lost, or the term is over, in which case
    // the lease expires.
    read_active();
  }
}

void TopologyAgreement::read_active() {
  store_.get("epoch", KvClient::RequestClass::lease,
             [this, fencing_token = term_.fencing_token](const ReadReply& reply) {
               if (!term_.leading || fencing_token != term_.fencing_token ||
                   reply.result != ReadReply::Result::ok || reply.rows.empty())
                 return;
               const Value& record = reply.rows[0].value;
               if (record["epoch"].count().value_or(0) != fencing_token) return;
               token_revision_ = reply.rows[0].mod_revision;
               set_active(read_topology_version(record["topology"]));
             });
}

bool TopologyAgreement::should_defer() {
  if (deferral_started_at_ == Instant{}) deferral_started_at_ = runtime_.now();
  return runtime_.now() - deferral_started_at_ < kMaxDeferral;
}

}  // namespace wrenusher::membership
