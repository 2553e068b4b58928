#include "wrenusher/provisioner/provisioner.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "wrenusher/log/log.hpp"
#include "wrenusher/provisioner/rental_planner.hpp"

namespace wrenusher::provisioner {

using events::Workload;
using protocol::MachineType;
using time::from_seconds;
using time::Instant;
using time::Micros;
using time::to_seconds;

namespace {

constexpr Micros kTickInterval = time::from_millis(500);
/// Boot time assumed for a machine type that is not in the catalog.
constexpr Micros kDefaultBootTime = from_seconds(60);
/// The cloud charges for at least this time, so a machine is not returned for idleness earlier.
constexpr Micros kMinChargedTime = from_seconds(60);
/// Time that a worker waits for a reply to its heartbeat.
constexpr Micros kWorkerReplyTimeout = from_seconds(4);
/// Time that a worker waits before it sends its heartbeat to the next node.
constexpr Micros kWorkerRetryInterval = from_seconds(1);

}  // namespace

Provisioner::Provisioner(runtime::Runtime& runtime, const settings::Settings& settings,
                         kv_client::KvClient& kv_client)
    : runtime_(runtime),
      settings_(settings),
      term_(runtime),
      cloud_(runtime, settings, term_),
      catalog_source_({runtime, kv_client, cloud_, term_},
                      [this](const CatalogSource::CatalogPtr& catalog) { catalog_updated({catalog}); }),
      rental_list_(runtime, cloud_, term_, [this](const protocol::Rental& rental) { on_listed(rental); }),
      rental_requests_(runtime, cloud_, term_,
                       [this](const MachineClass& machine_class, const std::vector<std::string>& hosts) {
                         on_rented(machine_class, hosts);
                       }),
      machine_returns_(cloud_, term_, [this](const std::string& host) { on_returned(host); }),
      machines_(runtime, settings) {}

void Provisioner::start() {
  tick();
}

void Provisioner::on_term(const events::TermChanged& term) {
  const bool begins = term_.update(term);
  // Queued calls belong to an earlier term, or to a time when this node still led.
  if (begins || !term.leading) cloud_.drop_queued_calls();
  if (begins) begin_term();
}

void Provisioner::begin_term() {
  rental_requests_.begin_term();
  machine_returns_.begin_term();
  machines_.clear();
  zone_loss_.clear();
  inherited_.clear();
  catalog_source_.begin_term();
  rental_list_.begin_term();
  const Instant now = runtime_.now();
  term_start_ = now;
  costs_.begin(now);
  // Running machines need time to report to this leader before a shortage is certain. Machines rented by an
  // earlier leader appear in the cloud's list only after its lag. Until then they would be rented twice,
  // which is cheap only for spot machines.
  const bool first_term = term_.fencing_token() <= 1;
  rent_not_before_ =
      now + (first_term ? Micros{0} : settings_.report_interval * 5 / 4 + kWorkerRetryInterval);
  on_demand_not_before_ = now + (first_term ? Micros{0} : settings_.list_lag);
}

void Provisioner::tick() {
  if (term_.leading()) rental_list_.tick();
  catalog_source_.tick();
  if (term_.lease_valid()) review_machines();
  if (term_.leading()) publish_hints();
  runtime_.after(kTickInterval, [this] { tick(); });
}

// ---------------------------------------------------------------- rented and returned machines

void Provisioner::on_listed(const protocol::Rental& rental) {
  // The list lags, so it may still contain returned machines.
  if (machine_returns_.is_pending(rental.host) || machine_returns_.is_returned(rental.host)) return;
  const bool added = !machines_.contains(rental.host);
  const bool running = rental.status == "running";
  RentedMachine& machine = machines_.add(rental.host);
  machine.machine_class = {rental.machine_type, rental.zone, rental.spot};
  // The worker may be in a network partition with a former leader and still report to it. Publishing the
  // machine lets other components call the worker.
  if (running && !std::exchange(machine.published, true) && !machine.up)
    machine_listed(events::MachineListed{rental.host, rental.address});
  if (added) {
    machine.rented_at = runtime_.now() - rental.age;
    machine.report_due = std::max(machine.report_due, machine.rented_at + boot_timeout(rental.machine_type));
    log::debug("machine_listed", "machine {machine} ({type}) appeared in the cloud's list",
               log::with("machine", rental.host), log::with("type", rental.machine_type));
  }
  if (running && !std::exchange(machine.running, true) && !machine.up) {
    const Micros report_timeout = std::max(settings_.worker_lease, settings_.report_interval * 4);
    machine.report_due = std::min(machine.report_due, runtime_.now() + report_timeout);
  }
  if (rental.status == "failed") return_machine(rental.host, "the cloud reports it as failed");
}

void Provisioner::on_rented(const MachineClass& machine_class, const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) {
    RentedMachine& machine = machines_.add(host);
    machine.machine_class = machine_class;
    if (!machine.up) machine.report_due = runtime_.now() + boot_timeout(machine_class.machine_type);
  }
}

void Provisioner::on_returned(const std::string& host) {
  inherited_.remove(host);
  machines_.erase(host);
  machine_departed(events::MachineDeparted{host});
}

