#include "wrenusher/membership/peer.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::membership {

namespace {
constexpr Micros kBeat = millis(500);
constexpr Micros kTimeout = from_seconds(1);
/// A burst of news goes out together.
constexpr Micros kPushPause = millis(50);
/// A peer that has so many heartbeats to answer gets no more than the regular ones.
constexpr int kMostUnanswered = 3;
/// Announcements that a peer has not confirmed: so many are kept of those that nobody waits for any more, and
/// all that are younger than this, however many machines there are. Twice the time that an answer waits at
/// the most.
constexpr std::size_t kMostAnnounced = 1000;
constexpr Micros kAnnouncedFresh = from_seconds(4);
/// A page of task counts: jobs and bytes of one heartbeat. The next brings the rest.
constexpr std::size_t kProgressRows = 1000;
constexpr std::size_t kProgressBytes = 24 * 1024;
/// A row's own bytes beside its job's name: heads, and two counts up to 100,000.
constexpr std::size_t kProgressRowBytes = 12;
/// What a heartbeat may have in all, some way below the limit of a request's body.
constexpr std::size_t kBeatBytes = 60 * 1024;
/// A node that gave the lead away says for so long whom it wants to lead, and that it does not itself.
constexpr Micros kAbstains = from_seconds(4);
std::vector<std::string> names_of(const std::vector<PeerAddress>& peers) {
  std::vector<std::string> out;
  for (const PeerAddress& p : peers) out.push_back(p.name);
  return out;
}

/// An announcement as it travels: the job, and before it a letter for how far it has got.
std::string write_announcement(const Announcement& a) {
  return (a.level == Level::over ? "o:" : "a:") + a.ref;
}

bool valid_announcement(const std::string& row) {
  return (row.starts_with("o:") || row.starts_with("a:")) && valid_ref(std::string_view(row).substr(2));
}

Announcement read_announcement(const std::string& row) {
  return {row.substr(2), row.front() == 'o' ? Level::over : Level::accepted};
}

std::size_t bytes_of(const Progress::Row& r) {
  return r.ref.size() + kProgressRowBytes;
}

std::size_t bytes_of(const std::vector<Progress::Row>& rows) {
  std::size_t out = 0;
  for (const Progress::Row& r : rows) out += bytes_of(r);
  return out;
}

/// The field that says between which jobs a page of task counts lies: beyond the first, up to the second,
/// which is empty for the last page. A whole list has none.
constexpr const char* kProgressPart = "progress_part";

}  // namespace

Peer::Peer(Runtime& rt, const Settings& settings)
    : rt_(rt),
      settings_(settings),
      life_(rt.random()() | 1U),
      cancellations_(life_, names_of(settings.peers)),
      announcements_(life_, names_of(settings.peers),
                     {{"told", "told_log", "told_got"},
                      "announcements",
                      valid_announcement,
                      kMostAnnounced,
                      kAnnouncedFresh}) {}

void Peer::start() {
  cancellations_.begin(rt_.now(), settings_.cancel);
  since_ = static_cast<std::uint64_t>(rt_.wall().time_since_epoch() / millis(1));
  beat();
}

void Peer::beat() {
  send();
  if (progress_told()) untold_.reset();
  sent(BeatSent{});
  rt_.after(kBeat, [this] { beat(); });
}

void Peer::send(bool only_news) {
  for (const PeerAddress& p : settings_.peers) {
    int& unanswered = unanswered_[p.name];
    if (only_news && unanswered >= kMostUnanswered) continue;
    ++unanswered;
    Value::Map all = *describe(p.name).map();
    if (auto a = asides_.extract(p.name)) all.emplace_back("aside", std::move(a.mapped()));
    if (!only_news) write_progress(p.name, all);
    const std::string body = encode(Value(std::move(all)));
    rt_.fetch(p.at, {"POST", "/beat", body}, kTimeout,
              [this, name = p.name, asked = rt_.now()](const Outcome& o) {
                --unanswered_[name];
                if (!o.answered || o.response.status != 200) return;
                if (const auto v = decode(o.response.body)) learn(*v, asked);
              });
  }
}

void Peer::on_withdrawn(const JobWithdrawn& w) {
  if (cancellations_.tell(w.ref, rt_.now())) push();
}

/// From the answer to a user on no node may give an older one: the peers are told before, so that they ask
/// the state service anew where they have asked it already.
void Peer::on_announce(const Announcement& a) {
  if (!announcements_.has_peers()) {
    confirmed(a);
    return;
  }
  announcements_.add(write_announcement(a), rt_.now());
  push();
}

