#pragma once
// Package estimates: what the owners' estimates are worth. It owns the run times seen by job and queue, and
// the speed seen by machine. It may depend on base and protocol.

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

class Estimator {
 public:
  /// A task of the job ran this long on this machine.
  void record_run(const JobSpec& spec, const std::string& host, Micros took);
  /// Run time to expect of a task of this job on a machine of ordinary speed.
  Micros estimate(const JobSpec& spec) const;
  double speed(const std::string& host) const;
  /// Rises with every change of what tasks of the queue are estimated to take.
  std::uint64_t version(const std::string& job_class) const;
  void remove_host(const std::string& host) { hosts_.erase(host); }

  /// What the tasks of one job showed, as logarithms of (seen / expected).
  struct JobSample {
    std::string job_id;
    double sum = 0;
    int tasks = 0;
    double mean() const { return sum / tasks; }
  };
  /// The queues of which something was seen.
  std::vector<std::string> job_classes() const;
  const std::deque<JobSample>& job_samples(const std::string& job_class) const {
    return job_classes_.at(job_class).jobs;
  }
  /// How many tasks told of the machine's speed, and the median of what they said as a logarithm.
  std::pair<int, double> slowness(const std::string& host) const;
  /// What another saw stands in place of what was seen here: of a queue, of a machine.
  void adopt_class(const std::string& job_class, std::deque<JobSample> jobs);
  void adopt_host(const std::string& host, int tasks, double slowness);

 private:
  const JobSample* find_sample(const JobSpec& spec) const;
  /// The usual logarithm of (seen / expected) in a queue.
  static double typical_ratio(const std::deque<JobSample>& jobs);

  /// The last jobs of each queue, one entry a job however many tasks it has: a job's tasks share the error of
  /// its estimate, so one large job must not pass for many.
  struct JobClass {
    std::deque<JobSample> jobs;
    double typical_ratio = 0;  ///< what they say together; asked for far more often than it changes
    std::uint64_t version = 0;
  };
  std::map<std::string, JobClass> job_classes_;
  struct Host {
    void update_speed();
    std::deque<double> ratios;
    double speed = 1.0;  ///< what they say; asked for far more often than they change
  };
  std::map<std::string, Host> hosts_;
};

}  // namespace wrenusher::estimates
