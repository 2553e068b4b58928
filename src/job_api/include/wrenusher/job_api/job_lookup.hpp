#pragma once
// Finds the state of one job with as few requests to the key-value store as possible.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/job_api/bounded_cache.hpp"
#include "wrenusher/job_api/job_index.hpp"
#include "wrenusher/job_api/job_state.hpp"
#include "wrenusher/job_api/read_consistency.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::job_api {

/// Reasons why the state of a job could not be determined.
enum class LookupError {
  store_failed,  ///< the key-value store did not reply, or its reply doesn't determine the state
  queue_full,    ///< too many lookups are queued; no request was sent to the key-value store
  outdated       ///< every read was older than a stage that some node may have reported to a user
};

/// Result of a lookup: an error, no such job, or the job's state.
struct LookupResult {
  std::optional<LookupError> error;
  std::optional<JobState> state;  ///< nullopt: no such job, unless `error` is set
  /// Time of the request to the key-value store. The result was valid then or later.
  time::Instant request_sent_at{};

  static LookupResult failure(LookupError error) { return {error, std::nullopt, {}}; }
  static LookupResult found(JobState state, time::Instant request_sent_at) {
    return {std::nullopt, std::move(state), request_sent_at};
  }
  static LookupResult absent(time::Instant request_sent_at) {
    return {std::nullopt, std::nullopt, request_sent_at};
  }
};

/// Looks up the state of a job. Final states never change, so they are served from a cache. Live jobs are
/// served from the index (JobIndex) while it is complete. Without the index, only the revisions of cached
/// records are compared, many in one request; a record that has changed or is not cached is read
/// individually.
///
/// Owns the index, the caches of final states and live records, and the task counts published by the leader.
/// All constructor arguments must outlive the lookup. Single-threaded: called from the runtime's loop only.
class JobLookup {
 public:
  using Handler = std::function<void(const LookupResult&)>;

  JobLookup(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store,
            ReadConsistency& consistency);

  /// Starts to load the index of live jobs.
  void start() { index_.load(); }

  /// Calls `done` once, immediately or later, with the job's current state in the key-value store.
  void lookup(const std::string& job_id, Handler done);
  /// Does the same as `lookup`, but repeats the lookup a few times if some node may have reported a newer
  /// state to a user in the meantime.
  void lookup_consistent(const std::string& job_id, const Handler& done);

  /// Caches the record of a live job that was read or written at this revision.
  void cache_record(const std::string& job_id, std::uint64_t mod_revision, bool cancelled);
  /// Returns the newest state known to this node of a job whose live record has just been read or compared.
  /// Newer replies may have arrived before that one, and this node may already have reported their state to
  /// users.
  [[nodiscard]] JobState newest_state(const std::string& job_id) const;
  [[nodiscard]] bool has_final_state(const std::string& job_id) const {
    return final_states_.contains(job_id);
  }

  /// Replaces the task counts of all live jobs, or of those in the range that `progress` covers.
  void on_progress(const events::Progress& progress);
  /// Records which jobs have become live or have ended, as seen by this node or a peer.
  void on_records_changed(const events::RecordsChanged& event);

 private:
  /// The parts of a live record that are kept after a read.
  struct CachedRecord {
    std::uint64_t mod_revision = 0;
    bool cancelled = false;
  };
  struct TaskCounts {
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// A lookup that waits for the next comparison of revisions.
  struct PendingCheck {
    std::string job_id;
    Handler done;
  };
  void lookup_with_attempts(const std::string& job_id, int attempts_left, const Handler& done);
  void lookup_in_index(const std::string& job_id, Handler done);
  void on_index_lookup(const std::string& job_id, const JobIndex::Lookup& index_result, const Handler& done);
  void enqueue_check(const std::string& job_id, Handler done);
  void send_checks();
  void on_checked(std::vector<PendingCheck> checked, const kv_client::CommitReply& reply);
  void read_records(const std::string& job_id, const Handler& done);
  void read_final_record(const std::string& job_id, time::Instant request_sent_at, const Handler& done);
  void cache_final_state(const std::string& job_id, const JobState& state);
  JobState live_state(const std::string& job_id, bool cancelled) const;

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  ReadConsistency& consistency_;
  JobIndex index_;
  std::unordered_map<std::string, TaskCounts> task_counts_;  ///< of live jobs, by job identifier
  BoundedCache<JobState> final_states_;
  BoundedCache<CachedRecord> cached_records_;
  std::deque<PendingCheck> pending_checks_;
  bool check_scheduled_ = false;  ///< a comparison is scheduled or in progress
};

}  // namespace wrenusher::job_api
