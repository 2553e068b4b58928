#include "wrenusher/settings/settings.hpp"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "wrenusher/fields/fields.hpp"

namespace wrenusher::settings {

namespace {

using nlohmann::json;

std::string read_file(const std::string& path) {
  auto text = fields::read_file(path);
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
      std::ostringstream s;
      s << "must be between " << least << " and " << most;
      fail(s.str());
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
    const std::string s = text();
    const auto colon = s.rfind(':');
    bool good = colon != std::string::npos && fields::parse_ipv4(s.substr(0, colon));
    if (good) {
      char* end = nullptr;
      const std::string port = s.substr(colon + 1);
      const long p = std::strtol(port.c_str(), &end, 10);
      good = !port.empty() && *end == '\0' && p > 0 && p < 65536;
    }
    if (!good) fail("must be an IPv4 address and a port, like 10.0.0.1:8080");
    return s;
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

}  // namespace

const Team* Settings::team(const std::string& name) const {
  for (const Team& t : teams) {
    if (t.name == name) return &t;
  }
  return nullptr;
}

Settings parse_settings(const std::string& text) {
  const json root = json::parse(text, nullptr, false);
  if (root.is_discarded()) throw SettingsError("settings: not valid JSON");
  const Field top(root, "");
  Settings s;
  s.node = top["host_name"].text();
  s.zone = top["zone"].text();
  s.client_listen = top["client_listen"].endpoint();
  s.peer_listen = top["peer_listen"].endpoint();
  for (const Field& p : top["peers"].items()) {
    s.peers.push_back({p["host_name"].text(), p["zone"].text(), p["peer_addr"].endpoint()});
    if (s.peers.back().name == s.node) p["host_name"].fail("names this node itself");
  }
  s.cloud = top["services"]["cloud"].endpoint();
  s.state = top["services"]["state"].endpoint();
  const Field cluster = top["cluster"];
  for (const Field& z : cluster["zones"].items()) s.zones.push_back(z.text());
  std::set<std::string> names;
  for (const Field& t : cluster["teams"].items()) {
    Team team;
    team.name = t["name"].text();
    if (!names.insert(team.name).second) t["name"].fail("is there twice");
    team.cores = t["cpus"].number(0, 1e9);
    team.cores_max = t["cpus_max"].number(0, 1e9);
    team.cards = t["gpus"].number(0, 1e9);
    team.cards_max = t["gpus_max"].number(0, 1e9);
    s.teams.push_back(team);
  }
  if (cluster.has("objectives")) {
    for (const Field& o : cluster["objectives"].items()) {
      Objective aim;
      aim.kind = o["kind"].text();
      if (o.has("class")) aim.queue = o["class"].text();
      if (o.has("times")) aim.times = o["times"].number(0, 1e6);
      if (o.has("within_s")) aim.within = o["within_s"].seconds(0);
      s.objectives.push_back(aim);
    }
  }
  const Field workers = cluster["workers"];
  s.report = workers["report_s"].seconds(0.01);
  s.lease = workers["lease_s"].seconds(0.1);
  s.gang_wait = workers["gang_wait_s"].seconds(0);
  s.gang_peer = workers["gang_peer_s"].seconds(0);
  s.cancel = workers["cancel_s"].seconds(0.1);
  const Field state = cluster["state"];
  s.state_rps = state["rps"].number(1, 1e9);
  s.state_write_rps = state["write_rps"].number(1, 1e9);
  s.value_kb = state["value_kb"].number(1, 1e6);
  s.txn_ops = state["txn_ops"].whole(4, 1000000);
  const Field cloud = cluster["cloud"];
  s.cloud_rps = cloud["rps"].number(0.01, 1e9);
  s.list_lag = cloud["list_lag_s"].seconds(0);
  s.max_sockets = static_cast<int>(cluster["limits"]["max_sockets"].whole(32, 1000000));
  return s;
}

Settings load_settings(const std::string& path) {
  return parse_settings(read_file(path));
}

Tunables parse_tunables(const std::string& text) {
  Tunables t;
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception&) {
    throw SettingsError("tunables: not valid YAML");
  }
  if (root.IsNull()) return t;
  if (!root.IsMap()) throw SettingsError("tunables: must be a map");
  const auto number = [&root](const char* name, double least, double most, double preset) {
    const YAML::Node n = root[name];
    if (!n) return preset;
    double x = 0;
    try {
      x = n.as<double>();
    } catch (const YAML::Exception&) {
      throw SettingsError(std::string("tunables: ") + name + ": must be a number");
    }
    if (!(x >= least && x <= most)) {
      std::ostringstream s;
      s << "tunables: " << name << ": must be between " << least << " and " << most;
      throw SettingsError(s.str());
    }
    return x;
  };
  static const std::set<std::string> known = {
      "hold_s", "round_s", "idle_return_s", "silent_reports", "slow_boot_factor", "topology", "standby"};
  for (const auto& entry : root) {
    const auto name = entry.first.as<std::string>("");
    if (!known.contains(name)) throw SettingsError("tunables: " + name + ": is not known");
  }
  t.hold_life = from_seconds(number("hold_s", 1, 60, to_seconds(t.hold_life)));
  t.round = from_seconds(number("round_s", 0.05, 5, to_seconds(t.round)));
  t.idle_return = from_seconds(number("idle_return_s", 0, 3600, to_seconds(t.idle_return)));
  t.silent_reports = number("silent_reports", 2, 1000, t.silent_reports);
  t.slow_boot_factor = number("slow_boot_factor", 1, 100, t.slow_boot_factor);
  if (const YAML::Node n = root["standby"]; n && !n.IsNull()) {
    if (!YAML::convert<bool>::decode(n, t.standby))
      throw SettingsError("tunables: standby: must be on or off");
  }
  if (const YAML::Node n = root["topology"]; n && !n.IsNull()) {
    if (!n.IsScalar() || n.Scalar().empty()) throw SettingsError("tunables: topology: must be a path");
    t.topology = n.Scalar();
  }
  return t;
}

Tunables load_tunables(const std::string& path) {
  Tunables t = parse_tunables(read_file(path));
  // Beside the tunables, wherever the daemon is started from.
  if (!t.topology.empty())
    t.topology = (std::filesystem::path(path).parent_path() / t.topology).lexically_normal().string();
  return t;
}

}  // namespace wrenusher::settings
