#pragma once
// A table of the newest hint for each machine, job class, job, rental and rental request, kept by the leader
// and by each standby.

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "wrenusher/replica/hint_row.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::replica {

using time::Instant;
using time::Micros;

/// Identifies the message that contained a hint. A hint from a later message replaces one from an earlier
/// message.
struct HintVersion {
  std::uint64_t term = 0;
  std::uint64_t message = 0;  ///< the number that the term's leader gave the message
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const HintVersion&) const = default;
};

/// The newest rows of all hints. Rows may come from a peer and may be malformed: those that cannot be decoded
/// are skipped. Single-threaded.
class HintTable {
 public:
  struct Entry {
    HintRow row;
    Instant received_at{};
    HintVersion version;
  };
  /// Stores a row. Returns false if the table has a newer row with the same key, or if the length of the key
  /// is out of range.
  bool put(HintRow row, Instant now, std::uint64_t term, std::uint64_t message);
  [[nodiscard]] const std::map<std::string, Entry>& entries() const { return entries_; }
  /// Returns the number of machines that have a hint.
  [[nodiscard]] std::size_t machine_count() const;
  /// Drops all rows from earlier messages.
  void drop_before(std::uint64_t term, std::uint64_t message);
  /// Drops the tombstones received at or before `until`.
  void drop_tombstones(Instant until);
  /// Decodes all hints and adjusts their ages and remaining times to `now`.
  [[nodiscard]] events::InheritedHints inherited_hints(Instant now) const;

 private:
  std::map<std::string, Entry> entries_;  ///< by key
};

}  // namespace wrenusher::replica
