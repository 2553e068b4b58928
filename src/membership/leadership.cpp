#include "wrenusher/membership/leadership.hpp"

#include <algorithm>
#include <tuple>

#include "wrenusher/log/log.hpp"

namespace wrenusher::membership {

namespace {

constexpr Micros kTick = millis(200);
constexpr Micros kLook = millis(600);
/// What a peer said holds for this long.
constexpr Micros kFresh = from_seconds(1.6);
/// Steady clocks drift apart by at most 0.05%; twice that, for both sides, and a margin for our own delays.
constexpr double kDrift = 0.001;
constexpr Micros kMargin = millis(150);
/// Pause after giving the lead away because no worker was heard.
constexpr Micros kAbstain = from_seconds(8);
/// Pause of a node with another topology than the one in force, for one that has it; and how long it defers
/// to one that does not come to lead after all.
constexpr Micros kDefer = from_seconds(2);
constexpr Micros kDeferMost = from_seconds(6);  // less than that one abstains, if it gave the lead away
/// The lead is given to one that has it no more often than this: it may not be able to keep it.
constexpr Micros kCedeEvery = from_seconds(300);
constexpr Micros kAdoptEvery = from_seconds(1);
/// How long the end of a hold is waited for at a time.
constexpr Micros kWatch = from_seconds(10);
/// A candidate with others before it lets each have so long to win: a campaign takes three calls.
constexpr Micros kTurn = millis(350);
/// A node that has just begun waits so long for its peers' first word before it takes up its earlier life's
/// lead.
constexpr Micros kFirstWord = millis(200);

void tell_adopted(const topology::Edition& e) {
  log::info("topology_in_force", "topology {edition} is in force",
            log::with("edition", topology::to_text(e)));
}

}  // namespace

void write_edition(Value::Map& out, const char* field, const topology::Edition& e) {
  if (e.version > 0) out.emplace_back(field, Value::List{e.version, e.digest});
}

topology::Edition read_edition(const Value& v) {
  const Value::List* l = v.list();
  if (l == nullptr || l->size() != 2) return {};
  return {(*l)[0].count().value_or(0), (*l)[1].count().value_or(0)};
}

Leadership::Leadership(Runtime& rt, const Settings& settings, Store& store)
    : rt_(rt), settings_(settings), store_(store) {}

void Leadership::start() {
  started_ = rt_.now();
  tick();
}

bool Leadership::fresh(const PeerState& p) const {
  return rt_.now() - p.at < kFresh;
}

void Leadership::note_epoch(std::uint64_t epoch, const std::string& leader) {
  if (!leader.empty()) deferring_since_ = {};
  if (leading_ || epoch < epoch_ || (epoch == epoch_ && leader == leader_)) return;
  epoch_ = epoch;
  leader_ = leader;
  changed(TermChanged{false, epoch_, 0, leader_, {}, {}});
}

topology::Edition Leadership::mine() const {
  return topology_ ? topology_->edition() : topology::Edition{};
}

bool Leadership::peer_has(const topology::Edition& e) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return fresh(p.second) && p.second.news.store && p.second.news.topology == e;
  });
}

void Leadership::on_topology(const TopologyRead& t) {
  topology_ = t.topology;
  if (leading_) adopt();
  tell_force();
}

/// What is in force is known better than before.
void Leadership::note_force(const topology::Edition& e) {
  if (e == force_) return;
  force_ = e;
  tell_force();
}

void Leadership::tell_force() {
  // Whoever leads judges by what it has.
  force(TopologyInForce{topology_, force_, leading_ || mine() == force_});
}

/// Says that this node has another topology than the one in force, once for each two.
void Leadership::complain() {
  if (mine() == force_ || std::pair(mine(), force_) == complained_) return;
  complained_ = {mine(), force_};
  log::error(
      "topology_differs",
      "topology {mine} is here, {force} is in force: this node does not lead while one that has it can",
      log::with("mine", topology::to_text(mine())), log::with("force", topology::to_text(force_)));
}

