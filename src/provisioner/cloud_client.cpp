#include "wrenusher/provisioner/cloud_client.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::provisioner {

using runtime::CallResult;
using runtime::Request;
using time::from_millis;
using time::Instant;
using time::Micros;

namespace {

constexpr Micros kCallTimeout = time::from_seconds(5);
/// Time between two attempts to send queued calls while none may be sent.
constexpr Micros kQueueRetryInterval = from_millis(50);
/// Number of consecutive failed calls from which on the cloud counts as unreachable.
constexpr int kMinOutageFailures = 3;
/// The back-off is one step for each consecutive failure, plus a random jitter of up to the same length.
constexpr Micros kBackoffStep = from_millis(300);
constexpr int kMaxBackoffSteps = 5;
/// Share of the cloud's rate limit that is used; the rest is a margin for differences between the two clocks.
constexpr double kUsedRateShare = 0.9;

CloudReply::Result classify(const CallResult& result) {
  if (!result.answered) return CloudReply::Result::failed;
  if (result.response.status == 200) return CloudReply::Result::ok;
  if (result.response.status == 400) return CloudReply::Result::invalid;
  if (result.response.status == 503 && result.response.body.find("no capacity") != std::string::npos)
    return CloudReply::Result::no_capacity;
  return CloudReply::Result::failed;
}

/// Returns whether the result indicates that the cloud is overloaded or unreachable.
bool indicates_outage(const CallResult& result) {
  return !result.answered || result.response.status == 429 ||
         (result.response.status == 503 && classify(result) != CloudReply::Result::no_capacity);
}

}  // namespace

CloudClient::CloudClient(runtime::Runtime& runtime, const settings::Settings& settings,
                         const LeaderTerm& term)
    : runtime_(runtime),
      settings_(settings),
      term_(term),
      rate_limiter_(settings.cloud_rps * kUsedRateShare, runtime.now()) {}

void CloudClient::get(std::string target, ReplyHandler done) {
  enqueue({"GET", std::move(target), {}}, QueuePosition::back, std::move(done));
}

void CloudClient::post(std::string target, std::string body, QueuePosition position, ReplyHandler done) {
  enqueue({"POST", std::move(target), std::move(body)}, position, std::move(done));
}

bool CloudClient::unreachable() const {
  return consecutive_failures_ >= kMinOutageFailures;
}

void CloudClient::enqueue(Request request, QueuePosition position, ReplyHandler done) {
  const bool needs_lease = request.method == "POST";
  auto send = [this, request = std::move(request), done = std::move(done)]() mutable {
    runtime_.call(settings_.cloud, std::move(request), kCallTimeout,
                  [this, done = std::move(done)](const CallResult& result) {
                    record_result(result);
                    CloudReply reply{classify(result), {}};
                    if (reply.result == CloudReply::Result::ok)
                      reply.body = value::decode(result.response.body);
                    done(reply);
                  });
  };
  if (position == QueuePosition::front) {
    queue_.push_front({needs_lease, std::move(send)});
  } else {
    queue_.push_back({needs_lease, std::move(send)});
  }
  send_queued_calls();
}

void CloudClient::send_queued_calls() {
  if (wakeup_scheduled_) return;
  while (!queue_.empty()) {
    const Instant now = runtime_.now();
    const auto next = std::find_if(queue_.begin(), queue_.end(), [&](const QueuedCall& call) {
      return !call.needs_lease || term_.lease_valid();
    });
    if (next == queue_.end() || now < backoff_until_ || !rate_limiter_.try_acquire(1, now)) {
      wakeup_scheduled_ = true;
      runtime_.after(kQueueRetryInterval, [this] {
        wakeup_scheduled_ = false;
        send_queued_calls();
      });
      return;
    }
    const auto send = std::move(next->send);
    queue_.erase(next);
    send();
  }
}

void CloudClient::record_result(const CallResult& result) {
  if (!indicates_outage(result)) {
    if (unreachable()) log::info("cloud_reachable", "the cloud is reachable again");
    consecutive_failures_ = 0;
    return;
  }
  consecutive_failures_ = std::min(consecutive_failures_ + 1, kMaxBackoffSteps);
  if (consecutive_failures_ == kMinOutageFailures)
    log::warn("cloud_unreachable", "the cloud is unreachable: {failures} calls in a row failed",
              log::with("failures", consecutive_failures_));
  const Micros step = kBackoffStep * consecutive_failures_;
  backoff_until_ = runtime_.now() + step + runtime_.jitter(step);
}

}  // namespace wrenusher::provisioner
