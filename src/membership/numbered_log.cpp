#include "wrenusher/membership/numbered_log.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wrenusher::membership {

namespace {
/// A page: rows of one heartbeat, which may have 64 KiB for all that it carries, and their bytes. The next
/// brings the rest.
constexpr std::size_t kMostRows = 1000;
constexpr std::size_t kMostRowBytes = 16 * 1024;
/// A row's length, before its text.
constexpr std::size_t kRowHead = 2;

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

NumberedLog::NumberedLog(std::uint64_t life, const std::vector<std::string>& peers, Options options)
    : life_(life), options_(std::move(options)) {
  for (const std::string& p : peers) peers_[p];
}

void NumberedLog::add(std::string row, Instant now) {
  rows_.push_back({std::move(row), now});
  trim();
}

std::vector<std::string> NumberedLog::take_confirmed() {
  return std::exchange(confirmed_, {});
}

void NumberedLog::trim() {
  std::uint64_t all_have = last();
  for (const auto& [name, p] : peers_) all_have = std::min(all_have, p.has);
  const auto beyond = [this] {
    return rows_.size() > options_.most_kept && rows_.back().added - rows_.front().added >= options_.fresh;
  };
  while (!rows_.empty() && (first_ <= all_have || beyond())) {
    if (first_ <= all_have) confirmed_.push_back(std::move(rows_.front().text));
    rows_.pop_front();
    ++first_;
  }
}

void NumberedLog::write(const std::string& peer, Value::Map& out) const {
  const auto p = peers_.find(peer);
  if (p == peers_.end()) return;
  const std::uint64_t from = std::max(first_, std::min(p->second.has, last()) + 1);
  Value::List rows;
  std::size_t bytes = 0;
  for (std::size_t i = from - first_; i < rows_.size() && rows.size() < kMostRows; ++i) {
    bytes += rows_[i].text.size() + kRowHead;
    if (bytes > kMostRowBytes) break;
    rows.emplace_back(rows_[i].text);
  }
  out.emplace_back(options_.fields.rows, std::move(rows));
  out.emplace_back(options_.fields.log, Value::List{life_, from, last()});
  out.emplace_back(options_.fields.got, Value::List{p->second.life, p->second.got});
}

NumberedLog::Taken NumberedLog::take(const std::string& peer, const Value& v) {
  Taken out;
  const auto refuse = [&](const std::string& field, const std::string& why) {
    out.rows.clear();
    out.fault = field + ": " + why;
    return out;
  };
  const Fields& f = options_.fields;
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return refuse("node", "is none of the peers");
  PeerLog& p = it->second;
  if (const Value& rows = v[f.rows]; !rows.is_null()) {
    const std::string why = std::string("must be a list of ") + options_.what;
    if (rows.list() == nullptr) return refuse(f.rows, why);
    for (const Value& r : *rows.list()) {
      if (r.text() == nullptr || !options_.valid(*r.text())) return refuse(f.rows, why);
      out.rows.push_back(*r.text());
    }
  }
  if (v[f.log].is_null()) return out;  // an earlier version of the program numbers nothing
  const auto log = counts(v[f.log], 3);
  if (!log) return refuse(f.log, "must be three numbers");
  const auto [life, from, last_told] = std::tuple((*log)[0], (*log)[1], (*log)[2]);
  if (life == 0 || from == 0 || last_told < from - 1 || last_told - (from - 1) < out.rows.size())
    return refuse(f.log, "its numbers don't fit the list");
  const auto got = counts(v[f.got], 2);
  if (!got) return refuse(f.got, "must be two numbers");
  if ((*got)[0] == life_ && (*got)[1] > last()) return refuse(f.got, "names more than there is");
  if (life == p.life && last_told < p.got) return refuse(f.log, "tells fewer than it did");
  out.numbered = true;
  if (life != p.life || from > p.got + 1) {
    out.joins = false;
    p.life = life;
    p.got = from - 1;
  }
  p.got = std::max(p.got, from - 1 + out.rows.size());
  out.whole = p.got >= last_told;
  // What another life of this node had told is nothing that it has of this one's.
  p.has = (*got)[0] == life_ ? (*got)[1] : 0;
  trim();
  return out;
}

}  // namespace wrenusher::membership
