#pragma once
// How long the parts of a takeover took, told in one line once nothing stands open of what the last term
// left.

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/failover.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/events/workers.hpp"

namespace wrenusher::leader {

using namespace time;
using namespace value;
using namespace runtime;
using namespace events;

class FailoverTimer {
 public:
  void begin(const TermChanged& term, Instant now);
  void stop() { running_ = false; }
  /// A machine that the last term had.
  void expect_machine(const std::string& host);
  void on_records_read(bool by_copy, Instant now);
  /// A worker that has taken the term's epoch was heard.
  void on_machine_reported(const std::string& host, Instant now);
  void on_machine_departed(const std::string& host) { expected_machines_.erase(host); }
  void on_first_start(Instant now);
  /// Whether it is over: nothing is left open, or it takes too long. Told once.
  std::optional<FailoverTimes> finish(std::size_t claims_unproven, Instant now);

 private:
  bool running_ = false;
  Instant began_{};
  FailoverTimes times_so_far_;
  std::set<std::string> expected_machines_;
  std::vector<Micros> report_times_;  ///< of the machines heard that were awaited
};

}  // namespace wrenusher::leader
