#pragma once
// The wire format of hints, which are state that the leader sends to the standbys because no record contains
// it: one row for each machine, job class, job, rental or rental request.

#include <cstdint>
#include <optional>
#include <string>

#include "wrenusher/events/hints.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::replica {

/// The kind of object that a row describes, which is the first letter of the row's key. Rows are sent in the
/// order of their keys, so kinds that matter for urgent work are sent first.
enum class HintKind : char { job_class = 'a', rental_request = 'b', rental = 'c', job = 'd', machine = 'm' };

/// Returns the key of a row: its kind followed by the name of the object that it describes.
[[nodiscard]] std::string hint_key(HintKind kind, const std::string& name);

/// One encoded hint, in a message or in a table.
struct HintRow {
  std::string key;
  value::Value value;        ///< null: the object no longer exists (a tombstone)
  std::uint64_t digest = 0;  ///< digest of the fields whose changes cause the row to be published again

  [[nodiscard]] bool is_tombstone() const { return value.is_null(); }
};

[[nodiscard]] HintRow to_hint_row(const events::MachineHint& hint);
[[nodiscard]] HintRow to_hint_row(const events::JobClassHint& hint);
[[nodiscard]] HintRow to_hint_row(const events::JobHint& hint);
[[nodiscard]] HintRow to_hint_row(const events::RentalHint& hint);
[[nodiscard]] HintRow to_hint_row(const events::RentalRequestHint& hint);

// Decoders of rows. `name`: the key without its kind; `value`: the value received from a peer. They return
// nothing if the value is malformed.
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
