#include "wrenusher/testbed/controller_settings.hpp"

#include <nlohmann/json.hpp>

namespace wrenusher::testbed {

namespace {

using nlohmann::json;

/// Returns the zone of a controller: the controllers are spread over the zones in turn.
const std::string& zone_of(const Settings& settings, int controller) {
  return settings.zones[static_cast<std::size_t>(controller) % settings.zones.size()];
}

/// Returns the other controllers, each with the relay that leads to it.
json peers_of(const TestbedOptions& options, int controller) {
  json peers = json::array();
  for (int peer = 0; peer < options.controllers; ++peer) {
    if (peer == controller) continue;
    peers.push_back({{"host_name", controller_name(peer)},
                     {"zone", zone_of(options.site.settings, peer)},
                     {"peer_addr", loopback(options.port + kRelayPort + 10 * controller + peer)}});
  }
  return peers;
}

json teams_of(const Settings& settings) {
  json teams = json::array();
  for (const auto& team : settings.teams)
    teams.push_back({{"name", team.name},
                     {"cpus", team.cores},
                     {"cpus_max", team.cores_max},
                     {"gpus", team.gpus},
                     {"gpus_max", team.gpus_max}});
  return teams;
}

json objectives_of(const Settings& settings) {
  json objectives = json::array();
  for (const auto& objective : settings.objectives) {
    json entry = {{"kind", objective.kind},
                  {"class", objective.job_class},
                  {"share", 0.9},
                  {"times", objective.deadline_factor}};
    if (objective.within.count() > 0) entry["within_s"] = to_seconds(objective.within);
    objectives.push_back(std::move(entry));
  }
  return objectives;
}

json workers_of(const Settings& settings) {
  return {{"report_s", to_seconds(settings.report_interval)},
          {"lease_s", to_seconds(settings.worker_lease)},
          {"gang_wait_s", to_seconds(settings.gang_start_timeout)},
          {"gang_peer_s", to_seconds(settings.gang_peer_timeout)},
          {"cancel_s", to_seconds(settings.cancel_deadline)}};
}

json cluster_of(const TestbedOptions& options) {
  const Settings& settings = options.site.settings;
  return {{"size", options.controllers},
          {"zones", settings.zones},
          {"teams", teams_of(settings)},
          {"objectives", objectives_of(settings)},
          {"workers", workers_of(settings)},
          {"state",
           {{"rps", settings.state_rps},
            {"write_rps", settings.state_write_rps},
            {"value_kb", settings.value_kb},
            {"txn_ops", settings.txn_ops}}},
          {"cloud", {{"rps", settings.cloud_rps}, {"list_lag_s", to_seconds(settings.list_lag)}}},
          {"limits", {{"max_sockets", settings.max_sockets}}}};
}

}  // namespace

std::string controller_name(int controller) {
  return "c" + std::to_string(controller);
}

std::string controller_settings(const TestbedOptions& options, int controller) {
  const json all = {{"host_name", controller_name(controller)},
                    {"zone", zone_of(options.site.settings, controller)},
                    {"client_listen", loopback(options.port + kClientPort + controller)},
                    {"peer_listen", loopback(options.port + kPeerPort + controller)},
                    {"peers", peers_of(options, controller)},
                    {"services",
                     {{"cloud", loopback(options.port + kCloudPort + controller)},
                      {"state", loopback(options.port + kKvPort + controller)}}},
                    {"cluster", cluster_of(options)}};
  return all.dump(2) + "\n";
}

}  // namespace wrenusher::testbed
