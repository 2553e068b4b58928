#pragma once
// Package replica: what a node that does not lead holds ready, so that a term begins with what the last one
// had learnt. It owns a copy of the records (checked against the state service when this node has won) and
// the leader's hints of what no record holds, which travel as bounded pieces in the peers' heartbeats. A hint
// may order and estimate, never prove. It may depend on base, settings, protocol, store, records and mail.

#include <map>
#include <random>
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

class StandbyReplica {
 public:
  StandbyReplica(Runtime& runtime, const Settings& settings, KvClient& store);
  void start();

  void on_term(const TermChanged& term);
  void on_attachment(const HeartbeatAttachment& event);
  void on_heartbeat_sent(const HeartbeatSent& event);
  void on_stepping_down(const SteppingDown& event);
  void on_leader_hints(const std::shared_ptr<const LeaderHints>& hints);
  void on_rental_hints(const std::shared_ptr<const RentalHints>& hints);
  void on_machine_departed(const MachineDeparted& event);

  Readiness readiness() const;

  EventSink<HeartbeatAttachment> attachment;
  EventSink<Readiness> readiness_changed;
  EventSink<std::shared_ptr<const InheritedHints>> hints_inherited;
  EventSink<ReplicaVerified> replica_verified;
  EventSink<CancellationsRead> cancellations_read;
  EventSink<RecordsChanged> records_changed;

 private:
  /// What a peer said of itself.
  struct PeerState {
    std::uint64_t incarnation = 0;
    std::uint64_t since = 0;                ///< what it told before this message of its is void
    std::uint64_t complete_from = 0;        ///< the leader's life that told it all there was
    std::vector<std::uint64_t> to_confirm;  ///< messages that came from it
  };
  void tick();
  void begin_term();
  void merge_hints(const Value& value, PeerState& from);
  void send_hints(const std::string& peer);
  void send_all_hints();

  Runtime& runtime_;
  const Settings& settings_;
  const std::uint64_t incarnation_;  ///< tells this process from its earlier ones
  TermChanged term_;
  RecordReplica replica_;
  ReplicaVerifier verifier_;
  HintPublisher publisher_;
  HintTable hints_;  ///< while another leads
  std::map<std::string, PeerState> peers_;
  std::uint64_t complete_from_ = 0;  ///< whose picture this is, once nothing of it is missing
  Instant complete_at_{};            ///< when that was last so
  std::optional<Readiness> published_readiness_;
  Instant cold_since_{};
  Instant warn_cold_at_{};
};

}  // namespace wrenusher::replica
