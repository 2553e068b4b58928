#pragma once
// What the model of the machines keeps of each task, machine and gang; for machines.cpp alone.

#include "wrenusher/testbed/machines.hpp"

namespace wrenusher::testbed {

struct Machines::Task {
  std::string job_id;
  const SimulatedJob* job = nullptr;  ///< null for a start that was refused since no such job is known
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string status;  // pulling, gathering, running, saving, ended
  std::string exit_reason;
  bool progress_saved = false;
  Instant since{};          ///< of the present status
  Micros progress{};        ///< of an array's task, saved work included
  Micros begun_at{};        ///< progress with which this start began
  Instant saved_by{};       ///< while saving
  double error_factor = 1;  ///< its run time, as a multiple of the job's
  bool reported = false;    ///< to stop, in time to save
  bool on() const { return status == "running" || status == "gathering" || status == "saving"; }
  bool ended() const { return status == "ended"; }
  void become(const char* to, Instant now) {
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
  std::optional<Instant> token_reported;  ///< when a higher token last was a reason to report
  std::optional<Instant> reclaimed_at;
  std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
  int life = 0;  ///< what was sent in an earlier one gets no answer
  std::size_t node = 0;
  bool reporting = false;
  double speed = 1;
  double fetch_gb_per_s = 1;  ///< of the type's rate
  std::vector<Task> tasks;
  std::map<std::string, double> fetches;               ///< bundle -> GB left
  std::vector<std::pair<std::string, double>> images;  ///< bundle, GB; the most recently used last
  bool has(const std::string& image) const {
    return std::any_of(images.begin(), images.end(), [&](const auto& i) { return i.first == image; });
  }
};

/// The tasks of a gang under one attempt, from their start to their end.
struct Machines::Gang {
  bool running = false;
  Micros progress{};
  std::optional<Instant> broken;      ///< since when one of them is missing
  std::optional<Instant> first_stop;  ///< with time to save
  bool failed = false;                ///< the save
};

}  // namespace wrenusher::testbed
