#pragma once
/// @file
/// Restores the live jobs and their assignments at the start of a term, either from the state service or from
/// this node's verified replica of the records.

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "wrenusher/commit_batcher/commit_batcher.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/records/records.hpp"

namespace wrenusher::leader {

using commit_batcher::CommitBatcher;
using job_table::Job;
using job_table::JobTable;
using kv_client::KeyValue;
using kv_client::KvClient;
using runtime::Runtime;

/// Adds a job from its stored root record. Returns false if the key or the record cannot be read: the key is
/// then logged (`record_unreadable`) and the job is skipped.
[[nodiscard]] bool add_stored_job(JobTable& jobs, const KeyValue& row);

/// Loads the records of the previous term into the job table and the commit batcher, which the owner clears
/// first. Owns only the state of a read in progress. Single-threaded: called from the runtime's loop only.
/// The referenced objects must outlive it.
class Failover {
 public:
  Failover(Runtime& runtime, KvClient& store, JobTable& jobs, CommitBatcher& batcher)
      : runtime_(runtime), store_(store), jobs_(jobs), batcher_(batcher) {}

  /// Reads all jobs and shards (values with the blocks of many jobs) from the state service page by page, and
  /// then calls `done` with the revision from which the caller must watch for changes. Retries failed pages
  /// without limit until `stop` or the next call.
  void start_reading(std::function<void(std::uint64_t revision)> done);
  /// Loads a verified replica of the records and cancels a read in progress.
  void load_replica(const records::RecordSnapshot& snapshot);
  /// Cancels a read in progress: its `done` is not called.
  void stop() { ++generation_; }

 private:
  /// Identifies a block, which is a range of a job's tasks that is written as a unit.
  struct BlockKey {
    std::string job_id;
    std::uint32_t block = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted comparison
    auto operator<=>(const BlockKey&) const = default;
  };
  /// A copy of a block and the shard that contained it.
  struct FoundBlock {
    std::uint64_t version = 0;
    std::uint32_t shard = 0;
    records::BlockRecord state;
  };
  /// The newest copy of every block of a live job.
  using NewestBlocks = std::map<BlockKey, FoundBlock>;
  /// The state of one read, shared by the callbacks of its pages.
  struct ReadState {
    std::uint64_t generation = 0;
    std::uint64_t revision = 0;   ///< revision of the first page; the watch picks up later changes
    bool reading_shards = false;  ///< the jobs are read first, then the shards
    std::string next_key;         ///< the last key read so far; the next page begins after it
    NewestBlocks blocks;
    std::function<void(std::uint64_t)> done;
  };
  void read_page(const std::shared_ptr<ReadState>& reading);
  void on_page(const std::shared_ptr<ReadState>& reading, const kv_client::ReadReply& page);
  void read_shard_row(NewestBlocks& blocks, const KeyValue& row);
  void add_shard(NewestBlocks& blocks, std::uint32_t shard_number,
                 const records::RecordSnapshot::Shard& shard);
  void restore_blocks(const NewestBlocks& blocks);

  Runtime& runtime_;
  KvClient& store_;
  JobTable& jobs_;
  CommitBatcher& batcher_;
  std::uint64_t generation_ = 0;  ///< incremented by every read; replies to an earlier read are dropped
};

}  // namespace wrenusher::leader
