#include "wrenusher/leader/leader_actor.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::leader {

namespace {

/// Nothing is known to be known but up to when the last follow that was answered was asked.
constexpr Micros kFollowWait = from_seconds(2);
/// Between two follows, so that a burst of our own writes does not come back one by one.
constexpr Micros kFollowPause = from_millis(100);
constexpr Micros kRetryRead = from_millis(250);
constexpr int kMissedJobsPageSize = 100;
constexpr Micros kMissedJobsPagePause = from_millis(500);
/// The answer to a report waits this long for the commit of what the report brought: the room that a task
/// leaves is then used at once, not at the worker's next report.
constexpr Micros kMaxReplyDelay = from_millis(800);

}  // namespace

LeaderActor::LeaderActor(Runtime& runtime, const Settings& settings, KvClient& store)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      machines_(runtime, estimator_),
      jobs_(runtime, machines_),
      batcher_(runtime, settings, store, jobs_),
      reconciler_(runtime, jobs_, machines_, estimator_, start_latency_),
      scheduler_(runtime, settings, jobs_, machines_, estimator_),
      failover_(runtime, store, jobs_, batcher_) {
  batcher_.on_committed = [this] {
    reply_pending();
    wake();
  };
  batcher_.on_ready = [this] { wake(); };
  batcher_.on_job_uncertain = [this](const std::string& job_id) { refresh_job(job_id); };
  batcher_.on_leadership_lost = [this] { leadership_lost(LeadershipLost{0}); };
}

void LeaderActor::start() {
  tick();
}

std::string LeaderActor::disagreement() const {
  for (const std::string& said : {jobs_.disagreement(), batcher_.disagreement(), scheduler_.disagreement()}) {
    if (!said.empty()) return said;
  }
  return {};
}

// ---------------------------------------------------------------- terms and news from the store

void LeaderActor::on_term(const TermChanged& term) {
  const bool same = term.leading && term_.leading && term.fencing_token == term_.fencing_token;
  term_ = term;
  if (same) return;
  begin();
  failover_timer_.stop();
  if (!term_.leading) return;
  failover_timer_.begin(term, runtime_.now());
  // A standby's copy of the records comes by itself, or the word that there is none.
  if (!settings_.has_standby()) read_records();
}

/// Nothing is known of the records.
void LeaderActor::begin() {
  records_loaded_ = false;
  pending_replies_.reply_all_empty();
  jobs_.begin(term_.fencing_token);
  machines_.clear();
  batcher_.begin(term_.mod_revision);
  failover_.stop();
  term_began_ = runtime_.now();
  inherited_machines_.clear();
  expected_images_.clear();
  failure_hints_.clear();
  early_reports_.clear();
  published_class_versions_.clear();
}

void LeaderActor::read_records() {
  failover_.start_reading([this](std::uint64_t revision) { on_records_loaded(revision, false); });
}

void LeaderActor::on_replica_verified(const ReplicaVerified& event) {
  if (!term_.leading || term_.fencing_token != event.term || records_loaded_) return;
  if (!event.snapshot) {
    read_records();
    return;
  }
  failover_.load_replica(*event.snapshot);
  on_records_loaded(event.snapshot->revision, true);
  find_missed_jobs({}, term_.fencing_token);
}

void LeaderActor::find_missed_jobs(const std::string& from, std::uint64_t fencing_token) {
  store_.list("job/", from, kMissedJobsPageSize, KvClient::RequestClass::background,
              [this, from, fencing_token](const ReadReply& page) {
                if (!serving_term(fencing_token)) return;
                std::string last = from;
                for (const KeyValue& row : page.rows) {
                  last = row.key;
                  const auto job_id = records::parse_job_key(row.key);
                  // One that has ended since it was read comes back for a moment: its claims and its end fail
                  // by its root.
                  if (job_id && jobs_.find(*job_id) == nullptr) add_job(row);
                }
                if (page.result == ReadReply::Result::ok && !page.truncated) return;
                runtime_.after(kMissedJobsPagePause, [this, last, fencing_token] {
                  if (serving_term(fencing_token)) find_missed_jobs(last, fencing_token);
                });
              });
}

void LeaderActor::on_records_loaded(std::uint64_t revision, bool by_copy) {
  records_loaded_ = true;
  std::size_t assignments = 0;
  for (const auto& [host, m] : machines_.all()) {
    assignments += m.use.assignments;
    failover_timer_.expect_machine(host);
  }
  failover_timer_.on_records_read(by_copy, runtime_.now());
  adopt_failure_hints();
  log::info("records_read", "term {term}: {jobs} live jobs and {claims} claims {way} in {seconds:.2f} s",
            log::with("term", term_.fencing_token), log::with("jobs", jobs_.jobs().size()),
            log::with("claims", assignments), log::with("way", by_copy ? "taken over" : "read"),
            log::with("seconds", to_seconds(runtime_.now() - term_began_)));
  CancellationsRead read{term_began_, {}};
  for (const auto& [ref, job] : jobs_.jobs()) {
    if (job.record.cancelled) read.job_ids.push_back(ref);
  }
  cancellations_read(read);
  for (const auto& [host, in] : std::exchange(early_reports_, {})) on_report(in);
  watch_records(revision, term_.fencing_token);
}