/// Puts this leader's newer topology in force, in the record that the next leader reads before its term.
void Leadership::adopt() {
  if (adopting_ || mine().version <= force_.version) return;
  adopting_ = true;
  next_adopt_ = rt_.now() + kAdoptEvery;
  Value::Map record{{"epoch", epoch_}};
  write_edition(record, "topology", mine());
  store_.commit({{"leader", term_stamp_}, {"epoch", epoch_stamp_}}, {{"epoch", std::move(record), 0}},
                Store::Urgent::hold, [this, e = mine(), epoch = epoch_](const Commit& c) {
                  adopting_ = false;
                  if (!leading_ || epoch != epoch_) return;
                  if (c.result == Commit::Result::committed) {
                    epoch_stamp_ = c.revision;
                    tell_adopted(e);
                    note_force(e);
                  } else if (c.result == Commit::Result::conflict) {
                    // An earlier try was executed after all, or the term is over, which its hold will show.
                    read_force();
                  }
                });
}

void Leadership::read_force() {
  store_.get("epoch", Store::Urgent::hold, [this, epoch = epoch_](const Read& r) {
    if (!leading_ || epoch != epoch_ || r.result != Read::Result::ok || r.rows.empty()) return;
    if (r.rows[0].value["epoch"].count().value_or(0) != epoch) return;
    epoch_stamp_ = r.rows[0].stamp;
    note_force(read_edition(r.rows[0].value["topology"]));
  });
}

void Leadership::on_peer(const PeerNews& news) {
  PeerState& p = peers_[news.node];
  p.news = news;
  // That a peer is there, only its answers prove: what comes by itself may come long after.
  if (news.reached) p.at = std::max(p.at, *news.reached);
  heard_peer_ = std::max(heard_peer_, p.at);
  if (news.leading && news.epoch >= epoch_) last_word_ = rt_.now();
  if (news.epoch > epoch_) {
    if (leading_) stand_down("a peer knows a higher epoch", Micros{0});
    note_epoch(news.epoch, news.leader);
  } else if (!news.leader.empty() && leader_.empty()) {
    note_epoch(news.epoch, news.leader);
  }
  if (!leading_ && news.leading && news.epoch == epoch_) {
    note_force(news.in_force);
    complain();
  }
}

void Leadership::on_deposed(const Deposed& d) {
  if (leading_ && (d.epoch > epoch_ || d.epoch == 0)) stand_down("another term has begun", Micros{0});
  if (d.epoch > epoch_) note_epoch(d.epoch, {});
}

void Leadership::on_hearing(const Hearing& h) {
  if (h.deaf && !deaf_) deaf_since_ = rt_.now();
  deaf_ = h.deaf;
  mute_ = h.mute;
  had_workers_ = h.had_workers;
  starved_ = h.starved;
}

void Leadership::prove(Instant sent) {
  const auto life = settings_.tunables.hold_life;
  const Instant until =
      sent + life - Micros{static_cast<std::int64_t>(static_cast<double>(life.count()) * kDrift)} - kMargin;
  if (until > certain_until_) {
    certain_until_ = until;
    certainty(Certainty{certain_until_});
  }
}

/// How long a leader that reaches nobody but its workers goes on answering them. They would stay with it
/// though another leads, and what is cancelled there must be gone in time: a third of that time is left here,
/// the rest is for a lost answer, the way to the other leader, and the stop. Leases of tasks run on
/// meanwhile, as in an outage that all share.
Micros Leadership::alone_after() const {
  return settings_.cancel / 3;
}

