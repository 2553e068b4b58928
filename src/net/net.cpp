#include "wrenusher/net/net.hpp"

#include <http_parser.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cstring>

#include "wrenusher/net/event_timer.hpp"
#include "wrenusher/runtime/error_response.hpp"

namespace wrenusher::net {

namespace {

/// An incoming connection with no request in progress is closed when no byte arrived for this long.
constexpr Micros kInboundIdleTimeout = from_seconds(45);
/// An incoming connection is closed when a request is incomplete and no further byte arrived for this long.
constexpr Micros kInboundStallTimeout = from_seconds(10);
/// After the last response on a connection, the peer has this long to close the connection.
constexpr Micros kInboundLingerTimeout = from_seconds(2);
/// Sockets reserved for outgoing connections: to workers, peers, the state service and the cloud provider.
constexpr int kReservedSockets = 32;
/// Maximum number of connections waiting to be accepted. After a leader failover, all machines of the largest
/// deployment (11,000) may connect at once. The kernel uses net.core.somaxconn where that is lower.
constexpr int kListenBacklog = 16384;

// One buffer is enough for all connections, because a single thread runs the loop and each read callback
// consumes its bytes before it returns.
std::array<char, 64 * 1024> read_buffer;

void provide_read_buffer(uv_handle_t*, std::size_t, uv_buf_t* buffer) {
  *buffer = uv_buf_init(read_buffer.data(), read_buffer.size());
}

sockaddr_in parse_endpoint(const Endpoint& endpoint) {
  sockaddr_in address{};
  const auto colon = endpoint.rfind(':');
  if (colon == std::string::npos || uv_ip4_addr(endpoint.substr(0, colon).c_str(),
                                                std::atoi(endpoint.c_str() + colon + 1), &address) != 0) {
    address.sin_family = 0;
  }
  return address;
}

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::string serialize(const Response& response, bool close) {
  std::string out =
      "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) + "\r\n";
  if (!response.body.empty()) out += "Content-Type: application/cbor\r\n";
  out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after_s > 0) out += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
  if (close) out += "Connection: close\r\n";
  out += "\r\n";
  out += response.body;
  return out;
}

struct PendingWrite {
  uv_write_t request{};
  std::string bytes;
};

/// Writes without reporting the result: after a failed write, the connection's read callback gets the error.
void write_bytes(uv_tcp_t* tcp, std::string bytes) {
  auto* pending = new PendingWrite;
  pending->bytes = std::move(bytes);
  uv_buf_t buffer = uv_buf_init(pending->bytes.data(), static_cast<unsigned>(pending->bytes.size()));
  // Usually the kernel takes all bytes at once, in one system call, and nothing has to be queued.
  const int written = uv_try_write(reinterpret_cast<uv_stream_t*>(tcp), &buffer, 1);
  if (written == static_cast<int>(pending->bytes.size())) {
    delete pending;
    return;
  }
  if (written > 0) {
    buffer.base += written;
    buffer.len -= static_cast<std::size_t>(written);
  }
  pending->request.data = pending;
  if (uv_write(&pending->request, reinterpret_cast<uv_stream_t*>(tcp), &buffer, 1,
               [](uv_write_t* request, int) { delete static_cast<PendingWrite*>(request->data); }) != 0) {
    delete pending;
  }
}

}  // namespace

// ---------------------------------------------------------------- incoming

struct UvRuntime::Listener {
  UvRuntime* runtime = nullptr;
  Endpoint address;
  uv_tcp_t tcp{};
  int max_connections = 0;
  Handler handler;
  std::list<std::shared_ptr<InboundConnection>> open_connections;
};

struct UvRuntime::InboundConnection : std::enable_shared_from_this<InboundConnection> {
  Listener* listener = nullptr;
  uv_tcp_t tcp{};
  http_parser parser{};
  Request request;
  bool too_large = false;
  bool response_pending = false;
  bool closing = false;
  bool request_started = false;
  bool sending_closed = false;  ///< no more responses follow; further input is read and discarded
  bool over_budget = false;     ///< the socket budget is exceeded: user requests get 503 with Retry-After
  Instant last_activity{};
  std::list<std::shared_ptr<InboundConnection>>::iterator position;

