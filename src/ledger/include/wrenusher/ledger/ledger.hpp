#pragma once
// Package ledger: the leader's actor. It owns the term, the order in which things happen in it (takeover,
// news from the store, reports, rounds, commits, answers), and one of each room: book, machines, writer, held
// answers, reports, rounds, accounts. What each room knows is that room's own; the ledger passes messages in
// and results out. It may depend on every room, on store, mail and what they depend on.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/accounts/accounts.hpp"
#include "wrenusher/book/book.hpp"
#include "wrenusher/estimates/estimator.hpp"
#include "wrenusher/held/held.hpp"
#include "wrenusher/ledger/takeover.hpp"
#include "wrenusher/ledger/takeover_times.hpp"
#include "wrenusher/machines/machines.hpp"
#include "wrenusher/mail/mail.hpp"
#include "wrenusher/reports/reports.hpp"
#include "wrenusher/rounds/rounds.hpp"
#include "wrenusher/store/store.hpp"
#include "wrenusher/writer/writer.hpp"

namespace wrenusher::ledger {

using namespace settings;
using namespace mail;
using machines::Machine;
using machines::Machines;

class Ledger {
 public:
  Ledger(Runtime& rt, const Settings& settings, Store& store);
  void start();

  void on_term(const TermChanged& t);
  void on_certainty(const Certainty& c) { certain_until_ = c.until; }
  void on_report(const HostReported& in);
  void on_quiet(const HostQuiet& q);
  void on_gone(const HostGone& g);
  void on_condemned(const HostCondemned& c);
  void on_catalog(const CatalogSeen& c);
  void on_topology(const TopologyInForce& t);
  void on_doubted(const Doubted& d);
  void on_withdrawn(const JobWithdrawn& w);
  void on_inherited(const std::shared_ptr<const Inheritance>& all);
  void on_copied(const RecordsCopied& c);
  void on_capacity(const CapacitySeen& c) { rounds_.take_capacity(c); }

  /// Has every room reckon anew what it keeps up step by step, and says what differs; empty when nothing
  /// does.
  std::string disagreement() const;

  Sink<std::shared_ptr<const Workload>> workload;
  Sink<std::shared_ptr<const Progress>> progress;
  Sink<DirectOrders> direct;
  Sink<Deposed> deposed;
  Sink<HostCondemned> suspect;
  Sink<std::shared_ptr<const LedgerHints>> hints;
  Sink<TakenOver> taken_over;
  Sink<CancellationsRead> cancellations_read;
  Sink<RecordsFollowed> followed;

 private:
  /// Leads, and has read what there is.
  bool open() const { return term_.leading && loaded_; }
  bool open_in(std::uint64_t epoch) const { return open() && term_.epoch == epoch; }
  bool certain() const { return rt_.now() < certain_until_; }
  void begin();
  void read_records();
  void loaded(std::uint64_t revision, bool by_copy);
  /// Reads the jobs once more at leisure: one that a copy missed and that has no claims would never be run.
  void look_for_missed(const std::string& from, std::uint64_t epoch);
  void follow(std::uint64_t from, std::uint64_t epoch);
  void take_news(const FollowReply& f);
  void take_up(const Row& row);
  void refresh(const std::string& ref);
  void withdraw(Job& job);

  MachineHint hint_of(const Machine& m) const;
  void tell_hints();
  bool inherit(const WorkerReport& r);
  void inherit_failures();
  void expect_images(const MachineHint& h, bool comes);

  void tick();
  void wake();
  void round();
  void answer_held();
  void send(const std::vector<DirectOrders>& orders);

  Runtime& rt_;
  const Settings& settings_;
  Store& store_;
  estimates::Estimator estimator_;
  accounts::Waits waits_;
  Machines machines_;
  Book book_;
  Writer writer_;
  held::Answers held_;
  reports::Reports reports_;
  rounds::Rounds rounds_;
  Takeover takeover_;
  TermChanged term_;
  Instant certain_until_{};
  Instant term_began_{};
  bool loaded_ = false;
  bool woken_ = false;
  Instant last_round_{};
  TakeoverTimes times_;
  std::map<std::string, MachineHint> inherited_;        ///< of machines not heard in this term yet
  std::map<std::string, std::uint32_t> coming_images_;  ///< on how many of those with room, by bundle
  std::vector<JobHint> failing_;                        ///< until the records are there
  std::map<std::string, HostReported> early_;           ///< each machine's newest word, likewise
  Instant next_hints_{};
  Instant next_queue_hints_{};
  std::map<std::string, std::uint64_t> queues_told_;  ///< version of what was told
  std::set<std::string> jobs_told_;
};

}  // namespace wrenusher::ledger
