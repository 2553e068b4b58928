#pragma once
// Package topology_loader: loads the operators' topology file at startup and again whenever the file changes.
// A newer version is validated as a whole and then published as an event. A file that cannot be read or is
// invalid is rejected with a logged reason, and the version loaded before stays in use.
//
// It may depend on time, value, runtime, config_reader, topology, events and log.

#include <functional>
#include <optional>

#include "wrenusher/events/topology.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::topology_loader {

using namespace time;
using namespace value;
using namespace runtime;
using namespace events;

/// Returns the contents of a file, or nullopt if it cannot be read.
using Reader = std::function<std::optional<std::string>(const std::string& path)>;

/// Polls the topology file and publishes each newer valid version.
class TopologyLoader {
 public:
  /// An empty `path` means that there is no topology. `runtime` must outlive the loader.
  TopologyLoader(Runtime& runtime, std::string path, Reader reader)
      : runtime_(runtime), path_(std::move(path)), reader_(std::move(reader)) {}
  /// Loads the file and starts polling it. Does nothing if there is no topology.
  void start();

  /// Sent for each version that was loaded.
  EventSink<TopologyLoaded> topology_loaded;

 private:
  void check_file();
  void log_rejected(const std::string& reason);

  Runtime& runtime_;
  std::string path_;
  Reader reader_;
  std::string text_;  ///< contents at the last check, whether accepted or rejected
  bool unreadable_ = false;
  topology::TopologyVersion loaded_version_;
};

}  // namespace wrenusher::topology_loader
