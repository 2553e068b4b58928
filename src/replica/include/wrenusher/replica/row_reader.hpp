#pragma once
// Reads the columns of a hint's row that a peer sent.

#include <cstdint>
#include <limits>
#include <string>

#include "wrenusher/value/value.hpp"

namespace wrenusher::replica {

/// Reads the columns of a row received from a peer, in order. A column that is missing, has another type or
/// is out of range makes the row invalid: from then on, `valid()` is false and all reads return empty values.
class RowReader {
 public:
  /// `row` must outlive this.
  RowReader(const value::Value& row, std::size_t column_count);

  [[nodiscard]] bool valid() const { return valid_; }
  /// Reads a text of at most 200 bytes.
  std::string text();
  std::uint64_t count(std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  double number(double min, double max);
  bool flag();
  /// Reads a list of at most `max_items` rows and calls `read(RowReader&)` for each of them.
  template <typename Read>
  void for_each(std::size_t column_count, std::size_t max_items, const Read& read) {
    const value::Value::List* items = next().list();
    if (items == nullptr || items->size() > max_items) {
      valid_ = false;
      return;
    }
    for (const value::Value& value : *items) {
      RowReader item(value, column_count);
      read(item);
      valid_ = valid_ && item.valid();
    }
  }

 private:
  const value::Value& next();
  template <typename T>
  T fail() {
    valid_ = false;
    return {};
  }

  const value::Value::List* columns_;
  std::size_t next_column_ = 0;
  bool valid_;
};

}  // namespace wrenusher::replica
