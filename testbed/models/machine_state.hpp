#pragma once
// The state that the machine model keeps for each task, machine and gang. Private to machines.cpp and
// worker_messages.cpp.

#include "wrenusher/testbed/machines.hpp"

namespace wrenusher::testbed {

/// Returns a multiple of a duration.
inline Micros scaled(Micros duration, double factor) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
}

struct Machines::Task {
  std::string job_id;
  const SimulatedJob* job = nullptr;  ///< null if the start was refused because the job is not defined
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string status;  // pulling, gathering, running, saving, ended
  std::string exit_reason;
  bool progress_saved = false;
  Instant since{};               ///< when the current status began
  Micros progress{};             ///< of an array task, saved progress included
  Micros begun_at{};             ///< progress at the start of this attempt
  Instant save_ends_at{};        ///< when the save completes; set while saving
  double error_factor = 1;       ///< run time of this task as a multiple of the job's run time
  bool stopped_in_time = false;  ///< whether the stop command arrived early enough to save progress
  bool occupies_machine() const { return status == "running" || status == "gathering" || status == "saving"; }
  bool ended() const { return status == "ended"; }
  void set_status(const char* to, Instant now) {
    status = to;
    since = now;
  }
};

struct Machines::Machine {
  std::string name, address, machine_type, zone;
  const MachineSupply* type = nullptr;
  bool spot = false;
  bool up = false;
  bool dead = false;
  Instant rented{}, up_at{}, died{}, hung_until{}, lease_from{}, next_report{}, last_sent{};
  std::optional<Instant> token_reported;  ///< when a higher fencing token last triggered a report
  std::optional<Instant> reclaimed_at;
  std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
  int restarts = 0;  ///< incremented at each worker restart; requests sent before the restart get no answer
  std::size_t node = 0;
  bool reporting = false;
  double speed = 1;
  double fetch_gb_per_s = 1;  ///< fetch rate of the machine type
  std::vector<Task> tasks;
  std::map<std::string, double> fetches;               ///< bundle -> GB still to fetch
  std::vector<std::pair<std::string, double>> images;  ///< bundle and size in GB, least recently used first
  bool has_image(const std::string& image) const {
    return std::any_of(images.begin(), images.end(), [&](const auto& i) { return i.first == image; });
  }
};

/// One attempt of a gang, from the start of its tasks to their end.
struct Machines::Gang {
  bool running = false;
  Micros progress{};
  std::optional<Instant> broken;      ///< when a task of the gang first went missing
  std::optional<Instant> first_stop;  ///< first stop command that left time to save
  bool failed = false;                ///< whether the save failed
};

}  // namespace wrenusher::testbed
