#include "wrenusher/standby/hints.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace wrenusher::standby {

namespace {

/// Where a receiver stops believing what it is told.
/// Items in a list and counts of machines: above every machine of the largest deployment (11,000). What
/// bounds the size of a row is its sender: a job's row holds three machines at most (reports), a booking
/// fifty (PROTOCOL).
constexpr std::size_t kMostItems = 24000;
constexpr double kMostSeconds = 7 * 86400;
constexpr double kMostGb = 1e6;

std::uint64_t digest_of(const Value& v) {
  const std::string bytes = encode(v);
  return XXH3_64bits(bytes.data(), bytes.size());
}

/// Reads a row's fields in order; one that is not as it should be spoils the row.
class Fields {
 public:
  Fields(const Value& v, std::size_t n) : list_(v.list()) { good_ = list_ != nullptr && list_->size() == n; }
  bool good() const { return good_; }
  const Value& next() {
    static const Value kNone;
    return good_ ? (*list_)[at_++] : kNone;
  }
  std::string text() {
    const std::string* t = next().text();
    if (t == nullptr || t->size() > 200) return spoil<std::string>();
    return *t;
  }
  std::uint64_t count(std::uint64_t most = UINT64_MAX) {
    const auto n = next().count();
    return n && *n <= most ? *n : spoil<std::uint64_t>();
  }
  double number(double least, double most) {
    const auto x = next().number();
    return x && *x >= least && *x <= most ? *x : spoil<double>();
  }
  Micros seconds() { return from_seconds(number(-kMostSeconds, kMostSeconds)); }
  bool flag() {
    const auto b = next().boolean();
    return b ? *b : spoil<bool>();
  }
  template <typename F>
  void each(std::size_t fields, const F& f) {
    const Value::List* l = next().list();
    if (l == nullptr || l->size() > kMostItems) {
      good_ = false;
      return;
    }
    for (const Value& v : *l) {
      Fields item(v, fields);
      f(item);
      good_ = good_ && item.good();
    }
  }

 private:
  template <typename T>
  T spoil() {
    good_ = false;
    return {};
  }
  const Value::List* list_;
  std::size_t at_ = 0;
  bool good_ = false;
};

std::optional<MachineHint> read_machine(const std::string& host, const Value& v) {
  Fields f(v, 12);
  MachineHint m;
  m.host = host;
  m.addr = f.text();
  m.flavor = f.text();
  m.site = f.text();
  m.standby = f.flag();
  m.quiet = f.flag();
  m.room = f.flag();
  m.tenure = f.count();
  m.speed_seen = static_cast<int>(f.count(kMostItems));
  m.slowness = f.number(-3, 3);
  f.each(2, [&](Fields& i) { m.images.push_back({i.text(), i.number(0, kMostGb)}); });
  f.each(3, [&](Fields& i) {
    std::string bundle = i.text();
    const double size = i.number(0, kMostGb);
    m.fetches.push_back({std::move(bundle), size, i.number(0, kMostGb)});
  });
  f.each(2, [&](Fields& i) {
    std::string ref = i.text();
    m.failures.push_back({std::move(ref), i.seconds()});
  });
  return f.good() ? std::optional(std::move(m)) : std::nullopt;
}

std::optional<QueueHint> read_queue(const std::string& name, const Value& v) {
  Fields f(v, 1);
  QueueHint q;
  q.queue = name;
  f.each(3, [&](Fields& i) {
    std::string ref = i.text();
    const double sum = i.number(-1e7, 1e7);
    const auto tasks = static_cast<int>(i.count(kMaxUnits));
    if (tasks == 0) return;
    q.jobs.push_back({std::move(ref), sum, tasks});
  });
  return f.good() ? std::optional(std::move(q)) : std::nullopt;
}

std::optional<JobHint> read_job(const std::string& ref, const Value& v) {
  Fields f(v, 3);
  JobHint j;
  j.ref = ref;
  f.each(1, [&](Fields& i) { j.hosts.push_back(i.text()); });
  j.pause = f.seconds();
  j.backoffs = static_cast<int>(f.count(kMostItems));
  return f.good() ? std::optional(std::move(j)) : std::nullopt;
}

std::optional<RentalHint> read_rental(const std::string& host, const Value& v) {
  Fields f(v, 5);
  RentalHint r;
  r.host = host;
  r.flavor = f.text();
  r.site = f.text();
  r.standby = f.flag();
  r.held = f.seconds();
  r.awaited = f.seconds();
  return f.good() ? std::optional(std::move(r)) : std::nullopt;
}

std::optional<BookingHint> read_booking(const std::string& name, const Value& v) {
  Fields f(v, 4);
  BookingHint b;
  b.name = name;
  b.flavor = f.text();
  b.site = f.text();
  b.standby = f.flag();
  b.count = static_cast<std::uint32_t>(f.count(kMostItems));
  return f.good() && b.count > 0 ? std::optional(std::move(b)) : std::nullopt;
}

}  // namespace

std::string key_of(Kind kind, const std::string& name) {
  return std::string(1, static_cast<char>(kind)) + name;
}

