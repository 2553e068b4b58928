#include "wrenusher/commit_batcher/commit_batcher.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::commit_batcher {

namespace {

/// Bytes of a transaction that are filled, conditions included; the service takes 64 KiB.
constexpr std::size_t kTxnBytes = 60 * 1024;
constexpr std::size_t kConditionBytes = 48;
/// Values of blocks in one transaction.
constexpr std::size_t kMaxShardsPerCommit = 4;
/// Part of a transaction that final states may take.
constexpr std::size_t kFinalStateShare = 3;
/// Nothing new is written while so many slots stand in doubt: what a leader may have made beyond the slots
/// that others know of stays bounded, so that a standby can ask for it by name.
constexpr std::uint32_t kMaxUncertainShards = 8;
constexpr Micros kRetryCommit = from_millis(250);
constexpr Micros kRetryRead = from_millis(250);
/// Progress without new claims waits this long for a commit that it can ride along with.
constexpr Micros kProgressWait = from_millis(400);

}  // namespace

void CommitBatcher::begin(std::uint64_t mod_revision) {
  ++generation_;
  leader_revision_ = mod_revision;
  committing_ = false;
  shards_.clear();
  uncertain_shards_ = 0;
  shard_by_block_.clear();
  progress_pending_since_ = runtime_.now();
}

void CommitBatcher::restore_shard(std::uint32_t slot, std::uint64_t mod_revision) {
  if (slot >= shards_.size()) shards_.resize(slot + std::size_t{1});
  shards_[slot].mod_revision = mod_revision;
}

void CommitBatcher::restore_block(const Job& job, std::uint32_t n, std::uint32_t slot) {
  shard_of(job, n) = slot;
  ++shards_[slot].live_blocks;
}

/// The slot in which the block stands.
std::uint32_t& CommitBatcher::shard_of(const Job& job, std::uint32_t n) {
  auto& places = shard_by_block_[job.id];
  if (places.empty()) places.resize(job.blocks.size(), kNoShard);
  return places[n];
}

void CommitBatcher::release_shard(const Job& job, std::uint32_t n) {
  if (const std::uint32_t slot = shard_of(job, n); slot != kNoShard) --shards_[slot].live_blocks;
}

void CommitBatcher::remove(const std::string& job_id) {
  const Job* job = book_.find(job_id);
  if (job == nullptr) return;
  for (std::uint32_t n = 0; n < job->blocks.size(); ++n) release_shard(*job, n);
  shard_by_block_.erase(job->id);
  book_.remove(job_id);
}

/// A slot in which no block stands and that this transaction does not use yet.
std::uint32_t CommitBatcher::free_shard(const std::vector<std::uint32_t>& taken) {
  for (std::uint32_t n = 0; n < shards_.size(); ++n) {
    if (shards_[n].live_blocks == 0 && !shards_[n].uncertain &&
        std::find(taken.begin(), taken.end(), n) == taken.end())
      return n;
  }
  shards_.emplace_back();
  return static_cast<std::uint32_t>(shards_.size() - 1);
}

/// Final states, put with the deletion of the live record in one transaction.
void CommitBatcher::add_final_states(Batch& batch) const {
  for (const std::string& job_id : book_.finished_jobs()) {
    if (batch.mutations.size() + 2 > std::max<std::size_t>(2, settings_.txn_ops / kFinalStateShare)) break;
    const Job& job = *book_.find(job_id);
    if (job.needs_refresh) continue;
    batch.conditions.push_back({records::job_key(job_id), job.mod_revision});
    batch.mutations.push_back(
        {records::final_state_key(job_id),
         records::write_final_state(job.record.cancelled ? "withdrawn" : "done", job.done.size()), 0});
    batch.mutations.push_back({records::job_key(job_id), std::nullopt, 0});
    batch.finished_jobs.push_back(job_id);
  }
}

