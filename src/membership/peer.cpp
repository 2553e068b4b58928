#include "wrenusher/membership/peer.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::membership {

namespace {
constexpr Micros kHeartbeatInterval = from_millis(500);
constexpr Micros kTimeout = from_seconds(1);
/// A burst of news goes out together.
constexpr Micros kUrgentHeartbeatPause = from_millis(50);
/// A peer that has so many heartbeats to answer gets no more than the regular ones.
constexpr int kMaxUnanswered = 3;
/// Announcements that a peer has not confirmed: so many are kept of those that nobody waits for any more, and
/// all that are younger than this, however many machines there are. Twice the time that an answer waits at
/// the most.
constexpr std::size_t kMaxAnnouncements = 1000;
constexpr Micros kAnnouncedFresh = from_seconds(4);
/// A page of task counts: jobs and bytes of one heartbeat. The next brings the rest.
constexpr std::size_t kProgressRows = 1000;
constexpr std::size_t kProgressBytes = 24 * 1024;
/// A row's own bytes beside its job's name: heads, and two counts up to 100,000.
constexpr std::size_t kProgressRowBytes = 12;
/// What a heartbeat may have in all, some way below the limit of a request's body.
constexpr std::size_t kBeatBytes = 60 * 1024;
/// A node that gave the lead away says for so long whom it wants to lead, and that it does not itself.
constexpr Micros kAbstainAfterStepDown = from_seconds(4);
std::vector<std::string> names_of(const std::vector<PeerAddress>& peers) {
  std::vector<std::string> out;
  for (const PeerAddress& peer : peers) out.push_back(peer.name);
  return out;
}

/// An announcement as it travels: the job, and before it a letter for how far it has got.
std::string write_announcement(const StageAnnouncement& event) {
  return (event.stage == JobStage::finished ? "o:" : "a:") + event.job_id;
}

bool valid_announcement(const std::string& row) {
  return (row.starts_with("o:") || row.starts_with("a:")) && valid_job_id(std::string_view(row).substr(2));
}

StageAnnouncement read_announcement(const std::string& row) {
  return {row.substr(2), row.front() == 'o' ? JobStage::finished : JobStage::accepted};
}

std::size_t bytes_of(const Progress::Row& row) {
  return row.job_id.size() + kProgressRowBytes;
}

std::size_t bytes_of(const std::vector<Progress::Row>& rows) {
  std::size_t out = 0;
  for (const Progress::Row& row : rows) out += bytes_of(row);
  return out;
}

/// The field that says between which jobs a page of task counts lies: beyond the first, up to the second,
/// which is empty for the last page. A whole list has none.
constexpr const char* kProgressPart = "progress_part";

}  // namespace

