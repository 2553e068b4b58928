#pragma once
// Package kv_client: the client of the state service, a consensus-backed key-value store. It owns this node's
// share of the service's rate limits and the queues of what waits for it, and tells "not executed" from "may
// have been executed". It may depend on time, value, runtime, settings, protocol and log.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "wrenusher/kv_client/kv_messages.hpp"
#include "wrenusher/kv_client/rate_limiter.hpp"
#include "wrenusher/kv_client/request_scheduler.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::kv_client {

/// Single-threaded: called from the runtime's loop only, in which it calls each handler once.
class KvClient {
 public:
  using RequestClass = kv_client::RequestClass;
  using ReadHandler = std::function<void(ReadReply)>;
  using CommitHandler = std::function<void(CommitReply)>;
  using LeaseHandler = std::function<void(LeaseReply)>;
  using WatchHandler = std::function<void(WatchReply)>;

  /// No reply of the service is taken later than this after it was asked (a watch's own wait aside), also by
  /// a node that stood still meanwhile. ReadConsistency depends on it.
  static constexpr Micros kMaxReplyAge = time::from_seconds(1.5);

  /// Both arguments must outlive this.
  KvClient(runtime::Runtime& runtime, const settings::Settings& settings);

  /// Reads one key.
  void get(const std::string& key, RequestClass request_class, const ReadHandler& done);
  /// Reads at most `limit` keys with the prefix, beginning with `from` or, where that is empty, with the
  /// first.
  void list(const std::string& prefix, const std::string& from, int limit, RequestClass request_class,
            const ReadHandler& done);
  /// A compare-and-swap: makes all changes if all conditions hold, and none otherwise.
  void commit(const std::vector<Condition>& when, const std::vector<Mutation>& apply,
              RequestClass request_class, const CommitHandler& done);
  void grant_lease(Micros duration, const LeaseHandler& done);
  void renew_lease(std::uint64_t lease_id, const LeaseHandler& done);
  /// Tried once; if that fails the lease expires by itself.
  void revoke_lease(std::uint64_t lease_id);
  /// Changes of the keys with the prefix after the revision `from`. Where there are none, the service waits
  /// for one, for `max_wait` at most.
  void watch(const std::string& prefix, std::uint64_t from, Micros max_wait, RequestClass request_class,
             const WatchHandler& done);

  /// The leader does most of the work and so gets most of the rate that the nodes share.
  void set_leading(bool leading);
  /// Whether the service replied to anything lately.
  [[nodiscard]] bool reachable() const;
  /// How many changes a scheduling commit may make now; 0 while another one waits.
  [[nodiscard]] std::size_t writes_available() { return scheduler_.writes_available(); }
  /// Whether no user's call waits and half a second's worth of requests is left.
  [[nodiscard]] bool has_spare_requests() { return scheduler_.has_spare_requests(); }
  /// Requests per second that this node may make now.
  [[nodiscard]] double request_rate() const { return scheduler_.request_rate(); }

  runtime::EventSink<KvHealth> health;

 private:
  void call(runtime::Request request, Micros timeout, runtime::CallHandler done);
  void record_reply(bool is_good);

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  RequestScheduler scheduler_;
  Instant last_reply_{};
  bool ever_replied_ = false;
  bool reported_reachable_ = false;
};

}  // namespace wrenusher::kv_client
