#pragma once
// Hints as they travel: one row for each machine, job class, job, rental or rental request.

#include <cstdint>
#include <optional>
#include <string>

#include "wrenusher/events/hints.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::replica {

/// What a row is about: the first letter of its key. Rows travel in the order of their keys, so those that
/// serve urgent work first come first.
enum class HintKind : char { job_class = 'a', rental_request = 'b', rental = 'c', job = 'd', machine = 'm' };

/// The key of a row: its kind and the name of what it is about.
[[nodiscard]] std::string hint_key(HintKind kind, const std::string& name);

/// One hint on its way or in a table.
struct HintRow {
  std::string key;
  value::Value value;        ///< null: there is no such thing any more (a tombstone)
  std::uint64_t digest = 0;  ///< of the part whose changes are worth publishing

  [[nodiscard]] bool is_tombstone() const { return value.is_null(); }
};

[[nodiscard]] HintRow to_hint_row(const events::MachineHint& hint);
[[nodiscard]] HintRow to_hint_row(const events::JobClassHint& hint);
[[nodiscard]] HintRow to_hint_row(const events::JobHint& hint);
[[nodiscard]] HintRow to_hint_row(const events::RentalHint& hint);
[[nodiscard]] HintRow to_hint_row(const events::RentalRequestHint& hint);

// The other way. `name`: the key without its kind; `value`: as it came from a peer. Empty when it is
// malformed.
[[nodiscard]] std::optional<events::MachineHint> read_machine_hint(const std::string& name,
                                                                   const value::Value& value);
[[nodiscard]] std::optional<events::JobClassHint> read_job_class_hint(const std::string& name,
                                                                      const value::Value& value);
[[nodiscard]] std::optional<events::JobHint> read_job_hint(const std::string& name,
                                                           const value::Value& value);
[[nodiscard]] std::optional<events::RentalHint> read_rental_hint(const std::string& name,
                                                                 const value::Value& value);
[[nodiscard]] std::optional<events::RentalRequestHint> read_rental_request_hint(const std::string& name,
                                                                                const value::Value& value);

}  // namespace wrenusher::replica