  static InboundConnection& of(http_parser* parser) { return *static_cast<InboundConnection*>(parser->data); }

  void close() {
    if (closing) return;
    closing = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp), [](uv_handle_t* handle) {
      auto* self = static_cast<InboundConnection*>(handle->data);
      --self->listener->runtime->open_sockets_;
      // Destroys the connection, unless another shared_ptr to it exists.
      self->listener->open_connections.erase(self->position);
    });
  }

  void send_response(const Response& response, bool keep_open) {
    if (closing) return;
    response_pending = false;
    request_started = false;
    last_activity = listener->runtime->now();
    write_bytes(&tcp, serialize(response, !keep_open));
    if (!keep_open) {
      shut_down_sending();
      return;
    }
    uv_read_start(reinterpret_cast<uv_stream_t*>(&tcp), provide_read_buffer, on_read);
  }

  /// Shuts down sending. Further input is read and discarded until the peer or the linger timeout closes the
  /// connection: closing with unread bytes would reset the connection and lose the response in flight.
  void shut_down_sending() {
    sending_closed = true;
    auto* shutdown_request = new uv_shutdown_t;
    if (uv_shutdown(shutdown_request, reinterpret_cast<uv_stream_t*>(&tcp),
                    [](uv_shutdown_t* sent_request, int) { delete sent_request; }) != 0) {
      delete shutdown_request;
      close();
      return;
    }
    uv_read_start(reinterpret_cast<uv_stream_t*>(&tcp), provide_read_buffer, on_read);
  }

  void dispatch() {
    // Over the socket budget, user requests are refused; workers and health checks are still served.
    const bool refused = over_budget && request.target.starts_with("/submissions");
    const bool keep_open = http_should_keep_alive(&parser) != 0 && !refused && !too_large;
    response_pending = true;
    // Requests are not pipelined: reading resumes when this request has its response.
    uv_read_stop(reinterpret_cast<uv_stream_t*>(&tcp));
    if (too_large) {
      send_response(error_response({400, "too_large", "The body is larger than 64 KiB.", "", 0}), false);
      return;
    }
    if (refused) {
      send_response(error_response({503, "too_many_connections",
                                    "This node has no connection to spare; others may.", "", 3}),
                    false);
      return;
    }
    std::weak_ptr<InboundConnection> weak = weak_from_this();
    Request received = std::move(request);
    request = {};
    const std::string name = received.method + " " + received.target;
    const EventTimer timer(name, listener->runtime->processor_time_);
    listener->handler(std::move(received), [weak, keep_open](Response response) {
      if (auto self = weak.lock(); self && self->response_pending) self->send_response(response, keep_open);
    });
  }

  static void on_read(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    auto* self = static_cast<InboundConnection*>(stream->data);
    if (size == 0) return;
    if (size < 0) {
      self->close();
      return;
    }
    if (self->sending_closed) return;
    const auto lifetime = self->shared_from_this();
    self->last_activity = self->listener->runtime->now();
    self->request_started = true;
    const std::size_t parsed =
        http_parser_execute(&self->parser, &parser_settings(), buffer->base, static_cast<std::size_t>(size));
    if (self->closing || self->response_pending || self->sending_closed) return;
    if (self->too_large || self->parser.upgrade != 0 || parsed != static_cast<std::size_t>(size) ||
        HTTP_PARSER_ERRNO(&self->parser) != HPE_OK) {
      self->response_pending = true;
      uv_read_stop(stream);
      self->send_response(
          self->too_large ? error_response({400, "too_large", "The body is larger than 64 KiB.", "", 0})
                          : error_response({400, "not_http", "This is not a request in HTTP/1.1.", "", 0}),
          false);
    }
  }

  static const http_parser_settings& parser_settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_message_begin = [](http_parser* parser) {
        of(parser).request = {};
        of(parser).too_large = false;
        return 0;
      };
      callbacks.on_url = [](http_parser* parser, const char* data, std::size_t size) {
        of(parser).request.target.append(data, size);
        return of(parser).request.target.size() > 4096 ? 1 : 0;
      };
      callbacks.on_headers_complete = [](http_parser* parser) {
        of(parser).request.method = http_method_str(static_cast<http_method>(parser->method));
        if (parser->content_length != ULLONG_MAX && parser->content_length > kMaxBody) {
          of(parser).too_large = true;
          return 2;  // skips the body, so that the response is sent at once
        }
        return 0;
      };
      callbacks.on_body = [](http_parser* parser, const char* data, std::size_t size) {
        InboundConnection& connection = of(parser);
        if (connection.request.body.size() + size > kMaxBody) {
          connection.too_large = true;
          return 1;
        }
        connection.request.body.append(data, size);
        return 0;
      };
      callbacks.on_message_complete = [](http_parser* parser) {
        of(parser).dispatch();
        return 0;
      };
      return callbacks;
    }();
    return settings;
  }
};

