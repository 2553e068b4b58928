#include "wrenusher/net/net.hpp"

#include <http_parser.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cstring>

#include "wrenusher/runtime/error_response.hpp"

namespace wrenusher::net {

namespace {

/// Outgoing connections per destination; what is over waits in the pool's queue.
/// A user's or worker's connection is closed when nothing came for this long.
constexpr Micros kInboundIdle = from_seconds(45);
/// A request that began must be whole within this.
constexpr Micros kInboundStall = from_seconds(10);
/// The other side of a connection that had its last answer has this long to close it.
constexpr Micros kInboundLinger = from_seconds(2);
/// What must stay free for outgoing connections, and so for workers' orders, peers, store and cloud.
constexpr int kReservedSockets = 32;
/// Connections that may wait to be accepted: every machine of the largest deployment (11,000) at once, as
/// after a leader's end. The kernel takes net.core.somaxconn where that is less.
constexpr int kListenBacklog = 16384;

// One thread, one loop: bytes are consumed within the read callback, so one buffer serves all.
std::array<char, 64 * 1024> read_buffer;

void take_buffer(uv_handle_t*, std::size_t, uv_buf_t* buf) {
  *buf = uv_buf_init(read_buffer.data(), read_buffer.size());
}

sockaddr_in address(const Endpoint& at) {
  sockaddr_in out{};
  const auto colon = at.rfind(':');
  if (colon == std::string::npos ||
      uv_ip4_addr(at.substr(0, colon).c_str(), std::atoi(at.c_str() + colon + 1), &out) != 0) {
    out.sin_family = 0;
  }
  return out;
}

const char* reason(int status) {
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
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " + reason(response.status) + "\r\n";
  if (!response.body.empty()) out += "Content-Type: application/cbor\r\n";
  out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after_s > 0) out += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
  if (close) out += "Connection: close\r\n";
  out += "\r\n";
  out += response.body;
  return out;
}

struct WriteJob {
  uv_write_t req{};
  std::string bytes;
};

/// Writes and forgets: a failure shows as the connection's end on its reading side.
void write_bytes(uv_tcp_t* tcp, std::string bytes) {
  auto* job = new WriteJob;
  job->bytes = std::move(bytes);
  uv_buf_t buf = uv_buf_init(job->bytes.data(), static_cast<unsigned>(job->bytes.size()));
  // The common case needs no queueing: one system call, nothing kept.
  const int n = uv_try_write(reinterpret_cast<uv_stream_t*>(tcp), &buf, 1);
  if (n == static_cast<int>(job->bytes.size())) {
    delete job;
    return;
  }
  if (n > 0) {
    buf.base += n;
    buf.len -= static_cast<std::size_t>(n);
  }
  job->req.data = job;
  if (uv_write(&job->req, reinterpret_cast<uv_stream_t*>(tcp), &buf, 1,
               [](uv_write_t* req, int) { delete static_cast<WriteJob*>(req->data); }) != 0) {
    delete job;
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
  std::list<std::shared_ptr<Inbound>> open_connections;
};

struct UvRuntime::Inbound : std::enable_shared_from_this<Inbound> {
  Listener* owner = nullptr;
  uv_tcp_t tcp{};
  http_parser parser{};
  Request request;
  bool too_large = false;
  bool answering = false;
  bool closing = false;
  bool begun = false;
  bool finished = false;  ///< the last answer is out; what still comes is read and thrown away
  bool refusing = false;  ///< over the socket budget: users get 503 with a time to return
  Instant last{};
  std::list<std::shared_ptr<Inbound>>::iterator place;

  static Inbound& of(http_parser* parser) { return *static_cast<Inbound*>(parser->data); }

  void close() {
    if (closing) return;
    closing = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp), [](uv_handle_t* handle) {
      auto* self = static_cast<Inbound*>(handle->data);
      --self->owner->runtime->open_sockets_;
      self->owner->open_connections.erase(self->place);  // the last owner unless an answer is still out
    });
  }

  void answer(const Response& response, bool keep) {
    if (closing) return;
    answering = false;
    begun = false;
    last = owner->runtime->now();
    write_bytes(&tcp, serialize(response, !keep));
    if (!keep) {
      finish();
      return;
    }
    uv_read_start(reinterpret_cast<uv_stream_t*>(&tcp), take_buffer, on_read);
  }

