#pragma once
// What a leader knows of machines, jobs and rentals that no record holds, as its successors receive it. Hints
// may order and estimate; they never prove anything.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"

namespace wrenusher::events {

/// What a leader knows of a machine that no record holds. A hint: it may order and estimate, never prove.
struct MachineHint {
  struct Image {
    std::string image;
    double gb = 0;
  };
  struct Fetch {
    std::string image;
    double size_gb = 0;
    double remaining_gb = 0;
  };
  struct Failure {
    std::string job_id;  ///< of the job whose task failed there
    time::Micros ago{};
  };
  std::string host;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  bool silent = false;
  bool has_room = false;  ///< something on it was free
  std::uint64_t incarnation = 0;
  int speed_samples = 0;      ///< tasks that `slowness` is the median of
  double slowness = 0;        ///< logarithm of (seen / expected) against other tasks of the same jobs
  time::Micros age{};         ///< at the receiver
  std::vector<Image> images;  ///< those used longest ago first
  std::vector<Fetch> fetches;
  std::vector<Failure> failures;
};

/// What the last jobs of a queue showed of its owners' estimates.
struct JobClassHint {
  struct JobSample {
    std::string job_id;
    double sum = 0;  ///< of logarithms of (seen / expected)
    int tasks = 0;
  };
  std::string job_class;
  std::vector<JobSample> jobs;
};

/// A job that failed on machines.
struct JobHint {
  std::string job_id;
  std::vector<std::string> hosts;
  time::Micros retry_pause{};  ///< until it is tried again
  int retry_count = 0;
};

/// A machine that was rented and is not up yet.
struct RentalHint {
  std::string host;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  time::Micros age{};
  time::Micros report_due{};  ///< to report within
};

/// A rental that was asked for and not answered yet.
struct RentalRequestHint {
  std::string name;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
};

/// Machines of which something changed since they were last told; the queues and jobs likewise.
struct LeaderHints {
  std::vector<MachineHint> machines;
  std::vector<JobClassHint> job_classes;
  std::vector<JobHint> jobs;
};

/// All rentals and bookings under way.
struct RentalHints {
  std::vector<RentalHint> rentals;
  std::vector<RentalRequestHint> requests;
};

/// What the last leader had told when this node's term began.
struct InheritedHints {
  std::uint64_t term = 0;  ///< the term that begins
  bool complete = false;   ///< all that it had, a heartbeat ago
  std::map<std::string, MachineHint> machines;
  std::vector<JobClassHint> job_classes;
  std::vector<JobHint> jobs;
  RentalHints rentals;
};

}  // namespace wrenusher::events
