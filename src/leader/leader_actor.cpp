#include "wrenusher/leader/leader_actor.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace wrenusher::leader {

LeaderActor::LeaderActor(Runtime& runtime, const Settings& settings, KvClient& store)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      machines_(runtime, estimator_),
      jobs_(runtime, machines_),
      batcher_(runtime, settings, store, jobs_),
      reconciler_(runtime, jobs_, machines_, estimator_, start_latency_),
      scheduler_(runtime, settings, jobs_, machines_, estimator_),
      failover_(runtime, store, jobs_, batcher_),
      hint_collector_(runtime, settings, estimator_, machines_, jobs_),
      hint_adopter_(runtime, estimator_, machines_) {
  batcher_.on_committed = [this] {
    reply_pending();
    wake();
  };
  batcher_.on_shard_refreshed = [this] { wake(); };
  batcher_.on_job_refresh_needed = [this](const std::string& job_id) { refresh_job(job_id); };
  batcher_.on_leadership_lost = [this] { leadership_lost(events::LeadershipLost{0}); };
}

void LeaderActor::start() {
  tick();
}

std::string LeaderActor::disagreement() const {
  for (const std::string& difference :
       {jobs_.disagreement(), batcher_.disagreement(), scheduler_.disagreement()}) {
    if (!difference.empty()) return difference;
  }
  return {};
}

void LeaderActor::on_term(const events::TermChanged& term) {
  const bool unchanged = term.leading && leading_term(term.fencing_token);
  term_ = term;
  if (unchanged) return;
  begin();
  failover_timer_.stop();
  if (!term_.leading) return;
  failover_timer_.begin(term, runtime_.now());
  // With standbys the verified replica comes by itself, or the event that there is none.
  if (!settings_.has_standby()) read_records();
}

/// A new term, or the records are to be read again within one: forgets all that was known of them.
void LeaderActor::begin() {
  records_loaded_ = false;
  pending_replies_.reply_all_empty();
  jobs_.reset(term_.fencing_token);
  machines_.clear();
  batcher_.reset(term_.mod_revision);
  failover_.stop();
  term_began_ = runtime_.now();
  hint_adopter_.begin();
  early_reports_.clear();
  hint_collector_.begin();
}

void LeaderActor::tick() {
  run_cycle();
  runtime_.after(settings_.tunables.scheduling_interval, [this] { tick(); });
}

/// Runs a cycle soon, for changes that should not wait for the next tick: at the earliest half an interval
/// after the last cycle.
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
  if (const auto counts = scheduler_.progress()) progress(counts);
  start_latency_.log_if_due(runtime_.now());
  if (const auto changed = hint_collector_.collect()) hints(changed);
  if (const auto times = failover_timer_.finish(jobs_.unconfirmed_count(), runtime_.now()))
    failover_finished(*times);
}

void LeaderActor::reply_pending() {
  pending_replies_.reply_ready([this](const std::string& host, const pending_replies::PendingReply& pending)
                                   -> std::optional<std::vector<protocol::WorkerCommand>> {
    const Machine& machine = machines_.get_or_add(host);
    const bool ready = pending.plan_count_at_report < scheduler_.plan_count() &&
                       !reconciler_.awaits_commit(machine, *pending.report);
    if (!ready && runtime_.now() < pending.deadline) return std::nullopt;
    return reconciler_.commands_for(machine, *pending.report);
  });
}

void LeaderActor::send_direct(const std::vector<events::DirectCommands>& commands) const {
  for (const events::DirectCommands& event : commands) direct_commands(event);
}

}  // namespace wrenusher::leader
