#pragma once
// Package value: the data model of CBOR message bodies (maps with text keys, lists, text, numbers, booleans
// and null) and its encoder and decoder.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace wrenusher::value {

/// One CBOR item and everything nested in it.
class Value {
 public:
  using List = std::vector<Value>;
  using Field = std::pair<std::string, Value>;
  /// Fields keep the order in which they were added or decoded.
  using Map = std::vector<Field>;

  Value() = default;
  Value(std::nullptr_t) {}
  Value(bool boolean) : data_(boolean) {}
  Value(std::uint64_t number) : data_(number) {}
  /// Integers of 0 and above are stored unsigned, so that equal integers compare as equal.
  Value(std::int64_t number) {
    if (number < 0) {
      data_ = number;
    } else {
      data_ = static_cast<std::uint64_t>(number);
    }
  }
  Value(unsigned number) : data_(std::uint64_t{number}) {}
  Value(int number) : Value(static_cast<std::int64_t>(number)) {}
  Value(double number) : data_(number) {}
  Value(std::string text) : data_(std::move(text)) {}
  Value(std::string_view text) : data_(std::string(text)) {}
  Value(const char* text) : data_(std::string(text)) {}
  Value(List list) : data_(std::move(list)) {}
  Value(Map fields) : data_(std::move(fields)) {}

  // Each accessor returns nothing (nullptr or nullopt) when the value is of another type.
  bool is_null() const { return std::holds_alternative<std::nullptr_t>(data_); }
  const std::string* text() const { return std::get_if<std::string>(&data_); }
  const List* list() const { return std::get_if<List>(&data_); }
  List* list() { return std::get_if<List>(&data_); }
  const Map* map() const { return std::get_if<Map>(&data_); }
  std::optional<bool> boolean() const;
  /// Returns any finite number, regardless of its encoded width.
  std::optional<double> number() const;
  /// Returns a whole number of 0 or above that fits into 64 bits, regardless of its encoded width.
  std::optional<std::uint64_t> count() const;

  /// Returns the field of a map, or null when the field is absent or this value is not a map.
  const Value& operator[](std::string_view key) const;
  /// Moves the field out of a map and leaves null in its place. Returns null when the field is absent or this
  /// value is not a map.
  Value take(std::string_view key);
  /// Returns an upper bound of the value's length as JSON, in bytes. The state service's size limits apply to
  /// the JSON form.
  std::size_t json_size() const;

  bool operator==(const Value&) const = default;

 private:
  friend std::string encode(const Value&);
  friend void encode_into(const Value&, std::string&);
  std::variant<std::nullptr_t, bool, std::uint64_t, std::int64_t, double, std::string, List, Map> data_ =
      nullptr;
};

/// Encodes the value as one CBOR item.
std::string encode(const Value& value);

/// Maximum nesting depth of a message body.
inline constexpr std::size_t kMaxDepth = 32;

/// Decodes exactly one CBOR item. Returns nullopt when the item is malformed, truncated, nested more than
/// `kMaxDepth` levels deep or followed by other bytes, or when it contains what the protocol does not use
/// (byte strings, tags, `undefined`, keys that are not text).
std::optional<Value> decode(std::string_view bytes);

}  // namespace wrenusher::value
