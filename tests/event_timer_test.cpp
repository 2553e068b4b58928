// Tests that an operator can see in the log which event held a controller's loop, and whether it was too
// expensive or the controller did not get the processor.

#include "wrenusher/net/event_timer.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <ctime>
#include <string>
#include <thread>

#include "log_capture.hpp"
#include "wrenusher/net/net.hpp"

using namespace wrenusher::time;

namespace {

constexpr int kMaxSockets = 16;

void use_processor(Micros duration) {
  const Micros end = wrenusher::net::thread_processor_time() + duration;
  while (wrenusher::net::thread_processor_time() < end) {
  }
}

/// Runs `event` as a timer's callback of a loop, and returns what was logged.
template <typename Event>
std::string log_of(Event event) {
  const wrenusher::LogCapture log;
  wrenusher::net::UvRuntime runtime(kMaxSockets);
  runtime.after(Micros{0}, event);
  runtime.after(from_millis(1), [&runtime] { runtime.stop(); });
  runtime.run();
  return log.text();
}

struct ExpensiveEvent {
  void operator()() const { use_processor(wrenusher::net::kMaxEventDuration + from_millis(50)); }
};

struct SuspendedEvent {
  void operator()() const {
    std::this_thread::sleep_for(wrenusher::net::kMaxEventDuration + from_millis(50));
  }
};

}  // namespace

// Guards against a loop that is held for seconds without a line that says by what.
TEST(EventTimerTest, ExpensiveEventIsLoggedWithItsTypeAndProcessorTime) {
  const std::string log = log_of(ExpensiveEvent{});
  EXPECT_NE(log.find("ExpensiveEvent held the loop"), std::string::npos) << log;
  EXPECT_EQ(log.find("at most 0.0"), std::string::npos) << log;
}

// The same line tells an expensive event from a process that does not get the processor.
TEST(EventTimerTest, EventWithoutTheProcessorIsLoggedWithLittleProcessorTime) {
  const std::string log = log_of(SuspendedEvent{});
  EXPECT_NE(log.find("SuspendedEvent held the loop"), std::string::npos) << log;
  EXPECT_NE(log.find("at most 0.0"), std::string::npos) << log;
}

TEST(EventTimerTest, ShortEventIsNotLogged) {
  EXPECT_EQ(log_of([] {}), "");
}
