#pragma once
// Heartbeats between controllers: epoch, leader, what each can reach, cancellations just accepted, what users
// are about to be told, and what others want to ride along.

#include <deque>
#include <memory>
#include <optional>

#include "wrenusher/membership/cancellations.hpp"
#include "wrenusher/membership/leadership.hpp"

namespace wrenusher::membership {

using namespace base;
using namespace settings;
using namespace protocol;
using namespace store;
using namespace mail;

class Peer {
 public:
  Peer(Runtime& rt, const Settings& settings);
  void start();
  /// Another controller's request on `peer_listen`.
  void serve(const Request& request, const Answer& answer);

  void on_term(const TermChanged& t);
  void on_health(const StoreHealth& h) { store_ = h.reachable; }
  void on_hearing(const Hearing& h) { hears_ = h.hears_workers; }
  void on_withdrawn(const JobWithdrawn& w);
  void on_read(const CancellationsRead& r);
  void on_announce(const Announcement& a);
  void on_topology(const TopologyRead& t);
  void on_force(const TopologyInForce& t) { force_ = t.edition; }
  void on_progress(const std::shared_ptr<const Progress>& p);
  void on_ready(const Readiness& r) { ready_ = r; }
  void on_ceding(const Ceding& c);
  void on_aside(const Aside& a) { asides_[a.peer] = a.value; }

  Sink<BeatSent> sent;
  Sink<Aside> aside;
  Sink<PeerNews> news;
  Sink<JobWithdrawn> withdrawn;
  Sink<CancellationsKnown> known;
  Sink<Announcement> announced;  ///< a peer is about to tell a user so
  Sink<Announcement> confirmed;  ///< every peer knows that this node is
  Sink<std::shared_ptr<const Progress>> progress;

 private:
  void beat();
  /// To all peers; `only_news`: without what can wait for the next beat, and not to those that answer
  /// nothing.
  void send(bool only_news = false);
  Value describe(const std::string& peer);
  void write_progress(const std::string& peer, Value::Map& out);
  bool progress_told() const;
  void take_progress(const Value& v);
  void push();
  /// Whether there are no more announcements of the peer than are known here by now.
  bool take_announcements(const std::string& node, const Value& v);
  void refuse(const std::string& node, const std::string& fault);
  void take_cancellations(const std::string& node, const Value& v, std::optional<Instant> asked);
  void tell_known();
  bool abstains() const { return rt_.now() < abstains_until_; }
  /// What a peer says. `asked`: when the question went out that this answers; nothing: it came by itself, and
  /// may be a copy that is late.
  void learn(const Value& v, std::optional<Instant> asked);
  bool newer(const std::string& node, const Value& v, bool answer);

  Runtime& rt_;
  const Settings& settings_;
  TermChanged term_;
  bool store_ = false;
  topology::Edition mine_;
  topology::Edition force_;
  bool hears_ = false;
  std::uint64_t life_;
  Cancellations cancellations_;
  NumberedLog announcements_;
  std::map<std::string, int> unanswered_;   ///< heartbeats under way, by peer
  Instant pushed_{};                        ///< when the peers were last told at once
  bool pushing_ = false;                    ///< they will be in a moment
  std::set<std::string> refused_;           ///< peer and field of what was refused, each told once
  std::shared_ptr<const Progress> untold_;  ///< goes out with the next beats
  bool untold_in_order_ = false;            ///< its rows are sorted by job
  /// How far a peer has been sent the task counts: up to this job, or all of them.
  struct ProgressCursor {
    std::string after;
    bool told = false;
  };
  std::map<std::string, ProgressCursor> progress_cursors_;
  std::map<std::string, Value> asides_;  ///< by peer: likewise
  Readiness ready_ = Readiness::cold;
  Instant abstains_until_{};
  std::string successor_;
  /// By which a peer tells this node's words in order, over its lives as well: time of day when it began, and
  /// a count.
  std::uint64_t since_ = 0;
  std::uint64_t said_ = 0;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> heard_;  ///< the newest word of each peer
};

}  // namespace wrenusher::membership
