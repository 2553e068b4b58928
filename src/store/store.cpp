#include "wrenusher/store/store.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::store {

namespace {

constexpr Micros kTimeout = from_seconds(1.5);
/// The service counts as out of reach when nothing good came from it for this long.
constexpr Micros kStale = from_seconds(2.0);
/// A user's call that would wait for longer is refused at once: its user gives up after 5 s, for a question
/// after 2 s.
constexpr Micros kUserWaits = from_seconds(3);
constexpr Micros kPollWaits = from_seconds(1.2);
/// Shares of the pace that are each node's whatever the others want; the rest goes where it is wanted.
constexpr double kLeaderShare = 0.5;
constexpr double kFollowerShares = 0.2;  // of all followers together
/// Of the rest, the leader's part where nobody wants more than its own.
constexpr double kLeaderRest = 2.0 / 3;
constexpr Micros kTick = millis(500);
/// What a peer told holds for this long.
constexpr Micros kPeerHolds = from_seconds(2);
/// Of the changes, where both want more than there are, the part for users' submissions and cancellations.
constexpr double kUsersPart = 1.0 / 3;
/// An answer to a follow holds every change since it was asked from, and the service sets no limit: after a
/// pause of a minute it was 30 MB here, ten times as much once decoded, and the node ended for memory.
constexpr std::size_t kMostFollowed = 2 * 1024 * 1024;
/// What only takes what is spare takes its turn all the same once it has waited for so long: a storm of
/// users' calls leaves nothing over, and what follows the records would have ever more to catch up with.
constexpr Micros kSpareWaits = from_seconds(1);
/// Part of the tokens kept back from calls that only take what is spare.
constexpr double kSpare = 0.5;

/// Its value is moved out of the answer: a copy would double what a large one takes.
Row read_row(Value& v, const char* key_field) {
  Row r;
  if (const std::string* k = v[key_field].text()) r.key = *k;
  r.stamp = v["stamp"].count().value_or(0);
  r.tenancy = v["tenancy"].count().value_or(0);
  r.value = v.take("value");
  return r;
}

std::uint64_t revision_of(const Value& v) {
  return v["ledger_rev"].count().value_or(0);
}

}  // namespace

void Pace::refill(Instant now) {
  tokens_ = std::min(rate_, tokens_ + to_seconds(now - at_) * rate_);
  at_ = now;
}

bool Pace::take(double n, Instant now) {
  refill(now);
  // A change larger than one second's worth goes out once the bucket is full, and is paid off afterwards.
  if (tokens_ < std::min(n, rate_ * 0.999)) return false;
  tokens_ -= n;
  return true;
}

void Pace::force(double n, Instant now) {
  refill(now);
  tokens_ -= n;
}

Store::Store(Runtime& rt, const Settings& settings)
    : rt_(rt),
      settings_(settings),
      requests_(settings.state_rps / static_cast<double>(settings.peers.size() + 1), rt.now()),
      writes_(settings.state_write_rps / static_cast<double>(settings.peers.size() + 1), rt.now()) {
  leading(false);
}

void Store::start() {
  tick();
}

void Store::leading(bool yes) {
  leading_ = yes;
  share_out();
}

void Store::on_peer(const PeerPace& p) {
  peers_[p.node] = {p, rt_.now()};
}

/// What came of late, and what waits.
PaceWanted Store::wants() const {
  PaceWanted out = recent_;
  for (const Lane& l : lanes_) {
    out.requests += static_cast<double>(l.waiting.size());
    out.writes += l.writes;
  }
  return out;
}

/// Tells what this node wants of the pace, and takes its share by what the others told. They reckon alike;
/// where one knows less than the others for a moment, the service refuses what is too much.
void Store::tick() {
  const auto smooth = [](double& recent, double arrived) {
    recent = std::max(recent * 0.7, arrived / to_seconds(kTick));
  };
  smooth(recent_.requests, arrived_.requests);
  smooth(recent_.writes, arrived_.writes);
  arrived_ = {};
  wanted(wants());
  share_out();
  rt_.after(kTick, [this] { tick(); });
}

double share_of_pace(double all, bool leads, double wants, std::size_t others,
                     const std::vector<std::pair<bool, double>>& peers) {
  if (others == 0) return all;
  const auto n = static_cast<double>(others);
  const auto own = [&](bool leading) { return leading ? kLeaderShare : kFollowerShares / n; };
  const auto more = [&](bool leading, double w) { return std::max(0.0, w / all - own(leading)); };
  const double mine = more(leads, wants);
  double sum = mine;
  for (const auto& [leading, w] : peers) sum += more(leading, w);
  const double rest = 1 - kLeaderShare - kFollowerShares;
  const double usual = leads ? kLeaderRest : (1 - kLeaderRest) / n;
  // Where all that is wanted fits, everybody gets it, and what is left goes as usual.
  const double part = sum <= rest ? mine / rest + (1 - sum / rest) * usual : mine / sum;
  return all * (own(leads) + rest * part);
}

