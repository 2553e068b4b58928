#include "wrenusher/replica/hint_row.hpp"

#include <xxhash.h>

#include <cmath>
#include <iterator>
#include <utility>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/replica/row_reader.hpp"

namespace wrenusher::replica {

using events::JobClassHint;
using events::JobHint;
using events::MachineHint;
using events::RentalHint;
using events::RentalRequestHint;
using protocol::kMaxTasksPerJob;
using time::Micros;
using time::to_seconds;
using value::Value;

namespace {

// Limits above which a receiver rejects a row.
/// Limit on items in a list and on counts of machines: above the number of machines of the largest deployment
/// (11,000). The size of a row is limited by its sender: a machine's row by the limits below, a job's row has
/// at most three machines (reconciler), a rental request at most fifty (PROTOCOL).
constexpr std::size_t kMaxItems = 24000;
constexpr double kMaxSeconds = 7 * 86400;
constexpr double kMaxGb = 1e6;
/// Limits on the logarithm of (actual / expected run time): for one machine, and for the sum over the tasks
/// of a job.
constexpr double kMaxSlowness = 3;
constexpr double kMaxSampleSum = 1e7;

/// A machine's slowness is published again when its value, rounded to 1/20, changes.
constexpr double kSlownessSteps = 20;

// Limits on the lists in a machine's row, in bytes of JSON. Each task on a machine may wait for an image of
// its own and fail, and a cache may hold thousands of small images; the row must fit into one message, with
// which a heartbeat stays within 64 KiB. What is left out is learned again from reports.
constexpr std::size_t kMaxImageBytes = std::size_t{12} * 1024;
constexpr std::size_t kMaxFetchBytes = std::size_t{6} * 1024;
constexpr std::size_t kMaxFailureBytes = std::size_t{4} * 1024;

/// Returns the last of the rows, in their order, that have at most `max_bytes` together.
Value::List last_rows_within(Value::List rows, std::size_t max_bytes) {
  std::size_t bytes = 0;
  auto first = rows.end();
  while (first != rows.begin()) {
    bytes += std::prev(first)->json_size() + 1;
    if (bytes > max_bytes) break;
    --first;
  }
  rows.erase(rows.begin(), first);
  return rows;
}

std::uint64_t digest_of(const Value& value) {
  const std::string bytes = encode(value);
  return XXH3_64bits(bytes.data(), bytes.size());
}

Micros read_duration(RowReader& reader) {
  return time::from_seconds(reader.number(-kMaxSeconds, kMaxSeconds));
}

/// Returns the hint if the row is valid, or nothing.
template <typename Hint>
std::optional<Hint> if_valid(const RowReader& reader, Hint hint) {
  return reader.valid() ? std::optional(std::move(hint)) : std::nullopt;
}

}  // namespace

std::string hint_key(HintKind kind, const std::string& name) {
  return std::string(1, static_cast<char>(kind)) + name;
}

HintRow to_hint_row(const MachineHint& hint) {
  Value::List images;
  for (const auto& image : hint.images) images.emplace_back(Value::List{image.image, image.gb});
  Value::List fetches;
  for (const auto& fetch : hint.fetches)
    fetches.emplace_back(Value::List{fetch.image, fetch.size_gb, fetch.remaining_gb});
  Value::List failures;
  for (const auto& failure : hint.failures)
    failures.emplace_back(Value::List{failure.job_id, to_seconds(failure.ago)});
  images = last_rows_within(std::move(images), kMaxImageBytes);
  fetches = last_rows_within(std::move(fetches), kMaxFetchBytes);
  failures = last_rows_within(std::move(failures), kMaxFailureBytes);
  Value::List digest_names;
  for (const Value::List* rows : {&images, &fetches, &failures}) {
    for (const Value& row : *rows) digest_names.push_back(row.list()->front());
  }
  // Fields that change constantly (the progress of a fetch, the order of image use, free capacity) are sent
  // with the row, but are not part of the digest, so their changes do not cause it to be published.
  const std::uint64_t digest = digest_of(Value::List{
      hint.address, hint.machine_type, hint.zone, hint.spot, hint.silent, hint.incarnation,
      std::int64_t{std::lround(hint.slowness * kSlownessSteps)}, std::uint64_t{hint.images.size()},
      std::uint64_t{hint.fetches.size()}, std::move(digest_names)});
  return {hint_key(HintKind::machine, hint.host),
          Value::List{hint.address, hint.machine_type, hint.zone, hint.spot, hint.silent, hint.has_room,
                      hint.incarnation, std::uint64_t(hint.speed_samples), hint.slowness, std::move(images),
                      std::move(fetches), std::move(failures)},
          digest};
}

HintRow to_hint_row(const JobClassHint& hint) {
  Value::List samples;
  samples.reserve(hint.jobs.size());
  for (const auto& sample : hint.jobs)
    samples.emplace_back(Value::List{sample.job_id, sample.log_ratio_sum, sample.tasks});
  Value value = Value::List{std::move(samples)};
  const std::uint64_t digest = digest_of(value);
  return {hint_key(HintKind::job_class, hint.job_class), std::move(value), digest};
}

HintRow to_hint_row(const JobHint& hint) {
  Value::List hosts;
  hosts.reserve(hint.hosts.size());
  for (const auto& host : hint.hosts) hosts.emplace_back(Value::List{host});
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
  return {hint_key(HintKind::rental_request, hint.name), std::move(value), digest};
}

std::optional<MachineHint> read_machine_hint(const std::string& name, const Value& value) {
  RowReader reader(value, 12);
  MachineHint hint;
  hint.host = name;
  hint.address = reader.text();
  hint.machine_type = reader.text();
  hint.zone = reader.text();
  hint.spot = reader.flag();
  hint.silent = reader.flag();
  hint.has_room = reader.flag();
  hint.incarnation = reader.count();
  hint.speed_samples = static_cast<int>(reader.count(kMaxItems));
  hint.slowness = reader.number(-kMaxSlowness, kMaxSlowness);
  reader.for_each(2, kMaxItems, [&](RowReader& item) {
    std::string image = item.text();
    hint.images.push_back({std::move(image), item.number(0, kMaxGb)});
  });
  reader.for_each(3, kMaxItems, [&](RowReader& item) {
    std::string image = item.text();
    const double size_gb = item.number(0, kMaxGb);
    hint.fetches.push_back({std::move(image), size_gb, item.number(0, kMaxGb)});
  });
  reader.for_each(2, kMaxItems, [&](RowReader& item) {
    std::string job_id = item.text();
    hint.failures.push_back({std::move(job_id), read_duration(item)});
  });
  return if_valid(reader, std::move(hint));
}

std::optional<JobClassHint> read_job_class_hint(const std::string& name, const Value& value) {
  RowReader reader(value, 1);
  JobClassHint hint;
  hint.job_class = name;
  reader.for_each(3, kMaxItems, [&](RowReader& item) {
    std::string job_id = item.text();
    const double sum = item.number(-kMaxSampleSum, kMaxSampleSum);
    const auto tasks = static_cast<int>(item.count(kMaxTasksPerJob));
    if (tasks == 0) return;
    hint.jobs.push_back({std::move(job_id), sum, tasks});
  });
  return if_valid(reader, std::move(hint));
}

std::optional<JobHint> read_job_hint(const std::string& name, const Value& value) {
  RowReader reader(value, 3);
  JobHint hint;
  hint.job_id = name;
  reader.for_each(1, kMaxItems, [&](RowReader& item) { hint.hosts.push_back(item.text()); });
  hint.retry_pause = read_duration(reader);
  hint.retry_count = static_cast<int>(reader.count(kMaxItems));
  return if_valid(reader, std::move(hint));
}

std::optional<RentalHint> read_rental_hint(const std::string& name, const Value& value) {
  RowReader reader(value, 5);
  RentalHint hint;
  hint.host = name;
  hint.machine_type = reader.text();
  hint.zone = reader.text();
  hint.spot = reader.flag();
  hint.age = read_duration(reader);
  hint.report_due = read_duration(reader);
  return if_valid(reader, std::move(hint));
}

std::optional<RentalRequestHint> read_rental_request_hint(const std::string& name, const Value& value) {
  RowReader reader(value, 4);
  RentalRequestHint hint;
  hint.name = name;
  hint.machine_type = reader.text();
  hint.zone = reader.text();
  hint.spot = reader.flag();
  hint.count = static_cast<std::uint32_t>(reader.count(kMaxItems));
  if (hint.count == 0) return std::nullopt;
  return if_valid(reader, std::move(hint));
}

}  // namespace wrenusher::replica
