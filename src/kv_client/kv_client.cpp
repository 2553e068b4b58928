#include "wrenusher/kv_client/kv_client.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/kv_client/kv_codec.hpp"
#include "wrenusher/log/log.hpp"

namespace wrenusher::kv_client {

using runtime::CallHandler;
using runtime::CallResult;
using runtime::Request;
using runtime::Runtime;
using settings::Settings;
using time::from_millis;
using time::from_seconds;

namespace {

constexpr Micros kRequestTimeout = KvClient::kMaxReplyAge;
/// The service counts as unreachable after this time without a successful reply.
constexpr Micros kHealthTimeout = from_seconds(2.0);
/// The leader's share of the rates that the nodes share; the other nodes share the rest equally.
constexpr double kLeaderShare = 0.7;
/// Fraction of its rates that a node uses, as a margin below the service's limits.
constexpr double kRateMargin = 0.95;
constexpr double kMinWriteRate = 1.0;
/// How long nothing is sent after the service reported an overload, and the maximum jitter added to it.
constexpr Micros kBackoff = from_millis(100);
constexpr Micros kMaxBackoffJitter = from_millis(200);

constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

double node_count(const Settings& settings) {
  return static_cast<double>(settings.peers.size() + 1);
}

/// Returns a function that completes a read as refused because too many calls are queued.
std::function<void()> read_refusal(const KvClient::ReadHandler& done) {
  return [done] {
    ReadReply reply;
    reply.queue_full = true;
    done(std::move(reply));
  };
}

/// Returns a function that completes a commit as refused because too many calls are queued.
std::function<void()> commit_refusal(const KvClient::CommitHandler& done) {
  return [done] {
    CommitReply reply;
    reply.queue_full = true;
    done(std::move(reply));
  };
}

}  // namespace

KvClient::KvClient(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      scheduler_(runtime, settings.state_rps / node_count(settings),
                 settings.state_write_rps / node_count(settings)) {
  set_leading(false);
}

void KvClient::set_leading(bool leading) {
  const auto peers = static_cast<double>(settings_.peers.size());
  double share = 1.0;
  if (peers > 0) share = leading ? kLeaderShare : (1.0 - kLeaderShare) / peers;
  scheduler_.set_rates(settings_.state_rps * share * kRateMargin,
                       std::max(kMinWriteRate, settings_.state_write_rps * share * kRateMargin));
}

bool KvClient::reachable() const {
  return has_replied_ && runtime_.now() - last_reply_ < kHealthTimeout;
}

void KvClient::record_reply(bool is_good) {
  if (is_good) {
    last_reply_ = runtime_.now();
    has_replied_ = true;
  }
  if (reachable() == reported_reachable_) return;
  reported_reachable_ = !reported_reachable_;
  log::info("state_service", "the state service is {state}",
            log::with("state", reported_reachable_ ? "reachable" : "unreachable"));
  health(KvHealth{reported_reachable_});
}

void KvClient::call(Request request, Micros timeout, CallHandler done) {
  runtime_.call(settings_.state, std::move(request), timeout,
                [this, timeout, sent_at = runtime_.now(), done = std::move(done)](CallResult result) {
                  // A node that was paused may receive replies that arrived long ago. Their content may be
                  // older than what other nodes have returned to users since, so they are discarded.
                  if (runtime_.now() - sent_at > timeout) result = CallResult{};
                  const int status = result.response.status;
                  if (result.answered && status == kStatusTooMany)
                    scheduler_.back_off(kBackoff + runtime_.jitter(kMaxBackoffJitter));
                  record_reply(result.answered && status != kStatusUnavailable && status != kStatusTooMany);
                  done(std::move(result));
                });
}

void KvClient::get(const std::string& key, RequestClass request_class, const ReadHandler& done) {
  auto send = [this, key, done] {
    call(get_request(key), kRequestTimeout, [done, sent_at = runtime_.now()](const CallResult& result) {
      done(read_get_reply(result, sent_at));
    });
  };
  scheduler_.submit(request_class, {0, std::move(send), read_refusal(done)});
}

void KvClient::list(const std::string& prefix, const std::string& from, int limit, RequestClass request_class,
                    const ReadHandler& done) {
  auto send = [this, request = list_request(prefix, from, limit), done] {
    call(request, kRequestTimeout, [done](CallResult result) { done(read_list_reply(std::move(result))); });
  };
  scheduler_.submit(request_class, {0, std::move(send), read_refusal(done)});
}

void KvClient::commit(const std::vector<Condition>& conditions, const std::vector<Mutation>& mutations,
                      RequestClass request_class, const CommitHandler& done) {
  auto send = [this, request = commit_request(conditions, mutations), done] {
    call(request, kRequestTimeout, [done, sent_at = runtime_.now()](const CallResult& result) {
      done(read_commit_reply(result, sent_at));
    });
  };
  scheduler_.submit(request_class,
                    {static_cast<double>(mutations.size()), std::move(send), commit_refusal(done)});
}

void KvClient::grant_lease(Micros duration, const LeaseHandler& done) {
  auto send = [this, duration, done] {
    call(grant_lease_request(duration), kRequestTimeout,
         [done](const CallResult& result) { done(read_grant_reply(result)); });
  };
  scheduler_.submit(RequestClass::lease, {0, std::move(send), {}});
}

void KvClient::renew_lease(std::uint64_t lease_id, const LeaseHandler& done) {
  auto send = [this, lease_id, done] {
    call(renew_lease_request(lease_id), kRequestTimeout,
         [done, lease_id](const CallResult& result) { done(read_renew_reply(result, lease_id)); });
  };
  scheduler_.submit(RequestClass::lease, {0, std::move(send), {}});
}

void KvClient::revoke_lease(std::uint64_t lease_id) {
  auto send = [this, lease_id] {
    call(revoke_lease_request(lease_id), kRequestTimeout, [](const CallResult&) {});
  };
  scheduler_.submit(RequestClass::lease, {0, std::move(send), {}});
}

void KvClient::watch(const std::string& prefix, std::uint64_t from, Micros max_wait,
                     RequestClass request_class, const WatchHandler& done) {
  auto send = [this, request = watch_request(prefix, from, max_wait), max_wait, done] {
    call(request, max_wait + kRequestTimeout, [done, sent_at = runtime_.now()](CallResult result) {
      done(read_watch_reply(std::move(result), sent_at));
    });
  };
  scheduler_.submit(request_class, {0, std::move(send), [done] { done(WatchReply{}); }});
}

}  // namespace wrenusher::kv_client
