#include "wrenusher/standby/teller.hpp"

#include <algorithm>

namespace wrenusher::standby {

namespace {

/// Rows of one message, as JSON; a heartbeat may have 64 KiB.
constexpr std::size_t kMostBytes = 24 * 1024;
/// A message that is not confirmed within this time is believed lost.
constexpr Micros kConfirm = from_seconds(2.5);
/// Messages under way to one peer.
constexpr std::size_t kMostFlying = 4;
/// A peer that was not heard for so long is told everything when it comes back.
constexpr Micros kAway = from_seconds(30);
constexpr Micros kTidy = from_seconds(20);
/// What was told within this time may not have reached the others.
constexpr Micros kJustNow = from_seconds(3);

}  // namespace

void Teller::begin(std::uint64_t term, std::uint64_t life, const Picture& known,
                   const std::map<std::string, std::uint64_t>& even, Instant now) {
  term_ = term;
  life_ = life;
  known_ = known;
  known_.forget_gone(now);
  peers_.clear();
  for (const auto& [peer, its_life] : even) {
    Listener& p = peers_[peer] = {its_life, now, 0, false, {}, {}};
    for (const auto& [key, k] : known_.all()) {
      if (now - k.at < kJustNow) p.pending.insert(key);
    }
  }
}

void Teller::mark(const std::string& key) {
  for (auto& [name, p] : peers_) p.pending.insert(key);
}

void Teller::put(Row row, Instant now) {
  const auto it = known_.all().find(row.key);
  if (it != known_.all().end() && !it->second.row.value.is_null() && it->second.row.digest == row.digest)
    return;
  std::string key = row.key;
  known_.put(std::move(row), now, term_, 0);
  mark(key);
}

void Teller::erase(const std::string& key, Instant now) {
  const auto it = known_.all().find(key);
  if (it == known_.all().end() || it->second.row.value.is_null()) return;
  known_.put({key, Value(), 0}, now, term_, 0);
  mark(key);
}

std::vector<std::string> Teller::names(Kind kind) const {
  std::vector<std::string> out;
  const std::string from(1, static_cast<char>(kind));
  for (auto it = known_.all().lower_bound(from); it != known_.all().end() && it->first[0] == from[0]; ++it) {
    if (!it->second.row.value.is_null()) out.push_back(it->first.substr(1));
  }
  return out;
}

Value Teller::next(const std::string& peer, Instant now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return {};
  Listener& p = it->second;
  for (auto sent = p.flying.begin(); sent != p.flying.end();) {
    if (now - sent->second.at < kConfirm) {
      ++sent;
      continue;
    }
    p.pending.insert(sent->second.keys.begin(), sent->second.keys.end());
    sent = p.flying.erase(sent);
  }
  if ((p.pending.empty() && !p.silent) || p.flying.size() >= kMostFlying) return {};
  Value::List rows;
  Sent sent{now, {}};
  std::size_t bytes = 0;
  while (!p.pending.empty()) {
    const std::string& key = *p.pending.begin();
    const auto known = known_.all().find(key);
    const Value& v = known == known_.all().end() ? Value() : known->second.row.value;
    const std::size_t size = v.json_size() + key.size() + 8;
    if (!rows.empty() && bytes + size > kMostBytes) break;
    bytes += size;
    // Its digest says nothing to the receiver but this: when it leads, it need not tell that again.
    rows.emplace_back(Value::List{key, v, known == known_.all().end() ? 0 : known->second.row.digest});
    sent.keys.push_back(key);
    p.pending.erase(p.pending.begin());
  }
  p.silent = false;
  p.flying.emplace(++made_, std::move(sent));
  return Value::Map{{"term", term_},    {"life", life_},
                    {"n", made_},       {"left", std::uint64_t{p.pending.size()}},
                    {"since", p.since}, {"rows", std::move(rows)}};
}

void Teller::heard(const std::string& peer, std::uint64_t life, const std::vector<std::uint64_t>& got,
                   Instant now) {
  Listener& p = peers_[peer];
  if (p.life != life) {
    // It started anew, or was away for long: it knows nothing that we know of.
    p = {life, now, made_ + 1, true, {}, {}};
    for (const auto& [key, known] : known_.all()) {
      if (!known.row.value.is_null()) p.pending.insert(key);
    }
  }
  p.heard = now;
  for (const std::uint64_t n : got) p.flying.erase(n);
  tidy(now);
}

/// Nothing is kept for ever for a peer that is away, nor of what is gone once everybody knows.
void Teller::tidy(Instant now) {
  std::erase_if(peers_, [now](const auto& p) { return now - p.second.heard > kAway; });
  if (now < next_tidy_ || std::any_of(peers_.begin(), peers_.end(), [](const auto& p) {
        return !p.second.pending.empty() || !p.second.flying.empty();
      })) {
    return;
  }
  next_tidy_ = now + kTidy;
  known_.forget_gone(now);
}

bool Teller::even(const std::string& peer, std::uint64_t life) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && it->second.life == life && !it->second.silent && it->second.pending.empty() &&
         it->second.flying.empty();
}

std::size_t Teller::open(const std::string& peer) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return 0;
  std::size_t n = it->second.pending.size();
  for (const auto& [beat, sent] : it->second.flying) n += sent.keys.size();
  return n;
}

}  // namespace wrenusher::standby