  /// No more answers. The rest of what the other side sends is read and dropped until it closes (or the
  /// sweep does): closing with unread bytes would reset the connection and lose the answer on its way.
  void finish() {
    finished = true;
    auto* req = new uv_shutdown_t;
    if (uv_shutdown(req, reinterpret_cast<uv_stream_t*>(&tcp), [](uv_shutdown_t* r, int) { delete r; }) !=
        0) {
      delete req;
      close();
      return;
    }
    uv_read_start(reinterpret_cast<uv_stream_t*>(&tcp), take_buffer, on_read);
  }

  void dispatch() {
    // Over the socket budget users are sent away; workers and health checks are still answered.
    const bool sent_away = refusing && request.target.starts_with("/submissions");
    const bool keep = http_should_keep_alive(&parser) != 0 && !sent_away && !too_large;
    answering = true;
    // Requests are not pipelined: nothing more is read until this one is answered.
    uv_read_stop(reinterpret_cast<uv_stream_t*>(&tcp));
    if (too_large) {
      answer(error_response({400, "too_large", "The body is larger than 64 KiB.", "", 0}), false);
      return;
    }
    if (sent_away) {
      answer(error_response(
                 {503, "too_many_connections", "This node has no connection to spare; others may.", "", 3}),
             false);
      return;
    }
    std::weak_ptr<Inbound> weak = weak_from_this();
    Request received = std::move(request);
    request = {};
    owner->handler(std::move(received), [weak, keep](Response response) {
      if (auto self = weak.lock(); self && self->answering) self->answer(response, keep);
    });
  }

  static void on_read(uv_stream_t* stream, ssize_t n, const uv_buf_t* buf) {
    auto* self = static_cast<Inbound*>(stream->data);
    if (n == 0) return;
    if (n < 0) {
      self->close();
      return;
    }
    if (self->finished) return;
    const auto keep_alive = self->shared_from_this();
    self->last = self->owner->runtime->now();
    self->begun = true;
    const std::size_t used =
        http_parser_execute(&self->parser, &settings(), buf->base, static_cast<std::size_t>(n));
    if (self->closing || self->answering || self->finished) return;
    if (self->too_large || self->parser.upgrade != 0 || used != static_cast<std::size_t>(n) ||
        HTTP_PARSER_ERRNO(&self->parser) != HPE_OK) {
      self->answering = true;
      uv_read_stop(stream);
      self->answer(self->too_large
                       ? error_response({400, "too_large", "The body is larger than 64 KiB.", "", 0})
                       : error_response({400, "not_http", "This is not a request in HTTP/1.1.", "", 0}),
                   false);
    }
  }

  static const http_parser_settings& settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings x;
      http_parser_settings_init(&x);
      x.on_message_begin = [](http_parser* parser) {
        of(parser).request = {};
        of(parser).too_large = false;
        return 0;
      };
      x.on_url = [](http_parser* parser, const char* at, std::size_t n) {
        of(parser).request.target.append(at, n);
        return of(parser).request.target.size() > 4096 ? 1 : 0;
      };
      x.on_headers_complete = [](http_parser* parser) {
        of(parser).request.method = http_method_str(static_cast<http_method>(parser->method));
        if (parser->content_length != ULLONG_MAX && parser->content_length > kMaxBody) {
          of(parser).too_large = true;
          return 2;  // no body is read: the answer goes out at once
        }
        return 0;
      };
      x.on_body = [](http_parser* parser, const char* at, std::size_t n) {
        Inbound& connection = of(parser);
        if (connection.request.body.size() + n > kMaxBody) {
          connection.too_large = true;
          return 1;
        }
        connection.request.body.append(at, n);
        return 0;
      };
      x.on_message_complete = [](http_parser* parser) {
        of(parser).dispatch();
        return 0;
      };
      return x;
    }();
    return settings;
  }
};

