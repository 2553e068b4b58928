#pragma once
// Whether a worker gets its answers. A machine whose reports arrive while answers and orders do not reach it
// looks healthy by its reports alone: it is never silent, is told its starts in vain, and loses its tasks
// with every lease. What its next report shows of the last answer tells.

#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::worker_gateway {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

/// So many reports in a row that show nothing of the answer before them: it hears nothing. An answer is lost
/// now and then; three in a row are not.
inline constexpr int kMaxUnobserved = 3;

class DeliveryMonitor {
 public:
  /// It was answered its newest report with this.
  void on_reply(std::uint64_t fencing_token, const std::vector<WorkerCommand>& commands);
  /// It was called, and may have spent a number of its count on an answer that never came.
  void on_polled() { ++polls_; }
  /// Its next report. `steady`: it came about when it was due, so that a lease that ran out ran out for want
  /// of answers alone.
  void on_report(const WorkerReport& report, bool steady);
  /// Reports in a row that showed nothing of what had been answered.
  int unobserved_replies() const { return unobserved_replies_; }

 private:
  bool replied_ = false;
  std::uint64_t fencing_token_ = 0;      ///< of the answer
  std::uint64_t incarnation_ = 0;        ///< of the last report
  std::uint64_t reported_token_ = 0;     ///< token of the last report
  std::uint64_t sequence_ = 0;           ///< of the last report
  std::uint64_t polls_ = 0;              ///< since then
  std::vector<WorkerCommand> commands_;  ///< in the answer, those that tell whether it came
  int unobserved_replies_ = 0;
};

}  // namespace wrenusher::worker_gateway
