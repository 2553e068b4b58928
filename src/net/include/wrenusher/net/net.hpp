#pragma once
// Package net: HTTP/1.1 on a libuv loop, the daemon's runtime. It owns the listening side, the pooled
// outgoing connections, timers and the socket budget. It may depend on base.

#include <uv.h>

#include <deque>
#include <list>
#include <map>
#include <memory>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::net {

using namespace time;
using namespace runtime;

/// Largest body of a request and of an answer to workers and users.
inline constexpr std::size_t kMaxBody = 64 * 1024;

class UvRuntime : public Runtime {
 public:
  using Handler = std::function<void(Request, Responder)>;

  /// `max_sockets` is the limit of the whole process, `pool` that of connections kept to one address.
  explicit UvRuntime(int max_sockets, int pool = 12);
  ~UvRuntime() override;

  /// Throws std::runtime_error when the address cannot be listened on. `most` bounds its open connections.
  void listen(const Endpoint& at, int most, Handler handler);
  /// Listens there no more, and closes what was accepted there.
  void close(const Endpoint& at);
  /// Until `stop`.
  void run();
  void stop() { uv_stop(&loop_); }
  /// For handles of the program's own (signals, children), to be used from this loop's thread only.
  uv_loop_t* loop() { return &loop_; }

  Instant now() const override;
  WallTime wall_time() const override;
  std::mt19937_64& random() override { return random_; }
  void post(std::function<void()> action) override;
  void after(Micros delay, std::function<void()> action) override;
  void call(const Endpoint& endpoint, Request request, Micros timeout, CallHandler done) override;

 private:
  struct Listener;
  struct Inbound;
  struct Outbound;
  struct Pool;
  void drain();
  void sweep();
  void send_waiting(Pool& pool);

  uv_loop_t loop_{};
  uv_check_t posted_check_{};
  uv_idle_t posted_idle_{};
  std::deque<std::function<void()>> posted_;
  bool draining_ = false;
  std::mt19937_64 random_;
  int max_sockets_;
  int pool_;
  int open_sockets_ = 0;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::vector<std::unique_ptr<Listener>> closed_;  ///< what they accepted may still be closing
  std::map<Endpoint, std::unique_ptr<Pool>> pools_;
};

}  // namespace wrenusher::net
