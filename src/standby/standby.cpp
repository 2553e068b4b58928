#include "wrenusher/standby/standby.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::standby {

namespace {

constexpr Micros kTick = millis(500);
/// Hints that nobody confirmed to be all there are for so long are not all any more.
constexpr Micros kHintsHold = from_seconds(5);
/// A node that stays cold for so long says so, and again after as long.
constexpr Micros kColdTooLong = from_seconds(60);
/// Confirmations of one heartbeat; what is not confirmed comes again.
constexpr std::size_t kMostConfirmed = 8;
/// Of an earlier life's hints nothing is worth more than this: images move, machines go.
constexpr Micros kHintsLast = from_seconds(300);

const char* word(Readiness r) {
  return r == Readiness::warm ? "warm" : r == Readiness::part ? "half warm" : "cold";
}

}  // namespace

Standby::Standby(Runtime& rt, const Settings& settings, Store& store)
    : rt_(rt),
      settings_(settings),
      life_(rt.random()() | 1U),
      copy_(rt, settings, store),
      check_(rt, settings, store),
      cold_since_(rt.now()) {}

void Standby::start() {
  if (!settings_.stands_by()) return;
  copy_.on_jobs = [this](Instant asked, std::vector<std::string> cancelled) {
    cancellations_read(CancellationsRead{asked, std::move(cancelled)});
  };
  copy_.on_followed = [this](const RecordsFollowed& f) { followed(f); };
  copy_.begin();
  tick();
}

Readiness Standby::ready() const {
  if (term_.leading) return Readiness::warm;
  const bool records = copy_.whole();
  const bool hints = told_by_ != 0 && rt_.now() - told_at_ < kHintsHold;
  return records && hints ? Readiness::warm : records || hints ? Readiness::part : Readiness::cold;
}

void Standby::tick() {
  const Instant now = rt_.now();
  const Readiness r = ready();
  if (r != said_) {
    said_ = r;
    readiness(r);
    if (!term_.leading) {
      log::info(
          "standby",
          "this node is {state}: {jobs} jobs and {slots} values of the records, hints of {machines} machines",
          log::with("state", word(r)), log::with("jobs", copy_.jobs()), log::with("slots", copy_.slots()),
          log::with("machines", picture_.machines()));
    }
  }
  if (r == Readiness::warm) {
    cold_since_ = now;
  } else if (now - cold_since_ > kColdTooLong && now > complain_at_) {
    complain_at_ = now + kColdTooLong;
    log::warn("standby_behind",
              "this node has been {state} for {seconds:.0f} s: records {records}, hints {hints}",
              log::with("state", word(r)), log::with("seconds", to_seconds(now - cold_since_)),
              log::with("records", copy_.whole() ? "copied" : "not copied"),
              log::with("hints", told_by_ != 0 ? "told" : "not told"));
  }
  rt_.after(kTick, [this] { tick(); });
}

// ---------------------------------------------------------------- terms

void Standby::on_term(const TermChanged& t) {
  if (!settings_.stands_by()) return;
  const bool begins = t.leading && !(term_.leading && term_.epoch == t.epoch);
  const bool ends = term_.leading && !t.leading;
  term_ = t;
  if (begins) {
    lead();
  } else if (ends) {
    check_.stop();
    // What it knew as leader is the newest hint there is, until the next leader tells it better.
    picture_ = teller_.known();
    teller_.end();
    told_by_ = 0;
    copy_.begin();
  }
}

/// Hands over what is at hand, and has the records checked.
void Standby::lead() {
  const Instant now = rt_.now();
  auto all = std::make_shared<Inheritance>(picture_.inheritance(now));
  std::erase_if(all->machines, [](const auto& m) { return m.second.told_ago > kHintsLast; });
  all->term = term_.epoch;
  all->whole = told_by_ != 0 && now - told_at_ < kHintsHold * 2;
  inherited(std::move(all));
  std::map<std::string, std::uint64_t> even;
  for (const auto& [name, p] : peers_) {
    if (told_by_ != 0 && p.told_by == told_by_) even[name] = p.life;
  }
  teller_.begin(term_.epoch, life_, picture_, even, now);
  picture_ = {};
  copy_.hand_over(term_.stamp, [this, epoch = term_.epoch](std::shared_ptr<records::Snapshot> s) {
    if (!term_.leading || term_.epoch != epoch) return;
    if (!s) {
      copied(RecordsCopied{epoch, nullptr});
      return;
    }
    check_.begin(s, [this, epoch, s](const Check::Result& r) {
      if (!term_.leading || term_.epoch != epoch) return;
      log::say(r.good && r.anew == 0 ? spdlog::level::debug : spdlog::level::warn, "records_checked",
               "the copy of the records: {keys} keys compared, {anew} read anew, {verdict}",
               log::with("keys", r.compared), log::with("anew", r.anew),
               log::with("verdict", r.good ? "good" : "not believed"));
      copied(RecordsCopied{epoch, r.good ? s : nullptr});
    });
  });
}

