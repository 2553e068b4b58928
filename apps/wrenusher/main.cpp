// The wrenusher daemon: reads its settings, listens for requests and runs until the process is terminated.

#include <CLI/CLI.hpp>
#include <iostream>
#include <sstream>

#include "wrenusher/controller/controller.hpp"
#include "wrenusher/log/log.hpp"
#include "wrenusher/net/net.hpp"
#include "wrenusher/net/open_files.hpp"
#include "wrenusher/net/signals.hpp"

namespace {

// Exit codes.
constexpr int kInvalidSettings = 2;
constexpr int kStartFailed = 1;

/// Reads machines from `file`, one "host address type zone" per line, and returns one line per machine with
/// its domain and its devices. Throws ConfigError for an invalid line.
std::string locate_machines(const wrenusher::topology::Topology& topology, const std::string& file) {
  std::istringstream in(wrenusher::config_reader::read_text(file));
  std::string line;
  std::string out;
  for (int line_number = 1; std::getline(in, line); ++line_number) {
    std::istringstream words(line);
    std::string host, addr, type, zone;
    if (line.empty() || line[0] == '#') continue;
    if (!(words >> host >> addr >> type >> zone) || !wrenusher::topology::parse_ip(addr))
      throw wrenusher::config_reader::ConfigError(file + ":" + std::to_string(line_number) +
                                                  ": must have host, address, type and zone");
    const auto location = topology.find(host, addr, type, zone);
    out += host + ": " + topology.path(location.leaf);
    for (const auto& [device, count] : location.devices) out += ", " + std::to_string(count) + " " + device;
    out += "\n";
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  wrenusher::net::ignore_broken_pipes();
  CLI::App app{
      "wrenusher: a cluster scheduler. Takes jobs from users, rents machines and decides what runs where."};
  std::string config;
  std::string tunables;
  std::string log_format = "text";
  std::string hosts;
  bool check = false;
  app.add_option("--config", config, "settings file (JSON) of this controller")->required();
  app.add_option("--tunables", tunables, "tunables file (YAML) of the operators; every value is optional");
  app.add_option("--log-format", log_format, "text, or json for one object per line")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_flag("--check", check, "validate the settings, print the result and exit");
  app.add_option(
      "--hosts", hosts,
      "with --check: file with machines to find in the topology, one 'host address type zone' per line");
  app.set_version_flag("--version", std::string("wrenusher ") + WRENUSHER_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& exception) {
    return app.exit(exception) == 0 ? 0 : kInvalidSettings;
  }
  wrenusher::settings::Settings settings;
  try {
    settings = wrenusher::settings::load_settings(config);
    if (!tunables.empty()) settings.tunables = wrenusher::settings::load_tunables(tunables);
    // Validated before the daemon starts, so that a mistake ends it with an error. While it runs, the
    // topology loader accepts or rejects newer versions of the file.
    const std::string& topology_path = settings.tunables.topology;
    std::shared_ptr<const wrenusher::topology::Topology> topology;
    if (!topology_path.empty())
      topology = wrenusher::topology::Topology::parse(wrenusher::config_reader::read_text(topology_path),
                                                      topology_path);
    if (!hosts.empty() && (!check || !topology))
      throw wrenusher::config_reader::ConfigError(
          "--hosts: requires --check and tunables that name a topology");
    if (check) {
      std::cout << "settings are valid\n";
      if (topology) std::cout << topology->describe();
      if (!hosts.empty()) std::cout << locate_machines(*topology, hosts);
      return 0;
    }
  } catch (const std::runtime_error& exception) {
    std::cerr << "wrenusher: " << exception.what() << '\n';
    return kInvalidSettings;
  }
  wrenusher::log::set_up("wrenusher",
                         log_format == "json" ? wrenusher::log::Format::json : wrenusher::log::Format::text);
  wrenusher::net::report_open_file_limit(wrenusher::net::raise_open_file_limit(settings.max_sockets));
  try {
    wrenusher::net::UvRuntime runtime(settings.max_sockets);
    wrenusher::controller::Controller controller(runtime, settings);
    runtime.listen(
        settings.client_listen, std::max(16, settings.max_sockets * 5 / 6),
        [&](const wrenusher::runtime::Request& request, const wrenusher::runtime::Responder& responder) {
          controller.serve_client(request, responder);
        });
    runtime.listen(
        settings.peer_listen, 16,
        [&](const wrenusher::runtime::Request& request, const wrenusher::runtime::Responder& responder) {
          controller.serve_peer(request, responder);
        });
    wrenusher::log::info("starts", "wrenusher {version} starts as {node} in zone {zone}",
                         wrenusher::log::with("version", WRENUSHER_VERSION),
                         wrenusher::log::with("node", settings.node),
                         wrenusher::log::with("zone", settings.zone));
    controller.start();
    runtime.run();
  } catch (const std::exception& exception) {
    std::cerr << "wrenusher: " << exception.what() << '\n';
    return kStartFailed;
  }
  return 0;
}
