#pragma once
// Brings the live jobs and their claims into the book at the start of a term: from the store, or from a copy
// of its records that was checked against it.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "wrenusher/book/book.hpp"
#include "wrenusher/store/store.hpp"
#include "wrenusher/writer/writer.hpp"

namespace wrenusher::ledger {

using namespace base;
using namespace protocol;
using namespace store;
using book::Book;
using book::Job;
using writer::Writer;

/// A job's root as it stands in the store; false, and a line in the log, where it cannot be read.
bool accept_root(Book& book, const Row& row);

class Takeover {
 public:
  Takeover(Runtime& rt, Store& store, Book& book, Writer& writer)
      : rt_(rt), store_(store), book_(book), writer_(writer) {}

  /// Reads into book and writer, which are to be empty, and then calls `done` with the revision from which
  /// changes are to be followed. Tries for as long as it takes.
  void begin(std::function<void(std::uint64_t revision)> done);
  /// Takes the copy into book and writer, which are to be empty.
  void take(const records::Snapshot& copy);
  /// What is being read concerns nobody any more.
  void stop() { ++generation_; }

 private:
  struct Found {
    std::uint64_t version = 0;
    std::uint32_t slot = 0;
    records::BlockRecord state;
  };
  /// The newest copy of every block of a live job.
  using Blocks = std::map<std::pair<std::string, std::uint32_t>, Found>;
  struct Reading {
    std::uint64_t generation = 0;
    std::uint64_t revision = 0;  ///< of the first page: what changes meanwhile is followed from there
    bool slots = false;          ///< first the jobs, then the slots
    std::string from;
    Blocks blocks;
    std::function<void(std::uint64_t)> done;
  };
  void read(const std::shared_ptr<Reading>& r);
  void take_page(const std::shared_ptr<Reading>& r, const Read& page);
  void accept_slot(Blocks& blocks, std::uint32_t slot, const records::Snapshot::Slot& s);
  void restore(const Blocks& blocks);

  Runtime& rt_;
  Store& store_;
  Book& book_;
  Writer& writer_;
  std::uint64_t generation_ = 0;
};

}  // namespace wrenusher::ledger
