#include "wrenusher/membership/peer.hpp"

#include <algorithm>

namespace wrenusher::membership {

namespace {
constexpr Micros kBeat = millis(500);
constexpr Micros kTimeout = from_seconds(1);
/// A cancellation is repeated this long, so that the leader learns of it while the state service is away.
constexpr Micros kRepeat = from_seconds(20);
constexpr std::size_t kMostRepeated = 200;
/// A final state rides in the heartbeats of so long; who misses it reads it.
constexpr Micros kTellFinal = millis(1200);
constexpr std::size_t kMostFinals = 200;  // a heartbeat may have 64 KiB
constexpr Micros kFinalsPause = millis(200);
/// A node that gave the lead away says for so long whom it wants to lead, and that it does not itself.
constexpr Micros kAbstains = from_seconds(4);
}  // namespace

Peer::Peer(Runtime& rt, const Settings& settings) : rt_(rt), settings_(settings) {}

void Peer::start() {
  since_ = static_cast<std::uint64_t>(rt_.wall().time_since_epoch() / millis(1));
  beat();
}

void Peer::beat() {
  while (!recent_.empty() && rt_.now() - recent_.front().first > kRepeat) recent_.pop_front();
  while (!finals_.empty() && rt_.now() - finals_.front().first > kTellFinal) finals_.pop_front();
  send();
  untold_.reset();
  sent(BeatSent{});
  rt_.after(kBeat, [this] { beat(); });
}

void Peer::send() {
  const Value common = describe();
  for (const PeerAddress& p : settings_.peers) {
    Value::Map all = *common.map();
    if (auto a = asides_.extract(p.name)) all.emplace_back("aside", std::move(a.mapped()));
    const std::string body = encode(Value(std::move(all)));
    rt_.fetch(p.at, {"POST", "/beat", body}, kTimeout, [this, asked = rt_.now()](const Outcome& o) {
      if (!o.answered || o.response.status != 200) return;
      if (const auto v = decode(o.response.body)) learn(*v, asked);
    });
  }
}

void Peer::on_withdrawn(const JobWithdrawn& w) {
  recent_.emplace_back(rt_.now(), w.ref);
  if (recent_.size() > kMostRepeated) recent_.pop_front();
  send();
}

/// Told at once: until they know, the others have to read the state of each of these jobs for its user.
void Peer::on_finals(const std::shared_ptr<const FinalsKept>& f) {
  for (const FinalsKept::Row& row : f->rows) finals_.emplace_back(rt_.now(), row);
  while (finals_.size() > kMostFinals) finals_.pop_front();
  if (rt_.now() - finals_sent_ < kFinalsPause) return;
  finals_sent_ = rt_.now();
  send();
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

Value Peer::describe() {
  Value::List gone;
  for (const auto& [at, ref] : recent_) gone.emplace_back(ref);
  Value::Map out{{"node", settings_.node},       {"epoch", term_.epoch}, {"leader", term_.leader},
                 {"leading", term_.leading},     {"store", store_},      {"hears", hears_},
                 {"withdrawn", std::move(gone)}, {"since", since_},      {"n", ++said_}};
  write_edition(out, "topology", mine_);
  if (term_.leading) write_edition(out, "in_force", force_);
  out.emplace_back("ready", static_cast<int>(ready_));
  out.emplace_back("wants", Value::List{wants_.requests, wants_.writes});
  if (abstains()) {
    out.emplace_back("abstains", true);
    if (!successor_.empty()) out.emplace_back("successor", successor_);
  }
  if (!finals_.empty()) {
    Value::List rows;
    for (const auto& [at, f] : finals_) rows.emplace_back(Value::List{f.ref, f.withdrawn, f.done});
    out.emplace_back("finals", std::move(rows));
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
  if (const Value::List* l = v["withdrawn"].list()) {
    for (const Value& r : *l) {
      if (r.text() != nullptr && valid_ref(*r.text())) withdrawn(JobWithdrawn{*r.text()});
    }
  }
  if (const Value::List* l = v["finals"].list()) {
    auto kept = std::make_shared<FinalsKept>();
    for (const Value& row : *l) {
      const Value::List* f = row.list();
      if (f == nullptr || f->size() != 3 || (*f)[0].text() == nullptr || !valid_ref(*(*f)[0].text()))
        continue;
      kept->rows.push_back({*(*f)[0].text(), (*f)[1].boolean().value_or(false), (*f)[2].count().value_or(0)});
    }
    finals(std::shared_ptr<const FinalsKept>(std::move(kept)));
  }
  if (const Value::List* l = v["progress"].list()) {
    auto p = std::make_shared<Progress>();
    for (const Value& row : *l) {
      const Value::List* f = row.list();
      if (f == nullptr || f->size() != 3 || (*f)[0].text() == nullptr) continue;
      p->rows.push_back({*(*f)[0].text(), (*f)[1].count().value_or(0), (*f)[2].count().value_or(0)});
    }
    progress(std::move(p));
  }
  if (const Value::List* l = v["wants"].list(); l != nullptr && l->size() == 2) {
    const auto least0 = [](const Value& x) { return std::max(0.0, x.number().value_or(0)); };
    pace(PeerPace{n.node, n.leading, {least0((*l)[0]), least0((*l)[1])}});
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
  answer({200, encode(describe()), 0});
}

}  // namespace wrenusher::membership
