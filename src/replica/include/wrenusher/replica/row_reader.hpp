#pragma once

#include <cstdint>
#include <limits>
#include <string>

#include "wrenusher/value/value.hpp"

namespace wrenusher::replica {

/// Reads the columns of a row, which came from a peer, in order. A column that is missing, of another type or
/// out of its range spoils the row: `good()` is false from then on, and what is read is empty.
class RowReader {
 public:
  /// `row` must outlive this.
  RowReader(const value::Value& row, std::size_t column_count);

  [[nodiscard]] bool good() const { return good_; }
  /// At most 200 bytes.
  std::string text();
  std::uint64_t count(std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  double number(double min, double max);
  bool flag();
  /// Calls `read(RowReader&)` for each item of a list of at most `max_items` rows.
  template <typename Read>
  void each(std::size_t column_count, std::size_t max_items, const Read& read) {
    const value::Value::List* items = next().list();
    if (items == nullptr || items->size() > max_items) {
      good_ = false;
      return;
    }
    for (const value::Value& value : *items) {
      RowReader item(value, column_count);
      read(item);
      good_ = good_ && item.good();
    }
  }

 private:
  const value::Value& next();
  template <typename T>
  T fail() {
    good_ = false;
    return {};
  }

  const value::Value::List* columns_;
  std::size_t next_column_ = 0;
  bool good_;
};

}  // namespace wrenusher::replica
