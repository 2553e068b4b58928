#pragma once
// Package commit_batcher: packs what the book has to write into slots, orders it and commits it under the
// leader's stamp. It owns the slots (values in the store that hold blocks of many jobs), which block stands
// in which, and the one transaction under way. Invariant: a slot's count is the number of blocks whose last
// committed state stands in it, and only a slot with none is written (`disagreement` compares). It may depend
// on base, settings, store, records and book.

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::commit_batcher {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;
using namespace settings;
using namespace kv_client;
using job_table::Block;
using job_table::Job;
using job_table::JobTable;

class CommitBatcher {
 public:
  CommitBatcher(Runtime& runtime, const Settings& settings, KvClient& store, JobTable& jobs)
      : runtime_(runtime), settings_(settings), store_(store), book_(jobs) {}

  /// A new term, or none: nothing is known of the slots, and what is under way concerns nobody any more.
  /// `stamp`: of the `leader` key, on which every write depends.
  void begin(std::uint64_t mod_revision);
  /// Found at takeover: a slot, and a block's newest copy in one.
  void restore_shard(std::uint32_t slot, std::uint64_t mod_revision);
  void restore_block(const Job& job, std::uint32_t n, std::uint32_t slot);
  /// The job is over: leaves the book and its slots.
  void remove(const std::string& job_id);
  /// Writes what has changed, if the pace allows: final states first, then blocks in their order, many to a
  /// value.
  void flush();

  /// A write has been committed.
  std::function<void()> on_committed;
  /// What was in doubt is known: more can be written.
  std::function<void()> on_ready;
  /// The root of this job must be read anew before more is written of it.
  std::function<void(const std::string& job_id)> on_job_uncertain;
  /// Another leads.
  std::function<void()> on_leadership_lost;

  std::string disagreement() const;

 private:
  static constexpr std::uint32_t kNoShard = UINT32_MAX;
  /// A value in the store that holds blocks. Blocks move: each is written to a free slot, and a slot is free
  /// again once every block that stood in it stands in another.
  struct Shard {
    std::uint64_t mod_revision = 0;
    std::uint32_t live_blocks = 0;
    bool uncertain = false;  ///< its stamp is being read anew
  };
  struct Batch {
    struct BlockWrite {
      std::string job_id;
      std::uint32_t block = 0;
      std::uint64_t version = 0;
      std::uint32_t shard = 0;
    };
    std::set<std::string> assigning_jobs;  ///< jobs whose root is among the conditions
    std::vector<BlockWrite> blocks;
    std::vector<std::uint32_t> shards;
    std::vector<std::string> finished_jobs;
    std::vector<Condition> conditions;
    std::vector<Mutation> mutations;
  };
  void add_final_states(Batch& batch) const;
  void add_blocks(Batch& batch, std::size_t ready);
  void on_reply(const CommitReply& reply, const Batch& batch);
  void on_commit(const Batch& batch, std::uint64_t revision);
  void refresh_shard(std::uint32_t slot);
  std::uint32_t free_shard(const std::vector<std::uint32_t>& taken);
  std::uint32_t& shard_of(const Job& job, std::uint32_t n);
  void release_shard(const Job& job, std::uint32_t n);

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  JobTable& book_;
  /// Rises with every term and reading: what belongs to an earlier one is dropped when it comes.
  std::uint64_t generation_ = 0;
  std::uint64_t leader_revision_ = 0;
  bool committing_ = false;
  Instant commit_not_before_{};
  Instant progress_pending_since_{};  ///< when the last commit left no progress behind
  std::vector<Shard> shards_;
  std::uint32_t uncertain_shards_ = 0;  ///< slots in doubt
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>>
      shard_by_block_;  ///< job id -> slot of each block
};

}  // namespace wrenusher::commit_batcher
