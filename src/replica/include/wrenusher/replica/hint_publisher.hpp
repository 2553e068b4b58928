#pragma once
// The leader's side of the hints: which peer has been sent what. Each peer is sent what changed since it last
// confirmed, a bounded message with each heartbeat, and everything once when it has just started.

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
  /// A term of this node begins, with the hints that it has. `synchronized`: the incarnations of the peers
  /// that have the same hints, but for those that came to this node only just now.
  void begin(std::uint64_t term, std::uint64_t incarnation, const HintTable& hints,
             const std::map<std::string, std::uint64_t>& synchronized, Instant now);
  /// The term is over: nothing is sent any more.
  void end() { peers_.clear(); }

  /// Something is as the row says; published only if the row's digest is new.
  void put(HintRow row, Instant now);
  /// There is no such thing any more.
  void erase(const std::string& key, Instant now);
  /// The names of all rows of a kind, in order.
  [[nodiscard]] std::vector<std::string> names_of(HintKind kind) const;

  /// The message that goes to the peer now; null when there is none.
  [[nodiscard]] value::Value next_message(const std::string& peer, Instant now);
  /// The peer, in this incarnation, has received these messages.
  void on_confirmed(const std::string& peer, std::uint64_t incarnation,
                    const std::vector<std::uint64_t>& messages, Instant now);
  /// The peer, in this incarnation, has confirmed all there is.
  [[nodiscard]] bool up_to_date(const std::string& peer, std::uint64_t incarnation) const;
  /// Rows that the peer has not confirmed.
  [[nodiscard]] std::size_t unconfirmed_row_count(const std::string& peer) const;

  /// What this leader knows, as a successor would have it.
  [[nodiscard]] const HintTable& table() const { return table_; }

 private:
  /// A message that is under way.
  struct Message {
    Instant sent_at{};
    std::vector<std::string> keys;
  };
  struct Subscriber {
    std::uint64_t incarnation = 0;
    Instant last_seen{};
    std::uint64_t first_message = 0;  ///< what it was sent before this message is void; 0: nothing is
    bool awaits_first = false;        ///< nothing was sent to it since then
    std::set<std::string> pending;    ///< keys of rows to send
    std::map<std::uint64_t, Message> in_flight;  ///< sent and not confirmed, by number
  };
  void mark_pending(const std::string& key);
  /// Makes the rows of lost messages pending again.
  static void requeue_lost(Subscriber& subscriber, Instant now);
  /// Takes as many pending rows as fit into a message, and adds their keys to it.
  value::Value::List take_rows(Subscriber& subscriber, Message& message) const;
  void drop_stale(Instant now);

  std::uint64_t term_ = 0;
  std::uint64_t incarnation_ = 0;    ///< of this node
  std::uint64_t messages_sent_ = 0;  ///< over all terms and peers; also the number of the newest message
  Instant next_cleanup_{};
  HintTable table_;
  std::map<std::string, Subscriber> peers_;
};

}  // namespace wrenusher::replica
