#include "wrenusher/membership/leader_lease.hpp"

namespace wrenusher::membership {

using kv_client::LeaseReply;
using time::Instant;
using time::Micros;

namespace {

/// Steady clocks drift apart by at most 0.05%; doubled, since both this node's clock and the service's may
/// drift.
constexpr double kMaxClockDrift = 0.001;
/// Margin for delays within this process.
constexpr Micros kValidityMargin = time::from_millis(150);
constexpr int kRenewalsPerLease = 4;

}  // namespace

void LeaderLease::begin(std::uint64_t lease_id, Instant sent_at) {
  active_ = true;
  lease_id_ = lease_id;
  valid_until_ = {};
  extend_validity(sent_at);
  schedule_renewal();
}

void LeaderLease::end() {
  active_ = false;
  lease_id_ = 0;
  valid_until_ = {};
  validity_(events::LeaseValidity{});
}

void LeaderLease::revoke() {
  store_.revoke_lease(lease_id_);
}

void LeaderLease::extend_validity(Instant sent_at) {
  const Micros duration = settings_.tunables.leader_lease;
  const Micros drift{static_cast<std::int64_t>(static_cast<double>(duration.count()) * kMaxClockDrift)};
  const Instant until = sent_at + duration - drift - kValidityMargin;
  if (until <= valid_until_) return;
  valid_until_ = until;
  validity_(events::LeaseValidity{valid_until_});
}

void LeaderLease::schedule_renewal() {
  next_renewal_ = runtime_.now() + settings_.tunables.leader_lease / kRenewalsPerLease;
}

void LeaderLease::renew_if_due() {
  const Instant sent_at = runtime_.now();
  if (sent_at < next_renewal_) return;
  schedule_renewal();
  store_.renew_lease(lease_id_, [this, sent_at, lease_id = lease_id_](const LeaseReply& reply) {
    if (!active_ || lease_id != lease_id_) return;
    if (reply.result == LeaseReply::Result::expired) {
      expired();
    } else if (reply.result == LeaseReply::Result::ok) {
      extend_validity(sent_at);
    }
  });
}

}  // namespace wrenusher::membership
