#pragma once
// Lets tests read what the code under test logs.

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

namespace wrenusher {

/// Collects what is logged during its life.
class LogCapture {
 public:
  LogCapture() {
    spdlog::set_default_logger(
        std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_st>(out_)));
  }
  ~LogCapture() { spdlog::set_default_logger(previous_); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;
  std::string text() const { return out_.str(); }

 private:
  std::ostringstream out_;
  std::shared_ptr<spdlog::logger> previous_ = spdlog::default_logger();
};

}  // namespace wrenusher
