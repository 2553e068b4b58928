#include "wrenusher/value/value.hpp"

#include <cbor.h>

#include <array>
#include <cmath>

namespace wrenusher::value {

namespace {

const Value kNull;

bool valid_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead_byte = static_cast<unsigned char>(text[i]);
    std::size_t continuation_bytes = 0;
    std::uint32_t code_point = lead_byte;
    if (lead_byte >= 0xf0 && lead_byte < 0xf5) {
      continuation_bytes = 3;
      code_point = lead_byte & 0x07U;
    } else if (lead_byte >= 0xe0 && lead_byte < 0xf0) {
      continuation_bytes = 2;
      code_point = lead_byte & 0x0fU;
    } else if (lead_byte >= 0xc2 && lead_byte < 0xe0) {
      continuation_bytes = 1;
      code_point = lead_byte & 0x1fU;
    } else if (lead_byte >= 0x80) {
      return false;
    }
    if (i + continuation_bytes >= text.size()) return false;
    for (std::size_t offset = 1; offset <= continuation_bytes; ++offset) {
      const auto next_byte = static_cast<unsigned char>(text[i + offset]);
      if ((next_byte & 0xc0U) != 0x80U) return false;
      code_point = (code_point << 6U) | (next_byte & 0x3fU);
    }
    if ((continuation_bytes == 2 && code_point < 0x800) ||
        (continuation_bytes == 3 && (code_point < 0x10000 || code_point > 0x10ffff)))
      return false;
    if (code_point >= 0xd800 && code_point <= 0xdfff) return false;
    i += continuation_bytes + 1;
  }
  return true;
}

/// Builds a Value from libcbor's decoding callbacks, which avoids a second tree (libcbor's own) in memory.
class Builder {
 public:
  bool failed = false;
  bool complete() const { return complete_; }
  Value take_root() { return std::move(root_); }

  void add_scalar(Value value) {
    if (!open_frames_.empty() && open_frames_.back().kind == Kind::text_chunks) {
      failed = true;
      return;
    }
    add_value(std::move(value));
  }

  void add_text(std::string_view text) {
    if (!open_frames_.empty() && open_frames_.back().kind == Kind::text_chunks) {
      if (!valid_utf8(text)) failed = true;
      open_frames_.back().key.append(text);
      return;
    }
    if (!valid_utf8(text)) {
      failed = true;
      return;
    }
    add_value(Value(text));
  }

  enum class Kind { list, map, text_chunks };
  void begin_container(Kind kind, std::optional<std::uint64_t> size) {
    if (open_frames_.size() >= kMaxDepth ||
        (!open_frames_.empty() && open_frames_.back().kind == Kind::text_chunks) ||
        (kind != Kind::list && kind != Kind::map && size)) {
      failed = true;
      return;
    }
    // A container must not be a map key.
    if (kind != Kind::text_chunks && !open_frames_.empty() && open_frames_.back().kind == Kind::map &&
        !open_frames_.back().has_key) {
      failed = true;
      return;
    }
    open_frames_.push_back(Frame{kind, size, {}, {}, {}, false});
    if (size && *size == 0) close_container();
  }

  void end_container() {
    if (open_frames_.empty() || open_frames_.back().remaining || open_frames_.back().has_key) {
      failed = true;
      return;
    }
    close_container();
  }

 private:
  struct Frame {
    Kind kind;
    std::optional<std::uint64_t> remaining;  ///< items or fields still to come; nullopt: indefinite length
    Value::List items;
    Value::Map fields;
    std::string key;  ///< the key whose value comes next, or the text joined so far of text_chunks
    bool has_key;
  };

  void close_container() {
    Frame frame = std::move(open_frames_.back());
    open_frames_.pop_back();
    switch (frame.kind) {
      case Kind::list:
        add_value(Value(std::move(frame.items)));
        break;
      case Kind::map:
        add_value(Value(std::move(frame.fields)));
        break;
      case Kind::text_chunks:
        add_value(Value(std::move(frame.key)));
        break;
    }
  }

  void add_value(Value value) {
    if (open_frames_.empty()) {
      if (complete_) failed = true;
      root_ = std::move(value);
      complete_ = true;
      return;
    }
    Frame& frame = open_frames_.back();
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
    if (frame.remaining && --*frame.remaining == 0) close_container();
  }

  std::vector<Frame> open_frames_;
  Value root_;
  bool complete_ = false;
};

Builder& builder(void* context) {
  return *static_cast<Builder*>(context);
}

