#pragma once
// Machines that reported to the last leader, until they report to this one.

#include <cstddef>
#include <set>
#include <string>
#include <utility>

namespace wrenusher::provisioner {

/// Tells when nearly all machines of the last leader have reported to this one: from then on a shortage is
/// real, and nothing more is to be waited for before machines are rented. Pure state. Single-threaded.
class InheritedMachines {
 public:
  void clear() {
    awaited_.clear();
    total_ = 0;
  }
  /// Machines that reported to the last leader: waits for these as well.
  void await(std::set<std::string> hosts) {
    awaited_.merge(std::move(hosts));
    total_ = awaited_.size();
  }
  /// The machine has reported, or was returned.
  void settle(const std::string& host) { awaited_.erase(host); }
  /// True once, as soon as few enough machines have not reported.
  [[nodiscard]] bool complete_now() {
    if (total_ == 0) return false;
    if (static_cast<double>(awaited_.size()) > kAwaitedShare * static_cast<double>(total_)) return false;
    clear();
    return true;
  }

 private:
  /// A few machines may have failed together with the last leader.
  static constexpr double kAwaitedShare = 0.1;

  std::set<std::string> awaited_;
  std::size_t total_ = 0;  ///< 0: nothing was inherited, or it is complete
};

}  // namespace wrenusher::provisioner
