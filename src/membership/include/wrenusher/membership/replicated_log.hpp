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

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

class ReplicatedLog {
 public:
  /// The fields of a heartbeat: the rows, [life, number of the first row, last number there is], and [life,
  /// up to which number the peer's rows are here].
  struct FieldNames {
    const char* rows;
    const char* range;
    const char* received;
  };
  struct Options {
    FieldNames fields;
    const char* row_noun;  ///< what a row is, for people
    std::function<bool(const std::string& row)> is_valid;
    std::size_t max_rows;        ///< for a peer that is away; older ones it never gets
    Micros keep_younger_than{};  ///< rows younger than this are kept beyond `most_kept`
  };
  /// `life`: of this process, never 0, another for each.
  ReplicatedLog(std::uint64_t life, const std::vector<std::string>& peers, Options options);

  void add(std::string row, Instant now);
  /// Those that every peer has confirmed since this was last asked. What was dropped is not among them.
  std::vector<std::string> take_confirmed();
  bool has_peers() const { return !peers_.empty(); }
  std::size_t size() const { return rows_.size(); }

  /// The fields of a heartbeat to that peer: what it has not confirmed yet, and what this node has of it. At
  /// most one page of rows; the next heartbeat goes on from what the peer has confirmed by then.
  void write(const std::string& peer, Value::Map& out) const;
  struct MergeResult {
    std::vector<std::string> rows;  ///< some of them known before
    bool numbered = false;          ///< false: nothing says that these are all
    bool continuous = true;         ///< false: another life, or one that this node missed a part of
    bool complete = false;          ///< there is no row of that life that is not here or was missed
    std::string error;              ///< not empty: the field that was refused, and why; nothing was taken
  };
  /// A peer's heartbeat, its newest so far.
  MergeResult merge(const std::string& peer, const Value& value);

 private:
  struct PeerPosition {
    std::uint64_t incarnation = 0;
    std::uint64_t received_through =
        0;  ///< every row up to this number of that life, or of before it was met
    std::uint64_t confirmed_through = 0;  ///< what the peer has of this node's rows
  };
  struct Row {
    std::string text;
    Instant added_at{};
  };
  std::uint64_t last_number() const { return first_number_ + rows_.size() - 1; }
  /// Drops what every peer has, and what is beyond the rows to keep at the time of the newest row.
  void trim_confirmed();

  std::uint64_t incarnation_;
  Options options_;
  std::deque<Row> rows_;
  std::uint64_t first_number_ = 1;  ///< number of rows_.front()
  std::vector<std::string> confirmed_;
  std::map<std::string, PeerPosition> peers_;
};

}  // namespace wrenusher::membership
