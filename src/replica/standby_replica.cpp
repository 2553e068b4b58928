#include "wrenusher/replica/standby_replica.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::replica {

namespace {

constexpr Micros kTick = from_millis(500);
/// Hints that nobody confirmed to be all there are for so long are not all any more.
constexpr Micros kHintsHold = from_seconds(5);
/// A node that stays cold for so long says so, and again after as long.
constexpr Micros kColdTooLong = from_seconds(60);
/// Confirmations of one heartbeat; what is not confirmed comes again.
constexpr std::size_t kMaxConfirmed = 8;
/// Of an earlier life's hints nothing is worth more than this: images move, machines go.
constexpr Micros kHintsLast = from_seconds(300);

const char* readiness_name(Readiness event) {
  return event == Readiness::warm ? "warm" : event == Readiness::part ? "half warm" : "cold";
}

}  // namespace

StandbyReplica::StandbyReplica(Runtime& runtime, const Settings& settings, KvClient& store)
    : runtime_(runtime),
      settings_(settings),
      incarnation_(runtime.random()() | 1U),
      replica_(runtime, settings, store),
      verifier_(runtime, settings, store),
      cold_since_(runtime.now()) {}

void StandbyReplica::start() {
  if (!settings_.has_standby()) return;
  replica_.on_jobs = [this](Instant asked, std::vector<std::string> cancelled) {
    cancellations_read(CancellationsRead{asked, std::move(cancelled)});
  };
  replica_.on_followed = [this](const RecordsChanged& event) { records_changed(event); };
  replica_.start();
  tick();
}

Readiness StandbyReplica::readiness() const {
  if (term_.leading) return Readiness::warm;
  const bool records = replica_.complete();
  const bool hints = complete_from_ != 0 && runtime_.now() - complete_at_ < kHintsHold;
  return records && hints ? Readiness::warm : records || hints ? Readiness::part : Readiness::cold;
}

void StandbyReplica::tick() {
  const Instant now = runtime_.now();
  const Readiness event = readiness();
  if (event != published_readiness_) {
    published_readiness_ = event;
    readiness_changed(event);
    if (!term_.leading) {
      log::info(
          "standby",
          "this node is {state}: {jobs} jobs and {slots} values of the records, hints of {machines} machines",
          log::with("state", readiness_name(event)), log::with("jobs", replica_.jobs()),
          log::with("slots", replica_.shards()), log::with("machines", hints_.machines()));
    }
  }
  if (event == Readiness::warm) {
    cold_since_ = now;
  } else if (now - cold_since_ > kColdTooLong && now > warn_cold_at_) {
    warn_cold_at_ = now + kColdTooLong;
    log::warn("standby_behind",
              "this node has been {state} for {seconds:.0f} s: records {records}, hints {hints}",
              log::with("state", readiness_name(event)), log::with("seconds", to_seconds(now - cold_since_)),
              log::with("records", replica_.complete() ? "copied" : "not copied"),
              log::with("hints", complete_from_ != 0 ? "told" : "not told"));
  }
  runtime_.after(kTick, [this] { tick(); });
}

// ---------------------------------------------------------------- terms

void StandbyReplica::on_term(const TermChanged& term) {
  if (!settings_.has_standby()) return;
  const bool begins = term.leading && !(term_.leading && term_.fencing_token == term.fencing_token);
  const bool ends = term_.leading && !term.leading;
  term_ = term;
  if (begins) {
    begin_term();
  } else if (ends) {
    verifier_.stop();
    // What it knew as leader is the newest hint there is, until the next leader tells it better.
    hints_ = publisher_.table();
    publisher_.end();
    complete_from_ = 0;
    replica_.start();
  }
}

/// Hands over what is at hand, and has the records checked.
void StandbyReplica::begin_term() {
  const Instant now = runtime_.now();
  auto all = std::make_shared<InheritedHints>(hints_.inherited_hints(now));
  std::erase_if(all->machines, [](const auto& m) { return m.second.age > kHintsLast; });
  all->term = term_.fencing_token;
  all->complete = complete_from_ != 0 && now - complete_at_ < kHintsHold * 2;
  hints_inherited(std::move(all));
  std::map<std::string, std::uint64_t> even;
  for (const auto& [name, p] : peers_) {
    if (complete_from_ != 0 && p.complete_from == complete_from_) even[name] = p.incarnation;
  }
  publisher_.begin(term_.fencing_token, incarnation_, hints_, even, now);
  hints_ = {};
  replica_.hand_over(term_.mod_revision, [this, fencing_token = term_.fencing_token](
                                             std::shared_ptr<records::RecordSnapshot> snapshot) {
    if (!term_.leading || term_.fencing_token != fencing_token) return;
    if (!snapshot) {
      replica_verified(ReplicaVerified{fencing_token, nullptr});
      return;
    }
    verifier_.verify(snapshot, [this, fencing_token, snapshot](const ReplicaVerifier::Result& result) {
      if (!term_.leading || term_.fencing_token != fencing_token) return;
      log::say(result.verified && result.reread == 0 ? spdlog::level::debug : spdlog::level::warn,
               "records_checked",
               "the copy of the records: {keys} keys compared, {anew} read anew, {verdict}",
               log::with("keys", result.compared), log::with("anew", result.reread),
               log::with("verdict", result.verified ? "good" : "not believed"));
      replica_verified(ReplicaVerified{fencing_token, result.verified ? snapshot : nullptr});
    });
  });
}

