#pragma once
// The order that answers to users keep over all nodes: once any node has told that a job is accepted, none
// says that it is not known; once any has told that it is done or cancelled, none says that it is live. By
// when each answer is given, not by when it was asked for. docs/design.md, "The order of answers", has the
// proof. A pure state machine: it owns what is known of each job's last changes, and asks nobody itself.

#include <array>
#include <deque>
#include <string>
#include <unordered_map>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::job_api {

using namespace time;
using namespace value;
using namespace runtime;
using events::JobStage;

class ReadConsistency {
 public:
  /// An answer that says that a job is not known is given this long at most after the state service was
  /// asked.
  static constexpr Micros kMaxAbsentAge = from_millis(150);
  /// One that says that it is live is given this long after, or while every peer has been in touch for so
  /// long, in which it would have announced what is newer: heartbeats come twice a second.
  static constexpr Micros kMaxLiveAge = from_millis(550);
  /// Later than this the state service's answer is none, see Store.
  static constexpr Micros kMaxReplyAge = kv_client::KvClient::kMaxReplyAge;
  /// For clocks, beyond each.
  static constexpr Micros kClockMargin = from_millis(50);

  explicit ReadConsistency(bool alone) : single_node_(alone) {}

  /// This node has learned that the job has got so far; what was known before stays as it was.
  void observe(const std::string& job_id, JobStage level, Instant now);
  /// A peer is about to tell of it: what was asked for before now may be older.
  void on_peer_announcement(const std::string& job_id, JobStage level, Instant now);
  /// This node is about to tell of it, and says so to its peers now.
  void announce(const std::string& job_id, JobStage level, Instant now);
  /// Every peer has been told that this node is about to tell of it.
  void on_confirmed(const std::string& job_id, JobStage level);

  /// Every announcement that any peer made before `through` is known here.
  void on_peers_in_touch(Instant through) { in_touch_through_ = std::max(in_touch_through_, through); }

  /// From when on this node may tell that the job has got so far, if it announces that now at the latest: no
  /// other node gives an older answer after that. `now` where that is so already.
  Instant may_answer_from(const std::string& job_id, JobStage level, Instant now) const;
  /// Whether an answer of this level, by what the state service was asked at `sent` and later, may be given
  /// now. Otherwise the state service has to be asked again.
  bool may_answer(const std::string& job_id, JobStage level, Instant sent, Instant now) const;

  std::size_t size() const { return jobs_.size(); }

 private:
  static constexpr std::size_t kStages = 2;
  static std::size_t at(JobStage level) { return level == JobStage::finished ? 1 : 0; }
  struct Job {
    std::array<Instant, kStages> since{Instant::max(), Instant::max()};
    std::array<Instant, kStages> announced{Instant::max(), Instant::max()};
    std::array<bool, kStages> confirmed{};
    /// Answers of a lower level are older than this unless they were asked for since.
    std::array<Instant, kStages> newer_since{Instant::min(), Instant::min()};
    Instant touched{};
  };
  Job& entry(const std::string& job_id, Instant now);

  bool single_node_;
  Instant in_touch_through_ = Instant::min();
  std::unordered_map<std::string, Job> jobs_;
  std::deque<std::pair<Instant, std::string>> by_age_;
};

}  // namespace wrenusher::job_api
