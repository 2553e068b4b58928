#include "wrenusher/accounts/accounts.hpp"

#include <spdlog/spdlog.h>

namespace wrenusher::accounts {

void Waits::started(const std::string& queue, const Start& s) {
  Sum& q = queues_[queue];
  ++q.starts;
  if (s.fetches) ++q.fetches;
  q.sum.ordered += s.ordered;
  q.sum.fetched += s.fetched;
  q.sum.gathered += s.gathered;
}

void Waits::tell(Instant now) {
  if (now < next_) return;
  next_ = now + kEvery;
  for (const auto& [queue, q] : queues_) {
    const auto mean = [](Micros sum, std::uint32_t n) { return n == 0 ? 0 : to_seconds(sum) / n; };
    spdlog::info("{}: {} starts, order {:.1f} s, {:.0f}% fetched {:.1f} s, gathered {:.1f} s", queue,
                 q.starts, mean(q.sum.ordered, q.starts), 100.0 * q.fetches / q.starts,
                 mean(q.sum.fetched, q.fetches), mean(q.sum.gathered, q.starts));
  }
  queues_.clear();
}

void Money::begin(Instant now) {
  kinds_.clear();
  at_ = now;
  next_ = now + kEvery;
}

double Money::elapse(Instant now) {
  const double hours = to_seconds(now - at_) / 3600;
  at_ = now;
  return hours;
}

void Money::spend(double hours, const Flavor& f, bool standby, const Use& use) {
  if (f.room.cores <= 0) return;
  const double cost = hours * (standby ? f.low_price : f.rate);
  Spent& s = kinds_[{f.name, standby}];
  if (!use.up) {
    s.boot += cost;
  } else if (use.booked == 0) {
    s.idle += cost;
  } else {
    const double core = cost / static_cast<double>(f.room.cores);
    s.run += core * static_cast<double>(use.working);
    s.wait += core * static_cast<double>(use.booked - use.working);
    s.spare += core * static_cast<double>(f.room.cores - use.booked);
  }
}

void Money::tell(Instant now) {
  if (now < next_) return;
  next_ = now + kEvery;
  for (const auto& [kind, s] : kinds_) {
    if (s.total() <= 0) continue;
    const double percent = 100 / s.total();
    spdlog::info(
        "spent {:.2f} on {} {}: run {:.0f}%, fetch and wait {:.0f}%, spare {:.0f}%, idle {:.0f}%, boot "
        "{:.0f}%",
        s.total(), kind.second ? "spot" : "ordinary", kind.first, s.run * percent, s.wait * percent,
        s.spare * percent, s.idle * percent, s.boot * percent);
  }
  kinds_.clear();
}

}  // namespace wrenusher::accounts
