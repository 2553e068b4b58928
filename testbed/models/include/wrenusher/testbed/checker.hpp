#pragma once
// Checks a simulated day against the rules of the protocol and records each broken rule.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/protocol/message_limits.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::testbed {

using namespace time;
using namespace value;
using namespace runtime;
using settings::Settings;
using settings::Team;
using namespace protocol;

class Checker {
 public:
  explicit Checker(const Settings& settings, std::shared_ptr<const topology::Topology> topology = nullptr)
      : settings_(settings), topology_(std::move(topology)) {}

  void submitted(const JobSpec& spec) { specs_.emplace(spec.job_id, spec); }
  /// Marks a job that cannot be served because its tasks fail on every machine.
  void hopeless(const std::string& job_id) { jobs_[job_id].always_fails = true; }
  /// Records that the user of the job has stopped polling it.
  void stopped_asking(const std::string& job_id) { jobs_[job_id].polled = false; }
  void answered_submit(Instant now, const std::string& job_id, int status);
  void asked_cancel(const std::string& job_id) { cancel_requested_.insert(job_id); }
  /// Returns whether the user has requested the cancellation of the job.
  bool asked(const std::string& job_id) const { return cancel_requested_.contains(job_id); }
  void answered_cancel(Instant now, const std::string& job_id, int status, const std::string& state,
                       Instant sent_at);
  /// `sent_at`: when the request was sent. A request that was sent before an answer reported the final state
  /// may still return an earlier state; that does not break a rule.
  void answered_poll(Instant now, const std::string& job_id, int status, const std::string& state,
                     Instant sent_at);

  /// Records that a node answers a request of a user or a report of a worker. Answers of all nodes are
  /// ordered by the time at which the node sends them, regardless of their transit time. A reply to a report
  /// must not start a task of a job after any node has answered that the job is withdrawn.
  void given(Instant now, const std::string& node, const Request& request, const Response& response);
  /// Marks a job that can never run or whose description lacks a field, so that no node may accept it.
  void never_submitted(const std::string& job_id) { never_submitted_.insert(job_id); }

  /// Records that a task occupies its machine: from the completed image fetch until the task exits or the
  /// machine is lost.
  void started(Instant now, const std::string& job_id, std::uint32_t task, const std::string& host,
               const std::string& machine_type, const std::string& site, bool standby);
  void task_left(const std::string& job_id, std::uint32_t task, const std::string& host);
  void completed(const std::string& job_id, std::uint32_t task) { completed_[job_id].insert(task); }
  /// Checks that at most one node is certain to be the leader. This is not a rule of the protocol, but
  /// several rules depend on it.
  void leaders(int certain) {
    if (certain > 1)
      record_broken_rule("two_leaders", std::to_string(certain) + " nodes are certain to lead");
  }
  /// Checks that the state which a controller updates incrementally equals a full recomputation. This is not
  /// a rule of the protocol either.
  void check_agreement(const std::string& disagreement) {
    if (!disagreement.empty()) record_broken_rule("disagreement", disagreement);
  }
  /// Checks that a message between a controller and a worker is within the size limit of the protocol. `what`
  /// names the message, for the note.
  void message_sent(const std::string& what, std::size_t json_bytes) {
    if (json_bytes > kMaxBodyBytes)
      record_broken_rule("message_too_large", what + " has " + std::to_string(json_bytes) + " bytes");
  }
  /// Checks for conditions that exceed their time limit. To be called periodically.
  void check(Instant now);

