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
constexpr Micros kTimeout = from_seconds(1);
/// Urgent news of this time goes out together.
constexpr Micros kUrgentPause = from_millis(50);
/// A peer with so many heartbeats to answer gets only the regular ones.
constexpr int kMaxUnanswered = 3;
/// Announcements that a peer has not confirmed: so many are kept of those that nobody waits for any more, and
/// all that are younger than `kAnnouncementWait`, however many machines there are.
constexpr std::size_t kMaxAnnouncements = 1000;
/// Twice the time that a reply to a user waits for the peers at most.
constexpr Micros kAnnouncementWait = from_seconds(4);
/// A node that handed the lead over says for so long that it abstains, and who its successor is.
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
          kAnnouncementWait};
}

}  // namespace

Peer::Peer(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      incarnation_(runtime.random()() | 1U),
      cancellations_(incarnation_, names_of(settings.peers)),
      announcements_(incarnation_, names_of(settings.peers), announcement_options()) {
  own_.node = settings.node;
}

void Peer::start() {
  cancellations_.begin(runtime_.now(), settings_.cancel_deadline);
  sent_number_.started_wall_ms =
      static_cast<std::uint64_t>(runtime_.wall_time().time_since_epoch() / from_millis(1));
  send_heartbeats();
}

// ---------------------------------------------------------------- sending

void Peer::send_heartbeats() {
  send_to_peers(HeartbeatScope::full);
  progress_pager_.drop_if_sent();
  heartbeat_sent(HeartbeatSent{});
  runtime_.after(kHeartbeatInterval, [this] { send_heartbeats(); });
}

void Peer::send_to_peers(HeartbeatScope scope) {
  for (const PeerAddress& peer : settings_.peers) {
    int& unanswered = unanswered_[peer.name];
    if (scope == HeartbeatScope::urgent && unanswered >= kMaxUnanswered) continue;
    ++unanswered;
    Value::Map heartbeat = write_heartbeat(peer.name);
    if (auto attachment = attachments_.extract(peer.name))
      heartbeat.emplace_back(kAttachmentField, std::move(attachment.mapped()));
    if (scope == HeartbeatScope::full) progress_pager_.write(peer.name, heartbeat);
    runtime_.call(peer.address, {"POST", "/beat", encode(Value(std::move(heartbeat)))}, kTimeout,
                  [this, name = peer.name, asked_at = runtime_.now()](const CallResult& result) {
                    --unanswered_[name];
                    if (!result.answered || result.response.status != 200) return;
                    if (const auto value = value::decode(result.response.body))
                      read_heartbeat(*value, asked_at);
                  });
  }
}

/// Tells the peers at once, since the leader may be without the state service; a burst of news goes together.
void Peer::send_urgent() {
  if (urgent_scheduled_) return;
  const Micros pause = last_urgent_ + kUrgentPause - runtime_.now();
  if (last_urgent_ == Instant{} || pause.count() <= 0) {
    send_urgent_now();
    return;
  }
  urgent_scheduled_ = true;
  runtime_.after(pause, [this] {
    urgent_scheduled_ = false;
    send_urgent_now();
  });
}

void Peer::send_urgent_now() {
  last_urgent_ = runtime_.now();
  send_to_peers(HeartbeatScope::urgent);
}

Value::Map Peer::write_heartbeat(const std::string& peer) {
  own_.abstains = abstains();
  ++sent_number_.sequence;
  Value::Map heartbeat = write_heartbeat_head(own_, sent_number_);
  cancellations_.write(peer, heartbeat);
  announcements_.write(peer, heartbeat);
  write_heartbeat_tail(own_, heartbeat);
  return heartbeat;
}

// ---------------------------------------------------------------- receiving

void Peer::serve(const Request& request, const Responder& answer) {
  if (request.target != "/beat") {
    answer({404, {}, 0});
    return;
  }
  const auto value = value::decode(request.body);
  if (!value) {
    answer({400, {}, 0});
    return;
  }
  read_heartbeat(*value, std::nullopt);
  const std::string* node = (*value)["node"].text();
  answer({200, encode(Value(write_heartbeat(node != nullptr ? *node : ""))), 0});
}

void Peer::read_heartbeat(const Value& value, std::optional<Instant> asked_at) {
  auto status = read_peer_status(value);
  if (!status || status->node == settings_.node || !accept_number(status->node, value, asked_at.has_value()))
    return;
  status->request_sent_at = asked_at;
  merge_cancellations(status->node, value, asked_at);
  status->announcements_complete = merge_announcements(status->node, value);
  if (const auto counts = read_progress(value)) progress(counts);
  peer_status(*status);
  const Value& attachment = value[kAttachmentField];
  if (attachment.map() != nullptr) attachment_received(HeartbeatAttachment{status->node, attachment});
}

/// Whether this is the peer's newest heartbeat; if so, it is remembered as such. Heartbeats may come twice,
/// long delayed, and mixed with those of an earlier incarnation. An answer to this node's request is no
/// delayed copy: one that says it began earlier is a new incarnation all the same, whose clock was set back.
bool Peer::accept_number(const std::string& node, const Value& value, bool is_answer) {
  const auto number = read_heartbeat_number(value);
  if (!number) return true;
  HeartbeatNumber& newest = newest_received_[node];
  if (*number <= newest && !(is_answer && number->started_wall_ms < newest.started_wall_ms)) return false;
  newest = *number;
  return true;
}

void Peer::merge_cancellations(const std::string& node, const Value& value, std::optional<Instant> asked_at) {
  const CancellationLog::MergeResult result = cancellations_.merge(node, value, asked_at, runtime_.now());
  if (!result.error.empty()) {
    log_refused_field(node, result.error);
    return;
  }
  for (const std::string& job_id : result.job_ids) job_cancelled(JobCancelled{job_id});
  publish_known();
}

/// Returns whether all announcements that the peer had made by then are known here.
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
    log::warn("heartbeat_refused", "a field in heartbeats of {peer} is refused: {reason}",
              log::with("peer", node), log::with("reason", error));
}

/// Must follow the events that it covers: whoever gets it has got all of them.
void Peer::publish_known() {
  cancellations_known(CancellationsKnown{cancellations_.known_through(), cancellations_.slowest_peer()});
}

// ---------------------------------------------------------------- events of this node

void Peer::on_cancelled(const JobCancelled& event) {
  if (cancellations_.record(event.job_id, runtime_.now())) send_urgent();
}

/// Once a user was told a job's stage, no node may tell an older one. So the peers are told first, which then
/// read the state service again where they had read it before.
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
  publish_known();
}

void Peer::on_term(const TermChanged& term) {
  const bool begins = term.leading && !own_.leading;
  own_.fencing_token = term.fencing_token;
  own_.leader = term.leader;
  own_.leading = term.leading;
  if (!begins) return;
  own_.successor.clear();
  abstain_until_ = {};
  // At once: until the peers know who leads, they redirect no worker.
  send_to_peers(HeartbeatScope::full);
}

void Peer::on_stepping_down(const SteppingDown& event) {
  own_.successor = event.successor;
  abstain_until_ = runtime_.now() + kAbstentionPeriod;
  // Posted, so that the other actors' last attachments go along.
  runtime_.post([this] { send_to_peers(HeartbeatScope::full); });
}

void Peer::on_topology_loaded(const TopologyLoaded& event) {
  own_.topology = event.topology ? event.topology->version() : topology::TopologyVersion{};
}

}  // namespace wrenusher::membership