void UvRuntime::listen(const Endpoint& endpoint, int max_connections, Handler handler) {
  auto opened = std::make_unique<Listener>();
  opened->runtime = this;
  opened->address = endpoint;
  opened->max_connections = max_connections;
  opened->handler = std::move(handler);
  uv_tcp_init(&loop_, &opened->tcp);
  opened->tcp.data = opened.get();
  const sockaddr_in socket_address = parse_endpoint(endpoint);
  int result = uv_tcp_bind(&opened->tcp, reinterpret_cast<const sockaddr*>(&socket_address), 0);
  if (result == 0) {
    result = uv_listen(
        reinterpret_cast<uv_stream_t*>(&opened->tcp), kListenBacklog, [](uv_stream_t* server, int status) {
          auto* listener = static_cast<Listener*>(server->data);
          if (status < 0) return;
          auto connection = std::make_shared<InboundConnection>();
          connection->listener = listener;
          uv_tcp_init(&listener->runtime->loop_, &connection->tcp);
          connection->tcp.data = connection.get();
          connection->last_activity = listener->runtime->now();
          http_parser_init(&connection->parser, HTTP_REQUEST);
          connection->parser.data = connection.get();
          connection->position =
              listener->open_connections.insert(listener->open_connections.end(), connection);
          ++listener->runtime->open_sockets_;
          if (uv_accept(server, reinterpret_cast<uv_stream_t*>(&connection->tcp)) != 0) {
            connection->close();
            return;
          }
          uv_tcp_nodelay(&connection->tcp, 1);
          connection->over_budget =
              static_cast<int>(listener->open_connections.size()) > listener->max_connections ||
              listener->runtime->open_sockets_ > listener->runtime->max_sockets_ - kReservedSockets;
          uv_read_start(reinterpret_cast<uv_stream_t*>(&connection->tcp), provide_read_buffer,
                        InboundConnection::on_read);
        });
  }
  if (result != 0) {
    // The loop holds a pointer to the handle, which must therefore exist until it is closed.
    uv_close(reinterpret_cast<uv_handle_t*>(&opened->tcp), nullptr);
    closed_listeners_.push_back(std::move(opened));
    throw std::runtime_error("cannot listen on " + endpoint + ": " + uv_strerror(result));
  }
  ++open_sockets_;
  listeners_.push_back(std::move(opened));
}

void UvRuntime::close(const Endpoint& endpoint) {
  const auto it = std::find_if(listeners_.begin(), listeners_.end(),
                               [&](const auto& listener) { return listener->address == endpoint; });
  if (it == listeners_.end()) return;
  uv_close(reinterpret_cast<uv_handle_t*>(&(*it)->tcp), nullptr);
  --open_sockets_;
  const auto connections = (*it)->open_connections;
  for (const auto& connection : connections) connection->close();
  closed_listeners_.push_back(std::move(*it));
  listeners_.erase(it);
}

