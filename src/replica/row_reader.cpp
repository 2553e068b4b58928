#include "wrenusher/replica/row_reader.hpp"

namespace wrenusher::replica {

using value::Value;

namespace {

constexpr std::size_t kMaxTextBytes = 200;

}  // namespace

RowReader::RowReader(const Value& row, std::size_t column_count)
    : columns_(row.list()), valid_(columns_ != nullptr && columns_->size() == column_count) {}

const Value& RowReader::next() {
  static const Value none;
  return valid_ ? (*columns_)[next_column_++] : none;
}

std::string RowReader::text() {
  const std::string* text = next().text();
  return text != nullptr && text->size() <= kMaxTextBytes ? *text : fail<std::string>();
}

std::uint64_t RowReader::count(std::uint64_t max) {
  const auto count = next().count();
  return count && *count <= max ? *count : fail<std::uint64_t>();
}

double RowReader::number(double min, double max) {
  const auto number = next().number();
  return number && *number >= min && *number <= max ? *number : fail<double>();
}

bool RowReader::flag() {
  const auto flag = next().boolean();
  return flag ? *flag : fail<bool>();
}

}  // namespace wrenusher::replica
