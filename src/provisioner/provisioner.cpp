#include "wrenusher/provisioner/provisioner.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "wrenusher/log/log.hpp"
#include "wrenusher/planner/planner.hpp"

namespace wrenusher::provisioner {

namespace {

/// Between two rentals for a layout that the last ones did not serve.
constexpr Micros kLeastUseless = from_seconds(60);
constexpr Micros kMostUseless = from_seconds(600);
constexpr Micros kTick = millis(500);
constexpr Micros kTimeout = from_seconds(5);
constexpr Micros kListEvery = from_seconds(4);
constexpr Micros kCatalogEvery = from_seconds(30);
constexpr Micros kRecordEvery = from_seconds(3);
constexpr Micros kRefusedPause = from_seconds(8);
constexpr std::uint32_t kMostPerBooking = 50;
constexpr std::size_t kMostPerReturn = 100;
constexpr int kBookingTries = 8;
/// So many failed calls in a row are an outage.
constexpr int kTroubled = 3;
/// A machine that is returned costs at least this much time, so it is kept for it.
constexpr Micros kLeastPaid = from_seconds(60);
/// A worker waits this long for an answer, and this long before it asks the next node.
constexpr Micros kWorkerPatience = from_seconds(4);
constexpr Micros kWorkerRetry = from_seconds(1);
/// No ordinary machine is rented for what is predicted to start within this part of the time that it may
/// wait.
constexpr double kOrdinaryWait = 0.4;
constexpr Micros kMostWait = from_seconds(90);
/// So many machines of a zone silent within this time, and none heard, make it a zone cut off; it is tried
/// again after a while, since nothing may be left there to be heard.
constexpr std::size_t kFewSilent = 6;
constexpr Micros kSilenceMemory = from_seconds(20);
constexpr Micros kLostZone = from_seconds(40);

/// With so few of the last leader's machines not heard yet, what is short can be told.
constexpr double kFewHeirs = 0.1;

bool no_capacity(const Outcome& o) {
  return o.answered && o.response.status == 503 && o.response.body.find("no capacity") != std::string::npos;
}

}  // namespace

Provisioner::Provisioner(Runtime& rt, const Settings& settings, Store& store)
    : rt_(rt), settings_(settings), store_(store), pace_(settings.cloud_rps * 0.9, rt.now()) {}

void Provisioner::start() {
  tick();
}

void Provisioner::on_term(const TermChanged& t) {
  const bool begins = t.leading && !(term_.leading && term_.epoch == t.epoch);
  term_ = t;
  // What waits for its turn at the cloud was decided by a leader.
  if (!t.leading) calls_.clear();
  if (!begins) return;
  calls_.clear();
  open_bookings_.clear();
  refused_until_.clear();
  machines_.clear();
  silences_.clear();
  lost_until_.clear();
  to_return_.clear();
  gone_.clear();
  heirs_.clear();
  heirs_most_ = 0;
  load_.reset();
  term_began_ = rt_.now();
  money_.begin(rt_.now());
  listing_ = returning_ = false;
  bookings_made_ = 0;
  catalog_written_.clear();  // another leader may have written one since
  next_list_ = next_catalog_ = rt_.now();
  // Machines that run report first. What an earlier leader rented shows only after the list's lag; before
  // that it would be rented twice, which is cheap with spot machines alone.
  rent_not_before_ = rt_.now() + (t.epoch > 1 ? settings_.report * 5 / 4 + kWorkerRetry : Micros{0});
  ordinary_not_before_ = rt_.now() + (t.epoch > 1 ? settings_.list_lag : Micros{0});
}

void Provisioner::tick() {
  const Instant now = rt_.now();
  if (term_.leading) {
    if (now >= next_list_ && !listing_) ask_list({});
    if (now >= next_catalog_) ask_catalog();
    if (!catalog_) read_catalog_record();
    if (certain()) review();
    tell_hints();
  } else if (now >= next_catalog_) {
    read_catalog_record();
  }
  rt_.after(kTick, [this] { tick(); });
}

// ---------------------------------------------------------------- calls to the cloud

void Provisioner::cloud(Request request, bool first, std::function<void(const Outcome&)> done) {
  const bool acts = request.method == "POST";
  auto send = [this, request = std::move(request), done = std::move(done)]() mutable {
    rt_.fetch(
        settings_.cloud, std::move(request), kTimeout, [this, done = std::move(done)](const Outcome& o) {
          if (!o.answered || o.response.status == 429 || (o.response.status == 503 && !no_capacity(o))) {
            troubles_ = std::min(troubles_ + 1, 5);
            if (troubles_ == kTroubled) log::warn("cloud_silent", "the cloud gives no answers");
            cloud_not_before_ = rt_.now() + millis(300) * troubles_ + rt_.jitter(millis(300) * troubles_);
          } else {
            if (troubles_ >= kTroubled) log::info("cloud_answers", "the cloud answers again");
            troubles_ = 0;
          }
          done(o);
        });
  };
  if (first) {
    calls_.push_front({acts, std::move(send)});
  } else {
    calls_.push_back({acts, std::move(send)});
  }
  pump();
}

void Provisioner::pump() {
  if (pumping_) return;
  while (!calls_.empty()) {
    const Instant now = rt_.now();
    // What was decided while this node was certain to lead is not done once it is not: it may have stood
    // still in between.
    const auto next =
        std::find_if(calls_.begin(), calls_.end(), [&](const Call& c) { return !c.acts || certain(); });
    if (next == calls_.end() || now < cloud_not_before_ || !pace_.take(1, now)) {
      pumping_ = true;
      rt_.after(millis(50), [this] {
        pumping_ = false;
        pump();
      });
      return;
    }
    auto send = std::move(next->send);
    calls_.erase(next);
    send();
  }
}

// ---------------------------------------------------------------- catalog

void Provisioner::ask_catalog() {
  next_catalog_ = rt_.now() + kCatalogEvery;
  cloud({"GET", "/catalog", {}}, false, [this](const Outcome& o) {
    if (!o.answered || o.response.status != 200) {
      next_catalog_ = std::min(next_catalog_, rt_.now() + from_seconds(2));
      return;
    }
    if (const auto v = decode(o.response.body)) {
      take_catalog(*v);
      if (term_.leading) write_catalog(*v);
    }
  });
}

void Provisioner::take_catalog(const Value& v) {
  auto c = read_catalog(v);
  if (!c || c->empty()) return;
  if (!catalog_) log::info("types_known", "{types} machine types are known", log::with("types", c->size()));
  catalog_ = std::make_shared<const Catalog>(std::move(*c));
  catalog_seen(CatalogSeen{catalog_});
}

/// Kept so that a node that starts while the cloud is down can still tell what can never run.
void Provisioner::write_catalog(const Value& v) {
  std::string types;
  for (const auto& [name, f] : *catalog_) {
    types += name + ' ' + std::to_string(f.room.cores) + ' ' + std::to_string(f.room.cards) + ' ' +
             std::to_string(f.room.memory) + ' ' + std::to_string(f.sites.size()) + ';';
  }
  if (types == catalog_written_) return;
  store_.commit({{"leader", term_.stamp}}, {{"catalog", v, 0}}, Store::Urgent::schedule,
                [this, types](const Commit& c) {
                  if (c.result == Commit::Result::committed) catalog_written_ = types;
                });
}

void Provisioner::read_catalog_record() {
  next_catalog_ = std::max(next_catalog_, rt_.now() + (catalog_ ? kCatalogEvery : kRecordEvery));
  store_.get("catalog", Store::Urgent::schedule, [this](const Read& r) {
    if (r.result != Read::Result::ok) return;
    if (!r.rows.empty()) {
      if (!catalog_ || !term_.leading) take_catalog(r.rows[0].value);
    } else if (!catalog_ && !term_.leading) {
      ask_catalog();
    }
  });
}

// ---------------------------------------------------------------- the list of machines

Micros Provisioner::patience(const std::string& flavor) const {
  Micros boot = from_seconds(60);
  if (catalog_) {
    if (const auto it = catalog_->find(flavor); it != catalog_->end()) boot = it->second.boot;
  }
  return std::max(settings_.lease, from_seconds(to_seconds(boot) * settings_.tunables.slow_boot_factor));
}

Provisioner::Machine& Provisioner::know(const std::string& host) {
  const auto [it, added] = machines_.try_emplace(host);
  if (added) {
    it->second.rented = rt_.now();
    it->second.idle_since = rt_.now();
    it->second.expected = rt_.now() + std::max(settings_.lease, settings_.list_lag * 2);
  }
  return it->second;
}

void Provisioner::ask_list(const std::string& from) {
  listing_ = true;
  next_list_ = rt_.now() + kListEvery;
  std::string target = "/rentals?limit=500";
  if (!from.empty()) target += "&from=" + from;
  cloud({"GET", target, {}}, false, [this, term = term_.epoch](const Outcome& o) {
    if (!term_.leading || term_.epoch != term) return;
    listing_ = false;
    const auto v = o.answered && o.response.status == 200 ? decode(o.response.body) : std::nullopt;
    const Value::List* list = v ? (*v)["hosts"].list() : nullptr;
    if (list == nullptr) return;
    std::string last;
    for (const Value& item : *list) {
      if (const auto r = read_rental(item)) {
        take_rental(*r);
        last = r->ref;
      }
    }
    if ((*v)["truncated"].boolean().value_or(false) && !last.empty()) ask_list(last);
  });
}

void Provisioner::take_rental(const Rental& r) {
  // The list lags: what was given back may still be in it.
  if (to_return_.contains(r.ref) || gone_.contains(r.ref)) return;
  const bool added = !machines_.contains(r.ref);
  Machine& m = know(r.ref);
  m.flavor = r.flavor;
  m.site = r.site;
  m.standby = r.standby;
  // What runs is called over, where nobody left word of it: its worker may stay with a former leader that is
  // cut off with it.
  if (r.status == "running" && !std::exchange(m.listed, true) && !m.up) listed(HostListed{r.ref, r.addr});
  if (added) {
    m.rented = rt_.now() - r.held;
    m.expected = std::max(m.expected, m.rented + patience(r.flavor));
    log::debug("machine_listed", "machine {machine} ({type}) is in the list", log::with("machine", r.ref),
               log::with("type", r.flavor));
  }
  if (r.status == "running" && !m.running) {
    m.running = true;
    if (!m.up) m.expected = std::min(m.expected, rt_.now() + std::max(settings_.lease, settings_.report * 4));
  }
  if (r.status == "failed") give_back(r.ref, "it has failed");
}

// ---------------------------------------------------------------- rent and return

void Provisioner::book(const Kind& kind, std::uint32_t count) {
  Booking b;
  // Never used twice: an epoch has one leader, and a leader counts.
  b.name = "r-" + std::to_string(term_.epoch) + "-" + std::to_string(++bookings_made_);
  b.kind = kind;
  b.count = std::min(count, kMostPerBooking);
  if (const auto zone = lost_until_.find(kind.site); zone != lost_until_.end()) {
    // One machine finds out whether the zone can be heard again.
    b.count = 1;
    zone->second = rt_.now() + kLostZone;
  }
  open_bookings_[b.name] = b;
  send_rental(b);
}

void Provisioner::send_rental(const Booking& b) {
  const std::string body = encode(Value::Map{{"booking", b.name},
                                             {"flavor", b.kind.flavor},
                                             {"site", b.kind.site},
                                             {"standby", b.kind.standby},
                                             {"count", std::uint64_t{b.count}}});
  cloud({"POST", "/rentals", body}, false, [this, name = b.name, term = term_.epoch](const Outcome& o) {
    if (!term_.leading || term_.epoch != term) return;
    const auto it = open_bookings_.find(name);
    if (it == open_bookings_.end()) return;
    Booking& booking = it->second;
    const Kind kind = booking.kind;
    if (o.answered && o.response.status == 200) {
      const auto v = decode(o.response.body);
      std::uint32_t got = 0;
      if (v && (*v)["hosts"].list() != nullptr) {
        for (const Value& h : *(*v)["hosts"].list()) {
          if (h.text() == nullptr) continue;
          ++got;
          Machine& m = know(*h.text());
          m.flavor = kind.flavor;
          m.site = kind.site;
          m.standby = kind.standby;
          if (!m.up) m.expected = rt_.now() + patience(kind.flavor);
        }
      }
      log::info("rented", "rented {machines} of {asked} {kind} {type} in {zone}", log::with("machines", got),
                log::with("asked", booking.count), log::with("kind", kind.standby ? "spot" : "ordinary"),
                log::with("type", kind.flavor), log::with("zone", kind.site));
      if (got < booking.count) refused_until_[kind] = rt_.now() + kRefusedPause;
      open_bookings_.erase(it);
      return;
    }
    if (no_capacity(o)) {
      log::info("no_capacity", "no capacity for {kind} {type} in {zone}",
                log::with("kind", kind.standby ? "spot" : "ordinary"), log::with("type", kind.flavor),
                log::with("zone", kind.site));
      refused_until_[kind] = rt_.now() + kRefusedPause;
      open_bookings_.erase(it);
      return;
    }
    if ((o.answered && o.response.status == 400) || ++booking.tries >= kBookingTries) {
      log::warn("booking_given_up", "booking {booking} of {type} given up", log::with("booking", name),
                log::with("type", kind.flavor));
      open_bookings_.erase(it);
      return;
    }
    // Without an answer it may have been executed: the same name again gets the same machines.
    send_rental(booking);
  });
}

void Provisioner::give_back(const std::string& host, const char* why) {
  Machine& m = know(host);
  if (m.returning) return;
  m.returning = true;
  log::info("returning", "returning {machine} ({type}): {reason}", log::with("machine", host),
            log::with("type", m.flavor), log::with("reason", why));
  condemned(HostCondemned{host, why});
  to_return_.insert(host);
}

void Provisioner::send_return() {
  if (returning_ || to_return_.empty()) return;
  returning_ = true;
  Value::List hosts;
  std::vector<std::string> names;
  for (const std::string& h : to_return_) {
    if (names.size() == kMostPerReturn) break;
    names.push_back(h);
    hosts.emplace_back(h);
  }
  cloud({"POST", "/rentals/return", encode(Value::Map{{"hosts", std::move(hosts)}})}, true,
        [this, names, term = term_.epoch](const Outcome& o) {
          if (!term_.leading || term_.epoch != term) return;
          returning_ = false;
          if (!o.answered || o.response.status != 200) return;  // asked again by the next review
          for (const std::string& h : names) {
            heirs_.erase(h);
            to_return_.erase(h);
            machines_.erase(h);
            gone_.insert(h);
            gone(HostGone{h});
          }
        });
}

/// What the last leader had rented and asked for. The list of machines would tell of it only after its lag,
/// and until then it would be rented twice.
void Provisioner::on_inherited(const std::shared_ptr<const Inheritance>& all) {
  if (!term_.leading || term_.epoch != all->term) return;
  for (const RentalHint& r : all->rentals.rentals) {
    if (r.awaited.count() < 0) continue;  // it should have come long ago: the list tells what became of it
    Machine& m = know(r.host);
    m.flavor = r.flavor;
    m.site = r.site;
    m.standby = r.standby;
    m.rented = rt_.now() - r.held;
    m.expected = rt_.now() + r.awaited;
  }
  for (const BookingHint& b : all->rentals.bookings) {
    // The same name again rents nothing more, and says which machines came of it.
    Booking mine{b.name, {b.flavor, b.site, b.standby}, std::min(b.count, kMostPerBooking), 0};
    if (open_bookings_.emplace(b.name, mine).second) send_rental(mine);
  }
  if (!all->whole) return;
  for (const auto& [host, m] : all->machines) {
    if (!m.quiet) heirs_.insert(host);
  }
  heirs_most_ = heirs_.size();
}

/// Once those that run have nearly all reported there is no more to wait for before renting: what was on its
/// way is known.
void Provisioner::see_heirs() {
  if (heirs_most_ == 0) return;
  if (static_cast<double>(heirs_.size()) > kFewHeirs * static_cast<double>(heirs_most_)) return;
  heirs_most_ = 0;
  heirs_.clear();
  rent_not_before_ = std::min(rent_not_before_, rt_.now());
  ordinary_not_before_ = std::min(ordinary_not_before_, rt_.now());
}

void Provisioner::tell_hints() {
  if (!settings_.stands_by()) return;
  auto out = std::make_shared<RentalHints>();
  const Instant now = rt_.now();
  for (const auto& [host, m] : machines_) {
    if (!m.up && !m.returning && !m.running)
      out->rentals.push_back({host, m.flavor, m.site, m.standby, now - m.rented, m.expected - now});
  }
  for (const auto& [name, b] : open_bookings_)
    out->bookings.push_back({name, b.kind.flavor, b.kind.site, b.kind.standby, b.count});
  hints(std::shared_ptr<const RentalHints>(std::move(out)));
}

void Provisioner::on_quiet(const HostQuiet& q) {
  if (term_.leading) give_back_silent(q.host, "it is silent");
}

void Provisioner::on_suspect(const HostCondemned& c) {
  if (term_.leading) give_back(c.host, c.why.c_str());
}

void Provisioner::on_workload(const std::shared_ptr<const Workload>& w) {
  if (!term_.leading) return;
  load_ = w;
  account();
  const Instant now = rt_.now();
  for (const Workload::HostLoad& h : w->hosts) {
    if (to_return_.contains(h.host)) continue;
    Machine& m = know(h.host);
    if (!h.flavor.empty()) {
      m.flavor = h.flavor;
      m.site = h.site;
      m.standby = h.standby;
    }
    if (h.claims > 0 || (h.usable && !m.up)) m.idle_since = now;  // booting is not idling
    if (h.usable) m.up = true;
    if (h.usable) heirs_.erase(h.host);
    // It was up under an earlier leader, and a worker that still is finds this one within a report and a lost
    // answer.
    if (!m.up && h.claims > 0 && now - term_began_ > found_within())
      give_back_silent(h.host, "it is not heard in this term");
    m.booked = h.booked;
    m.working = h.running;
    m.lasting = h.lasting;
    m.carries = h.carries;
    if (m.draining && h.claims == 0) give_back(h.host, "it is idle");
  }
  see_zones(*w);
  see_heirs();
  if (certain()) plan_rentals();
}

void Provisioner::give_back_silent(const std::string& host, const char* why) {
  if (know(host).returning) return;
  silences_[know(host).site].push_back(rt_.now());
  give_back(host, why);
}

/// Zones that several machines of late fell silent in and none is heard of: cut off. What is rented in there
/// would be paid and not be heard until the cut ends. Its silent machines go back all the same: nothing else
/// proves their tasks gone, which cancelled jobs need in time.
void Provisioner::see_zones(const Workload& w) {
  const Instant now = rt_.now();
  std::set<std::string> heard;
  for (const Workload::HostLoad& h : w.hosts) {
    if (h.usable) heard.insert(h.site);
  }
  for (auto& [site, times] : silences_) {
    while (!times.empty() && now - times.front() > kSilenceMemory) times.pop_front();
    const bool known = lost_until_.contains(site);
    if (heard.contains(site)) {
      if (known) log::info("zone_heard", "zone {zone} is heard again", log::with("zone", site));
      lost_until_.erase(site);
    } else if (times.size() >= kFewSilent && !site.empty()) {
      if (!known)
        log::warn("zone_cut", "zone {zone} is cut off: nothing is rented there", log::with("zone", site));
      lost_until_[site] = now + kLostZone;
    }
  }
}

Micros Provisioner::found_within() const {
  return settings_.report * 5 / 4 + kWorkerPatience + kWorkerRetry * 2;
}

/// How long a machine may idle: an ordinary one for as much money as a spot one, which is used before it.
Micros Provisioner::idle_return(const Machine& m) const {
  const Micros spot = settings_.tunables.idle_return;
  const auto it = catalog_ ? catalog_->find(m.flavor) : Catalog::const_iterator{};
  if (m.standby || !catalog_ || it == catalog_->end() || it->second.rate <= it->second.low_price) return spot;
  return from_seconds(to_seconds(spot) * it->second.low_price / it->second.rate);
}

/// Keeps the books: operators see where the money goes.
void Provisioner::account() {
  const double hours = money_.elapse(rt_.now());
  if (!catalog_) return;
  for (const auto& [host, m] : machines_) {
    if (const auto f = catalog_->find(m.flavor); f != catalog_->end())
      money_.spend(hours, f->second, m.standby, {m.up, m.booked, m.working});
  }
  money_.tell(rt_.now());
}

void Provisioner::review() {
  const Instant now = rt_.now();
  for (auto& [host, m] : machines_) {
    if (m.returning) continue;
    if (!m.up) {
      if (now > m.expected) give_back(host, "it does not come up");
    } else if (!m.draining && !m.carries && now - m.rented > kLeastPaid &&
               now - m.idle_since > idle_return(m)) {
      // First the ledger puts nothing on it any more; it goes back when the ledger shows it empty.
      m.draining = true;
      condemned(HostCondemned{host, "idle"});
    }
  }
  send_return();
}

bool Provisioner::refused(const Kind& kind) const {
  if (const auto zone = lost_until_.find(kind.site); zone != lost_until_.end() && rt_.now() < zone->second)
    return true;
  const auto it = refused_until_.find(kind);
  return it != refused_until_.end() && rt_.now() < it->second;
}

void Provisioner::tell_capacity() {
  CapacitySeen seen;
  for (const auto& [name, f] : *catalog_) {
    const bool some = std::any_of(f.sites.begin(), f.sites.end(), [&, type = name](const std::string& site) {
      return !refused({type, site, true}) || !refused({type, site, false});
    });
    // While the cloud gives no answers nothing can be had from it either.
    if (!some || troubles_ >= kTroubled) seen.exhausted.insert(name);
  }
  for (const auto& [host, m] : machines_) {
    if (!m.up && !m.returning) ++seen.coming[m.flavor];
  }
  for (const auto& [name, b] : open_bookings_) seen.coming[b.kind.flavor] += b.count;
  capacity(seen);
}

/// A machine of this kind could serve the demand's layout, as far as can be told.
bool Provisioner::reaches(const Workload::Demand& d, const Kind& kind) {
  return !d.reach || d.reach->contains({kind.flavor, kind.site});
}

/// Where a layout is short, the machines that come may turn out to stand in the wrong domain. What was rented
/// for it gets the time to come and be used before more is rented.
bool Provisioner::may_rent(const Workload::Demand& d) const {
  const auto it = layouts_.find(d.spec.ref);
  return it == layouts_.end() || rt_.now() >= it->second.not_before;
}

void Provisioner::rented_for(const Workload::Demand& d) {
  if (!d.reach) return;
  LayoutTry& t = layouts_[d.spec.ref];
  // As short as before: what came was of no use, and goes to other work. Less and less often, then.
  const bool useless = t.tasks > 0 && d.tasks >= t.tasks;
  t.pause = useless ? std::clamp(t.pause * 2, kLeastUseless, kMostUseless) : Micros{0};
  t.tasks = d.tasks;
  Micros boot{0};
  for (const auto& [name, f] : *catalog_) boot = std::max(boot, patience(name));
  t.not_before = rt_.now() + boot + t.pause;
  std::erase_if(layouts_, [&](const auto& l) { return rt_.now() - l.second.not_before > kMostUseless; });
}

void Provisioner::plan_rentals() {
  const Instant now = rt_.now();
  if (catalog_) tell_capacity();
  if (!catalog_ || now < rent_not_before_) return;
  struct Bin {
    Kind kind;
    Needs room;
  };
  std::vector<Bin> bins;
  const auto add_bins = [&](const Kind& kind, std::uint32_t n) {
    if (const auto f = catalog_->find(kind.flavor); f != catalog_->end()) {
      for (std::uint32_t i = 0; i < n; ++i) bins.push_back({kind, f->second.room});
    }
  };
  for (const auto& [host, m] : machines_) {
    if (!m.up && !m.returning) add_bins({m.flavor, m.site, m.standby}, 1);
  }
  for (const auto& [name, b] : open_bookings_) add_bins(b.kind, b.count);

  // Cores of each type, here or coming, less what services keep, and the work that already waits for them, in
  // core seconds.
  struct Queue {
    double cores = 0;
    double work = 0;
  };
  std::map<std::string, Queue> queues;
  const auto add_cores = [&](const std::string& flavor, std::uint32_t n) {
    if (const auto f = catalog_->find(flavor); f != catalog_->end())
      queues[flavor].cores += n * from_amount(f->second.room.cores);
  };
  for (const auto& [host, m] : machines_) {
    if (m.returning || m.draining) continue;
    add_cores(m.flavor, 1);
    if (const auto q = queues.find(m.flavor); q != queues.end()) q->second.cores -= from_amount(m.lasting);
  }
  for (const auto& [name, b] : open_bookings_) add_cores(b.kind.flavor, b.count);

  std::map<Kind, std::uint32_t> wanted;
  for (const Workload::Demand& d : load_->demands) {
    // What ends on the machines that there are makes room for the tasks that can wait for it.
    const auto mine = [&](const std::string& flavor) {
      return !d.keep_off.contains(flavor) && planner::fits_flavor(d.spec, catalog_->at(flavor));
    };
    double cores = 0;
    double ahead = 0;
    for (const auto& [flavor, q] : queues) {
      if (!mine(flavor)) continue;
      cores += q.cores;
      ahead += q.work;
    }
    double per_task = 0;
    for (auto& [flavor, q] : queues) {
      if (!mine(flavor) || cores <= 0) continue;
      const double takes = from_amount(planner::in_cores(d.spec.needs, catalog_->at(flavor)));
      if (d.spec.shape == Shape::daemon) {
        q.cores = std::max(0.0, q.cores - d.tasks * takes * q.cores / cores);
        continue;
      }
      const double work = takes * to_seconds(d.estimate) * q.cores / cores;
      per_task += work;
      q.work += d.tasks * work;
    }
    std::uint32_t in_time = 0;
    if (d.spec.shape == Shape::sweep && per_task > 0) {
      const double wait = to_seconds(std::min(d.spare, kMostWait)) * kOrdinaryWait;
      in_time = static_cast<std::uint32_t>(
          std::clamp((cores * wait - ahead) / per_task, 0.0, static_cast<double>(d.tasks)));
    }
    in_time = std::max(in_time, d.soon);
    std::uint32_t left = d.tasks;
    const auto fill = [&](Bin& bin) {
      if (left == 0 || !d.spec.allows(bin.kind.flavor, bin.kind.site, bin.kind.standby) ||
          d.keep_off.contains(bin.kind.flavor) || !reaches(d, bin.kind)) {
        return;
      }
      const std::uint32_t n = planner::count_fitting(d.spec.needs, bin.room, left);
      bin.room -= d.spec.needs * n;
      left -= n;
    };
    for (Bin& bin : bins) fill(bin);
    if (left > 0 && !may_rent(d)) continue;
    const std::uint32_t unserved = left;
    while (left > 0) {
      const Kind* best = nullptr;
      Kind kind;
      double best_cost = std::numeric_limits<double>::infinity();
      std::uint32_t best_per = 0;
      Kind best_kind;
      for (const auto& [name, f] : *catalog_) {
        const std::uint32_t per = planner::count_fitting(d.spec.needs, f.room, left);
        if (per == 0 || d.keep_off.contains(name)) continue;
        const double run = to_seconds(d.estimate);
        const double hold = to_seconds(f.boot) + d.spec.image_gb / f.pull_gb_per_s + run;
        for (const std::string& site : f.sites) {
          for (const bool standby : {true, false}) {
            kind = {name, site, standby};
            if (!d.spec.allows(name, site, standby) || !reaches(d, kind)) continue;
            if (refused(kind)) continue;
            if (!standby && now < ordinary_not_before_) continue;
            if (!standby && d.spec.standby && left <= in_time) continue;
            const double cost = (standby ? f.low_price : f.rate) * hold / per;
            if (cost < best_cost) {
              best_cost = cost;
              best_kind = kind;
              best_per = per;
              best = &best_kind;
            }
          }
        }
      }
      if (best == nullptr) break;
      ++wanted[*best];
      add_cores(best->flavor, 1);
      bins.push_back({*best, catalog_->at(best->flavor).room});
      bins.back().room -= d.spec.needs * best_per;
      left -= std::min(left, best_per);
    }
    if (left < unserved) rented_for(d);
  }
  for (const auto& [kind, n] : wanted) book(kind, n);
}

}  // namespace wrenusher::provisioner
