#pragma once
// Machine types that some job cannot do without, and that are therefore kept for such jobs.

#include <map>
#include <set>
#include <string>

#include "wrenusher/time/time.hpp"

namespace wrenusher::scheduling_cycle {

/// Remembers for which machine types a job has waited recently that fits no other type. Single-threaded.
class ReservedTypes {
 public:
  /// A job waits now that fits this machine type only.
  void request(const std::string& type, time::Instant now);
  /// Lets requests expire. True when other types are reserved than after the last call.
  [[nodiscard]] bool refresh(time::Instant now);
  /// Whether the type was reserved at the last `refresh`.
  bool contains(const std::string& type) const { return reserved_.contains(type); }

 private:
  std::map<std::string, time::Instant> reserved_until_;
  std::set<std::string> reserved_;
};

}  // namespace wrenusher::scheduling_cycle
