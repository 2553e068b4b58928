#pragma once
// Package log: what operators read. An event has a stable name, a text for people, and the fields that the
// text names; as text only the text is seen, as JSON one object a line holds all of it. It owns which of the
// two the process writes. It depends on no other package.

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <type_traits>

namespace wrenusher::log {

enum class Format { text, json };

/// To standard error, as much as LOG_LEVEL says (`error`, `warn`, `info`, `debug`; `info` when unset).
void set_up(const char* name, Format format);

/// A field of an event: its name in the text and in JSON, and its value, which must outlive the call.
template <typename T>
struct Field {
  const char* name;
  T value;
};
inline Field<std::string_view> with(const char* name, std::string_view value) {
  return {name, value};
}
template <typename T>
requires std::is_arithmetic_v<T> Field<T> with(const char* name, T value) {
  return {name, value};
}

/// Collects an event's fields for JSON, typed as they are.
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
  /// The object's fields without its braces, the event and the text first.
  std::string line(const char* event, const std::string& text) const;

 private:
  nlohmann::json* json_;
};

bool as_json();
/// The text with its fields put in; the text as it stands, should it not fit them.
std::string fill(std::string_view text, const fmt::format_args& args);

template <typename... T>
void say(spdlog::level::level_enum level, const char* event, std::string_view text,
         const Field<T>&... fields) {
  if (!spdlog::should_log(level)) return;
  std::string line = fill(text, fmt::make_format_args(fmt::arg(fields.name, fields.value)...));
  if (as_json()) {
    JsonFields all;
    (all.add_any(fields.name, fields.value), ...);
    line = all.line(event, line);
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
