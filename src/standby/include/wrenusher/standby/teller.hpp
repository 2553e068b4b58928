#pragma once
// Who of the peers has been told what: the leader's side of the hints. Each peer is told what changed since
// it last confirmed, a bounded piece with each heartbeat, and everything once when it has just started.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/standby/hints.hpp"

namespace wrenusher::standby {

class Teller {
 public:
  /// A term of this node begins with what it knows. The peers in `even`, in their lives there, know as much,
  /// but for what was told to this node just now.
  void begin(std::uint64_t term, std::uint64_t life, const Picture& known,
             const std::map<std::string, std::uint64_t>& even, Instant now);
  void end() { peers_.clear(); }

  /// Something is as the row says; told only if that is new.
  void put(Row row, Instant now);
  void erase(const std::string& key, Instant now);
  /// The names of all rows of a kind.
  std::vector<std::string> names(Kind kind) const;

  /// What goes to the peer now; null when there is nothing.
  Value next(const std::string& peer, Instant now);
  /// The peer, in its life `life`, has got these messages of ours.
  void heard(const std::string& peer, std::uint64_t life, const std::vector<std::uint64_t>& got, Instant now);
  /// The peer, in its life `life`, has confirmed all there is.
  bool even(const std::string& peer, std::uint64_t life) const;
  /// Rows that the peer has not confirmed.
  std::size_t open(const std::string& peer) const;

  /// What this leader knows, as a successor would have it.
  const Picture& known() const { return known_; }

 private:
  struct Sent {
    Instant at{};
    std::vector<std::string> keys;
  };
  struct Listener {
    std::uint64_t life = 0;
    Instant heard{};
    std::uint64_t since = 0;  ///< what it was told before this message is void; 0: nothing is
    bool silent = false;      ///< nothing was sent to it since then
    std::set<std::string> pending;
    std::map<std::uint64_t, Sent> flying;  ///< sent and not confirmed
  };
  void mark(const std::string& key);
  void tidy(Instant now);

  std::uint64_t term_ = 0;
  std::uint64_t life_ = 0;
  std::uint64_t made_ = 0;  ///< messages so far
  Instant next_tidy_{};
  Picture known_;
  std::map<std::string, Listener> peers_;
};

}  // namespace wrenusher::standby
