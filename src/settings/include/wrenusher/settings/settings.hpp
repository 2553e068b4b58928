#pragma once
// Package settings: the settings file that the platform hands over (JSON) and the operators' own tunables
// (YAML), read once and checked whole. It may depend on base.

#include <stdexcept>
#include <string>
#include <vector>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::settings {

using namespace time;
using namespace runtime;

struct Team {
  std::string name;
  double cores = 0;      ///< guaranteed; 0: none
  double cores_max = 0;  ///< ceiling; 0: none
  double gpus = 0;
  double gpus_max = 0;
};

/// An aim for one class of jobs: done by `times` its due time (deadline) or within a fixed time (finished).
struct Objective {
  std::string kind;
  std::string job_class;
  double deadline_factor = 1.0;
  Micros within{};
};

struct PeerAddress {
  std::string name;
  std::string zone;
  Endpoint address;
};

/// Values that operators may change in their own YAML file.
struct Tunables {
  Micros leader_lease = from_millis(4000);
  Micros scheduling_interval = from_millis(200);
  Micros idle_return = from_seconds(30);
  double silent_reports = 2.5;
  double slow_boot_factor = 2.5;
  bool warm_standby = true;  ///< nodes that do not lead hold ready what the leader knows
  std::string topology;      ///< path of the operators' map of failure domains; empty: none
};

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
  Micros report_interval{};
  Micros worker_lease{};
  Micros gang_start_timeout{};
  Micros gang_peer_timeout{};
  Micros cancel_deadline{};
  double state_rps = 0;
  double state_write_rps = 0;
  double value_kb = 0;
  std::size_t txn_ops = 0;
  double cloud_rps = 0;
  Micros list_lag{};
  int max_sockets = 0;
  Tunables tunables;

  const Team* team(const std::string& name) const;
  /// Somebody follows who leads, and may take over with what the leader knows.
  bool has_standby() const { return tunables.warm_standby && !peers.empty(); }
};

/// A mistake in a settings file; what() is one line that names the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reads and checks the settings file's text (JSON). Throws SettingsError, which names the first wrong field.
Settings parse_settings(const std::string& text);
/// Likewise from a file.
Settings load_settings(const std::string& path);
/// Reads and checks the operators' own settings (YAML). Throws SettingsError.
Tunables parse_tunables(const std::string& text);
/// Likewise from a file; a relative path of the topology is taken from that file's folder.
Tunables load_tunables(const std::string& path);

}  // namespace wrenusher::settings
