#pragma once
// A set of task numbers stored as ranges, which keeps the set of a job of 100,000 tasks small while most of
// its numbers are consecutive.

#include <cstdint>
#include <map>
#include <optional>

#include "wrenusher/value/value.hpp"

namespace wrenusher::value {

/// A set of 32-bit numbers, stored as disjoint ranges that do not touch each other.
class RangeSet {
 public:
  /// Adds every number from `first` to `last`, inclusive.
  void add(std::uint32_t first, std::uint32_t last);
  void add(std::uint32_t number) { add(number, number); }
  void remove(std::uint32_t number);
  bool contains(std::uint32_t number) const;
  bool empty() const { return ranges_.empty(); }
  /// Returns how many numbers the set contains.
  std::uint32_t size() const { return size_; }
  /// Returns the smallest number, or nullopt when the set is empty.
  std::optional<std::uint32_t> first() const;
  /// Returns the ranges in ascending order: first number to last number, inclusive.
  const std::map<std::uint32_t, std::uint32_t>& ranges() const { return ranges_; }

  /// Serializes the numbers from `first` to `last`, inclusive, as a flat list of range ends:
  /// [first, last, first, last, ...].
  Value write(std::uint32_t first, std::uint32_t last) const;
  /// Adds the ranges of a list in the format of `write`. Returns false if the list is malformed or a number
  /// in it is not below `limit`; the ranges before the invalid one have then been added.
  bool read(const Value& value, std::uint32_t limit);
  bool operator==(const RangeSet& other) const { return ranges_ == other.ranges_; }

 private:
  std::map<std::uint32_t, std::uint32_t> ranges_;  ///< first number -> last number
  std::uint32_t size_ = 0;
};

}  // namespace wrenusher::value
