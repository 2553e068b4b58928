#pragma once
// A set of task numbers kept as ranges: a job of 100,000 tasks stays small while most of it is in runs.

#include <cstdint>
#include <map>
#include <optional>

#include "wrenusher/value/value.hpp"

namespace wrenusher::value {

class RangeSet {
 public:
  /// Adds every number from `first` to `last`, both included.
  void add(std::uint32_t first, std::uint32_t last);
  void add(std::uint32_t n) { add(n, n); }
  void remove(std::uint32_t n);
  bool contains(std::uint32_t n) const;
  bool empty() const { return ranges_.empty(); }
  std::uint32_t size() const { return size_; }
  std::optional<std::uint32_t> first() const;
  const std::map<std::uint32_t, std::uint32_t>& ranges() const { return ranges_; }

  /// [first, last, first, last, ...] of the part between `first` and `last`, both included.
  Value write(std::uint32_t first, std::uint32_t last) const;
  /// Adds what `write` wrote, refusing numbers of `limit` and above.
  bool read(const Value& value, std::uint32_t limit);
  bool operator==(const RangeSet& other) const { return ranges_ == other.ranges_; }

 private:
  std::map<std::uint32_t, std::uint32_t> ranges_;  // first -> last
  std::uint32_t size_ = 0;
};

}  // namespace wrenusher::value
