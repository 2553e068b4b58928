#include "wrenusher/testbed/kv_service.hpp"

#include <algorithm>
#include <cstdlib>

#include "wrenusher/testbed/answers.hpp"

namespace wrenusher::testbed {

namespace {

constexpr Micros kTickInterval = from_millis(100);
constexpr std::size_t kMaxRows = 1000;
constexpr std::size_t kMaxListBytes = 512 * 1024;
constexpr std::size_t kMaxTransactionBytes = 64 * 1024;
constexpr std::uint64_t kMinLifeMs = 100;
constexpr std::uint64_t kMaxLifeMs = 600000;
constexpr std::uint64_t kMaxWatchMs = 60000;

bool valid_key(const std::string* k) {
  return k != nullptr && !k->empty() && k->size() <= 200 && k->find(' ') == std::string::npos;
}

}  // namespace

KvLimits limits_of(const settings::Settings& s) {
  return {s.state_rps, s.state_write_rps, s.value_kb, s.txn_ops};
}

KvService::KvService(Transport& transport, const KvLimits& limits, std::unique_ptr<DurableStorage> storage)
    : transport_(transport),
      limits_(limits),
      storage_(std::move(storage)),
      rate_limiter_(limits.rps, 1, transport.now()),
      write_rate_limiter_(limits.write_rps, 1, transport.now()) {
  SavedState s = storage_->load();
  revision_ = s.revision;
  keys_ = std::move(s.keys);
  last_lease_id_ = s.leases_made;
  past_ = std::move(s.past);
  past_before_ = s.past_before;
  // As after an outage, every lease has its full time to live again: its remaining time is not stored.
  for (const auto& [id, life] : s.leases) leases_[id] = {life, transport_.now() + life};
  struct Ticker {
    KvService* s;
    void operator()() const {
      s->expire();
      s->answer_watches();
      s->transport_.at(kTickInterval, *this);
    }
  };
  transport_.at(kTickInterval, Ticker{this});
}

const KvEntry* KvService::find(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second;
}

std::size_t KvService::count(const std::string& prefix) const {
  std::size_t n = 0;
  for (auto it = keys_.lower_bound(prefix); it != keys_.end() && it->first.starts_with(prefix); ++it) ++n;
  return n;
}

void KvService::outage(bool on) {
  if (down_ == on) return;
  down_ = on;
  if (on) return;
  for (auto& [id, h] : leases_) h.ends = transport_.now() + h.ttl;
  answer_watches();
}

void KvService::refuse(const std::string& who, bool on) {
  if (on) {
    refused_.insert(who);
  } else {
    refused_.erase(who);
    answer_watches();
  }
}

void KvService::respond(const Responder& answer, Response r) {
  if (answer_delay_.count() == 0) {
    answer(std::move(r));
  } else {
    transport_.at(answer_delay_, [answer, r = std::move(r)] { answer(r); });
  }
}

/// Makes a batch durable and then visible. Returns false and changes nothing if the batch could not be
/// stored.
bool KvService::apply(WriteBatch& b) {
  if (!storage_->save(b)) {
    storage_error_ = storage_->error();
    return false;
  }
  storage_error_.clear();
  if (on_saved) on_saved(b);
  revision_ = b.revision;
  for (const std::string& key : b.deletes) {
    if (keys_.erase(key) > 0) past_.push_back({b.revision, key, std::nullopt});
  }
  for (WriteBatch::Put& p : b.puts) {
    past_.push_back({b.revision, p.key, p.entry.value});
    keys_[p.key] = std::move(p.entry);
  }
  while (past_.size() > kMaxPastChanges) {
    past_before_ = past_.front().revision;
    past_.pop_front();
  }
  if (b.new_lease) last_lease_id_ = b.new_lease->first;
  return true;
}

/// Deletes a lease and the keys attached to it. Returns false and changes nothing if that could not be
/// stored.
bool KvService::end_lease(std::uint64_t id) {
  WriteBatch b;
  b.ended_lease = id;
  b.revision = revision_;
  for (const auto& [k, e] : keys_) {
    if (e.lease_id == id) b.deletes.push_back(k);
  }
  if (!b.deletes.empty()) ++b.revision;
  if (!apply(b)) return false;
  leases_.erase(id);
  return true;
}

void KvService::expire() {
  if (down_) return;
  std::vector<std::uint64_t> expired;
  for (const auto& [id, h] : leases_) {
    if (transport_.now() >= h.ends) expired.push_back(id);
  }
  for (const std::uint64_t id : expired) end_lease(id);
}

void KvService::answer_watches() {
  if (down_) return;
  auto waiting = std::move(watches_);
  watches_.clear();
  for (Watch& f : waiting) {
    if (!is_available_to(f.who)) {
      watches_.push_back(std::move(f));
      continue;
    }
    if (f.from < past_before_) {
      respond(f.answer, {410, {}, 0});
      continue;
    }
    Value::List events;
    const auto first =
        std::upper_bound(past_.begin(), past_.end(), f.from,
                         [](std::uint64_t from, const PastChange& p) { return from < p.revision; });
    for (auto p = first; p != past_.end(); ++p) {
      if (!p->key.starts_with(f.prefix)) continue;
      Value::Map e{{p->value ? "put" : "delete", p->key}, {"stamp", p->revision}};
      if (p->value) e.emplace_back("value", *p->value);
      events.emplace_back(std::move(e));
    }
    if (events.empty() && transport_.now() < f.ends) {
      watches_.push_back(std::move(f));
    } else {
      respond(f.answer, reply(200, Value::Map{{"ledger_rev", revision_}, {"events", std::move(events)}}));
    }
  }
}

void KvService::serve(const std::string& from, const Request& r, const Responder& answer) {
  ++requests_[from];
  expire();
  if (!is_available_to(from)) {
    respond(answer, {503, {}, 0});
    return;
  }
  if (!rate_limiter_.take(1, transport_.now())) {
    ++refusals_;
    respond(answer, {429, {}, 0});
    return;
  }
  const auto body = r.body.empty() ? std::optional<Value>(Value()) : decode(r.body);
  if (r.method == "GET" && r.target.starts_with("/store/")) {
    get(r.target.substr(7), answer);
  } else if (r.method == "GET" && r.target.starts_with("/store?")) {
    list(r.target, answer);
  } else if (r.method == "GET" && r.target.starts_with("/follow?")) {
    watch(from, r.target, answer);
  } else if (r.method == "POST" && r.target == "/multi" && body && r.body.size() <= kMaxTransactionBytes) {
    transact(*body, answer);
  } else if (r.method == "POST" && r.target == "/holds" && body) {
    grant_lease(*body, answer);
  } else if (r.target.starts_with("/holds/")) {
    serve_lease(r, answer);
  } else {
    respond(answer, malformed("no such request, or a body that is not CBOR or too large"));
  }
}

void KvService::get(const std::string& key, const Responder& answer) {
  if (!valid_key(&key)) {
    respond(answer, malformed("key: must have 1 to 200 bytes and no space"));
  } else if (const KvEntry* e = find(key)) {
    Value::Map row{{"k", key}, {"value", e->value}, {"stamp", e->mod_revision}};
    if (e->lease_id != 0) row.emplace_back("tenancy", e->lease_id);
    respond(answer, reply(200, std::move(row)));
  } else {
    respond(answer, reply(404, Value::Map{{"ledger_rev", revision_}}));
  }
}

void KvService::list(const std::string& target, const Responder& answer) {
  const std::string prefix = query(target, "starts");
  const std::string after = query(target, "from");
  const std::size_t requested_limit = std::strtoull(query(target, "limit").c_str(), nullptr, 10);
  const std::size_t limit = requested_limit == 0 ? kMaxRows : std::min(requested_limit, kMaxRows);
  Value::List rows;
  std::size_t bytes = 0;
  bool more = false;
  const std::string begin = std::max(prefix, after);
  for (auto it = keys_.lower_bound(begin); it != keys_.end() && it->first.starts_with(prefix); ++it) {
    if (it->first == after && !after.empty()) continue;
    Value row = Value::Map{{"k", it->first}, {"value", it->second.value}, {"stamp", it->second.mod_revision}};
    bytes += row.json_size() + 1;
    if (rows.size() == limit || (!rows.empty() && bytes > kMaxListBytes)) {
      more = true;
      break;
    }
    rows.push_back(std::move(row));
  }
  respond(answer,
          reply(200, Value::Map{{"rows", std::move(rows)}, {"truncated", more}, {"ledger_rev", revision_}}));
}

void KvService::watch(const std::string& from, const std::string& target, const Responder& answer) {
  const std::uint64_t hold_ms = std::strtoull(query(target, "hold_ms").c_str(), nullptr, 10);
  watches_.push_back(
      {from, query(target, "starts"), std::strtoull(query(target, "from").c_str(), nullptr, 10),
       transport_.now() + from_millis(static_cast<std::int64_t>(std::min(hold_ms, kMaxWatchMs))), answer});
  answer_watches();
}

/// Returns the changes of a transaction; the last of several changes to one key wins. If a change is invalid,
/// returns nothing and sets `error` to the reason.
std::optional<WriteBatch> KvService::read_changes(const Value::List& apply, std::string& error) const {
  std::map<std::string, std::optional<KvEntry>> last;
  for (const Value& c : apply) {
    const std::string* put = c["put"].text();
    const std::string* key = put != nullptr ? put : c["delete"].text();
    if (!valid_key(key)) {
      error = "apply: each must put or delete a key of 1 to 200 bytes without a space";
      return std::nullopt;
    }
    if (put == nullptr) {
      last[*key] = std::nullopt;
      continue;
    }
    const std::uint64_t lease_id = c["tenancy"].count().value_or(0);
    if (lease_id != 0 && !leases_.contains(lease_id)) {
      error = "no such lease";
      return std::nullopt;
    }
    if (c["value"].json_size() > static_cast<std::size_t>(limits_.value_kb * 1024)) {
      error = "value of " + *key + ": is larger than " + std::to_string(limits_.value_kb) + " KiB";
      return std::nullopt;
    }
    last[*key] = KvEntry{c["value"], revision_ + 1, lease_id};
  }
  WriteBatch b;
  b.revision = revision_ + 1;
  for (auto& [key, entry] : last) {
    if (entry) {
      b.puts.push_back({key, std::move(*entry)});
    } else {
      b.deletes.push_back(key);
    }
  }
  return b;
}

void KvService::transact(const Value& body, const Responder& answer) {
  static const Value::List kEmptyList;
  const Value::List& when = body["when"].list() != nullptr ? *body["when"].list() : kEmptyList;
  const Value::List& changes = body["apply"].list() != nullptr ? *body["apply"].list() : kEmptyList;
  if (when.size() > 4 * limits_.txn_ops || changes.size() > limits_.txn_ops) {
    respond(answer, malformed("more than " + std::to_string(limits_.txn_ops) +
                              " changes or four times as many conditions"));
    return;
  }
  Value::List failed;
  for (const Value& c : when) {
    const std::string* key = c["k"].text();
    const auto mod_revision = c["stamp"].count();
    if (!valid_key(key) || !mod_revision) {
      respond(answer, malformed("when: each must have a key and a stamp"));
      return;
    }
    const KvEntry* e = find(*key);
    if ((e == nullptr ? 0 : e->mod_revision) != *mod_revision) failed.emplace_back(*key);
  }
  std::string error;
  auto batch = read_changes(changes, error);
  if (!batch) {
    respond(answer, malformed(error));
    return;
  }
  writes_ += changes.size();
  if (!changes.empty() && !write_rate_limiter_.take(static_cast<double>(changes.size()), transport_.now())) {
    ++refusals_;
    respond(answer, {429, {}, 0});
    return;
  }
  if (!failed.empty()) {
    respond(answer, reply(409, Value::Map{{"failed", std::move(failed)}, {"ledger_rev", revision_}}));
    return;
  }
  if (!changes.empty() && !apply(*batch)) {
    respond(answer, reply(503, Value::Map{{"error", storage_error_}}));
    return;
  }
  respond(answer, reply(200, Value::Map{{"ledger_rev", revision_}}));
  if (!changes.empty()) answer_watches();
}

void KvService::grant_lease(const Value& body, const Responder& answer) {
  const auto life = body["life_ms"].count();
  if (!life || *life < kMinLifeMs || *life > kMaxLifeMs) {
    respond(answer, malformed("life_ms: must be between 100 and 600000"));
    return;
  }
  WriteBatch b;
  b.revision = revision_;
  b.new_lease = {last_lease_id_ + 1, from_millis(static_cast<std::int64_t>(*life))};
  if (!apply(b)) {
    respond(answer, reply(503, Value::Map{{"error", storage_error_}}));
    return;
  }
  leases_[last_lease_id_] = {b.new_lease->second, transport_.now() + b.new_lease->second};
  respond(answer, reply(200, Value::Map{{"tenancy", last_lease_id_}}));
}

void KvService::serve_lease(const Request& r, const Responder& answer) {
  char* end = nullptr;
  const std::uint64_t id = std::strtoull(r.target.c_str() + 7, &end, 10);
  const std::string rest = end;
  const auto it = leases_.find(id);
  if (it == leases_.end()) {
    respond(answer, {404, {}, 0});
  } else if (r.method == "DELETE" && rest.empty()) {
    if (!end_lease(id)) {
      respond(answer, reply(503, Value::Map{{"error", storage_error_}}));
      return;
    }
    respond(answer, {200, {}, 0});
    answer_watches();
  } else if (r.method == "POST" && rest == "/extend") {
    it->second.ends = transport_.now() + it->second.ttl;
    respond(answer, reply(200, Value::Map{{"tenancy", id}}));
  } else {
    respond(answer, malformed("no such request"));
  }
}

}  // namespace wrenusher::testbed
