#pragma once
// Which version of the operators' map of failure domains all nodes judge by: the one "in force", named in the
// `epoch` record of the state service.

#include <cstdint>
#include <memory>
#include <utility>

#include "wrenusher/events/topology.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/membership/term_state.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::membership {

/// Compares this node's own topology with the active one, and puts a newer one into force while this node
/// leads. Owned by Leadership. Single-threaded: called from the runtime's loop only.
class TopologyAgreement {
 public:
  /// `activated` gets every change of the topology that decisions are made by. All arguments must outlive
  /// this.
  TopologyAgreement(runtime::Runtime& runtime, kv_client::KvClient& store, const TermState& term,
                    const runtime::EventSink<events::TopologyActivated>& activated)
      : runtime_(runtime), store_(store), term_(term), activated_(activated) {}

  /// The version that this node has read from its file; version 0: none.
  [[nodiscard]] topology::TopologyVersion own() const;
  /// The version in force, as the state service or the leader said last; version 0: none.
  [[nodiscard]] const topology::TopologyVersion& active() const { return active_; }
  [[nodiscard]] bool differs() const { return own() != active_; }
  /// This node should get a newer file: the version in force differs and this node's is not newer.
  [[nodiscard]] bool is_outdated() const { return own().version <= active_.version && differs(); }

  void on_loaded(const events::TopologyLoaded& event);
  /// The state service or the leader says that this version is in force.
  void note_active(const topology::TopologyVersion& version);
  /// Tells the other actors what to decide by.
  void publish() const;
  /// Logs that this node's topology is not the one in force, once for each pair of versions.
  void warn_if_different();

  /// This node has won a term, and with it put `version` into force. Takes effect with `begin_term`.
  void note_won(const topology::TopologyVersion& version);
  /// `mod_revision`: of the `leader` and `epoch` records that the term began with.
  void begin_term(std::uint64_t mod_revision);
  /// Tries again to put this leader's newer topology into force, at most once a second.
  void activate_own_if_due();

  /// Whether this node, which would win a term, should wait for a peer that has the version in force. False
  /// once it has waited for too long in vain.
  [[nodiscard]] bool should_defer();
  /// Somebody leads: the next deferral begins anew.
  void on_leader_known() { deferring_since_ = {}; }

 private:
  /// Writes this leader's newer topology into the record that the next leader reads before its term.
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
  time::Instant deferring_since_{};  ///< 0: not deferring; nobody has led since

  // While leading:
  std::uint64_t leader_revision_ = 0;  ///< of the `leader` record
  std::uint64_t token_revision_ = 0;   ///< of the `epoch` record
  bool activating_ = false;            ///< a write is under way
  time::Instant next_activation_{};
};

}  // namespace wrenusher::membership
