#pragma once
// The order of a worker's reports. Copies of messages may arrive long after the original, and out of order.

#include <compare>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::worker_gateway {

/// Where a report stands among the others of its worker: the higher is the newer one. The fencing token comes
/// first: within one incarnation of the worker it only rises, and a copy from an earlier incarnation, whose
/// sequence number may be higher, has the lower token.
struct ReportPosition {
  std::uint64_t fencing_token = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a defaulted comparison
  auto operator<=>(const ReportPosition&) const = default;
};

[[nodiscard]] inline ReportPosition position_of(const protocol::WorkerReport& report) {
  return {report.fencing_token, report.incarnation, report.sequence};
}

/// Tells new reports from copies, on any node, whether it leads or not. Owns the position of each worker's
/// newest report. Single-threaded: called from the runtime's loop only.
class ReportOrder {
 public:
  /// Whether this report is newer than all that this node received of its worker before.
  [[nodiscard]] bool record_if_newest(const protocol::WorkerReport& report, time::Instant now);
  /// Forgets workers that have not reported for so long that no copy can still arrive. To be called often;
  /// it does the work once in a while.
  void forget_old(time::Instant now);

 private:
  struct Newest {
    ReportPosition position;
    time::Instant received_at{};
  };
  std::unordered_map<std::string, Newest> by_host_;
  time::Instant next_cleanup_{};
};

}  // namespace wrenusher::worker_gateway
