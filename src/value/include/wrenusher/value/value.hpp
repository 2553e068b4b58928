#pragma once
// The data that travels in CBOR bodies: maps keyed by text, lists, text, numbers, booleans and null.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace wrenusher::value {

class Value {
 public:
  using List = std::vector<Value>;
  using Field = std::pair<std::string, Value>;
  using Map = std::vector<Field>;

  Value() = default;
  Value(std::nullptr_t) {}
  Value(bool b) : data_(b) {}
  Value(std::uint64_t n) : data_(n) {}
  Value(std::int64_t n) {
    if (n < 0) {
      data_ = n;
    } else {
      data_ = static_cast<std::uint64_t>(n);
    }
  }
  Value(unsigned n) : data_(std::uint64_t{n}) {}
  Value(int n) : Value(static_cast<std::int64_t>(n)) {}
  Value(double number) : data_(number) {}
  Value(std::string text) : data_(std::move(text)) {}
  Value(std::string_view text) : data_(std::string(text)) {}
  Value(const char* text) : data_(std::string(text)) {}
  Value(List list) : data_(std::move(list)) {}
  Value(Map fields) : data_(std::move(fields)) {}

  bool is_null() const { return std::holds_alternative<std::nullptr_t>(data_); }
  const std::string* text() const { return std::get_if<std::string>(&data_); }
  const List* list() const { return std::get_if<List>(&data_); }
  List* list() { return std::get_if<List>(&data_); }
  const Map* map() const { return std::get_if<Map>(&data_); }
  std::optional<bool> boolean() const;
  /// Any finite number, whatever its width on the wire.
  std::optional<double> number() const;
  /// A whole number of at least 0, whatever its width on the wire.
  std::optional<std::uint64_t> count() const;

  /// The field of a map; null when absent or when this is no map.
  const Value& operator[](std::string_view key) const;
  /// Moves the field of a map out; null is left in its place.
  Value take(std::string_view key);
  /// Length of the value written as JSON, in which the state service counts its limits.
  std::size_t json_size() const;

  bool operator==(const Value&) const = default;

 private:
  friend std::string encode(const Value&);
  friend void encode_into(const Value&, std::string&);
  std::variant<std::nullptr_t, bool, std::uint64_t, std::int64_t, double, std::string, List, Map> data_ =
      nullptr;
};

std::string encode(const Value& value);

/// Deepest nesting that a body may have.
inline constexpr std::size_t kMaxDepth = 32;

/// Reads one whole CBOR item. Nothing when it is malformed, nested too deep, cut short, followed by other
/// bytes, or holds what the protocol does not have (byte strings, tags, keys that are no text).
std::optional<Value> decode(std::string_view bytes);

}  // namespace wrenusher::value
