#pragma once
// A node without a world: its clock stands until it is moved, and its calls are answered by hand.

#include <map>
#include <vector>

#include "wrenusher/base/runtime.hpp"

namespace wrenusher::base {

class ByHand : public Runtime {
 public:
  struct Call {
    Request request;
    CallHandler done;
  };
  Instant at = Instant{} + from_seconds(50);
  std::vector<Call> calls;

  Instant now() const override { return at; }
  WallTime wall_time() const override { return WallTime{} + from_seconds(50); }
  std::mt19937_64& random() override { return random_; }
  void post(std::function<void()> f) override { f(); }
  void after(Micros delay, std::function<void()> f) override { timers_.emplace(at + delay, std::move(f)); }
  void call(const Endpoint&, Request r, Micros, CallHandler done) override {
    calls.push_back({std::move(r), std::move(done)});
  }
  /// Moves the clock at one go, as for a node that stood still, and then runs what was due.
  void pass(Micros time) {
    at += time;
    while (!timers_.empty() && timers_.begin()->first <= at) timers_.extract(timers_.begin()).mapped()();
  }

 private:
  std::mt19937_64 random_;
  std::multimap<Instant, std::function<void()>> timers_;
};

}  // namespace wrenusher::base
