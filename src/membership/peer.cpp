#include "wrenusher/membership/peer.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::membership {

namespace {
constexpr Micros kBeat = millis(500);
constexpr Micros kTimeout = from_seconds(1);
/// A burst of cancellations goes out together.
constexpr Micros kPushPause = millis(50);
/// A node that gave the lead away says for so long whom it wants to lead, and that it does not itself.
constexpr Micros kAbstains = from_seconds(4);
std::vector<std::string> names_of(const std::vector<PeerAddress>& peers) {
  std::vector<std::string> out;
  for (const PeerAddress& p : peers) out.push_back(p.name);
  return out;
}

}  // namespace

Peer::Peer(Runtime& rt, const Settings& settings)
    : rt_(rt), settings_(settings), cancellations_(rt.random()() | 1U, names_of(settings.peers)) {}

void Peer::start() {
  cancellations_.begin(rt_.now(), settings_.cancel);
  since_ = static_cast<std::uint64_t>(rt_.wall().time_since_epoch() / millis(1));
  beat();
}

void Peer::beat() {
  send();
  untold_.reset();
  sent(BeatSent{});
  rt_.after(kBeat, [this] { beat(); });
}

void Peer::send() {
  for (const PeerAddress& p : settings_.peers) {
    Value::Map all = *describe(p.name).map();
    if (auto a = asides_.extract(p.name)) all.emplace_back("aside", std::move(a.mapped()));
    const std::string body = encode(Value(std::move(all)));
    rt_.fetch(p.at, {"POST", "/beat", body}, kTimeout, [this, asked = rt_.now()](const Outcome& o) {
      if (!o.answered || o.response.status != 200) return;
      if (const auto v = decode(o.response.body)) learn(*v, asked);
    });
  }
}

void Peer::on_withdrawn(const JobWithdrawn& w) {
  if (cancellations_.tell(w.ref, rt_.now())) push();
}

/// The peers are told at once, since the leader may be without the state service.
void Peer::push() {
  if (pushing_) return;
  const Micros pause = pushed_ + kPushPause - rt_.now();
  if (pushed_ == Instant{} || pause.count() <= 0) {
    pushed_ = rt_.now();
    send();
    return;
  }
  pushing_ = true;
  rt_.after(pause, [this] {
    pushing_ = false;
    pushed_ = rt_.now();
    send();
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
    if (refused_.insert(node + ": " + t.fault).second)
      log::warn("heartbeat_refused", "the cancellations in heartbeats of {peer} are not taken: {reason}",
                log::with("peer", node), log::with("reason", t.fault));
    return;
  }
  for (const std::string& ref : t.refs) withdrawn(JobWithdrawn{ref});
  tell_known();
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
  write_edition(out, "topology", mine_);
  if (term_.leading) write_edition(out, "in_force", force_);
  out.emplace_back("ready", static_cast<int>(ready_));
  if (abstains()) {
    out.emplace_back("abstains", true);
    if (!successor_.empty()) out.emplace_back("successor", successor_);
  }
  if (untold_) {
    Value::List rows;
    rows.reserve(untold_->rows.size());
    for (const Progress::Row& r : untold_->rows) rows.emplace_back(Value::List{r.ref, r.done, r.running});
    out.emplace_back("progress", std::move(rows));
  }
  return out;
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
  if (const Value::List* l = v["progress"].list()) {
    auto p = std::make_shared<Progress>();
    for (const Value& row : *l) {
      const Value::List* f = row.list();
      if (f == nullptr || f->size() != 3 || (*f)[0].text() == nullptr) continue;
      p->rows.push_back({*(*f)[0].text(), (*f)[1].count().value_or(0), (*f)[2].count().value_or(0)});
    }
    progress(std::move(p));
  }
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