// ---------------------------------------------------------------- what is told

void Standby::on_beat(const BeatSent&) {
  tell_all();
}

/// Its last words, before it is asked no more.
void Standby::on_ceding(const Ceding&) {
  tell_all();
}

void Standby::tell_all() {
  if (!settings_.stands_by()) return;
  for (const PeerAddress& p : settings_.peers) tell(p.name);
}

void Standby::tell(const std::string& peer) {
  Value::List got;
  PeerState& p = peers_[peer];
  for (const std::uint64_t n : std::exchange(p.to_confirm, {})) got.emplace_back(n);
  Value::Map out{{"life", life_}, {"got", std::move(got)}, {"told_by", term_.leading ? life_ : told_by_}};
  if (term_.leading) {
    if (Value hints = teller_.next(peer, rt_.now()); !hints.is_null()) {
      out.emplace_back("hints", std::move(hints));
    } else if (teller_.even(peer, p.life)) {
      // Nothing new is news as well: what that life of the peer knows is all there is.
      out.emplace_back("even", p.life);
    }
  }
  aside(Aside{peer, std::move(out)});
}

void Standby::on_aside(const Aside& a) {
  if (!settings_.stands_by()) return;
  PeerState& p = peers_[a.peer];
  const auto life = a.value["life"].count();
  if (!life) return;
  if (p.life != *life) p = {};
  p.life = *life;
  p.told_by = a.value["told_by"].count().value_or(0);
  if (term_.leading) {
    std::vector<std::uint64_t> got;
    if (const Value::List* l = a.value["got"].list()) {
      for (const Value& n : *l) {
        if (n.count()) got.push_back(*n.count());
      }
    }
    teller_.heard(a.peer, p.life, got, rt_.now());
    return;
  }
  if (!a.value["hints"].is_null()) take_hints(a.value["hints"], p);
  if (a.value["even"].count() == life_) {
    told_by_ = p.life;
    told_at_ = rt_.now();
  }
}

void Standby::take_hints(const Value& v, PeerState& from) {
  const std::uint64_t term = v["term"].count().value_or(0);
  const std::uint64_t beat = v["n"].count().value_or(0);
  const Value::List* rows = v["rows"].list();
  if (term < term_.epoch || beat == 0 || rows == nullptr) return;
  const Instant now = rt_.now();
  // A teller that began from nothing with us owes everything: what we had from before is void.
  if (const std::uint64_t since = v["since"].count().value_or(0); since > from.since) {
    from.since = since;
    picture_.forget_before(term, since);
  }
  for (const Value& row : *rows) {
    const Value::List* f = row.list();
    if (f == nullptr || f->size() != 3 || (*f)[0].text() == nullptr) continue;
    picture_.put({*(*f)[0].text(), (*f)[1], (*f)[2].count().value_or(0)}, now, term, beat);
  }
  if (from.to_confirm.size() < kMostConfirmed) from.to_confirm.push_back(beat);
  if (v["left"].count() == std::uint64_t{0}) {
    told_by_ = from.life;
    told_at_ = now;
  } else if (told_by_ != from.life) {
    told_by_ = 0;
  }
}

void Standby::on_ledger(const std::shared_ptr<const LedgerHints>& h) {
  if (!term_.leading) return;
  const Instant now = rt_.now();
  for (const MachineHint& m : h->machines) teller_.put(to_row(m), now);
  for (const QueueHint& q : h->queues) teller_.put(to_row(q), now);
  for (const JobHint& j : h->jobs) {
    if (j.hosts.empty() && j.backoffs == 0) {
      teller_.erase(key_of(Kind::job, j.ref), now);
    } else {
      teller_.put(to_row(j), now);
    }
  }
}

void Standby::on_rentals(const std::shared_ptr<const RentalHints>& h) {
  if (!term_.leading) return;
  const Instant now = rt_.now();
  std::set<std::string> there;
  for (const RentalHint& r : h->rentals) {
    there.insert(key_of(Kind::rental, r.host));
    teller_.put(to_row(r), now);
  }
  for (const BookingHint& b : h->bookings) {
    there.insert(key_of(Kind::booking, b.name));
    teller_.put(to_row(b), now);
  }
  for (const Kind kind : {Kind::rental, Kind::booking}) {
    for (const std::string& name : teller_.names(kind)) {
      if (!there.contains(key_of(kind, name))) teller_.erase(key_of(kind, name), now);
    }
  }
}

void Standby::on_gone(const HostGone& g) {
  if (term_.leading) teller_.erase(key_of(Kind::machine, g.host), rt_.now());
}

}  // namespace wrenusher::standby
