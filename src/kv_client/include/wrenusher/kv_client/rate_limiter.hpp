#pragma once

#include "wrenusher/time/time.hpp"

namespace wrenusher::kv_client {

/// A token bucket: refills at a steady rate and keeps at most one second's worth. Single-threaded. The times
/// given to it must not go back.
class RateLimiter {
 public:
  /// Begins full. `per_second` must be above 0.
  RateLimiter(double per_second, time::Instant now)
      : rate_(per_second), tokens_(per_second), refilled_at_(now) {}

  void set_rate(double per_second) { rate_ = per_second; }
  /// Tokens per second.
  [[nodiscard]] double rate() const { return rate_; }

  /// Takes `n` tokens if they are there. A larger number than one second's worth can be taken once the bucket
  /// is full, and is paid off afterwards.
  [[nodiscard]] bool try_acquire(double n, time::Instant now);
  /// Whether `try_acquire` would succeed.
  [[nodiscard]] bool can_acquire(double n, time::Instant now);
  /// Takes tokens even if they are not there, for calls that must not wait.
  void force_acquire(double n, time::Instant now);
  /// Tokens there now; below 0 while a debt is paid off.
  [[nodiscard]] double tokens(time::Instant now);

 private:
  void refill(time::Instant now);

  double rate_;
  double tokens_;
  time::Instant refilled_at_;
};

}  // namespace wrenusher::kv_client
