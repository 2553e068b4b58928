#pragma once
// A runtime for tests of a single node: the clock moves only when the test moves it, and the test itself
// answers the node's calls.

#include <map>
#include <vector>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::runtime {

/// Collects the calls of the node under test in `calls` instead of sending them. Posted actions run at once.
class ManualRuntime : public Runtime {
 public:
  struct Call {
    Request request;
    CallHandler done;
  };
  time::Instant at = time::Instant{} + time::from_seconds(50);
  std::vector<Call> calls;

  time::Instant now() const override { return at; }
  time::WallTime wall_time() const override { return time::WallTime{} + time::from_seconds(50); }
  std::mt19937_64& random() override { return random_; }
  void post(std::function<void()> action) override { action(); }
  void after(time::Micros delay, std::function<void()> action) override {
    timers_.emplace(at + delay, std::move(action));
  }
  void call(const Endpoint&, Request request, time::Micros, CallHandler done) override {
    calls.push_back({std::move(request), std::move(done)});
  }
  /// Advances the clock in one step, as after a pause of the whole process, and then runs all timers that are
  /// due.
  void pass(time::Micros time) {
    at += time;
    while (!timers_.empty() && timers_.begin()->first <= at) timers_.extract(timers_.begin()).mapped()();
  }

 private:
  std::mt19937_64 random_;
  std::multimap<time::Instant, std::function<void()>> timers_;
};

}  // namespace wrenusher::runtime
