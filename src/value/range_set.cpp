#include "wrenusher/value/range_set.hpp"

#include <algorithm>

namespace wrenusher::value {

void RangeSet::add(std::uint32_t first, std::uint32_t last) {
  auto it = ranges_.upper_bound(first);
  if (it != ranges_.begin()) {
    const auto before = std::prev(it);
    if (before->second + std::uint64_t{1} >= first) it = before;
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

void RangeSet::remove(std::uint32_t n) {
  auto it = ranges_.upper_bound(n);
  if (it == ranges_.begin()) return;
  --it;
  const auto [first, last] = *it;
  if (n > last) return;
  ranges_.erase(it);
  --size_;
  if (first < n) ranges_.emplace(first, n - 1);
  if (n < last) ranges_.emplace(n + 1, last);
}

bool RangeSet::contains(std::uint32_t n) const {
  const auto it = ranges_.upper_bound(n);
  return it != ranges_.begin() && std::prev(it)->second >= n;
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
    const auto& [a, b] = *it;
    if (b < first) continue;
    out.emplace_back(std::uint64_t{std::max(a, first)});
    out.emplace_back(std::uint64_t{std::min(b, last)});
  }
  return out;
}

bool RangeSet::read(const Value& value, std::uint32_t limit) {
  const Value::List* list = value.list();
  if (list == nullptr || list->size() % 2 != 0) return false;
  for (std::size_t i = 0; i < list->size(); i += 2) {
    const auto a = (*list)[i].count();
    const auto b = (*list)[i + 1].count();
    if (!a || !b || *a > *b || *b >= limit) return false;
    add(static_cast<std::uint32_t>(*a), static_cast<std::uint32_t>(*b));
  }
  return true;
}

}  // namespace wrenusher::value
