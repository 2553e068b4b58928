#include "wrenusher/replica/hints.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace wrenusher::replica {

namespace {

/// Where a receiver stops believing what it is told.
/// Items in a list and counts of machines: above every machine of the largest deployment (11,000). What
/// bounds the size of a row is its sender: a job's row holds three machines at most (reports), a booking
/// fifty (PROTOCOL).
constexpr std::size_t kMaxItems = 24000;
constexpr double kMaxSeconds = 7 * 86400;
constexpr double kMaxGb = 1e6;

std::uint64_t digest_of(const Value& value) {
  const std::string bytes = encode(value);
  return XXH3_64bits(bytes.data(), bytes.size());
}

/// Reads a row's fields in order; one that is not as it should be spoils the row.
class RowReader {
 public:
  RowReader(const Value& value, std::size_t n) : list_(value.list()) {
    good_ = list_ != nullptr && list_->size() == n;
  }
  bool good() const { return good_; }
  const Value& next() {
    static const Value kNone;
    return good_ ? (*list_)[at_++] : kNone;
  }
  std::string text() {
    const std::string* t = next().text();
    if (t == nullptr || t->size() > 200) return fail<std::string>();
    return *t;
  }
  std::uint64_t count(std::uint64_t most = UINT64_MAX) {
    const auto n = next().count();
    return n && *n <= most ? *n : fail<std::uint64_t>();
  }
  double number(double least, double most) {
    const auto x = next().number();
    return x && *x >= least && *x <= most ? *x : fail<double>();
  }
  Micros seconds() { return from_seconds(number(-kMaxSeconds, kMaxSeconds)); }
  bool flag() {
    const auto b = next().boolean();
    return b ? *b : fail<bool>();
  }
  template <typename F>
  void each(std::size_t fields, const F& f) {
    const Value::List* list = next().list();
    if (list == nullptr || list->size() > kMaxItems) {
      good_ = false;
      return;
    }
    for (const Value& value : *list) {
      RowReader item(value, fields);
      f(item);
      good_ = good_ && item.good();
    }
  }

 private:
  template <typename T>
  T fail() {
    good_ = false;
    return {};
  }
  const Value::List* list_;
  std::size_t at_ = 0;
  bool good_ = false;
};

std::optional<MachineHint> read_machine(const std::string& host, const Value& value) {
  RowReader reader(value, 12);
  MachineHint hint;
  hint.host = host;
  hint.address = reader.text();
  hint.machine_type = reader.text();
  hint.zone = reader.text();
  hint.spot = reader.flag();
  hint.silent = reader.flag();
  hint.has_room = reader.flag();
  hint.incarnation = reader.count();
  hint.speed_samples = static_cast<int>(reader.count(kMaxItems));
  hint.slowness = reader.number(-3, 3);
  reader.each(2, [&](RowReader& i) { hint.images.push_back({i.text(), i.number(0, kMaxGb)}); });
  reader.each(3, [&](RowReader& i) {
    std::string image = i.text();
    const double size = i.number(0, kMaxGb);
    hint.fetches.push_back({std::move(image), size, i.number(0, kMaxGb)});
  });
  reader.each(2, [&](RowReader& i) {
    std::string job_id = i.text();
    hint.failures.push_back({std::move(job_id), i.seconds()});
  });
  return reader.good() ? std::optional(std::move(hint)) : std::nullopt;
}

std::optional<JobClassHint> read_queue(const std::string& name, const Value& value) {
  RowReader reader(value, 1);
  JobClassHint hint;
  hint.job_class = name;
  reader.each(3, [&](RowReader& i) {
    std::string job_id = i.text();
    const double sum = i.number(-1e7, 1e7);
    const auto tasks = static_cast<int>(i.count(kMaxTasksPerJob));
    if (tasks == 0) return;
    hint.jobs.push_back({std::move(job_id), sum, tasks});
  });
  return reader.good() ? std::optional(std::move(hint)) : std::nullopt;
}

std::optional<JobHint> read_job(const std::string& job_id, const Value& value) {
  RowReader reader(value, 3);
  JobHint hint;
  hint.job_id = job_id;
  reader.each(1, [&](RowReader& i) { hint.hosts.push_back(i.text()); });
  hint.retry_pause = reader.seconds();
  hint.retry_count = static_cast<int>(reader.count(kMaxItems));
  return reader.good() ? std::optional(std::move(hint)) : std::nullopt;
}

std::optional<RentalHint> read_rental(const std::string& host, const Value& value) {
  RowReader reader(value, 5);
  RentalHint hint;
  hint.host = host;
  hint.machine_type = reader.text();
  hint.zone = reader.text();
  hint.spot = reader.flag();
  hint.age = reader.seconds();
  hint.report_due = reader.seconds();
  return reader.good() ? std::optional(std::move(hint)) : std::nullopt;
}

std::optional<RentalRequestHint> read_booking(const std::string& name, const Value& value) {
  RowReader reader(value, 4);
  RentalRequestHint hint;
  hint.name = name;
  hint.machine_type = reader.text();
  hint.zone = reader.text();
  hint.spot = reader.flag();
  hint.count = static_cast<std::uint32_t>(reader.count(kMaxItems));
  return reader.good() && hint.count > 0 ? std::optional(std::move(hint)) : std::nullopt;
}

}  // namespace

std::string hint_key(HintKind kind, const std::string& name) {
  return std::string(1, static_cast<char>(kind)) + name;
}

