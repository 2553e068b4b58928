#pragma once
// Package provisioner: rents machines for the work that waits, and returns those that are idle, silent,
// faulty or do not boot. It owns what the leader knows of the cloud: the catalog of machine types, the rented
// machines, the rental requests under way, and what was refused. What to rent is decided in
// rental_planner.hpp. It may depend on time, value, runtime, settings, protocol, kv_client, events,
// placement, usage_metrics and log.

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

/// The actor that scales the leader's machines out and in. A node that does not lead only keeps the catalog.
/// Single-threaded: called from the runtime's loop only; `runtime`, `settings` and `kv_client` must outlive
/// it.
class Provisioner {
 public:
  Provisioner(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& kv_client);
  /// Begins the periodic work; to be called once.
  void start();

  // Events received.
  void on_term(const events::TermChanged& term);
  void on_lease_validity(const events::LeaseValidity& event) { term_.set_lease_valid_until(event.until); }
  /// Reviews the machines by what runs on them, and rents for the demand.
  void on_workload(const std::shared_ptr<const events::Workload>& workload);
  /// Takes over the rentals of the last leader. The cloud's list shows them only after its lag, and until
  /// then they would be rented twice.
  void on_hints_inherited(const std::shared_ptr<const events::InheritedHints>& hints);
  /// Returns the machine.
  void on_worker_silent(const events::WorkerSilent& event);
  /// Returns the machine.
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

  // Machines that came or went.
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

  // Times.
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
  time::Instant term_began_{};
  time::Instant rent_not_before_{};
  time::Instant on_demand_not_before_{};
};

}  // namespace wrenusher::provisioner
