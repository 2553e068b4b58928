#pragma once
// Package settings: reads and validates the settings file that the platform provides (JSON) and the tunables
// that operators write (YAML). Both are read once, at startup. It may depend on time, value,
// runtime and config_reader.

#include <stdexcept>
#include <string>
#include <vector>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::settings {

using namespace time;
using namespace runtime;

/// The quotas of a team.
struct Team {
  std::string name;
  double cores = 0;      ///< guaranteed cores; 0: none
  double cores_max = 0;  ///< upper limit; 0: none
  double gpus = 0;       ///< guaranteed GPUs; 0: none
  double gpus_max = 0;   ///< upper limit; 0: none
};

/// A service level objective for one class of jobs. The kind "deadline" requires that a job finishes within
/// `deadline_factor` times its deadline, "finished" that it finishes within the time `within`, and "wait"
/// that it starts within the time `within`.
struct Objective {
  std::string kind;
  std::string job_class;
  double deadline_factor = 1.0;
  Micros within{};
};

/// Another controller of the cluster.
struct PeerAddress {
  std::string name;
  std::string zone;
  Endpoint address;
};

/// Values that operators may change in the tunables file (YAML).
struct Tunables {
  Micros leader_lease = from_millis(4000);
  Micros scheduling_interval = from_millis(200);
  Micros idle_return = from_seconds(30);  ///< an idle spot machine is returned after this time
  double silent_reports = 2.5;            ///< a worker is silent after this many report intervals
  double slow_boot_factor = 2.5;          ///< boot timeout as a multiple of the machine type's boot time
  bool warm_standby = true;               ///< followers keep a replica of the leader's state
  std::string topology;                   ///< path of the topology file (failure domains); empty: none
};

/// The settings of one controller.
struct Settings {
  std::string node;
  std::string zone;
  Endpoint client_listen;
  Endpoint peer_listen;
  std::vector<PeerAddress> peers;
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  Micros report_interval{};  ///< between two reports of a worker
  Micros worker_lease{};
  Micros gang_start_timeout{};
  Micros gang_peer_timeout{};
  Micros cancel_deadline{};
  double state_rps = 0;        ///< limit of the state service, in requests per second
  double state_write_rps = 0;  ///< limit of the state service, in writes per second
  double value_kb = 0;
  std::size_t txn_ops = 0;
  double cloud_rps = 0;  ///< limit of the cloud, in requests per second
  Micros list_lag{};     ///< maximum delay until the cloud's list shows a change
  int max_sockets = 0;
  Tunables tunables;

  /// Returns the team of this name, or nullptr.
  const Team* team(const std::string& name) const;
  /// Returns whether there are followers that keep a replica of the leader's state for a failover.
  bool has_standby() const { return tunables.warm_standby && !peers.empty(); }
};

/// An error in a settings file; what() is one line that names the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Parses and validates the text of the settings file (JSON). Throws SettingsError, which names the
/// first invalid field.
Settings parse_settings(const std::string& text);
/// Reads, parses and validates the settings file at `path`. Throws SettingsError.
Settings load_settings(const std::string& path);
/// Parses and validates the text of the tunables file (YAML). Throws SettingsError.
Tunables parse_tunables(const std::string& text);
/// Reads, parses and validates the tunables file at `path`. A relative path of the topology file is resolved
/// against the directory of the tunables file. Throws SettingsError.
Tunables load_tunables(const std::string& path);

}  // namespace wrenusher::settings