/// Cordons the machine and returns it with the next batch.
void Provisioner::return_machine(const std::string& host, const std::string& reason) {
  RentedMachine& machine = machines_.add(host);
  if (std::exchange(machine.returning, true)) return;
  log::info("returning_machine", "returning machine {machine} ({type}): {reason}", log::with("machine", host),
            log::with("type", machine.machine_class.machine_type), log::with("reason", reason));
  machine_cordoned(events::MachineCordoned{host, reason});
  machine_returns_.add(host);
}

void Provisioner::return_silent_machine(const std::string& host, const std::string& reason) {
  const RentedMachine& machine = machines_.add(host);
  if (machine.returning) return;
  zone_loss_.record_silent_machine(machine.machine_class.zone, runtime_.now());
  return_machine(host, reason);
}

void Provisioner::on_worker_silent(const events::WorkerSilent& event) {
  if (term_.leading()) return_silent_machine(event.host, "its worker is silent");
}

void Provisioner::on_machine_suspect(const events::MachineCordoned& event) {
  if (term_.leading()) return_machine(event.host, event.reason);
}

// ---------------------------------------------------------------- hints between leaders

void Provisioner::on_hints_inherited(const std::shared_ptr<const events::InheritedHints>& hints) {
  if (!term_.is_current(hints->term)) return;
  for (const events::RentalHint& hint : hints->rentals.rentals) {
    if (hint.report_due.count() < 0) continue;  // overdue: its state is taken from the cloud's list
    RentedMachine& machine = machines_.add(hint.host);
    machine.machine_class = {hint.machine_type, hint.zone, hint.spot};
    machine.rented_at = runtime_.now() - hint.age;
    machine.report_due = runtime_.now() + hint.report_due;
  }
  for (const events::RentalRequestHint& hint : hints->rentals.requests)
    rental_requests_.resume({hint.name, {hint.machine_type, hint.zone, hint.spot}, hint.count});
  if (!hints->complete) return;
  std::set<std::string> reporting_hosts;
  for (const auto& [host, machine] : hints->machines) {
    if (!machine.silent) reporting_hosts.insert(host);
  }
  inherited_.add(std::move(reporting_hosts));
}

void Provisioner::publish_hints() {
  if (!settings_.has_standby()) return;
  auto hints = std::make_shared<events::RentalHints>();
  const Instant now = runtime_.now();
  for (const auto& [host, machine] : machines_.by_host()) {
    if (machine.up || machine.returning || machine.running) continue;
    const MachineClass& rented = machine.machine_class;
    hints->rentals.push_back({host, rented.machine_type, rented.zone, rented.spot, now - machine.rented_at,
                              machine.report_due - now});
  }
  for (const auto& [name, request] : rental_requests_.open()) {
    const MachineClass& requested = request.machine_class;
    hints->requests.push_back({name, requested.machine_type, requested.zone, requested.spot, request.count});
  }
  rental_hints(std::shared_ptr<const events::RentalHints>(std::move(hints)));
}

// ---------------------------------------------------------------- reviews

void Provisioner::on_workload(const std::shared_ptr<const Workload>& workload) {
  if (!term_.leading()) return;
  record_costs();
  for (const Workload::MachineLoad& load : workload->machines) {
    if (!machine_returns_.is_pending(load.host)) update_machine(load);
  }
  zone_loss_.update(*workload, runtime_.now());
  review_inherited();
  if (term_.lease_valid()) plan_rentals(*workload);
}

void Provisioner::update_machine(const Workload::MachineLoad& load) {
  const Instant now = runtime_.now();
  RentedMachine& machine = machines_.add(load.host);
  if (!load.machine_type.empty()) machine.machine_class = {load.machine_type, load.zone, load.spot};
  if (load.assignments > 0 || (load.usable && !machine.up))
    machine.idle_since = now;  // idle time starts at the first report, so boot time does not count
  if (load.usable) {
    machine.up = true;
    inherited_.remove(load.host);
  }
  // Its tasks show that it was up under an earlier leader. A worker that still runs reports to this leader
  // within the adoption window, even if one reply to it is lost.
  if (!machine.up && load.assignments > 0 && now - term_start_ > adoption_window())
    return_silent_machine(load.host, "its worker has not reported in this term");
  machine.reserved = load.reserved;
  machine.working = load.running;
  machine.service_load = load.service_load;
  machine.has_named_device = load.has_named_device;
  if (machine.draining && load.assignments == 0) return_machine(load.host, "it is idle");
}

void Provisioner::review_machines() {
  const Instant now = runtime_.now();
  for (auto& [host, machine] : machines_.by_host()) {
    if (machine.returning) continue;
    if (!machine.up) {
      if (now > machine.report_due) return_machine(host, "it did not boot in time");
    } else if (!machine.draining && !machine.has_named_device && now - machine.rented_at > kMinChargedTime &&
               now - machine.idle_since > max_idle_time(machine.machine_class)) {
      // Cordoned first, so that no new tasks are placed on it. It is returned once the workload shows it
      // without assigned tasks.
      machine.draining = true;
      machine_cordoned(events::MachineCordoned{host, "idle"});
    }
  }
  machine_returns_.send_batch();
}

