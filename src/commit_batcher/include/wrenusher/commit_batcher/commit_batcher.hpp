#pragma once
/// @file
/// Package commit_batcher: packs what the job table has to write into shards, orders it and commits it on the
/// condition that this node still leads. It owns the shards (values in the state service that hold blocks of
/// many jobs), which block is stored in which, and the one transaction under way. Invariant: a shard's count
/// is the number of blocks whose last committed state is stored in it, and only a shard with none is written
/// (`disagreement` verifies both). It may depend on time, value, runtime, settings, kv_client, records and
/// job_table.

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
  CommitBatcher(Runtime& runtime, const Settings& settings, KvClient& store, JobTable& jobs)
      : runtime_(runtime), settings_(settings), store_(store), jobs_(jobs) {}

  /// A new term, or none, or the records are read again: nothing is known of the shards, and the replies to
  /// what is under way are dropped. `leader_revision`: of the `leader` key, a condition of every write.
  void reset(std::uint64_t leader_revision);
  /// A shard found at failover.
  void restore_shard(std::uint32_t shard_number, std::uint64_t mod_revision);
  /// A block whose newest copy is in this shard, which was restored before.
  void restore_block(const Job& job, std::uint32_t block_number, std::uint32_t shard_number);
  /// The job is over: removes it from the job table and its blocks from their shards.
  void remove(const std::string& job_id);
  /// Writes what has changed, if the rate limit allows and no transaction is under way: final states first,
  /// then blocks in their order, many to a value.
  void flush();

  /// A transaction has been committed.
  std::function<void()> on_committed;
  /// A shard of uncertain content has been read again: more can be written.
  std::function<void()> on_shard_refreshed;
  /// The job's root record must be read again before more of the job is written.
  std::function<void(const std::string& job_id)> on_job_refresh_needed;
  /// Another node leads.
  std::function<void()> on_leadership_lost;

  /// Recomputes the counts of the shards, and returns the first difference found, as a sentence; empty when
  /// there is none.
  [[nodiscard]] std::string disagreement() const;

 private:
  static constexpr std::uint32_t kNoShard = UINT32_MAX;
  /// A value in the state service that holds blocks. Blocks move: each is written to a free shard, and a
  /// shard is free again once every block that was stored in it is stored in another.
  struct Shard {
    std::uint64_t mod_revision = 0;
    std::uint32_t live_blocks = 0;
    bool uncertain = false;  ///< its revision is being read again
  };
  /// One transaction, and what it is to change here once it is committed.
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
    std::vector<kv_client::Mutation> mutations;
  };
  /// The values of a batch while blocks are packed into them.
  struct Packing {
    std::size_t max_values = 0;  ///< that the batch may have
    bool progress_due = false;   ///< progress may open a value of its own
    std::vector<Value::List> values;
    std::size_t room_bytes = 0;   ///< left in the last of the values
    std::size_t batch_bytes = 0;  ///< of the batch, its conditions excluded
  };
  void add_final_states(Batch& batch) const;
  void add_blocks(Batch& batch, std::size_t writes_available);
  Packing begin_packing(const Batch& batch, std::size_t writes_available) const;
  [[nodiscard]] bool pack_blocks(Batch& batch, Packing& packing);
  [[nodiscard]] bool open_value(Batch& batch, Packing& packing, std::size_t block_bytes, bool may_open);
  void add_block(Batch& batch, const Job& job, std::uint32_t block_number, bool assigns) const;
  void on_reply(const CommitReply& reply, const Batch& batch);
  void on_commit(const Batch& batch, std::uint64_t revision);
  void on_uncertain(const Batch& batch);
  void log_reply(const CommitReply& reply, const Batch& batch) const;
  void refresh_shard(std::uint32_t shard_number);
  std::uint32_t free_shard(const std::vector<std::uint32_t>& taken);
  std::uint32_t& shard_of(const Job& job, std::uint32_t block_number);
  void release_shard(const Job& job, std::uint32_t block_number);

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  JobTable& jobs_;
  /// Rises with every term and reading: replies to what an earlier one sent are dropped.
  std::uint64_t generation_ = 0;
  std::uint64_t leader_revision_ = 0;
  bool committing_ = false;  ///< a transaction is under way
  Instant commit_not_before_{};
  Instant progress_pending_since_{};  ///< when the last commit left no progress behind
  std::vector<Shard> shards_;
  std::uint32_t uncertain_shards_ = 0;
  /// Job number -> the shard of each of its blocks.
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> shard_by_block_;
};

}  // namespace wrenusher::commit_batcher
