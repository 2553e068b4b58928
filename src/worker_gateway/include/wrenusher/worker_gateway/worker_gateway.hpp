#pragma once
// Package worker_gateway: the leader's connection to its workers.
//
//   WorkerGateway      receives reports, answers them, delivers commands, notices silence
//   ReportOrder        tells new reports from copies that arrive late
//   LeaseRenewalGuard  which answers may renew a lease, given what is known of cancellations
//   WorkerPoller       polls workers that don't report to a new leader by themselves
//   DeliveryMonitor    whether a worker receives its answers
//   ListenerHealth     whether this node itself is why workers seem silent
//   DepartedMachines   machines whose late reports are ignored
//   refusals           every answer that doesn't accept a report, by its code
//
// What a report means is decided by package leader. It may depend on time, value, runtime, settings,
// protocol, topology, events, domain_failure_detector and log.

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

/// Receives the workers' reports. On a leader it hands each new one on as an event, answers with the commands
/// that come back, and watches for workers that fall silent or receive nothing. Other nodes redirect workers
/// to the leader.
///
/// Owns, by machine, the position and time of the newest report. `runtime` and `settings` must outlive it.
/// Single-threaded: called from the runtime's loop only.
class WorkerGateway {
 public:
  WorkerGateway(runtime::Runtime& runtime, const settings::Settings& settings);

  /// Begins the periodic checks.
  void start() { tick(); }
  /// A worker's report. Calls `answer` once, at once or later.
  void on_report(const runtime::Request& request, const runtime::Responder& answer);

  void on_term(const events::TermChanged& term);
  void on_lease_validity(const events::LeaseValidity& event) { lease_valid_until_ = event.until; }
  void on_job_cancelled(const events::JobCancelled& event) { renewals_.on_job_cancelled(event); }
  void on_cancellations_known(const events::CancellationsKnown& event);
  void on_machine_departed(const events::MachineDeparted& event);
  void on_topology_activated(const events::TopologyActivated& event);
  /// Calls the worker, if it has reported to this leader; `start` commands are left out.
  void on_direct_commands(const events::DirectCommands& event);
  /// Polls the workers that the previous leader had.
  void on_hints_inherited(const std::shared_ptr<const events::InheritedHints>& hints);
  /// Polls a worker that has not reported, and that no hint named.
  void on_machine_listed(const events::MachineListed& event);

  runtime::EventSink<events::WorkerReported> worker_reported;
  runtime::EventSink<events::WorkerSilent> worker_silent;
  /// A machine receives nothing, or has begun anew under its name: it is to be returned.
  runtime::EventSink<events::MachineCordoned> machine_unreachable;
  runtime::EventSink<events::MachinesSuspected> machines_suspected;
  /// Sent every 250 ms, leading or not.
  runtime::EventSink<events::WorkerReachability> reachability;
  runtime::EventSink<events::LeadershipLost> leadership_lost;

 private:
  using Report = std::shared_ptr<const protocol::WorkerReport>;
  using Commands = std::vector<protocol::WorkerCommand>;
  using ReplyHandler = std::function<void(Commands)>;

  /// A worker that has reported to this leader in this term.
  struct WorkerState {
    std::string address;
    std::string machine_type;
    std::string zone;
    topology::MachineLocation location;
    ReportPosition position;  ///< of its newest report
    time::Instant heard_at{};
    bool silent = false;
    std::optional<time::Instant> reclaimed_by;  ///< when the cloud takes it away, by its eviction notice
    DeliveryMonitor delivery;
    bool cordoned = false;          ///< it is being returned
    time::Instant challenged_at{};  ///< when it was last polled about a report that seemed old
  };
  /// A report that can't be answered yet, since its tasks may have been cancelled.
  struct WaitingReport {
    Report report;
    std::uint64_t fencing_token = 0;
    runtime::Responder answer;
    time::Instant deadline{};
  };

  void accept_report(const Report& report, bool settled, const ReplyHandler& reply);
  void accept_polled(protocol::WorkerReport report);
  void update_worker(WorkerState& worker, const protocol::WorkerReport& report, bool settled);
  void send_reply(const Report& report, std::uint64_t fencing_token, Commands commands,
                  const runtime::Responder& answer);
  void record_reply(const protocol::WorkerReport& report, const Commands& commands);
  void reply_waiting();
  runtime::Response redirect() const;

  void challenge_position(WorkerState& worker, const protocol::WorkerReport& old_report);
  void on_challenge_result(const std::string& host, std::uint64_t fencing_token,
                           const runtime::CallResult& result);
  void cordon(const std::string& host, WorkerState& worker, const char* reason) const;

  void tick();
  void compensate_stall(time::Instant now);
  ListenerHealth::Audience audience(time::Instant now) const;
  void check_delivery(time::Micros limit);
  void check_domains();
  void check_silence(time::Instant now, time::Micros limit);
  void report_silent(const std::string& host, time::Micros silence, bool domain_lost) const;
  time::Micros silence_limit() const;
  time::Micros report_lateness() const;

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
  ListenerHealth health_;
  LeaseRenewalGuard renewals_;
  WorkerPoller poller_;
  DepartedMachines departed_;
  std::deque<WaitingReport> waiting_;
  time::Instant next_challenge_{};
  bool replies_lost_ = false;  ///< most workers show nothing of this leader's answers
  std::shared_ptr<const topology::Topology> topology_;
  domain_failure_detector::DomainFailureDetector domain_failures_;
  std::set<std::string> suspected_;  ///< as in the last event
};

}  // namespace wrenusher::worker_gateway
