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
/// How long a node defers to peers that have the topology in force, if none of them comes to lead. Less than
/// such a peer abstains after it handed the lead over.
constexpr Micros kMaxDeferral = from_seconds(6);

void log_activated(const TopologyVersion& version) {
  log::info("topology_activated", "topology {version} is in force",
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

void TopologyAgreement::note_active(const TopologyVersion& version) {
  if (version == active_) return;
  active_ = version;
  publish();
}

void TopologyAgreement::publish() const {
  // A leader decides by its own topology, also until that is in force.
  activated_(events::TopologyActivated{own_topology_, active_, term_.leading || !differs()});
}

void TopologyAgreement::warn_if_different() {
  const LoggedMismatch mismatch{own(), active_};
  if (!differs() || mismatch == logged_mismatch_) return;
  logged_mismatch_ = mismatch;
  log::error("topology_mismatch",
             "this node has topology {own}, but {active} is in force: it does not lead while a peer with the "
             "active one can",
             log::with("own", topology::to_text(mismatch.own)),
             log::with("active", topology::to_text(mismatch.active)));
}

void TopologyAgreement::note_won(const TopologyVersion& version) {
  if (version != active_) log_activated(version);
  active_ = version;
}

void TopologyAgreement::begin_term(std::uint64_t mod_revision) {
  leader_revision_ = token_revision_ = mod_revision;
  activating_ = false;
  deferring_since_ = {};
  publish();
  warn_if_different();
}

void TopologyAgreement::activate_own_if_due() {
  if (differs() && runtime_.now() >= next_activation_) activate_own();
}

void TopologyAgreement::activate_own() {
  if (activating_ || own().version <= active_.version) return;
  activating_ = true;
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
  activating_ = false;
  if (!term_.leading || fencing_token != term_.fencing_token) return;
  if (reply.result == CommitReply::Result::committed) {
    token_revision_ = reply.revision;
    log_activated(version);
    note_active(version);
  } else if (reply.result == CommitReply::Result::conflict) {
    // Either an earlier attempt was executed after all, or the term is over, which the lease will show.
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
               note_active(read_topology_version(record["topology"]));
             });
}

bool TopologyAgreement::should_defer() {
  if (deferring_since_ == Instant{}) deferring_since_ = runtime_.now();
  return runtime_.now() - deferring_since_ < kMaxDeferral;
}

}  // namespace wrenusher::membership