// ---------------------------------------------------------------- outgoing

struct UvRuntime::ConnectionPool {
  struct Call {
    Request request;
    CallHandler done;
  };
  Endpoint address;
  std::list<std::shared_ptr<OutboundConnection>> open_connections;
  std::deque<std::shared_ptr<Call>> waiting_calls;
};

struct UvRuntime::OutboundConnection : std::enable_shared_from_this<OutboundConnection> {
  UvRuntime* runtime = nullptr;
  ConnectionPool* pool = nullptr;
  uv_tcp_t tcp{};
  uv_connect_t connect_request{};
  http_parser parser{};
  bool connected = false;
  bool closing = false;
  bool too_large = false;
  std::shared_ptr<ConnectionPool::Call> call;  ///< null while idle
  Response response;
  Instant idle_since{};
  std::list<std::shared_ptr<OutboundConnection>>::iterator position;

  void close() {
    if (closing) return;
    closing = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp), [](uv_handle_t* handle) {
      auto* self = static_cast<OutboundConnection*>(handle->data);
      UvRuntime* owning_runtime = self->runtime;
      ConnectionPool* endpoint_pool = self->pool;
      --owning_runtime->open_sockets_;
      endpoint_pool->open_connections.erase(self->position);
      owning_runtime->start_waiting_calls(*endpoint_pool);
    });
  }

  void complete_call(bool answered) {
    if (!call) return;
    const std::shared_ptr<ConnectionPool::Call> pending = std::move(call);
    call.reset();
    CallResult out;
    out.answered = answered;
    out.may_have_arrived = connected;
    out.too_large = too_large;
    if (answered) out.response = std::move(response);
    response = {};
    runtime->post([pending, out = std::move(out)]() mutable { pending->done(std::move(out)); });
  }

  void fail() {
    complete_call(false);
    close();
  }

  void assign_call(std::shared_ptr<ConnectionPool::Call> next) {
    call = std::move(next);
    if (connected) send_request();
  }

  void send_request() {
    const Request& request = call->request;
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + pool->address + "\r\n";
    if (!request.body.empty()) out += "Content-Type: application/cbor\r\n";
    if (request.method != "GET" || !request.body.empty())
      out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    if (request.close_after) out += "Connection: close\r\n";
    out += "\r\n";
    out += request.body;
    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = this;
    write_bytes(&tcp, std::move(out));
  }

  /// Returns whether a response body of `bytes` bytes is within the limit of the call. A larger body is never
  /// kept in memory; the caller closes the connection instead.
  bool accepts_body_size(std::uint64_t bytes) {
    too_large = call && call->request.max_response_bytes > 0 && bytes > call->request.max_response_bytes;
    return !too_large;
  }

  static void on_read(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    auto* self = static_cast<OutboundConnection*>(stream->data);
    if (size == 0 || self->closing) return;
    const auto lifetime = self->shared_from_this();
    if (size < 0) {
      if (self->call) http_parser_execute(&self->parser, &parser_settings(), nullptr, 0);
      self->fail();
      return;
    }
    if (!self->call) {  // bytes that belong to no request
      self->close();
      return;
    }
    const std::size_t parsed =
        http_parser_execute(&self->parser, &parser_settings(), buffer->base, static_cast<std::size_t>(size));
    if (self->call &&
        (parsed != static_cast<std::size_t>(size) || HTTP_PARSER_ERRNO(&self->parser) != HPE_OK)) {
      self->fail();
    }
  }

  static const http_parser_settings& parser_settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_headers_complete = [](http_parser* parser) {
        const bool has_content_length = parser->content_length != ULLONG_MAX;
        return has_content_length && !static_cast<OutboundConnection*>(parser->data)
                                          ->accepts_body_size(parser->content_length)
                   ? -1
                   : 0;
      };
      callbacks.on_body = [](http_parser* parser, const char* data, std::size_t size) {
        auto* self = static_cast<OutboundConnection*>(parser->data);
        if (!self->accepts_body_size(self->response.body.size() + size)) return 1;
        self->response.body.append(data, size);
        return 0;
      };
      callbacks.on_message_complete = [](http_parser* parser) {
        auto* self = static_cast<OutboundConnection*>(parser->data);
        self->response.status = static_cast<int>(parser->status_code);
        const bool keep_open =
            http_should_keep_alive(parser) != 0 && self->call && !self->call->request.close_after;
        self->complete_call(true);
        self->idle_since = self->runtime->now();
        if (!keep_open) {
          self->close();
        } else {
          // Posted, because a new call would reset the parser, which is still inside this callback.
          self->runtime->post(
              [runtime = self->runtime, pool = self->pool] { runtime->start_waiting_calls(*pool); });
        }
        return 0;
      };
      return callbacks;
    }();
    return settings;
  }
};

