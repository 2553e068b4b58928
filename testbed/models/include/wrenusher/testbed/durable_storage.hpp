#pragma once
// Where a state service keeps what it must not lose.

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
  std::uint64_t lease_id = 0;  ///< 0: attached to no hold
};

/// One change, as /follow tells it.
struct PastChange {
  std::uint64_t revision = 0;
  std::string key;
  std::optional<Value> value;  ///< nothing: deleted
};

/// The changes that /follow still tells.
inline constexpr std::size_t kMaxPastChanges = 10000;

/// All that a state service knows but how long its holds still live: after a start each has its full time.
struct SavedState {
  std::uint64_t revision = 0;
  std::uint64_t leases_made = 0;
  std::map<std::string, KvEntry> keys;
  std::map<std::uint64_t, Micros> leases;  ///< id -> life
  std::deque<PastChange> past;
  /// Changes up to this revision are no longer in `past`.
  std::uint64_t past_before = 0;
};

/// What one request changes, all of it or nothing.
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

/// What is kept is damaged or cannot be read; what() says where and what to do. Nothing may be answered from
/// it.
struct StorageDamaged : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class DurableStorage {
 public:
  DurableStorage() = default;
  DurableStorage(const DurableStorage&) = delete;
  DurableStorage& operator=(const DurableStorage&) = delete;
  virtual ~DurableStorage() = default;

  /// Throws StorageDamaged.
  virtual SavedState load() = 0;
  /// Once this returns true the batch outlives the process. False: certainly nothing of it was kept (the disk
  /// is full, say), and `trouble` tells why. Throws StorageDamaged where it cannot be told.
  virtual bool save(const WriteBatch& b) = 0;
  virtual std::string error() const { return {}; }
};

/// Keeps nothing: for what need not outlive the process.
class MemoryStorage : public DurableStorage {
 public:
  SavedState load() override { return {}; }
  bool save(const WriteBatch&) override { return true; }
};

/// An SQLite database in a folder of its own. One transaction a batch, on the disk before it is answered;
/// every row carries a checksum. `most_pages`: the size that it may grow to, in pages of 4 KiB; 0: as the
/// disk allows.
std::unique_ptr<DurableStorage> open_sqlite(const std::string& folder, std::uint32_t most_pages = 0);

}  // namespace wrenusher::testbed
