#pragma once
// Whether this node itself is the reason that workers seem silent.

#include <cstddef>
#include <optional>

#include "wrenusher/time/time.hpp"

namespace wrenusher::worker_gateway {

/// Judges how well this node hears its workers, so that no machine is blamed for a fault of the node: a
/// process that got no processor time, or a network that cuts the leader off. Single-threaded.
class ListenerHealth {
 public:
  /// What is heard of the workers that this leader counts on.
  struct Audience {
    std::size_t expected = 0;  ///< workers that are not marked silent
    std::size_t heard = 0;     ///< those of them that have reported about when it was due
  };

  /// A new report came, whether this node leads or not.
  void on_report(time::Instant now);
  /// To be called every `tick_interval`. Returns for how long this node stood still since the last call;
  /// nothing: it did not, or too little to matter. Times at which workers were heard are to be put off by
  /// that.
  [[nodiscard]] std::optional<time::Micros> on_tick(time::Instant now, time::Micros tick_interval);
  /// To be called once a tick while it is known who is heard.
  void on_audience(time::Instant now, const Audience& audience);

  /// Whether reports have reached this node within `limit`.
  [[nodiscard]] bool receives_reports(time::Instant now, time::Micros limit) const {
    return any_report_ && now - last_report_ < limit;
  }
  /// Whether so few of the workers are heard that the fault is more likely here. Machines do not end most at
  /// a time, and a leader cut off from its workers alone would otherwise return them all before it knows.
  /// Holds for `limit` at most: they may have ended after all.
  [[nodiscard]] bool too_few_heard(time::Instant now, time::Micros limit) const {
    return now > enough_heard_at_ && now - enough_heard_at_ < limit;
  }
  /// Whether this node stood still for most of the last seconds.
  [[nodiscard]] bool starved() const;

 private:
  time::Instant last_report_{};
  bool any_report_ = false;
  time::Instant last_tick_{};        ///< zero: there was none
  double stall_share_ = 0;           ///< part of the last seconds that this node stood still, 0 to 1
  time::Instant enough_heard_at_{};  ///< when a fair part of the workers was last heard
};

}  // namespace wrenusher::worker_gateway
