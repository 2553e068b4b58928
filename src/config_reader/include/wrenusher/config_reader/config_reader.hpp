#pragma once
// Package config_reader: reads YAML files that operators write. Every error message names the file, the line
// and the field. The package owns no state.
// It may depend on time, value and runtime.

#include <yaml-cpp/yaml.h>

#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"

namespace wrenusher::config_reader {

using namespace time;

/// An error in a configuration file; what() is one line with the file, the line, the field and the problem.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Returns the contents of a file, or nullopt if it cannot be read.
std::optional<std::string> read_file(const std::string& path);
/// Returns the contents of a file. Throws ConfigError if it cannot be read.
std::string read_text(const std::string& path);
/// Parses a dotted IPv4 address such as "10.1.0.7"; returns nullopt if `text` is not one.
std::optional<std::uint32_t> parse_ipv4(const std::string& text);

/// Parses a duration such as "1.5s", "200ms", "3m" or "2h"; returns nullopt if the number or the unit is
/// missing or invalid.
std::optional<Micros> parse_duration(const std::string& text);

/// A YAML node together with its field name, its line and its file, for error messages.
class ConfigNode {
 public:
  ConfigNode(const YAML::Node& node, std::string name, std::string file)
      : node_(node), name_(std::move(name)), file_(std::move(file)) {}
  /// Parses the text of a file and returns its root node. Throws ConfigError if the text is not valid YAML.
  static ConfigNode root(const std::string& yaml, const std::string& file);

  /// Throws a ConfigError that names the file, the line and this field.
  [[noreturn]] void fail(const std::string& what) const;
  /// Returns the line of the node in its file, counted from 1.
  int line() const { return node_.Mark().line + 1; }
  /// Returns whether the field exists and is not null. Marks the field as known, see `reject_unknown_fields`.
  bool has(const std::string& key);
  /// Returns a field of this map and marks it as known. Throws ConfigError if it is missing or null.
  ConfigNode operator[](const std::string& key);
  /// Throws ConfigError if this map has a field that no call of `has` or `operator[]` has named. Must be
  /// called after all fields have been read.
  void reject_unknown_fields() const;
  /// Returns the items of a list. Throws ConfigError if the node is not a list.
  std::vector<ConfigNode> items() const;
  /// Returns the entries of a map in the order of the file. Throws ConfigError if a name occurs twice.
  std::vector<std::pair<std::string, ConfigNode>> entries() const;

  bool is_map() const { return node_.IsMap(); }
  // Each of the following throws ConfigError if the value has another type or is out of range.

  /// Returns a non-empty scalar as text.
  std::string text() const;
  /// Returns the text, which must be one of `names`.
  std::string one_of(const std::vector<std::string>& names) const;
  /// Returns a finite number from `min` to `max`, both inclusive.
  double number(double min, double max) const;
  int integer(int min, int max) const;
  bool boolean() const;
  /// Returns a duration with its unit, see `parse_duration`.
  Micros duration() const;

 private:
  YAML::Node node_;
  std::string name_;
  std::string file_;
  std::set<std::string> known_fields_;  ///< fields named by `has` or `operator[]`
};

}  // namespace wrenusher::config_reader
