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
    request_cycle();
  };
  batcher_.on_shard_refreshed = [this] { request_cycle(); };
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
  reset();
  failover_timer_.stop();
  if (!term_.leading) return;
  failover_timer_.begin(term, runtime_.now());
  // If standbys are configured, `on_replica_verified` is called: with the replica, or without one if the
  // replica was incomplete or rejected.
  if (!settings_.has_standby()) read_records();
}

/// Clears all state that was loaded from the records; called when a term begins or ends, and when the records
/// must be read again within a term.
void LeaderActor::reset() {
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

/// Schedules a cycle before the next tick, for changes that should be processed early. The cycle runs no
/// earlier than half an interval after the last one.
void LeaderActor::request_cycle() {
  if (cycle_requested_) return;
  cycle_requested_ = true;
  const Micros min_gap = settings_.tunables.scheduling_interval / 2;
  runtime_.after(std::max(Micros{0}, last_cycle_ + min_gap - runtime_.now()), [this] {
    cycle_requested_ = false;
    run_cycle();
  });
}

void LeaderActor::run_cycle() {
  last_cycle_ = runtime_.now();
  if (!serving()) return;
  if (lease_valid() && scheduler_.due()) {
    const scheduling_cycle::SchedulingCycle::Result planned = scheduler_.plan();
    send_direct_commands(planned.stops);
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

void LeaderActor::send_direct_commands(const std::vector<events::DirectCommands>& commands) const {
  for (const events::DirectCommands& event : commands) direct_commands(event);
}

}  // namespace wrenusher::leader
