#include "wrenusher/standby/copy.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::standby {

namespace {

/// A page is decoded in one go, while users' requests wait.
constexpr int kPage = 100;
constexpr Micros kPagePause = millis(100);
constexpr Micros kRetry = millis(700);
constexpr Micros kHold = from_seconds(4);
/// Between two follows at least, and the part of the whole pace that the two of a node may take.
constexpr Micros kFollowPause = millis(400);
constexpr double kPacePart = 0.03;
/// After a doubt nothing is read for so long.
constexpr Micros kDoubtPause = from_seconds(2);
constexpr Micros kWhole = from_seconds(8);

}  // namespace

bool apply_put(records::Snapshot& s, const Row& row) {
  if (const auto ref = records::parse_job_key(row.key)) {
    auto rec = records::read_job(row.value);
    if (!rec) return false;
    records::Snapshot::Root& root = s.jobs[*ref];
    if (row.stamp >= root.stamp) root = {std::move(*rec), row.stamp};
    return true;
  }
  const auto slot = records::parse_slot_key(row.key);
  if (!slot) return false;
  std::size_t unreadable = 0;
  auto blocks = records::read_slot(row.value, *slot, unreadable);
  if (!blocks || unreadable > 0) return false;
  records::Snapshot::Slot& there = s.slots[*slot];
  if (row.stamp >= there.stamp) there = {row.stamp, std::move(*blocks)};
  return true;
}

void apply_delete(records::Snapshot& s, const std::string& key, std::uint64_t stamp) {
  if (const auto ref = records::parse_job_key(key)) {
    const auto it = s.jobs.find(*ref);
    if (it != s.jobs.end() && it->second.stamp < stamp) s.jobs.erase(it);
  } else if (const auto slot = records::parse_slot_key(key)) {
    const auto it = s.slots.find(*slot);
    if (it != s.slots.end() && it->second.stamp < stamp) s.slots.erase(it);
  }
}

void Copy::begin() {
  stop();
  running_ = true;
  fill(parts_[0]);
}

void Copy::stop() {
  ++generation_;
  running_ = false;
  data_ = {};
  // With the data goes the word that it is all there.
  for (Part& p : parts_) p = {p.prefix, 0, {}, {}, false, {}, {}};
}

bool Copy::whole() const {
  return running_ && std::all_of(parts_.begin(), parts_.end(),
                                 [this](const Part& p) { return p.filled && rt_.now() - p.at < kWhole; });
}

/// Something does not fit: better nothing than a copy that is wrong.
void Copy::doubt(const char* why) {
  log::info("standby_cold", "the copy of the records is thrown away: {reason}", log::with("reason", why));
  stop();
  running_ = true;
  rt_.after(kDoubtPause, [this, generation = generation_] {
    if (generation == generation_) begin();
  });
}

Micros Copy::pause() const {
  return std::max(kFollowPause, from_seconds(2 / (settings_.state_rps * kPacePart)));
}

void Copy::fill(Part& p) {
  if (!p.first) p.asked = rt_.now();
  store_.list(p.prefix, p.from, kPage, Store::Urgent::spare,
              [this, &p, generation = generation_](const Read& page) {
                if (generation != generation_) return;
                if (page.result == Read::Result::ok) {
                  take_page(p, page);
                  return;
                }
                rt_.after(kRetry, [this, &p, generation] {
                  if (generation == generation_) fill(p);
                });
              });
}

void Copy::take_page(Part& p, const Read& page) {
  // What changes while the pages are read is followed from the first one's revision.
  if (!p.first) p.first = page.revision;
  if (page.revision < *p.first) {
    doubt("the state service went back to an earlier revision");
    return;
  }
  for (const Row& row : page.rows) {
    if (!apply_put(data_, row)) {
      doubt("a record cannot be read");
      return;
    }
    p.from = row.key;
  }
  if (page.truncated && !page.rows.empty()) {
    rt_.after(kPagePause, [this, &p, generation = generation_] {
      if (generation == generation_) fill(p);
    });
    return;
  }
  p.filled = true;
  p.reached = *p.first;
  p.at = rt_.now();
  if (&p == &parts_[0] && on_jobs) {
    std::vector<std::string> cancelled;
    for (const auto& [ref, root] : data_.jobs) {
      if (root.rec.withdrawn) cancelled.push_back(ref);
    }
    on_jobs(p.asked, std::move(cancelled));
  }
  follow(p);
  if (&p == &parts_[0]) fill(parts_[1]);
}