  // Rules beyond the protocol, on what operators expect: jobs are answered and start in time, and no group of
  // jobs is starved.
  /// Records that no fault is active from now on. Every job must then be answered individually, and must run
  /// where there is room.
  void troubles_over(Instant now) { faults_ended_ = now; }
  bool all_finished() const { return faults_ended_.has_value(); }
  /// Records whether there is room now for a task of a job that has no task on a machine.
  void waits(Instant now, const std::string& job_id, bool room);
  /// Number of served jobs in a group. A job is served when it is done or, for a service, when at least half
  /// of its tasks have started. Jobs that were withdrawn, that fail everywhere, or that were accepted
  /// within the last four minutes and have not ended are not counted.
  struct Served {
    std::string what;  ///< "class x", "team x" or "largest of x"
    int jobs = 0;
    int served = 0;
  };
  std::vector<Served> served(Instant now) const;
  /// Returns the largest tenth of the jobs of a class, at least one. The size of a job is its tasks times
  /// cores (a card counts as eight cores) times the owner's estimate.
  std::set<std::string> largest(const std::string& queue) const;
  /// Returns the longest time so far that one of the largest jobs of a class waited for its first task.
  Micros longest_wait(const std::string& queue, Instant now) const;
  /// Checks at the end of a day for groups with less than half of their jobs served and for largest jobs that
  /// started too late.
  void judge(Instant now);
  /// Returns the accepted jobs that are not done, were not withdrawn and do not fail everywhere.
  std::vector<std::string> open() const;
  const JobSpec& spec(const std::string& job_id) const { return specs_.at(job_id); }
  bool on_a_machine(const std::string& job_id) const;
  bool all_done(const std::string& job_id) const {
    const auto it = completed_.find(job_id);
    return it != completed_.end() && it->second.size() == specs_.at(job_id).task_count;
  }
  bool is_done(const std::string& job_id, std::uint32_t task) const {
    const auto it = completed_.find(job_id);
    return it != completed_.end() && it->second.contains(task);
  }

  const std::set<std::string>& broken() const { return broken_; }
  const std::vector<std::string>& notes() const { return notes_; }
  std::size_t starts() const { return starts_; }
  bool accepted(const std::string& job_id) const { return accepted_.contains(job_id); }
  /// Returns the largest share of the job's tasks that was ever in one innermost domain; 0 before any start.
  double most_in_one(const std::string& job_id) const;
  /// Returns the tasks that are on any of these machines.
  std::set<std::pair<std::string, std::uint32_t>> on_any_machine(const std::set<std::string>& hosts) const;

 private:
  struct Location {
    std::string host;
    std::string zone;
    topology::MachineLocation place;
  };
  /// The history of a job: its acceptance, last answer and starts, and since when there has been room for it.
  struct Job {
    std::optional<Instant> accepted;
    std::optional<Instant> answered;  ///< time of the last answer
    std::optional<Instant> began;
    std::optional<Instant> room_since;
    std::set<std::uint32_t> started;
    bool polled = true;
    bool always_fails = false;
  };
  void answered(Instant now, const std::string& job_id);
  bool is_counted(const std::string& job_id) const;
  void check_layout(const JobSpec& spec, const Location& here);
  void check_zones(const JobSpec& spec, const std::string& site);
  void for_tasks_of(const std::string& job_id,
                    const std::function<void(std::uint32_t, const std::vector<Location>&)>& f) const;
  void record_broken_rule(const std::string& rule, const std::string& note);
  void record_final_state(Instant now, const std::string& job_id, const std::string& state);
  void check_start_commands(Instant now, const std::string& node, const Response& response);

  /// The most advanced stage of a job that any node has answered: 0 unknown, 1 accepted, 2 ended.
  struct Answered {
    int stage = 0;
    std::string what;
  };
  std::map<std::string, Answered> answered_;
  std::map<std::string, std::string> withdrawn_;  ///< by job: which node first answered so, and when
  std::set<std::string> never_submitted_;
  const Settings& settings_;
  std::shared_ptr<const topology::Topology> topology_;
  std::map<std::string, double> max_domain_share_;
  std::map<std::string, JobSpec> specs_;
  std::map<std::string, Job> jobs_;
  std::optional<Instant> faults_ended_;
  std::set<std::string> accepted_;
  std::set<std::string> cancel_requested_;
  std::map<std::string, std::string> final_;
  std::map<std::string, Instant> final_at_;
  std::map<std::string, Instant> cancelled_at_;
  std::map<std::string, std::set<std::uint32_t>> completed_;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<Location>> tasks_on_machines_;
  std::map<std::string, Resources> used_;  ///< per team, by all tasks on machines
  std::set<std::string> broken_;
  std::vector<std::string> notes_;
  std::size_t starts_ = 0;
};

}  // namespace wrenusher::testbed