void LeaderActor::watch_records(std::uint64_t from, std::uint64_t fencing_token) {
  store_.watch(
      "job/", from, kFollowWait, KvClient::RequestClass::lease,
      [this, from, fencing_token, asked = runtime_.now()](const WatchReply& reply) {
        if (!serving_term(fencing_token)) return;
        std::uint64_t next = from;
        if (reply.result == WatchReply::Result::too_old || reply.result == WatchReply::Result::too_large) {
          log::warn("changes_missed", "changes were missed: reading all live jobs again");
          begin();
          read_records();
          return;
        }
        if (reply.result == WatchReply::Result::ok) {
          next = std::max(from, reply.revision);
          apply_watch(reply);
          CancellationsRead read{asked, {}};
          for (const KeyValue& row : reply.puts) {
            if (auto job_id = records::cancelled_job(row.key, row.value))
              read.job_ids.push_back(std::move(*job_id));
          }
          cancellations_read(read);
        }
        runtime_.after(kFollowPause, [this, next, fencing_token] {
          if (term_.leading && term_.fencing_token == fencing_token) watch_records(next, fencing_token);
        });
      });
}

/// A job that is not known here yet.
void LeaderActor::add_job(const KeyValue& row) {
  if (add_stored_job(jobs_, row))
    log::debug("job_new", "job {job} is new", log::with("job", *records::parse_job_key(row.key)));
}

void LeaderActor::apply_watch(const WatchReply& reply) {
  for (const KeyValue& row : reply.puts) {
    const auto job_id = records::parse_job_key(row.key);
    Job* job = job_id ? jobs_.find(*job_id) : nullptr;
    if (job == nullptr) {
      add_job(row);
    } else if (row.mod_revision > job->mod_revision) {
      // Only users' cancellations change this record while its job lives.
      job->mod_revision = row.mod_revision;
      if (row.value["wd"].boolean().value_or(false)) cancel_job(*job);
    }
  }
  RecordsChanged seen;
  for (const KeyValue& row : reply.puts) seen.put(row.key, row.value);
  for (const auto& [key, stamp] : reply.deletes) seen.erase(key);
  records_changed(seen);
  wake();
}

/// Reads a job's root anew after a conflict or an unknown outcome: it tells of a cancellation, or that our
/// final write had been executed after all.
void LeaderActor::refresh_job(const std::string& job_id) {
  Job* refreshed = jobs_.find(job_id);
  if (refreshed == nullptr) return;
  refreshed->needs_refresh = true;
  store_.get(records::job_key(job_id), KvClient::RequestClass::scheduling,
             [this, job_id, fencing_token = term_.fencing_token](const ReadReply& reply) {
               if (!serving_term(fencing_token)) return;
               Job* job = jobs_.find(job_id);
               if (job == nullptr) return;
               if (reply.result != ReadReply::Result::ok) {
                 runtime_.after(kRetryRead, [this, job_id, fencing_token] {
                   if (term_.leading && term_.fencing_token == fencing_token) refresh_job(job_id);
                 });
                 return;
               }
               if (reply.rows.empty()) {
                 batcher_.remove(job_id);
                 return;
               }
               job->mod_revision = reply.rows[0].mod_revision;
               job->needs_refresh = false;
               if (reply.rows[0].value["wd"].boolean().value_or(false)) cancel_job(*job);
               wake();
             });
}

void LeaderActor::on_job_cancelled(const JobCancelled& event) {
  if (!serving()) return;
  if (Job* job = jobs_.find(event.job_id)) cancel_job(*job);
}

void LeaderActor::cancel_job(Job& job) {
  if (job.record.cancelled) return;
  jobs_.cancel(job);
  for (auto& [host, orders] : jobs_.stop_job(job, Micros{0}))
    direct_commands(DirectCommands{host, std::move(orders)});
}

// ---------------------------------------------------------------- workers, machines

