#include "wrenusher/value/value.hpp"

#include <cbor.h>

#include <array>
#include <cmath>

namespace wrenusher::value {

namespace {

const Value kNull;

bool valid_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    std::size_t more = 0;
    std::uint32_t code = lead;
    if (lead >= 0xf0 && lead < 0xf5) {
      more = 3;
      code = lead & 0x07U;
    } else if (lead >= 0xe0 && lead < 0xf0) {
      more = 2;
      code = lead & 0x0fU;
    } else if (lead >= 0xc2 && lead < 0xe0) {
      more = 1;
      code = lead & 0x1fU;
    } else if (lead >= 0x80) {
      return false;
    }
    if (i + more >= text.size()) return false;
    for (std::size_t k = 1; k <= more; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xc0U) != 0x80U) return false;
      code = (code << 6U) | (next & 0x3fU);
    }
    if ((more == 2 && code < 0x800) || (more == 3 && (code < 0x10000 || code > 0x10ffff))) return false;
    if (code >= 0xd800 && code <= 0xdfff) return false;
    i += more + 1;
  }
  return true;
}

/// Builds a Value from libcbor's stream of events, so that no second tree is held in memory.
class Builder {
 public:
  bool failed = false;
  bool done() const { return finished_; }
  Value take() { return std::move(root_); }

  void scalar(Value value) {
    if (!open_.empty() && open_.back().kind == Kind::chunks) {
      failed = true;
      return;
    }
    add(std::move(value));
  }

  void text(std::string_view text) {
    if (!open_.empty() && open_.back().kind == Kind::chunks) {
      if (!valid_utf8(text)) failed = true;
      open_.back().key.append(text);
      return;
    }
    if (!valid_utf8(text)) {
      failed = true;
      return;
    }
    add(Value(text));
  }

  enum class Kind { list, map, chunks };
  void begin(Kind kind, std::optional<std::uint64_t> size) {
    if (open_.size() >= kMaxDepth || (!open_.empty() && open_.back().kind == Kind::chunks) ||
        (kind != Kind::list && kind != Kind::map && size)) {
      failed = true;
      return;
    }
    // A container may not be a key.
    if (kind != Kind::chunks && !open_.empty() && open_.back().kind == Kind::map && !open_.back().has_key) {
      failed = true;
      return;
    }
    open_.push_back(Frame{kind, size, {}, {}, {}, false});
    if (size && *size == 0) close();
  }

  void end() {
    if (open_.empty() || open_.back().left || open_.back().has_key) {
      failed = true;
      return;
    }
    close();
  }

 private:
  struct Frame {
    Kind kind;
    std::optional<std::uint64_t> left;
    Value::List items;
    Value::Map fields;
    std::string key;
    bool has_key;
  };

  void close() {
    Frame frame = std::move(open_.back());
    open_.pop_back();
    switch (frame.kind) {
      case Kind::list:
        add(Value(std::move(frame.items)));
        break;
      case Kind::map:
        add(Value(std::move(frame.fields)));
        break;
      case Kind::chunks:
        add(Value(std::move(frame.key)));
        break;
    }
  }

  void add(Value value) {
    if (open_.empty()) {
      if (finished_) failed = true;
      root_ = std::move(value);
      finished_ = true;
      return;
    }
    Frame& frame = open_.back();
    if (frame.kind == Kind::map) {
      if (!frame.has_key) {
        if (value.text() == nullptr) {
          failed = true;
          return;
        }
        frame.key = *value.text();
        frame.has_key = true;
        return;
      }
      frame.fields.emplace_back(std::move(frame.key), std::move(value));
      frame.key.clear();
      frame.has_key = false;
    } else {
      frame.items.push_back(std::move(value));
    }
    if (frame.left && --*frame.left == 0) close();
  }

  std::vector<Frame> open_;
  Value root_;
  bool finished_ = false;
};