void Store::share_out() {
  const PaceWanted mine = wants();
  const auto share = [&](double PaceWanted::*what, double all) {
    std::vector<std::pair<bool, double>> told;
    for (const auto& [name, p] : peers_) {
      if (rt_.now() - p.at < kPeerHolds) told.emplace_back(p.pace.leading, p.pace.wants.*what);
    }
    return share_of_pace(all, leading_, mine.*what, settings_.peers.size(), told) * 0.95;
  };
  requests_.rate(share(&PaceWanted::requests, settings_.state_rps));
  writes_.rate(std::max(1.0, share(&PaceWanted::writes, settings_.state_write_rps)));
}

bool Store::reachable() const {
  return ever_good_ && rt_.now() - last_good_ < kStale;
}

void Store::seen(bool good) {
  if (good) {
    last_good_ = rt_.now();
    ever_good_ = true;
  }
  if (reachable() != told_) {
    told_ = !told_;
    log::info("state_service", "the state service {state}",
              log::with("state", told_ ? "answers" : "gives no answers"));
    health(StoreHealth{told_});
  }
}

void Store::call(Request request, Micros timeout, Done done) {
  rt_.fetch(settings_.state, std::move(request), timeout, [this, done = std::move(done)](Outcome o) {
    if (o.answered && o.response.status == 429)
      backoff_until_ = rt_.now() + millis(100) + rt_.jitter(millis(200));
    seen(o.answered && o.response.status != 503 && o.response.status != 429);
    done(std::move(o));
  });
}

/// About how long a call would wait here.
Micros Store::wait_of(Urgent urgent, double writes) {
  const Lane& l = lane(urgent);
  const Instant now = rt_.now();
  const auto time = [&](Pace& pace, double n, double part) {
    return std::max(0.0, n - pace.tokens(now)) / (pace.rate() * part);
  };
  double seconds =
      time(requests_, static_cast<double>(l.waiting.size()) + 1, urgent == Urgent::poll ? 0.5 : 1);
  if (writes > 0) {
    const bool both = !lane(Urgent::schedule).waiting.empty();
    seconds = std::max(seconds, time(writes_, l.writes + writes, both ? kUsersPart : 1));
  }
  return std::max(from_seconds(seconds), backoff_until_ - now);
}

void Store::submit(Urgent urgent, double writes, std::function<void()> send,
                   const std::function<void(Micros busy)>& refuse) {
  const Instant now = rt_.now();
  arrived_.requests += 1;
  arrived_.writes += writes;
  if (urgent == Urgent::hold) {
    requests_.force(1, now);
    writes_.force(writes, now);
    send();
    return;
  }
  if (urgent == Urgent::user || urgent == Urgent::poll) {
    const Micros wait = wait_of(urgent, writes);
    if (wait > (urgent == Urgent::user ? kUserWaits : kPollWaits)) {
      rt_.post([refuse, wait] { refuse(wait); });
      return;
    }
  }
  Lane& l = lane(urgent);
  l.waiting.push_back({writes, std::move(send), now});
  l.writes += writes;
  pump();
}

std::size_t Store::writes_ready() {
  const Instant now = rt_.now();
  if (now < backoff_until_ || !lane(Urgent::schedule).waiting.empty()) return 0;
  const double ready = std::max(0.0, writes_.tokens(now));
  // While users' changes wait they take every token as it comes, and none would ever be left over: a
  // scheduling write then takes its turn among them and waits for a fair part of the pace.
  return static_cast<std::size_t>(lane(Urgent::user).writes > 0 ? std::max(ready, writes_.rate() / 4)
                                                                : ready);
}

/// Whether the first of a lane could be sent now.
bool Store::may_go(Urgent u, Instant now) {
  const Lane& l = lane(u);
  if (l.waiting.empty() || requests_.tokens(now) < std::min(1.0, requests_.rate() * 0.999)) return false;
  const Queued& q = l.waiting.front();
  // What is spare is what half a second's worth is left of, until it has waited for long.
  if (u == Urgent::spare && now - q.since < kSpareWaits && requests_.tokens(now) < requests_.rate() * kSpare)
    return false;
  if (q.writes == 0) return true;
  // Changes that wait take turns: a large commit would never find its tokens beside users' single ones.
  const auto other = u == Urgent::schedule ? Urgent::user : Urgent::schedule;
  const bool my_turn = u == Urgent::user ? owed_ > 0 : owed_ <= 0;
  if (!my_turn && lane(other).writes > 0) return false;
  return writes_.tokens(now) >= std::min(q.writes, writes_.rate() * 0.999);
}

