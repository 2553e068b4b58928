#pragma once
// The leader's task counts, which it tells its peers for display: whole where they fit into a heartbeat, and
// otherwise by pages.

#include <map>
#include <memory>
#include <string>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::membership {

/// How far each peer has been sent the newest counts. Owned by Peer. Single-threaded: called from the
/// runtime's loop only.
class ProgressPager {
 public:
  /// The newest counts. A peer that has not been sent all of the last ones goes on where it was, so that
  /// every job has its turn.
  void update(std::shared_ptr<const events::Progress> counts);

  /// Adds all counts to a heartbeat for the peer, or the next page of them in the order of the jobs' names,
  /// as far as there is room beside what the heartbeat has already.
  void write(const std::string& peer, value::Value::Map& out);

  /// Forgets the counts once every peer was sent all of them.
  void drop_if_sent();

 private:
  /// How far a peer has been sent the counts.
  struct Cursor {
    std::string after;      ///< up to this job
    bool finished = false;  ///< all of them
  };
  [[nodiscard]] std::size_t available_bytes(const value::Value::Map& out, std::size_t needed) const;
  void write_page(Cursor& cursor, std::size_t max_bytes, value::Value::Map& out);
  void sort_by_job();

  std::shared_ptr<const events::Progress> counts_;  ///< null: nothing to send
  bool sorted_ = false;                             ///< the rows are sorted by job
  std::map<std::string, Cursor> cursors_;           ///< by peer
};

/// The task counts of a heartbeat, all of them or a page; null when it has none. Malformed rows are left out.
[[nodiscard]] std::shared_ptr<const events::Progress> read_progress(const value::Value& value);

}  // namespace wrenusher::membership
