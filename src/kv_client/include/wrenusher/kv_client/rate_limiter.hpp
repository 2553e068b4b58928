#pragma once

#include "wrenusher/time/time.hpp"

namespace wrenusher::kv_client {

/// A token bucket: refills at a steady rate and holds at most one second's worth of tokens. Single-threaded.
/// The times passed to it must not decrease.
class RateLimiter {
 public:
  /// Starts full. `per_second` must be above 0.
  RateLimiter(double per_second, time::Instant now)
      : rate_(per_second), tokens_(per_second), refilled_at_(now) {}

  void set_rate(double per_second) { rate_ = per_second; }
  /// Returns the rate in tokens per second.
  [[nodiscard]] double rate() const { return rate_; }

  /// Takes `count` tokens if they are available. More than one second's worth can be taken once the bucket is
  /// full; the bucket then goes negative and refills from there.
  [[nodiscard]] bool try_acquire(double count, time::Instant now);
  /// Returns whether `try_acquire` would succeed.
  [[nodiscard]] bool can_acquire(double count, time::Instant now);
  /// Takes tokens even if they are not available, for calls that must not wait.
  void force_acquire(double count, time::Instant now);
  /// Returns the available tokens; below 0 after more were taken than were available.
  [[nodiscard]] double tokens(time::Instant now);

 private:
  void refill(time::Instant now);

  double rate_;
  double tokens_;
  time::Instant refilled_at_;
};

}  // namespace wrenusher::kv_client
