// The leader's copy of the records: loads them when a term begins, watches them for changes and refreshes
// single jobs.

#include <algorithm>
#include <utility>

#include "wrenusher/leader/leader_actor.hpp"
#include "wrenusher/log/log.hpp"

namespace wrenusher::leader {

using kv_client::ReadReply;
using kv_client::WatchReply;

namespace {

/// How long a watch stays open at the state service. This node's copy of the records is at most as old as the
/// last answered watch.
constexpr Micros kWatchTimeout = time::from_seconds(2);
/// Pause between two watches, which batches the change notifications of this node's own writes.
constexpr Micros kWatchPause = time::from_millis(100);
constexpr Micros kReadRetryDelay = time::from_millis(250);
constexpr int kMissedJobsPageSize = 100;
constexpr Micros kMissedJobsPagePause = time::from_millis(500);

/// Returns whether the stored root record of a job is marked as cancelled by a user.
bool is_cancelled(const KeyValue& row) {
  return records::cancelled_job(row.key, row.value).has_value();
}

}  // namespace

void LeaderActor::read_records() {
  failover_.start_reading([this](std::uint64_t revision) { on_records_loaded(revision, false); });
}

void LeaderActor::on_replica_verified(const events::ReplicaVerified& event) {
  if (!leading_term(event.term) || records_loaded_) return;
  if (!event.snapshot) {
    read_records();
    return;
  }
  failover_.load_replica(*event.snapshot);
  on_records_loaded(event.snapshot->revision, true);
  find_missed_jobs({}, term_.fencing_token);
}

void LeaderActor::find_missed_jobs(const std::string& after_key, std::uint64_t fencing_token) {
  store_.list(records::kJobPrefix, after_key, kMissedJobsPageSize, KvClient::RequestClass::background,
              [this, after_key, fencing_token](const ReadReply& page) {
                if (!serving_term(fencing_token)) return;
                std::string last_key = after_key;
                for (const KeyValue& row : page.rows) {
                  last_key = row.key;
                  const auto job_id = records::parse_job_key(row.key);
                  // A job that has finished since the page was read is added temporarily: committing its
                  // assignments or its final state fails because its root record has been deleted.
                  if (job_id && jobs_.find(*job_id) == nullptr) add_job(row);
                }
                if (page.result == ReadReply::Result::ok && !page.truncated) return;
                runtime_.after(kMissedJobsPagePause, [this, last_key, fencing_token] {
                  if (serving_term(fencing_token)) find_missed_jobs(last_key, fencing_token);
                });
              });
}

void LeaderActor::on_records_loaded(std::uint64_t revision, bool from_replica) {
  records_loaded_ = true;
  std::size_t assignments = 0;
  for (const auto& [host, machine] : machines_.all()) {
    assignments += machine.use.assignments;
    failover_timer_.expect_machine(host);
  }
  failover_timer_.on_records_loaded(from_replica, runtime_.now());
  hint_adopter_.adopt_failures(jobs_);
  log_records_loaded(assignments, from_replica);
  report_inherited_cancellations();
  for (const auto& [host, report] : std::exchange(early_reports_, {})) on_report(report);
  records_revision_ = revision;
  watch_records(term_.fencing_token);
}

void LeaderActor::log_records_loaded(std::size_t assignments, bool from_replica) const {
  log::info("records_loaded",
            "term {term}: {jobs} live jobs and {assignments} assignments loaded from the {source} in "
            "{seconds:.2f} s",
            log::with("term", term_.fencing_token), log::with("jobs", jobs_.jobs().size()),
            log::with("assignments", assignments), log::with("source", from_replica ? "replica" : "store"),
            log::with("seconds", time::to_seconds(runtime_.now() - term_began_)));
}

void LeaderActor::report_inherited_cancellations() {
  events::CancellationsRead cancellations{term_began_, {}};
  for (const auto& [job_id, job] : jobs_.jobs()) {
    if (job.record.cancelled) cancellations.job_ids.push_back(job_id);
  }
  cancellations_read(cancellations);
}

void LeaderActor::watch_records(std::uint64_t fencing_token) {
  store_.watch(
      records::kJobPrefix, records_revision_, kWatchTimeout, KvClient::RequestClass::lease,
      [this, fencing_token, requested_at = runtime_.now()](const WatchReply& reply) {
        if (!serving_term(fencing_token)) return;
        if (reply.result == WatchReply::Result::too_old || reply.result == WatchReply::Result::too_large) {
          log::warn("watch_changes_missed", "the watch missed changes; reading all live jobs again");
          reset();
          read_records();
          return;
        }
        if (reply.result == WatchReply::Result::ok) on_watch_reply(reply, requested_at);
        runtime_.after(kWatchPause, [this, fencing_token] {
          if (leading_term(fencing_token)) watch_records(fencing_token);
        });
      });
}

/// The watch above may wait at the state service for a change, so its reply only proves what the records were
/// when it was sent.
void LeaderActor::on_cancellations_needed(const events::CancellationsNeeded& /*event*/) {
  if (!serving() || reading_changes_) return;
  reading_changes_ = true;
  store_.watch(
      records::kJobPrefix, records_revision_, Micros{0}, KvClient::RequestClass::lease,
      [this, fencing_token = term_.fencing_token, requested_at = runtime_.now()](const WatchReply& reply) {
        reading_changes_ = false;
        if (serving_term(fencing_token) && reply.result == WatchReply::Result::ok)
          on_watch_reply(reply, requested_at);
      });
}

void LeaderActor::on_watch_reply(WatchReply reply, Instant requested_at) {
  drop_applied_changes(reply);
  records_revision_ = std::max(records_revision_, reply.revision);
  apply_watch(reply);
  events::CancellationsRead cancellations{requested_at, {}};
  for (const KeyValue& row : reply.puts) {
    if (auto job_id = records::cancelled_job(row.key, row.value))
      cancellations.job_ids.push_back(std::move(*job_id));
  }
  cancellations_read(cancellations);
}

/// Adds a job that is not in the job table yet.
void LeaderActor::add_job(const KeyValue& row) {
  if (add_stored_job(jobs_, row))
    log::debug("job_added", "job {job} was added", log::with("job", *records::parse_job_key(row.key)));
}

/// Drops the changes that another watch has returned already. A job that has been removed since would
/// otherwise be added again.
void LeaderActor::drop_applied_changes(WatchReply& reply) const {
  const auto is_applied = [this](const auto& change) { return change.mod_revision <= records_revision_; };
  std::erase_if(reply.puts, is_applied);
  std::erase_if(reply.deletes, is_applied);
}

void LeaderActor::apply_watch(const WatchReply& reply) {
  for (const KeyValue& row : reply.puts) {
    const auto job_id = records::parse_job_key(row.key);
    Job* job = job_id ? jobs_.find(*job_id) : nullptr;
    if (job == nullptr) {
      add_job(row);
    } else if (row.mod_revision > job->mod_revision) {
      // While a job is live, its root record only changes when a user cancels the job.
      job->mod_revision = row.mod_revision;
      if (is_cancelled(row)) cancel_job(*job);
    }
  }
  events::RecordsChanged changed;
  for (const KeyValue& row : reply.puts) changed.put(row.key, row.value);
  for (const auto& [key, mod_revision] : reply.deletes) changed.erase(key);
  records_changed(changed);
  request_cycle();
}

/// Reads a job's root record again after a commit with a conflict or an unknown outcome. The record may show
/// a cancellation, or may be absent because this node's write of the final state was executed.
void LeaderActor::refresh_job(const std::string& job_id) {
  Job* job = jobs_.find(job_id);
  if (job == nullptr) return;
  job->needs_refresh = true;
  store_.get(records::job_key(job_id), KvClient::RequestClass::scheduling,
             [this, job_id, fencing_token = term_.fencing_token](const ReadReply& reply) {
               if (!serving_term(fencing_token)) return;
               if (jobs_.find(job_id) == nullptr) return;
               if (reply.result != ReadReply::Result::ok) {
                 runtime_.after(kReadRetryDelay, [this, job_id, fencing_token] {
                   if (leading_term(fencing_token)) refresh_job(job_id);
                 });
                 return;
               }
               on_job_refreshed(job_id, reply);
             });
}

void LeaderActor::on_job_refreshed(const std::string& job_id, const ReadReply& reply) {
  if (reply.rows.empty()) {
    batcher_.remove(job_id);
    return;
  }
  Job& job = *jobs_.find(job_id);
  const KeyValue& row = reply.rows.front();
  job.mod_revision = row.mod_revision;
  job.needs_refresh = false;
  if (is_cancelled(row)) cancel_job(job);
  request_cycle();
}

void LeaderActor::on_job_cancelled(const events::JobCancelled& event) {
  if (!serving()) return;
  if (Job* job = jobs_.find(event.job_id)) cancel_job(*job);
}

void LeaderActor::cancel_job(Job& job) {
  if (job.record.cancelled) return;
  jobs_.cancel(job);
  for (auto& [host, commands] : jobs_.stop_job(job, Micros{0}))
    direct_commands(events::DirectCommands{host, std::move(commands)});
}

}  // namespace wrenusher::leader