Row to_row(const MachineHint& m) {
  Value::List images;
  Value::List names;
  for (const auto& i : m.images) {
    images.emplace_back(Value::List{i.bundle, i.gb});
    names.emplace_back(i.bundle);
  }
  Value::List fetches;
  for (const auto& f : m.fetches) {
    fetches.emplace_back(Value::List{f.bundle, f.size_gb, f.left_gb});
    names.emplace_back(f.bundle);
  }
  Value::List failures;
  for (const auto& f : m.failures) {
    failures.emplace_back(Value::List{f.ref, to_seconds(f.ago)});
    names.emplace_back(f.ref);
  }
  // What moves all the time (how far a fetch is, which image was used last, whether there is room) goes along
  // with the rest and is no reason to tell anything.
  const std::uint64_t digest = digest_of(Value::List{
      m.addr, m.flavor, m.site, m.standby, m.quiet, m.tenure, std::int64_t{std::lround(m.slowness * 20)},
      std::uint64_t{m.images.size()}, std::uint64_t{m.fetches.size()}, std::move(names)});
  return {
      key_of(Kind::machine, m.host),
      Value::List{m.addr, m.flavor, m.site, m.standby, m.quiet, m.room, m.tenure, std::uint64_t(m.speed_seen),
                  m.slowness, std::move(images), std::move(fetches), std::move(failures)},
      digest};
}

Row to_row(const QueueHint& q) {
  Value::List jobs;
  for (const auto& s : q.jobs) jobs.emplace_back(Value::List{s.ref, s.sum, s.tasks});
  Value v = Value::List{std::move(jobs)};
  const std::uint64_t digest = digest_of(v);
  return {key_of(Kind::queue, q.queue), std::move(v), digest};
}

Row to_row(const JobHint& j) {
  Value::List hosts;
  for (const auto& h : j.hosts) hosts.emplace_back(Value::List{h});
  const std::uint64_t digest = digest_of(Value::List{hosts, j.backoffs});
  return {key_of(Kind::job, j.ref), Value::List{std::move(hosts), to_seconds(j.pause), j.backoffs}, digest};
}

Row to_row(const RentalHint& r) {
  const std::uint64_t digest = digest_of(Value::List{r.flavor, r.site, r.standby});
  return {key_of(Kind::rental, r.host),
          Value::List{r.flavor, r.site, r.standby, to_seconds(r.held), to_seconds(r.awaited)}, digest};
}

Row to_row(const BookingHint& b) {
  Value v = Value::List{b.flavor, b.site, b.standby, std::uint64_t{b.count}};
  const std::uint64_t digest = digest_of(v);
  return {key_of(Kind::booking, b.name), std::move(v), digest};
}

bool Picture::put(Row row, Instant now, std::uint64_t term, std::uint64_t beat) {
  if (row.key.size() < 2 || row.key.size() > 200) return false;
  // Messages overtake each other: what an older one says of the same thing is not news.
  const auto [it, added] = rows_.try_emplace(row.key);
  Known& k = it->second;
  if (!added && std::pair(term, beat) < std::pair(k.term, k.beat)) return false;
  k = {std::move(row), now, term, beat};
  return true;
}

std::size_t Picture::machines() const {
  return static_cast<std::size_t>(std::count_if(rows_.begin(), rows_.end(), [](const auto& r) {
    return r.first[0] == static_cast<char>(Kind::machine) && !r.second.row.value.is_null();
  }));
}

void Picture::forget_before(std::uint64_t term, std::uint64_t beat) {
  std::erase_if(
      rows_, [&](const auto& r) { return std::pair(r.second.term, r.second.beat) < std::pair(term, beat); });
}

void Picture::forget_gone(Instant until) {
  std::erase_if(rows_,
                [until](const auto& r) { return r.second.row.value.is_null() && r.second.at <= until; });
}

Inheritance Picture::inheritance(Instant now) const {
  Inheritance out;
  for (const auto& [key, known] : rows_) {
    const Value& v = known.row.value;
    if (v.is_null()) continue;
    const std::string name = key.substr(1);
    const Micros age = now - known.at;
    switch (static_cast<Kind>(key[0])) {
      case Kind::machine:
        if (auto m = read_machine(name, v)) {
          m->told_ago = age;
          for (auto& f : m->failures) f.ago += age;
          out.machines.emplace(name, std::move(*m));
        }
        break;
      case Kind::queue:
        if (auto q = read_queue(name, v)) out.queues.push_back(std::move(*q));
        break;
      case Kind::job:
        if (auto j = read_job(name, v)) {
          j->pause -= age;
          out.jobs.push_back(std::move(*j));
        }
        break;
      case Kind::rental:
        if (auto r = read_rental(name, v)) {
          r->held += age;
          r->awaited -= age;
          out.rentals.rentals.push_back(std::move(*r));
        }
        break;
      case Kind::booking:
        if (auto b = read_booking(name, v)) out.rentals.bookings.push_back(std::move(*b));
        break;
    }
  }
  return out;
}

}  // namespace wrenusher::standby