Peer::Peer(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      incarnation_(runtime.random()() | 1U),
      cancellations_(incarnation_, names_of(settings.peers)),
      announcements_(incarnation_, names_of(settings.peers),
                     {{"told", "told_log", "told_got"},
                      "announcements",
                      valid_announcement,
                      kMaxAnnouncements,
                      kAnnouncedFresh}) {}

void Peer::start() {
  cancellations_.begin(runtime_.now(), settings_.cancel_deadline);
  started_wall_ms_ = static_cast<std::uint64_t>(runtime_.wall_time().time_since_epoch() / from_millis(1));
  send_heartbeats();
}

void Peer::send_heartbeats() {
  send_to_peers();
  if (progress_sent()) pending_progress_.reset();
  heartbeat_sent(HeartbeatSent{});
  runtime_.after(kHeartbeatInterval, [this] { send_heartbeats(); });
}

void Peer::send_to_peers(bool only_news) {
  for (const PeerAddress& peer : settings_.peers) {
    int& unanswered = unanswered_[peer.name];
    if (only_news && unanswered >= kMaxUnanswered) continue;
    ++unanswered;
    Value::Map all = *write_heartbeat(peer.name).map();
    if (auto a = attachments_.extract(peer.name)) all.emplace_back("aside", std::move(a.mapped()));
    if (!only_news) write_progress(peer.name, all);
    const std::string body = encode(Value(std::move(all)));
    runtime_.call(peer.address, {"POST", "/beat", body}, kTimeout,
                  [this, name = peer.name, asked = runtime_.now()](const CallResult& result) {
                    --unanswered_[name];
                    if (!result.answered || result.response.status != 200) return;
                    if (const auto value = decode(result.response.body)) read_heartbeat(*value, asked);
                  });
  }
}

void Peer::on_cancelled(const JobCancelled& event) {
  if (cancellations_.record_told(event.job_id, runtime_.now())) send_urgent();
}

/// From the answer to a user on no node may give an older one: the peers are told before, so that they ask
/// the state service anew where they have asked it already.
void Peer::on_announcement(const StageAnnouncement& event) {
  if (!announcements_.has_peers()) {
    stage_confirmed(event);
    return;
  }
  announcements_.add(write_announcement(event), runtime_.now());
  send_urgent();
}

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

/// The peers are told at once, since the leader may be without the state service.
void Peer::send_urgent() {
  if (urgent_scheduled_) return;
  const Micros pause = last_urgent_ + kUrgentHeartbeatPause - runtime_.now();
  if (last_urgent_ == Instant{} || pause.count() <= 0) {
    last_urgent_ = runtime_.now();
    send_to_peers(true);
    return;
  }
  urgent_scheduled_ = true;
  runtime_.after(pause, [this] {
    urgent_scheduled_ = false;
    last_urgent_ = runtime_.now();
    send_to_peers(true);
  });
}

void Peer::on_cancellations_read(const CancellationsRead& event) {
  for (const std::string& job_id : event.job_ids) job_cancelled(JobCancelled{job_id});
  cancellations_.on_read(event.asked_at);
  publish_known();
}

/// After what it is about: whoever hears of it has got all of that.
void Peer::publish_known() {
  cancellations_known(CancellationsKnown{cancellations_.known_through(), cancellations_.slowest_peer()});
}

void Peer::merge_cancellations(const std::string& node, const Value& value, std::optional<Instant> asked) {
  const CancellationLog::MergeResult result = cancellations_.merge(node, value, asked, runtime_.now());
  if (!result.error.empty()) {
    log_refused_field(node, result.error);
    return;
  }
  for (const std::string& job_id : result.job_ids) job_cancelled(JobCancelled{job_id});
  publish_known();
}

void Peer::log_refused_field(const std::string& node, const std::string& fault) {
  if (logged_refusals_.insert(node + ": " + fault).second)
    log::warn("heartbeat_refused", "a list in heartbeats of {peer} is not taken: {reason}",
              log::with("peer", node), log::with("reason", fault));
}

void Peer::on_term(const TermChanged& term) {
  // Who leads is told at once: until they know, the others send workers nowhere.
  const bool begins = term.leading && !term_.leading;
  term_ = term;
  if (begins) {
    successor_.clear();
    abstain_until_ = {};
    send_to_peers();
  }
}

void Peer::on_stepping_down(const SteppingDown& event) {
  successor_ = event.successor;
  abstain_until_ = runtime_.now() + kAbstainAfterStepDown;
  // After what others have to say before they are asked no more.
  runtime_.post([this] { send_to_peers(); });
}

void Peer::on_topology_loaded(const TopologyLoaded& event) {
  own_topology_ = event.topology ? event.topology->version() : topology::TopologyVersion{};
}

Value Peer::write_heartbeat(const std::string& peer) {
  Value::Map out{{"node", settings_.node},    {"epoch", term_.fencing_token}, {"leader", term_.leader},
                 {"leading", term_.leading},  {"store", kv_reachable_},       {"hears", receives_reports_},
                 {"since", started_wall_ms_}, {"n", ++heartbeat_count_}};
  cancellations_.write(peer, out);
  announcements_.write(peer, out);
  write_topology_version(out, "topology", own_topology_);
  if (term_.leading) write_topology_version(out, "in_force", active_topology_);
  out.emplace_back("ready", static_cast<int>(readiness_));
  if (abstains()) {
    out.emplace_back("abstains", true);
    if (!successor_.empty()) out.emplace_back("successor", successor_);
  }
  return out;
}

void Peer::on_progress(const std::shared_ptr<const Progress>& counts) {
  pending_progress_ = counts;
  progress_sorted_ = false;
  for (auto& [peer, cursor] : progress_cursors_) {
    if (cursor.finished) cursor = {};
  }
}

/// Whether every peer was sent all of it.
bool Peer::progress_sent() const {
  return std::all_of(progress_cursors_.begin(), progress_cursors_.end(),
                     [](const auto& cursor) { return cursor.second.finished; });
}

/// All task counts where they fit, and otherwise the next page of them, in the order of the jobs' names. A
/// newer list goes on where the last one was left, so that every job has its turn.
void Peer::write_progress(const std::string& peer, Value::Map& out) {
  if (!pending_progress_) return;
  ProgressCursor& cursor = progress_cursors_[peer];
  const std::size_t bytes = bytes_of(pending_progress_->rows);
  std::size_t room = kProgressBytes;
  // Only a list of some size can meet with so much else that both do not fit.
  if (bytes > room / 4) {
    const std::size_t used = encode(Value(out)).size();
    room = used < kBeatBytes ? std::min(room, kBeatBytes - used) : 0;
  }
  const auto write_row = [](Value::List& rows, const Progress::Row& row) {
    rows.emplace_back(Value::List{row.job_id, row.done, row.running});
  };
  Value::List rows;
  if (cursor.after.empty() && pending_progress_->rows.size() <= kProgressRows && bytes <= room) {
    rows.reserve(pending_progress_->rows.size());
    for (const Progress::Row& row : pending_progress_->rows) write_row(rows, row);
    out.emplace_back("progress", std::move(rows));
    cursor.finished = true;
    return;
  }
  if (cursor.finished) return;
  const auto by_ref = [](const Progress::Row& a, const Progress::Row& b) { return a.job_id < b.job_id; };
  if (!progress_sorted_) {
    auto sorted = std::make_shared<Progress>(*pending_progress_);
    std::sort(sorted->rows.begin(), sorted->rows.end(), by_ref);
    pending_progress_ = std::move(sorted);
    progress_sorted_ = true;
  }
  const std::string after = cursor.after;
  auto it = std::upper_bound(pending_progress_->rows.begin(), pending_progress_->rows.end(),
                             Progress::Row{after, 0, 0}, by_ref);
  for (std::size_t written = 0; it != pending_progress_->rows.end() && rows.size() < kProgressRows; ++it) {
    written += bytes_of(*it);
    if (written > room) break;
    write_row(rows, *it);
    cursor.after = it->job_id;
  }
  cursor.finished = it == pending_progress_->rows.end();
  if (rows.empty() && !cursor.finished) return;  // no room in this heartbeat
  out.emplace_back("progress", std::move(rows));
  out.emplace_back(kProgressPart, Value::List{after, cursor.finished ? std::string() : cursor.after});
}

/// The task counts of a heartbeat: all of them, or a page.
void Peer::merge_progress(const Value& value) {
  const Value::List* list = value["progress"].list();
  if (list == nullptr) return;
  auto counts = std::make_shared<Progress>();
  for (const Value& row : *list) {
    const Value::List* columns = row.list();
    if (columns == nullptr || columns->size() != 3 || (*columns)[0].text() == nullptr) continue;
    counts->rows.push_back(
        {*(*columns)[0].text(), (*columns)[1].count().value_or(0), (*columns)[2].count().value_or(0)});
  }
  if (const Value::List* part = value[kProgressPart].list();
      part != nullptr && part->size() == 2 && (*part)[0].text() != nullptr && (*part)[1].text() != nullptr)
    counts->part = {*(*part)[0].text(), *(*part)[1].text()};
  progress(std::move(counts));
}

/// Whether this is a peer's newest word. Heartbeats may come twice, long after, and mixed with those of an
/// earlier life. An answer to a question of this node's is no copy: one that began earlier by its clock is a
/// new life all the same, whose clock was set.
bool Peer::is_newer(const std::string& node, const Value& value, bool answer) {
  const auto since = value["since"].count();
  const auto n = value["n"].count();
  if (!since || !n) return true;  // up to 0.6 they were not counted
  auto& last = newest_heartbeat_[node];
  const std::pair word(*since, *n);
  if (word <= last && !(answer && *since < last.first)) return false;
  last = word;
  return true;
}

void Peer::read_heartbeat(const Value& value, std::optional<Instant> asked) {
  PeerStatus status;
  const std::string* node = value["node"].text();
  const auto fencing_token = value["epoch"].count();
  if (node == nullptr || !fencing_token || *node == settings_.node ||
      !is_newer(*node, value, asked.has_value()))
    return;
  status.node = *node;
  status.asked_at = asked;
  status.fencing_token = *fencing_token;
  if (const std::string* l = value["leader"].text()) status.leader = *l;
  status.leading = value["leading"].boolean().value_or(false);
  status.kv_reachable = value["store"].boolean().value_or(false);
  status.receives_reports = value["hears"].boolean().value_or(false);
  status.topology = read_topology_version(value["topology"]);
  status.active_topology = read_topology_version(value["in_force"]);
  status.readiness = static_cast<Readiness>(std::min<std::uint64_t>(value["ready"].count().value_or(0), 2));
  status.abstains = value["abstains"].boolean().value_or(false);
  if (const std::string* s = value["successor"].text()) status.successor = *s;
  merge_cancellations(status.node, value, asked);
  status.announcements_complete = merge_announcements(status.node, value);
  merge_progress(value);
  peer_status(status);
  if (value["aside"].map() != nullptr) attachment_received(HeartbeatAttachment{status.node, value["aside"]});
}

void Peer::serve(const Request& request, const Responder& answer) {
  if (request.target != "/beat") {
    answer({404, {}, 0});
    return;
  }
  const auto value = decode(request.body);
  if (!value) {
    answer({400, {}, 0});
    return;
  }
  read_heartbeat(*value, std::nullopt);
  const std::string* node = (*value)["node"].text();
  answer({200, encode(write_heartbeat(node != nullptr ? *node : "")), 0});
}

}  // namespace wrenusher::membership