/// Whose turn it is; nothing: none can go now. What waits for changes keeps no question waiting, and a storm
/// of questions keeps nobody out.
std::optional<Store::Urgent> Store::next(Instant now) {
  if (now < backoff_until_) return std::nullopt;
  constexpr auto schedule = Urgent::schedule;
  constexpr auto user = Urgent::user;
  constexpr auto poll = Urgent::poll;
  static constexpr std::array<std::array<Urgent, 3>, 4> kTurns = {
      {{schedule, user, poll}, {user, schedule, poll}, {schedule, user, poll}, {poll, user, schedule}}};
  const Lane& spare = lane(Urgent::spare);
  if (!spare.waiting.empty() && now - spare.waiting.front().since >= kSpareWaits &&
      may_go(Urgent::spare, now))
    return Urgent::spare;
  for (const Urgent u : kTurns[turn_ % kTurns.size()]) {
    if (may_go(u, now)) return u;
  }
  const bool others =
      std::any_of(kTurns[0].begin(), kTurns[0].end(), [&](Urgent u) { return !lane(u).waiting.empty(); });
  return !others && may_go(Urgent::spare, now) ? std::optional(Urgent::spare) : std::nullopt;
}

void Store::pump() {
  if (pumping_) return;
  const Instant now = rt_.now();
  while (const auto u = next(now)) {
    Lane& l = lane(*u);
    const Queued q = std::move(l.waiting.front());
    l.waiting.pop_front();
    l.writes = l.waiting.empty() ? 0 : l.writes - q.writes;
    requests_.take(1, now);
    if (q.writes > 0) {
      writes_.take(q.writes, now);
      owed_ += *u == Urgent::user ? -q.writes * (1 - kUsersPart) : q.writes * kUsersPart;
      owed_ = std::clamp(owed_, -writes_.rate(), writes_.rate());
    }
    ++turn_;
    q.send();
  }
  if (std::all_of(lanes_.begin(), lanes_.end(), [](const Lane& l) { return l.waiting.empty(); })) return;
  pumping_ = true;
  rt_.after(millis(20), [this] {
    pumping_ = false;
    pump();
  });
}

void Store::get(const std::string& key, Urgent urgent, std::function<void(Read)> done) {
  const auto failed = [done](Micros busy) {
    Read r;
    r.busy = busy;
    done(std::move(r));
  };
  submit(
      urgent, 0,
      [this, key, done] {
        call({"GET", "/store/" + key, {}}, kTimeout, [done](Outcome o) {
          Read r;
          if (o.answered && (o.response.status == 200 || o.response.status == 404)) {
            if (auto v = decode(o.response.body); v && v->map() != nullptr) {
              r.result = Read::Result::ok;
              r.revision = revision_of(*v);
              if (o.response.status == 200) r.rows.push_back(read_row(*v, "k"));
            }
          }
          done(std::move(r));
        });
      },
      failed);
}

void Store::list(const std::string& prefix, const std::string& from, int limit, Urgent urgent,
                 std::function<void(Read)> done) {
  const auto failed = [done](Micros busy) {
    Read r;
    r.busy = busy;
    done(std::move(r));
  };
  std::string target = "/store?starts=" + prefix + "&limit=" + std::to_string(limit);
  if (!from.empty()) target += "&from=" + from;
  submit(
      urgent, 0,
      [this, target, done] {
        call({"GET", target, {}}, kTimeout, [done](Outcome o) {
          Read r;
          if (o.answered && o.response.status == 200) {
            auto v = decode(o.response.body);
            o.response.body = {};
            if (v && (*v)["rows"].list() != nullptr) {
              r.result = Read::Result::ok;
              r.revision = revision_of(*v);
              r.truncated = (*v)["truncated"].boolean().value_or(false);
              Value rows = v->take("rows");
              for (Value& row : *rows.list()) r.rows.push_back(read_row(row, "k"));
            }
          }
          done(std::move(r));
        });
      },
      failed);
}

