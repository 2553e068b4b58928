#pragma once
// Events about jobs: cancellations, announcements to users, changes of the records, progress.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/records/records.hpp"
#include "wrenusher/time/time.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::events {

/// A user is told that this job is cancelled, here or elsewhere, or the state service says that it is. Sent
/// before the answer to the user.
struct JobCancelled {
  std::string job_id;
};

/// How far a job has got, as users are told of it. Answers about it never go back.
enum class JobStage {
  absent,    ///< not known
  accepted,  ///< pending or running
  finished   ///< done or withdrawn
};

/// This node is about to tell a user that the job has got so far, and waits for its peers to know; or a peer
/// is; or, the other way, every peer knows.
struct StageAnnouncement {
  std::string job_id;
  JobStage stage = JobStage::accepted;
};

/// What a follow of the live records has shown of jobs.
struct RecordsChanged {
  std::vector<std::string> live;
  std::vector<std::string> ended;
  void put(const std::string& key, const value::Value& record) {
    if (auto cancelled = records::cancelled_job(key, record)) {
      ended.push_back(std::move(*cancelled));
    } else if (auto job_id = records::parse_job_key(key)) {
      live.push_back(std::move(*job_id));
    }
  }
  void erase(const std::string& key) {
    if (auto job_id = records::parse_job_key(key)) ended.push_back(std::move(*job_id));
  }
};

/// The state service was asked then, and has answered with every cancellation of a live job that it had.
struct CancellationsRead {
  time::Instant asked_at{};
  std::vector<std::string> job_ids;  ///< those that are new to the reader
};

/// Every cancellation that any user was told before `through` has been handed out as JobCancelled.
struct CancellationsKnown {
  time::Instant through = time::Instant::min();
  std::string slowest_peer;  ///< the peer that was not heard for longest
};

/// Task counts of the live jobs as the leader last told them, for display alone.
struct Progress {
  struct Row {
    std::string job_id;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// The jobs that a page is about: names beyond the first, up to the second; empty: to the end.
  struct Part {
    std::string after;
    std::string through;
    bool contains(const std::string& job_id) const {
      return job_id > after && (through.empty() || job_id <= through);
    }
  };
  std::vector<Row> rows;
  std::optional<Part> part;  ///< nothing: the rows are all there are
};

}  // namespace wrenusher::events
