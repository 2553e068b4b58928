#include "wrenusher/replica/hint_publisher.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::replica {

using time::from_seconds;
using value::Value;

namespace {

/// Limit on the rows of one message, as JSON; a heartbeat is limited to 64 KiB.
constexpr std::size_t kMaxMessageBytes = std::size_t{24} * 1024;
/// Size of a row in addition to its key and its value.
constexpr std::size_t kRowOverheadBytes = 8;
/// A message that is not confirmed within this time is treated as lost.
constexpr Micros kConfirmTimeout = from_seconds(2.5);
/// Maximum number of unconfirmed messages to one peer.
constexpr std::size_t kMaxInFlight = 4;
/// A peer whose last heartbeat is older than this is removed and is sent all rows when it returns.
constexpr Micros kPeerTimeout = from_seconds(30);
constexpr Micros kCleanupInterval = from_seconds(20);
/// A hint received less than this time ago may not have reached the other peers yet.
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
  const bool is_published = it != table_.entries().end() && !it->second.row.is_tombstone();
  if (is_published && it->second.row.digest == row.digest) return;
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
    // The receiver uses the digest only when it becomes the leader, to avoid publishing an unchanged row
    // again.
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
  const bool has_content = !subscriber.pending.empty() || subscriber.needs_first_message;
  if (!has_content || subscriber.in_flight.size() >= kMaxInFlight) return {};
  Message message{now, {}};
  Value::List rows = take_rows(subscriber, message);
  subscriber.needs_first_message = false;
  subscriber.in_flight.emplace(++messages_sent_, std::move(message));
  return Value::Map{{"term", term_},
                    {"life", incarnation_},
                    {"n", messages_sent_},
                    {"left", std::uint64_t{subscriber.pending.size()}},
                    {"since", subscriber.first_valid_message},
                    {"rows", std::move(rows)}};
}

void HintPublisher::on_confirmed(const std::string& peer, std::uint64_t incarnation,
                                 const std::vector<std::uint64_t>& messages, Instant now) {
  Subscriber& subscriber = peers_[peer];
  if (subscriber.incarnation != incarnation) {
    // The peer has restarted or was removed after the timeout, so it may have none of the rows.
    subscriber = {incarnation, now, messages_sent_ + 1, true, {}, {}};
    for (const auto& [key, entry] : table_.entries()) {
      if (!entry.row.is_tombstone()) subscriber.pending.insert(key);
    }
  }
  subscriber.last_seen = now;
  for (const std::uint64_t message : messages) subscriber.in_flight.erase(message);
  drop_stale(now);
}

/// Removes peers that have timed out, and drops tombstones once every peer has confirmed them.
void HintPublisher::drop_stale(Instant now) {
  std::erase_if(peers_, [now](const auto& peer) { return now - peer.second.last_seen > kPeerTimeout; });
  const bool all_confirmed = std::none_of(peers_.begin(), peers_.end(), [](const auto& peer) {
    return !peer.second.pending.empty() || !peer.second.in_flight.empty();
  });
  if (now < next_cleanup_ || !all_confirmed) return;
  next_cleanup_ = now + kCleanupInterval;
  table_.drop_tombstones(now);
}

bool HintPublisher::up_to_date(const std::string& peer, std::uint64_t incarnation) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && it->second.incarnation == incarnation && !it->second.needs_first_message &&
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
