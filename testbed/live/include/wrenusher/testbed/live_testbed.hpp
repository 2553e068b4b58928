#pragma once
// A lab on loopback: the models, and real controllers as children that are started again when they end.

#include <uv.h>

#include <stdexcept>

#include "wrenusher/testbed/cloud.hpp"
#include "wrenusher/testbed/kv_service.hpp"
#include "wrenusher/testbed/live_transport.hpp"
#include "wrenusher/testbed/users.hpp"

namespace wrenusher::testbed {

struct TestbedOptions {
  Site site;
  std::string program;  ///< path of the program
  std::string data;     ///< folder that outlives the lab; empty: one of its own that goes with it
  int controllers = 3;
  int port = 7400;
  double speed = 1;
  std::string tunables;  ///< lines of the operators' own settings (YAML); empty: none but the topology
};

/// What was asked of a lab cannot be done; what() is one line.
struct TestbedError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A program of the lab's that is called with this as its first argument hands the rest to run_child.
inline constexpr const char* kChildFlag = "--child";
/// Becomes the program that `args` names, to end when its parent does. Returns only on failure.
int run_child(char** args);

/// A folder that outlives the program when it was asked for by name, and goes with its owner when it was not,
/// also where the owner fails half made.
class Folder {
 public:
  /// Throws TestbedError.
  explicit Folder(const std::string& asked);
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool stays_;
};

class LiveTestbed {
 public:
  /// Throws TestbedError (a port in use, no such program) and StorageDamaged.
  LiveTestbed(net::UvRuntime& runtime, TestbedOptions options);
  ~LiveTestbed();
  LiveTestbed(const LiveTestbed&) = delete;
  LiveTestbed& operator=(const LiveTestbed&) = delete;

  /// Where users ask, through the balancer.
  Endpoint client_endpoint() const { return loopback(options_.port); }
  Endpoint control() const { return loopback(options_.port + 1); }
  Endpoint client(int controller) const;
  std::string log_of(int controller) const;
  const TestbedOptions& options() const { return options_; }

  /// The controller that leads, by the state service's record; empty when none does.
  std::string leader() const;
  bool ready() const { return !leader().empty(); }
  std::uint64_t terms() const;
  /// Ends of controllers so far, asked for or not.
  int exit_count() const { return exit_count_; }

  /// Troubles and work by hand: "kill c0", "cut c0 state", "heal", "outage state 10s", "take m-3 20s", "die
  /// m-3", "hang m-3 10s", "submit builds 3", "withdraw req-100001". Says what was done; throws TestbedError.
  std::string perform(const std::vector<std::string>& words);
  /// A new job of one of the site's classes; gives its name.
  std::string submit(const std::string& queue);
  void submit(const SimulatedJob& job) { users_.submit(job); }
  void cancel(const std::string& job_id) { users_.cancel(job_id); }

  const Users& users() const { return users_; }
  Users& users() { return users_; }
  Balancer& balancer() { return balancer_; }
  Checker& checker() { return checker_; }
  const Machines& machines() const { return machines_; }
  Machines& machines() { return machines_; }
  const KvService& kv_service() const { return kv_service_; }
  const std::map<std::string, Traffic>& traffic() const { return transport_.traffic(); }
  /// The process of a controller; nothing while none runs.
  std::optional<int> pid(int controller) const;
  /// Replaces the topology that all controllers read.
  void write_topology(const std::string& text);
  Value status() const;

  /// Ends the children and removes what is not to be kept; `done` when nothing is left.
  void stop(std::function<void()> done);

 private:
  struct Child;
  std::string settings_json(int i) const;
  std::string topology_path() const;
  std::string tunables_path() const;
  std::string tunables_text() const;
  void write_operators_files();
  void open_ports();
  void start_child(int i);
  void child_ended(Child& c);
  void serve_user(const Request& r, const Responder& answer);
  void serve_control(const Request& r, const Responder& answer);
  void track_user(const Request& r, const runtime::CallResult& o, Instant asked);
  int controller(const std::string& name) const;

  net::UvRuntime& runtime_;
  TestbedOptions options_;
  Folder folder_;
  Checker checker_;
  LiveTransport transport_;
  KvService kv_service_;
  Machines machines_;
  Cloud cloud_;
  Balancer balancer_;
  Users users_;
  std::vector<std::unique_ptr<Child>> children_;
  int jobs_made_ = 0;
  int exit_count_ = 0;
  bool stopping_ = false;
  std::function<void()> stopped_;
};

}  // namespace wrenusher::testbed
