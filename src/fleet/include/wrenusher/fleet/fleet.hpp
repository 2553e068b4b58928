#pragma once
// Package fleet: workers, their reports, the way orders reach them, who answers them, and which have gone
// silent. It owns, by machine, the newest report's place in order and when it came; what the report means is
// for the ledger; which failure domains are lost, watch judges. It may depend on base, settings, protocol,
// topology, mail and watch.

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

#include "wrenusher/fleet/heed.hpp"
#include "wrenusher/mail/mail.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/watch/watch.hpp"

namespace wrenusher::fleet {

using namespace base;
using namespace settings;
using namespace protocol;
using namespace mail;

class Fleet {
 public:
  Fleet(Runtime& rt, const Settings& settings);
  void start();
  void hello(const Request& request, const Answer& answer);

  void on_term(const TermChanged& t);
  void on_certainty(const Certainty& c) { certain_until_ = c.until; }
  void on_withdrawn(const JobWithdrawn& w);
  void on_known(const CancellationsKnown& k);
  void on_gone(const HostGone& g);
  void on_topology(const TopologyInForce& t);
  void on_direct(const DirectOrders& d);
  /// Calls the workers that the last leader had over to this one.
  void on_inherited(const std::shared_ptr<const Inheritance>& all);
  /// Calls a worker over that is not heard, and of which no hint told.
  void on_listed(const HostListed& l);

  Sink<HostReported> reported;
  Sink<HostQuiet> quiet;
  Sink<HostCondemned> useless;
  Sink<Doubted> doubted;
  Sink<Hearing> hearing;
  Sink<Deposed> deposed;

 private:
  /// Where a worker's word stands among its others: the higher is the newer one. The token comes first:
  /// within one life of the worker it only rises, and a copy from an earlier life, whose count may be higher,
  /// has the lower token.
  struct Word {
    std::uint64_t epoch = 0;
    std::uint64_t tenure = 0;
    std::uint64_t serial = 0;
    auto operator<=>(const Word&) const = default;
  };
  static Word word_of(const WorkerReport& r) { return {r.epoch, r.tenure, r.serial}; }
  struct Host {
    std::string addr;
    std::string flavor;
    std::string site;
    topology::Place place;
    Word word;
    Instant heard{};
    bool quiet = false;
    std::optional<Instant> taken;  ///< by then the cloud will have taken it away, as it said itself
    Heed heed;
    bool useless = false;  ///< it is being returned: it hears nothing, or has begun anew
    Instant challenged{};  ///< when it was last asked which of its words is the newest
  };
  /// A worker that is asked for its word by empty orders: that raises its token, so that it reports at once.
  struct Call {
    std::string host;
    std::string addr;
    std::uint64_t tenure = 0;
    int tries = 0;
  };
  void call_over();
  void called(const Call& c, std::uint64_t epoch, const Outcome& o);
  void miss_called();
  void tick();
  void look_at_domains(Micros late);
  void look_for_unheeding(Micros limit);
  void note_answer(const std::string& host, const Word& word, const std::vector<Order>& orders);
  void challenge(const std::string& host, Host& h, const WorkerReport& r);
  void give_up(const std::string& host, Host& h, const char* why);
  bool news(const WorkerReport& r);
  Response elsewhere() const;
  using Report = std::shared_ptr<const WorkerReport>;
  void take(const Report& report, bool settled, const std::function<void(std::vector<Order>)>& reply);
  void respond(const Report& r, std::uint64_t epoch, std::vector<Order> orders, const Answer& answer);
  void stop_cancelled(const WorkerReport& r, std::vector<Order>& orders) const;
  bool may_renew(const WorkerReport& r) const;
  Micros unknown_for() const;
  void answer_waiting();
  void note_letting_go(bool now_so);
  Micros quiet_after() const;

  Runtime& rt_;
  const Settings& settings_;
  TermChanged term_;
  Instant certain_until_{};
  Instant heard_any_{};
  Instant led_since_{};
  Instant ticked_{};
  double starved_ = 0;    ///< part of the time that this node stood still, of late
  Instant most_heard_{};  ///< when this leader last heard a fair part of its workers
  bool ever_heard_ = false;
  std::map<std::string, Host> hosts_;
  /// The newest word of each worker here, leading or not, and when it came.
  std::unordered_map<std::string, std::pair<Word, Instant>> words_;
  Instant next_tidy_{};
  Instant next_challenge_{};
  bool mute_ = false;  ///< most workers show nothing of this leader's answers
  std::shared_ptr<const topology::Topology> topology_;
  watch::Watch watch_;
  std::set<std::string> doubted_;  ///< as it was last told
  std::deque<Call> calls_;         ///< still to be made, in order
  std::size_t calling_ = 0;
  std::set<std::string> uncalled_;  ///< of those that the last leader had: not heard yet
  std::size_t to_call_ = 0;         ///< how many there were
  Instant last_word_{};             ///< of the last leader
  std::set<std::string> gone_;
  std::deque<std::string> gone_order_;
  /// Jobs that are cancelled, for as long as a task of theirs may be anywhere.
  std::unordered_map<std::string, Instant> cancelled_;
  std::deque<std::pair<Instant, std::string>> cancelled_order_;
  CancellationsKnown known_;
  /// Reports that can't be answered yet, since their tasks may have been cancelled.
  struct Waiting {
    Report report;
    std::uint64_t epoch = 0;
    Answer answer;
    Instant until{};
  };
  std::deque<Waiting> waiting_;
  bool letting_go_ = false;  ///< it was told that leases are
};

}  // namespace wrenusher::fleet
