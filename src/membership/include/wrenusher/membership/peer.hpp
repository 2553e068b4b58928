#pragma once
// Heartbeats between controllers: epoch, leader, what each can reach, cancellations just accepted, what users
// are about to be told, and what others want to ride along.

#include <deque>
#include <memory>
#include <optional>

#include "wrenusher/membership/cancellation_log.hpp"
#include "wrenusher/membership/leadership.hpp"

namespace wrenusher::membership {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace protocol;
using namespace kv_client;
using namespace events;

class Peer {
 public:
  Peer(Runtime& runtime, const Settings& settings);
  void start();
  /// Another controller's request on `peer_listen`.
  void serve(const Request& request, const Responder& answer);

  void on_term(const TermChanged& term);
  void on_health(const KvHealth& health) { kv_reachable_ = health.reachable; }
  void on_worker_reachability(const WorkerReachability& event) { receives_reports_ = event.receives_reports; }
  void on_cancelled(const JobCancelled& event);
  void on_cancellations_read(const CancellationsRead& event);
  void on_announcement(const StageAnnouncement& event);
  void on_topology_loaded(const TopologyLoaded& event);
  void on_topology_activated(const TopologyActivated& event) { active_topology_ = event.version; }
  void on_progress(const std::shared_ptr<const Progress>& counts);
  void on_readiness(const Readiness& event) { readiness_ = event; }
  void on_stepping_down(const SteppingDown& event);
  void on_attachment(const HeartbeatAttachment& event) { attachments_[event.peer] = event.value; }

  EventSink<HeartbeatSent> heartbeat_sent;
  EventSink<HeartbeatAttachment> attachment_received;
  EventSink<PeerStatus> peer_status;
  EventSink<JobCancelled> job_cancelled;
  EventSink<CancellationsKnown> cancellations_known;
  EventSink<StageAnnouncement> stage_announced;  ///< a peer is about to tell a user so
  EventSink<StageAnnouncement> stage_confirmed;  ///< every peer knows that this node is
  EventSink<std::shared_ptr<const Progress>> progress;

 private:
  void send_heartbeats();
  /// To all peers; `only_news`: without what can wait for the next beat, and not to those that answer
  /// nothing.
  void send_to_peers(bool only_news = false);
  Value write_heartbeat(const std::string& peer);
  void write_progress(const std::string& peer, Value::Map& out);
  bool progress_sent() const;
  void merge_progress(const Value& value);
  void send_urgent();
  /// Whether there are no more announcements of the peer than are known here by now.
  bool merge_announcements(const std::string& node, const Value& value);
  void log_refused_field(const std::string& node, const std::string& fault);
  void merge_cancellations(const std::string& node, const Value& value, std::optional<Instant> asked);
  void publish_known();
  bool abstains() const { return runtime_.now() < abstain_until_; }
  /// What a peer says. `asked`: when the question went out that this answers; nothing: it came by itself, and
  /// may be a copy that is late.
  void read_heartbeat(const Value& value, std::optional<Instant> asked);
  bool is_newer(const std::string& node, const Value& value, bool answer);

  Runtime& runtime_;
  const Settings& settings_;
  TermChanged term_;
  bool kv_reachable_ = false;
  topology::TopologyVersion own_topology_;
  topology::TopologyVersion active_topology_;
  bool receives_reports_ = false;
  std::uint64_t incarnation_;
  CancellationLog cancellations_;
  ReplicatedLog announcements_;
  std::map<std::string, int> unanswered_;             ///< heartbeats under way, by peer
  Instant last_urgent_{};                             ///< when the peers were last told at once
  bool urgent_scheduled_ = false;                     ///< they will be in a moment
  std::set<std::string> logged_refusals_;             ///< peer and field of what was refused, each told once
  std::shared_ptr<const Progress> pending_progress_;  ///< goes out with the next beats
  bool progress_sorted_ = false;                      ///< its rows are sorted by job
  /// How far a peer has been sent the task counts: up to this job, or all of them.
  struct ProgressCursor {
    std::string after;
    bool finished = false;
  };
  std::map<std::string, ProgressCursor> progress_cursors_;
  std::map<std::string, Value> attachments_;  ///< by peer: likewise
  Readiness readiness_ = Readiness::cold;
  Instant abstain_until_{};
  std::string successor_;
  /// By which a peer tells this node's words in order, over its lives as well: time of day when it began, and
  /// a count.
  std::uint64_t started_wall_ms_ = 0;
  std::uint64_t heartbeat_count_ = 0;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
      newest_heartbeat_;  ///< the newest word of each peer
};

}  // namespace wrenusher::membership
