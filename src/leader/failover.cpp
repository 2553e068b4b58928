#include "wrenusher/leader/failover.hpp"

#include <optional>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::leader {

namespace {

constexpr int kShardPageSize = 400;
constexpr time::Micros kReadRetryDelay = time::from_millis(250);

void log_unreadable(const std::string& key) {
  log::error("record_unreadable", "record {key} cannot be read", log::with("key", key));
}

}  // namespace

bool add_stored_job(JobTable& jobs, const KeyValue& row) {
  const auto job_id = records::parse_job_key(row.key);
  auto record = job_id ? records::read_job(row.value) : std::nullopt;
  if (!record) {
    log_unreadable(row.key);
    return false;
  }
  jobs.add(*job_id, std::move(*record), row.mod_revision);
  return true;
}

void Failover::start_reading(std::function<void(std::uint64_t revision)> done) {
  auto reading = std::make_shared<ReadState>();
  reading->generation = ++generation_;
  reading->done = std::move(done);
  read_page(reading);
}

void Failover::read_page(const std::shared_ptr<ReadState>& reading) {
  store_.list(reading->reading_shards ? "claims/" : "job/", reading->next_key, kShardPageSize,
              KvClient::RequestClass::scheduling, [this, reading](const kv_client::ReadReply& page) {
                if (reading->generation != generation_) return;
                if (page.result == kv_client::ReadReply::Result::ok) {
                  on_page(reading, page);
                  return;
                }
                runtime_.after(kReadRetryDelay, [this, reading] {
                  if (reading->generation == generation_) read_page(reading);
                });
              });
}

void Failover::on_page(const std::shared_ptr<ReadState>& reading, const kv_client::ReadReply& page) {
  if (reading->revision == 0) reading->revision = page.revision;
  for (const KeyValue& row : page.rows) {
    if (reading->reading_shards) {
      read_shard_row(reading->blocks, row);
    } else {
      // A record that cannot be read has been logged and is skipped.
      static_cast<void>(add_stored_job(jobs_, row));
    }
    reading->next_key = row.key;
  }
  if (page.truncated && !page.rows.empty()) {
    read_page(reading);
  } else if (!reading->reading_shards) {
    reading->reading_shards = true;
    reading->next_key.clear();
    read_page(reading);
  } else {
    restore_blocks(reading->blocks);
    reading->done(reading->revision);
  }
}

void Failover::read_shard_row(NewestBlocks& blocks, const KeyValue& row) {
  const auto shard_number = records::parse_shard_key(row.key);
  std::size_t unreadable = 0;
  auto stored = shard_number ? records::read_shard(row.value, *shard_number, unreadable) : std::nullopt;
  if (!stored || unreadable > 0) log_unreadable(row.key);
  if (stored) add_shard(blocks, *shard_number, {row.mod_revision, std::move(*stored)});
}

/// Keeps the newest copy of every block of a live job.
void Failover::add_shard(NewestBlocks& blocks, std::uint32_t shard_number,
                         const records::RecordSnapshot::Shard& shard) {
  batcher_.restore_shard(shard_number, shard.mod_revision);
  for (const records::StoredBlock& stored : shard.blocks) {
    const Job* job = jobs_.find(stored.id.job_id);
    if (job == nullptr || stored.id.block >= job->blocks.size()) continue;  // its job has finished
    FoundBlock& found = blocks[{stored.id.job_id, stored.id.block}];
    if (found.version >= stored.id.version) continue;
    if (!stored.within_task_count(job->spec().task_count)) {
      log_unreadable(records::shard_key(shard_number));
      continue;
    }
    found = {stored.id.version, shard_number, stored.state};
  }
}

void Failover::restore_blocks(const NewestBlocks& blocks) {
  for (const auto& [key, found] : blocks) {
    Job* job = jobs_.find(key.job_id);
    if (job == nullptr || found.version == 0) continue;
    jobs_.restore_block(*job, key.block, found.version, found.state);
    batcher_.restore_block(*job, key.block, found.shard);
  }
}

void Failover::load_replica(const records::RecordSnapshot& snapshot) {
  ++generation_;
  for (const auto& [job_id, stored] : snapshot.jobs) jobs_.add(job_id, stored.record, stored.mod_revision);
  NewestBlocks blocks;
  for (const auto& [shard_number, shard] : snapshot.shards) add_shard(blocks, shard_number, shard);
  restore_blocks(blocks);
}

}  // namespace wrenusher::leader
