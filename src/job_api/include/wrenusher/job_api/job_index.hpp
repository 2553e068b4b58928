#pragma once
// Keeps an in-memory index of the live jobs in the key-value store, as of one revision.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::job_api {

/// Answers queries about live jobs in batches: one request to the key-value store refreshes the index for all
/// queued queries. The cost of a refresh therefore depends on the number of changed records, not on the
/// number of live jobs or of users.
///
/// The index is a cache and can be dropped at any time. Until it has been loaded again, callers have to read
/// the records one by one.
///
/// Owns the index and the queued queries; `runtime` and `store` must outlive it. Single-threaded: called from
/// the runtime's loop only.
class JobIndex {
 public:
  /// State of a job according to the index.
  enum class Presence {
    live,
    cancelled,  ///< live, and its record is marked as cancelled
    /// Ended or never accepted. `on_ended` was called for a job that ended while the index was complete.
    absent,
    failed  ///< the key-value store did not reply, or the index is no longer complete
  };
  struct Lookup {
    Presence presence = Presence::failed;
    /// Time of the request to the key-value store. The result was valid then or later.
    time::Instant request_sent_at{};
  };
  using LookupHandler = std::function<void(const Lookup&)>;
  using EndedHandler =
      std::function<void(const std::string& job_id, const std::string& state, std::uint64_t done_tasks)>;

  /// Maximum number of queued queries. The caller has to reject further ones.
  static constexpr std::size_t kMaxQueries = 12000;

  JobIndex(runtime::Runtime& runtime, kv_client::KvClient& store) : runtime_(runtime), store_(store) {}

  /// Reads all live jobs page by page, and retries until this succeeds. After that, each refresh applies the
  /// changes since the previous one.
  void load();
  /// Returns whether the index is loaded and can answer queries.
  [[nodiscard]] bool complete() const { return complete_; }
  /// Returns whether the queue has room for one more query.
  [[nodiscard]] bool has_room() const { return queued_.size() < kMaxQueries; }
  /// Queues a query. Calls `done` after a refresh whose request is sent after this call.
  void query(const std::string& job_id, LookupHandler done);

  /// Returns the number of live jobs in the index.
  [[nodiscard]] std::size_t size() const { return jobs_.size(); }

  /// Called when a job's final record has been read, with the job's final state and the number of its tasks
  /// that succeeded. It runs before any query about this job is answered with `absent`. Must be set before
  /// `load`.
  EndedHandler on_ended;
  /// Called after each refresh, with the records that have changed.
  std::function<void(const events::RecordsChanged&)> on_records_changed;

 private:
  struct Job {
    std::uint64_t mod_revision = 0;
    bool cancelled = false;
  };
  struct Query {
    std::string job_id;
    LookupHandler done;
  };
  void read_page();
  void on_page(const kv_client::ReadReply& page);
  void drop(const char* reason);
  void schedule_refresh();
  time::Micros refresh_delay() const;
  void refresh();
  void on_refreshed(const kv_client::WatchReply& reply);
  void answer_queries(std::vector<Query> queries, const kv_client::WatchReply& reply,
                      bool final_states_complete);
  bool is_contiguous(const kv_client::WatchReply& reply) const;
  void apply(const kv_client::WatchReply& reply);
  void read_final_states(std::vector<Query> queries, time::Instant request_sent_at);
  void on_final_states(const kv_client::WatchReply& reply);
  void put(const kv_client::KeyValue& row);
  Presence presence_of(const std::string& job_id) const;
  static void fail_queries(const std::vector<Query>& queries);

  runtime::Runtime& runtime_;
  kv_client::KvClient& store_;
  std::unordered_map<std::string, Job> jobs_;
  bool complete_ = false;
  /// While loading: the last key that has been read.
  std::string next_page_key_;
  /// While loading: the revision of the first page. Changes are watched from it.
  std::optional<std::uint64_t> first_page_revision_;
  std::uint64_t revision_ = 0;  ///< the revision that the index reflects
  /// Final records up to this revision have been passed to `on_ended`.
  std::uint64_t final_states_revision_ = 0;
  std::vector<Query> queued_;     ///< answered by the next refresh
  std::vector<Query> in_flight_;  ///< answered by the refresh in progress
  bool refresh_scheduled_ = false;
  bool refreshing_ = false;
  time::Instant last_refresh_{};
};

}  // namespace wrenusher::job_api
