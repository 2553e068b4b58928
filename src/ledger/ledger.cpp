#include "wrenusher/ledger/ledger.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::ledger {

namespace {

/// Nothing is known to be known but up to when the last follow that was answered was asked.
constexpr Micros kFollowWait = from_seconds(2);
/// Between two follows, so that a burst of our own writes does not come back one by one.
constexpr Micros kFollowPause = millis(100);
constexpr Micros kRetryRead = millis(250);
constexpr int kMissedPage = 100;
constexpr Micros kMissedPause = millis(500);
/// The answer to a report waits this long for the commit of what the report brought: the room that a task
/// leaves is then used at once, not at the worker's next report.
constexpr Micros kHoldAnswer = millis(800);

}  // namespace

Ledger::Ledger(Runtime& rt, const Settings& settings, Store& store)
    : rt_(rt),
      settings_(settings),
      store_(store),
      machines_(rt, estimator_),
      book_(rt, machines_),
      writer_(rt, settings, store, book_),
      reports_(rt, book_, machines_, estimator_, waits_),
      rounds_(rt, settings, book_, machines_, estimator_),
      takeover_(rt, store, book_, writer_) {
  writer_.on_committed = [this] {
    answer_held();
    wake();
  };
  writer_.on_ready = [this] { wake(); };
  writer_.on_doubt = [this](const std::string& ref) { refresh(ref); };
  writer_.on_deposed = [this] { deposed(Deposed{0}); };
}

void Ledger::start() {
  tick();
}

std::string Ledger::disagreement() const {
  for (const std::string& said : {book_.disagreement(), writer_.disagreement(), rounds_.disagreement()}) {
    if (!said.empty()) return said;
  }
  return {};
}

// ---------------------------------------------------------------- terms and news from the store

void Ledger::on_term(const TermChanged& t) {
  const bool same = t.leading && term_.leading && t.epoch == term_.epoch;
  term_ = t;
  if (same) return;
  begin();
  times_.stop();
  if (!term_.leading) return;
  times_.begin(t, rt_.now());
  // A standby's copy of the records comes by itself, or the word that there is none.
  if (!settings_.stands_by()) read_records();
}

/// Nothing is known of the records.
void Ledger::begin() {
  loaded_ = false;
  held_.void_all();
  book_.begin(term_.epoch);
  machines_.clear();
  writer_.begin(term_.stamp);
  takeover_.stop();
  term_began_ = rt_.now();
  inherited_.clear();
  coming_images_.clear();
  failing_.clear();
  early_.clear();
  queues_told_.clear();
}

void Ledger::read_records() {
  takeover_.begin([this](std::uint64_t revision) { loaded(revision, false); });
}

void Ledger::on_copied(const RecordsCopied& c) {
  if (!term_.leading || term_.epoch != c.term || loaded_) return;
  if (!c.snapshot) {
    read_records();
    return;
  }
  takeover_.take(*c.snapshot);
  loaded(c.snapshot->revision, true);
  look_for_missed({}, term_.epoch);
}

void Ledger::look_for_missed(const std::string& from, std::uint64_t epoch) {
  store_.list("job/", from, kMissedPage, Store::Urgent::spare, [this, from, epoch](const Read& page) {
    if (!open_in(epoch)) return;
    std::string last = from;
    for (const Row& row : page.rows) {
      last = row.key;
      const auto ref = records::parse_job_key(row.key);
      // One that has ended since it was read comes back for a moment: its claims and its end fail by its
      // root.
      if (ref && book_.find(*ref) == nullptr) take_up(row);
    }
    if (page.result == Read::Result::ok && !page.truncated) return;
    rt_.after(kMissedPause, [this, last, epoch] {
      if (open_in(epoch)) look_for_missed(last, epoch);
    });
  });
}

void Ledger::loaded(std::uint64_t revision, bool by_copy) {
  loaded_ = true;
  std::size_t claims = 0;
  for (const auto& [host, m] : machines_.all()) {
    claims += m.use.claims;
    times_.awaits(host);
  }
  times_.read(by_copy, rt_.now());
  inherit_failures();
  log::info("records_read", "term {term}: {jobs} live jobs and {claims} claims {way} in {seconds:.2f} s",
            log::with("term", term_.epoch), log::with("jobs", book_.jobs().size()),
            log::with("claims", claims), log::with("way", by_copy ? "taken over" : "read"),
            log::with("seconds", to_seconds(rt_.now() - term_began_)));
  CancellationsRead read{term_began_, {}};
  for (const auto& [ref, job] : book_.jobs()) {
    if (job.rec.withdrawn) read.refs.push_back(ref);
  }
  cancellations_read(read);
  for (const auto& [host, in] : std::exchange(early_, {})) on_report(in);
  follow(revision, term_.epoch);
}

