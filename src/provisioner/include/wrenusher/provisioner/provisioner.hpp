#pragma once
// Package provisioner: rents machines for waiting tasks, and returns machines that are idle, silent, faulty
// or fail to boot. It owns the leader's view of the cloud: the catalog of machine types, the rented machines,
// the open rental requests and the refused machine classes. rental_planner.hpp decides what to rent.
//
// The package may depend on time, value, runtime, settings, protocol, kv_client, events, placement,
// usage_metrics and log.

#include <memory>
#include <string>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/provisioner/catalog_source.hpp"
#include "wrenusher/provisioner/cloud_client.hpp"
#include "wrenusher/provisioner/inherited_machines.hpp"
#include "wrenusher/provisioner/layout_backoff.hpp"
#include "wrenusher/provisioner/leader_term.hpp"
#include "wrenusher/provisioner/machine_returns.hpp"
#include "wrenusher/provisioner/rental_list.hpp"
#include "wrenusher/provisioner/rental_requests.hpp"
#include "wrenusher/provisioner/rented_machines.hpp"
#include "wrenusher/provisioner/zone_loss_detector.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/usage_metrics/usage_metrics.hpp"

namespace wrenusher::provisioner {

/// Actor that rents and returns machines while this node leads. A node that does not lead only keeps the
/// catalog up to date. Single-threaded: called from the runtime's loop only. `runtime`, `settings` and
/// `kv_client` must outlive it.
class Provisioner {
 public:
  Provisioner(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& kv_client);
  /// Starts the periodic work. To be called once.
  void start();

  // Events received.
  void on_term(const events::TermChanged& term);
  void on_lease_validity(const events::LeaseValidity& event) { term_.set_lease_valid_until(event.until); }
  /// Updates the state of each machine from its load, and rents machines for the demand.
  void on_workload(const std::shared_ptr<const events::Workload>& workload);
  /// Takes over the rentals and open rental requests of the previous leader. The cloud's list shows these
  /// machines only after its lag; without the hints they would be rented twice in the meantime.
  void on_hints_inherited(const std::shared_ptr<const events::InheritedHints>& hints);
  /// Returns the machine, whose worker has stopped reporting, to the cloud.
  void on_worker_silent(const events::WorkerSilent& event);
  /// Returns the machine, which is unreachable or suspected to be faulty, to the cloud.
  void on_machine_suspect(const events::MachineCordoned& event);

  // Events sent.
  runtime::EventSink<events::CatalogUpdated> catalog_updated;
  runtime::EventSink<events::MachineCordoned> machine_cordoned;
  runtime::EventSink<events::MachineDeparted> machine_departed;
  runtime::EventSink<events::CapacityChanged> capacity_changed;
  runtime::EventSink<events::MachineListed> machine_listed;
  runtime::EventSink<std::shared_ptr<const events::RentalHints>> rental_hints;

 private:
  void begin_term();
  void tick();

  // Rented and returned machines.
  void on_listed(const protocol::Rental& rental);
  void on_rented(const MachineClass& machine_class, const std::vector<std::string>& hosts);
  void on_returned(const std::string& host);
  void return_machine(const std::string& host, const std::string& reason);
  void return_silent_machine(const std::string& host, const std::string& reason);

  // Periodic reviews.
  void update_machine(const events::Workload::MachineLoad& load);
  void review_machines();
  void review_inherited();
  void record_costs();

  // Renting.
  void plan_rentals(const events::Workload& workload);
  bool is_refused(const MachineClass& machine_class) const;
  bool is_exhausted(const std::string& name, const protocol::MachineType& machine_type) const;
  void publish_capacity();
  void publish_hints();

  // Timeouts.
  time::Micros boot_timeout(const std::string& machine_type) const;
  time::Micros longest_boot_timeout() const;
  time::Micros adoption_window() const;
  time::Micros max_idle_time(const MachineClass& machine_class) const;

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  LeaderTerm term_;
  CloudClient cloud_;
  CatalogSource catalog_source_;
  RentalList rental_list_;
  RentalRequests rental_requests_;
  MachineReturns machine_returns_;
  RentedMachines machines_;
  ZoneLossDetector zone_loss_;
  LayoutBackoff layout_backoff_;
  InheritedMachines inherited_;
  usage_metrics::CostMetrics costs_;
  time::Instant term_start_{};
  time::Instant rent_not_before_{};
  time::Instant on_demand_not_before_{};
};

}  // namespace wrenusher::provisioner
