#include "wrenusher/writer/writer.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::writer {

namespace {

/// Bytes of a transaction that are filled, conditions included; the service takes 64 KiB.
constexpr std::size_t kTxnBytes = 60 * 1024;
constexpr std::size_t kConditionBytes = 48;
/// Values of blocks in one transaction.
constexpr std::size_t kMostSlots = 4;
/// Part of a transaction that final states may take.
constexpr std::size_t kFinalsPart = 3;
constexpr std::size_t kFinalsAlone = 2;
/// Nothing new is written while so many slots stand in doubt: what a leader may have made beyond the slots
/// that others know of stays bounded, so that a standby can ask for it by name.
constexpr std::uint32_t kMostDoubt = 8;
constexpr Micros kRetryCommit = millis(250);
constexpr Micros kRetryRead = millis(250);
/// Progress without new claims waits this long for a commit that it can ride along with.
constexpr Micros kProgressWait = millis(400);

}  // namespace

void Writer::begin(std::uint64_t stamp) {
  ++generation_;
  leader_stamp_ = stamp;
  committing_ = false;
  slots_.clear();
  doubts_ = 0;
  places_.clear();
  progress_since_ = rt_.now();
}

void Writer::found_slot(std::uint32_t slot, std::uint64_t stamp) {
  if (slot >= slots_.size()) slots_.resize(slot + std::size_t{1});
  slots_[slot].stamp = stamp;
}

void Writer::found_block(const Job& job, std::uint32_t n, std::uint32_t slot) {
  place(job, n) = slot;
  ++slots_[slot].live;
}

/// The slot in which the block stands.
std::uint32_t& Writer::place(const Job& job, std::uint32_t n) {
  auto& places = places_[job.id];
  if (places.empty()) places.resize(job.blocks.size(), kNoSlot);
  return places[n];
}

void Writer::leave(const Job& job, std::uint32_t n) {
  if (const std::uint32_t slot = place(job, n); slot != kNoSlot) --slots_[slot].live;
}

void Writer::drop(const std::string& ref) {
  const Job* job = book_.find(ref);
  if (job == nullptr) return;
  for (std::uint32_t n = 0; n < job->blocks.size(); ++n) leave(*job, n);
  places_.erase(job->id);
  book_.drop(ref);
}

/// A slot in which no block stands and that this transaction does not use yet.
std::uint32_t Writer::free_slot(const std::vector<std::uint32_t>& taken) {
  for (std::uint32_t n = 0; n < slots_.size(); ++n) {
    if (slots_[n].live == 0 && !slots_[n].doubt && std::find(taken.begin(), taken.end(), n) == taken.end())
      return n;
  }
  slots_.emplace_back();
  return static_cast<std::uint32_t>(slots_.size() - 1);
}

/// Final states, put with the deletion of the live record in one transaction.
void Writer::add_finals(Pending& p, std::size_t ready) const {
  // Where nothing but progress and idle work's claims waits, there is room for more of them.
  const bool claims = !book_.unwritten().empty() &&
                      std::get<0>(book_.unwritten().begin()->first) < static_cast<int>(Urgency::low);
  // No more than can be sent now: what would wait for the pace would keep what is urgent waiting with it.
  const std::size_t most =
      std::max<std::size_t>(2, std::min(ready, settings_.txn_ops / (claims ? kFinalsPart : kFinalsAlone)));
  for (const auto& [urgency, since, ref] : book_.over()) {
    if (p.apply.size() + 2 > most) break;
    const Job& job = *book_.find(ref);
    if (job.refresh) continue;
    p.when.push_back({records::job_key(ref), job.stamp});
    p.apply.push_back({records::end_key(ref),
                       records::new_end(job.rec.withdrawn ? "withdrawn" : "done", job.done.size()), 0});
    p.apply.push_back({records::job_key(ref), std::nullopt, 0});
    p.finished.push_back(ref);
  }
}

