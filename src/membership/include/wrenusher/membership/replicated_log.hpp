#pragma once
// Log of rows (short texts) that this node replicates to its peers. Rows are numbered within this
// incarnation, that is, this run of the process. A row is kept until every peer has confirmed that it
// received the row, or until it is dropped (see `Options::max_rows`).
//
// The log also tracks which rows of each peer's log this node has received. It does no I/O: its fields
// travel in the heartbeats between controllers.

#include <cstddef>
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
  /// Names of the heartbeat fields.
  struct FieldNames {
    const char* rows;   ///< the rows
    const char* range;  ///< [incarnation, number of the first row in the heartbeat, number of the last row in
                        ///< the log]
    const char* received;  ///< [incarnation of the receiver, number up to which its rows have been received]
  };
  struct Options {
    FieldNames fields;
    const char* row_noun;  ///< plural noun for the rows, used in error texts
    std::function<bool(const std::string& row)> is_valid;
    std::size_t max_rows;    ///< rows kept for peers that do not confirm; older ones are dropped
    Micros min_retention{};  ///< rows younger than this are kept even beyond `max_rows`
  };
  /// `incarnation`: identifies this run of the process; never 0, and different after each start.
  ReplicatedLog(std::uint64_t incarnation, const std::vector<std::string>& peers, Options options);

  /// Appends a row, which is sent with the next heartbeats.
  void add(std::string row, Instant now);
  /// Returns the rows that every peer has confirmed since the last call. Rows that were dropped are not
  /// included.
  [[nodiscard]] std::vector<std::string> take_confirmed();
  [[nodiscard]] bool has_peers() const { return !peers_.empty(); }
  [[nodiscard]] std::size_t size() const { return rows_.size(); }

  /// Maximum number of rows in one heartbeat.
  static constexpr std::size_t kMaxRowsPerHeartbeat = 1000;
  /// Adds the fields of a heartbeat to `peer`: the rows that it has not confirmed yet, and the numbers of its
  /// rows received here. Writes at most one page of at most `max_rows` rows; the next heartbeat continues
  /// after the rows that the peer has confirmed by then. Returns whether the page contains the last row.
  bool write(const std::string& peer, Value::Map& out, std::size_t max_rows = kMaxRowsPerHeartbeat) const;

  struct MergeResult {
    std::vector<std::string> rows;  ///< may include rows that were received before
    bool numbered = false;          ///< false: the sender does not number its rows, so some may be missing
    bool continuous = true;         ///< false: the peer has restarted, or this node missed some of its rows
    bool complete = false;  ///< all rows of the sender's incarnation were received, except missed ones
    std::string error;  ///< the refused field and the reason, in which case nothing was merged; else empty
  };
  /// Merges the fields of a peer's heartbeat, which must be its newest so far.
  MergeResult merge(const std::string& peer, const Value& value);

 private:
  struct PeerPosition {
    std::uint64_t incarnation = 0;
    /// Every row of that incarnation up to this number was received, or was dropped before this node first
    /// received the log.
    std::uint64_t received_through = 0;
    std::uint64_t confirmed_through = 0;  ///< number up to which the peer has this node's rows
  };
  struct Row {
    std::string text;
    Instant added_at{};
  };
  /// Row numbers in a heartbeat.
  struct RowNumbers {
    std::uint64_t incarnation = 0;            ///< incarnation of the sender
    std::uint64_t first = 0;                  ///< number of the first row in the heartbeat
    std::uint64_t last = 0;                   ///< number of the last row that the sender has
    std::uint64_t confirmed_incarnation = 0;  ///< incarnation of the receiver that the confirmation refers to
    std::uint64_t confirmed_through = 0;      ///< number up to which the sender has the receiver's rows
  };

  [[nodiscard]] std::uint64_t last_number() const { return first_number_ + rows_.size() - 1; }
  /// Drops rows that every peer has confirmed, and rows beyond `max_rows` that were at least `min_retention`
  /// old when the newest row was added.
  void trim();
  /// Appends the rows of a heartbeat to `out`. Returns the refused field and the reason; empty: no error.
  std::string read_rows(const Value& value, std::vector<std::string>& out) const;
  /// Reads the numbers of a heartbeat with `row_count` rows. Returns the refused field and the reason; empty:
  /// no error.
  std::string read_numbers(const Value& value, std::size_t row_count, const PeerPosition& position,
                           RowNumbers& out) const;

  std::uint64_t incarnation_;
  Options options_;
  std::deque<Row> rows_;
  std::uint64_t first_number_ = 1;  ///< number of rows_.front()
  std::vector<std::string> confirmed_;
  std::map<std::string, PeerPosition> peers_;
};

}  // namespace wrenusher::membership
