#include "wrenusher/settings/settings.hpp"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "wrenusher/config_reader/config_reader.hpp"

namespace wrenusher::settings {

namespace {

using nlohmann::json;

std::string read_file(const std::string& path) {
  auto text = config_reader::read_file(path);
  if (!text) throw SettingsError(path + ": cannot be read");
  return *std::move(text);
}

/// A JSON value of the settings with the name of its field, for error messages.
class SettingsField {
 public:
  SettingsField(const json& node, std::string name) : node_(node), name_(std::move(name)) {}

  [[noreturn]] void fail(const std::string& what) const {
    throw SettingsError("settings: " + name_ + ": " + what);
  }

  SettingsField operator[](const std::string& key) const {
    const std::string name = name_.empty() ? key : name_ + "." + key;
    if (!node_.is_object()) fail("must be an object");
    const auto it = node_.find(key);
    if (it == node_.end() || it->is_null()) throw SettingsError("settings: " + name + ": is missing");
    return {*it, name};
  }
  bool has(const std::string& key) const {
    return node_.is_object() && node_.contains(key) && !node_.at(key).is_null();
  }

  std::string text() const {
    if (!node_.is_string() || node_.get_ref<const std::string&>().empty()) fail("must be a non-empty string");
    return node_.get<std::string>();
  }
  double number(double min, double max) const {
    if (!node_.is_number()) fail("must be a number");
    const double value = node_.get<double>();
    if (!std::isfinite(value) || value < min || value > max) {
      std::ostringstream range;
      range << "must be between " << min << " and " << max;
      fail(range.str());
    }
    return value;
  }
  Micros seconds(double min) const { return from_seconds(number(min, 1e6)); }
  std::size_t integer(std::size_t min, std::size_t max) const {
    const double value = number(static_cast<double>(min), static_cast<double>(max));
    if (value != std::floor(value)) fail("must be a whole number");
    return static_cast<std::size_t>(value);
  }
  Endpoint endpoint() const {
    std::string address = text();
    const auto colon = address.rfind(':');
    bool is_valid = colon != std::string::npos && config_reader::parse_ipv4(address.substr(0, colon));
    if (is_valid) {
      char* end = nullptr;
      const std::string port = address.substr(colon + 1);
      const long number = std::strtol(port.c_str(), &end, 10);
      is_valid = !port.empty() && *end == '\0' && number > 0 && number < 65536;
    }
    if (!is_valid) fail("must be an IPv4 address and a port, like 10.0.0.1:8080");
    return address;
  }
  std::vector<SettingsField> items() const {
    if (!node_.is_array()) fail("must be a list");
    std::vector<SettingsField> out;
    for (std::size_t i = 0; i < node_.size(); ++i)
      out.emplace_back(node_[i], name_ + "[" + std::to_string(i) + "]");
    return out;
  }

