#pragma once
// Election of a leader: watches the `leader` record in the state service and notices when it is absent (a
// vacancy). It then waits until the candidates with precedence have had time to win, and campaigns: it begins
// a term by a compare-and-swap on the `leader` and `epoch` records.

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
  /// Result of a won campaign.
  struct Victory {
    std::uint64_t lease_id = 0;
    std::uint64_t fencing_token = 0;
    std::uint64_t mod_revision = 0;  ///< revision of the `leader` and `epoch` records
    Instant sent_at{};               ///< send time of the request for the lease
    Instant vacancy_noticed{};       ///< when the vacancy was noticed; 0: there was no vacancy
  };

  /// All arguments must outlive this object.
  Election(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store,
           const TermState& term, const PeerTable& peers, TopologyAgreement& topology)
      : runtime_(runtime),
        settings_(settings),
        store_(store),
        term_(term),
        peers_(peers),
        topology_(topology) {}

  /// Called when this node has won a term. Must be set before `start`.
  std::function<void(const Victory&)> won;
  /// Called when the state service names another node as the leader of this term. Must be set before `start`.
  std::function<void(std::uint64_t fencing_token, const std::string& leader)> leader_seen;

  void start() { started_at_ = runtime_.now(); }
  /// Reads the `leader` record if a check is due and no check or campaign is in progress. The reply starts a
  /// campaign if the record is absent and it is this node's turn, or if the record is left from an earlier
  /// incarnation of this node and no warm peer should lead instead.
  void tick();
  void on_readiness(events::Readiness readiness) { readiness_ = readiness; }
  /// Called when this node's term has ended: this node does not campaign for the duration `abstention`.
  void on_stepped_down(Micros abstention);

 private:
  /// One attempt to win a term.
  struct Campaign {
    std::uint64_t leader_revision = 0;  ///< revision of the `leader` record to replace; 0: it must be absent
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
  bool busy_ = false;      ///< whether a check or a campaign is in progress
  bool watching_ = false;  ///< whether a watch on the `leader` record is in progress
  Instant next_check_{};
  Instant vacancy_noticed_at_{};           ///< when this node first saw no leader; 0: there is a leader
  Instant campaign_vacancy_noticed_at_{};  ///< value of `vacancy_noticed_at_` when the current campaign began
  Instant abstain_until_{};
};

}  // namespace wrenusher::membership
