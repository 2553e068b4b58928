#pragma once
// Package desk: users' requests, on any node. Everything is decided by the state service, nothing by this
// node's memory but final states; it owns the cache of those, the index of live jobs that each question has
// brought up to date (JobIndex), and the answers that wait until they may be given (AnswerOrder). While the
// index is not whole, records are read one by one and compared in groups. It may depend on base, settings,
// protocol, store, records and mail.

#include <deque>
#include <memory>
#include <unordered_map>

#include "wrenusher/desk/answer_order.hpp"
#include "wrenusher/desk/job_index.hpp"
#include "wrenusher/mail/mail.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/store/store.hpp"

namespace wrenusher::desk {

using namespace base;
using namespace settings;
using namespace protocol;
using namespace store;
using namespace mail;

class Frontdesk {
 public:
  Frontdesk(Runtime& rt, const Settings& settings, Store& store);
  /// Begins to read the live jobs, so that questions can be answered from the index.
  void start() { index_.begin(); }
  void serve(const Request& request, const Answer& answer);

  void on_topology(const TopologyInForce& t) { topology_ = t; }
  void on_catalog(const CatalogSeen& c) { catalog_ = c.catalog; }
  void on_progress(const std::shared_ptr<const Progress>& p);
  void on_peer(const PeerNews& news);
  void on_followed(const RecordsFollowed& f);
  /// A peer is about to tell a user so.
  void on_announced(const Announcement& a) { order_.announced(a.ref, a.level, rt_.now()); }
  /// Every peer knows that this node is about to.
  void on_confirmed(const Announcement& a);

  Sink<JobWithdrawn> withdrawn;
  Sink<Announcement> announcing;

 private:
  struct State {
    std::string status;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// The state of a job; `failed`: the state service could not be asked.
  struct Found {
    bool failed = true;
    std::optional<State> state;
    Instant sent{};     ///< it was so then, or later
    bool busy = false;  ///< failed since too much waits here
  };
  /// What to answer a user who asked for a job that is in this state.
  using Say = std::function<Response(const State&)>;
  /// A live record as it was last read.
  struct Known {
    std::uint64_t stamp = 0;
    bool withdrawn = false;
  };
  struct Check {
    std::string ref;
    std::function<void(Found)> done;
  };
  void lookup(const std::string& ref, std::function<void(Found)> done);
  void look_up_in_index(const std::string& ref, std::function<void(Found)> done);
  void read(const std::string& ref, const std::function<void(Found)>& done);
  void check();
  void settle_checks(std::vector<Check> asked, const Commit& c);
  void know(const std::string& ref, const Known& k);
  State live_state(const std::string& ref, bool gone) const;
  State newest(const std::string& ref) const;
  Level level_of(const Found& f) const;
  void ask(const std::string& ref, int tries, const std::function<void(Found)>& done);
  std::optional<Fault> never(const JobSpec& spec, const Team* team) const;
  void submit(const Request& request, const Answer& answer);
  void poll(const std::string& ref, const Answer& answer);
  void withdraw(const std::string& ref, int tries, const Answer& answer);
  void tell(const std::string& ref, const Found& f, const Say& say, const Answer& answer);
  void give(const std::string& ref, const Found& f, const Say& say, const Answer& answer);
  void release(const std::string& ref, Level level);
  void known_or(const std::string& ref, Response otherwise, const Answer& answer);
  void remember(const std::string& ref, const State& s);
  bool ready() const;

  Runtime& rt_;
  const Settings& settings_;
  Store& store_;
  std::shared_ptr<const Catalog> catalog_;
  TopologyInForce topology_;
  struct PeerSeen {
    Instant reached{};                   ///< the newest question that it answered
    bool store = false;                  ///< it has the state service
    Instant announced = Instant::min();  ///< what it had announced by then is known here
  };
  std::map<std::string, PeerSeen> peers_;
  /// Done and running tasks of live jobs.
  std::unordered_map<std::string, std::pair<std::uint64_t, std::uint64_t>> counts_;
  /// Final states never change, so an old answer is as good as a new one.
  std::unordered_map<std::string, State> finals_;
  std::deque<std::string> finals_order_;
  std::unordered_map<std::string, Known> known_;
  std::deque<std::string> known_order_;
  AnswerOrder order_;
  JobIndex index_;
  /// Answers that wait until they may be given.
  std::map<std::pair<std::string, Level>, std::vector<std::function<void()>>> held_;
  /// Questions that the next comparison settles.
  std::deque<Check> checks_;
  bool checking_ = false;
};

}  // namespace wrenusher::desk
