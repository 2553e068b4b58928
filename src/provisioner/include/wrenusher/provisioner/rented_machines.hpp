#pragma once
// Inventory of rented machines, as known to the leader in this term.

#include <map>
#include <string>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/provisioner/machine_class.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::provisioner {

/// State of a machine from its rental until the cloud has confirmed its return.
struct RentedMachine {
  MachineClass machine_class;
  bool up = false;                ///< its worker has reported in this term
  bool returning = false;         ///< queued for return to the cloud
  bool draining = false;          ///< cordoned for being idle; returned once it has no assigned tasks
  bool running = false;           ///< the cloud's list shows it as running
  bool published = false;         ///< a MachineListed event was sent in this term
  bool has_named_device = false;  ///< kept while idle: no newly rented machine has such a device
  // Amounts in core equivalents, see placement::core_equivalents.
  protocol::Amount reserved = 0;      ///< by all assigned tasks
  protocol::Amount working = 0;       ///< by running tasks
  protocol::Amount service_load = 0;  ///< by services
  time::Instant rented_at{};
  time::Instant report_due{};  ///< while not `up`: returned if its worker has not reported by this time
  time::Instant idle_since{};
};

/// All rented machines, ordered by host name. Single-threaded: used from the runtime's loop only. `runtime`
/// and `settings` must outlive it.
class RentedMachines {
 public:
  using ByHost = std::map<std::string, RentedMachine>;

  RentedMachines(runtime::Runtime& runtime, const settings::Settings& settings)
      : runtime_(runtime), settings_(settings) {}

  /// Returns the machine; a new machine is added with the current time as its rental time.
  RentedMachine& add(const std::string& host);
  bool contains(const std::string& host) const { return by_host_.contains(host); }
  void erase(const std::string& host) { by_host_.erase(host); }
  void clear() { by_host_.clear(); }
  ByHost& by_host() { return by_host_; }
  const ByHost& by_host() const { return by_host_; }

 private:
  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  ByHost by_host_;
};

}  // namespace wrenusher::provisioner
