#pragma once
// Package replica: what a node that does not lead holds ready, so that its term begins with what the last
// leader had learnt. It owns a replica of the records (verified against the state service once this node has
// won a term) and the hints of what no record holds, which the leader publishes in bounded messages that
// travel in the heartbeats between controllers. A hint may order and estimate, never prove. It may depend on
// time, value, runtime, settings, protocol, kv_client, records, events and log.

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

/// The warm standby of this node: does nothing where the settings have none. Single-threaded: called from the
/// runtime's loop only.
class StandbyReplica {
 public:
  /// All arguments must outlive this.
  StandbyReplica(Runtime& runtime, const Settings& settings, KvClient& store);
  /// To be called once, after the sinks are connected.
  void start();

  void on_term(const events::TermChanged& term);
  void on_attachment(const events::HeartbeatAttachment& event);
  void on_heartbeat_sent(const events::HeartbeatSent& event);
  void on_stepping_down(const events::SteppingDown& event);
  /// What changed at this leader since the last event.
  void on_leader_hints(const std::shared_ptr<const events::LeaderHints>& hints);
  /// All rentals and rental requests of this leader.
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
  /// What a peer said of itself.
  struct PeerState {
    std::uint64_t incarnation = 0;
    std::uint64_t first_message = 0;        ///< what it published before this message is void
    std::uint64_t complete_from = 0;        ///< incarnation of the leader whose hints it has all of; 0: none
    std::vector<std::uint64_t> to_confirm;  ///< messages that came from it
  };
  void tick();
  void publish_readiness(events::Readiness readiness);
  void warn_if_cold(events::Readiness readiness);
  [[nodiscard]] bool is_term(std::uint64_t fencing_token) const {
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
  std::uint64_t complete_from_ = 0;  ///< incarnation of the leader whose hints `hints_` has all of; 0: none
  Instant complete_at_{};            ///< when that was last so
  std::optional<events::Readiness> published_readiness_;
  Instant not_warm_since_{};
  Instant next_warning_{};
};

}  // namespace wrenusher::replica