/// As many blocks as there is room for, in their order.
void CommitBatcher::add_blocks(Batch& batch, std::size_t ready) {
  const bool full = static_cast<double>(ready) >= settings_.state_write_rps / 4;
  const auto value_limit = static_cast<std::size_t>(settings_.value_kb * 1024) - 2;
  const std::size_t most =
      std::min({kMaxShardsPerCommit, settings_.txn_ops - std::min(settings_.txn_ops, batch.mutations.size()),
                std::max<std::size_t>(1, ready - std::min(ready, batch.mutations.size()))});
  const bool progress_due = full && runtime_.now() - progress_pending_since_ >= kProgressWait;
  std::vector<Value::List> values;
  std::size_t room = 0;  // in the last of the values
  std::size_t bytes = batch.mutations.size() * 200;
  bool left_progress = false;
  for (const auto& [key, job] : book_.unwritten()) {
    const std::uint32_t n = std::get<3>(key);
    const bool assignments = std::get<0>(key) < job_table::kProgressRank;
    if (book_.finished_jobs().contains(job->spec().job_id)) continue;  // the final state says it all
    if (assignments && job->needs_refresh) continue;
    if (batch.conditions.size() + kMaxShardsPerCommit + 1 > settings_.txn_ops * 4) break;
    if (!assignments && values.empty() && !progress_due) {
      left_progress = true;
      break;
    }
    Value row = book_.block_row(*job, n);
    const std::size_t size = row.json_size() + 1;
    if (size > room) {
      // With the slot's own condition and, for a claim, its job's. A room too small by a few bytes must not
      // be taken from: it would wrap round and let the value grow without bound.
      const std::size_t taken = bytes + (batch.conditions.size() + 2) * kConditionBytes;
      const std::size_t fresh = std::min(value_limit, kTxnBytes - std::min(kTxnBytes, taken));
      if (values.size() == most || size + records::kShardOverheadBytes > fresh ||
          !(assignments || progress_due)) {
        left_progress = true;
        break;
      }
      const std::uint32_t slot = free_shard(batch.shards);
      batch.shards.push_back(slot);
      batch.conditions.push_back({records::shard_key(slot), shards_[slot].mod_revision});
      values.emplace_back();
      room = fresh - std::min(fresh, records::kShardOverheadBytes);
      bytes += records::kShardOverheadBytes;
    }
    room -= size;
    bytes += size;
    // A cancellation that came first must make new claims fail.
    if (assignments && batch.assigning_jobs.insert(job->spec().job_id).second)
      batch.conditions.push_back({records::job_key(job->spec().job_id), job->mod_revision});
    batch.blocks.push_back({job->spec().job_id, n, job->blocks[n].version, batch.shards.back()});
    values.back().push_back(std::move(row));
  }
  if (!left_progress) progress_pending_since_ = runtime_.now();
  for (std::size_t i = 0; i < values.size(); ++i)
    batch.mutations.push_back({records::shard_key(batch.shards[i]),
                               records::write_shard(batch.shards[i], std::move(values[i])), 0});
}

/// Every write depends on the leader's stamp, so whatever a former leader still has on its way fails by
/// itself.
void CommitBatcher::flush() {
  if (committing_ || runtime_.now() < commit_not_before_ ||
      (book_.unwritten().empty() && book_.finished_jobs().empty()))
    return;
  if (uncertain_shards_ >= kMaxUncertainShards) return;
  const std::size_t ready = store_.writes_available();
  if (ready < 2) return;
  Batch batch;
  batch.conditions.push_back({"leader", leader_revision_});
  add_final_states(batch);
  add_blocks(batch, ready);
  if (batch.mutations.empty()) return;
  committing_ = true;
  const auto when = std::move(batch.conditions);
  const auto apply = std::move(batch.mutations);
  store_.commit(when, apply, KvClient::RequestClass::scheduling,
                [this, batch = std::move(batch), generation = generation_](const CommitReply& reply) {
                  if (generation == generation_) on_reply(reply, batch);
                });
}

