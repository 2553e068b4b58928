#include "wrenusher/fleet/heed.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wrenusher::fleet {

namespace {

/// What a lease counts that ran out though reports came and were answered all along.
constexpr int kLeaseLost = 2;

/// A start shows whatever comes of it, and what is reaped shows no more. What is halted may go on for a
/// while.
bool tells(const Order& o) {
  return o.verb != Order::Verb::halt;
}

bool followed(const Order& o, const WorkerReport& r) {
  const bool there = std::any_of(r.units.begin(), r.units.end(), [&](const UnitReport& u) {
    return u.task == o.task && u.attempt == o.attempt && u.ref == o.ref;
  });
  return there == (o.verb == Order::Verb::run);
}

}  // namespace

void Heed::answered(std::uint64_t epoch, const std::vector<Order>& orders) {
  answered_ = true;
  epoch_ = epoch;
  orders_.clear();
  std::copy_if(orders.begin(), orders.end(), std::back_inserter(orders_), tells);
}

void Heed::reported(const WorkerReport& r, bool steady) {
  const bool answered = std::exchange(answered_, false);
  const std::uint64_t before = std::exchange(tenure_, r.tenure);
  const bool rose = r.epoch > std::exchange(seen_, r.epoch);
  const std::uint64_t last = std::exchange(serial_, r.serial);
  const std::uint64_t calls = std::exchange(calls_, 0);
  if (!answered) return;
  if (r.epoch < epoch_) {
    ++unheeded_;  // every answer tells it a token that it has to take
  } else if (rose) {
    unheeded_ = 0;
  } else if (r.tenure != before) {
    // All that was on it is gone, whatever it was told.
    if (steady) unheeded_ += kLeaseLost;
  } else if (!orders_.empty()) {
    const bool any =
        std::any_of(orders_.begin(), orders_.end(), [&](const Order& o) { return followed(o, r); });
    unheeded_ = any ? 0 : unheeded_ + 1;
  } else if (steady) {
    // Whoever gets no answer reports to the next node, which sends it back here: that report is missing in
    // the count.
    unheeded_ = r.serial > last + 1 + calls ? unheeded_ + 1 : 0;
  }
}

}  // namespace wrenusher::fleet
