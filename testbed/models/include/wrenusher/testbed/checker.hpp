#pragma once
// Watches a simulated day and names every rule of the protocol that is broken.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

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
  /// The job can't be served, whatever is done: it fails wherever it is put.
  void hopeless(const std::string& job_id) { jobs_[job_id].hopeless = true; }
  /// Its user has all the answers it wants.
  void stopped_asking(const std::string& job_id) { jobs_[job_id].asks = false; }
  void answered_submit(Instant now, const std::string& job_id, int status);
  void asked_cancel(const std::string& job_id) { asked_.insert(job_id); }
  /// Its user has asked to cancel it.
  bool asked(const std::string& job_id) const { return asked_.contains(job_id); }
  void answered_cancel(Instant now, const std::string& job_id, int status, const std::string& state,
                       Instant asked);
  /// `asked`: when the question went out. An answer that was on its way while another one told of the end is
  /// not older than what its node had told.
  void answered_poll(Instant now, const std::string& job_id, int status, const std::string& state,
                     Instant asked);

  /// A node gives an answer to a user: the order is kept by when that is, over all nodes, whoever asked and
  /// however long the answer then takes.
  void given(Instant now, const std::string& node, const Request& request, const Response& response);
  /// The job can never run, or its description lacks a field: it must not be accepted.
  void never_submitted(const std::string& job_id) { never_submitted_.insert(job_id); }

  /// A task is on its machine from the moment it has its image until it exits or the machine is gone.
  void started(Instant now, const std::string& job_id, std::uint32_t task, const std::string& host,
               const std::string& machine_type, const std::string& site, bool standby);
  void task_left(const std::string& job_id, std::uint32_t task, const std::string& host);
  void completed(const std::string& job_id, std::uint32_t task) { completed_[job_id].insert(task); }
  /// Not a rule of the protocol, but what several rules rest on.
  void leaders(int certain) {
    if (certain > 1)
      record_broken_rule("two_leaders", std::to_string(certain) + " nodes are certain to lead");
  }
  /// Nor is this: what a controller keeps up step by step must be what it would reckon anew.
  void check_agreement(const std::string& disagreement) {
    if (!disagreement.empty()) record_broken_rule("disagreement", disagreement);
  }
  /// To be called now and then: finds what lasts too long.
  void check(Instant now);

  // The operators' addition to the rules.
  /// Nothing goes wrong any more from now on: each job by itself is to be answered, and run where there is
  /// room.
  void troubles_over(Instant now) { troubles_over_ = now; }
  bool all_finished() const { return troubles_over_.has_value(); }
  /// Whether there was room for a task of the job at this moment though none of it is on a machine.
  void waits(Instant now, const std::string& job_id, bool room);
  /// Jobs that count as served: done, or of a service at least half begun; those that were withdrawn, are
  /// hopeless or came within the last four minutes aside.
  struct Served {
    std::string what;  ///< "class x", "team x" or "largest of x"
    int jobs = 0;
    int served = 0;
  };
  std::vector<Served> served(Instant now) const;
  /// A class's largest jobs: the tenth of them, at least one, that takes the most (tasks times cores, cards
  /// counted as eight, times the owner's estimate).
  std::set<std::string> largest(const std::string& queue) const;
  /// The longest that one of a class's largest jobs waited for its first task, so far.
  Micros longest_wait(const std::string& queue, Instant now) const;
  /// The end of a day: less than half served, and largest jobs that began too late.
  void judge(Instant now);
  /// What accepted jobs there are that are neither done, withdrawn nor hopeless.
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
  /// The largest part of the job's tasks that was ever in one innermost domain; 0 before any start.
  double most_in_one(const std::string& job_id) const;
  /// What is on any of these machines.
  std::set<std::pair<std::string, std::uint32_t>> on_any_machine(const std::set<std::string>& hosts) const;

 private:
  struct Location {
    std::string host;
    std::string zone;
    topology::MachineLocation place;
  };
  /// What the addition looks at.
  struct Job {
    std::optional<Instant> accepted;
    std::optional<Instant> answered;  ///< last
    std::optional<Instant> began;
    std::optional<Instant> room_since;
    std::set<std::uint32_t> started;
    bool asks = true;
    bool hopeless = false;
  };
  void answered(Instant now, const std::string& job_id);
  bool counts(const std::string& job_id) const;
  void check_layout(const JobSpec& spec, const Location& here);
  void check_zones(const JobSpec& spec, const std::string& site);
  void for_tasks_of(const std::string& job_id,
                    const std::function<void(std::uint32_t, const std::vector<Location>&)>& f) const;
  void record_broken_rule(const std::string& rule, const std::string& note);
  void final_state(Instant now, const std::string& job_id, const std::string& state);

  /// The most that any node has told of a job: 0 not known, 1 accepted, 2 over.
  struct Answered {
    int stage = 0;
    std::string what;
  };
  std::map<std::string, Answered> answered_;
  std::set<std::string> never_submitted_;
  const Settings& settings_;
  std::shared_ptr<const topology::Topology> topology_;
  std::map<std::string, double> most_in_one_;
  std::map<std::string, JobSpec> specs_;
  std::map<std::string, Job> jobs_;
  std::optional<Instant> troubles_over_;
  std::set<std::string> accepted_;
  std::set<std::string> asked_;
  std::map<std::string, std::string> final_;
  std::map<std::string, Instant> final_at_;
  std::map<std::string, Instant> cancelled_at_;
  std::map<std::string, std::set<std::uint32_t>> completed_;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<Location>> tasks_on_machines_;
  std::map<std::string, Resources> used_;  ///< by team, of all that is on machines
  std::set<std::string> broken_;
  std::vector<std::string> notes_;
  std::size_t starts_ = 0;
};

}  // namespace wrenusher::testbed
