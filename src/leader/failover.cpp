#include "wrenusher/leader/failover.hpp"

#include "wrenusher/log/log.hpp"

namespace wrenusher::leader {

namespace {

constexpr int kShardPageSize = 400;
constexpr Micros kRetryRead = from_millis(250);

void log_unreadable(const std::string& key) {
  log::error("record_unreadable", "record {key} cannot be read", log::with("key", key));
}

}  // namespace

bool add_stored_job(JobTable& jobs, const KeyValue& row) {
  const auto job_id = records::parse_job_key(row.key);
  auto rec = job_id ? records::read_job(row.value) : std::nullopt;
  if (!rec) {
    log_unreadable(row.key);
    return false;
  }
  jobs.add(*job_id, std::move(*rec), row.mod_revision);
  return true;
}

void Failover::start_reading(std::function<void(std::uint64_t revision)> done) {
  auto reading = std::make_shared<ReadState>();
  reading->generation = ++generation_;
  reading->done = std::move(done);
  read(reading);
}

void Failover::read(const std::shared_ptr<ReadState>& reading) {
  store_.list(reading->reading_shards ? "claims/" : "job/", reading->next_key, kShardPageSize,
              KvClient::RequestClass::scheduling, [this, reading](const ReadReply& page) {
                if (reading->generation != generation_) return;
                if (page.result == ReadReply::Result::ok) {
                  on_page(reading, page);
                  return;
                }
                runtime_.after(kRetryRead, [this, reading] {
                  if (reading->generation == generation_) read(reading);
                });
              });
}

void Failover::on_page(const std::shared_ptr<ReadState>& reading, const ReadReply& page) {
  if (reading->revision == 0) reading->revision = page.revision;
  for (const KeyValue& row : page.rows) {
    if (reading->reading_shards) {
      const auto slot = records::parse_shard_key(row.key);
      std::size_t unreadable = 0;
      auto blocks = slot ? records::read_shard(row.value, *slot, unreadable) : std::nullopt;
      if (!blocks || unreadable > 0) log_unreadable(row.key);
      if (blocks) read_shard_row(reading->blocks, *slot, {row.mod_revision, std::move(*blocks)});
    } else {
      add_stored_job(jobs_, row);
    }
    reading->next_key = row.key;
  }
  if (page.truncated && !page.rows.empty()) {
    read(reading);
  } else if (!reading->reading_shards) {
    reading->reading_shards = true;
    reading->next_key.clear();
    read(reading);
  } else {
    restore_blocks(reading->blocks);
    reading->done(reading->revision);
  }
}

/// Takes note of the newest copy of every block of a live job.
void Failover::read_shard_row(Blocks& blocks, std::uint32_t slot,
                              const records::RecordSnapshot::Shard& shard) {
  batcher_.restore_shard(slot, shard.mod_revision);
  for (const records::StoredBlock& stored : shard.blocks) {
    const Job* job = jobs_.find(stored.id.job_id);
    if (job == nullptr || stored.id.block >= job->blocks.size()) continue;  // its job is over
    FoundBlock& found = blocks[{stored.id.job_id, stored.id.block}];
    if (found.version >= stored.id.version) continue;
    if (!stored.within_task_count(job->spec().task_count)) {
      log_unreadable(records::shard_key(slot));
      continue;
    }
    found = {stored.id.version, slot, stored.state};
  }
}

void Failover::restore_blocks(const Blocks& blocks) {
  for (const auto& [id, found] : blocks) {
    Job* job = jobs_.find(id.first);
    if (job == nullptr || found.version == 0) continue;
    jobs_.restore_block(*job, id.second, found.version, found.state);
    batcher_.restore_block(*job, id.second, found.shard);
  }
}

void Failover::load_replica(const records::RecordSnapshot& copy) {
  ++generation_;
  for (const auto& [ref, root] : copy.jobs) jobs_.add(ref, root.record, root.mod_revision);
  Blocks blocks;
  for (const auto& [slot, s] : copy.shards) read_shard_row(blocks, slot, s);
  restore_blocks(blocks);
}

}  // namespace wrenusher::leader
