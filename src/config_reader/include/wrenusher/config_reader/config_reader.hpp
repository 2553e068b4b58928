#pragma once
// Package config_reader: reads the YAML files that people write, so that every complaint names file, line and
// field. It owns no state. It may depend on base alone.

#include <yaml-cpp/yaml.h>

#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"

namespace wrenusher::config_reader {

using namespace time;

/// A mistake in a file; what() is one line: file, line, field, what is wrong.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The whole file; nothing where it cannot be read.
std::optional<std::string> read_file(const std::string& path);
/// Likewise; throws ConfigError where it cannot be read.
std::string read_text(const std::string& path);
/// "10.1.0.7"; nothing when it is no IPv4 address.
std::optional<std::uint32_t> parse_ipv4(const std::string& text);

/// "1.5s", "200ms", "3m", "2h"; nothing when the unit is missing or wrong, or the number is.
std::optional<Micros> parse_duration(const std::string& text);

/// A place in a file that knows its own name and line.
class ConfigNode {
 public:
  ConfigNode(const YAML::Node& node, std::string name, std::string file)
      : node_(node), name_(std::move(name)), file_(std::move(file)) {}
  /// The root of a file; throws ConfigError where the text is no YAML.
  static ConfigNode root(const std::string& yaml, const std::string& file);

  [[noreturn]] void fail(const std::string& what) const;
  /// Counted from 1.
  int line() const { return node_.Mark().line + 1; }
  /// The field exists and is not null. Asked-for fields are known ones, see `no_more`.
  bool has(const std::string& key);
  ConfigNode operator[](const std::string& key);
  /// To be called once every field was asked for: what was not is unknown.
  void reject_unknown_fields() const;
  std::vector<ConfigNode> items() const;
  /// The entries of a map of names, in the order of the file; a name that is there twice is a mistake.
  std::vector<std::pair<std::string, ConfigNode>> entries() const;

  bool is_map() const { return node_.IsMap(); }
  std::string text() const;
  std::string one_of(const std::vector<std::string>& names) const;
  double number(double least, double most) const;
  int integer(int least, int most) const;
  bool boolean() const;
  Micros duration() const;

 private:
  YAML::Node node_;
  std::string name_;
  std::string file_;
  std::set<std::string> known_;
};

}  // namespace wrenusher::config_reader
