#pragma once
// A site: what machines there are to be had, whose jobs come, and which troubles. Read from a YAML file.

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

/// A lognormal distribution by its median and 95th percentile; a fixed value where both are equal.
struct Distribution {
  double median = 0;
  double p95 = 0;
  double draw(std::mt19937_64& random) const;
};

struct MachineSupply {
  MachineType type;
  int spot = 0;      ///< to be had in each zone
  int ordinary = 0;  ///< likewise
};

/// A class of jobs: `queue` of PROTOCOL.
struct JobClass {
  std::string name;
  std::string team;  ///< empty: drawn anew for each job
  JobType type = JobType::array;
  Priority priority = Priority::normal;
  double per_minute = 0;
  int at_start = 0;
  Distribution tasks{1, 1};
  Distribution run_s{30, 30};
  /// What owners say a task takes, as a multiple of what it does; drawn for each job.
  Distribution estimate{1, 1};
  Resources resources;
  Distribution image_gb{1, 1};
  int images = 1;  ///< how many different ones the class uses
  bool spot_allowed = false;
  bool single_zone = false;
  bool spread_zones = false;
  Micros checkpoint_interval{};
  Micros checkpoint_time{};
  double deadline_factor = 0;  ///< due after so many times the estimate and `due_plus`; 0: no deadline
  Micros deadline_extra{};
  double cancelled_share = 0;  ///< share of jobs that their users cancel
  std::optional<Layout> layout;
};

/// Something that goes wrong, once or again and again.
struct FaultSpec {
  std::string what;  ///< one of `trouble_names`
  Micros at{};
  Micros lasts{};
  Micros every{};    ///< 0: once
  std::string whom;  ///< controller, zone, domain, machine or beginning of keys; empty: drawn
  double share = 0;  ///< of the machines or messages, where it strikes several
  int count = 0;     ///< of the jobs, where it strikes some; 0: as its line of help says
};
/// The troubles that a site may name, each with a line of help.
const std::vector<std::pair<std::string, std::string>>& fault_names();

struct Site {
  std::string name;
  Settings settings;  ///< of the cluster; addresses and names are the driver's
  std::vector<MachineSupply> types;
  int controllers = 3;  ///< in simulated days
  int machines = 0;     ///< up at the start, ordinary ones of the first type, spread over its zones
  std::vector<JobClass> classes;
  std::vector<FaultSpec> faults;
  Micros length = from_seconds(600);
  std::string topology_text;  ///< as the controllers read it; empty: none
  std::shared_ptr<const topology::Topology> topology;

  const MachineSupply* type(const std::string& machine_type) const;
};

/// A mistake in a site file; what() is one line: file, line, field, what is wrong.
using SiteError = config_reader::ConfigError;
using config_reader::parse_duration;
using config_reader::read_text;

Site parse_site(const std::string& yaml, const std::string& file);
Site load_site(const std::string& path);
/// What is used where no file is named: two types of machine, two zones, two teams, four classes of jobs.
const char* small_site_yaml();

}  // namespace wrenusher::testbed
