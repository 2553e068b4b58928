#pragma once
// A node without a world: its clock stands until it is moved, and its calls are answered by hand.

#include <map>
#include <vector>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::runtime {

class ByHand : public Runtime {
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
  void post(std::function<void()> f) override { f(); }
  void after(time::Micros delay, std::function<void()> f) override {
    timers_.emplace(at + delay, std::move(f));
  }
  void call(const Endpoint&, Request r, time::Micros, CallHandler done) override {
    calls.push_back({std::move(r), std::move(done)});
  }
  /// Moves the clock at one go, as for a node that stood still, and then runs what was due.
  void pass(time::Micros time) {
    at += time;
    while (!timers_.empty() && timers_.begin()->first <= at) timers_.extract(timers_.begin()).mapped()();
  }

 private:
  std::mt19937_64 random_;
  std::multimap<time::Instant, std::function<void()>> timers_;
};

}  // namespace wrenusher::runtime
