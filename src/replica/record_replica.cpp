#include "wrenusher/replica/record_replica.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::replica {

using kv_client::Deletion;
using kv_client::KeyValue;
using kv_client::ReadReply;
using kv_client::WatchReply;
using records::RecordSnapshot;
using time::from_millis;
using time::from_seconds;

namespace {

/// Rows per page. Kept small because users' requests wait while a page is decoded.
constexpr int kPageRows = 100;
constexpr Micros kPagePause = from_millis(100);
constexpr Micros kRetryPause = from_millis(700);
/// How long a watch waits for a change.
constexpr Micros kWatchTimeout = from_seconds(4);
/// Minimum pause between two watches of a partition.
constexpr Micros kMinWatchPause = from_millis(400);
/// Share of the state service's total request rate that the watches of a node's two partitions may use.
constexpr double kMaxWatchRateShare = 0.03;
/// Pause between discarding the replica and reading it again.
constexpr Micros kDiscardPause = from_seconds(2);
/// A replica is not complete if a partition was last current longer ago than this.
constexpr Micros kMaxReplicaAge = from_seconds(8);

/// Returns whether the reply is not older than the requested revision, and all its changes have the requested
/// prefix and are later than that revision.
bool matches_request(const WatchReply& reply, const std::string& prefix, std::uint64_t after_revision) {
  const auto is_expected = [&](const auto& change) {
    return change.mod_revision > after_revision && change.mod_revision <= reply.revision &&
           change.key.starts_with(prefix);
  };
  return reply.revision >= after_revision && std::all_of(reply.puts.begin(), reply.puts.end(), is_expected) &&
         std::all_of(reply.deletes.begin(), reply.deletes.end(), is_expected);
}

}  // namespace

std::array<RecordReplica::Partition, 2> RecordReplica::empty_partitions() {
  std::array<Partition, 2> partitions;
  partitions.front().prefix = records::kJobPrefix;
  partitions.back().prefix = records::kShardPrefix;
  return partitions;
}

void RecordReplica::start() {
  stop();
  running_ = true;
  load_page(job_partition());
}

void RecordReplica::stop() {
  ++generation_;
  running_ = false;
  snapshot_ = {};
  partitions_ = empty_partitions();
}

bool RecordReplica::complete() const {
  return running_ && std::all_of(partitions_.begin(), partitions_.end(), [this](const Partition& partition) {
           return partition.loaded && runtime_.now() - partition.last_current_at < kMaxReplicaAge;
         });
}

void RecordReplica::run_after(Micros pause, std::function<void()> action) {
  runtime_.after(pause, [this, generation = generation_, action = std::move(action)] {
    if (generation == generation_) action();
  });
}

/// Discards the replica after an inconsistency, since no replica is better than a wrong one, and reads it
/// again after a pause.
void RecordReplica::discard(const char* reason) {
  log::info("replica_discarded", "the replica of the records is discarded: {reason}",
            log::with("reason", reason));
  stop();
  running_ = true;
  run_after(kDiscardPause, [this] { start(); });
}

// ---------------------------------------------------------------- reading by pages

void RecordReplica::load_page(Partition& partition) {
  if (!partition.first_revision) partition.requested_at = runtime_.now();
  store_.list(partition.prefix, partition.next_key, kPageRows, KvClient::RequestClass::background,
              [this, &partition, generation = generation_](const ReadReply& page) {
                if (generation != generation_) return;
                if (page.result == ReadReply::Result::ok) {
                  on_page(partition, page);
                } else {
                  run_after(kRetryPause, [this, &partition] { load_page(partition); });
                }
              });
}

void RecordReplica::on_page(Partition& partition, const ReadReply& page) {
  // The watch starts at the first page's revision, so it includes changes made while the pages are read.
  if (!partition.first_revision) partition.first_revision = page.revision;
  if (page.revision < *partition.first_revision) {
    discard("the state service went back to an earlier revision");
    return;
  }
  for (const KeyValue& row : page.rows) {
    if (!apply_put(snapshot_, row)) {
      discard("a record cannot be read");
      return;
    }
    partition.next_key = row.key;
  }
  if (page.truncated && !page.rows.empty()) {
    run_after(kPagePause, [this, &partition] { load_page(partition); });
    return;
  }
  on_loaded(partition);
}

