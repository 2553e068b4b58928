#include "wrenusher/replica/hint_publisher.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::replica {

using time::from_seconds;
using value::Value;

namespace {

/// Rows of one message, as JSON; a heartbeat may have 64 KiB.
constexpr std::size_t kMaxMessageBytes = std::size_t{24} * 1024;
/// What a row takes beside its key and its value.
constexpr std::size_t kRowOverheadBytes = 8;
/// A message that is not confirmed within this time counts as lost.
constexpr Micros kConfirmTimeout = from_seconds(2.5);
/// Messages under way to one peer.
constexpr std::size_t kMaxInFlight = 4;
/// A peer that was not heard for so long is sent everything when it comes back.
constexpr Micros kMaxSilence = from_seconds(30);
constexpr Micros kCleanupInterval = from_seconds(20);
/// A hint received within this time may not have reached the other peers.
constexpr Micros kPropagationTime = from_seconds(3);

}  // namespace

void HintPublisher::begin(std::uint64_t term, std::uint64_t incarnation, const HintTable& hints,
                          const std::map<std::string, std::uint64_t>& synchronized, Instant now) {
  term_ = term;
  incarnation_ = incarnation;
  table_ = hints;
  table_.drop_tombstones(now);
  peers_.clear();
  for (const auto& [peer, peer_incarnation] : synchronized) {
    Subscriber& subscriber = peers_[peer] = {peer_incarnation, now, 0, false, {}, {}};
    for (const auto& [key, entry] : table_.entries()) {
      if (now - entry.received_at < kPropagationTime) subscriber.pending.insert(key);
    }
  }
}

void HintPublisher::mark_pending(const std::string& key) {
  for (auto& [name, subscriber] : peers_) subscriber.pending.insert(key);
}

void HintPublisher::put(HintRow row, Instant now) {
  const auto it = table_.entries().find(row.key);
  const bool is_known = it != table_.entries().end() && !it->second.row.is_tombstone();
  if (is_known && it->second.row.digest == row.digest) return;
  const std::string key = row.key;
  table_.put(std::move(row), now, term_, 0);
  mark_pending(key);
}

void HintPublisher::erase(const std::string& key, Instant now) {
  const auto it = table_.entries().find(key);
  if (it == table_.entries().end() || it->second.row.is_tombstone()) return;
  table_.put({key, Value(), 0}, now, term_, 0);
  mark_pending(key);
}

std::vector<std::string> HintPublisher::names_of(HintKind kind) const {
  std::vector<std::string> names;
  const std::string prefix = hint_key(kind, "");
  for (auto it = table_.entries().lower_bound(prefix);
       it != table_.entries().end() && it->first.starts_with(prefix); ++it) {
    if (!it->second.row.is_tombstone()) names.push_back(it->first.substr(prefix.size()));
  }
  return names;
}

void HintPublisher::requeue_lost(Subscriber& subscriber, Instant now) {
  for (auto message = subscriber.in_flight.begin(); message != subscriber.in_flight.end();) {
    if (now - message->second.sent_at < kConfirmTimeout) {
      ++message;
      continue;
    }
    subscriber.pending.insert(message->second.keys.begin(), message->second.keys.end());
    message = subscriber.in_flight.erase(message);
  }
}

Value::List HintPublisher::take_rows(Subscriber& subscriber, Message& message) const {
  static const HintRow absent;
  Value::List rows;
  std::size_t bytes = 0;
  while (!subscriber.pending.empty()) {
    const std::string& key = *subscriber.pending.begin();
    const auto it = table_.entries().find(key);
    const HintRow& row = it == table_.entries().end() ? absent : it->second.row;
    const std::size_t row_bytes = row.value.json_size() + key.size() + kRowOverheadBytes;
    if (!rows.empty() && bytes + row_bytes > kMaxMessageBytes) break;
    bytes += row_bytes;
    // The receiver needs the digest for one thing: once it leads, it need not publish the same row again.
    rows.emplace_back(Value::List{key, row.value, row.digest});
    message.keys.push_back(key);
    subscriber.pending.erase(subscriber.pending.begin());
  }
  return rows;
}

Value HintPublisher::next_message(const std::string& peer, Instant now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return {};
  Subscriber& subscriber = it->second;
  requeue_lost(subscriber, now);
  const bool has_something = !subscriber.pending.empty() || subscriber.awaits_first;
  if (!has_something || subscriber.in_flight.size() >= kMaxInFlight) return {};
  Message message{now, {}};
  Value::List rows = take_rows(subscriber, message);
  subscriber.awaits_first = false;
  subscriber.in_flight.emplace(++messages_sent_, std::move(message));
  return Value::Map{{"term", term_},
                    {"life", incarnation_},
                    {"n", messages_sent_},
                    {"left", std::uint64_t{subscriber.pending.size()}},
                    {"since", subscriber.first_message},
                    {"rows", std::move(rows)}};
}

void HintPublisher::on_confirmed(const std::string& peer, std::uint64_t incarnation,
                                 const std::vector<std::uint64_t>& messages, Instant now) {
  Subscriber& subscriber = peers_[peer];
  if (subscriber.incarnation != incarnation) {
    // It has restarted, or was away for long: it knows nothing that we know of.
    subscriber = {incarnation, now, messages_sent_ + 1, true, {}, {}};
    for (const auto& [key, entry] : table_.entries()) {
      if (!entry.row.is_tombstone()) subscriber.pending.insert(key);
    }
  }
  subscriber.last_seen = now;
  for (const std::uint64_t message : messages) subscriber.in_flight.erase(message);
  drop_stale(now);
}

/// Nothing is kept for ever for a peer that is away, and no tombstone once every peer knows it.
void HintPublisher::drop_stale(Instant now) {
  std::erase_if(peers_, [now](const auto& peer) { return now - peer.second.last_seen > kMaxSilence; });
  const bool all_confirmed = std::none_of(peers_.begin(), peers_.end(), [](const auto& peer) {
    return !peer.second.pending.empty() || !peer.second.in_flight.empty();
  });
  if (now < next_cleanup_ || !all_confirmed) return;
  next_cleanup_ = now + kCleanupInterval;
  table_.drop_tombstones(now);
}

bool HintPublisher::up_to_date(const std::string& peer, std::uint64_t incarnation) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && it->second.incarnation == incarnation && !it->second.awaits_first &&
         it->second.pending.empty() && it->second.in_flight.empty();
}

std::size_t HintPublisher::unconfirmed_row_count(const std::string& peer) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return 0;
  std::size_t rows = it->second.pending.size();
  for (const auto& [number, message] : it->second.in_flight) rows += message.keys.size();
  return rows;
}

}  // namespace wrenusher::replica
