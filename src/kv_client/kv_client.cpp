#include "wrenusher/kv_client/kv_client.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::kv_client {

namespace {

constexpr Micros kTimeout = KvClient::kMaxReplyAge;
/// The service counts as out of reach when nothing good came from it for this long.
constexpr Micros kHealthTimeout = from_seconds(2.0);
/// Users' calls beyond this many waiting ones are refused at once.
constexpr std::size_t kMaxQueued = 64;
/// So are those that would wait longer than this for their part of the pace: a user gives a submission up
/// after 5 s and a question after 2 s, and what is sent for nobody is taken from others.
constexpr Micros kMaxWriteWait = from_seconds(3.5);
constexpr Micros kMaxReadWait = from_seconds(1.5);
/// So many may wait however slow the pace is.
constexpr std::size_t kMinQueued = 4;
constexpr double kLeaderShare = 0.7;
/// An answer to a follow holds every change since it was asked from, and the service sets no limit: after a
/// pause of a minute it was 30 MB here, ten times as much once decoded, and the node ended for memory.
constexpr std::size_t kMaxWatchBytes = 2 * 1024 * 1024;
/// What only takes what is spare takes its turn all the same once it has waited for so long: a storm of
/// users' calls leaves nothing over, and what follows the records would have ever more to catch up with.
constexpr Micros kBackgroundMaxWait = from_seconds(1);
/// Part of the tokens kept back from calls that only take what is spare.
constexpr double kBackgroundReserve = 0.5;

/// Its value is moved out of the answer: a copy would double what a large one takes.
KeyValue read_key_value(Value& value, const char* key_field) {
  KeyValue row;
  if (const std::string* k = value[key_field].text()) row.key = *k;
  row.mod_revision = value["stamp"].count().value_or(0);
  row.lease_id = value["tenancy"].count().value_or(0);
  row.value = value.take("value");
  return row;
}

std::uint64_t revision_of(const Value& value) {
  return value["ledger_rev"].count().value_or(0);
}

}  // namespace

void RateLimiter::refill(Instant now) {
  tokens_ = std::min(rate_, tokens_ + to_seconds(now - refilled_at_) * rate_);
  refilled_at_ = now;
}

bool RateLimiter::try_acquire(double n, Instant now) {
  if (!can_acquire(n, now)) return false;
  tokens_ -= n;
  return true;
}

bool RateLimiter::can_acquire(double n, Instant now) {
  refill(now);
  // A change larger than one second's worth goes out once the bucket is full, and is paid off afterwards.
  return tokens_ >= std::min(n, rate_ * 0.999);
}

void RateLimiter::force_acquire(double n, Instant now) {
  refill(now);
  tokens_ -= n;
}