// ---------------------------------------------------------------- what is told

void StandbyReplica::on_heartbeat_sent(const HeartbeatSent&) {
  send_all_hints();
}

/// Its last words, before it is asked no more.
void StandbyReplica::on_stepping_down(const SteppingDown&) {
  send_all_hints();
}

void StandbyReplica::send_all_hints() {
  if (!settings_.has_standby()) return;
  for (const PeerAddress& peer : settings_.peers) send_hints(peer.name);
}

void StandbyReplica::send_hints(const std::string& peer) {
  Value::List got;
  PeerState& state = peers_[peer];
  for (const std::uint64_t n : std::exchange(state.to_confirm, {})) got.emplace_back(n);
  Value::Map out{{"life", incarnation_},
                 {"got", std::move(got)},
                 {"told_by", term_.leading ? incarnation_ : complete_from_}};
  if (term_.leading) {
    if (Value hints = publisher_.next(peer, runtime_.now()); !hints.is_null()) {
      out.emplace_back("hints", std::move(hints));
    } else if (publisher_.up_to_date(peer, state.incarnation)) {
      // Nothing new is news as well: what that life of the peer knows is all there is.
      out.emplace_back("even", state.incarnation);
    }
  }
  attachment(HeartbeatAttachment{peer, std::move(out)});
}

void StandbyReplica::on_attachment(const HeartbeatAttachment& event) {
  if (!settings_.has_standby()) return;
  PeerState& state = peers_[event.peer];
  const auto life = event.value["life"].count();
  if (!life) return;
  if (state.incarnation != *life) state = {};
  state.incarnation = *life;
  state.complete_from = event.value["told_by"].count().value_or(0);
  if (term_.leading) {
    std::vector<std::uint64_t> got;
    if (const Value::List* list = event.value["got"].list()) {
      for (const Value& n : *list) {
        if (n.count()) got.push_back(*n.count());
      }
    }
    publisher_.on_confirmed(event.peer, state.incarnation, got, runtime_.now());
    return;
  }
  if (!event.value["hints"].is_null()) merge_hints(event.value["hints"], state);
  if (event.value["even"].count() == incarnation_) {
    complete_from_ = state.incarnation;
    complete_at_ = runtime_.now();
  }
}

void StandbyReplica::merge_hints(const Value& value, PeerState& from) {
  const std::uint64_t term = value["term"].count().value_or(0);
  const std::uint64_t beat = value["n"].count().value_or(0);
  const Value::List* rows = value["rows"].list();
  if (term < term_.fencing_token || beat == 0 || rows == nullptr) return;
  const Instant now = runtime_.now();
  // A teller that began from nothing with us owes everything: what we had from before is void.
  if (const std::uint64_t since = value["since"].count().value_or(0); since > from.since) {
    from.since = since;
    hints_.drop_before(term, since);
  }
  for (const Value& row : *rows) {
    const Value::List* list = row.list();
    if (list == nullptr || list->size() != 3 || (*list)[0].text() == nullptr) continue;
    hints_.put({*(*list)[0].text(), (*list)[1], (*list)[2].count().value_or(0)}, now, term, beat);
  }
  if (from.to_confirm.size() < kMaxConfirmed) from.to_confirm.push_back(beat);
  if (value["left"].count() == std::uint64_t{0}) {
    complete_from_ = from.incarnation;
    complete_at_ = now;
  } else if (complete_from_ != from.incarnation) {
    complete_from_ = 0;
  }
}

void StandbyReplica::on_leader_hints(const std::shared_ptr<const LeaderHints>& hints) {
  if (!term_.leading) return;
  const Instant now = runtime_.now();
  for (const MachineHint& hint : hints->machines) publisher_.put(to_hint_row(hint), now);
  for (const JobClassHint& hint : hints->job_classes) publisher_.put(to_hint_row(hint), now);
  for (const JobHint& hint : hints->jobs) {
    if (hint.hosts.empty() && hint.retry_count == 0) {
      publisher_.erase(hint_key(HintKind::job, hint.job_id), now);
    } else {
      publisher_.put(to_hint_row(hint), now);
    }
  }
}

void StandbyReplica::on_rental_hints(const std::shared_ptr<const RentalHints>& hints) {
  if (!term_.leading) return;
  const Instant now = runtime_.now();
  std::set<std::string> there;
  for (const RentalHint& hint : hints->rentals) {
    there.insert(hint_key(HintKind::rental, hint.host));
    publisher_.put(to_hint_row(hint), now);
  }
  for (const RentalRequestHint& hint : hints->requests) {
    there.insert(hint_key(HintKind::booking, hint.name));
    publisher_.put(to_hint_row(hint), now);
  }
  for (const HintKind kind : {HintKind::rental, HintKind::booking}) {
    for (const std::string& name : publisher_.names(kind)) {
      if (!there.contains(hint_key(kind, name))) publisher_.erase(hint_key(kind, name), now);
    }
  }
}

void StandbyReplica::on_machine_departed(const MachineDeparted& event) {
  if (term_.leading) publisher_.erase(hint_key(HintKind::machine, event.host), runtime_.now());
}

}  // namespace wrenusher::replica
