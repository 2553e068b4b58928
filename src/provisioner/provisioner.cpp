#include "wrenusher/provisioner/provisioner.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "wrenusher/log/log.hpp"
#include "wrenusher/placement/placement.hpp"

namespace wrenusher::provisioner {

namespace {

/// Between two rentals for a layout that the last ones did not serve.
constexpr Micros kMinUnhelpfulTime = from_seconds(60);
constexpr Micros kMaxUnhelpfulTime = from_seconds(600);
constexpr Micros kTick = from_millis(500);
constexpr Micros kTimeout = from_seconds(5);
constexpr Micros kListInterval = from_seconds(4);
constexpr Micros kCatalogInterval = from_seconds(30);
constexpr Micros kCatalogRecordInterval = from_seconds(3);
constexpr Micros kRefusedPause = from_seconds(8);
constexpr std::uint32_t kMaxPerBooking = 50;
constexpr std::size_t kMaxPerReturn = 100;
constexpr int kBookingTries = 8;
/// So many failed calls in a row are an outage.
constexpr int kFailuresBeforePause = 3;
/// A machine that is returned costs at least this much time, so it is kept for it.
constexpr Micros kMinimumCharge = from_seconds(60);
/// A worker waits this long for an answer, and this long before it asks the next node.
constexpr Micros kWorkerPatience = from_seconds(4);
constexpr Micros kWorkerRetry = from_seconds(1);
/// No ordinary machine is rented for what is predicted to start within this part of the time that it may
/// wait.
constexpr double kOrdinaryWait = 0.4;
constexpr Micros kMaxWait = from_seconds(90);
/// So many machines of a zone silent within this time, and none heard, make it a zone cut off; it is tried
/// again after a while, since nothing may be left there to be heard.
constexpr std::size_t kMinSilentForZoneLoss = 6;
constexpr Micros kSilenceMemory = from_seconds(20);
constexpr Micros kZoneLossPause = from_seconds(40);

/// With so few of the last leader's machines not heard yet, what is short can be told.
constexpr double kInheritedShareForZoneLoss = 0.1;

bool no_capacity(const CallResult& result) {
  return result.answered && result.response.status == 503 &&
         result.response.body.find("no capacity") != std::string::npos;
}

}  // namespace

Provisioner::Provisioner(Runtime& runtime, const Settings& settings, KvClient& store)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      rate_limiter_(settings.cloud_rps * 0.9, runtime.now()) {}

void Provisioner::start() {
  tick();
}

void Provisioner::on_term(const TermChanged& term) {
  const bool begins = term.leading && !(term_.leading && term_.fencing_token == term.fencing_token);
  term_ = term;
  // What waits for its turn at the cloud was decided by a leader.
  if (!term.leading) calls_.clear();
  if (!begins) return;
  calls_.clear();
  open_requests_.clear();
  refused_until_.clear();
  machines_.clear();
  silent_by_zone_.clear();
  zone_lost_until_.clear();
  to_return_.clear();
  returned_.clear();
  inherited_.clear();
  inherited_total_ = 0;
  workload_.reset();
  term_began_ = runtime_.now();
  costs_.begin(runtime_.now());
  listing_ = returning_ = false;
  requests_made_ = 0;
  catalog_written_.clear();  // another leader may have written one since
  next_list_ = next_catalog_ = runtime_.now();
  // Machines that run report first. What an earlier leader rented shows only after the list's lag; before
  // that it would be rented twice, which is cheap with spot machines alone.
  rent_not_before_ = runtime_.now() +
                     (term.fencing_token > 1 ? settings_.report_interval * 5 / 4 + kWorkerRetry : Micros{0});
  ordinary_not_before_ = runtime_.now() + (term.fencing_token > 1 ? settings_.list_lag : Micros{0});
}

void Provisioner::tick() {
  const Instant now = runtime_.now();
  if (term_.leading) {
    if (now >= next_list_ && !listing_) request_list({});
    if (now >= next_catalog_) request_catalog();
    if (!catalog_) read_catalog_record();
    if (lease_valid()) review_machines();
    publish_hints();
  } else if (now >= next_catalog_) {
    read_catalog_record();
  }
  runtime_.after(kTick, [this] { tick(); });
}

// ---------------------------------------------------------------- calls to the cloud

void Provisioner::call_cloud(Request request, bool first, std::function<void(const CallResult&)> done) {
  const bool acts = request.method == "POST";
  auto send = [this, request = std::move(request), done = std::move(done)]() mutable {
    runtime_.call(settings_.cloud, std::move(request), kTimeout,
                  [this, done = std::move(done)](const CallResult& result) {
                    if (!result.answered || result.response.status == 429 ||
                        (result.response.status == 503 && !no_capacity(result))) {
                      consecutive_failures_ = std::min(consecutive_failures_ + 1, 5);
                      if (consecutive_failures_ == kFailuresBeforePause)
                        log::warn("cloud_silent", "the cloud gives no answers");
                      cloud_not_before_ = runtime_.now() + from_millis(300) * consecutive_failures_ +
                                          runtime_.jitter(from_millis(300) * consecutive_failures_);
                    } else {
                      if (consecutive_failures_ >= kFailuresBeforePause)
                        log::info("cloud_answers", "the cloud answers again");
                      consecutive_failures_ = 0;
                    }
                    done(result);
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
    const Instant now = runtime_.now();
    // What was decided while this node was certain to lead is not done once it is not: it may have stood
    // still in between.
    const auto next = std::find_if(calls_.begin(), calls_.end(), [&](const CloudCall& call) {
      return !call.needs_leadership || lease_valid();
    });
    if (next == calls_.end() || now < cloud_not_before_ || !rate_limiter_.try_acquire(1, now)) {
      pumping_ = true;
      runtime_.after(from_millis(50), [this] {
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

void Provisioner::request_catalog() {
  next_catalog_ = runtime_.now() + kCatalogInterval;
  call_cloud({"GET", "/catalog", {}}, false, [this](const CallResult& result) {
    if (!result.answered || result.response.status != 200) {
      next_catalog_ = std::min(next_catalog_, runtime_.now() + from_seconds(2));
      return;
    }
    if (const auto value = decode(result.response.body)) {
      set_catalog(*value);
      if (term_.leading) write_catalog(*value);
    }
  });
}

void Provisioner::set_catalog(const Value& value) {
  auto catalog = read_catalog(value);
  if (!catalog || catalog->empty()) return;
  if (!catalog_)
    log::info("types_known", "{types} machine types are known", log::with("types", catalog->size()));
  catalog_ = std::make_shared<const Catalog>(std::move(*catalog));
  catalog_updated(CatalogUpdated{catalog_});
}

/// Kept so that a node that starts while the cloud is down can still tell what can never run.
void Provisioner::write_catalog(const Value& value) {
  std::string types;
  for (const auto& [name, f] : *catalog_) {
    types += name + ' ' + std::to_string(f.capacity.cores) + ' ' + std::to_string(f.capacity.gpus) + ' ' +
             std::to_string(f.capacity.memory) + ' ' + std::to_string(f.zones.size()) + ';';
  }
  if (types == catalog_written_) return;
  store_.commit({{"leader", term_.mod_revision}}, {{"catalog", value, 0}}, KvClient::RequestClass::scheduling,
                [this, types](const CommitReply& reply) {
                  if (reply.result == CommitReply::Result::committed) catalog_written_ = types;
                });
}

void Provisioner::read_catalog_record() {
  next_catalog_ =
      std::max(next_catalog_, runtime_.now() + (catalog_ ? kCatalogInterval : kCatalogRecordInterval));
  store_.get("catalog", KvClient::RequestClass::scheduling, [this](const ReadReply& reply) {
    if (reply.result != ReadReply::Result::ok) return;
    if (!reply.rows.empty()) {
      if (!catalog_ || !term_.leading) set_catalog(reply.rows[0].value);
    } else if (!catalog_ && !term_.leading) {
      request_catalog();
    }
  });
}

// ---------------------------------------------------------------- the list of machines

Micros Provisioner::boot_timeout(const std::string& machine_type) const {
  Micros boot = from_seconds(60);
  if (catalog_) {
    if (const auto it = catalog_->find(machine_type); it != catalog_->end()) boot = it->second.boot_time;
  }
  return std::max(settings_.worker_lease,
                  from_seconds(to_seconds(boot) * settings_.tunables.slow_boot_factor));
}

Provisioner::Machine& Provisioner::add_machine(const std::string& host) {
  const auto [it, added] = machines_.try_emplace(host);
  if (added) {
    it->second.rented_at = runtime_.now();
    it->second.idle_since = runtime_.now();
    it->second.report_due = runtime_.now() + std::max(settings_.worker_lease, settings_.list_lag * 2);
  }
  return it->second;
}

void Provisioner::request_list(const std::string& from) {
  listing_ = true;
  next_list_ = runtime_.now() + kListInterval;
  std::string target = "/rentals?limit=500";
  if (!from.empty()) target += "&from=" + from;
  call_cloud({"GET", target, {}}, false, [this, term = term_.fencing_token](const CallResult& result) {
    if (!term_.leading || term_.fencing_token != term) return;
    listing_ = false;
    const auto value =
        result.answered && result.response.status == 200 ? decode(result.response.body) : std::nullopt;
    const Value::List* list = value ? (*value)["hosts"].list() : nullptr;
    if (list == nullptr) return;
    std::string last;
    for (const Value& item : *list) {
      if (const auto r = read_rental(item)) {
        apply_listed_machine(*r);
        last = r->host;
      }
    }
    if ((*value)["truncated"].boolean().value_or(false) && !last.empty()) request_list(last);
  });
}

void Provisioner::apply_listed_machine(const Rental& rental) {
  // The list lags: what was given back may still be in it.
  if (to_return_.contains(rental.host) || returned_.contains(rental.host)) return;
  const bool added = !machines_.contains(rental.host);
  Machine& machine = add_machine(rental.host);
  machine.machine_type = rental.machine_type;
  machine.zone = rental.zone;
  machine.spot = rental.spot;
  // What runs is called over, where nobody left word of it: its worker may stay with a former leader that is
  // cut off with it.
  if (rental.status == "running" && !std::exchange(machine.listed, true) && !machine.up)
    machine_listed(MachineListed{rental.host, rental.address});
  if (added) {
    machine.rented_at = runtime_.now() - rental.age;
    machine.report_due = std::max(machine.report_due, machine.rented_at + boot_timeout(rental.machine_type));
    log::debug("machine_listed", "machine {machine} ({type}) is in the list",
               log::with("machine", rental.host), log::with("type", rental.machine_type));
  }
  if (rental.status == "running" && !machine.running) {
    machine.running = true;
    if (!machine.up)
      machine.report_due =
          std::min(machine.report_due,
                   runtime_.now() + std::max(settings_.worker_lease, settings_.report_interval * 4));
  }
  if (rental.status == "failed") return_machine(rental.host, "it has failed");
}

// ---------------------------------------------------------------- rent and return

void Provisioner::request_rental(const MachineClass& kind, std::uint32_t count) {
  RentalRequest request;
  // Never used twice: an epoch has one leader, and a leader counts.
  request.name = "r-" + std::to_string(term_.fencing_token) + "-" + std::to_string(++requests_made_);
  request.machine_class = kind;
  request.count = std::min(count, kMaxPerBooking);
  if (const auto zone = zone_lost_until_.find(kind.zone); zone != zone_lost_until_.end()) {
    // One machine finds out whether the zone can be heard again.
    request.count = 1;
    zone->second = runtime_.now() + kZoneLossPause;
  }
  open_requests_[request.name] = request;
  send_rental_request(request);
}

void Provisioner::send_rental_request(const RentalRequest& request) {
  const std::string body = encode(Value::Map{{"booking", request.name},
                                             {"flavor", request.machine_class.machine_type},
                                             {"site", request.machine_class.zone},
                                             {"standby", request.machine_class.spot},
                                             {"count", std::uint64_t{request.count}}});
  call_cloud({"POST", "/rentals", body}, false,
             [this, name = request.name, term = term_.fencing_token](const CallResult& result) {
               if (!term_.leading || term_.fencing_token != term) return;
               const auto it = open_requests_.find(name);
               if (it == open_requests_.end()) return;
               RentalRequest& booking = it->second;
               const MachineClass kind = booking.machine_class;
               if (result.answered && result.response.status == 200) {
                 const auto value = decode(result.response.body);
                 std::uint32_t got = 0;
                 if (value && (*value)["hosts"].list() != nullptr) {
                   for (const Value& h : *(*value)["hosts"].list()) {
                     if (h.text() == nullptr) continue;
                     ++got;
                     Machine& machine = add_machine(*h.text());
                     machine.machine_type = kind.machine_type;
                     machine.zone = kind.zone;
                     machine.spot = kind.spot;
                     if (!machine.up) machine.report_due = runtime_.now() + boot_timeout(kind.machine_type);
                   }
                 }
                 log::info("rented", "rented {machines} of {asked} {kind} {type} in {zone}",
                           log::with("machines", got), log::with("asked", booking.count),
                           log::with("kind", kind.spot ? "spot" : "ordinary"),
                           log::with("type", kind.machine_type), log::with("zone", kind.zone));
                 if (got < booking.count) refused_until_[kind] = runtime_.now() + kRefusedPause;
                 open_requests_.erase(it);
                 return;
               }
               if (no_capacity(result)) {
                 log::info("no_capacity", "no capacity for {kind} {type} in {zone}",
                           log::with("kind", kind.spot ? "spot" : "ordinary"),
                           log::with("type", kind.machine_type), log::with("zone", kind.zone));
                 refused_until_[kind] = runtime_.now() + kRefusedPause;
                 open_requests_.erase(it);
                 return;
               }
               if ((result.answered && result.response.status == 400) || ++booking.tries >= kBookingTries) {
                 log::warn("booking_given_up", "booking {booking} of {type} given up",
                           log::with("booking", name), log::with("type", kind.machine_type));
                 open_requests_.erase(it);
                 return;
               }
               // Without an answer it may have been executed: the same name again gets the same machines.
               send_rental_request(booking);
             });
}

void Provisioner::return_machine(const std::string& host, const char* why) {
  Machine& machine = add_machine(host);
  if (machine.returning) return;
  machine.returning = true;
  log::info("returning", "returning {machine} ({type}): {reason}", log::with("machine", host),
            log::with("type", machine.machine_type), log::with("reason", why));
  machine_cordoned(MachineCordoned{host, why});
  to_return_.insert(host);
}

void Provisioner::send_return() {
  if (returning_ || to_return_.empty()) return;
  returning_ = true;
  Value::List hosts;
  std::vector<std::string> names;
  for (const std::string& h : to_return_) {
    if (names.size() == kMaxPerReturn) break;
    names.push_back(h);
    hosts.emplace_back(h);
  }
  call_cloud({"POST", "/rentals/return", encode(Value::Map{{"hosts", std::move(hosts)}})}, true,
             [this, names, term = term_.fencing_token](const CallResult& result) {
               if (!term_.leading || term_.fencing_token != term) return;
               returning_ = false;
               if (!result.answered || result.response.status != 200)
                 return;  // asked again by the next review
               for (const std::string& h : names) {
                 inherited_.erase(h);
                 to_return_.erase(h);
                 machines_.erase(h);
                 returned_.insert(h);
                 machine_departed(MachineDeparted{h});
               }
             });
}

/// What the last leader had rented and asked for. The list of machines would tell of it only after its lag,
/// and until then it would be rented twice.
void Provisioner::on_hints_inherited(const std::shared_ptr<const InheritedHints>& all) {
  if (!term_.leading || term_.fencing_token != all->term) return;
  for (const RentalHint& hint : all->rentals.rentals) {
    if (hint.report_due.count() < 0)
      continue;  // it should have come long ago: the list tells what became of it
    Machine& machine = add_machine(hint.host);
    machine.machine_type = hint.machine_type;
    machine.zone = hint.zone;
    machine.spot = hint.spot;
    machine.rented_at = runtime_.now() - hint.age;
    machine.report_due = runtime_.now() + hint.report_due;
  }
  for (const RentalRequestHint& hint : all->rentals.requests) {
    // The same name again rents nothing more, and says which machines came of it.
    RentalRequest mine{
        hint.name, {hint.machine_type, hint.zone, hint.spot}, std::min(hint.count, kMaxPerBooking), 0};
    if (open_requests_.emplace(hint.name, mine).second) send_rental_request(mine);
  }
  if (!all->complete) return;
  for (const auto& [host, m] : all->machines) {
    if (!m.silent) inherited_.insert(host);
  }
  inherited_total_ = inherited_.size();
}

/// Once those that run have nearly all reported there is no more to wait for before renting: what was on its
/// way is known.
void Provisioner::review_inherited() {
  if (inherited_total_ == 0) return;
  if (static_cast<double>(inherited_.size()) >
      kInheritedShareForZoneLoss * static_cast<double>(inherited_total_))
    return;
  inherited_total_ = 0;
  inherited_.clear();
  rent_not_before_ = std::min(rent_not_before_, runtime_.now());
  ordinary_not_before_ = std::min(ordinary_not_before_, runtime_.now());
}

void Provisioner::publish_hints() {
  if (!settings_.has_standby()) return;
  auto out = std::make_shared<RentalHints>();
  const Instant now = runtime_.now();
  for (const auto& [host, m] : machines_) {
    if (!m.up && !m.returning && !m.running)
      out->rentals.push_back({host, m.machine_type, m.zone, m.spot, now - m.rented_at, m.report_due - now});
  }
  for (const auto& [name, b] : open_requests_)
    out->requests.push_back(
        {name, b.machine_class.machine_type, b.machine_class.zone, b.machine_class.spot, b.count});
  rental_hints(std::shared_ptr<const RentalHints>(std::move(out)));
}

void Provisioner::on_worker_silent(const WorkerSilent& event) {
  if (term_.leading) return_silent(event.host, "it is silent");
}

void Provisioner::on_machine_suspect(const MachineCordoned& event) {
  if (term_.leading) return_machine(event.host, event.reason.c_str());
}

void Provisioner::on_workload(const std::shared_ptr<const Workload>& workload) {
  if (!term_.leading) return;
  workload_ = workload;
  record_costs();
  const Instant now = runtime_.now();
  for (const Workload::MachineLoad& load : workload->machines) {
    if (to_return_.contains(load.host)) continue;
    Machine& machine = add_machine(load.host);
    if (!load.machine_type.empty()) {
      machine.machine_type = load.machine_type;
      machine.zone = load.zone;
      machine.spot = load.spot;
    }
    if (load.assignments > 0 || (load.usable && !machine.up))
      machine.idle_since = now;  // booting is not idling
    if (load.usable) machine.up = true;
    if (load.usable) inherited_.erase(load.host);
    // It was up under an earlier leader, and a worker that still is finds this one within a report and a lost
    // answer.
    if (!machine.up && load.assignments > 0 && now - term_began_ > adoption_window())
      return_silent(load.host, "it is not heard in this term");
    machine.reserved = load.reserved;
    machine.working = load.running;
    machine.service_load = load.service_load;
    machine.has_named_device = load.has_named_device;
    if (machine.draining && load.assignments == 0) return_machine(load.host, "it is idle");
  }
  detect_zone_loss(*workload);
  review_inherited();
  if (lease_valid()) plan_rentals();
}

void Provisioner::return_silent(const std::string& host, const char* why) {
  if (add_machine(host).returning) return;
  silent_by_zone_[add_machine(host).zone].push_back(runtime_.now());
  return_machine(host, why);
}

/// Zones that several machines of late fell silent in and none is heard of: cut off. What is rented in there
/// would be paid and not be heard until the cut ends. Its silent machines go back all the same: nothing else
/// proves their tasks gone, which cancelled jobs need in time.
void Provisioner::detect_zone_loss(const Workload& workload) {
  const Instant now = runtime_.now();
  std::set<std::string> heard;
  for (const Workload::MachineLoad& load : workload.machines) {
    if (load.usable) heard.insert(load.zone);
  }
  for (auto& [site, times] : silent_by_zone_) {
    while (!times.empty() && now - times.front() > kSilenceMemory) times.pop_front();
    const bool known = zone_lost_until_.contains(site);
    if (heard.contains(site)) {
      if (known) log::info("zone_heard", "zone {zone} is heard again", log::with("zone", site));
      zone_lost_until_.erase(site);
    } else if (times.size() >= kMinSilentForZoneLoss && !site.empty()) {
      if (!known)
        log::warn("zone_cut", "zone {zone} is cut off: nothing is rented there", log::with("zone", site));
      zone_lost_until_[site] = now + kZoneLossPause;
    }
  }
}

Micros Provisioner::adoption_window() const {
  return settings_.report_interval * 5 / 4 + kWorkerPatience + kWorkerRetry * 2;
}

/// How long a machine may idle: an ordinary one for as much money as a spot one, which is used before it.
Micros Provisioner::idle_return(const Machine& machine) const {
  const Micros spot = settings_.tunables.idle_return;
  const auto it = catalog_ ? catalog_->find(machine.machine_type) : Catalog::const_iterator{};
  if (machine.spot || !catalog_ || it == catalog_->end() || it->second.price <= it->second.spot_price)
    return spot;
  return from_seconds(to_seconds(spot) * it->second.spot_price / it->second.price);
}

/// Keeps the books: operators see where the money goes.
void Provisioner::record_costs() {
  const double hours = costs_.elapse(runtime_.now());
  if (!catalog_) return;
  for (const auto& [host, m] : machines_) {
    if (const auto machine_type = catalog_->find(m.machine_type); machine_type != catalog_->end())
      costs_.spend(hours, machine_type->second, m.spot, {m.up, m.reserved, m.working});
  }
  costs_.log_if_due(runtime_.now());
}

void Provisioner::review_machines() {
  const Instant now = runtime_.now();
  for (auto& [host, m] : machines_) {
    if (m.returning) continue;
    if (!m.up) {
      if (now > m.report_due) return_machine(host, "it does not come up");
    } else if (!m.draining && !m.has_named_device && now - m.rented_at > kMinimumCharge &&
               now - m.idle_since > idle_return(m)) {
      // First the ledger puts nothing on it any more; it goes back when the ledger shows it empty.
      m.draining = true;
      machine_cordoned(MachineCordoned{host, "idle"});
    }
  }
  send_return();
}

bool Provisioner::is_refused(const MachineClass& kind) const {
  if (const auto zone = zone_lost_until_.find(kind.zone);
      zone != zone_lost_until_.end() && runtime_.now() < zone->second)
    return true;
  const auto it = refused_until_.find(kind);
  return it != refused_until_.end() && runtime_.now() < it->second;
}

void Provisioner::publish_capacity() {
  CapacityChanged seen;
  for (const auto& [name, f] : *catalog_) {
    const bool some = std::any_of(f.zones.begin(), f.zones.end(), [&, type = name](const std::string& zone) {
      return !is_refused({type, zone, true}) || !is_refused({type, zone, false});
    });
    // While the cloud gives no answers nothing can be had from it either.
    if (!some || consecutive_failures_ >= kFailuresBeforePause) seen.exhausted.insert(name);
  }
  for (const auto& [host, m] : machines_) {
    if (!m.up && !m.returning) ++seen.starting[m.machine_type];
  }
  for (const auto& [name, b] : open_requests_) seen.starting[b.machine_class.machine_type] += b.count;
  capacity_changed(seen);
}

/// A machine of this kind could serve the demand's layout, as far as can be told.
bool Provisioner::is_eligible(const Workload::Demand& demand, const MachineClass& kind) {
  return !demand.eligible_placements || demand.eligible_placements->contains({kind.machine_type, kind.zone});
}

/// Where a layout is short, the machines that come may turn out to stand in the wrong domain. What was rented
/// for it gets the time to come and be used before more is rented.
bool Provisioner::may_rent(const Workload::Demand& demand) const {
  const auto it = layout_attempts_.find(demand.spec.job_id);
  return it == layout_attempts_.end() || runtime_.now() >= it->second.not_before;
}

void Provisioner::record_layout_rental(const Workload::Demand& demand) {
  if (!demand.eligible_placements) return;
  LayoutAttempt& attempt = layout_attempts_[demand.spec.job_id];
  // As short as before: what came was of no use, and goes to other work. Less and less often, then.
  const bool useless = attempt.tasks > 0 && demand.tasks >= attempt.tasks;
  attempt.pause = useless ? std::clamp(attempt.pause * 2, kMinUnhelpfulTime, kMaxUnhelpfulTime) : Micros{0};
  attempt.tasks = demand.tasks;
  Micros boot{0};
  for (const auto& [name, f] : *catalog_) boot = std::max(boot, boot_timeout(name));
  attempt.not_before = runtime_.now() + boot + attempt.pause;
  std::erase_if(layout_attempts_,
                [&](const auto& l) { return runtime_.now() - l.second.not_before > kMaxUnhelpfulTime; });
}

void Provisioner::plan_rentals() {
  const Instant now = runtime_.now();
  if (catalog_) publish_capacity();
  if (!catalog_ || now < rent_not_before_) return;
  struct Bin {
    MachineClass machine_class;
    Resources free;
  };
  std::vector<Bin> bins;
  const auto add_bins = [&](const MachineClass& kind, std::uint32_t n) {
    if (const auto machine_type = catalog_->find(kind.machine_type); machine_type != catalog_->end()) {
      for (std::uint32_t i = 0; i < n; ++i) bins.push_back({kind, machine_type->second.capacity});
    }
  };
  for (const auto& [host, m] : machines_) {
    if (!m.up && !m.returning) add_bins({m.machine_type, m.zone, m.spot}, 1);
  }
  for (const auto& [name, b] : open_requests_) add_bins(b.machine_class, b.count);

  // Cores of each type, here or coming, less what services keep, and the work that already waits for them, in
  // core seconds.
  struct Queue {
    double cores = 0;
    double work = 0;
  };
  std::map<std::string, Queue> queues;
  const auto add_cores = [&](const std::string& machine_type, std::uint32_t n) {
    if (const auto entry = catalog_->find(machine_type); entry != catalog_->end())
      queues[machine_type].cores += n * from_amount(entry->second.capacity.cores);
  };
  for (const auto& [host, m] : machines_) {
    if (m.returning || m.draining) continue;
    add_cores(m.machine_type, 1);
    if (const auto q = queues.find(m.machine_type); q != queues.end())
      q->second.cores -= from_amount(m.service_load);
  }
  for (const auto& [name, b] : open_requests_) add_cores(b.machine_class.machine_type, b.count);

  std::map<MachineClass, std::uint32_t> wanted;
  for (const Workload::Demand& demand : workload_->demands) {
    // What ends on the machines that there are makes room for the tasks that can wait for it.
    const auto mine = [&](const std::string& machine_type) {
      return !demand.excluded_types.contains(machine_type) &&
             placement::fits_machine_type(demand.spec, catalog_->at(machine_type));
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
      const double takes =
          from_amount(placement::core_equivalents(demand.spec.resources, catalog_->at(flavor)));
      if (demand.spec.type == JobType::service) {
        q.cores = std::max(0.0, q.cores - demand.tasks * takes * q.cores / cores);
        continue;
      }
      const double work = takes * to_seconds(demand.estimate) * q.cores / cores;
      per_task += work;
      q.work += demand.tasks * work;
    }
    std::uint32_t in_time = 0;
    if (demand.spec.type == JobType::array && per_task > 0) {
      const double wait = to_seconds(std::min(demand.slack, kMaxWait)) * kOrdinaryWait;
      in_time = static_cast<std::uint32_t>(
          std::clamp((cores * wait - ahead) / per_task, 0.0, static_cast<double>(demand.tasks)));
    }
    in_time = std::max(in_time, demand.expected_soon);
    std::uint32_t left = demand.tasks;
    const auto fill = [&](Bin& bin) {
      if (left == 0 ||
          !demand.spec.allows(bin.machine_class.machine_type, bin.machine_class.zone,
                              bin.machine_class.spot) ||
          demand.excluded_types.contains(bin.machine_class.machine_type) ||
          !is_eligible(demand, bin.machine_class)) {
        return;
      }
      const std::uint32_t n = placement::count_fitting(demand.spec.resources, bin.free, left);
      bin.free -= demand.spec.resources * n;
      left -= n;
    };
    for (Bin& bin : bins) fill(bin);
    if (left > 0 && !may_rent(demand)) continue;
    const std::uint32_t unserved = left;
    while (left > 0) {
      const MachineClass* best = nullptr;
      MachineClass kind;
      double best_cost = std::numeric_limits<double>::infinity();
      std::uint32_t best_per = 0;
      MachineClass best_kind;
      for (const auto& [name, f] : *catalog_) {
        const std::uint32_t per = placement::count_fitting(demand.spec.resources, f.capacity, left);
        if (per == 0 || demand.excluded_types.contains(name)) continue;
        const double run = to_seconds(demand.estimate);
        const double hold = to_seconds(f.boot_time) + demand.spec.image_gb / f.fetch_gb_per_s + run;
        for (const std::string& zone : f.zones) {
          for (const bool spot : {true, false}) {
            kind = {name, zone, spot};
            if (!demand.spec.allows(name, zone, spot) || !is_eligible(demand, kind)) continue;
            if (is_refused(kind)) continue;
            if (!spot && now < ordinary_not_before_) continue;
            if (!spot && demand.spec.spot_allowed && left <= in_time) continue;
            const double cost = (spot ? f.spot_price : f.price) * hold / per;
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
      add_cores(best->machine_type, 1);
      bins.push_back({*best, catalog_->at(best->machine_type).capacity});
      bins.back().free -= demand.spec.resources * best_per;
      left -= std::min(left, best_per);
    }
    if (left < unserved) record_layout_rental(demand);
  }
  for (const auto& [kind, n] : wanted) request_rental(kind, n);
}

}  // namespace wrenusher::provisioner
