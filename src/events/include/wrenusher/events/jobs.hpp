#pragma once
// Events about jobs: cancellations, announcements of job stages, changes of the records, and progress.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/records/records.hpp"
#include "wrenusher/time/time.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::events {

/// Maximum age of what a node knows about a job when it reports the job as live or starts one of its tasks. A
/// node that does not reach all of its peers confirms a cancellation only when it has been announced for
/// longer than this.
inline constexpr time::Micros kMaxLiveAge = time::from_millis(550);

/// The job is cancelled: a node is about to confirm the cancellation to a user, or the state service has
/// recorded it. Sent before the response to the user.
struct JobCancelled {
  std::string job_id;
};

/// The stage of a job in responses to users. Responses never show an earlier stage than a previous response
/// did, see job_api::ReadConsistency.
enum class JobStage {
  absent,    ///< no such job
  accepted,  ///< pending or running
  finished   ///< done or cancelled
};

/// A node is about to respond to a user with this stage of the job. Sent by the job API to the peers, and by
/// a peer to this node. Also sent back to the job API, as a confirmation, once every peer has received it.
struct StageAnnouncement {
  std::string job_id;
  JobStage stage = JobStage::accepted;
};

/// The jobs whose live records changed, from a watch.
struct RecordsChanged {
  std::vector<std::string> live;   ///< accepted and not cancelled
  std::vector<std::string> ended;  ///< cancelled, or without a live record

  /// Adds the job whose live record was written. Ignores keys of other kinds.
  void put(const std::string& key, const value::Value& record) {
    if (auto cancelled = records::cancelled_job(key, record)) {
      ended.push_back(std::move(*cancelled));
    } else if (auto job_id = records::parse_job_key(key)) {
      live.push_back(std::move(*job_id));
    }
  }
  /// Adds the job whose live record was deleted. Ignores keys of other kinds.
  void erase(const std::string& key) {
    if (auto job_id = records::parse_job_key(key)) ended.push_back(std::move(*job_id));
  }
};

/// This node has read every cancellation of a live job that the state service had when the request was sent.
struct CancellationsRead {
  time::Instant request_sent_at{};
  std::vector<std::string> job_ids;  ///< cancelled jobs that the reader had not seen before
};

/// Every cancellation that was confirmed to any user before `through` has been sent as JobCancelled. Sent by
/// membership::Peer.
struct CancellationsKnown {
  time::Instant through = time::Instant::min();
  std::string slowest_peer;  ///< the peer whose cancellations are known up to the earliest time; empty: none
};

/// The worker gateway holds start commands back until this node has a newer list of cancellations.
struct CancellationsNeeded {};

/// Task counts of the live jobs as last published by the leader. For display only.
struct Progress {
  /// The task counts of one job.
  struct Row {
    std::string job_id;
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// The range of job identifiers that a page covers.
  struct JobRange {
    std::string after;    ///< lower bound, exclusive
    std::string through;  ///< upper bound, inclusive; empty: no upper bound
    bool contains(const std::string& job_id) const {
      return job_id > after && (through.empty() || job_id <= through);
    }
  };
  std::vector<Row> rows;
  std::optional<JobRange> job_range;  ///< nullopt: the rows cover all live jobs
};

}  // namespace wrenusher::events
