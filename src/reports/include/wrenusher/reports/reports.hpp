#pragma once
// Package reports: what a worker's newest word means for the book and the machines, and what the worker is to
// do. It owns only the count of reports, by which it tells what the newest one did not show. This is where
// claims end: nothing but a newer report, or the cloud's return of the machine, proves a task gone. It may
// depend on base, protocol, mail, book, machines, estimates and accounts.

#include <vector>

#include "wrenusher/accounts/accounts.hpp"
#include "wrenusher/book/book.hpp"
#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/mail/mail.hpp"

namespace wrenusher::reports {

using namespace base;
using namespace protocol;
using namespace mail;
using book::Book;
using book::Claim;
using book::Job;
using book::Phase;
using machines::Machine;
using machines::Machines;

class Reports {
 public:
  Reports(Runtime& rt, Book& book, Machines& machines, estimates::Estimator& estimator,
          accounts::Waits& waits)
      : rt_(rt), book_(book), machines_(machines), estimator_(estimator), waits_(waits) {}

  struct Taken {
    bool usable_changed = false;  ///< the machine may get tasks now, or no more
    bool left = false;            ///< tasks have left the machine
    std::vector<DirectOrders> halts;
    std::vector<HostCondemned> suspects;
  };
  /// Brings book and machines up to a report. `current`: the worker has taken this term's epoch; `settled`: a
  /// report, not the answer to /orders, so that every start sent before it has shown or never will.
  Taken take(const WorkerReport& r, bool current, bool settled);
  /// What the worker is to do, given its newest report.
  std::vector<Order> orders(const Machine& m, const WorkerReport& r) const;
  /// Whether a commit under way or due would add orders to the answer.
  bool awaits_commit(const Machine& m, const WorkerReport& r) const;
  /// Tasks claimed in this term that a report has shown on their machines, so far.
  std::uint64_t shown() const { return shown_; }

 private:
  void take_there(Machine& m, const WorkerReport& r, std::uint64_t mark);
  void take_ended(Machine& m, const WorkerReport& r, Taken& out);
  void take_missing(Machine& m, bool settled, std::uint64_t mark);
  void show(Job& job, Claim& c, Machine& m, const UnitReport& u);
  void account_start(const JobSpec& spec, std::uint32_t task, const Claim& c);
  void fail_task(Job& job, Machine& m, const UnitReport& u, Taken& out);
  void settle_warning(Machine& m, Micros left, Taken& out);

  Runtime& rt_;
  Book& book_;
  Machines& machines_;
  estimates::Estimator& estimator_;
  accounts::Waits& waits_;
  std::uint64_t reports_ = 0;
  std::uint64_t shown_ = 0;
};

}  // namespace wrenusher::reports