/// As many blocks as there is room for, in their order.
void Writer::add_blocks(Pending& p, std::size_t ready) {
  const bool full = static_cast<double>(ready) >= settings_.state_write_rps / 4;
  const auto value_limit = static_cast<std::size_t>(settings_.value_kb * 1024) - 2;
  const std::size_t most =
      std::min({kMostSlots, settings_.txn_ops - std::min(settings_.txn_ops, p.apply.size()),
                std::max<std::size_t>(1, ready - std::min(ready, p.apply.size()))});
  const bool progress_due = full && rt_.now() - progress_since_ >= kProgressWait;
  std::vector<Value::List> values;
  std::size_t room = 0;  // in the last of the values
  std::size_t bytes = p.apply.size() * 200;
  bool left_progress = false;
  for (const auto& [key, job] : book_.unwritten()) {
    const std::uint32_t n = std::get<3>(key);
    const bool claims = std::get<0>(key) < book::kProgressRank;
    if (job->over_since != 0) continue;  // the final state says it all
    if (claims && job->refresh) continue;
    if (p.when.size() + kMostSlots + 1 > settings_.txn_ops * 4) break;
    if (!claims && values.empty() && !progress_due) {
      left_progress = true;
      break;
    }
    Value row = book_.row(*job, n);
    const std::size_t size = row.json_size() + 1;
    if (size > room) {
      // With the slot's own condition and, for a claim, its job's. A room too small by a few bytes must not
      // be taken from: it would wrap round and let the value grow without bound.
      const std::size_t taken = bytes + (p.when.size() + 2) * kConditionBytes;
      const std::size_t fresh = std::min(value_limit, kTxnBytes - std::min(kTxnBytes, taken));
      if (values.size() == most || size + records::kSlotBytes > fresh || !(claims || progress_due)) {
        left_progress = true;
        break;
      }
      const std::uint32_t slot = free_slot(p.slots);
      p.slots.push_back(slot);
      p.when.push_back({records::slot_key(slot), slots_[slot].stamp});
      values.emplace_back();
      room = fresh - std::min(fresh, records::kSlotBytes);
      bytes += records::kSlotBytes;
    }
    room -= size;
    bytes += size;
    // A cancellation that came first must make new claims fail.
    if (claims && p.claiming.insert(job->spec().ref).second)
      p.when.push_back({records::job_key(job->spec().ref), job->stamp});
    p.blocks.push_back({job->spec().ref, n, job->blocks[n].version, p.slots.back()});
    values.back().push_back(std::move(row));
  }
  if (!left_progress) progress_since_ = rt_.now();
  for (std::size_t i = 0; i < values.size(); ++i)
    p.apply.push_back(
        {records::slot_key(p.slots[i]), records::write_slot(p.slots[i], std::move(values[i])), 0});
}

/// Every write depends on the leader's stamp, so whatever a former leader still has on its way fails by
/// itself.
void Writer::flush() {
  if (committing_ || rt_.now() < commit_not_before_ || (book_.unwritten().empty() && book_.over().empty()))
    return;
  if (doubts_ >= kMostDoubt) return;
  const std::size_t ready = store_.writes_ready();
  if (ready < 2) return;
  Pending p;
  p.when.push_back({"leader", leader_stamp_});
  add_finals(p, ready);
  add_blocks(p, ready);
  if (p.apply.empty()) return;
  committing_ = true;
  const auto when = std::move(p.when);
  const auto apply = std::move(p.apply);
  store_.commit(when, apply, Store::Urgent::schedule,
                [this, p = std::move(p), generation = generation_](const Commit& c) {
                  if (generation == generation_) settle(c, p);
                });
}