void UvRuntime::listen(const Endpoint& at, int most, Handler handler) {
  auto opened = std::make_unique<Listener>();
  opened->runtime = this;
  opened->address = at;
  opened->max_connections = most;
  opened->handler = std::move(handler);
  uv_tcp_init(&loop_, &opened->tcp);
  opened->tcp.data = opened.get();
  const sockaddr_in addr = address(at);
  int rc = uv_tcp_bind(&opened->tcp, reinterpret_cast<const sockaddr*>(&addr), 0);
  if (rc == 0) {
    rc = uv_listen(
        reinterpret_cast<uv_stream_t*>(&opened->tcp), kListenBacklog, [](uv_stream_t* server, int status) {
          auto* listener = static_cast<Listener*>(server->data);
          if (status < 0) return;
          auto connection = std::make_shared<Inbound>();
          connection->owner = listener;
          uv_tcp_init(&listener->runtime->loop_, &connection->tcp);
          connection->tcp.data = connection.get();
          connection->last = listener->runtime->now();
          http_parser_init(&connection->parser, HTTP_REQUEST);
          connection->parser.data = connection.get();
          connection->place = listener->open_connections.insert(listener->open_connections.end(), connection);
          ++listener->runtime->open_sockets_;
          if (uv_accept(server, reinterpret_cast<uv_stream_t*>(&connection->tcp)) != 0) {
            connection->close();
            return;
          }
          uv_tcp_nodelay(&connection->tcp, 1);
          connection->refusing =
              static_cast<int>(listener->open_connections.size()) > listener->max_connections ||
              listener->runtime->open_sockets_ > listener->runtime->max_sockets_ - kReservedSockets;
          uv_read_start(reinterpret_cast<uv_stream_t*>(&connection->tcp), take_buffer, Inbound::on_read);
        });
  }
  if (rc != 0) {
    // The loop knows the handle: it must live until it is closed.
    uv_close(reinterpret_cast<uv_handle_t*>(&opened->tcp), nullptr);
    closed_.push_back(std::move(opened));
    throw std::runtime_error("cannot listen on " + at + ": " + uv_strerror(rc));
  }
  ++open_sockets_;
  listeners_.push_back(std::move(opened));
}

void UvRuntime::close(const Endpoint& at) {
  const auto it =
      std::find_if(listeners_.begin(), listeners_.end(), [&](const auto& l) { return l->address == at; });
  if (it == listeners_.end()) return;
  uv_close(reinterpret_cast<uv_handle_t*>(&(*it)->tcp), nullptr);
  --open_sockets_;
  const auto open = (*it)->open_connections;
  for (const auto& connection : open) connection->close();
  closed_.push_back(std::move(*it));
  listeners_.erase(it);
}

// ---------------------------------------------------------------- outgoing

struct UvRuntime::Pool {
  struct Call {
    Request request;
    CallHandler done;
  };
  Endpoint address;
  std::list<std::shared_ptr<Outbound>> open_connections;
  std::deque<std::shared_ptr<Call>> waiting;
};

struct UvRuntime::Outbound : std::enable_shared_from_this<Outbound> {
  UvRuntime* owner = nullptr;
  Pool* pool = nullptr;
  uv_tcp_t tcp{};
  uv_connect_t connect_req{};
  http_parser parser{};
  bool connected = false;
  bool closing = false;
  bool too_large = false;
  std::shared_ptr<Pool::Call> call;  ///< null while idle
  Response response;
  Instant idle_since{};
  std::list<std::shared_ptr<Outbound>>::iterator place;