void Store::commit(const std::vector<Condition>& when, const std::vector<Change>& apply, Urgent urgent,
                   std::function<void(Commit)> done) {
  Value::List conditions;
  for (const Condition& c : when) conditions.emplace_back(Value::Map{{"k", c.key}, {"stamp", c.stamp}});
  Value::List changes;
  for (const Change& c : apply) {
    Value::Map m;
    if (c.put) {
      m.emplace_back("put", c.key);
      m.emplace_back("value", *c.put);
      if (c.tenancy != 0) m.emplace_back("tenancy", c.tenancy);
    } else {
      m.emplace_back("delete", c.key);
    }
    changes.emplace_back(std::move(m));
  }
  std::string body = encode(Value::Map{{"when", std::move(conditions)}, {"apply", std::move(changes)}});
  submit(
      urgent, static_cast<double>(apply.size()),
      [this, body = std::move(body), done] {
        call({"POST", "/multi", body}, kTimeout, [done](Outcome o) {
          Commit c;
          if (!o.answered) {
            c.result = o.sent ? Commit::Result::unknown : Commit::Result::refused;
          } else {
            const auto v = decode(o.response.body);
            switch (o.response.status) {
              case 200:
                c.result = v ? Commit::Result::committed : Commit::Result::unknown;
                break;
              case 409:
                c.result = Commit::Result::conflict;
                if (v && (*v)["failed"].list() != nullptr) {
                  for (const Value& k : *(*v)["failed"].list()) {
                    if (k.text() != nullptr) c.failed.push_back(*k.text());
                  }
                }
                break;
              case 429:
              case 503:
                c.result = Commit::Result::refused;
                break;
              case 400:
                c.result = Commit::Result::invalid;
                break;
              default:
                c.result = Commit::Result::unknown;
            }
            if (v) c.revision = revision_of(*v);
          }
          done(std::move(c));
        });
      },
      [done](Micros busy) {
        Commit c;
        c.busy = busy;
        done(std::move(c));
      });
}

void Store::hold(Micros life, std::function<void(HoldReply)> done) {
  const std::string body = encode(Value::Map{{"life_ms", static_cast<std::uint64_t>(life.count() / 1000)}});
  submit(
      Urgent::hold, 0,
      [this, body, done] {
        call({"POST", "/holds", body}, kTimeout, [done](Outcome o) {
          HoldReply h;
          if (o.answered && o.response.status == 200) {
            const auto v = decode(o.response.body);
            if (const auto t = v ? (*v)["tenancy"].count() : std::nullopt) {
              h.result = HoldReply::Result::ok;
              h.tenancy = *t;
            }
          }
          done(h);
        });
      },
      [](Micros) {});
}

void Store::extend(std::uint64_t tenancy, std::function<void(HoldReply)> done) {
  submit(
      Urgent::hold, 0,
      [this, tenancy, done] {
        call({"POST", "/holds/" + std::to_string(tenancy) + "/extend", {}}, kTimeout,
             [done, tenancy](Outcome o) {
               HoldReply h;
               h.tenancy = tenancy;
               if (o.answered && o.response.status == 200) h.result = HoldReply::Result::ok;
               if (o.answered && o.response.status == 404) h.result = HoldReply::Result::gone;
               done(h);
             });
      },
      [](Micros) {});
}

void Store::drop(std::uint64_t tenancy) {
  submit(
      Urgent::hold, 0,
      [this, tenancy] {
        call({"DELETE", "/holds/" + std::to_string(tenancy), {}}, kTimeout, [](const Outcome&) {});
      },
      [](Micros) {});
}

void Store::follow(const std::string& prefix, std::uint64_t from, Micros wait, Urgent urgent,
                   std::function<void(FollowReply)> done) {
  const std::string target = "/follow?starts=" + prefix + "&from=" + std::to_string(from) +
                             "&hold_ms=" + std::to_string(wait.count() / 1000);
  submit(
      urgent, 0,
      [this, target, wait, done] {
        call({"GET", target, {}, false, kMostFollowed}, wait + kTimeout, [done](Outcome o) {
          FollowReply f;
          if (o.answered && o.response.status == 410) f.result = FollowReply::Result::too_old;
          if (o.too_large) f.result = FollowReply::Result::too_large;
          if (o.answered && o.response.status == 200) {
            auto v = decode(o.response.body);
            o.response.body = {};
            if (v && (*v)["events"].list() != nullptr) {
              f.result = FollowReply::Result::ok;
              f.revision = revision_of(*v);
              Value events = v->take("events");
              for (Value& e : *events.list()) {
                if (e["put"].text() != nullptr) {
                  f.puts.push_back(read_row(e, "put"));
                } else if (const std::string* gone = e["delete"].text()) {
                  f.deletes.emplace_back(*gone, e["stamp"].count().value_or(0));
                }
              }
            }
          }
          done(std::move(f));
        });
      },
      [](Micros) {});
}

}  // namespace wrenusher::store
