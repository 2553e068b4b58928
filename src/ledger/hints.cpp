// What the ledger tells standbys, and takes over from the last leader's telling.

#include <algorithm>
#include <deque>
#include <tuple>

#include "wrenusher/ledger/ledger.hpp"

namespace wrenusher::ledger {

namespace {

constexpr Micros kTellEvery = millis(500);
/// Queues and jobs change with every task that ends; they are told less often.
constexpr Micros kTellQueuesEvery = from_seconds(2);
/// Machines told at a time; the rest waits for the next.
constexpr std::size_t kMostTold = 300;
/// In the first moments of a term no place without the image is taken while one with it may still be heard.
constexpr Micros kHeardWithin = millis(1200);

}  // namespace

MachineHint Ledger::hint_of(const Machine& m) const {
  MachineHint h;
  h.host = m.name;
  h.addr = m.addr;
  h.flavor = m.flavor;
  h.site = m.site;
  h.standby = m.standby;
  h.quiet = m.quiet;
  h.tenure = m.tenure;
  if (const Flavor* f = machines_.flavor(m)) h.room = m.use.booked.cores < f->room.cores;
  std::tie(h.speed_seen, h.slowness) = estimator_.slowness(m.name);
  std::vector<std::pair<std::uint64_t, const std::string*>> by_use;
  for (const auto& [bundle, used] : m.images) by_use.emplace_back(used, &bundle);
  std::sort(by_use.begin(), by_use.end());
  for (const auto& [used, bundle] : by_use) {
    const auto gb = m.image_gb.find(*bundle);
    h.images.push_back({*bundle, gb == m.image_gb.end() ? 0 : gb->second});
  }
  for (const auto& [bundle, p] : m.pulling) h.fetches.push_back({bundle, p.size_gb, p.left_gb});
  for (const auto& [ref, at] : m.errors) h.failures.push_back({ref, rt_.now() - at});
  return h;
}

/// What has changed since it was last told.
void Ledger::tell_hints() {
  const Instant now = rt_.now();
  if (!settings_.stands_by() || now < next_hints_) return;
  next_hints_ = now + kTellEvery;
  auto out = std::make_shared<LedgerHints>();
  for (Machine* m : machines_.take_untold(kMostTold)) {
    // One that only a claim tells of has nothing to be called at.
    if (m->addr.empty()) continue;
    machines_.progress_pulls(*m);
    out->machines.push_back(hint_of(*m));
  }
  if (now >= next_queue_hints_) {
    next_queue_hints_ = now + kTellQueuesEvery;
    for (const std::string& queue : estimator_.queues()) {
      std::uint64_t& told = queues_told_[queue];
      const std::uint64_t version = estimator_.version(queue);
      if (told == version) continue;
      told = version;
      QueueHint q{queue, {}};
      for (const auto& s : estimator_.jobs_of(queue)) q.jobs.push_back({s.ref, s.sum, s.tasks});
      out->queues.push_back(std::move(q));
    }
    std::set<std::string> failing;
    for (const auto& [ref, job] : book_.jobs()) {
      if (job.error_hosts.empty() && job.backoffs == 0) continue;
      failing.insert(ref);
      out->jobs.push_back({ref,
                           {job.error_hosts.begin(), job.error_hosts.end()},
                           std::max(Micros{0}, job.not_before - now),
                           job.backoffs});
    }
    for (const std::string& ref : jobs_told_) {
      if (!failing.contains(ref)) out->jobs.push_back({ref, {}, {}, 0});
    }
    jobs_told_ = std::move(failing);
  }
  if (!out->machines.empty() || !out->queues.empty() || !out->jobs.empty())
    hints(std::shared_ptr<const LedgerHints>(std::move(out)));
}

void Ledger::on_inherited(const std::shared_ptr<const Inheritance>& all) {
  if (!term_.leading || term_.epoch != all->term) return;
  inherited_ = all->machines;
  for (const QueueHint& q : all->queues) {
    std::deque<estimates::Estimator::Seen> jobs;
    for (const auto& s : q.jobs) jobs.push_back({s.ref, s.sum, s.tasks});
    estimator_.inherit(q.queue, std::move(jobs));
  }
  for (const auto& [host, m] : inherited_) {
    estimator_.inherit_host(host, m.speed_seen, m.slowness);
    times_.awaits(host);
    expect_images(m, true);
  }
  // All that live are heard in about that time; a fetch takes longer.
  rounds_.expect_images(&coming_images_, rt_.now() + kHeardWithin);
  failing_ = all->jobs;
}

/// A machine that has room and is not heard yet holds these images.
void Ledger::expect_images(const MachineHint& h, bool comes) {
  if (!h.room || h.quiet) return;
  for (const auto& i : h.images) {
    if (comes) {
      ++coming_images_[i.bundle];
    } else if (const auto it = coming_images_.find(i.bundle);
               it != coming_images_.end() && --it->second == 0) {
      coming_images_.erase(it);
    }
  }
}

/// A machine's first word in this term: what the last leader told of it holds until a report says otherwise.
/// One that was never heard again comes to nothing by it.
bool Ledger::inherit(const WorkerReport& r) {
  const auto found = inherited_.extract(r.host);
  if (!found) return false;
  const MachineHint& h = found.mapped();
  expect_images(h, false);
  if (h.flavor != r.flavor || h.addr != r.addr) return false;
  Machine& m = machines_.at(r.host);
  std::vector<Machines::Held> held;
  for (const auto& i : h.images) held.push_back({i.bundle, i.gb, 0});
  const Flavor* f = machines_.type(r.flavor);
  for (const auto& p : h.fetches) {
    const double since =
        f == nullptr ? 0 : to_seconds(h.told_ago) * f->pull_gb_per_s / static_cast<double>(h.fetches.size());
    held.push_back({p.bundle, p.size_gb, std::max(p.left_gb - since, p.size_gb * 0.05)});
  }
  machines_.inherit(m, held);
  for (const auto& e : h.failures) m.errors[e.ref] = rt_.now() - e.ago;
  return true;
}

/// Jobs that failed before go on as they were: not tried again at once on the machines they failed on.
void Ledger::inherit_failures() {
  for (const JobHint& j : failing_) {
    Job* job = book_.find(j.ref);
    if (job == nullptr) continue;
    job->backoffs = std::min(j.backoffs, 16);
    if (j.pause.count() > 0) job->not_before = rt_.now() + std::min(j.pause, from_seconds(60));
    for (const std::string& host : j.hosts) job->error_hosts.insert(host);
  }
  failing_.clear();
}

}  // namespace wrenusher::ledger