void UvRuntime::start_waiting_calls(ConnectionPool& pool) {
  while (!pool.waiting_calls.empty()) {
    const auto idle =
        std::find_if(pool.open_connections.begin(), pool.open_connections.end(), [](const auto& connection) {
          return !connection->closing && !connection->call && connection->connected;
        });
    if (idle != pool.open_connections.end()) {
      auto pending = pool.waiting_calls.front();
      pool.waiting_calls.pop_front();
      (*idle)->assign_call(std::move(pending));
      continue;
    }
    if (static_cast<int>(pool.open_connections.size()) >= max_connections_per_endpoint_) return;
    auto pending = pool.waiting_calls.front();
    pool.waiting_calls.pop_front();
    const sockaddr_in socket_address = parse_endpoint(pool.address);
    if (open_sockets_ >= max_sockets_ || socket_address.sin_family != AF_INET) {
      post([pending] { pending->done(CallResult{false, false, {}}); });
      continue;
    }
    auto connection = std::make_shared<OutboundConnection>();
    connection->runtime = this;
    connection->pool = &pool;
    uv_tcp_init(&loop_, &connection->tcp);
    connection->tcp.data = connection.get();
    ++open_sockets_;
    connection->position = pool.open_connections.insert(pool.open_connections.end(), connection);
    connection->call = std::move(pending);
    const int result = uv_tcp_connect(&connection->connect_request, &connection->tcp,
                                      reinterpret_cast<const sockaddr*>(&socket_address),
                                      [](uv_connect_t* request, int status) {
                                        auto* self = static_cast<OutboundConnection*>(request->handle->data);
                                        if (self->closing) return;
                                        if (status != 0) {
                                          self->fail();
                                          return;
                                        }
                                        self->connected = true;
                                        uv_tcp_nodelay(&self->tcp, 1);
                                        uv_read_start(reinterpret_cast<uv_stream_t*>(&self->tcp),
                                                      provide_read_buffer, OutboundConnection::on_read);
                                        if (self->call) self->send_request();
                                      });
    if (result != 0) connection->fail();
  }
}

void UvRuntime::call(const Endpoint& endpoint, Request request, Micros timeout, CallHandler done) {
  auto& slot = pools_[endpoint];
  if (!slot) {
    slot = std::make_unique<ConnectionPool>();
    slot->address = endpoint;
  }
  ConnectionPool* pool = slot.get();
  auto call =
      std::make_shared<ConnectionPool::Call>(ConnectionPool::Call{std::move(request), std::move(done)});
  pool->waiting_calls.push_back(call);
  std::weak_ptr<ConnectionPool::Call> weak = call;
  after(timeout, [this, pool, weak] {
    const auto pending = weak.lock();
    if (!pending) return;
    for (const auto& connection : pool->open_connections) {
      if (connection->call == pending) {
        connection->fail();
        return;
      }
    }
    std::erase(pool->waiting_calls, pending);
    pending->done(CallResult{false, false, {}});
  });
  start_waiting_calls(*pool);
}

// ---------------------------------------------------------------- loop

