#pragma once
// Package usage_metrics: what operators are told every minute of where the time and the money went. It owns
// the sums since the last account, decides nothing, and forgets them once told. It may depend on base and
// protocol.

#include <map>
#include <string>
#include <utility>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::usage_metrics {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

inline constexpr Micros kLogInterval = from_seconds(60);

/// What starts waited for once they had a place, by queue.
class StartLatencyMetrics {
 public:
  struct Start {
    Micros command_wait{};  ///< from the claim until the worker had its order
    Micros fetch_wait{};
    Micros gang_wait{};  ///< a gang's task, for the others
    bool fetches = false;
  };
  void started(const std::string& job_class, const Start& start);
  /// Logs them if it is time.
  void log_if_due(Instant now);

 private:
  struct Sum {
    std::uint32_t starts = 0;
    std::uint32_t fetches = 0;  ///< starts that had to wait for their image
    Start sum;
  };
  std::map<std::string, Sum> by_job_class_;
  Instant next_log_{};
};

/// What was spent on each kind of machine (type; spot or not), by what it was spent on.
class CostMetrics {
 public:
  /// A machine in the time since the last reckoning; amounts as cores, see placement::core_equivalents.
  struct Use {
    bool up = false;
    Amount reserved = 0;
    Amount working = 0;
  };
  void begin(Instant now);
  /// Hours since the last call.
  double elapse(Instant now);
  void spend(double hours, const MachineType& machine_type, bool spot, const Use& use);
  /// Logs the sums if it is time.
  void log_if_due(Instant now);

 private:
  struct Spent {
    double boot = 0;
    double idle = 0;   ///< up, with nothing to do
    double spare = 0;  ///< cores that no task has booked beside some that are
    double wait = 0;   ///< cores booked by tasks that do not run yet: orders on their way, images
    double run = 0;
    double total() const { return boot + idle + spare + wait + run; }
  };
  std::map<std::pair<std::string, bool>, Spent> by_class_;
  Instant last_elapse_{};
  Instant next_log_{};
};

}  // namespace wrenusher::usage_metrics
