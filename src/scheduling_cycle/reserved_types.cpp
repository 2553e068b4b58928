#include "wrenusher/scheduling_cycle/reserved_types.hpp"

#include <utility>

namespace wrenusher::scheduling_cycle {

namespace {

/// A type stays reserved for this long after the last job that needed it was seen to wait.
constexpr time::Micros kReservationTime = time::from_seconds(300);

}  // namespace

void ReservedTypes::request(const std::string& type, time::Instant now) {
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