cbor_callbacks make_callbacks() {
  cbor_callbacks callbacks = cbor_empty_callbacks;
  callbacks.uint8 = [](void* context, std::uint8_t n) { builder(context).add_scalar(std::uint64_t{n}); };
  callbacks.uint16 = [](void* context, std::uint16_t n) { builder(context).add_scalar(std::uint64_t{n}); };
  callbacks.uint32 = [](void* context, std::uint32_t n) { builder(context).add_scalar(std::uint64_t{n}); };
  callbacks.uint64 = [](void* context, std::uint64_t n) { builder(context).add_scalar(n); };
  callbacks.negint8 = [](void* context, std::uint8_t n) {
    builder(context).add_scalar(-1 - std::int64_t{n});
  };
  callbacks.negint16 = [](void* context, std::uint16_t n) {
    builder(context).add_scalar(-1 - std::int64_t{n});
  };
  callbacks.negint32 = [](void* context, std::uint32_t n) {
    builder(context).add_scalar(-1 - std::int64_t{n});
  };
  callbacks.negint64 = [](void* context, std::uint64_t number) {
    if (number > static_cast<std::uint64_t>(INT64_MAX)) {
      builder(context).add_scalar(-1.0 - static_cast<double>(number));
    } else {
      builder(context).add_scalar(-1 - static_cast<std::int64_t>(number));
    }
  };
  callbacks.string = [](void* context, cbor_data data, size_t size) {
    builder(context).add_text(std::string_view(reinterpret_cast<const char*>(data), size));
  };
  callbacks.string_start = [](void* context) {
    builder(context).begin_container(Builder::Kind::text_chunks, std::nullopt);
  };
  callbacks.byte_string = [](void* context, cbor_data, size_t) { builder(context).failed = true; };
  callbacks.byte_string_start = [](void* context) { builder(context).failed = true; };
  callbacks.array_start = [](void* context, size_t size) {
    builder(context).begin_container(Builder::Kind::list, size);
  };
  callbacks.indef_array_start = [](void* context) {
    builder(context).begin_container(Builder::Kind::list, std::nullopt);
  };
  callbacks.map_start = [](void* context, size_t size) {
    builder(context).begin_container(Builder::Kind::map, size);
  };
  callbacks.indef_map_start = [](void* context) {
    builder(context).begin_container(Builder::Kind::map, std::nullopt);
  };
  callbacks.tag = [](void* context, std::uint64_t) { builder(context).failed = true; };
  callbacks.float2 = [](void* context, float number) {
    builder(context).add_scalar(static_cast<double>(number));
  };
  callbacks.float4 = [](void* context, float number) {
    builder(context).add_scalar(static_cast<double>(number));
  };
  callbacks.float8 = [](void* context, double number) { builder(context).add_scalar(number); };
  callbacks.null = [](void* context) { builder(context).add_scalar(nullptr); };
  callbacks.undefined = [](void* context) { builder(context).failed = true; };
  callbacks.boolean = [](void* context, bool boolean) { builder(context).add_scalar(boolean); };
  callbacks.indef_break = [](void* context) { builder(context).end_container(); };
  return callbacks;
}

const cbor_callbacks kCallbacks = make_callbacks();

std::size_t json_text_size(const std::string& text) {
  std::size_t size = 2;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    size += (byte < 0x20) ? 6 : (character == '"' || character == '\\') ? 2 : 1;
  }
  return size;
}

template <typename Encoder, typename... Args>
void append_encoded(std::string& out, Encoder encoder, Args... args) {
  std::array<unsigned char, 16> buffer;
  const std::size_t size = encoder(args..., buffer.data(), buffer.size());
  out.append(reinterpret_cast<const char*>(buffer.data()), size);
}

}  // namespace

std::optional<bool> Value::boolean() const {
  if (const bool* flag = std::get_if<bool>(&data_)) return *flag;
  return std::nullopt;
}

std::optional<double> Value::number() const {
  if (const auto* count = std::get_if<std::uint64_t>(&data_)) return static_cast<double>(*count);
  if (const auto* negative = std::get_if<std::int64_t>(&data_)) return static_cast<double>(*negative);
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
    std::size_t operator()(bool boolean) const { return boolean ? 4 : 5; }
    std::size_t operator()(std::uint64_t number) const { return std::to_string(number).size(); }
    std::size_t operator()(std::int64_t number) const { return std::to_string(number).size(); }
    std::size_t operator()(double) const { return 24; }  // the longest JSON form of a double
    std::size_t operator()(const std::string& text) const { return json_text_size(text); }
    std::size_t operator()(const List& list) const {
      std::size_t size = 2;
      for (const Value& value : list) size += value.json_size() + 1;
      return size;
    }
    std::size_t operator()(const Map& fields) const {
      std::size_t size = 2;
      for (const Field& field : fields) size += json_text_size(field.first) + 2 + field.second.json_size();
      return size;
    }
  };
  return std::visit(Sizer{}, data_);
}

void encode_into(const Value& value, std::string& out) {
  struct Writer {
    std::string& out;
    void operator()(std::nullptr_t) const { append_encoded(out, cbor_encode_null); }
    void operator()(bool boolean) const { append_encoded(out, cbor_encode_bool, boolean); }
    void operator()(std::uint64_t number) const { append_encoded(out, cbor_encode_uint, number); }
    void operator()(std::int64_t number) const {
      append_encoded(out, cbor_encode_negint, static_cast<std::uint64_t>(-1 - number));
    }
    void operator()(double number) const { append_encoded(out, cbor_encode_double, number); }
    void operator()(const std::string& text) const {
      append_encoded(out, cbor_encode_string_start, text.size());
      out += text;
    }
    void operator()(const Value::List& list) const {
      append_encoded(out, cbor_encode_array_start, list.size());
      for (const Value& item : list) encode_into(item, out);
    }
    void operator()(const Value::Map& fields) const {
      append_encoded(out, cbor_encode_map_start, fields.size());
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
  Builder tree_builder;
  while (!bytes.empty()) {
    if (tree_builder.complete()) return std::nullopt;
    const cbor_decoder_result item = cbor_stream_decode(reinterpret_cast<cbor_data>(bytes.data()),
                                                        bytes.size(), &kCallbacks, &tree_builder);
    if (item.status != CBOR_DECODER_FINISHED || tree_builder.failed) return std::nullopt;
    bytes.remove_prefix(item.read);
  }
  if (!tree_builder.complete() || tree_builder.failed) return std::nullopt;
  return tree_builder.take_root();
}

}  // namespace wrenusher::value