bool Peer::take_announcements(const std::string& node, const Value& v) {
  const NumberedLog::Taken t = announcements_.take(node, v);
  if (!t.fault.empty()) {
    refuse(node, t.fault);
    return true;
  }
  for (const std::string& row : t.rows) announced(read_announcement(row));
  for (const std::string& row : announcements_.take_confirmed()) confirmed(read_announcement(row));
  return !t.numbered || t.whole;
}

/// The peers are told at once, since the leader may be without the state service.
void Peer::push() {
  if (pushing_) return;
  const Micros pause = pushed_ + kPushPause - rt_.now();
  if (pushed_ == Instant{} || pause.count() <= 0) {
    pushed_ = rt_.now();
    send(true);
    return;
  }
  pushing_ = true;
  rt_.after(pause, [this] {
    pushing_ = false;
    pushed_ = rt_.now();
    send(true);
  });
}

void Peer::on_read(const CancellationsRead& r) {
  for (const std::string& ref : r.refs) withdrawn(JobWithdrawn{ref});
  cancellations_.on_read(r.asked);
  tell_known();
}

/// After what it is about: whoever hears of it has got all of that.
void Peer::tell_known() {
  known(CancellationsKnown{cancellations_.through(), cancellations_.behind()});
}

void Peer::take_cancellations(const std::string& node, const Value& v, std::optional<Instant> asked) {
  const Cancellations::Taken t = cancellations_.take(node, v, asked, rt_.now());
  if (!t.fault.empty()) {
    refuse(node, t.fault);
    return;
  }
  for (const std::string& ref : t.refs) withdrawn(JobWithdrawn{ref});
  tell_known();
}

void Peer::refuse(const std::string& node, const std::string& fault) {
  if (refused_.insert(node + ": " + fault).second)
    log::warn("heartbeat_refused", "a list in heartbeats of {peer} is not taken: {reason}",
              log::with("peer", node), log::with("reason", fault));
}

void Peer::on_term(const TermChanged& t) {
  // Who leads is told at once: until they know, the others send workers nowhere.
  const bool begins = t.leading && !term_.leading;
  term_ = t;
  if (begins) {
    successor_.clear();
    abstains_until_ = {};
    send();
  }
}

void Peer::on_ceding(const Ceding& c) {
  successor_ = c.successor;
  abstains_until_ = rt_.now() + kAbstains;
  // After what others have to say before they are asked no more.
  rt_.post([this] { send(); });
}

void Peer::on_topology(const TopologyRead& t) {
  mine_ = t.topology ? t.topology->edition() : topology::Edition{};
}

Value Peer::describe(const std::string& peer) {
  Value::Map out{{"node", settings_.node},   {"epoch", term_.epoch}, {"leader", term_.leader},
                 {"leading", term_.leading}, {"store", store_},      {"hears", hears_},
                 {"since", since_},          {"n", ++said_}};
  cancellations_.write(peer, out);
  announcements_.write(peer, out);
  write_edition(out, "topology", mine_);
  if (term_.leading) write_edition(out, "in_force", force_);
  out.emplace_back("ready", static_cast<int>(ready_));
  if (abstains()) {
    out.emplace_back("abstains", true);
    if (!successor_.empty()) out.emplace_back("successor", successor_);
  }
  return out;
}

void Peer::on_progress(const std::shared_ptr<const Progress>& p) {
  untold_ = p;
  untold_in_order_ = false;
  for (auto& [peer, cursor] : progress_cursors_) {
    if (cursor.told) cursor = {};
  }
}

/// Whether every peer was sent all of it.
bool Peer::progress_told() const {
  return std::all_of(progress_cursors_.begin(), progress_cursors_.end(),
                     [](const auto& c) { return c.second.told; });
}

