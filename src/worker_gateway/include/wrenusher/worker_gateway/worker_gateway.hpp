#pragma once
// Package worker_gateway: the leader's connection to its workers. A worker is the process on a machine that
// runs tasks. It sends reports, which list its tasks and state; the leader's reply carries commands and
// renews the worker's lease. A worker whose lease expires stops its tasks. The heartbeats between controllers
// belong to package membership.
//
//   WorkerGateway      receives reports, replies to them, delivers commands, detects silent workers
//   ReportOrder        distinguishes new reports from late duplicates
//   LeaseRenewalGuard  decides which replies may renew a lease, depending on the known cancellations
//   WorkerPoller       polls workers that have not yet reported to a new leader
//   command_limits     keeps messages with commands within their size limit
//   DeliveryMonitor    detects workers that do not receive their replies
//   ListenerHealth     detects faults of this node because of which workers seem silent
//   DepartedMachines   keeps the removed machines, whose late reports are ignored
//   refusals           all responses that reject a report, by their code
//
// Package leader decides what follows from a report. This package may depend on time, value, runtime,
// settings, protocol, topology, events, domain_failure_detector and log.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/domain_failure_detector/domain_failure_detector.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"
#include "wrenusher/worker_gateway/delivery_monitor.hpp"
#include "wrenusher/worker_gateway/departed_machines.hpp"
#include "wrenusher/worker_gateway/lease_renewal_guard.hpp"
#include "wrenusher/worker_gateway/listener_health.hpp"
#include "wrenusher/worker_gateway/report_order.hpp"
#include "wrenusher/worker_gateway/worker_poller.hpp"

namespace wrenusher::worker_gateway {

/// Receives the workers' reports. On the leader, it sends each new report as an event, replies with the
/// commands that the event's receiver returns, and detects workers that are silent or receive no replies. On
/// another node, it redirects workers to the leader.
///
/// Owns the position (see ReportPosition) and time of each machine's newest report. `runtime` and `settings`
/// must outlive it. Single-threaded: called from the runtime's loop only.
class WorkerGateway {
 public:
  WorkerGateway(runtime::Runtime& runtime, const settings::Settings& settings);

  /// Starts the periodic checks.
  void start() { tick(); }
  /// Handles a worker's report. Calls `answer` exactly once, immediately or later.
  void on_report(const runtime::Request& request, const runtime::Responder& answer);

  void on_term(const events::TermChanged& term);
  void on_lease_validity(const events::LeaseValidity& event) { lease_valid_until_ = event.until; }
  void on_job_cancelled(const events::JobCancelled& event) { renewal_guard_.on_job_cancelled(event); }
  void on_cancellations_known(const events::CancellationsKnown& event);
  void on_machine_departed(const events::MachineDeparted& event);
  void on_topology_activated(const events::TopologyActivated& event);
  /// Sends the commands except `start` to the worker, if the worker has reported to this leader. Usually they
  /// fit into one call.
  void on_direct_commands(const events::DirectCommands& event);
  /// Polls the workers of the previous leader.
  void on_hints_inherited(const std::shared_ptr<const events::InheritedHints>& hints);
  /// Polls the machine's worker if the worker has not reported and no hint has named the machine.
  void on_machine_listed(const events::MachineListed& event);

  runtime::EventSink<events::WorkerReported> worker_reported;
  runtime::EventSink<events::WorkerSilent> worker_silent;
  /// Sent when a machine must be returned to the cloud, since it receives no replies or has restarted under
  /// the same name.
  runtime::EventSink<events::MachineCordoned> machine_unreachable;
  runtime::EventSink<events::MachinesSuspected> machines_suspected;
  /// Sent when a reply with start commands waits for a newer list of cancellations.
  runtime::EventSink<events::CancellationsNeeded> cancellations_needed;
  /// Sent every 250 ms, whether this node leads or not.
  runtime::EventSink<events::WorkerReachability> reachability;
  runtime::EventSink<events::LeadershipLost> leadership_lost;