  void close() {
    if (closing) return;
    closing = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp), [](uv_handle_t* handle) {
      auto* self = static_cast<Outbound*>(handle->data);
      UvRuntime* runtime = self->owner;
      Pool* endpoint_pool = self->pool;
      --runtime->open_sockets_;
      endpoint_pool->open_connections.erase(self->place);
      runtime->send_waiting(*endpoint_pool);
    });
  }

  void settle(bool answered) {
    if (!call) return;
    const std::shared_ptr<Pool::Call> pending = std::move(call);
    call.reset();
    CallResult out;
    out.answered = answered;
    out.may_have_arrived = connected;
    out.too_large = too_large;
    if (answered) out.response = std::move(response);
    response = {};
    owner->post([pending, out = std::move(out)]() mutable { pending->done(std::move(out)); });
  }

  void fail() {
    settle(false);
    close();
  }

  void start(std::shared_ptr<Pool::Call> next) {
    call = std::move(next);
    if (connected) transmit();
  }

  void transmit() {
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

  /// Whether a body of so many bytes is wanted. What is not is never held: the connection ends instead.
  bool accepts_call(std::uint64_t bytes) {
    too_large = call && call->request.max_response_bytes > 0 && bytes > call->request.max_response_bytes;
    return !too_large;
  }

  static void on_read(uv_stream_t* stream, ssize_t n, const uv_buf_t* buf) {
    auto* self = static_cast<Outbound*>(stream->data);
    if (n == 0 || self->closing) return;
    const auto keep = self->shared_from_this();
    if (n < 0) {
      if (self->call) http_parser_execute(&self->parser, &settings(), nullptr, 0);
      self->fail();
      return;
    }
    if (!self->call) {  // nothing was asked
      self->close();
      return;
    }
    const std::size_t used =
        http_parser_execute(&self->parser, &settings(), buf->base, static_cast<std::size_t>(n));
    if (self->call && (used != static_cast<std::size_t>(n) || HTTP_PARSER_ERRNO(&self->parser) != HPE_OK)) {
      self->fail();
    }
  }

  static const http_parser_settings& settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings x;
      http_parser_settings_init(&x);
      x.on_headers_complete = [](http_parser* parser) {
        const bool told = parser->content_length != ULLONG_MAX;
        return told && !static_cast<Outbound*>(parser->data)->accepts_call(parser->content_length) ? -1 : 0;
      };
      x.on_body = [](http_parser* parser, const char* at, std::size_t n) {
        auto* self = static_cast<Outbound*>(parser->data);
        if (!self->accepts_call(self->response.body.size() + n)) return 1;
        self->response.body.append(at, n);
        return 0;
      };
      x.on_message_complete = [](http_parser* parser) {
        auto* self = static_cast<Outbound*>(parser->data);
        self->response.status = static_cast<int>(parser->status_code);
        const bool keep =
            http_should_keep_alive(parser) != 0 && self->call && !self->call->request.close_after;
        self->settle(true);
        self->idle_since = self->owner->now();
        if (!keep) {
          self->close();
        } else {
          // Not at once: the parser is still inside this callback and a new call would reset it.
          self->owner->post([r = self->owner, pool = self->pool] { r->send_waiting(*pool); });
        }
        return 0;
      };
      return x;
    }();
    return settings;
  }
};

void UvRuntime::send_waiting(Pool& pool) {
  while (!pool.waiting.empty()) {
    const auto idle = std::find_if(pool.open_connections.begin(), pool.open_connections.end(),
                                   [](const auto& o) { return !o->closing && !o->call && o->connected; });
    if (idle != pool.open_connections.end()) {
      auto pending = pool.waiting.front();
      pool.waiting.pop_front();
      (*idle)->start(std::move(pending));
      continue;
    }
    if (static_cast<int>(pool.open_connections.size()) >= pool_) return;
    auto pending = pool.waiting.front();
    pool.waiting.pop_front();
    const sockaddr_in addr = address(pool.address);
    if (open_sockets_ >= max_sockets_ || addr.sin_family != AF_INET) {
      post([pending] { pending->done(CallResult{false, false, {}}); });
      continue;
    }
    auto out = std::make_shared<Outbound>();
    out->owner = this;
    out->pool = &pool;
    uv_tcp_init(&loop_, &out->tcp);
    out->tcp.data = out.get();
    ++open_sockets_;
    out->place = pool.open_connections.insert(pool.open_connections.end(), out);
    out->call = std::move(pending);
    const int rc = uv_tcp_connect(&out->connect_req, &out->tcp, reinterpret_cast<const sockaddr*>(&addr),
                                  [](uv_connect_t* req, int status) {
                                    auto* self = static_cast<Outbound*>(req->handle->data);
                                    if (self->closing) return;
                                    if (status != 0) {
                                      self->fail();
                                      return;
                                    }
                                    self->connected = true;
                                    uv_tcp_nodelay(&self->tcp, 1);
                                    uv_read_start(reinterpret_cast<uv_stream_t*>(&self->tcp), take_buffer,
                                                  Outbound::on_read);
                                    if (self->call) self->transmit();
                                  });
    if (rc != 0) out->fail();
  }
}

