#pragma once
// A limit of so many a second, as the state service and the cloud set them.

#include <algorithm>

#include "wrenusher/base/time.hpp"

namespace wrenusher::lab {

/// Tokens that refill at a steady rate; what is saved up is bounded, and full at the start. A rate of 0: no
/// limit.
class RateLimiter {
 public:
  RateLimiter(double per_second, double burst_s, base::Instant now)
      : rate_(per_second), most_(per_second * burst_s), tokens_(most_), at_(now) {}
  bool take(double n, base::Instant now) {
    if (rate_ <= 0) return true;
    tokens_ = std::min(most_, tokens_ + base::to_seconds(now - at_) * rate_);
    at_ = now;
    if (tokens_ < n) return false;
    tokens_ -= n;
    return true;
  }

 private:
  double rate_;
  double most_;
  double tokens_;
  base::Instant at_;
};

}  // namespace wrenusher::lab
