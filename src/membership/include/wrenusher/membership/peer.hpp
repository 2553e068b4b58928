#pragma once
// Heartbeats between controllers. They carry the fencing token of the newest term that the sender knows and
// that term's leader, what the sender can reach, the cancellations that it confirmed to users, announcements
// of job stages that it is about to return to users, and data that other actors attach.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/membership/cancellation_log.hpp"
#include "wrenusher/membership/heartbeat_codec.hpp"
#include "wrenusher/membership/progress_pager.hpp"
#include "wrenusher/membership/replicated_log.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::membership {

/// Sends heartbeats to the peers every 500 ms, and at once for cancellations and announcements; reads the
/// peers' heartbeats, which arrive as requests and as replies. Single-threaded: called from the runtime's
/// loop only.
class Peer {
 public:
  /// Both arguments must outlive this object.
  Peer(runtime::Runtime& runtime, const settings::Settings& settings);

  /// Must be called once, after the sinks are connected.
  void start();
  /// Replies to a request of another controller on `peer_listen`.
  void serve(const runtime::Request& request, const runtime::Responder& respond);

  void on_term(const events::TermChanged& term);
  void on_health(const kv_client::KvHealth& health) { own_status_.kv_reachable = health.reachable; }
  void on_worker_reachability(const events::WorkerReachability& event) {
    own_status_.receives_reports = event.receives_reports;
  }
  /// Replicates a cancellation that this node is about to confirm to a user.
  void on_cancelled(const events::JobCancelled& event);
  void on_cancellations_read(const events::CancellationsRead& event);
  /// Announces a job's stage to the peers. The stage may be returned to a user once `stage_confirmed` has
  /// fired for it.
  void on_announcement(const events::StageAnnouncement& event);
  void on_topology_loaded(const events::TopologyLoaded& event);
  void on_topology_activated(const events::TopologyActivated& event) {
    own_status_.active_topology = event.version;
  }
  void on_progress(const std::shared_ptr<const events::Progress>& counts) { progress_pager_.update(counts); }
  void on_readiness(const events::Readiness& readiness) { own_status_.readiness = readiness; }
  void on_stepping_down(const events::SteppingDown& event);
  /// Attaches the value to the next heartbeat to its peer.
  void on_attachment(const events::HeartbeatAttachment& event) { attachments_[event.peer] = event.value; }

  runtime::EventSink<events::HeartbeatSent> heartbeat_sent;
  runtime::EventSink<events::HeartbeatAttachment> attachment_received;
  runtime::EventSink<events::PeerStatus> peer_status;
  runtime::EventSink<events::JobCancelled> job_cancelled;
  runtime::EventSink<events::CancellationsKnown> cancellations_known;
  runtime::EventSink<events::StageAnnouncement> stage_announced;  ///< received from a peer
  runtime::EventSink<events::StageAnnouncement> stage_confirmed;  ///< received by every peer
  runtime::EventSink<std::shared_ptr<const events::Progress>> progress;

 private:
  enum class HeartbeatScope {
    full,
    urgent  ///< without task counts, and not to peers with too many unanswered heartbeats
  };
  void send_heartbeats();
  void send_to_peers(HeartbeatScope scope);
  void send_urgent();
  void send_urgent_now();
  [[nodiscard]] value::Value::Map write_heartbeat(const std::string& peer);
  [[nodiscard]] bool abstains() const { return runtime_.now() < abstain_until_; }

  /// `request_sent_at`: send time of the request that the heartbeat replies to; empty: the heartbeat was not
  /// a reply and may be a delayed copy.
  void read_heartbeat(const value::Value& value, std::optional<Instant> request_sent_at);
  bool accept_if_newest(const std::string& node, const value::Value& value, bool is_reply);
  void merge_cancellations(const std::string& node, const value::Value& value,
                           std::optional<Instant> request_sent_at);
  [[nodiscard]] bool merge_announcements(const std::string& node, const value::Value& value);
  void log_refused_field(const std::string& node, const std::string& error);
  void publish_complete_through();

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  events::PeerStatus own_status_;  ///< status of this node; `abstains` is set when a heartbeat is written
  std::uint64_t incarnation_;
  CancellationLog cancellations_;
  ReplicatedLog announcements_;
  ProgressPager progress_pager_;
  std::map<std::string, value::Value> attachments_;   ///< by peer, for its next heartbeat
  std::map<std::string, int> unanswered_heartbeats_;  ///< by peer
  Instant last_urgent_at_{};                          ///< when an urgent heartbeat was last sent; 0: never
  bool urgent_scheduled_ = false;  ///< an urgent heartbeat is scheduled within `kMinUrgentInterval`
  Instant abstain_until_{};
  HeartbeatNumber sent_number_;                             ///< of the newest heartbeat sent
  std::map<std::string, HeartbeatNumber> newest_received_;  ///< by peer
  std::set<std::string> logged_refusals_;                   ///< "peer: error", each logged once
};

}  // namespace wrenusher::membership
