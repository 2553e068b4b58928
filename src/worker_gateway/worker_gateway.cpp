#include "wrenusher/worker_gateway/worker_gateway.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "wrenusher/log/log.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/value/value.hpp"
#include "wrenusher/worker_gateway/command_limits.hpp"
#include "wrenusher/worker_gateway/refusals.hpp"
#include "wrenusher/worker_gateway/worker_calls.hpp"

namespace wrenusher::worker_gateway {

using events::LeadershipLost;
using events::MachineCordoned;
using events::MachinesSuspected;
using events::TermChanged;
using events::WorkerReachability;
using events::WorkerReported;
using events::WorkerSilent;
using protocol::WorkerCommand;
using protocol::WorkerReport;
using runtime::CallResult;
using runtime::Request;
using runtime::Responder;
using runtime::Response;
using time::from_millis;
using time::from_seconds;
using time::Instant;
using time::Micros;
using time::to_seconds;
using value::Value;

namespace {

constexpr Micros kTickInterval = from_millis(250);
/// A report may be late by this much without a fault.
constexpr Micros kReportDelayMargin = from_seconds(1.5);
constexpr Micros kMinSilence = from_seconds(4);
/// Minimum time between two polls about old reports, for one machine.
constexpr Micros kOldReportPollIntervalPerMachine = from_seconds(1.5);
/// Minimum time between two polls about old reports, for all machines together. It does not apply to machines
/// whose newest report is late.
constexpr Micros kOldReportPollInterval = from_millis(300);
constexpr Micros kOldReportPollTimeout = from_seconds(1);
constexpr Micros kDirectCommandsTimeout = from_seconds(2);
/// Time after which a worker that lost a reply has reported again: it stops waiting for the reply after 4 s
/// and tries the next node 1 s later, which may redirect it back to this node.
constexpr Micros kLostReplyDelay = from_seconds(6);
/// A report whose reply may not renew the lease yet waits for this time; then it is rejected.
constexpr Micros kMaxCancellationWait = from_seconds(1.5);
/// A reply whose start commands may not be sent yet waits for this time; then it is sent without them. The
/// worker waits for 4 s in all.
constexpr Micros kMaxStartWait = from_seconds(1);
/// The leader of the first term has no previous leader whose workers could be missing.
constexpr std::uint64_t kFirstInheritingToken = 2;

bool is_start(const WorkerCommand& command) {
  return command.verb == WorkerCommand::Verb::start;
}

void erase_starts(std::vector<WorkerCommand>& commands) {
  std::erase_if(commands, is_start);
}

/// Logs that a reply is without some of the worker's commands, since they do not fit into it.
void log_left_out(const std::string& host, std::size_t commands) {
  if (commands == 0) return;
  log::debug("commands_left_out",
             "{commands} commands for {machine} do not fit into this reply and follow in the next ones",
             log::with("commands", commands), log::with("machine", host));
}

}  // namespace

WorkerGateway::WorkerGateway(runtime::Runtime& runtime, const settings::Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      renewal_guard_(runtime, settings),
      poller_(runtime, term_,
              {.needs_no_poll =
                   [this](const std::string& host) {
                     return workers_.contains(host) || departed_machines_.contains(host);
                   },
               .on_report = [this](WorkerReport report) { process_call_response(std::move(report)); },
               .on_newer_token =
                   [this](std::uint64_t fencing_token) { leadership_lost(LeadershipLost{fencing_token}); },
               .on_silent = [this](const std::string& host,
                                   Micros silence) { report_silent(host, silence, false); }}) {}

void WorkerGateway::on_term(const TermChanged& term) {
  const bool begins = term.leading && !term_.leading;
  term_ = term;
  if (begins) {
    leading_since_ = runtime_.now();
    workers_.clear();
    domain_failures_.clear();
    suspected_.clear();
    poller_.begin_term(term.last_heartbeat);
  } else if (!term.leading) {
    poller_.reset();
  }
}

// Reports and their replies.

void WorkerGateway::on_report(const Request& request, const Responder& answer) {
  if (request.method != "POST") {
    answer(refusals::wrong_method());
    return;
  }
  const auto body = value::decode(request.body);
  auto report = body ? protocol::read_report(*body) : std::nullopt;
  if (!report) {
    answer(refusals::bad_report());
    return;
  }
  // A late duplicate does not show that workers can reach this node.
  if (report_order_.record_if_newest(*report, runtime_.now())) listener_health_.on_report(runtime_.now());
  if (report->fencing_token > term_.fencing_token) {
    // The worker would ignore a 200 with this node's lower fencing token, and its lease would expire.
    log::debug("report_token_newer",
               "report of {machine} has fencing token {epoch}, which is newer than this node's token {term}",
               log::with("machine", report->host), log::with("epoch", report->fencing_token),
               log::with("term", term_.fencing_token));
    leadership_lost(LeadershipLost{report->fencing_token});
    answer(refusals::redirect({}));
    return;
  }
  if (!term_.leading) {
    log::debug(
        "report_redirected",
        "report of {machine} with fencing token {epoch} is redirected to '{leader}'; this node's token is "
        "{term}",
        log::with("machine", report->host), log::with("epoch", report->fencing_token),
        log::with("leader", term_.leader), log::with("term", term_.fencing_token));
    answer(redirect());
    return;
  }
  const auto shared = std::make_shared<const WorkerReport>(std::move(*report));
  process_report(shared, true,
                 [this, answer, fencing_token = term_.fencing_token, shared](Commands commands) {
                   send_reply(shared, fencing_token, std::move(commands), answer);
                 });
}

Response WorkerGateway::redirect() const {
  return refusals::redirect(term_.leader == settings_.node ? std::string{} : term_.leader);
}

/// Handles a report unless it is old or its machine has departed. `worker_initiated`: the worker sent the
/// report by itself, not as the response to a call. In that case the reply to its previous report has arrived
/// or will never arrive.
void WorkerGateway::process_report(const Report& report, bool worker_initiated, const ReplyHandler& reply) {
  if (departed_machines_.contains(report->host)) {
    reply({});
    return;
  }
  poller_.remove_missing(report->host);
  WorkerState& worker = workers_[report->host];
  if (position_of(*report) <= worker.position) {
    poll_about_old_report(worker, *report);
    reply({});
    return;
  }
  update_worker(worker, *report, worker_initiated);
  const bool token_accepted = report->fencing_token == term_.fencing_token;
  worker_reported(WorkerReported{report, token_accepted, worker_initiated, reply});
}

/// Handles the report in the response to a call. It gets no reply.
void WorkerGateway::process_call_response(WorkerReport report) {
  process_report(std::make_shared<const WorkerReport>(std::move(report)), false, [](const Commands&) {});
}

void WorkerGateway::update_worker(WorkerState& worker, const WorkerReport& report, bool worker_initiated) {
  if (worker.silent)
    log::info("machine_heard", "machine {machine} reports again", log::with("machine", report.host));
  if (topology_ && (worker.address != report.address || worker.machine_type != report.machine_type ||
                    worker.zone != report.zone))
    worker.location = topology_->find(report.host, report.address, report.machine_type, report.zone);
  const Instant now = runtime_.now();
  // The response to a call shows the effect of the call; the reply to an earlier report may still arrive.
  if (worker_initiated) {
    const Micros max_gap = std::max(settings_.report_interval * 2, kLostReplyDelay);
    worker.delivery.on_report(report, now - worker.last_report_at < max_gap);
  }
  worker.address = report.address;
  worker.machine_type = report.machine_type;
  worker.zone = report.zone;
  worker.position = position_of(report);
  worker.last_report_at = now;
  worker.silent = false;
  worker.reclaimed_by.reset();
  if (report.eviction_notice) worker.reclaimed_by = now + *report.eviction_notice;
}

/// Sends the reply to a report. No other response renews a lease.
void WorkerGateway::send_reply(const Report& report, std::uint64_t fencing_token, Commands commands,
                               const Responder& answer) {
  if (!leads_term(fencing_token)) {
    answer(redirect());
    return;
  }
  if (!renewal_guard_.may_renew(*report)) {
    // The commands are dropped; the reply to the next report contains those that are still needed.
    waiting_reports_.push_back({report, fencing_token, answer, runtime_.now() + kMaxCancellationWait});
    return;
  }
  // Without a valid lease of this leader, another leader may have made other decisions, so no task may be
  // started. The reply still renews the worker's lease.
  if (runtime_.now() >= lease_valid_until_) erase_starts(commands);
  renewal_guard_.add_stops(*report, commands);
  if (!renewal_guard_.may_start() && std::any_of(commands.begin(), commands.end(), is_start)) {
    waiting_starts_.push_back(
        {report, fencing_token, std::move(commands), answer, runtime_.now() + kMaxStartWait});
    cancellations_needed(events::CancellationsNeeded{});
    return;
  }
  finish_reply(*report, fencing_token, std::move(commands), answer);
}

void WorkerGateway::finish_reply(const WorkerReport& report, std::uint64_t fencing_token, Commands commands,
                                 const Responder& answer) {
  log_left_out(report.host, limit_reply(report, commands));
  record_reply(report, commands);
  answer({200,
          value::encode(Value::Map{{"epoch", fencing_token}, {"orders", protocol::write_commands(commands)}}),
          0});
}

/// Records the reply for the delivery check, unless a newer report has arrived: only the reply to the newest
/// report can be compared with the next one.
void WorkerGateway::record_reply(const WorkerReport& report, const Commands& commands) {
  const auto it = workers_.find(report.host);
  if (it != workers_.end() && it->second.position == position_of(report))
    it->second.delivery.on_reply(term_.fencing_token, commands);
}

void WorkerGateway::on_cancellations_known(const events::CancellationsKnown& event) {
  renewal_guard_.on_cancellations_known(event);
  answer_waiting_reports();
  answer_waiting_starts();
}

void WorkerGateway::answer_waiting_reports() {
  for (std::size_t n = waiting_reports_.size(); n > 0; --n) {
    WaitingReport waiting = std::move(waiting_reports_.front());
    waiting_reports_.pop_front();
    if (!leads_term(waiting.fencing_token) || renewal_guard_.may_renew(*waiting.report)) {
      // The commands for the worker may have changed while its report waited; it gets them in the reply to
      // its next report.
      send_reply(waiting.report, waiting.fencing_token, {}, waiting.answer);
    } else if (runtime_.now() < waiting.deadline) {
      waiting_reports_.push_back(std::move(waiting));
    } else {
      renewal_guard_.on_withheld();
      waiting.answer(refusals::cancellations_unknown());
    }
  }
  renewal_guard_.log_if_recovered();
}

/// Sends the replies whose start commands may be sent now. Replies that have waited too long are sent without
/// these commands; the next report shows that the tasks have not started.
void WorkerGateway::answer_waiting_starts() {
  for (std::size_t n = waiting_starts_.size(); n > 0; --n) {
    WaitingStarts waiting = std::move(waiting_starts_.front());
    waiting_starts_.pop_front();
    const bool expired = runtime_.now() >= waiting.deadline;
    if (leads_term(waiting.fencing_token) && !expired && !renewal_guard_.may_start()) {
      waiting_starts_.push_back(std::move(waiting));
      continue;
    }
    if (expired && !renewal_guard_.may_start()) {
      erase_starts(waiting.commands);
      renewal_guard_.on_starts_withheld();
    }
    send_reply(waiting.report, waiting.fencing_token, std::move(waiting.commands), waiting.answer);
  }
  if (!waiting_starts_.empty()) cancellations_needed(events::CancellationsNeeded{});
}

// Calls to workers.

/// Polls a worker after a report that is not newer than the newest report under its name. Such a report is
/// either a late duplicate or comes from a machine that restarted under the same name with new sequence
/// numbers. The response to a poll is not a duplicate, so its position shows which of the two has happened.
void WorkerGateway::poll_about_old_report(WorkerState& worker, const WorkerReport& old_report) {
  const Instant now = runtime_.now();
  if (worker.cordoned || worker.address.empty() ||
      now - worker.last_old_report_poll_at < kOldReportPollIntervalPerMachine)
    return;
  // Many duplicates must not cause many calls, but a worker whose newest report is late is always polled.
  if (now - worker.last_report_at < settings_.report_interval * 5 / 4 && now < next_old_report_poll_at_)
    return;
  next_old_report_poll_at_ = now + kOldReportPollInterval;
  worker.last_old_report_poll_at = now;
  worker.delivery.on_polled();
  const std::uint64_t fencing_token = term_.fencing_token;
  runtime_.call(worker.address, poll_request({fencing_token, old_report.incarnation}), kOldReportPollTimeout,
                [this, host = old_report.host, fencing_token](const CallResult& result) {
                  on_old_report_poll_result(host, fencing_token, result);
                });
}

void WorkerGateway::on_old_report_poll_result(const std::string& host, std::uint64_t fencing_token,
                                              const CallResult& result) {
  const auto it = workers_.find(host);
  if (!leads_term(fencing_token) || it == workers_.end() || !result.answered) return;
  auto report = read_report_body(result.response);
  if (!report || report->host != host || report->fencing_token != fencing_token) return;
  if (position_of(*report) <= it->second.position) {
    cordon(host, it->second, "its report sequence went back");
  } else {
    process_call_response(std::move(*report));
  }
}

/// Requests that the machine gets no new tasks and is returned. Whatever its reports contain, only its return
/// proves that its tasks no longer run.
void WorkerGateway::cordon(const std::string& host, WorkerState& worker, const char* reason) const {
  if (std::exchange(worker.cordoned, true)) return;
  log::info("machine_unreachable", "machine {machine} will be returned: {reason}", log::with("machine", host),
            log::with("reason", reason));
  machine_unreachable(MachineCordoned{host, reason});
}

void WorkerGateway::on_direct_commands(const events::DirectCommands& event) {
  const auto it = workers_.find(event.host);
  if (!term_.leading || it == workers_.end()) return;
  WorkerState& worker = it->second;
  Commands commands = event.commands;
  erase_starts(commands);
  const CallTarget target{term_.fencing_token, worker.position.incarnation};
  for (const Commands& call : split_into_calls(commands)) {
    worker.delivery.on_polled();
    runtime_.call(worker.address, commands_request(target, call), kDirectCommandsTimeout,
                  [this, target](const CallResult& result) {
                    on_direct_commands_result(target.fencing_token, result);
                  });
  }
}

void WorkerGateway::on_direct_commands_result(std::uint64_t fencing_token, const CallResult& result) {
  if (!leads_term(fencing_token) || !result.answered || result.response.status != 200) return;
  auto report = read_report_body(result.response);
  if (report && report->fencing_token == fencing_token) process_call_response(std::move(*report));
}

void WorkerGateway::on_hints_inherited(const std::shared_ptr<const events::InheritedHints>& hints) {
  if (leads_term(hints->term)) poller_.poll_inherited(*hints);
}

void WorkerGateway::on_machine_listed(const events::MachineListed& event) {
  if (!term_.leading || term_.fencing_token < kFirstInheritingToken || event.address.empty() ||
      workers_.contains(event.host) || poller_.is_missing(event.host))
    return;
  poller_.poll_listed(event.host, event.address);
}

void WorkerGateway::on_machine_departed(const events::MachineDeparted& event) {
  workers_.erase(event.host);
  poller_.remove_missing(event.host);
  departed_machines_.add(event.host);
}

void WorkerGateway::on_topology_activated(const events::TopologyActivated& event) {
  if (topology_ == event.topology) return;
  topology_ = event.topology;
  domain_failures_.set_topology(topology_);
  for (auto& [host, worker] : workers_)
    worker.location = topology_ ? topology_->find(host, worker.address, worker.machine_type, worker.zone)
                                : topology::MachineLocation{};
}

// Periodic checks.

void WorkerGateway::tick() {
  const Instant now = runtime_.now();
  compensate_stall(now);
  answer_waiting_reports();
  answer_waiting_starts();
  const Micros limit = silence_limit();
  const bool receives_reports = listener_health_.receives_reports(now, limit);
  listener_health_.on_report_counts(now, report_counts(now));
  const bool too_few_reporting = listener_health_.too_few_reporting(now, settings_.worker_lease);
  const bool receives_nothing =
      term_.leading && now - leading_since_ > limit && (!receives_reports || too_few_reporting);
  check_delivery(limit);
  reachability(WorkerReachability{.receives_nothing = receives_nothing,
                                  .replies_lost = replies_lost_,
                                  .receives_reports = receives_reports,
                                  .had_workers = !workers_.empty(),
                                  .starved = listener_health_.starved()});
  report_order_.remove_expired(now);
  // In all other cases a silent machine may be healthy.
  if (term_.leading && !receives_nothing && !too_few_reporting) {
    check_failure_domains();
    poller_.give_up(limit);
    check_silence(now, limit);
  }
  runtime_.after(kTickInterval, [this] { tick(); });
}

/// Moves the times of the latest reports forward by the time for which this process was stalled. Otherwise,
/// machines whose reports waited unread during the stall would count as silent.
void WorkerGateway::compensate_stall(Instant now) {
  const auto lost = listener_health_.on_tick(now, kTickInterval);
  if (!lost) return;
  for (auto& [host, worker] : workers_) worker.last_report_at += *lost;
  log::debug("controller_stalled", "this controller was stalled for {seconds:.1f} s",
             log::with("seconds", to_seconds(*lost)));
}

/// Returns the time without a report after which a worker is silent.
Micros WorkerGateway::silence_limit() const {
  const Micros reports{static_cast<std::int64_t>(static_cast<double>(settings_.report_interval.count()) *
                                                 settings_.tunables.silent_reports)};
  return std::max(kMinSilence, std::min(reports, settings_.worker_lease));
}

/// Returns the time without a report after which a worker's next report counts as late.
Micros WorkerGateway::max_report_delay() const {
  return settings_.report_interval * 3 / 2 + kReportDelayMargin;
}

ListenerHealth::ReportCounts WorkerGateway::report_counts(Instant now) const {
  const Micros lateness = max_report_delay();
  ListenerHealth::ReportCounts counts;
  for (const auto& [host, worker] : workers_) {
    if (worker.silent) continue;
    ++counts.expected;
    if (now - worker.last_report_at <= lateness) ++counts.on_time;
  }
  return counts;
}

/// Cordons machines whose reports show no effect of the replies. If this applies to at least half of the
/// machines (and at least two), the fault is on this node, and no machine is cordoned.
void WorkerGateway::check_delivery(Micros limit) {
  replies_lost_ = false;
  if (!term_.leading) return;
  std::size_t reporting = 0;
  std::size_t suspect_count = 0;
  std::vector<std::string> unreachable;
  for (const auto& [host, worker] : workers_) {
    if (worker.silent || worker.cordoned || runtime_.now() - worker.last_report_at > limit) continue;
    ++reporting;
    if (worker.delivery.unobserved_replies() >= kMaxUnobservedReplies - 1) ++suspect_count;
    if (worker.delivery.unobserved_replies() >= kMaxUnobservedReplies) unreachable.push_back(host);
  }
  replies_lost_ = suspect_count >= 2 && suspect_count * 2 >= reporting;
  if (replies_lost_) return;
  for (const std::string& host : unreachable) cordon(host, workers_.at(host), "it receives no replies");
}

void WorkerGateway::check_failure_domains() {
  if (!topology_) return;
  std::vector<domain_failure_detector::DomainMember> members;
  members.reserve(workers_.size());
  for (const auto& [host, worker] : workers_)
    members.push_back({&host, &worker.location, worker.last_report_at});
  domain_failures_.evaluate(runtime_.now(), max_report_delay(), members);
  if (domain_failures_.suspected() == suspected_) return;
  suspected_ = domain_failures_.suspected();
  machines_suspected(MachinesSuspected{suspected_});
}

void WorkerGateway::check_silence(Instant now, Micros limit) {
  for (auto& [host, worker] : workers_) {
    if (worker.silent) continue;
    const Micros silence = now - worker.last_report_at;
    // If the reclaim time of the eviction notice has passed, a machine counts as silent after a shorter time.
    // Some silence is still required, since the announced time is not exact: a notice may be half as long as
    // stated.
    const bool reclaimed =
        worker.reclaimed_by && now >= *worker.reclaimed_by && silence > settings_.report_interval * 3 / 2;
    if (silence <= limit && !reclaimed) continue;
    worker.silent = true;
    report_silent(host, silence, domain_failures_.is_lost(worker.location));
  }
}

/// Reports a worker as silent. `domain_lost`: its failure domain is lost, which has a log line of its own, so
/// the machine is logged at debug level only.
void WorkerGateway::report_silent(const std::string& host, Micros silence, bool domain_lost) const {
  log::say(domain_lost ? spdlog::level::debug : spdlog::level::info, "machine_silent",
           "machine {machine} has sent no report for {seconds:.1f} s", log::with("machine", host),
           log::with("seconds", to_seconds(silence)));
  worker_silent(WorkerSilent{host});
}

}  // namespace wrenusher::worker_gateway
