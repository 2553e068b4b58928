#pragma once
// The commands of wrenusher-testbed that measure at size: `scale` and `slopes`.

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

#include "wrenusher/testbed/slopes.hpp"

namespace wrenusher::testbed {

class ScaleCommands {
 public:
  /// Adds the commands; the controllers run `wrenusher` unless --wrenusher names another program.
  ScaleCommands(CLI::App& app, const std::string& wrenusher, int port);

  /// Runs the command that was asked for and gives its exit code; nothing where it was another one. Throws
  /// ScaleError for what cannot be taken.
  std::optional<int> run() const;

 private:
  int scale() const;
  int slopes() const;

  CLI::App* scale_command_;
  CLI::App* slopes_command_;
  ScaleOptions options_;
  SlopeOptions slope_options_;
  bool full_ = false;
  bool quiet_ = false;
  std::string slopes_file_ = "testbed/sites/slopes.json";
  std::string json_;
};

}  // namespace wrenusher::testbed
