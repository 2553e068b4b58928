#pragma once
// A site: the machines that can be rented, the classes of jobs that arrive, and the faults. Read from a YAML
// file.

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "wrenusher/config_reader/config_reader.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::testbed {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;
using settings::Settings;

/// A lognormal distribution, given by its median and 95th percentile; a fixed value if both are equal.
struct Distribution {
  double median = 0;
  double p95 = 0;
  double draw(std::mt19937_64& random) const;
};

struct MachineSupply {
  MachineType type;
  int spot = 0;      ///< number available in each zone
  int ordinary = 0;  ///< number available in each zone
};

/// A class of jobs, named by `queue` in PROTOCOL.
struct JobClass {
  std::string name;
  std::string team;  ///< empty: drawn for each job
  JobType type = JobType::array;
  Priority priority = Priority::normal;
  double per_minute = 0;
  int at_start = 0;
  Distribution tasks{1, 1};
  Distribution run_s{30, 30};
  /// The owner's estimate as a multiple of the actual run time; drawn for each job.
  Distribution estimate{1, 1};
  Resources resources;
  Distribution image_gb{1, 1};
  int images = 1;  ///< number of different images of the class
  bool spot_allowed = false;
  bool single_zone = false;
  bool spread_zones = false;
  Micros checkpoint_interval{};
  Micros checkpoint_time{};
  double deadline_factor = 0;  ///< deadline = factor * estimate + `deadline_extra`; 0: no deadline
  Micros deadline_extra{};
  double cancelled_share = 0;  ///< share of the jobs that their users cancel
  std::optional<Layout> layout;
};

/// A fault that occurs once or periodically.
struct FaultSpec {
  std::string what;  ///< one of fault_names()
  Micros at{};
  Micros lasts{};
  Micros every{};    ///< 0: once
  std::string whom;  ///< controller, zone, domain, machine or key prefix; empty: drawn
  double share = 0;  ///< of the affected machines or messages, for faults that affect several
  int count = 0;     ///< of the affected jobs; 0: the default in its help text
};
/// Returns the faults that a site file may name, each with a help text.
const std::vector<std::pair<std::string, std::string>>& fault_names();

struct Site {
  std::string name;
  Settings settings;  ///< of the cluster; the driver sets addresses and names
  std::vector<MachineSupply> types;
  int controllers = 3;  ///< in simulated days
  int machines = 0;     ///< running at the start: on-demand machines of the first type, spread over its zones
  std::vector<JobClass> classes;
  std::vector<FaultSpec> faults;
  Micros length = from_seconds(600);
  std::string topology_text;  ///< in the form that the controllers read; empty: none
  std::shared_ptr<const topology::Topology> topology;

  const MachineSupply* type(const std::string& machine_type) const;
};

/// An error in a site file. what() is one line with the file, the line, the field and the reason.
using SiteError = config_reader::ConfigError;
using config_reader::parse_duration;
using config_reader::read_text;

Site parse_site(const std::string& yaml, const std::string& file);
Site load_site(const std::string& path);
/// Returns the default site, with two machine types, two zones, two teams and four classes of jobs.
const char* small_site_yaml();

}  // namespace wrenusher::testbed