void Ledger::follow(std::uint64_t from, std::uint64_t epoch) {
  store_.follow(
      "job/", from, kFollowWait, Store::Urgent::hold,
      [this, from, epoch, asked = rt_.now()](const FollowReply& f) {
        if (!open_in(epoch)) return;
        std::uint64_t next = from;
        if (f.result == FollowReply::Result::too_old || f.result == FollowReply::Result::too_large) {
          log::warn("changes_missed", "changes were missed: reading all live jobs again");
          begin();
          read_records();
          return;
        }
        if (f.result == FollowReply::Result::ok) {
          next = std::max(from, f.revision);
          take_news(f);
          CancellationsRead read{asked, {}};
          for (const Row& row : f.puts) {
            if (auto ref = records::cancelled_job(row.key, row.value)) read.refs.push_back(std::move(*ref));
          }
          cancellations_read(read);
        }
        rt_.after(kFollowPause, [this, next, epoch] {
          if (term_.leading && term_.epoch == epoch) follow(next, epoch);
        });
      });
}

/// A job that is not known here yet.
void Ledger::take_up(const Row& row) {
  if (accept_root(book_, row))
    log::debug("job_new", "job {job} is new", log::with("job", *records::parse_job_key(row.key)));
}

void Ledger::take_news(const FollowReply& f) {
  for (const Row& row : f.puts) {
    const auto ref = records::parse_job_key(row.key);
    Job* job = ref ? book_.find(*ref) : nullptr;
    if (job == nullptr) {
      take_up(row);
    } else if (row.stamp > job->stamp) {
      // Only users' cancellations change this record while its job lives.
      job->stamp = row.stamp;
      if (row.value["wd"].boolean().value_or(false)) withdraw(*job);
    }
  }
  RecordsFollowed seen;
  for (const Row& row : f.puts) seen.put(row.key, row.value);
  for (const auto& [key, stamp] : f.deletes) seen.gone(key);
  followed(seen);
  wake();
}

/// Reads a job's root anew after a conflict or an unknown outcome: it tells of a cancellation, or that our
/// final write had been executed after all.
void Ledger::refresh(const std::string& ref) {
  Job* refreshed = book_.find(ref);
  if (refreshed == nullptr) return;
  refreshed->refresh = true;
  store_.get(records::job_key(ref), Store::Urgent::schedule, [this, ref, epoch = term_.epoch](const Read& r) {
    if (!open_in(epoch)) return;
    Job* job = book_.find(ref);
    if (job == nullptr) return;
    if (r.result != Read::Result::ok) {
      rt_.after(kRetryRead, [this, ref, epoch] {
        if (term_.leading && term_.epoch == epoch) refresh(ref);
      });
      return;
    }
    if (r.rows.empty()) {
      writer_.drop(ref);
      return;
    }
    job->stamp = r.rows[0].stamp;
    job->refresh = false;
    if (r.rows[0].value["wd"].boolean().value_or(false)) withdraw(*job);
    wake();
  });
}

void Ledger::on_withdrawn(const JobWithdrawn& w) {
  if (!open()) return;
  if (Job* job = book_.find(w.ref)) withdraw(*job);
}

void Ledger::withdraw(Job& job) {
  if (job.rec.withdrawn) return;
  book_.withdraw(job);
  for (auto& [host, orders] : book_.halt(job, Micros{0})) direct(DirectOrders{host, std::move(orders)});
}

// ---------------------------------------------------------------- workers, machines

