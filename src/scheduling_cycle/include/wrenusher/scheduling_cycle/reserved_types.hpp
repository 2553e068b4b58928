#pragma once
// Machine types that are reserved for the jobs that fit no other type.

#include <map>
#include <set>
#include <string>

#include "wrenusher/time/time.hpp"

namespace wrenusher::scheduling_cycle {

/// The machine types that are reserved because a job that fits no other type has waited recently.
/// Single-threaded.
class ReservedTypes {
 public:
  /// Reserves the type for a job that waits at `now` and fits this machine type only.
  void reserve(const std::string& type, time::Instant now);
  /// Removes expired reservations. Returns true if the set of reserved types differs from that after the last
  /// call.
  [[nodiscard]] bool refresh(time::Instant now);
  /// Returns whether the type was reserved at the last `refresh`.
  bool contains(const std::string& type) const { return reserved_.contains(type); }

 private:
  std::map<std::string, time::Instant> reserved_until_;
  std::set<std::string> reserved_;
};

}  // namespace wrenusher::scheduling_cycle
