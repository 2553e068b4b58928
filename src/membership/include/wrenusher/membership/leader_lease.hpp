#pragma once
// The lease on the `leader` record in the state service, and how long this node may be certain of it.

#include <cstdint>
#include <functional>

#include "wrenusher/events/membership.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::membership {

/// Owned by Leadership. Single-threaded: called from the runtime's loop only.
class LeaderLease {
 public:
  /// `validity` gets every change of `valid_until()`. All arguments must outlive this.
  LeaderLease(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store,
              const runtime::EventSink<events::LeaseValidity>& validity)
      : runtime_(runtime), settings_(settings), store_(store), validity_(validity) {}

  /// The state service says that the lease has expired. To be set before `begin`.
  std::function<void()> expired;

  /// A term begins with this lease, which was granted to a request sent at `sent_at`.
  void begin(std::uint64_t lease_id, time::Instant sent_at);
  /// The term is over. The lease itself is left to expire.
  void end();
  /// Gives the lease back at once, so that another node can win.
  void revoke();
  /// Renews the lease four times within its duration.
  void renew_if_due();

  /// Before this time nobody else can have won a term; 0: no claim.
  [[nodiscard]] time::Instant valid_until() const { return valid_until_; }

 private:
  void extend_validity(time::Instant sent_at);
  void schedule_renewal();

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  const runtime::EventSink<events::LeaseValidity>& validity_;
  bool active_ = false;  ///< a term is running
  std::uint64_t lease_id_ = 0;
  time::Instant valid_until_{};
  time::Instant next_renewal_{};
};

}  // namespace wrenusher::membership
