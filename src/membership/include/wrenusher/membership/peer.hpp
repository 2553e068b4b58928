#pragma once
// Heartbeats between controllers: term, leader, what each of them can reach, which cancellations users were
// told of, which stages of jobs users are about to be told of, and what other actors attach.

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

/// Sends this node's heartbeats to its peers, every 500 ms and at once when there is urgent news, and reads
/// theirs, which come as requests and as replies. Single-threaded: called from the runtime's loop only.
class Peer {
 public:
  /// Both arguments must outlive this.
  Peer(runtime::Runtime& runtime, const settings::Settings& settings);

  /// To be called once, after the sinks are connected.
  void start();
  /// Answers another controller's request on `peer_listen`.
  void serve(const runtime::Request& request, const runtime::Responder& answer);

  void on_term(const events::TermChanged& term);
  void on_health(const kv_client::KvHealth& health) { own_.kv_reachable = health.reachable; }
  void on_worker_reachability(const events::WorkerReachability& event) {
    own_.receives_reports = event.receives_reports;
  }
  /// A user is about to be told here that the job is cancelled.
  void on_cancelled(const events::JobCancelled& event);
  void on_cancellations_read(const events::CancellationsRead& event);
  /// A user is to be told a job's stage once every peer knows it.
  void on_announcement(const events::StageAnnouncement& event);
  void on_topology_loaded(const events::TopologyLoaded& event);
  void on_topology_activated(const events::TopologyActivated& event) { own_.active_topology = event.version; }
  void on_progress(const std::shared_ptr<const events::Progress>& counts) { progress_pager_.update(counts); }
  void on_readiness(const events::Readiness& readiness) { own_.readiness = readiness; }
  void on_stepping_down(const events::SteppingDown& event);
  /// Goes out with the next heartbeat to its peer.
  void on_attachment(const events::HeartbeatAttachment& event) { attachments_[event.peer] = event.value; }

  runtime::EventSink<events::HeartbeatSent> heartbeat_sent;
  runtime::EventSink<events::HeartbeatAttachment> attachment_received;
  runtime::EventSink<events::PeerStatus> peer_status;
  runtime::EventSink<events::JobCancelled> job_cancelled;
  runtime::EventSink<events::CancellationsKnown> cancellations_known;
  runtime::EventSink<events::StageAnnouncement> stage_announced;  ///< a peer is about to tell a user so
  runtime::EventSink<events::StageAnnouncement> stage_confirmed;  ///< every peer knows that this node is
  runtime::EventSink<std::shared_ptr<const events::Progress>> progress;

 private:
  enum class HeartbeatScope {
    full,
    urgent  ///< without task counts, and not to peers that do not answer
  };
  void send_heartbeats();
  void send_to_peers(HeartbeatScope scope);
  void send_urgent();
  void send_urgent_now();
  [[nodiscard]] value::Value::Map write_heartbeat(const std::string& peer);
  [[nodiscard]] bool abstains() const { return runtime_.now() < abstain_until_; }

  /// `asked_at`: when the request was sent that the heartbeat answers; empty: it came by itself, and may be a
  /// delayed copy.
  void read_heartbeat(const value::Value& value, std::optional<Instant> asked_at);
  bool accept_number(const std::string& node, const value::Value& value, bool is_answer);
  void merge_cancellations(const std::string& node, const value::Value& value,
                           std::optional<Instant> asked_at);
  [[nodiscard]] bool merge_announcements(const std::string& node, const value::Value& value);
  void log_refused_field(const std::string& node, const std::string& error);
  void publish_known();

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  events::PeerStatus own_;  ///< what this node says of itself; `abstains` is set when it is written
  std::uint64_t incarnation_;
  CancellationLog cancellations_;
  ReplicatedLog announcements_;
  ProgressPager progress_pager_;
  std::map<std::string, value::Value> attachments_;  ///< for the next heartbeat, by peer
  std::map<std::string, int> unanswered_;            ///< heartbeats that a peer has not answered yet
  Instant last_urgent_{};                            ///< when urgent news was last sent
  bool urgent_scheduled_ = false;                    ///< some will be, within the pause between two
  Instant abstain_until_{};
  HeartbeatNumber sent_number_;                             ///< of the newest heartbeat sent
  std::map<std::string, HeartbeatNumber> newest_received_;  ///< by peer
  std::set<std::string> logged_refusals_;                   ///< peer and error, each of which is logged once
};

}  // namespace wrenusher::membership
