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

#include "wrenusher/base/time.hpp"

namespace wrenusher::base {

/// "host:port" of a service, by IP number.
using Endpoint = std::string;

struct Request {
  std::string method;
  std::string target;
  std::string body;
  bool once = false;     ///< nothing else is to be asked there soon: its connection is not kept
  std::size_t most = 0;  ///< an answer with a larger body is not taken; 0: any is
};

struct Response {
  int status = 0;
  std::string body;
  int retry_after_s = 0;  ///< 0: the header is left out
};

/// The end of one outgoing call.
struct Outcome {
  bool answered = false;  ///< a whole response came
  bool sent = true;       ///< false: the request certainly never reached the other side
  Response response;
  bool too_large = false;  ///< not answered, since the answer was more than was asked for
};

using Answer = std::function<void(Response)>;
using Done = std::function<void(Outcome)>;

class Runtime {
 public:
  Runtime() = default;
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  virtual ~Runtime() = default;

  virtual Instant now() const = 0;
  virtual WallTime wall() const = 0;
  virtual std::mt19937_64& random() = 0;
  /// Runs `f` after the present event, in the order of the calls: the mail between actors.
  virtual void post(std::function<void()> f) = 0;
  virtual void after(Micros delay, std::function<void()> f) = 0;
  virtual void fetch(const Endpoint& to, Request request, Micros timeout, Done done) = 0;

  /// A random delay between 0 and `most`.
  Micros jitter(Micros most) {
    return Micros{std::uniform_int_distribution<std::int64_t>(0, most.count())(random())};
  }
};

/// Where an actor puts messages of one kind; whoever wires the actors decides who receives them. Messages are
/// delivered through the runtime's mail, never inside the sender's call.
template <typename Message>
class Sink {
 public:
  void connect(Runtime& rt, std::function<void(const Message&)> receiver) {
    rt_ = &rt;
    receivers_.push_back(std::move(receiver));
  }
  void operator()(const Message& m) const {
    for (const auto& receiver : receivers_) {
      rt_->post([receiver, m] { receiver(m); });
    }
  }

 private:
  Runtime* rt_ = nullptr;
  std::vector<std::function<void(const Message&)>> receivers_;
};

}  // namespace wrenusher::base
