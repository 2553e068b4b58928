// Stand-ins for what the controllers talk to, for the cases in this folder: a state service, a cloud, workers,
// users and the links between them, on loopback and the real clock. They follow PROTOCOL. The controllers are
// separate processes, started as the deploy file says.
#pragma once

#include <sys/types.h>
#include <uv.h>

#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/net/net.hpp"
#include "wrenusher/value/value.hpp"

namespace stand {

using wrenusher::runtime::CallResult;
using wrenusher::runtime::Request;
using wrenusher::runtime::Responder;
using wrenusher::runtime::Response;
using wrenusher::value::Value;

/// A machine type of the cloud.
struct Flavor {
  std::string name;
  double cores = 0;
  double memory_gb = 0;
  double rate = 1;
  double low_price = 0.3;
  double cache_gb = 40;
  double pull_gb_per_s = 0.3;
  double boot_s = 20;
  std::vector<std::string> sites;
};

struct Team {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
};

/// Settings of a deployment, in the units of the settings file.
struct Site {
  std::vector<std::string> zones;             ///< one controller after the other takes one of them in turn
  int controllers = 3;
  double restart_s = 6;                       ///< how long an ended controller is away
  double memory_mb = 136;                     ///< a controller that holds more is ended; 0: never
  double core_share = 0.12;
  int max_sockets = 2500;
  double report_s = 3, lease_s = 24, cancel_s = 54, gang_wait_s = 30, gang_peer_s = 4;
  double state_rps = 150, state_write_rps = 30, value_kb = 16;
  int txn_ops = 24;
  double cloud_rps = 3, list_lag_s = 10;
  std::vector<Flavor> flavors;
  std::vector<Team> teams;
};

/// A job as its user describes it.
struct Job {
  std::string ref;
  std::string queue = "compilacion";
  std::string owner;
  std::string shape = "sweep";
  std::string urgency = "normal";
  std::uint64_t units = 1;
  double cores = 1, memory_gb = 1;
  std::string bundle = "img-1";
  double image_gb = 0.1;
  double run_s = 10;       ///< real run time; the owner's estimate is the same unless set
  double expected_s = -1;  ///< -1: as run_s
  double vary = 0;         ///< a task's run time differs by up to this part of run_s
  [[nodiscard]] Value describe() const;
};

/// Links that can be cut. A request over a cut link arrives nowhere and gets no answer.
struct Links {
  std::set<int> state;                   ///< controllers cut from the state service
  std::set<int> cloud;                   ///< controllers cut from the cloud
  bool cloud_trouble = false;            ///< the cloud's interface is down: it answers 503 `trouble`
  std::set<std::pair<int, int>> peers;   ///< pairs of controllers (both orders)
  std::set<int> workers;                 ///< controllers cut from the workers
  std::set<int> users;                   ///< controllers cut from the users
  std::set<int> refused;                 ///< controllers that the state service answers with 503
  double state_delay = 0;                ///< how long the state service takes for a request, at most
  double late_writes = 0;                ///< share of transactions without an answer, carried out 2 to 12 s later
  double lost_answers = 0;               ///< share of transactions carried out at once, their answer is lost
  double late_reports = 0;               ///< share of reports of which a copy arrives again later
  std::set<std::string> deaf;            ///< machines whose answers and direct commands are lost
  std::set<std::string> mute;            ///< machines that reach no controller
};

struct Task {
  std::string ref;
  std::uint32_t number = 0;
  std::uint64_t attempt = 0;
  std::string status;  ///< pulling, gathering, running, saving, ended
  std::string cause;
  bool kept = false;
  double since = 0;
  double ends_at = 0;
};

struct Worker {
  std::string host, addr, flavor, site;
  bool standby = false;
  bool gone = false;
  double hung_until = 0;
  std::uint64_t tenure = 1, serial = 0, epoch = 0;
  double lease_from = 0, next_report = 0, last_sent = -1;
  double token_changed = -100;
  bool in_flight = false;
  int node = 0;
  std::map<std::string, double> images;  ///< image -> when it is complete
  std::vector<Task> tasks;
};

class Stand {
 public:
  Stand(Site site, const std::string& folder);
  ~Stand();
  Stand(const Stand&) = delete;

  // ---- time and record
  [[nodiscard]] double now() const;  ///< seconds since the start
  void run(double seconds);          ///< runs the loop
  bool run_until(const std::function<bool()>& done, double seconds);
  void note(const char* format, ...) __attribute__((format(printf, 2, 3)));

  // ---- the controllers
  void start_controllers();
  void start(int controller);
  void kill(int controller);                    ///< it comes back after restart_s
  void stop_process(int controller, bool stop);  ///< SIGSTOP and SIGCONT
  [[nodiscard]] int leader() const;             ///< by the record in the state service; -1: none
  [[nodiscard]] double rss_mb(int controller) const;
  [[nodiscard]] pid_t pid(int controller) const { return pids_[static_cast<std::size_t>(controller)]; }
  int ended_for_memory = 0;
  int ended_by_itself = 0;

  // ---- the platform
  Worker& add_worker(const std::string& flavor, const std::string& site, bool standby = false);
  [[nodiscard]] std::vector<Worker*> workers();
  Links links;
  std::uint64_t max_response_to_worker = 0;  ///< in the JSON form; 0: a worker takes any size
  bool strict_report_size = false;

