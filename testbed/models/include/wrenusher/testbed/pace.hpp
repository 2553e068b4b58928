#pragma once
// A limit of so many a second, as the state service and the cloud set them.

#include <algorithm>

#include "wrenusher/time/time.hpp"

namespace wrenusher::testbed {

/// Tokens that refill at a steady rate; what is saved up is bounded, and full at the start. A rate of 0: no
/// limit.
class RateLimiter {
 public:
  RateLimiter(double per_second, double burst_s, time::Instant now)
      : rate_(per_second), most_(per_second * burst_s), tokens_(most_), at_(now) {}
  bool take(double n, time::Instant now) {
    if (rate_ <= 0) return true;
    tokens_ = std::min(most_, tokens_ + time::to_seconds(now - at_) * rate_);
    at_ = now;
    if (tokens_ < n) return false;
    tokens_ -= n;
    return true;
  }

 private:
  double rate_;
  double most_;
  double tokens_;
  time::Instant at_;
};

}  // namespace wrenusher::testbed
