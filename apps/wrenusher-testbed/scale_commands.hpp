#pragma once
// The commands of wrenusher-testbed that measure large deployments: `scale` and `slopes`.

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

#include "wrenusher/testbed/slopes.hpp"

namespace wrenusher::testbed {

class ScaleCommands {
 public:
  /// Adds the commands to `app`. `wrenusher` is the default path of the controller's executable, `port` the
  /// default first port.
  ScaleCommands(CLI::App& app, const std::string& wrenusher, int port);

  /// Runs the command that was parsed and returns its exit code; nullopt if it is none of these. Throws
  /// ScaleError for invalid options and unreadable or unwritable files.
  std::optional<int> run() const;

 private:
  int scale() const;
  int slopes() const;

  CLI::App* scale_command_;
  CLI::App* slopes_command_;
  ScaleOptions options_;
  SlopeOptions slope_options_;
  bool full_ = false;
  bool no_failures_ = false;
  std::string slopes_file_ = "testbed/sites/slopes.json";
  std::string json_;
};

}  // namespace wrenusher::testbed
