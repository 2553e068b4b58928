#include "wrenusher/worker_gateway/worker_gateway.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"
#include "wrenusher/runtime/error_response.hpp"

namespace wrenusher::worker_gateway {

namespace {
constexpr Micros kTickInterval = from_millis(250);
/// Departed machines whose late reports are ignored: every machine of the largest deployment (11,000), twice.
constexpr std::size_t kMaxDeparted = 22000;
/// A report may be this late without anything being wrong.
constexpr Micros kReportDelay = from_seconds(1.5);
/// With fewer machines than this nothing is told from how many are silent.
constexpr std::size_t kMinHostsForLoss = 6;
/// A node that stood still for more than this part of so much time is starved.
constexpr double kStarvedShare = 0.5;
constexpr Micros kStarvedMemory = from_seconds(6);
/// Workers asked for their word at a time. Whoever is short of processor gets the answers later and asks
/// less. Of many workers this part at a time, so that those that time out hold up the rest no longer.
constexpr std::size_t kMaxConcurrentPolls = 24;
constexpr std::size_t kCallsPart = 40;
constexpr Micros kPollTimeout = from_seconds(1);
constexpr int kPollTries = 3;
/// A machine is asked for its newest word no more often than this.
constexpr Micros kChallengeInterval = from_seconds(1.5);
constexpr Micros kChallengePause = from_millis(300);
/// A worker gives an answer up after 4 s and asks the next node 1 s later, which may send it back.
constexpr Micros kAnswerLost = from_seconds(6);
/// What was last heard of a worker so long ago is forgotten; no copy comes as late as that.
constexpr Micros kReportPositionMemory = from_seconds(600);
/// A report whose answer would renew what may be cancelled waits so long for the news; then its worker is
/// sent away.
constexpr Micros kMaxCancellationWait = from_seconds(1.5);
/// What a stop, a lease and a clock may take beyond their times; twice the drift, as for holds.
constexpr Micros kStopMargin = from_seconds(2);
constexpr double kClockDrift = 0.001;
/// What is told over and over is noted anew once in so long.
constexpr Micros kSilenceRepeat = from_seconds(10);
/// Where cancel_s leaves no more than lease_s, nothing less than this works at all.
constexpr Micros kMinUnknownWindow = from_seconds(3);
/// Time for all of them, and for a worker whose report to the last leader must first be given up.
constexpr Micros kPollWindow = from_seconds(4.5);
}  // namespace

WorkerGateway::WorkerGateway(Runtime& runtime, const Settings& settings)
    : runtime_(runtime), settings_(settings) {}

void WorkerGateway::start() {
  tick();
}

Micros WorkerGateway::silence_limit() const {
  const Micros reports{static_cast<std::int64_t>(static_cast<double>(settings_.report_interval.count()) *
                                                 settings_.tunables.silent_reports)};
  return std::max(from_seconds(4), std::min(reports, settings_.worker_lease));
}

void WorkerGateway::on_term(const TermChanged& term) {
  const bool begins = term.leading && !term_.leading;
  term_ = term;
  if (begins) {
    leading_since_ = runtime_.now();
    last_leader_heartbeat_ = term.last_heartbeat;
    workers_.clear();
    domain_failures_.clear();
    suspected_.clear();
  }
  if (begins || !term.leading) {
    polls_.clear();
    polls_in_flight_ = 0;
    unheard_inherited_.clear();
    polls_planned_ = 0;
  }
}

Response WorkerGateway::redirect() const {
  if (term_.leader.empty() || term_.leader == settings_.node) return {421, {}, 0};
  return {421, encode(Value::Map{{"upstream", term_.leader}}), 0};
}

void WorkerGateway::on_report(const Request& request, const Responder& answer) {
  if (request.method != "POST") {
    answer(error_response({405, "wrong_method", "This is asked with POST.", "", 0}));
    return;
  }
  const auto value = decode(request.body);
  auto report = value ? read_report(*value) : std::nullopt;
  if (!report) {
    answer(error_response({400, "bad_report", "The body is no report of a worker.", "", 0}));
    return;
  }
  // A copy that comes late is no sign that workers reach this node.
  if (is_newest(*report)) {
    last_report_ = runtime_.now();
    majority_ever_heard_ = true;
  }
  if (report->fencing_token > term_.fencing_token) {
    // A 200 with our lower epoch would be dropped by the worker and let its lease run out.
    log::debug("report_newer", "report of {machine} has epoch {epoch}, {term} is known here",
               log::with("machine", report->host), log::with("epoch", report->fencing_token),
               log::with("term", term_.fencing_token));
    leadership_lost(LeadershipLost{report->fencing_token});
    answer({421, {}, 0});
    return;
  }
  if (!term_.leading) {
    log::debug("report_sent_on",
               "report of {machine} with epoch {epoch} is sent on to '{leader}' of epoch {term}",
               log::with("machine", report->host), log::with("epoch", report->fencing_token),
               log::with("leader", term_.leader), log::with("term", term_.fencing_token));
    answer(redirect());
    return;
  }
  const auto shared = std::make_shared<const WorkerReport>(std::move(*report));
  accept_report(
      shared, true,
      [this, answer, fencing_token = term_.fencing_token, shared](std::vector<WorkerCommand> commands) {
        send_reply(shared, fencing_token, std::move(commands), answer);
      });
}

/// The only answer that renews a lease.
void WorkerGateway::send_reply(const Report& report, std::uint64_t fencing_token,
                               std::vector<WorkerCommand> commands, const Responder& answer) {
  if (!term_.leading || term_.fencing_token != fencing_token) {
    answer(redirect());
    return;
  }
  if (!may_renew_lease(*report)) {
    // Nothing is ordered meanwhile: what its report brought is settled by the next.
    waiting_.push_back({report, fencing_token, answer, runtime_.now() + kMaxCancellationWait});
    return;
  }
  // Without certainty another leader may already have decided otherwise; the answer still keeps the lease.
  if (runtime_.now() >= lease_valid_until_) {
    std::erase_if(commands,
                  [](const WorkerCommand& command) { return command.verb == WorkerCommand::Verb::start; });
  }
  add_cancelled_stops(*report, commands);
  record_reply(report->host, position_of(*report), commands);
  answer({200, encode(Value::Map{{"epoch", fencing_token}, {"orders", write_commands(commands)}}), 0});
}

void WorkerGateway::on_job_cancelled(const JobCancelled& event) {
  // Once cancel_s is over no task of it is left, by the rule that this serves; twice that, and a minute for a
  // confirmation that came later than the news, is ample.
  const Instant now = runtime_.now();
  while (!cancelled_order_.empty() &&
         now - cancelled_order_.front().first > settings_.cancel_deadline * 2 + from_seconds(60)) {
    const auto it = cancelled_.find(cancelled_order_.front().second);
    if (it != cancelled_.end() && it->second == cancelled_order_.front().first) cancelled_.erase(it);
    cancelled_order_.pop_front();
  }
  const auto [it, added] = cancelled_.try_emplace(event.job_id, now);
  if (!added && now - it->second < kSilenceRepeat) return;
  it->second = now;
  cancelled_order_.emplace_back(now, event.job_id);
}

void WorkerGateway::on_cancellations_known(const CancellationsKnown& event) {
  cancellations_known_ = event;
  reply_waiting();
}

/// Whatever the ledger knows by now: it may have read no record yet.
void WorkerGateway::add_cancelled_stops(const WorkerReport& report,
                                        std::vector<WorkerCommand>& commands) const {
  if (cancelled_.empty()) return;
  std::erase_if(commands, [&](const WorkerCommand& command) {
    return command.verb == WorkerCommand::Verb::start && cancelled_.contains(command.job_id);
  });
  for (const TaskReport& task : report.tasks) {
    if (task.status == TaskStatus::exited || !cancelled_.contains(task.job_id)) continue;
    const bool told = std::any_of(commands.begin(), commands.end(), [&](const WorkerCommand& command) {
      return command.verb == WorkerCommand::Verb::stop && command.job_id == task.job_id &&
             command.task == task.task && command.attempt == task.attempt;
    });
    if (!told)
      commands.push_back({WorkerCommand::Verb::stop, task.job_id, task.task, task.attempt, Micros{0}});
  }
}

/// A lease is renewed only while every cancellation that any user was told longer ago than this is known, and
/// stopped by the same answer. What is not known may be any task, so that its worker's lease is let run out:
/// from the last renewal on that takes `lease`.
Micros WorkerGateway::cancellation_gap() const {
  const Micros drift{
      static_cast<std::int64_t>(static_cast<double>(settings_.cancel_deadline.count()) * kClockDrift)};
  return std::max(kMinUnknownWindow,
                  settings_.cancel_deadline - settings_.worker_lease - drift - kStopMargin);
}

bool WorkerGateway::may_renew_lease(const WorkerReport& report) const {
  if (cancellations_known_.through >= runtime_.now() - cancellation_gap()) return true;
  return std::all_of(report.tasks.begin(), report.tasks.end(), [&](const TaskReport& task) {
    return task.status == TaskStatus::exited || cancelled_.contains(task.job_id);
  });
}

void WorkerGateway::reply_waiting() {
  for (std::size_t n = waiting_.size(); n > 0; --n) {
    const WaitingReport waiting = std::move(waiting_.front());
    waiting_.pop_front();
    if (!term_.leading || term_.fencing_token != waiting.fencing_token || may_renew_lease(*waiting.report)) {
      // The term's orders for it may be others by now: it gets them with its next report.
      send_reply(waiting.report, waiting.fencing_token, {}, waiting.answer);
    } else if (runtime_.now() < waiting.deadline) {
      waiting_.push_back(waiting);
    } else {
      log_lease_renewal(true);
      waiting.answer(
          error_response({503, "cancellations_unknown",
                          "What was cancelled may not be known here, so that no lease is renewed.", "", 1}));
    }
  }
  if (withholding_renewals_ && cancellations_known_.through >= runtime_.now() - cancellation_gap())
    log_lease_renewal(false);
}

void WorkerGateway::log_lease_renewal(bool now_so) {
  if (std::exchange(withholding_renewals_, now_so) == now_so) return;
  if (now_so) {
    log::warn(
        "leases_let_go",
        "leases of machines with tasks are let run out: neither the state service nor {peer} told for "
        "{seconds:.0f} s what users cancelled",
        log::with("peer",
                  cancellations_known_.slowest_peer.empty() ? "a peer" : cancellations_known_.slowest_peer),
        log::with("seconds", to_seconds(cancellation_gap())));
  } else {
    log::info("leases_kept", "leases are renewed again: what users cancelled is known");
  }
}

/// Whether this is the worker's newest word here; copies of messages may come long after, and out of order.
bool WorkerGateway::is_newest(const WorkerReport& report) {
  auto& [word, at] = positions_[report.host];
  if (position_of(report) <= word) return false;
  word = position_of(report);
  at = runtime_.now();
  return true;
}

void WorkerGateway::record_reply(const std::string& host, const ReportPosition& word,
                                 const std::vector<WorkerCommand>& commands) {
  const auto it = workers_.find(host);
  if (it != workers_.end() && it->second.position == word)
    it->second.delivery.on_reply(term_.fencing_token, commands);
}

/// An old word while no newer ones come: a copy that is late, or a machine that began anew under its name and
/// counts from the start. Its answer to a call is no copy, and tells which.
void WorkerGateway::challenge_position(const std::string& host, WorkerState& worker,
                                       const WorkerReport& received) {
  const Instant now = runtime_.now();
  if (worker.cordoned || worker.address.empty() || now - worker.challenged_at < kChallengeInterval) return;
  // Many copies must not make many calls; whose newer words stay out is asked in any case.
  if (now - worker.heard_at < settings_.report_interval * 5 / 4 && now < next_challenge_) return;
  next_challenge_ = now + kChallengePause;
  worker.challenged_at = now;
  worker.delivery.on_polled();
  Request q{"POST", "/orders",
            encode(Value::Map{
                {"epoch", term_.fencing_token}, {"tenure", received.incarnation}, {"orders", Value::List{}}}),
            true};
  runtime_.call(worker.address, std::move(q), kPollTimeout,
                [this, host, fencing_token = term_.fencing_token](const CallResult& result) {
                  const auto it = workers_.find(host);
                  if (!term_.leading || term_.fencing_token != fencing_token || it == workers_.end() ||
                      !result.answered)
                    return;
                  const auto value = decode(result.response.body);
                  auto report = value ? read_report(*value) : std::nullopt;
                  if (!report || report->host != host || report->fencing_token != fencing_token) return;
                  if (position_of(*report) <= it->second.position) {
                    cordon(host, it->second, "it began anew");
                  } else {
                    accept_report(std::make_shared<const WorkerReport>(std::move(*report)), false,
                                  [](const std::vector<WorkerCommand>&) {});
                  }
                });
}

/// Nothing is ordered there any more, and the machine goes back: whatever it says or does not say of its
/// tasks, only that proves them gone.
void WorkerGateway::cordon(const std::string& host, WorkerState& worker, const char* why) {
  if (std::exchange(worker.cordoned, true)) return;
  log::info("machine_useless", "machine {machine} is of no use: {reason}", log::with("machine", host),
            log::with("reason", why));
  machine_unreachable(MachineCordoned{host, why});
}

void WorkerGateway::accept_report(const Report& shared, bool settled,
                                  const std::function<void(std::vector<WorkerCommand>)>& reply) {
  const WorkerReport& report = *shared;
  if (departed_.contains(report.host)) {
    reply({});
    return;
  }
  unheard_inherited_.erase(report.host);
  WorkerState& worker = workers_[report.host];
  const ReportPosition word = position_of(report);
  if (word <= worker.position) {
    challenge_position(report.host, worker, report);
    reply({});  // older than what is known
    return;
  }
  if (worker.silent)
    log::info("machine_heard", "machine {machine} is heard again", log::with("machine", report.host));
  if (topology_ && (worker.address != report.address || worker.machine_type != report.machine_type ||
                    worker.zone != report.zone))
    worker.place = topology_->find(report.host, report.address, report.machine_type, report.zone);
  const Instant now = runtime_.now();
  // An answer to /orders shows what it executed there; what it had been answered before may still come.
  if (settled)
    worker.delivery.on_report(report,
                              now - worker.heard_at < std::max(settings_.report_interval * 2, kAnswerLost));
  worker.address = report.address;
  worker.machine_type = report.machine_type;
  worker.zone = report.zone;
  worker.position = word;
  worker.heard_at = now;
  worker.silent = false;
  worker.reclaimed_by.reset();
  if (report.eviction_notice) worker.reclaimed_by = now + *report.eviction_notice;
  const bool current = report.fencing_token == term_.fencing_token;
  worker_reported(WorkerReported{shared, current, settled, reply});
}

void WorkerGateway::on_direct_commands(const DirectCommands& event) {
  const auto it = workers_.find(event.host);
  if (!term_.leading || it == workers_.end()) return;
  std::vector<WorkerCommand> commands = event.commands;
  std::erase_if(commands,
                [](const WorkerCommand& command) { return command.verb == WorkerCommand::Verb::start; });
  const std::string body = encode(Value::Map{{"epoch", term_.fencing_token},
                                             {"tenure", it->second.position.incarnation},
                                             {"orders", write_commands(commands)}});
  it->second.delivery.on_polled();
  runtime_.call(it->second.address, {"POST", "/orders", body}, from_seconds(2),
                [this, fencing_token = term_.fencing_token](const CallResult& result) {
                  if (!term_.leading || term_.fencing_token != fencing_token || !result.answered ||
                      result.response.status != 200)
                    return;
                  const auto value = decode(result.response.body);
                  if (auto report = value ? read_report(*value) : std::nullopt;
                      report && report->fencing_token == fencing_token) {
                    accept_report(std::make_shared<const WorkerReport>(std::move(*report)), false,
                                  [](const std::vector<WorkerCommand>&) {});
                  }
                });
}

void WorkerGateway::on_hints_inherited(const std::shared_ptr<const InheritedHints>& all) {
  if (!term_.leading || term_.fencing_token != all->term) return;
  // First those that have room for what waits; last those that were silent before.
  for (const int turn : {0, 1, 2}) {
    for (const auto& [host, m] : all->machines) {
      const int its = m.silent ? 2 : m.has_room ? 0 : 1;
      if (its != turn || m.address.empty()) continue;
      polls_.push_back({host, m.address, m.incarnation, 0});
      unheard_inherited_.insert(host);
    }
  }
  polls_planned_ = unheard_inherited_.size();
  poll_next();
}

void WorkerGateway::on_machine_listed(const MachineListed& event) {
  if (!term_.leading || term_.fencing_token < 2 || event.address.empty() || workers_.contains(event.host) ||
      unheard_inherited_.contains(event.host))
    return;
  // Its tenure is not known: an answer that it is another tells which.
  polls_.push_back({event.host, event.address, 1, 0});
  poll_next();
}

/// One that answered no call and sent no report is as silent as one that this leader had heard before: its
/// silence counts from the last leader's end, whom it could not reach either.
void WorkerGateway::give_up_polls() {
  if (unheard_inherited_.empty()) return;
  const Instant now = runtime_.now();
  const Micros before =
      last_leader_heartbeat_ == Instant{} ? Micros{0} : leading_since_ - last_leader_heartbeat_;
  if (now - leading_since_ < std::max(kPollWindow, silence_limit() - before)) return;
  // Where many are missing the fault is more likely here; what has claims goes back later all the same.
  if (unheard_inherited_.size() * 4 <= polls_planned_) {
    for (const std::string& host : unheard_inherited_) {
      log::info("machine_silent", "machine {machine} is silent for {seconds:.1f} s",
                log::with("machine", host), log::with("seconds", to_seconds(now - leading_since_ + before)));
      worker_silent(WorkerSilent{host});
    }
  }
  unheard_inherited_.clear();
}

void WorkerGateway::poll_next() {
  while (polls_in_flight_ < std::max(kMaxConcurrentPolls, polls_planned_ / kCallsPart) && !polls_.empty()) {
    const Poll poll = std::move(polls_.front());
    polls_.pop_front();
    // It has come by itself, or is no more.
    if (workers_.contains(poll.host) || departed_.contains(poll.host)) continue;
    ++polls_in_flight_;
    Request request{
        "POST", "/orders",
        encode(Value::Map{
            {"epoch", term_.fencing_token}, {"tenure", poll.incarnation}, {"orders", Value::List{}}}),
        true};
    runtime_.call(poll.address, std::move(request), kPollTimeout,
                  [this, poll, fencing_token = term_.fencing_token](const CallResult& result) {
                    on_polled(poll, fencing_token, result);
                  });
  }
}

void WorkerGateway::on_polled(const Poll& poll, std::uint64_t fencing_token, const CallResult& result) {
  if (!term_.leading || term_.fencing_token != fencing_token) return;
  --polls_in_flight_;
  const auto value = result.answered && (result.response.status == 200 || result.response.status == 409)
                         ? decode(result.response.body)
                         : std::nullopt;
  auto report = value ? read_report(*value) : std::nullopt;
  if (report && report->host == poll.host && report->fencing_token > fencing_token) {
    leadership_lost(LeadershipLost{report->fencing_token});
  } else if (report && report->host == poll.host && report->fencing_token == fencing_token) {
    accept_report(std::make_shared<const WorkerReport>(std::move(*report)), false,
                  [](const std::vector<WorkerCommand>&) {});
  } else if (poll.tries + 1 < kPollTries) {
    // The answer was lost, or it has begun another tenure since it was told of.
    polls_.push_back(
        {poll.host, poll.address, report ? report->incarnation : poll.incarnation, poll.tries + 1});
  }
  poll_next();
}

void WorkerGateway::on_topology_activated(const TopologyActivated& event) {
  if (topology_ == event.topology) return;
  topology_ = event.topology;
  domain_failures_.set_topology(topology_);
  for (auto& [name, h] : workers_)
    h.place =
        topology_ ? topology_->find(name, h.address, h.machine_type, h.zone) : topology::MachineLocation{};
}

void WorkerGateway::check_domains(Micros late) {
  if (!topology_) return;
  std::vector<domain_failure_detector::DomainMember> members;
  members.reserve(workers_.size());
  for (const auto& [name, h] : workers_) members.push_back({&name, &h.place, h.heard_at});
  domain_failures_.evaluate(runtime_.now(), late, members);
  if (domain_failures_.suspected() == suspected_) return;
  suspected_ = domain_failures_.suspected();
  machines_suspected(MachinesSuspected{suspected_});
}

void WorkerGateway::on_machine_departed(const MachineDeparted& event) {
  workers_.erase(event.host);
  unheard_inherited_.erase(event.host);
  if (!departed_.insert(event.host).second) return;
  departed_order_.push_back(event.host);
  if (departed_order_.size() > kMaxDeparted) {
    departed_.erase(departed_order_.front());
    departed_order_.pop_front();
  }
}

/// Machines that show nothing of their answers. Where that is so of most, the answers of this node reach
/// nobody, and no machine is to blame.
void WorkerGateway::check_delivery(Micros limit) {
  replies_lost_ = false;
  if (!term_.leading) return;
  std::size_t heard = 0;
  std::vector<std::pair<const std::string*, WorkerState*>> deaf;
  std::size_t suspects = 0;
  for (auto& [name, h] : workers_) {
    if (h.silent || h.cordoned || runtime_.now() - h.heard_at > limit) continue;
    ++heard;
    if (h.delivery.unobserved_replies() >= kMaxUnobserved - 1) ++suspects;
    if (h.delivery.unobserved_replies() >= kMaxUnobserved) deaf.emplace_back(&name, &h);
  }
  replies_lost_ = suspects >= 2 && suspects * 2 >= heard;
  if (replies_lost_) return;
  for (const auto& [name, h] : deaf) cordon(*name, *h, "it hears nothing");
}

void WorkerGateway::tick() {
  const Instant now = runtime_.now();
  if (last_tick_ != Instant{}) {
    const double passed = to_seconds(now - last_tick_);
    const double still = std::max(0.0, passed - to_seconds(kTickInterval) * 1.25) / passed;
    const double weight = std::min(1.0, passed / to_seconds(kStarvedMemory));
    stall_share_ += (still - stall_share_) * weight;
  }
  if (now - last_tick_ > kTickInterval * 3 && last_tick_ != Instant{}) {
    // This controller itself stood still or was starved: reports wait unread, and no machine is to blame.
    const Micros lost = now - last_tick_ - kTickInterval;
    for (auto& [name, h] : workers_) h.heard_at += lost;
    last_report_ += lost;
    log::debug("lost_time", "this controller lost {seconds:.1f} s", log::with("seconds", to_seconds(lost)));
  }
  last_tick_ = now;
  reply_waiting();
  const Micros limit = silence_limit();
  const bool hears = majority_ever_heard_ && now - last_report_ < limit;
  // Machines do not end most at a time: where few of those that should have reported did, the fault is more
  // likely here. A leader cut off from its workers alone would otherwise return them all before it knows. Not
  // for ever, though: they may have ended after all.
  const Micros late = settings_.report_interval * 3 / 2 + kReportDelay;
  std::size_t awaited = 0;
  std::size_t heard = 0;
  for (const auto& [name, h] : workers_) {
    if (h.silent) continue;
    ++awaited;
    if (now - h.heard_at <= late) ++heard;
  }
  if (awaited < kMinHostsForLoss || heard * 4 >= awaited) majority_heard_at_ = now;
  const bool few = now > majority_heard_at_ && now - majority_heard_at_ < settings_.worker_lease;
  const bool deaf = term_.leading && now - leading_since_ > limit && (!hears || few);
  check_delivery(limit);
  reachability(
      WorkerReachability{deaf, replies_lost_, hears, !workers_.empty(), stall_share_ > kStarvedShare});
  if (now >= next_cleanup_) {
    next_cleanup_ = now + kReportPositionMemory;
    std::erase_if(positions_, [&](const auto& w) { return now - w.second.second > kReportPositionMemory; });
  }
  if (term_.leading && !deaf && !few) {
    check_domains(late);
    give_up_polls();
    for (auto& [name, h] : workers_) {
      // One that was to be taken about now needs no long silence to be believed gone. A notice may last half
      // as long as it says, so what counts is the silence as well.
      const bool taken =
          h.reclaimed_by && now >= *h.reclaimed_by && now - h.heard_at > settings_.report_interval * 3 / 2;
      if (h.silent || (now - h.heard_at <= limit && !taken)) continue;
      h.silent = true;
      // Of a domain that is lost as a whole one line tells.
      log::say(domain_failures_.is_lost(h.place) ? spdlog::level::debug : spdlog::level::info,
               "machine_silent", "machine {machine} is silent for {seconds:.1f} s",
               log::with("machine", name), log::with("seconds", to_seconds(now - h.heard_at)));
      worker_silent(WorkerSilent{name});
    }
  }
  runtime_.after(kTickInterval, [this] { tick(); });
}

}  // namespace wrenusher::worker_gateway