void Provisioner::review_inherited() {
  if (!inherited_.finish_if_complete()) return;
  rent_not_before_ = std::min(rent_not_before_, runtime_.now());
  on_demand_not_before_ = std::min(on_demand_not_before_, runtime_.now());
}

/// Adds the cost of the machines since the last call to the cost metrics, by their use.
void Provisioner::record_costs() {
  const double hours = costs_.elapse(runtime_.now());
  const auto& catalog = catalog_source_.catalog();
  if (!catalog) return;
  for (const auto& [host, machine] : machines_.by_host()) {
    const auto it = catalog->find(machine.machine_class.machine_type);
    if (it != catalog->end())
      costs_.add_cost(hours, it->second, machine.machine_class.spot,
                      {machine.up, machine.reserved, machine.working});
  }
  costs_.log_if_due(runtime_.now());
}

// ---------------------------------------------------------------- renting

void Provisioner::plan_rentals(const Workload& workload) {
  const auto& catalog = catalog_source_.catalog();
  if (!catalog) return;
  publish_capacity();
  const Instant now = runtime_.now();
  if (now < rent_not_before_) return;
  const RentalPlan plan = provisioner::plan_rentals(
      {*catalog, machines_.by_host(), rental_requests_.open(), workload.demands, now >= on_demand_not_before_,
       [this](const MachineClass& machine_class) { return is_refused(machine_class); },
       [this, now](const Workload::Demand& demand) { return layout_backoff_.may_rent(demand, now); }});
  for (const Workload::Demand* demand : plan.layouts_served)
    layout_backoff_.record_rental(*demand, now, longest_boot_timeout());
  for (const auto& [machine_class, count] : plan.machines) {
    // In a lost zone one machine is enough to check whether the zone is reachable again.
    const bool is_probe = zone_loss_.begin_probe(machine_class.zone, now);
    rental_requests_.request(machine_class, is_probe ? 1 : count);
  }
}

bool Provisioner::is_refused(const MachineClass& machine_class) const {
  return zone_loss_.is_lost(machine_class.zone, runtime_.now()) || rental_requests_.is_refused(machine_class);
}

/// Returns whether all zones refuse machines of the type at present.
bool Provisioner::is_exhausted(const std::string& name, const MachineType& machine_type) const {
  return std::all_of(machine_type.zones.begin(), machine_type.zones.end(), [&](const std::string& zone) {
    return is_refused({name, zone, true}) && is_refused({name, zone, false});
  });
}

void Provisioner::publish_capacity() {
  events::CapacityChanged capacity;
  for (const auto& [name, machine_type] : *catalog_source_.catalog()) {
    // While the cloud is unreachable no machine type is available.
    if (is_exhausted(name, machine_type) || cloud_.unreachable()) capacity.exhausted.insert(name);
  }
  for (const auto& [host, machine] : machines_.by_host()) {
    if (!machine.up && !machine.returning) ++capacity.starting[machine.machine_class.machine_type];
  }
  for (const auto& [name, request] : rental_requests_.open())
    capacity.starting[request.machine_class.machine_type] += request.count;
  capacity_changed(capacity);
}

// ---------------------------------------------------------------- timeouts

/// Returns the time after its rental within which a machine of the type must report.
Micros Provisioner::boot_timeout(const std::string& machine_type) const {
  Micros boot_time = kDefaultBootTime;
  if (const auto& catalog = catalog_source_.catalog()) {
    if (const auto it = catalog->find(machine_type); it != catalog->end()) boot_time = it->second.boot_time;
  }
  return std::max(settings_.worker_lease,
                  from_seconds(to_seconds(boot_time) * settings_.tunables.slow_boot_factor));
}

Micros Provisioner::longest_boot_timeout() const {
  Micros longest{0};
  for (const auto& [name, machine_type] : *catalog_source_.catalog())
    longest = std::max(longest, boot_timeout(name));
  return longest;
}

/// Returns the time after the start of a term within which every running worker reports to the new leader:
/// one report interval with a margin, the timeout of one lost reply, and two retry intervals.
Micros Provisioner::adoption_window() const {
  return settings_.report_interval * 5 / 4 + kWorkerReplyTimeout + kWorkerRetryInterval * 2;
}

/// Returns how long a machine may be idle. An on-demand machine may cost as much while idle as a spot machine
/// of its type, so its time is shorter. Spot machines are preferred for new tasks.
Micros Provisioner::max_idle_time(const MachineClass& machine_class) const {
  const Micros spot_idle_time = settings_.tunables.idle_return;
  const auto& catalog = catalog_source_.catalog();
  if (machine_class.spot || !catalog) return spot_idle_time;
  const auto it = catalog->find(machine_class.machine_type);
  if (it == catalog->end() || it->second.price <= it->second.spot_price) return spot_idle_time;
  return from_seconds(to_seconds(spot_idle_time) * it->second.spot_price / it->second.price);
}

}  // namespace wrenusher::provisioner
