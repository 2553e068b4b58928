#include "wrenusher/job_api/read_consistency.hpp"

#include <utility>

namespace wrenusher::job_api {

namespace {

/// Above this number of tracked jobs, those that were last updated more than `kMinTrackingTime` ago are
/// evicted.
constexpr std::size_t kMaxTrackedJobs = 8000;
/// Any pending answer is younger than this, so no evicted job is needed to detect an outdated answer.
constexpr Micros kMinTrackingTime = time::from_seconds(10);

}  // namespace

ReadConsistency::Job& ReadConsistency::track(const std::string& job_id, Instant now) {
  const auto [it, added] = jobs_.try_emplace(job_id);
  it->second.last_updated_at = now;
  if (added) by_age_.push_back({now, job_id});
  evict_old_jobs(now);
  return jobs_.at(job_id);  // not evicted: it has just been updated
}

void ReadConsistency::evict_old_jobs(Instant now) {
  while (by_age_.size() > kMaxTrackedJobs && now - by_age_.front().last_updated_at > kMinTrackingTime) {
    AgeEntry oldest = std::move(by_age_.front());
    by_age_.pop_front();
    const Instant last_updated_at = jobs_.at(oldest.job_id).last_updated_at;
    if (now - last_updated_at > kMinTrackingTime) {
      jobs_.erase(oldest.job_id);
    } else {
      by_age_.push_back({last_updated_at, std::move(oldest.job_id)});
    }
  }
}

void ReadConsistency::observe(const std::string& job_id, JobStage stage, Instant now) {
  if (stage == JobStage::absent) return;
  Job& job = track(job_id, now);
  for (std::size_t i = 0; i <= index_of(stage); ++i) {
    if (job.observed_at[i] != Instant::max()) continue;
    job.observed_at[i] = now;
    job.reads_outdated_through[i] = std::max(job.reads_outdated_through[i], now);
  }
}

void ReadConsistency::on_peer_announcement(const std::string& job_id, JobStage stage, Instant now) {
  if (stage == JobStage::absent) return;
  Job& job = track(job_id, now);
  for (std::size_t i = 0; i <= index_of(stage); ++i) job.reads_outdated_through[i] = now;
}

void ReadConsistency::announce(const std::string& job_id, JobStage stage, Instant now) {
  if (stage == JobStage::absent) return;
  Instant& first = track(job_id, now).announced_at[index_of(stage)];
  first = std::min(first, now);
}

void ReadConsistency::on_announcement_confirmed(const std::string& job_id, JobStage stage) {
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end() || stage == JobStage::absent) return;
  for (std::size_t i = 0; i <= index_of(stage); ++i) it->second.confirmed[i] = true;
}

Instant ReadConsistency::earliest_answer_at(const std::string& job_id, JobStage stage, Instant now) const {
  if (single_node_ || stage == JobStage::absent) return now;
  Instant observed_at = now;
  Instant announced_at = now;
  if (const auto it = jobs_.find(job_id); it != jobs_.end()) {
    const std::size_t i = index_of(stage);
    if (it->second.confirmed[i]) return now;
    observed_at = std::min(now, it->second.observed_at[i]);
    announced_at = std::min(now, it->second.announced_at[i]);
  }
  // At this time, any read that a node sent before the job reached this stage is too old to be used, or the
  // nodes that could still use such a read have received the announcement.
  const Instant outdated_at = stage == JobStage::finished
                                  ? std::min(observed_at + kMaxReplyAge, announced_at + kMaxLiveAge)
                                  : observed_at + kMaxAbsentAge;
  return std::max(now, outdated_at + kClockMargin);
}

Instant ReadConsistency::earliest_cancellation_at(const std::string& job_id, Instant now) const {
  if (single_node_) return now;
  Instant announced_at = now;
  if (const auto it = jobs_.find(job_id); it != jobs_.end()) {
    if (it->second.confirmed[kFinishedIndex]) return now;
    announced_at = std::min(now, it->second.announced_at[kFinishedIndex]);
  }
  // When this node observed the cancellation does not matter: a leader that reaches all its peers need not
  // have read the state service since.
  return std::max(now, announced_at + kMaxLiveAge + kClockMargin);
}

bool ReadConsistency::may_answer(const std::string& job_id, JobStage stage, Instant request_sent_at,
                                 Instant now) const {
  if (stage == JobStage::finished) return true;
  const Micros age = now - request_sent_at;
  if (stage == JobStage::absent && age > kMaxAbsentAge) return false;
  if (age > kMaxReplyAge) return false;
  if (!single_node_ && age > kMaxLiveAge && announcements_received_through_ < now - kMaxLiveAge) return false;
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end()) return true;
  const Job& job = it->second;
  // Not `>=`: a read with the same timestamp may have been sent before the change was observed.
  return request_sent_at > job.reads_outdated_through[kFinishedIndex] &&
         (stage != JobStage::absent || request_sent_at > job.reads_outdated_through[kAcceptedIndex]);
}

}  // namespace wrenusher::job_api
