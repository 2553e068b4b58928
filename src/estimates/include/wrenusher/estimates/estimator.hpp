#pragma once
// Package estimates: corrects the run times that job owners expect, based on the run times of finished tasks.
// It keeps the observed run times by job and job class, and the observed speed by machine. It may depend on
// time, value, runtime and protocol.

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::estimates {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

/// Estimates run times of tasks and speeds of machines from finished tasks.
class Estimator {
 public:
  /// Records the run time of a finished task of the job on a machine.
  void record_run(const JobSpec& spec, const std::string& host, Micros run_time);
  /// Returns the expected run time of a task of this job on a machine of speed 1.0.
  Micros estimate(const JobSpec& spec) const;
  double speed(const std::string& host) const;
  /// Returns a number that increases whenever the estimates of the job class change.
  std::uint64_t version(const std::string& job_class) const;
  void remove_host(const std::string& host) { hosts_.erase(host); }

  /// Run times of one job's tasks, as logarithms of (observed / expected).
  struct JobSample {
    std::string job_id;
    double sum = 0;
    int tasks = 0;
    double mean() const { return sum / tasks; }
  };
  /// Returns the job classes that have samples.
  std::vector<std::string> job_classes() const;
  const std::deque<JobSample>& job_samples(const std::string& job_class) const {
    return job_classes_.at(job_class).jobs;
  }
  /// Returns the number of tasks that measured the machine's speed, and the median of their logarithms of
  /// (observed / typical) run time.
  std::pair<int, double> slowness(const std::string& host) const;
  // These replace the samples of a job class or a machine by those of the previous leader, from its hints.
  void adopt_class(const std::string& job_class, std::deque<JobSample> jobs);
  void adopt_host(const std::string& host, int tasks, double slowness);

 private:
  const JobSample* find_sample(const JobSpec& spec) const;
  /// Returns the typical logarithm of (observed / expected) of a job class.
  static double typical_log_ratio(const std::deque<JobSample>& jobs);

  /// The latest jobs of a class, one sample per job regardless of its number of tasks. A job's tasks share
  /// the error of its estimate, so a large job must not weigh more than a small one.
  struct JobClass {
    std::deque<JobSample> jobs;
    double typical_log_ratio = 0;  ///< of `jobs`; cached, since it is read far more often than it changes
    std::uint64_t version = 0;
  };
  std::map<std::string, JobClass> job_classes_;
  struct Host {
    void update_speed();
    std::deque<double> log_ratios;
    /// Derived from `log_ratios`; cached, since it is read far more often than it changes.
    double speed = 1.0;
  };
  std::map<std::string, Host> hosts_;
};

}  // namespace wrenusher::estimates
