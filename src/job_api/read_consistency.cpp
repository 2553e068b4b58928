#include "wrenusher/job_api/read_consistency.hpp"

#include <utility>

namespace wrenusher::job_api {

namespace {

/// Above this many jobs those that were not touched for `kTrackTime` are forgotten.
constexpr std::size_t kMaxTrackedJobs = 8000;
/// No answer that is still on its way is as old as this, so nothing that is forgotten after it can be missed.
constexpr Micros kTrackTime = time::from_seconds(10);

}  // namespace

ReadConsistency::Job& ReadConsistency::touch(const std::string& job_id, Instant now) {
  const auto [it, added] = jobs_.try_emplace(job_id);
  it->second.touched_at = now;
  if (added) by_age_.push_back({now, job_id});
  forget_old(now);
  return jobs_.at(job_id);  // just touched, so it is not forgotten
}

void ReadConsistency::forget_old(Instant now) {
  while (by_age_.size() > kMaxTrackedJobs && now - by_age_.front().touched_at > kTrackTime) {
    AgeEntry oldest = std::move(by_age_.front());
    by_age_.pop_front();
    const Instant touched_at = jobs_.at(oldest.job_id).touched_at;
    if (now - touched_at > kTrackTime) {
      jobs_.erase(oldest.job_id);
    } else {
      by_age_.push_back({touched_at, std::move(oldest.job_id)});
    }
  }
}

void ReadConsistency::observe(const std::string& job_id, JobStage stage, Instant now) {
  if (stage == JobStage::absent) return;
  Job& job = touch(job_id, now);
  for (std::size_t i = 0; i <= index_of(stage); ++i) {
    if (job.known_since[i] != Instant::max()) continue;
    job.known_since[i] = now;
    job.newer_since[i] = std::max(job.newer_since[i], now);
  }
}

void ReadConsistency::on_peer_announcement(const std::string& job_id, JobStage stage, Instant now) {
  if (stage == JobStage::absent) return;
  Job& job = touch(job_id, now);
  for (std::size_t i = 0; i <= index_of(stage); ++i) job.newer_since[i] = now;
}

void ReadConsistency::announce(const std::string& job_id, JobStage stage, Instant now) {
  if (stage == JobStage::absent) return;
  Instant& first = touch(job_id, now).announced_at[index_of(stage)];
  first = std::min(first, now);
}

void ReadConsistency::on_confirmed(const std::string& job_id, JobStage stage) {
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end() || stage == JobStage::absent) return;
  for (std::size_t i = 0; i <= index_of(stage); ++i) it->second.confirmed[i] = true;
}

Instant ReadConsistency::may_answer_from(const std::string& job_id, JobStage stage, Instant now) const {
  if (single_node_ || stage == JobStage::absent) return now;
  Instant known_since = now;
  Instant announced_at = now;
  if (const auto it = jobs_.find(job_id); it != jobs_.end()) {
    const std::size_t i = index_of(stage);
    if (it->second.confirmed[i]) return now;
    known_since = std::min(now, it->second.known_since[i]);
    announced_at = std::min(now, it->second.announced_at[i]);
  }
  // By then what any node asked before the job got so far is too old to be answered; or the nodes that would
  // answer it have received the announcement.
  const Instant outdated_at = stage == JobStage::finished
                                  ? std::min(known_since + kMaxReplyAge, announced_at + kMaxLiveAge)
                                  : known_since + kMaxAbsentAge;
  return std::max(now, outdated_at + kClockMargin);
}

bool ReadConsistency::may_answer(const std::string& job_id, JobStage stage, Instant asked_at,
                                 Instant now) const {
  if (stage == JobStage::finished) return true;
  const Micros age = now - asked_at;
  if (stage == JobStage::absent && age > kMaxAbsentAge) return false;
  if (age > kMaxReplyAge) return false;
  if (!single_node_ && age > kMaxLiveAge && in_touch_through_ < now - kMaxLiveAge) return false;
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end()) return true;
  const Job& job = it->second;
  // Not `>=`: what was asked at the same reading of the clock may have been asked before.
  return asked_at > job.newer_since[kFinished] &&
         (stage != JobStage::absent || asked_at > job.newer_since[kAccepted]);
}

}  // namespace wrenusher::job_api
