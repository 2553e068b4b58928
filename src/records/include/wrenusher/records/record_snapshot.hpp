#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wrenusher/records/job_record.hpp"
#include "wrenusher/records/shard_record.hpp"

namespace wrenusher::records {

/// The live jobs and the shards, as a replica of the state service has them.
struct RecordSnapshot {
  struct StoredJob {
    JobRecord record;
    std::uint64_t mod_revision = 0;
  };
  struct Shard {
    std::uint64_t mod_revision = 0;
    std::vector<StoredBlock> blocks;
  };
  std::map<std::string, StoredJob> jobs;  ///< by job
  std::map<std::uint32_t, Shard> shards;  ///< by number
  std::uint64_t revision = 0;             ///< later changes of the jobs are not in here
};

}  // namespace wrenusher::records
