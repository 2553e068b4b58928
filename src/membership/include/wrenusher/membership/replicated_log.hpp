#pragma once
// Rows that this node has for its peers, numbered within this incarnation and kept until every peer has
// confirmed them; and how much of each peer's rows is here. A pure state machine: its fields travel in the
// heartbeats.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::membership {

using protocol::valid_job_id;
using time::Instant;
using time::Micros;
using value::Value;

/// Owned by Peer and CancellationLog. Single-threaded: called from the runtime's loop only.
class ReplicatedLog {
 public:
  /// The names of the heartbeat's fields.
  struct FieldNames {
    const char* rows;      ///< the rows
    const char* range;     ///< [incarnation, number of the first row here, number of the last row there is]
    const char* received;  ///< [incarnation of the receiver, number up to which its rows are here]
  };
  struct Options {
    FieldNames fields;
    const char* row_noun;  ///< what a row is, in the plural, for error texts
    std::function<bool(const std::string& row)> is_valid;
    std::size_t max_rows;        ///< kept for a peer that does not confirm; older ones it never gets
    Micros keep_younger_than{};  ///< rows younger than this are kept beyond `max_rows`
  };
  /// `incarnation`: of this process, never 0, a different one after each start.
  ReplicatedLog(std::uint64_t incarnation, const std::vector<std::string>& peers, Options options);

  /// Appends a row, which goes out with the next heartbeats.
  void add(std::string row, Instant now);
  /// The rows that every peer has confirmed since the last call. Rows that were dropped are not among them.
  [[nodiscard]] std::vector<std::string> take_confirmed();
  [[nodiscard]] bool has_peers() const { return !peers_.empty(); }
  [[nodiscard]] std::size_t size() const { return rows_.size(); }

  /// Adds the fields of a heartbeat to that peer: what it has not confirmed yet, and what this node has of
  /// its. At most one page of rows; the next heartbeat continues from what the peer has confirmed by then.
  void write(const std::string& peer, Value::Map& out) const;

  struct MergeResult {
    std::vector<std::string> rows;  ///< some of them known before
    bool numbered = false;          ///< false: nothing says that these are all
    bool continuous = true;         ///< false: the peer has restarted, or this node missed a part of its log
    bool complete = false;          ///< there is no row of that incarnation that is not here or was missed
    std::string error;              ///< not empty: the field that was refused, and why; nothing was merged
  };
  /// Reads the fields of a peer's heartbeat, which must be its newest so far.
  MergeResult merge(const std::string& peer, const Value& value);

 private:
  struct PeerPosition {
    std::uint64_t incarnation = 0;
    /// Every row of that incarnation up to this number is here, or was dropped before this node met it.
    std::uint64_t received_through = 0;
    std::uint64_t confirmed_through = 0;  ///< what the peer has of this node's rows
  };
  struct Row {
    std::string text;
    Instant added_at{};
  };
  /// The numbers of a heartbeat.
  struct HeartbeatNumbers {
    std::uint64_t incarnation = 0;            ///< of the sender
    std::uint64_t first = 0;                  ///< number of the first row in the heartbeat
    std::uint64_t last = 0;                   ///< number of the last row that the sender has
    std::uint64_t confirmed_incarnation = 0;  ///< of the receiver, as the sender knows it
    std::uint64_t confirmed_through = 0;      ///< what the sender has of the receiver's rows
  };

  [[nodiscard]] std::uint64_t last_number() const { return first_number_ + rows_.size() - 1; }
  /// Drops what every peer has, and what is beyond `max_rows` and old enough at the time of the newest row.
  void trim();
  /// Appends the rows of a heartbeat. Returns why they are refused; empty: they are not.
  std::string read_rows(const Value& value, std::vector<std::string>& out) const;
  /// Reads the numbers of a heartbeat with so many rows. Returns why they are refused; empty: they are not.
  std::string read_numbers(const Value& value, std::size_t row_count, const PeerPosition& position,
                           HeartbeatNumbers& out) const;

  std::uint64_t incarnation_;
  Options options_;
  std::deque<Row> rows_;
  std::uint64_t first_number_ = 1;  ///< number of rows_.front()
  std::vector<std::string> confirmed_;
  std::map<std::string, PeerPosition> peers_;
};

}  // namespace wrenusher::membership
