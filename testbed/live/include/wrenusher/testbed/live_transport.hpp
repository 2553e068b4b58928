#pragma once
// Package lab live: the lab's models in real time, on sockets of the loopback interface, with real
// controllers as children. It owns the ports, the children and their files; it may depend on the models and
// on net.

#include "wrenusher/net/net.hpp"
#include "wrenusher/testbed/transport.hpp"

namespace wrenusher::testbed {

/// Sockets of a process of the lab, which holds both ends of most connections.
inline constexpr int kTestbedSockets = 60000;
/// Connections that a process of the lab keeps to one address: a report of every machine at once, none of
/// which waits for another's connection.
inline constexpr int kTestbedPool = 12000;

/// What went over the links of one kind, bodies alone: HTTP's heads are not counted.
struct Traffic {
  std::uint64_t requests = 0;
  std::uint64_t request_bytes = 0;
  std::uint64_t response_bytes = 0;
};

class LiveTransport : public Transport {
 public:
  /// By "who asks>whom path", parties by their role: "worker>controller /hello", "c0>state /multi".
  const std::map<std::string, Traffic>& traffic() const { return traffic_; }

  /// Parties that ask for an address get ports from `first_port` on.
  LiveTransport(net::UvRuntime& runtime, int first_port) : runtime_(runtime), next_port_(first_port) {}

  Instant now() const override { return runtime_.now(); }
  void at(Micros delay, std::function<void()> f) override { runtime_.after(delay, std::move(f)); }
  std::mt19937_64& random() override { return runtime_.random(); }
  void send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
            CallHandler done) override;
  std::optional<Endpoint> serve(const std::string& who, Handler handler) override;
  void unserve(const Endpoint& at) override;

  /// Throws std::runtime_error where the port is taken. Whoever asks there is believed to be `from`.
  void serve_at(const Endpoint& at, const std::string& who, const std::string& from, Handler handler);
  /// Where a party that is no model of ours listens.
  void name(const Endpoint& at, const std::string& who) { names_[at] = who; }
  /// The links are whole again, and what was held is delivered.
  void heal();
  Links links;

 private:
  Traffic& traffic_of(const std::string& from, const std::string& to, const std::string& target);

  net::UvRuntime& runtime_;
  int next_port_;
  std::map<std::string, Traffic> traffic_;
  std::map<Endpoint, std::string> names_;
  std::vector<std::function<void()>> held_messages_;
};

/// "127.0.0.1:port".
Endpoint loopback(int port);

}  // namespace wrenusher::testbed
