#pragma once
// Machines that the cloud has taken away.

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace wrenusher::worker_gateway {

/// Remembers the machines that departed last, so that their late reports are ignored. Bounded: the one that
/// departed first is forgotten first. Single-threaded: called from the runtime's loop only.
class DepartedMachines {
 public:
  void add(const std::string& host) {
    if (!hosts_.insert(host).second) return;
    insertion_order_.push_back(host);
    if (insertion_order_.size() <= kMaxMachines) return;
    hosts_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
  [[nodiscard]] bool contains(const std::string& host) const { return hosts_.contains(host); }

 private:
  /// Every machine of the largest deployment (11,000), twice.
  static constexpr std::size_t kMaxMachines = 22000;

  std::set<std::string> hosts_;
  std::deque<std::string> insertion_order_;
};

}  // namespace wrenusher::worker_gateway
