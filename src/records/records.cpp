#include "wrenusher/records/records.hpp"

#include <algorithm>
#include <charconv>

namespace wrenusher::records {

namespace {

/// Longest JSON form of one task in a block: ["m-000000000",12345678,[99999,99999]], and its separators.
constexpr double kBytesPerTask = 40;

/// ["req-<60 digits>",n,version,last try,[],[]] and its separators: what a block takes before its first task.
constexpr double kBytesPerBlock = 140;

template <typename Number>
std::optional<Number> number_after(const std::string& key, std::size_t at) {
  Number n = 0;
  const char* end = key.data() + key.size();
  const auto [p, err] = std::from_chars(key.data() + at, end, n);
  if (err != std::errc{} || p != end) return std::nullopt;
  return n;
}

/// The job that the key names behind the prefix.
std::optional<std::string> ref_after(const std::string& prefix, const std::string& key) {
  if (!key.starts_with(prefix) || !valid_ref(key.substr(prefix.size()))) return std::nullopt;
  return key.substr(prefix.size());
}

}  // namespace

std::optional<std::string> parse_job_key(const std::string& key) {
  return ref_after(kJobPrefix, key);
}

std::optional<std::string> parse_end_key(const std::string& key) {
  return ref_after(kEndPrefix, key);
}

std::optional<std::string> cancelled_job(const std::string& key, const Value& v) {
  return v["wd"].boolean().value_or(false) ? parse_job_key(key) : std::nullopt;
}

std::optional<std::uint32_t> parse_slot_key(const std::string& key) {
  static const std::string prefix = "claims/";
  if (!key.starts_with(prefix)) return std::nullopt;
  return number_after<std::uint32_t>(key, prefix.size());
}

std::uint32_t block_size(double value_kb) {
  return static_cast<std::uint32_t>(
      std::clamp((value_kb * 1024 * 0.95 - kBytesPerBlock) / kBytesPerTask, 1.0, 4096.0));
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

std::optional<BlockId> read_block_id(const Value& row) {
  const Value::List* f = row.list();
  if (f == nullptr || f->size() != 6 || (*f)[0].text() == nullptr) return std::nullopt;
  const auto n = (*f)[1].count();
  const auto version = (*f)[2].count();
  if (!n || *n > kMaxUnits || !version) return std::nullopt;
  return BlockId{*(*f)[0].text(), static_cast<std::uint32_t>(*n), *version};
}

bool BlockAt::within(std::uint32_t units) const {
  const auto below = [units](const RangeSet& r) {
    return r.empty() || std::prev(r.ranges().end())->second < units;
  };
  return below(state.done) && std::all_of(state.claims.begin(), state.claims.end(),
                                          [&](const ClaimRow& c) { return below(c.tasks); });
}

Value write_slot(std::uint32_t slot, Value::List rows) {
  Value::List all;
  all.reserve(rows.size() + 1);
  all.emplace_back(std::uint64_t{slot});
  std::move(rows.begin(), rows.end(), std::back_inserter(all));
  return all;
}

std::optional<std::vector<BlockAt>> read_slot(const Value& v, std::uint32_t slot, std::size_t& unreadable) {
  const Value::List* rows = v.list();
  if (rows == nullptr) return std::nullopt;
  auto row = rows->begin();
  if (row != rows->end() && row->list() == nullptr) {
    if (row->count() != std::uint64_t{slot}) return std::nullopt;
    ++row;
  }
  std::vector<BlockAt> out;
  out.reserve(rows->size());
  for (; row != rows->end(); ++row) {
    auto id = read_block_id(*row);
    auto state = id ? read_block(*row, kMaxUnits) : std::nullopt;
    if (state) {
      out.push_back({std::move(*id), std::move(*state)});
    } else {
      ++unreadable;
    }
  }
  return out;
}

std::optional<BlockRecord> read_block(const Value& row, std::uint32_t units) {
  const Value::List* fields = row.list();
  if (fields == nullptr || fields->size() != 6) return std::nullopt;
  BlockRecord b;
  b.last_try = (*fields)[3].count().value_or(0);
  if (!b.done.read((*fields)[4], units)) return std::nullopt;
  const Value::List* claims = (*fields)[5].list();
  if (claims == nullptr) return std::nullopt;
  for (const Value& claim : *claims) {
    const Value::List* f = claim.list();
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

Value write_block(const BlockId& id, std::uint64_t last_try, const RangeSet& done,
                  const std::vector<ClaimRow>& claims, std::uint32_t first, std::uint32_t last) {
  Value::List rows;
  rows.reserve(claims.size());
  for (const ClaimRow& c : claims) {
    rows.emplace_back(Value::List{c.host, c.attempt, c.tasks.write(first, last)});
  }
  return Value::List{id.ref,   std::uint64_t{id.block}, id.version,
                     last_try, done.write(first, last), std::move(rows)};
}

}  // namespace wrenusher::records
