#pragma once
// A world for benchmarks: its clock stands still, nothing is sent or delivered.

#include <random>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher {

using namespace time;
using namespace runtime;

class StillRuntime : public Runtime {
 public:
  Instant clock{from_seconds(1000)};
  Instant now() const override { return clock; }
  WallTime wall_time() const override { return WallTime{clock.time_since_epoch() + from_seconds(1e6)}; }
  std::mt19937_64& random() override { return random_; }
  void post(std::function<void()>) override {}
  void after(Micros, std::function<void()>) override {}
  void call(const Endpoint&, Request, Micros, CallHandler) override {}

 private:
  std::mt19937_64 random_{7};
};

}  // namespace wrenusher
