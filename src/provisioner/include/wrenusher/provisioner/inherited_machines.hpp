#pragma once
// Tracks which machines of the previous leader have not reported to this leader yet.

#include <cstddef>
#include <set>
#include <string>
#include <utility>

namespace wrenusher::provisioner {

/// Detects when nearly all machines that reported to the previous leader have reported to this one. From then
/// on a shortage of machines is real, and renting need not be delayed any longer. Pure state, without clock
/// or calls. Single-threaded.
class InheritedMachines {
 public:
  /// Removes all machines.
  void clear() {
    unreported_.clear();
    expected_count_ = 0;
  }
  /// Adds machines that reported to the previous leader and are expected to report to this one.
  void add(std::set<std::string> hosts) {
    unreported_.merge(std::move(hosts));
    expected_count_ = unreported_.size();
  }
  /// Removes a machine that has reported or has been returned.
  void remove(const std::string& host) { unreported_.erase(host); }
  /// Returns true, and removes all machines, if the share of machines that have not reported is small enough.
  /// Returns false if no machines were added since it last returned true.
  [[nodiscard]] bool finish_if_complete() {
    if (expected_count_ == 0) return false;
    if (static_cast<double>(unreported_.size()) > kMaxUnreportedShare * static_cast<double>(expected_count_))
      return false;
    clear();
    return true;
  }

 private:
  /// Some machines may have failed together with the previous leader.
  static constexpr double kMaxUnreportedShare = 0.1;

  std::set<std::string> unreported_;
  std::size_t expected_count_ = 0;  ///< 0 if no machines were added, or after completion
};

}  // namespace wrenusher::provisioner
