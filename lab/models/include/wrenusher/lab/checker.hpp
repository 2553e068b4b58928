#pragma once
// Watches a simulated day and names every rule of the protocol that is broken.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::lab {

using namespace base;
using settings::Settings;
using settings::Team;
using namespace protocol;

class Checker {
 public:
  explicit Checker(const Settings& settings, std::shared_ptr<const topology::Topology> topology = nullptr)
      : settings_(settings), topology_(std::move(topology)) {}

  void submitted(const JobSpec& spec) { specs_.emplace(spec.ref, spec); }
  void answered_submit(Instant now, const std::string& ref, int status);
  void asked_withdraw(const std::string& ref) { asked_.insert(ref); }
  void answered_withdraw(Instant now, const std::string& ref, int status, const std::string& state);
  /// `asked`: when the question went out. An answer that was on its way while another one told of the end is
  /// not older than what its node had told.
  void answered_poll(Instant now, const std::string& ref, int status, const std::string& state,
                     Instant asked);

  /// A task is on its machine from the moment it has its image until it exits or the machine is gone.
  void started(Instant now, const std::string& ref, std::uint32_t task, const std::string& host,
               const std::string& flavor, const std::string& site, bool standby);
  void left(const std::string& ref, std::uint32_t task, const std::string& host);
  void completed(const std::string& ref, std::uint32_t task) { completed_[ref].insert(task); }
  /// Not a rule of the protocol, but what several rules rest on.
  void leaders(int certain) {
    if (certain > 1) breaks("two_leaders", std::to_string(certain) + " nodes are certain to lead");
  }
  /// Nor is this: what a controller keeps up step by step must be what it would reckon anew.
  void agrees(const std::string& disagreement) {
    if (!disagreement.empty()) breaks("disagreement", disagreement);
  }
  /// To be called now and then: finds what lasts too long.
  void look(Instant now);

  const std::set<std::string>& broken() const { return broken_; }
  const std::vector<std::string>& notes() const { return notes_; }
  std::size_t starts() const { return starts_; }
  bool accepted(const std::string& ref) const { return accepted_.contains(ref); }
  /// The largest part of the job's tasks that was ever in one innermost domain; 0 before any start.
  double most_in_one(const std::string& ref) const;
  /// What is on any of these machines.
  std::set<std::pair<std::string, std::uint32_t>> on_any(const std::set<std::string>& hosts) const;

 private:
  struct On {
    std::string host;
    std::string site;
    topology::Place place;
  };
  void check_layout(const JobSpec& spec, const On& here);
  void breaks(const std::string& rule, const std::string& note);
  void final_state(Instant now, const std::string& ref, const std::string& state);

  const Settings& settings_;
  std::shared_ptr<const topology::Topology> topology_;
  std::map<std::string, double> most_in_one_;
  std::map<std::string, JobSpec> specs_;
  std::set<std::string> accepted_;
  std::set<std::string> asked_;
  std::map<std::string, std::string> final_;
  std::map<std::string, Instant> final_at_;
  std::map<std::string, Instant> cancelled_at_;
  std::map<std::string, std::set<std::uint32_t>> completed_;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<On>> on_;
  std::set<std::string> broken_;
  std::vector<std::string> notes_;
  std::size_t starts_ = 0;
};

}  // namespace wrenusher::lab
