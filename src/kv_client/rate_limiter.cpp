#include "wrenusher/kv_client/rate_limiter.hpp"

#include <algorithm>

namespace wrenusher::kv_client {

namespace {

/// Slightly below a full bucket, which rounding errors might never reach.
constexpr double kFullBucketFraction = 0.999;

}  // namespace

void RateLimiter::refill(time::Instant now) {
  tokens_ = std::min(rate_, tokens_ + time::to_seconds(now - refilled_at_) * rate_);
  refilled_at_ = now;
}

bool RateLimiter::try_acquire(double count, time::Instant now) {
  if (!can_acquire(count, now)) return false;
  tokens_ -= count;
  return true;
}

bool RateLimiter::can_acquire(double count, time::Instant now) {
  refill(now);
  return tokens_ >= std::min(count, rate_ * kFullBucketFraction);
}

void RateLimiter::force_acquire(double count, time::Instant now) {
  refill(now);
  tokens_ -= count;
}

double RateLimiter::tokens(time::Instant now) {
  refill(now);
  return tokens_;
}

}  // namespace wrenusher::kv_client
