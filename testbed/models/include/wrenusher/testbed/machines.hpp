#pragma once
// The machines that the cloud rents out and the workers on them: boot, image fetch and cache, tasks, gangs,
// saved progress, leases, spot notices, faults.

#include <memory>

#include "wrenusher/testbed/checker.hpp"
#include "wrenusher/testbed/site.hpp"
#include "wrenusher/testbed/transport.hpp"

namespace wrenusher::testbed {

/// What users uploaded of a job, and how it turns out.
struct SimulatedJob {
  JobSpec spec;
  Micros run_time{};  ///< of a task on a machine of ordinary speed; 0: near the owner's estimate
  bool faulty_description = false;  ///< fails wherever it is put
};

class Machines {
 public:
  /// `speed`: how many times as fast as they say machines boot, fetch and work; reports and leases keep to
  /// the clock.
  Machines(Transport& transport, const Site& site, Checker& checker, double speed = 1);
  ~Machines();
  Machines(const Machines&) = delete;
  Machines& operator=(const Machines&) = delete;

  /// The controllers' addresses and names, in order. A worker reports to one of them.
  void controllers(std::vector<std::pair<std::string, Endpoint>> nodes) { nodes_ = std::move(nodes); }
  /// To be called once; steps for ever.
  void start();

  /// A user has described the job: workers can fetch it from now on.
  void describe(SimulatedJob truth);
  const SimulatedJob* job(const std::string& job_id) const;

  // The cloud's side
  /// Empty where no address is left.
  std::string rent(const std::string& machine_type, const std::string& zone, bool standby, Micros boot);
  void return_machine(const std::string& host);
  int is_present(const std::string& machine_type, const std::string& zone, bool standby) const;
  /// Rows of GET /rentals as of now.
  Value::List list() const;
  /// Money spent so far, at the prices given when rented.
  double cost() const;

  // Troubles
  void die(const std::string& host);
  void hang(const std::string& host, Micros how_long);
  void reclaim(const std::string& host, Micros notice);
  /// Begins anew at once: no tasks, no images, first tenure, no token.
  void restart_worker(const std::string& host);
  /// Whether some machine that runs has room for a task of the job, its team's ceiling left.
  bool has_room(const JobSpec& spec) const;
  /// Jobs of which a task runs, on which machines, that would go on for so long or for ever.
  std::map<std::string, std::set<std::string>> with_long_to_go(Micros least) const;
  void faulty(const std::string& host) { faulty_.insert(host); }
  void mistaken(const std::string& job_id) { mistaken_.insert(job_id); }

  /// Those that are up, of a zone if one is named.
  std::vector<std::string> up(const std::string& zone = "") const;
  bool is_spot(const std::string& host) const;
  std::string zone_of(const std::string& host) const;
  std::string type_of(const std::string& host) const;
  /// Tasks that a worker has, in whatever state.
  std::vector<std::pair<std::string, std::uint32_t>> tasks_on(const std::string& host) const;

  /// What became of work, in core seconds.
  struct Work {
    double done = 0;
    double lost = 0;  ///< done again, since it was stopped unsaved
  };
  const Work& work() const { return useful_work_; }
  /// Tells when a task starts and how long it runs; a driver's accounts.
  std::function<void(const std::string& job_id, std::uint32_t task)> on_start;
  std::function<void(const std::string& job_id, std::uint32_t task)> on_done;
  /// The last task of a job has ended.
  std::function<void(const std::string& job_id)> on_end;
  /// A worker takes an order to run a task; whether it has the image already.
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
  void got_image(Machine& m, Task& t);
  void keep_image(Machine& m, const std::string& image, double gb);
  void exit_task(Machine& m, Task& t, const std::string& cause);
  void lose_tasks(Machine& m);
  void take_token(Machine& m, std::uint64_t fencing_token);
  void execute(Machine& m, const Value& orders);
  void start_task(Machine& m, const std::string& job_id, std::uint32_t task, std::uint64_t attempt);
  void stop_task(Task& t, Machine& m, Micros grace_period);
  void report(Machine& m);
  void answered(const std::string& host, Instant sent, std::uint64_t incarnation, const CallResult& o);
  void serve_commands(const std::string& host, const Request& r, const Responder& answer);
  Micros total(const Task& t) const;

  Transport& transport_;
  const Site& site_;
  const Settings& settings_;
  Checker& checker_;
  double speed_;
  std::vector<std::pair<std::string, Endpoint>> nodes_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  int made_ = 0;
  double cost_ = 0;  ///< on machines that are gone
  std::map<std::string, SimulatedJob> jobs_;
  std::set<std::string> mistaken_;
  std::set<std::string> faulty_;
  std::set<std::pair<std::string, std::uint32_t>> results_;
  /// Progress that outlives a stop: of a task, or under task 0 of a whole gang.
  std::map<std::pair<std::string, std::uint32_t>, Micros> saved_;
  std::map<GangKey, Gang> gangs_;
  Work useful_work_;
  Instant stepped_{};
};

}  // namespace wrenusher::testbed
