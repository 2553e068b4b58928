#pragma once
// Brings the live jobs and their claims into the book at the start of a term: from the store, or from a copy
// of its records that was checked against it.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "wrenusher/commit_batcher/commit_batcher.hpp"
#include "wrenusher/job_table/job_table.hpp"
#include "wrenusher/kv_client/kv_client.hpp"

namespace wrenusher::leader {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;
using namespace kv_client;
using commit_batcher::CommitBatcher;
using job_table::Job;
using job_table::JobTable;

/// A job's root as it stands in the store; false, and a line in the log, where it cannot be read.
bool add_stored_job(JobTable& jobs, const KeyValue& row);

class Failover {
 public:
  Failover(Runtime& runtime, KvClient& store, JobTable& jobs, CommitBatcher& batcher)
      : runtime_(runtime), store_(store), jobs_(jobs), batcher_(batcher) {}

  /// Reads into book and writer, which are to be empty, and then calls `done` with the revision from which
  /// changes are to be followed. Tries for as long as it takes.
  void start_reading(std::function<void(std::uint64_t revision)> done);
  /// Takes the copy into book and writer, which are to be empty.
  void load_replica(const records::RecordSnapshot& copy);
  /// What is being read concerns nobody any more.
  void stop() { ++generation_; }

 private:
  struct FoundBlock {
    std::uint64_t version = 0;
    std::uint32_t shard = 0;
    records::BlockRecord state;
  };
  /// The newest copy of every block of a live job.
  using Blocks = std::map<std::pair<std::string, std::uint32_t>, FoundBlock>;
  struct ReadState {
    std::uint64_t generation = 0;
    std::uint64_t revision = 0;   ///< of the first page: what changes meanwhile is followed from there
    bool reading_shards = false;  ///< first the jobs, then the slots
    std::string next_key;
    Blocks blocks;
    std::function<void(std::uint64_t)> done;
  };
  void read(const std::shared_ptr<ReadState>& reading);
  void on_page(const std::shared_ptr<ReadState>& reading, const ReadReply& page);
  void read_shard_row(Blocks& blocks, std::uint32_t slot, const records::RecordSnapshot::Shard& shard);
  void restore_blocks(const Blocks& blocks);

  Runtime& runtime_;
  KvClient& store_;
  JobTable& jobs_;
  CommitBatcher& batcher_;
  std::uint64_t generation_ = 0;
};

}  // namespace wrenusher::leader
