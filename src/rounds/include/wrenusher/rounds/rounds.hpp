#pragma once
// Package rounds: the round that asks the planner and applies its plan. It owns the planner's board and keeps
// it up with what changes in book and machines, when to plan, which machine types are kept for those who need
// them, and what the cloud is known not to have; it makes claims in the book, and says whom to stop and what
// is short. Invariant: the board shows what book and machines would show anew (`disagreement` compares). It
// may depend on base, settings, protocol, topology, mail, planner, estimates, book and machines.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/book/book.hpp"
#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/mail/mail.hpp"
#include "wrenusher/planner/board.hpp"
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
  /// Until then machines may still be heard that hold these images and have room: no other place is taken for
  /// a job that needs one. Counts by bundle, kept up by the caller.
  void expect_images(const std::map<std::string, std::uint32_t>* held, Instant until) {
    expected_ = held;
    expected_until_ = until;
  }
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
  /// What the last plan looked at.
  const planner::Board::Looked& looked() const { return board_.looked(); }
  /// Reckons anew what the board shows of machines that have not changed since, and says what differs; empty
  /// when nothing does.
  std::string disagreement() const;

 private:
  using Slot = planner::Board::Slot;
  /// What is remembered of a live job from round to round.
  struct Ticket {
    Slot slot = 0;
    bool on_board = false;
    std::uint64_t change = ~std::uint64_t{0};   ///< of the job, as it stands on the board
    std::uint64_t version = ~std::uint64_t{0};  ///< of its queue's estimates
    std::uint64_t state = ~std::uint64_t{0};    ///< of what decides which types it leaves to others
    Micros estimate{};
    bool guaranteed = false;
    bool near_image = false;
    bool unsettled = false;         ///< where its tasks are is not known yet
    bool patient = false;           ///< it still leaves types to others
    bool pressed = false;           ///< no more, since it would be late
    std::set<std::string> fitting;  ///< types
    std::set<std::string> sought;   ///< of those, what others need
    Micros patience{};
    std::string waits;  ///< why its layout keeps it waiting, as it was last told
  };
  struct Live {
    Job* job;
    Ticket* ticket;
  };
  static bool older(const Live& a, const Live& b);

  void sync();
  Live take_up(Job& job);
  void see_jobs();
  void see_estimate(Job& job, Ticket& t);
  void see_machines();
  void set_machine(Machine& m);
  std::vector<planner::Leaving> leaving(const Machine& m) const;
  void see_sought();
  void see_waiting();
  bool gang_may_start(Job& job);
  void set_job(Job& job, Ticket& t);
  void hide(Ticket& t);
  bool zones_of(const Job& job, planner::PlanJob& p) const;
  bool layout_of(const Job& job, planner::PlanJob& p) const;
  bool expects_image(const Job& job) const;
  bool near_image(Job& job);
  planner::Moment moment() const;
  void apply(const planner::Plan& plan);
  std::vector<planner::Shortage> urgent(const planner::Plan& plan) const;
  void make_room(const std::vector<planner::Shortage>& shortages, std::vector<DirectOrders>& halts);
  std::shared_ptr<const Workload> workload(const planner::Plan& p);
  std::optional<std::set<std::pair<std::string, std::string>>> reach(const planner::PlanJob& job) const;
  void tell_waits(const planner::Plan& plan);

  Runtime& rt_;
  const Settings& settings_;
  Book& book_;
  Machines& machines_;
  const estimates::Estimator& estimator_;
  planner::Board board_;
  std::unordered_map<std::uint64_t, Ticket> tickets_;  ///< by Job::id
  std::vector<Live> by_age_;                           ///< in the order of acceptance
  std::vector<Job*> job_at_;                           ///< by slot
  std::vector<Machine*> machine_at_;                   ///< by slot
  std::vector<std::pair<Instant, std::string>> full_;  ///< machines that get nothing until then
  std::uint64_t generation_ = ~std::uint64_t{0};       ///< of the machines, as the board shows them
  const topology::Topology* topology_ = nullptr;       ///< likewise
  std::uint64_t state_ = 0;  ///< rises when other types are sought, gone or known, or domains differ
  const std::map<std::string, std::uint32_t>* expected_ = nullptr;
  Instant expected_until_{};
  bool needed_ = false;
  std::uint64_t news_seen_ = 0;  ///< of the book, by the last plan
  std::uint64_t plans_ = 0;
  Instant last_plan_{};
  Instant last_make_room_{};
  Instant next_workload_{};
  Instant next_progress_{};
  Instant next_waits_{};
  std::set<std::string> exhausted_;
  std::map<std::string, std::uint32_t> coming_;
  /// Types that some job needs because it fits no other: until when they are kept for such jobs.
  std::map<std::string, Instant> sought_until_;
  std::set<std::string> sought_;
};

}  // namespace wrenusher::rounds
