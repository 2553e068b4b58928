#include "wrenusher/fields/fields.hpp"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace wrenusher::fields {

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream text;
  if (in) text << in.rdbuf();
  if (!in || text.bad()) return std::nullopt;
  return text.str();
}

std::string read_text(const std::string& path) {
  auto text = read_file(path);
  if (!text) throw FieldError(path + ": cannot be read");
  return *std::move(text);
}

std::optional<std::uint32_t> parse_ipv4(const std::string& text) {
  unsigned a = 0, b = 0, c = 0, d = 0;
  char more = 0;
  if (std::sscanf(text.c_str(), "%3u.%3u.%3u.%3u%c", &a, &b, &c, &d, &more) != 4 || a > 255 || b > 255 ||
      c > 255 || d > 255)
    return std::nullopt;
  return (a << 24U) | (b << 16U) | (c << 8U) | d;
}

std::optional<Micros> parse_duration(const std::string& text) {
  char* end = nullptr;
  const double n = std::strtod(text.c_str(), &end);
  const std::string unit = end;
  if (end == text.c_str() || !std::isfinite(n) || n < 0 || n > 1e9) return std::nullopt;
  if (unit == "ms") return from_seconds(n / 1000);
  if (unit == "s") return from_seconds(n);
  if (unit == "m") return from_seconds(n * 60);
  if (unit == "h") return from_seconds(n * 3600);
  return std::nullopt;
}

namespace {

std::string place(const std::string& file, int line) {
  return file + ":" + std::to_string(line) + ": ";
}

}  // namespace

Node Node::root(const std::string& yaml, const std::string& file) {
  try {
    return {YAML::Load(yaml), "", file};
  } catch (const YAML::Exception& e) {
    throw FieldError(place(file, e.mark.line + 1) + "not valid YAML: " + e.msg);
  }
}

void Node::fail(const std::string& what) const {
  throw FieldError(place(file_, line()) + (name_.empty() ? what : name_ + ": " + what));
}

bool Node::has(const std::string& key) {
  known_.insert(key);
  return at_.IsMap() && at_[key].IsDefined() && !at_[key].IsNull();
}

Node Node::operator[](const std::string& key) {
  if (!at_.IsMap()) fail("must be a map of fields");
  if (!has(key)) fail("has no field '" + key + "'");
  return {at_[key], name_.empty() ? key : name_ + "." + key, file_};
}

void Node::no_more() const {
  if (!at_.IsMap()) fail("must be a map of fields");
  for (const auto& field : at_) {
    const auto key = field.first.as<std::string>();
    if (known_.contains(key)) continue;
    std::string names;
    for (const std::string& k : known_) names += (names.empty() ? "" : ", ") + k;
    throw FieldError(place(file_, field.first.Mark().line + 1) + (name_.empty() ? "" : name_ + ": ") +
                     "unknown field '" + key + "' (known: " + names + ")");
  }
}

std::vector<Node> Node::items() const {
  if (!at_.IsSequence()) fail("must be a list");
  std::vector<Node> out;
  for (std::size_t i = 0; i < at_.size(); ++i)
    out.emplace_back(at_[i], name_ + "[" + std::to_string(i) + "]", file_);
  return out;
}

std::vector<std::pair<std::string, Node>> Node::entries() const {
  if (!at_.IsMap()) fail("must be a map of names");
  std::vector<std::pair<std::string, Node>> out;
  std::set<std::string> names;
  for (const auto& e : at_) {
    const auto key = e.first.as<std::string>();
    Node n(e.second, name_ + "." + key, file_);
    // A file with two entries of one name is read by YAML as if only one were there.
    if (!names.insert(key).second) n.fail("is there twice");
    out.emplace_back(key, std::move(n));
  }
  return out;
}

std::string Node::text() const {
  if (!at_.IsScalar() || at_.Scalar().empty()) fail("must be a text");
  return at_.Scalar();
}

std::string Node::one_of(const std::vector<std::string>& names) const {
  const std::string t = text();
  std::string all;
  for (const std::string& n : names) {
    if (n == t) return t;
    all += (all.empty() ? "" : ", ") + n;
  }
  fail("'" + t + "' is none of " + all);
}

double Node::number(double least, double most) const {
  double n = 0;
  try {
    n = at_.as<double>();
  } catch (const YAML::Exception&) {
    fail("must be a number without a unit");
  }
  if (!std::isfinite(n) || n < least || n > most) {
    std::ostringstream s;
    s << "must be between " << least << " and " << most;
    fail(s.str());
  }
  return n;
}

int Node::whole(int least, int most) const {
  const double n = number(least, most);
  if (n != std::floor(n)) fail("must be a whole number");
  return static_cast<int>(n);
}

bool Node::boolean() const {
  try {
    return at_.as<bool>();
  } catch (const YAML::Exception&) {
    fail("must be true or false");
  }
}

Micros Node::duration() const {
  const auto d = at_.IsScalar() ? parse_duration(at_.Scalar()) : std::nullopt;
  if (!d) fail("must be a time with its unit: ms, s, m or h, like 30s");
  return *d;
}

}  // namespace wrenusher::fields
