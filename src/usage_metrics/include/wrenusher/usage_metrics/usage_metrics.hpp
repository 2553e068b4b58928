#pragma once
// Package usage_metrics: logs once a minute how long task starts took and what the machines cost. It keeps
// the sums since the last log line and resets them with each line. No decision depends on these sums. The
// package may depend on time, value, runtime, protocol and log.

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

/// Sums up, by job class, what task starts waited for after their placement.
class StartLatencyMetrics {
 public:
  /// The parts of one task's start latency.
  struct Start {
    Micros command_wait{};  ///< from the claim until the worker received its command
    Micros fetch_wait{};    ///< for the image
    Micros gang_wait{};     ///< for the other tasks of its gang
    bool fetches = false;   ///< the start had to fetch its image
  };
  /// Adds one start.
  void started(const std::string& job_class, const Start& start);
  /// Logs the mean waits once per kLogInterval and resets the sums.
  void log_if_due(Instant now);

 private:
  struct Sum {
    std::uint32_t starts = 0;
    std::uint32_t fetches = 0;  ///< starts that had to fetch their image
    Start sum;
  };
  std::map<std::string, Sum> by_job_class_;
  Instant next_log_{};
};

/// Sums up the cost of the machines by machine class (type; spot or on-demand) and by use.
class CostMetrics {
 public:
  /// The use of one machine in the last interval. Amounts are cores, see placement::core_equivalents.
  struct Use {
    bool up = false;      ///< false: the machine is booting
    Amount reserved = 0;  ///< by all assigned tasks
    Amount working = 0;   ///< by tasks that run
  };
  /// Resets the sums and starts measuring at `now`.
  void begin(Instant now);
  /// Returns the hours since the last call of `begin` or `elapse`.
  double elapse(Instant now);
  /// Adds the cost of one machine for `hours` hours.
  void add_cost(double hours, const MachineType& machine_type, bool spot, const Use& use);
  /// Logs the sums once per kLogInterval and resets them.
  void log_if_due(Instant now);

 private:
  struct CostByUse {
    double boot = 0;   ///< the machine is booting
    double idle = 0;   ///< up, with no task assigned
    double spare = 0;  ///< unreserved cores of a machine that also has reserved ones
    double wait = 0;   ///< cores reserved by tasks that do not run yet (command in flight, image fetch)
    double run = 0;    ///< cores of tasks that run
    double total() const { return boot + idle + spare + wait + run; }
  };
  std::map<std::pair<std::string, bool>, CostByUse> by_class_;
  Instant last_elapse_{};
  Instant next_log_{};
};

}  // namespace wrenusher::usage_metrics
