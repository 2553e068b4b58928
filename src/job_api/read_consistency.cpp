#include "wrenusher/job_api/read_consistency.hpp"

#include <algorithm>

namespace wrenusher::job_api {

namespace {
constexpr std::size_t kMaxTrackedJobs = 8000;
/// No answer that is still on its way is as old as this, so that what is forgotten after it can't be missed.
constexpr Micros kKeepJobFor = from_seconds(10);
}  // namespace

ReadConsistency::Job& ReadConsistency::entry(const std::string& job_id, Instant now) {
  const auto [it, added] = jobs_.try_emplace(job_id);
  it->second.touched = now;
  if (added) by_age_.emplace_back(now, job_id);
  while (by_age_.size() > kMaxTrackedJobs && now - by_age_.front().first > kKeepJobFor) {
    auto [since, oldest] = std::move(by_age_.front());
    by_age_.pop_front();
    const Instant touched = jobs_.at(oldest).touched;
    if (now - touched > kKeepJobFor) {
      jobs_.erase(oldest);
    } else {
      by_age_.emplace_back(touched, std::move(oldest));
    }
  }
  return jobs_.at(job_id);
}

void ReadConsistency::observe(const std::string& job_id, JobStage level, Instant now) {
  if (level == JobStage::absent) return;
  Job& job = entry(job_id, now);
  // What is over has been accepted before.
  for (std::size_t l = 0; l <= at(level); ++l) {
    if (job.since[l] != Instant::max()) continue;
    job.since[l] = now;
    job.newer_since[l] = std::max(job.newer_since[l], now);
  }
}

void ReadConsistency::on_peer_announcement(const std::string& job_id, JobStage level, Instant now) {
  if (level == JobStage::absent) return;
  Job& job = entry(job_id, now);
  for (std::size_t l = 0; l <= at(level); ++l) job.newer_since[l] = now;
}

void ReadConsistency::announce(const std::string& job_id, JobStage level, Instant now) {
  if (level == JobStage::absent) return;
  Instant& first = entry(job_id, now).announced[at(level)];
  first = std::min(first, now);
}

void ReadConsistency::on_confirmed(const std::string& job_id, JobStage level) {
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end() || level == JobStage::absent) return;
  for (std::size_t l = 0; l <= at(level); ++l) it->second.confirmed[l] = true;
}

Instant ReadConsistency::may_answer_from(const std::string& job_id, JobStage level, Instant now) const {
  if (single_node_ || level == JobStage::absent) return now;
  const auto it = jobs_.find(job_id);
  const std::size_t l = at(level);
  if (it != jobs_.end() && it->second.confirmed[l]) return now;
  const Instant since = it == jobs_.end() ? now : std::min(now, it->second.since[l]);
  const Instant announced = it == jobs_.end() ? now : std::min(now, it->second.announced[l]);
  // What was asked for before it was known here is not given any more; or those who would give it know.
  const Instant at = level == JobStage::finished ? std::min(since + kMaxReplyAge, announced + kMaxLiveAge)
                                                 : since + kMaxAbsentAge;
  return std::max(now, at + kClockMargin);
}

bool ReadConsistency::may_answer(const std::string& job_id, JobStage level, Instant sent, Instant now) const {
  if (level == JobStage::finished) return true;
  if (level == JobStage::absent && now - sent > kMaxAbsentAge) return false;
  if (now - sent > kMaxReplyAge) return false;
  if (!single_node_ && now - sent > kMaxLiveAge && in_touch_through_ < now - kMaxLiveAge) return false;
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end()) return true;
  const Job& job = it->second;
  // What was asked for within the same turn of the clock may have been asked for before.
  return sent > job.newer_since[1] && (level != JobStage::absent || sent > job.newer_since[0]);
}

}  // namespace wrenusher::job_api
