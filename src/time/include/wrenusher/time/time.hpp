#pragma once
// Package time: durations and clock types. The code uses whole microseconds throughout; seconds and
// milliseconds occur only on the wire.

#include <chrono>
#include <cstdint>

namespace wrenusher::time {

using Micros = std::chrono::duration<std::int64_t, std::micro>;

/// Tag of the steady clock, which never goes back and may drift slightly relative to other machines.
struct SteadyClock {
  using duration = Micros;
  using rep = Micros::rep;
  using period = Micros::period;
  using time_point = std::chrono::time_point<SteadyClock, Micros>;
  static constexpr bool is_steady = true;
};
using Instant = SteadyClock::time_point;

/// Tag of the wall clock, which agrees between machines within the bound given in the settings.
struct WallClock {
  using duration = Micros;
  using rep = Micros::rep;
  using period = Micros::period;
  using time_point = std::chrono::time_point<WallClock, Micros>;
  static constexpr bool is_steady = false;
};
using WallTime = WallClock::time_point;

constexpr Micros from_seconds(double seconds) {
  return Micros{static_cast<std::int64_t>(seconds * 1e6 + (seconds < 0 ? -0.5 : 0.5))};
}
constexpr double to_seconds(Micros duration) {
  return static_cast<double>(duration.count()) / 1e6;
}
constexpr Micros from_millis(std::int64_t ms) {
  return Micros{ms * 1000};
}

}  // namespace wrenusher::time
