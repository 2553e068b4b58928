#include "wrenusher/kv_client/rate_limiter.hpp"

#include <algorithm>

namespace wrenusher::kv_client {

namespace {

/// A call that needs more tokens than a full bucket has is admitted once the bucket is full to this fraction.
/// The fraction is slightly below 1, since rounding errors might keep the bucket from becoming completely
/// full.
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
