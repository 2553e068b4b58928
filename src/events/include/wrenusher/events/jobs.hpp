#pragma once
// Events about jobs: cancellations, announcements of what users are told, changes of the records, progress.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/records/records.hpp"
#include "wrenusher/time/time.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::events {

/// A user is about to be told that this job is cancelled, by this node or another, or the key-value store
/// says that it is. Sent before the answer to the user.
struct JobCancelled {
  std::string job_id;
};

/// How far a job has got, as users are told. Answers to users never go back, see job_api::ReadConsistency.
enum class JobStage {
  absent,    ///< unknown
  accepted,  ///< pending or running
  finished   ///< done or cancelled
};

/// A node is about to tell a user that the job has got so far. Sent by the users' interface to the peers, by
/// a peer to this node, and back to the users' interface as a confirmation once every peer has received it.
struct StageAnnouncement {
  std::string job_id;
  JobStage stage = JobStage::accepted;
};

/// Which jobs a watch of the live records found changed.
struct RecordsChanged {
  std::vector<std::string> live;   ///< accepted, and not cancelled
  std::vector<std::string> ended;  ///< cancelled, or no longer live

  /// A live record was put. Keys of other kinds are ignored.
  void put(const std::string& key, const value::Value& record) {
    if (auto cancelled = records::cancelled_job(key, record)) {
      ended.push_back(std::move(*cancelled));
    } else if (auto job_id = records::parse_job_key(key)) {
      live.push_back(std::move(*job_id));
    }
  }
  /// A live record was deleted.
  void erase(const std::string& key) {
    if (auto job_id = records::parse_job_key(key)) ended.push_back(std::move(*job_id));
  }
};

/// The key-value store has answered with every cancellation of a live job that it had when it was asked.
struct CancellationsRead {
  time::Instant request_sent_at{};
  std::vector<std::string> job_ids;  ///< those that are new to the reader
};

/// Every cancellation that any user was told of before `through` has been sent as JobCancelled. From the
/// peers' actor.
struct CancellationsKnown {
  time::Instant through = time::Instant::min();
  std::string slowest_peer;  ///< the one that was not heard for longest; empty: none
};

/// Task counts of the live jobs as the leader last published them; for display alone.
struct Progress {
  /// The task counts of one job.
  struct Row {
    std::string job_id;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// The range of jobs that a page covers, by identifier.
  struct JobRange {
    std::string after;    ///< exclusive
    std::string through;  ///< inclusive; empty: to the end
    bool contains(const std::string& job_id) const {
      return job_id > after && (through.empty() || job_id <= through);
    }
  };
  std::vector<Row> rows;
  std::optional<JobRange> job_range;  ///< nothing: the rows cover all live jobs
};

}  // namespace wrenusher::events
