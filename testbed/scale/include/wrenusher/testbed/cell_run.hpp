#pragma once
// One cell of a scale run: a live lab under a load, measured between a warm-up and an optional phase of
// failures.

#include <functional>
#include <memory>
#include <set>

#include "wrenusher/testbed/cell_result.hpp"
#include "wrenusher/testbed/live_testbed.hpp"
#include "wrenusher/testbed/process_usage.hpp"

namespace wrenusher::testbed {

/// The site that a load is played on: one zone, one machine type, classes for the ordinary and the urgent
/// work and for the tasks that outlast the run.
Site site_of(const CellLoad& load);

class CellRun {
 public:
  /// Throws TestbedError.
  CellRun(net::UvRuntime& runtime, CellLoad load);

  /// `done` once everything is measured and the children have ended.
  void start(std::function<void(const CellResult&)> done);

 private:
  /// What is counted up while a cell runs, to be taken apart into rates.
  struct Counts {
    Instant at{};
    MachineTime machine;
    double lab_processor_s = 0;
    std::vector<double> processor_s;
    std::vector<std::uint64_t> state_requests;
    std::map<std::string, Traffic> traffic;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    std::uint64_t starts = 0;
    std::uint64_t accepted = 0;
    std::uint64_t questions = 0;
    std::uint64_t asked = 0;
    std::uint64_t in_vain = 0;
    std::string leader;
    std::uint64_t terms = 0;
  };
  void wait_for_leader();
  void begin_load();
  void arrive(const std::string& queue, double jobs_per_second);
  void change_topology();
  void wait_for_topology(int version, Instant written);
  void watch_lag();
  void count_user(const Request& r, const runtime::CallResult& o, Micros took);
  void count_start(const std::string& job_id, std::uint32_t task);
  Counts counts();
  void begin_measurement();
  void end_measurement();
  void begin_failures();
  void inject_machine_faults(int left, int dying, int restarting);
  void heal();
  void finish();
  void say(const std::string& what) const;
  std::string any_machine();

  net::UvRuntime& runtime_;
  CellLoad load_;
  LiveTestbed testbed_;
  std::function<void(const CellResult&)> done_;
  CellResult result_;
  Counts before_;
  bool measuring_ = false;
  bool loading_ = false;
  int topology_version_ = 1;
  std::uint64_t starts_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t questions_ = 0;
  std::uint64_t asked_ = 0;
  std::uint64_t in_vain_ = 0;
  std::uint64_t failure_starts_from_ = 0;
  Instant failures_began_{};
  Instant leader_by_{};
  std::set<std::pair<std::string, std::uint32_t>> started_;
  std::vector<double> start_waits_;
  std::vector<double> urgent_waits_;
  std::vector<double> submission_waits_;
  std::vector<double> change_waits_;
  std::vector<double> lags_;
};

}  // namespace wrenusher::testbed
