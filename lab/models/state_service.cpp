#include "wrenusher/lab/state_service.hpp"

#include <algorithm>
#include <cstdlib>

#include "wrenusher/lab/answers.hpp"

namespace wrenusher::lab {

namespace {

constexpr Micros kTick = millis(100);
constexpr std::size_t kMostRows = 1000;
constexpr std::size_t kMostListed = 512 * 1024;
constexpr std::size_t kMostTransaction = 64 * 1024;
constexpr std::uint64_t kLeastLife = 100;
constexpr std::uint64_t kMostLife = 600000;
constexpr std::uint64_t kMostFollow = 60000;

bool valid_key(const std::string* k) {
  return k != nullptr && !k->empty() && k->size() <= 200 && k->find(' ') == std::string::npos;
}

}  // namespace

StateLimits limits_of(const settings::Settings& s) {
  return {s.state_rps, s.state_write_rps, s.value_kb, s.txn_ops};
}

StateService::StateService(Wires& wires, const StateLimits& limits, std::unique_ptr<Keep> keep)
    : wires_(wires),
      limits_(limits),
      keep_(std::move(keep)),
      pace_(limits.rps, 1, wires.now()),
      write_pace_(limits.write_rps, 1, wires.now()) {
  Saved s = keep_->load();
  revision_ = s.revision;
  keys_ = std::move(s.keys);
  holds_made_ = s.holds_made;
  past_ = std::move(s.past);
  past_before_ = s.past_before;
  // Every hold has its full time again, as after an outage: how long each still had is not kept.
  for (const auto& [id, life] : s.holds) holds_[id] = {life, wires_.now() + life};
  struct Ticker {
    StateService* s;
    void operator()() const {
      s->expire();
      s->wake();
      s->wires_.at(kTick, *this);
    }
  };
  wires_.at(kTick, Ticker{this});
}

const Entry* StateService::find(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second;
}

std::size_t StateService::count(const std::string& prefix) const {
  std::size_t n = 0;
  for (auto it = keys_.lower_bound(prefix); it != keys_.end() && it->first.starts_with(prefix); ++it) ++n;
  return n;
}

void StateService::outage(bool on) {
  if (down_ == on) return;
  down_ = on;
  if (on) return;
  for (auto& [id, h] : holds_) h.ends = wires_.now() + h.life;
  wake();
}

void StateService::refuse(const std::string& who, bool on) {
  if (on) {
    refused_.insert(who);
  } else {
    refused_.erase(who);
    wake();
  }
}

void StateService::respond(const Answer& answer, Response r) {
  if (slow_.count() == 0) {
    answer(std::move(r));
  } else {
    wires_.at(slow_, [answer, r = std::move(r)] { answer(r); });
  }
}

/// Makes a change durable and then visible; false where it could not be kept, and then nothing has changed.
bool StateService::apply(Batch& b) {
  if (!keep_->save(b)) {
    trouble_ = keep_->trouble();
    return false;
  }
  trouble_.clear();
  if (on_saved) on_saved(b);
  revision_ = b.revision;
  for (const std::string& key : b.deletes) {
    if (keys_.erase(key) > 0) past_.push_back({b.revision, key, std::nullopt});
  }
  for (Batch::Put& p : b.puts) {
    past_.push_back({b.revision, p.key, p.entry.value});
    keys_[p.key] = std::move(p.entry);
  }
  while (past_.size() > kMostPast) {
    past_before_ = past_.front().revision;
    past_.pop_front();
  }
  if (b.new_hold) holds_made_ = b.new_hold->first;
  return true;
}

/// The hold and the keys attached to it are gone.
bool StateService::end_hold(std::uint64_t id) {
  Batch b;
  b.ended_hold = id;
  b.revision = revision_;
  for (const auto& [k, e] : keys_) {
    if (e.tenancy == id) b.deletes.push_back(k);
  }
  if (!b.deletes.empty()) ++b.revision;
  if (!apply(b)) return false;
  holds_.erase(id);
  return true;
}

void StateService::expire() {
  if (down_) return;
  std::vector<std::uint64_t> over;
  for (const auto& [id, h] : holds_) {
    if (wires_.now() >= h.ends) over.push_back(id);
  }
  for (const std::uint64_t id : over) end_hold(id);
}

void StateService::wake() {
  if (down_) return;
  auto waiting = std::move(follows_);
  follows_.clear();
  for (Follow& f : waiting) {
    if (!answers(f.who)) {
      follows_.push_back(std::move(f));
      continue;
    }
    if (f.from < past_before_) {
      respond(f.answer, {410, {}, 0});
      continue;
    }
    Value::List events;
    const auto first = std::upper_bound(past_.begin(), past_.end(), f.from,
                                        [](std::uint64_t from, const Past& p) { return from < p.revision; });
    for (auto p = first; p != past_.end(); ++p) {
      if (!p->key.starts_with(f.prefix)) continue;
      Value::Map e{{p->value ? "put" : "delete", p->key}, {"stamp", p->revision}};
      if (p->value) e.emplace_back("value", *p->value);
      events.emplace_back(std::move(e));
    }
    if (events.empty() && wires_.now() < f.ends) {
      follows_.push_back(std::move(f));
    } else {
      respond(f.answer, reply(200, Value::Map{{"ledger_rev", revision_}, {"events", std::move(events)}}));
    }
  }
}

void StateService::serve(const std::string& from, const Request& r, const Answer& answer) {
  ++requests_[from];
  expire();
  if (!answers(from)) {
    respond(answer, {503, {}, 0});
    return;
  }
  if (!pace_.take(1, wires_.now())) {
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
    follow(from, r.target, answer);
  } else if (r.method == "POST" && r.target == "/multi" && body && r.body.size() <= kMostTransaction) {
    multi(*body, answer);
  } else if (r.method == "POST" && r.target == "/holds" && body) {
    make_hold(*body, answer);
  } else if (r.target.starts_with("/holds/")) {
    serve_hold(r, answer);
  } else {
    respond(answer, malformed("no such request, or a body that is not CBOR or too large"));
  }
}

void StateService::get(const std::string& key, const Answer& answer) {
  if (!valid_key(&key)) {
    respond(answer, malformed("key: must have 1 to 200 bytes and no space"));
  } else if (const Entry* e = find(key)) {
    Value::Map row{{"k", key}, {"value", e->value}, {"stamp", e->stamp}};
    if (e->tenancy != 0) row.emplace_back("tenancy", e->tenancy);
    respond(answer, reply(200, std::move(row)));
  } else {
    respond(answer, reply(404, Value::Map{{"ledger_rev", revision_}}));
  }
}

void StateService::list(const std::string& target, const Answer& answer) {
  const std::string prefix = query(target, "starts");
  const std::string after = query(target, "from");
  const std::size_t asked = std::strtoull(query(target, "limit").c_str(), nullptr, 10);
  const std::size_t limit = asked == 0 ? kMostRows : std::min(asked, kMostRows);
  Value::List rows;
  std::size_t bytes = 0;
  bool more = false;
  const std::string begin = std::max(prefix, after);
  for (auto it = keys_.lower_bound(begin); it != keys_.end() && it->first.starts_with(prefix); ++it) {
    if (it->first == after && !after.empty()) continue;
    Value row = Value::Map{{"k", it->first}, {"value", it->second.value}, {"stamp", it->second.stamp}};
    bytes += row.json_size() + 1;
    if (rows.size() == limit || (!rows.empty() && bytes > kMostListed)) {
      more = true;
      break;
    }
    rows.push_back(std::move(row));
  }
  respond(answer,
          reply(200, Value::Map{{"rows", std::move(rows)}, {"truncated", more}, {"ledger_rev", revision_}}));
}

void StateService::follow(const std::string& from, const std::string& target, const Answer& answer) {
  const std::uint64_t hold = std::strtoull(query(target, "hold_ms").c_str(), nullptr, 10);
  follows_.push_back({from, query(target, "starts"),
                      std::strtoull(query(target, "from").c_str(), nullptr, 10),
                      wires_.now() + millis(static_cast<std::int64_t>(std::min(hold, kMostFollow))), answer});
  wake();
}

/// The changes of a transaction; of two to one key the later counts. Nothing, and the reason, when they
/// cannot be taken.
std::optional<Batch> StateService::read_changes(const Value::List& apply, std::string& error) const {
  std::map<std::string, std::optional<Entry>> last;
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
    const std::uint64_t tenancy = c["tenancy"].count().value_or(0);
    if (tenancy != 0 && !holds_.contains(tenancy)) {
      error = "no such lease";
      return std::nullopt;
    }
    if (c["value"].json_size() > static_cast<std::size_t>(limits_.value_kb * 1024)) {
      error = "value of " + *key + ": is larger than " + std::to_string(limits_.value_kb) + " KiB";
      return std::nullopt;
    }
    last[*key] = Entry{c["value"], revision_ + 1, tenancy};
  }
  Batch b;
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

void StateService::multi(const Value& body, const Answer& answer) {
  static const Value::List kNone;
  const Value::List& when = body["when"].list() != nullptr ? *body["when"].list() : kNone;
  const Value::List& changes = body["apply"].list() != nullptr ? *body["apply"].list() : kNone;
  if (when.size() > 4 * limits_.txn_ops || changes.size() > limits_.txn_ops) {
    respond(answer, malformed("more than " + std::to_string(limits_.txn_ops) +
                              " changes or four times as many conditions"));
    return;
  }
  Value::List failed;
  for (const Value& c : when) {
    const std::string* key = c["k"].text();
    const auto stamp = c["stamp"].count();
    if (!valid_key(key) || !stamp) {
      respond(answer, malformed("when: each must have a key and a stamp"));
      return;
    }
    const Entry* e = find(*key);
    if ((e == nullptr ? 0 : e->stamp) != *stamp) failed.emplace_back(*key);
  }
  std::string error;
  auto batch = read_changes(changes, error);
  if (!batch) {
    respond(answer, malformed(error));
    return;
  }
  writes_ += changes.size();
  if (!changes.empty() && !write_pace_.take(static_cast<double>(changes.size()), wires_.now())) {
    ++refusals_;
    respond(answer, {429, {}, 0});
    return;
  }
  if (!failed.empty()) {
    respond(answer, reply(409, Value::Map{{"failed", std::move(failed)}, {"ledger_rev", revision_}}));
    return;
  }
  if (!changes.empty() && !apply(*batch)) {
    respond(answer, reply(503, Value::Map{{"error", trouble_}}));
    return;
  }
  respond(answer, reply(200, Value::Map{{"ledger_rev", revision_}}));
  if (!changes.empty()) wake();
}

void StateService::make_hold(const Value& body, const Answer& answer) {
  const auto life = body["life_ms"].count();
  if (!life || *life < kLeastLife || *life > kMostLife) {
    respond(answer, malformed("life_ms: must be between 100 and 600000"));
    return;
  }
  Batch b;
  b.revision = revision_;
  b.new_hold = {holds_made_ + 1, millis(static_cast<std::int64_t>(*life))};
  if (!apply(b)) {
    respond(answer, reply(503, Value::Map{{"error", trouble_}}));
    return;
  }
  holds_[holds_made_] = {b.new_hold->second, wires_.now() + b.new_hold->second};
  respond(answer, reply(200, Value::Map{{"tenancy", holds_made_}}));
}

void StateService::serve_hold(const Request& r, const Answer& answer) {
  char* end = nullptr;
  const std::uint64_t id = std::strtoull(r.target.c_str() + 7, &end, 10);
  const std::string rest = end;
  const auto it = holds_.find(id);
  if (it == holds_.end()) {
    respond(answer, {404, {}, 0});
  } else if (r.method == "DELETE" && rest.empty()) {
    if (!end_hold(id)) {
      respond(answer, reply(503, Value::Map{{"error", trouble_}}));
      return;
    }
    respond(answer, {200, {}, 0});
    wake();
  } else if (r.method == "POST" && rest == "/extend") {
    it->second.ends = wires_.now() + it->second.life;
    respond(answer, reply(200, Value::Map{{"tenancy", id}}));
  } else {
    respond(answer, malformed("no such request"));
  }
}

}  // namespace wrenusher::lab
