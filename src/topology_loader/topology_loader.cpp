#include "wrenusher/topology_loader/topology_loader.hpp"

#include "wrenusher/log/log.hpp"

namespace wrenusher::topology_loader {

namespace {

constexpr Micros kReloadInterval = from_seconds(2);

}  // namespace

void TopologyLoader::start() {
  if (!path_.empty()) check_file();
}

void TopologyLoader::log_rejected(const std::string& reason) {
  log::error("topology_refused", "the topology file is rejected, topology {edition} stays in use: {reason}",
             log::with("edition", topology::to_text(loaded_version_)), log::with("reason", reason));
}

void TopologyLoader::check_file() {
  runtime_.after(kReloadInterval, [this] { check_file(); });
  const auto text = reader_(path_);
  if (!text) {
    if (!unreadable_) log_rejected(path_ + " cannot be read");
    unreadable_ = true;
    return;
  }
  unreadable_ = false;
  if (*text == text_) return;
  text_ = *text;
  std::shared_ptr<const topology::Topology> topology;
  try {
    topology = topology::Topology::parse(text_, path_);
  } catch (const config_reader::ConfigError& exception) {
    log_rejected(exception.what());
    return;
  }
  const topology::TopologyVersion& version = topology->version();
  if (version == loaded_version_) return;
  // Controllers compare versions to find the newer topology, so a changed file needs a higher version.
  if (version.version <= loaded_version_.version) {
    log_rejected(path_ + ": version " + std::to_string(version.version) + " is not newer than " +
                 std::to_string(loaded_version_.version) + "; a changed file needs a higher version");
    return;
  }
  loaded_version_ = version;
  log::info("topology_read", "loaded topology {edition} with {domains} domains",
            log::with("edition", topology::to_text(version)),
            log::with("domains", topology->domains().size() - 1));
  topology_loaded(TopologyLoaded{std::move(topology)});
}

}  // namespace wrenusher::topology_loader
