#include "wrenusher/desk/answer_order.hpp"

#include <algorithm>

namespace wrenusher::desk {

namespace {
constexpr std::size_t kMostJobs = 8000;
/// No answer that is still on its way is as old as this, so that what is forgotten after it can't be missed.
constexpr Micros kKept = from_seconds(10);
}  // namespace

AnswerOrder::Job& AnswerOrder::touch(const std::string& ref, Instant now) {
  const auto [it, added] = jobs_.try_emplace(ref);
  it->second.touched = now;
  if (added) order_.emplace_back(now, ref);
  while (order_.size() > kMostJobs && now - order_.front().first > kKept) {
    auto [since, oldest] = std::move(order_.front());
    order_.pop_front();
    const Instant touched = jobs_.at(oldest).touched;
    if (now - touched > kKept) {
      jobs_.erase(oldest);
    } else {
      order_.emplace_back(touched, std::move(oldest));
    }
  }
  return jobs_.at(ref);
}

void AnswerOrder::seen(const std::string& ref, Level level, Instant now) {
  if (level == Level::absent) return;
  Job& j = touch(ref, now);
  // What is over has been accepted before.
  for (std::size_t l = 0; l <= at(level); ++l) {
    if (j.since[l] != Instant::max()) continue;
    j.since[l] = now;
    j.newer[l] = std::max(j.newer[l], now);
  }
}

void AnswerOrder::announced(const std::string& ref, Level level, Instant now) {
  if (level == Level::absent) return;
  Job& j = touch(ref, now);
  for (std::size_t l = 0; l <= at(level); ++l) j.newer[l] = now;
}

void AnswerOrder::announce(const std::string& ref, Level level, Instant now) {
  if (level == Level::absent) return;
  Instant& first = touch(ref, now).announced[at(level)];
  first = std::min(first, now);
}

void AnswerOrder::confirmed(const std::string& ref, Level level) {
  const auto it = jobs_.find(ref);
  if (it == jobs_.end() || level == Level::absent) return;
  for (std::size_t l = 0; l <= at(level); ++l) it->second.confirmed[l] = true;
}

Instant AnswerOrder::may_tell(const std::string& ref, Level level, Instant now) const {
  if (alone_ || level == Level::absent) return now;
  const auto it = jobs_.find(ref);
  const std::size_t l = at(level);
  if (it != jobs_.end() && it->second.confirmed[l]) return now;
  const Instant since = it == jobs_.end() ? now : std::min(now, it->second.since[l]);
  const Instant announced = it == jobs_.end() ? now : std::min(now, it->second.announced[l]);
  // What was asked for before it was known here is not given any more; or those who would give it know.
  const Instant at =
      level == Level::over ? std::min(since + kAnswerLife, announced + kLiveLife) : since + kAbsentLife;
  return std::max(now, at + kMargin);
}

bool AnswerOrder::stands(const std::string& ref, Level level, Instant sent, Instant now) const {
  if (level == Level::over) return true;
  if (level == Level::absent && now - sent > kAbsentLife) return false;
  if (now - sent > kAnswerLife) return false;
  if (!alone_ && now - sent > kLiveLife && in_touch_ < now - kLiveLife) return false;
  const auto it = jobs_.find(ref);
  if (it == jobs_.end()) return true;
  const Job& j = it->second;
  // What was asked for within the same turn of the clock may have been asked for before.
  return sent > j.newer[1] && (level != Level::absent || sent > j.newer[0]);
}

}  // namespace wrenusher::desk
