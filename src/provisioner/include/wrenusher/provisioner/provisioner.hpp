#pragma once
// Package provisioner: rents machines for the backlog and returns what is idle, silent, slow to boot or
// faulty. It owns what the leader knows of the cloud: the types, the machines rented, the bookings under way,
// what was refused. It may depend on base, settings, protocol, store, mail, planner and accounts.

#include <deque>
#include <functional>
#include <set>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/events/workers.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/usage_metrics/usage_metrics.hpp"

namespace wrenusher::provisioner {

using namespace time;
using namespace value;
using namespace runtime;
using namespace settings;
using namespace protocol;
using namespace kv_client;
using namespace events;

class Provisioner {
 public:
  Provisioner(Runtime& runtime, const Settings& settings, KvClient& store);
  void start();

  void on_term(const TermChanged& term);
  void on_lease_validity(const LeaseValidity& event) { lease_valid_until_ = event.until; }
  void on_workload(const std::shared_ptr<const Workload>& workload);
  void on_hints_inherited(const std::shared_ptr<const InheritedHints>& all);
  void on_worker_silent(const WorkerSilent& event);
  void on_machine_suspect(const MachineCordoned& event);

  EventSink<CatalogUpdated> catalog_updated;
  EventSink<MachineCordoned> machine_cordoned;
  EventSink<MachineDeparted> machine_departed;
  EventSink<CapacityChanged> capacity_changed;
  EventSink<MachineListed> machine_listed;
  EventSink<std::shared_ptr<const RentalHints>> rental_hints;

 private:
  struct Machine {
    std::string machine_type;
    std::string zone;
    bool spot = false;
    bool up = false;  ///< its worker has reported in this term
    bool returning = false;
    bool draining = false;  ///< gets no new tasks and goes back once the last has ended
    bool running = false;   ///< listed as running
    bool listed = false;
    bool has_named_device = false;  ///< a named device: stays though it idles
    Amount reserved = 0;
    Amount working = 0;
    Amount service_load = 0;
    Instant rented_at{};
    Instant report_due{};  ///< to report by then
    Instant idle_since{};
  };
  /// One kind of machine: type, zone, and spot or ordinary.
  struct MachineClass {
    std::string machine_type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const MachineClass&) const = default;
  };
  struct RentalRequest {
    std::string name;
    MachineClass machine_class;
    std::uint32_t count = 0;
    int tries = 0;
  };

  struct CloudCall {
    bool needs_leadership = false;  ///< rents or returns, which only a leader may that is certain to lead
    std::function<void()> send;
  };

  /// What was last rented for a job's layout.
  struct LayoutAttempt {
    std::uint32_t tasks = 0;
    Instant not_before{};
    Micros pause{};
  };

  static bool is_eligible(const Workload::Demand& demand, const MachineClass& kind);
  bool may_rent(const Workload::Demand& demand) const;
  void record_layout_rental(const Workload::Demand& demand);
  void tick();
  void pump();
  void call_cloud(Request request, bool first, std::function<void(const CallResult&)> done);
  void request_catalog();
  void read_catalog_record();
  void set_catalog(const Value& value);
  void write_catalog(const Value& value);
  void request_list(const std::string& from);
  void apply_listed_machine(const Rental& rental);
  void request_rental(const MachineClass& kind, std::uint32_t count);
  void send_rental_request(const RentalRequest& request);
  void return_machine(const std::string& host, const char* why);
  Machine& add_machine(const std::string& host);
  Micros boot_timeout(const std::string& machine_type) const;
  bool lease_valid() const { return term_.leading && runtime_.now() < lease_valid_until_; }
  void send_return();
  void review_machines();
  void plan_rentals();
  bool is_refused(const MachineClass& kind) const;
  void publish_capacity();
  void publish_hints();
  void review_inherited();
  void record_costs();
  Micros adoption_window() const;
  void return_silent(const std::string& host, const char* why);
  void detect_zone_loss(const Workload& workload);
  Micros idle_return(const Machine& machine) const;

  Runtime& runtime_;
  const Settings& settings_;
  KvClient& store_;
  TermChanged term_;
  Instant lease_valid_until_{};
  std::shared_ptr<const Catalog> catalog_;
  std::string catalog_written_;
  RateLimiter rate_limiter_;
  /// Waiting calls to the cloud; what frees stuck work stands in front.
  std::deque<CloudCall> calls_;
  bool pumping_ = false;
  int consecutive_failures_ = 0;
  Instant cloud_not_before_{};
  Instant next_list_{};
  Instant next_catalog_{};
  Instant rent_not_before_{};
  Instant ordinary_not_before_{};
  Instant term_began_{};
  bool listing_ = false;
  bool returning_ = false;
  std::uint64_t requests_made_ = 0;
  std::map<std::string, RentalRequest> open_requests_;
  std::map<MachineClass, Instant> refused_until_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::deque<Instant>> silent_by_zone_;  ///< by zone: when machines were found silent
  std::map<std::string, Instant> zone_lost_until_;             ///< zones of which no machine is heard
  std::map<std::string, LayoutAttempt> layout_attempts_;       ///< by job
  std::set<std::string> to_return_;
  std::set<std::string> returned_;   ///< given back in this term
  std::set<std::string> inherited_;  ///< machines that the last leader had, not heard in this term yet
  std::size_t inherited_total_ = 0;
  usage_metrics::CostMetrics costs_;
  std::shared_ptr<const Workload> workload_;
};

}  // namespace wrenusher::provisioner
