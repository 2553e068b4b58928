#include "wrenusher/accounts/accounts.hpp"

#include "wrenusher/log/log.hpp"

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
    log::info("waits",
              "{queue}: {starts} starts, order {order:.1f} s, {fetches:.0f}% fetched {fetch:.1f} s, gathered "
              "{gathered:.1f} s",
              log::with("queue", queue), log::with("starts", q.starts),
              log::with("order", mean(q.sum.ordered, q.starts)),
              log::with("fetches", 100.0 * q.fetches / q.starts),
              log::with("fetch", mean(q.sum.fetched, q.fetches)),
              log::with("gathered", mean(q.sum.gathered, q.starts)));
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
    log::info("spent",
              "spent {money:.2f} on {kind} {type}: run {run:.0f}%, fetch and wait {wait:.0f}%, spare "
              "{spare:.0f}%, idle {idle:.0f}%, boot {boot:.0f}%",
              log::with("money", s.total()), log::with("kind", kind.second ? "spot" : "ordinary"),
              log::with("type", kind.first), log::with("run", s.run * percent),
              log::with("wait", s.wait * percent), log::with("spare", s.spare * percent),
              log::with("idle", s.idle * percent), log::with("boot", s.boot * percent));
  }
  kinds_.clear();
}

}  // namespace wrenusher::accounts
