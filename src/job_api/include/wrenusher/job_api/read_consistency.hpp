#pragma once
// Provides read consistency for users across all nodes.

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::job_api {

using events::JobStage;
using time::Instant;
using time::Micros;

/// Decides when a node may send an answer, so that users never see a job return to an earlier stage,
/// whichever nodes they send requests to.
///
/// After any node has reported a job as accepted, no node reports it as unknown. After any node has reported
/// it as done or cancelled, no node reports it as live. The order is by the time at which an answer is sent,
/// not by the time of its request. docs/design.md, "The order of answers", has the proof.
///
/// A stage always means "at least this stage": a finished job has also been accepted. The class is a pure
/// state machine that does no I/O. It owns the tracked stage changes of each job. Single-threaded.
class ReadConsistency {
 public:
  /// Maximum time between the request to the key-value store and the answer that a job is unknown.
  static constexpr Micros kMaxAbsentAge = time::from_millis(150);
  /// Maximum time between the request to the key-value store and the answer that a job is live. An older read
  /// may still be used if all announcements that peers made up to this long ago have been received;
  /// heartbeats, which carry them, are sent twice per second.
  static constexpr Micros kMaxLiveAge = events::kMaxLiveAge;
  /// Replies of the key-value store that take longer are discarded, see KvClient.
  static constexpr Micros kMaxReplyAge = kv_client::KvClient::kMaxReplyAge;
  /// Maximum drift between the clocks of two nodes over each of these periods.
  static constexpr Micros kClockMargin = time::from_millis(50);

  /// `single_node`: whether the cluster has no peers.
  explicit ReadConsistency(bool single_node) : single_node_(single_node) {}

  /// Records that the job has reached this stage. Only the first call for a stage counts.
  void observe(const std::string& job_id, JobStage stage, Instant now);
  /// Records that a peer is about to report this stage to a user. Reads that this node sent to the key-value
  /// store before `now` may be outdated.
  void on_peer_announcement(const std::string& job_id, JobStage stage, Instant now);
  /// Records that this node is about to report this stage to a user and is announcing it to its peers now.
  void announce(const std::string& job_id, JobStage stage, Instant now);
  /// Records that every peer has received the announcement of this stage.
  void on_announcement_confirmed(const std::string& job_id, JobStage stage);

  /// Records that this node has received every announcement that any peer made before `through`.
  void on_announcements_received(Instant through) {
    announcements_received_through_ = std::max(announcements_received_through_, through);
  }

  /// Returns the earliest time at which this node may report this stage, provided that it announces the stage
  /// now or has announced it before. From that time on, no other node reports an earlier stage. Returns `now`
  /// if the stage may be reported at once.
  [[nodiscard]] Instant earliest_answer_at(const std::string& job_id, JobStage stage, Instant now) const;
  /// Returns the earliest time at which this node may report that a job which may still have tasks is
  /// cancelled, provided that it announces this now or has announced it before. From that time on, no leader
  /// starts a task of the job.
  [[nodiscard]] Instant earliest_cancellation_at(const std::string& job_id, Instant now) const;
  /// Returns whether this stage may be reported now, based on a request that was sent to the key-value store
  /// at `request_sent_at`. If not, the key-value store has to be read again.
  [[nodiscard]] bool may_answer(const std::string& job_id, JobStage stage, Instant request_sent_at,
                                Instant now) const;

  /// Returns the number of tracked jobs.
  [[nodiscard]] std::size_t size() const { return jobs_.size(); }

 private:
  /// Number of stages above `absent`. The arrays in `Job` have one entry for each of them.
  static constexpr std::size_t kStageCount = 2;
  static constexpr std::size_t kAcceptedIndex = 0;
  static constexpr std::size_t kFinishedIndex = 1;
  static std::size_t index_of(JobStage stage) {
    return stage == JobStage::finished ? kFinishedIndex : kAcceptedIndex;
  }
  struct Job {
    /// When this node first observed the stage; `Instant::max()`: not yet.
    std::array<Instant, kStageCount> observed_at{Instant::max(), Instant::max()};
    std::array<Instant, kStageCount> announced_at{Instant::max(), Instant::max()};
    std::array<bool, kStageCount> confirmed{};
    /// Reads that were sent at or before this time are outdated for answers of a lower stage.
    std::array<Instant, kStageCount> reads_outdated_through{Instant::min(), Instant::min()};
    Instant last_updated_at{};
  };
  struct AgeEntry {
    Instant last_updated_at;
    std::string job_id;
  };
  Job& track(const std::string& job_id, Instant now);
  void evict_old_jobs(Instant now);

  bool single_node_;
  Instant announcements_received_through_ = Instant::min();
  std::unordered_map<std::string, Job> jobs_;
  std::deque<AgeEntry> by_age_;  ///< each tracked job once, roughly ordered by its last update
};

}  // namespace wrenusher::job_api
