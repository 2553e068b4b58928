#include "wrenusher/membership/replicated_log.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::membership {

namespace {

/// Maximum bytes of this log in one heartbeat, which may have 64 KiB for all its fields. The next heartbeat
/// continues with the remaining rows.
constexpr std::size_t kMaxRowBytes = std::size_t{16} * 1024;
/// Size of the CBOR head before a row's text.
constexpr std::size_t kRowHeadBytes = 2;

std::optional<std::vector<std::uint64_t>> read_counts(const Value& value, std::size_t size) {
  const Value::List* list = value.list();
  if (list == nullptr || list->size() != size) return std::nullopt;
  std::vector<std::uint64_t> counts;
  counts.reserve(size);
  for (const Value& item : *list) {
    if (!item.count()) return std::nullopt;
    counts.push_back(*item.count());
  }
  return counts;
}

std::string field_error(const std::string& field, const std::string& reason) {
  return field + ": " + reason;
}

}  // namespace

ReplicatedLog::ReplicatedLog(std::uint64_t incarnation, const std::vector<std::string>& peers,
                             Options options)
    : incarnation_(incarnation), options_(std::move(options)) {
  for (const std::string& peer : peers) peers_[peer];
}

void ReplicatedLog::add(std::string row, Instant now) {
  rows_.push_back({std::move(row), now});
  trim();
}

std::vector<std::string> ReplicatedLog::take_confirmed() {
  return std::exchange(confirmed_, {});
}

void ReplicatedLog::trim() {
  std::uint64_t confirmed_by_all = last_number();
  for (const auto& [name, peer] : peers_)
    confirmed_by_all = std::min(confirmed_by_all, peer.confirmed_through);
  const auto has_surplus = [this] {
    return rows_.size() > options_.max_rows &&
           rows_.back().added_at - rows_.front().added_at >= options_.min_retention;
  };
  while (!rows_.empty() && (first_number_ <= confirmed_by_all || has_surplus())) {
    if (first_number_ <= confirmed_by_all) confirmed_.push_back(std::move(rows_.front().text));
    rows_.pop_front();
    ++first_number_;
  }
}

bool ReplicatedLog::write(const std::string& peer, Value::Map& out, std::size_t max_rows) const {
  const auto position = peers_.find(peer);
  if (position == peers_.end()) return true;
  const std::uint64_t from =
      std::max(first_number_, std::min(position->second.confirmed_through, last_number()) + 1);
  Value::List rows;
  std::size_t bytes = 0;
  for (std::size_t i = from - first_number_; i < rows_.size() && rows.size() < max_rows; ++i) {
    bytes += rows_[i].text.size() + kRowHeadBytes;
    if (bytes > kMaxRowBytes) break;
    rows.emplace_back(rows_[i].text);
  }
  const bool complete = from + rows.size() > last_number();
  out.emplace_back(options_.fields.rows, std::move(rows));
  out.emplace_back(options_.fields.range, Value::List{incarnation_, from, last_number()});
  out.emplace_back(options_.fields.received,
                   Value::List{position->second.incarnation, position->second.received_through});
  return complete;
}

std::string ReplicatedLog::read_rows(const Value& value, std::vector<std::string>& out) const {
  const Value& rows = value[options_.fields.rows];
  if (rows.is_null()) return {};
  const std::string reason = std::string("must be a list of ") + options_.row_noun;
  if (rows.list() == nullptr) return field_error(options_.fields.rows, reason);
  for (const Value& row : *rows.list()) {
    if (row.text() == nullptr || !options_.is_valid(*row.text()))
      return field_error(options_.fields.rows, reason);
    out.push_back(*row.text());
  }
  return {};
}

std::string ReplicatedLog::read_numbers(const Value& value, std::size_t row_count,
                                        const PeerPosition& position, RowNumbers& out) const {
  const FieldNames& fields = options_.fields;
  const auto range = read_counts(value[fields.range], 3);
  if (!range) return field_error(fields.range, "must be three numbers");
  out.incarnation = (*range)[0];
  out.first = (*range)[1];
  out.last = (*range)[2];
  if (out.incarnation == 0 || out.first == 0 || out.last < out.first - 1 ||
      out.last - (out.first - 1) < row_count)
    return field_error(fields.range, "its numbers don't fit the number of rows");
  const auto received = read_counts(value[fields.received], 2);
  if (!received) return field_error(fields.received, "must be two numbers");
  out.confirmed_incarnation = (*received)[0];
  out.confirmed_through = (*received)[1];
  if (out.confirmed_incarnation == incarnation_ && out.confirmed_through > last_number())
    return field_error(fields.received, "confirms more rows than there are");
  if (out.incarnation == position.incarnation && out.last < position.received_through)
    return field_error(fields.range, "ends before a row that was received earlier");
  return {};
}

ReplicatedLog::MergeResult ReplicatedLog::merge(const std::string& peer, const Value& value) {
  const auto failure = [](std::string error) {
    MergeResult result;
    result.error = std::move(error);
    return result;
  };
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return failure(field_error("node", "names none of the peers"));
  PeerPosition& position = it->second;
  MergeResult result;
  if (std::string error = read_rows(value, result.rows); !error.empty()) return failure(std::move(error));
  if (value[options_.fields.range].is_null()) return result;  // versions up to 0.6 do not number their rows
  RowNumbers numbers;
  if (std::string error = read_numbers(value, result.rows.size(), position, numbers); !error.empty())
    return failure(std::move(error));
  result.numbered = true;
  if (numbers.incarnation != position.incarnation || numbers.first > position.received_through + 1) {
    result.continuous = false;
    position.incarnation = numbers.incarnation;
    position.received_through = numbers.first - 1;
  }
  position.received_through = std::max(position.received_through, numbers.first - 1 + result.rows.size());
  result.complete = position.received_through >= numbers.last;
  // A confirmation for an earlier incarnation of this node does not apply to the rows of this one.
  position.confirmed_through = numbers.confirmed_incarnation == incarnation_ ? numbers.confirmed_through : 0;
  trim();
  return result;
}

}  // namespace wrenusher::membership