 private:
  using Report = std::shared_ptr<const protocol::WorkerReport>;
  using Commands = std::vector<protocol::WorkerCommand>;
  using ReplyHandler = std::function<void(Commands)>;

  /// The state of a worker that has reported to this leader in this term.
  struct WorkerState {
    std::string address;
    std::string machine_type;
    std::string zone;
    topology::MachineLocation location;
    ReportPosition position;  ///< position of its newest report
    time::Instant last_report_at{};
    bool silent = false;
    std::optional<time::Instant> reclaimed_by;  ///< when the cloud reclaims it, from its eviction notice
    DeliveryMonitor delivery;
    bool cordoned = false;                    ///< whether it is being returned
    time::Instant last_old_report_poll_at{};  ///< last poll about a report that seemed old
  };
  /// A report that cannot be answered yet, since the tasks in it may have been cancelled.
  struct WaitingReport {
    Report report;
    std::uint64_t fencing_token = 0;
    runtime::Responder answer;
    time::Instant deadline{};
  };

  /// A reply with start commands that waits until the list of cancellations is new enough to send them.
  struct WaitingStarts {
    Report report;
    std::uint64_t fencing_token = 0;
    Commands commands;
    runtime::Responder answer;
    time::Instant deadline{};
  };

  void process_report(const Report& report, bool worker_initiated, const ReplyHandler& reply);
  void process_call_response(protocol::WorkerReport report);
  void update_worker(WorkerState& worker, const protocol::WorkerReport& report, bool worker_initiated);
  void send_reply(const Report& report, std::uint64_t fencing_token, Commands commands,
                  const runtime::Responder& answer);
  void finish_reply(const protocol::WorkerReport& report, std::uint64_t fencing_token, Commands commands,
                    const runtime::Responder& answer);
  void record_reply(const protocol::WorkerReport& report, const Commands& commands);
  void answer_waiting_reports();
  void answer_waiting_starts();
  runtime::Response redirect() const;

  void poll_about_old_report(WorkerState& worker, const protocol::WorkerReport& old_report);
  void on_old_report_poll_result(const std::string& host, std::uint64_t fencing_token,
                                 const runtime::CallResult& result);
  void on_direct_commands_result(std::uint64_t fencing_token, const runtime::CallResult& result);
  void cordon(const std::string& host, WorkerState& worker, const char* reason) const;

  void tick();
  void compensate_stall(time::Instant now);
  ListenerHealth::ReportCounts report_counts(time::Instant now) const;
  void check_delivery(time::Micros limit);
  void check_failure_domains();
  void check_silence(time::Instant now, time::Micros limit);
  void report_silent(const std::string& host, time::Micros silence, bool domain_lost) const;
  time::Micros silence_limit() const;
  time::Micros max_report_delay() const;

  bool leads_term(std::uint64_t fencing_token) const {
    return term_.leading && term_.fencing_token == fencing_token;
  }

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  events::TermChanged term_;
  time::Instant lease_valid_until_{};
  time::Instant leading_since_{};
  std::map<std::string, WorkerState> workers_;  ///< by host
  ReportOrder report_order_;
  ListenerHealth listener_health_;
  LeaseRenewalGuard renewal_guard_;
  WorkerPoller poller_;
  DepartedMachines departed_machines_;
  std::deque<WaitingReport> waiting_reports_;
  std::deque<WaitingStarts> waiting_starts_;
  time::Instant next_old_report_poll_at_{};
  bool replies_lost_ = false;  ///< whether most reports show no effect of this leader's replies
  std::shared_ptr<const topology::Topology> topology_;
  domain_failure_detector::DomainFailureDetector domain_failures_;
  std::set<std::string> suspected_;  ///< the machines in the last event
};

}  // namespace wrenusher::worker_gateway
