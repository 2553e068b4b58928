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

/// A place in the settings that knows its own name, so that every complaint names the field.
class Field {
 public:
  Field(const json& at, std::string name) : at_(at), name_(std::move(name)) {}

  [[noreturn]] void fail(const std::string& what) const {
    throw SettingsError("settings: " + name_ + ": " + what);
  }

  Field operator[](const std::string& key) const {
    const std::string name = name_.empty() ? key : name_ + "." + key;
    if (!at_.is_object()) fail("must be an object");
    const auto it = at_.find(key);
    if (it == at_.end() || it->is_null()) throw SettingsError("settings: " + name + ": is missing");
    return {*it, name};
  }
  bool has(const std::string& key) const {
    return at_.is_object() && at_.contains(key) && !at_.at(key).is_null();
  }

  std::string text() const {
    if (!at_.is_string() || at_.get_ref<const std::string&>().empty()) fail("must be a non-empty text");
    return at_.get<std::string>();
  }
  double number(double least, double most) const {
    if (!at_.is_number()) fail("must be a number");
    const double n = at_.get<double>();
    if (!std::isfinite(n) || n < least || n > most) {
      std::ostringstream range;
      range << "must be between " << least << " and " << most;
      fail(range.str());
    }
    return n;
  }
  Micros seconds(double least) const { return from_seconds(number(least, 1e6)); }
  std::size_t whole(std::size_t least, std::size_t most) const {
    const double n = number(static_cast<double>(least), static_cast<double>(most));
    if (n != std::floor(n)) fail("must be a whole number");
    return static_cast<std::size_t>(n);
  }
  Endpoint endpoint() const {
    std::string address = text();
    const auto colon = address.rfind(':');
    bool good = colon != std::string::npos && config_reader::parse_ipv4(address.substr(0, colon));
    if (good) {
      char* end = nullptr;
      const std::string port = address.substr(colon + 1);
      const long number = std::strtol(port.c_str(), &end, 10);
      good = !port.empty() && *end == '\0' && number > 0 && number < 65536;
    }
    if (!good) fail("must be an IPv4 address and a port, like 10.0.0.1:8080");
    return address;
  }
  std::vector<Field> items() const {
    if (!at_.is_array()) fail("must be a list");
    std::vector<Field> out;
    for (std::size_t i = 0; i < at_.size(); ++i)
      out.emplace_back(at_[i], name_ + "[" + std::to_string(i) + "]");
    return out;
  }

 private:
  const json& at_;
  std::string name_;
};

void read_teams(const Field& cluster, Settings& settings) {
  std::set<std::string> names;
  for (const Field& field : cluster["teams"].items()) {
    Team team;
    team.name = field["name"].text();
    if (!names.insert(team.name).second) field["name"].fail("is there twice");
    team.cores = field["cpus"].number(0, 1e9);
    team.cores_max = field["cpus_max"].number(0, 1e9);
    team.gpus = field["gpus"].number(0, 1e9);
    team.gpus_max = field["gpus_max"].number(0, 1e9);
    settings.teams.push_back(team);
  }
}

void read_objectives(const Field& objectives, Settings& settings) {
  for (const Field& field : objectives.items()) {
    Objective objective;
    objective.kind = field["kind"].text();
    if (field.has("class")) objective.job_class = field["class"].text();
    if (field.has("times")) objective.deadline_factor = field["times"].number(0, 1e6);
    if (field.has("within_s")) objective.within = field["within_s"].seconds(0);
    settings.objectives.push_back(objective);
  }
}

void read_worker_times(const Field& workers, Settings& settings) {
  settings.report_interval = workers["report_s"].seconds(0.01);
  settings.worker_lease = workers["lease_s"].seconds(0.1);
  settings.gang_start_timeout = workers["gang_wait_s"].seconds(0);
  settings.gang_peer_timeout = workers["gang_peer_s"].seconds(0);
  settings.cancel_deadline = workers["cancel_s"].seconds(0.1);
}

void read_state_limits(const Field& state, Settings& settings) {
  settings.state_rps = state["rps"].number(1, 1e9);
  settings.state_write_rps = state["write_rps"].number(1, 1e9);
  settings.value_kb = state["value_kb"].number(1, 1e6);
  settings.txn_ops = state["txn_ops"].whole(4, 1000000);
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
  const Field top(root, "");
  Settings settings;
  settings.node = top["host_name"].text();
  settings.zone = top["zone"].text();
  settings.client_listen = top["client_listen"].endpoint();
  settings.peer_listen = top["peer_listen"].endpoint();
  for (const Field& peer : top["peers"].items()) {
    settings.peers.push_back({peer["host_name"].text(), peer["zone"].text(), peer["peer_addr"].endpoint()});
    if (settings.peers.back().name == settings.node) peer["host_name"].fail("names this node itself");
  }
  settings.cloud = top["services"]["cloud"].endpoint();
  settings.state = top["services"]["state"].endpoint();
  const Field cluster = top["cluster"];
  for (const Field& zone : cluster["zones"].items()) settings.zones.push_back(zone.text());
  read_teams(cluster, settings);
  if (cluster.has("objectives")) read_objectives(cluster["objectives"], settings);
  read_worker_times(cluster["workers"], settings);
  read_state_limits(cluster["state"], settings);
  const Field cloud = cluster["cloud"];
  settings.cloud_rps = cloud["rps"].number(0.01, 1e9);
  settings.list_lag = cloud["list_lag_s"].seconds(0);
  settings.max_sockets = static_cast<int>(cluster["limits"]["max_sockets"].whole(32, 1000000));
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
  const auto number = [&root](const char* name, double least, double most, double preset) {
    const YAML::Node node = root[name];
    if (!node) return preset;
    double value = 0;
    try {
      value = node.as<double>();
    } catch (const YAML::Exception&) {
      throw SettingsError(std::string("tunables: ") + name + ": must be a number");
    }
    if (!(value >= least && value <= most)) {
      std::ostringstream range;
      range << "tunables: " << name << ": must be between " << least << " and " << most;
      throw SettingsError(range.str());
    }
    return value;
  };
  static const std::set<std::string> known = {
      "hold_s", "round_s", "idle_return_s", "silent_reports", "slow_boot_factor", "topology", "standby"};
  for (const auto& entry : root) {
    const auto name = entry.first.as<std::string>("");
    if (!known.contains(name)) throw SettingsError("tunables: " + name + ": is not known");
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
  // Beside the tunables, wherever the daemon is started from.
  if (!tunables.topology.empty())
    tunables.topology =
        (std::filesystem::path(path).parent_path() / tunables.topology).lexically_normal().string();
  return tunables;
}

}  // namespace wrenusher::settings
