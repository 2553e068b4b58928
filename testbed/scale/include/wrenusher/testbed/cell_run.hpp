#pragma once
// One cell of a scale run: a live testbed under load. It is measured after a warm-up and before an optional
// failure phase.

#include <functional>
#include <memory>
#include <set>

#include "wrenusher/testbed/cell_result.hpp"
#include "wrenusher/testbed/live_testbed.hpp"
#include "wrenusher/testbed/process_usage.hpp"

namespace wrenusher::testbed {

/// Returns the site for a load: one zone, one machine type, and job classes for ordinary tasks, urgent tasks
/// and tasks that run longer than the scale run.
Site site_of(const CellLoad& load);

/// Runs one cell and measures it. A cell is an independent cluster: controllers, state service, cloud,
/// workers and users.
class CellRun {
 public:
  /// Creates the testbed of the cell. Throws TestbedError.
  CellRun(net::UvRuntime& runtime, CellLoad load);

  /// Starts the run; calls `done` when the measurement is complete and the child processes have exited.
  void start(std::function<void(const CellResult&)> done);

 private:
  /// Cumulative counters of a running cell. The difference of two readings gives the rates.
  struct Counters {
    Instant at{};
    MachineTime machine;
    double testbed_processor_s = 0;
    std::vector<double> processor_s;
    std::vector<std::uint64_t> state_requests;
    std::map<std::string, Traffic> traffic;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    std::uint64_t starts = 0;
    std::uint64_t accepted = 0;
    std::uint64_t questions = 0;
    std::uint64_t user_requests = 0;
    std::uint64_t failed_requests = 0;
    std::string leader;
    std::uint64_t terms = 0;
  };
  void wait_for_leader();
  void begin_load();
  void schedule_arrivals(const std::string& job_class, double jobs_per_second);
  void change_topology();
  void wait_for_topology(int version, Instant written);
  void sample_timer_lag();
  void count_user_request(const Request& request, const runtime::CallResult& outcome, Micros duration);
  void count_start(const std::string& job_id, std::uint32_t task);
  Counters read_counters();
  void begin_measurement();
  void end_measurement();
  void begin_failures();
  void inject_machine_faults(int rounds_left, int failure_count, int restart_count);
  void heal_partition();
  void finish();
  void log_progress(const std::string& message) const;
  std::string random_machine();

  net::UvRuntime& runtime_;
  CellLoad load_;
  LiveTestbed testbed_;
  std::function<void(const CellResult&)> done_;
  CellResult result_;
  Counters before_;
  bool measuring_ = false;
  bool loading_ = false;
  int topology_version_ = 1;
  std::uint64_t starts_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t questions_ = 0;
  std::uint64_t user_requests_ = 0;
  std::uint64_t failed_requests_ = 0;
  std::uint64_t starts_before_failures_ = 0;
  Instant failure_phase_start_{};
  Instant leader_deadline_{};
  std::set<std::pair<std::string, std::uint32_t>> started_;
  std::vector<double> start_waits_;
  std::vector<double> urgent_waits_;
  std::vector<double> submission_waits_;
  std::vector<double> change_waits_;
  std::vector<double> lags_;
};

}  // namespace wrenusher::testbed
