#pragma once
// Package protocol: the typed messages that are exchanged with users, workers and the cloud provider, and
// their codecs. It owns no state. It may depend on base and settings.

#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/settings/settings.hpp"
#include "wrenusher/time/time.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::protocol {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;

enum class JobType { array, gang, service };
/// Priorities, the highest first.
enum class Priority { prod, high, normal, low };

/// An amount of a resource in millionths, an integer so that sums and comparisons are exact.
using Amount = std::int64_t;
inline Amount to_amount(double number) {
  return static_cast<Amount>(std::llround(number * 1e6));
}
constexpr double from_amount(Amount amount) {
  return static_cast<double>(amount) / 1e6;
}

/// What a task needs, or what a machine has. Memory is in GB.
struct Resources {
  Amount cores = 0;
  Amount gpus = 0;
  Amount memory = 0;

  /// Returns whether `available` covers all three amounts.
  bool fits(const Resources& available) const {
    return cores <= available.cores && gpus <= available.gpus && memory <= available.memory;
  }
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  Resources operator*(std::int64_t count) const { return {cores * count, gpus * count, memory * count}; }
  bool operator==(const Resources&) const = default;
};

/// Returns how many tasks that need `per_task` each fit into `available`, at most `limit`.
std::uint32_t count_fitting(const Resources& per_task, const Resources& available, std::uint32_t limit);

/// Constraints on the placement of a job's tasks in the tree of failure domains, and the named devices that
/// each task needs. This is an extension of PROTOCOL, which operators enable by configuring a topology.
struct Layout {
  /// Limits how many of the job's tasks run in any one failure domain of the level.
  struct Spread {
    std::string level;
    std::uint32_t max_tasks = 0;  ///< maximum per domain; 0: `share` applies
    double share = 0;             ///< maximum per domain as a share of the job's tasks, rounded up
    bool required = true;         ///< false: a preference, applied where it costs nothing else
    bool operator==(const Spread&) const = default;
    /// Returns the maximum per domain for a job of `task_count` tasks.
    std::uint32_t limit(std::uint32_t task_count) const;
  };
  /// Places all tasks in the same failure domain of the level.
  struct Colocation {
    std::string level;
    bool required = true;
    bool operator==(const Colocation&) const = default;
  };
  std::optional<Spread> spread;
  std::optional<Colocation> colocation;
  std::map<std::string, std::uint32_t> devices;  ///< device name to the number that each task needs
  bool operator==(const Layout&) const = default;
};

/// The description of a job in a submission.
struct JobSpec {
  std::string job_id;
  std::string job_class;
  std::string team;
  JobType type = JobType::array;
  Priority priority = Priority::normal;
  std::uint32_t task_count = 0;
  Resources resources;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> machine_types;  ///< empty: any type
  std::string zone;                        ///< empty: any zone
  bool single_zone = false;
  bool spread_zones = false;
  bool spot_allowed = false;
  Micros expected_runtime{};
  Micros checkpoint_interval{};
  Micros checkpoint_time{};
  std::optional<Micros> deadline;
  std::optional<Layout> layout;

  /// Returns the named devices that each task needs, with their numbers; empty when the job has no layout.
  const std::map<std::string, std::uint32_t>& devices() const;
  bool has_checkpoints() const { return checkpoint_interval.count() > 0; }
  /// Returns whether tasks may run on a machine of this type, in this zone, and on a spot machine if `spot`.
  bool allows(const std::string& machine_type, const std::string& machine_zone, bool spot) const;
  bool operator==(const JobSpec&) const = default;
};

inline constexpr std::uint32_t kMaxTasksPerJob = 100000;

/// Returns whether the id is "req-" followed by digits, 64 bytes at most, so that it can be part of a key in
/// the state service.
bool valid_job_id(std::string_view job_id);
/// A field of a submission that makes it invalid, or that keeps its job from ever running.
struct InvalidField {
  std::string field;
  std::string what;  ///< what is wrong with the field, in words for the user
};
/// Reads a submission. Returns nullopt when a field is missing or invalid and describes the first such field
/// in `fault`.
std::optional<JobSpec> read_spec(const Value& value, InvalidField* fault = nullptr);
Value write_spec(const JobSpec& spec);

enum class TaskStatus { fetching_image, waiting_for_gang, running, checkpointing, exited };

/// The state of one task attempt in a worker's report.
struct TaskReport {
  std::string job_id;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskStatus status = TaskStatus::running;
  std::string exit_reason;
  bool progress_saved = false;
};

/// A worker's heartbeat, with the state of all its task attempts.
struct WorkerReport {
  std::string host;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t fencing_token = 0;
  std::optional<Micros> eviction_notice;  ///< time left until the machine is taken away, if announced
  std::vector<TaskReport> tasks;
};
/// Reads a worker's report. Returns nullopt when a required field is missing or invalid.
std::optional<WorkerReport> read_report(const Value& value);

/// A command to a worker in the response to its report.
struct WorkerCommand {
  enum class Verb { start, stop, forget };
  Verb verb = Verb::start;
  std::string job_id;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  Micros grace_period{};  ///< for `stop` only
};
Value write_commands(const std::vector<WorkerCommand>& commands);
/// Returns the name of a task in messages to and from workers: "<job id>/<task number>".
std::string task_name(const std::string& job_id, std::uint32_t task);

/// A machine type that the cloud provider rents out.
struct MachineType {
  std::string name;
  Resources capacity;
  double image_cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  Micros boot_time{};
  std::vector<std::string> zones;
  bool operator==(const MachineType&) const = default;
};
/// Returns how many tasks with this need an empty machine of the type holds, at most `limit`.
std::uint32_t max_tasks_on(const Resources& per_task, const MachineType& machine_type, std::uint32_t limit);
/// Machine types by name.
using Catalog = std::map<std::string, MachineType>;
/// Reads the provider's machine types. Returns nullopt when a required field of any type is missing or
/// invalid.
std::optional<Catalog> read_catalog(const Value& value);

/// A machine that is rented from the cloud provider.
struct Rental {
  std::string host;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::string status;
  Micros age{};
};
/// Reads one rental. Returns nullopt when a required field is missing or invalid.
std::optional<Rental> read_rental(const Value& value);

/// Returns why the job can never run with these machine types and its team's quota (null: the team is not
/// configured), or nullopt when it can.
std::optional<InvalidField> never_runs(const JobSpec& spec, const Catalog& catalog, const Team* team);

}  // namespace wrenusher::protocol
