#include "wrenusher/kv_client/rate_limiter.hpp"

#include <algorithm>

namespace wrenusher::kv_client {

namespace {

/// A little below a full bucket, which rounding might never reach.
constexpr double kFullBucket = 0.999;

}  // namespace

void RateLimiter::refill(time::Instant now) {
  tokens_ = std::min(rate_, tokens_ + time::to_seconds(now - refilled_at_) * rate_);
  refilled_at_ = now;
}

bool RateLimiter::try_acquire(double n, time::Instant now) {
  if (!can_acquire(n, now)) return false;
  tokens_ -= n;
  return true;
}

bool RateLimiter::can_acquire(double n, time::Instant now) {
  refill(now);
  return tokens_ >= std::min(n, rate_ * kFullBucket);
}

void RateLimiter::force_acquire(double n, time::Instant now) {
  refill(now);
  tokens_ -= n;
}

double RateLimiter::tokens(time::Instant now) {
  refill(now);
  return tokens_;
}

}  // namespace wrenusher::kv_client