KvClient::KvClient(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      requests_(settings.state_rps / static_cast<double>(settings.peers.size() + 1), runtime.now()),
      writes_(settings.state_write_rps / static_cast<double>(settings.peers.size() + 1), runtime.now()) {
  set_leading(false);
}

void KvClient::set_leading(bool yes) {
  const auto others = static_cast<double>(settings_.peers.size());
  const double share = others == 0 ? 1.0 : yes ? kLeaderShare : (1.0 - kLeaderShare) / others;
  requests_.rate(settings_.state_rps * share * 0.95);
  writes_.rate(std::max(1.0, settings_.state_write_rps * share * 0.95));
}

bool KvClient::reachable() const {
  return ever_replied_ && runtime_.now() - last_reply_ < kHealthTimeout;
}

void KvClient::record_reply(bool good) {
  if (good) {
    last_reply_ = runtime_.now();
    ever_replied_ = true;
  }
  if (reachable() != reported_reachable_) {
    reported_reachable_ = !reported_reachable_;
    log::info("state_service", "the state service {state}",
              log::with("state", reported_reachable_ ? "answers" : "gives no answers"));
    health(KvHealth{reported_reachable_});
  }
}

void KvClient::call(Request request, Micros timeout, CallHandler done) {
  runtime_.call(
      settings_.state, std::move(request), timeout,
      [this, timeout, sent = runtime_.now(), done = std::move(done)](CallResult result) {
        // A node that stood still finds answers that came long ago: what they say may be older than
        // what others have told since.
        if (runtime_.now() - sent > timeout) result = CallResult{};
        if (result.answered && result.response.status == 429)
          backoff_until_ = runtime_.now() + from_millis(100) + runtime_.jitter(from_millis(200));
        record_reply(result.answered && result.response.status != 503 && result.response.status != 429);
        done(std::move(result));
      });
}

void KvClient::enqueue(RequestClass urgent, double writes, std::function<void()> send,
                       std::function<void()> refuse) {
  const Instant now = runtime_.now();
  if (urgent == RequestClass::lease) {
    requests_.force_acquire(1, now);
    writes_.force_acquire(writes, now);
    send();
    return;
  }
  Queue& queue = urgent == RequestClass::scheduling   ? scheduling_
                 : urgent == RequestClass::background ? background_
                 : writes > 0                         ? user_writes_
                                                      : user_reads_;
  if (urgent == RequestClass::user && queue_full(queue, writes)) {
    runtime_.post(std::move(refuse));
    return;
  }
  queue.push_back({writes, std::move(send), now});
  pump();
}

/// Whether one more of users' calls would wait for too long.
bool KvClient::queue_full(const Queue& queue, double writes) const {
  if (queue.size() >= kMaxQueued) return true;
  if (queue.size() < kMinQueued) return false;
  const double ahead = static_cast<double>(queue.size());
  return writes > 0 ? ahead > writes_.rate() * to_seconds(kMaxWriteWait)
                    : ahead > requests_.rate() * to_seconds(kMaxReadWait);
}

std::size_t KvClient::writes_available() {
  const Instant now = runtime_.now();
  if (now < backoff_until_ || !scheduling_.empty()) return 0;
  const double ready = std::max(0.0, writes_.tokens(now));
  // While users' changes wait they take every token as it comes, and none would ever be left over: a
  // scheduling write then takes its turn among them and waits for a fair part of the pace.
  return static_cast<std::size_t>(user_writes_.empty() ? ready : std::max(ready, writes_.rate() / 4));
}

bool KvClient::has_spare_requests() {
  const Instant now = runtime_.now();
  return now >= backoff_until_ && user_reads_.empty() && user_writes_.empty() &&
         requests_.tokens(now) >= requests_.rate() * kBackgroundReserve;
}

/// Whether the first call of the queue has what it needs beside a request's token.
bool KvClient::may_send(const Queue& queue, Instant now) {
  if (queue.empty()) return false;
  const double writes = queue.front().write_count;
  if (writes == 0) return true;
  // Of two that wait to change something the one whose turn it is goes first, however little the other needs.
  const auto wants = [](const Queue& waiting) { return !waiting.empty() && waiting.front().write_count > 0; };
  const bool users = &queue == &user_writes_;
  const bool turn =
      users ? user_write_next_ || !wants(scheduling_) : !user_write_next_ || !wants(user_writes_);
  return turn && writes_.can_acquire(writes, now);
}

/// Null when nothing may go out now. In turn, so that neither a storm of questions nor a long commit keeps
/// the others out.
KvClient::Queue* KvClient::next_queue(Instant now) {
  if (!background_.empty() && now - background_.front().queued_at >= kBackgroundMaxWait) return &background_;
  Queue* const queues[kQueuesInTurn] = {&user_reads_, &user_writes_, &scheduling_};
  for (std::size_t i = 0; i < kQueuesInTurn; ++i) {
    Queue* queue = queues[(next_turn_ + i) % kQueuesInTurn];
    if (!may_send(*queue, now)) continue;
    next_turn_ = (next_turn_ + i + 1) % kQueuesInTurn;
    return queue;
  }
  // What is spare is what half a second's worth is left of, whoever comes next.
  const bool busy = !user_reads_.empty() || !user_writes_.empty() || !scheduling_.empty() ||
                    requests_.tokens(now) < requests_.rate() * kBackgroundReserve;
  return busy || background_.empty() ? nullptr : &background_;
}

void KvClient::pump() {
  if (pumping_) return;
  const Instant now = runtime_.now();
  while (now >= backoff_until_ && requests_.can_acquire(1, now)) {
    Queue* queue = next_queue(now);
    if (queue == nullptr) break;
    const QueuedCall call = std::move(queue->front());
    queue->pop_front();
    requests_.force_acquire(1, now);
    if (call.write_count > 0) {
      writes_.force_acquire(call.write_count, now);
      user_write_next_ = queue != &user_writes_;
    }
    call.send();
  }
  if (user_reads_.empty() && user_writes_.empty() && scheduling_.empty() && background_.empty()) return;
  pumping_ = true;
  runtime_.after(from_millis(20), [this] {
    pumping_ = false;
    pump();
  });
}

void KvClient::get(const std::string& key, RequestClass urgent, std::function<void(ReadReply)> done) {
  auto failed = [done] {
    ReadReply reply;
    reply.queue_full = true;
    done(std::move(reply));
  };
  enqueue(
      urgent, 0,
      [this, key, done] {
        call({"GET", "/store/" + key, {}}, kTimeout, [done, sent = runtime_.now()](CallResult result) {
          ReadReply reply;
          reply.sent_at = sent;
          if (result.answered && (result.response.status == 200 || result.response.status == 404)) {
            if (auto value = decode(result.response.body); value && value->map() != nullptr) {
              reply.result = ReadReply::Result::ok;
              reply.revision = revision_of(*value);
              if (result.response.status == 200) reply.rows.push_back(read_key_value(*value, "k"));
            }
          }
          done(std::move(reply));
        });
      },
      failed);
}

void KvClient::list(const std::string& prefix, const std::string& from, int limit, RequestClass urgent,
                    std::function<void(ReadReply)> done) {
  auto failed = [done] {
    ReadReply reply;
    reply.queue_full = true;
    done(std::move(reply));
  };
  std::string target = "/store?starts=" + prefix + "&limit=" + std::to_string(limit);
  if (!from.empty()) target += "&from=" + from;
  enqueue(
      urgent, 0,
      [this, target, done] {
        call({"GET", target, {}}, kTimeout, [done](CallResult result) {
          ReadReply reply;
          if (result.answered && result.response.status == 200) {
            auto value = decode(result.response.body);
            result.response.body = {};
            if (value && (*value)["rows"].list() != nullptr) {
              reply.result = ReadReply::Result::ok;
              reply.revision = revision_of(*value);
              reply.truncated = (*value)["truncated"].boolean().value_or(false);
              Value rows = value->take("rows");
              for (Value& row : *rows.list()) reply.rows.push_back(read_key_value(row, "k"));
            }
          }
          done(std::move(reply));
        });
      },
      failed);
}

void KvClient::commit(const std::vector<Condition>& when, const std::vector<Mutation>& apply,
                      RequestClass urgent, std::function<void(CommitReply)> done) {
  Value::List conditions;
  for (const Condition& condition : when)
    conditions.emplace_back(Value::Map{{"k", condition.key}, {"stamp", condition.mod_revision}});
  Value::List changes;
  for (const Mutation& change : apply) {
    Value::Map fields;
    if (change.put) {
      fields.emplace_back("put", change.key);
      fields.emplace_back("value", *change.put);
      if (change.lease_id != 0) fields.emplace_back("tenancy", change.lease_id);
    } else {
      fields.emplace_back("delete", change.key);
    }
    changes.emplace_back(std::move(fields));
  }
  std::string body = encode(Value::Map{{"when", std::move(conditions)}, {"apply", std::move(changes)}});
  enqueue(
      urgent, static_cast<double>(apply.size()),
      [this, body = std::move(body), done] {
        call({"POST", "/multi", body}, kTimeout, [done, sent = runtime_.now()](CallResult result) {
          CommitReply reply;
          reply.sent_at = sent;
          if (!result.answered) {
            reply.result =
                result.may_have_arrived ? CommitReply::Result::unknown : CommitReply::Result::refused;
          } else {
            const auto value = decode(result.response.body);
            switch (result.response.status) {
              case 200:
                reply.result = value ? CommitReply::Result::committed : CommitReply::Result::unknown;
                break;
              case 409:
                reply.result = CommitReply::Result::conflict;
                if (value && (*value)["failed"].list() != nullptr) {
                  for (const Value& k : *(*value)["failed"].list()) {
                    if (k.text() != nullptr) reply.failed_keys.push_back(*k.text());
                  }
                }
                break;
              case 429:
              case 503:
                reply.result = CommitReply::Result::refused;
                break;
              case 400:
                reply.result = CommitReply::Result::invalid;
                break;
              default:
                reply.result = CommitReply::Result::unknown;
            }
            if (value) reply.revision = revision_of(*value);
          }
          done(std::move(reply));
        });
      },
      [done] {
        CommitReply reply;
        reply.queue_full = true;
        done(std::move(reply));
      });
}

void KvClient::grant_lease(Micros life, std::function<void(LeaseReply)> done) {
  const std::string body = encode(Value::Map{{"life_ms", static_cast<std::uint64_t>(life.count() / 1000)}});
  enqueue(RequestClass::lease, 0,
          [this, body, done] {
            call({"POST", "/holds", body}, kTimeout, [done](CallResult result) {
              LeaseReply reply;
              if (result.answered && result.response.status == 200) {
                const auto value = decode(result.response.body);
                if (const auto t = value ? (*value)["tenancy"].count() : std::nullopt) {
                  reply.result = LeaseReply::Result::ok;
                  reply.lease_id = *t;
                }
              }
              done(reply);
            });
          },
          {});
}

void KvClient::renew_lease(std::uint64_t lease_id, std::function<void(LeaseReply)> done) {
  enqueue(RequestClass::lease, 0,
          [this, lease_id, done] {
            call({"POST", "/holds/" + std::to_string(lease_id) + "/extend", {}}, kTimeout,
                 [done, lease_id](CallResult result) {
                   LeaseReply reply;
                   reply.lease_id = lease_id;
                   if (result.answered && result.response.status == 200)
                     reply.result = LeaseReply::Result::ok;
                   if (result.answered && result.response.status == 404)
                     reply.result = LeaseReply::Result::expired;
                   done(reply);
                 });
          },
          {});
}

void KvClient::revoke_lease(std::uint64_t lease_id) {
  enqueue(RequestClass::lease, 0,
          [this, lease_id] {
            call({"DELETE", "/holds/" + std::to_string(lease_id), {}}, kTimeout, [](const CallResult&) {});
          },
          {});
}

void KvClient::watch(const std::string& prefix, std::uint64_t from, Micros wait, RequestClass urgent,
                     std::function<void(WatchReply)> done) {
  const std::string target = "/follow?starts=" + prefix + "&from=" + std::to_string(from) +
                             "&hold_ms=" + std::to_string(wait.count() / 1000);
  enqueue(
      urgent, 0,
      [this, target, wait, done] {
        call({"GET", target, {}, false, kMaxWatchBytes}, wait + kTimeout,
             [done, sent = runtime_.now()](CallResult result) {
               WatchReply reply;
               reply.sent_at = sent;
               if (result.answered && result.response.status == 410)
                 reply.result = WatchReply::Result::too_old;
               if (result.too_large) reply.result = WatchReply::Result::too_large;
               if (result.answered && result.response.status == 200) {
                 auto value = decode(result.response.body);
                 result.response.body = {};
                 if (value && (*value)["events"].list() != nullptr) {
                   reply.result = WatchReply::Result::ok;
                   reply.revision = revision_of(*value);
                   Value events = value->take("events");
                   for (Value& e : *events.list()) {
                     if (e["put"].text() != nullptr) {
                       reply.puts.push_back(read_key_value(e, "put"));
                     } else if (const std::string* gone = e["delete"].text()) {
                       reply.deletes.emplace_back(*gone, e["stamp"].count().value_or(0));
                     }
                   }
                 }
               }
               done(std::move(reply));
             });
      },
      [done] { done(WatchReply{}); });
}

}  // namespace wrenusher::kv_client
