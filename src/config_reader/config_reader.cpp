#include "wrenusher/config_reader/config_reader.hpp"

#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace wrenusher::config_reader {

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream text;
  if (in) text << in.rdbuf();
  if (!in || text.bad()) return std::nullopt;
  return text.str();
}

std::string read_text(const std::string& path) {
  auto text = read_file(path);
  if (!text) throw ConfigError(path + ": cannot be read");
  return *std::move(text);
}

std::optional<std::uint32_t> parse_ipv4(const std::string& text) {
  std::array<unsigned, 4> octets{};
  char rest = 0;
  if (std::sscanf(text.c_str(), "%3u.%3u.%3u.%3u%c", octets.data(), &octets[1], &octets[2], &octets[3],
                  &rest) != 4)
    return std::nullopt;
  std::uint32_t address = 0;
  for (const unsigned octet : octets) {
    if (octet > 255) return std::nullopt;
    address = (address << 8U) | octet;
  }
  return address;
}

std::optional<Micros> parse_duration(const std::string& text) {
  char* end = nullptr;
  const double amount = std::strtod(text.c_str(), &end);
  const std::string unit = end;
  if (end == text.c_str() || !std::isfinite(amount) || amount < 0 || amount > 1e9) return std::nullopt;
  if (unit == "ms") return from_seconds(amount / 1000);
  if (unit == "s") return from_seconds(amount);
  if (unit == "m") return from_seconds(amount * 60);
  if (unit == "h") return from_seconds(amount * 3600);
  return std::nullopt;
}

namespace {

std::string location_prefix(const std::string& file, int line) {
  return file + ":" + std::to_string(line) + ": ";
}

}  // namespace

ConfigNode ConfigNode::root(const std::string& yaml, const std::string& file) {
  try {
    return {YAML::Load(yaml), "", file};
  } catch (const YAML::Exception& exception) {
    throw ConfigError(location_prefix(file, exception.mark.line + 1) + "not valid YAML: " + exception.msg);
  }
}

void ConfigNode::fail(const std::string& what) const {
  throw ConfigError(location_prefix(file_, line()) + (name_.empty() ? what : name_ + ": " + what));
}

bool ConfigNode::has(const std::string& key) {
  known_fields_.insert(key);
  return node_.IsMap() && node_[key].IsDefined() && !node_[key].IsNull();
}

ConfigNode ConfigNode::operator[](const std::string& key) {
  if (!node_.IsMap()) fail("must be a map of fields");
  if (!has(key)) fail("has no field '" + key + "'");
  return {node_[key], name_.empty() ? key : name_ + "." + key, file_};
}

void ConfigNode::reject_unknown_fields() const {
  if (!node_.IsMap()) fail("must be a map of fields");
  for (const auto& field : node_) {
    const auto key = field.first.as<std::string>();
    if (known_fields_.contains(key)) continue;
    std::string names;
    for (const std::string& known_field : known_fields_) {
      if (!names.empty()) names += ", ";
      names += known_field;
    }
    std::string message = location_prefix(file_, field.first.Mark().line + 1);
    if (!name_.empty()) message += name_ + ": ";
    message += "unknown field '";
    message += key;
    message += "' (known: ";
    message += names;
    message += ")";
    throw ConfigError(message);
  }
}

std::vector<ConfigNode> ConfigNode::items() const {
  if (!node_.IsSequence()) fail("must be a list");
  std::vector<ConfigNode> out;
  for (std::size_t i = 0; i < node_.size(); ++i)
    out.emplace_back(node_[i], name_ + '[' + std::to_string(i) + ']', file_);
  return out;
}

std::vector<std::pair<std::string, ConfigNode>> ConfigNode::entries() const {
  if (!node_.IsMap()) fail("must be a map of names");
  std::vector<std::pair<std::string, ConfigNode>> out;
  std::set<std::string> names;
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>();
    ConfigNode node(entry.second, name_ + "." + key, file_);
    // The YAML library accepts a duplicate name and would silently use only one of the entries.
    if (!names.insert(key).second) node.fail("is there twice");
    out.emplace_back(key, std::move(node));
  }
  return out;
}

std::string ConfigNode::text() const {
  if (!node_.IsScalar() || node_.Scalar().empty()) fail("must be a text");
  return node_.Scalar();
}

std::string ConfigNode::one_of(const std::vector<std::string>& names) const {
  std::string chosen = text();
  std::string allowed;
  for (const std::string& name : names) {
    if (name == chosen) return chosen;
    allowed += (allowed.empty() ? "" : ", ") + name;
  }
  fail("'" + chosen + "' is none of " + allowed);
}

double ConfigNode::number(double min, double max) const {
  double value = 0;
  try {
    value = node_.as<double>();
  } catch (const YAML::Exception&) {
    fail("must be a number without a unit");
  }
  if (!std::isfinite(value) || value < min || value > max) {
    std::ostringstream range;
    range << "must be between " << min << " and " << max;
    fail(range.str());
  }
  return value;
}

int ConfigNode::integer(int min, int max) const {
  const double value = number(min, max);
  if (value != std::floor(value)) fail("must be a whole number");
  return static_cast<int>(value);
}

bool ConfigNode::boolean() const {
  try {
    return node_.as<bool>();
  } catch (const YAML::Exception&) {
    fail("must be true or false");
  }
}

Micros ConfigNode::duration() const {
  const auto parsed = node_.IsScalar() ? parse_duration(node_.Scalar()) : std::nullopt;
  if (!parsed) fail("must be a time with a unit (ms, s, m or h), such as 30s");
  return *parsed;
}

}  // namespace wrenusher::config_reader
