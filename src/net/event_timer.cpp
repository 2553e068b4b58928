#include "wrenusher/net/event_timer.hpp"

#include <cxxabi.h>

#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>

#include "wrenusher/log/log.hpp"

namespace wrenusher::net {

using time::from_seconds;
using time::Micros;
using time::to_seconds;

namespace {

Micros read_clock(clockid_t clock) {
  timespec value{};
  clock_gettime(clock, &value);
  return from_seconds(1) * value.tv_sec + Micros{value.tv_nsec / 1000};
}

/// Returns the readable form of a type name, or the name itself if it is none.
std::string demangled(std::string_view name) {
  const std::string mangled(name);
  int status = 0;
  const std::unique_ptr<char, decltype(&std::free)> readable(
      abi::__cxa_demangle(mangled.c_str(), nullptr, nullptr, &status), &std::free);
  return status == 0 ? readable.get() : mangled;
}

}  // namespace

Micros thread_processor_time() {
  return read_clock(CLOCK_THREAD_CPUTIME_ID);
}

EventTimer::EventTimer(std::string_view name, Micros processor_before)
    : name_(name), processor_before_(processor_before), began_at_(read_clock(CLOCK_MONOTONIC)) {}

EventTimer::~EventTimer() {
  const Micros duration = read_clock(CLOCK_MONOTONIC) - began_at_;
  if (duration <= kMaxEventDuration) return;
  log::warn("event_slow",
            "{source} held the loop for {seconds:.2f} s; it used at most {processor:.2f} s of processor time",
            log::with("source", demangled(name_)), log::with("seconds", to_seconds(duration)),
            log::with("processor", to_seconds(thread_processor_time() - processor_before_)));
}

}  // namespace wrenusher::net
