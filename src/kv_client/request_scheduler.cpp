#include "wrenusher/kv_client/request_scheduler.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace wrenusher::kv_client {

using time::from_millis;
using time::from_seconds;
using time::to_seconds;

namespace {

/// A user call is refused at once when this many calls are queued before it.
constexpr std::size_t kMaxQueuedCalls = 64;
/// A user call is also refused if it would wait longer than this for tokens. Users give up a submission after
/// 5 s and a query after 2 s; a call sent after that would waste tokens that other calls need.
constexpr Micros kMaxWriteWait = from_seconds(3.5);
constexpr Micros kMaxReadWait = from_seconds(1.5);
/// Number of calls that may be queued even at a very low rate.
constexpr std::size_t kMinQueueCapacity = 4;
/// A background call that has waited this long is sent even if there are no spare tokens: during a burst of
/// user calls there are none, and the replicas of the records would fall further and further behind.
constexpr Micros kMaxBackgroundWait = from_seconds(1);
/// Fraction of a second's request tokens that background calls leave to others.
constexpr double kBackgroundReserve = 0.5;
/// Fraction of a second's write tokens that a scheduling commit may use while user writes wait.
constexpr double kSchedulingWriteShare = 0.25;
/// Interval between checks of the queued calls.
constexpr Micros kQueueCheckInterval = from_millis(20);

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

/// Returns whether one more user call would wait for too long.
bool RequestScheduler::is_full(const Queue& queue, double write_count) const {
  if (queue.size() >= kMaxQueuedCalls) return true;
  if (queue.size() < kMinQueueCapacity) return false;
  const auto queued_calls = static_cast<double>(queue.size());
  return write_count > 0 ? queued_calls > writes_.rate() * to_seconds(kMaxWriteWait)
                         : queued_calls > requests_.rate() * to_seconds(kMaxReadWait);
}

std::size_t RequestScheduler::writes_available() {
  const Instant now = runtime_.now();
  if (now < backoff_until_ || !scheduling_.empty()) return 0;
  const double available = std::max(0.0, writes_.tokens(now));
  // Waiting user writes take every token as it becomes available, so none would ever be left over. A
  // scheduling commit therefore takes turns with them and waits for a fair share of the rate.
  return static_cast<std::size_t>(
      user_writes_.empty() ? available : std::max(available, writes_.rate() * kSchedulingWriteShare));
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
  // If both a user write and a scheduling write wait, they alternate, regardless of how many tokens each
  // needs.
  const auto has_waiting_write = [](const Queue& other) {
    return !other.empty() && other.front().write_count > 0;
  };
  const bool is_user_queue = &queue == &user_writes_;
  const bool has_turn = is_user_queue ? user_write_is_next_ || !has_waiting_write(scheduling_)
                                      : !user_write_is_next_ || !has_waiting_write(user_writes_);
  return has_turn && writes_.can_acquire(write_count, now);
}

/// Checks the foreground queues in round-robin order, so that neither a burst of queries nor a large commit
/// starves the others.
RequestScheduler::Queue* RequestScheduler::next_queue(Instant now) {
  if (!background_.empty() && now - background_.front().queued_at >= kMaxBackgroundWait) return &background_;
  const std::array<Queue*, kForegroundQueues> queues = {&user_reads_, &user_writes_, &scheduling_};
  for (std::size_t i = 0; i < kForegroundQueues; ++i) {
    Queue* queue = queues[(next_queue_ + i) % kForegroundQueues];
    if (!may_send(*queue, now)) continue;
    next_queue_ = (next_queue_ + i + 1) % kForegroundQueues;
    return queue;
  }
  const bool keep_reserve =
      has_foreground_calls() || requests_.tokens(now) < requests_.rate() * kBackgroundReserve;
  return keep_reserve || background_.empty() ? nullptr : &background_;
}

/// Sends the queued calls that may be sent now, and schedules another check if any are left.
void RequestScheduler::send_queued() {
  if (retry_scheduled_) return;
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
  if (!has_foreground_calls() && background_.empty()) return;
  retry_scheduled_ = true;
  runtime_.after(kQueueCheckInterval, [this] {
    retry_scheduled_ = false;
    send_queued();
  });
}

}  // namespace wrenusher::kv_client
