#include "wrenusher/replica/record_replica.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::replica {

namespace {

/// A page is decoded in one go, while users' requests wait.
constexpr int kPage = 100;
constexpr Micros kPagePause = from_millis(100);
constexpr Micros kRetry = from_millis(700);
constexpr Micros kDepartedMemory = from_seconds(4);
/// Between two follows at least, and the part of the whole pace that the two of a node may take.
constexpr Micros kFollowPause = from_millis(400);
constexpr double kPacePart = 0.03;
/// After a doubt nothing is read for so long.
constexpr Micros kDoubtPause = from_seconds(2);
constexpr Micros kReplicaFreshness = from_seconds(8);

}  // namespace

bool apply_put(records::RecordSnapshot& snapshot, const KeyValue& row) {
  if (const auto job_id = records::parse_job_key(row.key)) {
    auto rec = records::read_job(row.value);
    if (!rec) return false;
    records::RecordSnapshot::StoredJob& root = snapshot.jobs[*job_id];
    if (row.mod_revision >= root.mod_revision) root = {std::move(*rec), row.mod_revision};
    return true;
  }
  const auto slot = records::parse_shard_key(row.key);
  if (!slot) return false;
  std::size_t unreadable = 0;
  auto blocks = records::read_shard(row.value, *slot, unreadable);
  if (!blocks || unreadable > 0) return false;
  records::RecordSnapshot::Shard& there = snapshot.shards[*slot];
  if (row.mod_revision >= there.mod_revision) there = {row.mod_revision, std::move(*blocks)};
  return true;
}

void apply_delete(records::RecordSnapshot& snapshot, const std::string& key, std::uint64_t mod_revision) {
  if (const auto job_id = records::parse_job_key(key)) {
    const auto it = snapshot.jobs.find(*job_id);
    if (it != snapshot.jobs.end() && it->second.mod_revision < mod_revision) snapshot.jobs.erase(it);
  } else if (const auto slot = records::parse_shard_key(key)) {
    const auto it = snapshot.shards.find(*slot);
    if (it != snapshot.shards.end() && it->second.mod_revision < mod_revision) snapshot.shards.erase(it);
  }
}

void RecordReplica::start() {
  stop();
  running_ = true;
  load_page(partitions_[0]);
}

void RecordReplica::stop() {
  ++generation_;
  running_ = false;
  data_ = {};
  // With the data goes the word that it is all there.
  for (Partition& partition : partitions_) partition = {partition.prefix, 0, {}, {}, false, {}, {}};
}

bool RecordReplica::complete() const {
  return running_ && std::all_of(partitions_.begin(), partitions_.end(), [this](const Partition& partition) {
           return partition.loaded && runtime_.now() - partition.current_at < kReplicaFreshness;
         });
}

/// Something does not fit: better nothing than a copy that is wrong.
void RecordReplica::discard(const char* why) {
  log::info("standby_cold", "the copy of the records is thrown away: {reason}", log::with("reason", why));
  stop();
  running_ = true;
  runtime_.after(kDoubtPause, [this, generation = generation_] {
    if (generation == generation_) start();
  });
}

Micros RecordReplica::pause() const {
  return std::max(kFollowPause, from_seconds(2 / (settings_.state_rps * kPacePart)));
}

void RecordReplica::load_page(Partition& partition) {
  if (!partition.first_revision) partition.asked_at = runtime_.now();
  store_.list(partition.prefix, partition.next_key, kPage, KvClient::RequestClass::background,
              [this, &partition, generation = generation_](const ReadReply& page) {
                if (generation != generation_) return;
                if (page.result == ReadReply::Result::ok) {
                  on_page(partition, page);
                  return;
                }
                runtime_.after(kRetry, [this, &partition, generation] {
                  if (generation == generation_) load_page(partition);
                });
              });
}

void RecordReplica::on_page(Partition& partition, const ReadReply& page) {
  // What changes while the pages are read is followed from the first one's revision.
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
    runtime_.after(kPagePause, [this, &partition, generation = generation_] {
      if (generation == generation_) load_page(partition);
    });
    return;
  }
  partition.loaded = true;
  partition.applied_revision = *partition.first_revision;
  partition.current_at = runtime_.now();
  if (&partition == &partitions_[0] && on_jobs) {
    std::vector<std::string> cancelled;
    for (const auto& [ref, root] : data_.jobs) {
      if (root.record.cancelled) cancelled.push_back(ref);
    }
    on_jobs(partition.asked_at, std::move(cancelled));
  }
  watch(partition);
  if (&partition == &partitions_[0]) load_page(partitions_[1]);
}

