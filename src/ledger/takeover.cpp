#include "wrenusher/ledger/takeover.hpp"

#include "wrenusher/log/log.hpp"

namespace wrenusher::ledger {

namespace {

constexpr int kPage = 400;
constexpr Micros kRetryRead = millis(250);

void tell_unreadable(const std::string& key) {
  log::error("record_unreadable", "record {key} cannot be read", log::with("key", key));
}

}  // namespace

bool accept_root(Book& book, const Row& row) {
  const auto ref = records::parse_job_key(row.key);
  auto rec = ref ? records::read_job(row.value) : std::nullopt;
  if (!rec) {
    tell_unreadable(row.key);
    return false;
  }
  book.accept(*ref, std::move(*rec), row.stamp);
  return true;
}

void Takeover::begin(std::function<void(std::uint64_t revision)> done) {
  auto r = std::make_shared<Reading>();
  r->generation = ++generation_;
  r->done = std::move(done);
  read(r);
}

void Takeover::read(const std::shared_ptr<Reading>& r) {
  store_.list(r->slots ? "claims/" : "job/", r->from, kPage, Store::Urgent::schedule,
              [this, r](const Read& page) {
                if (r->generation != generation_) return;
                if (page.result == Read::Result::ok) {
                  take_page(r, page);
                  return;
                }
                rt_.after(kRetryRead, [this, r] {
                  if (r->generation == generation_) read(r);
                });
              });
}

void Takeover::take_page(const std::shared_ptr<Reading>& r, const Read& page) {
  if (r->revision == 0) r->revision = page.revision;
  for (const Row& row : page.rows) {
    if (r->slots) {
      const auto slot = records::parse_slot_key(row.key);
      std::size_t unreadable = 0;
      auto blocks = slot ? records::read_slot(row.value, *slot, unreadable) : std::nullopt;
      if (!blocks || unreadable > 0) tell_unreadable(row.key);
      if (blocks) accept_slot(r->blocks, *slot, {row.stamp, std::move(*blocks)});
    } else {
      accept_root(book_, row);
    }
    r->from = row.key;
  }
  if (page.truncated && !page.rows.empty()) {
    read(r);
  } else if (!r->slots) {
    r->slots = true;
    r->from.clear();
    read(r);
  } else {
    restore(r->blocks);
    r->done(r->revision);
  }
}

/// Takes note of the newest copy of every block of a live job.
void Takeover::accept_slot(Blocks& blocks, std::uint32_t slot, const records::Snapshot::Slot& s) {
  writer_.found_slot(slot, s.stamp);
  for (const records::BlockAt& b : s.blocks) {
    const Job* job = book_.find(b.id.ref);
    if (job == nullptr || b.id.block >= job->blocks.size()) continue;  // its job is over
    Found& f = blocks[{b.id.ref, b.id.block}];
    if (f.version >= b.id.version) continue;
    if (!b.within(job->spec().units)) {
      tell_unreadable(records::slot_key(slot));
      continue;
    }
    f = {b.id.version, slot, b.state};
  }
}

void Takeover::restore(const Blocks& blocks) {
  for (const auto& [id, found] : blocks) {
    Job* job = book_.find(id.first);
    if (job == nullptr || found.version == 0) continue;
    book_.restore(*job, id.second, found.version, found.state);
    writer_.found_block(*job, id.second, found.slot);
  }
}

void Takeover::take(const records::Snapshot& copy) {
  ++generation_;
  for (const auto& [ref, root] : copy.jobs) book_.accept(ref, root.rec, root.stamp);
  Blocks blocks;
  for (const auto& [slot, s] : copy.slots) accept_slot(blocks, slot, s);
  restore(blocks);
}

}  // namespace wrenusher::ledger
