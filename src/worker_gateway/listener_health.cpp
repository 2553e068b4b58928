#include "wrenusher/worker_gateway/listener_health.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::worker_gateway {

using time::from_seconds;
using time::Instant;
using time::Micros;
using time::to_seconds;

namespace {

/// With fewer workers, too few reports are not taken as a fault of this node.
constexpr std::size_t kMinExpectedWorkers = 6;
/// At least one in this many workers must report.
constexpr std::size_t kEnoughReportingDivisor = 4;
/// A process that was stalled for more than this share of the window is starved.
constexpr double kStarvedShare = 0.5;
constexpr Micros kStarvationWindow = from_seconds(6);
/// A tick that comes within this multiple of its interval does not count as a stall.
constexpr double kTickTolerance = 1.25;
/// If more than this many intervals pass between two ticks, received reports have waited unread.
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
  const double weight = std::min(1.0, passed / to_seconds(kStarvationWindow));
  stall_share_ += (stalled - stall_share_) * weight;
  if (now - last <= tick_interval * kStallTicks) return std::nullopt;
  const Micros lost = now - last - tick_interval;
  last_report_ += lost;
  return lost;
}

void ListenerHealth::on_report_counts(Instant now, const ReportCounts& counts) {
  if (counts.expected < kMinExpectedWorkers || counts.on_time * kEnoughReportingDivisor >= counts.expected)
    enough_reporting_at_ = now;
}

bool ListenerHealth::starved() const {
  return stall_share_ > kStarvedShare;
}

}  // namespace wrenusher::worker_gateway
