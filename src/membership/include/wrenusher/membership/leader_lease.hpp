#pragma once
// Maintains the lease on the `leader` record in the state service, and the time until which the lease is
// certainly valid. The service deletes the record when the lease expires.

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
  /// `validity` is fired at every change of `valid_until()`. All arguments must outlive this object.
  LeaderLease(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store,
              const runtime::EventSink<events::LeaseValidity>& validity)
      : runtime_(runtime), settings_(settings), store_(store), validity_(validity) {}

  /// Called when the state service reports that the lease has expired. Must be set before `begin`.
  std::function<void()> expired;

  /// Begins a term with this lease, which was granted to a request sent at `sent_at`.
  void begin(std::uint64_t lease_id, time::Instant sent_at);
  /// Ends the term. The lease is not revoked; it expires at the state service.
  void end();
  /// Revokes the lease at once, so that another node can win.
  void revoke();
  /// Requests one renewal of the lease if a quarter of its duration has passed since the last request, or
  /// since the term began.
  void renew_if_due();

  /// Returns the time before which no other node can have won a term; 0: not guaranteed.
  [[nodiscard]] time::Instant valid_until() const { return valid_until_; }

 private:
  void extend_validity(time::Instant sent_at);
  void schedule_renewal();

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  const runtime::EventSink<events::LeaseValidity>& validity_;
  bool active_ = false;  ///< whether a term of this node is running
  std::uint64_t lease_id_ = 0;
  time::Instant valid_until_{};
  time::Instant next_renewal_{};
};

}  // namespace wrenusher::membership
