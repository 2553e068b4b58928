#pragma once
// Rows that this node has for its peers, numbered by this life and kept until every peer has confirmed them;
// and how much of each peer's rows is here. A pure state machine: its fields ride in the heartbeats.

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::membership {

using namespace base;
using namespace protocol;

class NumberedLog {
 public:
  /// The fields of a heartbeat: the rows, [life, number of the first row, last number there is], and [life,
  /// up to which number the peer's rows are here].
  struct Fields {
    const char* rows;
    const char* log;
    const char* got;
  };
  struct Options {
    Fields fields;
    const char* what;  ///< what a row is, for people
    std::function<bool(const std::string& row)> valid;
    std::size_t most_kept;  ///< for a peer that is away; older ones it never gets
    Micros fresh{};         ///< rows younger than this are kept beyond `most_kept`
  };
  /// `life`: of this process, never 0, another for each.
  NumberedLog(std::uint64_t life, const std::vector<std::string>& peers, Options options);

  void add(std::string row, Instant now);
  /// Those that every peer has confirmed since this was last asked. What was dropped is not among them.
  std::vector<std::string> take_confirmed();
  bool has_peers() const { return !peers_.empty(); }
  std::size_t kept() const { return rows_.size(); }

  /// The fields of a heartbeat to that peer: what it has not confirmed yet, and what this node has of it. At
  /// most one page of rows; the next heartbeat goes on from what the peer has confirmed by then.
  void write(const std::string& peer, Value::Map& out) const;
  struct Taken {
    std::vector<std::string> rows;  ///< some of them known before
    bool numbered = false;          ///< false: nothing says that these are all
    bool joins = true;              ///< false: another life, or one that this node missed a part of
    bool whole = false;             ///< there is no row of that life that is not here or was missed
    std::string fault;              ///< not empty: the field that was refused, and why; nothing was taken
  };
  /// A peer's heartbeat, its newest so far.
  Taken take(const std::string& peer, const Value& v);

 private:
  struct PeerLog {
    std::uint64_t life = 0;
    std::uint64_t got = 0;  ///< every row up to this number of that life, or of before it was met
    std::uint64_t has = 0;  ///< what the peer has of this node's rows
  };
  struct Row {
    std::string text;
    Instant added{};
  };
  std::uint64_t last() const { return first_ + rows_.size() - 1; }
  /// Drops what every peer has, and what is beyond the rows to keep at the time of the newest row.
  void trim();

  std::uint64_t life_;
  Options options_;
  std::deque<Row> rows_;
  std::uint64_t first_ = 1;  ///< number of rows_.front()
  std::vector<std::string> confirmed_;
  std::map<std::string, PeerLog> peers_;
};

}  // namespace wrenusher::membership
