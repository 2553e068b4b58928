#pragma once
// Package topology_loader: reads the operators' topology, at the start and whenever its file changes. It owns
// what was last read: a newer version is read, checked whole, and told; one that cannot be read or has a
// mistake is refused with its reason, and what was read before stands. It may depend on base, topology and
// mail.

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

/// The text of a file; nothing where it cannot be read.
using Reader = std::function<std::optional<std::string>(const std::string& path)>;

class TopologyLoader {
 public:
  /// An empty path: there is no topology.
  TopologyLoader(Runtime& runtime, std::string path, Reader reader)
      : runtime_(runtime), path_(std::move(path)), reader_(std::move(reader)) {}
  void start();

  EventSink<TopologyLoaded> topology_loaded;

 private:
  void check_file();
  void log_rejected(const std::string& why);

  Runtime& runtime_;
  std::string path_;
  Reader reader_;
  std::string text_;  ///< as it was last looked at, taken or not
  bool unreadable_ = false;
  topology::TopologyVersion loaded_version_;
};

}  // namespace wrenusher::topology_loader
