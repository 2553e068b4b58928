#include "wrenusher/job_api/job_lookup.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "wrenusher/records/records.hpp"

namespace wrenusher::job_api {

using events::JobStage;
using events::Progress;
using kv_client::CommitReply;
using kv_client::Condition;
using kv_client::KvClient;
using kv_client::ReadReply;
using time::from_millis;
using time::Instant;
using time::Micros;

namespace {

/// Maximum numbers of cached final states and live records. The number of live jobs grows with the number of
/// machines: 0.65 per machine, about 7,200 at 11,000 machines. Evicted entries are read again.
constexpr std::size_t kMaxCachedFinalStates = 12000;
constexpr std::size_t kMaxCachedRecords = 12000;
/// Maximum number of lookups that wait for a comparison. Further lookups are rejected immediately.
constexpr std::size_t kMaxPendingChecks = 12000;
/// Lookups that arrive within this time share a comparison. Lookups that arrive while a comparison is in
/// progress share the next one.
constexpr Micros kBatchInterval = from_millis(10);
/// Maximum number of lookups for one answer. A result that is too old to be sent is followed by another
/// lookup.
constexpr int kMaxReadAttempts = 3;

LookupResult read_failure(const ReadReply& reply) {
  return LookupResult::failure(reply.queue_full ? LookupError::queue_full : LookupError::store_failed);
}

}  // namespace

JobLookup::JobLookup(runtime::Runtime& runtime, const settings::Settings& settings, KvClient& store,
                     ReadConsistency& consistency)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      consistency_(consistency),
      index_(runtime, store),
      final_states_(kMaxCachedFinalStates),
      cached_records_(kMaxCachedRecords) {
  index_.on_ended = [this](const std::string& job_id, const std::string& state, std::uint64_t done) {
    cache_final_state(job_id, {state, done, 0});
  };
  index_.on_records_changed = [this](const events::RecordsChanged& event) { on_records_changed(event); };
}

void JobLookup::on_progress(const Progress& progress) {
  if (progress.job_range) {
    std::erase_if(task_counts_, [&](const auto& entry) { return progress.job_range->contains(entry.first); });
  } else {
    task_counts_.clear();
  }
  for (const Progress::Row& row : progress.rows) task_counts_[row.job_id] = {row.done, row.running};
}

void JobLookup::on_records_changed(const events::RecordsChanged& event) {
  for (const std::string& job_id : event.live)
    consistency_.observe(job_id, JobStage::accepted, runtime_.now());
  for (const std::string& job_id : event.ended)
    consistency_.observe(job_id, JobStage::finished, runtime_.now());
}

void JobLookup::cache_final_state(const std::string& job_id, const JobState& state) {
  consistency_.observe(job_id, JobStage::finished, runtime_.now());
  final_states_.insert(job_id, state);
}

void JobLookup::cache_record(const std::string& job_id, std::uint64_t mod_revision, bool cancelled) {
  consistency_.observe(job_id, cancelled ? JobStage::finished : JobStage::accepted, runtime_.now());
  const CachedRecord record{mod_revision, cancelled};
  CachedRecord* cached = cached_records_.find(job_id);
  if (cached == nullptr) {
    cached_records_.insert(job_id, record);
  } else if (mod_revision > cached->mod_revision) {
    // Replies of the key-value store can arrive out of order: a cached revision never decreases.
    *cached = record;
  }
}

JobState JobLookup::live_state(const std::string& job_id, bool cancelled) const {
  TaskCounts counts;
  if (const auto it = task_counts_.find(job_id); it != task_counts_.end()) counts = it->second;
  const char* status = kStatusPending;
  if (counts.running > 0) status = kStatusRunning;
  if (cancelled) status = kStatusCancelled;
  return {status, counts.done, counts.running};
}

JobState JobLookup::newest_state(const std::string& job_id) const {
  if (const JobState* final_state = final_states_.find(job_id)) return *final_state;
  const CachedRecord* cached = cached_records_.find(job_id);
  return live_state(job_id, cached != nullptr && cached->cancelled);
}

/// Uses caches and batches instead of one read per poll: with a read per poll, a few hundred users would use
/// up the rate limit of requests to the key-value store.
void JobLookup::lookup(const std::string& job_id, Handler done) {
  if (const JobState* final_state = final_states_.find(job_id)) {
    done(LookupResult::found(*final_state, runtime_.now()));
  } else if (index_.complete()) {
    lookup_in_index(job_id, std::move(done));
  } else if (!cached_records_.contains(job_id)) {
    read_records(job_id, done);
  } else {
    enqueue_check(job_id, std::move(done));
  }
}

void JobLookup::lookup_consistent(const std::string& job_id, const Handler& done) {
  lookup_with_attempts(job_id, kMaxReadAttempts, done);
}

void JobLookup::lookup_with_attempts(const std::string& job_id, int attempts_left, const Handler& done) {
  if (attempts_left == 0) {
    done(LookupResult::failure(LookupError::outdated));
    return;
  }
  lookup(job_id, [this, job_id, attempts_left, done](const LookupResult& result) {
    const JobStage stage = result.state ? stage_of(*result.state) : JobStage::absent;
    if (result.error || consistency_.may_answer(job_id, stage, result.request_sent_at, runtime_.now())) {
      done(result);
    } else {
      lookup_with_attempts(job_id, attempts_left - 1, done);
    }
  });
}

void JobLookup::lookup_in_index(const std::string& job_id, Handler done) {
  if (!index_.has_room()) {
    done(LookupResult::failure(LookupError::queue_full));
    return;
  }
  index_.query(job_id, [this, job_id, done = std::move(done)](const JobIndex::Lookup& index_result) {
    on_index_lookup(job_id, index_result, done);
  });
}

void JobLookup::on_index_lookup(const std::string& job_id, const JobIndex::Lookup& index_result,
                                const Handler& done) {
  if (const JobState* final_state = final_states_.find(job_id)) {
    done(LookupResult::found(*final_state, index_result.request_sent_at));
    return;
  }
  switch (index_result.presence) {
    case JobIndex::Presence::live:
    case JobIndex::Presence::cancelled:
      done(LookupResult::found(live_state(job_id, index_result.presence == JobIndex::Presence::cancelled),
                               index_result.request_sent_at));
      break;
    case JobIndex::Presence::absent:
      read_records(job_id, done);
      break;
    case JobIndex::Presence::failed:
      // If the index was dropped in the meantime, the lookup continues without it.
      if (index_.complete()) {
        done(LookupResult::failure(LookupError::store_failed));
      } else {
        lookup(job_id, done);
      }
      break;
  }
}

void JobLookup::enqueue_check(const std::string& job_id, Handler done) {
  if (pending_checks_.size() >= kMaxPendingChecks) {
    done(LookupResult::failure(LookupError::queue_full));
    return;
  }
  pending_checks_.push_back({job_id, std::move(done)});
  if (std::exchange(check_scheduled_, true)) return;
  runtime_.after(kBatchInterval, [this] { send_checks(); });
}

/// Sends one compare-and-swap that writes nothing: it succeeds if none of the compared records has changed.
void JobLookup::send_checks() {
  std::vector<PendingCheck> batch;
  std::map<std::string, std::uint64_t> revisions;
  while (!pending_checks_.empty() && revisions.size() < settings_.txn_ops * 4) {
    PendingCheck check = std::move(pending_checks_.front());
    pending_checks_.pop_front();
    if (const CachedRecord* cached = cached_records_.find(check.job_id)) {
      revisions.emplace(records::job_key(check.job_id), cached->mod_revision);
      batch.push_back(std::move(check));
    } else {
      lookup(check.job_id, std::move(check.done));
    }
  }
  if (batch.empty()) {
    check_scheduled_ = false;
    return;
  }
  std::vector<Condition> conditions;
  conditions.reserve(revisions.size());
  for (const auto& [key, mod_revision] : revisions) conditions.push_back({key, mod_revision});
  store_.commit(conditions, {}, KvClient::RequestClass::user,
                [this, batch = std::move(batch)](const CommitReply& reply) mutable {
                  on_checked(std::move(batch), reply);
                  send_checks();
                });
}

void JobLookup::on_checked(std::vector<PendingCheck> checked, const CommitReply& reply) {
  for (PendingCheck& check : checked) {
    const bool cached = cached_records_.contains(check.job_id);
    if (reply.result == CommitReply::Result::committed && cached) {
      check.done(LookupResult::found(newest_state(check.job_id), reply.sent_at));
    } else if (reply.result == CommitReply::Result::conflict) {
      // Records that have changed are read. The other ones are checked again: the reply doesn't guarantee
      // that they were compared.
      const bool changed =
          reply.failed_keys.empty() || std::find(reply.failed_keys.begin(), reply.failed_keys.end(),
                                                 records::job_key(check.job_id)) != reply.failed_keys.end();
      if (changed || !cached) {
        read_records(check.job_id, check.done);
      } else {
        pending_checks_.push_front(std::move(check));
      }
    } else {
      check.done(LookupResult::failure(LookupError::store_failed));
    }
  }
}

/// Reads the live record, and then the final record if there is no live one. A job moves only from the live
/// to the final record, in one transaction, so this order finds every job that exists.
void JobLookup::read_records(const std::string& job_id, const Handler& done) {
  store_.get(records::job_key(job_id), KvClient::RequestClass::user,
             [this, job_id, done](const ReadReply& reply) {
               if (reply.result != ReadReply::Result::ok) {
                 done(read_failure(reply));
                 return;
               }
               if (reply.rows.empty()) {
                 read_final_record(job_id, reply.sent_at, done);
                 return;
               }
               cache_record(job_id, reply.rows[0].mod_revision, is_cancelled(reply.rows[0].value));
               done(LookupResult::found(newest_state(job_id), reply.sent_at));
             });
}

/// `request_sent_at`: when the read of the live record was sent. It also applies to the result "no such job",
/// since the job may have been accepted between the two reads.
void JobLookup::read_final_record(const std::string& job_id, Instant request_sent_at, const Handler& done) {
  store_.get(records::final_state_key(job_id), KvClient::RequestClass::user,
             [this, job_id, done, request_sent_at](const ReadReply& reply) {
               if (reply.result != ReadReply::Result::ok) {
                 done(read_failure(reply));
                 return;
               }
               if (reply.rows.empty()) {
                 done(LookupResult::absent(request_sent_at));
                 return;
               }
               const JobState state = read_final_state(reply.rows[0].value);
               cache_final_state(job_id, state);
               done(LookupResult::found(state, request_sent_at));
             });
}

}  // namespace wrenusher::job_api
