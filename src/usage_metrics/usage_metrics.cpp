#include "wrenusher/usage_metrics/usage_metrics.hpp"

#include "wrenusher/log/log.hpp"

namespace wrenusher::usage_metrics {

void StartLatencyMetrics::started(const std::string& job_class, const Start& start) {
  Sum& sums = by_job_class_[job_class];
  ++sums.starts;
  if (start.fetches) ++sums.fetches;
  sums.sum.command_wait += start.command_wait;
  sums.sum.fetch_wait += start.fetch_wait;
  sums.sum.gang_wait += start.gang_wait;
}

void StartLatencyMetrics::log_if_due(Instant now) {
  if (now < next_log_) return;
  next_log_ = now + kLogInterval;
  for (const auto& [queue, q] : by_job_class_) {
    const auto mean = [](Micros sum, std::uint32_t n) { return n == 0 ? 0 : to_seconds(sum) / n; };
    log::info("waits",
              "{queue}: {starts} starts, order {order:.1f} s, {fetches:.0f}% fetched {fetch:.1f} s, gathered "
              "{gathered:.1f} s",
              log::with("queue", queue), log::with("starts", q.starts),
              log::with("order", mean(q.sum.command_wait, q.starts)),
              log::with("fetches", 100.0 * q.fetches / q.starts),
              log::with("fetch", mean(q.sum.fetch_wait, q.fetches)),
              log::with("gathered", mean(q.sum.gang_wait, q.starts)));
  }
  by_job_class_.clear();
}

void CostMetrics::begin(Instant now) {
  by_class_.clear();
  last_elapse_ = now;
  next_log_ = now + kLogInterval;
}

double CostMetrics::elapse(Instant now) {
  const double hours = to_seconds(now - last_elapse_) / 3600;
  last_elapse_ = now;
  return hours;
}

void CostMetrics::spend(double hours, const MachineType& machine_type, bool spot, const Use& use) {
  if (machine_type.capacity.cores <= 0) return;
  const double cost = hours * (spot ? machine_type.spot_price : machine_type.price);
  Spent& spent = by_class_[{machine_type.name, spot}];
  if (!use.up) {
    spent.boot += cost;
  } else if (use.reserved == 0) {
    spent.idle += cost;
  } else {
    const double core = cost / static_cast<double>(machine_type.capacity.cores);
    spent.run += core * static_cast<double>(use.working);
    spent.wait += core * static_cast<double>(use.reserved - use.working);
    spent.spare += core * static_cast<double>(machine_type.capacity.cores - use.reserved);
  }
}

void CostMetrics::log_if_due(Instant now) {
  if (now < next_log_) return;
  next_log_ = now + kLogInterval;
  for (const auto& [kind, s] : by_class_) {
    if (s.total() <= 0) continue;
    const double percent = 100 / s.total();
    log::info("spent",
              "spent {money:.2f} on {kind} {type}: run {run:.0f}%, fetch and wait {wait:.0f}%, spare "
              "{spare:.0f}%, idle {idle:.0f}%, boot {boot:.0f}%",
              log::with("money", s.total()), log::with("kind", kind.second ? "spot" : "ordinary"),
              log::with("type", kind.first), log::with("run", s.run * percent),
              log::with("wait", s.wait * percent), log::with("spare", s.spare * percent),
              log::with("idle", s.idle * percent), log::with("boot", s.boot * percent));
  }
  by_class_.clear();
}

}  // namespace wrenusher::usage_metrics
