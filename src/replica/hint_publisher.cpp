#include "wrenusher/replica/hint_publisher.hpp"

#include <algorithm>

namespace wrenusher::replica {

namespace {

/// Rows of one message, as JSON; a heartbeat may have 64 KiB.
constexpr std::size_t kMaxHintBytes = 24 * 1024;
/// A message that is not confirmed within this time is believed lost.
constexpr Micros kConfirm = from_seconds(2.5);
/// Messages under way to one peer.
constexpr std::size_t kMaxInFlight = 4;
/// A peer that was not heard for so long is told everything when it comes back.
constexpr Micros kAway = from_seconds(30);
constexpr Micros kTidy = from_seconds(20);
/// What was told within this time may not have reached the others.
constexpr Micros kJustNow = from_seconds(3);

}  // namespace

void HintPublisher::begin(std::uint64_t term, std::uint64_t life, const HintTable& known,
                          const std::map<std::string, std::uint64_t>& even, Instant now) {
  term_ = term;
  incarnation_ = life;
  table_ = known;
  table_.drop_tombstones(now);
  peers_.clear();
  for (const auto& [peer, its_life] : even) {
    Subscriber& subscriber = peers_[peer] = {its_life, now, 0, false, {}, {}};
    for (const auto& [key, k] : table_.all()) {
      if (now - k.received_at < kJustNow) subscriber.pending.insert(key);
    }
  }
}

void HintPublisher::mark_pending(const std::string& key) {
  for (auto& [name, p] : peers_) p.pending.insert(key);
}

void HintPublisher::put(HintRow row, Instant now) {
  const auto it = table_.all().find(row.key);
  if (it != table_.all().end() && !it->second.row.value.is_null() && it->second.row.digest == row.digest)
    return;
  std::string key = row.key;
  table_.put(std::move(row), now, term_, 0);
  mark_pending(key);
}

void HintPublisher::erase(const std::string& key, Instant now) {
  const auto it = table_.all().find(key);
  if (it == table_.all().end() || it->second.row.value.is_null()) return;
  table_.put({key, Value(), 0}, now, term_, 0);
  mark_pending(key);
}

std::vector<std::string> HintPublisher::names(HintKind kind) const {
  std::vector<std::string> out;
  const std::string from(1, static_cast<char>(kind));
  for (auto it = table_.all().lower_bound(from); it != table_.all().end() && it->first[0] == from[0]; ++it) {
    if (!it->second.row.value.is_null()) out.push_back(it->first.substr(1));
  }
  return out;
}

Value HintPublisher::next(const std::string& peer, Instant now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return {};
  Subscriber& subscriber = it->second;
  for (auto sent = subscriber.in_flight.begin(); sent != subscriber.in_flight.end();) {
    if (now - sent->second.sent_at < kConfirm) {
      ++sent;
      continue;
    }
    subscriber.pending.insert(sent->second.keys.begin(), sent->second.keys.end());
    sent = subscriber.in_flight.erase(sent);
  }
  if ((subscriber.pending.empty() && !subscriber.silent) || subscriber.in_flight.size() >= kMaxInFlight)
    return {};
  Value::List rows;
  Sent sent{now, {}};
  std::size_t bytes = 0;
  while (!subscriber.pending.empty()) {
    const std::string& key = *subscriber.pending.begin();
    const auto known = table_.all().find(key);
    const Value& value = known == table_.all().end() ? Value() : known->second.row.value;
    const std::size_t size = value.json_size() + key.size() + 8;
    if (!rows.empty() && bytes + size > kMaxHintBytes) break;
    bytes += size;
    // Its digest says nothing to the receiver but this: when it leads, it need not tell that again.
    rows.emplace_back(Value::List{key, value, known == table_.all().end() ? 0 : known->second.row.digest});
    sent.keys.push_back(key);
    subscriber.pending.erase(subscriber.pending.begin());
  }
  subscriber.silent = false;
  subscriber.in_flight.emplace(++messages_sent_, std::move(sent));
  return Value::Map{{"term", term_},
                    {"life", incarnation_},
                    {"n", messages_sent_},
                    {"left", std::uint64_t{subscriber.pending.size()}},
                    {"since", subscriber.since},
                    {"rows", std::move(rows)}};
}

void HintPublisher::on_confirmed(const std::string& peer, std::uint64_t life,
                                 const std::vector<std::uint64_t>& got, Instant now) {
  Subscriber& subscriber = peers_[peer];
  if (subscriber.incarnation != life) {
    // It started anew, or was away for long: it knows nothing that we know of.
    subscriber = {life, now, messages_sent_ + 1, true, {}, {}};
    for (const auto& [key, known] : table_.all()) {
      if (!known.row.value.is_null()) subscriber.pending.insert(key);
    }
  }
  subscriber.last_heard = now;
  for (const std::uint64_t n : got) subscriber.in_flight.erase(n);
  drop_stale(now);
}

/// Nothing is kept for ever for a peer that is away, nor of what is gone once everybody knows.
void HintPublisher::drop_stale(Instant now) {
  std::erase_if(peers_, [now](const auto& p) { return now - p.second.last_heard > kAway; });
  if (now < next_cleanup_ || std::any_of(peers_.begin(), peers_.end(), [](const auto& p) {
        return !p.second.pending.empty() || !p.second.in_flight.empty();
      })) {
    return;
  }
  next_cleanup_ = now + kTidy;
  table_.drop_tombstones(now);
}

bool HintPublisher::up_to_date(const std::string& peer, std::uint64_t life) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && it->second.incarnation == life && !it->second.silent &&
         it->second.pending.empty() && it->second.in_flight.empty();
}

std::size_t HintPublisher::unconfirmed(const std::string& peer) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return 0;
  std::size_t n = it->second.pending.size();
  for (const auto& [beat, sent] : it->second.in_flight) n += sent.keys.size();
  return n;
}

}  // namespace wrenusher::replica
