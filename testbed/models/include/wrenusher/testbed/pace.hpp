#pragma once
// A rate limit per second, as the state service and the cloud apply it.

#include <algorithm>

#include "wrenusher/time/time.hpp"

namespace wrenusher::testbed {

/// A token bucket. The bucket holds the tokens of `burst_s` seconds and is full at the start. A rate of 0
/// means no limit.
class RateLimiter {
 public:
  RateLimiter(double per_second, double burst_s, time::Instant now)
      : rate_(per_second), max_tokens_(per_second * burst_s), tokens_(max_tokens_), at_(now) {}
  bool take(double n, time::Instant now) {
    if (rate_ <= 0) return true;
    tokens_ = std::min(max_tokens_, tokens_ + time::to_seconds(now - at_) * rate_);
    at_ = now;
    if (tokens_ < n) return false;
    tokens_ -= n;
    return true;
  }

 private:
  double rate_;
  double max_tokens_;
  double tokens_;
  time::Instant at_;
};

}  // namespace wrenusher::testbed
