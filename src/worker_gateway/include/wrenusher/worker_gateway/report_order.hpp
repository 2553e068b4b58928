#pragma once
// Detects duplicate and reordered reports. A duplicate may arrive long after the original.

#include <compare>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::worker_gateway {

/// The position of a report in the sequence of its worker's reports; a higher position is newer. The fencing
/// token is compared first: within one incarnation of the worker it only rises, and a duplicate from an
/// earlier incarnation has a lower token, though its sequence number may be higher.
struct ReportPosition {
  std::uint64_t fencing_token = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a defaulted comparison
  auto operator<=>(const ReportPosition&) const = default;
};

/// Returns the position of the report.
[[nodiscard]] inline ReportPosition position_of(const protocol::WorkerReport& report) {
  return {report.fencing_token, report.incarnation, report.sequence};
}

/// Distinguishes new reports from duplicates, whether this node leads or not. Owns the position of each
/// worker's newest report. Single-threaded: called from the runtime's loop only.
class ReportOrder {
 public:
  /// Returns whether the report is newer than all reports that this node has received from the worker before,
  /// and records it if so.
  [[nodiscard]] bool record_if_newest(const protocol::WorkerReport& report, time::Instant now);
  /// Removes workers that have not reported for so long that no duplicate can still arrive. May be called
  /// often: it does the work only once per retention time.
  void remove_expired(time::Instant now);

 private:
  struct Newest {
    ReportPosition position;
    time::Instant received_at{};
  };
  std::unordered_map<std::string, Newest> by_host_;
  time::Instant next_cleanup_{};
};

}  // namespace wrenusher::worker_gateway
