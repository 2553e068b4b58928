#pragma once
// Package testbed/live: runs the testbed's emulated services in real time on loopback sockets, with real
// controllers as child processes. It owns the ports, the child processes and their files; it may depend on
// testbed (the emulated services) and net.

#include "wrenusher/net/net.hpp"
#include "wrenusher/testbed/transport.hpp"

namespace wrenusher::testbed {

/// Maximum number of sockets of a testbed process, which holds both ends of most connections.
inline constexpr int kTestbedSockets = 60000;
/// Maximum number of connections that a testbed process keeps to one address. All machines may report at the
/// same time without waiting for each other's connections.
inline constexpr int kTestbedPool = 12000;

/// Requests and bytes sent over the links of one kind. Only bodies are counted, no HTTP headers.
struct Traffic {
  std::uint64_t requests = 0;
  std::uint64_t request_bytes = 0;
  std::uint64_t response_bytes = 0;
};

class LiveTransport : public Transport {
 public:
  /// Returns the traffic by "sender>receiver path". Parties are named by role, but a controller that sends is
  /// named itself: "worker>controller /hello", "c0>state /multi".
  const std::map<std::string, Traffic>& traffic() const { return traffic_; }

  /// Parties served with `serve` get ports from `first_port` upwards.
  LiveTransport(net::UvRuntime& runtime, int first_port) : runtime_(runtime), next_port_(first_port) {}

  Instant now() const override { return runtime_.now(); }
  void at(Micros delay, std::function<void()> f) override { runtime_.after(delay, std::move(f)); }
  std::mt19937_64& random() override { return runtime_.random(); }
  void send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
            CallHandler done) override;
  std::optional<Endpoint> serve(const std::string& who, Handler handler) override;
  void unserve(const Endpoint& at) override;

  /// Serves `who` at this address; every request that arrives there is attributed to `from`. Throws
  /// std::runtime_error if the port is in use.
  void serve_at(const Endpoint& at, const std::string& who, const std::string& from, Handler handler);
  /// Registers the address of a party that this transport does not serve.
  void name(const Endpoint& at, const std::string& who) { names_[at] = who; }
  /// Restores all links and delivers the requests that were held.
  void heal();
  Links links;

 private:
  Traffic& traffic_of(const std::string& from, const std::string& to, const std::string& target);

  net::UvRuntime& runtime_;
  int next_port_;
  std::map<std::string, Traffic> traffic_;
  std::map<Endpoint, std::string> names_;
  std::vector<std::function<void()>> held_requests_;
};

/// Returns "127.0.0.1:port".
Endpoint loopback(int port);

}  // namespace wrenusher::testbed
