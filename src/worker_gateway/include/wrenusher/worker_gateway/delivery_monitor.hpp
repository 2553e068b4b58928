#pragma once
// Whether a worker receives the answers to its reports.

#include <cstdint>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::worker_gateway {

/// So many reports in a row that show nothing of the answer before them: the worker receives nothing. An
/// answer is lost now and then; three in a row are not.
inline constexpr int kMaxUnobserved = 3;

/// A machine whose reports arrive while answers and commands don't reach it looks healthy by its reports
/// alone: it is never silent, gets its starts in vain, and loses its tasks with every lease. This class
/// compares each report of one worker with what the worker was answered before. Single-threaded.
class DeliveryMonitor {
 public:
  /// The newest report was answered with these commands.
  void on_reply(std::uint64_t fencing_token, const std::vector<protocol::WorkerCommand>& commands);
  /// The worker was called: it may have spent a sequence number on an answer that never arrived.
  void on_polled() { ++polls_; }
  /// The worker's next report. `steady`: it came about when it was due, so that a lease that expired did so
  /// for want of answers alone.
  void on_report(const protocol::WorkerReport& report, bool steady);
  /// How many reports in a row showed nothing of the answer before them.
  [[nodiscard]] int unobserved_replies() const { return unobserved_replies_; }

 private:
  /// What is compared with the next report.
  struct LastReport {
    std::uint64_t fencing_token = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  void compare(const protocol::WorkerReport& report, const LastReport& last, std::uint64_t polls,
               bool steady);
  void count(bool observed) { unobserved_replies_ = observed ? 0 : unobserved_replies_ + 1; }

  LastReport last_report_;
  std::uint64_t polls_ = 0;        ///< since the last report
  bool replied_ = false;           ///< the last report was answered
  std::uint64_t reply_token_ = 0;  ///< the fencing token in that answer
  /// Those of its commands that show in the next report if the answer arrived.
  std::vector<protocol::WorkerCommand> reply_commands_;
  int unobserved_replies_ = 0;
};

}  // namespace wrenusher::worker_gateway
