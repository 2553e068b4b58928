#pragma once
// A runtime for benchmarks. Its clock moves only when the benchmark sets it; posted callbacks, timers and
// calls are discarded.

#include <random>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher {

using namespace time;
using namespace runtime;

class ManualClockRuntime : public Runtime {
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
