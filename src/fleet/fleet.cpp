#include "wrenusher/fleet/fleet.hpp"

#include <algorithm>

#include "wrenusher/base/refusal.hpp"
#include "wrenusher/log/log.hpp"

namespace wrenusher::fleet {

namespace {
constexpr Micros kTick = millis(250);
/// Departed machines whose late reports are ignored: every machine of the largest deployment (11,000), twice.
constexpr std::size_t kMostGone = 22000;
/// A report may be this late without anything being wrong.
constexpr Micros kReportDelay = from_seconds(1.5);
/// With fewer machines than this nothing is told from how many are silent.
constexpr std::size_t kFewHosts = 6;
/// A node that stood still for more than this part of so much time is starved.
constexpr double kStarved = 0.5;
constexpr Micros kStarvedMemory = from_seconds(6);
/// Workers asked for their word at a time. Whoever is short of processor gets the answers later and asks
/// less. Of many workers this part at a time, so that those that time out hold up the rest no longer.
constexpr std::size_t kMostCalls = 24;
constexpr std::size_t kCallsPart = 40;
constexpr Micros kCallTimeout = from_seconds(1);
constexpr int kCallTries = 3;
/// A machine is asked for its newest word no more often than this.
constexpr Micros kChallengeEvery = from_seconds(1.5);
constexpr Micros kChallengePause = millis(300);
/// A worker gives an answer up after 4 s and asks the next node 1 s later, which may send it back.
constexpr Micros kAnswerLost = from_seconds(6);
/// What was last heard of a worker so long ago is forgotten; no copy comes as late as that.
constexpr Micros kForgetWords = from_seconds(600);
/// A report whose answer would renew what may be cancelled waits so long for the news; then its worker is
/// sent away.
constexpr Micros kWaitKnown = from_seconds(1.5);
/// What a stop, a lease and a clock may take beyond their times; twice the drift, as for holds.
constexpr Micros kStopMargin = from_seconds(2);
constexpr double kDrift = 0.001;
/// What is told over and over is noted anew once in so long.
constexpr Micros kTellAgain = from_seconds(10);
/// Where cancel_s leaves no more than lease_s, nothing less than this works at all.
constexpr Micros kLeastUnknown = from_seconds(3);
/// Time for all of them, and for a worker whose report to the last leader must first be given up.
constexpr Micros kCalledWithin = from_seconds(4.5);
}  // namespace

Fleet::Fleet(Runtime& rt, const Settings& settings) : rt_(rt), settings_(settings) {}

void Fleet::start() {
  tick();
}

Micros Fleet::quiet_after() const {
  const Micros reports{static_cast<std::int64_t>(static_cast<double>(settings_.report.count()) *
                                                 settings_.tunables.silent_reports)};
  return std::max(from_seconds(4), std::min(reports, settings_.lease));
}

void Fleet::on_term(const TermChanged& t) {
  const bool begins = t.leading && !term_.leading;
  term_ = t;
  if (begins) {
    led_since_ = rt_.now();
    last_word_ = t.last_word;
    hosts_.clear();
    watch_.clear();
    doubted_.clear();
  }
  if (begins || !t.leading) {
    calls_.clear();
    calling_ = 0;
    uncalled_.clear();
    to_call_ = 0;
  }
}

Response Fleet::elsewhere() const {
  if (term_.leader.empty() || term_.leader == settings_.node) return {421, {}, 0};
  return {421, encode(Value::Map{{"upstream", term_.leader}}), 0};
}

void Fleet::hello(const Request& request, const Answer& answer) {
  if (request.method != "POST") {
    answer(refuse({405, "wrong_method", "This is asked with POST.", "", 0}));
    return;
  }
  const auto v = decode(request.body);
  auto report = v ? read_report(*v) : std::nullopt;
  if (!report) {
    answer(refuse({400, "bad_report", "The body is no report of a worker.", "", 0}));
    return;
  }
  // A copy that comes late is no sign that workers reach this node.
  if (news(*report)) {
    heard_any_ = rt_.now();
    ever_heard_ = true;
  }
  if (report->epoch > term_.epoch) {
    // A 200 with our lower epoch would be dropped by the worker and let its lease run out.
    log::debug("report_newer", "report of {machine} has epoch {epoch}, {term} is known here",
               log::with("machine", report->host), log::with("epoch", report->epoch),
               log::with("term", term_.epoch));
    deposed(Deposed{report->epoch});
    answer({421, {}, 0});
    return;
  }
  if (!term_.leading) {
    log::debug("report_sent_on",
               "report of {machine} with epoch {epoch} is sent on to '{leader}' of epoch {term}",
               log::with("machine", report->host), log::with("epoch", report->epoch),
               log::with("leader", term_.leader), log::with("term", term_.epoch));
    answer(elsewhere());
    return;
  }
  const auto shared = std::make_shared<const WorkerReport>(std::move(*report));
  take(shared, true, [this, answer, epoch = term_.epoch, shared](std::vector<Order> orders) {
    respond(shared, epoch, std::move(orders), answer);
  });
}

/// The only answer that renews a lease.
void Fleet::respond(const Report& r, std::uint64_t epoch, std::vector<Order> orders, const Answer& answer) {
  if (!term_.leading || term_.epoch != epoch) {
    answer(elsewhere());
    return;
  }
  if (!may_renew(*r)) {
    // Nothing is ordered meanwhile: what its report brought is settled by the next.
    waiting_.push_back({r, epoch, answer, rt_.now() + kWaitKnown});
    return;
  }
  // Without certainty another leader may already have decided otherwise; the answer still keeps the lease.
  if (rt_.now() >= certain_until_) {
    std::erase_if(orders, [](const Order& o) { return o.verb == Order::Verb::run; });
  }
  stop_cancelled(*r, orders);
  note_answer(r->host, word_of(*r), orders);
  answer({200, encode(Value::Map{{"epoch", epoch}, {"orders", write_orders(orders)}}), 0});
}

void Fleet::on_withdrawn(const JobWithdrawn& w) {
  // Once cancel_s is over no task of it is left, by the rule that this serves; twice that, and a minute for a
  // confirmation that came later than the news, is ample.
  const Instant now = rt_.now();
  while (!cancelled_order_.empty() &&
         now - cancelled_order_.front().first > settings_.cancel * 2 + from_seconds(60)) {
    const auto it = cancelled_.find(cancelled_order_.front().second);
    if (it != cancelled_.end() && it->second == cancelled_order_.front().first) cancelled_.erase(it);
    cancelled_order_.pop_front();
  }
  const auto [it, added] = cancelled_.try_emplace(w.ref, now);
  if (!added && now - it->second < kTellAgain) return;
  it->second = now;
  cancelled_order_.emplace_back(now, w.ref);
}

void Fleet::on_known(const CancellationsKnown& k) {
  known_ = k;
  answer_waiting();
}

/// Whatever the ledger knows by now: it may have read no record yet.
void Fleet::stop_cancelled(const WorkerReport& r, std::vector<Order>& orders) const {
  if (cancelled_.empty()) return;
  std::erase_if(orders,
                [&](const Order& o) { return o.verb == Order::Verb::run && cancelled_.contains(o.ref); });
  for (const UnitReport& u : r.units) {
    if (u.status == UnitStatus::ended || !cancelled_.contains(u.ref)) continue;
    const bool told = std::any_of(orders.begin(), orders.end(), [&](const Order& o) {
      return o.verb == Order::Verb::halt && o.ref == u.ref && o.task == u.task && o.attempt == u.attempt;
    });
    if (!told) orders.push_back({Order::Verb::halt, u.ref, u.task, u.attempt, Micros{0}});
  }
}

/// A lease is renewed only while every cancellation that any user was told longer ago than this is known, and
/// stopped by the same answer. What is not known may be any task, so that its worker's lease is let run out:
/// from the last renewal on that takes `lease`.
Micros Fleet::unknown_for() const {
  const Micros drift{static_cast<std::int64_t>(static_cast<double>(settings_.cancel.count()) * kDrift)};
  return std::max(kLeastUnknown, settings_.cancel - settings_.lease - drift - kStopMargin);
}

bool Fleet::may_renew(const WorkerReport& r) const {
  if (known_.through >= rt_.now() - unknown_for()) return true;
  return std::all_of(r.units.begin(), r.units.end(), [&](const UnitReport& u) {
    return u.status == UnitStatus::ended || cancelled_.contains(u.ref);
  });
}

void Fleet::answer_waiting() {
  for (std::size_t n = waiting_.size(); n > 0; --n) {
    const Waiting w = std::move(waiting_.front());
    waiting_.pop_front();
    if (!term_.leading || term_.epoch != w.epoch || may_renew(*w.report)) {
      // The term's orders for it may be others by now: it gets them with its next report.
      respond(w.report, w.epoch, {}, w.answer);
    } else if (rt_.now() < w.until) {
      waiting_.push_back(w);
    } else {
      note_letting_go(true);
      w.answer(refuse({503, "cancellations_unknown",
                       "What was cancelled may not be known here, so that no lease is renewed.", "", 1}));
    }
  }
  if (letting_go_ && known_.through >= rt_.now() - unknown_for()) note_letting_go(false);
}

void Fleet::note_letting_go(bool now_so) {
  if (std::exchange(letting_go_, now_so) == now_so) return;
  if (now_so) {
    log::warn("leases_let_go",
              "leases of machines with tasks are let run out: neither the state service nor {peer} told for "
              "{seconds:.0f} s what users cancelled",
              log::with("peer", known_.behind.empty() ? "a peer" : known_.behind),
              log::with("seconds", to_seconds(unknown_for())));
  } else {
    log::info("leases_kept", "leases are renewed again: what users cancelled is known");
  }
}

/// Whether this is the worker's newest word here; copies of messages may come long after, and out of order.
bool Fleet::news(const WorkerReport& r) {
  auto& [word, at] = words_[r.host];
  if (word_of(r) <= word) return false;
  word = word_of(r);
  at = rt_.now();
  return true;
}

void Fleet::note_answer(const std::string& host, const Word& word, const std::vector<Order>& orders) {
  const auto it = hosts_.find(host);
  if (it != hosts_.end() && it->second.word == word) it->second.heed.answered(term_.epoch, orders);
}

/// An old word while no newer ones come: a copy that is late, or a machine that began anew under its name and
/// counts from the start. Its answer to a call is no copy, and tells which.
void Fleet::challenge(const std::string& host, Host& h, const WorkerReport& r) {
  const Instant now = rt_.now();
  if (h.useless || h.addr.empty() || now - h.challenged < kChallengeEvery) return;
  // Many copies must not make many calls; whose newer words stay out is asked in any case.
  if (now - h.heard < settings_.report * 5 / 4 && now < next_challenge_) return;
  next_challenge_ = now + kChallengePause;
  h.challenged = now;
  h.heed.called();
  Request q{"POST", "/orders",
            encode(Value::Map{{"epoch", term_.epoch}, {"tenure", r.tenure}, {"orders", Value::List{}}}),
            true};
  rt_.fetch(h.addr, std::move(q), kCallTimeout, [this, host, epoch = term_.epoch](const Outcome& o) {
    const auto it = hosts_.find(host);
    if (!term_.leading || term_.epoch != epoch || it == hosts_.end() || !o.answered) return;
    const auto v = decode(o.response.body);
    auto report = v ? read_report(*v) : std::nullopt;
    if (!report || report->host != host || report->epoch != epoch) return;
    if (word_of(*report) <= it->second.word) {
      give_up(host, it->second, "it began anew");
    } else {
      take(std::make_shared<const WorkerReport>(std::move(*report)), false, [](const std::vector<Order>&) {});
    }
  });
}

/// Nothing is ordered there any more, and the machine goes back: whatever it says or does not say of its
/// tasks, only that proves them gone.
void Fleet::give_up(const std::string& host, Host& h, const char* why) {
  if (std::exchange(h.useless, true)) return;
  log::info("machine_useless", "machine {machine} is of no use: {reason}", log::with("machine", host),
            log::with("reason", why));
  useless(HostCondemned{host, why});
}

void Fleet::take(const Report& shared, bool settled, const std::function<void(std::vector<Order>)>& reply) {
  const WorkerReport& report = *shared;
  if (gone_.contains(report.host)) {
    reply({});
    return;
  }
  uncalled_.erase(report.host);
  Host& h = hosts_[report.host];
  const Word word = word_of(report);
  if (word <= h.word) {
    challenge(report.host, h, report);
    reply({});  // older than what is known
    return;
  }
  if (h.quiet)
    log::info("machine_heard", "machine {machine} is heard again", log::with("machine", report.host));
  if (topology_ && (h.addr != report.addr || h.flavor != report.flavor || h.site != report.site))
    h.place = topology_->find(report.host, report.addr, report.flavor, report.site);
  const Instant now = rt_.now();
  // An answer to /orders shows what it executed there; what it had been answered before may still come.
  if (settled) h.heed.reported(report, now - h.heard < std::max(settings_.report * 2, kAnswerLost));
  h.addr = report.addr;
  h.flavor = report.flavor;
  h.site = report.site;
  h.word = word;
  h.heard = now;
  h.quiet = false;
  h.taken.reset();
  if (report.warning) h.taken = now + *report.warning;
  const bool current = report.epoch == term_.epoch;
  reported(HostReported{shared, current, settled, reply});
}

void Fleet::on_direct(const DirectOrders& d) {
  const auto it = hosts_.find(d.host);
  if (!term_.leading || it == hosts_.end()) return;
  std::vector<Order> orders = d.orders;
  std::erase_if(orders, [](const Order& o) { return o.verb == Order::Verb::run; });
  const std::string body = encode(Value::Map{
      {"epoch", term_.epoch}, {"tenure", it->second.word.tenure}, {"orders", write_orders(orders)}});
  it->second.heed.called();
  rt_.fetch(it->second.addr, {"POST", "/orders", body}, from_seconds(2),
            [this, epoch = term_.epoch](const Outcome& o) {
              if (!term_.leading || term_.epoch != epoch || !o.answered || o.response.status != 200) return;
              const auto v = decode(o.response.body);
              if (auto report = v ? read_report(*v) : std::nullopt; report && report->epoch == epoch) {
                take(std::make_shared<const WorkerReport>(std::move(*report)), false,
                     [](const std::vector<Order>&) {});
              }
            });
}

void Fleet::on_inherited(const std::shared_ptr<const Inheritance>& all) {
  if (!term_.leading || term_.epoch != all->term) return;
  // First those that have room for what waits; last those that were silent before.
  for (const int turn : {0, 1, 2}) {
    for (const auto& [host, m] : all->machines) {
      const int its = m.quiet ? 2 : m.room ? 0 : 1;
      if (its != turn || m.addr.empty()) continue;
      calls_.push_back({host, m.addr, m.tenure, 0});
      uncalled_.insert(host);
    }
  }
  to_call_ = uncalled_.size();
  call_over();
}

void Fleet::on_listed(const HostListed& l) {
  if (!term_.leading || term_.epoch < 2 || l.addr.empty() || hosts_.contains(l.host) ||
      uncalled_.contains(l.host))
    return;
  // Its tenure is not known: an answer that it is another tells which.
  calls_.push_back({l.host, l.addr, 1, 0});
  call_over();
}

/// One that answered no call and sent no report is as silent as one that this leader had heard before: its
/// silence counts from the last leader's end, whom it could not reach either.
void Fleet::miss_called() {
  if (uncalled_.empty()) return;
  const Instant now = rt_.now();
  const Micros before = last_word_ == Instant{} ? Micros{0} : led_since_ - last_word_;
  if (now - led_since_ < std::max(kCalledWithin, quiet_after() - before)) return;
  // Where many are missing the fault is more likely here; what has claims goes back later all the same.
  if (uncalled_.size() * 4 <= to_call_) {
    for (const std::string& host : uncalled_) {
      log::info("machine_silent", "machine {machine} is silent for {seconds:.1f} s",
                log::with("machine", host), log::with("seconds", to_seconds(now - led_since_ + before)));
      quiet(HostQuiet{host});
    }
  }
  uncalled_.clear();
}

void Fleet::call_over() {
  while (calling_ < std::max(kMostCalls, to_call_ / kCallsPart) && !calls_.empty()) {
    const Call c = std::move(calls_.front());
    calls_.pop_front();
    // It has come by itself, or is no more.
    if (hosts_.contains(c.host) || gone_.contains(c.host)) continue;
    ++calling_;
    Request r{"POST", "/orders",
              encode(Value::Map{{"epoch", term_.epoch}, {"tenure", c.tenure}, {"orders", Value::List{}}}),
              true};
    rt_.fetch(c.addr, std::move(r), kCallTimeout,
              [this, c, epoch = term_.epoch](const Outcome& o) { called(c, epoch, o); });
  }
}

void Fleet::called(const Call& c, std::uint64_t epoch, const Outcome& o) {
  if (!term_.leading || term_.epoch != epoch) return;
  --calling_;
  const auto v = o.answered && (o.response.status == 200 || o.response.status == 409)
                     ? decode(o.response.body)
                     : std::nullopt;
  auto report = v ? read_report(*v) : std::nullopt;
  if (report && report->host == c.host && report->epoch > epoch) {
    deposed(Deposed{report->epoch});
  } else if (report && report->host == c.host && report->epoch == epoch) {
    take(std::make_shared<const WorkerReport>(std::move(*report)), false, [](const std::vector<Order>&) {});
  } else if (c.tries + 1 < kCallTries) {
    // The answer was lost, or it has begun another tenure since it was told of.
    calls_.push_back({c.host, c.addr, report ? report->tenure : c.tenure, c.tries + 1});
  }
  call_over();
}

void Fleet::on_topology(const TopologyInForce& t) {
  if (topology_ == t.topology) return;
  topology_ = t.topology;
  watch_.take(topology_);
  for (auto& [name, h] : hosts_)
    h.place = topology_ ? topology_->find(name, h.addr, h.flavor, h.site) : topology::Place{};
}

void Fleet::look_at_domains(Micros late) {
  if (!topology_) return;
  std::vector<watch::Member> members;
  members.reserve(hosts_.size());
  for (const auto& [name, h] : hosts_) members.push_back({&name, &h.place, h.heard});
  watch_.look(rt_.now(), late, members);
  if (watch_.doubted() == doubted_) return;
  doubted_ = watch_.doubted();
  doubted(Doubted{doubted_});
}

void Fleet::on_gone(const HostGone& g) {
  hosts_.erase(g.host);
  uncalled_.erase(g.host);
  if (!gone_.insert(g.host).second) return;
  gone_order_.push_back(g.host);
  if (gone_order_.size() > kMostGone) {
    gone_.erase(gone_order_.front());
    gone_order_.pop_front();
  }
}

/// Machines that show nothing of their answers. Where that is so of most, the answers of this node reach
/// nobody, and no machine is to blame.
void Fleet::look_for_unheeding(Micros limit) {
  mute_ = false;
  if (!term_.leading) return;
  std::size_t heard = 0;
  std::vector<std::pair<const std::string*, Host*>> deaf;
  std::size_t suspects = 0;
  for (auto& [name, h] : hosts_) {
    if (h.quiet || h.useless || rt_.now() - h.heard > limit) continue;
    ++heard;
    if (h.heed.unheeded() >= kUnheeded - 1) ++suspects;
    if (h.heed.unheeded() >= kUnheeded) deaf.emplace_back(&name, &h);
  }
  mute_ = suspects >= 2 && suspects * 2 >= heard;
  if (mute_) return;
  for (const auto& [name, h] : deaf) give_up(*name, *h, "it hears nothing");
}

void Fleet::tick() {
  const Instant now = rt_.now();
  if (ticked_ != Instant{}) {
    const double passed = to_seconds(now - ticked_);
    const double still = std::max(0.0, passed - to_seconds(kTick) * 1.25) / passed;
    const double weight = std::min(1.0, passed / to_seconds(kStarvedMemory));
    starved_ += (still - starved_) * weight;
  }
  if (now - ticked_ > kTick * 3 && ticked_ != Instant{}) {
    // This controller itself stood still or was starved: reports wait unread, and no machine is to blame.
    const Micros lost = now - ticked_ - kTick;
    for (auto& [name, h] : hosts_) h.heard += lost;
    heard_any_ += lost;
    log::debug("lost_time", "this controller lost {seconds:.1f} s", log::with("seconds", to_seconds(lost)));
  }
  ticked_ = now;
  answer_waiting();
  const Micros limit = quiet_after();
  const bool hears = ever_heard_ && now - heard_any_ < limit;
  // Machines do not end most at a time: where few of those that should have reported did, the fault is more
  // likely here. A leader cut off from its workers alone would otherwise return them all before it knows. Not
  // for ever, though: they may have ended after all.
  const Micros late = settings_.report * 3 / 2 + kReportDelay;
  std::size_t awaited = 0;
  std::size_t heard = 0;
  for (const auto& [name, h] : hosts_) {
    if (h.quiet) continue;
    ++awaited;
    if (now - h.heard <= late) ++heard;
  }
  if (awaited < kFewHosts || heard * 4 >= awaited) most_heard_ = now;
  const bool few = now > most_heard_ && now - most_heard_ < settings_.lease;
  const bool deaf = term_.leading && now - led_since_ > limit && (!hears || few);
  look_for_unheeding(limit);
  hearing(Hearing{deaf, mute_, hears, !hosts_.empty(), starved_ > kStarved});
  if (now >= next_tidy_) {
    next_tidy_ = now + kForgetWords;
    std::erase_if(words_, [&](const auto& w) { return now - w.second.second > kForgetWords; });
  }
  if (term_.leading && !deaf && !few) {
    look_at_domains(late);
    miss_called();
    for (auto& [name, h] : hosts_) {
      // One that was to be taken about now needs no long silence to be believed gone. A notice may last half
      // as long as it says, so what counts is the silence as well.
      const bool taken = h.taken && now >= *h.taken && now - h.heard > settings_.report * 3 / 2;
      if (h.quiet || (now - h.heard <= limit && !taken)) continue;
      h.quiet = true;
      // Of a domain that is lost as a whole one line tells.
      log::say(watch_.lost(h.place) ? spdlog::level::debug : spdlog::level::info, "machine_silent",
               "machine {machine} is silent for {seconds:.1f} s", log::with("machine", name),
               log::with("seconds", to_seconds(now - h.heard)));
      quiet(HostQuiet{name});
    }
  }
  rt_.after(kTick, [this] { tick(); });
}

}  // namespace wrenusher::fleet
