#include "wrenusher/worker_gateway/worker_gateway.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "wrenusher/log/log.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/value/value.hpp"
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
/// A report may be this late without anything being wrong.
constexpr Micros kReportDelay = from_seconds(1.5);
constexpr Micros kMinSilence = from_seconds(4);
/// A machine is polled about an old report no more often than this, and all machines together than the
/// second.
constexpr Micros kChallengeInterval = from_seconds(1.5);
constexpr Micros kChallengePause = from_millis(300);
constexpr Micros kChallengeTimeout = from_seconds(1);
constexpr Micros kDirectCommandsTimeout = from_seconds(2);
/// A worker gives an answer up after 4 s and tries the next node 1 s later, which may redirect it back.
constexpr Micros kAnswerLost = from_seconds(6);
/// A report whose answer may not renew the lease yet waits so long; then its worker is refused.
constexpr Micros kMaxCancellationWait = from_seconds(1.5);
/// The leader of the first term has no predecessor whose workers could be missing.
constexpr std::uint64_t kFirstInheritingToken = 2;

void erase_starts(std::vector<WorkerCommand>& commands) {
  std::erase_if(commands,
                [](const WorkerCommand& command) { return command.verb == WorkerCommand::Verb::start; });
}

}  // namespace

WorkerGateway::WorkerGateway(runtime::Runtime& runtime, const settings::Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      renewals_(runtime, settings),
      poller_(runtime, term_,
              {.is_settled =
                   [this](const std::string& host) {
                     return workers_.contains(host) || departed_.contains(host);
                   },
               .on_report = [this](WorkerReport report) { accept_polled(std::move(report)); },
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

// Reports and their answers.

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
  // A copy that comes late is no sign that workers reach this node.
  if (report_order_.record_if_newest(*report, runtime_.now())) health_.on_report(runtime_.now());
  if (report->fencing_token > term_.fencing_token) {
    // The worker would drop a 200 with this node's lower fencing token, and let its lease run out.
    log::debug("report_token_newer",
               "report of {machine} has fencing token {epoch}, the newest known here is {term}",
               log::with("machine", report->host), log::with("epoch", report->fencing_token),
               log::with("term", term_.fencing_token));
    leadership_lost(LeadershipLost{report->fencing_token});
    answer(refusals::redirect({}));
    return;
  }
  if (!term_.leading) {
    log::debug("report_redirected",
               "report of {machine} with fencing token {epoch} is redirected to '{leader}' with {term}",
               log::with("machine", report->host), log::with("epoch", report->fencing_token),
               log::with("leader", term_.leader), log::with("term", term_.fencing_token));
    answer(redirect());
    return;
  }
  const auto shared = std::make_shared<const WorkerReport>(std::move(*report));
  accept_report(shared, true, [this, answer, fencing_token = term_.fencing_token, shared](Commands commands) {
    send_reply(shared, fencing_token, std::move(commands), answer);
  });
}

Response WorkerGateway::redirect() const {
  return refusals::redirect(term_.leader == settings_.node ? std::string{} : term_.leader);
}

/// `settled`: a report by the worker itself, not the answer to a call; what it was answered before has
/// arrived by then, or never will.
void WorkerGateway::accept_report(const Report& report, bool settled, const ReplyHandler& reply) {
  if (departed_.contains(report->host)) {
    reply({});
    return;
  }
  poller_.settle(report->host);
  WorkerState& worker = workers_[report->host];
  if (position_of(*report) <= worker.position) {
    challenge_position(worker, *report);
    reply({});
    return;
  }
  update_worker(worker, *report, settled);
  const bool token_accepted = report->fencing_token == term_.fencing_token;
  worker_reported(WorkerReported{report, token_accepted, settled, reply});
}

/// The answer to a call, which gets no answer itself.
void WorkerGateway::accept_polled(WorkerReport report) {
  accept_report(std::make_shared<const WorkerReport>(std::move(report)), false, [](const Commands&) {});
}

void WorkerGateway::update_worker(WorkerState& worker, const WorkerReport& report, bool settled) {
  if (worker.silent)
    log::info("machine_heard", "machine {machine} is heard again", log::with("machine", report.host));
  if (topology_ && (worker.address != report.address || worker.machine_type != report.machine_type ||
                    worker.zone != report.zone))
    worker.location = topology_->find(report.host, report.address, report.machine_type, report.zone);
  const Instant now = runtime_.now();
  // The answer to a call shows what the call has done; an earlier answer to a report may still arrive.
  if (settled) {
    const Micros max_gap = std::max(settings_.report_interval * 2, kAnswerLost);
    worker.delivery.on_report(report, now - worker.heard_at < max_gap);
  }
  worker.address = report.address;
  worker.machine_type = report.machine_type;
  worker.zone = report.zone;
  worker.position = position_of(report);
  worker.heard_at = now;
  worker.silent = false;
  worker.reclaimed_by.reset();
  if (report.eviction_notice) worker.reclaimed_by = now + *report.eviction_notice;
}

/// The only answer that renews a lease.
void WorkerGateway::send_reply(const Report& report, std::uint64_t fencing_token, Commands commands,
                               const Responder& answer) {
  if (!leads_term(fencing_token)) {
    answer(redirect());
    return;
  }
  if (!renewals_.may_renew(*report)) {
    // The commands are dropped: what this report brought is settled by the next one.
    waiting_.push_back({report, fencing_token, answer, runtime_.now() + kMaxCancellationWait});
    return;
  }
  // Without a valid lease another leader may already have decided otherwise; the answer still renews the
  // worker's lease.
  if (runtime_.now() >= lease_valid_until_) erase_starts(commands);
  renewals_.add_stops(*report, commands);
  record_reply(*report, commands);
  answer({200,
          value::encode(Value::Map{{"epoch", fencing_token}, {"orders", protocol::write_commands(commands)}}),
          0});
}

/// Only the answer to the newest report tells whether answers arrive.
void WorkerGateway::record_reply(const WorkerReport& report, const Commands& commands) {
  const auto it = workers_.find(report.host);
  if (it != workers_.end() && it->second.position == position_of(report))
    it->second.delivery.on_reply(term_.fencing_token, commands);
}

void WorkerGateway::on_cancellations_known(const events::CancellationsKnown& event) {
  renewals_.on_cancellations_known(event);
  reply_waiting();
}

void WorkerGateway::reply_waiting() {
  for (std::size_t n = waiting_.size(); n > 0; --n) {
    WaitingReport waiting = std::move(waiting_.front());
    waiting_.pop_front();
    if (!leads_term(waiting.fencing_token) || renewals_.may_renew(*waiting.report)) {
      // The commands for it may be others by now: it gets them with its next report.
      send_reply(waiting.report, waiting.fencing_token, {}, waiting.answer);
    } else if (runtime_.now() < waiting.deadline) {
      waiting_.push_back(std::move(waiting));
    } else {
      renewals_.on_withheld();
      waiting.answer(refusals::cancellations_unknown());
    }
  }
  renewals_.log_if_recovered();
}

// Calls to workers.

/// A report that is older than the newest one, while no newer ones come, is a copy that arrives late, or is
/// from a machine that began anew under the same name and counts from the start. The answer to a poll is no
/// copy, and tells which.
void WorkerGateway::challenge_position(WorkerState& worker, const WorkerReport& old_report) {
  const Instant now = runtime_.now();
  if (worker.cordoned || worker.address.empty() || now - worker.challenged_at < kChallengeInterval) return;
  // Many copies must not make many calls; a worker whose newer reports are missing is polled in any case.
  if (now - worker.heard_at < settings_.report_interval * 5 / 4 && now < next_challenge_) return;
  next_challenge_ = now + kChallengePause;
  worker.challenged_at = now;
  worker.delivery.on_polled();
  const std::uint64_t fencing_token = term_.fencing_token;
  runtime_.call(worker.address, poll_request({fencing_token, old_report.incarnation}), kChallengeTimeout,
                [this, host = old_report.host, fencing_token](const CallResult& result) {
                  on_challenge_result(host, fencing_token, result);
                });
}

void WorkerGateway::on_challenge_result(const std::string& host, std::uint64_t fencing_token,
                                        const CallResult& result) {
  const auto it = workers_.find(host);
  if (!leads_term(fencing_token) || it == workers_.end() || !result.answered) return;
  auto report = read_report_body(result.response);
  if (!report || report->host != host || report->fencing_token != fencing_token) return;
  if (position_of(*report) <= it->second.position) {
    cordon(host, it->second, "its report sequence went back");
  } else {
    accept_polled(std::move(*report));
  }
}

/// Nothing more is placed there, and the machine is returned: whatever it says or doesn't say of its tasks,
/// only that proves them gone.
void WorkerGateway::cordon(const std::string& host, WorkerState& worker, const char* reason) const {
  if (std::exchange(worker.cordoned, true)) return;
  log::info("machine_unreachable", "machine {machine} is to be returned: {reason}",
            log::with("machine", host), log::with("reason", reason));
  machine_unreachable(MachineCordoned{host, reason});
}

void WorkerGateway::on_direct_commands(const events::DirectCommands& event) {
  const auto it = workers_.find(event.host);
  if (!term_.leading || it == workers_.end()) return;
  WorkerState& worker = it->second;
  Commands commands = event.commands;
  erase_starts(commands);
  worker.delivery.on_polled();
  const std::uint64_t fencing_token = term_.fencing_token;
  runtime_.call(worker.address, commands_request({fencing_token, worker.position.incarnation}, commands),
                kDirectCommandsTimeout, [this, fencing_token](const CallResult& result) {
                  if (!leads_term(fencing_token) || !result.answered || result.response.status != 200) return;
                  if (auto report = read_report_body(result.response);
                      report && report->fencing_token == fencing_token)
                    accept_polled(std::move(*report));
                });
}

void WorkerGateway::on_hints_inherited(const std::shared_ptr<const events::InheritedHints>& hints) {
  if (leads_term(hints->term)) poller_.poll_inherited(*hints);
}

void WorkerGateway::on_machine_listed(const events::MachineListed& event) {
  if (!term_.leading || term_.fencing_token < kFirstInheritingToken || event.address.empty() ||
      workers_.contains(event.host) || poller_.is_unheard(event.host))
    return;
  poller_.poll_listed(event.host, event.address);
}

void WorkerGateway::on_machine_departed(const events::MachineDeparted& event) {
  workers_.erase(event.host);
  poller_.settle(event.host);
  departed_.add(event.host);
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
  reply_waiting();
  const Micros limit = silence_limit();
  const bool receives_reports = health_.receives_reports(now, limit);
  health_.on_audience(now, audience(now));
  const bool too_few_heard = health_.too_few_heard(now, settings_.worker_lease);
  const bool receives_nothing =
      term_.leading && now - leading_since_ > limit && (!receives_reports || too_few_heard);
  check_delivery(limit);
  reachability(WorkerReachability{.receives_nothing = receives_nothing,
                                  .replies_lost = replies_lost_,
                                  .receives_reports = receives_reports,
                                  .had_workers = !workers_.empty(),
                                  .starved = health_.starved()});
  report_order_.forget_old(now);
  // Otherwise silence is no fault of the machines'.
  if (term_.leading && !receives_nothing && !too_few_heard) {
    check_domains();
    poller_.give_up(limit);
    check_silence(now, limit);
  }
  runtime_.after(kTickInterval, [this] { tick(); });
}

/// While this node itself stood still, reports waited unread, and no machine is to blame.
void WorkerGateway::compensate_stall(Instant now) {
  const auto lost = health_.on_tick(now, kTickInterval);
  if (!lost) return;
  for (auto& [host, worker] : workers_) worker.heard_at += *lost;
  log::debug("controller_stalled", "this controller stood still for {seconds:.1f} s",
             log::with("seconds", to_seconds(*lost)));
}

/// Without a report for so long, a worker is silent.
Micros WorkerGateway::silence_limit() const {
  const Micros reports{static_cast<std::int64_t>(static_cast<double>(settings_.report_interval.count()) *
                                                 settings_.tunables.silent_reports)};
  return std::max(kMinSilence, std::min(reports, settings_.worker_lease));
}

/// Without a report for so long, one report is missing.
Micros WorkerGateway::report_lateness() const {
  return settings_.report_interval * 3 / 2 + kReportDelay;
}

ListenerHealth::Audience WorkerGateway::audience(Instant now) const {
  const Micros lateness = report_lateness();
  ListenerHealth::Audience counts;
  for (const auto& [host, worker] : workers_) {
    if (worker.silent) continue;
    ++counts.expected;
    if (now - worker.heard_at <= lateness) ++counts.heard;
  }
  return counts;
}

/// Cordons machines that show nothing of their answers. Where that is so of most, this node's answers reach
/// nobody, and no machine is to blame.
void WorkerGateway::check_delivery(Micros limit) {
  replies_lost_ = false;
  if (!term_.leading) return;
  std::size_t heard = 0;
  std::size_t suspects = 0;
  std::vector<std::string> unreachable;
  for (const auto& [host, worker] : workers_) {
    if (worker.silent || worker.cordoned || runtime_.now() - worker.heard_at > limit) continue;
    ++heard;
    if (worker.delivery.unobserved_replies() >= kMaxUnobserved - 1) ++suspects;
    if (worker.delivery.unobserved_replies() >= kMaxUnobserved) unreachable.push_back(host);
  }
  replies_lost_ = suspects >= 2 && suspects * 2 >= heard;
  if (replies_lost_) return;
  for (const std::string& host : unreachable) cordon(host, workers_.at(host), "it receives no replies");
}

void WorkerGateway::check_domains() {
  if (!topology_) return;
  std::vector<domain_failure_detector::DomainMember> members;
  members.reserve(workers_.size());
  for (const auto& [host, worker] : workers_) members.push_back({&host, &worker.location, worker.heard_at});
  domain_failures_.evaluate(runtime_.now(), report_lateness(), members);
  if (domain_failures_.suspected() == suspected_) return;
  suspected_ = domain_failures_.suspected();
  machines_suspected(MachinesSuspected{suspected_});
}

void WorkerGateway::check_silence(Instant now, Micros limit) {
  for (auto& [host, worker] : workers_) {
    if (worker.silent) continue;
    const Micros silence = now - worker.heard_at;
    // A machine that the cloud was to take about now needs no long silence to be believed gone. A notice may
    // turn out half as long as it says, so some silence is needed as well.
    const bool reclaimed =
        worker.reclaimed_by && now >= *worker.reclaimed_by && silence > settings_.report_interval * 3 / 2;
    if (silence <= limit && !reclaimed) continue;
    worker.silent = true;
    report_silent(host, silence, domain_failures_.is_lost(worker.location));
  }
}

/// `domain_lost`: one log line tells of the whole domain already.
void WorkerGateway::report_silent(const std::string& host, Micros silence, bool domain_lost) const {
  log::say(domain_lost ? spdlog::level::debug : spdlog::level::info, "machine_silent",
           "machine {machine} is silent for {seconds:.1f} s", log::with("machine", host),
           log::with("seconds", to_seconds(silence)));
  worker_silent(WorkerSilent{host});
}

}  // namespace wrenusher::worker_gateway
