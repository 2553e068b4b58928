#pragma once
// Measures how long single events hold the loop. While one event runs, the process answers no request and
// sends no heartbeat.

#include <string_view>

#include "wrenusher/time/time.hpp"

namespace wrenusher::net {

/// Events that hold the loop for longer than this are logged: heartbeats between controllers are due twice
/// per second.
inline constexpr time::Micros kMaxEventDuration = time::from_millis(500);

/// Returns the processor time that this thread has used.
time::Micros thread_processor_time();

/// Measures one event, from construction to destruction, and logs it if it was slow. The log line compares
/// the duration with the processor time, which tells an expensive event from a process that did not get the
/// processor.
class EventTimer {
 public:
  /// `name` must outlive the timer; it may be a type name of `typeid`. `processor_before` is the thread's
  /// processor time at a moment shortly before the event.
  EventTimer(std::string_view name, time::Micros processor_before);
  ~EventTimer();
  EventTimer(const EventTimer&) = delete;
  EventTimer& operator=(const EventTimer&) = delete;

 private:
  std::string_view name_;
  time::Micros processor_before_;
  time::Micros began_at_;
};

}  // namespace wrenusher::net