void UvRuntime::call(const Endpoint& endpoint, Request request, Micros timeout, CallHandler done) {
  auto& slot = pools_[endpoint];
  if (!slot) {
    slot = std::make_unique<Pool>();
    slot->address = endpoint;
  }
  Pool* pool = slot.get();
  auto call = std::make_shared<Pool::Call>(Pool::Call{std::move(request), std::move(done)});
  pool->waiting.push_back(call);
  std::weak_ptr<Pool::Call> weak = call;
  after(timeout, [this, pool, weak] {
    const auto pending = weak.lock();
    if (!pending) return;
    for (const auto& connection : pool->open_connections) {
      if (connection->call == pending) {
        connection->fail();
        return;
      }
    }
    std::erase(pool->waiting, pending);
    pending->done(CallResult{false, false, {}});
  });
  send_waiting(*pool);
}

// ---------------------------------------------------------------- loop

UvRuntime::UvRuntime(int max_sockets, int pool)
    : random_(std::random_device{}()), max_sockets_(max_sockets), pool_(pool) {
  uv_loop_init(&loop_);
  // Mail is delivered after every round of the loop's events; the idle handle keeps the loop from sleeping
  // while some is left.
  uv_check_init(&loop_, &posted_check_);
  posted_check_.data = this;
  uv_check_start(&posted_check_, [](uv_check_t* h) { static_cast<UvRuntime*>(h->data)->drain(); });
  uv_idle_init(&loop_, &posted_idle_);
  posted_idle_.data = this;
  after(from_seconds(5), [this] { sweep(); });
}

UvRuntime::~UvRuntime() = default;

void UvRuntime::run() {
  drain();
  uv_run(&loop_, UV_RUN_DEFAULT);
}

void UvRuntime::drain() {
  if (draining_) return;
  draining_ = true;
  while (!posted_.empty()) {
    auto action = std::move(posted_.front());
    posted_.pop_front();
    action();
  }
  draining_ = false;
  uv_idle_stop(&posted_idle_);
}

void UvRuntime::post(std::function<void()> action) {
  posted_.push_back(std::move(action));
  if (!draining_) uv_idle_start(&posted_idle_, [](uv_idle_t*) {});
}

void UvRuntime::after(Micros delay, std::function<void()> action) {
  struct Timer {
    uv_timer_t handle{};
    std::function<void()> f;
  };
  auto* t = new Timer;
  t->f = std::move(action);
  uv_timer_init(&loop_, &t->handle);
  t->handle.data = t;
  uv_update_time(&loop_);
  const std::int64_t ms = std::max<std::int64_t>(0, (delay.count() + 999) / 1000);
  uv_timer_start(
      &t->handle,
      [](uv_timer_t* h) {
        auto* timer = static_cast<Timer*>(h->data);
        timer->f();
        uv_close(reinterpret_cast<uv_handle_t*>(h),
                 [](uv_handle_t* x) { delete static_cast<Timer*>(x->data); });
      },
      static_cast<std::uint64_t>(ms), 0);
}

Instant UvRuntime::now() const {
  return Instant{Micros{static_cast<std::int64_t>(uv_hrtime() / 1000)}};
}

WallTime UvRuntime::wall_time() const {
  return WallTime{std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch())};
}

void UvRuntime::sweep() {
  const Instant t = now();
  for (const auto& listener : listeners_) {
    std::vector<std::shared_ptr<Inbound>> old;
    for (const auto& connection : listener->open_connections) {
      if (!connection->answering && t - connection->last > (connection->finished ? kInboundLinger
                                                            : connection->begun  ? kInboundStall
                                                                                 : kInboundIdle))
        old.push_back(connection);
    }
    for (const auto& connection : old) connection->close();
  }
  for (const auto& [at, pool] : pools_) {
    std::vector<std::shared_ptr<Outbound>> old;
    for (const auto& connection : pool->open_connections) {
      if (!connection->call && connection->connected && t - connection->idle_since > from_seconds(30))
        old.push_back(connection);
    }
    for (const auto& connection : old) connection->close();
  }
  after(from_seconds(5), [this] { sweep(); });
}

}  // namespace wrenusher::net
