#include "wrenusher/replica/standby_replica.hpp"

#include <set>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::replica {

using events::CancellationsRead;
using events::HeartbeatAttachment;
using events::HeartbeatSent;
using events::InheritedHints;
using events::JobClassHint;
using events::JobHint;
using events::LeaderHints;
using events::MachineDeparted;
using events::MachineHint;
using events::Readiness;
using events::RecordsChanged;
using events::RentalHint;
using events::RentalHints;
using events::RentalRequestHint;
using events::ReplicaVerified;
using events::SteppingDown;
using events::TermChanged;
using records::RecordSnapshot;
using settings::PeerAddress;
using time::from_millis;
using time::from_seconds;
using time::to_seconds;
using value::Value;

namespace {

constexpr Micros kReadinessInterval = from_millis(500);
/// Hints are treated as incomplete if the leader last confirmed their completeness longer ago than this.
/// Twice this time is allowed at the beginning of a term, since the previous leader has stopped sending.
constexpr Micros kMaxHintAge = from_seconds(5);
/// A standby that has not been warm for this long logs a warning, and repeats it at this interval.
constexpr Micros kNotWarmWarningInterval = from_seconds(60);
/// Maximum number of confirmations per heartbeat; a message that is not confirmed is sent again.
constexpr std::size_t kMaxConfirmations = 8;
/// Older hints of machines are not inherited, since images are replaced and machines are returned.
constexpr Micros kMaxMachineHintAge = from_seconds(300);

const char* readiness_name(Readiness readiness) {
  switch (readiness) {
    case Readiness::warm:
      return "warm";
    case Readiness::partial:
      return "partly warm";
    case Readiness::cold:
      break;
  }
  return "cold";
}

/// Returns the numbers in a list, or no numbers if the value is not a list.
std::vector<std::uint64_t> read_counts(const Value& value) {
  std::vector<std::uint64_t> counts;
  const Value::List* list = value.list();
  if (list == nullptr) return counts;
  for (const Value& item : *list) {
    if (const auto count = item.count()) counts.push_back(*count);
  }
  return counts;
}

}  // namespace

StandbyReplica::StandbyReplica(Runtime& runtime, const Settings& settings, KvClient& store)
    : runtime_(runtime),
      settings_(settings),
      incarnation_(runtime.random()() | 1U),
      replica_(runtime, settings, store),
      verifier_(runtime, settings, store),
      not_warm_since_(runtime.now()) {}

void StandbyReplica::start() {
  if (!settings_.has_standby()) return;
  replica_.cancellations_read = [this](Instant requested_at, std::vector<std::string> job_ids) {
    cancellations_read(CancellationsRead{requested_at, std::move(job_ids)});
  };
  replica_.records_changed = [this](const RecordsChanged& event) { records_changed(event); };
  replica_.start();
  tick();
}

// ---------------------------------------------------------------- readiness

Readiness StandbyReplica::readiness() const {
  if (term_.leading) return Readiness::warm;
  const bool has_records = replica_.complete();
  const bool has_hints = synced_leader_incarnation_ != 0 && runtime_.now() - last_synced_at_ < kMaxHintAge;
  if (has_records && has_hints) return Readiness::warm;
  return has_records || has_hints ? Readiness::partial : Readiness::cold;
}

void StandbyReplica::tick() {
  const Readiness current = readiness();
  if (current != published_readiness_) publish_readiness(current);
  warn_if_cold(current);
  runtime_.after(kReadinessInterval, [this] { tick(); });
}

void StandbyReplica::publish_readiness(Readiness readiness) {
  published_readiness_ = readiness;
  readiness_changed(readiness);
  if (term_.leading) return;
  log::info(
      "standby_readiness",
      "this standby is {state}: replica of {jobs} jobs and {shards} shards, hints of {machines} machines",
      log::with("state", readiness_name(readiness)), log::with("jobs", replica_.job_count()),
      log::with("shards", replica_.shard_count()), log::with("machines", hints_.machine_count()));
}

