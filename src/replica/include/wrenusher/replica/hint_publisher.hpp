#pragma once
// Publishes the leader's hints to its peers and tracks which rows each peer has confirmed. Each heartbeat
// carries one message of bounded size with rows that changed since the peer's last confirmation. A peer that
// has just started is sent all rows once.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/replica/hint_table.hpp"

namespace wrenusher::replica {

/// Owned by StandbyReplica. Single-threaded: called from the runtime's loop only.
class HintPublisher {
 public:
  /// Starts publishing in a new term of this node, from the hints that this node has. `synchronized`: the
  /// incarnations of the peers that have the same hints; hints that this node received only recently are sent
  /// to them again.
  void begin(std::uint64_t term, std::uint64_t incarnation, const HintTable& hints,
             const std::map<std::string, std::uint64_t>& synchronized, Instant now);
  /// Stops publishing at the end of the term.
  void end() { peers_.clear(); }

  /// Adds or replaces a row and publishes it if its digest has changed.
  void put(HintRow row, Instant now);
  /// Replaces the row by a tombstone and publishes it.
  void erase(const std::string& key, Instant now);
  /// Returns the names of all rows of a kind, in ascending order.
  [[nodiscard]] std::vector<std::string> names_of(HintKind kind) const;

  /// Returns the next message for the peer, or null if there is none to send.
  [[nodiscard]] value::Value next_message(const std::string& peer, Instant now);
  /// Marks the messages as received by the peer in this incarnation.
  void on_confirmed(const std::string& peer, std::uint64_t incarnation,
                    const std::vector<std::uint64_t>& messages, Instant now);
  /// Returns whether the peer, in this incarnation, has confirmed all rows.
  [[nodiscard]] bool up_to_date(const std::string& peer, std::uint64_t incarnation) const;
  /// Returns the number of rows that the peer has not confirmed.
  [[nodiscard]] std::size_t unconfirmed_row_count(const std::string& peer) const;

  /// Returns all rows that this leader has published or has pending.
  [[nodiscard]] const HintTable& table() const { return table_; }

 private:
  /// A message that has been sent and not confirmed.
  struct Message {
    Instant sent_at{};
    std::vector<std::string> keys;
  };
  struct Subscriber {
    std::uint64_t incarnation = 0;
    Instant last_seen{};
    /// Messages sent before this one are invalid, since the peer has been sent all rows again; 0: all
    /// messages are valid.
    std::uint64_t first_valid_message = 0;
    bool needs_first_message = false;  ///< no message has been sent since `first_valid_message` was set
    std::set<std::string> pending;     ///< keys of rows to send
    std::map<std::uint64_t, Message> in_flight;  ///< sent and not confirmed, by number
  };
  void mark_pending(const std::string& key);
  /// Makes the rows of messages pending again that were not confirmed in time.
  static void requeue_lost(Subscriber& subscriber, Instant now);
  /// Removes as many pending rows as fit into a message, returns them and adds their keys to the message.
  value::Value::List take_rows(Subscriber& subscriber, Message& message) const;
  void drop_stale(Instant now);

  std::uint64_t term_ = 0;
  std::uint64_t incarnation_ = 0;    ///< of this node
  std::uint64_t messages_sent_ = 0;  ///< over all terms and peers; the number of the newest message
  Instant next_cleanup_{};
  HintTable table_;
  std::map<std::string, Subscriber> peers_;
};

}  // namespace wrenusher::replica