void Writer::committed(const Pending& p, std::uint64_t revision) {
  for (const std::uint32_t slot : p.slots) slots_[slot].stamp = revision;
  for (const Pending::Written& w : p.blocks) {
    Job* job = book_.find(w.ref);
    if (job == nullptr) continue;
    leave(*job, w.block);
    found_block(*job, w.block, w.slot);
    book_.written(*job, w.block, w.version);
  }
  for (const std::string& ref : p.finished) {
    const Job* job = book_.find(ref);
    if (job == nullptr) continue;
    log::info("job_over", "job {job} ({queue}) is {state} after {seconds:.1f} s", log::with("job", ref),
              log::with("queue", job->spec().queue),
              log::with("state", job->rec.withdrawn ? "withdrawn" : "done"),
              log::with("seconds", to_seconds(rt_.wall() - job->rec.accepted)));
    if (on_over) on_over(*job);
    drop(ref);
  }
}

void Writer::settle(const Commit& c, const Pending& p) {
  committing_ = false;
  log::debug("commit",
             "commit of {blocks} blocks in {values} values and {finals} final states: {result}{failed}",
             log::with("blocks", p.blocks.size()), log::with("values", p.slots.size()),
             log::with("finals", p.finished.size()), log::with("result", static_cast<int>(c.result)),
             log::with("failed", c.failed.empty() ? "" : ", failed on " + c.failed.front()));
  switch (c.result) {
    case Commit::Result::committed:
      committed(p, c.revision);
      on_committed();
      return;
    case Commit::Result::conflict:
      if (std::find(c.failed.begin(), c.failed.end(), "leader") != c.failed.end()) {
        on_deposed();
        return;
      }
      [[fallthrough]];
    case Commit::Result::unknown:
      for (const std::uint32_t slot : p.slots) refresh_slot(slot);
      for (const std::string& ref : p.claiming) on_doubt(ref);
      for (const std::string& ref : p.finished) on_doubt(ref);
      return;
    case Commit::Result::invalid:
      log::error("write_malformed",
                 "the state service calls a write of {blocks} blocks and {finals} final states malformed",
                 log::with("blocks", p.blocks.size()), log::with("finals", p.finished.size()));
      commit_not_before_ = rt_.now() + from_seconds(5);
      return;
    case Commit::Result::refused:
      commit_not_before_ = rt_.now() + kRetryCommit + rt_.jitter(kRetryCommit);
      return;
  }
}

/// Reads a slot's stamp anew. What stands in it matters no more: a copy of a block that was applied late is
/// older than the one that is written next, and says so itself.
void Writer::refresh_slot(std::uint32_t slot) {
  if (!std::exchange(slots_[slot].doubt, true)) ++doubts_;
  store_.get(records::slot_key(slot), Store::Urgent::schedule,
             [this, slot, generation = generation_](const Read& r) {
               if (generation != generation_) return;
               if (r.result != Read::Result::ok) {
                 rt_.after(kRetryRead, [this, slot, generation] {
                   if (generation == generation_) refresh_slot(slot);
                 });
                 return;
               }
               slots_[slot].stamp = r.rows.empty() ? 0 : r.rows[0].stamp;
               slots_[slot].doubt = false;
               --doubts_;
               on_ready();
             });
}

std::string Writer::disagreement() const {
  std::vector<std::uint32_t> live(slots_.size(), 0);
  for (const auto& [id, places] : places_) {
    for (const std::uint32_t slot : places) {
      if (slot != kNoSlot) ++live[slot];
    }
  }
  for (std::size_t n = 0; n < live.size(); ++n) {
    if (live[n] != slots_[n].live) return "slot " + std::to_string(n) + " counts its blocks wrongly";
  }
  for (const auto& [ref, job] : book_.jobs()) {
    const auto it = places_.find(job.id);
    for (std::uint32_t n = 0; n < job.blocks.size(); ++n) {
      const bool stands = it != places_.end() && it->second[n] != kNoSlot;
      if (stands != (job.blocks[n].committed != 0)) return "a block of " + ref + " stands in no slot";
    }
  }
  return {};
}

}  // namespace wrenusher::writer
