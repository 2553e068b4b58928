#pragma once
// Package kv_client: the client of the state service, a consensus-backed key-value store. Each change in the
// service gets a revision, a number that rises; a key has the revision of its last change.
//
// The package owns this node's share of the service's rate limits and the queues of waiting calls. Its
// replies distinguish calls that were not executed from calls that may have been executed. It may depend on
// time, value, runtime, settings, protocol and log.

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

/// Client of the state service. Single-threaded: called from the runtime's loop only, from which it calls
/// each handler exactly once.
class KvClient {
 public:
  using RequestClass = kv_client::RequestClass;
  using ReadHandler = std::function<void(ReadReply)>;
  using CommitHandler = std::function<void(CommitReply)>;
  using LeaseHandler = std::function<void(LeaseReply)>;
  using WatchHandler = std::function<void(WatchReply)>;

  /// Maximum age of a reply, counted from the sending of its request; for a watch, the requested waiting time
  /// is added. Older replies are discarded, even if they are late only because this process was paused.
  /// job_api::ReadConsistency relies on this limit.
  static constexpr Micros kMaxReplyAge = time::from_seconds(1.5);

  /// Both arguments must outlive this object.
  KvClient(runtime::Runtime& runtime, const settings::Settings& settings);

  /// Reads one key.
  void get(const std::string& key, RequestClass request_class, const ReadHandler& done);
  /// Reads at most `limit` keys with the prefix, starting at `from` or, if that is empty, at the first.
  void list(const std::string& prefix, const std::string& from, int limit, RequestClass request_class,
            const ReadHandler& done);
  /// Executes a compare-and-swap: makes all changes if all conditions hold, and none otherwise.
  void commit(const std::vector<Condition>& conditions, const std::vector<Mutation>& mutations,
              RequestClass request_class, const CommitHandler& done);
  void grant_lease(Micros duration, const LeaseHandler& done);
  void renew_lease(std::uint64_t lease_id, const LeaseHandler& done);
  /// Revokes the lease, without a retry: if the call fails, the lease still ends when its duration has
  /// passed.
  void revoke_lease(std::uint64_t lease_id);
  /// Reads the changes of the keys with the prefix after the revision `from`. If there are none, the service
  /// waits for one for up to `max_wait`.
  void watch(const std::string& prefix, std::uint64_t from, Micros max_wait, RequestClass request_class,
             const WatchHandler& done);

  /// Adjusts this node's share of the rates: the leader does most of the work, so it gets most of the rate
  /// that the nodes share.
  void set_leading(bool leading);
  /// Returns whether the service has replied to any call recently.
  [[nodiscard]] bool reachable() const;
  /// Returns how many changes a scheduling commit may make now; 0 while another one is queued.
  [[nodiscard]] std::size_t writes_available() { return scheduler_.writes_available(); }
  /// Returns whether no user call is queued and at least half a second's worth of request tokens is left.
  [[nodiscard]] bool has_spare_requests() { return scheduler_.has_spare_requests(); }
  /// Returns the requests per second that this node may make now.
  [[nodiscard]] double request_rate() const { return scheduler_.request_rate(); }

  runtime::EventSink<KvHealth> health;

 private:
  void call(runtime::Request request, Micros timeout, runtime::CallHandler done);
  void record_reply(bool is_good);

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  RequestScheduler scheduler_;
  Instant last_reply_{};
  bool has_replied_ = false;
  bool reported_reachable_ = false;
};

}  // namespace wrenusher::kv_client
