#include "wrenusher/commit_batcher/commit_batcher.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "wrenusher/log/log.hpp"
#include "wrenusher/protocol/message_limits.hpp"

namespace wrenusher::commit_batcher {

namespace {

/// Maximum size of the conditions and changes of a transaction. The service accepts 64 KiB; the rest is for
/// the keys of the changes and the names of their fields.
constexpr std::size_t kMaxTransactionBytes = std::size_t{63} * 1024;
/// Greatest size of a condition without its key.
constexpr std::size_t kConditionOverheadBytes =
    std::string_view(R"({"k":"","stamp":},)").size() + protocol::kMaxCountBytes;
/// Estimated size of a mutation that writes a final state or deletes a record.
constexpr std::size_t kMutationBytes = 200;
/// Maximum number of shards written by one transaction.
constexpr std::size_t kMaxShardsPerCommit = 4;
/// Final states use at most 1/kFinalStateOpsDivisor of a transaction's operations.
constexpr std::size_t kFinalStateOpsDivisor = 3;
/// Maximum number of conditions of a transaction, for each operation that `txn_ops` allows it.
constexpr std::size_t kConditionsPerOperation = 4;
/// Blocks without new assignments get a value of their own only while at least this fraction of a second's
/// writes is available.
constexpr double kProgressWriteShare = 0.25;
/// Nothing is written while this many shards are uncertain (see `Shard::uncertain`). This bounds the number
/// of shards that a leader may have created and that are in no standby's replica, so that a new leader can
/// check them all by their keys (see package replica, ReplicaVerifier).
constexpr std::uint32_t kMaxUncertainShards = 8;
constexpr time::Micros kCommitRetryDelay = time::from_millis(250);
constexpr time::Micros kReadRetryDelay = time::from_millis(250);
/// Delay before the next transaction after the state service rejected a transaction as malformed.
constexpr time::Micros kMalformedRetryDelay = time::from_seconds(5);
/// Time that blocks without new assignments wait for a commit that they can be added to.
constexpr time::Micros kProgressWait = time::from_millis(400);

std::size_t condition_bytes(const std::string& key) {
  return key.size() + kConditionOverheadBytes;
}

}  // namespace

void CommitBatcher::reset(std::uint64_t leader_revision) {
  ++generation_;
  leader_revision_ = leader_revision;
  committing_ = false;
  shards_.clear();
  uncertain_shards_ = 0;
  shard_by_block_.clear();
  progress_pending_since_ = runtime_.now();
}

void CommitBatcher::restore_shard(std::uint32_t shard_number, std::uint64_t mod_revision) {
  if (shard_number >= shards_.size()) shards_.resize(shard_number + std::size_t{1});
  shards_[shard_number].mod_revision = mod_revision;
}

void CommitBatcher::restore_block(const Job& job, std::uint32_t block_number, std::uint32_t shard_number) {
  shard_of(job, block_number) = shard_number;
  ++shards_[shard_number].live_blocks;
}

/// Returns the shard that stores the block, or `kNoShard`.
std::uint32_t& CommitBatcher::shard_of(const Job& job, std::uint32_t block_number) {
  auto& shard_numbers = shard_by_block_[job.id];
  if (shard_numbers.empty()) shard_numbers.resize(job.blocks.size(), kNoShard);
  return shard_numbers[block_number];
}

void CommitBatcher::release_shard(const Job& job, std::uint32_t block_number) {
  const std::uint32_t shard_number = shard_of(job, block_number);
  if (shard_number != kNoShard) --shards_[shard_number].live_blocks;
}

void CommitBatcher::remove(const std::string& job_id) {
  const Job* job = jobs_.find(job_id);
  if (job == nullptr) return;
  for (std::uint32_t n = 0; n < job->blocks.size(); ++n) release_shard(*job, n);
  shard_by_block_.erase(job->id);
  jobs_.remove(job_id);
}

/// Returns a shard that stores no block and is not in `used_shards`, the shards of the current transaction.
/// Adds a shard if there is none.
std::uint32_t CommitBatcher::free_shard(const std::vector<std::uint32_t>& used_shards) {
  for (std::uint32_t n = 0; n < shards_.size(); ++n) {
    if (shards_[n].live_blocks == 0 && !shards_[n].uncertain &&
        std::find(used_shards.begin(), used_shards.end(), n) == used_shards.end())
      return n;
  }
  shards_.emplace_back();
  return static_cast<std::uint32_t>(shards_.size() - 1);
}

/// Adds final states to the batch, each together with the deletion of the job's live record.
void CommitBatcher::add_final_states(Batch& batch) const {
  for (const std::string& job_id : jobs_.finished_jobs()) {
    if (batch.mutations.size() + 2 > std::max<std::size_t>(2, settings_.txn_ops / kFinalStateOpsDivisor))
      break;
    const Job& job = *jobs_.find(job_id);
    if (job.needs_refresh) continue;
    add_condition(batch, records::job_key(job_id), job.mod_revision);
    batch.mutations.push_back(
        {records::final_state_key(job_id),
         records::write_final_state(job.record.cancelled ? "withdrawn" : "done", job.done.size()), 0});
    batch.mutations.push_back({records::job_key(job_id), std::nullopt, 0});
    batch.finished_jobs.push_back(job_id);
  }
}

/// Adds as many blocks as there is room for, in write order.
void CommitBatcher::add_blocks(Batch& batch, std::size_t writes_available) {
  Packing packing = begin_packing(batch, writes_available);
  const bool progress_left = pack_blocks(batch, packing);
  if (!progress_left) progress_pending_since_ = runtime_.now();
  for (std::size_t i = 0; i < packing.values.size(); ++i)
    batch.mutations.push_back({records::shard_key(batch.shards[i]),
                               records::write_shard(batch.shards[i], std::move(packing.values[i])), 0});
}

CommitBatcher::Packing CommitBatcher::begin_packing(const Batch& batch, std::size_t writes_available) const {
  const std::size_t mutations = batch.mutations.size();
  const bool rate_allows =
      static_cast<double>(writes_available) >= settings_.state_write_rps * kProgressWriteShare;
  Packing packing;
  packing.max_values =
      std::min({kMaxShardsPerCommit, settings_.txn_ops - std::min(settings_.txn_ops, mutations),
                std::max<std::size_t>(1, writes_available - std::min(writes_available, mutations))});
  packing.progress_due = rate_allows && runtime_.now() - progress_pending_since_ >= kProgressWait;
  packing.batch_bytes = mutations * kMutationBytes;
  return packing;
}

/// Packs the unwritten blocks, in write order, into the new values of free shards, until a block does not
/// fit. Returns true if a block did not fit, or if only progress (blocks without new assignments) is left and
/// is not due yet (see `Packing::progress_due`). Otherwise returns false, even if the limit on conditions
/// stopped the packing.
bool CommitBatcher::pack_blocks(Batch& batch, Packing& packing) {
  for (const auto& [order, job] : jobs_.unwritten_blocks()) {
    const bool has_new_assignments = order.rank < job_table::kProgressRank;
    if (jobs_.finished_jobs().contains(job->spec().job_id)) continue;  // its final state replaces its blocks
    if (has_new_assignments && job->needs_refresh) continue;
    if (batch.conditions.size() + kMaxShardsPerCommit + 1 > settings_.txn_ops * kConditionsPerOperation)
      return false;
    if (!has_new_assignments && packing.values.empty() && !packing.progress_due) return true;
    Value row = jobs_.block_row(*job, order.block);
    const BlockSize size{row.json_size() + 1, new_condition_bytes(batch, *job, has_new_assignments)};
    const bool fits =
        size.row <= packing.room_bytes && size.row + size.condition <= transaction_room(batch, packing);
    if (!fits && !open_value(batch, packing, size, has_new_assignments || packing.progress_due)) return true;
    packing.room_bytes -= size.row;
    packing.batch_bytes += size.row;
    add_block(batch, *job, order.block, has_new_assignments);
    packing.values.back().push_back(std::move(row));
  }
  return false;
}

/// Returns how many bytes can still be added to the transaction, conditions included.
std::size_t CommitBatcher::transaction_room(const Batch& batch, const Packing& packing) {
  // Clamped at 0: an unsigned underflow of a few bytes would let the transaction grow without bound.
  return kMaxTransactionBytes - std::min(kMaxTransactionBytes, packing.batch_bytes + batch.condition_bytes);
}

/// Returns the size of the condition that writing a block of the job adds to the batch; 0 if it adds none.
std::size_t CommitBatcher::new_condition_bytes(const Batch& batch, const Job& job, bool has_new_assignments) {
  const std::string& job_id = job.spec().job_id;
  if (!has_new_assignments || batch.assigning_jobs.contains(job_id)) return 0;
  return condition_bytes(records::job_key(job_id));
}

/// Adds the value of a free shard, with room for a block of this size. Returns false if the batch has no room
/// for such a value, or if `may_open` is false.
bool CommitBatcher::open_value(Batch& batch, Packing& packing, const BlockSize& block, bool may_open) {
  const auto value_limit = static_cast<std::size_t>(settings_.value_kb * 1024) - 2;
  const std::size_t value_bytes = block.row + records::kShardOverheadBytes;
  if (!may_open || packing.values.size() == packing.max_values || value_bytes > value_limit) return false;
  const std::uint32_t shard_number = free_shard(batch.shards);
  const std::string key = records::shard_key(shard_number);
  const std::size_t conditions = block.condition + condition_bytes(key);
  if (value_bytes + conditions > transaction_room(batch, packing)) return false;
  batch.shards.push_back(shard_number);
  add_condition(batch, key, shards_[shard_number].mod_revision);
  packing.values.emplace_back();
  packing.room_bytes = value_limit - records::kShardOverheadBytes;
  packing.batch_bytes += records::kShardOverheadBytes;
  return true;
}

void CommitBatcher::add_condition(Batch& batch, const std::string& key, std::uint64_t mod_revision) {
  batch.conditions.push_back({key, mod_revision});
  batch.condition_bytes += condition_bytes(key);
}

/// Records that the block is written to the last of the batch's shards, and adds the condition on its job.
void CommitBatcher::add_block(Batch& batch, const Job& job, std::uint32_t block_number,
                              bool has_new_assignments) const {
  const std::string& job_id = job.spec().job_id;
  // The condition makes the commit of new assignments fail if the job was cancelled before it.
  if (has_new_assignments && batch.assigning_jobs.insert(job_id).second)
    add_condition(batch, records::job_key(job_id), job.mod_revision);
  batch.blocks.push_back({job_id, block_number, job.blocks[block_number].version, batch.shards.back()});
}

/// Every write has the revision of the `leader` key as a condition, so that a write that a former leader
/// still has in flight fails.
void CommitBatcher::flush() {
  if (committing_ || runtime_.now() < commit_not_before_ ||
      (jobs_.unwritten_blocks().empty() && jobs_.finished_jobs().empty()))
    return;
  if (uncertain_shards_ >= kMaxUncertainShards) return;
  const std::size_t writes_available = kv_client_.writes_available();
  if (writes_available < 2) return;
  Batch batch;
  add_condition(batch, "leader", leader_revision_);
  add_final_states(batch);
  add_blocks(batch, writes_available);
  if (batch.mutations.empty()) return;
  committing_ = true;
  const auto conditions = std::move(batch.conditions);
  const auto mutations = std::move(batch.mutations);
  kv_client_.commit(conditions, mutations, KvClient::RequestClass::scheduling,
                    [this, batch = std::move(batch), generation = generation_](const CommitReply& reply) {
                      if (generation == generation_) on_reply(reply, batch);
                    });
}

void CommitBatcher::on_commit(const Batch& batch, std::uint64_t revision) {
  for (const std::uint32_t shard_number : batch.shards) shards_[shard_number].mod_revision = revision;
  for (const Batch::BlockWrite& write : batch.blocks) {
    Job* job = jobs_.find(write.job_id);
    if (job == nullptr) continue;
    release_shard(*job, write.block);
    restore_block(*job, write.block, write.shard);
    jobs_.mark_written(*job, write.block, write.version);
  }
  for (const std::string& job_id : batch.finished_jobs) {
    const Job* job = jobs_.find(job_id);
    if (job == nullptr) continue;
    log::info("job_finished", "job {job} (class {job_class}) is {state} after {seconds:.1f} s",
              log::with("job", job_id), log::with("job_class", job->spec().job_class),
              log::with("state", job->record.cancelled ? "cancelled" : "done"),
              log::with("seconds", time::to_seconds(runtime_.wall_time() - job->record.accepted_at)));
    remove(job_id);
  }
}

void CommitBatcher::log_reply(const CommitReply& reply, const Batch& batch) const {
  log::debug(
      "commit",
      "commit of {blocks} blocks in {shards} shards and {final_states} final states: result {result}{failed}",
      log::with("blocks", batch.blocks.size()), log::with("shards", batch.shards.size()),
      log::with("final_states", batch.finished_jobs.size()),
      log::with("result", static_cast<int>(reply.result)),
      log::with("failed", reply.failed_keys.empty() ? "" : ", failed on " + reply.failed_keys.front()));
  if (reply.result == CommitReply::Result::invalid)
    log::error(
        "commit_malformed",
        "the state service rejected a write of {blocks} blocks and {final_states} final states as malformed",
        log::with("blocks", batch.blocks.size()), log::with("final_states", batch.finished_jobs.size()));
}

void CommitBatcher::on_reply(const CommitReply& reply, const Batch& batch) {
  committing_ = false;
  log_reply(reply, batch);
  switch (reply.result) {
    case CommitReply::Result::committed:
      on_commit(batch, reply.revision);
      on_committed();
      return;
    case CommitReply::Result::conflict:
      if (std::find(reply.failed_keys.begin(), reply.failed_keys.end(), "leader") !=
          reply.failed_keys.end()) {
        on_leadership_lost();
      } else {
        on_uncertain(batch);
      }
      return;
    case CommitReply::Result::unknown:
      on_uncertain(batch);
      return;
    case CommitReply::Result::invalid:
      commit_not_before_ = runtime_.now() + kMalformedRetryDelay;
      return;
    case CommitReply::Result::refused:
      commit_not_before_ = runtime_.now() + kCommitRetryDelay + runtime_.jitter(kCommitRetryDelay);
      return;
  }
}

/// Reads the shards and root records of the batch again, after a conflict or an unknown outcome.
void CommitBatcher::on_uncertain(const Batch& batch) {
  for (const std::uint32_t shard_number : batch.shards) refresh_shard(shard_number);
  for (const std::string& job_id : batch.assigning_jobs) on_job_refresh_needed(job_id);
  for (const std::string& job_id : batch.finished_jobs) on_job_refresh_needed(job_id);
}

/// Reads a shard's revision again. The shard's content is not needed: a copy of a block that was written late
/// has a lower version than the copy that is written next.
void CommitBatcher::refresh_shard(std::uint32_t shard_number) {
  if (!std::exchange(shards_[shard_number].uncertain, true)) ++uncertain_shards_;
  kv_client_.get(records::shard_key(shard_number), KvClient::RequestClass::scheduling,
                 [this, shard_number, generation = generation_](const kv_client::ReadReply& reply) {
                   if (generation != generation_) return;
                   if (reply.result != kv_client::ReadReply::Result::ok) {
                     runtime_.after(kReadRetryDelay, [this, shard_number, generation] {
                       if (generation == generation_) refresh_shard(shard_number);
                     });
                     return;
                   }
                   Shard& shard = shards_[shard_number];
                   shard.mod_revision = reply.rows.empty() ? 0 : reply.rows[0].mod_revision;
                   shard.uncertain = false;
                   --uncertain_shards_;
                   on_shard_refreshed();
                 });
}

std::string CommitBatcher::disagreement() const {
  std::vector<std::uint32_t> live_blocks(shards_.size(), 0);
  for (const auto& [job_number, shard_numbers] : shard_by_block_) {
    for (const std::uint32_t shard_number : shard_numbers) {
      if (shard_number != kNoShard) ++live_blocks[shard_number];
    }
  }
  for (std::size_t n = 0; n < live_blocks.size(); ++n) {
    if (live_blocks[n] != shards_[n].live_blocks)
      return "shard " + std::to_string(n) + " has a wrong count of live blocks";
  }
  for (const auto& [job_id, job] : jobs_.jobs()) {
    const auto it = shard_by_block_.find(job.id);
    for (std::uint32_t n = 0; n < job.blocks.size(); ++n) {
      const bool stored = it != shard_by_block_.end() && it->second[n] != kNoShard;
      if (stored != (job.blocks[n].committed_version != 0))
        return "a block of " + job_id + " is committed but in no shard, or in a shard but not committed";
    }
  }
  return {};
}

}  // namespace wrenusher::commit_batcher
