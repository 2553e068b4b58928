#include "wrenusher/value/range_set.hpp"

#include <algorithm>

namespace wrenusher::value {

void RangeSet::add(std::uint32_t first, std::uint32_t last) {
  auto it = ranges_.upper_bound(first);
  if (it != ranges_.begin()) {
    const auto previous = std::prev(it);
    if (previous->second + std::uint64_t{1} >= first) it = previous;
  }
  while (it != ranges_.end() && it->first <= last + std::uint64_t{1}) {
    first = std::min(first, it->first);
    last = std::max(last, it->second);
    size_ -= it->second - it->first + 1;
    it = ranges_.erase(it);
  }
  ranges_.emplace(first, last);
  size_ += last - first + 1;
}

void RangeSet::remove(std::uint32_t number) {
  auto it = ranges_.upper_bound(number);
  if (it == ranges_.begin()) return;
  --it;
  const auto [first, last] = *it;
  if (number > last) return;
  ranges_.erase(it);
  --size_;
  if (first < number) ranges_.emplace(first, number - 1);
  if (number < last) ranges_.emplace(number + 1, last);
}

bool RangeSet::contains(std::uint32_t number) const {
  const auto it = ranges_.upper_bound(number);
  return it != ranges_.begin() && std::prev(it)->second >= number;
}

std::optional<std::uint32_t> RangeSet::first() const {
  if (ranges_.empty()) return std::nullopt;
  return ranges_.begin()->first;
}

Value RangeSet::write(std::uint32_t first, std::uint32_t last) const {
  Value::List out;
  auto it = ranges_.upper_bound(first);
  if (it != ranges_.begin()) --it;
  for (; it != ranges_.end() && it->first <= last; ++it) {
    const auto& [range_first, range_last] = *it;
    if (range_last < first) continue;
    out.emplace_back(std::uint64_t{std::max(range_first, first)});
    out.emplace_back(std::uint64_t{std::min(range_last, last)});
  }
  return out;
}

bool RangeSet::read(const Value& value, std::uint32_t limit) {
  const Value::List* list = value.list();
  if (list == nullptr || list->size() % 2 != 0) return false;
  for (std::size_t i = 0; i < list->size(); i += 2) {
    const auto range_first = (*list)[i].count();
    const auto range_last = (*list)[i + 1].count();
    if (!range_first || !range_last || *range_first > *range_last || *range_last >= limit) return false;
    add(static_cast<std::uint32_t>(*range_first), static_cast<std::uint32_t>(*range_last));
  }
  return true;
}

}  // namespace wrenusher::value
