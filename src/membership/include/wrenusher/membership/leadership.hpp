#pragma once
// Package membership: who may give commands, and what the controllers tell each other. Leadership owns the
// hold in the state service, the epoch of each term, and the window in which this node may be certain that
// nobody else leads, and which topology is in force; Peer owns the heartbeats. It may depend on base,
// settings, protocol, topology, store and mail.

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::membership {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace protocol;
using namespace kv_client;
using namespace events;

/// An edition as a field of a record or beat; none is no field.
void write_topology_version(Value::Map& out, const char* field, const topology::TopologyVersion& version);
topology::TopologyVersion read_topology_version(const Value& value);

class Leadership {
 public:
  Leadership(Runtime& runtime, const Settings& settings, KvClient& store);
  void start();

  void on_peer_status(const PeerStatus& news);
  void on_leadership_lost(const LeadershipLost& event);
  void on_worker_reachability(const WorkerReachability& event);
  void on_topology_loaded(const TopologyLoaded& event);
  void on_readiness(const Readiness& event) { readiness_ = event; }

  /// Leads, and may be sure that nobody else does.
  bool lease_valid() const { return leading_ && runtime_.now() < lease_valid_until_; }

  EventSink<TermChanged> term_changed;
  EventSink<LeaseValidity> lease_validity;
  EventSink<TopologyActivated> topology_activated;
  EventSink<SteppingDown> stepping_down;

 private:
  struct PeerState {
    PeerStatus status;
    Instant received_at{};
  };
  void tick();
  void check_leader();
  void revoke_own_lease(std::uint64_t mod_revision);
  void watch_leader(std::uint64_t from);
  void on_leader_watched(const WatchReply& reply);
  void on_vacancy();
  /// Candidates that go before this node.
  int candidates_ahead() const;
  bool has_warm_peer() const;
  Micros wait_for_peers() const;
  void step_down_for(const char* why, const std::function<bool(const PeerStatus&)>& fit);
  void campaign(std::uint64_t mod_revision);
  void abandon_campaign(std::uint64_t lease_id);
  void begin_term(std::uint64_t lease_id, std::uint64_t fencing_token, std::uint64_t mod_revision,
                  Instant sent);
  void renew_lease();
  void step_down(const char* why, Micros abstain);
  void note_token(std::uint64_t fencing_token, const std::string& leader);
  void extend_validity(Instant sent);
  bool is_fresh(const PeerState& peer) const;
  topology::TopologyVersion own_topology() const;
  /// A peer heard of late has read this edition and reaches the state service.
  bool peer_has_topology(const topology::TopologyVersion& version) const;
  void defer_to_peer(std::uint64_t lease_id);
  void note_active_topology(const topology::TopologyVersion& version);
  void publish_topology();
  void warn_topology_mismatch();
  void adopt_topology();
  void read_active_topology();

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  std::map<std::string, PeerState> peers_;
  std::shared_ptr<const topology::Topology> topology_;  ///< as read here
  topology::TopologyVersion active_topology_;           ///< as the state service or the leader told
  std::uint64_t leader_revision_ = 0;                   ///< of the `leader` record, while leading
  std::uint64_t token_revision_ = 0;                    ///< of the record that names it, while leading
  std::pair<topology::TopologyVersion, topology::TopologyVersion> warned_topologies_;
  Instant deferring_since_{};  ///< to a peer that has the topology in force; nobody has led since
  Instant stepped_down_at_{};  ///< when the lead was last given to such a peer, or to a better placed one
  bool adopting_ = false;
  Instant next_adopt_{};
  bool leading_ = false;
  bool campaigning_ = false;
  std::uint64_t fencing_token_ = 0;
  std::uint64_t lease_id_ = 0;
  std::string leader_;
  Instant lease_valid_until_{};
  Instant next_check_{};
  Instant started_at_{};
  bool watching_ = false;            ///< the `leader` record
  Instant vacant_since_{};           ///< nobody led when it was last seen
  Instant vacancy_noticed_{};        ///< the same, when the campaign under way began
  Instant last_leader_heartbeat_{};  ///< of a peer that leads
  Readiness readiness_ = Readiness::cold;
  Instant next_renewal_{};
  Instant abstain_until_{};
  Instant last_peer_heartbeat_{};  ///< any of them
  Instant unheard_since_{};
  bool receives_nothing_ = false;
  bool replies_lost_ = false;
  bool had_workers_ = false;
  bool starved_ = false;
};

}  // namespace wrenusher::membership
