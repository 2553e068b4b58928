#pragma once
// Who of the peers has been told what: the leader's side of the hints. Each peer is told what changed since
// it last confirmed, a bounded piece with each heartbeat, and everything once when it has just started.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/replica/hints.hpp"

namespace wrenusher::replica {

class HintPublisher {
 public:
  /// A term of this node begins with what it knows. The peers in `even`, in their lives there, know as much,
  /// but for what was told to this node just now.
  void begin(std::uint64_t term, std::uint64_t life, const HintTable& known,
             const std::map<std::string, std::uint64_t>& even, Instant now);
  void end() { peers_.clear(); }

  /// Something is as the row says; told only if that is new.
  void put(HintRow row, Instant now);
  void erase(const std::string& key, Instant now);
  /// The names of all rows of a kind.
  std::vector<std::string> names(HintKind kind) const;

  /// What goes to the peer now; null when there is nothing.
  Value next(const std::string& peer, Instant now);
  /// The peer, in its life `life`, has got these messages of ours.
  void on_confirmed(const std::string& peer, std::uint64_t life, const std::vector<std::uint64_t>& got,
                    Instant now);
  /// The peer, in its life `life`, has confirmed all there is.
  bool up_to_date(const std::string& peer, std::uint64_t life) const;
  /// Rows that the peer has not confirmed.
  std::size_t unconfirmed(const std::string& peer) const;

  /// What this leader knows, as a successor would have it.
  const HintTable& table() const { return table_; }

 private:
  struct Sent {
    Instant sent_at{};
    std::vector<std::string> keys;
  };
  struct Subscriber {
    std::uint64_t incarnation = 0;
    Instant last_heard{};
    std::uint64_t since = 0;  ///< what it was told before this message is void; 0: nothing is
    bool silent = false;      ///< nothing was sent to it since then
    std::set<std::string> pending;
    std::map<std::uint64_t, Sent> in_flight;  ///< sent and not confirmed
  };
  void mark_pending(const std::string& key);
  void drop_stale(Instant now);

  std::uint64_t term_ = 0;
  std::uint64_t incarnation_ = 0;
  std::uint64_t messages_sent_ = 0;  ///< messages so far
  Instant next_cleanup_{};
  HintTable table_;
  std::map<std::string, Subscriber> peers_;
};

}  // namespace wrenusher::replica
