#include "wrenusher/membership/replicated_log.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wrenusher::membership {

namespace {
/// A page: rows of one heartbeat, which may have 64 KiB for all that it carries, and their bytes. The next
/// brings the rest.
constexpr std::size_t kMaxRowsPerHeartbeat = 1000;
constexpr std::size_t kMaxRowBytes = 16 * 1024;
/// A row's length, before its text.
constexpr std::size_t kRowHead = 2;

std::optional<std::vector<std::uint64_t>> read_counts(const Value& value, std::size_t n) {
  const Value::List* list = value.list();
  if (list == nullptr || list->size() != n) return std::nullopt;
  std::vector<std::uint64_t> out;
  for (const Value& x : *list) {
    if (!x.count()) return std::nullopt;
    out.push_back(*x.count());
  }
  return out;
}

}  // namespace

ReplicatedLog::ReplicatedLog(std::uint64_t life, const std::vector<std::string>& peers, Options options)
    : incarnation_(life), options_(std::move(options)) {
  for (const std::string& p : peers) peers_[p];
}

void ReplicatedLog::add(std::string row, Instant now) {
  rows_.push_back({std::move(row), now});
  trim_confirmed();
}

std::vector<std::string> ReplicatedLog::take_confirmed() {
  return std::exchange(confirmed_, {});
}

void ReplicatedLog::trim_confirmed() {
  std::uint64_t all_have = last_number();
  for (const auto& [name, p] : peers_) all_have = std::min(all_have, p.confirmed_through);
  const auto beyond = [this] {
    return rows_.size() > options_.max_rows &&
           rows_.back().added_at - rows_.front().added_at >= options_.keep_younger_than;
  };
  while (!rows_.empty() && (first_number_ <= all_have || beyond())) {
    if (first_number_ <= all_have) confirmed_.push_back(std::move(rows_.front().text));
    rows_.pop_front();
    ++first_number_;
  }
}

void ReplicatedLog::write(const std::string& peer, Value::Map& out) const {
  const auto position = peers_.find(peer);
  if (position == peers_.end()) return;
  const std::uint64_t from =
      std::max(first_number_, std::min(position->second.confirmed_through, last_number()) + 1);
  Value::List rows;
  std::size_t bytes = 0;
  for (std::size_t i = from - first_number_; i < rows_.size() && rows.size() < kMaxRowsPerHeartbeat; ++i) {
    bytes += rows_[i].text.size() + kRowHead;
    if (bytes > kMaxRowBytes) break;
    rows.emplace_back(rows_[i].text);
  }
  out.emplace_back(options_.fields.rows, std::move(rows));
  out.emplace_back(options_.fields.range, Value::List{incarnation_, from, last_number()});
  out.emplace_back(options_.fields.received,
                   Value::List{position->second.incarnation, position->second.received_through});
}

ReplicatedLog::MergeResult ReplicatedLog::merge(const std::string& peer, const Value& value) {
  MergeResult out;
  const auto refuse = [&](const std::string& field, const std::string& why) {
    out.rows.clear();
    out.error = field + ": " + why;
    return out;
  };
  const FieldNames& f = options_.fields;
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return refuse("node", "is none of the peers");
  PeerPosition& position = it->second;
  if (const Value& rows = value[f.rows]; !rows.is_null()) {
    const std::string why = std::string("must be a list of ") + options_.row_noun;
    if (rows.list() == nullptr) return refuse(f.rows, why);
    for (const Value& r : *rows.list()) {
      if (r.text() == nullptr || !options_.is_valid(*r.text())) return refuse(f.rows, why);
      out.rows.push_back(*r.text());
    }
  }
  if (value[f.range].is_null()) return out;  // an earlier version of the program numbers nothing
  const auto log = read_counts(value[f.range], 3);
  if (!log) return refuse(f.range, "must be three numbers");
  const auto [life, from, last_told] = std::tuple((*log)[0], (*log)[1], (*log)[2]);
  if (life == 0 || from == 0 || last_told < from - 1 || last_told - (from - 1) < out.rows.size())
    return refuse(f.range, "its numbers don't fit the list");
  const auto got = read_counts(value[f.received], 2);
  if (!got) return refuse(f.received, "must be two numbers");
  if ((*got)[0] == incarnation_ && (*got)[1] > last_number())
    return refuse(f.received, "names more than there is");
  if (life == position.incarnation && last_told < position.received_through)
    return refuse(f.range, "tells fewer than it did");
  out.numbered = true;
  if (life != position.incarnation || from > position.received_through + 1) {
    out.continuous = false;
    position.incarnation = life;
    position.received_through = from - 1;
  }
  position.received_through = std::max(position.received_through, from - 1 + out.rows.size());
  out.complete = position.received_through >= last_told;
  // What another life of this node had told is nothing that it has of this one's.
  position.confirmed_through = (*got)[0] == incarnation_ ? (*got)[1] : 0;
  trim_confirmed();
  return out;
}

}  // namespace wrenusher::membership
