#pragma once
// Stand-ins of the second review: everything that three controllers talk to, on loopback and the real clock.
// One case program holds the state service (the testbed's model), a cloud, workers, users with their load
// balancer, and relays that stand for the network between two parties; the controllers are real processes,
// started with the deploy file's command.

#include <sys/types.h>
#include <uv.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/net/net.hpp"
#include "wrenusher/testbed/kv_service.hpp"
#include "wrenusher/value/value.hpp"

namespace stand {

using wrenusher::runtime::CallHandler;
using wrenusher::runtime::CallResult;
using wrenusher::runtime::Endpoint;
using wrenusher::runtime::Request;
using wrenusher::runtime::Responder;
using wrenusher::runtime::Response;
using wrenusher::time::from_seconds;
using wrenusher::time::Instant;
using wrenusher::time::Micros;
using wrenusher::time::to_seconds;
using wrenusher::value::Value;

/// Returns "127.0.0.1:port" with a port that is free now.
Endpoint free_address();

/// The file record.txt: what was sent, answered and run, a line each, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void line(const std::string& text);
  double seconds() const;

 private:
  std::ofstream out_;
  std::uint64_t start_ = uv_hrtime();
};

/// A machine type of the catalog.
struct Flavor {
  std::string name;
  double cores = 0;
  double cards = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double pull_gb_per_s = 0;
  double rate = 0;
  double low_price = 0;
  double boot_s = 0;
  std::vector<std::string> sites;
};

/// The figures of a deployment, from its page.
struct Site {
  std::vector<std::string> zones;
  nlohmann::json teams;
  nlohmann::json objectives = nlohmann::json::array();
  double report_s = 0.8;
  double lease_s = 11;
  double gang_wait_s = 30;
  double gang_peer_s = 4;
  double cancel_s = 36;
  double state_rps = 150;
  double state_write_rps = 20;
  double value_kb = 16;
  std::size_t txn_ops = 16;
  double cloud_rps = 4;
  double list_lag_s = 6;
  int max_sockets = 600;
  double memory_mb = 40;
  double core_share = 0.08;
  double clock_error_ms = 5;
  std::vector<Flavor> flavors;
};
Site soleil_armor();
Site ciel_armor();
Site fragua_libre();

/// A relay: accepts TCP connections and passes their bytes on. While it holds, no byte passes in either
/// direction and connections get no answer, like a link whose packets are held back; afterwards they are
/// delivered in order.
class Relay {
 public:
  using Choose = std::function<Endpoint()>;
  Relay(uv_loop_t* loop, Choose choose);
  const Endpoint& address() const { return address_; }
  void hold(bool on);
  /// Resets all connections that lead to this address; all of them if it is empty.
  void reset(const Endpoint& to = {});
  /// Number of open connections to this address.
  int open(const Endpoint& to) const;

  struct Link;

 private:
  friend struct Link;
  void accept();
  uv_loop_t* loop_;
  Choose choose_;
  Endpoint address_;
  uv_tcp_t listener_{};
  bool holding_ = false;
  std::set<Link*> links_;
};

class World;

/// The load balancer of the users: works on connections, probes GET /ready, as PROTOCOL says.
class Balancer {
 public:
  Balancer(World& world, std::vector<Endpoint> nodes);
  const Endpoint& address() const { return relay_.address(); }
  bool healthy(std::size_t node) const { return nodes_[node].healthy; }

 private:
  struct Node {
    Endpoint address;
    bool healthy = false;
    bool ever_healthy = false;
    std::vector<bool> probes;
    Instant removed{};
    Instant removed_until{};
    bool reset_due = false;
    Micros pause = from_seconds(3);
  };
  void probe(std::size_t i);
  void record_probe(std::size_t i, bool good);
  Endpoint choose() const;
  World& world_;
  std::vector<Node> nodes_;
  Relay relay_;
};

/// One user's connection: it stays open until one side closes it; then the next request opens a new one.
class UserConnection {
 public:
  UserConnection(World& world, const Endpoint& to);
  void send(const std::string& method, const std::string& target, const std::string& body, double timeout_s,
            CallHandler done);

 private:
  World& world_;
  Endpoint to_;
};

/// The state service, the controllers and the clock of a case.
class World : public wrenusher::testbed::Transport {
 public:
  World(std::string program, std::string folder, const std::string& record_file, Site site);
  ~World() override;

  wrenusher::net::UvRuntime runtime{30000, 20000};
  Record record;
  Site site;

  /// Starts controller `i` as "program --config file". Its log is in the temporary folder.
  void start_controller(int i);
  void signal_controller(int i, int signal);
  pid_t pid(int i) const { return pids_[static_cast<std::size_t>(i)]; }
  bool runs(int i) const { return pids_[static_cast<std::size_t>(i)] > 0; }
  std::size_t controllers() const { return pids_.size(); }
  const Endpoint& client(int i) const { return client_[static_cast<std::size_t>(i)]; }
  std::string name(int i) const { return "worker-" + std::to_string(i); }
  /// Relays between controller `i` and the state service, the cloud, and peer `k`.
  Relay& state_link(int i) { return *state_links_[static_cast<std::size_t>(i)]; }
  Relay& peer_link(int i, int k) { return *peer_links_.at({i, k}); }
  /// The controller that the record `leader` names; -1: none.
  int leader() const;
  wrenusher::testbed::KvService& state() { return *state_; }

  /// Called with requests of controller `i` to the cloud; set before the controllers start.
  std::function<void(int i, const Request&, const Responder&)> cloud;

  void after(double seconds, std::function<void()> f) { runtime.after(from_seconds(seconds), std::move(f)); }
  void call(const Endpoint& to, const std::string& method, const std::string& target, const std::string& body,
            double timeout_s, CallHandler done) {
    runtime.call(to, {method, target, body}, from_seconds(timeout_s), std::move(done));
  }
  /// Runs until `finish`; returns its code.
  int run();
  void finish(int code);

  // Transport, for the model of the state service.
  Instant now() const override { return runtime.now(); }
  void at(Micros delay, std::function<void()> f) override { runtime.after(delay, std::move(f)); }
  std::mt19937_64& random() override { return runtime.random(); }
  void send(const std::string&, const Endpoint&, Request, Micros, CallHandler) override {}
  std::optional<Endpoint> serve(const std::string&, Handler) override { return std::nullopt; }
  void unserve(const Endpoint&) override {}

 private:
  void write_settings();
  std::string program_;
  std::string folder_;
  std::vector<pid_t> pids_;
  std::vector<Endpoint> client_;
  std::vector<Endpoint> peer_;
  std::vector<Endpoint> cloud_;
  std::unique_ptr<wrenusher::testbed::KvService> state_;
  std::vector<std::unique_ptr<Relay>> state_links_;
  std::map<std::pair<int, int>, std::unique_ptr<Relay>> peer_links_;
  int code_ = 2;
};

std::string status_of(const CallResult& result);
/// Returns the text field of a body; empty: none.
std::string text_of(const Value& value, const char* field);
std::string number(double value);

/// Reads the arguments of a case: PROGRAM FOLDER RECORD; the environment's TROUBLE=0 leaves the disruption
/// out.
struct Arguments {
  std::string program;
  std::string folder;
  std::string record;
  bool trouble = true;
};
Arguments arguments(int argc, char** argv);

}  // namespace stand
