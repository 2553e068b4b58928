#pragma once
// A site: what machines there are to be had, whose jobs come, and which troubles. Read from a YAML file.

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "wrenusher/fields/fields.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::lab {

using namespace base;
using namespace protocol;
using settings::Settings;

/// A lognormal distribution by its median and 95th percentile; a fixed value where both are equal.
struct Spread {
  double median = 0;
  double p95 = 0;
  double draw(std::mt19937_64& random) const;
};

struct MachineType {
  Flavor flavor;
  int spot = 0;      ///< to be had in each zone
  int ordinary = 0;  ///< likewise
};

/// A class of jobs: `queue` of PROTOCOL.
struct JobClass {
  std::string name;
  std::string team;  ///< empty: drawn anew for each job
  Shape shape = Shape::sweep;
  Urgency urgency = Urgency::normal;
  double per_minute = 0;
  int at_start = 0;
  Spread tasks{1, 1};
  Spread run_s{30, 30};
  /// What owners say a task takes, as a multiple of what it does; drawn for each job.
  Spread estimate{1, 1};
  Needs needs;
  Spread image_gb{1, 1};
  int images = 1;  ///< how many different ones the class uses
  bool standby = false;
  bool same_place = false;
  bool scatter = false;
  Micros snapshot_every{};
  Micros snapshot{};
  double due_times = 0;  ///< due after so many times the estimate and `due_plus`; 0: no deadline
  Micros due_plus{};
  double withdrawn = 0;  ///< share of jobs that their users cancel
  std::optional<Layout> layout;
};

/// Something that goes wrong, once or again and again.
struct TroubleSpec {
  std::string what;  ///< one of `trouble_names`
  Micros at{};
  Micros lasts{};
  Micros every{};    ///< 0: once
  std::string whom;  ///< controller, zone, domain, machine or beginning of keys; empty: drawn
  double share = 0;  ///< of the machines or messages, where it strikes several
  int count = 0;     ///< of the jobs, where it strikes some; 0: as its line of help says
};
/// The troubles that a site may name, each with a line of help.
const std::vector<std::pair<std::string, std::string>>& trouble_names();

struct Site {
  std::string name;
  Settings settings;  ///< of the cluster; addresses and names are the driver's
  std::vector<MachineType> types;
  int controllers = 3;  ///< in simulated days
  int machines = 0;     ///< up at the start, ordinary ones of the first type, spread over its zones
  std::vector<JobClass> classes;
  std::vector<TroubleSpec> troubles;
  Micros length = from_seconds(600);
  std::string topology_text;  ///< as the controllers read it; empty: none
  std::shared_ptr<const topology::Topology> topology;

  const MachineType* type(const std::string& flavor) const;
};

/// A mistake in a site file; what() is one line: file, line, field, what is wrong.
using SiteError = fields::FieldError;
using fields::parse_duration;
using fields::read_text;

Site parse_site(const std::string& yaml, const std::string& file);
Site load_site(const std::string& path);
/// What is used where no file is named: two types of machine, two zones, two teams, four classes of jobs.
const char* small_site_yaml();

}  // namespace wrenusher::lab
