#pragma once
// Package log: structured logging. A log event has a stable name, a text for people and the fields that the
// text names in its placeholders. The text format writes only the text; the JSON format writes one object per
// line with the event name, the text and all fields.
//
// The package owns the log format of the process. It depends on no other package.

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <type_traits>

namespace wrenusher::log {

enum class Format { text, json };

/// Sets up logging to standard error under the logger name `name`. The environment variable LOG_LEVEL sets
/// the lowest level that is written (`error`, `warn`, `info` or `debug`; `info` if unset).
void set_up(const char* name, Format format);

/// A field of a log event: its name in the text and in JSON, and its value. A string value must outlive the
/// call that logs it.
template <typename T>
struct Field {
  const char* name;
  T value;
};
/// Returns a field with its value.
inline Field<std::string_view> with(const char* name, std::string_view value) {
  return {name, value};
}
template <typename T>
requires std::is_arithmetic_v<T> Field<T> with(const char* name, T value) {
  return {name, value};
}

/// Collects the fields of an event for JSON, each with its own type.
class JsonFields {
 public:
  JsonFields();
  ~JsonFields();
  JsonFields(const JsonFields&) = delete;
  JsonFields& operator=(const JsonFields&) = delete;
  void add(const char* name, std::string_view value);
  void add(const char* name, bool value);
  void add(const char* name, double value);
  void add(const char* name, std::uint64_t value);
  void add(const char* name, std::int64_t value);
  /// Adds a string view or a value of any arithmetic type.
  template <typename T>
  void add_any(const char* name, T value) {
    if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, std::string_view>) {
      add(name, value);
    } else if constexpr (std::is_floating_point_v<T>) {
      add(name, static_cast<double>(value));
    } else if constexpr (std::is_signed_v<T>) {
      add(name, static_cast<std::int64_t>(value));
    } else {
      add(name, static_cast<std::uint64_t>(value));
    }
  }
  /// Returns the members of the JSON object without its braces, the event name and the text first.
  std::string line(const char* event, const std::string& text) const;

 private:
  nlohmann::json* json_;
};

/// Returns whether the process writes JSON.
bool as_json();
/// Returns the text with its placeholders filled in, or the unchanged text if it does not match the
/// arguments.
std::string fill(std::string_view text, const fmt::format_args& args);

/// Writes an event at the given level, if that level is enabled.
template <typename... T>
void say(spdlog::level::level_enum level, const char* event, std::string_view text,
         const Field<T>&... fields) {
  if (!spdlog::should_log(level)) return;
  std::string line = fill(text, fmt::make_format_args(fmt::arg(fields.name, fields.value)...));
  if (as_json()) {
    JsonFields json_fields;
    (json_fields.add_any(fields.name, fields.value), ...);
    line = json_fields.line(event, line);
  }
  spdlog::default_logger_raw()->log(level, spdlog::string_view_t(line.data(), line.size()));
}

template <typename... T>
void debug(const char* event, std::string_view text, const Field<T>&... fields) {
  say(spdlog::level::debug, event, text, fields...);
}
template <typename... T>
void info(const char* event, std::string_view text, const Field<T>&... fields) {
  say(spdlog::level::info, event, text, fields...);
}
template <typename... T>
void warn(const char* event, std::string_view text, const Field<T>&... fields) {
  say(spdlog::level::warn, event, text, fields...);
}
template <typename... T>
void error(const char* event, std::string_view text, const Field<T>&... fields) {
  say(spdlog::level::err, event, text, fields...);
}

}  // namespace wrenusher::log
