#include "wrenusher/scheduling_cycle/reserved_types.hpp"

#include <utility>

namespace wrenusher::scheduling_cycle {

namespace {

/// Time for which a type stays reserved after a job that fits no other type last waited.
constexpr time::Micros kReservationTime = time::from_seconds(300);

}  // namespace

void ReservedTypes::reserve(const std::string& type, time::Instant now) {
  reserved_until_[type] = now + kReservationTime;
}

bool ReservedTypes::refresh(time::Instant now) {
  std::set<std::string> reserved;
  for (const auto& [type, until] : reserved_until_) {
    if (now < until) reserved.insert(type);
  }
  if (reserved == reserved_) return false;
  reserved_ = std::move(reserved);
  return true;
}

}  // namespace wrenusher::scheduling_cycle
