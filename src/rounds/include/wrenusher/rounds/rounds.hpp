#pragma once
// Package rounds: the round that asks the planner and applies its plan. It owns when to plan, which machine
// types are kept for those who need them, and what the cloud is known not to have; it reads book and
// machines, makes claims in the book, and says whom to stop and what is short. It may depend on base,
// settings, protocol, mail, planner, estimates, book and machines.

#include <memory>
#include <set>
#include <vector>

#include "wrenusher/book/book.hpp"
#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/mail/mail.hpp"
#include "wrenusher/planner/planner.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::rounds {

using namespace base;
using namespace settings;
using namespace protocol;
using namespace mail;
using book::Book;
using book::Claim;
using book::Job;
using book::Phase;
using machines::Machine;
using machines::Machines;

class Rounds {
 public:
  Rounds(Runtime& rt, const Settings& settings, Book& book, Machines& machines,
         const estimates::Estimator& estimator)
      : rt_(rt), settings_(settings), book_(book), machines_(machines), estimator_(estimator) {}

  /// Something changed that a plan may use.
  void need() { needed_ = true; }
  void take_capacity(const CapacitySeen& c);
  /// Whether there is a reason to plan: news, or the time that passes without any.
  bool due() const;
  /// How many plans have been made.
  std::uint64_t plans() const { return plans_; }

  struct Result {
    std::vector<DirectOrders> halts;           ///< to be sent at once
    std::shared_ptr<const Workload> workload;  ///< null where it is too soon to tell again
  };
  /// Plans and claims. Does nothing while the machine types are not known.
  Result plan();
  /// Task counts for display; null where it is too soon to tell again.
  std::shared_ptr<const Progress> progress();

 private:
  /// What is handed to the planner, and whose it is.
  struct Picture {
    planner::Snapshot s;
    std::vector<Job*> jobs;       ///< of s.jobs
    std::vector<Machine*> hosts;  ///< of s.hosts
  };
  Picture picture();
  std::set<const Job*> within_guarantee() const;
  void add_waiting(Picture& p);
  void add_rooms(Picture& p);
  bool zones_of(const Job& job, planner::PlanJob& p) const;
  void apply(const planner::Plan& plan, Picture& p);
  std::vector<planner::Shortage> urgent(const planner::Plan& plan, const Picture& p) const;
  void make_room(const Picture& p, const std::vector<planner::Shortage>& shortages,
                 std::vector<DirectOrders>& halts);
  std::shared_ptr<const Workload> workload(const planner::Snapshot& s, const planner::Plan& p);
  std::vector<planner::Later> places_to_come();
  Micros left_to_run(const Claim& c, Micros estimate) const;
  bool near_image(Job& job) const;
  void see_sought();
  std::set<std::string> keep_off(const Job& job, WallTime now) const;
  bool is_sought(const std::string& flavor) const;
  Micros patience(const Job& job) const;
  bool patience_over(const Job& job, WallTime now) const;

  Runtime& rt_;
  const Settings& settings_;
  Book& book_;
  Machines& machines_;
  const estimates::Estimator& estimator_;
  bool needed_ = false;
  std::uint64_t news_seen_ = 0;  ///< of the book, by the last plan
  std::uint64_t plans_ = 0;
  Instant last_plan_{};
  Instant last_make_room_{};
  Instant next_workload_{};
  Instant next_progress_{};
  std::set<std::string> exhausted_;
  std::map<std::string, std::uint32_t> coming_;
  /// Types that some job needs because it fits no other: until when they are kept for such jobs.
  std::map<std::string, Instant> sought_until_;
};

}  // namespace wrenusher::rounds
