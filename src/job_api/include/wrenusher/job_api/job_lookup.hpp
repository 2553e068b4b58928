#pragma once
// Finds the state of one job, at the least cost to the key-value store that is possible at the moment.

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

/// Why the state of a job could not be found.
enum class LookupError {
  store_failed,  ///< the key-value store gave no answer that this can be decided by
  queue_full,    ///< too many requests wait here already: the store was not asked
  outdated       ///< every answer of the store was older than what some node may have told a user
};

/// What a lookup found: an error, no such job, or the job's state.
struct LookupResult {
  std::optional<LookupError> error;
  std::optional<JobState> state;  ///< nothing: no such job, where there is no error
  time::Instant asked_at{};       ///< when the key-value store was asked: it was so then, or later

  static LookupResult failure(LookupError error) { return {error, std::nullopt, {}}; }
  static LookupResult found(JobState state, time::Instant asked_at) {
    return {std::nullopt, std::move(state), asked_at};
  }
  static LookupResult absent(time::Instant asked_at) { return {std::nullopt, std::nullopt, asked_at}; }
};

/// Answers "what state is this job in". Final states come from memory, since they never change. Live jobs
/// come from the index of live jobs (JobIndex) while it is complete. Without it, a record that was read
/// before is only compared by its revision, many in one request; only what has changed or is new is read by
/// itself.
///
/// Owns the index, the caches of final states and live records, and the task counts that the leader
/// publishes. The key-value store's client and ReadConsistency must outlive it. Single-threaded: called from
/// the runtime's loop only.
class JobLookup {
 public:
  using Handler = std::function<void(const LookupResult&)>;

  JobLookup(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store,
            ReadConsistency& consistency);

  /// Begins to read the live jobs, so that lookups can be answered from the index.
  void start() { index_.load(); }

  /// Calls `done` once, at once or later, with the state that the key-value store has now.
  void lookup(const std::string& job_id, Handler done);
  /// The same, asked again as long as some node may have told a user of a newer state meanwhile.
  void lookup_consistent(const std::string& job_id, const Handler& done);

  /// The record of a live job was read or written at this revision.
  void remember_record(const std::string& job_id, std::uint64_t mod_revision, bool cancelled);
  /// The state of a live job whose record has just been read or compared. That answer may have been overtaken
  /// by newer ones, by which this node has told users more already.
  [[nodiscard]] JobState newest_state(const std::string& job_id) const;
  [[nodiscard]] bool has_final_state(const std::string& job_id) const {
    return final_states_.contains(job_id);
  }

  /// The leader has published the task counts of all live jobs, or of some.
  void on_progress(const events::Progress& progress);
  /// The live records have changed, as this node or a peer has seen.
  void on_records_changed(const events::RecordsChanged& event);

 private:
  /// A live record as it was last read.
  struct KnownRecord {
    std::uint64_t mod_revision = 0;
    bool cancelled = false;
  };
  struct TaskCounts {
    std::uint64_t done = 0;
    std::uint64_t running = 0;
  };
  /// A lookup that the next comparison of revisions settles.
  struct PendingCheck {
    std::string job_id;
    Handler done;
  };
  void lookup_with_tries(const std::string& job_id, int tries, const Handler& done);
  void lookup_in_index(const std::string& job_id, Handler done);
  void on_index_lookup(const std::string& job_id, const JobIndex::Lookup& answer, const Handler& done);
  void enqueue_check(const std::string& job_id, Handler done);
  void send_checks();
  void on_checked(std::vector<PendingCheck> checked, const kv_client::CommitReply& reply);
  void read_records(const std::string& job_id, const Handler& done);
  void read_final_record(const std::string& job_id, time::Instant asked_at, const Handler& done);
  void remember_final_state(const std::string& job_id, const JobState& state);
  JobState live_state(const std::string& job_id, bool cancelled) const;

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  ReadConsistency& consistency_;
  JobIndex index_;
  std::unordered_map<std::string, TaskCounts> task_counts_;  ///< of live jobs
  BoundedCache<JobState> final_states_;
  BoundedCache<KnownRecord> known_records_;
  std::deque<PendingCheck> checks_;
  bool checking_ = false;  ///< a comparison is scheduled or under way
};

}  // namespace wrenusher::job_api
