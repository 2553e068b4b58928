#include "wrenusher/replica/snapshot_changes.hpp"

#include <utility>

namespace wrenusher::replica {

using kv_client::KeyValue;
using records::RecordSnapshot;

namespace {

bool put_job(RecordSnapshot& snapshot, const std::string& job_id, const KeyValue& row) {
  auto record = records::read_job(row.value);
  if (!record) return false;
  RecordSnapshot::StoredJob& job = snapshot.jobs[job_id];
  if (row.mod_revision >= job.mod_revision) job = {std::move(*record), row.mod_revision};
  return true;
}

bool put_shard(RecordSnapshot& snapshot, std::uint32_t number, const KeyValue& row) {
  std::size_t unreadable = 0;
  auto blocks = records::read_shard(row.value, number, unreadable);
  if (!blocks || unreadable > 0) return false;
  RecordSnapshot::Shard& shard = snapshot.shards[number];
  if (row.mod_revision >= shard.mod_revision) shard = {row.mod_revision, std::move(*blocks)};
  return true;
}

template <typename Records, typename Key>
void erase_older(Records& records, const Key& key, std::uint64_t mod_revision) {
  const auto it = records.find(key);
  if (it != records.end() && it->second.mod_revision < mod_revision) records.erase(it);
}

}  // namespace

bool apply_put(RecordSnapshot& snapshot, const KeyValue& row) {
  if (const auto job_id = records::parse_job_key(row.key)) return put_job(snapshot, *job_id, row);
  const auto shard = records::parse_shard_key(row.key);
  return shard && put_shard(snapshot, *shard, row);
}

void apply_delete(RecordSnapshot& snapshot, const std::string& key, std::uint64_t mod_revision) {
  if (const auto job_id = records::parse_job_key(key)) {
    erase_older(snapshot.jobs, *job_id, mod_revision);
  } else if (const auto shard = records::parse_shard_key(key)) {
    erase_older(snapshot.shards, *shard, mod_revision);
  }
}

}  // namespace wrenusher::replica