/// All task counts where they fit, and otherwise the next page of them, in the order of the jobs' names. A
/// newer list goes on where the last one was left, so that every job has its turn.
void Peer::write_progress(const std::string& peer, Value::Map& out) {
  if (!untold_) return;
  ProgressCursor& cursor = progress_cursors_[peer];
  const std::size_t bytes = bytes_of(untold_->rows);
  std::size_t room = kProgressBytes;
  // Only a list of some size can meet with so much else that both do not fit.
  if (bytes > room / 4) {
    const std::size_t used = encode(Value(out)).size();
    room = used < kBeatBytes ? std::min(room, kBeatBytes - used) : 0;
  }
  const auto write_row = [](Value::List& rows, const Progress::Row& r) {
    rows.emplace_back(Value::List{r.ref, r.done, r.running});
  };
  Value::List rows;
  if (cursor.after.empty() && untold_->rows.size() <= kProgressRows && bytes <= room) {
    rows.reserve(untold_->rows.size());
    for (const Progress::Row& r : untold_->rows) write_row(rows, r);
    out.emplace_back("progress", std::move(rows));
    cursor.told = true;
    return;
  }
  if (cursor.told) return;
  const auto by_ref = [](const Progress::Row& a, const Progress::Row& b) { return a.ref < b.ref; };
  if (!untold_in_order_) {
    auto sorted = std::make_shared<Progress>(*untold_);
    std::sort(sorted->rows.begin(), sorted->rows.end(), by_ref);
    untold_ = std::move(sorted);
    untold_in_order_ = true;
  }
  const std::string after = cursor.after;
  auto it = std::upper_bound(untold_->rows.begin(), untold_->rows.end(), Progress::Row{after, 0, 0}, by_ref);
  for (std::size_t written = 0; it != untold_->rows.end() && rows.size() < kProgressRows; ++it) {
    written += bytes_of(*it);
    if (written > room) break;
    write_row(rows, *it);
    cursor.after = it->ref;
  }
  cursor.told = it == untold_->rows.end();
  if (rows.empty() && !cursor.told) return;  // no room in this heartbeat
  out.emplace_back("progress", std::move(rows));
  out.emplace_back(kProgressPart, Value::List{after, cursor.told ? std::string() : cursor.after});
}

/// The task counts of a heartbeat: all of them, or a page.
void Peer::take_progress(const Value& v) {
  const Value::List* l = v["progress"].list();
  if (l == nullptr) return;
  auto p = std::make_shared<Progress>();
  for (const Value& row : *l) {
    const Value::List* f = row.list();
    if (f == nullptr || f->size() != 3 || (*f)[0].text() == nullptr) continue;
    p->rows.push_back({*(*f)[0].text(), (*f)[1].count().value_or(0), (*f)[2].count().value_or(0)});
  }
  if (const Value::List* part = v[kProgressPart].list();
      part != nullptr && part->size() == 2 && (*part)[0].text() != nullptr && (*part)[1].text() != nullptr)
    p->part = {*(*part)[0].text(), *(*part)[1].text()};
  progress(std::move(p));
}

/// Whether this is a peer's newest word. Heartbeats may come twice, long after, and mixed with those of an
/// earlier life. An answer to a question of this node's is no copy: one that began earlier by its clock is a
/// new life all the same, whose clock was set.
bool Peer::newer(const std::string& node, const Value& v, bool answer) {
  const auto since = v["since"].count();
  const auto n = v["n"].count();
  if (!since || !n) return true;  // up to 0.6 they were not counted
  auto& last = heard_[node];
  const std::pair word(*since, *n);
  if (word <= last && !(answer && *since < last.first)) return false;
  last = word;
  return true;
}

void Peer::learn(const Value& v, std::optional<Instant> asked) {
  PeerNews n;
  const std::string* node = v["node"].text();
  const auto epoch = v["epoch"].count();
  if (node == nullptr || !epoch || *node == settings_.node || !newer(*node, v, asked.has_value())) return;
  n.node = *node;
  n.reached = asked;
  n.epoch = *epoch;
  if (const std::string* l = v["leader"].text()) n.leader = *l;
  n.leading = v["leading"].boolean().value_or(false);
  n.store = v["store"].boolean().value_or(false);
  n.hears_workers = v["hears"].boolean().value_or(false);
  n.topology = read_edition(v["topology"]);
  n.in_force = read_edition(v["in_force"]);
  n.ready = static_cast<Readiness>(std::min<std::uint64_t>(v["ready"].count().value_or(0), 2));
  n.abstains = v["abstains"].boolean().value_or(false);
  if (const std::string* s = v["successor"].text()) n.successor = *s;
  take_cancellations(n.node, v, asked);
  n.announced_all = take_announcements(n.node, v);
  take_progress(v);
  news(n);
  if (v["aside"].map() != nullptr) aside(Aside{n.node, v["aside"]});
}

void Peer::serve(const Request& request, const Answer& answer) {
  if (request.target != "/beat") {
    answer({404, {}, 0});
    return;
  }
  const auto v = decode(request.body);
  if (!v) {
    answer({400, {}, 0});
    return;
  }
  learn(*v, std::nullopt);
  const std::string* node = (*v)["node"].text();
  answer({200, encode(describe(node != nullptr ? *node : "")), 0});
}

}  // namespace wrenusher::membership
