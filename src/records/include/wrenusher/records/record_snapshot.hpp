#pragma once
// A decoded copy of the records in the state service.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wrenusher/records/job_record.hpp"
#include "wrenusher/records/shard_record.hpp"

namespace wrenusher::records {

/// The live jobs and the shards in a replica of the state service.
struct RecordSnapshot {
  struct StoredJob {
    JobRecord record;
    std::uint64_t mod_revision = 0;
  };
  struct Shard {
    std::uint64_t mod_revision = 0;
    std::vector<StoredBlock> blocks;
  };
  std::map<std::string, StoredJob> jobs;  ///< by job ID
  std::map<std::uint32_t, Shard> shards;  ///< by shard number
  std::uint64_t revision = 0;             ///< all changes of jobs up to this revision are included
};

}  // namespace wrenusher::records
