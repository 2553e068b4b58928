#include "wrenusher/replica/hint_table.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::replica {

using events::InheritedHints;
using value::Value;

namespace {

constexpr std::size_t kMinKeyBytes = 2;
constexpr std::size_t kMaxKeyBytes = 200;

HintKind kind_of(const std::string& key) {
  return static_cast<HintKind>(key.front());
}

void add_machine(const std::string& name, const Value& value, Micros age, InheritedHints& out) {
  auto hint = read_machine_hint(name, value);
  if (!hint) return;
  hint->age = age;
  for (auto& failure : hint->failures) failure.ago += age;
  out.machines.emplace(name, std::move(*hint));
}

void add_job(const std::string& name, const Value& value, Micros age, InheritedHints& out) {
  auto hint = read_job_hint(name, value);
  if (!hint) return;
  hint->retry_pause -= age;
  out.jobs.push_back(std::move(*hint));
}

void add_rental(const std::string& name, const Value& value, Micros age, InheritedHints& out) {
  auto hint = read_rental_hint(name, value);
  if (!hint) return;
  hint->age += age;
  hint->report_due -= age;
  out.rentals.rentals.push_back(std::move(*hint));
}

void add_hint(const std::string& key, const Value& value, Micros age, InheritedHints& out) {
  const std::string name = key.substr(1);
  switch (kind_of(key)) {
    case HintKind::machine:
      add_machine(name, value, age, out);
      break;
    case HintKind::job_class:
      if (auto hint = read_job_class_hint(name, value)) out.job_classes.push_back(std::move(*hint));
      break;
    case HintKind::job:
      add_job(name, value, age, out);
      break;
    case HintKind::rental:
      add_rental(name, value, age, out);
      break;
    case HintKind::rental_request:
      if (auto hint = read_rental_request_hint(name, value)) out.rentals.requests.push_back(std::move(*hint));
      break;
  }
}

}  // namespace

bool HintTable::put(HintRow row, Instant now, std::uint64_t term, std::uint64_t message) {
  if (row.key.size() < kMinKeyBytes || row.key.size() > kMaxKeyBytes) return false;
  // Messages may arrive out of order: a row from an older message must not replace a newer row.
  const HintVersion version{term, message};
  const auto [it, added] = entries_.try_emplace(row.key);
  Entry& entry = it->second;
  if (!added && version < entry.version) return false;
  entry = {std::move(row), now, version};
  return true;
}

std::size_t HintTable::machine_count() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& item) {
    return kind_of(item.first) == HintKind::machine && !item.second.row.is_tombstone();
  }));
}

void HintTable::drop_before(std::uint64_t term, std::uint64_t message) {
  const HintVersion version{term, message};
  std::erase_if(entries_, [&](const auto& item) { return item.second.version < version; });
}

void HintTable::drop_tombstones(Instant until) {
  std::erase_if(entries_, [until](const auto& item) {
    return item.second.row.is_tombstone() && item.second.received_at <= until;
  });
}

InheritedHints HintTable::inherited_hints(Instant now) const {
  InheritedHints hints;
  for (const auto& [key, entry] : entries_) {
    if (!entry.row.is_tombstone()) add_hint(key, entry.row.value, now - entry.received_at, hints);
  }
  return hints;
}

}  // namespace wrenusher::replica
