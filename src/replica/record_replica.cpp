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

/// Rows of a page, which is decoded in one go while users' requests wait.
constexpr int kPageRows = 100;
constexpr Micros kPagePause = from_millis(100);
constexpr Micros kRetryPause = from_millis(700);
/// How long one watch waits for a change.
constexpr Micros kWatchTimeout = from_seconds(4);
/// Pause between two watches at least, and the part of the service's whole request rate that the two
/// partitions of a node may take.
constexpr Micros kMinWatchPause = from_millis(400);
constexpr double kRateShare = 0.03;
/// After the replica was discarded nothing is read for so long.
constexpr Micros kDiscardPause = from_seconds(2);
/// A replica that was not known to be current for so long is not complete.
constexpr Micros kMaxAge = from_seconds(8);

/// Whether the changes are those of the prefix after the revision, as was asked for.
bool fits(const WatchReply& reply, const std::string& prefix, std::uint64_t after_revision) {
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
  data_ = {};
  partitions_ = empty_partitions();
}

bool RecordReplica::complete() const {
  return running_ && std::all_of(partitions_.begin(), partitions_.end(), [this](const Partition& partition) {
           return partition.loaded && runtime_.now() - partition.current_at < kMaxAge;
         });
}

void RecordReplica::after(Micros pause, std::function<void()> action) {
  runtime_.after(pause, [this, generation = generation_, action = std::move(action)] {
    if (generation == generation_) action();
  });
}

/// Something does not fit: no replica is better than a wrong one.
void RecordReplica::discard(const char* reason) {
  log::info("replica_discarded", "the replica of the records is discarded: {reason}",
            log::with("reason", reason));
  stop();
  running_ = true;
  after(kDiscardPause, [this] { start(); });
}

// ---------------------------------------------------------------- reading by pages

void RecordReplica::load_page(Partition& partition) {
  if (!partition.first_revision) partition.asked_at = runtime_.now();
  store_.list(partition.prefix, partition.next_key, kPageRows, KvClient::RequestClass::background,
              [this, &partition, generation = generation_](const ReadReply& page) {
                if (generation != generation_) return;
                if (page.result == ReadReply::Result::ok) {
                  on_page(partition, page);
                } else {
                  after(kRetryPause, [this, &partition] { load_page(partition); });
                }
              });
}

void RecordReplica::on_page(Partition& partition, const ReadReply& page) {
  // Changes made while the pages are read are watched from the first one's revision on.
  if (!partition.first_revision) partition.first_revision = page.revision;
  if (page.revision < *partition.first_revision) {
    discard("the state service went back to an earlier revision");
    return;
  }
  for (const KeyValue& row : page.rows) {
    if (!apply_put(data_, row)) {
      discard("a record cannot be read");
      return;
    }
    partition.next_key = row.key;
  }
  if (page.truncated && !page.rows.empty()) {
    after(kPagePause, [this, &partition] { load_page(partition); });
    return;
  }
  on_loaded(partition);
}

void RecordReplica::on_loaded(Partition& partition) {
  partition.loaded = true;
  partition.applied_revision = *partition.first_revision;
  partition.current_at = runtime_.now();
  const bool is_jobs = &partition == &job_partition();
  if (is_jobs && cancellations_read) {
    std::vector<std::string> cancelled;
    for (const auto& [job_id, job] : data_.jobs) {
      if (job.record.cancelled) cancelled.push_back(job_id);
    }
    cancellations_read(partition.asked_at, std::move(cancelled));
  }
  watch(partition);
  if (is_jobs) load_page(shard_partition());
}

// ---------------------------------------------------------------- watching

Micros RecordReplica::watch_pause() const {
  const auto partition_count = static_cast<double>(partitions_.size());
  return std::max(kMinWatchPause, from_seconds(partition_count / (settings_.state_rps * kRateShare)));
}

void RecordReplica::watch(Partition& partition) {
  store_.watch(
      partition.prefix, partition.applied_revision, kWatchTimeout, KvClient::RequestClass::background,
      [this, &partition, generation = generation_, asked_at = runtime_.now()](const WatchReply& reply) {
        if (generation != generation_ || !apply(partition, reply)) return;
        const bool is_ok = reply.result == WatchReply::Result::ok;
        if (is_ok && &partition == &job_partition()) publish_cancellations(asked_at, reply.puts);
        after(is_ok ? watch_pause() : kRetryPause, [this, &partition] { watch(partition); });
      });
}

bool RecordReplica::apply(Partition& partition, const WatchReply& reply) {
  switch (reply.result) {
    case WatchReply::Result::ok:
      break;
    case WatchReply::Result::failed:
      return true;
    case WatchReply::Result::too_old:
      discard("the state service does not have the changes any more");
      return false;
    case WatchReply::Result::too_large:
      discard("too much has changed since the last watch");
      return false;
  }
  if (!fits(reply, partition.prefix, partition.applied_revision)) {
    // A service that began anew counts from an earlier revision, or sends changes that nobody asked for.
    discard("the state service sends changes of other revisions than were asked for");
    return false;
  }
  for (const KeyValue& row : reply.puts) {
    if (!apply_put(data_, row)) {
      discard("a record cannot be read");
      return false;
    }
  }
  for (const Deletion& deletion : reply.deletes) apply_delete(data_, deletion.key, deletion.mod_revision);
  partition.applied_revision = reply.revision;
  partition.current_at = runtime_.now();
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

void RecordReplica::publish_cancellations(Instant asked_at, const std::vector<KeyValue>& puts) const {
  if (!cancellations_read) return;
  std::vector<std::string> cancelled;
  for (const KeyValue& row : puts) {
    if (auto job_id = records::cancelled_job(row.key, row.value)) cancelled.push_back(std::move(*job_id));
  }
  cancellations_read(asked_at, std::move(cancelled));
}

// ---------------------------------------------------------------- handing over

void RecordReplica::hand_over(std::uint64_t min_revision, const SnapshotHandler& done) {
  if (!complete()) {
    stop();
    done(nullptr);
    return;
  }
  // The replies to watches under way are not waited for.
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
  if (!is_current || !apply(partition, reply)) {
    stop();
    hand_over->done(nullptr);
    return;
  }
  if (--hand_over->partitions_left > 0) return;
  auto snapshot = std::make_shared<RecordSnapshot>(std::move(data_));
  snapshot->revision = job_partition().applied_revision;
  stop();
  hand_over->done(std::move(snapshot));
}

}  // namespace wrenusher::replica
