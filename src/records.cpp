#include "wrenusher/records.hpp"

#include <algorithm>
#include <charconv>

namespace wrenusher::records {

namespace {

/// Longest JSON form of one task in a block: ["m-000000000",12345678,[99999,99999]], and its separators.
constexpr double kBytesPerTask = 40;

std::uint64_t range_total(const Value& v) {
  std::uint64_t n = 0;
  if (const Value::List* l = v.list()) {
    for (std::size_t i = 0; i + 1 < l->size(); i += 2) {
      const auto a = (*l)[i].count().value_or(1);
      const auto b = (*l)[i + 1].count().value_or(0);
      if (b >= a) n += b - a + 1;
    }
  }
  return n;
}

}  // namespace

bool is_block_of(const std::string& key, const std::string& ref) {
  return key.starts_with(job_key(ref) + "/");
}

bool parse_key(const std::string& key, std::string& ref, std::optional<std::uint32_t>& block) {
  if (!key.starts_with("job/")) return false;
  const auto slash = key.find('/', 4);
  ref = key.substr(4, slash == std::string::npos ? slash : slash - 4);
  block.reset();
  if (slash != std::string::npos) {
    std::uint32_t n = 0;
    const char* end = key.data() + key.size();
    const auto [at, err] = std::from_chars(key.data() + slash + 1, end, n);
    if (err != std::errc{} || at != end) return false;
    block = n;
  }
  return valid_ref(ref);
}

std::uint32_t block_size(double value_kb) {
  return static_cast<std::uint32_t>(std::clamp(value_kb * 1024 * 0.9 / kBytesPerTask, 1.0, 4096.0));
}

Value new_job(const JobSpec& spec, WallTime accepted, std::uint32_t size) {
  return Value::Map{{"spec", write_spec(spec)},
                    {"t", static_cast<std::uint64_t>(accepted.time_since_epoch().count() / 1000)},
                    {"b", std::uint64_t{size}}};
}

Value withdrawn(const Value& job) {
  Value::Map m = job.map() != nullptr ? *job.map() : Value::Map{};
  std::erase_if(m, [](const Value::Field& f) { return f.first == "wd"; });
  m.emplace_back("wd", true);
  return m;
}

Value new_end(const char* status, std::uint32_t units) {
  return Value::Map{{"s", status}, {"n", std::uint64_t{units}}};
}

Counts block_counts(const Value& block) {
  Counts c;
  c.done = range_total(block["d"]);
  if (const Value::List* claims = block["c"].list()) {
    for (const Value& row : *claims) {
      if (row.list() != nullptr && row.list()->size() == 3) c.claimed += range_total((*row.list())[2]);
    }
  }
  return c;
}

std::optional<JobRecord> read_job(const Value& v) {
  JobRecord r;
  const auto spec = read_spec(v["spec"]);
  const auto t = v["t"].count();
  const auto b = v["b"].count();
  if (!spec || !t || !b || *b < 1 || *b > kMaxUnits) return std::nullopt;
  r.spec = *spec;
  r.accepted = WallTime{millis(static_cast<std::int64_t>(*t))};
  r.block = static_cast<std::uint32_t>(*b);
  r.withdrawn = v["wd"].boolean().value_or(false);
  return r;
}

std::optional<BlockRecord> read_block(const Value& v, std::uint32_t units) {
  BlockRecord b;
  b.last_try = v["t"].count().value_or(0);
  if (!b.done.read(v["d"], units)) return std::nullopt;
  const Value::List* claims = v["c"].list();
  if (claims == nullptr) return std::nullopt;
  for (const Value& row : *claims) {
    const Value::List* f = row.list();
    ClaimRow c;
    if (f == nullptr || f->size() != 3 || (*f)[0].text() == nullptr || !(*f)[1].count() ||
        !c.tasks.read((*f)[2], units)) {
      return std::nullopt;
    }
    c.host = *(*f)[0].text();
    c.attempt = *(*f)[1].count();
    b.claims.push_back(std::move(c));
  }
  return b;
}

Value write_block(const BlockRecord& b, std::uint32_t first, std::uint32_t last) {
  Value::List claims;
  for (const ClaimRow& c : b.claims) {
    claims.emplace_back(Value::List{c.host, c.attempt, c.tasks.write(first, last)});
  }
  return Value::Map{{"t", b.last_try}, {"d", b.done.write(first, last)}, {"c", std::move(claims)}};
}

}  // namespace wrenusher::records