UvRuntime::UvRuntime(int max_sockets, int max_connections_per_endpoint)
    : random_(std::random_device{}()),
      max_sockets_(max_sockets),
      max_connections_per_endpoint_(max_connections_per_endpoint) {
  uv_loop_init(&loop_);
  // Posted actions run after each iteration of the loop. The idle handle keeps the loop from blocking while
  // actions are left.
  uv_check_init(&loop_, &posted_check_);
  posted_check_.data = this;
  uv_check_start(&posted_check_,
                 [](uv_check_t* handle) { static_cast<UvRuntime*>(handle->data)->run_posted_actions(); });
  uv_idle_init(&loop_, &posted_idle_);
  posted_idle_.data = this;
  after(from_seconds(5), [this] { close_expired_connections(); });
}

UvRuntime::~UvRuntime() = default;

void UvRuntime::run() {
  run_posted_actions();
  uv_run(&loop_, UV_RUN_DEFAULT);
}

void UvRuntime::run_posted_actions() {
  if (running_posted_) return;
  running_posted_ = true;
  while (!posted_.empty()) {
    auto action = std::move(posted_.front());
    posted_.pop_front();
    const EventTimer timer(action.target_type().name(), processor_time_);
    action();
  }
  running_posted_ = false;
  processor_time_ = thread_processor_time();
  uv_idle_stop(&posted_idle_);
}

void UvRuntime::post(std::function<void()> action) {
  posted_.push_back(std::move(action));
  if (!running_posted_) uv_idle_start(&posted_idle_, [](uv_idle_t*) {});
}

void UvRuntime::after(Micros delay, std::function<void()> action) {
  struct Timer {
    UvRuntime* runtime = nullptr;
    uv_timer_t handle{};
    std::function<void()> callback;
  };
  auto* new_timer = new Timer;
  new_timer->runtime = this;
  new_timer->callback = std::move(action);
  uv_timer_init(&loop_, &new_timer->handle);
  new_timer->handle.data = new_timer;
  uv_update_time(&loop_);
  const std::int64_t delay_ms = std::max<std::int64_t>(0, (delay.count() + 999) / 1000);
  uv_timer_start(
      &new_timer->handle,
      [](uv_timer_t* expired_handle) {
        auto* timer = static_cast<Timer*>(expired_handle->data);
        {
          const EventTimer event_timer(timer->callback.target_type().name(), timer->runtime->processor_time_);
          timer->callback();
        }
        uv_close(reinterpret_cast<uv_handle_t*>(expired_handle),
                 [](uv_handle_t* closed_handle) { delete static_cast<Timer*>(closed_handle->data); });
      },
      static_cast<std::uint64_t>(delay_ms), 0);
}

Instant UvRuntime::now() const {
  return Instant{Micros{static_cast<std::int64_t>(uv_hrtime() / 1000)}};
}

WallTime UvRuntime::wall_time() const {
  return WallTime{std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch())};
}

void UvRuntime::close_expired_connections() {
  const Instant current_time = now();
  for (const auto& listener : listeners_) {
    std::vector<std::shared_ptr<InboundConnection>> expired;
    for (const auto& connection : listener->open_connections) {
      if (!connection->response_pending &&
          current_time - connection->last_activity > (connection->sending_closed    ? kInboundLingerTimeout
                                                      : connection->request_started ? kInboundStallTimeout
                                                                                    : kInboundIdleTimeout))
        expired.push_back(connection);
    }
    for (const auto& connection : expired) connection->close();
  }
  for (const auto& [endpoint, pool] : pools_) {
    std::vector<std::shared_ptr<OutboundConnection>> expired;
    for (const auto& connection : pool->open_connections) {
      if (!connection->call && connection->connected &&
          current_time - connection->idle_since > from_seconds(30))
        expired.push_back(connection);
    }
    for (const auto& connection : expired) connection->close();
  }
  after(from_seconds(5), [this] { close_expired_connections(); });
}

}  // namespace wrenusher::net