Builder& builder(void* context) {
  return *static_cast<Builder*>(context);
}

cbor_callbacks make_callbacks() {
  cbor_callbacks callbacks = cbor_empty_callbacks;
  callbacks.uint8 = [](void* context, std::uint8_t n) { builder(context).scalar(std::uint64_t{n}); };
  callbacks.uint16 = [](void* context, std::uint16_t n) { builder(context).scalar(std::uint64_t{n}); };
  callbacks.uint32 = [](void* context, std::uint32_t n) { builder(context).scalar(std::uint64_t{n}); };
  callbacks.uint64 = [](void* context, std::uint64_t n) { builder(context).scalar(n); };
  callbacks.negint8 = [](void* context, std::uint8_t n) { builder(context).scalar(-1 - std::int64_t{n}); };
  callbacks.negint16 = [](void* context, std::uint16_t n) { builder(context).scalar(-1 - std::int64_t{n}); };
  callbacks.negint32 = [](void* context, std::uint32_t n) { builder(context).scalar(-1 - std::int64_t{n}); };
  callbacks.negint64 = [](void* context, std::uint64_t n) {
    if (n > static_cast<std::uint64_t>(INT64_MAX)) {
      builder(context).scalar(-1.0 - static_cast<double>(n));
    } else {
      builder(context).scalar(-1 - static_cast<std::int64_t>(n));
    }
  };
  callbacks.string = [](void* context, cbor_data data, size_t n) {
    builder(context).text(std::string_view(reinterpret_cast<const char*>(data), n));
  };
  callbacks.string_start = [](void* context) { builder(context).begin(Builder::Kind::chunks, std::nullopt); };
  callbacks.byte_string = [](void* context, cbor_data, size_t) { builder(context).failed = true; };
  callbacks.byte_string_start = [](void* context) { builder(context).failed = true; };
  callbacks.array_start = [](void* context, size_t n) { builder(context).begin(Builder::Kind::list, n); };
  callbacks.indef_array_start = [](void* context) {
    builder(context).begin(Builder::Kind::list, std::nullopt);
  };
  callbacks.map_start = [](void* context, size_t n) { builder(context).begin(Builder::Kind::map, n); };
  callbacks.indef_map_start = [](void* context) { builder(context).begin(Builder::Kind::map, std::nullopt); };
  callbacks.tag = [](void* context, std::uint64_t) { builder(context).failed = true; };
  callbacks.float2 = [](void* context, float number) {
    builder(context).scalar(static_cast<double>(number));
  };
  callbacks.float4 = [](void* context, float number) {
    builder(context).scalar(static_cast<double>(number));
  };
  callbacks.float8 = [](void* context, double number) { builder(context).scalar(number); };
  callbacks.null = [](void* context) { builder(context).scalar(nullptr); };
  callbacks.undefined = [](void* context) { builder(context).failed = true; };
  callbacks.boolean = [](void* context, bool b) { builder(context).scalar(b); };
  callbacks.indef_break = [](void* context) { builder(context).end(); };
  return callbacks;
}

const cbor_callbacks kCallbacks = make_callbacks();

std::size_t json_text_size(const std::string& text) {
  std::size_t n = 2;
  for (const char character : text) {
    const auto code = static_cast<unsigned char>(character);
    n += (code < 0x20) ? 6 : (character == '"' || character == '\\') ? 2 : 1;
  }
  return n;
}

template <typename Encoder, typename... Args>
void put(std::string& out, Encoder encoder, Args... args) {
  std::array<unsigned char, 16> buffer;
  const std::size_t n = encoder(args..., buffer.data(), buffer.size());
  out.append(reinterpret_cast<const char*>(buffer.data()), n);
}

}  // namespace

std::optional<bool> Value::boolean() const {
  if (const bool* b = std::get_if<bool>(&data_)) return *b;
  return std::nullopt;
}

