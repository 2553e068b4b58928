// The wrenusher daemon: reads its settings, listens, and runs until it is ended.

#include <CLI/CLI.hpp>
#include <iostream>
#include <sstream>

#include "wrenusher/controller/controller.hpp"
#include "wrenusher/log/log.hpp"
#include "wrenusher/net/net.hpp"
#include "wrenusher/net/open_files.hpp"

namespace {

constexpr int kBadSettings = 2;
constexpr int kCannotRun = 1;

/// For each line "host address type zone" which domain it belongs to, and what it carries.
std::string match(const wrenusher::topology::Topology& t, const std::string& file) {
  std::istringstream in(wrenusher::config_reader::read_text(file));
  std::string line;
  std::string out;
  for (int n = 1; std::getline(in, line); ++n) {
    std::istringstream words(line);
    std::string host, addr, type, zone;
    if (line.empty() || line[0] == '#') continue;
    if (!(words >> host >> addr >> type >> zone) || !wrenusher::topology::parse_ip(addr))
      throw wrenusher::config_reader::ConfigError(file + ":" + std::to_string(n) +
                                                  ": must be a line of host, address, type and zone");
    const auto place = t.find(host, addr, type, zone);
    out += host + ": " + t.path(place.leaf);
    for (const auto& [device, count] : place.devices) out += ", " + std::to_string(count) + " " + device;
    out += "\n";
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "wrenusher: a cluster scheduler. Takes jobs from users, rents machines and decides what runs where."};
  std::string config;
  std::string tunables;
  std::string log_format = "text";
  std::string hosts;
  bool check = false;
  app.add_option("--config", config, "settings file (JSON) of this controller")->required();
  app.add_option("--tunables", tunables, "operators' own settings (YAML), all optional");
  app.add_option("--log-format", log_format, "text, or json for one object a line")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_flag("--check", check, "read the settings, say whether they are valid, and exit");
  app.add_option("--hosts", hosts,
                 "with --check: machines to find in the topology, one 'host address type zone' a line");
  app.set_version_flag("--version", std::string("wrenusher ") + WRENUSHER_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadSettings;
  }
  wrenusher::settings::Settings settings;
  try {
    settings = wrenusher::settings::load_settings(config);
    if (!tunables.empty()) settings.tunables = wrenusher::settings::load_tunables(tunables);
    // Read whole before anything starts; later versions are taken or refused while it runs.
    const std::string& map = settings.tunables.topology;
    std::shared_ptr<const wrenusher::topology::Topology> topology;
    if (!map.empty())
      topology = wrenusher::topology::Topology::parse(wrenusher::config_reader::read_text(map), map);
    if (!hosts.empty() && (!check || !topology))
      throw wrenusher::config_reader::ConfigError("--hosts: needs --check and tunables that name a topology");
    if (check) {
      std::cout << "settings are valid\n";
      if (topology) std::cout << topology->describe();
      if (!hosts.empty()) std::cout << match(*topology, hosts);
      return 0;
    }
  } catch (const std::runtime_error& e) {
    std::cerr << "wrenusher: " << e.what() << '\n';
    return kBadSettings;
  }
  wrenusher::log::set_up("wrenusher",
                         log_format == "json" ? wrenusher::log::Format::json : wrenusher::log::Format::text);
  wrenusher::net::report_open_file_limit(wrenusher::net::raise_open_file_limit(settings.max_sockets));
  try {
    wrenusher::net::UvRuntime runtime(settings.max_sockets);
    wrenusher::controller::Controller controller(runtime, settings);
    runtime.listen(settings.client_listen, std::max(16, settings.max_sockets * 5 / 6),
                   [&](const wrenusher::runtime::Request& r, const wrenusher::runtime::Responder& a) {
                     controller.serve_client(r, a);
                   });
    runtime.listen(settings.peer_listen, 16,
                   [&](const wrenusher::runtime::Request& r, const wrenusher::runtime::Responder& a) {
                     controller.serve_peer(r, a);
                   });
    wrenusher::log::info("starts", "wrenusher {version} starts as {node} in zone {zone}",
                         wrenusher::log::with("version", WRENUSHER_VERSION),
                         wrenusher::log::with("node", settings.node),
                         wrenusher::log::with("zone", settings.zone));
    controller.start();
    runtime.run();
  } catch (const std::exception& e) {
    std::cerr << "wrenusher: " << e.what() << '\n';
    return kCannotRun;
  }
  return 0;
}
