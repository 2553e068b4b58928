#pragma once
// Hints: the state of machines, job classes, jobs and rentals that the leader sends to the standbys (the
// nodes that do not lead) because no record in the state service contains it. Hints may change the order of
// work and improve estimates; no decision may rely on them as proof.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"

namespace wrenusher::events {

/// The leader's unrecorded state of one machine.
struct MachineHint {
  /// An image in the machine's cache.
  struct Image {
    std::string image;
    double gb = 0;
  };
  /// An image that the machine is fetching.
  struct Fetch {
    std::string image;
    double size_gb = 0;
    double remaining_gb = 0;
  };
  /// A task that failed on the machine.
  struct Failure {
    std::string job_id;
    time::Micros ago{};
  };
  std::string host;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  bool silent = false;    ///< whether its worker has stopped reporting
  bool has_room = false;  ///< whether some of its resources were free
  std::uint64_t incarnation = 0;
  int speed_samples = 0;  ///< number of tasks over which `slowness` is the median
  /// Logarithm of (actual / expected run time), relative to other tasks of the same jobs.
  double slowness = 0;
  time::Micros age{};         ///< age of this hint at the receiver
  std::vector<Image> images;  ///< least recently used first
  std::vector<Fetch> fetches;
  std::vector<Failure> failures;
};

/// The run times of the latest jobs of a job class, compared with their users' estimates.
struct JobClassHint {
  /// One finished job.
  struct JobSample {
    std::string job_id;
    double log_ratio_sum = 0;  ///< sum over its tasks of log(actual / estimated run time)
    int tasks = 0;             ///< number of tasks in the sum
  };
  std::string job_class;
  std::vector<JobSample> jobs;
};

/// The failures and retries of a job whose tasks failed.
struct JobHint {
  std::string job_id;
  std::vector<std::string> hosts;  ///< machines on which its tasks failed
  time::Micros retry_pause{};      ///< time from now to the next retry
  int retry_count = 0;             ///< number of retries so far
};

/// A rented machine that is not up yet.
struct RentalHint {
  std::string host;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  time::Micros age{};         ///< time since it was rented
  time::Micros report_due{};  ///< time from now until its first report is due
};

/// A rental request that the cloud has not answered yet.
struct RentalRequestHint {
  std::string name;  ///< idempotency key of the request
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
};

/// The machines, job classes and jobs that changed since the leader last published hints.
struct LeaderHints {
  std::vector<MachineHint> machines;
  std::vector<JobClassHint> job_classes;
  std::vector<JobHint> jobs;
};

/// All unfinished rentals and rental requests. Published by the provisioner.
struct RentalHints {
  std::vector<RentalHint> rentals;
  std::vector<RentalRequestHint> requests;
};

/// The hints that this node had received from the previous leader when its own term began.
struct InheritedHints {
  std::uint64_t term = 0;  ///< the fencing token of this node's term
  /// Whether this node had all hints of the previous leader, as of about the last heartbeat before the term.
  bool complete = false;
  std::map<std::string, MachineHint> machines;  ///< by host
  std::vector<JobClassHint> job_classes;
  std::vector<JobHint> jobs;
  RentalHints rentals;
};

}  // namespace wrenusher::events
