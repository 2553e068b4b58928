#pragma once
// Package protocol: the typed messages of the protocol and their codecs, for users, workers and the cloud. It
// owns no state. It may depend on base and settings.

#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/base/time.hpp"
#include "wrenusher/base/value.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::protocol {

using namespace base;
using namespace settings;

enum class Shape { sweep, gang, daemon };
/// In falling order of importance.
enum class Urgency { prod, high, normal, low };

/// Amounts are compared and summed exactly, in millionths.
using Amount = std::int64_t;
inline Amount to_amount(double x) {
  return static_cast<Amount>(std::llround(x * 1e6));
}
constexpr double from_amount(Amount a) {
  return static_cast<double>(a) / 1e6;
}

struct Needs {
  Amount cores = 0;
  Amount cards = 0;
  Amount memory = 0;

  bool fits(const Needs& room) const {
    return cores <= room.cores && cards <= room.cards && memory <= room.memory;
  }
  Needs& operator+=(const Needs& o);
  Needs& operator-=(const Needs& o);
  Needs operator*(std::int64_t n) const { return {cores * n, cards * n, memory * n}; }
  bool operator==(const Needs&) const = default;
};

/// How many tasks of a need fit into a room.
std::uint32_t count_fitting(const Needs& need, const Needs& room, std::uint32_t most);

/// Where a job's tasks may be in the tree of failure domains, and the named devices each of them needs. An
/// extension of PROTOCOL that operators switch on with a topology.
struct Layout {
  /// At most so many of the tasks in any one domain of the level.
  struct Spread {
    std::string level;
    std::uint32_t most = 0;  ///< a count; 0: a share
    double share = 0;        ///< of all the job's tasks, rounded up
    bool must = true;        ///< or only where nothing else is lost by it
    bool operator==(const Spread&) const = default;
    /// How many of a job of so many tasks.
    std::uint32_t limit(std::uint32_t units) const;
  };
  /// All tasks in one domain of the level.
  struct Together {
    std::string level;
    bool must = true;
    bool operator==(const Together&) const = default;
  };
  std::optional<Spread> spread;
  std::optional<Together> together;
  std::map<std::string, std::uint32_t> devices;  ///< what each task needs
  bool operator==(const Layout&) const = default;
};

/// A job as its user described it.
struct JobSpec {
  std::string ref;
  std::string queue;
  std::string owner;
  Shape shape = Shape::sweep;
  Urgency urgency = Urgency::normal;
  std::uint32_t units = 0;
  Needs needs;
  std::string bundle;
  double image_gb = 0;
  std::vector<std::string> flavors;  ///< empty: any
  std::string site;                  ///< empty: any
  bool same_place = false;
  bool scatter = false;
  bool standby = false;
  Micros expected{};
  Micros snapshot_every{};
  Micros snapshot{};
  std::optional<Micros> due;
  std::optional<Layout> layout;

  /// What each task needs of named devices; empty for most.
  const std::map<std::string, std::uint32_t>& devices() const;
  bool saves() const { return snapshot_every.count() > 0; }
  bool allows(const std::string& flavor, const std::string& zone, bool spot) const;
  bool operator==(const JobSpec&) const = default;
};

inline constexpr std::uint32_t kMaxUnits = 100000;

/// "req-" and digits, and short enough to be part of a key.
bool valid_ref(std::string_view ref);
/// What is wrong with a submission: which field, and what about it.
struct Fault {
  std::string field;
  std::string what;
};
/// Reads a submission; nothing when a field is missing or invalid, and the first such in `fault`.
std::optional<JobSpec> read_spec(const Value& v, Fault* fault = nullptr);
Value write_spec(const JobSpec& spec);

enum class UnitStatus { pulling, gathering, running, saving, ended };

struct UnitReport {
  std::string ref;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  UnitStatus status = UnitStatus::running;
  std::string cause;
  bool kept = false;
};

struct WorkerReport {
  std::string host;
  std::string addr;
  std::string flavor;
  std::string site;
  bool standby = false;
  std::uint64_t tenure = 0;
  std::uint64_t serial = 0;
  std::uint64_t epoch = 0;
  std::optional<Micros> warning;
  std::vector<UnitReport> units;
};
std::optional<WorkerReport> read_report(const Value& v);

struct Order {
  enum class Verb { run, halt, reap };
  Verb verb = Verb::run;
  std::string ref;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  Micros leeway{};
};
Value write_orders(const std::vector<Order>& orders);
std::string unit_name(const std::string& ref, std::uint32_t task);

struct Flavor {
  std::string name;
  Needs room;
  double cache_gb = 0;
  double pull_gb_per_s = 0;
  double rate = 0;
  double low_price = 0;
  Micros boot{};
  std::vector<std::string> sites;
  bool operator==(const Flavor&) const = default;
};
using Catalog = std::map<std::string, Flavor>;
std::optional<Catalog> read_catalog(const Value& v);

struct Rental {
  std::string ref;
  std::string addr;
  std::string flavor;
  std::string site;
  bool standby = false;
  std::string status;
  Micros held{};
};
std::optional<Rental> read_rental(const Value& v);

/// Why a job can never run with these machine types and teams; nothing when it can.
std::optional<Fault> never_runs(const JobSpec& spec, const Catalog& catalog, const Team* team);

}  // namespace wrenusher::protocol