void Leadership::tick() {
  const Instant now = rt_.now();
  if (leading_) {
    if (now >= next_extend_) extend();
    bool peer_with_store = false;
    bool peer_hears = false;
    bool any_peer = false;
    for (const auto& [name, p] : peers_) {
      if (!fresh(p)) continue;
      any_peer = true;
      peer_with_store = peer_with_store || p.news.store;
      peer_hears = peer_hears || p.news.hears_workers;
    }
    if (mine() != force_ && now >= next_adopt_) adopt();
    if (now > certain_until_ && peer_with_store) {
      stand_down("a peer has the state service and this node has not", Micros{0});
    } else if (now - std::max(certain_until_, heard_peer_) > alone_after() && !settings_.peers.empty()) {
      // Neither state service nor peer for long: an outage that all share while the peers are gone too, or
      // this node is cut off with its workers while another leads.
      stand_down("neither the state service nor a peer is reached", Micros{0});
    } else if (mine().version <= force_.version && mine() != force_ && peer_has(force_) &&
               (ceded_ == Instant{} || now - ceded_ > kCedeEvery)) {
      ceded_ = now;
      cede("a peer has the topology in force and this node has not",
           [this](const PeerNews& n) { return n.topology == force_; });
    } else if (starved_ && (ceded_ == Instant{} || now - ceded_ > kCedeEvery) && warm_peer()) {
      // Whatever takes its processor: another has as much as all of them have. Once in a while only, since it
      // may be the work itself.
      ceded_ = now;
      cede("its share of the processor is gone",
           [](const PeerNews& n) { return n.ready == Readiness::warm; });
    } else if (mute_ && (ceded_ == Instant{} || now - ceded_ > kCedeEvery) && peer_hears) {
      ceded_ = now;
      cede("its answers reach no worker", [](const PeerNews& n) { return n.hears_workers; });
    } else if (deaf_ && !settings_.peers.empty() &&
               (peer_hears || (!any_peer && had_workers_ && now - deaf_since_ > from_seconds(2)))) {
      // Workers cannot reach this node, or it is cut off from all but the state service: as long as it holds
      // the lead nobody else can serve them.
      cede("no worker is heard here", [](const PeerNews& n) { return n.hears_workers; });
    }
  } else if (!busy_ && now >= next_look_) {
    look();
  }
  rt_.after(kTick, [this] { tick(); });
}

void Leadership::look() {
  next_look_ = rt_.now() + kLook + rt_.jitter(millis(100));
  busy_ = true;
  // As a list, since its answer tells the revision from which changes can be watched.
  store_.list("leader", {}, 2, Store::Urgent::hold, [this](const Read& r) {
    busy_ = false;
    if (leading_ || r.result != Read::Result::ok) return;
    if (!watching_) watch(r.revision);
    const auto row =
        std::find_if(r.rows.begin(), r.rows.end(), [](const Row& x) { return x.key == "leader"; });
    if (row == r.rows.end()) {
      vacant();
      return;
    }
    vacant_since_ = {};
    const Value& v = row->value;
    const std::string node = v["node"].text() != nullptr ? *v["node"].text() : "";
    if (node == settings_.node) {
      // An earlier life of this node still holds the lead; it cannot act any more, so there is nothing to
      // wait for. Not after giving the lead away: then the hold's end is on its way.
      if (rt_.now() < abstain_until_) return;
      if (heard_peer_ == Instant{} && !settings_.peers.empty() && rt_.now() - started_ < kFirstWord) {
        // The peers have not had the time to say how warm they are.
        next_look_ = rt_.now() + kFirstWord / 2;
      } else if (ready_ != Readiness::warm && warm_peer()) {
        leave(row->stamp);
      } else {
        campaign(row->stamp);
      }
      return;
    }
    note_epoch(v["epoch"].count().value_or(0), node);
  });
}

/// Ends the hold of this node's earlier life: a peer that followed is sooner where that life was than this
/// one, which has just begun.
void Leadership::leave(std::uint64_t stamp) {
  busy_ = true;
  store_.get("leader", Store::Urgent::hold, [this, stamp](const Read& r) {
    busy_ = false;
    next_look_ = rt_.now() + millis(200);
    if (leading_ || r.rows.empty() || r.rows[0].stamp != stamp || r.rows[0].tenancy == 0) return;
    log::info("lead_left", "the lead of an earlier life here is left to a peer that is warm");
    store_.drop(r.rows[0].tenancy);
  });
}

