#pragma once
// The users and their load balancer: jobs submitted until they are taken, polled until they are over, some
// cancelled; each user believes what it was told.

#include "wrenusher/lab/checker.hpp"
#include "wrenusher/lab/machines.hpp"

namespace wrenusher::lab {

/// Chooses a healthy node for each connection, as PROTOCOL says.
class Balancer {
 public:
  Balancer(Wires& wires, std::vector<Endpoint> nodes);
  /// Begins to probe.
  void start();
  void send(const Request& r, Micros timeout, Done done);

 private:
  struct Node {
    Endpoint at;
    bool healthy = false;
    bool ever = false;
    std::vector<bool> probes;  ///< the newest last, six at most
    int open = 0;
    int refused = 0;  ///< connections in a row
    Instant skip_until{};
    Instant out_until{};
    Instant removed{};
    Micros pause = from_seconds(3);
  };
  void probe(std::size_t i);
  void judge(Node& n, bool good);
  void attempt(const Request& r, Micros timeout, int left, std::set<std::size_t> tried, Done done);
  /// The nodes' count where there is none.
  std::size_t choose(const std::set<std::size_t>& tried);

  Wires& wires_;
  std::vector<Node> nodes_;
};

class Users {
 public:
  Users(Wires& wires, Balancer& balancer, Machines& machines, Checker& checker)
      : wires_(wires), balancer_(balancer), machines_(machines), checker_(checker) {}

  void submit(const JobTruth& job);
  void withdraw(const std::string& ref);
  void ask_more_often(double factor) { ask_often_ = factor; }
  /// The last state that the job's user was told; empty before any.
  std::string told(const std::string& ref) const;
  /// Accepted and neither done nor withdrawn, as far as users were told.
  std::size_t live() const;

  /// What became of each job.
  struct Outcome {
    Instant submitted{};
    Instant accepted{};
    Instant over{};
    int refused = 0;  ///< 400 or 422; 0: not
    std::string state;
  };
  const std::map<std::string, Outcome>& jobs() const { return jobs_; }
  /// Questions asked about jobs, and those that were answered in time.
  struct Questions {
    std::size_t asked = 0;
    std::size_t answered = 0;
  };
  const Questions& questions() const { return questions_; }

 private:
  void ask_again(const JobSpec& spec);
  void poll(const std::string& ref, int left_after_end);

  Wires& wires_;
  Balancer& balancer_;
  Machines& machines_;
  Checker& checker_;
  std::map<std::string, Outcome> jobs_;
  double ask_often_ = 1;
  Questions questions_;
};

/// A job of a class of the site, drawn anew.
JobTruth draw_job(const Site& site, const JobClass& c, int number, std::mt19937_64& random);

}  // namespace wrenusher::lab
