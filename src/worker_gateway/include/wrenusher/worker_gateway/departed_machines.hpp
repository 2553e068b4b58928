#pragma once
// The set of machines that the cloud has removed.

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace wrenusher::worker_gateway {

/// Keeps the most recently departed machines, so that their late reports are ignored. Bounded: when it is
/// full, the machine that departed first is removed. Single-threaded: called from the runtime's loop only.
class DepartedMachines {
 public:
  /// Adds a machine. Does nothing if it is already in the set.
  void add(const std::string& host) {
    if (!hosts_.insert(host).second) return;
    insertion_order_.push_back(host);
    if (insertion_order_.size() <= kMaxMachines) return;
    hosts_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
  [[nodiscard]] bool contains(const std::string& host) const { return hosts_.contains(host); }

 private:
  /// Twice the number of machines of the largest deployment (11,000).
  static constexpr std::size_t kMaxMachines = 22000;

  std::set<std::string> hosts_;
  std::deque<std::string> insertion_order_;
};

}  // namespace wrenusher::worker_gateway
