#include "wrenusher/log/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace wrenusher::log {

namespace {

Format g_format = Format::text;

}  // namespace

void set_up(const char* name, Format format) {
  g_format = format;
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_st>()));
  spdlog::set_pattern(format == Format::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
                                             : "%Y-%m-%dT%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level != nullptr && *level != '\0' ? spdlog::level::from_str(level)
                                                       : spdlog::level::info);
}

bool as_json() {
  return g_format == Format::json;
}

std::string fill(std::string_view text, const fmt::format_args& args) {
  try {
    return fmt::vformat(fmt::string_view(text.data(), text.size()), args);
  } catch (const fmt::format_error&) {
    // A mistake in the text of a log line must not end the process.
    return std::string(text);
  }
}

JsonFields::JsonFields() : json_(new nlohmann::json(nlohmann::json::object())) {}
JsonFields::~JsonFields() {
  delete json_;
}
void JsonFields::add(const char* name, std::string_view value) {
  (*json_)[name] = value;
}
void JsonFields::add(const char* name, bool value) {
  (*json_)[name] = value;
}
void JsonFields::add(const char* name, double value) {
  (*json_)[name] = value;
}
void JsonFields::add(const char* name, std::uint64_t value) {
  (*json_)[name] = value;
}
void JsonFields::add(const char* name, std::int64_t value) {
  (*json_)[name] = value;
}

std::string JsonFields::line(const char* event, const std::string& text) const {
  const auto dump = [](const nlohmann::json& json) {
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  };
  std::string out = "\"event\":" + dump(event) + ",\"message\":" + dump(text);
  const std::string fields = dump(*json_);
  if (!json_->empty()) out += "," + fields.substr(1, fields.size() - 2);
  return out;
}

}  // namespace wrenusher::log
