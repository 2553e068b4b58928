#pragma once
// Package worker_gateway: workers, their reports, the way orders reach them, who answers them, and which have
// gone silent. It owns, by machine, the newest report's place in order and when it came; what the report
// means is for the ledger; which failure domains are lost, watch judges. It may depend on base, settings,
// protocol, topology, mail and watch.

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

#include "wrenusher/domain_failure_detector/domain_failure_detector.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"
#include "wrenusher/worker_gateway/delivery_monitor.hpp"

namespace wrenusher::worker_gateway {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace protocol;
using namespace events;

class WorkerGateway {
 public:
  WorkerGateway(Runtime& runtime, const Settings& settings);
  void start();
  void on_report(const Request& request, const Responder& answer);

  void on_term(const TermChanged& term);
  void on_lease_validity(const LeaseValidity& event) { lease_valid_until_ = event.until; }
  void on_job_cancelled(const JobCancelled& event);
  void on_cancellations_known(const CancellationsKnown& event);
  void on_machine_departed(const MachineDeparted& event);
  void on_topology_activated(const TopologyActivated& event);
  void on_direct_commands(const DirectCommands& event);
  /// Calls the workers that the last leader had over to this one.
  void on_hints_inherited(const std::shared_ptr<const InheritedHints>& all);
  /// Calls a worker over that is not heard, and of which no hint told.
  void on_machine_listed(const MachineListed& event);

  EventSink<WorkerReported> worker_reported;
  EventSink<WorkerSilent> worker_silent;
  EventSink<MachineCordoned> machine_unreachable;
  EventSink<MachinesSuspected> machines_suspected;
  EventSink<WorkerReachability> reachability;
  EventSink<LeadershipLost> leadership_lost;

 private:
  /// Where a worker's word stands among its others: the higher is the newer one. The token comes first:
  /// within one life of the worker it only rises, and a copy from an earlier life, whose count may be higher,
  /// has the lower token.
  struct ReportPosition {
    std::uint64_t fencing_token = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const ReportPosition&) const = default;
  };
  static ReportPosition position_of(const WorkerReport& report) {
    return {report.fencing_token, report.incarnation, report.sequence};
  }
  struct WorkerState {
    std::string address;
    std::string machine_type;
    std::string zone;
    topology::MachineLocation place;
    ReportPosition position;
    Instant heard_at{};
    bool silent = false;
    std::optional<Instant> reclaimed_by;  ///< by then the cloud will have taken it away, as it said itself
    DeliveryMonitor delivery;
    bool cordoned = false;    ///< it is being returned: it hears nothing, or has begun anew
    Instant challenged_at{};  ///< when it was last asked which of its words is the newest
  };
  /// A worker that is asked for its word by empty orders: that raises its token, so that it reports at once.
  struct Poll {
    std::string host;
    std::string address;
    std::uint64_t incarnation = 0;
    int tries = 0;
  };
  void poll_next();
  void on_polled(const Poll& poll, std::uint64_t fencing_token, const CallResult& result);
  void give_up_polls();
  void tick();
  void check_domains(Micros late);
  void check_delivery(Micros limit);
  void record_reply(const std::string& host, const ReportPosition& word,
                    const std::vector<WorkerCommand>& commands);
  void challenge_position(const std::string& host, WorkerState& worker, const WorkerReport& received);
  void cordon(const std::string& host, WorkerState& worker, const char* why);
  bool is_newest(const WorkerReport& report);
  Response redirect() const;
  using Report = std::shared_ptr<const WorkerReport>;
  void accept_report(const Report& report, bool settled,
                     const std::function<void(std::vector<WorkerCommand>)>& reply);
  void send_reply(const Report& report, std::uint64_t fencing_token, std::vector<WorkerCommand> commands,
                  const Responder& answer);
  void add_cancelled_stops(const WorkerReport& report, std::vector<WorkerCommand>& commands) const;
  bool may_renew_lease(const WorkerReport& report) const;
  Micros cancellation_gap() const;
  void reply_waiting();
  void log_lease_renewal(bool now_so);
  Micros silence_limit() const;

  Runtime& runtime_;
  const Settings& settings_;
  TermChanged term_;
  Instant lease_valid_until_{};
  Instant last_report_{};
  Instant leading_since_{};
  Instant last_tick_{};
  double stall_share_ = 0;       ///< part of the time that this node stood still, of late
  Instant majority_heard_at_{};  ///< when this leader last heard a fair part of its workers
  bool majority_ever_heard_ = false;
  std::map<std::string, WorkerState> workers_;
  /// The newest word of each worker here, leading or not, and when it came.
  std::unordered_map<std::string, std::pair<ReportPosition, Instant>> positions_;
  Instant next_cleanup_{};
  Instant next_challenge_{};
  bool replies_lost_ = false;  ///< most workers show nothing of this leader's answers
  std::shared_ptr<const topology::Topology> topology_;
  domain_failure_detector::DomainFailureDetector domain_failures_;
  std::set<std::string> suspected_;  ///< as it was last told
  std::deque<Poll> polls_;           ///< still to be made, in order
  std::size_t polls_in_flight_ = 0;
  std::set<std::string> unheard_inherited_;  ///< of those that the last leader had: not heard yet
  std::size_t polls_planned_ = 0;            ///< how many there were
  Instant last_leader_heartbeat_{};          ///< of the last leader
  std::set<std::string> departed_;
  std::deque<std::string> departed_order_;
  /// Jobs that are cancelled, for as long as a task of theirs may be anywhere.
  std::unordered_map<std::string, Instant> cancelled_;
  std::deque<std::pair<Instant, std::string>> cancelled_order_;
  CancellationsKnown cancellations_known_;
  /// Reports that can't be answered yet, since their tasks may have been cancelled.
  struct WaitingReport {
    Report report;
    std::uint64_t fencing_token = 0;
    Responder answer;
    Instant deadline{};
  };
  std::deque<WaitingReport> waiting_;
  bool withholding_renewals_ = false;  ///< it was told that leases are
};

}  // namespace wrenusher::worker_gateway
