#pragma once
// A controller process of the live testbed.

#include <uv.h>

#include "wrenusher/testbed/live_testbed.hpp"

namespace wrenusher::testbed {

/// Time until a controller that has exited starts again, unless a command asked for another.
inline constexpr Micros kRestartDelay = from_seconds(1);

struct LiveTestbed::Child {
  LiveTestbed* testbed = nullptr;
  int number = 0;
  uv_process_t process{};
  bool running = false;
  Micros restart_delay = kRestartDelay;  ///< applies to the next exit only
};

}  // namespace wrenusher::testbed
