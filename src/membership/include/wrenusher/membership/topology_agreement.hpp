#pragma once
// Agreement of all nodes on the active topology version: the version of the operators' map of failure domains
// that all nodes base decisions on. It is stored in the `epoch` record of the state service.

#include <cstdint>
#include <memory>
#include <utility>

#include "wrenusher/events/topology.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/membership/term_state.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::membership {

/// Compares the topology that this node has loaded with the active one, and activates a newer one while this
/// node leads. Owned by Leadership. Single-threaded: called from the runtime's loop only.
class TopologyAgreement {
 public:
  /// `activated` is fired at every change of the topology that decisions are based on. All arguments must
  /// outlive this object.
  TopologyAgreement(runtime::Runtime& runtime, kv_client::KvClient& store, const TermState& term,
                    const runtime::EventSink<events::TopologyActivated>& activated)
      : runtime_(runtime), store_(store), term_(term), activated_(activated) {}

  /// Returns the version that this node has loaded from its file; version 0: none.
  [[nodiscard]] topology::TopologyVersion own() const;
  /// Returns the active version as last reported by the state service or the leader; version 0: none.
  [[nodiscard]] const topology::TopologyVersion& active() const { return active_; }
  [[nodiscard]] bool differs() const { return own() != active_; }
  /// Returns whether this node needs another file: the active version differs and this node's is not newer.
  [[nodiscard]] bool is_outdated() const { return own().version <= active_.version && differs(); }

  void on_loaded(const events::TopologyLoaded& event);
  /// Sets the active version as reported by the state service or the leader.
  void set_active(const topology::TopologyVersion& version);
  /// Fires `activated` with the topology that the other actors base decisions on.
  void publish() const;
  /// Logs an error if this node's topology is not the active one, once for each pair of versions.
  void warn_on_mismatch();

  /// Records that this node has won a term and thereby activated `version`. The topology is published with
  /// `begin_term`.
  void on_term_won(const topology::TopologyVersion& version);
  /// Begins a term. `mod_revision`: revision of the `leader` and `epoch` records that began it.
  void begin_term(std::uint64_t mod_revision);
  /// Retries the activation of this leader's newer topology, at most once a second.
  void activate_own_if_due();

  /// Returns whether this node, which could win a term, should leave it to a peer that has the active
  /// topology. Returns false once this node has deferred for `kMaxDeferral`.
  [[nodiscard]] bool should_defer();
  /// Ends the deferral, since a leader exists; a later deferral starts with the full time.
  void on_leader_observed() { deferral_started_at_ = {}; }

 private:
  /// Writes this leader's newer topology version into the `epoch` record, which the next leader reads before
  /// its term begins.
  void activate_own();
  void on_activation_committed(const kv_client::CommitReply& reply, std::uint64_t fencing_token,
                               const topology::TopologyVersion& version);
  void read_active();

  runtime::Runtime& runtime_;
  kv_client::KvClient& store_;
  const TermState& term_;
  const runtime::EventSink<events::TopologyActivated>& activated_;

  std::shared_ptr<const topology::Topology> own_topology_;
  topology::TopologyVersion active_;
  struct LoggedMismatch {
    topology::TopologyVersion own;
    topology::TopologyVersion active;
    bool operator==(const LoggedMismatch&) const = default;
  };
  LoggedMismatch logged_mismatch_;
  time::Instant deferral_started_at_{};  ///< start of the current deferral; 0: not deferring

  // While leading:
  std::uint64_t leader_revision_ = 0;  ///< revision of the `leader` record
  std::uint64_t token_revision_ = 0;   ///< revision of the `epoch` record
  bool activation_pending_ = false;    ///< a commit by `activate_own` has no reply yet
  time::Instant next_activation_{};
};

}  // namespace wrenusher::membership
