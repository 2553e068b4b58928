#pragma once
// Read consistency of the answers that users get from all nodes together.

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

/// Decides when a node may give an answer, so that users never see a job go back, whichever nodes they ask:
/// once any node has told that a job is accepted, none says that it is unknown; once any has told that it is
/// done or cancelled, none says that it is live. What counts is when an answer is given, not when it was
/// asked for. docs/design.md, "The order of answers", has the proof.
///
/// Every stage is meant as "at least": what is finished has been accepted. A pure state machine that sends
/// nothing itself; owns what is known of each job's latest changes. Single-threaded.
class ReadConsistency {
 public:
  /// The answer that a job is unknown is given this long at most after the key-value store was asked.
  static constexpr Micros kMaxAbsentAge = time::from_millis(150);
  /// The answer that a job is live is given this long at most after the key-value store was asked, or while
  /// every peer has been in touch for so long that it would have announced anything newer: heartbeats come
  /// twice a second.
  static constexpr Micros kMaxLiveAge = time::from_millis(550);
  /// A reply of the key-value store that takes longer counts as none, see KvClient.
  static constexpr Micros kMaxReplyAge = kv_client::KvClient::kMaxReplyAge;
  /// What the clocks of two nodes may differ by over each of these times.
  static constexpr Micros kClockMargin = time::from_millis(50);

  /// `single_node`: there are no peers.
  explicit ReadConsistency(bool single_node) : single_node_(single_node) {}

  /// This node has learned that the job has got so far. Only the first time counts.
  void observe(const std::string& job_id, JobStage stage, Instant now);
  /// A peer is about to tell a user so: what the key-value store was asked before now may be outdated.
  void on_peer_announcement(const std::string& job_id, JobStage stage, Instant now);
  /// This node is about to tell a user so, and says it to its peers now.
  void announce(const std::string& job_id, JobStage stage, Instant now);
  /// Every peer has received that announcement.
  void on_confirmed(const std::string& job_id, JobStage stage);

  /// Every announcement that any peer made before `through` has been received here.
  void on_peers_in_touch(Instant through) { in_touch_through_ = std::max(in_touch_through_, through); }

  /// From when on this node may tell that the job has got so far, if it announces that now at the latest: no
  /// other node gives an older answer after that. `now` where that is so already.
  [[nodiscard]] Instant may_answer_from(const std::string& job_id, JobStage stage, Instant now) const;
  /// Whether an answer of this stage, by what the key-value store was asked at `asked_at` or later, may be
  /// given now. Otherwise the store has to be asked again.
  [[nodiscard]] bool may_answer(const std::string& job_id, JobStage stage, Instant asked_at,
                                Instant now) const;

  /// Jobs that are tracked.
  [[nodiscard]] std::size_t size() const { return jobs_.size(); }

 private:
  /// Stages above `absent`; the arrays below have one entry for each.
  static constexpr std::size_t kStages = 2;
  static constexpr std::size_t kAccepted = 0;
  static constexpr std::size_t kFinished = 1;
  static std::size_t index_of(JobStage stage) { return stage == JobStage::finished ? kFinished : kAccepted; }
  struct Job {
    std::array<Instant, kStages> known_since{Instant::max(), Instant::max()};  ///< here; max: not known
    std::array<Instant, kStages> announced_at{Instant::max(), Instant::max()};
    std::array<bool, kStages> confirmed{};
    /// Answers of a lower stage are outdated unless the key-value store was asked after this.
    std::array<Instant, kStages> newer_since{Instant::min(), Instant::min()};
    Instant touched_at{};
  };
  struct AgeEntry {
    Instant touched_at;
    std::string job_id;
  };
  Job& touch(const std::string& job_id, Instant now);
  void forget_old(Instant now);

  bool single_node_;
  Instant in_touch_through_ = Instant::min();
  std::unordered_map<std::string, Job> jobs_;
  std::deque<AgeEntry> by_age_;  ///< each tracked job once, roughly by when it was last touched
};

}  // namespace wrenusher::job_api