void Copy::tell_jobs(const Part& p, Instant asked, const std::vector<Row>& puts) {
  if (&p != &parts_[0] || !on_jobs) return;
  std::vector<std::string> cancelled;
  for (const Row& row : puts) {
    if (auto ref = records::cancelled_job(row.key, row.value)) cancelled.push_back(std::move(*ref));
  }
  on_jobs(asked, std::move(cancelled));
}

void Copy::follow(Part& p) {
  store_.follow(p.prefix, p.reached, kHold, Store::Urgent::spare,
                [this, &p, generation = generation_, asked = rt_.now()](const FollowReply& f) {
                  if (generation != generation_ || !take(p, f)) return;
                  const bool good = f.result == FollowReply::Result::ok;
                  if (good) tell_jobs(p, asked, f.puts);
                  rt_.after(good ? pause() : kRetry, [this, &p, generation] {
                    if (generation == generation_) follow(p);
                  });
                });
}

/// Brings a part up to what a follow brought; false, and the copy is thrown away, when it does not fit.
bool Copy::take(Part& p, const FollowReply& f) {
  if (f.result == FollowReply::Result::failed) return true;
  if (f.result == FollowReply::Result::too_old || f.result == FollowReply::Result::too_large) {
    doubt(f.result == FollowReply::Result::too_old ? "the state service has the changes no more"
                                                   : "too much has changed since it was last followed");
    return false;
  }
  // A service that began anew counts from an earlier revision, or tells changes that nobody asked for.
  bool fits = f.revision >= p.reached;
  const auto within = [&](std::uint64_t stamp) { return stamp > p.reached && stamp <= f.revision; };
  for (const Row& row : f.puts) fits = fits && within(row.stamp) && row.key.starts_with(p.prefix);
  for (const auto& [key, stamp] : f.deletes) fits = fits && within(stamp) && key.starts_with(p.prefix);
  if (!fits) {
    doubt("the state service tells changes of other revisions than were asked for");
    return false;
  }
  for (const Row& row : f.puts) {
    if (!apply_put(data_, row)) {
      doubt("a record cannot be read");
      return false;
    }
  }
  for (const auto& [key, stamp] : f.deletes) apply_delete(data_, key, stamp);
  p.reached = f.revision;
  p.at = rt_.now();
  if (&p == &parts_[0] && on_followed) {
    mail::RecordsFollowed followed;
    for (const Row& row : f.puts) followed.put(row.key, row.value);
    for (const auto& [key, stamp] : f.deletes) followed.gone(key);
    on_followed(followed);
  }
  return true;
}

void Copy::hand_over(std::uint64_t least, std::function<void(std::shared_ptr<records::Snapshot>)> done) {
  if (!whole()) {
    stop();
    done(nullptr);
    return;
  }
  // Follows that are open belong to the past from here on.
  const std::uint64_t generation = ++generation_;
  running_ = false;
  auto left = std::make_shared<int>(2);
  for (Part& p : parts_) {
    store_.follow(p.prefix, p.reached, Micros{0}, Store::Urgent::schedule,
                  [this, &p, least, left, done, generation](const FollowReply& f) {
                    if (generation != generation_) return;
                    if (f.result != FollowReply::Result::ok || f.revision < least || !take(p, f)) {
                      stop();
                      done(nullptr);
                      return;
                    }
                    if (--*left > 0) return;
                    auto out = std::make_shared<records::Snapshot>(std::move(data_));
                    out->revision = parts_[0].reached;
                    stop();
                    done(std::move(out));
                  });
  }
}

}  // namespace wrenusher::standby