HintRow to_hint_row(const MachineHint& hint) {
  Value::List images;
  Value::List names;
  for (const auto& i : hint.images) {
    images.emplace_back(Value::List{i.image, i.gb});
    names.emplace_back(i.image);
  }
  Value::List fetches;
  for (const auto& fetch : hint.fetches) {
    fetches.emplace_back(Value::List{fetch.image, fetch.size_gb, fetch.remaining_gb});
    names.emplace_back(fetch.image);
  }
  Value::List failures;
  for (const auto& failure : hint.failures) {
    failures.emplace_back(Value::List{failure.job_id, to_seconds(failure.ago)});
    names.emplace_back(failure.job_id);
  }
  // What moves all the time (how far a fetch is, which image was used last, whether there is room) goes along
  // with the rest and is no reason to tell anything.
  const std::uint64_t digest = digest_of(
      Value::List{hint.address, hint.machine_type, hint.zone, hint.spot, hint.silent, hint.incarnation,
                  std::int64_t{std::lround(hint.slowness * 20)}, std::uint64_t{hint.images.size()},
                  std::uint64_t{hint.fetches.size()}, std::move(names)});
  return {hint_key(HintKind::machine, hint.host),
          Value::List{hint.address, hint.machine_type, hint.zone, hint.spot, hint.silent, hint.has_room,
                      hint.incarnation, std::uint64_t(hint.speed_samples), hint.slowness, std::move(images),
                      std::move(fetches), std::move(failures)},
          digest};
}

HintRow to_hint_row(const JobClassHint& hint) {
  Value::List jobs;
  for (const auto& sample : hint.jobs)
    jobs.emplace_back(Value::List{sample.job_id, sample.sum, sample.tasks});
  Value value = Value::List{std::move(jobs)};
  const std::uint64_t digest = digest_of(value);
  return {hint_key(HintKind::queue, hint.job_class), std::move(value), digest};
}

HintRow to_hint_row(const JobHint& hint) {
  Value::List hosts;
  for (const auto& h : hint.hosts) hosts.emplace_back(Value::List{h});
  const std::uint64_t digest = digest_of(Value::List{hosts, hint.retry_count});
  return {hint_key(HintKind::job, hint.job_id),
          Value::List{std::move(hosts), to_seconds(hint.retry_pause), hint.retry_count}, digest};
}

HintRow to_hint_row(const RentalHint& hint) {
  const std::uint64_t digest = digest_of(Value::List{hint.machine_type, hint.zone, hint.spot});
  return {
      hint_key(HintKind::rental, hint.host),
      Value::List{hint.machine_type, hint.zone, hint.spot, to_seconds(hint.age), to_seconds(hint.report_due)},
      digest};
}

HintRow to_hint_row(const RentalRequestHint& hint) {
  Value value = Value::List{hint.machine_type, hint.zone, hint.spot, std::uint64_t{hint.count}};
  const std::uint64_t digest = digest_of(value);
  return {hint_key(HintKind::booking, hint.name), std::move(value), digest};
}

bool HintTable::put(HintRow row, Instant now, std::uint64_t term, std::uint64_t beat) {
  if (row.key.size() < 2 || row.key.size() > 200) return false;
  // Messages overtake each other: what an older one says of the same thing is not news.
  const auto [it, added] = rows_.try_emplace(row.key);
  Entry& entry = it->second;
  if (!added && std::pair(term, beat) < std::pair(entry.term, entry.message)) return false;
  entry = {std::move(row), now, term, beat};
  return true;
}

std::size_t HintTable::machines() const {
  return static_cast<std::size_t>(std::count_if(rows_.begin(), rows_.end(), [](const auto& r) {
    return r.first[0] == static_cast<char>(HintKind::machine) && !r.second.row.value.is_null();
  }));
}

void HintTable::drop_before(std::uint64_t term, std::uint64_t beat) {
  std::erase_if(rows_, [&](const auto& r) {
    return std::pair(r.second.term, r.second.message) < std::pair(term, beat);
  });
}

void HintTable::drop_tombstones(Instant until) {
  std::erase_if(rows_, [until](const auto& r) {
    return r.second.row.value.is_null() && r.second.received_at <= until;
  });
}

InheritedHints HintTable::inherited_hints(Instant now) const {
  InheritedHints out;
  for (const auto& [key, known] : rows_) {
    const Value& value = known.row.value;
    if (value.is_null()) continue;
    const std::string name = key.substr(1);
    const Micros age = now - known.received_at;
    switch (static_cast<HintKind>(key[0])) {
      case HintKind::machine:
        if (auto hint = read_machine(name, value)) {
          hint->age = age;
          for (auto& failure : hint->failures) failure.ago += age;
          out.machines.emplace(name, std::move(*hint));
        }
        break;
      case HintKind::queue:
        if (auto hint = read_queue(name, value)) out.job_classes.push_back(std::move(*hint));
        break;
      case HintKind::job:
        if (auto hint = read_job(name, value)) {
          hint->retry_pause -= age;
          out.jobs.push_back(std::move(*hint));
        }
        break;
      case HintKind::rental:
        if (auto hint = read_rental(name, value)) {
          hint->age += age;
          hint->report_due -= age;
          out.rentals.rentals.push_back(std::move(*hint));
        }
        break;
      case HintKind::booking:
        if (auto hint = read_booking(name, value)) out.rentals.requests.push_back(std::move(*hint));
        break;
    }
  }
  return out;
}

}  // namespace wrenusher::replica
