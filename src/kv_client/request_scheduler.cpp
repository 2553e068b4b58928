#include "wrenusher/kv_client/request_scheduler.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace wrenusher::kv_client {

using time::from_millis;
using time::from_seconds;
using time::to_seconds;

namespace {

/// A user's call is refused at once when this many wait before it.
constexpr std::size_t kMaxQueued = 64;
/// So is one that would wait longer than this for tokens: a user gives a submission up after 5 s and a query
/// after 2 s, and what is sent for nobody is taken from others.
constexpr Micros kMaxWriteWait = from_seconds(3.5);
constexpr Micros kMaxReadWait = from_seconds(1.5);
/// So many may wait however low the rate is.
constexpr std::size_t kMinQueued = 4;
/// A background call that has waited for so long is sent all the same: a storm of users' calls leaves nothing
/// over, and replicas of the records would have ever more to catch up with.
constexpr Micros kMaxBackgroundWait = from_seconds(1);
/// Part of a second's request tokens that background calls leave to others.
constexpr double kBackgroundReserve = 0.5;
/// Part of a second's write tokens that a scheduling commit may have while users' writes wait.
constexpr double kSchedulingWriteShare = 0.25;
/// How often queued calls are looked at.
constexpr Micros kQueueInterval = from_millis(20);

}  // namespace

RequestScheduler::RequestScheduler(runtime::Runtime& runtime, double requests_per_s, double writes_per_s)
    : runtime_(runtime), requests_(requests_per_s, runtime.now()), writes_(writes_per_s, runtime.now()) {}

void RequestScheduler::set_rates(double requests_per_s, double writes_per_s) {
  requests_.set_rate(requests_per_s);
  writes_.set_rate(writes_per_s);
}

void RequestScheduler::submit(RequestClass request_class, Call call) {
  const Instant now = runtime_.now();
  if (request_class == RequestClass::lease) {
    requests_.force_acquire(1, now);
    writes_.force_acquire(call.write_count, now);
    call.send();
    return;
  }
  Queue& queue = queue_of(request_class, call.write_count);
  if (request_class == RequestClass::user && is_full(queue, call.write_count)) {
    runtime_.post(std::move(call.refuse));
    return;
  }
  queue.push_back({call.write_count, std::move(call.send), now});
  send_queued();
}

RequestScheduler::Queue& RequestScheduler::queue_of(RequestClass request_class, double write_count) {
  if (request_class == RequestClass::scheduling) return scheduling_;
  if (request_class == RequestClass::background) return background_;
  return write_count > 0 ? user_writes_ : user_reads_;
}

/// Whether one more user's call would wait for too long.
bool RequestScheduler::is_full(const Queue& queue, double write_count) const {
  if (queue.size() >= kMaxQueued) return true;
  if (queue.size() < kMinQueued) return false;
  const auto ahead = static_cast<double>(queue.size());
  return write_count > 0 ? ahead > writes_.rate() * to_seconds(kMaxWriteWait)
                         : ahead > requests_.rate() * to_seconds(kMaxReadWait);
}

std::size_t RequestScheduler::writes_available() {
  const Instant now = runtime_.now();
  if (now < backoff_until_ || !scheduling_.empty()) return 0;
  const double ready = std::max(0.0, writes_.tokens(now));
  // While users' writes wait they take every token as it comes, and none would ever be left over: a
  // scheduling commit then takes turns with them and waits for a fair part of the rate.
  return static_cast<std::size_t>(
      user_writes_.empty() ? ready : std::max(ready, writes_.rate() * kSchedulingWriteShare));
}

bool RequestScheduler::has_spare_requests() {
  const Instant now = runtime_.now();
  return now >= backoff_until_ && user_reads_.empty() && user_writes_.empty() &&
         requests_.tokens(now) >= requests_.rate() * kBackgroundReserve;
}

bool RequestScheduler::may_send(const Queue& queue, Instant now) {
  if (queue.empty()) return false;
  const double write_count = queue.front().write_count;
  if (write_count == 0) return true;
  // Of a user's and a scheduling write that both wait, the one whose turn it is goes first, however few
  // tokens the other needs.
  const auto waits_to_write = [](const Queue& other) {
    return !other.empty() && other.front().write_count > 0;
  };
  const bool is_user = &queue == &user_writes_;
  const bool has_turn = is_user ? user_write_is_next_ || !waits_to_write(scheduling_)
                                : !user_write_is_next_ || !waits_to_write(user_writes_);
  return has_turn && writes_.can_acquire(write_count, now);
}

/// In turn, so that neither a storm of queries nor a large commit keeps the others out.
RequestScheduler::Queue* RequestScheduler::next_queue(Instant now) {
  if (!background_.empty() && now - background_.front().queued_at >= kMaxBackgroundWait) return &background_;
  const std::array<Queue*, kForegroundQueues> queues = {&user_reads_, &user_writes_, &scheduling_};
  for (std::size_t i = 0; i < kForegroundQueues; ++i) {
    Queue* queue = queues[(next_turn_ + i) % kForegroundQueues];
    if (!may_send(*queue, now)) continue;
    next_turn_ = (next_turn_ + i + 1) % kForegroundQueues;
    return queue;
  }
  const bool busy = foreground_waits() || requests_.tokens(now) < requests_.rate() * kBackgroundReserve;
  return busy || background_.empty() ? nullptr : &background_;
}

/// Sends what may go out now, and looks again later if something is left.
void RequestScheduler::send_queued() {
  if (timer_running_) return;
  const Instant now = runtime_.now();
  while (now >= backoff_until_ && requests_.can_acquire(1, now)) {
    Queue* queue = next_queue(now);
    if (queue == nullptr) break;
    const QueuedCall call = std::move(queue->front());
    queue->pop_front();
    requests_.force_acquire(1, now);
    if (call.write_count > 0) {
      writes_.force_acquire(call.write_count, now);
      user_write_is_next_ = queue != &user_writes_;
    }
    call.send();
  }
  if (!foreground_waits() && background_.empty()) return;
  timer_running_ = true;
  runtime_.after(kQueueInterval, [this] {
    timer_running_ = false;
    send_queued();
  });
}

}  // namespace wrenusher::kv_client
