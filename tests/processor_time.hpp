#pragma once
// Lets tests bound what a step costs a controller's loop.

#include <ctime>

namespace wrenusher {

/// Controllers send each other a heartbeat in this interval.
inline constexpr double kHeartbeatSeconds = 0.5;

/// Returns the processor time that `action` takes, which does not depend on other processes.
template <typename Action>
double processor_seconds(Action action) {
  const std::clock_t start = std::clock();
  action();
  return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

}  // namespace wrenusher
