#pragma once
// Applies changes of the state service to a snapshot of the records.

#include <cstdint>
#include <string>

#include "wrenusher/kv_client/kv_messages.hpp"
#include "wrenusher/records/records.hpp"

namespace wrenusher::replica {

/// Applies one put of a job's or a shard's record, unless the snapshot has a newer record. Returns false if
/// the record cannot be read or is neither a job nor a shard.
bool apply_put(records::RecordSnapshot& snapshot, const kv_client::KeyValue& row);
/// Applies one deletion, unless the snapshot has a newer record.
void apply_delete(records::RecordSnapshot& snapshot, const std::string& key, std::uint64_t mod_revision);

}  // namespace wrenusher::replica
