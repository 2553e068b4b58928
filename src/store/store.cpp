#include "wrenusher/store/store.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::store {

namespace {

constexpr Micros kTimeout = Store::kAnswerLife;
/// The service counts as out of reach when nothing good came from it for this long.
constexpr Micros kStale = from_seconds(2.0);
/// Users' calls beyond this many waiting ones are refused at once.
constexpr std::size_t kMostWaiting = 64;
/// So are those that would wait longer than this for their part of the pace: a user gives a submission up
/// after 5 s and a question after 2 s, and what is sent for nobody is taken from others.
constexpr Micros kMostWriteWait = from_seconds(3.5);
constexpr Micros kMostReadWait = from_seconds(1.5);
/// So many may wait however slow the pace is.
constexpr std::size_t kLeastWaiting = 4;
constexpr double kLeaderShare = 0.7;
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
  if (!has(n, now)) return false;
  tokens_ -= n;
  return true;
}

bool Pace::has(double n, Instant now) {
  refill(now);
  // A change larger than one second's worth goes out once the bucket is full, and is paid off afterwards.
  return tokens_ >= std::min(n, rate_ * 0.999);
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

void Store::leading(bool yes) {
  const auto others = static_cast<double>(settings_.peers.size());
  const double share = others == 0 ? 1.0 : yes ? kLeaderShare : (1.0 - kLeaderShare) / others;
  requests_.rate(settings_.state_rps * share * 0.95);
  writes_.rate(std::max(1.0, settings_.state_write_rps * share * 0.95));
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
  rt_.fetch(settings_.state, std::move(request), timeout,
            [this, timeout, sent = rt_.now(), done = std::move(done)](Outcome o) {
              // A node that stood still finds answers that came long ago: what they say may be older than
              // what others have told since.
              if (rt_.now() - sent > timeout) o = Outcome{};
              if (o.answered && o.response.status == 429)
                backoff_until_ = rt_.now() + millis(100) + rt_.jitter(millis(200));
              seen(o.answered && o.response.status != 503 && o.response.status != 429);
              done(std::move(o));
            });
}

void Store::submit(Urgent urgent, double writes, std::function<void()> send, std::function<void()> refuse) {
  const Instant now = rt_.now();
  if (urgent == Urgent::hold) {
    requests_.force(1, now);
    writes_.force(writes, now);
    send();
    return;
  }
  Queue& queue = urgent == Urgent::schedule ? scheduling_
                 : urgent == Urgent::spare  ? spare_
                 : writes > 0               ? user_writes_
                                            : user_reads_;
  if (urgent == Urgent::user && crowded(queue, writes)) {
    rt_.post(std::move(refuse));
    return;
  }
  queue.push_back({writes, std::move(send), now});
  pump();
}

/// Whether one more of users' calls would wait for too long.
bool Store::crowded(const Queue& queue, double writes) const {
  if (queue.size() >= kMostWaiting) return true;
  if (queue.size() < kLeastWaiting) return false;
  const double ahead = static_cast<double>(queue.size());
  return writes > 0 ? ahead > writes_.rate() * to_seconds(kMostWriteWait)
                    : ahead > requests_.rate() * to_seconds(kMostReadWait);
}

std::size_t Store::writes_ready() {
  const Instant now = rt_.now();
  if (now < backoff_until_ || !scheduling_.empty()) return 0;
  const double ready = std::max(0.0, writes_.tokens(now));
  // While users' changes wait they take every token as it comes, and none would ever be left over: a
  // scheduling write then takes its turn among them and waits for a fair part of the pace.
  return static_cast<std::size_t>(user_writes_.empty() ? ready : std::max(ready, writes_.rate() / 4));
}

bool Store::requests_to_spare() {
  const Instant now = rt_.now();
  return now >= backoff_until_ && user_reads_.empty() && user_writes_.empty() &&
         requests_.tokens(now) >= requests_.rate() * kSpare;
}

/// Whether the first call of the queue has what it needs beside a request's token.
bool Store::may_go(const Queue& queue, Instant now) {
  if (queue.empty()) return false;
  const double writes = queue.front().writes;
  if (writes == 0) return true;
  // Of two that wait to change something the one whose turn it is goes first, however little the other needs.
  const auto wants = [](const Queue& q) { return !q.empty() && q.front().writes > 0; };
  const bool users = &queue == &user_writes_;
  const bool turn =
      users ? users_write_next_ || !wants(scheduling_) : !users_write_next_ || !wants(user_writes_);
  return turn && writes_.has(writes, now);
}

/// Null when nothing may go out now. In turn, so that neither a storm of questions nor a long commit keeps
/// the others out.
Store::Queue* Store::next_queue(Instant now) {
  if (!spare_.empty() && now - spare_.front().since >= kSpareWaits) return &spare_;
  Queue* const queues[kTurns] = {&user_reads_, &user_writes_, &scheduling_};
  for (std::size_t i = 0; i < kTurns; ++i) {
    Queue* queue = queues[(turn_ + i) % kTurns];
    if (!may_go(*queue, now)) continue;
    turn_ = (turn_ + i + 1) % kTurns;
    return queue;
  }
  // What is spare is what half a second's worth is left of, whoever comes next.
  const bool busy = !user_reads_.empty() || !user_writes_.empty() || !scheduling_.empty() ||
                    requests_.tokens(now) < requests_.rate() * kSpare;
  return busy || spare_.empty() ? nullptr : &spare_;
}

void Store::pump() {
  if (pumping_) return;
  const Instant now = rt_.now();
  while (now >= backoff_until_ && requests_.has(1, now)) {
    Queue* queue = next_queue(now);
    if (queue == nullptr) break;
    const Queued call = std::move(queue->front());
    queue->pop_front();
    requests_.force(1, now);
    if (call.writes > 0) {
      writes_.force(call.writes, now);
      users_write_next_ = queue != &user_writes_;
    }
    call.send();
  }
  if (user_reads_.empty() && user_writes_.empty() && scheduling_.empty() && spare_.empty()) return;
  pumping_ = true;
  rt_.after(millis(20), [this] {
    pumping_ = false;
    pump();
  });
}

void Store::get(const std::string& key, Urgent urgent, std::function<void(Read)> done) {
  auto failed = [done] {
    Read r;
    r.crowded = true;
    done(std::move(r));
  };
  submit(
      urgent, 0,
      [this, key, done] {
        call({"GET", "/store/" + key, {}}, kTimeout, [done, sent = rt_.now()](Outcome o) {
          Read r;
          r.sent = sent;
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
  auto failed = [done] {
    Read r;
    r.crowded = true;
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
        call({"POST", "/multi", body}, kTimeout, [done, sent = rt_.now()](Outcome o) {
          Commit c;
          c.sent = sent;
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
      [done] {
        Commit c;
        c.crowded = true;
        done(std::move(c));
      });
}

void Store::hold(Micros life, std::function<void(HoldReply)> done) {
  const std::string body = encode(Value::Map{{"life_ms", static_cast<std::uint64_t>(life.count() / 1000)}});
  submit(Urgent::hold, 0,
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
         {});
}

void Store::extend(std::uint64_t tenancy, std::function<void(HoldReply)> done) {
  submit(Urgent::hold, 0,
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
         {});
}

void Store::drop(std::uint64_t tenancy) {
  submit(Urgent::hold, 0,
         [this, tenancy] {
           call({"DELETE", "/holds/" + std::to_string(tenancy), {}}, kTimeout, [](const Outcome&) {});
         },
         {});
}

void Store::follow(const std::string& prefix, std::uint64_t from, Micros wait, Urgent urgent,
                   std::function<void(FollowReply)> done) {
  const std::string target = "/follow?starts=" + prefix + "&from=" + std::to_string(from) +
                             "&hold_ms=" + std::to_string(wait.count() / 1000);
  submit(
      urgent, 0,
      [this, target, wait, done] {
        call({"GET", target, {}, false, kMostFollowed}, wait + kTimeout, [done, sent = rt_.now()](Outcome o) {
          FollowReply f;
          f.sent = sent;
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
      [done] { done(FollowReply{}); });
}

}  // namespace wrenusher::store
