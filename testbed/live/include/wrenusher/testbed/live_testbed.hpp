#pragma once
// A testbed on loopback: emulated services, machines and users in real time, and real controllers as child
// processes, which are restarted when they exit.

#include <uv.h>

#include <stdexcept>

#include "wrenusher/testbed/cloud.hpp"
#include "wrenusher/testbed/kv_service.hpp"
#include "wrenusher/testbed/live_transport.hpp"
#include "wrenusher/testbed/users.hpp"

namespace wrenusher::testbed {

struct TestbedOptions {
  Site site;
  std::string program;  ///< path of the controller's executable
  std::string data;     ///< folder that is kept; empty: a temporary one, removed at the end
  int controllers = 3;
  int port = 7400;       ///< first of the ports used
  double speed = 1;      ///< factor by which machines boot, fetch and work faster
  std::string tunables;  ///< operators' tunables (YAML); empty: only the topology, if there is one
};

/// Reports a request that a testbed cannot carry out; what() is one line.
struct TestbedError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// First argument with which the testbed calls its own executable; that process passes the remaining
/// arguments to run_child.
inline constexpr const char* kChildFlag = "--child";
/// Replaces this process with the program that `args` names; the kernel kills it when its parent exits.
/// Returns only on failure.
int run_child(char** args);

/// A folder that is kept if the caller named it. Otherwise it is a temporary folder that the destructor
/// removes, also if the constructor of its owner throws.
class Folder {
 public:
  /// Throws TestbedError.
  explicit Folder(const std::string& requested_path);
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool keep_;
};

class LiveTestbed {
 public:
  /// Throws TestbedError (for example, port in use or program missing) and StorageDamaged.
  LiveTestbed(net::UvRuntime& runtime, TestbedOptions options);
  ~LiveTestbed();
  LiveTestbed(const LiveTestbed&) = delete;
  LiveTestbed& operator=(const LiveTestbed&) = delete;

  /// Returns the address to which users send requests; they pass through the balancer.
  Endpoint client_endpoint() const { return loopback(options_.port); }
  Endpoint control() const { return loopback(options_.port + 1); }
  Endpoint client(int controller) const;
  std::string log_of(int controller) const;
  const TestbedOptions& options() const { return options_; }

  /// Returns the leader's name from its record in the state service; empty if there is none.
  std::string leader() const;
  bool ready() const { return !leader().empty(); }
  std::uint64_t terms() const;
  /// Returns how many controller processes have exited so far, killed on request or not.
  int exit_count() const { return exit_count_; }

  /// Injects a fault, or submits, cancels or lists jobs: "kill c0", "cut c0 state", "heal", "outage state
  /// 10s", "take m-3 20s", "die m-3", "hang m-3 10s", "submit builds 3", "withdraw req-100001", "jobs".
  /// Returns a line that describes what was done, or the list; throws TestbedError.
  std::string perform(const std::vector<std::string>& words);
  /// Submits a new job of one of the site's classes and returns its ID. Throws TestbedError if the
  /// class is unknown.
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
  /// Returns the process ID of a controller; nullopt while it is not running.
  std::optional<int> pid(int controller) const;
  /// Replaces the topology file that all controllers read. Throws TestbedError if it cannot be written.
  void write_topology(const std::string& text);
  Value status() const;

  /// Kills all controllers and calls `done` when none is running any more.
  void stop(std::function<void()> done);

 private:
  struct Child;
  class CommandWords;
  std::string topology_path() const;
  std::string tunables_path() const;
  std::string tunables_text() const;
  void write_operators_files();
  void open_ports();
  void start_child(int controller);
  void child_exited(Child& child);
  void serve_user(const Request& request, const Responder& respond);
  void serve_control(const Request& request, const Responder& respond);
  void check_response(const Request& request, const runtime::CallResult& result, Instant sent_at);
  int controller_index(const std::string& name) const;
  const std::string& machine_in(const CommandWords& words) const;
  std::string perform_kill(const CommandWords& words);
  std::string perform_cut(const CommandWords& words);
  void cut_from_all(const std::string& name, LinkCut cut);
  std::string perform_heal(const CommandWords& words);
  std::string perform_outage(const CommandWords& words);
  std::string perform_take(const CommandWords& words);
  std::string perform_die(const CommandWords& words);
  std::string perform_hang(const CommandWords& words);
  std::string perform_submit(const CommandWords& words);
  std::string perform_withdraw(const CommandWords& words);
  std::string perform_jobs(const CommandWords& words);

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
  int submitted_jobs_ = 0;
  int exit_count_ = 0;
  bool stopping_ = false;
  std::function<void()> on_stopped_;
};

}  // namespace wrenusher::testbed