void Ledger::on_report(const HostReported& in) {
  if (!open()) {
    in.reply({});
    // A word that came before the records is not lost; its answer was, so that it settles no start.
    if (term_.leading) early_[in.report->host] = {in.report, in.current, false, [](const auto&) {}};
    return;
  }
  const WorkerReport& r = *in.report;
  // The worker has given up waiting for the last answer; orders in it would come too late to be settled by
  // this report.
  held_.void_answer(r.host);
  const bool heir = inherit(r);
  const std::uint64_t shown = reports_.shown();
  const reports::Reports::Taken taken = reports_.take(r, in.current, in.settled);
  // What the report did not show to be under way is not.
  if (heir) machines_.at(r.host).fetched.clear();
  if (in.current) times_.heard(r.host, rt_.now());
  if (reports_.shown() != shown) times_.started(rt_.now());
  if (taken.usable_changed) rounds_.need();
  send(taken.halts);
  for (const HostCondemned& c : taken.suspects) suspect(c);
  const Machine& m = machines_.at(r.host);
  // Only answers to reports carry orders; what a task left is used at once, so its worker waits for the next
  // round.
  if (in.settled && m.current && certain() && (taken.left || reports_.awaits_commit(m, r))) {
    held_.keep(r.host, {in.report, in.reply, rt_.now() + std::min(kHoldAnswer, settings_.lease / 8),
                        rounds_.plans()});
    if (taken.left) wake();
    return;
  }
  in.reply(reports_.orders(m, r));
}

void Ledger::on_quiet(const HostQuiet& q) {
  if (Machine* m = machines_.find(q.host)) {
    m->quiet = true;
    machines_.touch(*m);
  }
  rounds_.need();
}

void Ledger::on_condemned(const HostCondemned& c) {
  Machine& m = machines_.at(c.host);
  m.condemned = true;
  machines_.touch(m);
}

void Ledger::on_gone(const HostGone& g) {
  times_.gone(g.host);
  if (auto h = inherited_.extract(g.host)) expect_images(h.mapped(), false);
  early_.erase(g.host);
  if (!open()) return;
  const Machine* m = machines_.find(g.host);
  if (m == nullptr) return;
  const book::Tenants there = book_.on(*m);
  if (!there.empty())
    log::info("machine_gone", "machine {machine} is gone with {tasks} tasks", log::with("machine", g.host),
              log::with("tasks", there.size()));
  for (const auto& [id, job] : there) book_.release(*job, id.second, "its machine is gone", true);
  held_.void_answer(g.host);
  machines_.erase(g.host);
  estimator_.forget_host(g.host);
  rounds_.need();
}

void Ledger::on_topology(const TopologyInForce& t) {
  machines_.take_topology(t.topology);
  rounds_.need();
}

void Ledger::on_doubted(const Doubted& d) {
  for (auto& [name, m] : machines_.all()) {
    const bool doubted = d.hosts.contains(name);
    if (m.doubted == doubted) continue;
    m.doubted = doubted;
    machines_.touch(m);
  }
  rounds_.need();
}

void Ledger::on_catalog(const CatalogSeen& c) {
  machines_.take_catalog(c.catalog);
  rounds_.need();
}

// ---------------------------------------------------------------- rounds

void Ledger::tick() {
  round();
  rt_.after(settings_.tunables.round, [this] { tick(); });
}

/// News that should not wait for the next tick.
void Ledger::wake() {
  if (woken_) return;
  woken_ = true;
  const Micros gap = settings_.tunables.round / 2;
  rt_.after(std::max(Micros{0}, last_round_ + gap - rt_.now()), [this] {
    woken_ = false;
    round();
  });
}

void Ledger::round() {
  last_round_ = rt_.now();
  if (!open()) return;
  if (certain() && rounds_.due()) {
    const rounds::Rounds::Result planned = rounds_.plan();
    send(planned.halts);
    if (planned.workload) workload(planned.workload);
  }
  writer_.flush();
  answer_held();
  if (auto p = rounds_.progress()) progress(std::move(p));
  waits_.tell(rt_.now());
  tell_hints();
  if (const auto told = times_.ended(book_.loaded(), rt_.now())) taken_over(*told);
}

void Ledger::answer_held() {
  held_.give([this](const std::string& host, const held::Answer& a) -> std::optional<std::vector<Order>> {
    const Machine& m = machines_.at(host);
    const bool ready = a.plans < rounds_.plans() && !reports_.awaits_commit(m, *a.report);
    if (!ready && rt_.now() < a.until) return std::nullopt;
    return reports_.orders(m, *a.report);
  });
}

void Ledger::send(const std::vector<DirectOrders>& orders) {
  for (const DirectOrders& d : orders) direct(d);
}

}  // namespace wrenusher::ledger