void StandbyReplica::warn_if_cold(Readiness readiness) {
  const Instant now = runtime_.now();
  if (readiness == Readiness::warm) {
    not_warm_since_ = now;
    return;
  }
  if (now - not_warm_since_ <= kNotWarmWarningInterval || now <= next_warning_) return;
  next_warning_ = now + kNotWarmWarningInterval;
  log::warn("standby_not_warm",
            "this standby has been {state} for {seconds:.0f} s: records {records}, hints {hints}",
            log::with("state", readiness_name(readiness)),
            log::with("seconds", to_seconds(now - not_warm_since_)),
            log::with("records", replica_.complete() ? "complete" : "incomplete"),
            log::with("hints", synced_leader_incarnation_ != 0 ? "complete" : "incomplete"));
}

// ---------------------------------------------------------------- terms

void StandbyReplica::on_term(const TermChanged& term) {
  if (!settings_.has_standby()) return;
  const bool term_begins = term.leading && !leading_term(term.fencing_token);
  const bool term_ends = term_.leading && !term.leading;
  term_ = term;
  if (term_begins) {
    begin_term();
  } else if (term_ends) {
    end_term();
  }
}

/// Publishes the hints received from the previous leader and starts to verify the records.
void StandbyReplica::begin_term() {
  const Instant now = runtime_.now();
  publish_inherited_hints(now);
  publisher_.begin(term_.fencing_token, incarnation_, hints_, synchronized_peers(), now);
  hints_ = {};
  replica_.hand_over(term_.mod_revision, [this, fencing_token = term_.fencing_token](
                                             const std::shared_ptr<RecordSnapshot>& snapshot) {
    if (leading_term(fencing_token)) verify_records(snapshot);
  });
}

void StandbyReplica::end_term() {
  verifier_.stop();
  // The hints that this node published as leader are the newest until the next leader publishes its own.
  hints_ = publisher_.table();
  publisher_.end();
  synced_leader_incarnation_ = 0;
  replica_.start();
}

void StandbyReplica::publish_inherited_hints(Instant now) {
  auto hints = std::make_shared<InheritedHints>(hints_.inherited_hints(now));
  std::erase_if(hints->machines, [](const auto& machine) { return machine.second.age > kMaxMachineHintAge; });
  hints->term = term_.fencing_token;
  hints->complete = synced_leader_incarnation_ != 0 && now - last_synced_at_ < kMaxHintAge * 2;
  hints_inherited(std::move(hints));
}

/// Returns the peers, with their incarnations, that have all hints of the same leader as this node.
std::map<std::string, std::uint64_t> StandbyReplica::synchronized_peers() const {
  std::map<std::string, std::uint64_t> result;
  if (synced_leader_incarnation_ == 0) return result;
  for (const auto& [name, peer] : peers_) {
    if (peer.synced_leader_incarnation == synced_leader_incarnation_) result[name] = peer.incarnation;
  }
  return result;
}

/// Verifies the replica against the state service and reports the outcome as ReplicaVerified. `snapshot`: the
/// replica's records, or null if the replica was not complete; the new leader then reads all records itself.
void StandbyReplica::verify_records(const std::shared_ptr<RecordSnapshot>& snapshot) {
  const std::uint64_t fencing_token = term_.fencing_token;
  if (!snapshot) {
    replica_verified(ReplicaVerified{fencing_token, nullptr});
    return;
  }
  verifier_.verify(snapshot, [this, fencing_token, snapshot](const ReplicaVerifier::Result& result) {
    if (leading_term(fencing_token)) on_verified(result, snapshot);
  });
}

void StandbyReplica::on_verified(const ReplicaVerifier::Result& result,
                                 const std::shared_ptr<RecordSnapshot>& snapshot) {
  const bool is_clean = result.verified && result.reread == 0;
  log::say(is_clean ? spdlog::level::debug : spdlog::level::warn, "replica_verified",
           "the replica of the records is {verdict}: {keys} keys compared, {reread} read again",
           log::with("keys", result.compared), log::with("reread", result.reread),
           log::with("verdict", result.verified ? "verified" : "rejected"));
  replica_verified(ReplicaVerified{term_.fencing_token, result.verified ? snapshot : nullptr});
}

