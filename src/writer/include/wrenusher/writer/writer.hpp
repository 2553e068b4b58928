#pragma once
// Package writer: packs what the book has to write into slots, orders it and commits it under the leader's
// stamp. It owns the slots (values in the store that hold blocks of many jobs), which block stands in which,
// and the one transaction under way. Invariant: a slot's count is the number of blocks whose last committed
// state stands in it, and only a slot with none is written (`disagreement` compares). It may depend on base,
// settings, store, records and book.

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/book/book.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/store/store.hpp"

namespace wrenusher::writer {

using namespace base;
using namespace protocol;
using namespace settings;
using namespace store;
using book::Block;
using book::Book;
using book::Job;

class Writer {
 public:
  Writer(Runtime& rt, const Settings& settings, Store& store, Book& book)
      : rt_(rt), settings_(settings), store_(store), book_(book) {}

  /// A new term, or none: nothing is known of the slots, and what is under way concerns nobody any more.
  /// `stamp`: of the `leader` key, on which every write depends.
  void begin(std::uint64_t stamp);
  /// Found at takeover: a slot, and a block's newest copy in one.
  void found_slot(std::uint32_t slot, std::uint64_t stamp);
  void found_block(const Job& job, std::uint32_t n, std::uint32_t slot);
  /// The job is over: leaves the book and its slots.
  void drop(const std::string& ref);
  /// Writes what has changed, if the pace allows: final states first, then blocks in their order, many to a
  /// value.
  void flush();

  /// The job's final state is in the store; it leaves the book now.
  std::function<void(const Job& job)> on_over;
  /// A write has been committed.
  std::function<void()> on_committed;
  /// What was in doubt is known: more can be written.
  std::function<void()> on_ready;
  /// The root of this job must be read anew before more is written of it.
  std::function<void(const std::string& ref)> on_doubt;
  /// Another leads.
  std::function<void()> on_deposed;

  std::string disagreement() const;

 private:
  static constexpr std::uint32_t kNoSlot = UINT32_MAX;
  /// A value in the store that holds blocks. Blocks move: each is written to a free slot, and a slot is free
  /// again once every block that stood in it stands in another.
  struct Slot {
    std::uint64_t stamp = 0;
    std::uint32_t live = 0;
    bool doubt = false;  ///< its stamp is being read anew
  };
  struct Pending {
    struct Written {
      std::string ref;
      std::uint32_t block = 0;
      std::uint64_t version = 0;
      std::uint32_t slot = 0;
    };
    std::set<std::string> claiming;  ///< jobs whose root is among the conditions
    std::vector<Written> blocks;
    std::vector<std::uint32_t> slots;
    std::vector<std::string> finished;
    std::vector<Condition> when;
    std::vector<Change> apply;
  };
  void add_finals(Pending& p, std::size_t ready) const;
  void add_blocks(Pending& p, std::size_t ready);
  void settle(const Commit& c, const Pending& p);
  void committed(const Pending& p, std::uint64_t revision);
  void refresh_slot(std::uint32_t slot);
  std::uint32_t free_slot(const std::vector<std::uint32_t>& taken);
  std::uint32_t& place(const Job& job, std::uint32_t n);
  void leave(const Job& job, std::uint32_t n);

  Runtime& rt_;
  const Settings& settings_;
  Store& store_;
  Book& book_;
  /// Rises with every term and reading: what belongs to an earlier one is dropped when it comes.
  std::uint64_t generation_ = 0;
  std::uint64_t leader_stamp_ = 0;
  bool committing_ = false;
  Instant commit_not_before_{};
  Instant progress_since_{};  ///< when the last commit left no progress behind
  std::vector<Slot> slots_;
  std::uint32_t doubts_ = 0;                                              ///< slots in doubt
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> places_;  ///< job id -> slot of each block
};

}  // namespace wrenusher::writer
