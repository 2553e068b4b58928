#pragma once
// Package membership: who may give commands, and what the controllers tell each other. Leadership owns the
// hold in the state service, the epoch of each term, and the window in which this node may be certain that
// nobody else leads, and which topology is in force; Peer owns the heartbeats. It may depend on base,
// settings, protocol, topology, store and mail.

#include "wrenusher/mail/mail.hpp"
#include "wrenusher/store/store.hpp"

namespace wrenusher::membership {

using namespace base;
using namespace settings;
using namespace protocol;
using namespace store;
using namespace mail;

/// An edition as a field of a record or beat; none is no field.
void write_edition(Value::Map& out, const char* field, const topology::Edition& e);
topology::Edition read_edition(const Value& v);

class Leadership {
 public:
  Leadership(Runtime& rt, const Settings& settings, Store& store);
  void start();

  void on_peer(const PeerNews& news);
  void on_deposed(const Deposed& d);
  void on_hearing(const Hearing& h);
  void on_topology(const TopologyRead& t);
  void on_ready(const Readiness& r) { ready_ = r; }

  /// Leads, and may be sure that nobody else does.
  bool certain() const { return leading_ && rt_.now() < certain_until_; }

  Sink<TermChanged> changed;
  Sink<Certainty> certainty;
  Sink<TopologyInForce> force;
  Sink<Ceding> ceding;

 private:
  struct PeerState {
    PeerNews news;
    Instant at{};
  };
  void tick();
  void look();
  void leave(std::uint64_t stamp);
  void watch(std::uint64_t from);
  void take_watched(const FollowReply& f);
  void vacant();
  /// Candidates that go before this node.
  int before_me() const;
  bool warm_peer() const;
  Micros alone_after() const;
  void cede(const char* why, const std::function<bool(const PeerNews&)>& fit);
  void campaign(std::uint64_t stamp);
  void abandon(std::uint64_t tenancy);
  void win(std::uint64_t tenancy, std::uint64_t epoch, std::uint64_t stamp, Instant sent);
  void extend();
  void stand_down(const char* why, Micros abstain);
  void note_epoch(std::uint64_t epoch, const std::string& leader);
  void prove(Instant sent);
  bool fresh(const PeerState& p) const;
  topology::Edition mine() const;
  /// A peer heard of late has read this edition and reaches the state service.
  bool peer_has(const topology::Edition& e) const;
  void defer(std::uint64_t tenancy);
  void note_force(const topology::Edition& e);
  void tell_force();
  void complain();
  void adopt();
  void read_force();

  Runtime& rt_;
  const Settings& settings_;
  Store& store_;
  std::map<std::string, PeerState> peers_;
  std::shared_ptr<const topology::Topology> topology_;  ///< as read here
  topology::Edition force_;                             ///< as the state service or the leader told
  std::uint64_t term_stamp_ = 0;                        ///< of the `leader` record, while leading
  std::uint64_t epoch_stamp_ = 0;                       ///< of the record that names it, while leading
  std::pair<topology::Edition, topology::Edition> complained_;
  Instant deferring_since_{};  ///< to a peer that has the topology in force; nobody has led since
  Instant ceded_{};            ///< when the lead was last given to such a peer, or to a better placed one
  bool adopting_ = false;
  Instant next_adopt_{};
  bool leading_ = false;
  bool busy_ = false;
  std::uint64_t epoch_ = 0;
  std::uint64_t tenancy_ = 0;
  std::string leader_;
  Instant certain_until_{};
  Instant next_look_{};
  Instant started_{};
  bool watching_ = false;   ///< the `leader` record
  Instant vacant_since_{};  ///< nobody led when it was last seen
  Instant noticed_{};       ///< the same, when the campaign under way began
  Instant last_word_{};     ///< of a peer that leads
  Readiness ready_ = Readiness::cold;
  Instant next_extend_{};
  Instant abstain_until_{};
  Instant heard_peer_{};  ///< any of them
  Instant deaf_since_{};
  bool deaf_ = false;
  bool mute_ = false;
  bool had_workers_ = false;
  bool starved_ = false;
};

}  // namespace wrenusher::membership
