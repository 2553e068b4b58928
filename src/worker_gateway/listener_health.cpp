#include "wrenusher/worker_gateway/listener_health.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::worker_gateway {

using time::from_seconds;
using time::Instant;
using time::Micros;
using time::to_seconds;

namespace {

/// With fewer machines than this nothing is concluded from how many are silent.
constexpr std::size_t kMinWorkersToJudge = 6;
/// One worker in so many has to be heard.
constexpr std::size_t kEnoughHeardDivisor = 4;
/// A node that stood still for more than this part of so much time is starved.
constexpr double kStarvedShare = 0.5;
constexpr Micros kStarvedMemory = from_seconds(6);
/// A tick may come later than its interval by this factor without counting as a stall.
constexpr double kTickTolerance = 1.25;
/// A tick that comes after so many intervals means that reports waited unread.
constexpr int kStallTicks = 3;

}  // namespace

void ListenerHealth::on_report(Instant now) {
  last_report_ = now;
  any_report_ = true;
}

std::optional<Micros> ListenerHealth::on_tick(Instant now, Micros tick_interval) {
  const Instant last = std::exchange(last_tick_, now);
  if (last == Instant{}) return std::nullopt;
  const double passed = to_seconds(now - last);
  const double stalled = std::max(0.0, passed - to_seconds(tick_interval) * kTickTolerance) / passed;
  const double weight = std::min(1.0, passed / to_seconds(kStarvedMemory));
  stall_share_ += (stalled - stall_share_) * weight;
  if (now - last <= tick_interval * kStallTicks) return std::nullopt;
  const Micros lost = now - last - tick_interval;
  last_report_ += lost;
  return lost;
}

void ListenerHealth::on_audience(Instant now, const Audience& audience) {
  if (audience.expected < kMinWorkersToJudge || audience.heard * kEnoughHeardDivisor >= audience.expected)
    enough_heard_at_ = now;
}

bool ListenerHealth::starved() const {
  return stall_share_ > kStarvedShare;
}

}  // namespace wrenusher::worker_gateway
