#pragma once
// Stand-ins for the cloud and its machines' workers, as PROTOCOL describes them.

#include "stand.hpp"

namespace stand {

/// A job as its user submits it, and how its tasks behave.
struct Job {
  std::string ref;
  std::string queue;
  std::string owner;
  std::string shape = "sweep";
  std::string urgency = "normal";
  std::uint32_t units = 1;
  double cores = 1;
  double cards = 0;
  double memory_gb = 1;
  std::string bundle;
  double image_gb = 1;
  Value flavors;
  double expected_s = 10;
  bool scatter = false;
  double due_s = 0;                                  ///< 0: null
  double run_s = 10;                                 ///< run time of a task; not sent
  std::function<double(std::uint32_t task)> run_of;  ///< if set: run time by task
  Value body() const;
};

/// One task on one machine under one attempt.
struct Unit {
  std::string ref;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string status;  ///< pulling, gathering, running, saving, ended
  std::string cause;
  Instant began{};
};

class Fleet;

/// A machine and its worker.
struct Machine {
  Fleet* fleet = nullptr;
  std::string host;
  Endpoint address;
  std::string flavor;
  std::string zone;
  bool standby = false;
  bool up = false;
  bool gone = false;
  bool mute = false;  ///< its reports reach no controller
  std::uint64_t tenure = 1;
  std::uint64_t serial = 0;
  std::uint64_t epoch = 0;
  std::map<std::string, Unit> units;     ///< by "ref/task try"
  std::map<std::string, double> images;  ///< cached: name -> GB
  std::size_t node = 0;
  bool in_flight = false;
  Instant last_sent{};
  Instant lease_from{};  ///< when the last answered report was sent, or the session began
  Instant rented{};
  bool report_scheduled = false;
  std::uint64_t report_timer = 0;
};

/// All machines that the cloud rents out, with the cloud's interface.
class Fleet {
 public:
  explicit Fleet(World& world);
  /// Adds a machine that is up.
  Machine& add_up(const std::string& flavor, const std::string& zone, bool standby = false);
  void upload(const Job& job) { jobs_[job.ref] = job; }
  /// Serves the cloud's interface; pass to World::cloud.
  void serve_cloud(int controller, const Request& request, const Responder& respond);
  /// How long a rented machine boots, as a multiple of its type's boot time; negative: the cloud has no
  /// capacity.
  double boot_factor = -1;
  /// How fast images are fetched, as a multiple of the type's rate.
  double pull_factor = 1;

  /// Called when a task has its image (it is on its machine from then on) and when it leaves its machine.
  std::function<void(const Machine&, const Unit&)> on_start;
  std::function<void(const Machine&, const Unit&)> on_leave;
  std::function<void(const Machine&, const Unit&)> on_done;
  /// Called when a worker accepts a command to run a task, which comes in the answer to its last report.
  std::function<void(const Machine&, const std::string& unit)> on_run;

  std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
  std::uint64_t done_count(const std::string& ref) const;
  bool on_machine(const std::string& ref) const;
  /// Cores that no task on the machine takes.
  double free_cores(const Machine& machine) const;
  /// Ends the running tasks of a gang of which a task is gone.
  void fail_gang(const std::string& ref);
  void log_units(bool on) { log_units_ = on; }

 private:
  void boot(Machine& machine);
  Value report_body(Machine& machine);
  void report(Machine& machine);
  void schedule_report(Machine& machine, double in_s);
  void changed(Machine& machine);
  void on_answer(Machine& machine, Instant sent, std::uint64_t tenure, const CallResult& result);
  void next_node(Machine& machine);
  void serve_worker(Machine& machine, const Request& request, const Responder& respond);
  void execute(Machine& machine, const Value& orders);
  void run(Machine& machine, const std::string& ref, std::uint32_t task, std::uint64_t attempt);
  void has_image(Machine& machine, const std::string& key);
  void begin(Machine& machine, Unit& unit);
  void end(Machine& machine, Unit& unit, const std::string& cause);
  void check_gang(const std::string& ref, std::uint64_t attempt);
  void check_lease(Machine& machine);
  void drop_units(Machine& machine);

  World& world_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<std::string, Job> jobs_;
  std::set<std::pair<std::string, std::uint32_t>> results_;
  std::map<std::string, std::vector<std::string>> bookings_;
  /// Gangs: tasks that gather, by job and attempt.
  std::map<std::pair<std::string, std::uint64_t>, std::set<std::uint32_t>> gathering_;
  std::map<std::string, std::uint64_t> done_;
  std::map<std::string, int> present_;
  int created_ = 100;
  bool log_units_ = true;
};

}  // namespace stand