 private:
  const json& node_;
  std::string name_;
};

void read_teams(const SettingsField& cluster, Settings& settings) {
  std::set<std::string> names;
  for (const SettingsField& field : cluster["teams"].items()) {
    Team team;
    team.name = field["name"].text();
    if (!names.insert(team.name).second) field["name"].fail("occurs twice");
    team.cores = field["cpus"].number(0, 1e9);
    team.cores_max = field["cpus_max"].number(0, 1e9);
    team.gpus = field["gpus"].number(0, 1e9);
    team.gpus_max = field["gpus_max"].number(0, 1e9);
    settings.teams.push_back(team);
  }
}

void read_objectives(const SettingsField& objectives, Settings& settings) {
  for (const SettingsField& field : objectives.items()) {
    Objective objective;
    objective.kind = field["kind"].text();
    if (field.has("class")) objective.job_class = field["class"].text();
    if (field.has("times")) objective.deadline_factor = field["times"].number(0, 1e6);
    if (field.has("within_s")) objective.within = field["within_s"].seconds(0);
    settings.objectives.push_back(objective);
  }
}

void read_worker_times(const SettingsField& workers, Settings& settings) {
  settings.report_interval = workers["report_s"].seconds(0.01);
  settings.worker_lease = workers["lease_s"].seconds(0.1);
  settings.gang_start_timeout = workers["gang_wait_s"].seconds(0);
  settings.gang_peer_timeout = workers["gang_peer_s"].seconds(0);
  settings.cancel_deadline = workers["cancel_s"].seconds(0.1);
}

void read_state_limits(const SettingsField& state, Settings& settings) {
  settings.state_rps = state["rps"].number(1, 1e9);
  settings.state_write_rps = state["write_rps"].number(1, 1e9);
  settings.value_kb = state["value_kb"].number(1, 1e6);
  settings.txn_ops = state["txn_ops"].integer(4, 1000000);
}

}  // namespace

const Team* Settings::team(const std::string& name) const {
  for (const Team& team : teams) {
    if (team.name == name) return &team;
  }
  return nullptr;
}

Settings parse_settings(const std::string& text) {
  const json root = json::parse(text, nullptr, false);
  if (root.is_discarded()) throw SettingsError("settings: not valid JSON");
  const SettingsField top(root, "");
  Settings settings;
  settings.node = top["host_name"].text();
  settings.zone = top["zone"].text();
  settings.client_listen = top["client_listen"].endpoint();
  settings.peer_listen = top["peer_listen"].endpoint();
  for (const SettingsField& peer : top["peers"].items()) {
    settings.peers.push_back({peer["host_name"].text(), peer["zone"].text(), peer["peer_addr"].endpoint()});
    if (settings.peers.back().name == settings.node) peer["host_name"].fail("is the name of this node");
  }
  settings.cloud = top["services"]["cloud"].endpoint();
  settings.state = top["services"]["state"].endpoint();
  const SettingsField cluster = top["cluster"];
  for (const SettingsField& zone : cluster["zones"].items()) settings.zones.push_back(zone.text());
  read_teams(cluster, settings);
  if (cluster.has("objectives")) read_objectives(cluster["objectives"], settings);
  read_worker_times(cluster["workers"], settings);
  read_state_limits(cluster["state"], settings);
  const SettingsField cloud = cluster["cloud"];
  settings.cloud_rps = cloud["rps"].number(0.01, 1e9);
  settings.list_lag = cloud["list_lag_s"].seconds(0);
  settings.max_sockets = static_cast<int>(cluster["limits"]["max_sockets"].integer(32, 1000000));
  return settings;
}

Settings load_settings(const std::string& path) {
  return parse_settings(read_file(path));
}

Tunables parse_tunables(const std::string& text) {
  Tunables tunables;
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception&) {
    throw SettingsError("tunables: not valid YAML");
  }
  if (root.IsNull()) return tunables;
  if (!root.IsMap()) throw SettingsError("tunables: must be a map");
  const auto number = [&root](const char* name, double min, double max, double default_value) {
    const YAML::Node node = root[name];
    if (!node) return default_value;
    double value = 0;
    try {
      value = node.as<double>();
    } catch (const YAML::Exception&) {
      throw SettingsError(std::string("tunables: ") + name + ": must be a number");
    }
    if (!(value >= min && value <= max)) {
      std::ostringstream range;
      range << "tunables: " << name << ": must be between " << min << " and " << max;
      throw SettingsError(range.str());
    }
    return value;
  };
  static const std::set<std::string> known_names = {
      "hold_s", "round_s", "idle_return_s", "silent_reports", "slow_boot_factor", "topology", "standby"};
  for (const auto& entry : root) {
    const auto name = entry.first.as<std::string>("");
    if (!known_names.contains(name)) throw SettingsError("tunables: " + name + ": unknown tunable");
  }
  tunables.leader_lease = from_seconds(number("hold_s", 1, 60, to_seconds(tunables.leader_lease)));
  tunables.scheduling_interval =
      from_seconds(number("round_s", 0.05, 5, to_seconds(tunables.scheduling_interval)));
  tunables.idle_return = from_seconds(number("idle_return_s", 0, 3600, to_seconds(tunables.idle_return)));
  tunables.silent_reports = number("silent_reports", 2, 1000, tunables.silent_reports);
  tunables.slow_boot_factor = number("slow_boot_factor", 1, 100, tunables.slow_boot_factor);
  if (const YAML::Node node = root["standby"]; node && !node.IsNull()) {
    if (!YAML::convert<bool>::decode(node, tunables.warm_standby))
      throw SettingsError("tunables: standby: must be on or off");
  }
  if (const YAML::Node node = root["topology"]; node && !node.IsNull()) {
    if (!node.IsScalar() || node.Scalar().empty()) throw SettingsError("tunables: topology: must be a path");
    tunables.topology = node.Scalar();
  }
  return tunables;
}

Tunables load_tunables(const std::string& path) {
  Tunables tunables = parse_tunables(read_file(path));
  // Resolved against the tunables file, so that the daemon's working directory does not matter.
  if (!tunables.topology.empty())
    tunables.topology =
        (std::filesystem::path(path).parent_path() / tunables.topology).lexically_normal().string();
  return tunables;
}

}  // namespace wrenusher::settings
