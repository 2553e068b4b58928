#pragma once
/// @file
/// Package commit_batcher: writes the changed blocks of the job table to the state service (the key-value
/// store of the controllers), on the condition that this node still leads. A block is a range of a job's
/// tasks; a shard is a value in the state service that holds the blocks of many jobs.
///
/// The package owns the shards, the mapping from blocks to shards, and the one transaction in progress.
///
/// Invariant: a shard's count (`live_blocks`) is the number of blocks whose last committed state is stored in
/// it, and only a shard with a count of 0 is written. `disagreement` verifies the counts, and that exactly
/// the blocks with a committed state are in a shard.
///
/// It may depend on time, value, runtime, settings, protocol, kv_client, records and job_table.

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::commit_batcher {

using job_table::Job;
using job_table::JobTable;
using kv_client::CommitReply;
using kv_client::KvClient;
using runtime::Runtime;
using settings::Settings;
using time::Instant;
using value::Value;

/// Writes the job table's changes to the state service, one transaction at a time. Owns the shards; the
/// referenced objects must outlive it. Single-threaded: called from the runtime's loop only. The callbacks
/// are set once, before the first `reset`, and called from the reply to a transaction or read.
class CommitBatcher {
 public:
  CommitBatcher(Runtime& runtime, const Settings& settings, KvClient& kv_client, JobTable& jobs)
      : runtime_(runtime), settings_(settings), kv_client_(kv_client), jobs_(jobs) {}

  /// Discards all shards and ignores the replies to requests in flight. Called when a term begins or ends,
  /// and when the records are read again within a term. `leader_revision` is the revision of the `leader`
  /// key, which is a condition of every write.
  void reset(std::uint64_t leader_revision);
  /// Adds a shard that was read at failover.
  void restore_shard(std::uint32_t shard_number, std::uint64_t mod_revision);
  /// Adds a block whose newest copy is in this shard. The shard must have been restored before.
  void restore_block(const Job& job, std::uint32_t block_number, std::uint32_t shard_number);
  /// Removes a job that is over from the job table, and its blocks from their shards.
  void remove(const std::string& job_id);
  /// Writes the unwritten changes, if the rate limit allows and no transaction is in progress: first the
  /// final states of jobs, then the blocks in their write order, several in one shard.
  void flush();

  /// Called after a transaction has been committed.
  std::function<void()> on_committed;
  /// Called after an uncertain shard (see `Shard::uncertain`) has been read again, so that more can be
  /// written.
  std::function<void()> on_shard_refreshed;
  /// Called when the job's root record must be read again before more of the job is written.
  std::function<void(const std::string& job_id)> on_job_refresh_needed;
  /// Called when a commit has failed because another node leads.
  std::function<void()> on_leadership_lost;

  /// Recomputes the counts of the shards, and returns the first difference found, as a sentence; empty when
  /// there is none.
  [[nodiscard]] std::string disagreement() const;

 private:
  static constexpr std::uint32_t kNoShard = UINT32_MAX;
  /// A value in the state service that holds blocks. A block is never updated in place: each write of a block
  /// goes to a free shard, and a shard is free once every block stored in it has been written to another.
  struct Shard {
    std::uint64_t mod_revision = 0;
    std::uint32_t live_blocks = 0;  ///< blocks whose last committed state is stored here
    /// A commit of the shard had a conflict or an unknown outcome, so its revision is being read again.
    bool uncertain = false;
  };
  /// One transaction, and the changes to apply to the table and the shards once it is committed.
  struct Batch {
    struct BlockWrite {
      std::string job_id;
      std::uint32_t block = 0;
      std::uint64_t version = 0;
      std::uint32_t shard = 0;
    };
    std::set<std::string> assigning_jobs;  ///< jobs whose root record is among the conditions
    std::vector<BlockWrite> blocks;
    std::vector<std::uint32_t> shards;
    std::vector<std::string> finished_jobs;
    std::vector<kv_client::Condition> conditions;
    std::size_t condition_bytes = 0;  ///< greatest size of `conditions`
    std::vector<kv_client::Mutation> mutations;
  };
  /// The new values of the shards that a batch writes, while blocks are packed into them.
  struct Packing {
    std::size_t max_values = 0;  ///< maximum number of values in the batch
    /// Blocks without new assignments may add a value to the batch: they have waited long enough, and
    /// enough writes are available. Otherwise they only fill the room that new assignments leave.
    bool progress_due = false;
    std::vector<Value::List> values;
    std::size_t room_bytes = 0;   ///< left in the last of the values
    std::size_t batch_bytes = 0;  ///< size of the batch without its conditions
  };
  /// What writing a block adds to a transaction, in bytes of JSON.
  struct BlockSize {
    std::size_t row = 0;        ///< in a value
    std::size_t condition = 0;  ///< the condition on its job; 0: the transaction has it, or needs none
  };
  void add_final_states(Batch& batch) const;
  void add_blocks(Batch& batch, std::size_t writes_available);
  Packing begin_packing(const Batch& batch, std::size_t writes_available) const;
  [[nodiscard]] bool pack_blocks(Batch& batch, Packing& packing);
  static std::size_t transaction_room(const Batch& batch, const Packing& packing);
  static std::size_t new_condition_bytes(const Batch& batch, const Job& job, bool has_new_assignments);
  [[nodiscard]] bool open_value(Batch& batch, Packing& packing, const BlockSize& block, bool may_open);
  static void add_condition(Batch& batch, const std::string& key, std::uint64_t mod_revision);
  void add_block(Batch& batch, const Job& job, std::uint32_t block_number, bool has_new_assignments) const;
  void on_reply(const CommitReply& reply, const Batch& batch);
  void on_commit(const Batch& batch, std::uint64_t revision);
  void on_uncertain(const Batch& batch);
  void log_reply(const CommitReply& reply, const Batch& batch) const;
  void refresh_shard(std::uint32_t shard_number);
  std::uint32_t free_shard(const std::vector<std::uint32_t>& used_shards);
  std::uint32_t& shard_of(const Job& job, std::uint32_t block_number);
  void release_shard(const Job& job, std::uint32_t block_number);

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& kv_client_;
  JobTable& jobs_;
  /// Incremented by every `reset`; a reply to a request of an earlier generation is ignored.
  std::uint64_t generation_ = 0;
  std::uint64_t leader_revision_ = 0;
  bool committing_ = false;  ///< a transaction is in progress
  Instant commit_not_before_{};
  Instant progress_pending_since_{};  ///< time of the last commit that left no progress unwritten
  std::vector<Shard> shards_;
  std::uint32_t uncertain_shards_ = 0;
  /// Job number -> the shard of each of its blocks.
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> shard_by_block_;
};

}  // namespace wrenusher::commit_batcher
