#include "wrenusher/membership/cancellations.hpp"

#include <algorithm>

namespace wrenusher::membership {

namespace {
/// Rows of one heartbeat, which may have 64 KiB; the next brings the rest.
constexpr std::size_t kMostRows = 1000;
/// For a peer that is away. One that comes back to find older ones gone has to read the state service.
constexpr std::size_t kMostKept = 20000;

std::optional<std::vector<std::uint64_t>> counts(const Value& v, std::size_t n) {
  const Value::List* l = v.list();
  if (l == nullptr || l->size() != n) return std::nullopt;
  std::vector<std::uint64_t> out;
  for (const Value& x : *l) {
    if (!x.count()) return std::nullopt;
    out.push_back(*x.count());
  }
  return out;
}

}  // namespace

Cancellations::Cancellations(std::uint64_t life, std::vector<std::string> peers) : life_(life) {
  for (std::string& p : peers) peers_[std::move(p)];
}

void Cancellations::begin(Instant now, Micros kept) {
  began_ = now;
  kept_for_ = kept;
}

bool Cancellations::tell(const std::string& ref, Instant now) {
  while (!told_order_.empty() && now - told_order_.front().first > kept_for_) {
    told_.erase(told_order_.front().second);
    told_order_.pop_front();
  }
  if (!told_.emplace(ref, now).second) return false;
  told_order_.emplace_back(now, ref);
  if (peers_.empty()) return false;
  rows_.push_back(ref);
  trim();
  return true;
}

void Cancellations::trim() {
  std::uint64_t all_have = last();
  for (const auto& [name, p] : peers_) all_have = std::min(all_have, p.has);
  while (!rows_.empty() && (first_ <= all_have || rows_.size() > kMostKept)) {
    rows_.pop_front();
    ++first_;
  }
}

void Cancellations::write(const std::string& peer, Value::Map& out) const {
  const auto p = peers_.find(peer);
  if (p == peers_.end()) return;
  const std::uint64_t from = std::max(first_, std::min(p->second.has, last()) + 1);
  Value::List rows;
  for (std::size_t i = from - first_; i < rows_.size() && rows.size() < kMostRows; ++i)
    rows.emplace_back(rows_[i]);
  out.emplace_back("withdrawn", std::move(rows));
  out.emplace_back("log", Value::List{life_, from, last()});
  out.emplace_back("got", Value::List{p->second.life, p->second.got});
}

Cancellations::Taken Cancellations::take(const std::string& peer, const Value& v,
                                         std::optional<Instant> asked, Instant now) {
  Taken out;
  const auto refuse = [&](const char* why) {
    out.refs.clear();
    out.fault = why;
    return out;
  };
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return refuse("node: is none of the peers");
  PeerLog& p = it->second;
  if (const Value& rows = v["withdrawn"]; !rows.is_null()) {
    if (rows.list() == nullptr) return refuse("withdrawn: must be a list of jobs");
    for (const Value& r : *rows.list()) {
      if (r.text() == nullptr || !valid_ref(*r.text())) return refuse("withdrawn: must be a list of jobs");
      out.refs.push_back(*r.text());
    }
  }
  if (v["log"].is_null()) return out;  // up to 0.6 they were not numbered: nothing says that these are all
  const auto log = counts(v["log"], 3);
  if (!log) return refuse("log: must be three numbers");
  const auto [life, from, last_told] = std::tuple((*log)[0], (*log)[1], (*log)[2]);
  if (life == 0 || from == 0 || last_told < from - 1 || last_told - (from - 1) < out.refs.size())
    return refuse("log: its numbers don't fit the list");
  const auto got = counts(v["got"], 2);
  if (!got) return refuse("got: must be two numbers");
  if ((*got)[0] == life_ && (*got)[1] > last()) return refuse("got: names more than there is");
  if (life == p.life && last_told < p.got) return refuse("log: tells fewer than it did");
  if (life != p.life || from > p.got + 1) {
    // Another life, or one that this node missed a part of. What was told before now and is not in this
    // list only the state service has.
    p.life = life;
    p.got = from - 1;
    p.met = now;
    p.owed = true;
  }
  p.got = std::max(p.got, from - 1 + out.refs.size());
  if (asked && p.got >= last_told) p.exchanged = std::max(p.exchanged, *asked);
  if (!p.owed) p.through = std::max(p.through, p.exchanged);
  // What another life of this node had told is nothing that it has of this one's.
  p.has = (*got)[0] == life_ ? (*got)[1] : 0;
  trim();
  return out;
}

void Cancellations::on_read(Instant asked) {
  read_ = std::max(read_, asked);
  for (auto& [name, p] : peers_) {
    if (p.owed && read_ >= p.met) p.owed = false;
    if (!p.owed) p.through = std::max(p.through, p.exchanged);
  }
}

Instant Cancellations::through() const {
  // What an earlier life of this node told, only the state service has.
  if (read_ < began_) return kNever;
  Instant all = Instant::max();
  for (const auto& [name, p] : peers_) all = std::min(all, p.through);
  return std::max(read_, all);
}

std::string Cancellations::behind() const {
  const auto it = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
    return a.second.through < b.second.through;
  });
  return it == peers_.end() ? "" : it->first;
}

}  // namespace wrenusher::membership
