#pragma once
// What a leader knows of machines, jobs and rentals that no record holds, as its successors receive it. Hints
// may change the order of work and improve estimates; they never prove anything.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"

namespace wrenusher::events {

/// What a leader knows of one machine.
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
  bool silent = false;    ///< it has not reported for long
  bool has_room = false;  ///< some of its resources were free
  std::uint64_t incarnation = 0;
  int speed_samples = 0;  ///< tasks that `slowness` is the median of
  /// Logarithm of (actual / expected run time), relative to other tasks of the same jobs.
  double slowness = 0;
  time::Micros age{};         ///< of this hint, at the receiver
  std::vector<Image> images;  ///< least recently used first
  std::vector<Fetch> fetches;
  std::vector<Failure> failures;
};

/// How far the latest jobs of a job class ran longer or shorter than their users estimated.
struct JobClassHint {
  /// One finished job.
  struct JobSample {
    std::string job_id;
    double log_ratio_sum = 0;  ///< over its tasks, of the logarithm of (actual / estimated run time)
    int tasks = 0;             ///< how many those were
  };
  std::string job_class;
  std::vector<JobSample> jobs;
};

/// A job whose tasks failed.
struct JobHint {
  std::string job_id;
  std::vector<std::string> hosts;  ///< machines on which they failed
  time::Micros retry_pause{};      ///< from now until the next retry
  int retry_count = 0;             ///< so far
};

/// A machine that was rented and is not up yet.
struct RentalHint {
  std::string host;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  time::Micros age{};         ///< since it was rented
  time::Micros report_due{};  ///< from now, the time within which it is to report first
};

/// A request to rent machines that the cloud has not answered yet.
struct RentalRequestHint {
  std::string name;  ///< by which the request is idempotent
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
};

/// What the leader publishes: machines, job classes and jobs of which something changed since it last did.
struct LeaderHints {
  std::vector<MachineHint> machines;
  std::vector<JobClassHint> job_classes;
  std::vector<JobHint> jobs;
};

/// All rentals and rental requests under way. Published by the provisioner.
struct RentalHints {
  std::vector<RentalHint> rentals;
  std::vector<RentalRequestHint> requests;
};

/// What this node had received from the previous leader when its own term began.
struct InheritedHints {
  std::uint64_t term = 0;                       ///< the fencing token of the term that begins
  bool complete = false;                        ///< all that the previous leader knew about one heartbeat ago
  std::map<std::string, MachineHint> machines;  ///< by host
  std::vector<JobClassHint> job_classes;
  std::vector<JobHint> jobs;
  RentalHints rentals;
};

}  // namespace wrenusher::events