// ---------------------------------------------------------------- hints, as leader

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
  std::set<std::string> present;
  for (const RentalHint& hint : hints->rentals) {
    present.insert(hint_key(HintKind::rental, hint.host));
    publisher_.put(to_hint_row(hint), now);
  }
  for (const RentalRequestHint& hint : hints->requests) {
    present.insert(hint_key(HintKind::rental_request, hint.name));
    publisher_.put(to_hint_row(hint), now);
  }
  for (const HintKind kind : {HintKind::rental, HintKind::rental_request}) {
    for (const std::string& name : publisher_.names_of(kind)) {
      const std::string key = hint_key(kind, name);
      if (!present.contains(key)) publisher_.erase(key, now);
    }
  }
}

void StandbyReplica::on_machine_departed(const MachineDeparted& event) {
  if (term_.leading) publisher_.erase(hint_key(HintKind::machine, event.host), runtime_.now());
}

// ---------------------------------------------------------------- hints, in the heartbeats

void StandbyReplica::on_heartbeat_sent(const HeartbeatSent&) {
  send_all_hints();
}

/// Sends the last hints of the term.
void StandbyReplica::on_stepping_down(const SteppingDown&) {
  send_all_hints();
}

void StandbyReplica::send_all_hints() {
  if (!settings_.has_standby()) return;
  for (const PeerAddress& peer : settings_.peers) send_hints(peer.name);
}

void StandbyReplica::send_hints(const std::string& peer) {
  PeerState& state = peers_[peer];
  Value::List confirmed;
  for (const std::uint64_t message : std::exchange(state.messages_to_confirm, {}))
    confirmed.emplace_back(message);
  Value::Map out{{"life", incarnation_},
                 {"got", std::move(confirmed)},
                 {"told_by", term_.leading ? incarnation_ : synced_leader_incarnation_}};
  if (term_.leading) {
    if (Value message = publisher_.next_message(peer, runtime_.now()); !message.is_null()) {
      out.emplace_back("hints", std::move(message));
    } else if (publisher_.up_to_date(peer, state.incarnation)) {
      // Tells the peer that it, in this incarnation, still has all hints.
      out.emplace_back("even", state.incarnation);
    }
  }
  attachment(HeartbeatAttachment{peer, std::move(out)});
}

void StandbyReplica::on_attachment(const HeartbeatAttachment& event) {
  if (!settings_.has_standby()) return;
  PeerState& peer = peers_[event.peer];
  const auto incarnation = event.value["life"].count();
  if (!incarnation) return;
  if (peer.incarnation != *incarnation) peer = {};
  peer.incarnation = *incarnation;
  peer.synced_leader_incarnation = event.value["told_by"].count().value_or(0);
  if (term_.leading) {
    publisher_.on_confirmed(event.peer, peer.incarnation, read_counts(event.value["got"]), runtime_.now());
    return;
  }
  if (!event.value["hints"].is_null()) merge_hints(event.value["hints"], peer);
  if (event.value["even"].count() == incarnation_) {
    synced_leader_incarnation_ = peer.incarnation;
    last_synced_at_ = runtime_.now();
  }
}

void StandbyReplica::merge_hints(const Value& message, PeerState& sender) {
  const HintVersion version{message["term"].count().value_or(0), message["n"].count().value_or(0)};
  const Value::List* rows = message["rows"].list();
  if (version.term < term_.fencing_token || version.message == 0 || rows == nullptr) return;
  const Instant now = runtime_.now();
  // The leader has restarted publishing to this node and sends all rows, so its earlier messages are invalid.
  const std::uint64_t first_valid_message = message["since"].count().value_or(0);
  if (first_valid_message > sender.first_valid_message) {
    sender.first_valid_message = first_valid_message;
    hints_.drop_before(version.term, first_valid_message);
  }
  for (const Value& row : *rows) {
    const Value::List* columns = row.list();
    if (columns == nullptr || columns->size() != 3 || (*columns)[0].text() == nullptr) continue;
    hints_.put({*(*columns)[0].text(), (*columns)[1], (*columns)[2].count().value_or(0)}, now, version.term,
               version.message);
  }
  if (sender.messages_to_confirm.size() < kMaxConfirmations)
    sender.messages_to_confirm.push_back(version.message);
  if (message["left"].count() == std::uint64_t{0}) {
    synced_leader_incarnation_ = sender.incarnation;
    last_synced_at_ = now;
  } else if (synced_leader_incarnation_ != sender.incarnation) {
    synced_leader_incarnation_ = 0;
  }
}

}  // namespace wrenusher::replica