void LeaderActor::on_report(const WorkerReported& event) {
  if (!serving()) {
    event.reply({});
    // A word that came before the records is not lost; its answer was, so that it settles no start.
    if (term_.leading)
      early_reports_[event.report->host] = {event.report, event.token_accepted, false, [](const auto&) {}};
    return;
  }
  const WorkerReport& report = *event.report;
  // The worker has given up waiting for the last answer; orders in it would come too late to be settled by
  // this report.
  pending_replies_.reply_empty(report.host);
  const bool heir = adopt_machine_hint(report);
  const std::uint64_t shown = reconciler_.shown_starts();
  const reconciler::Reconciler::Result taken = reconciler_.apply(report, event.token_accepted, event.settled);
  // What the report did not show to be under way is not.
  if (heir) machines_.get_or_add(report.host).inherited_fetches.clear();
  if (event.token_accepted) failover_timer_.on_machine_reported(report.host, runtime_.now());
  if (reconciler_.shown_starts() != shown) failover_timer_.on_first_start(runtime_.now());
  if (taken.usable_changed) scheduler_.request_plan();
  send_direct(taken.stops);
  for (const MachineCordoned& cordoned : taken.suspects) machine_suspect(cordoned);
  const Machine& machine = machines_.get_or_add(report.host);
  // Only answers to reports carry orders; what a task left is used at once, so its worker waits for the next
  // round.
  if (event.settled && machine.token_accepted && lease_valid() &&
      (taken.tasks_left || reconciler_.awaits_commit(machine, report))) {
    pending_replies_.add(report.host, {event.report, event.reply,
                                       runtime_.now() + std::min(kMaxReplyDelay, settings_.worker_lease / 8),
                                       scheduler_.plan_count()});
    if (taken.tasks_left) wake();
    return;
  }
  event.reply(reconciler_.commands_for(machine, report));
}

void LeaderActor::on_worker_silent(const WorkerSilent& event) {
  if (Machine* machine = machines_.find(event.host)) {
    machine->silent = true;
    machines_.mark_changed(*machine);
  }
  scheduler_.request_plan();
}

void LeaderActor::on_machine_cordoned(const MachineCordoned& event) {
  Machine& machine = machines_.get_or_add(event.host);
  machine.cordoned = true;
  machines_.mark_changed(machine);
}

void LeaderActor::on_machine_departed(const MachineDeparted& event) {
  failover_timer_.on_machine_departed(event.host);
  if (auto hint = inherited_machines_.extract(event.host)) expect_images(hint.mapped(), false);
  early_reports_.erase(event.host);
  if (!serving()) return;
  const Machine* machine = machines_.find(event.host);
  if (machine == nullptr) return;
  const job_table::MachineAssignments there = jobs_.assignments_on(*machine);
  if (!there.empty())
    log::info("machine_gone", "machine {machine} is gone with {tasks} tasks",
              log::with("machine", event.host), log::with("tasks", there.size()));
  for (const auto& [id, job] : there) jobs_.release(*job, id.task, "its machine is gone", true);
  pending_replies_.reply_empty(event.host);
  machines_.erase(event.host);
  estimator_.forget_host(event.host);
  scheduler_.request_plan();
}

void LeaderActor::on_topology(const TopologyActivated& event) {
  machines_.set_topology(event.topology);
  scheduler_.request_plan();
}

void LeaderActor::on_machines_suspected(const MachinesSuspected& event) {
  for (auto& [name, m] : machines_.all()) {
    const bool doubted = event.hosts.contains(name);
    if (m.suspected == doubted) continue;
    m.suspected = doubted;
    machines_.mark_changed(m);
  }
  scheduler_.request_plan();
}

void LeaderActor::on_catalog(const CatalogUpdated& event) {
  machines_.set_catalog(event.catalog);
  scheduler_.request_plan();
}

// ---------------------------------------------------------------- rounds

void LeaderActor::tick() {
  run_cycle();
  runtime_.after(settings_.tunables.scheduling_interval, [this] { tick(); });
}

/// News that should not wait for the next tick.
void LeaderActor::wake() {
  if (wake_scheduled_) return;
  wake_scheduled_ = true;
  const Micros gap = settings_.tunables.scheduling_interval / 2;
  runtime_.after(std::max(Micros{0}, last_cycle_ + gap - runtime_.now()), [this] {
    wake_scheduled_ = false;
    run_cycle();
  });
}

void LeaderActor::run_cycle() {
  last_cycle_ = runtime_.now();
  if (!serving()) return;
  if (lease_valid() && scheduler_.due()) {
    const scheduling_cycle::SchedulingCycle::Result planned = scheduler_.plan();
    send_direct(planned.stops);
    if (planned.workload) workload(planned.workload);
  }
  batcher_.flush();
  reply_pending();
  if (auto counts = scheduler_.progress()) progress(std::move(counts));
  start_latency_.log_if_due(runtime_.now());
  publish_hints();
  if (const auto told = failover_timer_.finish(jobs_.unconfirmed_count(), runtime_.now()))
    failover_finished(*told);
}

void LeaderActor::reply_pending() {
  pending_replies_.reply_ready(
      [this](const std::string& host,
             const pending_replies::PendingReply& pending) -> std::optional<std::vector<WorkerCommand>> {
        const Machine& machine = machines_.get_or_add(host);
        const bool ready = pending.plans_before < scheduler_.plan_count() &&
                           !reconciler_.awaits_commit(machine, *pending.report);
        if (!ready && runtime_.now() < pending.deadline) return std::nullopt;
        return reconciler_.commands_for(machine, *pending.report);
      });
}

void LeaderActor::send_direct(const std::vector<DirectCommands>& commands) {
  for (const DirectCommands& event : commands) direct_commands(event);
}

}  // namespace wrenusher::leader