std::optional<double> Value::number() const {
  if (const auto* count = std::get_if<std::uint64_t>(&data_)) return static_cast<double>(*count);
  if (const auto* i = std::get_if<std::int64_t>(&data_)) return static_cast<double>(*i);
  if (const auto* real = std::get_if<double>(&data_); real != nullptr && std::isfinite(*real)) return *real;
  return std::nullopt;
}

std::optional<std::uint64_t> Value::count() const {
  if (const auto* count = std::get_if<std::uint64_t>(&data_)) return *count;
  if (const auto* real = std::get_if<double>(&data_)) {
    if (std::isfinite(*real) && *real >= 0 && *real < 18446744073709551616.0 && std::floor(*real) == *real) {
      return static_cast<std::uint64_t>(*real);
    }
  }
  return std::nullopt;
}

const Value& Value::operator[](std::string_view key) const {
  if (const Map* fields = map()) {
    for (const Field& field : *fields) {
      if (field.first == key) return field.second;
    }
  }
  return kNull;
}

Value Value::take(std::string_view key) {
  if (Map* fields = std::get_if<Map>(&data_)) {
    for (Field& field : *fields) {
      if (field.first == key) return std::exchange(field.second, Value());
    }
  }
  return {};
}

std::size_t Value::json_size() const {
  struct Sizer {
    std::size_t operator()(std::nullptr_t) const { return 4; }
    std::size_t operator()(bool b) const { return b ? 4 : 5; }
    std::size_t operator()(std::uint64_t n) const { return std::to_string(n).size(); }
    std::size_t operator()(std::int64_t n) const { return std::to_string(n).size(); }
    std::size_t operator()(double) const { return 24; }  // the longest form a double takes
    std::size_t operator()(const std::string& text) const { return json_text_size(text); }
    std::size_t operator()(const List& list) const {
      std::size_t n = 2;
      for (const Value& value : list) n += value.json_size() + 1;
      return n;
    }
    std::size_t operator()(const Map& fields) const {
      std::size_t n = 2;
      for (const Field& field : fields) n += json_text_size(field.first) + 2 + field.second.json_size();
      return n;
    }
  };
  return std::visit(Sizer{}, data_);
}

void encode_into(const Value& value, std::string& out) {
  struct Writer {
    std::string& out;
    void operator()(std::nullptr_t) const { put(out, cbor_encode_null); }
    void operator()(bool b) const { put(out, cbor_encode_bool, b); }
    void operator()(std::uint64_t n) const { put(out, cbor_encode_uint, n); }
    void operator()(std::int64_t n) const {
      put(out, cbor_encode_negint, static_cast<std::uint64_t>(-1 - n));
    }
    void operator()(double number) const { put(out, cbor_encode_double, number); }
    void operator()(const std::string& text) const {
      put(out, cbor_encode_string_start, text.size());
      out += text;
    }
    void operator()(const Value::List& list) const {
      put(out, cbor_encode_array_start, list.size());
      for (const Value& item : list) encode_into(item, out);
    }
    void operator()(const Value::Map& fields) const {
      put(out, cbor_encode_map_start, fields.size());
      for (const auto& [key, item] : fields) {
        (*this)(key);
        encode_into(item, out);
      }
    }
  };
  std::visit(Writer{out}, value.data_);
}

std::string encode(const Value& value) {
  std::string out;
  encode_into(value, out);
  return out;
}

std::optional<Value> decode(std::string_view bytes) {
  Builder tree;
  while (!bytes.empty()) {
    if (tree.done()) return std::nullopt;
    const cbor_decoder_result item =
        cbor_stream_decode(reinterpret_cast<cbor_data>(bytes.data()), bytes.size(), &kCallbacks, &tree);
    if (item.status != CBOR_DECODER_FINISHED || tree.failed) return std::nullopt;
    bytes.remove_prefix(item.read);
  }
  if (!tree.done() || tree.failed) return std::nullopt;
  return tree.take();
}

}  // namespace wrenusher::value
