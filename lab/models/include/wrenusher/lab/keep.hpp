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

#include "wrenusher/base/time.hpp"
#include "wrenusher/base/value.hpp"

namespace wrenusher::lab {

using namespace base;

struct Entry {
  Value value;
  std::uint64_t stamp = 0;
  std::uint64_t tenancy = 0;  ///< 0: attached to no hold
};

/// One change, as /follow tells it.
struct Past {
  std::uint64_t revision = 0;
  std::string key;
  std::optional<Value> value;  ///< nothing: deleted
};

/// The changes that /follow still tells.
inline constexpr std::size_t kMostPast = 10000;

/// All that a state service knows but how long its holds still live: after a start each has its full time.
struct Saved {
  std::uint64_t revision = 0;
  std::uint64_t holds_made = 0;
  std::map<std::string, Entry> keys;
  std::map<std::uint64_t, Micros> holds;  ///< id -> life
  std::deque<Past> past;
  /// Changes up to this revision are no longer in `past`.
  std::uint64_t past_before = 0;
};

/// What one request changes, all of it or nothing.
struct Batch {
  std::uint64_t revision = 0;
  struct Put {
    std::string key;
    Entry entry;
  };
  std::vector<Put> puts;
  std::vector<std::string> deletes;
  std::optional<std::pair<std::uint64_t, Micros>> new_hold;
  std::optional<std::uint64_t> ended_hold;
};

/// What is kept is damaged or cannot be read; what() says where and what to do. Nothing may be answered from
/// it.
struct KeepDamaged : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Keep {
 public:
  Keep() = default;
  Keep(const Keep&) = delete;
  Keep& operator=(const Keep&) = delete;
  virtual ~Keep() = default;

  /// Throws KeepDamaged.
  virtual Saved load() = 0;
  /// Once this returns true the batch outlives the process. False: certainly nothing of it was kept (the disk
  /// is full, say), and `trouble` tells why. Throws KeepDamaged where it cannot be told.
  virtual bool save(const Batch& b) = 0;
  virtual std::string trouble() const { return {}; }
};

/// Keeps nothing: for what need not outlive the process.
class MemoryKeep : public Keep {
 public:
  Saved load() override { return {}; }
  bool save(const Batch&) override { return true; }
};

/// An SQLite database in a folder of its own. One transaction a batch, on the disk before it is answered;
/// every row carries a checksum. `most_pages`: the size that it may grow to, in pages of 4 KiB; 0: as the
/// disk allows.
std::unique_ptr<Keep> open_sqlite(const std::string& folder, std::uint32_t most_pages = 0);

}  // namespace wrenusher::lab
