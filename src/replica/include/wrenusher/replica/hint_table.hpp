#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "wrenusher/replica/hint_row.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::replica {

using time::Instant;
using time::Micros;

/// Which message of which leader brought a hint: a later one has the newer word.
struct HintVersion {
  std::uint64_t term = 0;
  std::uint64_t message = 0;  ///< counts the messages of the term's leader
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const HintVersion&) const = default;
};

/// The hints that are known, by row. Rows may come from a peer, so none is trusted to be well formed: what
/// cannot be read is left out. Single-threaded.
class HintTable {
 public:
  struct Entry {
    HintRow row;
    Instant received_at{};
    HintVersion version;
  };
  /// False when the row is older than what is known of the same thing, or its key has a wrong length.
  bool put(HintRow row, Instant now, std::uint64_t term, std::uint64_t message);
  [[nodiscard]] const std::map<std::string, Entry>& entries() const { return rows_; }
  /// How many machines there are hints of.
  [[nodiscard]] std::size_t machine_count() const;
  /// Drops what came with an earlier message.
  void drop_before(std::uint64_t term, std::uint64_t message);
  /// Drops tombstones that came until then.
  void drop_tombstones(Instant until);
  /// All hints, with the ages that things have by now.
  [[nodiscard]] events::InheritedHints inherited_hints(Instant now) const;

 private:
  std::map<std::string, Entry> rows_;  ///< by key
};

}  // namespace wrenusher::replica