/// Waits for changes of the `leader` record, so that the end of a hold is seen as it happens. The looks go on
/// besides: a watch says nothing while the state service is away.
void Leadership::watch(std::uint64_t from) {
  watching_ = true;
  store_.follow("leader", from, kWatch, Store::Urgent::hold, [this, from](const FollowReply& f) {
    if (leading_ || f.result != FollowReply::Result::ok) {
      watching_ = false;
      return;
    }
    take_watched(f);
    watch(std::max(from, f.revision));
  });
}

void Leadership::take_watched(const FollowReply& f) {
  std::uint64_t put = 0;
  const Row* last = nullptr;
  for (const Row& row : f.puts) {
    if (row.key != "leader" || row.stamp < put) continue;
    put = row.stamp;
    last = &row;
  }
  const bool ended = std::any_of(f.deletes.begin(), f.deletes.end(),
                                 [&](const auto& d) { return d.first == "leader" && d.second > put; });
  if (ended) {
    vacant();
  } else if (last != nullptr) {
    vacant_since_ = {};
    const std::string* node = last->value["node"].text();
    if (node != nullptr && *node != settings_.node)
      note_epoch(last->value["epoch"].count().value_or(0), *node);
  }
}

/// Nobody leads. The one that is first in turn goes at once, the others when it has had time to.
void Leadership::vacant() {
  const Instant now = rt_.now();
  if (vacant_since_ == Instant{}) vacant_since_ = now;
  if (busy_ || now < abstain_until_) return;
  const Instant turn = vacant_since_ + kTurn * before_me();
  if (now >= turn) {
    campaign(0);
  } else {
    next_look_ = std::min(next_look_, turn);
  }
}

int Leadership::before_me() const {
  std::string named;
  for (const auto& [name, p] : peers_) {
    if (fresh(p) && p.news.abstains && !p.news.successor.empty()) named = p.news.successor;
  }
  // The one that was named, then the warmest, then by name.
  const auto place = [&](const std::string& name, Readiness ready) {
    return std::tuple(name == named ? 0 : 1, -static_cast<int>(ready), name);
  };
  const auto mine_is = place(settings_.node, ready_);
  return static_cast<int>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
    const PeerNews& n = p.second.news;
    return fresh(p.second) && n.store && !n.abstains && place(p.first, n.ready) < mine_is;
  }));
}

bool Leadership::warm_peer() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    const PeerNews& n = p.second.news;
    return fresh(p.second) && n.store && !n.abstains && n.ready == Readiness::warm;
  });
}

/// Gives the lead away: to the warmest of those that are fit for it, or to whoever comes.
void Leadership::cede(const char* why, const std::function<bool(const PeerNews&)>& fit) {
  Ceding c;
  Readiness best = Readiness::cold;
  for (const auto& [name, p] : peers_) {
    if (!fresh(p) || !p.news.store || p.news.abstains || !fit(p.news)) continue;
    if (!c.successor.empty() && p.news.ready <= best) continue;
    c.successor = name;
    best = p.news.ready;
  }
  ceding(c);
  store_.drop(tenancy_);
  stand_down(why, kAbstain);
}

