#pragma once
// Package base: times, the values that travel, sets of task numbers, and what an actor may ask of the world
// (the daemon gives it sockets and clocks, tests simulated ones). It owns no state and depends on no other
// package.

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "wrenusher/time/time.hpp"

namespace wrenusher::runtime {

/// "host:port" of a service, by IP number.
using Endpoint = std::string;

struct Request {
  std::string method;
  std::string target;
  std::string body;
  bool close_after = false;            ///< nothing else is to be asked there soon: its connection is not kept
  std::size_t max_response_bytes = 0;  ///< an answer with a larger body is not taken; 0: any is
};

struct Response {
  int status = 0;
  std::string body;
  int retry_after_s = 0;  ///< 0: the header is left out
};

/// The end of one outgoing call.
struct CallResult {
  bool answered = false;         ///< a whole response came
  bool may_have_arrived = true;  ///< false: the request certainly never reached the other side
  Response response;
  bool too_large = false;  ///< not answered, since the answer was more than was asked for
};

using Responder = std::function<void(Response)>;
using CallHandler = std::function<void(CallResult)>;

class Runtime {
 public:
  Runtime() = default;
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  virtual ~Runtime() = default;

  virtual time::Instant now() const = 0;
  virtual time::WallTime wall_time() const = 0;
  virtual std::mt19937_64& random() = 0;
  /// Runs `f` after the present event, in the order of the calls: the mail between actors.
  virtual void post(std::function<void()> action) = 0;
  virtual void after(time::Micros delay, std::function<void()> action) = 0;
  virtual void call(const Endpoint& endpoint, Request request, time::Micros timeout, CallHandler done) = 0;

  /// A random delay between 0 and `most`.
  time::Micros jitter(time::Micros most) {
    return time::Micros{std::uniform_int_distribution<std::int64_t>(0, most.count())(random())};
  }
};

/// Where an actor puts messages of one kind; whoever wires the actors decides who receives them. Messages are
/// delivered through the runtime's mail, never inside the sender's call.
template <typename Message>
class EventSink {
 public:
  void connect(Runtime& runtime, std::function<void(const Message&)> receiver) {
    runtime_ = &runtime;
    receivers_.push_back(std::move(receiver));
  }
  void operator()(const Message& message) const {
    for (const auto& receiver : receivers_) {
      runtime_->post([receiver, message] { receiver(message); });
    }
  }

 private:
  Runtime* runtime_ = nullptr;
  std::vector<std::function<void(const Message&)>> receivers_;
};

}  // namespace wrenusher::runtime
