#pragma once
// Package protocol: the typed messages of the protocol and their codecs, for users, workers and the cloud. It
// owns no state. It may depend on base and settings.

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
/// In falling order of importance.
enum class Priority { prod, high, normal, low };

/// Amounts are compared and summed exactly, in millionths.
using Amount = std::int64_t;
inline Amount to_amount(double number) {
  return static_cast<Amount>(std::llround(number * 1e6));
}
constexpr double from_amount(Amount a) {
  return static_cast<double>(a) / 1e6;
}

struct Resources {
  Amount cores = 0;
  Amount gpus = 0;
  Amount memory = 0;

  bool fits(const Resources& room) const {
    return cores <= room.cores && gpus <= room.gpus && memory <= room.memory;
  }
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  Resources operator*(std::int64_t n) const { return {cores * n, gpus * n, memory * n}; }
  bool operator==(const Resources&) const = default;
};

/// How many tasks of a need fit into a room.
std::uint32_t count_fitting(const Resources& need, const Resources& room, std::uint32_t most);

/// Where a job's tasks may be in the tree of failure domains, and the named devices each of them needs. An
/// extension of PROTOCOL that operators switch on with a topology.
struct Layout {
  /// At most so many of the tasks in any one domain of the level.
  struct Spread {
    std::string level;
    std::uint32_t max_tasks = 0;  ///< a count; 0: a share
    double share = 0;             ///< of all the job's tasks, rounded up
    bool required = true;         ///< or only where nothing else is lost by it
    bool operator==(const Spread&) const = default;
    /// How many of a job of so many tasks.
    std::uint32_t limit(std::uint32_t task_count) const;
  };
  /// All tasks in one domain of the level.
  struct Colocation {
    std::string level;
    bool required = true;
    bool operator==(const Colocation&) const = default;
  };
  std::optional<Spread> spread;
  std::optional<Colocation> colocation;
  std::map<std::string, std::uint32_t> devices;  ///< what each task needs
  bool operator==(const Layout&) const = default;
};

/// A job as its user described it.
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
  std::vector<std::string> machine_types;  ///< empty: any
  std::string zone;                        ///< empty: any
  bool single_zone = false;
  bool spread_zones = false;
  bool spot_allowed = false;
  Micros expected_runtime{};
  Micros checkpoint_interval{};
  Micros checkpoint_time{};
  std::optional<Micros> deadline;
  std::optional<Layout> layout;

  /// What each task needs of named devices; empty for most.
  const std::map<std::string, std::uint32_t>& devices() const;
  bool has_checkpoints() const { return checkpoint_interval.count() > 0; }
  bool allows(const std::string& machine_type, const std::string& wanted_zone, bool spot) const;
  bool operator==(const JobSpec&) const = default;
};

inline constexpr std::uint32_t kMaxTasksPerJob = 100000;

/// "req-" and digits, and short enough to be part of a key.
bool valid_job_id(std::string_view job_id);
/// What is wrong with a submission: which field, and what about it.
struct InvalidField {
  std::string field;
  std::string what;
};
/// Reads a submission; nothing when a field is missing or invalid, and the first such in `fault`.
std::optional<JobSpec> read_spec(const Value& value, InvalidField* fault = nullptr);
Value write_spec(const JobSpec& spec);

enum class TaskStatus { fetching_image, waiting_for_gang, running, checkpointing, exited };

struct TaskReport {
  std::string job_id;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskStatus status = TaskStatus::running;
  std::string exit_reason;
  bool progress_saved = false;
};

struct WorkerReport {
  std::string host;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t fencing_token = 0;
  std::optional<Micros> eviction_notice;
  std::vector<TaskReport> tasks;
};
std::optional<WorkerReport> read_report(const Value& value);

struct WorkerCommand {
  enum class Verb { start, stop, forget };
  Verb verb = Verb::start;
  std::string job_id;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  Micros grace_period{};
};
Value write_commands(const std::vector<WorkerCommand>& commands);
std::string task_name(const std::string& job_id, std::uint32_t task);

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
using Catalog = std::map<std::string, MachineType>;
std::optional<Catalog> read_catalog(const Value& value);

struct Rental {
  std::string host;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::string status;
  Micros age{};
};
std::optional<Rental> read_rental(const Value& value);

/// Why a job can never run with these machine types and teams; nothing when it can.
std::optional<InvalidField> never_runs(const JobSpec& spec, const Catalog& catalog, const Team* team);

}  // namespace wrenusher::protocol
