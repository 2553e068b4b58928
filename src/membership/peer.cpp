#include "wrenusher/membership/peer.hpp"

#include "wrenusher/log/log.hpp"

namespace wrenusher::membership {

using events::CancellationsKnown;
using events::CancellationsRead;
using events::HeartbeatAttachment;
using events::HeartbeatSent;
using events::JobCancelled;
using events::StageAnnouncement;
using events::SteppingDown;
using events::TermChanged;
using events::TopologyLoaded;
using runtime::CallResult;
using runtime::Request;
using runtime::Responder;
using runtime::Runtime;
using settings::PeerAddress;
using settings::Settings;
using time::from_millis;
using time::from_seconds;

namespace {

constexpr Micros kHeartbeatInterval = from_millis(500);
constexpr Micros kHeartbeatTimeout = from_seconds(1);
/// Minimum time between urgent heartbeats; cancellations and announcements within it are sent together.
constexpr Micros kMinUrgentInterval = from_millis(50);
/// A peer with this many unanswered heartbeats is sent only regular heartbeats, no urgent ones.
constexpr int kMaxUnansweredHeartbeats = 3;
/// Number of unconfirmed announcements that are kept although no user waits for them any more. Announcements
/// younger than `kAnnouncementRetention` are all kept, however many machines there are.
constexpr std::size_t kMaxAnnouncements = 1000;
/// Twice the maximum time that a reply to a user waits for the peers.
constexpr Micros kAnnouncementRetention = from_seconds(4);
/// How long the heartbeats of a node that handed the leadership over say that it abstains, and name its
/// successor.
constexpr Micros kAbstentionPeriod = from_seconds(4);

std::vector<std::string> names_of(const std::vector<PeerAddress>& peers) {
  std::vector<std::string> names;
  names.reserve(peers.size());
  for (const PeerAddress& peer : peers) names.push_back(peer.name);
  return names;
}

ReplicatedLog::Options announcement_options() {
  return {{"told", "told_log", "told_got"},
          "announcements",
          valid_announcement,
          kMaxAnnouncements,
          kAnnouncementRetention};
}

}  // namespace

Peer::Peer(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      incarnation_(runtime.random()() | 1U),
      cancellations_(incarnation_, names_of(settings.peers)),
      announcements_(incarnation_, names_of(settings.peers), announcement_options()) {
  own_status_.node = settings.node;
}

void Peer::start() {
  cancellations_.start(runtime_.now(), settings_.cancel_deadline);
  sent_number_.started_wall_ms =
      static_cast<std::uint64_t>(runtime_.wall_time().time_since_epoch() / from_millis(1));
  send_heartbeats();
}

// ---------------------------------------------------------------- sending

void Peer::send_heartbeats() {
  send_to_peers(HeartbeatScope::full);
  progress_pager_.drop_if_all_sent();
  heartbeat_sent(HeartbeatSent{});
  runtime_.after(kHeartbeatInterval, [this] { send_heartbeats(); });
}

void Peer::send_to_peers(HeartbeatScope scope) {
  for (const PeerAddress& peer : settings_.peers) {
    int& unanswered = unanswered_heartbeats_[peer.name];
    if (scope == HeartbeatScope::urgent && unanswered >= kMaxUnansweredHeartbeats) continue;
    ++unanswered;
    Value::Map heartbeat = write_heartbeat(peer.name);
    if (auto attachment = attachments_.extract(peer.name))
      heartbeat.emplace_back(kAttachmentField, std::move(attachment.mapped()));
    if (scope == HeartbeatScope::full) progress_pager_.write(peer.name, heartbeat);
    runtime_.call(peer.address, {"POST", "/beat", encode(Value(std::move(heartbeat)))}, kHeartbeatTimeout,
                  [this, name = peer.name, request_sent_at = runtime_.now()](const CallResult& result) {
                    --unanswered_heartbeats_[name];
                    if (!result.answered || result.response.status != 200) return;
                    if (const auto value = value::decode(result.response.body))
                      read_heartbeat(*value, request_sent_at);
                  });
  }
}

/// Sends a heartbeat to the peers at once, since the leader may be unable to reach the state service. Calls
/// within `kMinUrgentInterval` share one heartbeat.
void Peer::send_urgent() {
  if (urgent_scheduled_) return;
  const Micros delay = last_urgent_at_ + kMinUrgentInterval - runtime_.now();
  if (last_urgent_at_ == Instant{} || delay.count() <= 0) {
    send_urgent_now();
    return;
  }
  urgent_scheduled_ = true;
  runtime_.after(delay, [this] {
    urgent_scheduled_ = false;
    send_urgent_now();
  });
}

void Peer::send_urgent_now() {
  last_urgent_at_ = runtime_.now();
  send_to_peers(HeartbeatScope::urgent);
}

Value::Map Peer::write_heartbeat(const std::string& peer) {
  own_status_.abstains = abstains();
  ++sent_number_.sequence;
  Value::Map heartbeat = write_heartbeat_head(own_status_, sent_number_);
  // A peer that confirms an announcement must have every cancellation that was recorded before it.
  const bool all_cancellations = cancellations_.write(peer, heartbeat);
  announcements_.write(peer, heartbeat, all_cancellations ? ReplicatedLog::kMaxRowsPerHeartbeat : 0);
  write_heartbeat_tail(own_status_, heartbeat);
  return heartbeat;
}

// ---------------------------------------------------------------- receiving

void Peer::serve(const Request& request, const Responder& respond) {
  if (request.target != "/beat") {
    respond({404, {}, 0});
    return;
  }
  const auto value = value::decode(request.body);
  if (!value) {
    respond({400, {}, 0});
    return;
  }
  read_heartbeat(*value, std::nullopt);
  const std::string* node = (*value)["node"].text();
  respond({200, encode(Value(write_heartbeat(node != nullptr ? *node : ""))), 0});
}

void Peer::read_heartbeat(const Value& value, std::optional<Instant> request_sent_at) {
  auto status = read_peer_status(value);
  if (!status || status->node == settings_.node ||
      !accept_if_newest(status->node, value, request_sent_at.has_value()))
    return;
  status->request_sent_at = request_sent_at;
  merge_cancellations(status->node, value, request_sent_at);
  status->announcements_complete = merge_announcements(status->node, value);
  if (const auto counts = read_progress(value)) progress(counts);
  peer_status(*status);
  const Value& attachment = value[kAttachmentField];
  if (attachment.map() != nullptr) attachment_received(HeartbeatAttachment{status->node, attachment});
}

/// Returns whether this is the peer's newest heartbeat, and if so records its number. Heartbeats may arrive
/// twice, late, and mixed with those of an earlier incarnation. A reply to this node's request is never a
/// delayed copy: if its start time is earlier, it comes from a new incarnation whose clock was set back.
bool Peer::accept_if_newest(const std::string& node, const Value& value, bool is_reply) {
  const auto number = read_heartbeat_number(value);
  if (!number) return true;
  HeartbeatNumber& newest = newest_received_[node];
  if (*number <= newest && !(is_reply && number->started_wall_ms < newest.started_wall_ms)) return false;
  newest = *number;
  return true;
}

void Peer::merge_cancellations(const std::string& node, const Value& value,
                               std::optional<Instant> request_sent_at) {
  const CancellationLog::MergeResult result =
      cancellations_.merge(node, value, request_sent_at, runtime_.now());
  if (!result.error.empty()) {
    log_refused_field(node, result.error);
    return;
  }
  for (const std::string& job_id : result.job_ids) job_cancelled(JobCancelled{job_id});
  publish_complete_through();
}

/// Merges the announcements of a heartbeat. Returns whether all announcements that the peer had made by then
/// have been received.
bool Peer::merge_announcements(const std::string& node, const Value& value) {
  const ReplicatedLog::MergeResult result = announcements_.merge(node, value);
  if (!result.error.empty()) {
    log_refused_field(node, result.error);
    return true;
  }
  for (const std::string& row : result.rows) stage_announced(read_announcement(row));
  for (const std::string& row : announcements_.take_confirmed()) stage_confirmed(read_announcement(row));
  return !result.numbered || result.complete;
}

void Peer::log_refused_field(const std::string& node, const std::string& error) {
  if (logged_refusals_.insert(node + ": " + error).second)
    log::warn("heartbeat_refused", "a field in heartbeats of {peer} was refused: {reason}",
              log::with("peer", node), log::with("reason", error));
}

/// Must be called after the events that the published time covers were fired, so that receivers have handled
/// those events first.
void Peer::publish_complete_through() {
  cancellations_known(CancellationsKnown{cancellations_.complete_through(), cancellations_.slowest_peer()});
}

// ---------------------------------------------------------------- events of this node

void Peer::on_cancelled(const JobCancelled& event) {
  if (cancellations_.record(event.job_id, runtime_.now())) send_urgent();
}

/// Once a job's stage has been returned to a user, no node may return an older stage. So the stage is
/// announced to the peers first; a peer that last read the state service before the announcement then reads
/// it again.
void Peer::on_announcement(const StageAnnouncement& event) {
  if (!announcements_.has_peers()) {
    stage_confirmed(event);
    return;
  }
  announcements_.add(write_announcement(event), runtime_.now());
  send_urgent();
}

void Peer::on_cancellations_read(const CancellationsRead& event) {
  for (const std::string& job_id : event.job_ids) job_cancelled(JobCancelled{job_id});
  cancellations_.on_store_read(event.request_sent_at);
  publish_complete_through();
}

void Peer::on_term(const TermChanged& term) {
  const bool begins = term.leading && !own_status_.leading;
  own_status_.fencing_token = term.fencing_token;
  own_status_.leader = term.leader;
  own_status_.leading = term.leading;
  if (!begins) return;
  own_status_.successor.clear();
  abstain_until_ = {};
  // Sent at once, since peers redirect no workers until they have the new leader's name.
  send_to_peers(HeartbeatScope::full);
}

void Peer::on_stepping_down(const SteppingDown& event) {
  own_status_.successor = event.successor;
  abstain_until_ = runtime_.now() + kAbstentionPeriod;
  // Posted, so that the last attachments of the other actors are included.
  runtime_.post([this] { send_to_peers(HeartbeatScope::full); });
}

void Peer::on_topology_loaded(const TopologyLoaded& event) {
  own_status_.topology = event.topology ? event.topology->version() : topology::TopologyVersion{};
}

}  // namespace wrenusher::membership