  // ---- users
  struct Answer {
    bool answered = false;
    int status = 0;
    std::string state;
    Value body;
    double sent = 0, got = 0;
  };
  Answer ask(int node, const std::string& method, const std::string& path, Value body = {}, double timeout = 5);
  void ask_later(int node, const std::string& method, const std::string& path, Value body, double timeout,
                 std::function<void(const Answer&)> done);
  Answer submit(int node, const Job& job);
  /// Submits as PROTOCOL says: repeats for up to 60 s, at the nodes in turn.
  Answer submit_until_accepted(const Job& job, int first_node = 0);
  Answer poll(int node, const std::string& ref) { return ask(node, "GET", "/submissions/" + ref, {}, 2); }
  Answer withdraw(int node, const std::string& ref) {
    return ask(node, "POST", "/submissions/" + ref + "/withdraw", Value(Value::Map{}));
  }

  // ---- connections of the workers that can be reset: they go through a proxy that passes bytes on as they are
  void start_proxy();
  /// The cut of `links.workers` that resets: connections end at once, new ones are refused.
  void reset_workers(int controller, bool on);
  [[nodiscard]] int reports_waiting(int controller) const;  ///< passed on and not answered yet
  int connections_reset = 0;   ///< by the cut
  int reset_while_served = 0;  ///< of these, with a report at the controller that was not answered yet

  // ---- what was seen
  struct Run {
    std::string host, ref;
    std::uint32_t number = 0;
    std::uint64_t attempt = 0;
    std::uint64_t epoch = 0;
    int from = 0;              ///< the controller that sent it
    double report_sent = 0;    ///< when the worker sent the report that this command answers
    double at = 0;
    bool executed = false;
  };
  std::vector<Run> runs;
  std::function<void(const Worker&, const Task&)> on_start;
  std::uint64_t starts = 0, completed = 0, leases_lost = 0, refused_reports = 0, oversized_responses = 0;
  std::vector<std::string> broken;  ///< ran_twice, quota
  std::map<std::string, int> cloud_asked;  ///< requests to the cloud by path and controller
  std::size_t largest_response = 0, largest_report = 0;
  std::map<std::string, double> withdrawn_at;  ///< when a user was first told so
  double random() { return static_cast<double>(rt_.random()() % 1000000) / 1e6; }
  void after(double seconds, std::function<void()> f);
  void describe_job(const Job& job) { jobs_[job.ref] = job; }
  std::map<std::string, std::set<std::uint32_t>> still_there() const;
  [[nodiscard]] std::size_t done_of(const std::string& ref) const;
  [[nodiscard]] std::size_t committed_units(const std::string& ref) const;
  [[nodiscard]] const Value* stored(const std::string& key) const;

 private:
  struct Entry {
    Value value;
    std::uint64_t stamp = 0, hold = 0;
  };
  struct Past {
    std::uint64_t stamp;
    std::string key;
    std::optional<Value> value;
  };
  struct Watch {
    int from_node;
    std::string prefix;
    std::uint64_t from;
    double until;
    Responder answer;
  };
  struct Hold {
    double life, ends;
  };
  void serve_state(int node, const Request& request, const Responder& answer);
  void serve_state_now(int node, const Request& request, const Responder& answer);
  void transact(const Value& body, const Responder& answer);
  void end_hold(std::uint64_t id);
  void answer_watches();
  void serve_cloud(int node, const Request& request, const Responder& answer);
  void serve_worker(const std::string& host, const Request& request, const Responder& answer);
  void tick();
  void step(Worker& w);
  void report(Worker& w);
  void on_answer(const std::string& host, std::uint64_t tenure, double sent, int node, const CallResult& result);
  void execute(Worker& w, const Value& orders, int from, double report_sent, std::uint64_t epoch);
  void start_task(Worker& w, const std::string& ref, std::uint32_t number, std::uint64_t attempt);
  void exit_task(Worker& w, Task& t, const std::string& cause);
  void drop_tasks(Worker& w);
  void left(const Worker& w, const Task& t);
  Value describe(Worker& w);
  Worker* find(const std::string& host);
  std::string settings(int controller) const;
  void listen(std::string& endpoint, const wrenusher::net::UvRuntime::Handler& handler);
  struct Pipe;
  struct Port {
    Stand* stand = nullptr;
    int node = 0;
    uv_tcp_t tcp{};
  };
  void accept(Port& port);
  std::set<Pipe*> pipes_;
  std::vector<std::string> proxy_;  ///< by controller; empty: workers connect to it directly
  std::vector<std::unique_ptr<Port>> ports_;
  std::set<int> resetting_;
  void check_memory();
  void reap_children();

 public:
  Site site_;  ///< may be changed while it runs: the state service takes its limits from here

 private:
  std::string folder_, temp_;
  wrenusher::net::UvRuntime rt_;
  wrenusher::time::Instant started_;
  FILE* record_ = nullptr;
  std::vector<std::string> client_, peer_, state_, cloud_;
  std::vector<std::vector<std::string>> relay_;  ///< [from][to]
  std::vector<pid_t> pids_;
  std::vector<double> back_at_;
  bool stopping_ = false;
  // state service
  std::map<std::string, Entry> keys_;
  std::deque<Past> past_;
  std::uint64_t rev_ = 0, past_before_ = 0, last_hold_ = 0;
  std::map<std::uint64_t, Hold> holds_;
  std::vector<Watch> watches_;
  double rps_tokens_ = 0, write_tokens_ = 0, cloud_tokens_ = 0, refilled_ = 0;
  // cloud and workers
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, Job> jobs_;
  std::set<std::pair<std::string, std::uint32_t>> results_;
  std::map<std::pair<std::string, std::uint32_t>, std::set<std::string>> on_machine_;
  std::map<std::string, double> team_use_;
  int hosts_made_ = 0;
};

/// True unless TROUBLE=0.
bool trouble();
/// True with $name set to 1.
bool option(const char* name);

}  // namespace stand
