// The leader's handlers for events of workers and machines: reports, silence, cordons, departures, machine
// types and topology.

#include <algorithm>

#include "wrenusher/leader/leader_actor.hpp"
#include "wrenusher/log/log.hpp"

namespace wrenusher::leader {

namespace {

/// Longest time for which the reply to a report waits for the commit of the resulting changes. The wait lets
/// the reply assign new tasks to capacity that the report freed, instead of the reply to the next report.
constexpr Micros kMaxReplyDelay = time::from_millis(800);
/// At the start of a term, a task is not assigned to a machine without its image while a machine that has the
/// image cached may still report. All running machines report within about this time, and fetching an image
/// takes longer.
constexpr Micros kMachineReportWindow = time::from_millis(1200);

}  // namespace

void LeaderActor::on_report(const events::WorkerReported& event) {
  if (!serving()) {
    event.reply({});
    // A report that arrives before the records are loaded is processed after loading. It has already been
    // answered, so it is kept as not settled and does not confirm the outcome of any start.
    if (term_.leading)
      early_reports_[event.report->host] = {event.report, event.token_accepted, false, [](const auto&) {}};
    return;
  }
  // The worker has timed out waiting for the previous reply. Commands in that reply would arrive too late to
  // be settled by this report.
  pending_replies_.reply_empty(event.report->host);
  const reconciler::Reconciler::Result result = reconcile(event);
  if (result.usable_changed) scheduler_.request_plan();
  send_direct_commands(result.stops);
  for (const events::MachineCordoned& cordoned : result.machines_to_cordon) machine_suspect(cordoned);
  reply_or_defer(event, result.tasks_released);
}

/// Applies the report to the job table and the inventory, and updates the failover measurements.
reconciler::Reconciler::Result LeaderActor::reconcile(const events::WorkerReported& event) {
  const protocol::WorkerReport& report = *event.report;
  const bool adopted = hint_adopter_.adopt_machine(report);
  const std::uint64_t shown_before = reconciler_.confirmed_start_count();
  reconciler::Reconciler::Result result =
      reconciler_.apply(report, event.token_accepted, event.worker_initiated);
  // An inherited fetch that the report does not list is not in progress.
  if (adopted) machines_.get_or_add(report.host).inherited_fetches.clear();
  if (event.token_accepted) failover_timer_.on_machine_reported(report.host, runtime_.now());
  if (reconciler_.confirmed_start_count() != shown_before) failover_timer_.on_first_start(runtime_.now());
  return result;
}

/// Replies to the report, or defers the reply until the next scheduling cycle is committed. New tasks can
/// only be sent in replies to reports, so deferring the reply lets the worker use freed capacity without
/// waiting for its next report.
void LeaderActor::reply_or_defer(const events::WorkerReported& event, bool tasks_left) {
  const protocol::WorkerReport& report = *event.report;
  const Machine& machine = machines_.get_or_add(report.host);
  if (event.worker_initiated && machine.token_accepted && lease_valid() &&
      (tasks_left || reconciler_.awaits_commit(machine, report))) {
    pending_replies_.add(report.host, {event.report, event.reply,
                                       runtime_.now() + std::min(kMaxReplyDelay, settings_.worker_lease / 8),
                                       scheduler_.plan_count()});
    if (tasks_left) request_cycle();
    return;
  }
  event.reply(reconciler_.commands_for(machine, report));
}

void LeaderActor::on_worker_silent(const events::WorkerSilent& event) {
  if (Machine* machine = machines_.find(event.host)) {
    machine->silent = true;
    machines_.mark_changed(*machine);
  }
  scheduler_.request_plan();
}

void LeaderActor::on_machine_cordoned(const events::MachineCordoned& event) {
  Machine& machine = machines_.get_or_add(event.host);
  machine.cordoned = true;
  machines_.mark_changed(machine);
}

void LeaderActor::on_machine_departed(const events::MachineDeparted& event) {
  failover_timer_.on_machine_departed(event.host);
  hint_adopter_.remove_machine(event.host);
  early_reports_.erase(event.host);
  if (!serving()) return;
  const Machine* machine = machines_.find(event.host);
  if (machine == nullptr) return;
  // A copy is needed because each release changes the machine's assignments.
  const job_table::MachineAssignments released = jobs_.assignments_on(*machine);
  if (!released.empty())
    log::info("machine_lost", "machine {machine} has departed with {tasks} tasks",
              log::with("machine", event.host), log::with("tasks", released.size()));
  for (const auto& [key, job] : released) jobs_.release(*job, key.task, "its machine has departed", true);
  pending_replies_.reply_empty(event.host);
  machines_.erase(event.host);
  estimator_.remove_host(event.host);
  scheduler_.request_plan();
}

void LeaderActor::on_topology(const events::TopologyActivated& event) {
  machines_.set_topology(event.topology);
  scheduler_.request_plan();
}

void LeaderActor::on_machines_suspected(const events::MachinesSuspected& event) {
  for (auto& [host, machine] : machines_.all()) {
    const bool suspected = event.hosts.contains(host);
    if (machine.suspected == suspected) continue;
    machine.suspected = suspected;
    machines_.mark_changed(machine);
  }
  scheduler_.request_plan();
}

void LeaderActor::on_catalog(const events::CatalogUpdated& event) {
  machines_.set_catalog(event.catalog);
  scheduler_.request_plan();
}

void LeaderActor::on_hints_inherited(const std::shared_ptr<const events::InheritedHints>& inherited) {
  if (!leading_term(inherited->term)) return;
  hint_adopter_.adopt(*inherited);
  for (const auto& [host, hint] : hint_adopter_.machines()) failover_timer_.expect_machine(host);
  scheduler_.expect_images(&hint_adopter_.expected_images(), runtime_.now() + kMachineReportWindow);
}

}  // namespace wrenusher::leader
