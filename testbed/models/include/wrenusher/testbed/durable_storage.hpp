#pragma once
// Durable storage of the state service: in memory or in an SQLite database.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "wrenusher/time/time.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::testbed {

using namespace time;
using namespace value;

struct KvEntry {
  Value value;
  std::uint64_t mod_revision = 0;
  std::uint64_t lease_id = 0;  ///< 0: attached to no lease
};

/// One change, as /follow returns it.
struct PastChange {
  std::uint64_t revision = 0;
  std::string key;
  std::optional<Value> value;  ///< nothing: deleted
};

/// Maximum number of past changes that /follow can return.
inline constexpr std::size_t kMaxPastChanges = 10000;

/// The whole state of the service, except for the remaining time of its leases: after a restart each lease
/// has its full time to live again.
struct SavedState {
  std::uint64_t revision = 0;
  std::uint64_t leases_made = 0;
  std::map<std::string, KvEntry> keys;
  std::map<std::uint64_t, Micros> leases;  ///< id -> time to live
  std::deque<PastChange> past;
  /// Changes up to and including this revision are no longer in `past`.
  std::uint64_t past_before = 0;
};

/// The changes of one request, which are applied atomically.
struct WriteBatch {
  std::uint64_t revision = 0;
  struct Put {
    std::string key;
    KvEntry entry;
  };
  std::vector<Put> puts;
  std::vector<std::string> deletes;
  std::optional<std::pair<std::uint64_t, Micros>> new_lease;
  std::optional<std::uint64_t> ended_lease;
};

/// The stored data is damaged or cannot be read. what() names the file and the remedy. The service must not
/// answer any request from this data.
struct StorageDamaged : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class DurableStorage {
 public:
  DurableStorage() = default;
  DurableStorage(const DurableStorage&) = delete;
  DurableStorage& operator=(const DurableStorage&) = delete;
  virtual ~DurableStorage() = default;

  /// Returns the stored state. Throws StorageDamaged.
  virtual SavedState load() = 0;
  /// Returns true once the batch is durable. Returns false if nothing of it was stored, for example because
  /// the disk is full; error() then returns the reason. Throws StorageDamaged if the outcome is unknown.
  virtual bool save(const WriteBatch& b) = 0;
  virtual std::string error() const { return {}; }
};

/// Stores nothing, for state that need not outlive the process.
class MemoryStorage : public DurableStorage {
 public:
  SavedState load() override { return {}; }
  bool save(const WriteBatch&) override { return true; }
};

/// Opens an SQLite database in a folder of its own. Each batch is one transaction, which is on disk before
/// the request is answered, and every row carries a checksum. `max_pages` limits the size of the database, in
/// pages of 4 KiB; 0 means no limit but the disk. Throws StorageDamaged.
std::unique_ptr<DurableStorage> open_sqlite(const std::string& folder, std::uint32_t max_pages = 0);

}  // namespace wrenusher::testbed
