#include "wrenusher/membership/peer.hpp"

namespace wrenusher::membership {

namespace {
constexpr Micros kBeat = millis(500);
constexpr Micros kTimeout = from_seconds(1);
/// A cancellation is repeated this long, so that the leader learns of it while the state service is away.
constexpr Micros kRepeat = from_seconds(20);
constexpr std::size_t kMostRepeated = 200;
}  // namespace

Peer::Peer(Runtime& rt, const Settings& settings) : rt_(rt), settings_(settings) {}

void Peer::start() {
  beat();
}

void Peer::beat() {
  while (!recent_.empty() && rt_.now() - recent_.front().first > kRepeat) recent_.pop_front();
  send();
  untold_.reset();
  rt_.after(kBeat, [this] { beat(); });
}

void Peer::send() {
  const std::string body = encode(describe());
  for (const PeerAddress& p : settings_.peers) {
    rt_.fetch(p.at, {"POST", "/beat", body}, kTimeout, [this](const Outcome& o) {
      if (!o.answered || o.response.status != 200) return;
      if (const auto v = decode(o.response.body)) learn(*v);
    });
  }
}

void Peer::on_withdrawn(const JobWithdrawn& w) {
  recent_.emplace_back(rt_.now(), w.ref);
  if (recent_.size() > kMostRepeated) recent_.pop_front();
  send();
}

void Peer::on_topology(const TopologyRead& t) {
  mine_ = t.topology ? t.topology->edition() : topology::Edition{};
}

Value Peer::describe() const {
  Value::List gone;
  for (const auto& [at, ref] : recent_) gone.emplace_back(ref);
  Value::Map out{{"node", settings_.node},      {"epoch", term_.epoch}, {"leader", term_.leader},
                 {"leading", term_.leading},    {"store", store_},      {"hears", hears_},
                 {"withdrawn", std::move(gone)}};
  write_edition(out, "topology", mine_);
  if (term_.leading) write_edition(out, "in_force", force_);
  if (untold_) {
    Value::List rows;
    rows.reserve(untold_->rows.size());
    for (const Progress::Row& r : untold_->rows) rows.emplace_back(Value::List{r.ref, r.done, r.running});
    out.emplace_back("progress", std::move(rows));
  }
  return out;
}

void Peer::learn(const Value& v) {
  PeerNews n;
  const std::string* node = v["node"].text();
  const auto epoch = v["epoch"].count();
  if (node == nullptr || !epoch || *node == settings_.node) return;
  n.node = *node;
  n.epoch = *epoch;
  if (const std::string* l = v["leader"].text()) n.leader = *l;
  n.leading = v["leading"].boolean().value_or(false);
  n.store = v["store"].boolean().value_or(false);
  n.hears_workers = v["hears"].boolean().value_or(false);
  n.topology = read_edition(v["topology"]);
  n.in_force = read_edition(v["in_force"]);
  if (const Value::List* l = v["withdrawn"].list()) {
    for (const Value& r : *l) {
      if (r.text() != nullptr && valid_ref(*r.text())) withdrawn(JobWithdrawn{*r.text()});
    }
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
  news(n);
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
  learn(*v);
  answer({200, encode(describe()), 0});
}

}  // namespace wrenusher::membership
