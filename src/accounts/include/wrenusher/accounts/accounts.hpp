#pragma once
// Package accounts: what operators are told every minute of where the time and the money went. It owns the
// sums since the last account, decides nothing, and forgets them once told. It may depend on base and
// protocol.

#include <map>
#include <string>
#include <utility>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::accounts {

using namespace base;
using namespace protocol;

inline constexpr Micros kEvery = from_seconds(60);

/// What starts waited for once they had a place, by queue.
class Waits {
 public:
  struct Start {
    Micros ordered{};  ///< from the claim until the worker had its order
    Micros fetched{};
    Micros gathered{};  ///< a gang's task, for the others
    bool fetches = false;
  };
  void started(const std::string& queue, const Start& s);
  /// Logs them if it is time.
  void tell(Instant now);

 private:
  struct Sum {
    std::uint32_t starts = 0;
    std::uint32_t fetches = 0;  ///< starts that had to wait for their image
    Start sum;
  };
  std::map<std::string, Sum> queues_;
  Instant next_{};
};

/// What was spent on each kind of machine (type; spot or not), by what it was spent on.
class Money {
 public:
  /// A machine in the time since the last reckoning; amounts as cores, see planner::in_cores.
  struct Use {
    bool up = false;
    Amount booked = 0;
    Amount working = 0;
  };
  void begin(Instant now);
  /// Hours since the last call.
  double elapse(Instant now);
  void spend(double hours, const Flavor& f, bool standby, const Use& use);
  /// Logs the sums if it is time.
  void tell(Instant now);

 private:
  struct Spent {
    double boot = 0;
    double idle = 0;   ///< up, with nothing to do
    double spare = 0;  ///< cores that no task has booked beside some that are
    double wait = 0;   ///< cores booked by tasks that do not run yet: orders on their way, images
    double run = 0;
    double total() const { return boot + idle + spare + wait + run; }
  };
  std::map<std::pair<std::string, bool>, Spent> kinds_;
  Instant at_{};
  Instant next_{};
};

}  // namespace wrenusher::accounts
