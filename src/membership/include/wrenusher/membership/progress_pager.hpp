#pragma once
// Sends the leader's task counts to its peers for display: all in one heartbeat where they fit, and in pages
// otherwise.

#include <map>
#include <memory>
#include <string>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::membership {

/// Tracks how much of the newest counts each peer has been sent. Owned by Peer. Single-threaded: called from
/// the runtime's loop only.
class ProgressPager {
 public:
  /// Replaces the counts. A peer that has not been sent all of the previous counts is sent the new ones from
  /// the job after the last one that it was sent, so that no job is starved.
  void update(std::shared_ptr<const events::Progress> counts);

  /// Adds all counts to a heartbeat for the peer, or the next page of them in the order of the job names, as
  /// far as they fit beside the fields already in `out`.
  void write(const std::string& peer, value::Value::Map& out);

  /// Drops the counts if every peer has been sent all of them.
  void drop_if_all_sent();

 private:
  /// Position of a peer in the counts.
  struct Cursor {
    std::string after;      ///< the last job that was sent
    bool finished = false;  ///< all counts have been sent
  };
  [[nodiscard]] std::size_t available_bytes(const value::Value::Map& out, std::size_t needed) const;
  void write_page(Cursor& cursor, std::size_t max_bytes, value::Value::Map& out);
  void sort_by_job();

  std::shared_ptr<const events::Progress> counts_;  ///< null: nothing to send
  bool sorted_ = false;                             ///< whether the rows are sorted by job
  std::map<std::string, Cursor> cursors_;           ///< by peer
};

/// Returns the task counts of a heartbeat, all of them or one page; null if it has none. Malformed rows are
/// skipped.
[[nodiscard]] std::shared_ptr<const events::Progress> read_progress(const value::Value& value);

}  // namespace wrenusher::membership
