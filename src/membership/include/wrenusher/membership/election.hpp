#pragma once
// How a term is won: watching who leads, noticing a vacancy, taking turns with the other candidates, and the
// compare-and-swap on the `leader` and `epoch` records that begins a term.

#include <cstdint>
#include <functional>
#include <string>

#include "wrenusher/events/membership.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/membership/peer_table.hpp"
#include "wrenusher/membership/term_state.hpp"
#include "wrenusher/membership/topology_agreement.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::membership {

using time::Micros;

/// Owned by Leadership, which calls `tick` while this node does not lead. Single-threaded: called from the
/// runtime's loop only.
class Election {
 public:
  struct Victory {
    std::uint64_t lease_id = 0;
    std::uint64_t fencing_token = 0;
    std::uint64_t mod_revision = 0;  ///< of the `leader` and `epoch` records
    Instant sent_at{};               ///< when the lease was asked for
    Instant vacancy_noticed{};       ///< when it was first seen that nobody led; 0: it was not
  };

  /// All arguments must outlive this.
  Election(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store,
           const TermState& term, const PeerTable& peers, TopologyAgreement& topology)
      : runtime_(runtime),
        settings_(settings),
        store_(store),
        term_(term),
        peers_(peers),
        topology_(topology) {}

  /// This node has won a term. To be set before `start`.
  std::function<void(const Victory&)> won;
  /// The state service names another node as the leader of this term. To be set before `start`.
  std::function<void(std::uint64_t fencing_token, const std::string& leader)> leader_seen;

  void start() { started_at_ = runtime_.now(); }
  /// Looks who leads, when that is due.
  void tick();
  void on_readiness(events::Readiness readiness) { readiness_ = readiness; }
  /// This node's term has ended: it does not campaign for so long.
  void on_stepped_down(Micros abstention);

 private:
  /// The steps of one attempt to win a term.
  struct Campaign {
    std::uint64_t leader_revision = 0;  ///< the `leader` record to replace; 0: it must be absent
    Instant sent_at{};
    std::uint64_t lease_id = 0;
  };
  void check_leader();
  void on_leader_read(const kv_client::ReadReply& reply);
  void on_own_lease_found(std::uint64_t leader_revision);
  void revoke_own_lease(std::uint64_t leader_revision);
  void watch_leader(std::uint64_t from_revision);
  void on_leader_changed(const kv_client::WatchReply& reply);
  void on_vacancy();

  void campaign(std::uint64_t leader_revision);
  void read_token(const Campaign& campaign);
  void claim_term(const Campaign& campaign, const kv_client::ReadReply& token_record);
  void abandon_campaign(std::uint64_t lease_id);

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  const TermState& term_;
  const PeerTable& peers_;
  TopologyAgreement& topology_;

  events::Readiness readiness_ = events::Readiness::cold;
  Instant started_at_{};
  bool busy_ = false;      ///< a look or a campaign is under way
  bool watching_ = false;  ///< the `leader` record
  Instant next_check_{};
  Instant vacant_since_{};     ///< when it was first seen that nobody leads; 0: somebody does
  Instant vacancy_noticed_{};  ///< the same, when the campaign under way began
  Instant abstain_until_{};
};

}  // namespace wrenusher::membership
