#pragma once
// Package runtime: the interface through which actors use clocks, timers, randomness and the network. The
// daemon implements it with real clocks and sockets, tests with simulated ones. It also has the requests,
// responses and events that actors exchange. The package owns no state and may depend on time and value.

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "wrenusher/time/time.hpp"

namespace wrenusher::runtime {

/// The address of a service as "host:port", where the host is an IP address.
using Endpoint = std::string;

/// An HTTP request.
struct Request {
  std::string method;
  std::string target;
  std::string body;
  bool close_after = false;            ///< no further request is expected: the connection is not kept open
  std::size_t max_response_bytes = 0;  ///< a response with a larger body is rejected; 0: no limit
};

/// An HTTP response.
struct Response {
  int status = 0;
  std::string body;
  int retry_after_s = 0;  ///< value of the Retry-After header; 0: no such header
};

/// The result of one outgoing call.
struct CallResult {
  bool answered = false;         ///< a complete response was received
  bool may_have_arrived = true;  ///< false: the request certainly did not reach the server
  Response response;
  bool too_large = false;  ///< not answered, because the response exceeded `max_response_bytes`
};

/// Sends the response to a request.
using Responder = std::function<void(Response)>;
/// Receives the result of a call.
using CallHandler = std::function<void(CallResult)>;

/// The environment of the actors: clocks, timers, randomness, the event queue and outgoing calls.
class Runtime {
 public:
  Runtime() = default;
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  virtual ~Runtime() = default;

  virtual time::Instant now() const = 0;
  virtual time::WallTime wall_time() const = 0;
  virtual std::mt19937_64& random() = 0;
  /// Runs `action` after the current event. Posted actions run in the order of the calls. Actors send each
  /// other events in this way.
  virtual void post(std::function<void()> action) = 0;
  /// Runs `action` after `delay`.
  virtual void after(time::Micros delay, std::function<void()> action) = 0;
  /// Sends a request and passes the result to `done`, at the latest after `timeout`.
  virtual void call(const Endpoint& endpoint, Request request, time::Micros timeout, CallHandler done) = 0;

  /// Returns a random delay from 0 to `max`, both inclusive.
  time::Micros jitter(time::Micros max) {
    return time::Micros{std::uniform_int_distribution<std::int64_t>(0, max.count())(random())};
  }
};

/// An actor's output for messages of one type. The code that connects the actors chooses the receivers.
/// Messages are delivered through the runtime's event queue, never inside the sender's call.
template <typename Message>
class EventSink {
 public:
  /// Adds a receiver; receivers get each message in the order in which they were connected.
  void connect(Runtime& runtime, std::function<void(const Message&)> receiver) {
    runtime_ = &runtime;
    receivers_.push_back(std::move(receiver));
  }
  /// Sends a message to all receivers.
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
