#pragma once
// Model of the users and their load balancer. Users submit each job until it is accepted or rejected, poll it
// until it has ended, and cancel some jobs. Their view of a job is the last state that they received.

#include "wrenusher/testbed/checker.hpp"
#include "wrenusher/testbed/machines.hpp"

namespace wrenusher::testbed {

/// Chooses a healthy node for each connection, as PROTOCOL defines.
class Balancer {
 public:
  Balancer(Transport& transport, std::vector<Endpoint> nodes);
  /// Starts to probe the nodes.
  void start();
  void send(const Request& r, Micros timeout, CallHandler done);
  /// Sends to the given node, regardless of its health.
  void send_to(std::size_t node, const Request& r, Micros timeout, CallHandler done);
  std::size_t nodes() const { return nodes_.size(); }
  /// Called with the result and the duration of each request sent through the balancer.
  std::function<void(const Request&, const runtime::CallResult&, Micros took)> on_outcome;

 private:
  struct Node {
    Endpoint address;
    bool healthy = false;
    bool ever_healthy = false;
    std::vector<bool> probes;  ///< results of the last six probes at most, oldest first
    int open = 0;
    int refused = 0;  ///< consecutive refused connections
    Instant skip_until{};
    Instant removed_until{};
    Instant removed{};
    Micros pause = from_seconds(3);
  };
  void probe(std::size_t i);
  void record_probe(Node& n, bool good);
  void attempt(const Request& r, Micros timeout, int left, std::set<std::size_t> tried, CallHandler done);
  /// Returns the index of a healthy node that was not tried; nodes() if there is none.
  std::size_t choose(const std::set<std::size_t>& tried);

  Transport& transport_;
  std::vector<Node> nodes_;
};

class Users {
 public:
  Users(Transport& transport, Balancer& balancer, Machines& machines, Checker& checker)
      : transport_(transport), balancer_(balancer), machines_(machines), checker_(checker) {}

  void submit(const SimulatedJob& job);
  void cancel(const std::string& job_id);
  void ask_more_often(double factor) { poll_rate_factor_ = factor; }
  /// Sets whether users query all nodes several times after each answer that reports a new state.
  void look_closely(bool yes) { close_queries_ = yes; }
  /// Repeats submissions, cancels jobs that have ended and submits invalid jobs for this long.
  void ask_oddly(Micros lasts);
  /// Sets the share of the jobs that users cancel as the last task ends.
  void cancel_at_end(double share) { cancel_at_end_share_ = share; }
  /// Handles the end of the job's last task.
  void ended(const std::string& job_id);
  /// Returns the last state that the job's user received; empty before the first.
  std::string is_told(const std::string& job_id) const;
  /// Returns the number of accepted jobs whose last received state is neither done nor withdrawn.
  std::size_t live() const;

  /// Outcome of a job.
  struct Outcome {
    Instant submitted{};
    Instant accepted{};
    Instant finished{};
    int refused = 0;  ///< 400 or 422; 0: not refused
    std::string state;
  };
  const std::map<std::string, Outcome>& jobs() const { return jobs_; }

 private:
  void send_submission(const JobSpec& spec);
  void poll(const std::string& job_id, int polls_left_after_end);
  void query_every_node(const std::string& job_id);
  void submit_invalid(bool fits_nothing);

  Transport& transport_;
  Balancer& balancer_;
  Machines& machines_;
  Checker& checker_;
  std::map<std::string, Outcome> jobs_;
  double poll_rate_factor_ = 1;
  bool close_queries_ = false;
  double cancel_at_end_share_ = 0;
  int invalid_submissions_ = 0;
};

/// Draws a random job of a class of the site.
SimulatedJob draw_job(const Site& site, const JobClass& c, int number, std::mt19937_64& random);

}  // namespace wrenusher::testbed
