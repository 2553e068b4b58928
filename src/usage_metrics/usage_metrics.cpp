#include "wrenusher/usage_metrics/usage_metrics.hpp"

#include "wrenusher/log/log.hpp"

namespace wrenusher::usage_metrics {

void StartLatencyMetrics::started(const std::string& job_class, const Start& start) {
  Sum& total = by_job_class_[job_class];
  ++total.starts;
  if (start.fetches) ++total.fetches;
  total.sum.command_wait += start.command_wait;
  total.sum.fetch_wait += start.fetch_wait;
  total.sum.gang_wait += start.gang_wait;
}

void StartLatencyMetrics::log_if_due(Instant now) {
  if (now < next_log_) return;
  next_log_ = now + kLogInterval;
  for (const auto& [job_class, total] : by_job_class_) {
    const auto mean = [](Micros sum, std::uint32_t count) {
      return count == 0 ? 0 : to_seconds(sum) / count;
    };
    log::info("waits",
              "{queue}: {starts} starts; mean waits: command {order:.1f} s, image {fetch:.1f} s (fetched by "
              "{fetches:.0f}% of starts), gang {gathered:.1f} s",
              log::with("queue", job_class), log::with("starts", total.starts),
              log::with("order", mean(total.sum.command_wait, total.starts)),
              log::with("fetches", 100.0 * total.fetches / total.starts),
              log::with("fetch", mean(total.sum.fetch_wait, total.fetches)),
              log::with("gathered", mean(total.sum.gang_wait, total.starts)));
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

void CostMetrics::add_cost(double hours, const MachineType& machine_type, bool spot, const Use& use) {
  if (machine_type.capacity.cores <= 0) return;
  const double cost = hours * (spot ? machine_type.spot_price : machine_type.price);
  CostByUse& costs = by_class_[{machine_type.name, spot}];
  if (!use.up) {
    costs.boot += cost;
  } else if (use.reserved == 0) {
    costs.idle += cost;
  } else {
    const double core_cost = cost / static_cast<double>(machine_type.capacity.cores);
    costs.run += core_cost * static_cast<double>(use.working);
    costs.wait += core_cost * static_cast<double>(use.reserved - use.working);
    costs.spare += core_cost * static_cast<double>(machine_type.capacity.cores - use.reserved);
  }
}

void CostMetrics::log_if_due(Instant now) {
  if (now < next_log_) return;
  next_log_ = now + kLogInterval;
  for (const auto& [machine_class, cost] : by_class_) {
    if (cost.total() <= 0) continue;
    const double percent = 100 / cost.total();
    log::info(
        "spent",
        "cost {money:.2f} for {kind} {type}: running tasks {run:.0f}%, reserved for tasks not yet running "
        "{wait:.0f}%, unreserved on machines in use {spare:.0f}%, machines without tasks {idle:.0f}%, "
        "booting machines {boot:.0f}%",
        log::with("money", cost.total()), log::with("kind", machine_class.second ? "spot" : "ordinary"),
        log::with("type", machine_class.first), log::with("run", cost.run * percent),
        log::with("wait", cost.wait * percent), log::with("spare", cost.spare * percent),
        log::with("idle", cost.idle * percent), log::with("boot", cost.boot * percent));
  }
  by_class_.clear();
}

}  // namespace wrenusher::usage_metrics
