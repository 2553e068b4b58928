#include "wrenusher/worker_gateway/report_order.hpp"

namespace wrenusher::worker_gateway {

using time::Instant;
using time::Micros;

namespace {

/// No duplicate of a report arrives later than this after the original.
constexpr Micros kPositionRetention = time::from_seconds(600);

}  // namespace

bool ReportOrder::record_if_newest(const protocol::WorkerReport& report, Instant now) {
  Newest& newest = by_host_[report.host];
  const ReportPosition position = position_of(report);
  if (position <= newest.position) return false;
  newest = {position, now};
  return true;
}

void ReportOrder::remove_expired(Instant now) {
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kPositionRetention;
  std::erase_if(by_host_,
                [&](const auto& entry) { return now - entry.second.received_at > kPositionRetention; });
}

}  // namespace wrenusher::worker_gateway