void Leadership::campaign(std::uint64_t stamp) {
  busy_ = true;
  const Instant sent = rt_.now();
  noticed_ = vacant_since_;
  store_.hold(settings_.tunables.hold_life, [this, stamp, sent](HoldReply h) {
    if (h.result != HoldReply::Result::ok) {
      busy_ = false;
      return;
    }
    store_.get("epoch", Store::Urgent::hold, [this, stamp, sent, tenancy = h.tenancy](Read r) {
      if (r.result != Read::Result::ok) {
        abandon(tenancy);
        return;
      }
      const std::uint64_t last = r.rows.empty() ? 0 : r.rows[0].value["epoch"].count().value_or(0);
      const std::uint64_t epoch_stamp = r.rows.empty() ? 0 : r.rows[0].stamp;
      const std::uint64_t next = std::max(last, epoch_) + 1;
      topology::Edition in_force =
          r.rows.empty() ? topology::Edition{} : read_edition(r.rows[0].value["topology"]);
      note_force(in_force);
      if (mine() != in_force && peer_has(in_force)) {
        if (deferring_since_ == Instant{}) deferring_since_ = rt_.now();
        if (rt_.now() - deferring_since_ < kDeferMost) {
          defer(tenancy);
          return;
        }
      }
      if (mine().version > in_force.version) in_force = mine();
      Value::Map record{{"epoch", next}};
      write_edition(record, "topology", in_force);
      store_.commit({{"leader", stamp}, {"epoch", epoch_stamp}},
                    {{"leader", Value::Map{{"node", settings_.node}, {"epoch", next}}, tenancy},
                     {"epoch", std::move(record), 0}},
                    Store::Urgent::hold, [this, sent, tenancy, next, in_force](Commit c) {
                      if (c.result != Commit::Result::committed) {
                        abandon(tenancy);
                        return;
                      }
                      busy_ = false;
                      if (in_force != force_) tell_adopted(in_force);
                      force_ = in_force;
                      win(tenancy, next, c.revision, sent);
                    });
    });
  });
}

/// One that has the topology in force may lead; this node asks again if it does not.
void Leadership::defer(std::uint64_t tenancy) {
  complain();
  abandon(tenancy);
  next_look_ = rt_.now() + kDefer;
}

void Leadership::abandon(std::uint64_t tenancy) {
  // Also after an unknown outcome: should the write be applied late, the dropped hold takes it away again.
  store_.drop(tenancy);
  busy_ = false;
  next_look_ = rt_.now() + millis(100) + rt_.jitter(millis(300));
}

void Leadership::win(std::uint64_t tenancy, std::uint64_t epoch, std::uint64_t stamp, Instant sent) {
  leading_ = true;
  tenancy_ = tenancy;
  epoch_ = epoch;
  leader_ = settings_.node;
  deaf_ = false;
  certain_until_ = {};
  log::info("term_begins", "term {term} begins: this node leads", log::with("term", epoch));
  store_.leading(true);
  term_stamp_ = epoch_stamp_ = stamp;
  adopting_ = false;
  deferring_since_ = {};
  tell_force();
  complain();
  changed(TermChanged{true, epoch_, stamp, leader_, noticed_, last_word_});
  vacant_since_ = {};
  prove(sent);
  next_extend_ = rt_.now() + settings_.tunables.hold_life / 4;
}

void Leadership::extend() {
  const Instant sent = rt_.now();
  next_extend_ = sent + settings_.tunables.hold_life / 4;
  store_.extend(tenancy_, [this, sent, tenancy = tenancy_](HoldReply h) {
    if (!leading_ || tenancy != tenancy_) return;
    if (h.result == HoldReply::Result::gone) {
      stand_down("the hold has ended", Micros{0});
    } else if (h.result == HoldReply::Result::ok) {
      prove(sent);
    }
  });
}

void Leadership::stand_down(const char* why, Micros abstain) {
  log::warn("term_ends", "term {term} ends here: {reason}", log::with("term", epoch_),
            log::with("reason", why));
  leading_ = false;
  tenancy_ = 0;
  leader_.clear();
  certain_until_ = {};
  abstain_until_ = rt_.now() + abstain;
  next_look_ = rt_.now() + millis(200);
  store_.leading(false);
  tell_force();
  certainty(Certainty{});
  changed(TermChanged{false, epoch_, 0, {}, {}, {}});
}

}  // namespace wrenusher::membership