void CommitBatcher::on_commit(const Batch& batch, std::uint64_t revision) {
  for (const std::uint32_t slot : batch.shards) shards_[slot].mod_revision = revision;
  for (const Batch::BlockWrite& write : batch.blocks) {
    Job* job = book_.find(write.job_id);
    if (job == nullptr) continue;
    release_shard(*job, write.block);
    restore_block(*job, write.block, write.shard);
    book_.mark_written(*job, write.block, write.version);
  }
  for (const std::string& job_id : batch.finished_jobs) {
    const Job* job = book_.find(job_id);
    if (job == nullptr) continue;
    log::info("job_over", "job {job} ({queue}) is {state} after {seconds:.1f} s", log::with("job", job_id),
              log::with("queue", job->spec().job_class),
              log::with("state", job->record.cancelled ? "withdrawn" : "done"),
              log::with("seconds", to_seconds(runtime_.wall_time() - job->record.accepted_at)));
    remove(job_id);
  }
}

void CommitBatcher::on_reply(const CommitReply& reply, const Batch& batch) {
  committing_ = false;
  log::debug(
      "commit", "commit of {blocks} blocks in {values} values and {finals} final states: {result}{failed}",
      log::with("blocks", batch.blocks.size()), log::with("values", batch.shards.size()),
      log::with("finals", batch.finished_jobs.size()), log::with("result", static_cast<int>(reply.result)),
      log::with("failed", reply.failed_keys.empty() ? "" : ", failed on " + reply.failed_keys.front()));
  switch (reply.result) {
    case CommitReply::Result::committed:
      on_commit(batch, reply.revision);
      on_committed();
      return;
    case CommitReply::Result::conflict:
      if (std::find(reply.failed_keys.begin(), reply.failed_keys.end(), "leader") !=
          reply.failed_keys.end()) {
        on_leadership_lost();
        return;
      }
      [[fallthrough]];
    case CommitReply::Result::unknown:
      for (const std::uint32_t slot : batch.shards) refresh_shard(slot);
      for (const std::string& job_id : batch.assigning_jobs) on_job_uncertain(job_id);
      for (const std::string& job_id : batch.finished_jobs) on_job_uncertain(job_id);
      return;
    case CommitReply::Result::invalid:
      log::error("write_malformed",
                 "the state service calls a write of {blocks} blocks and {finals} final states malformed",
                 log::with("blocks", batch.blocks.size()), log::with("finals", batch.finished_jobs.size()));
      commit_not_before_ = runtime_.now() + from_seconds(5);
      return;
    case CommitReply::Result::refused:
      commit_not_before_ = runtime_.now() + kRetryCommit + runtime_.jitter(kRetryCommit);
      return;
  }
}

/// Reads a slot's stamp anew. What stands in it matters no more: a copy of a block that was applied late is
/// older than the one that is written next, and says so itself.
void CommitBatcher::refresh_shard(std::uint32_t slot) {
  if (!std::exchange(shards_[slot].uncertain, true)) ++uncertain_shards_;
  store_.get(records::shard_key(slot), KvClient::RequestClass::scheduling,
             [this, slot, generation = generation_](const ReadReply& reply) {
               if (generation != generation_) return;
               if (reply.result != ReadReply::Result::ok) {
                 runtime_.after(kRetryRead, [this, slot, generation] {
                   if (generation == generation_) refresh_shard(slot);
                 });
                 return;
               }
               shards_[slot].mod_revision = reply.rows.empty() ? 0 : reply.rows[0].mod_revision;
               shards_[slot].uncertain = false;
               --uncertain_shards_;
               on_ready();
             });
}

std::string CommitBatcher::disagreement() const {
  std::vector<std::uint32_t> live(shards_.size(), 0);
  for (const auto& [id, places] : shard_by_block_) {
    for (const std::uint32_t slot : places) {
      if (slot != kNoShard) ++live[slot];
    }
  }
  for (std::size_t n = 0; n < live.size(); ++n) {
    if (live[n] != shards_[n].live_blocks) return "slot " + std::to_string(n) + " counts its blocks wrongly";
  }
  for (const auto& [ref, job] : book_.jobs()) {
    const auto it = shard_by_block_.find(job.id);
    for (std::uint32_t n = 0; n < job.blocks.size(); ++n) {
      const bool stands = it != shard_by_block_.end() && it->second[n] != kNoShard;
      if (stands != (job.blocks[n].committed_version != 0)) return "a block of " + ref + " stands in no slot";
    }
  }
  return {};
}

}  // namespace wrenusher::commit_batcher
