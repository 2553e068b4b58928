#pragma once
// Detects workers that do not receive the replies to their reports.

#include <cstdint>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::worker_gateway {

/// A worker receives no replies if this many consecutive reports show no effect of the reply before them.
/// Single replies are lost now and then, but not three in a row.
inline constexpr int kMaxUnobservedReplies = 3;

/// Compares each report of one worker with the reply to its previous report. A worker that sends reports but
/// receives no replies or commands looks healthy by its reports alone: it is never silent, but it never
/// executes its start commands, and it loses its tasks whenever its lease expires. Single-threaded.
class DeliveryMonitor {
 public:
  /// Records that the newest report was answered with these commands.
  void on_reply(std::uint64_t fencing_token, const std::vector<protocol::WorkerCommand>& commands);
  /// Records that the worker was called: it may have used a sequence number for a response that was lost.
  void on_polled() { ++calls_; }
  /// Compares the worker's next report with the last reply. `on_time`: whether the report arrived about when
  /// it was due. If it did although the worker's lease has expired, replies were lost.
  void on_report(const protocol::WorkerReport& report, bool on_time);
  /// Returns how many consecutive reports showed no effect of the reply before them. An expired lease counts
  /// as several such reports.
  [[nodiscard]] int unobserved_replies() const { return unobserved_replies_; }

 private:
  /// The position of the last report, to compare with the next report.
  struct LastReport {
    std::uint64_t fencing_token = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  void compare(const protocol::WorkerReport& report, const LastReport& last, std::uint64_t calls,
               bool on_time);
  void count(bool observed) { unobserved_replies_ = observed ? 0 : unobserved_replies_ + 1; }

  LastReport last_report_;
  std::uint64_t calls_ = 0;        ///< calls to the worker since its last report
  bool replied_ = false;           ///< whether the last report was answered
  std::uint64_t reply_token_ = 0;  ///< the fencing token in that reply
  /// The commands of that reply whose effect shows in the next report if the reply arrived.
  std::vector<protocol::WorkerCommand> reply_commands_;
  int unobserved_replies_ = 0;
};

}  // namespace wrenusher::worker_gateway
