#include "wrenusher/ledger/takeover.hpp"

#include "wrenusher/log/log.hpp"

namespace wrenusher::ledger {

namespace {

constexpr int kPage = 400;
constexpr Micros kRetryRead = millis(250);

}  // namespace

bool accept_root(Book& book, const Row& row) {
  const auto ref = records::parse_job_key(row.key);
  auto rec = ref ? records::read_job(row.value) : std::nullopt;
  if (!rec) {
    log::error("record_unreadable", "record {key} cannot be read", log::with("key", row.key));
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
      accept_slot(*r, row);
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
    finish(*r);
  }
}

/// Takes note of the newest copy of every block of a live job.
void Takeover::accept_slot(Reading& r, const Row& row) {
  const auto slot = records::parse_slot_key(row.key);
  if (!slot || row.value.list() == nullptr) {
    log::error("record_unreadable", "record {key} cannot be read", log::with("key", row.key));
    return;
  }
  writer_.found_slot(*slot, row.stamp);
  for (const Value& item : *row.value.list()) {
    const auto id = records::read_block_id(item);
    if (!id) {
      log::error("record_unreadable", "record {key} cannot be read", log::with("key", row.key));
      continue;
    }
    const Job* job = book_.find(id->ref);
    if (job == nullptr || id->block >= job->blocks.size()) continue;  // its job is over
    Found& f = r.blocks[{id->ref, id->block}];
    if (f.version >= id->version) continue;
    auto state = records::read_block(item, job->spec().units);
    if (!state) {
      log::error("record_unreadable", "record {key} cannot be read", log::with("key", row.key));
      continue;
    }
    f = {id->version, *slot, std::move(*state)};
  }
}

void Takeover::finish(const Reading& r) {
  for (const auto& [id, found] : r.blocks) {
    Job* job = book_.find(id.first);
    if (job == nullptr) continue;
    book_.restore(*job, id.second, found.version, found.state);
    writer_.found_block(*job, id.second, found.slot);
  }
  r.done(r.revision);
}

}  // namespace wrenusher::ledger
