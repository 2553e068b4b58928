#pragma once
// Model of the machines that the cloud rents out and of their workers: boot, image fetch and cache, tasks,
// gangs, checkpoints, leases, spot notices and faults.

#include <memory>

#include "wrenusher/testbed/checker.hpp"
#include "wrenusher/testbed/site.hpp"
#include "wrenusher/testbed/transport.hpp"

namespace wrenusher::testbed {

/// A job as its user submits it, and how it behaves when it runs.
struct SimulatedJob {
  JobSpec spec;
  Micros run_time{};                ///< of a task on a machine of speed 1; 0: about the owner's estimate
  bool faulty_description = false;  ///< its tasks fail on every machine
};

class Machines {
 public:
  /// `speed`: factor on the speed at which machines boot, fetch and run tasks. It does not affect reports and
  /// leases.
  Machines(Transport& transport, const Site& site, Checker& checker, double speed = 1);
  ~Machines();
  Machines(const Machines&) = delete;
  Machines& operator=(const Machines&) = delete;

  /// Sets the names and addresses of the controllers, in order. Each worker reports to one of them.
  void controllers(std::vector<std::pair<std::string, Endpoint>> nodes) { nodes_ = std::move(nodes); }
  /// Starts the periodic simulation steps. To be called once.
  void start();

  /// Defines a job, so that workers can run it from now on.
  void describe(SimulatedJob simulated_job);
  const SimulatedJob* job(const std::string& job_id) const;

  // Operations of the cloud
  /// Rents a machine and returns its name; empty if no address is left.
  std::string rent(const std::string& machine_type, const std::string& zone, bool standby, Micros boot);
  void return_machine(const std::string& host);
  int is_present(const std::string& machine_type, const std::string& zone, bool standby) const;
  /// Returns the current rows of GET /rentals.
  Value::List list() const;
  /// Returns the money spent so far, at the nominal prices of the machine types.
  double cost() const;

  // Faults
  void die(const std::string& host);
  void hang(const std::string& host, Micros how_long);
  void reclaim(const std::string& host, Micros notice);
  /// Restarts the worker at once, without tasks, images and fencing token, and with incarnation 1.
  void restart_worker(const std::string& host);
  /// Returns whether a running machine has room for a task of the job and its team's quota allows the task.
  bool has_room(const JobSpec& spec) const;
  /// Returns the running jobs with at least this much run time left in a task, services included, and the
  /// machines of these tasks.
  std::map<std::string, std::set<std::string>> with_long_to_go(Micros least) const;
  void faulty(const std::string& host) { faulty_.insert(host); }
  void mistaken(const std::string& job_id) { failing_jobs_.insert(job_id); }

  /// Returns the machines that are up, only those of `zone` unless it is empty.
  std::vector<std::string> up(const std::string& zone = "") const;
  bool is_spot(const std::string& host) const;
  std::string zone_of(const std::string& host) const;
  std::string type_of(const std::string& host) const;
  /// Returns the tasks of a worker, in any state.
  std::vector<std::pair<std::string, std::uint32_t>> tasks_on(const std::string& host) const;

  /// Amounts of completed and lost work, in core seconds.
  struct Work {
    double done = 0;
    double lost = 0;  ///< progress that was not saved when a task stopped
  };
  const Work& work() const { return useful_work_; }
  /// Called when a task starts to run and when it completes, for the statistics of a driver.
  std::function<void(const std::string& job_id, std::uint32_t task)> on_start;
  std::function<void(const std::string& job_id, std::uint32_t task)> on_done;
  /// Called when the last task of a job has completed.
  std::function<void(const std::string& job_id)> on_end;
  /// Called when a worker accepts a command to run a task. `has_image`: whether its cache has the image.
  std::function<void(const std::string& job_id, std::uint32_t task, std::uint64_t attempt, bool has_image)>
      on_command;

 private:
  struct Task;
  struct Machine;
  struct Gang;
  using GangKey = std::pair<std::string, std::uint64_t>;
  Machine* find(const std::string& host);
  bool acts(const Machine& m) const;
  Value describe(Machine& m);
  void step();
  void step_boot(Machine& m);
  void step_lease(Machine& m);
  void step_fetches(Machine& m);
  void step_task(Machine& m, Task& t);
  void step_gangs();
  void step_gang(const GangKey& key, std::vector<std::pair<Machine*, Task*>>& tasks);
  void finish_fetch(Machine& m, Task& t);
  void keep_image(Machine& m, const std::string& image, double gb);
  void exit_task(Machine& m, Task& t, const std::string& cause);
  void drop_tasks(Machine& m);
  void accept_token(Machine& m, std::uint64_t fencing_token);
  void execute(Machine& m, const Value& orders);
  void start_task(Machine& m, const std::string& job_id, std::uint32_t task, std::uint64_t attempt);
  void stop_task(Task& t, Machine& m, Micros grace_period);
  bool within_limit(const std::string& what, const Value& body);
  void report(Machine& m);
  void try_next_node(Machine& m);
  void handle_report_answer(const std::string& host, Instant sent, std::uint64_t incarnation,
                            const CallResult& o);
  void serve_commands(const std::string& host, const Request& r, const Responder& answer);
  Micros run_time_of(const Task& t) const;

  Transport& transport_;
  const Site& site_;
  const Settings& settings_;
  Checker& checker_;
  double speed_;
  std::vector<std::pair<std::string, Endpoint>> nodes_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  int machines_created_ = 0;
  double cost_ = 0;  ///< of returned machines
  std::map<std::string, SimulatedJob> jobs_;
  std::set<std::string> failing_jobs_;
  std::set<std::string> faulty_;
  std::set<std::pair<std::string, std::uint32_t>> results_;
  /// Saved progress of each task; the progress of a gang is stored under its task 0.
  std::map<std::pair<std::string, std::uint32_t>, Micros> saved_;
  std::map<GangKey, Gang> gangs_;
  Work useful_work_;
  Instant stepped_{};
};

}  // namespace wrenusher::testbed