void RecordReplica::publish_jobs(const Partition& partition, Instant asked,
                                 const std::vector<KeyValue>& puts) {
  if (&partition != &partitions_[0] || !on_jobs) return;
  std::vector<std::string> cancelled;
  for (const KeyValue& row : puts) {
    if (auto job_id = records::cancelled_job(row.key, row.value)) cancelled.push_back(std::move(*job_id));
  }
  on_jobs(asked, std::move(cancelled));
}

void RecordReplica::watch(Partition& partition) {
  store_.watch(partition.prefix, partition.applied_revision, kDepartedMemory,
               KvClient::RequestClass::background,
               [this, &partition, generation = generation_, asked = runtime_.now()](const WatchReply& reply) {
                 if (generation != generation_ || !apply(partition, reply)) return;
                 const bool good = reply.result == WatchReply::Result::ok;
                 if (good) publish_jobs(partition, asked, reply.puts);
                 runtime_.after(good ? pause() : kRetry, [this, &partition, generation] {
                   if (generation == generation_) watch(partition);
                 });
               });
}

/// Brings a part up to what a follow brought; false, and the copy is thrown away, when it does not fit.
bool RecordReplica::apply(Partition& partition, const WatchReply& reply) {
  if (reply.result == WatchReply::Result::failed) return true;
  if (reply.result == WatchReply::Result::too_old || reply.result == WatchReply::Result::too_large) {
    discard(reply.result == WatchReply::Result::too_old ? "the state service has the changes no more"
                                                        : "too much has changed since it was last followed");
    return false;
  }
  // A service that began anew counts from an earlier revision, or tells changes that nobody asked for.
  bool fits = reply.revision >= partition.applied_revision;
  const auto within = [&](std::uint64_t mod_revision) {
    return mod_revision > partition.applied_revision && mod_revision <= reply.revision;
  };
  for (const KeyValue& row : reply.puts)
    fits = fits && within(row.mod_revision) && row.key.starts_with(partition.prefix);
  for (const auto& [key, stamp] : reply.deletes)
    fits = fits && within(stamp) && key.starts_with(partition.prefix);
  if (!fits) {
    discard("the state service tells changes of other revisions than were asked for");
    return false;
  }
  for (const KeyValue& row : reply.puts) {
    if (!apply_put(data_, row)) {
      discard("a record cannot be read");
      return false;
    }
  }
  for (const auto& [key, stamp] : reply.deletes) apply_delete(data_, key, stamp);
  partition.applied_revision = reply.revision;
  partition.current_at = runtime_.now();
  if (&partition == &partitions_[0] && on_followed) {
    events::RecordsChanged followed;
    for (const KeyValue& row : reply.puts) followed.put(row.key, row.value);
    for (const auto& [key, stamp] : reply.deletes) followed.erase(key);
    on_followed(followed);
  }
  return true;
}

void RecordReplica::hand_over(std::uint64_t least,
                              std::function<void(std::shared_ptr<records::RecordSnapshot>)> done) {
  if (!complete()) {
    stop();
    done(nullptr);
    return;
  }
  // Follows that are open belong to the past from here on.
  const std::uint64_t generation = ++generation_;
  running_ = false;
  auto left = std::make_shared<int>(2);
  for (Partition& partition : partitions_) {
    store_.watch(
        partition.prefix, partition.applied_revision, Micros{0}, KvClient::RequestClass::scheduling,
        [this, &partition, least, left, done, generation](const WatchReply& reply) {
          if (generation != generation_) return;
          if (reply.result != WatchReply::Result::ok || reply.revision < least || !apply(partition, reply)) {
            stop();
            done(nullptr);
            return;
          }
          if (--*left > 0) return;
          auto out = std::make_shared<records::RecordSnapshot>(std::move(data_));
          out->revision = partitions_[0].applied_revision;
          stop();
          done(std::move(out));
        });
  }
}

}  // namespace wrenusher::replica
