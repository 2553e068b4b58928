#pragma once
// Hints as they travel: one row a machine, queue, job, rental or booking, and the picture that they make at
// the receiver.

#include <map>
#include <optional>
#include <string>

#include "wrenusher/events/failover.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/workers.hpp"

namespace wrenusher::replica {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;
using namespace events;

/// What a row is about. Those that serve urgent work first come first: they are told in this order.
enum class HintKind : char { queue = 'a', booking = 'b', rental = 'c', job = 'd', machine = 'm' };

/// The name of a row: its kind and what it is about.
std::string hint_key(HintKind kind, const std::string& name);

struct HintRow {
  std::string key;
  Value value;               ///< null: there is no such thing any more
  std::uint64_t digest = 0;  ///< of what is worth telling again when it changes
};
HintRow to_hint_row(const MachineHint& hint);
HintRow to_hint_row(const JobClassHint& hint);
HintRow to_hint_row(const JobHint& hint);
HintRow to_hint_row(const RentalHint& hint);
HintRow to_hint_row(const RentalRequestHint& hint);

/// What is known by rows. Rows come from a peer, so nothing in them is believed to be well formed: what
/// cannot be read is left out.
class HintTable {
 public:
  struct Entry {
    HintRow row;
    Instant received_at{};      ///< when it was told here
    std::uint64_t term = 0;     ///< by the leader of that term
    std::uint64_t message = 0;  ///< and with that message of it
  };
  /// False when the row is not newer than what is known.
  bool put(HintRow row, Instant now, std::uint64_t term, std::uint64_t beat);
  const std::map<std::string, Entry>& all() const { return rows_; }
  std::size_t machines() const;
  /// Drops what was told before this message.
  void drop_before(std::uint64_t term, std::uint64_t beat);
  /// Drops rows told until then that say that something is gone.
  void drop_tombstones(Instant until);
  /// As the actors take it over, with the ages that things have by now.
  InheritedHints inherited_hints(Instant now) const;

 private:
  std::map<std::string, Entry> rows_;
};

}  // namespace wrenusher::replica
