#include "wrenusher/standby/check.hpp"

namespace wrenusher::standby {

namespace {

/// A leader writes nothing while eight slots stand in doubt, and four in one transaction at most: the lowest
/// free one is taken, so that of those it could have made beyond the last known one the first is among so
/// many.
constexpr std::uint32_t kSlotsBeyond = 16;
/// With more than this wrong, reading everything is sooner done.
constexpr std::size_t kMostWrong = 48;
constexpr int kMostPasses = 4;
constexpr Micros kMostTime = from_seconds(3);

}  // namespace

std::vector<Condition> conditions_of(const records::Snapshot& s) {
  std::vector<Condition> out;
  std::set<std::string> unknown;
  // Slots first: they are the larger part and change no more under this term.
  const std::uint32_t end = s.slots.empty() ? 0 : s.slots.rbegin()->first + 1;
  for (std::uint32_t n = 0; n < end + kSlotsBeyond; ++n) {
    const auto it = s.slots.find(n);
    out.push_back({records::slot_key(n), it == s.slots.end() ? 0 : it->second.stamp});
    if (it == s.slots.end()) continue;
    for (const records::BlockAt& b : it->second.blocks) {
      if (!s.jobs.contains(b.id.ref)) unknown.insert(b.id.ref);
    }
  }
  for (const auto& [ref, root] : s.jobs) out.push_back({records::job_key(ref), root.stamp});
  for (const std::string& ref : unknown) out.push_back({records::job_key(ref), 0});
  return out;
}

void Check::begin(std::shared_ptr<records::Snapshot> copy, std::function<void(const Result&)> done) {
  auto r = std::make_shared<Run>();
  r->generation = ++generation_;
  r->copy = std::move(copy);
  r->done = std::move(done);
  for (Condition& c : conditions_of(*r->copy)) r->open.emplace(std::move(c.key), c.stamp);
  rt_.after(kMostTime, [this, r] { end(r, false); });
  pass(r);
}

void Check::end(const std::shared_ptr<Run>& r, bool good) {
  if (r->generation != generation_) return;
  ++generation_;
  r->result.good = good;
  r->done(r->result);
}

void Check::pass(const std::shared_ptr<Run>& r) {
  if (r->open.empty()) {
    end(r, true);
    return;
  }
  if (++r->passes > kMostPasses) {
    end(r, false);
    return;
  }
  r->wrong.clear();
  r->lost = false;
  const std::size_t most = settings_.txn_ops * 4;
  std::vector<std::vector<Condition>> parts;
  for (const auto& [key, stamp] : r->open) {
    r->asked.insert(key);
    if (parts.empty() || parts.back().size() == most) parts.emplace_back();
    parts.back().push_back({key, stamp});
  }
  r->under_way = parts.size();
  for (auto& when : parts) {
    store_.commit(when, {}, Store::Urgent::schedule, [this, r, when](const Commit& c) {
      if (r->generation == generation_) compared(r, when, c);
    });
  }
}

void Check::compared(const std::shared_ptr<Run>& r, const std::vector<Condition>& when, const Commit& c) {
  r->result.compared += when.size();
  if (c.result == Commit::Result::committed) {
    for (const Condition& k : when) r->open.erase(k.key);
  } else if (c.result == Commit::Result::conflict && !c.failed.empty()) {
    // Those that were not named are asked for once more: the service need not name all.
    r->wrong.insert(c.failed.begin(), c.failed.end());
  } else {
    r->lost = true;
  }
  if (--r->under_way > 0) return;
  if (r->wrong.size() > kMostWrong) {
    end(r, false);
  } else if (!r->wrong.empty()) {
    read_wrong(r);
  } else if (r->lost) {
    rt_.after(millis(200), [this, r] {
      if (r->generation == generation_) pass(r);
    });
  } else {
    pass(r);
  }
}

void Check::read_wrong(const std::shared_ptr<Run>& r) {
  r->under_way = r->wrong.size();
  for (const std::string& key : r->wrong) {
    store_.get(key, Store::Urgent::schedule, [this, r, key](const Read& read) {
      if (r->generation != generation_) return;
      if (read.result == Read::Result::ok) {
        ++r->result.anew;
        records::Snapshot& s = *r->copy;
        // The copy may be wrong in any way, its stamp included: what was read stands.
        apply_delete(s, key, UINT64_MAX);
        if (!read.rows.empty() && !apply_put(s, read.rows[0])) {
          end(r, false);
          return;
        }
      }
      if (--r->under_way > 0) return;
      // A slot that was read anew may name jobs that nobody has asked for yet, or lie beyond the last one.
      std::map<std::string, std::uint64_t> now;
      for (Condition& k : conditions_of(*r->copy)) now.emplace(std::move(k.key), k.stamp);
      for (const auto& [k, stamp] : now) {
        if (r->wrong.contains(k) || !r->asked.contains(k)) r->open[k] = stamp;
      }
      std::erase_if(r->open, [&](const auto& k) { return !now.contains(k.first); });
      for (auto& [k, stamp] : r->open) stamp = now.at(k);
      pass(r);
    });
  }
}

}  // namespace wrenusher::standby
