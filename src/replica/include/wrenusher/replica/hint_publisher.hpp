#pragma once
// Publishes the leader's hints (state that no record contains) to its peers. A row is one hint in its wire
// format; a tombstone is a row that marks a hint as deleted.
//
// Each heartbeat to a peer carries at most one message, of bounded size, with rows that the peer has not
// confirmed yet. The peer confirms the messages that it has received. A peer that has just started is sent
// all rows once.

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
  /// peers that have the same hints, with their incarnations. They are sent only the hints that this node
  /// received so recently that they may lack them.
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
  /// Handles the peer's confirmation of these messages. If the peer's incarnation is new, all rows are sent
  /// to it.
  void on_confirmed(const std::string& peer, std::uint64_t incarnation,
                    const std::vector<std::uint64_t>& messages, Instant now);
  /// Returns whether the peer, in this incarnation, has confirmed all rows.
  [[nodiscard]] bool up_to_date(const std::string& peer, std::uint64_t incarnation) const;
  /// Returns the number of rows that the peer has not confirmed.
  [[nodiscard]] std::size_t unconfirmed_row_count(const std::string& peer) const;

  /// Returns all rows of this leader, whether the peers have been sent them or not.
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
    std::set<std::string> pending;     ///< keys of rows to be sent to the peer
    std::map<std::uint64_t, Message> in_flight;  ///< sent and not confirmed, by number
  };
  void mark_pending(const std::string& key);
  /// Makes the rows of each message that was not confirmed in time pending again.
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
