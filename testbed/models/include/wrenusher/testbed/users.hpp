#pragma once
// The users and their load balancer: jobs submitted until they are taken, polled until they are over, some
// cancelled; each user believes what it was told.

#include "wrenusher/testbed/checker.hpp"
#include "wrenusher/testbed/machines.hpp"

namespace wrenusher::testbed {

/// Chooses a healthy node for each connection, as PROTOCOL says.
class Balancer {
 public:
  Balancer(Transport& transport, std::vector<Endpoint> nodes);
  /// Begins to probe.
  void start();
  void send(const Request& r, Micros timeout, CallHandler done);
  /// To one node, whatever it is like.
  void send_to(std::size_t node, const Request& r, Micros timeout, CallHandler done);
  std::size_t nodes() const { return nodes_.size(); }
  /// Tells of each request that went through the balancer what came of it, and after how long.
  std::function<void(const Request&, const runtime::CallResult&, Micros took)> on_outcome;

 private:
  struct ConfigNode {
    Endpoint address;
    bool healthy = false;
    bool ever_healthy = false;
    std::vector<bool> probes;  ///< the newest last, six at most
    int open = 0;
    int refused = 0;  ///< connections in a row
    Instant skip_until{};
    Instant out_until{};
    Instant removed{};
    Micros pause = from_seconds(3);
  };
  void probe(std::size_t i);
  void judge(ConfigNode& n, bool good);
  void attempt(const Request& r, Micros timeout, int left, std::set<std::size_t> tried, CallHandler done);
  /// The nodes' count where there is none.
  std::size_t choose(const std::set<std::size_t>& tried);

  Transport& transport_;
  std::vector<ConfigNode> nodes_;
};

class Users {
 public:
  Users(Transport& transport, Balancer& balancer, Machines& machines, Checker& checker)
      : transport_(transport), balancer_(balancer), machines_(machines), checker_(checker) {}

  void submit(const SimulatedJob& job);
  void cancel(const std::string& job_id);
  void ask_more_often(double factor) { ask_often_ = factor; }
  /// Whether users look at all nodes, closely, after each answer that tells them something new.
  void look_closely(bool yes) { close_looks_ = yes; }
  /// For so long: repeated submissions, cancellations of what is over, jobs that can't be accepted.
  void ask_oddly(Micros lasts);
  /// This share of the jobs is cancelled as their last task ends.
  void cancel_at_end(double share) { cancel_at_end_ = share; }
  /// The last task of the job has just ended.
  void ended(const std::string& job_id);
  /// The last state that the job's user was told; empty before any.
  std::string is_told(const std::string& job_id) const;
  /// Accepted and neither done nor withdrawn, as far as users were told.
  std::size_t live() const;

  /// What became of each job.
  struct Outcome {
    Instant submitted{};
    Instant accepted{};
    Instant finished{};
    int refused = 0;  ///< 400 or 422; 0: not
    std::string state;
  };
  const std::map<std::string, Outcome>& jobs() const { return jobs_; }

 private:
  void ask_again(const JobSpec& spec);
  void poll(const std::string& job_id, int left_after_end);
  void look(const std::string& job_id);
  void submit_badly(bool fits_nothing);

  Transport& transport_;
  Balancer& balancer_;
  Machines& machines_;
  Checker& checker_;
  std::map<std::string, Outcome> jobs_;
  double ask_often_ = 1;
  bool close_looks_ = false;
  double cancel_at_end_ = 0;
  int odd_requests_ = 0;
};

/// A job of a class of the site, drawn anew.
SimulatedJob draw_job(const Site& site, const JobClass& c, int number, std::mt19937_64& random);

}  // namespace wrenusher::testbed
