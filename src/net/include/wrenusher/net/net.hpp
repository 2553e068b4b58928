#pragma once
// Package net: the daemon's runtime, which serves and sends HTTP/1.1 on a libuv loop. It owns the listening
// sockets, the pooled outgoing connections, the timers and the socket budget. It may depend on base.

#include <uv.h>

#include <deque>
#include <list>
#include <map>
#include <memory>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::net {

using namespace time;
using namespace runtime;

/// Maximum body size of a request from a worker or user and of its response, in bytes.
inline constexpr std::size_t kMaxBody = 64 * 1024;

/// A runtime on sockets and the system clock. One thread runs its loop and calls all its functions.
class UvRuntime : public Runtime {
 public:
  using Handler = std::function<void(Request, Responder)>;

  /// `max_sockets` limits the sockets of the whole process. `max_connections_per_endpoint` limits the
  /// outgoing connections to one endpoint; calls beyond it wait in a queue.
  explicit UvRuntime(int max_sockets, int max_connections_per_endpoint = 12);
  ~UvRuntime() override;

  /// Listens on the endpoint and passes each request to `handler`. User requests on connections beyond
  /// `max_connections` or the socket budget are answered with 503. Throws std::runtime_error when it cannot
  /// listen on the endpoint.
  void listen(const Endpoint& endpoint, int max_connections, Handler handler);
  /// Stops listening on the endpoint and closes the connections accepted there.
  void close(const Endpoint& endpoint);
  /// Runs the loop until `stop` is called.
  void run();
  void stop() { uv_stop(&loop_); }
  /// Returns the loop, for the program's own handles (signals, child processes). For use on the loop's thread
  /// only.
  uv_loop_t* loop() { return &loop_; }

  Instant now() const override;
  WallTime wall_time() const override;
  std::mt19937_64& random() override { return random_; }
  void post(std::function<void()> action) override;
  void after(Micros delay, std::function<void()> action) override;
  void call(const Endpoint& endpoint, Request request, Micros timeout, CallHandler done) override;

 private:
  struct Listener;
  struct InboundConnection;
  struct OutboundConnection;
  struct ConnectionPool;
  void run_posted_actions();
  void close_expired_connections();
  void start_waiting_calls(ConnectionPool& pool);

  uv_loop_t loop_{};
  uv_check_t posted_check_{};
  uv_idle_t posted_idle_{};
  std::deque<std::function<void()>> posted_;
  bool running_posted_ = false;
  Micros processor_time_{};  ///< of this thread, at the end of the loop's last turn
  std::mt19937_64 random_;
  int max_sockets_;
  int max_connections_per_endpoint_;
  int open_sockets_ = 0;
  std::vector<std::unique_ptr<Listener>> listeners_;
  /// Kept because their connections may still be closing.
  std::vector<std::unique_ptr<Listener>> closed_listeners_;
  std::map<Endpoint, std::unique_ptr<ConnectionPool>> pools_;
};

}  // namespace wrenusher::net
