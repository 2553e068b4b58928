#pragma once
// Package replica: the warm standby. A node that does not lead keeps what it needs to start a term of its
// own: a replica of the records in the state service (the key-value store), and the leader's hints. After
// this node has won a term, it verifies the replica against the state service.
//
// A hint is state of a machine, job class, job or rental that no record contains. It may affect the order of
// work and estimates, but is never proof of anything. The leader publishes hints in messages of bounded size,
// which are part of the heartbeats between controllers, and each standby confirms the messages that it got.
//
// It may depend on time, value, runtime, settings, protocol, kv_client, records, events and log.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/events/failover.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/replica/hint_publisher.hpp"
#include "wrenusher/replica/record_replica.hpp"
#include "wrenusher/replica/replica_verifier.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::replica {

/// The warm standby of this node; does nothing if the settings do not enable it. Single-threaded: called from
/// the runtime's loop only.
class StandbyReplica {
 public:
  /// All arguments must outlive this.
  StandbyReplica(Runtime& runtime, const Settings& settings, KvClient& store);
  /// Starts the standby; must be called once, after the sinks are connected.
  void start();

  void on_term(const events::TermChanged& term);
  void on_attachment(const events::HeartbeatAttachment& event);
  void on_heartbeat_sent(const events::HeartbeatSent& event);
  void on_stepping_down(const events::SteppingDown& event);
  /// Publishes the hints that changed at this leader since the last event.
  void on_leader_hints(const std::shared_ptr<const events::LeaderHints>& hints);
  /// Publishes all rentals and rental requests of this leader; those not in the event are removed.
  void on_rental_hints(const std::shared_ptr<const events::RentalHints>& hints);
  void on_machine_departed(const events::MachineDeparted& event);

  [[nodiscard]] events::Readiness readiness() const;

  runtime::EventSink<events::HeartbeatAttachment> attachment;
  runtime::EventSink<events::Readiness> readiness_changed;
  runtime::EventSink<std::shared_ptr<const events::InheritedHints>> hints_inherited;
  runtime::EventSink<events::ReplicaVerified> replica_verified;
  runtime::EventSink<events::CancellationsRead> cancellations_read;
  runtime::EventSink<events::RecordsChanged> records_changed;

 private:
  /// The state of a peer, as received in its heartbeats.
  struct PeerState {
    std::uint64_t incarnation = 0;
    std::uint64_t first_valid_message = 0;  ///< hints in its earlier messages are invalid
    /// The incarnation of a leader of which the peer has all hints; 0: none.
    std::uint64_t synced_leader_incarnation = 0;
    std::vector<std::uint64_t> messages_to_confirm;  ///< received from the peer, to be confirmed to it
  };
  void tick();
  void publish_readiness(events::Readiness readiness);
  void warn_if_cold(events::Readiness readiness);
  [[nodiscard]] bool leading_term(std::uint64_t fencing_token) const {
    return term_.leading && term_.fencing_token == fencing_token;
  }

  void begin_term();
  void end_term();
  void publish_inherited_hints(Instant now);
  [[nodiscard]] std::map<std::string, std::uint64_t> synchronized_peers() const;
  void verify_records(const std::shared_ptr<records::RecordSnapshot>& snapshot);
  void on_verified(const ReplicaVerifier::Result& result,
                   const std::shared_ptr<records::RecordSnapshot>& snapshot);

  void send_hints(const std::string& peer);
  void send_all_hints();
  void merge_hints(const value::Value& message, PeerState& sender);

  Runtime& runtime_;
  const Settings& settings_;
  const std::uint64_t incarnation_;  ///< of this process
  events::TermChanged term_;
  RecordReplica replica_;
  ReplicaVerifier verifier_;
  HintPublisher publisher_;  ///< while this node leads
  HintTable hints_;          ///< while another node leads
  std::map<std::string, PeerState> peers_;
  /// The incarnation of the leader of which `hints_` contains all hints; 0: none.
  std::uint64_t synced_leader_incarnation_ = 0;
  /// When the leader last told this node that it had no more hints to send to it.
  Instant last_synced_at_{};
  std::optional<events::Readiness> published_readiness_;
  Instant not_warm_since_{};
  Instant next_warning_{};
};

}  // namespace wrenusher::replica
