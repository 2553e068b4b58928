#pragma once
// An index of the live jobs as the key-value store has them, at one revision.

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

/// Whoever asks about a job waits for the index to be refreshed once more, by one request for all that wait:
/// what an answer costs follows from what has changed, not from how many jobs are live or how many users ask.
/// The index is a cache: it can be dropped at any time, and until it is complete again the records have to be
/// read one by one.
///
/// Owns the index and the queries that wait; `runtime` and `store` must outlive it. Single-threaded: called
/// from the runtime's loop only.
class JobIndex {
 public:
  /// What the index says of a job.
  enum class Presence {
    live,
    cancelled,  ///< live, with its cancellation recorded
    absent,  ///< ended or never accepted; where it ended while the index was complete, `on_ended` was called
    failed   ///< the key-value store gave no answer, or the index is not complete any more
  };
  struct Lookup {
    Presence presence = Presence::failed;
    time::Instant asked_at{};  ///< when the key-value store was asked: it was so then or later
  };
  using LookupHandler = std::function<void(const Lookup&)>;
  using EndedHandler =
      std::function<void(const std::string& job_id, const std::string& state, std::uint64_t done_tasks)>;

  /// Queries that may wait at the same time; one more is to be refused by the caller.
  static constexpr std::size_t kMaxQueries = 12000;

  JobIndex(runtime::Runtime& runtime, kv_client::KvClient& store) : runtime_(runtime), store_(store) {}

  /// Reads all live jobs, page by page, and keeps the index up to date from then on. Retries until it
  /// succeeds.
  void load();
  /// Whether queries can be answered from it.
  [[nodiscard]] bool complete() const { return complete_; }
  /// Whether one more query may wait.
  [[nodiscard]] bool has_room() const { return waiting_.size() < kMaxQueries; }
  /// Calls `done` once the index has been refreshed by a request that goes out from now on.
  void query(const std::string& job_id, LookupHandler done);

  /// Live jobs in the index.
  [[nodiscard]] std::size_t size() const { return jobs_.size(); }

  /// A job's final record was read: its state and how many of its tasks succeeded. Called before any query
  /// about it is answered with `absent`. Must be set before `load`.
  EndedHandler on_ended;
  /// Which records each refresh found changed.
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
                      bool final_states_known);
  bool is_contiguous(const kv_client::WatchReply& reply) const;
  void apply(const kv_client::WatchReply& reply);
  void read_final_states(std::vector<Query> queries, time::Instant asked_at);
  void on_final_states(const kv_client::WatchReply& reply);
  void put(const kv_client::KeyValue& row);
  Presence presence_of(const std::string& job_id) const;
  static void fail(const std::vector<Query>& queries);

  runtime::Runtime& runtime_;
  kv_client::KvClient& store_;
  std::unordered_map<std::string, Job> jobs_;
  bool complete_ = false;
  std::string next_page_key_;                         ///< while loading: the last key that was read
  std::optional<std::uint64_t> first_page_revision_;  ///< while loading: from there changes are watched
  std::uint64_t revision_ = 0;                        ///< the revision that the index shows
  std::uint64_t final_states_revision_ = 0;  ///< final records up to this revision went to `on_ended`
  std::vector<Query> waiting_;               ///< to be answered by the next refresh
  std::vector<Query> in_flight_;             ///< to be answered by the refresh under way
  bool refresh_scheduled_ = false;
  bool refreshing_ = false;
  time::Instant last_refresh_{};
};

}  // namespace wrenusher::job_api
