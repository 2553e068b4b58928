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

/// Live jobs grow with machines: 0.65 a machine, so some 7,200 at 11,000 machines. What is dropped is read
/// again.
constexpr std::size_t kMaxCachedFinalStates = 12000;
constexpr std::size_t kMaxKnownRecords = 12000;
/// Lookups that wait for a comparison; one more is refused at once.
constexpr std::size_t kMaxChecks = 12000;
/// Lookups that come this close together share a comparison; more gather while one is under way.
constexpr Micros kGatherInterval = from_millis(10);
/// How often the key-value store is asked for an answer that may be given.
constexpr int kReadTries = 3;

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
      known_records_(kMaxKnownRecords) {
  index_.on_ended = [this](const std::string& job_id, const std::string& state, std::uint64_t done) {
    remember_final_state(job_id, {state, done, 0});
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

void JobLookup::remember_final_state(const std::string& job_id, const JobState& state) {
  consistency_.observe(job_id, JobStage::finished, runtime_.now());
  final_states_.insert(job_id, state);
}

void JobLookup::remember_record(const std::string& job_id, std::uint64_t mod_revision, bool cancelled) {
  consistency_.observe(job_id, cancelled ? JobStage::finished : JobStage::accepted, runtime_.now());
  const KnownRecord record{mod_revision, cancelled};
  KnownRecord* known = known_records_.find(job_id);
  if (known == nullptr) {
    known_records_.insert(job_id, record);
  } else if (mod_revision > known->mod_revision) {
    // Answers of the key-value store may overtake one another: a known revision never goes back.
    *known = record;
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
  const KnownRecord* known = known_records_.find(job_id);
  return live_state(job_id, known != nullptr && known->cancelled);
}

/// With a read for every poll, a few hundred users would take all the requests a second that the key-value
/// store allows.
void JobLookup::lookup(const std::string& job_id, Handler done) {
  if (const JobState* final_state = final_states_.find(job_id)) {
    done(LookupResult::found(*final_state, runtime_.now()));
  } else if (index_.complete()) {
    lookup_in_index(job_id, std::move(done));
  } else if (!known_records_.contains(job_id)) {
    read_records(job_id, done);
  } else {
    enqueue_check(job_id, std::move(done));
  }
}

void JobLookup::lookup_consistent(const std::string& job_id, const Handler& done) {
  lookup_with_tries(job_id, kReadTries, done);
}

void JobLookup::lookup_with_tries(const std::string& job_id, int tries, const Handler& done) {
  if (tries == 0) {
    done(LookupResult::failure(LookupError::outdated));
    return;
  }
  lookup(job_id, [this, job_id, tries, done](const LookupResult& found) {
    const JobStage stage = found.state ? stage_of(*found.state) : JobStage::absent;
    if (found.error || consistency_.may_answer(job_id, stage, found.asked_at, runtime_.now())) {
      done(found);
    } else {
      lookup_with_tries(job_id, tries - 1, done);
    }
  });
}

void JobLookup::lookup_in_index(const std::string& job_id, Handler done) {
  if (!index_.has_room()) {
    done(LookupResult::failure(LookupError::queue_full));
    return;
  }
  index_.query(job_id, [this, job_id, done = std::move(done)](const JobIndex::Lookup& answer) {
    on_index_lookup(job_id, answer, done);
  });
}

void JobLookup::on_index_lookup(const std::string& job_id, const JobIndex::Lookup& answer,
                                const Handler& done) {
  if (const JobState* final_state = final_states_.find(job_id)) {
    done(LookupResult::found(*final_state, answer.asked_at));
    return;
  }
  switch (answer.presence) {
    case JobIndex::Presence::live:
    case JobIndex::Presence::cancelled:
      done(LookupResult::found(live_state(job_id, answer.presence == JobIndex::Presence::cancelled),
                               answer.asked_at));
      break;
    case JobIndex::Presence::absent:
      read_records(job_id, done);
      break;
    case JobIndex::Presence::failed:
      // An index that was dropped meanwhile is done without.
      if (index_.complete()) {
        done(LookupResult::failure(LookupError::store_failed));
      } else {
        lookup(job_id, done);
      }
      break;
  }
}

void JobLookup::enqueue_check(const std::string& job_id, Handler done) {
  if (checks_.size() >= kMaxChecks) {
    done(LookupResult::failure(LookupError::queue_full));
    return;
  }
  checks_.push_back({job_id, std::move(done)});
  if (std::exchange(checking_, true)) return;
  runtime_.after(kGatherInterval, [this] { send_checks(); });
}

/// One compare-and-swap that writes nothing: it succeeds where no compared record has changed.
void JobLookup::send_checks() {
  std::vector<PendingCheck> batch;
  std::map<std::string, std::uint64_t> revisions;
  while (!checks_.empty() && revisions.size() < settings_.txn_ops * 4) {
    PendingCheck check = std::move(checks_.front());
    checks_.pop_front();
    if (const KnownRecord* known = known_records_.find(check.job_id)) {
      revisions.emplace(records::job_key(check.job_id), known->mod_revision);
      batch.push_back(std::move(check));
    } else {
      lookup(check.job_id, std::move(check.done));
    }
  }
  if (batch.empty()) {
    checking_ = false;
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
    const bool known = known_records_.contains(check.job_id);
    if (reply.result == CommitReply::Result::committed && known) {
      check.done(LookupResult::found(newest_state(check.job_id), reply.sent_at));
    } else if (reply.result == CommitReply::Result::conflict) {
      // What has changed is read anew; the rest is asked once more, since nothing says that it was compared.
      const bool changed =
          reply.failed_keys.empty() || std::find(reply.failed_keys.begin(), reply.failed_keys.end(),
                                                 records::job_key(check.job_id)) != reply.failed_keys.end();
      if (changed || !known) {
        read_records(check.job_id, check.done);
      } else {
        checks_.push_front(std::move(check));
      }
    } else {
      check.done(LookupResult::failure(LookupError::store_failed));
    }
  }
}

/// First the live record, then the final one: a job moves only from the first to the second, in one
/// transaction, so a job that exists is seen in one of them.
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
               remember_record(job_id, reply.rows[0].mod_revision, is_cancelled(reply.rows[0].value));
               done(LookupResult::found(newest_state(job_id), reply.sent_at));
             });
}

/// `asked_at`: when the live record was asked for. It counts for the answer "no such job" as well, since the
/// job may have been accepted between the two reads.
void JobLookup::read_final_record(const std::string& job_id, Instant asked_at, const Handler& done) {
  store_.get(records::final_state_key(job_id), KvClient::RequestClass::user,
             [this, job_id, done, asked_at](const ReadReply& reply) {
               if (reply.result != ReadReply::Result::ok) {
                 done(read_failure(reply));
                 return;
               }
               if (reply.rows.empty()) {
                 done(LookupResult::absent(asked_at));
                 return;
               }
               const JobState state = read_final_state(reply.rows[0].value);
               remember_final_state(job_id, state);
               done(LookupResult::found(state, asked_at));
             });
}

}  // namespace wrenusher::job_api