void RecordReplica::on_loaded(Partition& partition) {
  partition.loaded = true;
  partition.applied_revision = *partition.first_revision;
  partition.last_current_at = runtime_.now();
  const bool is_jobs = &partition == &job_partition();
  if (is_jobs && cancellations_read) {
    std::vector<std::string> cancelled;
    for (const auto& [job_id, job] : snapshot_.jobs) {
      if (job.record.cancelled) cancelled.push_back(job_id);
    }
    cancellations_read(partition.requested_at, std::move(cancelled));
  }
  watch(partition);
  if (is_jobs) load_page(shard_partition());
}

// ---------------------------------------------------------------- watching

Micros RecordReplica::watch_pause() const {
  const auto partition_count = static_cast<double>(partitions_.size());
  return std::max(kMinWatchPause, from_seconds(partition_count / (settings_.state_rps * kMaxWatchRateShare)));
}

void RecordReplica::watch(Partition& partition) {
  store_.watch(
      partition.prefix, partition.applied_revision, kWatchTimeout, KvClient::RequestClass::background,
      [this, &partition, generation = generation_, requested_at = runtime_.now()](const WatchReply& reply) {
        if (generation != generation_ || !apply_changes(partition, reply)) return;
        const bool is_ok = reply.result == WatchReply::Result::ok;
        if (is_ok && &partition == &job_partition()) publish_cancellations(requested_at, reply.puts);
        run_after(is_ok ? watch_pause() : kRetryPause, [this, &partition] { watch(partition); });
      });
}

bool RecordReplica::apply_changes(Partition& partition, const WatchReply& reply) {
  switch (reply.result) {
    case WatchReply::Result::ok:
      break;
    case WatchReply::Result::failed:
      return true;
    case WatchReply::Result::too_old:
      discard("the state service no longer has the changes");
      return false;
    case WatchReply::Result::too_large:
      discard("too much has changed since the last watch");
      return false;
  }
  if (!matches_request(reply, partition.prefix, partition.applied_revision)) {
    // A restarted service may count from an earlier revision or send changes that were not requested.
    discard("the state service sent changes of a revision or prefix that was not requested");
    return false;
  }
  for (const KeyValue& row : reply.puts) {
    if (!apply_put(snapshot_, row)) {
      discard("a record cannot be read");
      return false;
    }
  }
  for (const Deletion& deletion : reply.deletes) apply_delete(snapshot_, deletion.key, deletion.mod_revision);
  partition.applied_revision = reply.revision;
  partition.last_current_at = runtime_.now();
  if (&partition == &job_partition()) publish_changes(reply);
  return true;
}

void RecordReplica::publish_changes(const WatchReply& reply) const {
  if (!records_changed) return;
  events::RecordsChanged changes;
  for (const KeyValue& row : reply.puts) changes.put(row.key, row.value);
  for (const Deletion& deletion : reply.deletes) changes.erase(deletion.key);
  records_changed(changes);
}

void RecordReplica::publish_cancellations(Instant requested_at, const std::vector<KeyValue>& puts) const {
  if (!cancellations_read) return;
  std::vector<std::string> cancelled;
  for (const KeyValue& row : puts) {
    if (auto job_id = records::cancelled_job(row.key, row.value)) cancelled.push_back(std::move(*job_id));
  }
  cancellations_read(requested_at, std::move(cancelled));
}

// ---------------------------------------------------------------- handing over

void RecordReplica::hand_over(std::uint64_t min_revision, const SnapshotHandler& done) {
  if (!complete()) {
    stop();
    done(nullptr);
    return;
  }
  // Replies to watches in progress are ignored.
  ++generation_;
  running_ = false;
  const auto hand_over = std::make_shared<HandOver>(HandOver{min_revision, done, partitions_.size()});
  for (Partition& partition : partitions_) {
    store_.watch(partition.prefix, partition.applied_revision, Micros{0}, KvClient::RequestClass::scheduling,
                 [this, &partition, hand_over, generation = generation_](const WatchReply& reply) {
                   if (generation == generation_) on_last_changes(partition, hand_over, reply);
                 });
  }
}

void RecordReplica::on_last_changes(Partition& partition, const std::shared_ptr<HandOver>& hand_over,
                                    const WatchReply& reply) {
  const bool is_current = reply.result == WatchReply::Result::ok && reply.revision >= hand_over->min_revision;
  if (!is_current || !apply_changes(partition, reply)) {
    stop();
    hand_over->done(nullptr);
    return;
  }
  if (--hand_over->partitions_left > 0) return;
  auto snapshot = std::make_shared<RecordSnapshot>(std::move(snapshot_));
  snapshot->revision = job_partition().applied_revision;
  stop();
  hand_over->done(std::move(snapshot));
}

}  // namespace wrenusher::replica
